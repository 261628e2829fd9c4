//! How changes reach all VMs of a data centre, at 9 to 2,000 VMs.

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

fn book(own: &VmEntry, all: &[VmEntry]) -> PeerTable {
    let mut book = PeerTable::new(own.clone());
    for other in all {
        book.list(other.clone());
    }
    book
}

/// Who is reached by what the first VM tells, and the most that any VM sends.
fn reached(all: &[VmEntry]) -> (Vec<SocketAddr>, usize) {
    let plan = book(&all[0], all).propagation_plan();
    let (mut reached, mut most) = (plan.targets.clone(), plan.targets.len());
    for relay in all.iter().filter(|vm| plan.targets.contains(&vm.address)) {
        let targets = book(relay, all).relay_targets(VmKey::of(&all[0].name));
        assert!(targets.len() <= plan.relayed_count);
        most = most.max(targets.len());
        reached.extend(targets);
    }
    (reached, most)
}

#[test]
fn every_vm_is_reached_once_and_nobody_sends_to_many() {
    for vms in [9_usize, 91, 300, 985, 2_000] {
        for wide_step in [1, 20, usize::MAX] {
            let near = vms.div_ceil(5);
            let link = |number: usize| if number.is_multiple_of(wide_step) { 200 } else { 20 };
            let all: Vec<_> = (0..near).map(|number| vm(number, link(number))).collect();
            let (reached, most) = reached(&all);
            let once: BTreeSet<_> = reached.iter().collect();
            assert_eq!((once.len(), reached.len()), (near - 1, near - 1), "{vms} VMs");
            // A few times the root of their number, where all were told by one before.
            let bound = if near <= 31 { near } else { 3 * near.isqrt() };
            assert!(most <= bound, "{most} of {near}");
        }
    }
}

#[test]
fn vms_that_know_different_vms_miss_few() {
    let all: Vec<_> = (0..200).map(|number| vm(number, if number % 20 == 0 { 200 } else { 20 })).collect();
    // The teller does not know the last two yet: they ask, or are told with the next change.
    let plan = book(&all[0], &all[..198]).propagation_plan();
    let mut reached: BTreeSet<_> = plan.targets.iter().copied().collect();
    for relay in all.iter().filter(|vm| plan.targets.contains(&vm.address)) {
        reached.extend(book(relay, &all).relay_targets(VmKey::of(&all[0].name)));
    }
    let missed = all[1..].iter().filter(|vm| !reached.contains(&vm.address)).count();
    assert!(missed <= 4, "{missed} missed");
    // A VM that nobody expects to pass on does not.
    assert!(book(&all[7], &all).relay_targets(VmKey::of(&all[0].name)).is_empty());
    assert!(book(&all[7], &all).relay_targets(VmKey::of("vm-unknown")).is_empty());
}
