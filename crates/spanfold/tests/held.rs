//! `spanfold held` against a VM with scripted answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

const ROWS: &str = r#"[{"digest":"00ff","request":"one POST h/p (5 bytes)","phase":"held","round":1,"endings":3,
    "rest_s":540,"turned_away":7}]"#;

/// Starts a VM that answers calls whose head starts with `expected_start` with `body`, others with 404.
fn start_scripted_vm(expected_start: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).unwrap();
            let is_expected = head[..length].starts_with(expected_start.as_bytes());
            let (status, body) =
                if is_expected { ("200 OK", body) } else { ("404 Not Found", "no such hold\n") };
            let answer = format!(
                "HTTP/1.1 {status}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(answer.as_bytes()).unwrap();
        }
    });
    address
}

fn run_held(arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_spanfold")).arg("held").args(arguments).output().unwrap();
    let text = format!("{}{}", String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));
    (status.code().unwrap_or(-1), text)
}

#[test]
fn list_shows_quarantined_requests_and_unreachable_vms() {
    let vm = start_scripted_vm("GET /held ", ROWS).to_string();
    let (code, text) = run_held(&["list", &vm]);
    let row = format!(
        "{vm}  00ff  held (hold 1) for 540 s more  3 endpoints ended  7 turned away here  one POST h/p (5 bytes)\n"
    );
    assert_eq!((code, text.as_str()), (0, row.as_str()));
    let (code, text) = run_held(&["list", "--json", &vm, "127.0.0.1:9"]);
    assert_eq!(code, 4);
    assert!(text.contains("\"digest\":\"00ff\"") && text.contains("\"error\""), "{text}");
    let none = start_scripted_vm("GET /held ", "[]").to_string();
    assert_eq!(run_held(&["list", &none]), (0, "nothing is held back\n".to_owned()));
}

/// Guards against a list in which a held part looks like a request.
#[test]
fn list_names_held_parts_and_those_that_came_with_them() {
    const PARTS: &str = r#"[{"digest":"00aa","request":"prompts for m of llm","part":"dead","together":["a1","b2"],
        "phase":"held","round":2,"endings":4,"rest_s":540,"turned_away":7},
        {"digest":"00bb","request":"prompts for m of llm","part":"beef","together":[],"phase":"trial","round":1,
        "endings":4,"rest_s":50,"turned_away":0}]"#;
    let vm = start_scripted_vm("GET /held ", PARTS).to_string();
    let rows = format!(
        "{vm}  00aa  held (hold 2) for 540 s more  4 endpoints ended  7 turned away here  part dead together with a1, b2 of prompts for m of llm\n\
         {vm}  00bb  trial (hold 1) for 50 s more  4 endpoints ended  0 turned away here  part beef of prompts for m of llm\n"
    );
    assert_eq!(run_held(&["list", &vm]), (0, rows));
}

#[test]
fn lift_prints_the_digest_and_fails_for_an_unknown_one() {
    let vm = start_scripted_vm("POST /held/00ff/lift ", "{\"lifted\":true}").to_string();
    assert_eq!(run_held(&["lift", &vm, "00ff"]), (0, "00ff: lifted\n".to_owned()));
    assert_eq!(run_held(&["lift", &vm, "aaaa"]), (1, "aaaa: no such hold\n".to_owned()));
    assert_eq!(run_held(&["lift", "127.0.0.1:9", "00ff"]).0, 4);
    assert_eq!(run_held(&["lift", &vm]).0, 1);
}
