//! Reading a VM's operators' listener.

use crate::outcome::NOT_REACHED;
use serde_json::{Value, json};
use spanfold_keyvalue::{PlatformError, read_json};
use std::net::SocketAddr;

/// What a VM answered, or why it did not.
pub(crate) type VmAnswer = (SocketAddr, Result<serde_json::Value, PlatformError>);

/// Asks all VMs for `path`, one after the other.
pub(crate) async fn ask_vms(vms: &[SocketAddr], path: &str) -> Vec<VmAnswer> {
    let mut answers = Vec::new();
    for vm in vms {
        answers.push((*vm, read_json(*vm, path).await));
    }
    answers
}

/// The exit code of a command that asked VMs.
pub(crate) fn answers_code(answers: &[VmAnswer]) -> u8 {
    if answers.iter().any(|(_, answer)| answer.is_err()) { NOT_REACHED } else { 0 }
}

/// Answers as JSON, each VM's under `key`.
pub(crate) fn answers_json(answers: &[VmAnswer], key: &str) -> String {
    let rows = answers.iter().map(|(vm, answer)| match answer {
        Ok(value) => json!({ "vm": vm.to_string(), key: value }),
        Err(error) => json!({ "vm": vm.to_string(), "error": error.to_string() }),
    });
    Value::Array(rows.collect()).to_string()
}
