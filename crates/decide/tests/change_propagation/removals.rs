//! Until when the last VM sends work to an endpoint whose entry is removed, and which live ones lose theirs.

use crate::BOUND_MILLIS;
use crate::simulation::{ENDPOINTS, Event, START_MILLIS, Simulation, StoreState};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Endpoint that leaves, and one that stays.
const LEAVING: &str = ENDPOINTS[0];
const STAYING: &str = ENDPOINTS[1];
/// Time between changes of the configuration in a storm.
const STORM_MILLIS: u64 = 350;
/// Time after the return of the store within which live endpoints write their entries again.
const RETURN_MILLIS: u64 = 2_000;
/// Time after an outage in which users count no departure as confirmed.
const CONTACT_MILLIS: u64 = 3_000;
const DAY_MILLIS: u64 = 16_000;

/// Returns how long after `millis` the last VM could send work to an endpoint.
fn last_send_after(simulation: &Simulation, id: &str, millis: u64) -> u64 {
    let sent_at = simulation.sent_at.iter().filter_map(|sent| sent.get(id)?.last());
    sent_at.max().map_or(0, |at| at.saturating_sub(START_MILLIS + millis))
}

/// Returns how many probes found that an endpoint takes no work.
fn denials(simulation: &Simulation, id: &str) -> usize {
    simulation.denied_at.iter().filter_map(|denied| denied.get(id)).map(Vec::len).sum()
}

/// Lets the store treat a VM in a way for `on_millis` of each `period_millis`, all day.
fn toggle(simulation: &mut Simulation, vm: usize, store: StoreState, (on, period): (u64, u64)) {
    for begin in (500..DAY_MILLIS).step_by(period as usize) {
        simulation.at(begin, Event::SetStore(vm, store));
        if on < period {
            simulation.at(begin + on, Event::SetStore(vm, StoreState::Open));
        }
    }
}

fn storm(simulation: &mut Simulation) {
    (500..DAY_MILLIS).step_by(STORM_MILLIS as usize).for_each(|millis| simulation.write_at(millis));
}

/// VMs that the store turns away: the polling one, one of the others, or a third.
fn turned_away(count: usize) -> [Vec<usize>; 3] {
    [vec![0], vec![count - 1], (0..count.div_ceil(3)).collect()]
}

/// Guards against VMs that prolong the work of a removed endpoint with each failed call of one of them.
#[yare::parameterized(
    few = { 3 },
    nine = { 9 },
    many = { 91 },
)]
fn a_removed_endpoint_gets_no_work_while_some_vms_are_turned_away(count: usize) {
    let states = [StoreState::Busy, StoreState::Silent, StoreState::Slow(700), StoreState::Lossy];
    let patterns = [(300, 1_500), (800, 2_000), (1_500, 1_500)];
    for store in states {
        for vms in turned_away(count) {
            for pattern in patterns {
                for removed_at in [4_003, 4_950] {
                    let mut simulation = Simulation::new(count);
                    for vm in &vms {
                        toggle(&mut simulation, *vm, store, pattern);
                    }
                    storm(&mut simulation);
                    simulation.at(removed_at, Event::Remove(LEAVING));
                    simulation.run(DAY_MILLIS);
                    let last = last_send_after(&simulation, LEAVING, removed_at);
                    let case = format!("{store:?} at {vms:?}, {pattern:?}, removed at {removed_at}");
                    assert!(last <= BOUND_MILLIS, "{last} ms: {case}");
                    assert_eq!(denials(&simulation, STAYING), 0, "{case}");
                }
            }
        }
    }
}

#[yare::parameterized(few = { 3 }, nine = { 9 }, many = { 91 }, large = { 197 })]
fn in_calm_a_removed_endpoint_gets_no_work_at_once(count: usize) {
    let mut simulation = Simulation::new(count);
    storm(&mut simulation);
    simulation.at(4_003, Event::Remove(LEAVING));
    simulation.run(DAY_MILLIS);
    let last = last_send_after(&simulation, LEAVING, 4_003);
    assert!(last <= 250, "{last} ms");
    assert_eq!(denials(&simulation, STAYING), 0);
}

/// The same with VMs that stand still or start again while another one is turned away.
#[yare::parameterized(few = { 3 }, nine = { 9 }, many = { 91 })]
fn a_removed_endpoint_gets_no_work_at_vms_that_freeze_or_restart(count: usize) {
    let mut simulation = Simulation::new(count);
    toggle(&mut simulation, 0, StoreState::Busy, (300, 1_500));
    storm(&mut simulation);
    simulation.at(3_500, Event::Freeze(1, 3_000));
    simulation.at(3_800, Event::Kill(2));
    simulation.at(4_800, Event::Restart(2));
    simulation.at(4_003, Event::Remove(LEAVING));
    simulation.run(DAY_MILLIS);
    // The frozen VM sends nothing until it goes on.
    let last = last_send_after(&simulation, LEAVING, 6_500);
    assert!(last <= BOUND_MILLIS, "{last} ms");
    let others =
        (0..count).filter(|vm| *vm != 1).filter_map(|vm| simulation.sent_at[vm].get(LEAVING)?.last());
    let last = others.max().map_or(0, |at| at.saturating_sub(START_MILLIS + 4_003));
    assert!(last <= BOUND_MILLIS, "{last} ms");
}

/// Guards against live endpoints that lose their work because their entries expired while the store was away.
#[yare::parameterized(few = { 3 }, nine = { 9 }, many = { 91 })]
fn live_endpoints_keep_their_work_after_an_outage(count: usize) {
    for store in [StoreState::Down, StoreState::Silent] {
        for length in [1_600, 2_500, 4_500, 9_000] {
            for lapsed_after in [0, 900] {
                let mut simulation = Simulation::new(count);
                (0..count).for_each(|vm| simulation.at(1_000, Event::SetStore(vm, store)));
                (0..count)
                    .for_each(|vm| simulation.at(1_000 + length, Event::SetStore(vm, StoreState::Open)));
                // The entry expires in the outage or right behind it, and is written again.
                let lapsed_at = 1_000 + length + lapsed_after - 1;
                simulation.at(lapsed_at, Event::Remove(STAYING));
                simulation.at(1_000 + length + RETURN_MILLIS, Event::Relist(STAYING));
                // An endpoint that left in the outage gets nothing for long.
                simulation.at(1_000 + length - 500, Event::Remove(LEAVING));
                simulation.run(DAY_MILLIS);
                let case = format!("{store:?} for {length} ms, lapsed {lapsed_after} ms after");
                assert_eq!(denials(&simulation, STAYING), 0, "{case}");
                let last = last_send_after(&simulation, LEAVING, 1_000 + length);
                assert!(last <= CONTACT_MILLIS + BOUND_MILLIS, "{last} ms: {case}");
            }
        }
    }
}

/// The same for an outage that follows another one before the entries are back.
#[yare::parameterized(few = { 3 }, nine = { 9 })]
fn live_endpoints_keep_their_work_after_two_outages_in_a_row(count: usize) {
    let mut simulation = Simulation::new(count);
    for (begin, end) in [(1_000, 3_500), (4_200, 7_000)] {
        (0..count).for_each(|vm| simulation.at(begin, Event::SetStore(vm, StoreState::Down)));
        (0..count).for_each(|vm| simulation.at(end, Event::SetStore(vm, StoreState::Open)));
    }
    simulation.at(3_000, Event::Remove(STAYING));
    simulation.at(7_000 + RETURN_MILLIS, Event::Relist(STAYING));
    simulation.at(3_000, Event::Remove(LEAVING));
    simulation.run(DAY_MILLIS);
    assert_eq!(denials(&simulation, STAYING), 0);
    let last = last_send_after(&simulation, LEAVING, 7_000);
    assert!(last <= CONTACT_MILLIS + BOUND_MILLIS, "{last} ms");
}

/// Both sides at once, over random histories: calls of random VMs fail for random times beside an outage.
#[test]
fn removed_endpoints_get_no_work_and_live_ones_keep_theirs_over_random_histories() {
    for seed in 0..96 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let count = [3, 4, 9, 20][seed as usize % 4];
        let mut simulation = Simulation::new(count);
        storm(&mut simulation);
        let states = [StoreState::Busy, StoreState::Silent, StoreState::Slow(700), StoreState::Lossy];
        // The last VM keeps its path: the store serves somebody.
        for _ in 0..rng.random_range(1..=count) {
            let (vm, store) = (rng.random_range(0..count - 1), states[rng.random_range(0..4)]);
            let begin = rng.random_range(500..6_000);
            simulation.at(begin, Event::SetStore(vm, store));
            simulation.at(begin + rng.random_range(100..3_000), Event::SetStore(vm, StoreState::Open));
        }
        let removed_at = rng.random_range(1_000..6_000);
        simulation.at(removed_at, Event::Remove(LEAVING));
        // An outage for all, after which the other endpoint's entry is missing for a while.
        let (begin, length) = (9_500, rng.random_range(1_600..4_000));
        let end = begin + length;
        let store = if seed % 2 == 0 { StoreState::Down } else { StoreState::Silent };
        (0..count).for_each(|vm| simulation.at(begin, Event::SetStore(vm, store)));
        (0..count).for_each(|vm| simulation.at(end, Event::SetStore(vm, StoreState::Open)));
        simulation.at(end - rng.random_range(1..length), Event::Remove(STAYING));
        simulation.at(end + rng.random_range(100..RETURN_MILLIS), Event::Relist(STAYING));
        simulation.run(DAY_MILLIS + 2_000);
        let last = last_send_after(&simulation, LEAVING, removed_at);
        assert!(last <= BOUND_MILLIS, "{last} ms, seed {seed}, {count} VMs");
        assert_eq!(denials(&simulation, STAYING), 0, "seed {seed}, {count} VMs");
    }
}
