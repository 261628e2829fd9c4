//! How long a change of the store takes until the last VM of a data centre has it, in virtual time.
//!
//! Guards against changes that are in force late at some VMs of a large data centre: those behind a relay that
//! is gone, and those whose turn to poll the store comes late.
//!
//! The bound is the shortest that users state, 2 s after the store confirmed the change.

mod removals;
mod simulation;

use simulation::{Event, Simulation, StoreState, at};

/// Shortest bound of users, in milliseconds.
const BOUND_MILLIS: u64 = 2_000;

/// Returns the numbers of the VMs that relay the first VM's updates.
fn relays(count: usize) -> Vec<usize> {
    let simulation = Simulation::new(count);
    let plan = simulation.vms[0].table.propagation_plan(at(1));
    plan.relays.iter().map(|(address, _)| simulation.numbers[address]).collect()
}

/// Writes six changes, 360 ms apart, from `millis` on.
fn write_storm(simulation: &mut Simulation, millis: u64) {
    (0..6).for_each(|change| simulation.write_at(millis + 360 * change));
}

#[yare::parameterized(nine = { 9 }, many = { 91 }, large = { 197 })]
fn in_calm_a_change_is_in_force_at_once_and_one_vm_calls_the_store(count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(0);
    let before = simulation.calls();
    write_storm(&mut simulation, 500);
    simulation.run(10_000);
    assert!(simulation.longest_delay() <= 200, "{} ms", simulation.longest_delay());
    let calls = simulation.calls() - before;
    assert!(calls <= 10_000 / 500, "{calls} calls");
}

/// Guards against leaves that wait for their turn to poll the store once their relay is gone.
#[yare::parameterized(many = { 91 }, large = { 197 })]
fn a_change_is_in_force_in_time_behind_relays_that_die(count: usize) {
    for dead in 1..=3 {
        for lead_millis in [0, 20, 300] {
            let mut simulation = Simulation::new(count);
            for relay in relays(count).into_iter().take(dead) {
                simulation.at(500 - lead_millis, Event::Kill(relay));
            }
            write_storm(&mut simulation, 500);
            simulation.run(12_000);
            assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
        }
    }
}

/// The same for relays that start again or stand still: their entries stay, and their groups lack updates.
#[yare::parameterized(many = { 91 }, large = { 197 })]
fn a_change_is_in_force_in_time_behind_relays_that_restart_or_freeze(count: usize) {
    let mut simulation = Simulation::new(count);
    let relays = relays(count);
    simulation.at(400, Event::Kill(relays[0]));
    simulation.at(1_400, Event::Restart(relays[0]));
    simulation.at(450, Event::Freeze(relays[1], 600));
    write_storm(&mut simulation, 500);
    simulation.run(12_000);
    assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
}

/// Guards against turns that come one after the other through all VMs that the store turns away.
#[yare::parameterized(
    nine_silent = { 9, StoreState::Silent },
    nine_busy = { 9, StoreState::Busy },
    many_silent = { 91, StoreState::Silent },
    many_busy = { 91, StoreState::Busy },
    large_silent = { 197, StoreState::Silent },
    large_busy = { 197, StoreState::Busy },
)]
fn a_change_is_in_force_in_time_while_the_first_third_is_turned_away(count: usize, store: StoreState) {
    let mut simulation = Simulation::new(count);
    for vm in 0..count / 3 {
        simulation.at(500, Event::SetStore(vm, store));
        simulation.at(9_500, Event::SetStore(vm, StoreState::Open));
    }
    simulation.run(0);
    let before = simulation.calls();
    for millis in [500, 700, 2_500, 3_000, 6_000] {
        simulation.write_at(millis);
    }
    write_storm(&mut simulation, 9_500);
    simulation.run(20_000);
    assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
    // Not one call a second from each VM that is turned away.
    let calls = simulation.calls() - before;
    assert!(calls <= 150, "{calls} calls");
}

/// Guards against an outage of the store in which each VM calls it all the time.
#[test]
fn calls_in_an_outage_grow_with_time_and_not_with_the_number_of_vms() {
    let mut calls = Vec::new();
    for count in [91, 197] {
        let mut simulation = Simulation::new(count);
        (0..count).for_each(|vm| simulation.at(500, Event::SetStore(vm, StoreState::Busy)));
        (0..count).for_each(|vm| simulation.at(5_000, Event::SetStore(vm, StoreState::Open)));
        simulation.run(0);
        let before = simulation.calls();
        simulation.write_at(4_000);
        simulation.run(12_000);
        assert!(simulation.longest_delay() <= 1_000 + BOUND_MILLIS, "{} ms", simulation.longest_delay());
        calls.push(simulation.calls() - before);
    }
    assert!(calls[1] <= calls[0] + 10, "{calls:?}");
}
