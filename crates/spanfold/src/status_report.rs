//! `spanfold status`: state of VMs, their endpoints and queues.

use crate::client::{answers_json, exit_code_of, query_vms};
use crate::outcome::CommandOutcome;
use serde_json::Value;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Prints the status that each VM reports.
pub(crate) async fn status(as_json: bool, vms: &[SocketAddr]) -> CommandOutcome {
    let answers = query_vms(vms, "/status").await;
    let code = exit_code_of(&answers);
    if as_json {
        return CommandOutcome { text: answers_json(&answers, "status"), code };
    }
    let mut text = String::new();
    for (vm, answer) in &answers {
        match answer {
            // Only a gateway follows the platform's store and has `store` in its status.
            Ok(status) if status["store"].is_object() => write_gateway_status(&mut text, *vm, status),
            Ok(status) => write_daemon_status(&mut text, *vm, status),
            Err(error) => {
                let _ = writeln!(text, "{vm}: {error}");
            }
        }
    }
    CommandOutcome { text, code }
}

fn write_gateway_status(text: &mut String, vm: SocketAddr, status: &Value) {
    let text_field = |key: &str| status[key].as_str().unwrap_or_default().to_owned();
    let state = if status["stopping"] == true { " stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} ({vm}) in {}: configuration {}, store {}:{}, {} open, {} endpoints, {} cold{state}",
        text_field("name"),
        text_field("data_centre"),
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
    for backoff in status["rests"].as_array().into_iter().flatten() {
        let name = |key: &str| backoff[key].as_str().unwrap_or_default().to_owned();
        let _ = writeln!(
            text,
            "  {} of {} asked this VM for rest, {} ms left",
            name("endpoint"),
            name("service"),
            backoff["left_ms"],
        );
    }
    for data_centre in status["evacuated"].as_array().into_iter().flatten() {
        let _ = writeln!(text, "  {} is evacuated", data_centre.as_str().unwrap_or_default());
    }
}

fn write_daemon_status(text: &mut String, vm: SocketAddr, status: &Value) {
    let text_field = |key: &str| status[key].as_str().unwrap_or_default().to_owned();
    let number_field = |key: &str| status[key].as_u64().unwrap_or(0);
    let state = if status["stopping"] == true { " stopping" } else { "" };
    let _ = writeln!(
        text,
        "{} ({vm}) in {}: generation {}, {} open, {} kept pieces, {} bypassed{state}",
        text_field("name"),
        text_field("data_centre"),
        number_field("generation"),
        number_field("open_requests"),
        number_field("kept_pieces"),
        number_field("bypassed"),
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
