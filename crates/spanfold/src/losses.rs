//! `spanfold losses`: what kept requests from an answer in time, by route, from the logs of several VMs.
//!
//! Invariant: each ended request is counted once, under the first cause that holds, in the order of
//! [`cause_of`]; the rows of a route sum to its requests.

use crate::log_lines::{LogLine, LogLines, read_files};
use crate::outcome::{FINDINGS, Outcome};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::PathBuf;

/// A first event counts as later than expected beyond this multiple of what was expected.
const UNEXPECTED_FACTOR: u64 = 2;
/// Answers in time.
const IN_TIME: &str = "in time";

/// What became of the requests of one route for one cause.
#[derive(Clone, Copy, Debug, Default)]
struct LossSum {
    requests: u64,
    /// Shared and own prompt tokens that engines read for them.
    read_tokens: u64,
    /// Time that they waited for room at their VM, in milliseconds.
    waited_millis: u64,
}

/// Prints the losses that log files tell.
pub(crate) fn losses(as_json: bool, files: &[PathBuf]) -> Outcome {
    let LogLines { lines, passed_over } = match read_files(files) {
        Ok(lines) => lines,
        Err(error) => return Outcome { text: error, code: FINDINGS },
    };
    let mut sums: BTreeMap<(String, String), LossSum> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "request.ended") {
        let sum = sums.entry((line.text("route").to_owned(), cause_of(line))).or_default();
        sum.requests += 1;
        let number = |key| line.number(key).unwrap_or(0);
        sum.read_tokens += number("prompt").saturating_sub(number("kept") + number("moved"));
        sum.waited_millis += number("waited_ms");
    }
    if sums.is_empty() {
        let text = format!("no ended request in {} lines ({passed_over} passed over)\n", lines.len());
        return Outcome { text, code: FINDINGS };
    }
    Outcome::done(if as_json { to_json(&sums, passed_over) } else { to_text(&sums, passed_over) })
}

/// Why a request had no answer in time: how it ended if badly, else what took the most of its time.
fn cause_of(line: &LogLine) -> String {
    let number = |key| line.number(key).unwrap_or(0);
    let (outcome, objective) = (line.text("outcome"), number("objective_ms"));
    if outcome != "answered" {
        return outcome.to_owned();
    }
    let Some(first) = line.number("first_ms").filter(|first| *first > objective) else {
        return IN_TIME.to_owned();
    };
    let waited = number("waited_ms");
    let cause = if first.saturating_sub(waited) <= objective {
        "late: waited for room"
    } else if number("sends") > 1 {
        "late: sent again"
    } else if first.saturating_sub(waited) > number("expected_ms") * UNEXPECTED_FACTOR {
        "late: slower than expected"
    } else {
        "late: as expected"
    };
    cause.to_owned()
}

fn to_json(sums: &BTreeMap<(String, String), LossSum>, passed_over: usize) -> String {
    let rows: Vec<_> = sums
        .iter()
        .map(|((route, cause), sum)| {
            json!({ "route": route, "cause": cause, "requests": sum.requests,
                    "read_tokens": sum.read_tokens, "waited_ms": sum.waited_millis })
        })
        .collect();
    json!({ "losses": rows, "passed_over": passed_over }).to_string()
}

fn to_text(sums: &BTreeMap<(String, String), LossSum>, passed_over: usize) -> String {
    let mut all: BTreeMap<&str, u64> = BTreeMap::new();
    for ((route, _), sum) in sums {
        *all.entry(route.as_str()).or_default() += sum.requests;
    }
    let mut text = format!(
        "{:<20} {:<32} {:>9} {:>7} {:>12} {:>10}\n",
        "route", "cause", "requests", "part", "tokens read", "waited ms"
    );
    for ((route, cause), sum) in sums {
        let part = sum.requests as f64 / all[route.as_str()] as f64;
        let _ = writeln!(
            text,
            "{route:<20} {cause:<32} {:>9} {part:>7.4} {:>12} {:>10}",
            sum.requests, sum.read_tokens, sum.waited_millis
        );
    }
    if passed_over > 0 {
        let _ = writeln!(text, "({passed_over} lines passed over: not JSON)");
    }
    text
}
