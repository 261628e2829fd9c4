//! Which VMs are there, and which data centres are silent.

use spanfold_entity::Moment;
use spanfold_gateway::{PeerBook, VmEntry, VmKey};

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

fn book() -> PeerBook {
    let mut book = PeerBook::new(entry("vm-1", "dc-a"));
    for (name, data_centre) in [("vm-1", "dc-a"), ("vm-2", "dc-a"), ("vm-3", "dc-b"), ("vm-4", "dc-b")] {
        book.list(entry(name, data_centre));
    }
    book
}

#[test]
fn a_data_centre_is_silent_when_all_its_vms_are() {
    let mut book = book();
    // Who was never heard is not missed: peers start at different times.
    assert!(book.silent_data_centres(at(5_000)).is_empty());
    for name in ["vm-2", "vm-3", "vm-4"] {
        assert!(book.hear(VmKey::of(name), 1, 1, at(0)));
    }
    assert!(book.hear(VmKey::of("vm-3"), 1, 2, at(500)));
    assert_eq!(book.silent_data_centres(at(1_000)), ["dc-a"]);
    assert_eq!(book.silent_data_centres(at(1_300)), ["dc-a", "dc-b"]);
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
