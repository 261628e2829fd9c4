//! A connection's bytes, with what they tell about its client.

use super::ConnectionMonitor;
use super::connection_limiter::{CROWDED_READ_BYTES, ReadPace};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Reads at most `max_bytes`, which may be [`usize::MAX`] or [`CROWDED_READ_BYTES`].
pub(crate) fn poll_read_part(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    max_bytes: usize,
) -> Poll<io::Result<()>> {
    if buffer.remaining() <= max_bytes {
        return Pin::new(stream).poll_read(context, buffer);
    }
    let mut bytes = [MaybeUninit::uninit(); CROWDED_READ_BYTES];
    let mut part = ReadBuf::uninit(&mut bytes);
    ready!(Pin::new(stream).poll_read(context, &mut part))?;
    buffer.put_slice(part.filled());
    Poll::Ready(Ok(()))
}

/// A stream that records when its client sends, and when it does not read.
#[derive(Debug)]
pub(crate) struct GuardedStream {
    stream: TcpStream,
    monitor: Arc<ConnectionMonitor>,
    /// Until when nothing is read.
    pause: Option<Pin<Box<Sleep>>>,
    /// Size of the system's receive buffer.
    receive_buffer_bytes: u32,
}

impl GuardedStream {
    pub(crate) fn new(stream: TcpStream, monitor: Arc<ConnectionMonitor>) -> Self {
        let receive_buffer_bytes = monitor.receive_buffer_bytes();
        Self { stream, monitor, pause: None, receive_buffer_bytes }
    }

    fn resize_receive_buffer(&mut self) {
        let bytes = self.monitor.receive_buffer_bytes();
        if bytes != self.receive_buffer_bytes {
            self.receive_buffer_bytes = bytes;
            if let Err(error) = SockRef::from(&self.stream).set_recv_buffer_size(bytes as usize) {
                log::debug!(cause:% = error; "connection.buffer_size");
            }
        }
    }

    fn poll_pause(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        Poll::Ready(())
    }

    fn observe(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.monitor.record_write(result.is_pending());
        result
    }
}

impl AsyncRead for GuardedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.poll_pause(context));
        self.resize_receive_buffer();
        let before = buffer.filled().len();
        let (mut max_bytes, mut next_pause) = (usize::MAX, Duration::ZERO);
        match self.monitor.read_pace() {
            ReadPace::Wait(pause) => {
                self.pause = Some(Box::pin(tokio::time::sleep(pause)));
                ready!(self.poll_pause(context));
            }
            ReadPace::Free => {}
            ReadPace::Limited { max_bytes: limit, pause } => {
                max_bytes = limit;
                next_pause = pause;
            }
        }
        ready!(poll_read_part(&mut self.stream, context, buffer, max_bytes))?;
        if !next_pause.is_zero() {
            self.pause = Some(Box::pin(tokio::time::sleep(next_pause)));
        }
        let bytes = &buffer.filled()[before..];
        if !bytes.is_empty() {
            self.monitor.record_read(bytes);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for GuardedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe(result)
    }

    /// The library flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.monitor.record_flush();
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observe(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
