//! Listeners whose connections have small buffers, and how many connections a VM can bear.

use crate::memory::caller_bytes;
use nix::sys::resource::{Resource, getrlimit};
use spanfold_declare::GatewaySettings;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Receive buffer of a new connection in bytes. What arrives before it is read counts towards the VM's memory.
pub(super) const RECEIVE_BUFFER_BYTES: u32 = 4 << 10;
/// Send buffer of a connection in bytes.
const SEND_BUFFER_BYTES: u32 = 32 << 10;
/// Time that a caller's new connection has for its first request in a crowd, in milliseconds: some round trips.
pub(crate) const CALLER_LIFETIME_MILLIS: u64 = 100;
/// Connections that wait to be accepted.
const MAX_BACKLOG: u32 = 2_048;
/// Memory of one connection without a request: its task, buffers, and what has arrived unread.
const CALLER_CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors of the platform's limit that are kept for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Fraction of the other descriptors for callers. A request uses a connection of its caller and one or two to
/// endpoints.
const CALLER_DESCRIPTOR_FRACTION: f64 = 0.45;

/// Listens at an address.
///
/// # Errors
/// The operating system's, if the address cannot be bound.
pub(crate) fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit these. A system without them uses its defaults.
    for (buffer, result) in [
        ("receive", socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)),
        ("send", socket.set_send_buffer_size(SEND_BUFFER_BYTES)),
    ] {
        if let Err(error) = result {
            log::warn!(buffer, cause:% = error; "listener.buffer_size");
        }
    }
    socket.bind(address)?;
    socket.listen(MAX_BACKLOG)
}

/// Returns the largest number of connections of callers, by the VM's memory and descriptors.
pub(crate) fn connection_limit(settings: &GatewaySettings) -> usize {
    let by_memory = (caller_bytes(settings.memory_mb) / CALLER_CONNECTION_BYTES) as f64;
    let by_descriptors = descriptor_limit(settings.descriptors) as f64 * CALLER_DESCRIPTOR_FRACTION;
    by_memory.min(by_descriptors).max(1.0) as usize
}

/// Returns the number of sockets that the process may open.
fn descriptor_limit(setting: u64) -> u64 {
    let by_setting = if setting == 0 { u64::MAX } else { setting.saturating_sub(FILE_DESCRIPTORS) };
    let by_system = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
    by_setting.min(by_system)
}
