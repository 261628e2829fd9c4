//! The other VMs of the deployment: addresses, reachability and leaders of data centres.
//!
//! Invariant: a VM stays in the table while its entry is in the store or its digests arrive, so neither an
//! outage of the store nor a network partition between data centres alone empties the table.
//!
//! Within a data centre, every VM sends its digests to every other VM. Between data centres only the leaders
//! do: the reachable VMs with the widest links. Leaders follow from the table alone, so no election takes
//! place; two VMs whose tables differ for a moment send some messages twice. In a small deployment every VM
//! sends to every other one, which gives more current data at little cost.

use crate::admit::SHARE_RETENTION_MILLIS;
use crate::{ForwardPeer, ForwardPeers, ListMembership, ShareRight, StorePosition, VmKey, short_digest};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A VM counts as dead after this long without a digest, in milliseconds.
///
/// The timeout spans several digest intervals.
const PEER_TIMEOUT_MILLIS: u64 = 1_200;

/// A VM is unreachable and cannot lead after this long without a digest, in milliseconds.
///
/// A data centre whose VMs are all unreachable is skipped. The timeout is slightly more than two digest
/// intervals: callers with short objectives lose less by that than by waiting for connections to fail.
const SILENCE_TIMEOUT_MILLIS: u64 = 750;

/// Largest deployment in which every VM sends its digests to every other VM, in VMs.
///
/// At 12 VMs, a VM sends about 500 packets a second, as many as within a data centre of 25 VMs.
const MAX_BROADCAST_VMS: usize = 12;
/// Largest data centre in which VMs send load digests directly, in VMs.
///
/// In larger ones the leaders relay several digests in one message. At 59 VMs this takes about a tenth of
/// the packets, some 60 in place of 870 a second at each VM. In smaller ones, a direct digest arrives 20 ms
/// sooner.
const MAX_MESH_VMS: usize = 30;
/// Time within which a newly listed VM should send its first digest, in milliseconds.
const FIRST_DIGEST_TIMEOUT_MILLIS: u64 = 1_200;
/// Time for which a VM's announcement that it takes no requests of others counts, in milliseconds.
///
/// VMs that take none repeat it in each digest, and leaders name some of them in each.
const CLOSED_LIFETIME_MILLIS: u64 = 1_500;
/// VMs of a data centre that take over polling the store in the order of their leader ranks.
///
/// Behind them the order is that of a digest of their names: a fault that hits the first VMs by rank leaves
/// most of the next ones intact.
const RANKED_POLL_TURNS: usize = 4;
/// Leaders of a data centre that send to other data centres.
///
/// With two, the failure of one only makes the data in other data centres less current.
pub const LEADERS_PER_DATA_CENTRE: usize = 2;

/// The entry that a VM writes for itself into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// UDP address for digests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Differs at each start.
    pub incarnation: u64,
    /// Capacity of its link, in megabits a second.
    #[serde(default)]
    pub link_mbps: u32,
}

/// VMs of a data centre that read all endpoints from the store; two may fail.
const LISTERS_PER_DATA_CENTRE: usize = 3;
/// A link is wide if its capacity is at least this multiple of this VM's.
const WIDE_LINK_RATIO: u32 = 2;

impl VmEntry {
    /// Returns the sort key of leaders: the widest link first, then by name.
    pub(super) fn leader_order(&self) -> (Reverse<u32>, &str) {
        (Reverse(self.link_mbps), self.name.as_str())
    }
}

/// Identifies the newest digest received from a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The VM.
    pub vm: VmKey,
    /// Its incarnation.
    pub incarnation: u64,
    /// Sequence number of the digest.
    pub sequence: u64,
}

#[derive(Debug)]
struct PeerRow {
    entry: VmEntry,
    listed: bool,
    /// When its current incarnation was first listed, if recorded.
    listed_at: Option<Moment>,
    received_at: Option<Moment>,
    /// Incarnation and sequence number of its newest digest.
    sequence: (u64, u64),
    /// Incarnation and sequence number of the newest message that it relayed from other data centres.
    relayed_sequence: (u64, u64),
    /// Position of the store in its newest digest: it has all changes up to there.
    position: StorePosition,
    /// It announced that it takes no requests of other VMs until then.
    closed_until: Moment,
    /// This VM could not forward a request to it, and does not try again until then.
    avoided_until: Moment,
}

impl PeerRow {
    fn is_closed(&self, now: Moment) -> bool {
        now < self.closed_until
    }

    /// Returns its newest known incarnation.
    const fn incarnation(&self) -> u64 {
        if self.sequence.0 == 0 { self.entry.incarnation } else { self.sequence.0 }
    }

    fn forward_peer(&self, vm: VmKey) -> ForwardPeer {
        ForwardPeer {
            vm,
            name: self.entry.name.clone(),
            address: self.entry.address,
            incarnation: self.incarnation(),
        }
    }

    /// Whether it is reachable, or was listed too recently to have sent a digest.
    fn is_presumed_reachable(&self, now: Moment) -> bool {
        let is_new = self.listed_at.is_some_and(|at| now < at.after_millis(FIRST_DIGEST_TIMEOUT_MILLIS));
        is_new || self.sent_within(SILENCE_TIMEOUT_MILLIS, now)
    }

    fn sent_within(&self, millis: u64, now: Moment) -> bool {
        self.received_at.is_some_and(|at| now < at.after_millis(millis))
    }
}

/// A VM whose entry was removed.
///
/// It may be cut off from the store and still serve requests.
#[derive(Debug)]
struct DepartedPeer {
    data_centre: String,
    /// Until then, no other VM takes over its share of endpoint limits.
    share_deadline: Moment,
}

/// Table of all other VMs.
#[derive(Debug)]
pub struct PeerTable {
    own: VmEntry,
    rows: BTreeMap<VmKey, PeerRow>,
    departed: BTreeMap<VmKey, DepartedPeer>,
}

impl PeerTable {
    /// Creates a table without other VMs, for the VM with the entry `own`.
    pub const fn new(own: VmEntry) -> Self {
        Self { own, rows: BTreeMap::new(), departed: BTreeMap::new() }
    }

    /// Returns this VM's entry.
    pub const fn own(&self) -> &VmEntry {
        &self.own
    }

    /// Adds or replaces a VM's entry from the store.
    pub fn list(&mut self, entry: VmEntry) {
        if entry.name == self.own.name {
            return;
        }
        let key = VmKey::of(&entry.name);
        let row = self.rows.entry(key).or_insert_with(|| PeerRow {
            entry: entry.clone(),
            listed: true,
            listed_at: None,
            received_at: None,
            sequence: (0, 0),
            relayed_sequence: (0, 0),
            position: StorePosition::default(),
            closed_until: Moment(0),
            avoided_until: Moment(0),
        });
        row.entry = entry;
        row.listed = true;
        self.departed.remove(&key);
    }

    /// Adds or replaces a VM's entry from the store, received at `now`.
    ///
    /// A new incarnation is presumed reachable until its first digest is due.
    pub fn list_at(&mut self, entry: VmEntry, now: Moment) {
        let (key, incarnation) = (VmKey::of(&entry.name), entry.incarnation);
        let has_incarnation = self.rows.get(&key).is_some_and(|row| row.entry.incarnation == incarnation);
        self.list(entry);
        if let Some(row) = self.rows.get_mut(&key)
            && !has_incarnation
        {
            row.listed_at = Some(now);
        }
    }

    /// Records that a VM's entry was removed from the store.
    pub fn unlist(&mut self, name: &str, now: Moment) {
        let key = VmKey::of(name);
        let Some(row) = self.rows.get_mut(&key) else { return };
        row.listed = false;
        let data_centre = row.entry.data_centre.clone();
        self.departed.insert(
            key,
            DepartedPeer { data_centre, share_deadline: now.after_millis(SHARE_RETENTION_MILLIS) },
        );
        if !row.sent_within(PEER_TIMEOUT_MILLIS, now) {
            self.rows.remove(&key);
        }
    }

    /// Records a digest; false if outdated or its sender is not in the table.
    pub fn record_digest(&mut self, vm: VmKey, incarnation: u64, sequence: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&vm) else { return false };
        if row.sequence.0 == incarnation && row.sequence.1 >= sequence {
            return false;
        }
        row.sequence = (incarnation, sequence);
        row.received_at = Some(now);
        true
    }

    /// Records the position of the store in a VM's newest digest.
    pub fn record_position(&mut self, vm: VmKey, position: StorePosition) {
        if let Some(row) = self.rows.get_mut(&vm) {
            row.position = position;
        }
    }

    /// Returns the newest position that reachable VMs of this data centre, or of the others, reported.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{PeerTable, StorePosition, VmEntry, VmKey};
    /// let vm = |name: &str| VmEntry {
    ///     name: name.into(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps: 10,
    /// };
    /// let (mut table, other) = (PeerTable::new(vm("vm-1")), VmKey::of("vm-2"));
    /// table.list(vm("vm-2"));
    /// table.record_digest(other, 1, 1, Moment(0));
    /// let position = StorePosition { era: 0, revision: 7 };
    /// table.record_position(other, position);
    /// assert_eq!(table.newest_position(true, Moment(1)), position);
    /// assert_eq!(table.vm_at(true, position, 0.5, Moment(1)), Some(other));
    /// ```
    pub fn newest_position(&self, is_local: bool, now: Moment) -> StorePosition {
        self.reachable_rows(is_local, now).map(|(_, row)| row.position).max().unwrap_or_default()
    }

    /// Returns a reachable VM of this data centre, or of the others, that has all changes up to `position`.
    ///
    /// `draw` from 0 to 1 chooses among several.
    pub fn vm_at(&self, is_local: bool, position: StorePosition, draw: f64, now: Moment) -> Option<VmKey> {
        let candidates: Vec<_> =
            self.reachable_rows(is_local, now).filter(|(_, row)| row.position >= position).collect();
        let index = (draw * candidates.len() as f64) as usize;
        candidates.get(index.min(candidates.len().saturating_sub(1))).map(|(vm, _)| **vm)
    }

    fn reachable_rows(&self, is_local: bool, now: Moment) -> impl Iterator<Item = (&VmKey, &PeerRow)> {
        self.rows.iter().filter(move |(_, row)| {
            self.is_local_row(row) == is_local && row.sent_within(SILENCE_TIMEOUT_MILLIS, now)
        })
    }

    /// Returns this VM's turn in polling the store, from zero, among the reachable VMs of its data centre.
    ///
    /// The first ones by leader rank come first, then all others in the order of a digest of their names.
    pub fn poll_turn(&self, now: Moment) -> usize {
        let reachable = || self.local_vms_with_reach(now).filter(|(_, _, is_reachable)| *is_reachable);
        let own_order = self.own.leader_order();
        let rank = reachable().filter(|(_, entry, _)| entry.leader_order() < own_order).count();
        if rank < RANKED_POLL_TURNS {
            return rank;
        }
        let mut first = [own_order; RANKED_POLL_TURNS];
        for (_, entry, _) in reachable() {
            let mut order = entry.leader_order();
            for slot in &mut first {
                if order < *slot {
                    std::mem::swap(&mut order, slot);
                }
            }
        }
        let last = first[RANKED_POLL_TURNS - 1];
        let own = VmKey::of(&self.own.name);
        let preceding = reachable().filter(|(vm, entry, _)| *vm < own && entry.leader_order() > last);
        RANKED_POLL_TURNS + preceding.count()
    }

    /// Returns the other VMs of this data centre, and whether each is presumed reachable.
    pub(super) fn local_vms_with_reach(&self, now: Moment) -> impl Iterator<Item = (VmKey, &VmEntry, bool)> {
        let local = self.rows.iter().filter(|(_, row)| self.is_local_row(row));
        local.map(move |(vm, row)| (*vm, &row.entry, row.is_presumed_reachable(now)))
    }

    /// Records a message that a VM relays from other data centres.
    ///
    /// Returns false if it is not newer than what this VM relayed before, or the VM is not in the table.
    pub fn record_relayed_digest(&mut self, vm: VmKey, incarnation: u64, sequence: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&vm) else { return false };
        if row.relayed_sequence.0 == incarnation && row.relayed_sequence.1 >= sequence {
            return false;
        }
        row.relayed_sequence = (incarnation, sequence);
        row.received_at = Some(now);
        true
    }

    /// Records a remote VM's digest that a VM of this data centre received.
    ///
    /// `received_at` is when that VM received it.
    pub fn record_indirect_digest(&mut self, heartbeat: &PeerHeartbeat, received_at: Moment) {
        let Some(row) = self.rows.get_mut(&heartbeat.vm) else { return };
        let is_newer = row.sequence.0 != heartbeat.incarnation || row.sequence.1 < heartbeat.sequence;
        if is_newer && row.received_at.is_none_or(|at| at < received_at) {
            row.sequence = (heartbeat.incarnation, heartbeat.sequence);
            row.received_at = Some(received_at);
        }
    }

    /// Returns live VMs of other data centres with their digests' ages in microseconds.
    pub fn live_remote_peers(&self, now: Moment) -> Vec<(PeerHeartbeat, u64)> {
        let remote = self.rows.iter().filter(|(_, row)| !self.is_local_row(row));
        let live = remote.filter_map(|(vm, row)| {
            let at = row.received_at.filter(|at| now < at.after_millis(PEER_TIMEOUT_MILLIS))?;
            let (incarnation, sequence) = row.sequence;
            Some((PeerHeartbeat { vm: *vm, incarnation, sequence }, now.micros_since(at)))
        });
        live.collect()
    }

    /// Records whether a VM takes requests of other VMs.
    pub fn record_forwarding(&mut self, vm: VmKey, is_closed: bool, now: Moment) {
        let Some(row) = self.rows.get_mut(&vm) else { return };
        row.closed_until = if is_closed { now.after_millis(CLOSED_LIFETIME_MILLIS) } else { Moment(0) };
    }

    /// Records that this VM could not forward a request to another one.
    pub fn avoid_forwarding(&mut self, vm: VmKey, now: Moment) {
        if let Some(row) = self.rows.get_mut(&vm) {
            row.avoided_until = now.after_millis(CLOSED_LIFETIME_MILLIS);
        }
    }

    /// Returns the VMs of this data centre, or of the others, that take no requests of other VMs.
    pub fn closed_peers(&self, is_local: bool, now: Moment) -> Vec<VmKey> {
        let rows = self.rows.iter().filter(|(_, row)| self.is_local_row(row) == is_local);
        rows.filter(|(_, row)| row.is_closed(now)).map(|(vm, _)| *vm).collect()
    }

    /// Returns the VMs that take requests of this one.
    ///
    /// These are reachable VMs. In a large deployment, a VM gets digests of few VMs of other data centres:
    /// those that it gets none of are presumed reachable if another VM of theirs is.
    pub fn forward_peers(&self, now: Moment) -> ForwardPeers {
        let mut peers = ForwardPeers { closed_local_count: 1, ..ForwardPeers::default() };
        let reachable_centres: BTreeSet<&str> = self
            .rows
            .values()
            .filter(|row| row.sent_within(SILENCE_TIMEOUT_MILLIS, now))
            .map(|row| row.entry.data_centre.as_str())
            .collect();
        let sends_directly = self.broadcasts_to_all();
        for (vm, row) in &self.rows {
            let is_local = self.is_local_row(row);
            let is_presumed = !is_local
                && !sends_directly
                && row.listed
                && row.received_at.is_none()
                && reachable_centres.contains(row.entry.data_centre.as_str());
            if !is_presumed && !row.sent_within(SILENCE_TIMEOUT_MILLIS, now) {
                continue;
            }
            if row.is_closed(now) {
                peers.closed_local_count += usize::from(is_local);
            } else if now >= row.avoided_until {
                let list = if is_local { &mut peers.local } else { &mut peers.remote };
                list.push(row.forward_peer(*vm));
            }
        }
        peers
    }

    /// Returns all other VMs with their entries, and whether each is presumed to receive messages.
    ///
    /// In a large deployment, a VM gets digests of few VMs of other data centres: it presumes that the others
    /// receive messages while they are listed.
    pub(crate) fn message_targets(&self, now: Moment) -> impl Iterator<Item = (VmKey, &VmEntry, bool)> {
        let sends_directly = self.broadcasts_to_all();
        self.rows.iter().map(move |(vm, row)| {
            let is_presumed = !sends_directly && !self.is_local_row(row) && row.received_at.is_none();
            (*vm, &row.entry, (is_presumed && row.listed) || row.is_presumed_reachable(now))
        })
    }

    /// Whether a VM that sent digests has sent none for so long that it counts as dead.
    pub fn is_silent(&self, vm: VmKey, now: Moment) -> bool {
        let row = self.rows.get(&vm);
        row.is_none_or(|row| row.received_at.is_some() && !row.sent_within(PEER_TIMEOUT_MILLIS, now))
    }

    /// Returns a VM's name.
    pub fn name_of(&self, vm: VmKey) -> Option<&str> {
        self.rows.get(&vm).map(|row| row.entry.name.as_str())
    }

    /// Whether a VM sends digests with an incarnation, or has it in its entry.
    pub fn has_incarnation(&self, vm: VmKey, incarnation: u64) -> bool {
        let row = self.rows.get(&vm);
        row.is_some_and(|row| [row.sequence.0, row.entry.incarnation].contains(&incarnation))
    }

    /// Removes VMs that are neither listed nor live, and expired shares of departed VMs.
    pub fn sweep(&mut self, now: Moment) {
        self.rows.retain(|_, row| row.listed || row.sent_within(PEER_TIMEOUT_MILLIS, now));
        self.departed.retain(|_, row| now < row.share_deadline);
    }

    /// Whether the deployment is small enough for every VM to send to every other one.
    pub fn broadcasts_to_all(&self) -> bool {
        self.listed_count() <= MAX_BROADCAST_VMS
    }

    /// Returns the targets of this VM's digests.
    ///
    /// These are all other VMs in a small deployment, and the VMs of its data centre in a large one.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let to_all = self.broadcasts_to_all();
        self.rows
            .values()
            .filter(|row| to_all || self.is_local_row(row))
            .map(|row| row.entry.address)
            .collect()
    }

    /// Whether the leaders of this data centre relay the digests of its VMs.
    pub fn relays_locally(&self) -> bool {
        !self.broadcasts_to_all()
            && self.rows.values().filter(|row| self.is_local_row(row)).count() >= MAX_MESH_VMS
    }

    /// Returns addresses of the other VMs that lead this data centre, or are presumed to.
    ///
    /// This VM sends its digests there if the leaders relay them.
    pub fn local_leaders(&self, now: Moment) -> Vec<SocketAddr> {
        let mut rows: Vec<_> = self
            .rows
            .values()
            .filter(|row| self.is_local_row(row) && row.is_presumed_reachable(now))
            .collect();
        rows.sort_by_key(|row| row.entry.leader_order());
        rows.iter().take(LEADERS_PER_DATA_CENTRE).map(|row| row.entry.address).collect()
    }

    /// Returns the addresses of the other VMs of this data centre.
    pub fn local_peer_addresses(&self) -> Vec<SocketAddr> {
        self.rows.values().filter(|row| self.is_local_row(row)).map(|row| row.entry.address).collect()
    }

    /// Returns the number of other VMs of this data centre.
    pub fn local_peer_count(&self) -> usize {
        self.local_entries().count()
    }

    /// Returns the entries of the other VMs of this data centre.
    pub(super) fn local_entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.rows.values().filter(|row| self.is_local_row(row)).map(|row| &row.entry)
    }

    /// Returns the entry of another VM of this data centre.
    pub(super) fn local_entry(&self, vm: VmKey) -> Option<&VmEntry> {
        self.rows.get(&vm).filter(|row| self.is_local_row(row)).map(|row| &row.entry)
    }

    /// Whether a VM is in this data centre.
    pub fn is_local(&self, vm: VmKey) -> bool {
        self.rows.get(&vm).is_some_and(|row| self.is_local_row(row))
    }

    /// Returns the keys of the other VMs of this data centre.
    pub fn local_vms(&self) -> BTreeSet<VmKey> {
        self.rows.iter().filter(|(_, row)| self.is_local_row(row)).map(|(key, _)| *key).collect()
    }

    /// Returns this VM's right to shares of endpoint limits.
    ///
    /// Limits are shared among all VMs whose entries are in the store, and VMs whose entries were removed so
    /// recently that they may still use their shares.
    pub fn share_right(&self, membership: &ListMembership, now: Moment) -> ShareRight {
        let mut right = ShareRight::alone(VmKey::of(&self.own.name), &self.own.data_centre);
        right.is_list_current = membership.is_list_current(now);
        let listed = self.rows.iter().filter(|(_, row)| row.listed);
        let listed = listed.map(|(vm, row)| (*vm, row.entry.data_centre.as_str()));
        let departed = self.departed.iter().filter(|(_, row)| now < row.share_deadline);
        let departed = departed.map(|(vm, row)| (*vm, row.data_centre.as_str()));
        for (vm, data_centre) in listed.chain(departed) {
            right.other_vms.push(vm);
            if data_centre == self.own.data_centre {
                right.local_vms.push(vm);
            } else if !right.remote_data_centres.contains(data_centre) {
                right.remote_data_centres.insert(data_centre.to_owned());
            }
        }
        right
    }

    fn is_local_row(&self, row: &PeerRow) -> bool {
        row.entry.data_centre == self.own.data_centre
    }

    /// Returns the address from which a VM sends its messages.
    pub fn address_of(&self, vm: VmKey) -> Option<SocketAddr> {
        self.rows.get(&vm).map(|row| row.entry.address)
    }

    /// Returns the data centre of a VM.
    pub fn data_centre_of(&self, vm: VmKey) -> Option<&str> {
        self.rows.get(&vm).map(|row| row.entry.data_centre.as_str())
    }

    /// Returns this VM's rank among the reachable VMs of its data centre.
    ///
    /// Ranks below `LEADERS_PER_DATA_CENTRE` lead.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{PeerTable, VmEntry, VmKey};
    /// let vm = |name: &str, link_mbps| VmEntry {
    ///     name: name.into(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps,
    /// };
    /// let mut table = PeerTable::new(vm("vm-1", 10));
    /// table.list(vm("vm-2", 200));
    /// assert_eq!(table.leader_rank(Moment(0)), 0);
    /// table.record_digest(VmKey::of("vm-2"), 1, 1, Moment(0));
    /// assert_eq!(table.leader_rank(Moment(1)), 1);
    /// ```
    pub fn leader_rank(&self, now: Moment) -> usize {
        let preceding = self.rows.values().filter(|row| {
            self.is_local_row(row)
                && row.sent_within(SILENCE_TIMEOUT_MILLIS, now)
                && row.entry.leader_order() < self.own.leader_order()
        });
        preceding.count()
    }

    /// Returns this VM's leader rank, counting newly listed VMs as reachable.
    ///
    /// Right after a start no digest has been received from any other VM, and by `leader_rank` each VM would
    /// lead.
    pub fn expected_leader_rank(&self, now: Moment) -> usize {
        let preceding = self.rows.values().filter(|row| {
            self.is_local_row(row)
                && row.is_presumed_reachable(now)
                && row.entry.leader_order() < self.own.leader_order()
        });
        preceding.count()
    }

    /// Returns the VMs from which this VM requests endpoint snapshots at its start.
    ///
    /// These are the VMs of its data centre that precede it as leaders; only those with wide links, if there
    /// are any. Empty if this VM is one of the few that read the endpoints from the store.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{PeerTable, VmEntry};
    /// let vm = |number: u16, link_mbps| VmEntry {
    ///     name: format!("vm-{number}"),
    ///     address: std::net::SocketAddr::from(([127, 0, 0, 1], number)),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps,
    /// };
    /// let mut table = PeerTable::new(vm(5, 20));
    /// (1..=4).for_each(|number| table.list(vm(number, 20)));
    /// assert_eq!(table.snapshot_sources().len(), 4);
    /// table.list(vm(9, 200));
    /// assert_eq!(table.snapshot_sources(), [vm(9, 200).address]);
    /// let mut first = PeerTable::new(vm(1, 20));
    /// first.list(vm(2, 20));
    /// assert!(first.snapshot_sources().is_empty());
    /// ```
    pub fn snapshot_sources(&self) -> Vec<SocketAddr> {
        let local = self.rows.values().filter(|row| row.listed && self.is_local_row(row));
        let preceding: Vec<_> =
            local.filter(|row| row.entry.leader_order() < self.own.leader_order()).collect();
        if preceding.len() < LISTERS_PER_DATA_CENTRE {
            return Vec::new();
        }
        let is_wide =
            |row: &&&PeerRow| row.entry.link_mbps >= self.own.link_mbps.saturating_mul(WIDE_LINK_RATIO);
        let wide: Vec<_> = preceding.iter().filter(is_wide).map(|row| row.entry.address).collect();
        if wide.is_empty() { preceding.iter().map(|row| row.entry.address).collect() } else { wide }
    }

    /// Whether `vm` is in this data centre and precedes this VM as a leader.
    pub fn precedes_as_leader(&self, vm: VmKey) -> bool {
        let row = self.rows.get(&vm);
        row.is_some_and(|row| self.is_local_row(row) && row.entry.leader_order() < self.own.leader_order())
    }

    /// Returns the leader with rank `rank` of each other data centre.
    ///
    /// Live VMs come first. If a data centre has fewer VMs, its last one is returned.
    pub fn remote_leaders(&self, rank: usize, now: Moment) -> Vec<SocketAddr> {
        let mut by_centre: BTreeMap<&str, Vec<&PeerRow>> = BTreeMap::new();
        for row in self.rows.values().filter(|row| !self.is_local_row(row)) {
            by_centre.entry(row.entry.data_centre.as_str()).or_default().push(row);
        }
        let leaders = by_centre.into_values().filter_map(|mut rows| {
            rows.sort_by_key(|row| (!row.sent_within(PEER_TIMEOUT_MILLIS, now), row.entry.leader_order()));
            rows.get(rank.min(rows.len() - 1)).map(|row| row.entry.address)
        });
        leaders.collect()
    }

    /// Returns the number of other data centres with VMs in the table.
    pub fn remote_data_centre_count(&self) -> usize {
        let remote = self.rows.values().filter(|row| !self.is_local_row(row));
        remote.map(|row| row.entry.data_centre.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Returns the data centres that are unreachable, most likely because of a partition.
    ///
    /// These are the data centres with VMs from which digests were received, all of which are unreachable
    /// now.
    pub fn unreachable_data_centres(&self, now: Moment) -> Vec<&str> {
        let mut by_centre: BTreeMap<&str, bool> = BTreeMap::new();
        for row in self.rows.values().filter(|row| row.received_at.is_some()) {
            let is_reachable = row.sent_within(SILENCE_TIMEOUT_MILLIS, now);
            *by_centre.entry(row.entry.data_centre.as_str()).or_default() |= is_reachable;
        }
        by_centre.into_iter().filter(|(_, is_reachable)| !is_reachable).map(|(centre, _)| centre).collect()
    }

    /// Returns the number of VMs of the deployment: those in the table, and this one.
    pub fn listed_count(&self) -> usize {
        self.rows.len() + 1
    }

    /// Whether this VM precedes all other live ones in the order of rendezvous hashing for `key`.
    pub fn is_first_for(&self, key: u64, now: Moment) -> bool {
        let order = |name: &str| short_digest(&format!("{key:x} {name}"));
        let own = order(&self.own.name);
        let live = self.rows.values().filter(|row| row.sent_within(PEER_TIMEOUT_MILLIS, now));
        live.map(|row| order(&row.entry.name)).all(|other| own < other)
    }

    /// Returns this VM's index among all VMs of the deployment by name, from zero.
    pub fn own_name_index(&self) -> usize {
        self.rows.values().filter(|row| row.entry.name < self.own.name).count()
    }
}
