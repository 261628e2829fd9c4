//! The command line of `spanfoldd`, the daemon of one entry VM.

use bpaf::Bpaf;
use spanfold_declare::{GatewaySettings, Settings, SettingsRow, gateway_settings_table, settings_table};
use spanfold_gateway::GatewayDaemon;
use spanfoldd::{Daemon, start_logging, start_output_logging};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for settings with findings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code for a daemon that could not start.
const EXIT_NOT_STARTED: u8 = 3;

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
    /// Serve a platform's deployment
    #[bpaf(command("gateway"))]
    Gateway {
        /// Print the table of settings with their defaults and end
        #[bpaf(long("print-settings"))]
        print_settings: bool,
        /// Check the settings and end
        #[bpaf(long("check"))]
        check: bool,
        /// The settings file
        #[bpaf(long("settings"), env("SPANFOLD_SETTINGS"), argument("FILE"), fallback(PathBuf::new()))]
        settings: PathBuf,
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
        Arguments::Gateway { print_settings: true, .. } => {
            print_settings_table(gateway_settings_table());
            ExitCode::SUCCESS
        }
        Arguments::Gateway { settings, check, .. } => match read_gateway_settings(&settings) {
            Err(code) => code,
            Ok(_) if check => ExitCode::SUCCESS,
            Ok(new_settings) => run_gateway(new_settings, &settings),
        },
        Arguments::PrintSettings { .. } => {
            print_settings_table(settings_table());
            ExitCode::SUCCESS
        }
        Arguments::Run { settings, check } => {
            let file = settings.display().to_string();
            let text = match std::fs::read_to_string(&settings) {
                Ok(text) => text,
                Err(error) => {
                    eprintln!("{file}: {error}");
                    return ExitCode::from(EXIT_BAD_SETTINGS);
                }
            };
            match Settings::parse(&file, &text) {
                Err(findings) => {
                    eprintln!("{findings}");
                    ExitCode::from(EXIT_BAD_SETTINGS)
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

fn print_settings_table(table: &[SettingsRow]) {
    let mut section = "";
    for row in table {
        if row.section != section {
            section = row.section;
            println!("\n[{section}]");
        }
        println!("; {}\n{} = {}", row.purpose, row.key, row.default);
    }
}

fn run(settings: Settings) -> ExitCode {
    if let Err(error) = start_logging(&settings.log_level, settings.log_file.as_deref()) {
        eprintln!("cannot set up logging: {error}");
        return ExitCode::from(EXIT_NOT_STARTED);
    }
    let runtime = match tokio::runtime::Builder::new_multi_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    runtime.block_on(async {
        let daemon = match Daemon::start(settings).await {
            Ok(daemon) => daemon,
            Err(error) => {
                eprintln!("{error}");
                return ExitCode::from(EXIT_NOT_STARTED);
            }
        };
        wait_for_signal().await;
        daemon.stop().await;
        ExitCode::SUCCESS
    })
}

fn read_gateway_settings(path: &Path) -> Result<GatewaySettings, ExitCode> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        eprintln!("{file}: {error}");
        ExitCode::from(EXIT_BAD_SETTINGS)
    })?;
    GatewaySettings::parse(&file, &text).map_err(|findings| {
        eprintln!("{findings}");
        ExitCode::from(EXIT_BAD_SETTINGS)
    })
}

fn run_gateway(settings: GatewaySettings, path: &Path) -> ExitCode {
    if let Err(error) = start_output_logging(&settings.log_level) {
        eprintln!("cannot set up logging: {error}");
        return ExitCode::from(EXIT_NOT_STARTED);
    }
    // The VM has a share of one core: a second traffic thread would only add context switches.
    let runtime = match tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start threads: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    runtime.block_on(async {
        let reload = tokio::spawn(check_settings_on_hangup(path.to_owned(), settings.clone()));
        let daemon = match GatewayDaemon::start(settings, spanfold_platform::dialect()).await {
            Ok(daemon) => daemon,
            Err(error) => {
                log::error!(cause:% = error; "gateway.not_started");
                eprintln!("{error}");
                return ExitCode::from(EXIT_NOT_STARTED);
            }
        };
        wait_for_signal().await;
        daemon.stop().await;
        reload.abort();
        ExitCode::SUCCESS
    })
}

/// Checks the settings file at each SIGHUP and logs whether a restart would change anything.
///
/// No setting of the gateway changes while it runs, because all are addresses and bounds that peers
/// and the platform rely on. An invalid file does not affect the running gateway.
async fn check_settings_on_hangup(path: PathBuf, settings: GatewaySettings) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    while hangup.recv().await.is_some() {
        let outcome = match read_gateway_settings(&path) {
            Ok(new_settings) if new_settings == settings => "unchanged",
            Ok(_) => "changes wait for a restart",
            Err(_) => "rejected",
        };
        log::info!(outcome; "settings.reloaded");
    }
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
