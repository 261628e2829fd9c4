//! Simulation of VMs that share an endpoint which takes fewer requests than they have.
//!
//! Each VM has its own list of the VMs, which lags behind the store.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    EndpointKey, ListMembership, PeerTable, RateTerms, RecentSends, ShareRight, VmEntry, VmKey,
};
use spanfold_entity::Moment;
use std::collections::VecDeque;

/// Step of the simulated time.
const STEP_MILLIS: u64 = 10;
/// Leases of the first VMs by name, and of the others.
const LEASE_MILLIS: [u64; 2] = [2_500, 10_000];
const LEASE_MARGIN_MILLIS: u64 = 800;
const RENEWAL_INTERVAL_MILLIS: [u64; 2] = [700, 2_800];
/// Number of VMs with short leases.
const SHORT_LEASE_VMS: usize = 4;
/// Longest interval between an unaffected VM's updates from the store, and largest age of an update.
const MAX_UPDATE_MILLIS: u64 = 900;
/// Time for which a VM counts as affected after a fault is over.
const FAULT_EFFECT_MILLIS: u64 = 3_000;

/// Returns how many requests a VM may send to the endpoint in the current window.
pub type ShareRule = fn(&SimulatedVm, &SharedEndpoint, Moment) -> u64;

/// Endpoint and its limit.
#[derive(Clone, Copy, Debug)]
pub struct SharedEndpoint {
    pub endpoint: EndpointKey,
    pub data_centre: &'static str,
    pub terms: RateTerms,
    /// Length of the span in which requests are counted.
    pub span_millis: u64,
}

/// Faults that are injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedFault {
    None,
    /// VMs are cut off from the store, many at once and for up to a minute, and continue to serve.
    Cuts,
    /// VMs are killed, cut off from the store, frozen, added and removed, many at once; the store is
    /// unavailable.
    Any,
}

/// One VM with its view of the others.
#[derive(Debug)]
pub struct SimulatedVm {
    pub membership: ListMembership,
    /// Its right, as of its last update.
    pub right: ShareRight,
    /// Its share, as of its last update.
    pub share: u64,
    peer_table: PeerTable,
    /// Whether its list contains each VM's entry, by the VM's number.
    listed: Vec<bool>,
    sends: RecentSends,
    /// Its number, in the order in which VMs were added.
    number: usize,
    confirmed_at: Moment,
    next_update_at: Moment,
    next_renewal_at: Moment,
    down_until: Moment,
    cut_until: Moment,
    frozen_until: Moment,
}

impl SimulatedVm {
    fn new(entry: &VmEntry, number: usize, now: Moment) -> Self {
        let own = VmKey::of(&entry.name);
        Self {
            membership: ListMembership::default(),
            right: ShareRight::alone(own, &entry.data_centre),
            share: 0,
            peer_table: PeerTable::new(entry.clone()),
            listed: Vec::new(),
            sends: RecentSends::default(),
            number,
            confirmed_at: Moment(0),
            next_update_at: now,
            next_renewal_at: now,
            down_until: Moment(0),
            cut_until: Moment(0),
            frozen_until: Moment(0),
        }
    }

    fn is_running(&self, now: Moment) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    /// Whether it had no fault recently.
    fn is_unaffected(&self, now: Moment) -> bool {
        let fault_end = self.down_until.max(self.cut_until).max(self.frozen_until);
        fault_end == Moment(0) || now >= fault_end.after_millis(FAULT_EFFECT_MILLIS)
    }

    /// Renews its lease, and applies the list as the store contained it a short time ago.
    fn poll_store(
        &mut self,
        store: &mut StoreList,
        random: &mut SmallRng,
        scene: &SharedEndpoint,
        now: Moment,
    ) {
        if now < self.cut_until || now < store.unavailable_until {
            return;
        }
        let lease_index = usize::from(self.number >= SHORT_LEASE_VMS);
        if now >= self.next_renewal_at {
            self.next_renewal_at = now.after_millis(RENEWAL_INTERVAL_MILLIS[lease_index]);
            store.renew(self.number, LEASE_MILLIS[lease_index], now);
            self.membership
                .record_listing(now.after_millis(LEASE_MILLIS[lease_index] - LEASE_MARGIN_MILLIS), now);
        }
        if now >= self.next_update_at {
            self.next_update_at = now.after_millis(random.random_range(100..MAX_UPDATE_MILLIS));
            let age = random.random_range(0..MAX_UPDATE_MILLIS);
            let confirmed_at = Moment(now.0.saturating_sub(age * 1_000)).max(self.confirmed_at);
            self.confirmed_at = confirmed_at;
            self.membership.record_list_confirmation(confirmed_at);
            self.apply_list(store, now);
            self.right = self.peer_table.share_right(&self.membership, now);
            self.share = self.right.share(scene.endpoint, scene.data_centre, &scene.terms);
        }
    }

    fn apply_list(&mut self, store: &StoreList, now: Moment) {
        self.listed.resize(store.rows.len(), false);
        for (was_listed, (entry, spans)) in self.listed.iter_mut().zip(&store.rows) {
            let is_listed =
                spans.iter().any(|(from, until)| *from <= self.confirmed_at && self.confirmed_at < *until);
            match (*was_listed, is_listed) {
                (false, true) => self.peer_table.list_at(entry.clone(), now),
                (true, false) => self.peer_table.unlist(&entry.name, now),
                _ => continue,
            }
            *was_listed = is_listed;
        }
        self.peer_table.sweep(now);
    }
}

/// Periods in which an entry was stored.
type EntrySpans = VecDeque<(Moment, Moment)>;

/// Entries of VMs, with the periods in which each was stored.
#[derive(Debug, Default)]
struct StoreList {
    /// By the VM's number.
    rows: Vec<(VmEntry, EntrySpans)>,
    unavailable_until: Moment,
}

impl StoreList {
    /// Renews a VM's lease, or writes its entry anew.
    fn renew(&mut self, number: usize, lease_millis: u64, now: Moment) {
        let spans = &mut self.rows[number].1;
        let end = now.after_millis(lease_millis);
        match spans.back_mut() {
            Some((_, until)) if now < *until => *until = end,
            _ => spans.push_back((now, end)),
        }
    }

    /// Makes the store unavailable; leases are extended by the outage, or expire meanwhile.
    fn begin_outage(&mut self, until: Moment, extends_leases: bool, now: Moment) {
        self.unavailable_until = until;
        if !extends_leases {
            return;
        }
        let outage_micros = until.micros_since(now);
        let ends = self.rows.iter_mut().filter_map(|(_, spans)| spans.back_mut());
        for (_, end) in ends.filter(|(_, end)| now < *end) {
            *end = end.after_micros(outage_micros);
        }
    }
}

/// Requests at the endpoint: largest number in a span, that of unaffected VMs alone, and mean in a second.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLoad {
    pub most: usize,
    pub max_unaffected: usize,
    pub mean: f64,
}

/// State of the simulated deployment.
struct Fleet {
    vms: Vec<SimulatedVm>,
    centres: usize,
    /// Number of VMs that were ever added.
    added: usize,
}

impl Fleet {
    fn add(&mut self, store: &mut StoreList, now: Moment) {
        let entry = VmEntry {
            name: format!("vm-{:04}", self.added),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: format!("dc-{}", self.added % self.centres),
            incarnation: 1,
            link_mbps: 100,
        };
        self.vms.push(SimulatedVm::new(&entry, self.added, now));
        store.rows.push((entry, EntrySpans::new()));
        self.added += 1;
    }
}

/// Simulates `seconds` of `vms` VMs in `centres` data centres that all send as much as `share_rule` allows.
pub fn simulate(
    share_rule: ShareRule,
    (vms, centres): (usize, usize),
    scene: &SharedEndpoint,
    faults: InjectedFault,
    (seconds, seed): (u64, u64),
) -> EndpointLoad {
    let mut random = SmallRng::seed_from_u64(seed);
    let scene = SharedEndpoint { endpoint: EndpointKey(random.random()), ..*scene };
    let mut store = StoreList::default();
    let start = Moment(60_000_000);
    let mut fleet = Fleet { vms: Vec::new(), centres, added: 0 };
    for _ in 0..vms {
        fleet.add(&mut store, start);
    }
    let mut sent: VecDeque<(Moment, bool)> = VecDeque::new();
    let (mut most, mut max_unaffected, mut total) = (0, 0, 0_u32);
    for step in 0..seconds * 1_000 / STEP_MILLIS {
        let now = start.after_millis(step * STEP_MILLIS);
        if faults == InjectedFault::Any && random.random_bool(0.01) {
            inject_fault(&mut fleet, &mut store, &mut random, now);
        }
        if faults == InjectedFault::Cuts && random.random_bool(0.001) {
            let until = now.after_millis(random.random_range(500..60_000));
            cut_off_vms(&mut fleet, &mut random, until);
        }
        for vm in fleet.vms.iter_mut().filter(|vm| vm.is_running(now)) {
            vm.poll_store(&mut store, &mut random, &scene, now);
            let share = share_rule(vm, &scene, now);
            while vm.sends.next_at(share, scene.terms.window_millis, now) == Some(now) {
                vm.sends.push(scene.terms.window_millis, now);
                sent.push_back((now, vm.is_unaffected(now)));
                total += 1;
            }
        }
        while sent.front().is_some_and(|(at, _)| now >= at.after_millis(scene.span_millis)) {
            sent.pop_front();
        }
        most = most.max(sent.len());
        max_unaffected = max_unaffected.max(sent.iter().filter(|(_, is_unaffected)| *is_unaffected).count());
    }
    EndpointLoad { most, max_unaffected, mean: f64::from(total) / seconds as f64 }
}

/// Cuts a random share of the VMs off from the store.
fn cut_off_vms(fleet: &mut Fleet, random: &mut SmallRng, until: Moment) {
    let share = random.random_range(0.0..1.0);
    for vm in &mut fleet.vms {
        if random.random_bool(share) {
            vm.cut_until = vm.cut_until.max(until);
        }
    }
}

/// Injects a random fault at a random share of the VMs, or at the store.
fn inject_fault(fleet: &mut Fleet, store: &mut StoreList, random: &mut SmallRng, now: Moment) {
    let share = if random.random_bool(0.2) { 1.0 } else { random.random_range(0.0..0.6) };
    let until = now.after_millis(random.random_range(500..30_000));
    let kind = random.random_range(0..6);
    if kind == 4 {
        if random.random_bool(0.5) && fleet.vms.len() > 1 {
            fleet.vms.swap_remove(0);
        }
        fleet.add(store, now);
        return;
    }
    if kind == 5 {
        store.begin_outage(until, random.random_bool(0.5), now);
        return;
    }
    for vm in &mut fleet.vms {
        if !random.random_bool(share) {
            continue;
        }
        match kind {
            0 => {
                // A restarted process has no state, and its VM keeps its name.
                let restarted = SimulatedVm::new(vm.peer_table.own(), vm.number, now);
                *vm = SimulatedVm {
                    down_until: now.after_millis(random.random_range(300..3_000)),
                    ..restarted
                };
            }
            1 | 2 => vm.cut_until = until,
            _ => vm.frozen_until = now.after_millis(random.random_range(300..4_000)),
        }
    }
}
