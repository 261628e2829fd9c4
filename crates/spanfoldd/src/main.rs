//! `spanfoldd`: the daemon of one entry VM.

use bpaf::Bpaf;
use spanfold_declare::{Settings, settings_table};
use spanfoldd::{Daemon, start_logging};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for settings with findings.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const NOT_STARTED: u8 = 3;

/// The daemon of one entry VM.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Arguments {
    /// Print the table of settings with their defaults and end.
    PrintSettings {
        /// Print the table of settings with their defaults and end
        #[bpaf(long("print-settings"), req_flag(()))]
        _print_settings: (),
    },
    /// Run with the settings of a file.
    Run {
        /// The settings file
        #[bpaf(long("settings"), argument("FILE"))]
        settings: PathBuf,
        /// Check the settings, print them with defaults filled in, and end
        #[bpaf(long("check"))]
        check: bool,
    },
}

fn main() -> ExitCode {
    match arguments().run() {
        Arguments::PrintSettings { .. } => {
            print_table();
            ExitCode::SUCCESS
        }
        Arguments::Run { settings, check } => {
            let file = settings.display().to_string();
            let text = match std::fs::read_to_string(&settings) {
                Ok(text) => text,
                Err(error) => {
                    eprintln!("{file}: {error}");
                    return ExitCode::from(BAD_SETTINGS);
                }
            };
            match Settings::parse(&file, &text) {
                Err(findings) => {
                    eprintln!("{findings}");
                    ExitCode::from(BAD_SETTINGS)
                }
                Ok(settings) if check => {
                    print!("{}", settings.print());
                    ExitCode::SUCCESS
                }
                Ok(settings) => run(settings),
            }
        }
    }
}

fn print_table() {
    let mut section = "";
    for row in settings_table() {
        if row.section != section {
            section = row.section;
            println!("\n[{section}]");
        }
        println!("; {}\n{} = {}", row.purpose, row.key, row.default);
    }
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = start_logging(&settings.log_level, settings.log_file.as_deref()) {
        eprintln!("cannot log: {error}");
        return ExitCode::from(NOT_STARTED);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::from(NOT_STARTED);
        }
    };
    runtime.block_on(async {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(NOT_STARTED);
            }
        };
        wait_for_signal().await;
        daemon.stop().await;
        ExitCode::SUCCESS
    })
}

async fn wait_for_signal() {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}
