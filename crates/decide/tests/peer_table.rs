//! Which VMs are there, and which data centres are silent.

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

fn book() -> PeerTable {
    let mut book = PeerTable::new(entry("vm-1", "dc-a"));
    for (name, data_centre) in [("vm-1", "dc-a"), ("vm-2", "dc-a"), ("vm-3", "dc-b"), ("vm-4", "dc-b")] {
        book.list(entry(name, data_centre));
    }
    book
}

#[test]
fn a_data_centre_is_silent_when_all_its_vms_are() {
    let mut book = book();
    // Who was never heard is not missed: peers start at different times.
    assert!(book.unreachable_data_centres(at(5_000)).is_empty());
    for name in ["vm-2", "vm-3", "vm-4"] {
        assert!(book.hear(VmKey::of(name), 1, 1, at(0)));
    }
    assert!(book.hear(VmKey::of("vm-3"), 1, 2, at(500)));
    assert_eq!(book.unreachable_data_centres(at(1_000)), ["dc-a"]);
    assert_eq!(book.unreachable_data_centres(at(1_300)), ["dc-a", "dc-b"]);
}

#[test]
fn old_and_repeated_digests_are_not_heard() {
    let mut book = book();
    let vm = VmKey::of("vm-2");
    assert!(book.hear(vm, 1, 5, at(0)));
    assert!(!book.hear(vm, 1, 5, at(1)));
    assert!(!book.hear(vm, 1, 4, at(1)));
    // A restarted VM counts from one again.
    assert!(book.hear(vm, 2, 1, at(2)));
    assert!(!book.hear(VmKey::of("vm-9"), 1, 1, at(2)));
}

#[test]
fn a_vm_stays_while_it_is_listed_or_heard() {
    let mut book = book();
    assert_eq!((book.listed_count(), book.own_rank()), (4, 0));
    book.hear(VmKey::of("vm-2"), 1, 1, at(0));
    book.unlist("vm-2", at(100));
    book.unlist("vm-3", at(100));
    assert_eq!(book.listed_count(), 3);
    book.sweep(at(5_000));
    assert_eq!(book.listed_count(), 2);
}

/// A VM with a link of its own width.
fn linked(name: &str, data_centre: &str, link_mbps: u32) -> VmEntry {
    VmEntry {
        address: format!("127.0.0.1:{}", 1_000 + name.bytes().map(u16::from).sum::<u16>()).parse().unwrap(),
        link_mbps,
        ..entry(name, data_centre)
    }
}

/// A book of `vm-a5` with nine VMs in its data centre and nine in another; the ones called 0 and 1 have
/// wide links.
fn large_book() -> PeerTable {
    let link = |row: usize| if row < 2 { 200 } else { 10 };
    let mut book = PeerTable::new(linked("vm-a5", "dc-a", 10));
    for row in 0..9 {
        book.list(linked(&format!("vm-a{row}"), "dc-a", link(row)));
        book.list(linked(&format!("vm-b{row}"), "dc-b", link(row)));
    }
    book
}

#[test]
fn a_small_deployment_tells_all_and_a_large_one_its_data_centre() {
    assert!(book().broadcasts_to_all());
    assert_eq!(book().digest_targets().len(), 3);
    let large = large_book();
    assert!(!large.broadcasts_to_all());
    assert_eq!(large.digest_targets().len(), 8);
    assert_eq!(large.remote_data_centre_count(), 1);
}

#[test]
fn vms_with_wide_links_lead_while_they_are_heard() {
    let mut book = large_book();
    // Nobody was heard yet: a VM that is alone leads.
    assert_eq!(book.leader_rank(at(0)), 0);
    for name in ["vm-a0", "vm-a1", "vm-a4", "vm-a8", "vm-b0"] {
        book.hear(VmKey::of(name), 1, 1, at(0));
    }
    assert_eq!(book.leader_rank(at(100)), 3);
    assert!(book.precedes_as_leader(VmKey::of("vm-a1")));
    assert!(!book.precedes_as_leader(VmKey::of("vm-a8")));
    assert!(!book.precedes_as_leader(VmKey::of("vm-b0")));
    book.hear(VmKey::of("vm-a4"), 1, 2, at(800));
    assert_eq!(book.leader_rank(at(900)), 1);
}

#[test]
fn the_far_leads_are_those_that_were_heard_first_of_all() {
    let mut book = large_book();
    let address = |name: &str| vec![linked(name, "dc-b", 10).address];
    assert_eq!(book.remote_leaders(0, at(0)), address("vm-b0"));
    assert_eq!(book.remote_leaders(1, at(0)), address("vm-b1"));
    // The first one died, and the next ones lead there.
    book.hear(VmKey::of("vm-b1"), 1, 1, at(0));
    book.hear(VmKey::of("vm-b2"), 1, 1, at(0));
    assert_eq!(book.remote_leaders(0, at(100)), address("vm-b1"));
    assert_eq!(book.remote_leaders(1, at(100)), address("vm-b2"));
}

#[test]
fn far_vms_that_a_lead_hears_count_as_heard_by_those_it_tells() {
    let mut lead = book();
    assert!(lead.hear(VmKey::of("vm-3"), 7, 4, at(1_000)));
    let told = lead.live_remote_peers(at(1_100));
    assert_eq!(
        told.iter().map(|(heard, micros)| (heard.vm, *micros)).collect::<Vec<_>>(),
        [(VmKey::of("vm-3"), 100_000)]
    );
    let mut other = book();
    for (heard, _) in &told {
        other.record_indirect_digest(heard, at(1_000));
    }
    assert!(other.unreachable_data_centres(at(1_700)).is_empty());
    assert_eq!(other.unreachable_data_centres(at(1_800)), ["dc-b"]);
    // The same digest told again, by another lead and later, makes nobody younger.
    for (heard, _) in &told {
        other.record_indirect_digest(heard, at(1_700));
    }
    assert_eq!(other.unreachable_data_centres(at(1_800)), ["dc-b"]);
}

#[test]
fn far_vms_that_were_not_heard_lately_are_not_told_of() {
    let mut lead = book();
    assert!(lead.hear(VmKey::of("vm-2"), 1, 1, at(1_000)));
    assert!(lead.hear(VmKey::of("vm-3"), 1, 1, at(0)));
    assert!(lead.live_remote_peers(at(1_300)).is_empty());
}

/// A book of `vm-00` of a data centre of so many VMs, with links of 100, listed at once.
fn large(count: usize) -> PeerTable {
    let mut book = PeerTable::new(entry("vm-00", "dc-a"));
    for row in 1..count {
        book.list_at(entry(&format!("vm-{row:02}"), "dc-a"), at(0));
    }
    book
}

#[test]
fn in_a_large_data_centre_loads_go_to_its_leads_and_in_a_small_one_to_all() {
    assert!(!large(30).relays_locally());
    let mut book = large(31);
    assert!(book.relays_locally());
    // All were just listed, and none was heard: the first two by name are taken for leads.
    let leads = |book: &PeerTable, now| book.local_leaders(now).len();
    assert_eq!(leads(&book, at(100)), 2);
    // They stay silent: nobody leads until others are heard.
    assert_eq!(leads(&book, at(1_300)), 0);
    assert!(book.hear(VmKey::of("vm-07"), 1, 1, at(1_300)));
    assert_eq!(leads(&book, at(1_400)), 1);
}

#[test]
fn vms_that_were_just_listed_go_before_this_one_until_they_should_have_been_heard() {
    let mut book = PeerTable::new(entry("vm-05", "dc-a"));
    for name in ["vm-03", "vm-04", "vm-06"] {
        book.list_at(entry(name, "dc-a"), at(0));
    }
    assert_eq!((book.leader_rank(at(100)), book.expected_leader_rank(at(100))), (0, 2));
    assert!(book.hear(VmKey::of("vm-04"), 1, 1, at(1_000)));
    assert_eq!((book.leader_rank(at(1_250)), book.expected_leader_rank(at(1_250))), (1, 1));
    // The same entry, listed again, makes nobody new; another incarnation does.
    book.list_at(entry("vm-03", "dc-a"), at(1_300));
    assert_eq!(book.expected_leader_rank(at(1_300)), 1);
    book.list_at(VmEntry { incarnation: 2, ..entry("vm-03", "dc-a") }, at(1_400));
    assert_eq!(book.expected_leader_rank(at(1_400)), 2);
}

#[test]
fn what_a_lead_passes_on_and_what_it_says_of_itself_do_not_outdate_each_other() {
    let mut book = book();
    let vm = VmKey::of("vm-2");
    assert!(book.record_relayed_digest(vm, 1, 9, at(0)));
    assert!(book.hear(vm, 1, 8, at(1)));
    assert!(!book.record_relayed_digest(vm, 1, 9, at(2)));
    assert!(!book.hear(vm, 1, 8, at(2)));
}

#[test]
fn vms_that_list_all_endpoints_do_not_grow_with_the_deployment() {
    // VMs of one data centre of five, a twentieth of them with wide links, at 9 to 2,000 VMs.
    for vms in [9_usize, 91, 300, 985, 2_000] {
        let near: Vec<_> = (0..vms.div_ceil(5))
            .map(|number| VmEntry {
                name: format!("vm-{number:04}"),
                address: std::net::SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
                data_centre: "dc-a".into(),
                incarnation: 1,
                link_mbps: if number % 20 == 0 { 200 } else { 20 },
            })
            .collect();
        let mut asked = std::collections::BTreeMap::new();
        let mut listing = 0;
        for own in &near {
            let mut book = PeerTable::new(own.clone());
            for other in &near {
                book.list(other.clone());
            }
            let sources = book.snapshot_sources();
            listing += usize::from(sources.is_empty());
            for source in &sources {
                *asked.entry(*source).or_insert(0.0) += 1.0 / sources.len() as f64;
            }
        }
        assert!(listing <= 3, "{listing} of {} list", near.len());
        // Nobody hands out more copies than its wide link carries in some seconds.
        let most = asked.values().copied().fold(0.0, f64::max);
        assert!(most <= 24.0, "{most} copies of one VM at {vms} VMs");
    }
}
