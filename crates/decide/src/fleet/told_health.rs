//! What other VMs say of an endpoint's health.
//!
//! Pattern: the more VMs, the fewer requests each sends to one endpoint: with 295 VMs before 256 engines, one a
//! minute. A VM that learned from its own sends alone would find each engine that went dark, slow or faulty by its own
//! loss, long after the others did. So VMs report how sends went.
//!
//! Invariant: one VM's word passes nobody over, since it may be cut off or frozen itself; two VMs that could
//! not reach an endpoint, with no answer from it to anybody in between, do. When the rest is over, VMs try it again one
//! after the other, not all at once, and the first answer to any of them ends the rest for all.
//!
//! A rest that an endpoint asks for binds the VM that was asked. If two VMs were asked, the endpoint is overloaded rather than
//! selective, and the others avoid it too while they have another one: with many VMs, each sends too rarely to one endpoint
//! to be asked itself, and all of them together would go on.

use crate::VmKey;
use spanfold_entity::Moment;

/// A second VM's word counts with the first one's for this long, in milliseconds: with five sends a second to an
/// engine, some ten.
const TOGETHER_MILLIS: u64 = 2_000;
/// First rest after two VMs found an endpoint unreached, in milliseconds; doubles with each further one.
const REST_MILLIS: u64 = 1_000;
/// Longest rest, in milliseconds.
const REST_MOST_MILLIS: u64 = 4_000;
/// Longest time for which VMs avoid an endpoint that asked others for rest, in milliseconds: after it, they try it one after
/// the other.
const ASKED_MOST_MILLIS: u64 = 10_000;
/// Attempts that were under way when a rest began end within this time, in milliseconds: they say nothing new.
const UNDER_WAY_MILLIS: u64 = 500;
/// Time from one VM's attempt to the next one's, in milliseconds: an attempt at an endpoint that is dark takes 350,
/// and its report is there before the next VM's turn.
const TURN_MILLIS: f64 = 400.0;

/// What others say of one endpoint.
#[derive(Debug, Default)]
pub(crate) struct ToldHealth {
    /// The last VM that could not reach it, and when it said so; none since an answer.
    unreached: Option<(VmKey, Moment)>,
    /// The last VM that was asked for rest, and until when.
    asked: Option<(VmKey, Moment)>,
    /// Rests in a row.
    rests: u32,
    rested_at: Moment,
    avoided_until: Moment,
}

impl ToldHealth {
    /// Whether it is passed over on others' word.
    pub(crate) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    /// Whether it was passed over, and nobody has had an answer from it since.
    pub(crate) const fn is_suspected(&self) -> bool {
        self.rests > 0
    }

    /// Somebody had an answer from it.
    pub(crate) fn answered(&mut self) {
        *self = Self::default();
    }

    /// The VM `teller` could not reach it; `turn` is this VM's place, drawn anew, among all that may try next.
    pub(crate) fn unreached(&mut self, teller: VmKey, turn: f64, now: Moment) {
        if self.is_suspected() {
            if now >= self.rested_at.after_millis(UNDER_WAY_MILLIS) {
                self.rest(turn, now);
            }
            return;
        }
        let is_second = self
            .unreached
            .is_some_and(|(first, at)| first != teller && now < at.after_millis(TOGETHER_MILLIS));
        if is_second {
            self.rest(turn, now);
        } else {
            self.unreached = Some((teller, now));
        }
    }

    /// The endpoint asked the VM `reporter` for so many milliseconds of rest; `turn` as above.
    pub(crate) fn asked_rest(&mut self, reporter: VmKey, millis: u64, turn: f64, now: Moment) {
        let until = now.after_millis(millis.min(ASKED_MOST_MILLIS));
        let Some((other, other_until)) = self.asked.replace((reporter, until)) else { return };
        if other == reporter || now >= other_until {
            return;
        }
        let end = until.min(other_until).after_millis((turn * TURN_MILLIS) as u64);
        self.avoided_until = self.avoided_until.max(end);
        self.rests = self.rests.max(1);
        self.rested_at = now;
    }

    /// Begins a rest, or goes on with one whose end another VM did not find worth waiting for.
    fn rest(&mut self, turn: f64, now: Moment) {
        let rest = (REST_MILLIS << self.rests.min(4)).min(REST_MOST_MILLIS);
        self.avoided_until = now.after_millis(rest + (turn * TURN_MILLIS) as u64);
        self.rests += 1;
        self.rested_at = now;
    }
}
