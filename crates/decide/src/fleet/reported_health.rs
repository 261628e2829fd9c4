//! Health of an endpoint as other VMs report it.
//!
//! The more VMs there are, the fewer requests each of them sends to one endpoint: with 295 VMs and 256
//! engines, one a minute. A VM that relied only on the outcomes of its own sends would lose a
//! request at each engine that became unreachable, slow or faulty, long after other VMs detected it. VMs
//! therefore report the outcomes of their sends to one another.
//!
//! Invariant: the report of a single VM never excludes an endpoint, since that VM may be cut off or frozen
//! itself. Reports of two VMs that could not reach the endpoint do, if no VM received an answer from it in
//! between. When the avoidance expires, VMs retry one after the other instead of all at once, and the first
//! answer to any of them ends it for all.
//!
//! A backoff that an endpoint asks for applies to the VM that was asked. If two VMs were asked, the endpoint
//! is overloaded rather than selective, and the other VMs avoid it too while they have an alternative. With
//! many VMs, each sends too rarely to one endpoint to be asked itself, and together they would keep it
//! overloaded.

use crate::VmKey;
use spanfold_entity::Moment;

/// Time within which a second VM's report confirms the first one, in milliseconds.
///
/// With five sends a second to an engine, it covers about ten sends.
const CONFIRMATION_WINDOW_MILLIS: u64 = 2_000;
/// First avoidance after two VMs could not reach an endpoint, in milliseconds; doubles with each further one.
const FIRST_AVOIDANCE_MILLIS: u64 = 1_000;
/// Longest avoidance of an unreachable endpoint, in milliseconds.
const MAX_AVOIDANCE_MILLIS: u64 = 4_000;
/// Longest avoidance of an endpoint that asked other VMs for a backoff, in milliseconds.
///
/// Afterwards, VMs retry it one after the other.
const MAX_REQUESTED_AVOIDANCE_MILLIS: u64 = 10_000;
/// Time in which sends finish that were in flight when an avoidance began, in milliseconds.
///
/// Their failures add no evidence.
const IN_FLIGHT_MILLIS: u64 = 500;
/// Time between the retries of two VMs, in milliseconds.
///
/// A send to an unreachable endpoint fails after 350 ms, and its report arrives before the next VM retries.
const SLOT_MILLIS: f64 = 400.0;

/// Why an endpoint is avoided on other VMs' reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AvoidanceCause {
    /// Two VMs could not reach it.
    Unreachable,
    /// It asked two VMs for a backoff.
    RequestedBackoff,
}

/// The reports on which an endpoint is avoided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AvoidanceReport {
    /// What the VMs reported.
    pub cause: AvoidanceCause,
    /// The VMs whose reports began the avoidance.
    pub reporters: [VmKey; 2],
}

/// Health of one endpoint as other VMs report it.
#[derive(Debug, Default)]
pub(crate) struct ReportedHealth {
    /// Last VM that could not reach the endpoint, and the time of its report; none since an answer.
    unreachable_from: Option<(VmKey, Moment)>,
    /// Last VM that was asked for a backoff, and the end of that backoff.
    requested_backoff: Option<(VmKey, Moment)>,
    /// Successive avoidances without an answer.
    avoidances: u32,
    avoidance_began_at: Moment,
    avoided_until: Moment,
    /// The reports that began the avoidance; none since an answer.
    basis: Option<AvoidanceReport>,
}

impl ReportedHealth {
    /// Whether the endpoint is skipped because of other VMs' reports.
    pub(crate) fn is_avoided(&self, now: Moment) -> bool {
        now < self.avoided_until
    }

    /// Whether the endpoint was avoided, and no VM has received an answer from it since.
    pub(crate) const fn is_suspected(&self) -> bool {
        self.avoidances > 0
    }

    /// Returns the reports on which it is avoided or suspected.
    pub(crate) const fn basis(&self) -> Option<AvoidanceReport> {
        self.basis
    }

    /// Records that a VM received an answer from the endpoint.
    pub(crate) fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that the VM `reporter` could not reach the endpoint.
    ///
    /// `slot` is a fresh random draw of this VM's position among all VMs that may retry next.
    pub(crate) fn record_unreachable(&mut self, reporter: VmKey, slot: f64, now: Moment) {
        if self.is_suspected() {
            if now >= self.avoidance_began_at.after_millis(IN_FLIGHT_MILLIS) {
                self.avoid(slot, now);
            }
            return;
        }
        let confirmed = self
            .unreachable_from
            .filter(|(first, at)| *first != reporter && now < at.after_millis(CONFIRMATION_WINDOW_MILLIS));
        if let Some((first, _)) = confirmed {
            self.basis =
                Some(AvoidanceReport { cause: AvoidanceCause::Unreachable, reporters: [first, reporter] });
            self.avoid(slot, now);
        } else {
            self.unreachable_from = Some((reporter, now));
        }
    }

    /// Records that the endpoint asked the VM `reporter` for a backoff of `millis`.
    ///
    /// `slot` is as in `record_unreachable`.
    pub(crate) fn record_requested_backoff(&mut self, reporter: VmKey, millis: u64, slot: f64, now: Moment) {
        let until = now.after_millis(millis.min(MAX_REQUESTED_AVOIDANCE_MILLIS));
        let Some((previous, previous_until)) = self.requested_backoff.replace((reporter, until)) else {
            return;
        };
        if previous == reporter || now >= previous_until {
            return;
        }
        let end = until.min(previous_until).after_millis((slot * SLOT_MILLIS) as u64);
        self.avoided_until = self.avoided_until.max(end);
        self.avoidances = self.avoidances.max(1);
        self.basis.get_or_insert(AvoidanceReport {
            cause: AvoidanceCause::RequestedBackoff,
            reporters: [previous, reporter],
        });
        self.avoidance_began_at = now;
    }

    /// Begins an avoidance, or extends one if a VM could not reach the endpoint since the avoidance began.
    fn avoid(&mut self, slot: f64, now: Moment) {
        let millis = (FIRST_AVOIDANCE_MILLIS << self.avoidances.min(4)).min(MAX_AVOIDANCE_MILLIS);
        self.avoided_until = now.after_millis(millis + (slot * SLOT_MILLIS) as u64);
        self.avoidances += 1;
        self.avoidance_began_at = now;
    }
}
