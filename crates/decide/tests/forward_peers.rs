//! Choice of the VM that serves requests of a VM without a path to the endpoints.

use proptest::prelude::*;
use spanfold_decide::{ForwardPeer, ForwardPeers, PeerHeartbeat, PeerTable, VmEntry, VmKey, direct_share};
use spanfold_entity::Moment;
use std::cell::RefCell;
use std::collections::BTreeMap;

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
    Moment(0).after_millis(1_000_000 + millis)
}

/// Table of `vm-a0` with `count` VMs in each of three data centres, all of which have sent a digest.
fn live_table(count: usize) -> PeerTable {
    let mut table = PeerTable::new(entry("vm-a0", "dc-a"));
    for centre in ["a", "b", "c"] {
        for number in 0..count {
            let name = format!("vm-{centre}{number}");
            table.list(entry(&name, &format!("dc-{centre}")));
            table.record_digest(VmKey::of(&name), 5, 1, at(0));
        }
    }
    table
}

fn names(peers: &[ForwardPeer]) -> Vec<&str> {
    let mut names: Vec<_> = peers.iter().map(|peer| peer.name.as_str()).collect();
    names.sort_unstable();
    names
}

/// Chooses `count` times and returns how often each VM was chosen, with all choices still in flight.
fn choose_many(peers: &ForwardPeers, count: u64) -> BTreeMap<String, u64> {
    let in_flight = RefCell::new(BTreeMap::<VmKey, u64>::new());
    let mut chosen = BTreeMap::new();
    for _ in 0..count {
        let load = |vm| in_flight.borrow().get(&vm).copied().unwrap_or(0);
        let peer = peers.choose(&[], load, rand::random).unwrap();
        *in_flight.borrow_mut().entry(peer.vm).or_default() += 1;
        *chosen.entry(peer.name.clone()).or_default() += 1;
    }
    chosen
}

#[test]
fn vms_that_announce_that_they_take_none_or_are_silent_are_no_candidates() {
    let mut table = live_table(3);
    table.record_forwarding(VmKey::of("vm-a1"), true, at(100));
    table.record_forwarding(VmKey::of("vm-b2"), true, at(100));
    let peers = table.forward_peers(at(200));
    assert_eq!(names(&peers.local), ["vm-a2"]);
    assert_eq!(names(&peers.remote), ["vm-b0", "vm-b1", "vm-c0", "vm-c1", "vm-c2"]);
    assert_eq!(peers.closed_local_count, 2);
    assert!(peers.local.iter().all(|peer| peer.incarnation == 5));
    // Its next digest takes the announcement back.
    table.record_forwarding(VmKey::of("vm-a1"), false, at(300));
    assert_eq!(names(&table.forward_peers(at(300)).local), ["vm-a1", "vm-a2"]);
    table.avoid_forwarding(VmKey::of("vm-a2"), at(400));
    assert_eq!(names(&table.forward_peers(at(500)).local), ["vm-a1"]);
    assert_eq!(table.forward_peers(at(5_000)), ForwardPeers { closed_local_count: 1, ..Default::default() });
}

#[test]
fn an_announcement_that_is_not_repeated_expires() {
    let mut table = live_table(2);
    let vm = VmKey::of("vm-b0");
    table.record_forwarding(vm, true, at(0));
    assert_eq!(table.closed_peers(false, at(1_000)), [vm]);
    assert_eq!(table.closed_peers(true, at(1_000)), []);
    assert_eq!(table.closed_peers(false, at(2_000)), []);
    table.record_digest(vm, 5, 2, at(2_000));
    assert_eq!(names(&table.forward_peers(at(2_000)).remote), ["vm-b0"]);
}

#[test]
fn in_a_large_deployment_remote_vms_without_digests_are_candidates_while_their_data_centre_is_reachable() {
    let mut table = PeerTable::new(entry("vm-a0", "dc-a"));
    for centre in ["a", "b", "c"] {
        (1..30)
            .for_each(|number| table.list(entry(&format!("vm-{centre}{number}"), &format!("dc-{centre}"))));
    }
    let leader = PeerHeartbeat { vm: VmKey::of("vm-b1"), incarnation: 7, sequence: 1 };
    table.record_indirect_digest(&leader, at(0));
    table.record_forwarding(VmKey::of("vm-b2"), true, at(0));
    let peers = table.forward_peers(at(100));
    assert_eq!((peers.local.len(), peers.remote.len()), (0, 28));
    assert!(peers.remote.iter().all(|peer| peer.name.starts_with("vm-b") && peer.name != "vm-b2"));
    let first = peers.remote.iter().find(|peer| peer.name == "vm-b1").unwrap();
    assert_eq!(first.incarnation, 7);
    assert!(table.forward_peers(at(2_000)).remote.is_empty());
}

#[test]
fn a_vm_that_sends_no_digests_any_more_is_silent() {
    let mut table = live_table(2);
    table.list(entry("vm-b9", "dc-b"));
    let is_silent = |name: &str, millis| table.is_silent(VmKey::of(name), at(millis));
    assert!(!is_silent("vm-b0", 1_000) && is_silent("vm-b0", 1_300));
    // A VM that never sent any to this one may be alive; one that is not listed is gone.
    assert!(!is_silent("vm-b9", 9_000) && is_silent("vm-x", 0));
}

#[test]
fn requests_spread_over_the_vms_of_the_data_centre() {
    let chosen = choose_many(&live_table(30).forward_peers(at(0)), 290);
    assert_eq!(chosen.len(), 29);
    assert!(chosen.iter().all(|(name, count)| name.starts_with("vm-a") && *count <= 13), "{chosen:?}");
}

#[test]
fn if_few_vms_of_a_data_centre_have_a_path_others_get_most_requests() {
    let mut table = live_table(30);
    (1..29).for_each(|number| table.record_forwarding(VmKey::of(&format!("vm-a{number}")), true, at(0)));
    let peers = table.forward_peers(at(0));
    assert_eq!((peers.local.len(), peers.closed_local_count), (1, 29));
    let chosen = choose_many(&peers, 2_900);
    // It takes the requests of two VMs of 29: 200 of 2,900, and some more or fewer by chance.
    let own = chosen["vm-a29"];
    assert!((120..=280).contains(&own), "{own}");
    assert!(chosen.iter().all(|(name, count)| name == "vm-a29" || *count <= 60), "{chosen:?}");
}

#[test]
fn after_a_refusal_another_data_centre_comes_first() {
    let peers = live_table(3).forward_peers(at(0));
    let tried = [peers.local[0].vm];
    let second = peers.choose(&tried, |_| 0, rand::random).unwrap();
    assert!(peers.remote.contains(second));
    let without_remote = ForwardPeers { remote: Vec::new(), ..peers.clone() };
    assert_eq!(without_remote.choose(&tried, |_| 0, rand::random), Some(&peers.local[1]));
    let all: Vec<_> = peers.local.iter().map(|peer| peer.vm).collect();
    assert_eq!(without_remote.choose(&all, |_| 0, rand::random), None);
}

proptest! {
    #[test]
    fn a_tried_vm_is_never_chosen_and_any_other_is_found(
        local in 0..5_usize, remote in 0..5_usize, tried_mask in 0..1_024_u32, draws in prop::collection::vec(0.0..=1.0_f64, 5),
    ) {
        let peer = |name: String| ForwardPeer {
            vm: VmKey::of(&name), name, address: "127.0.0.1:9".parse().unwrap(), incarnation: 1,
        };
        let peers = ForwardPeers {
            local: (0..local).map(|number| peer(format!("l-{number}"))).collect(),
            remote: (0..remote).map(|number| peer(format!("r-{number}"))).collect(),
            closed_local_count: 1,
        };
        let all: Vec<_> = peers.local.iter().chain(&peers.remote).collect();
        let tried: Vec<_> =
            all.iter().enumerate().filter(|(at, _)| tried_mask >> at & 1 == 1).map(|(_, peer)| peer.vm).collect();
        let mut draws = draws.into_iter().cycle();
        let chosen = peers.choose(&tried, |_| 0, || draws.next().unwrap());
        prop_assert_eq!(chosen.is_none(), tried.len() == all.len());
        prop_assert!(chosen.is_none_or(|peer| !tried.contains(&peer.vm)));
    }
}

#[test]
fn a_vms_own_sends_grow_over_a_second_once_its_path_is_back() {
    let percent = |millis| (direct_share(at(0), at(millis)) * 100.0).round() as u32;
    assert_eq!([0, 100, 500, 1_000, 9_000].map(percent), [0, 10, 50, 100, 100]);
}
