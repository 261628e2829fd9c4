//! Tests of the command `spanfoldd gateway`.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};

fn run_gateway_command(arguments: &[&str], settings: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_spanfoldd"));
    command.arg("gateway").args(arguments).env_remove("SPANFOLD_SETTINGS");
    if let Some(text) = settings {
        let name = format!("spanfold-gateway-{}-{}.ini", std::process::id(), text.len());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        command.env("SPANFOLD_SETTINGS", path);
    }
    command.output().unwrap()
}

fn error_text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const VALID_SETTINGS: &str = "[vm]\nname = vm-1\ndata_centre = dc-a\n[listen]\ncallers = 127.0.0.1:0\n\
    readiness = 127.0.0.1:0\nmetrics = 127.0.0.1:0\npeers = 127.0.0.1:0\n[store]\naddress = 127.0.0.1:1\n";

#[test]
fn all_findings_of_a_settings_file_are_reported_together() {
    let text = "[vm]\nname = vm-1\nage = 3\n[listen]\ncallers = here\n[bounds]\ngrace_s = soon\n[boat]\n";
    let output = run_gateway_command(&[], Some(text));
    assert_eq!(output.status.code(), Some(2));
    let errors = error_text(&output);
    for finding in [
        ":3: vm/age: unknown key",
        ":1: vm/data_centre: is required",
        ":5: listen/callers: `here` is not IP:PORT",
        "listen/readiness: is required",
        "store/address: is required",
        ":7: bounds/grace_s: `soon` is not a number in range",
        ":8: boat: unknown section",
    ] {
        assert!(errors.contains(finding), "{finding} is not in:\n{errors}");
    }
}

#[test]
fn a_good_file_passes_the_check() {
    let output = run_gateway_command(&["--check"], Some(VALID_SETTINGS));
    assert_eq!((output.status.code(), error_text(&output).as_str()), (Some(0), ""));
}

#[test]
fn a_missing_settings_file_is_reported() {
    assert_eq!(run_gateway_command(&[], None).status.code(), Some(2));
    let missing = run_gateway_command(&["--settings", "/nowhere/gateway.ini"], None);
    assert_eq!(missing.status.code(), Some(2));
    assert!(error_text(&missing).contains("/nowhere/gateway.ini"));
}

#[test]
fn the_table_of_settings_is_printed() {
    let output = run_gateway_command(&["--print-settings"], None);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(text.contains("[bounds]") && text.contains("retry_ratio = 0.2"), "{text}");
}

/// Requests a path on an open connection and returns the status line of the answer.
fn request_status(stream: &mut TcpStream, path: &str) -> String {
    // One write: parts of a request written separately would wait for each other's acknowledgements.
    let request = format!("GET {path} HTTP/1.1\r\nHost: a.example\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    let (mut status, mut length, mut line) = (String::new(), 0, String::new());
    reader.read_line(&mut status).unwrap();
    while {
        line.clear();
        reader.read_line(&mut line).unwrap() > 2
    } {
        if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).unwrap();
    status.trim().to_owned()
}

/// Attempts to start a gateway, since a port found free may be in use a moment later.
const MAX_START_ATTEMPTS: usize = 5;

/// Lines of a process's log.
type LogLines = Box<dyn Iterator<Item = String>>;

/// Starts a gateway without a store that logs from `level` on; returns its process, caller address, settings file and log.
fn start_gateway(name: &str, level: &str) -> (Child, SocketAddr, PathBuf, LogLines) {
    let path = std::env::temp_dir().join(format!("spanfold-{name}-{}.ini", std::process::id()));
    for _ in 0..MAX_START_ATTEMPTS {
        let callers = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let text = VALID_SETTINGS.replacen("callers = 127.0.0.1:0", &format!("callers = {callers}"), 1);
        let text = format!("{text}[log]\nlevel = {level}\n");
        std::fs::write(&path, &text).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_spanfoldd"));
        let command = command.args(["gateway", "--settings"]).arg(&path);
        let mut child = command.stdout(Stdio::piped()).spawn().unwrap();
        let mut log = BufReader::new(child.stdout.take().unwrap()).lines().map(Result::unwrap);
        if log.any(|line| line.contains("gateway.started")) {
            return (child, callers, path, Box::new(log));
        }
        child.wait().unwrap();
    }
    panic!("no gateway started in {MAX_START_ATTEMPTS} attempts");
}

#[test]
fn a_stalled_log_reader_blocks_nothing_and_gets_the_number_of_dropped_lines() {
    let (mut child, callers, _path, mut log) = start_gateway("unread", "debug");
    // Each connection that breaks within a head writes a line: more lines than the pipe and the line queue can
    // hold. Lines of refused requests are bounded.
    let mut stream = TcpStream::connect(callers).unwrap();
    for number in 0..8_000 {
        let mut broken = TcpStream::connect(callers).unwrap();
        broken.write_all(b"GET /read/ HTTP/1.1\r\n").unwrap();
        drop(broken);
        if number % 10 == 0 {
            assert!(request_status(&mut stream, "/read/").contains("503"));
        }
    }
    let dropped = log.find(|line| line.contains("log.dropped")).unwrap();
    let dropped: serde_json::Value = serde_json::from_str(&dropped).unwrap();
    assert!(dropped["lines"].as_str().unwrap().parse::<u64>().unwrap() > 0, "{dropped}");
    child.kill().unwrap();
    child.wait().unwrap();
}

#[test]
fn a_hangup_checks_the_settings_and_cuts_no_connection() {
    let (mut child, callers, path, mut log) = start_gateway("hangup", "info");
    let mut stream = TcpStream::connect(callers).unwrap();
    assert!(request_status(&mut stream, "/read/").contains("503"));
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, format!("{text}[boat]\n")).unwrap();
    let pid = nix::unistd::Pid::from_raw(child.id() as i32);
    nix::sys::signal::kill(pid, nix::sys::signal::Signal::SIGHUP).unwrap();
    assert!(log.any(|line| line.contains("settings.reloaded")));
    assert!(request_status(&mut stream, "/read/").contains("503"));
    child.kill().unwrap();
    child.wait().unwrap();
}
