//! Which VMs hold a stream's record, and which are asked for it, at the sizes of the deployments.

use spanfold_decide::{PeerTable, StreamKey, VmEntry, VmKey};
use spanfold_entity::Moment;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

const NOW: Moment = Moment(1_000_000);
/// Streams of each test.
const STREAMS: usize = 300;
/// Copies of each record besides the writer's.
const COPIES: usize = 3;
/// VMs that are asked at most.
const ASKED: usize = 8;

/// A deployment of VMs in data centres, numbered from zero.
#[derive(Clone, Copy)]
struct Fleet {
    vms: usize,
    data_centres: usize,
}

impl Fleet {
    fn entry(self, number: usize) -> VmEntry {
        VmEntry {
            name: format!("vm-{number}"),
            address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
            data_centre: format!("dc-{}", number % self.data_centres),
            incarnation: 1,
            link_mbps: 100,
        }
    }

    /// Returns the table of a VM that knows all others but `missing`.
    fn table(self, number: usize, missing: &HashSet<usize>) -> PeerTable {
        let mut table = PeerTable::new(self.entry(number));
        for other in (0..self.vms).filter(|other| *other != number && !missing.contains(other)) {
            let entry = self.entry(other);
            let vm = VmKey::of(&entry.name);
            table.list_at(entry, NOW);
            table.record_digest(vm, 1, 1, NOW);
        }
        table
    }

    fn number_at(self, address: SocketAddr) -> usize {
        (0..self.vms).find(|number| self.entry(*number).address == address).unwrap()
    }
}

fn stream(number: usize) -> StreamKey {
    StreamKey::of("one", number.to_string().as_bytes())
}

/// Returns the VMs that a reader asks.
fn asked(reader: &PeerTable, key: StreamKey) -> HashSet<SocketAddr> {
    let holders = reader.record_holders(key, NOW);
    holders.reachable.into_iter().chain(holders.silent).collect()
}

/// Guards against a reader that asks none of the VMs that hold a record, although its list of VMs differs
/// from the writer's by some.
#[yare::parameterized(
    of_nine = { Fleet { vms: 9, data_centres: 3 } },
    of_91 = { Fleet { vms: 91, data_centres: 5 } },
    of_420 = { Fleet { vms: 420, data_centres: 17 } },
    of_985 = { Fleet { vms: 985, data_centres: 17 } },
    in_one_data_centre = { Fleet { vms: 12, data_centres: 1 } },
)]
fn a_reader_asks_a_holder(fleet: Fleet) {
    let writer = fleet.table(0, &HashSet::from([4]));
    // In the writer's data centre, in another one, and with a list of fewer VMs.
    let local = fleet.data_centres;
    for (number, missing) in [(local, vec![]), (1 % fleet.vms, vec![]), (2, vec![5, 6, 7])] {
        let reader = fleet.table(number, &missing.into_iter().collect());
        for stream in (0..STREAMS).map(stream) {
            let mut copies = writer.record_copies(stream, NOW);
            assert_eq!(copies.len(), COPIES);
            copies.push(fleet.entry(0).address);
            let asked = asked(&reader, stream);
            assert!(asked.len() <= ASKED);
            let own = fleet.entry(number).address;
            assert!(copies.iter().any(|copy| asked.contains(copy) || *copy == own));
        }
    }
}

/// Guards against records whose copies all fail with one data centre, or all lie beyond its links.
#[yare::parameterized(
    of_nine = { Fleet { vms: 9, data_centres: 3 } },
    of_420 = { Fleet { vms: 420, data_centres: 17 } },
)]
fn copies_are_in_the_own_data_centre_and_another(fleet: Fleet) {
    let writer = fleet.table(0, &HashSet::new());
    for stream in (0..STREAMS).map(stream) {
        let copies = writer.record_copies(stream, NOW);
        let local =
            copies.iter().filter(|copy| fleet.number_at(**copy).is_multiple_of(fleet.data_centres)).count();
        assert!((1..COPIES).contains(&local), "{local}");
    }
}

/// Guards against VMs that hold many more records than others.
#[yare::parameterized(
    of_nine = { Fleet { vms: 9, data_centres: 3 } },
    of_91 = { Fleet { vms: 91, data_centres: 5 } },
)]
fn records_spread_over_the_vms(fleet: Fleet) {
    let mut counts: HashMap<SocketAddr, usize> = HashMap::new();
    for writer in 0..fleet.vms {
        let table = fleet.table(writer, &HashSet::new());
        for number in 0..STREAMS {
            let key = StreamKey::of("one", format!("{writer}-{number}").as_bytes());
            for copy in table.record_copies(key, NOW) {
                *counts.entry(copy).or_default() += 1;
            }
        }
    }
    let expected = COPIES * STREAMS;
    for (vm, count) in counts {
        assert!((expected * 3 / 4..expected * 5 / 4).contains(&count), "{vm}: {count} of {expected}");
    }
}

/// Guards against copies that are sent to VMs that have failed.
#[test]
fn a_silent_vm_gets_no_copy_and_is_asked_without_being_awaited() {
    let fleet = Fleet { vms: 9, data_centres: 3 };
    let mut writer = fleet.table(0, &HashSet::new());
    let later = NOW.after_millis(2_000);
    for number in 1..6 {
        writer.record_digest(VmKey::of(&format!("vm-{number}")), 1, 2, later);
    }
    for stream in (0..STREAMS).map(stream) {
        let copies = writer.record_copies(stream, later);
        assert!(copies.iter().all(|copy| fleet.number_at(*copy) < 6));
        let holders = writer.record_holders(stream, later);
        assert_eq!((holders.reachable.len(), holders.silent.len()), (5, 3));
    }
}

/// Guards against copies at VMs that nobody asks, because their writer hears a part of the others.
#[yare::parameterized(
    nobody_of_91 = { Fleet { vms: 91, data_centres: 5 }, 0 },
    a_tenth_of_91 = { Fleet { vms: 91, data_centres: 5 }, 9 },
    a_tenth_of_985 = { Fleet { vms: 985, data_centres: 17 }, 98 },
)]
fn a_reader_asks_a_holder_of_a_writer_that_hears_few(fleet: Fleet, heard: usize) {
    let mut writer = PeerTable::new(fleet.entry(0));
    for number in 1..fleet.vms {
        let entry = fleet.entry(number);
        let vm = VmKey::of(&entry.name);
        writer.list_at(entry, Moment(0));
        if number <= heard {
            writer.record_digest(vm, 1, 1, NOW.after_millis(2_000));
        }
    }
    let later = NOW.after_millis(2_000);
    // In the writer's data centre, and in another one.
    for number in [fleet.data_centres, 1] {
        let reader = fleet.table(number, &HashSet::new());
        let own = fleet.entry(number).address;
        for stream in (0..STREAMS).map(stream) {
            let copies = writer.record_copies(stream, later);
            assert_eq!(copies.len(), COPIES);
            let asked = asked(&reader, stream);
            assert!(copies.iter().any(|copy| asked.contains(copy) || *copy == own));
        }
    }
}
