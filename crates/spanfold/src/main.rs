//! `spanfold`: the operators' command.
//!
//! Exit codes: 0 success, 1 findings or differences, 2 invalid usage, 3 another change was accepted first,
//! 4 platform or VM unreachable, 5 change not in force in time.

mod arguments;
mod burn_report;
mod client;
mod declare;
mod explain;
mod held;
mod log_lines;
mod losses;
mod outcome;
mod status_report;

use arguments::{Command, HeldCall};
use outcome::CommandOutcome;
use std::process::ExitCode;

fn main() -> ExitCode {
    let command = arguments::command().run();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::from(outcome::EXIT_UNREACHABLE);
        }
    };
    let outcome = runtime.block_on(run(command));
    outcome.print();
    ExitCode::from(outcome.code)
}

async fn run(command: Command) -> CommandOutcome {
    match command {
        Command::Check { files } => declare::check(&files),
        Command::Digest { key } => CommandOutcome::success(spanfold_declare::key_digest(&key)),
        Command::Show { platform } => declare::show(platform).await,
        Command::Diff { platform, files } => declare::diff(platform, &files).await,
        Command::Apply { platform, expect, author, wait, vms, files } => {
            declare::apply(platform, expect, &author, wait, &vms, &files).await
        }
        Command::Label { platform, author, kind, name, labels } => {
            declare::label(platform, &author, &kind, &name, &labels).await
        }
        Command::Drain { platform, author, undo, endpoint } => {
            declare::drain(platform, &author, undo, &endpoint).await
        }
        Command::Status { json, vms } => status_report::status(json, &vms).await,
        Command::ReportBurn { json, vms } => burn_report::burn(json, &vms).await,
        Command::Explain { request, files } => explain::explain(&request, &files),
        Command::Held(HeldCall::List { json, vms }) => held::list(json, &vms).await,
        Command::Held(HeldCall::Lift { vm, digest }) => held::lift(vm, &digest).await,
        Command::Losses { json, files } => losses::losses(json, &files),
        Command::Replay { file } => declare::replay_session(&file),
    }
}
