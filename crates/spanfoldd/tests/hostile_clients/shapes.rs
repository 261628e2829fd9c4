//! In calm, one request inside the limits is served, whatever its shape.

use crate::RUN;
use crate::crowd::ClientLimits;
use crate::site::{RunTerms, Site};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Limits of the users' deployments.
const USUAL_LIMITS: ClientLimits = ClientLimits { header_bytes: 16_384, body_bytes: 4 << 20 };
/// Larger limits that a configuration may set.
const LARGER_LIMITS: ClientLimits = ClientLimits { header_bytes: 128 << 10, body_bytes: 16 << 20 };

/// Time that a request may take: how fast a machine reads millions of chunks is not judged here.
const TIMEOUT_MILLIS: u64 = 60_000;

/// Largest number of header fields, whatever the head's limit.
const MAX_FIELDS: usize = 16_384;

/// Shape of a request inside the limits.
#[derive(Clone, Copy, Debug)]
enum Shape {
    /// As many fields as the head holds.
    ManyFields,
    /// As many fields of one name as the head holds.
    RepeatedFields,
    /// One field that fills the head.
    LongField,
    /// A path that fills much of the head.
    LongPath,
    /// As many segments of a prompt as the head holds.
    ManySegments,
    /// The longest body, at once.
    WholeBody,
    /// The longest body, in chunks of a byte.
    TinyChunks,
    /// A body in a few pieces, each some time after the one before.
    PausedBody,
    /// A head in a few pieces, within the time for heads.
    PausedHead,
}

/// Returns a request's head up to `bytes` long, filled by what `next` returns for each number.
fn filled(beginning: &str, bytes: usize, next: impl Fn(usize) -> String) -> String {
    let mut head = beginning.to_owned();
    for number in 0.. {
        let line = next(number);
        if head.len() + line.len() + 2 > bytes {
            break;
        }
        head.push_str(&line);
    }
    head
}

impl Shape {
    /// Returns the pieces of a request, which are sent with a pause in between, and the length of its body.
    fn pieces(self, limits: ClientLimits) -> (Vec<Vec<u8>>, usize) {
        let common = "Host: a.example\r\nX-Request-Id: shape\r\nX-Deadline-Ms: 60000\r\nAuthorization: Bearer key-one\r\n";
        let post = format!("POST /write/1 HTTP/1.1\r\n{common}");
        let (head_bytes, body_bytes) = (limits.header_bytes, limits.body_bytes);
        // The library's map holds 24,576 fields; the documented limit is 16,384.
        let field_bytes = head_bytes.min(MAX_FIELDS * "a:\r\n".len());
        let whole = |head: String| (vec![(head + "\r\n").into_bytes()], 0);
        match self {
            Self::ManyFields => whole(filled(&post, field_bytes, |number| format!("{number:x}:\r\n"))),
            Self::RepeatedFields => whole(filled(&post, field_bytes, |_| "a:\r\n".to_owned())),
            Self::LongField => {
                let note = "n".repeat(head_bytes - post.len() - "X-Note: \r\n\r\n".len());
                whole(format!("{post}X-Note: {note}\r\n"))
            }
            Self::LongPath => {
                let path = "p".repeat(head_bytes * 3 / 8);
                whole(format!("POST /write/{path} HTTP/1.1\r\n{common}"))
            }
            Self::ManySegments => {
                let chat = format!(
                    "POST /chat/1 HTTP/1.1\r\n{common}X-Model: m0\r\nX-Token-Usage: 9000,20\r\nX-Prefix-Hash: 0:1"
                );
                let head = filled(&chat, head_bytes - 2, |number| format!(",{:x}:1", number + 1));
                whole(head + "\r\n")
            }
            Self::WholeBody => {
                let head = format!("{post}Content-Length: {body_bytes}\r\n\r\n");
                (vec![[head.into_bytes(), vec![b'b'; body_bytes]].concat()], body_bytes)
            }
            Self::TinyChunks => {
                let head = format!("{post}Transfer-Encoding: chunked\r\n\r\n");
                let chunks = b"1\r\nx\r\n".repeat(body_bytes);
                (vec![[head.into_bytes(), chunks, b"0\r\n\r\n".to_vec()].concat()], body_bytes)
            }
            Self::PausedBody => {
                let mut pieces = vec![format!("{post}Content-Length: 100000\r\n\r\n").into_bytes()];
                pieces.extend((0..10).map(|_| vec![b'b'; 10_000]));
                (pieces, 100_000)
            }
            Self::PausedHead => {
                let head = filled(&post, head_bytes, |number| format!("X-{number}: note\r\n")) + "\r\n";
                (head.as_bytes().chunks(head_bytes / 8).map(<[u8]>::to_vec).collect(), 0)
            }
        }
    }
}

async fn answer(address: SocketAddr, pieces: &[Vec<u8>]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.split();
    let write = async {
        for piece in pieces {
            writer.write_all(piece).await.unwrap();
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let read = async {
        let mut bytes = Vec::new();
        let mut chunk = [0; 4_096];
        loop {
            let length = reader.read(&mut chunk).await.unwrap_or(0);
            bytes.extend_from_slice(&chunk[..length]);
            let text = String::from_utf8_lossy(&bytes).into_owned();
            let is_whole = text.ends_with("0\r\n\r\n") || text.contains("shape ");
            if length == 0 || is_whole || text.contains("HTTP/1.1 4") || text.contains("HTTP/1.1 5") {
                return text;
            }
        }
    };
    tokio::select! {
        text = read => text,
        () = async { write.await; std::future::pending().await } => unreachable!("the answer ends the exchange"),
    }
}

/// Guards against refusals of legal requests.
#[yare::parameterized(
    many_fields = { Shape::ManyFields },
    repeated_fields = { Shape::RepeatedFields },
    long_field = { Shape::LongField },
    long_path = { Shape::LongPath },
    many_segments = { Shape::ManySegments },
    whole_body = { Shape::WholeBody },
    tiny_chunks = { Shape::TinyChunks },
    paused_body = { Shape::PausedBody },
    paused_head = { Shape::PausedHead },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_request_inside_the_limits_is_served_in_calm(shape: Shape) {
    let _run = RUN.lock().await;
    for (name, clients) in [("usual", USUAL_LIMITS), ("larger", LARGER_LIMITS)] {
        let terms = RunTerms { clients, timeout_millis: TIMEOUT_MILLIS, ..RunTerms::from_environment() };
        let mut site = Site::start(&format!("Shape{shape:?}-{name}"), terms).await;
        let (pieces, body_bytes) = shape.pieces(clients);
        let answer = answer(site.vms[0].callers, &pieces).await;
        let peak = site.vms[0].peak();
        println!(
            "{shape:?}, {name} limits: peak {} bytes; {}",
            peak.memory_bytes,
            answer.lines().next().unwrap_or("")
        );
        assert_eq!(site.vms[0].end_cause(), None);
        assert!(answer.starts_with("HTTP/1.1 200"), "{shape:?}, {name} limits: {answer:.300}");
        let is_whole = answer.contains(&format!("shape {body_bytes}")) || answer.ends_with("0\r\n\r\n");
        assert!(is_whole, "{shape:?}, {name} limits: {answer:.300}");
    }
}

/// Connections that one caller keeps.
const KEPT_CONNECTIONS: usize = 300;

/// Guards against idle connections that are closed in calm, although their caller may use them again.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_of_one_caller_are_kept() {
    let _run = RUN.lock().await;
    let site = Site::start("Kept", RunTerms::from_environment()).await;
    let request = |number: usize| {
        format!(
            "GET /read/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: kept-{number}\r\nX-Deadline-Ms: 4000\r\n\
             Authorization: Bearer key-one\r\n\r\n"
        )
    };
    let mut connections = Vec::new();
    for round in 0..2 {
        for number in 0..KEPT_CONNECTIONS {
            if round == 0 {
                connections.push(TcpStream::connect(site.vms[0].callers).await.unwrap());
            }
            let stream = &mut connections[number];
            stream.write_all(request(round * KEPT_CONNECTIONS + number).as_bytes()).await.unwrap();
            let mut answer = Vec::new();
            while !String::from_utf8_lossy(&answer).contains(" 0") {
                let mut chunk = [0; 1_024];
                let length = stream.read(&mut chunk).await.unwrap();
                assert!(length > 0, "connection {number} ended in round {round}");
                answer.extend_from_slice(&chunk[..length]);
            }
            assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&answer));
        }
    }
}
