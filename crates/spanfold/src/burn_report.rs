//! `spanfold report burn`: how fast each account's error budget is spent.
//!
//! The burn rate is the fraction of bad requests divided by the fraction that the objective allows.
//! At a rate of 1 exactly the budget is spent; at a rate of 14 a month's budget lasts two days.
//! The budget left is that of the longest window.

use crate::client::query_vms;
use crate::outcome::{CommandOutcome, EXIT_UNREACHABLE};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Request counts of one window, summed over VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WindowSum {
    minutes: u64,
    good: u64,
    total: u64,
}

/// Burn of one client account and objective, summed over VMs.
#[derive(Clone, Debug, Default)]
struct BurnSum {
    target: f64,
    windows: Vec<WindowSum>,
}

impl WindowSum {
    fn rate(self, target: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = (self.total - self.good) as f64 / self.total as f64;
        bad / (1.0 - target)
    }
}

impl BurnSum {
    /// Returns the fraction of the longest window's budget that is left; negative if overspent.
    fn budget_left(&self) -> f64 {
        self.windows.last().map_or(1.0, |window| 1.0 - window.rate(self.target))
    }
}

/// Queries the VMs and reports their summed counts.
pub(crate) async fn burn(as_json: bool, vms: &[SocketAddr]) -> CommandOutcome {
    let answers = query_vms(vms, "/burn").await;
    let mut sums: BTreeMap<(String, String), BurnSum> = BTreeMap::new();
    let mut unreachable_vms = Vec::new();
    for (vm, answer) in &answers {
        match answer {
            Ok(rows) => {
                rows.as_array().map_or(&[][..], Vec::as_slice).iter().for_each(|row| add_row(&mut sums, row));
            }
            Err(error) => unreachable_vms.push(format!("{vm}: {error}")),
        }
    }
    let code = if unreachable_vms.is_empty() { 0 } else { EXIT_UNREACHABLE };
    let text = if as_json { to_json(&sums, &unreachable_vms) } else { to_text(&sums, &unreachable_vms) };
    CommandOutcome { text, code }
}

fn add_row(sums: &mut BTreeMap<(String, String), BurnSum>, row: &Value) {
    let text_field = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    let sum = sums.entry((text_field("account"), text_field("objective"))).or_default();
    sum.target = row["target"].as_f64().unwrap_or(0.0);
    let windows = row["windows"].as_array().map_or(&[][..], Vec::as_slice);
    for (index, window) in windows.iter().enumerate() {
        if sum.windows.len() <= index {
            sum.windows.push(WindowSum::default());
        }
        let number_field = |key: &str| window[key].as_u64().unwrap_or(0);
        let window_sum = &mut sum.windows[index];
        window_sum.minutes = number_field("minutes");
        window_sum.good += number_field("good");
        window_sum.total += number_field("total");
    }
}

fn to_json(sums: &BTreeMap<(String, String), BurnSum>, unreachable_vms: &[String]) -> String {
    let rows: Vec<Value> = sums
        .iter()
        .map(|((account, objective), sum)| {
            let windows: Vec<Value> = sum
                .windows
                .iter()
                .map(|w| json!({ "minutes": w.minutes, "good": w.good, "total": w.total, "rate": w.rate(sum.target) }))
                .collect();
            json!({ "account": account, "objective": objective, "target": sum.target,
                    "windows": windows, "budget_left": sum.budget_left() })
        })
        .collect();
    json!({ "burn": rows, "missing": unreachable_vms }).to_string()
}

fn to_text(sums: &BTreeMap<(String, String), BurnSum>, unreachable_vms: &[String]) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<20} {:<16} {:>7} {:>9} {:>9} {:>9} {:>9} {:>8}",
        "account", "objective", "target", "5 min", "1 h", "6 h", "24 h", "left"
    );
    for ((account, objective), sum) in sums {
        let _ = write!(text, "{account:<20} {objective:<16} {:>7}", sum.target);
        for window in &sum.windows {
            let _ = write!(text, " {:>8.2}x", window.rate(sum.target));
        }
        let _ = writeln!(text, " {:>7.0}%", sum.budget_left() * 100.0);
    }
    for line in unreachable_vms {
        let _ = writeln!(text, "not reached: {line}");
    }
    text
}
