//! `spanfold held` against a VM that answers by script.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};

const ROWS: &str = r#"[{"digest":"00ff","request":"one POST h/p (5 bytes)","phase":"held","round":1,"endings":3,
    "rest_s":540,"turned_away":7}]"#;

/// Answers each call with `body`, or as not found if its first line is not `expected`.
fn answering(expected: &'static str, body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4_096];
            let length = stream.read(&mut head).unwrap();
            let is_expected = head[..length].starts_with(expected.as_bytes());
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

fn held(arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_spanfold")).arg("held").args(arguments).output().unwrap();
    let text = format!("{}{}", String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));
    (status.code().unwrap_or(-1), text)
}

#[test]
fn list_shows_what_each_vm_holds_back_and_which_is_not_reached() {
    let vm = answering("GET /held ", ROWS).to_string();
    let (code, text) = held(&["list", &vm]);
    let row = format!(
        "{vm}  00ff  held (hold 1) for 540 s more  3 endpoints ended  7 turned away here  one POST h/p (5 bytes)\n"
    );
    assert_eq!((code, text.as_str()), (0, row.as_str()));
    let (code, text) = held(&["list", "--json", &vm, "127.0.0.1:9"]);
    assert_eq!(code, 4);
    assert!(text.contains("\"digest\":\"00ff\"") && text.contains("\"error\""), "{text}");
    let none = answering("GET /held ", "[]").to_string();
    assert_eq!(held(&["list", &none]), (0, "nothing is held back\n".to_owned()));
}

#[test]
fn lift_names_the_hold_and_tells_if_there_is_none() {
    let vm = answering("POST /held/00ff/lift ", "{\"lifted\":true}").to_string();
    assert_eq!(held(&["lift", &vm, "00ff"]), (0, "00ff: lifted\n".to_owned()));
    assert_eq!(held(&["lift", &vm, "aaaa"]), (1, "aaaa: no such hold\n".to_owned()));
    assert_eq!(held(&["lift", "127.0.0.1:9", "00ff"]).0, 4);
    assert_eq!(held(&["lift", &vm]).0, 1);
}
