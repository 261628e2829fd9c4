//! All rollouts at a VM.
//!
//! A service's new version may be bad, so only a bounded part of all requests may reach it until it has been
//! evaluated. The bound is a share of all requests, and VMs have no time to coordinate each of them. So each
//! VM draws for each of its own requests whether it is a canary: the sum of equal shares is the share of the
//! sum, on any list of VMs and with any loss of messages. The requests that are allowed beyond the share are
//! divided among the VMs as limits are, see [`crate::ShareRight`].
//!
//! Invariant: a request goes to the new version only by a random draw, until all requests do.

use crate::{
    EndpointKey, ExposureTerms, RateTerms, RolloutAnswer, RolloutOrder, RolloutPhase, RolloutRecord,
    RolloutRun, RolloutSums, RouteCounts, StorePosition, SumKey, VersionSplit, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts to propagate to other VMs.
#[derive(Clone, Debug, Default)]
pub struct PendingSums {
    /// Sums for the VMs of this data centre.
    pub local: RolloutSums,
    /// Sums for other data centres.
    pub remote: RolloutSums,
    /// Sums of other data centres, to be relayed to the VMs of this one.
    pub relayed: RolloutSums,
}

/// Status of a service's rollout in the store, for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// The encoded status.
    pub value: Vec<u8>,
    /// Its position in the store.
    pub position: StorePosition,
}

/// Random draw whether a request is a canary.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryDraw {
    /// A random number in `0.0..1.0`.
    pub number: f64,
    /// Whether the request was counted among those beyond the share.
    pub has_slack: bool,
}

impl CanaryDraw {
    /// Draw of a request that is never a canary, such as a second send.
    pub const NONE: Self = Self { number: 1.0, has_slack: false };
}

/// Table of all rollouts, by service.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    runs: BTreeMap<String, RolloutRun>,
    /// Position of each service's record in the store.
    pub record_positions: BTreeMap<String, StorePosition>,
    /// Status of each service, for the operator.
    pub statuses: BTreeMap<String, StoredStatus>,
    /// Counts to propagate to other VMs.
    pub sums: PendingSums,
}

impl RolloutTable {
    /// Whether there is no rollout.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the rollout of a service.
    pub fn run(&self, service: &str) -> Option<&RolloutRun> {
        self.runs.get(service)
    }

    /// Returns the rollout of a service for changes.
    pub fn run_mut(&mut self, service: &str) -> Option<&mut RolloutRun> {
        self.runs.get_mut(service)
    }

    /// Returns all rollouts.
    pub fn runs(&self) -> impl Iterator<Item = &RolloutRun> {
        self.runs.values()
    }

    /// Applies an order; returns whether it is new.
    ///
    /// An order for the version that is being rolled out already gives it more time: the evidence is
    /// retained.
    pub fn order(&mut self, order: RolloutOrder, position: StorePosition, now: Moment) -> bool {
        let previous = self.runs.get(&order.service);
        if previous.is_some_and(|run| run.position >= position) {
            return false;
        }
        let continued = previous.filter(|run| run.order.target == order.target && !run.phase.is_concluded());
        let (evidence, slack_sent) =
            continued.map(|run| (run.evidence.clone(), run.slack_sent)).unwrap_or_default();
        let run = RolloutRun { evidence, slack_sent, ..RolloutRun::new(order, position, now) };
        self.runs.insert(run.order.service.clone(), run);
        let positions: Vec<_> = self.runs.values().map(|run| run.position).collect();
        for sums in [&mut self.sums.local, &mut self.sums.remote, &mut self.sums.relayed] {
            sums.retain_orders(|order| positions.contains(&order));
        }
        true
    }

    /// Records that the operator withdrew the order for a service; returns whether that changes anything.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let Some(run) = self.runs.get_mut(service) else { return false };
        let changes = !run.is_withdrawn && !run.phase.is_concluded();
        run.is_withdrawn = true;
        changes
    }

    /// Applies a record of the VM that decides; returns whether it changed the phase.
    ///
    /// If the record's order is unknown here, for instance because it was removed since, the record replaces
    /// it.
    pub fn apply(&mut self, record: &RolloutRecord, now: Moment) -> bool {
        if self.runs.get(&record.service).is_none_or(|run| run.position < record.order) {
            let order = RolloutOrder {
                service: record.service.clone(),
                target: record.target.clone(),
                duration_millis: None,
            };
            self.order(order, record.order, now);
        }
        let Some(run) = self.runs.get_mut(&record.service) else { return false };
        if record.order == run.position {
            run.recorded = Some(record.phase);
        }
        run.apply(record, now)
    }

    /// Records a service's status for the operator.
    pub fn record_status(&mut self, service: &str, value: &[u8], position: StorePosition) {
        self.statuses.insert(service.to_owned(), StoredStatus { value: value.to_vec(), position });
    }

    /// Returns the endpoints that a request of `service` may go to, in order of preference.
    ///
    /// `last_canary` returns the last endpoint, in canary order, for a share of the new version's endpoints;
    /// `slack_share` returns this VM's part of the requests beyond the share.
    pub fn splits(
        &mut self,
        service: &str,
        terms: &ExposureTerms,
        draw: &mut CanaryDraw,
        last_canary: impl FnOnce(&str, f64) -> Option<u64>,
        slack_share: impl FnOnce(EndpointKey, &RateTerms) -> u64,
    ) -> Vec<VersionSplit> {
        // Endpoints of other versions that start after a success don't belong to this rollout.
        let run = self.runs.get_mut(service);
        let Some(run) = run.filter(|run| run.has_other_versions && run.phase != RolloutPhase::Succeeded)
        else {
            return vec![VersionSplit::Any];
        };
        let target: Arc<str> = run.order.target.as_str().into();
        let others = VersionSplit::Except(Arc::clone(&target));
        let share = run.share(terms);
        if share >= 1.0 {
            return vec![VersionSplit::Only(target), others];
        }
        if share <= 0.0 || !(draw.number < share || draw.has_slack || run.has_slack(terms, slack_share)) {
            return vec![others];
        }
        let Some(last_order) = last_canary(&target, share) else { return vec![others] };
        if draw.number >= share && !draw.has_slack {
            draw.has_slack = true;
            run.slack_sent += 1;
        }
        vec![VersionSplit::Tested(target, last_order), others]
    }

    /// Counts an answer at this VM; returns whether the version is found bad by it, for the first time here.
    pub fn observe(&mut self, service: &str, route: u64, answer: &RolloutAnswer) -> bool {
        let Some(run) = self.runs.get_mut(service).filter(|run| !run.phase.is_concluded()) else {
            return false;
        };
        let counts = run.evidence.observe(route, answer);
        let key = (short_digest(service), run.position, route);
        self.sums.local.add(key, counts);
        self.sums.remote.add(key, counts);
        run.mark_suspected()
    }

    /// Adds counts of other VMs; returns the services whose version is found bad by them, for the first time
    /// here.
    pub fn add(&mut self, reported: &[(SumKey, RouteCounts)]) -> Vec<String> {
        let mut suspected = Vec::new();
        for ((service, order, route), counts) in reported {
            let run = self
                .runs
                .values_mut()
                .find(|run| run.position == *order && short_digest(&run.order.service) == *service);
            let Some(run) = run.filter(|run| !run.phase.is_concluded()) else { continue };
            run.evidence.add(*route, *counts);
            if run.mark_suspected() {
                suspected.push(run.order.service.clone());
            }
        }
        suspected
    }
}

impl RolloutRun {
    /// Whether this VM may send one more request beyond its share.
    fn has_slack(
        &self,
        terms: &ExposureTerms,
        slack_share: impl FnOnce(EndpointKey, &RateTerms) -> u64,
    ) -> bool {
        let key = EndpointKey(short_digest(&self.order.service) ^ self.position.fencing());
        self.slack_sent < slack_share(key, &RateTerms::of_count(terms.canary_slack()))
    }

    /// Marks the version as suspected if it is found bad; returns whether that is new.
    fn mark_suspected(&mut self) -> bool {
        let is_new = !self.is_suspected && self.evidence.is_bad();
        self.is_suspected |= is_new;
        is_new
    }
}
