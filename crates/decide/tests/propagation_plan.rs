//! Propagation of updates to all VMs of a data centre, at 9 to 2,000 VMs.
//!
//! Guards against VMs that hear of no change because the VM that should relay it to them is gone, or because
//! VMs disagree on who relays to whom.

use spanfold_decide::{PeerTable, VmEntry, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn vm(number: usize, link_mbps: u32) -> VmEntry {
    VmEntry {
        name: format!("vm-{number:04}"),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
        data_centre: "dc-a".into(),
        incarnation: 1,
        link_mbps,
    }
}

fn table_of(own: &VmEntry, all: &[VmEntry]) -> PeerTable {
    let mut table = PeerTable::new(own.clone());
    for other in all {
        table.list_at(other.clone(), Moment(0));
    }
    table
}

/// Returns the VMs reached by an update of the first VM, and the largest fan-out.
fn reached(all: &[VmEntry]) -> (Vec<SocketAddr>, usize) {
    let plan = table_of(&all[0], all).propagation_plan(Moment(1));
    let mut reached = plan.targets.clone();
    let mut max_targets = plan.targets.len() + plan.relays.len();
    for (address, group) in &plan.relays {
        let relay = all.iter().find(|vm| vm.address == *address).unwrap();
        let targets = table_of(relay, all).leaf_addresses(group);
        assert!(targets.len() as f64 / f64::from(relay.link_mbps) <= plan.max_load, "{plan:?}");
        max_targets = max_targets.max(targets.len());
        reached.push(*address);
        reached.extend(targets);
    }
    assert_eq!(plan.receiver_count(), reached.len());
    (reached, max_targets)
}

#[test]
fn every_vm_is_reached_once_and_fan_out_is_bounded() {
    for vms in [9_usize, 91, 300, 985, 2_000] {
        for wide_step in [1, 20, usize::MAX] {
            let local_count = vms.div_ceil(5);
            let link = |number: usize| if number.is_multiple_of(wide_step) { 200 } else { 20 };
            let all: Vec<_> = (0..local_count).map(|number| vm(number, link(number))).collect();
            let (reached, max_targets) = reached(&all);
            let distinct: BTreeSet<_> = reached.iter().collect();
            assert_eq!((distinct.len(), reached.len()), (local_count - 1, local_count - 1), "{vms} VMs");
            // With relays, a small multiple of the square root of the number of VMs. Without them, one VM
            // sends to all others.
            let bound = if local_count <= 31 { local_count } else { 3 * local_count.isqrt() };
            assert!(max_targets <= bound, "{max_targets} of {local_count}");
        }
    }
}

/// Guards against a relay that is gone and misses its group for as long as its entry is listed.
#[test]
fn vms_that_are_silent_relay_nothing() {
    let all: Vec<_> = (0..197).map(|number| vm(number, if number % 20 == 0 { 200 } else { 20 })).collect();
    let mut table = table_of(&all[0], &all);
    let (before, now) = (table.propagation_plan(Moment(1)), Moment(0).after_millis(2_000));
    let dead: Vec<VmKey> = before.relays.iter().take(3).map(|(_, group)| group.relay).collect();
    for vm in &all[1..] {
        if !dead.contains(&VmKey::of(&vm.name)) {
            table.record_digest(VmKey::of(&vm.name), 1, 1, now);
        }
    }
    let plan = table.propagation_plan(now);
    assert!(plan.relays.iter().all(|(_, group)| !dead.contains(&group.relay)));
    // They may run and only be unheard: they are still sent to.
    assert_eq!(plan.receiver_count(), 196);
}

/// Guards against VMs that are missed where tables differ: all groups behind the difference shifted.
#[test]
fn vms_with_different_tables_agree_on_who_relays_to_whom() {
    let all: Vec<_> = (0..200).map(|number| vm(number, if number % 20 == 0 { 200 } else { 20 })).collect();
    // The reporter's table lacks the last two VMs, and those of the relays one VM each.
    let plan = table_of(&all[0], &all[..198]).propagation_plan(Moment(1));
    let mut reached: BTreeSet<_> = plan.targets.iter().copied().collect();
    for (index, (address, group)) in plan.relays.iter().enumerate() {
        let relay = all.iter().find(|vm| vm.address == *address).unwrap();
        let mut known = all.clone();
        known.remove(190 - index);
        reached.insert(*address);
        reached.extend(table_of(relay, &known).leaf_addresses(group));
    }
    let missed = all[1..].iter().filter(|vm| !reached.contains(&vm.address)).count();
    assert!(missed <= 2 + plan.relays.len(), "{missed} missed");
    // A VM that is not named as the relay passes nothing on.
    assert!(table_of(&all[7], &all).leaf_addresses(&plan.relays[0].1).is_empty());
    // Nor does one whose reporter of the former form is unknown.
    assert!(table_of(&all[7], &all).former_relay_targets(VmKey::of("vm-unknown")).is_empty());
}

/// Guards against a narrow link that carries an update once for each VM although wide links are idle.
#[test]
fn a_reporter_with_a_narrow_link_leaves_the_sending_to_wide_ones() {
    let mut all: Vec<_> = (0..197).map(|number| vm(number, if number < 10 { 200 } else { 20 })).collect();
    all.swap(0, 100);
    let plan = table_of(&all[0], &all).propagation_plan(Moment(1));
    assert!(plan.targets.is_empty() && plan.relays.len() < 10, "{plan:?}");
    // One fragment of 16 KiB at half of each link.
    let fragment_seconds = plan.max_load * f64::from(16 * 1_024 * 8) / 0.5 / 1e6;
    assert!(fragment_seconds < 0.1, "{fragment_seconds}");
}

/// Guards against VMs that a reporter with an older table misses although its relays know them.
#[test]
fn vms_with_different_tables_miss_few() {
    let all: Vec<_> = (0..200).map(|number| vm(number, if number % 20 == 0 { 200 } else { 20 })).collect();
    let plan = table_of(&all[0], &all[..198]).propagation_plan(Moment(1));
    let mut reached: BTreeSet<_> = plan.targets.iter().copied().collect();
    for (address, group) in &plan.relays {
        let relay = all.iter().find(|vm| vm.address == *address).unwrap();
        reached.insert(*address);
        reached.extend(table_of(relay, &all).leaf_addresses(group));
    }
    let missed = all[1..].iter().filter(|vm| !reached.contains(&vm.address)).count();
    assert!(missed <= 4, "{missed} missed");
}
