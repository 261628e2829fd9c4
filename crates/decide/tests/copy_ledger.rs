//! Copies of streams' records: how many are sent, to whom again, and when a record is given up.

use spanfold_decide::{
    CopyLedger, CopyTarget, EndpointKey, PeerTable, RECORD_COPIES, ShortRecord, StreamCopy, StreamKey,
    StreamOrigin, VmEntry, VmKey,
};
use spanfold_entity::Moment;
use std::collections::BTreeSet;
use std::net::SocketAddr;

const START: Moment = Moment(10_000_000);
/// Time after which all copies are confirmed or the record is given up.
const END: Moment = Moment(30_000_000);
/// Datagrams that one record may cost if none of them is confirmed.
const MAX_DATAGRAMS: usize = 15;

fn entry(number: usize, data_centres: usize) -> VmEntry {
    VmEntry {
        name: format!("vm-{number}"),
        address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
        data_centre: format!("dc-{}", number % data_centres),
        incarnation: 1,
        link_mbps: 100,
    }
}

/// Returns the table of VM 0, which lists `vms` VMs and has heard those in `heard` at `now`.
fn table(vms: usize, data_centres: usize, heard: impl Fn(usize) -> bool, now: Moment) -> PeerTable {
    let mut table = PeerTable::new(entry(0, data_centres));
    for number in 1..vms {
        // Listed long ago, so that a VM that is not heard is silent.
        table.list_at(entry(number, data_centres), Moment(0));
        if heard(number) {
            table.record_digest(VmKey::of(&format!("vm-{number}")), 1, now.0, now);
        }
    }
    table
}

fn copy(number: usize) -> StreamCopy {
    StreamCopy {
        key: StreamKey::of("one", number.to_string().as_bytes()),
        account: 1,
        origin: StreamOrigin::of("llm", "v1", EndpointKey::of("i-1")),
        expires_at: START.after_millis(60_000),
    }
}

/// What became of one record.
#[derive(Debug, Default)]
struct Outcome {
    /// VMs of all datagrams, in order.
    sent: Vec<VmKey>,
    short: Vec<ShortRecord>,
}

/// Lets a ledger complete one record; `confirms` states whether a VM confirms the `nth` datagram.
fn complete(peers: &PeerTable, confirms: impl Fn(VmKey, usize) -> bool) -> Outcome {
    let (mut ledger, mut outcome) = (CopyLedger::default(), Outcome::default());
    let copy = copy(1);
    let mut deliver = |ledger: &mut CopyLedger, targets: &[CopyTarget]| {
        for target in targets {
            outcome.sent.push(target.vm);
            if confirms(target.vm, outcome.sent.len()) {
                ledger.confirm(target.vm, &[copy.key]);
            }
        }
    };
    let targets = ledger.begin(copy, peers, START);
    deliver(&mut ledger, &targets);
    while ledger.next_due_at() < END {
        let due = ledger.take_due(peers, ledger.next_due_at());
        for copy in &due.copies {
            deliver(&mut ledger, &copy.again);
            deliver(&mut ledger, &copy.further);
        }
        outcome.short.extend(due.short);
    }
    assert!(ledger.is_empty());
    outcome
}

/// Guards against copies whose number grows with the deployment.
#[yare::parameterized(
    of_nine = { 9, 3 },
    of_91 = { 91, 5 },
    of_420 = { 420, 17 },
    of_985 = { 985, 17 },
)]
fn a_record_costs_three_datagrams_if_all_arrive(vms: usize, data_centres: usize) {
    let outcome = complete(&table(vms, data_centres, |_| true, START), |_, _| true);
    assert_eq!((outcome.sent.len(), outcome.short.len()), (RECORD_COPIES, 0));
}

/// Guards against a VM that protects its streams less because it has just started: it has heard none of the
/// others, or few.
#[yare::parameterized(
    nobody_of_five = { 5, 2, 0 },
    two_of_five = { 5, 2, 2 },
    nobody_of_91 = { 91, 5, 0 },
    ten_of_91 = { 91, 5, 10 },
)]
fn a_vm_that_hears_few_others_sends_three_copies(vms: usize, data_centres: usize, heard: usize) {
    let peers = table(vms, data_centres, |number| number <= heard, START);
    let outcome = complete(&peers, |_, _| true);
    assert_eq!((outcome.sent.len(), outcome.short.len()), (RECORD_COPIES, 0));
}

/// Guards against a record that has fewer copies because datagrams were lost.
#[yare::parameterized(
    the_first = { 1 },
    the_first_two = { 2 },
    all_three = { 3 },
)]
fn a_lost_copy_is_sent_again(lost: usize) {
    let outcome = complete(&table(9, 3, |_| true, START), |_, datagram| datagram > lost);
    let confirmed: BTreeSet<_> = outcome.sent.iter().skip(lost).collect();
    assert!(confirmed.len() >= RECORD_COPIES, "{outcome:?}");
    assert!(outcome.sent.len() <= RECORD_COPIES + 2 * lost, "{outcome:?}");
    assert_eq!(outcome.short, []);
}

/// Guards against a record whose copies are at VMs that have failed since.
#[test]
fn a_vm_that_does_not_confirm_is_replaced() {
    let peers = table(9, 3, |_| true, START);
    let failed: Vec<_> = peers.record_targets(copy(1).key, START).iter().take(2).map(|vm| vm.vm).collect();
    let outcome = complete(&peers, |vm, _| !failed.contains(&vm));
    let holders: BTreeSet<_> = outcome.sent.iter().filter(|vm| !failed.contains(vm)).collect();
    assert!(holders.len() >= RECORD_COPIES, "{outcome:?}");
    assert_eq!(outcome.short, []);
}

/// Guards against a record with too few copies that nobody learns of, and against datagrams without end.
#[test]
fn a_record_without_confirmations_is_reported() {
    let outcome = complete(&table(91, 5, |_| true, START), |_, _| false);
    let short = outcome.short.first().unwrap();
    assert_eq!((outcome.short.len(), short.key, short.confirmed), (1, copy(1).key, 0));
    assert!(outcome.sent.len() <= MAX_DATAGRAMS, "{}", outcome.sent.len());
}

/// Guards against reports of a deployment that has no three other VMs.
#[test]
fn a_record_at_all_other_vms_is_not_short() {
    assert_eq!(complete(&table(3, 1, |_| true, START), |_, _| true).short, []);
    assert_eq!(complete(&table(1, 1, |_| true, START), |_, _| true).short, []);
}

/// Guards against a record that keeps its few copies although other VMs are listed a moment later.
#[test]
fn a_record_is_completed_when_further_vms_are_listed() {
    let mut ledger = CopyLedger::default();
    let copy = copy(1);
    let targets = ledger.begin(copy, &table(2, 1, |_| true, START), START);
    assert_eq!(targets.len(), 1);
    ledger.confirm(targets[0].vm, &[copy.key]);
    let due_at = ledger.next_due_at();
    let due = ledger.take_due(&table(9, 3, |_| true, due_at), due_at);
    assert_eq!(due.copies.iter().map(|copy| copy.further.len()).sum::<usize>(), RECORD_COPIES - 1);
}

/// Guards against memory that grows with streams that nobody confirms.
#[test]
fn unconfirmed_records_are_bounded() {
    let (mut ledger, peers) = (CopyLedger::default(), table(9, 3, |_| true, START));
    for number in 0..10_000 {
        assert_eq!(ledger.begin(copy(number), &peers, START).len(), RECORD_COPIES);
    }
    let due = ledger.take_due(&peers, START.after_millis(1_000));
    assert!((1..10_000).contains(&due.copies.len()), "{}", due.copies.len());
}
