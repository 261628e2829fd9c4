//! Clock of the gateway that counts suspensions of the VM, and waits that use it.
//!
//! A VM may be suspended for seconds. The monotonic clock (`CLOCK_MONOTONIC`), on which all timers of tokio
//! are based, does not count that time, but leases, ages of configurations and callers' deadlines do. So all
//! moments are measured by `CLOCK_BOOTTIME`, which does, and tasks that wait until a moment are woken when
//! the two clocks have diverged.
//!
//! Invariant: nothing that expired during a suspension is treated as valid after it, because each use
//! compares moments again.

use crate::gateway::Gateway;
use nix::time::{ClockId, clock_gettime};
use spanfold_entity::Moment;
use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Interval between comparisons of the clocks: the maximum delay of a wait after a suspension.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum divergence of the clocks that counts as a suspension.
///
/// A smaller one arises because they are read at different moments, or run at slightly different speeds.
const MIN_CLOCK_JUMP: Duration = Duration::from_millis(50);
/// Minimum suspension after which the recorded state counts as stale, in milliseconds.
///
/// The store is then queried before requests are served. A change may take this long to be in force at all
/// VMs that were not suspended.
const MIN_STALE_JUMP_MILLIS: u64 = 500;
/// Maximum wait of requests for the store's answer, in milliseconds.
///
/// After that, requests that can be served are served.
const STORE_TIMEOUT_MILLIS: u64 = 400;
/// Maximum timer, in microseconds: one day; a longer one would in effect never fire.
const MAX_TIMER_MICROS: u64 = 86_400_000_000;

/// A clock that counts the time in which the VM is suspended.
#[derive(Clone)]
pub struct GatewayClock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl fmt::Debug for GatewayClock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayClock")
    }
}

impl GatewayClock {
    /// Returns the system's clock, which counts from its boot.
    pub fn system() -> Self {
        Self::new(|| {
            // The call fails only where the clock does not exist: Linux has had it since 2.6.39.
            clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
        })
    }

    /// Creates a clock that calls `read`, for tests.
    ///
    /// # Examples
    /// ```
    /// use std::time::Duration;
    /// let clock = spanfold_gateway::GatewayClock::new(|| Duration::from_secs(5));
    /// assert_eq!(clock.read(), Duration::from_secs(5));
    /// ```
    pub fn new(read: impl Fn() -> Duration + Send + Sync + 'static) -> Self {
        Self(Arc::new(read))
    }

    /// Returns the time since an arbitrary moment before the process began.
    pub fn read(&self) -> Duration {
        (self.0)()
    }
}

/// Error of a wait whose deadline passed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DeadlinePassed;

impl Gateway {
    /// Converts a moment to tokio's clock, which is exact unless the VM is suspended before.
    pub(crate) fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let micros = moment.micros_since(self.now()).min(MAX_TIMER_MICROS);
        tokio::time::Instant::now() + Duration::from_micros(micros)
    }

    /// Waits until a moment, also if the VM is suspended meanwhile.
    pub(crate) async fn wait_until(&self, moment: Moment) {
        loop {
            // Registered before the clock is read, so that no jump in between is missed.
            let mut clock_jumped = pin!(self.clock_jumped.notified());
            clock_jumped.as_mut().enable();
            if self.now() >= moment {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(moment)) => {}
                () = clock_jumped => {}
            }
        }
    }

    /// Returns the result of `future`, or an error if `moment` passes first.
    pub(crate) async fn complete_before<T>(
        &self,
        moment: Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlinePassed> {
        tokio::select! {
            biased;
            result = future => Ok(result),
            () = self.wait_until(moment) => Err(DeadlinePassed),
        }
    }

    /// Waits until the store has been queried, if this VM was suspended a moment ago.
    pub(crate) async fn wait_until_current(&self) {
        let mut stale_until = self.stale_until.subscribe();
        let deadline = *stale_until.borrow_and_update();
        if self.now() < deadline {
            let is_current = stale_until.wait_for(|until| *until == Moment(0));
            // The request proceeds with or without an answer.
            let _ = self.complete_before(deadline, is_current).await;
        }
    }

    /// Whether the store must be queried before the local state is used.
    pub(crate) fn is_stale(&self) -> bool {
        self.now() < *self.stale_until.borrow()
    }

    /// Records that the local state is as recent as that of others.
    ///
    /// It has been compared with the store or another VM.
    pub(crate) fn mark_current(&self) {
        self.stale_until.send_if_modified(|until| std::mem::replace(until, Moment(0)) != Moment(0));
    }

    fn handle_clock_jump(&self, jump: Duration) {
        let millis = jump.as_millis() as u64;
        log::warn!(millis; "clock.jumped");
        self.pool.close_all_idle();
        self.forwards.pool.close_all_idle();
        if millis >= MIN_STALE_JUMP_MILLIS {
            self.contact().discard();
            self.stale_until.send_replace(self.now().after_millis(STORE_TIMEOUT_MILLIS));
        }
        self.clock_jumped.notify_waiters();
    }
}

/// Compares the clocks and handles jumps, until the process ends.
pub(crate) async fn compare_clocks(gateway: Arc<Gateway>) {
    let (mut boot, mut monotonic) = (gateway.clock.read(), tokio::time::Instant::now());
    loop {
        tokio::time::sleep(COMPARE_INTERVAL).await;
        let (boot_now, monotonic_now) = (gateway.clock.read(), tokio::time::Instant::now());
        let jump = boot_now.saturating_sub(boot).saturating_sub(monotonic_now - monotonic);
        if jump >= MIN_CLOCK_JUMP {
            gateway.handle_clock_jump(jump);
        }
        (boot, monotonic) = (boot_now, monotonic_now);
    }
}
