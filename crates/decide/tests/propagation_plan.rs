//! Propagation of updates to all VMs of a data centre, at 9 to 2,000 VMs.

use spanfold_decide::{PeerTable, VmEntry, VmKey};
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
        table.list(other.clone());
    }
    table
}

/// Returns the VMs reached by an update of the first VM, and the largest fan-out.
fn reached(all: &[VmEntry]) -> (Vec<SocketAddr>, usize) {
    let plan = table_of(&all[0], all).propagation_plan();
    let (mut reached, mut max_targets) = (plan.targets.clone(), plan.targets.len());
    for relay in all.iter().filter(|vm| plan.targets.contains(&vm.address)) {
        let targets = table_of(relay, all).relay_targets(VmKey::of(&all[0].name));
        assert!(targets.len() <= plan.max_relay_targets);
        max_targets = max_targets.max(targets.len());
        reached.extend(targets);
    }
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

#[test]
fn vms_with_different_tables_miss_few() {
    let all: Vec<_> = (0..200).map(|number| vm(number, if number % 20 == 0 { 200 } else { 20 })).collect();
    // The reporter's table lacks the last two VMs: they request the update, or receive the next one.
    let plan = table_of(&all[0], &all[..198]).propagation_plan();
    let mut reached: BTreeSet<_> = plan.targets.iter().copied().collect();
    for relay in all.iter().filter(|vm| plan.targets.contains(&vm.address)) {
        reached.extend(table_of(relay, &all).relay_targets(VmKey::of(&all[0].name)));
    }
    let missed = all[1..].iter().filter(|vm| !reached.contains(&vm.address)).count();
    assert!(missed <= 4, "{missed} missed");
    // A VM that is not a relay has no targets.
    assert!(table_of(&all[7], &all).relay_targets(VmKey::of(&all[0].name)).is_empty());
    assert!(table_of(&all[7], &all).relay_targets(VmKey::of("vm-unknown")).is_empty());
}
