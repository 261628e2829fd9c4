//! Temporary restrictions of work: evacuated data centres, cold endpoints, and endpoints with reported
//! limits.
//!
//! Invariant: an endpoint that is listed in an evacuated data centre is marked evacuated, whichever of the
//! two was received first.

use crate::admit::candidates;
use crate::{
    ColdSpec, ColdTerms, EndpointEntry, EndpointKey, EndpointRow, FleetTable, LimitChange, LimitReport,
    PlacementRequest, RateTerms, ShareCapacity, ShareView, VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeSet;

/// Longest time for which an endpoint is treated as cold, in milliseconds, whatever its entry states.
pub(super) const MAX_COLD_MILLIS: u64 = 600_000;

impl FleetTable {
    /// Returns when an endpoint whose entry was received at `now` stops being cold.
    pub(super) fn cold_until_of(&mut self, entry: &EndpointEntry, now: Moment) -> Moment {
        let spec = self.services.get(&entry.service).map_or_else(ColdSpec::default, |service| service.cold);
        let millis = entry.cold_millis.unwrap_or(spec.default_cold_millis).min(MAX_COLD_MILLIS);
        let cold_until = now.after_millis(millis);
        if spec.per_s > 0.0 {
            self.max_cold_until = self.max_cold_until.max(cold_until);
        }
        cold_until
    }

    /// Whether any endpoint may take few requests only: it is cold, or has a reported limit.
    pub fn is_any_limited(&self, now: Moment) -> bool {
        self.has_limits || now < self.max_cold_until
    }

    /// Returns the reduced rate of an endpoint, if it is cold and takes less than a warm one.
    pub fn cold_spec(&self, row: &EndpointRow, now: Moment) -> Option<ColdSpec> {
        if now >= row.cold_until {
            return None;
        }
        let spec = self.services.get(&row.entry.service)?.cold;
        (spec.per_s > 0.0).then_some(spec)
    }

    /// Returns the number of endpoints that are cold and take less than warm ones.
    pub fn cold_count(&self, now: Moment) -> usize {
        self.rows.values().filter(|row| self.cold_spec(row, now).is_some()).count()
    }

    /// Returns the rate terms of an endpoint for all VMs together; the lowest one applies.
    ///
    /// There are none for an endpoint that is neither cold nor limited.
    fn rate_terms(&self, row: &EndpointRow, cold: ColdTerms, now: Moment) -> [Option<RateTerms>; 2] {
        let cold_terms = self.cold_spec(row, now).map(|spec| RateTerms::of_cold(spec, cold));
        [cold_terms, row.limit.rate(now).map(RateTerms::of_limit)]
    }

    /// Returns when this VM may send a request to an endpoint; none if it may send none.
    ///
    /// That is now, unless the endpoint is backing off or takes few requests.
    pub fn next_share(
        &self,
        key: EndpointKey,
        row: &EndpointRow,
        shares: &ShareView<'_>,
        now: Moment,
    ) -> Option<Moment> {
        let terms = self.rate_terms(row, shares.cold, now);
        let mut next_at = row.backoff.next_at(now);
        for terms in terms.iter().flatten() {
            let share = shares.share(key, row, terms);
            next_at = next_at.max(row.recent_sends.next_at(share, terms.window_millis, now)?);
        }
        Some(next_at)
    }

    /// Whether an endpoint takes few requests from all VMs together.
    pub fn takes_few_requests(&self, key: EndpointKey, now: Moment) -> bool {
        self.rows
            .get(&key)
            .is_some_and(|row| row.limit.rate(now).is_some() || self.cold_spec(row, now).is_some())
    }

    /// Counts a request about to be sent to an endpoint; returns false if it takes none now.
    ///
    /// Another request may have used the share since the endpoint was chosen.
    pub fn consume_share(&mut self, key: EndpointKey, shares: &ShareView<'_>, now: Moment) -> bool {
        let Some(row) = self.rows.get(&key) else { return false };
        let terms = self.rate_terms(row, shares.cold, now);
        let window_millis = terms.iter().flatten().map(|terms| terms.window_millis).max();
        let takes_request = self.next_share(key, row, shares, now).is_some_and(|at| at <= now);
        if takes_request && let Some(row) = self.rows.get_mut(&key) {
            row.backoff.record_send(now);
            if let Some(window_millis) = window_millis {
                row.recent_sends.push(window_millis, now);
            }
        }
        takes_request
    }

    /// Returns the joint capacity of a request's candidates, if all are backing off or limited.
    pub fn share_capacity(&self, request: &PlacementRequest<'_>, now: Moment) -> Option<ShareCapacity> {
        let shares = &request.shares;
        let mut capacity = ShareCapacity { vms: shares.vms, ..ShareCapacity::default() };
        let (mut has_candidates, mut all_back_off) = (false, true);
        for (key, row) in candidates(self, request, now) {
            has_candidates = true;
            let terms = self.rate_terms(row, shares.cold, now);
            let lowest = terms
                .into_iter()
                .flatten()
                .min_by(|left, right| left.per_s(left.count).total_cmp(&right.per_s(right.count)));
            match lowest {
                Some(terms) => {
                    capacity.all_per_s += terms.per_s(terms.count);
                    capacity.own_per_s += terms.per_s(shares.share(key, row, &terms));
                }
                None if row.backoff.is_recovered(now) => return None, // The request would have been placed there.
                None => capacity.add_backed_off(row),
            }
            all_back_off &= row.backoff.is_backing_off(now);
            capacity.backoff_until =
                [capacity.backoff_until, row.backoff.until(now)].into_iter().flatten().min();
            let next_at = self.next_share(key, row, shares, now);
            capacity.next_at = [capacity.next_at, next_at].into_iter().flatten().min();
        }
        capacity.backoff_until = capacity.backoff_until.filter(|_| all_back_off);
        has_candidates.then_some(capacity)
    }

    /// Returns the other VMs that have shares of the rate-limited endpoints that may serve a request.
    pub fn share_holders(&self, request: &PlacementRequest<'_>, now: Moment) -> BTreeSet<VmKey> {
        let Some(right) = request.shares.right else { return BTreeSet::new() };
        let holders = candidates(self, request, now).into_iter().flat_map(|(key, row)| {
            let terms = self.rate_terms(row, request.shares.cold, now).into_iter().flatten();
            terms.flat_map(move |terms| right.other_senders(key, &row.entry.data_centre, &terms))
        });
        holders.collect()
    }

    /// Applies an endpoint's report of its limit, from an answer to this VM or from another VM.
    pub fn observe_limit(&mut self, key: EndpointKey, report: LimitReport) -> LimitChange {
        let change = self.rows.get_mut(&key).map_or(LimitChange::None, |row| row.limit.observe(report));
        self.has_limits |= change == LimitChange::Begun;
        change
    }

    /// Returns the limit report to send to other VMs now, if any; `change` is the effect of the last report.
    pub fn take_due_limit(
        &mut self,
        key: EndpointKey,
        change: LimitChange,
        now: Moment,
    ) -> Option<LimitReport> {
        self.rows.get_mut(&key)?.limit.take_due(change, now)
    }

    /// Returns at most `limit` reports of current limits, for VMs that have just started.
    ///
    /// Successive values of `offset` rotate through all of them.
    pub fn rotating_limits(&self, offset: usize, limit: usize) -> Vec<(EndpointKey, LimitReport)> {
        if !self.has_limits {
            return Vec::new();
        }
        let reports = self.rows.iter().filter_map(|(key, row)| Some((*key, *row.limit.report()?)));
        let reports: Vec<_> = reports.filter(|(_, report)| report.per_s.is_some()).collect();
        let indices = (0..reports.len().min(limit)).map(|index| (offset + index) % reports.len());
        indices.map(|index| reports[index]).collect()
    }

    /// Removes expired limits, which no answer has repeated; returns the ids of their endpoints.
    pub fn expire_limits(&mut self, now: Moment) -> Vec<String> {
        let mut expired = Vec::new();
        for row in self.rows.values_mut() {
            if row.limit.sweep(now) {
                expired.push(row.entry.id.clone());
            }
        }
        self.has_limits = self.rows.values().any(|row| row.limit.per_s().is_some());
        expired
    }

    /// Returns the number of endpoints with a reported limit.
    pub fn limited_count(&self) -> usize {
        self.rows.values().filter(|row| row.limit.per_s().is_some()).count()
    }

    /// Records that a data centre is evacuated until `until`; returns whether it was not before.
    ///
    /// `until` is [`Moment::NEVER`] while the operator's order is in force.
    pub fn evacuate(&mut self, data_centre: &str, until: Moment, now: Moment) -> bool {
        let previous_until = self.evacuated.insert(data_centre.to_owned(), until);
        self.mark_evacuated(data_centre, until);
        previous_until.is_none_or(|previous_until| now >= previous_until)
    }

    /// Cancels the evacuation of a data centre; returns whether there was one.
    pub fn cancel_evacuation(&mut self, data_centre: &str) -> bool {
        self.mark_evacuated(data_centre, Moment(0));
        self.evacuated.remove(data_centre).is_some()
    }

    /// Removes expired evacuations; returns the names of their data centres.
    pub fn expire_evacuations(&mut self, now: Moment) -> Vec<String> {
        let expired: Vec<_> =
            self.evacuated.iter().filter(|(_, until)| now >= **until).map(|(name, _)| name.clone()).collect();
        for data_centre in &expired {
            self.cancel_evacuation(data_centre);
        }
        expired
    }

    /// Iterates over the evacuated data centres.
    pub fn evacuated(&self, now: Moment) -> impl Iterator<Item = &str> {
        let rows = self.evacuated.iter().filter(move |(_, until)| now < **until);
        rows.map(|(data_centre, _)| data_centre.as_str())
    }

    fn mark_evacuated(&mut self, data_centre: &str, until: Moment) {
        for row in self.rows.values_mut().filter(|row| row.entry.data_centre == data_centre) {
            row.evacuated_until = until;
        }
    }
}
