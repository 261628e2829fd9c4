//! `spanfold explain`: the story of one request, from the logs of several VMs.
//!
//! Invariant: lines come out in the order of their times, each with its VM; beside the request's own
//! lines stand what its VM came to believe shortly before about the endpoints that it used, about
//! the store, the configuration and the weights, and what all VMs found out about requests that are the same.
//! What is not a JSON line is passed over and counted.

use crate::log_lines::{LogLine, LogLines, read_files};
use crate::outcome::{FINDINGS, Outcome};
use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::PathBuf;

/// What a VM came to believe up to this long before a request's last line belongs to its story.
const BELIEF_MILLIS: u64 = 15_000;
/// Events that tell what a VM believes of the whole deployment.
const BELIEFS: [&str; 10] = [
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
/// Events that tell what a VM learned of an endpoint, whichever request's answer told it.
const ENDPOINT_BELIEFS: [&str; 5] =
    ["endpoint.leaving", "endpoint.resting", "limit.ended", "limit.named", "answer.odd"];
/// Events that tell of requests under which endpoints end.
const QUARANTINE_EVENTS: &str = "quarantine.";
/// Fields that every line has, told in other places.
const COMMON: [&str; 4] = ["time_ms", "level", "event", "request"];

/// Prints the story of `request` from log files.
pub(crate) fn explain(request: &str, files: &[PathBuf]) -> Outcome {
    let LogLines { mut lines, passed_over } = match read_files(files) {
        Ok(lines) => lines,
        Err(error) => return Outcome { text: error, code: FINDINGS },
    };
    lines.sort_by_key(|line| line.time_millis);
    let own: Vec<_> = lines.iter().filter(|line| line.text("request") == request).collect();
    let Some(last) = own.last() else {
        let text = format!("{request}: no line of it in {} lines ({passed_over} passed over)\n", lines.len());
        return Outcome { text, code: FINDINGS };
    };
    let vms: BTreeSet<_> = own.iter().map(|line| line.vm.as_str()).collect();
    let endpoints: BTreeSet<_> =
        own.iter().map(|line| line.text("endpoint")).filter(|endpoint| !endpoint.is_empty()).collect();
    let digests: BTreeSet<_> =
        own.iter().map(|line| line.text("digest")).filter(|digest| !digest.is_empty()).collect();
    let is_same =
        |line: &LogLine| line.event.starts_with(QUARANTINE_EVENTS) && digests.contains(line.text("digest"));
    let from = last.time_millis.saturating_sub(BELIEF_MILLIS);
    let belongs = |line: &&LogLine| {
        line.text("request") == request
            || (is_same(line) && line.time_millis <= last.time_millis)
            || (vms.contains(line.vm.as_str())
                && (from..=last.time_millis).contains(&line.time_millis)
                && (ENDPOINT_BELIEFS.contains(&line.event.as_str())
                    || line.text("request").is_empty()
                        && (BELIEFS.contains(&line.event.as_str())
                            || endpoints.contains(line.text("endpoint")))))
    };
    let mut text = String::new();
    for line in lines.iter().filter(belongs) {
        let mark = match line.text("request") {
            id if id == request => "request",
            _ if is_same(line) => "same   ",
            _ => "belief ",
        };
        let before = last.time_millis - line.time_millis;
        let _ = write!(text, "-{before:>6} ms  {mark}  {}  {}", line.vm, line.event);
        let is_told = |key: &str| {
            !COMMON.contains(&key) || (key == "request" && !["", request].contains(&line.text("request")))
        };
        for (key, value) in line.fields.iter().filter(|(key, _)| is_told(key)) {
            let _ =
                write!(text, "  {key}={}", value.as_str().map_or_else(|| value.to_string(), str::to_owned));
        }
        text.push('\n');
    }
    if passed_over > 0 {
        let _ = writeln!(text, "({passed_over} lines passed over: not JSON)");
    }
    Outcome::done(text)
}
