//! Connections from outside: their number, their memory, and how long they may take.

mod connection_buffers;
mod connection_limiter;
mod guarded_stream;
mod listener;

pub(crate) use connection_buffers::FIELD_BYTES;
pub(crate) use connection_limiter::{
    CROWDED_READ_BYTES, ConnectionLimiter, ConnectionMonitor, OpenConnection,
};
pub(crate) use guarded_stream::{GuardedStream, poll_read_part};
pub(crate) use listener::{CALLER_LIFETIME_MILLIS, connection_limit, listen};
