//! `spanfold explain`: the history of one request, from the logs of several VMs.
//!
//! Invariant: lines are printed in the order of their times, each with its VM. Besides the request's
//! own lines these are:
//! - events at its VMs in the 15 s before its last line: those of `ENDPOINT_STATE_EVENTS` at any endpoint,
//!   all that name no request and concern an endpoint that it used, and those about the store, the
//!   configuration or the weights (`VM_STATE_EVENTS`);
//! - quarantine events of all VMs for requests with the same digest, and for the part of its prompt because of
//!   which it was refused.
//!
//! Lines that are not JSON are skipped and counted.

use crate::log_lines::{LogLine, LogLines, read_files};
use crate::outcome::{CommandOutcome, EXIT_FINDINGS};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::PathBuf;

/// Time before a request's last line within which events at its VM are printed.
const CONTEXT_MILLIS: u64 = 15_000;
/// Events that change a VM's state of the whole deployment.
const VM_STATE_EVENTS: [&str; 10] = [
    "configuration.in_force",
    "configuration.rejected",
    "dependency.lost",
    "dependency.regained",
    "gateway.started",
    "gateway.stopping",
    "limit.lapsed",
    "store.relist",
    "watch.relist",
    "weights.named",
];
/// Events that change a VM's state of an endpoint, printed also if another request's answer caused them.
const ENDPOINT_STATE_EVENTS: [&str; 7] = [
    "endpoint.avoided",
    "endpoint.leaving",
    "endpoint.readmitted",
    "endpoint.resting",
    "limit.ended",
    "limit.named",
    "answer.odd",
];
/// Prefix of the events about requests under which endpoints crash.
const QUARANTINE_EVENT_PREFIX: &str = "quarantine.";
/// Fields that every line has; not printed as `key=value`, except `request` on a line of another request.
const COMMON_FIELDS: [&str; 4] = ["time_ms", "level", "event", "request"];

/// Reports the history of `request` from log files.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> CommandOutcome {
    let LogLines { mut lines, skipped_lines } = match read_files(files) {
        Ok(lines) => lines,
        Err(error) => return CommandOutcome { text: error, code: EXIT_FINDINGS },
    };
    lines.sort_by_key(|line| line.time_millis);
    let request_lines: Vec<_> = lines.iter().filter(|line| line.text("request") == request).collect();
    let Some(last) = request_lines.last() else {
        let text =
            format!("{request}: no line of it in {} lines ({skipped_lines} passed over)\n", lines.len());
        return CommandOutcome { text, code: EXIT_FINDINGS };
    };
    let vms: BTreeSet<_> = request_lines.iter().map(|line| line.vm.as_str()).collect();
    let endpoints: BTreeSet<_> = request_lines
        .iter()
        .map(|line| line.text("endpoint"))
        .filter(|endpoint| !endpoint.is_empty())
        .collect();
    let digests: BTreeSet<_> = request_lines
        .iter()
        .flat_map(|line| [line.text("digest"), line.text("blamed")])
        .filter(|digest| !digest.is_empty())
        .collect();
    let is_same_quarantine = |line: &LogLine| {
        line.event.starts_with(QUARANTINE_EVENT_PREFIX) && digests.contains(line.text("digest"))
    };
    let context_start_millis = last.time_millis.saturating_sub(CONTEXT_MILLIS);
    let is_relevant = |line: &&LogLine| {
        line.text("request") == request
            || (is_same_quarantine(line) && line.time_millis <= last.time_millis)
            || (vms.contains(line.vm.as_str())
                && (context_start_millis..=last.time_millis).contains(&line.time_millis)
                && (ENDPOINT_STATE_EVENTS.contains(&line.event.as_str())
                    || line.text("request").is_empty()
                        && (VM_STATE_EVENTS.contains(&line.event.as_str())
                            || endpoints.contains(line.text("endpoint")))))
    };
    let mut text = String::new();
    for line in lines.iter().filter(is_relevant) {
        let category = match line.text("request") {
            id if id == request => "request",
            _ if is_same_quarantine(line) => "same   ",
            _ => "belief ",
        };
        let millis_before_last = last.time_millis - line.time_millis;
        let _ = write!(text, "-{millis_before_last:>6} ms  {category}  {}  {}", line.vm, line.event);
        let is_printed = |key: &str| {
            !COMMON_FIELDS.contains(&key)
                || (key == "request" && !["", request].contains(&line.text("request")))
        };
        for (key, value) in line.fields.iter().filter(|(key, _)| is_printed(key)) {
            let _ =
                write!(text, "  {key}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned));
        }
        text.push('\n');
    }
    if skipped_lines > 0 {
        let _ = writeln!(text, "({skipped_lines} lines passed over: not JSON)");
    }
    CommandOutcome::success(text)
}
