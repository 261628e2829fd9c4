//! Stand-ins and checks of the independent review. `case NAME` runs one; `engine ID ADDRESS` serves as an engine.

mod deployment;
mod http;
mod isolation;
mod leaving_engine;
mod restarted_engine;
mod store;
mod two_models;

use deployment::Record;
use std::path::PathBuf;
use std::process::ExitCode;

/// The rule was broken.
const EXIT_BROKEN: u8 = 1;
/// The case couldn't run.
const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>().as_slice() {
        ["engine", id, address] => {
            leaving_engine::run_engine(id, address);
            ExitCode::SUCCESS
        }
        ["case", name, folder, record] => run_case(name, &PathBuf::from(folder), &PathBuf::from(record)),
        _ => {
            eprintln!("usage: spanfold-review case NAME TEMPORARY-FOLDER RECORD | engine ID ADDRESS");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

fn run_case(name: &str, folder: &std::path::Path, record: &std::path::Path) -> ExitCode {
    let record = Record::create(record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.line(&format!("case {name}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let held = match name {
        "leaving-engine" => leaving_engine::run(folder, &record, has_trouble),
        "two-models" => two_models::run(folder, &record, has_trouble),
        "restarted-engine" => restarted_engine::run(folder, &record, has_trouble),
        "isolation" => isolation::run(folder, &record, has_trouble),
        _ => None,
    };
    match held {
        Some(true) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Some(false) => {
            record.line("the rule was broken");
            ExitCode::from(EXIT_BROKEN)
        }
        None => {
            record.line("the case couldn't run");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}
