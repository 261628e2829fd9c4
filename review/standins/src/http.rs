//! Heads and bodies of HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// The head and the body of a message that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path and query of a request.
    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; none at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if message.first_line.is_empty() {
            if !line.is_empty() {
                message.first_line = line.to_owned();
            }
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((key, value)) = line.split_once(':') {
            message.headers.push((key.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a request with its body.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    } else {
        let length = message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    }
    Ok(Some(message))
}

/// Reads a body in chunks up to its last one.
pub fn read_chunks(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = read_chunk(reader)? {
        body.extend(chunk);
    }
    Ok(body)
}

/// Reads one chunk; none for the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
        .map_err(|_error| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut chunk = vec![0; length + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(length);
    Ok((length > 0).then_some(chunk))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let lines: String = headers.iter().map(|(key, value)| format!("{key}: {value}\r\n")).collect();
    let head = format!("HTTP/1.1 {status} Status\r\n{lines}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())
}
