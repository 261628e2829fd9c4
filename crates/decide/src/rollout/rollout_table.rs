//! All roll-outs that a VM knows.
//!
//! Pattern: a service's new version may be bad, so only a bounded part of all requests may reach it before that is known.
//! The bound is a share of all requests, and VMs have no time to ask one another for each. So each VM draws for each of
//! its own requests whether it tests: the sum of equal shares is the share of the sum, on any list of VMs and with any loss of
//! messages. What the bound allows beyond the share is dealt among the VMs as limits are, [`crate::ShareRight`].
//!
//! Invariant: a request goes to the new version only by a draw, until all requests do.

use crate::{
    EndpointKey, ExposureTerms, RateTerms, RolloutAnswer, RolloutOrder, RolloutPhase, RolloutRecord,
    RolloutRun, RolloutSums, RouteCounts, StorePosition, SumKey, VersionSplit, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Counts that wait to be told to other VMs.
#[derive(Clone, Debug, Default)]
pub struct WaitingSums {
    /// To the VMs of this data centre.
    pub near: RolloutSums,
    /// To other data centres.
    pub far: RolloutSums,
    /// Of other data centres, to the VMs of this one.
    pub passed: RolloutSums,
}

/// What the operator reads of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredStatus {
    /// Its bytes.
    pub value: Vec<u8>,
    /// Where it stands in the store.
    pub position: StorePosition,
}

/// Whether one request tests a new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestDraw {
    /// A random number in `0.0..1.0`.
    pub number: f64,
    /// Whether it was counted among those beyond the share.
    pub has_slack: bool,
}

impl TestDraw {
    /// The draw of a request that tests nothing, such as a second send.
    pub const NONE: Self = Self { number: 1.0, has_slack: false };
}

/// All roll-outs.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    runs: BTreeMap<String, RolloutRun>,
    /// Where the record of each service stands in the store.
    pub records_at: BTreeMap<String, StorePosition>,
    /// What the operator reads of each service.
    pub statuses: BTreeMap<String, StoredStatus>,
    /// Counts that wait to be told.
    pub sums: WaitingSums,
}

impl RolloutTable {
    /// Whether there is no roll-out.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// The roll-out of a service.
    pub fn run(&self, service: &str) -> Option<&RolloutRun> {
        self.runs.get(service)
    }

    /// The roll-out of a service, to be changed.
    pub fn run_mut(&mut self, service: &str) -> Option<&mut RolloutRun> {
        self.runs.get_mut(service)
    }

    /// All roll-outs.
    pub fn runs(&self) -> impl Iterator<Item = &RolloutRun> {
        self.runs.values()
    }

    /// Takes an order; whether it is new.
    ///
    /// One for the version that is being rolled out already gives it more time: what is known of its answers stays known.
    pub fn order(&mut self, order: RolloutOrder, position: StorePosition, now: Moment) -> bool {
        let known = self.runs.get(&order.service);
        if known.is_some_and(|run| run.position >= position) {
            return false;
        }
        let kept = known.filter(|run| run.order.target == order.target && !run.phase.is_concluded());
        let (evidence, slack_sent) =
            kept.map(|run| (run.evidence.clone(), run.slack_sent)).unwrap_or_default();
        let run = RolloutRun { evidence, slack_sent, ..RolloutRun::new(order, position, now) };
        self.runs.insert(run.order.service.clone(), run);
        let stands: Vec<_> = self.runs.values().map(|run| run.position).collect();
        for sums in [&mut self.sums.near, &mut self.sums.far, &mut self.sums.passed] {
            sums.retain_orders(|order| stands.contains(&order));
        }
        true
    }

    /// Notes that the operator took the order for a service back; whether that changes anything.
    pub fn withdraw(&mut self, service: &str) -> bool {
        let Some(run) = self.runs.get_mut(service) else { return false };
        let changes = !run.is_withdrawn && !run.phase.is_concluded();
        run.is_withdrawn = true;
        changes
    }

    /// Takes a record of the deciding VM; whether it changed how far the roll-out has come.
    ///
    /// A record whose order is not known here, such as one that was removed since, stands for it.
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

    /// Notes what the operator reads of a service.
    pub fn record_status(&mut self, service: &str, value: &[u8], position: StorePosition) {
        self.statuses.insert(service.to_owned(), StoredStatus { value: value.to_vec(), position });
    }

    /// Where a request of `service` may go, in the order of preference.
    ///
    /// `last_tested` gives the last endpoint in the order of tests for a share of the new version's; `slack_part` gives
    /// this VM's part of the requests beyond the share.
    pub fn splits(
        &mut self,
        service: &str,
        terms: &ExposureTerms,
        draw: &mut TestDraw,
        last_tested: impl FnOnce(&str, f64) -> Option<u64>,
        slack_part: impl FnOnce(EndpointKey, &RateTerms) -> u64,
    ) -> Vec<VersionSplit> {
        // Endpoints of other versions that start after a success are no leftovers of it.
        let run = self.runs.get_mut(service);
        let Some(run) = run.filter(|run| run.has_others && run.phase != RolloutPhase::Succeeded) else {
            return vec![VersionSplit::Any];
        };
        let target: Arc<str> = run.order.target.as_str().into();
        let others = VersionSplit::Except(Arc::clone(&target));
        let share = run.share(terms);
        if share >= 1.0 {
            return vec![VersionSplit::Only(target), others];
        }
        if share <= 0.0 || !(draw.number < share || draw.has_slack || run.has_slack(terms, slack_part)) {
            return vec![others];
        }
        let Some(last) = last_tested(&target, share) else { return vec![others] };
        if draw.number >= share && !draw.has_slack {
            draw.has_slack = true;
            run.slack_sent += 1;
        }
        vec![VersionSplit::Tested(target, last), others]
    }

    /// Counts an answer at this VM; whether the version is found bad by it, for the first time here.
    pub fn observe(&mut self, service: &str, route: u64, answer: &RolloutAnswer) -> bool {
        let Some(run) = self.runs.get_mut(service).filter(|run| !run.phase.is_concluded()) else {
            return false;
        };
        let counts = run.evidence.observe(route, answer);
        let key = (short_digest(service), run.position, route);
        self.sums.near.add(key, counts);
        self.sums.far.add(key, counts);
        run.doubt()
    }

    /// Adds counts of other VMs; gives the services whose version is found bad by them, for the first time here.
    pub fn add(&mut self, told: &[(SumKey, RouteCounts)]) -> Vec<String> {
        let mut suspected = Vec::new();
        for ((service, order, route), counts) in told {
            let run = self
                .runs
                .values_mut()
                .find(|run| run.position == *order && short_digest(&run.order.service) == *service);
            let Some(run) = run.filter(|run| !run.phase.is_concluded()) else { continue };
            run.evidence.add(*route, *counts);
            if run.doubt() {
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
        slack_part: impl FnOnce(EndpointKey, &RateTerms) -> u64,
    ) -> bool {
        let key = EndpointKey(short_digest(&self.order.service) ^ self.position.fencing());
        self.slack_sent < slack_part(key, &RateTerms::of_count(terms.tested_slack()))
    }

    /// Whether the version is found bad, for the first time here.
    fn doubt(&mut self) -> bool {
        let is_new = !self.is_suspected && self.evidence.is_bad();
        self.is_suspected |= is_new;
        is_new
    }
}
