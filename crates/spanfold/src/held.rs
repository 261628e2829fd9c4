//! `spanfold held`: requests, and parts of prompts, that gateways have quarantined because endpoints crash under
//! them.

use crate::client::{answers_json, exit_code_of, query_vms};
use crate::outcome::{CommandOutcome, EXIT_FINDINGS, EXIT_UNREACHABLE};
use serde_json::{Value, json};
use spanfold_keyvalue::{PlatformError, post_json};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Lists the requests and parts that each VM has in quarantine, or on trial.
pub(crate) async fn list(as_json: bool, vms: &[SocketAddr]) -> CommandOutcome {
    let answers = query_vms(vms, "/held").await;
    let code = exit_code_of(&answers);
    if as_json {
        return CommandOutcome { text: answers_json(&answers, "held"), code };
    }
    let mut text = String::new();
    for (vm, answer) in &answers {
        match answer {
            Ok(held) => held.as_array().into_iter().flatten().for_each(|row| write_row(&mut text, *vm, row)),
            Err(error) => {
                let _ = writeln!(text, "{vm}: {error}");
            }
        }
    }
    if text.is_empty() {
        text.push_str("nothing is held back\n");
    }
    CommandOutcome { text, code }
}

fn write_row(text: &mut String, vm: SocketAddr, row: &Value) {
    let text_field = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    let number_field = |key: &str| row[key].as_u64().unwrap_or(0);
    let _ = writeln!(
        text,
        "{vm}  {}  {} (hold {}) for {} s more  {} endpoints ended  {} turned away here  {}{}",
        text_field("digest"),
        text_field("phase"),
        number_field("round"),
        number_field("rest_s"),
        number_field("endings"),
        number_field("turned_away"),
        part_text(row),
        text_field("request"),
    );
}

/// Returns the name of a held part, with those without which it is not held; empty for a request.
fn part_text(row: &Value) -> String {
    let Some(part) = row["part"].as_str().filter(|part| !part.is_empty()) else { return String::new() };
    let together: Vec<_> =
        row["together"].as_array().into_iter().flatten().filter_map(Value::as_str).collect();
    match together[..] {
        [] => format!("part {part} of "),
        _ => format!("part {part} together with {} of ", together.join(", ")),
    }
}

/// Releases a request from quarantine at one VM, which propagates this to the other VMs and the store.
pub(crate) async fn lift(vm: SocketAddr, digest: &str) -> CommandOutcome {
    match post_json(vm, &format!("/held/{digest}/lift"), &json!({})).await {
        Ok(_) => CommandOutcome::success(format!("{digest}: lifted\n")),
        Err(PlatformError::Refused { text, .. }) => {
            CommandOutcome::failure(EXIT_FINDINGS, format!("{digest}: {text}"))
        }
        Err(error) => CommandOutcome::failure(EXIT_UNREACHABLE, format!("{vm}: {error}\n")),
    }
}
