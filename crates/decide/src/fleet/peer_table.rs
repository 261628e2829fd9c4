//! The other VMs of the deployment: where they are, whether they are heard, and who works for whom.
//!
//! Invariant: a VM stays in the book while its entry stands in the store or its digests arrive, so
//! neither an outage of the store nor a cut between data centres alone empties it.
//!
//! Within a data centre every VM tells every other. Between data centres only a few do, the leads: the
//! VMs with the widest links that are heard. Who is a lead follows from the book alone, so no VM has to
//! be asked, and two VMs that disagree for a moment only tell some things twice. In a small deployment
//! everyone tells everyone: it is fresher, and costs little.

use crate::admit::SHARE_RETENTION_MILLIS;
use crate::{ListMembership, ShareRight, VmKey};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// A VM that is not heard for this long counts as dead, in milliseconds: several digests.
const HEARD_MILLIS: u64 = 1_200;

/// A data centre whose VMs are all silent for this long is passed over, in milliseconds: two digests
/// and a little; callers of short objectives lose less than by waiting for connections to fail. A VM
/// that is silent for as long leads nobody.
const SILENCE_TIMEOUT_MILLIS: u64 = 750;

/// Largest deployment in which every VM tells every other, in VMs: at 12 a VM sends some 500 packets a
/// second, about as many as within a data centre of 25.
const DIRECT_MOST: usize = 12;
/// Largest data centre in which every VM tells every other of its loads, in VMs: beyond it, the leads pass on what
/// VMs tell them, several digests in one message. With 59 VMs that is a tenth of the packets, some 60
/// in place of 870 a second at each VM; below it, a digest is there 20 ms sooner.
const MESH_MOST: usize = 30;
/// A VM that was listed for the first time is expected to be heard within this time, in milliseconds.
const EXPECTED_MILLIS: u64 = 1_200;
/// Leads of a data centre that tell other data centres: the death of one costs freshness only.
pub const LEADERS_PER_DATA_CENTRE: usize = 2;

/// What a VM writes of itself into the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Its name.
    pub name: String,
    /// Address for digests, over UDP.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: String,
    /// Differs at each start.
    pub incarnation: u64,
    /// Its link in megabits a second.
    #[serde(default)]
    pub link_mbps: u32,
}

/// VMs of a data centre that list all endpoints in the store: two may fail.
const LISTERS: usize = 3;
/// A link is wide if it is so many times as wide as this VM's.
const WIDE_FACTOR: u32 = 2;

impl VmEntry {
    /// Order in which the VMs of a data centre lead it: the widest link first.
    pub(super) fn lead_order(&self) -> (Reverse<u32>, &str) {
        (Reverse(self.link_mbps), self.name.as_str())
    }
}

/// The newest digest of a VM that was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The VM.
    pub vm: VmKey,
    /// Its incarnation.
    pub incarnation: u64,
    /// Which of its messages it was.
    pub sequence: u64,
}

#[derive(Debug)]
struct PeerRow {
    entry: VmEntry,
    listed: bool,
    /// When its present incarnation was listed first, if that is known.
    listed_at: Option<Moment>,
    heard_at: Option<Moment>,
    sequence: (u64, u64),
    /// The same of what it passes on of other data centres.
    passed_sequence: (u64, u64),
}

impl PeerRow {
    /// Whether it was heard lately, or may not have had the time to say anything.
    fn is_expected(&self, now: Moment) -> bool {
        let is_new = self.listed_at.is_some_and(|at| now < at.after_millis(EXPECTED_MILLIS));
        is_new || self.is_heard_within(SILENCE_TIMEOUT_MILLIS, now)
    }

    fn is_heard_within(&self, millis: u64, now: Moment) -> bool {
        self.heard_at.is_some_and(|at| now < at.after_millis(millis))
    }
}

/// A VM whose entry is gone: it may be cut off from the store and go on serving.
#[derive(Debug)]
struct LeftRow {
    data_centre: String,
    /// Until when nobody else takes its part of what endpoints with a limit take.
    part_until: Moment,
}

/// All other VMs.
#[derive(Debug)]
pub struct PeerTable {
    own: VmEntry,
    rows: BTreeMap<VmKey, PeerRow>,
    left: BTreeMap<VmKey, LeftRow>,
}

impl PeerTable {
    /// A book without other VMs, for the VM with the entry `own`.
    pub const fn new(own: VmEntry) -> Self {
        Self { own, rows: BTreeMap::new(), left: BTreeMap::new() }
    }

    /// This VM's own entry.
    pub const fn own(&self) -> &VmEntry {
        &self.own
    }

    /// Takes a VM's entry from the store.
    pub fn list(&mut self, entry: VmEntry) {
        if entry.name == self.own.name {
            return;
        }
        let key = VmKey::of(&entry.name);
        let row = self.rows.entry(key).or_insert_with(|| PeerRow {
            entry: entry.clone(),
            listed: true,
            listed_at: None,
            heard_at: None,
            sequence: (0, 0),
            passed_sequence: (0, 0),
        });
        row.entry = entry;
        row.listed = true;
        self.left.remove(&key);
    }

    /// Takes a VM's entry from the store at `now`: a new one counts as living until it should have been heard.
    pub fn list_at(&mut self, entry: VmEntry, now: Moment) {
        let (key, incarnation) = (VmKey::of(&entry.name), entry.incarnation);
        let is_known = self.rows.get(&key).is_some_and(|row| row.entry.incarnation == incarnation);
        self.list(entry);
        if let Some(row) = self.rows.get_mut(&key)
            && !is_known
        {
            row.listed_at = Some(now);
        }
    }

    /// Notes that a VM's entry is gone from the store.
    pub fn unlist(&mut self, name: &str, now: Moment) {
        let key = VmKey::of(name);
        let Some(row) = self.rows.get_mut(&key) else { return };
        row.listed = false;
        let data_centre = row.entry.data_centre.clone();
        self.left.insert(key, LeftRow { data_centre, part_until: now.after_millis(SHARE_RETENTION_MILLIS) });
        if !row.is_heard_within(HEARD_MILLIS, now) {
            self.rows.remove(&key);
        }
    }

    /// Notes a digest; false if it is older than one that came before, or its sender is unknown.
    pub fn hear(&mut self, vm: VmKey, incarnation: u64, sequence: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&vm) else { return false };
        if row.sequence.0 == incarnation && row.sequence.1 >= sequence {
            return false;
        }
        row.sequence = (incarnation, sequence);
        row.heard_at = Some(now);
        true
    }

    /// Notes what a VM passes on of other data centres; false if it is older than what it passed on before, or
    /// its sender is unknown.
    pub fn record_relayed_digest(&mut self, vm: VmKey, incarnation: u64, sequence: u64, now: Moment) -> bool {
        let Some(row) = self.rows.get_mut(&vm) else { return false };
        if row.passed_sequence.0 == incarnation && row.passed_sequence.1 >= sequence {
            return false;
        }
        row.passed_sequence = (incarnation, sequence);
        row.heard_at = Some(now);
        true
    }

    /// Takes what a VM of this data centre heard of a far one, which was at `heard_at`.
    pub fn record_indirect_digest(&mut self, heard: &PeerHeartbeat, heard_at: Moment) {
        let Some(row) = self.rows.get_mut(&heard.vm) else { return };
        let newest = row.sequence.0 != heard.incarnation || row.sequence.1 < heard.sequence;
        if newest && row.heard_at.is_none_or(|at| at < heard_at) {
            row.sequence = (heard.incarnation, heard.sequence);
            row.heard_at = Some(heard_at);
        }
    }

    /// VMs of other data centres that were heard lately, and how long ago, in microseconds.
    pub fn live_remote_peers(&self, now: Moment) -> Vec<(PeerHeartbeat, u64)> {
        let far = self.rows.iter().filter(|(_, row)| !self.is_near_row(row));
        let heard = far.filter_map(|(vm, row)| {
            let at = row.heard_at.filter(|at| now < at.after_millis(HEARD_MILLIS))?;
            let (incarnation, sequence) = row.sequence;
            Some((PeerHeartbeat { vm: *vm, incarnation, sequence }, now.micros_since(at)))
        });
        heard.collect()
    }

    /// Drops VMs that are neither listed nor heard.
    pub fn sweep(&mut self, now: Moment) {
        self.rows.retain(|_, row| row.listed || row.is_heard_within(HEARD_MILLIS, now));
        self.left.retain(|_, row| now < row.part_until);
    }

    /// Whether the deployment is small enough for every VM to tell every other.
    pub fn broadcasts_to_all(&self) -> bool {
        self.listed_count() <= DIRECT_MOST
    }

    /// Addresses that this VM's own digests go to: all other VMs, or those of its data centre.
    pub fn digest_targets(&self) -> Vec<SocketAddr> {
        let all = self.broadcasts_to_all();
        self.rows.values().filter(|row| all || self.is_near_row(row)).map(|row| row.entry.address).collect()
    }

    /// Whether the leads of this data centre pass on what its VMs tell them.
    pub fn relays_locally(&self) -> bool {
        !self.broadcasts_to_all()
            && self.rows.values().filter(|row| self.is_near_row(row)).count() >= MESH_MOST
    }

    /// Addresses of the other VMs that lead this data centre, or are expected to: what this VM tells of itself goes
    /// there where the leads pass it on.
    pub fn local_leaders(&self, now: Moment) -> Vec<SocketAddr> {
        let mut rows: Vec<_> =
            self.rows.values().filter(|row| self.is_near_row(row) && row.is_expected(now)).collect();
        rows.sort_by_key(|row| row.entry.lead_order());
        rows.iter().take(LEADERS_PER_DATA_CENTRE).map(|row| row.entry.address).collect()
    }

    /// Addresses of the other VMs of this data centre.
    pub fn local_peer_addresses(&self) -> Vec<SocketAddr> {
        self.rows.values().filter(|row| self.is_near_row(row)).map(|row| row.entry.address).collect()
    }

    /// How many other VMs this data centre has.
    pub fn local_peer_count(&self) -> usize {
        self.near_entries().count()
    }

    /// The other VMs of this data centre.
    pub(super) fn near_entries(&self) -> impl Iterator<Item = &VmEntry> {
        self.rows.values().filter(|row| self.is_near_row(row)).map(|row| &row.entry)
    }

    /// A VM of this data centre.
    pub(super) fn near_entry(&self, vm: VmKey) -> Option<&VmEntry> {
        self.rows.get(&vm).filter(|row| self.is_near_row(row)).map(|row| &row.entry)
    }

    /// Whether a VM stands in this data centre.
    pub fn is_local(&self, vm: VmKey) -> bool {
        self.rows.get(&vm).is_some_and(|row| self.is_near_row(row))
    }

    /// The other VMs of this data centre.
    pub fn local_vms(&self) -> BTreeSet<VmKey> {
        self.rows.iter().filter(|(_, row)| self.is_near_row(row)).map(|(key, _)| *key).collect()
    }

    /// This VM's right to send to endpoints that take few requests: among all VMs whose entries stand in the store, or
    /// have gone so lately that they may still use their parts.
    pub fn share_right(&self, standing: &ListMembership, now: Moment) -> ShareRight {
        let mut right = ShareRight::alone(VmKey::of(&self.own.name), &self.own.data_centre);
        right.is_fresh = standing.is_fresh(now);
        let listed = self.rows.iter().filter(|(_, row)| row.listed);
        let listed = listed.map(|(vm, row)| (*vm, row.entry.data_centre.as_str()));
        let left = self.left.iter().filter(|(_, row)| now < row.part_until);
        let left = left.map(|(vm, row)| (*vm, row.data_centre.as_str()));
        for (vm, data_centre) in listed.chain(left) {
            right.all.push(vm);
            if data_centre == self.own.data_centre {
                right.near.push(vm);
            } else if !right.remote_data_centres.contains(data_centre) {
                right.remote_data_centres.insert(data_centre.to_owned());
            }
        }
        right
    }

    fn is_near_row(&self, row: &PeerRow) -> bool {
        row.entry.data_centre == self.own.data_centre
    }

    /// Where a VM sends its messages from, if it is known.
    pub fn address_of(&self, vm: VmKey) -> Option<SocketAddr> {
        self.rows.get(&vm).map(|row| row.entry.address)
    }

    /// The data centre of a VM, if it is known.
    pub fn data_centre_of(&self, vm: VmKey) -> Option<&str> {
        self.rows.get(&vm).map(|row| row.entry.data_centre.as_str())
    }

    /// This VM's place among the VMs of its data centre that are heard; the first ones lead.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::{PeerBook, VmEntry, VmKey};
    /// let vm = |name: &str, link_mbps| VmEntry {
    ///     name: name.into(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps,
    /// };
    /// let mut book = PeerBook::new(vm("vm-1", 10));
    /// book.list(vm("vm-2", 200));
    /// assert_eq!(book.lead_place(Moment(0)), 0);
    /// book.hear(VmKey::of("vm-2"), 1, 1, Moment(0));
    /// assert_eq!(book.lead_place(Moment(1)), 1);
    /// ```
    pub fn leader_rank(&self, now: Moment) -> usize {
        let ahead = self.rows.values().filter(|row| {
            self.is_near_row(row)
                && row.is_heard_within(SILENCE_TIMEOUT_MILLIS, now)
                && row.entry.lead_order() < self.own.lead_order()
        });
        ahead.count()
    }

    /// The same with VMs that were listed a short while ago and are expected to be heard: right after a start, all
    /// others are silent, and each VM would lead.
    pub fn expected_leader_rank(&self, now: Moment) -> usize {
        let ahead = self.rows.values().filter(|row| {
            self.is_near_row(row) && row.is_expected(now) && row.entry.lead_order() < self.own.lead_order()
        });
        ahead.count()
    }

    /// VMs that hand all endpoints to this one when it starts: those of its data centre that go before it as leads, the wide
    /// ones alone if there are such. None if it is one of the few that list them in the store.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{PeerBook, VmEntry};
    /// let vm = |number: u16, link_mbps| VmEntry {
    ///     name: format!("vm-{number}"),
    ///     address: std::net::SocketAddr::from(([127, 0, 0, 1], number)),
    ///     data_centre: "dc-a".into(),
    ///     incarnation: 1,
    ///     link_mbps,
    /// };
    /// let mut book = PeerBook::new(vm(5, 20));
    /// (1..=4).for_each(|number| book.list(vm(number, 20)));
    /// assert_eq!(book.copy_sources().len(), 4);
    /// book.list(vm(9, 200));
    /// assert_eq!(book.copy_sources(), [vm(9, 200).address]);
    /// let mut first = PeerBook::new(vm(1, 20));
    /// first.list(vm(2, 20));
    /// assert!(first.copy_sources().is_empty());
    /// ```
    pub fn snapshot_sources(&self) -> Vec<SocketAddr> {
        let near = self.rows.values().filter(|row| row.listed && self.is_near_row(row));
        let ahead: Vec<_> = near.filter(|row| row.entry.lead_order() < self.own.lead_order()).collect();
        if ahead.len() < LISTERS {
            return Vec::new();
        }
        let is_wide = |row: &&&PeerRow| row.entry.link_mbps >= self.own.link_mbps.saturating_mul(WIDE_FACTOR);
        let wide: Vec<_> = ahead.iter().filter(is_wide).map(|row| row.entry.address).collect();
        if wide.is_empty() { ahead.iter().map(|row| row.entry.address).collect() } else { wide }
    }

    /// Whether `vm`, of this data centre, goes before this one as a lead.
    pub fn precedes_as_leader(&self, vm: VmKey) -> bool {
        let row = self.rows.get(&vm);
        row.is_some_and(|row| self.is_near_row(row) && row.entry.lead_order() < self.own.lead_order())
    }

    /// Addresses of the lead at `place` in each other data centre, as far as this VM can tell.
    pub fn remote_leaders(&self, place: usize, now: Moment) -> Vec<SocketAddr> {
        let mut by_centre: BTreeMap<&str, Vec<&PeerRow>> = BTreeMap::new();
        for row in self.rows.values().filter(|row| !self.is_near_row(row)) {
            by_centre.entry(row.entry.data_centre.as_str()).or_default().push(row);
        }
        let leads = by_centre.into_values().filter_map(|mut rows| {
            rows.sort_by_key(|row| (!row.is_heard_within(HEARD_MILLIS, now), row.entry.lead_order()));
            rows.get(place.min(rows.len() - 1)).map(|row| row.entry.address)
        });
        leads.collect()
    }

    /// Other data centres with VMs in the book.
    pub fn remote_data_centre_count(&self) -> usize {
        let far = self.rows.values().filter(|row| !self.is_near_row(row));
        far.map(|row| row.entry.data_centre.as_str()).collect::<BTreeSet<_>>().len()
    }

    /// Data centres none of whose VMs, heard before, was heard of late: most likely a cut.
    pub fn unreachable_data_centres(&self, now: Moment) -> Vec<&str> {
        let mut heard: BTreeMap<&str, bool> = BTreeMap::new();
        for row in self.rows.values().filter(|row| row.heard_at.is_some()) {
            let lately = row.is_heard_within(SILENCE_TIMEOUT_MILLIS, now);
            *heard.entry(row.entry.data_centre.as_str()).or_default() |= lately;
        }
        heard.into_iter().filter(|(_, lately)| !lately).map(|(data_centre, _)| data_centre).collect()
    }

    /// VMs of the deployment as last known, this one included.
    pub fn listed_count(&self) -> usize {
        self.rows.len() + 1
    }

    /// This VM's place among the listed ones, by name; zero comes first.
    pub fn own_rank(&self) -> usize {
        self.rows.values().filter(|row| row.entry.name < self.own.name).count()
    }
}
