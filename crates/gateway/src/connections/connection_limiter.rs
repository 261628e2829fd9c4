//! The limit on open connections of one listener, and the signal that closes one of them.
//!
//! Invariant: a connection that the table no longer holds has been told to close.

use super::connection_buffers::ConnectionBuffers;
use super::listener::RECEIVE_BUFFER_BYTES;
use crate::memory::MemoryLimiter;
use crate::{CloseCause, ConnectionId, ConnectionPhase, ConnectionTable, ConnectionTimeouts, OpenRefusal};
use spanfold_entity::Moment;
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Receive buffer while a long body arrives, in bytes: at a round trip of 20 ms, 12 MB a second.
const LONG_BODY_RECEIVE_BYTES: usize = 256 << 10;
/// The same for a body of unknown length, whose memory is not reserved.
const CHUNKED_RECEIVE_BYTES: usize = 32 << 10;
/// Connections beyond the limit that are being closed.
const MAX_CLOSING_CONNECTIONS: usize = 32;
/// Part of the limit from which on connections read little at once.
const CROWD_DIVISOR: usize = 4;
/// Smallest number of connections that is many.
const MIN_CROWD: usize = 64;
/// Bytes that a connection reads at once while there are many. The library's buffer does not grow beyond its
/// first size then.
pub(crate) const CROWDED_READ_BYTES: usize = 4 << 10;
/// Bytes that a connection may send among many others before its reads are paced.
const MAX_UNPACED_BYTES: usize = 32 << 10;
/// Time of the thread for one read among many; with pauses of this for each connection, reads of long bodies leave
/// most of it to other work.
const READ_COST: Duration = Duration::from_micros(50);

/// Time that a connection waits for one of the others to have no request in work, in milliseconds.
const MAX_OPEN_WAIT_MILLIS: u64 = 200;
/// Interval between checks for that.
const OPEN_RETRY_MILLIS: u64 = 5;
/// Largest multiple of a connection's least lifetime, while tasks wait for long.
const MAX_LIFETIME_FACTOR: u32 = 4;
/// Interval between measurements of how long tasks wait.
const LAG_INTERVAL: Duration = Duration::from_millis(50);
/// Wait of a task that is ready to run from which on pauses get longer: a request needs the thread about ten times.
const MAX_LAG: Duration = Duration::from_millis(20);
/// Largest multiple of [`READ_COST`].
const MAX_PAUSE_FACTOR: u32 = 64;

#[derive(Debug)]
struct LimiterState {
    table: ConnectionTable,
    signals: HashMap<ConnectionId, Arc<CloseSignal>>,
    /// When overdue connections were last closed.
    swept_at: Moment,
}

/// Connections of one listener.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionLimiter {
    state: Arc<Mutex<LimiterState>>,
    /// Connections that exist: also those which are to be closed, until their tasks have ended.
    existing: Arc<AtomicUsize>,
    /// Wakes the listener when a connection ended.
    ended: Arc<Notify>,
    /// Wakes the task that adjusts the pauses.
    crowded: Arc<Notify>,
    /// Multiple of [`READ_COST`] in the pauses.
    pause_factor: Arc<AtomicU32>,
    max_connections: usize,
    min_lifetime_millis: u64,
    origin: Instant,
}

/// Tells a connection's task to close it.
#[derive(Debug, Default)]
struct CloseSignal {
    cause: OnceLock<CloseCause>,
    notify: Notify,
}

impl CloseSignal {
    fn send(&self, cause: CloseCause) {
        // The first cause counts.
        let _ = self.cause.set(cause);
        self.notify.notify_one();
    }
}

impl ConnectionLimiter {
    /// Creates a limiter for at most `max_connections`. A new connection has `min_lifetime_millis` for its first
    /// request before it is closed for another one.
    pub(crate) fn new(max_connections: usize, min_lifetime_millis: u64) -> Self {
        let state = LimiterState {
            table: ConnectionTable::new(max_connections),
            signals: HashMap::new(),
            swept_at: Moment(0),
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            existing: Arc::default(),
            ended: Arc::default(),
            crowded: Arc::default(),
            pause_factor: Arc::new(AtomicU32::new(1)),
            max_connections,
            min_lifetime_millis,
            origin: Instant::now(),
        }
    }

    /// Returns once the connections that are to be closed, but for a few, have ended.
    ///
    /// Connections that are accepted faster than others end would exceed the limit.
    pub(crate) async fn wait_for_room(&self) {
        while self.existing.load(Ordering::Relaxed) >= self.max_connections + MAX_CLOSING_CONNECTIONS {
            self.ended.notified().await;
        }
    }

    /// Opens a connection, for which another one may be closed; none if there is no room.
    ///
    /// What it buffers beyond the usual is counted in `memory`.
    pub(crate) async fn open(&self, memory: &MemoryLimiter) -> Option<(OpenConnection, Option<CloseCause>)> {
        let deadline = self.now().after_millis(MAX_OPEN_WAIT_MILLIS);
        loop {
            let moment = match self.try_open(memory) {
                Ok(opened) => return Some(opened),
                Err(OpenRefusal::Full) if self.now() >= deadline => return None,
                Err(OpenRefusal::Full) => self.now().after_millis(OPEN_RETRY_MILLIS),
                Err(OpenRefusal::Until(moment)) => moment,
            };
            tokio::time::sleep(Duration::from_micros(moment.micros_since(self.now()))).await;
        }
    }

    fn try_open(&self, memory: &MemoryLimiter) -> Result<(OpenConnection, Option<CloseCause>), OpenRefusal> {
        let mut state = self.state();
        // Connections that come and go fast take all of the thread's time.
        let factor = self.pause_factor.load(Ordering::Relaxed).min(MAX_LIFETIME_FACTOR);
        let (id, displaced) = state.table.open(self.now(), self.min_lifetime_millis * u64::from(factor))?;
        let displaced = displaced.and_then(|id| state.signals.remove(&id)).map(|signal| {
            signal.send(CloseCause::Displaced);
            CloseCause::Displaced
        });
        let signal = Arc::<CloseSignal>::default();
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        self.existing.fetch_add(1, Ordering::Relaxed);
        if self.is_crowded() {
            self.crowded.notify_one();
        }
        let monitor = ConnectionMonitor {
            limiter: self.clone(),
            id,
            signal,
            has_read: AtomicBool::new(false),
            is_idle: AtomicBool::new(true),
            is_head_arriving: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            unserved_bytes: AtomicUsize::new(0),
            receive_buffer_bytes: AtomicU32::new(RECEIVE_BUFFER_BYTES),
            buffers: ConnectionBuffers::new(memory),
        };
        Ok((OpenConnection(Arc::new(monitor)), displaced))
    }

    /// Whether many of the connections are open, so that each gets less.
    pub(crate) fn is_crowded(&self) -> bool {
        let crowd = (self.max_connections / CROWD_DIVISOR).max(MIN_CROWD);
        self.existing.load(Ordering::Relaxed) > crowd
    }

    /// Returns the pause between reads of a connection that sends much, while many are open.
    fn pause(&self) -> Duration {
        let connections = self.existing.load(Ordering::Relaxed) as u32;
        READ_COST * connections * self.pause_factor.load(Ordering::Relaxed)
    }

    /// Lengthens the pauses while tasks that are ready to run wait for long, and shortens them otherwise.
    pub(crate) async fn adjust_pauses(&self) {
        loop {
            if !self.is_crowded() {
                self.pause_factor.store(1, Ordering::Relaxed);
                self.crowded.notified().await;
            }
            let due_at = Instant::now() + LAG_INTERVAL;
            tokio::time::sleep(LAG_INTERVAL).await;
            let lag = due_at.elapsed();
            let factor = self.pause_factor.load(Ordering::Relaxed);
            let factor = match lag {
                lag if lag > MAX_LAG => (factor * 2).min(MAX_PAUSE_FACTOR),
                lag if lag < MAX_LAG / 2 => (factor - factor / 8).max(1),
                _ => factor,
            };
            self.pause_factor.store(factor, Ordering::Relaxed);
        }
    }

    /// Closes the connections that are overdue; returns their causes.
    ///
    /// `max_interval_millis` is the longest time between two calls of a VM that was not suspended. After a
    /// suspension nothing is closed: bytes may have arrived meanwhile.
    pub(crate) fn close_overdue(
        &self,
        timeouts: &ConnectionTimeouts,
        max_interval_millis: u64,
    ) -> Vec<CloseCause> {
        let now = self.now();
        let mut state = self.state();
        let was_suspended = now > state.swept_at.after_millis(max_interval_millis);
        state.swept_at = now;
        if was_suspended {
            return Vec::new();
        }
        let overdue = state.table.take_overdue(now, timeouts);
        overdue
            .into_iter()
            .map(|(id, cause)| {
                if let Some(signal) = state.signals.remove(&id) {
                    signal.send(cause);
                }
                cause
            })
            .collect()
    }

    /// Returns the number of open connections, and the largest one.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let state = self.state();
        (state.table.len(), state.table.max_connections())
    }

    fn now(&self) -> Moment {
        Moment(self.origin.elapsed().as_micros() as u64)
    }

    fn state(&self) -> MutexGuard<'_, LimiterState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An open connection, until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<ConnectionMonitor>);

impl OpenConnection {
    /// Returns what observes the connection.
    pub(crate) fn monitor(&self) -> Arc<ConnectionMonitor> {
        Arc::clone(&self.0)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.0.limiter.state();
        state.table.close(self.0.id);
        state.signals.remove(&self.0.id);
        drop(state);
        self.0.limiter.existing.fetch_sub(1, Ordering::Relaxed);
        self.0.limiter.ended.notify_one();
    }
}

/// Observes one connection: what it carries, and whether it is to be closed.
#[derive(Debug)]
pub(crate) struct ConnectionMonitor {
    limiter: ConnectionLimiter,
    id: ConnectionId,
    signal: Arc<CloseSignal>,
    /// Whether anything was read since the last request began.
    has_read: AtomicBool,
    /// Whether no request has begun to arrive.
    is_idle: AtomicBool,
    /// Whether a request's head has begun to arrive and is not whole.
    is_head_arriving: AtomicBool,
    is_blocked: AtomicBool,
    /// Bytes read since an endpoint last answered.
    unserved_bytes: AtomicUsize,
    receive_buffer_bytes: AtomicU32,
    buffers: ConnectionBuffers,
}

/// How a connection reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadPace {
    Free,
    /// Nothing for a while.
    Wait(Duration),
    /// So many bytes at once, and then none for a while.
    Limited {
        max_bytes: usize,
        pause: Duration,
    },
}

impl ConnectionMonitor {
    /// Returns once the connection is to be closed.
    pub(crate) async fn closed(&self) -> CloseCause {
        loop {
            if let Some(cause) = self.signal.cause.get() {
                return *cause;
            }
            self.signal.notify.notified().await;
        }
    }

    /// Returns the signal that closes the connection because memory ran out.
    pub(crate) const fn disconnect(&self) -> &Arc<Notify> {
        self.buffers.disconnect()
    }

    /// Sets the size of the buffer for what is written.
    pub(crate) fn set_buffer_bytes(&self, bytes: usize) {
        self.buffers.set_write_bytes(bytes);
    }

    /// Returns how the connection reads next, by what others need.
    pub(crate) fn read_pace(&self) -> ReadPace {
        let is_heavy =
            self.buffers.is_long_head() || self.unserved_bytes.load(Ordering::Relaxed) > MAX_UNPACED_BYTES;
        if is_heavy && self.buffers.must_wait() {
            return ReadPace::Wait(self.limiter.pause());
        }
        if !self.limiter.is_crowded() {
            return ReadPace::Free;
        }
        let pause = if is_heavy { self.limiter.pause() } else { Duration::ZERO };
        ReadPace::Limited { max_bytes: CROWDED_READ_BYTES, pause }
    }

    /// Returns how long a request that was sent ahead waits.
    pub(crate) fn ahead_pause(&self) -> Duration {
        if self.limiter.is_crowded() { self.limiter.pause() } else { Duration::ZERO }
    }

    /// Whether many connections are open, so that each gets less.
    pub(crate) fn is_crowded(&self) -> bool {
        self.limiter.is_crowded()
    }

    /// Whether a request's head has begun to arrive and is not whole.
    pub(crate) fn is_head_arriving(&self) -> bool {
        self.is_head_arriving.load(Ordering::Relaxed)
    }

    /// Records that a head has begun to arrive, which is not read yet.
    pub(crate) fn record_beginning(&self) {
        if self.is_idle.swap(false, Ordering::Relaxed) {
            self.is_head_arriving.store(true, Ordering::Relaxed);
            self.buffers.begin_head();
            self.set_phase(ConnectionPhase::Head);
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_read(&self, bytes: &[u8]) {
        self.has_read.store(true, Ordering::Relaxed);
        self.record_beginning();
        self.buffers.record_read(bytes);
        self.unserved_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
    }

    /// Records that a head is whole; returns whether it arrived together with the request before.
    pub(crate) fn record_request(&self, has_body: bool) -> bool {
        self.is_idle.store(false, Ordering::Relaxed);
        self.is_head_arriving.store(false, Ordering::Relaxed);
        self.buffers.end_head();
        let is_ahead = !self.has_read.swap(false, Ordering::Relaxed);
        // A request that was sent ahead waits before it is in work.
        let is_waiting = has_body || is_ahead;
        self.set_phase(if is_waiting { ConnectionPhase::Body } else { ConnectionPhase::Working });
        is_ahead
    }

    /// Lets as much of a body arrive unread as a distant caller needs to send it in time.
    ///
    /// `length` is the declared one, whose memory is reserved if it is long.
    pub(crate) fn widen_receive_buffer(&self, length: Option<usize>) {
        if !self.limiter.is_crowded() {
            let bytes = length.map_or(CHUNKED_RECEIVE_BYTES, |length| length.min(LONG_BODY_RECEIVE_BYTES));
            self.receive_buffer_bytes.store(bytes as u32, Ordering::Relaxed);
        }
    }

    /// Returns the size of the system's receive buffer for the connection.
    pub(crate) fn receive_buffer_bytes(&self) -> u32 {
        self.receive_buffer_bytes.load(Ordering::Relaxed)
    }

    /// Records that a request is whole.
    pub(crate) fn record_body(&self) {
        self.receive_buffer_bytes.store(RECEIVE_BUFFER_BYTES, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Working);
    }

    /// Records that an endpoint answered a request.
    pub(crate) fn record_served(&self) {
        self.unserved_bytes.store(0, Ordering::Relaxed);
        self.limiter.state().table.record_served(self.id);
    }

    /// Records that no request is in work.
    pub(crate) fn record_idle(&self) {
        self.is_idle.store(true, Ordering::Relaxed);
        self.set_phase(ConnectionPhase::Idle);
    }

    /// Records that a write waits for the client to read, or that it read something.
    pub(crate) fn record_write(&self, is_pending: bool) {
        // Progress alone does not end the wait: the rest is still to be read.
        if is_pending && self.is_blocked.swap(true, Ordering::Relaxed) {
            return;
        }
        if self.is_blocked.load(Ordering::Relaxed) {
            self.limiter.state().table.set_blocked(self.id, true, self.limiter.now());
            self.buffers.hold_write();
        }
    }

    /// Records that the client has been sent all there is.
    pub(crate) fn record_flush(&self) {
        if self.is_blocked.swap(false, Ordering::Relaxed) {
            self.limiter.state().table.set_blocked(self.id, false, self.limiter.now());
            self.buffers.release_write();
        }
    }

    fn set_phase(&self, phase: ConnectionPhase) {
        self.limiter.state().table.set_phase(self.id, phase, self.limiter.now());
    }
}
