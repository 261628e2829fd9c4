//! Queries to the operators' listeners of VMs.

use crate::outcome::EXIT_UNREACHABLE;
use serde_json::{Value, json};
use spanfold_keyvalue::{PlatformError, read_json};
use std::net::SocketAddr;

/// The answer of a VM, or why there is none.
pub(crate) type VmAnswer = (SocketAddr, Result<serde_json::Value, PlatformError>);

/// Reads `path` from each VM, one after the other.
pub(crate) async fn query_vms(vms: &[SocketAddr], path: &str) -> Vec<VmAnswer> {
    let mut answers = Vec::new();
    for vm in vms {
        answers.push((*vm, read_json(*vm, path).await));
    }
    answers
}

/// Returns the exit code of a command that queried VMs.
pub(crate) fn exit_code_of(answers: &[VmAnswer]) -> u8 {
    if answers.iter().any(|(_, answer)| answer.is_err()) { EXIT_UNREACHABLE } else { 0 }
}

/// Returns the answers as JSON, each VM's under `key`.
pub(crate) fn answers_json(answers: &[VmAnswer], key: &str) -> String {
    let rows = answers.iter().map(|(vm, answer)| match answer {
        Ok(value) => json!({ "vm": vm.to_string(), key: value }),
        Err(error) => json!({ "vm": vm.to_string(), "error": error.to_string() }),
    });
    Value::Array(rows.collect()).to_string()
}
