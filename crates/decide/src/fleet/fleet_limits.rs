//! What keeps work from endpoints for a while: evacuated data centres, and engines that are cold or name limits.
//!
//! Invariant: an endpoint that is listed in an evacuated data centre is marked as such, whichever of both was told first.

use crate::admit::candidates;
use crate::{
    ColdSpec, ColdTerms, EndpointEntry, EndpointKey, EndpointRow, FleetTable, LimitChange, LimitReport,
    PlacementRequest, RateTerms, ShareCapacity, ShareView,
};
use spanfold_entity::Moment;

/// An endpoint is taken for cold for this long at most, in milliseconds, whatever its entry says.
pub(super) const COLD_MOST_MILLIS: u64 = 600_000;

impl FleetTable {
    /// Until when an endpoint is cold whose entry has come at `now`.
    pub(super) fn cold_until(&mut self, entry: &EndpointEntry, now: Moment) -> Moment {
        let spec = self.services.get(&entry.service).map_or_else(ColdSpec::default, |service| service.cold);
        let millis = entry.cold_millis.unwrap_or(spec.start_millis).min(COLD_MOST_MILLIS);
        let until = now.after_millis(millis);
        if spec.per_s > 0.0 {
            self.cold_until = self.cold_until.max(until);
        }
        until
    }

    /// Whether any endpoint may take few requests only: it is cold, or names a limit.
    pub fn is_any_limited(&self, now: Moment) -> bool {
        self.has_limits || now < self.cold_until
    }

    /// What an endpoint bears, if it is cold and bears less than a warm one.
    pub fn cold_spec(&self, row: &EndpointRow, now: Moment) -> Option<ColdSpec> {
        if now >= row.cold_until {
            return None;
        }
        let spec = self.services.get(&row.entry.service)?.cold;
        (spec.per_s > 0.0).then_some(spec)
    }

    /// Endpoints that are cold and bear less than warm ones.
    pub fn cold_count(&self, now: Moment) -> usize {
        self.rows.values().filter(|row| self.cold_spec(row, now).is_some()).count()
    }

    /// What an endpoint takes from all VMs together, if that is few: the lowest of all terms binds.
    fn rate_terms(&self, row: &EndpointRow, cold: ColdTerms, now: Moment) -> [Option<RateTerms>; 2] {
        let is_cold = self.cold_spec(row, now).map(|spec| RateTerms::of_cold(spec, cold));
        [is_cold, row.limit.rate(now).map(RateTerms::of_limit)]
    }

    /// When this VM may send a request to an endpoint: now, unless that rests or takes few requests; none if it may send none.
    pub fn next_share(
        &self,
        key: EndpointKey,
        row: &EndpointRow,
        shares: &ShareView<'_>,
        now: Moment,
    ) -> Option<Moment> {
        let terms = self.rate_terms(row, shares.cold, now);
        let mut next_at = row.rest.next_at(now);
        for terms in terms.iter().flatten() {
            let part = shares.part(key, row, terms);
            next_at = next_at.max(row.recent_sends.next_at(part, terms.window_millis, now)?);
        }
        Some(next_at)
    }

    /// Whether an endpoint takes few requests from all VMs together.
    pub fn takes_few(&self, key: EndpointKey, now: Moment) -> bool {
        self.rows
            .get(&key)
            .is_some_and(|row| row.limit.rate(now).is_some() || self.cold_spec(row, now).is_some())
    }

    /// Counts a request that is about to be sent to an endpoint; false if that takes none now, which another request may have
    /// brought about since the choice.
    pub fn consume_share(&mut self, key: EndpointKey, shares: &ShareView<'_>, now: Moment) -> bool {
        let Some(row) = self.rows.get(&key) else { return false };
        let terms = self.rate_terms(row, shares.cold, now);
        let window_millis = terms.iter().flatten().map(|terms| terms.window_millis).max();
        let takes = self.next_share(key, row, shares, now).is_some_and(|at| at <= now);
        if takes && let Some(row) = self.rows.get_mut(&key) {
            row.rest.record_send(now);
            if let Some(window_millis) = window_millis {
                row.recent_sends.push(window_millis, now);
            }
        }
        takes
    }

    /// What the endpoints take together that a request may go to, if all of them rest or take few requests only.
    pub fn share_capacity(&self, ask: &PlacementRequest<'_>, now: Moment) -> Option<ShareCapacity> {
        let shares = &ask.shares;
        let mut outlook = ShareCapacity { vms: shares.vms, ..ShareCapacity::default() };
        let (mut is_any, mut all_rest) = (false, true);
        for (key, row) in candidates(self, ask, now) {
            is_any = true;
            let terms = self.rate_terms(row, shares.cold, now);
            let lowest = terms
                .into_iter()
                .flatten()
                .min_by(|one, other| one.per_s(one.count).total_cmp(&other.per_s(other.count)));
            match lowest {
                Some(terms) => {
                    outlook.all_per_s += terms.per_s(terms.count);
                    outlook.own_per_s += terms.per_s(shares.part(key, row, &terms));
                }
                None if row.rest.is_over(now) => return None, // It would have been chosen.
                None => outlook.add_backed_off(row),
            }
            all_rest &= row.rest.is_backing_off(now);
            outlook.backoff_until = [outlook.backoff_until, row.rest.until(now)].into_iter().flatten().min();
            let next_at = self.next_share(key, row, shares, now);
            outlook.next_at = [outlook.next_at, next_at].into_iter().flatten().min();
        }
        outlook.backoff_until = outlook.backoff_until.filter(|_| all_rest);
        is_any.then_some(outlook)
    }

    /// Takes what an endpoint says of its limit, to this VM or as another one told.
    pub fn observe_limit(&mut self, key: EndpointKey, report: LimitReport) -> LimitChange {
        let change = self.rows.get_mut(&key).map_or(LimitChange::None, |row| row.limit.observe(report));
        self.has_limits |= change == LimitChange::Begun;
        change
    }

    /// The report of an endpoint's limit that other VMs are to be told now, if any, after one that changed `change`.
    pub fn take_due_limit(
        &mut self,
        key: EndpointKey,
        change: LimitChange,
        now: Moment,
    ) -> Option<LimitReport> {
        self.rows.get_mut(&key)?.limit.take_due(change, now)
    }

    /// Reports of current limits, `most` of them from the `turn`th on, for VMs that have just started.
    pub fn rotating_limits(&self, turn: usize, most: usize) -> Vec<(EndpointKey, LimitReport)> {
        if !self.has_limits {
            return Vec::new();
        }
        let reports = self.rows.iter().filter_map(|(key, row)| Some((*key, *row.limit.report()?)));
        let reports: Vec<_> = reports.filter(|(_, report)| report.per_s.is_some()).collect();
        let places = (0..reports.len().min(most)).map(|place| (turn + place) % reports.len());
        places.map(|place| reports[place]).collect()
    }

    /// Ends limits that no answer has repeated for long, and names their endpoints.
    pub fn expire_limits(&mut self, now: Moment) -> Vec<String> {
        let mut lapsed = Vec::new();
        for row in self.rows.values_mut() {
            if row.limit.sweep(now) {
                lapsed.push(row.entry.id.clone());
            }
        }
        self.has_limits = self.rows.values().any(|row| row.limit.per_s().is_some());
        lapsed
    }

    /// Endpoints that name a limit.
    pub fn limited_count(&self) -> usize {
        self.rows.values().filter(|row| row.limit.per_s().is_some()).count()
    }

    /// Notes that a data centre is evacuated until `until`, [`Moment::NEVER`] while the operator asks for it; whether it
    /// was not before.
    pub fn evacuate(&mut self, data_centre: &str, until: Moment, now: Moment) -> bool {
        let before = self.evacuated.insert(data_centre.to_owned(), until);
        self.mark_evacuated(data_centre, until);
        before.is_none_or(|before| now >= before)
    }

    /// Notes that an evacuation was taken back; whether there was one.
    pub fn cancel_evacuation(&mut self, data_centre: &str) -> bool {
        self.mark_evacuated(data_centre, Moment(0));
        self.evacuated.remove(data_centre).is_some()
    }

    /// Ends evacuations whose time is over, and names them.
    pub fn expire_evacuations(&mut self, now: Moment) -> Vec<String> {
        let over: Vec<_> =
            self.evacuated.iter().filter(|(_, until)| now >= **until).map(|(name, _)| name.clone()).collect();
        for data_centre in &over {
            self.cancel_evacuation(data_centre);
        }
        over
    }

    /// Data centres that are evacuated.
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
