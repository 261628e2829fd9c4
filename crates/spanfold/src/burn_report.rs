//! `spanfold report burn`: how fast each account's error budget is spent.
//!
//! The burn rate is the part of bad requests over the part that the objective allows: 1 spends
//! exactly the budget, 14 spends a month's in two days. The budget left is that of the longest
//! window.

use crate::client::ask_vms;
use crate::outcome::{NOT_REACHED, Outcome};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// Counts of one window, summed over VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct WindowSum {
    minutes: u64,
    good: u64,
    total: u64,
}

/// One account and objective.
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
    /// The part of the longest window's budget that is left; negative if it is overspent.
    fn budget_left(&self) -> f64 {
        self.windows.last().map_or(1.0, |window| 1.0 - window.rate(self.target))
    }
}

/// Sums the VMs' counts and prints them.
pub(crate) async fn burn(as_json: bool, vms: &[SocketAddr]) -> Outcome {
    let answers = ask_vms(vms, "/burn").await;
    let mut sums: BTreeMap<(String, String), BurnSum> = BTreeMap::new();
    let mut missing = Vec::new();
    for (vm, answer) in &answers {
        match answer {
            Ok(rows) => {
                rows.as_array().map_or(&[][..], Vec::as_slice).iter().for_each(|row| add(&mut sums, row));
            }
            Err(error) => missing.push(format!("{vm}: {error}")),
        }
    }
    let code = if missing.is_empty() { 0 } else { NOT_REACHED };
    let text = if as_json { to_json(&sums, &missing) } else { to_text(&sums, &missing) };
    Outcome { text, code }
}

fn add(sums: &mut BTreeMap<(String, String), BurnSum>, row: &Value) {
    let word = |key: &str| row[key].as_str().unwrap_or_default().to_owned();
    let sum = sums.entry((word("account"), word("objective"))).or_default();
    sum.target = row["target"].as_f64().unwrap_or(0.0);
    let windows = row["windows"].as_array().map_or(&[][..], Vec::as_slice);
    for (place, window) in windows.iter().enumerate() {
        if sum.windows.len() <= place {
            sum.windows.push(WindowSum::default());
        }
        let number = |key: &str| window[key].as_u64().unwrap_or(0);
        let held = &mut sum.windows[place];
        held.minutes = number("minutes");
        held.good += number("good");
        held.total += number("total");
    }
}

fn to_json(sums: &BTreeMap<(String, String), BurnSum>, missing: &[String]) -> String {
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
    json!({ "burn": rows, "missing": missing }).to_string()
}

fn to_text(sums: &BTreeMap<(String, String), BurnSum>, missing: &[String]) -> String {
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
    for line in missing {
        let _ = writeln!(text, "not reached: {line}");
    }
    text
}
