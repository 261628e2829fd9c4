//! `spanfold losses`: why requests had no answer in time, by route, from the logs of several VMs.
//!
//! Invariant: each finished request is counted once, under the first cause that applies in the order
//! of [`cause_of`], or that of its `request.unanswered` line; the rows of a route sum to its requests. A
//! forwarded request is counted at the VM that its caller sent it to; its tokens are counted at the VM that
//! took it.
//!
//! Besides requests, `load.uneven` lines are summed by service. Each VM sees about the same imbalance, so that
//! the time is that of the VM with the most, and not the sum over VMs. Delayed requests are summed over VMs, as
//! each of them counts its own.

use crate::log_lines::{LogLine, LogLines, read_files};
use crate::outcome::{CommandOutcome, EXIT_FINDINGS};
use serde_json::json;
use std::collections::{BTreeMap, HashMap};
use std::fmt::Write as _;
use std::path::PathBuf;

/// Multiple of the expected time to the first event beyond which that event is later than expected.
const UNEXPECTED_LATENCY_FACTOR: u64 = 2;
/// Time after a change of the configuration within which a lost answer may be its effect.
const CHANGE_MILLIS: u64 = 3_000;
/// Cause under which answers in time are counted.
const IN_TIME: &str = "in time";

/// Sums over the requests of one route with one cause.
#[derive(Clone, Copy, Debug, Default)]
struct LossSum {
    requests: u64,
    /// Prompt tokens, shared and own, that engines prefilled for these requests.
    prefilled_tokens: u64,
    /// Time that the requests waited for capacity at their VMs.
    waited_millis: u64,
}

/// Imbalance of one service's load, as VMs logged it.
#[derive(Clone, Debug, Default)]
struct UnevenSum<'a> {
    /// Time in milliseconds by VM.
    millis_by_vm: BTreeMap<&'a str, u64>,
    /// Largest coefficient of variation.
    variation: f64,
    /// Largest number of endpoints over their places at once.
    overrun: u64,
    /// Requests that were delayed meanwhile.
    delayed: u64,
}

impl UnevenSum<'_> {
    /// Returns the time at the VM with the most, in milliseconds.
    fn longest_millis(&self) -> u64 {
        self.millis_by_vm.values().copied().max().unwrap_or(0)
    }
}

/// Sums the `load.uneven` lines by service.
fn uneven_sums(lines: &[LogLine]) -> BTreeMap<&str, UnevenSum<'_>> {
    let mut sums: BTreeMap<&str, UnevenSum<'_>> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.event == "load.uneven") {
        let number_field = |key| line.number(key).unwrap_or(0);
        let sum = sums.entry(line.text("service")).or_default();
        *sum.millis_by_vm.entry(line.vm.as_str()).or_default() += number_field("uneven_ms");
        sum.variation = sum.variation.max(line.text("variation").parse().unwrap_or(0.0));
        sum.overrun = sum.overrun.max(number_field("over"));
        sum.delayed += number_field("delayed");
    }
    sums
}

/// Reports the losses found in log files.
pub(crate) fn losses(as_json: bool, files: &[PathBuf]) -> CommandOutcome {
    let LogLines { lines, skipped_lines } = match read_files(files) {
        Ok(lines) => lines,
        Err(error) => return CommandOutcome { text: error, code: EXIT_FINDINGS },
    };
    let mut sums: BTreeMap<(String, String), LossSum> = BTreeMap::new();
    let unanswered: HashMap<_, _> = lines
        .iter()
        .filter(|line| line.event == "request.unanswered")
        .map(|line| ((line.vm.as_str(), line.text("request")), unanswered_cause(line)))
        .collect();
    for line in lines.iter().filter(|line| line.event == "request.ended") {
        let own_cause = unanswered.get(&(line.vm.as_str(), line.text("request")));
        let cause = own_cause.map_or_else(|| cause_of(line), Clone::clone);
        let sum = sums.entry((line.text("route").to_owned(), cause)).or_default();
        sum.requests += u64::from(line.text("taken_from").is_empty());
        let number_field = |key| line.number(key).unwrap_or(0);
        if line.text("given_to").is_empty() {
            sum.prefilled_tokens +=
                number_field("prompt").saturating_sub(number_field("kept") + number_field("moved"));
        }
        sum.waited_millis += number_field("waited_ms");
    }
    if sums.is_empty() {
        let text = format!("no ended request in {} lines ({skipped_lines} passed over)\n", lines.len());
        return CommandOutcome { text, code: EXIT_FINDINGS };
    }
    let uneven = uneven_sums(&lines);
    CommandOutcome::success(if as_json {
        to_json(&sums, &uneven, skipped_lines)
    } else {
        to_text(&sums, &uneven, skipped_lines)
    })
}

/// Returns the cause of a request without a whole answer, and whether the configuration had just changed.
fn unanswered_cause(line: &LogLine) -> String {
    let has_changed = line.number("config") != line.number("config_now")
        || line.number("changed_ms").is_some_and(|millis| millis < CHANGE_MILLIS);
    let place = if has_changed { " near a change" } else { "" };
    format!("no answer{place}: {}", line.text("cause"))
}

/// Returns a request's outcome if it was not answered, else the first cause of delay that applies.
fn cause_of(line: &LogLine) -> String {
    let number_field = |key| line.number(key).unwrap_or(0);
    let (outcome, objective) = (line.text("outcome"), number_field("objective_ms"));
    if outcome != "answered" {
        return outcome.to_owned();
    }
    let Some(first) = line.number("first_ms").filter(|first| *first > objective) else {
        return IN_TIME.to_owned();
    };
    let waited = number_field("waited_ms");
    let cause = if first.saturating_sub(waited) <= objective {
        "late: waited for room"
    } else if number_field("sends") > 1 {
        "late: sent again"
    } else if first.saturating_sub(waited) > number_field("expected_ms") * UNEXPECTED_LATENCY_FACTOR {
        "late: slower than expected"
    } else {
        "late: as expected"
    };
    cause.to_owned()
}

fn to_json(
    sums: &BTreeMap<(String, String), LossSum>,
    uneven: &BTreeMap<&str, UnevenSum<'_>>,
    skipped_lines: usize,
) -> String {
    let rows: Vec<_> = sums
        .iter()
        .map(|((route, cause), sum)| {
            json!({ "route": route, "cause": cause, "requests": sum.requests,
                    "read_tokens": sum.prefilled_tokens, "waited_ms": sum.waited_millis })
        })
        .collect();
    let uneven_rows: Vec<_> = uneven
        .iter()
        .map(|(service, sum)| {
            json!({ "service": service, "uneven_ms": sum.longest_millis(), "vms": sum.millis_by_vm.len(),
                    "variation": sum.variation, "over": sum.overrun, "delayed": sum.delayed })
        })
        .collect();
    json!({ "losses": rows, "uneven": uneven_rows, "passed_over": skipped_lines }).to_string()
}

fn to_text(
    sums: &BTreeMap<(String, String), LossSum>,
    uneven: &BTreeMap<&str, UnevenSum<'_>>,
    skipped_lines: usize,
) -> String {
    let mut route_totals: BTreeMap<&str, u64> = BTreeMap::new();
    for ((route, _), sum) in sums {
        *route_totals.entry(route.as_str()).or_default() += sum.requests;
    }
    let mut text = format!(
        "{:<20} {:<60} {:>9} {:>7} {:>12} {:>10}\n",
        "route", "cause", "requests", "part", "tokens read", "waited ms"
    );
    for ((route, cause), sum) in sums {
        let fraction = sum.requests as f64 / route_totals[route.as_str()].max(1) as f64;
        let _ = writeln!(
            text,
            "{route:<20} {cause:<60} {:>9} {fraction:>7.4} {:>12} {:>10}",
            sum.requests, sum.prefilled_tokens, sum.waited_millis
        );
    }
    for (service, sum) in uneven {
        let _ = writeln!(
            text,
            "uneven load of {service}: {:.2} s at one VM ({} VMs report it), variation {:.2}, {} endpoints over \
             their places, {} requests delayed",
            sum.longest_millis() as f64 / 1e3,
            sum.millis_by_vm.len(),
            sum.variation,
            sum.overrun,
            sum.delayed
        );
    }
    if skipped_lines > 0 {
        let _ = writeln!(text, "({skipped_lines} lines passed over: not JSON)");
    }
    text
}
