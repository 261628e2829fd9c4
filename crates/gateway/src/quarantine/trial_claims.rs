//! Rights of this VM to run suspects that are on trial.
//!
//! Invariant: this VM runs a suspect on trial only under a right, once for each right, and before the right
//! ends. All VMs together hold one right at a time, since each right is a key in the platform's store.

use crate::SuspectKey;
use spanfold_entity::Moment;
use std::collections::BTreeMap;

/// Time after which a wanted right is claimed again, in milliseconds.
const CLAIM_TIMEOUT_MILLIS: u64 = 2_000;
/// Time from a request's end until the crash of its endpoint is known and evaluated, in milliseconds.
const EVALUATION_MILLIS: u64 = 500;

/// State of the right to run one suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TrialState {
    /// A request waits for the right. It is claimed until then.
    Wanted(Moment),
    /// This VM may run the suspect until then.
    Granted(Moment),
    /// This VM runs the suspect, and the right ends then.
    Used(Moment),
    /// The request has ended. The right is given up then, once the evidence is evaluated.
    Ending(Moment),
    /// Another VM has the right. No claim is made until then.
    Denied(Moment),
}

/// Answer to a request that is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TrialStep {
    /// It may be sent now.
    Run,
    /// It may not be sent yet. `is_new` if the right is to be claimed.
    Wait { is_new: bool },
}

/// States of the rights, by suspect.
#[derive(Debug, Default)]
pub(crate) struct TrialClaims(BTreeMap<SuspectKey, TrialState>);

impl TrialClaims {
    /// Uses the right to run a suspect, or asks for it.
    pub(crate) fn request(&mut self, suspect: SuspectKey, now: Moment) -> TrialStep {
        match self.0.get(&suspect) {
            Some(TrialState::Granted(until)) if now < *until => {
                let used = TrialState::Used(*until);
                self.0.insert(suspect, used);
                TrialStep::Run
            }
            Some(TrialState::Ending(_)) => TrialStep::Wait { is_new: false },
            Some(TrialState::Wanted(until) | TrialState::Used(until) | TrialState::Denied(until))
                if now < *until =>
            {
                TrialStep::Wait { is_new: false }
            }
            _ => {
                self.0.insert(suspect, TrialState::Wanted(now.after_millis(CLAIM_TIMEOUT_MILLIS)));
                TrialStep::Wait { is_new: true }
            }
        }
    }

    /// Gives back a right that was used for a request that could not be sent.
    pub(crate) fn give_back(&mut self, suspect: SuspectKey) {
        if let Some(state) = self.0.get_mut(&suspect)
            && let TrialState::Used(until) = *state
        {
            *state = TrialState::Granted(until);
        }
    }

    /// Records that the request that used a right has ended.
    pub(crate) fn end(&mut self, suspect: SuspectKey, now: Moment) {
        if let Some(state) = self.0.get_mut(&suspect)
            && matches!(state, TrialState::Used(_))
        {
            *state = TrialState::Ending(now.after_millis(EVALUATION_MILLIS));
        }
    }

    /// Returns when the next right is to be given up; never if there is none.
    pub(crate) fn next_end_at(&self) -> Moment {
        let ends = self.0.values().filter_map(|state| match state {
            TrialState::Ending(at) => Some(*at),
            _ => None,
        });
        ends.min().unwrap_or(Moment::NEVER)
    }

    /// Removes and returns the suspects whose rights are to be given up now.
    pub(crate) fn take_ended(&mut self, now: Moment) -> Vec<SuspectKey> {
        let is_ended = |state: &TrialState| matches!(state, TrialState::Ending(at) if now >= *at);
        let ended: Vec<_> =
            self.0.iter().filter(|(_, state)| is_ended(state)).map(|(suspect, _)| *suspect).collect();
        self.0.retain(|_, state| !is_ended(state));
        ended
    }

    /// Returns the suspects whose rights are to be claimed.
    pub(crate) fn wanted(&self) -> Vec<SuspectKey> {
        let wanted = self.0.iter().filter(|(_, state)| matches!(state, TrialState::Wanted(_)));
        wanted.map(|(suspect, _)| *suspect).collect()
    }

    /// Records the outcome of a claim.
    pub(crate) fn record(&mut self, suspect: SuspectKey, is_granted: bool, until: Moment) {
        let state = if is_granted { TrialState::Granted(until) } else { TrialState::Denied(until) };
        self.0.insert(suspect, state);
    }

    /// Forgets the rights to suspects that are no longer on trial, except those to be given up.
    pub(crate) fn retain(&mut self, is_on_trial: impl Fn(SuspectKey) -> bool) {
        self.0.retain(|suspect, state| matches!(state, TrialState::Ending(_)) || is_on_trial(*suspect));
    }
}
