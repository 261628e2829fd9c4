//! `spanfold held`: requests that gateways hold back because endpoints end under them.

use crate::client::{answers_code, answers_json, ask_vms};
use crate::outcome::{FINDINGS, NOT_REACHED, Outcome};
use serde_json::{Value, json};
use spanfold_keyvalue::{PlatformError, post_json};
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Lists what each VM holds back, or has on trial after a hold.
pub(crate) async fn list(as_json: bool, vms: &[SocketAddr]) -> Outcome {
    let answers = ask_vms(vms, "/held").await;
    let code = answers_code(&answers);
    if as_json {
        return Outcome { text: answers_json(&answers, "held"), code };
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
    Outcome { text, code }
}

fn write_row(text: &mut String, vm: SocketAddr, row: &Value) {
    let word = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    let number = |key: &str| row[key].as_u64().unwrap_or(0);
    let _ = writeln!(
        text,
        "{vm}  {}  {} (hold {}) for {} s more  {} endpoints ended  {} turned away here  {}",
        word("digest"),
        word("phase"),
        number("round"),
        number("rest_s"),
        number("endings"),
        number("turned_away"),
        word("request"),
    );
}

/// Lifts a hold at one VM, which tells the others and the store.
pub(crate) async fn lift(vm: SocketAddr, digest: &str) -> Outcome {
    match post_json(vm, &format!("/held/{digest}/lift"), &json!({})).await {
        Ok(_) => Outcome::done(format!("{digest}: lifted\n")),
        Err(PlatformError::Refused { text, .. }) => Outcome::fault(FINDINGS, format!("{digest}: {text}")),
        Err(error) => Outcome::fault(NOT_REACHED, format!("{vm}: {error}\n")),
    }
}
