//! Table of the other VMs: reachability, leaders and targets of digests.

use spanfold_decide::{PeerTable, VmEntry, VmKey};
use spanfold_entity::Moment;

fn entry(name: &str, data_centre: &str) -> VmEntry {
    VmEntry {
        name: name.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: data_centre.to_owned(),
        incarnation: 1,
        link_mbps: 100,
    }
}

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn table() -> PeerTable {
    let mut table = PeerTable::new(entry("vm-1", "dc-a"));
    for (name, data_centre) in [("vm-1", "dc-a"), ("vm-2", "dc-a"), ("vm-3", "dc-b"), ("vm-4", "dc-b")] {
        table.list(entry(name, data_centre));
    }
    table
}

#[test]
fn a_data_centre_is_unreachable_when_all_its_vms_are() {
    let mut table = table();
    // VMs that never sent a digest do not count as unreachable: VMs start at different times.
    assert!(table.unreachable_data_centres(at(5_000)).is_empty());
    for name in ["vm-2", "vm-3", "vm-4"] {
        assert!(table.record_digest(VmKey::of(name), 1, 1, at(0)));
    }
    assert!(table.record_digest(VmKey::of("vm-3"), 1, 2, at(500)));
    assert_eq!(table.unreachable_data_centres(at(1_000)), ["dc-a"]);
    assert_eq!(table.unreachable_data_centres(at(1_300)), ["dc-a", "dc-b"]);
}

#[test]
fn old_and_repeated_digests_are_rejected() {
    let mut table = table();
    let vm = VmKey::of("vm-2");
    assert!(table.record_digest(vm, 1, 5, at(0)));
    assert!(!table.record_digest(vm, 1, 5, at(1)));
    assert!(!table.record_digest(vm, 1, 4, at(1)));
    // A restarted VM restarts its sequence numbers.
    assert!(table.record_digest(vm, 2, 1, at(2)));
    assert!(!table.record_digest(VmKey::of("vm-9"), 1, 1, at(2)));
}

#[test]
fn a_vm_stays_while_it_is_listed_or_live() {
    let mut table = table();
    assert_eq!((table.listed_count(), table.own_name_index()), (4, 0));
    table.record_digest(VmKey::of("vm-2"), 1, 1, at(0));
    table.unlist("vm-2", at(100));
    table.unlist("vm-3", at(100));
    assert_eq!(table.listed_count(), 3);
    table.sweep(at(5_000));
    assert_eq!(table.listed_count(), 2);
}

/// Entry of a VM with its own address and link capacity.
fn linked(name: &str, data_centre: &str, link_mbps: u32) -> VmEntry {
    VmEntry {
        address: format!("127.0.0.1:{}", 1_000 + name.bytes().map(u16::from).sum::<u16>()).parse().unwrap(),
        link_mbps,
        ..entry(name, data_centre)
    }
}

/// Table of `vm-a5` with nine VMs in its data centre and nine in another one.
///
/// VMs 0 and 1 of each data centre have wide links.
fn large_deployment() -> PeerTable {
    let link = |row: usize| if row < 2 { 200 } else { 10 };
    let mut table = PeerTable::new(linked("vm-a5", "dc-a", 10));
    for row in 0..9 {
        table.list(linked(&format!("vm-a{row}"), "dc-a", link(row)));
        table.list(linked(&format!("vm-b{row}"), "dc-b", link(row)));
    }
    table
}

#[test]
fn digests_go_to_all_vms_of_a_small_deployment_and_to_the_data_centre_in_a_large_one() {
    assert!(table().broadcasts_to_all());
    assert_eq!(table().digest_targets().len(), 3);
    let large = large_deployment();
    assert!(!large.broadcasts_to_all());
    assert_eq!(large.digest_targets().len(), 8);
    assert_eq!(large.remote_data_centre_count(), 1);
}

#[test]
fn vms_with_wide_links_lead_while_they_are_reachable() {
    let mut table = large_deployment();
    // No digest was received yet: a VM without reachable peers leads.
    assert_eq!(table.leader_rank(at(0)), 0);
    for name in ["vm-a0", "vm-a1", "vm-a4", "vm-a8", "vm-b0"] {
        table.record_digest(VmKey::of(name), 1, 1, at(0));
    }
    assert_eq!(table.leader_rank(at(100)), 3);
    assert!(table.precedes_as_leader(VmKey::of("vm-a1")));
    assert!(!table.precedes_as_leader(VmKey::of("vm-a8")));
    assert!(!table.precedes_as_leader(VmKey::of("vm-b0")));
    table.record_digest(VmKey::of("vm-a4"), 1, 2, at(800));
    assert_eq!(table.leader_rank(at(900)), 1);
}

#[test]
fn live_vms_lead_a_remote_data_centre_first() {
    let mut table = large_deployment();
    let address = |name: &str| vec![linked(name, "dc-b", 10).address];
    assert_eq!(table.remote_leaders(0, at(0)), address("vm-b0"));
    assert_eq!(table.remote_leaders(1, at(0)), address("vm-b1"));
    // The first leader is dead, so the next VMs lead.
    table.record_digest(VmKey::of("vm-b1"), 1, 1, at(0));
    table.record_digest(VmKey::of("vm-b2"), 1, 1, at(0));
    assert_eq!(table.remote_leaders(0, at(100)), address("vm-b1"));
    assert_eq!(table.remote_leaders(1, at(100)), address("vm-b2"));
}

#[test]
fn remote_vms_that_a_leader_receives_from_are_reachable_for_its_data_centre() {
    let mut leader = table();
    assert!(leader.record_digest(VmKey::of("vm-3"), 7, 4, at(1_000)));
    let relayed = leader.live_remote_peers(at(1_100));
    assert_eq!(
        relayed.iter().map(|(heartbeat, micros)| (heartbeat.vm, *micros)).collect::<Vec<_>>(),
        [(VmKey::of("vm-3"), 100_000)]
    );
    let mut other = table();
    for (heartbeat, _) in &relayed {
        other.record_indirect_digest(heartbeat, at(1_000));
    }
    assert!(other.unreachable_data_centres(at(1_700)).is_empty());
    assert_eq!(other.unreachable_data_centres(at(1_800)), ["dc-b"]);
    // The same digest relayed later by another leader does not extend the reachability.
    for (heartbeat, _) in &relayed {
        other.record_indirect_digest(heartbeat, at(1_700));
    }
    assert_eq!(other.unreachable_data_centres(at(1_800)), ["dc-b"]);
}

#[test]
fn remote_vms_without_a_recent_digest_are_not_propagated() {
    let mut leader = table();
    assert!(leader.record_digest(VmKey::of("vm-2"), 1, 1, at(1_000)));
    assert!(leader.record_digest(VmKey::of("vm-3"), 1, 1, at(0)));
    assert!(leader.live_remote_peers(at(1_300)).is_empty());
}

/// Table of `vm-00` in a data centre of `count` VMs with equal links.
///
/// All VMs are listed at the same time.
fn data_centre_of(count: usize) -> PeerTable {
    let mut table = PeerTable::new(entry("vm-00", "dc-a"));
    for row in 1..count {
        table.list_at(entry(&format!("vm-{row:02}"), "dc-a"), at(0));
    }
    table
}

#[test]
fn digests_go_to_the_leaders_in_a_large_data_centre_only() {
    assert!(!data_centre_of(30).relays_locally());
    let mut table = data_centre_of(31);
    assert!(table.relays_locally());
    // All were just listed and no digest was received: the first two by name are presumed leaders.
    let leader_count = |table: &PeerTable, now| table.local_leaders(now).len();
    assert_eq!(leader_count(&table, at(100)), 2);
    // No digest arrives in time: no VM leads until a digest of one is received.
    assert_eq!(leader_count(&table, at(1_300)), 0);
    assert!(table.record_digest(VmKey::of("vm-07"), 1, 1, at(1_300)));
    assert_eq!(leader_count(&table, at(1_400)), 1);
}

#[test]
fn newly_listed_vms_count_as_leaders_until_their_first_digest_is_due() {
    let mut table = PeerTable::new(entry("vm-05", "dc-a"));
    for name in ["vm-03", "vm-04", "vm-06"] {
        table.list_at(entry(name, "dc-a"), at(0));
    }
    assert_eq!((table.leader_rank(at(100)), table.expected_leader_rank(at(100))), (0, 2));
    assert!(table.record_digest(VmKey::of("vm-04"), 1, 1, at(1_000)));
    assert_eq!((table.leader_rank(at(1_250)), table.expected_leader_rank(at(1_250))), (1, 1));
    // The same entry listed again does not count as newly listed; another incarnation does.
    table.list_at(entry("vm-03", "dc-a"), at(1_300));
    assert_eq!(table.expected_leader_rank(at(1_300)), 1);
    table.list_at(VmEntry { incarnation: 2, ..entry("vm-03", "dc-a") }, at(1_400));
    assert_eq!(table.expected_leader_rank(at(1_400)), 2);
}

#[test]
fn relayed_digests_and_own_digests_have_separate_sequences() {
    let mut table = table();
    let vm = VmKey::of("vm-2");
    assert!(table.record_relayed_digest(vm, 1, 9, at(0)));
    assert!(table.record_digest(vm, 1, 8, at(1)));
    assert!(!table.record_relayed_digest(vm, 1, 9, at(2)));
    assert!(!table.record_digest(vm, 1, 8, at(2)));
}

#[test]
fn the_number_of_vms_that_list_endpoints_is_bounded() {
    // One of five data centres; a twentieth of its VMs have wide links.
    for vms in [9_usize, 91, 300, 985, 2_000] {
        let local: Vec<_> = (0..vms.div_ceil(5))
            .map(|number| VmEntry {
                name: format!("vm-{number:04}"),
                address: std::net::SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
                data_centre: "dc-a".into(),
                incarnation: 1,
                link_mbps: if number % 20 == 0 { 200 } else { 20 },
            })
            .collect();
        let mut requests = std::collections::BTreeMap::new();
        let mut listing_vms = 0;
        for own in &local {
            let mut table = PeerTable::new(own.clone());
            for other in &local {
                table.list(other.clone());
            }
            let sources = table.snapshot_sources();
            listing_vms += usize::from(sources.is_empty());
            for source in &sources {
                *requests.entry(*source).or_insert(0.0) += 1.0 / sources.len() as f64;
            }
        }
        assert!(listing_vms <= 3, "{listing_vms} of {} list", local.len());
        // No VM sends more snapshots than its wide link carries in a few seconds.
        let max_snapshots = requests.values().copied().fold(0.0, f64::max);
        assert!(max_snapshots <= 24.0, "{max_snapshots} snapshots from one VM at {vms} VMs");
    }
}
