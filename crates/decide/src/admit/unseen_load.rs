//! Placement that accounts for the load which other VMs have sent and this VM cannot know yet.
//!
//! Pattern: all VMs see the same endpoint as the best one until their views are updated, 20 ms later within a
//! data centre and about 100 ms later between data centres. At 1,000 prompts a second, tens of them meet at
//! one engine while half of the engines are idle.
//!
//! Load that was reported as pending has partly ended since: after the age of the view, the fraction
//! `exp(-age / pending time)` is left. In a steady state the ended part has been replaced by load that is not
//! visible yet. The unseen load of a data centre is assigned to its endpoints by water-filling, because the
//! other VMs prefer endpoints with low cost too. A view much older than the pending time thus tells only how
//! much load there is, and no longer where.
//!
//! Invariant: with current views nothing is added, and the endpoint with the least cost is chosen.

/// Difference of costs, in microseconds, below which endpoints of a data centre count as equal.
///
/// It is smaller than the time in which an engine generates a token, so callers do not notice it.
const EQUAL_COST_MICROS: f64 = 3_000.0;
/// Mean time for which load is assumed to stay pending before it is measured, in microseconds.
const DEFAULT_PENDING_MICROS: f64 = 200_000.0;
/// Units of a request that are assumed before they are measured.
const DEFAULT_PENDING_UNITS: f64 = 1_000.0;
/// Lower bound of that time, in microseconds: endpoints that refuse or fail answer at once.
const MIN_PENDING_MICROS: f64 = 20_000.0;
/// Weight of the newest sample in that time; it covers about a hundred answers.
const PENDING_WEIGHT: f64 = 0.01;

/// Ages of the reports in which VMs see each other's load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ViewAges {
    /// Mean age of what VMs of this data centre report, in microseconds.
    pub local_micros: f64,
    /// Mean age of what VMs of other data centres report, in microseconds.
    pub remote_micros: f64,
}

impl ViewAges {
    /// Whether views count as current.
    pub fn are_current(&self) -> bool {
        !(self.local_micros > 0.0 || self.remote_micros > 0.0)
    }
}

/// Mean time for which the load of a service stays pending, measured on this VM's sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PendingTime {
    micros: f64,
    units: f64,
}

impl Default for PendingTime {
    fn default() -> Self {
        Self { micros: DEFAULT_PENDING_MICROS, units: DEFAULT_PENDING_UNITS }
    }
}

impl PendingTime {
    /// Records that `units` of load were pending for `micros`.
    pub fn record(&mut self, units: u64, micros: u64) {
        if units > 0 {
            // A large prompt counts for longer, but for no more than ten of the usual size.
            let weight = (PENDING_WEIGHT * (units as f64 / 1_000.0).clamp(0.1, 10.0)).min(1.0);
            self.micros += weight * ((micros as f64).max(MIN_PENDING_MICROS) - self.micros);
            self.units += PENDING_WEIGHT * (units as f64 - self.units);
        }
    }

    /// Returns the mean time in microseconds.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PendingTime;
    /// let mut time = PendingTime::default();
    /// (0..500).for_each(|_| time.record(1_000, 90_000));
    /// assert!((time.micros() - 90_000.0).abs() < 2_000.0);
    /// ```
    pub const fn micros(&self) -> f64 {
        self.micros
    }

    /// Returns the mean units of a request while it is pending.
    pub const fn units(&self) -> f64 {
        self.units
    }
}

/// An endpoint with the inputs of the choice.
///
/// A unit of load is a prompt token for engines, and a request for plain endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CostedEndpoint {
    /// Cost of this request there, in microseconds.
    pub cost: f64,
    /// Cost that requests of other VMs see too, in microseconds.
    pub common_cost: f64,
    /// Addition to the cost by one unit of load, in microseconds.
    pub unit_micros: f64,
    /// Index of its data centre; zero is this VM's.
    pub data_centre: usize,
    /// Pending units that other VMs of this data centre report.
    pub local_units: f64,
    /// Pending units that VMs of other data centres report.
    pub remote_units: f64,
}

/// Chooses an endpoint; returns its index. None if there is none with a finite cost.
///
/// `draw` returns random numbers from 0 to 1.
///
/// # Examples
/// ```
/// use spanfold_decide::{CostedEndpoint, ViewAges, choose_endpoint};
/// let endpoint = |cost| CostedEndpoint { cost, common_cost: cost, unit_micros: 14.0, ..CostedEndpoint::default() };
/// let endpoints = [endpoint(9_000.0), endpoint(2_000.0)];
/// assert_eq!(choose_endpoint(&endpoints, ViewAges::default(), 200_000.0, &|| 0.5), Some(1));
/// ```
pub fn choose_endpoint(
    endpoints: &[CostedEndpoint],
    ages: ViewAges,
    pending_micros: f64,
    draw: &impl Fn() -> f64,
) -> Option<usize> {
    if ages.are_current() {
        return least_cost(endpoints.iter().enumerate().map(|(index, endpoint)| (index, endpoint.cost)));
    }
    let pending_micros = pending_micros.max(MIN_PENDING_MICROS);
    let local_ratio = unseen_ratio(ages.local_micros, pending_micros);
    let remote_ratio = unseen_ratio(ages.remote_micros, pending_micros);
    let rows = endpoints.iter().map(|row| without_ended(row, local_ratio, remote_ratio));
    let mut rows: Vec<_> = rows.enumerate().collect();
    rows.sort_by_key(|(_, row)| row.data_centre);
    let mut own = None;
    let mut best: Option<DataCentreChoice> = None;
    for members in rows.chunk_by(|(_, first), (_, second)| first.data_centre == second.data_centre) {
        let Some(choice) = DataCentreChoice::find(members, local_ratio, remote_ratio, draw) else {
            continue;
        };
        if best.as_ref().is_none_or(|best| choice.cost < best.cost) {
            best = Some(choice);
        }
        if members.first().is_some_and(|(_, row)| row.data_centre == 0) {
            own = Some(choice);
        }
    }
    let Some(best) = best else {
        // Sums of extreme loads are not finite; the costs themselves may be.
        return least_cost(endpoints.iter().enumerate().map(|(index, endpoint)| (index, endpoint.cost)));
    };
    let Some(own) = own.filter(|own| own.cost > best.cost) else { return Some(best.index) };
    // What this data centre sends until the other VMs see it should equalise the costs, not reverse them.
    let sent_units: f64 =
        rows.iter().map(|(_, row)| non_negative(row.local_units)).sum::<f64>() * remote_ratio;
    let crossing_units = (own.cost - best.cost) * own.units_per_micro.min(best.units_per_micro);
    let crosses = sent_units <= 0.0 || draw() < crossing_units / sent_units;
    Some(if crosses { best.index } else { own.index })
}

/// Best endpoint of a data centre.
#[derive(Clone, Copy, Debug)]
struct DataCentreChoice {
    index: usize,
    /// Cost there with the expected unseen load, in microseconds.
    cost: f64,
    /// Units that increase the cost of the data centre's best endpoints by one microsecond.
    units_per_micro: f64,
}

impl DataCentreChoice {
    fn find(
        members: &[(usize, CostedEndpoint)],
        local_ratio: f64,
        remote_ratio: f64,
        draw: &impl Fn() -> f64,
    ) -> Option<Self> {
        let unseen_units: f64 = members
            .iter()
            .map(|(_, row)| {
                non_negative(row.local_units) * local_ratio + non_negative(row.remote_units) * remote_ratio
            })
            .sum();
        let level =
            fill_level(members.iter().map(|(_, row)| (row.common_cost, row.unit_micros)), unseen_units);
        let expected_cost = |row: &CostedEndpoint| row.cost + (level - row.common_cost).max(0.0);
        let least = members
            .iter()
            .map(|(_, row)| expected_cost(row))
            .filter(|cost| cost.is_finite())
            .min_by(f64::total_cmp)?;
        let equal = || {
            members.iter().filter(|(_, row)| {
                let cost = expected_cost(row);
                cost.is_finite() && cost <= least + EQUAL_COST_MICROS
            })
        };
        // An endpoint to which other VMs send much is one that has room for it.
        let weight = |row: &CostedEndpoint| {
            ((level - row.common_cost).max(0.0) + EQUAL_COST_MICROS) / row.unit_micros.max(f64::MIN_POSITIVE)
        };
        let units_per_micro = members
            .iter()
            .filter(|(_, row)| row.common_cost <= level + EQUAL_COST_MICROS)
            .map(|(_, row)| 1.0 / row.unit_micros.max(f64::MIN_POSITIVE))
            .sum();
        let mut remaining = draw() * equal().map(|(_, row)| weight(row)).sum::<f64>();
        let mut chosen = None;
        for (index, row) in equal() {
            chosen = Some((*index, expected_cost(row)));
            remaining -= weight(row);
            if remaining < 0.0 {
                break;
            }
        }
        let (index, cost) = chosen?;
        Some(Self { index, cost, units_per_micro })
    }
}

/// Returns the cost up to which `units` of load raise endpoints, the cheapest ones first.
///
/// Each endpoint is a pair of its cost and the microseconds that a unit adds to it.
fn fill_level(endpoints: impl Iterator<Item = (f64, f64)>, units: f64) -> f64 {
    let mut endpoints: Vec<_> =
        endpoints.filter(|(cost, unit)| cost.is_finite() && *unit > 0.0 && unit.is_finite()).collect();
    endpoints.sort_by(|first, second| first.0.total_cmp(&second.0));
    let (mut level, mut units_per_micro, mut remaining) = (f64::NEG_INFINITY, 0.0, units);
    for (cost, unit) in endpoints {
        if units_per_micro > 0.0 {
            let needed_units = (cost - level) * units_per_micro;
            if needed_units >= remaining {
                return level + remaining / units_per_micro;
            }
            remaining -= needed_units;
        }
        level = cost;
        units_per_micro += 1.0 / unit;
    }
    if units_per_micro > 0.0 { level + remaining / units_per_micro } else { level }
}

/// Returns the fraction of load reported at this age that has ended since, and was replaced by unseen load.
fn unseen_ratio(age_micros: f64, pending_micros: f64) -> f64 {
    non_negative(-(-age_micros.max(0.0) / pending_micros).exp_m1())
}

/// Returns the endpoint without the cost of reported load that has ended since.
fn without_ended(row: &CostedEndpoint, local_ratio: f64, remote_ratio: f64) -> CostedEndpoint {
    let ended_units =
        non_negative(row.local_units) * local_ratio + non_negative(row.remote_units) * remote_ratio;
    let ended_micros = non_negative(ended_units * row.unit_micros);
    CostedEndpoint { cost: row.cost - ended_micros, common_cost: row.common_cost - ended_micros, ..*row }
}

/// Returns `value`, or zero if it is negative or not finite.
fn non_negative(value: f64) -> f64 {
    if value.is_finite() { value.max(0.0) } else { 0.0 }
}

fn least_cost(costs: impl Iterator<Item = (usize, f64)>) -> Option<usize> {
    costs
        .filter(|(_, cost)| cost.is_finite())
        .min_by(|first, second| first.1.total_cmp(&second.1))
        .map(|(index, _)| index)
}
