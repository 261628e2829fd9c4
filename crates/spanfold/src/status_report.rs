//! `spanfold status`.

use crate::client::{answers_code, answers_json, ask_vms};
use crate::outcome::Outcome;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Shows what each VM says of itself.
pub(crate) async fn status(as_json: bool, vms: &[SocketAddr]) -> Outcome {
    let answers = ask_vms(vms, "/status").await;
    let code = answers_code(&answers);
    if as_json {
        return Outcome { text: answers_json(&answers, "status"), code };
    }
    let mut text = String::new();
    for (vm, answer) in &answers {
        match answer {
            // Only a gateway follows a platform's store.
            Ok(status) if status["store"].is_object() => write_gateway(&mut text, *vm, status),
            Ok(status) => write_status(&mut text, *vm, status),
            Err(error) => {
                let _ = writeln!(text, "{vm}: {error}");
            }
        }
    }
    Outcome { text, code }
}

fn write_gateway(text: &mut String, vm: SocketAddr, status: &Value) {
    let word = |key: &str| status[key].as_str().unwrap_or_default().to_owned();
    let state = if status["stopping"] == true { " stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} ({vm}) in {}: configuration {}, store {}:{}, {} open, {} endpoints, {} cold{state}",
        word("name"),
        word("data_centre"),
        status["configuration"],
        status["store"]["era"],
        status["store"]["revision"],
        status["open_requests"],
        status["endpoints"],
        status["cold_endpoints"],
    );
    for limit in status["limits"].as_array().into_iter().flatten() {
        let name = |key: &str| limit[key].as_str().unwrap_or_default().to_owned();
        let rate = |key: &str| limit[key].as_f64().unwrap_or_default();
        let _ = writeln!(
            text,
            "  {} of {} takes {} a second of all VMs (named {} ms ago), {:.3} of this one",
            name("endpoint"),
            name("service"),
            rate("named_per_s"),
            limit["reported_ago_ms"],
            rate("own_per_s"),
        );
    }
    for endpoint in status["leaving"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "  {} leaves", endpoint.as_str().unwrap_or_default());
    }
    for rest in status["rests"].as_array().into_iter().flatten() {
        let name = |key: &str| rest[key].as_str().unwrap_or_default().to_owned();
        let _ = writeln!(
            text,
            "  {} of {} asked this VM for rest, {} ms left",
            name("endpoint"),
            name("service"),
            rest["left_ms"],
        );
    }
    for data_centre in status["evacuated"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "  {} is evacuated", data_centre.as_str().unwrap_or_default());
    }
}

fn write_status(text: &mut String, vm: SocketAddr, status: &Value) {
    let word = |key: &str| status[key].as_str().unwrap_or_default().to_owned();
    let number = |key: &str| status[key].as_u64().unwrap_or(0);
    let state = if status["stopping"] == true { " stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} ({vm}) in {}: generation {}, {} open, {} kept pieces, {} bypassed{state}",
        word("name"),
        word("data_centre"),
        number("generation"),
        number("open_requests"),
        number("kept_pieces"),
        number("bypassed"),
    );
    let rows = |key: &str| status[key].as_array().cloned().unwrap_or_default();
    for row in rows("vms") {
        let live = if row["live"] == true { "live" } else { "not live" };
        let _ = writeln!(
            text,
            "  vm {} {live}, generation {}",
            row["name"].as_str().unwrap_or(""),
            row["generation"]
        );
    }
    for row in rows("cells") {
        let name = row["cell"].as_str().unwrap_or("");
        let _ = writeln!(text, "  cell {name}: {} waiting, {} running", row["queued"], row["running"]);
    }
    for row in rows("endpoints").iter().filter(|row| row["takes_work"] == false) {
        let _ = writeln!(text, "  endpoint {} takes no work", row["name"].as_str().unwrap_or(""));
    }
}
