//! Clients that do not behave, many at once, until they are stopped.

use crate::desk::LONG_ANSWER_BYTES;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// Send and receive buffers of a client, in bytes: the crowd's own memory is bounded.
const SOCKET_BUFFER_BYTES: u32 = 32 << 10;
/// Pause between pieces of what is sent slowly.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
/// Pause between reads of a client that reads slowly.
const READ_PAUSE: Duration = Duration::from_millis(200);
/// Pause before a client whose connection ended or was refused opens the next one.
const RECONNECT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that are opened at once.
const CONNECT_BATCH: usize = 64;
/// Bytes written at once.
const PIECE_BYTES: usize = 16 << 10;
/// Time that a client waits for the answer to a request that it has sent whole.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// What a crowd does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Misuse {
    /// Bodies of legal size, at once, in one piece.
    WholeBodies,
    /// Bodies of legal size, in small pieces without a pause.
    PiecedBodies,
    /// Bodies of legal size, in chunks of a byte.
    ChunkedBodies,
    /// Bodies over the limit that name their length.
    DeclaredOversize,
    /// Chunked bodies without an end.
    EndlessBodies,
    /// Heads of legal size with as many header fields as they hold.
    ManyFields,
    /// Prompts with as many segments as a head holds.
    ManySegments,
    /// Requests sent one after the other; no answer is read.
    Pipelined,
    /// Heads, a few bytes at a time.
    SlowHeads,
    /// Most of a head, and then nothing.
    HalfHeads,
    /// Bodies, a few bytes at a time.
    SlowBodies,
    /// Half of a body, and then nothing.
    HalfBodies,
    /// Long answers, of which a few bytes are read at a time.
    SlowReaders,
    /// Connections without a request.
    Silent,
    /// Connections that are reset in the middle of a request.
    Resets,
}

pub(crate) const ALL_MISUSES: [Misuse; 15] = [
    Misuse::WholeBodies,
    Misuse::PiecedBodies,
    Misuse::ChunkedBodies,
    Misuse::DeclaredOversize,
    Misuse::EndlessBodies,
    Misuse::ManyFields,
    Misuse::ManySegments,
    Misuse::Pipelined,
    Misuse::SlowHeads,
    Misuse::HalfHeads,
    Misuse::SlowBodies,
    Misuse::HalfBodies,
    Misuse::SlowReaders,
    Misuse::Silent,
    Misuse::Resets,
];

/// What clients may send by the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClientLimits {
    pub(crate) header_bytes: usize,
    pub(crate) body_bytes: usize,
}

/// Statuses of the answers that a crowd read.
#[derive(Debug, Default)]
pub(crate) struct CrowdCounts {
    pub(crate) opened: AtomicU64,
    pub(crate) answered: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) ended: AtomicU64,
}

/// A running crowd; it ends when it is dropped.
#[derive(Debug)]
pub(crate) struct Crowd {
    pub(crate) counts: Arc<CrowdCounts>,
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts `connections` clients; `paths` are taken in turn.
    pub(crate) fn start(
        misuse: Misuse,
        address: SocketAddr,
        connections: usize,
        paths: &'static [&'static str],
        limits: ClientLimits,
    ) -> Self {
        let counts = Arc::<CrowdCounts>::default();
        let mut clients = JoinSet::new();
        for number in 0..connections {
            let client = Client { misuse, number, address, path: paths[number % paths.len()], limits };
            let counts = Arc::clone(&counts);
            clients.spawn(async move {
                // They do not all connect in the same moment: the system would drop most attempts.
                tokio::time::sleep(Duration::from_millis((number / CONNECT_BATCH) as u64)).await;
                for round in 0_u64.. {
                    if let Ok(stream) = connect(address).await {
                        counts.opened.fetch_add(1, Ordering::SeqCst);
                        let status = client.send(stream, round).await;
                        let count = match status {
                            Some(503 | 429 | 408) => &counts.refused,
                            Some(_) => &counts.answered,
                            None => &counts.ended,
                        };
                        count.fetch_add(1, Ordering::SeqCst);
                    }
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            });
        }
        Self { counts, _clients: clients }
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = TcpSocket::new_v4()?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    let stream = socket.connect(address).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

struct Client {
    misuse: Misuse,
    number: usize,
    address: SocketAddr,
    path: &'static str,
    limits: ClientLimits,
}

impl Client {
    /// Sends one request, or many, as its kind does; returns the status of the answer, if it reads one.
    async fn send(&self, mut stream: TcpStream, round: u64) -> Option<u16> {
        let id = format!("crowd-{:?}-{}-{}-{round}", self.misuse, self.address.port(), self.number);
        let body_bytes = self.limits.body_bytes;
        let stream = &mut stream;
        match self.misuse {
            Misuse::WholeBodies => {
                write(stream, &self.head(&id, &format!("Content-Length: {body_bytes}\r\n"))).await?;
                write_body(stream, body_bytes, PIECE_BYTES, None).await?;
                read_status(stream).await
            }
            Misuse::PiecedBodies => {
                write(stream, &self.head(&id, &format!("Content-Length: {body_bytes}\r\n"))).await?;
                write_body(stream, body_bytes, 100, None).await?;
                read_status(stream).await
            }
            Misuse::ChunkedBodies => {
                write(stream, &self.head(&id, "Transfer-Encoding: chunked\r\n")).await?;
                let piece = b"1\r\nx\r\n".repeat(PIECE_BYTES / 6);
                for _ in 0..body_bytes / (PIECE_BYTES / 6) {
                    stream.write_all(&piece).await.ok()?;
                }
                write(stream, "0\r\n\r\n").await?;
                read_status(stream).await
            }
            Misuse::DeclaredOversize => {
                let length = body_bytes * 64;
                write(stream, &self.head(&id, &format!("Content-Length: {length}\r\n"))).await?;
                write_body(stream, length, PIECE_BYTES, None).await?;
                read_status(stream).await
            }
            Misuse::EndlessBodies => {
                write(stream, &self.head(&id, "Transfer-Encoding: chunked\r\n")).await?;
                let piece = format!("{PIECE_BYTES:x}\r\n{}\r\n", "x".repeat(PIECE_BYTES));
                while write(stream, &piece).await.is_some() {}
                None
            }
            Misuse::ManyFields => {
                write(stream, &self.many_fields(&id)).await?;
                read_status(stream).await
            }
            Misuse::ManySegments => {
                write(stream, &self.many_segments(&id)).await?;
                read_status(stream).await
            }
            Misuse::Pipelined => {
                let requests: String = (0..64).map(|ahead| self.head(&format!("{id}-{ahead}"), "")).collect();
                while write(stream, &requests).await.is_some() {}
                None
            }
            Misuse::SlowHeads => {
                let head =
                    self.head(&id, &format!("X-Note: {}\r\n", "n".repeat(self.limits.header_bytes / 2)));
                write_slowly(stream, head.as_bytes(), 32).await?;
                read_status(stream).await
            }
            Misuse::HalfHeads => {
                let note = "n".repeat(self.limits.header_bytes * 7 / 8);
                let head = self.head(&id, &format!("X-Note: {note}\r\n"));
                write(stream, &head[..head.len() - 4]).await?;
                until_end(stream).await
            }
            Misuse::SlowBodies => {
                write(stream, &self.head(&id, &format!("Content-Length: {body_bytes}\r\n"))).await?;
                write_body(stream, body_bytes, 512, Some(PIECE_PAUSE)).await?;
                read_status(stream).await
            }
            Misuse::HalfBodies => {
                write(stream, &self.head(&id, &format!("Content-Length: {body_bytes}\r\n"))).await?;
                write_body(stream, body_bytes / 2, PIECE_BYTES, None).await?;
                until_end(stream).await
            }
            Misuse::SlowReaders => {
                write(stream, &self.head(&id, "")).await?;
                let mut piece = [0; 512];
                for _ in 0..LONG_ANSWER_BYTES / piece.len() {
                    tokio::time::sleep(READ_PAUSE).await;
                    stream.read_exact(&mut piece).await.ok()?;
                }
                None
            }
            Misuse::Silent => until_end(stream).await,
            Misuse::Resets => {
                write(stream, &self.head(&id, &format!("Content-Length: {body_bytes}\r\n"))).await?;
                write_body(stream, PIECE_BYTES.min(body_bytes / 2), PIECE_BYTES, None).await?;
                stream.set_zero_linger().ok()?;
                None
            }
        }
    }

    fn request_line(&self) -> String {
        let method = if self.misuse == Misuse::Pipelined { "GET" } else { "POST" };
        let long = if self.misuse == Misuse::SlowReaders { "long" } else { "" };
        format!("{method} {}{long} HTTP/1.1\r\n", self.path)
    }

    fn head(&self, id: &str, lines: &str) -> String {
        // Half of them have a key that is not known.
        let key = if self.number.is_multiple_of(2) { "key-two" } else { "key-none" };
        format!(
            "{}Host: a.example\r\nX-Request-Id: {id}\r\nX-Deadline-Ms: 4000\r\nAuthorization: Bearer {key}\r\n{lines}\r\n",
            self.request_line()
        )
    }

    fn many_fields(&self, id: &str) -> String {
        let mut lines = String::new();
        let left = self.limits.header_bytes - self.head(id, "").len();
        for number in 0.. {
            let line = format!("{number:x}:\r\n");
            if lines.len() + line.len() > left {
                break;
            }
            lines.push_str(&line);
        }
        self.head(id, &lines)
    }

    fn many_segments(&self, id: &str) -> String {
        let mut lines = "X-Model: m0\r\nX-Token-Usage: 9000,20\r\nX-Prefix-Hash: 0:1".to_owned();
        let left = self.limits.header_bytes - self.head(id, "\r\n").len();
        for number in 1.. {
            let segment = format!(",{number:x}:1");
            if lines.len() + segment.len() > left {
                break;
            }
            lines.push_str(&segment);
        }
        self.head(id, &(lines + "\r\n"))
    }
}

async fn write(stream: &mut TcpStream, text: &str) -> Option<()> {
    stream.write_all(text.as_bytes()).await.ok()
}

async fn write_slowly(stream: &mut TcpStream, bytes: &[u8], piece_bytes: usize) -> Option<()> {
    for piece in bytes.chunks(piece_bytes) {
        stream.write_all(piece).await.ok()?;
        tokio::time::sleep(PIECE_PAUSE).await;
    }
    Some(())
}

async fn write_body(
    stream: &mut TcpStream,
    body_bytes: usize,
    piece_bytes: usize,
    pause: Option<Duration>,
) -> Option<()> {
    let piece = vec![b'b'; piece_bytes];
    let mut left = body_bytes;
    while left > 0 {
        let length = left.min(piece_bytes);
        stream.write_all(&piece[..length]).await.ok()?;
        left -= length;
        if let Some(pause) = pause {
            tokio::time::sleep(pause).await;
        }
    }
    Some(())
}

/// Reads until the connection ends.
async fn until_end(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = [0; 64];
    let length = stream.read(&mut bytes).await.ok()?;
    status(&bytes[..length])
}

async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut bytes = [0; 64];
    let length = tokio::time::timeout(ANSWER_TIMEOUT, stream.read(&mut bytes)).await.ok()?.ok()?;
    status(&bytes[..length])
}

fn status(bytes: &[u8]) -> Option<u16> {
    std::str::from_utf8(bytes.get(9..12)?).ok()?.parse().ok()
}
