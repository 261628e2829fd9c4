//! How long a VM acts on what it has read from the store, and when a fact is known to all VMs.
//!
//! A VM that is cut off, frozen or slow keeps an older view of the store. It acts on that for a bounded time, by its
//! own clock, from the store's last confirmation.
//!
//! Invariant: a fact that all VMs must know before it may be used is in the store first, and is used only once each
//! view from before that has ended.

use spanfold_entity::Moment;

/// Time for which a view counts as current after the store confirmed it, in milliseconds.
pub(crate) const VIEW_LIFETIME_MILLIS: u64 = 2_500;
/// Difference by which two VMs' clocks may have run apart in that time, in milliseconds.
const CLOCK_MARGIN_MILLIS: u64 = 100;

/// Whether a view of the store counts as current.
pub(crate) const fn is_view_current(confirmed_at: Moment, now: Moment) -> bool {
    now.0 < confirmed_at.after_millis(VIEW_LIFETIME_MILLIS).0
}

/// Returns when no VM acts any more on a view without a fact that was in the store at `recorded_at`.
///
/// # Examples
/// ```
/// use spanfold_entity::Moment;
/// assert_eq!(spanfold_decide::known_everywhere_at(Moment(0)), Moment(0).after_millis(2_600));
/// ```
pub const fn known_everywhere_at(recorded_at: Moment) -> Moment {
    recorded_at.after_millis(VIEW_LIFETIME_MILLIS + CLOCK_MARGIN_MILLIS)
}
