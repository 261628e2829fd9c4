//! One clock for all that a gateway believes and promises, and what waits by it.
//!
//! A VM may be suspended for seconds. The steady clock (`CLOCK_MONOTONIC`, under all timers of tokio) does not count that
//! time; a lease, the age of a configuration, a caller's deadline do. So all moments are counted by `CLOCK_BOOTTIME`, which
//! does, and what waits until a moment is woken when the two clocks are found apart.
//!
//! Invariant: nothing that was over when the VM came back is taken for valid, because each use compares moments anew.

use crate::gateway::Gateway;
use nix::time::{ClockId, clock_gettime};
use spanfold_entity::Moment;
use std::fmt;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

/// Clocks are compared so often: what waits is late by this much at most after the VM has come back.
const COMPARE_PAUSE: Duration = Duration::from_millis(100);
/// Clocks that are apart by less were read at different moments, or run at slightly different speeds.
const JUMP_LEAST: Duration = Duration::from_millis(50);
/// After a longer suspension the store is asked before requests are served on what is believed, in milliseconds: as long
/// as a change may take to be in force at all VMs that ran on.
const STALE_MILLIS: u64 = 500;
/// Requests wait for the store's answer for this long at most, in milliseconds: what can be served is served.
const ASK_PATIENCE_MILLIS: u64 = 400;
/// Timers further ahead than this are as good as none, in microseconds: a day.
const FAR_MICROS: u64 = 86_400_000_000;

/// A clock that counts the time in which the VM is suspended.
#[derive(Clone)]
pub struct GatewayClock(Arc<dyn Fn() -> Duration + Send + Sync>);

impl fmt::Debug for GatewayClock {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("GatewayClock")
    }
}

impl GatewayClock {
    /// The system's clock since it was booted.
    pub fn system() -> Self {
        Self::new(|| {
            // The call fails only where the clock does not exist: Linux has had it since 2.6.39.
            clock_gettime(ClockId::CLOCK_BOOTTIME).map_or(Duration::ZERO, Duration::from)
        })
    }

    /// A clock that `read` reads, as tests need it.
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

    /// The time since some moment before the process began.
    pub fn read(&self) -> Duration {
        (self.0)()
    }
}

/// A moment came before what was waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TimeIsUp;

impl Gateway {
    /// When a moment comes by tokio's timers, if the VM runs on until then.
    pub(crate) fn instant(&self, moment: Moment) -> tokio::time::Instant {
        let micros = moment.micros_since(self.now()).min(FAR_MICROS);
        tokio::time::Instant::now() + Duration::from_micros(micros)
    }

    /// Waits until a moment, also if the VM is suspended meanwhile.
    pub(crate) async fn until(&self, moment: Moment) {
        loop {
            // Listened to before the clock is read, so that no jump in between is missed.
            let mut jumped = pin!(self.jumped.notified());
            jumped.as_mut().enable();
            if self.now() >= moment {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep_until(self.instant(moment)) => {}
                () = jumped => {}
            }
        }
    }

    /// What `future` gives, if it does so before `moment`.
    pub(crate) async fn within<T>(
        &self,
        moment: Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, TimeIsUp> {
        tokio::select! {
            biased;
            done = future => Ok(done),
            () = self.until(moment) => Err(TimeIsUp),
        }
    }

    /// Waits until the store was asked, if this VM came back from a suspension a moment ago.
    pub(crate) async fn until_fresh(&self) {
        let mut stale_until = self.stale_until.subscribe();
        let until = *stale_until.borrow_and_update();
        if self.now() < until {
            let fresh = stale_until.wait_for(|until| *until == Moment(0));
            // Answered or not, it goes on.
            let _ = self.within(until, fresh).await;
        }
    }

    /// Whether the store is to be asked before beliefs are used.
    pub(crate) fn is_stale(&self) -> bool {
        self.now() < *self.stale_until.borrow()
    }

    /// Notes that what is believed is as new as the store or another VM can tell.
    pub(crate) fn note_fresh(&self) {
        self.stale_until.send_if_modified(|until| std::mem::replace(until, Moment(0)) != Moment(0));
    }

    fn note_jump(&self, jump: Duration) {
        let millis = jump.as_millis() as u64;
        log::warn!(millis; "clock.jumped");
        self.pool.forget_all();
        if millis >= STALE_MILLIS {
            self.stale_until.send_replace(self.now().after_millis(ASK_PATIENCE_MILLIS));
        }
        self.jumped.notify_waiters();
    }
}

/// Compares the clocks until the process ends.
pub(crate) async fn compare_clocks(gateway: Arc<Gateway>) {
    let (mut boot, mut steady) = (gateway.clock.read(), tokio::time::Instant::now());
    loop {
        tokio::time::sleep(COMPARE_PAUSE).await;
        let (boot_now, steady_now) = (gateway.clock.read(), tokio::time::Instant::now());
        let jump = boot_now.saturating_sub(boot).saturating_sub(steady_now - steady);
        if jump >= JUMP_LEAST {
            gateway.note_jump(jump);
        }
        (boot, steady) = (boot_now, steady_now);
    }
}
