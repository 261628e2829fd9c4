//! VMs that all have more requests than one endpoint takes from all of them together, with lists of one another that age.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    EndpointKey, ListMembership, PeerTable, RateTerms, RecentSends, ShareRight, VmEntry, VmKey,
};
use spanfold_entity::Moment;
use std::collections::VecDeque;

/// Step of the simulated time, in milliseconds.
const STEP_MILLIS: u64 = 10;
/// Leases of the first VMs by name, and of the others, in milliseconds.
const LEASE_MILLIS: [u64; 2] = [2_500, 10_000];
const SAFETY_MILLIS: u64 = 800;
const RENEW_MILLIS: [u64; 2] = [700, 2_800];
/// VMs with short leases.
const CANDIDATES: usize = 4;
/// VMs in touch hear of the store at least this often, and of what it held up to as long ago.
const NEWS_MILLIS: u64 = 900;
/// A VM that was struck counts as struck for this long after that, in milliseconds.
const TOUCH_MILLIS: u64 = 3_000;

/// Requests in a window that a VM may send to the endpoint now.
pub type ShareWay = fn(&FleetVm, &Scene, Moment) -> u64;

/// The endpoint, and what it takes.
#[derive(Clone, Copy, Debug)]
pub struct Scene {
    pub endpoint: EndpointKey,
    pub data_centre: &'static str,
    pub terms: RateTerms,
    /// Length of the span in which requests are counted, in milliseconds.
    pub span_millis: u64,
}

/// What can befall the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// VMs are cut off from the store, many at once and for up to a minute, and go on serving.
    Cuts,
    /// VMs are killed, cut off from the store, frozen, added and removed, many at once; the store is away.
    Any,
}

/// One VM as it sees the others.
#[derive(Debug)]
pub struct FleetVm {
    pub standing: ListMembership,
    /// Its right, as of its last news.
    pub right: ShareRight,
    /// Its part, as of its last news.
    pub part: u64,
    book: PeerTable,
    /// Whether it knows each VM's entry, by the VM's number.
    known: Vec<bool>,
    sends: RecentSends,
    /// Its number, in the order in which VMs were added.
    rank: usize,
    confirmed_at: Moment,
    next_news: Moment,
    next_renewal: Moment,
    down_until: Moment,
    cut_until: Moment,
    frozen_until: Moment,
}

impl FleetVm {
    fn new(entry: &VmEntry, rank: usize, now: Moment) -> Self {
        let own = VmKey::of(&entry.name);
        Self {
            standing: ListMembership::default(),
            right: ShareRight::alone(own, &entry.data_centre),
            part: 0,
            book: PeerTable::new(entry.clone()),
            known: Vec::new(),
            sends: RecentSends::default(),
            rank,
            confirmed_at: Moment(0),
            next_news: now,
            next_renewal: now,
            down_until: Moment(0),
            cut_until: Moment(0),
            frozen_until: Moment(0),
        }
    }

    fn acts(&self, now: Moment) -> bool {
        now >= self.down_until && now >= self.frozen_until
    }

    /// Whether nothing has befallen it lately.
    fn is_in_touch(&self, now: Moment) -> bool {
        let struck = self.down_until.max(self.cut_until).max(self.frozen_until);
        struck == Moment(0) || now >= struck.after_millis(TOUCH_MILLIS)
    }

    /// Renews its lease, and hears of the list as it was a short while ago.
    fn ask(&mut self, store: &mut StoreList, random: &mut SmallRng, scene: &Scene, now: Moment) {
        if now < self.cut_until || now < store.away_until {
            return;
        }
        let terms = usize::from(self.rank >= CANDIDATES);
        if now >= self.next_renewal {
            self.next_renewal = now.after_millis(RENEW_MILLIS[terms]);
            store.renew(self.rank, LEASE_MILLIS[terms], now);
            self.standing.list_until(now.after_millis(LEASE_MILLIS[terms] - SAFETY_MILLIS), now);
        }
        if now >= self.next_news {
            self.next_news = now.after_millis(random.random_range(100..NEWS_MILLIS));
            let age = random.random_range(0..NEWS_MILLIS);
            let confirmed_at = Moment(now.0.saturating_sub(age * 1_000)).max(self.confirmed_at);
            self.confirmed_at = confirmed_at;
            self.standing.record_list_confirmation(confirmed_at);
            self.take_list(store, now);
            self.right = self.book.share_right(&self.standing, now);
            self.part = self.right.part(scene.endpoint, scene.data_centre, &scene.terms);
        }
    }

    fn take_list(&mut self, store: &StoreList, now: Moment) {
        self.known.resize(store.rows.len(), false);
        for (known, (entry, spans)) in self.known.iter_mut().zip(&store.rows) {
            let is_listed =
                spans.iter().any(|(from, until)| *from <= self.confirmed_at && self.confirmed_at < *until);
            match (*known, is_listed) {
                (false, true) => self.book.list_at(entry.clone(), now),
                (true, false) => self.book.unlist(&entry.name, now),
                _ => continue,
            }
            *known = is_listed;
        }
        self.book.sweep(now);
    }
}

/// Times in which an entry stood.
type EntrySpans = VecDeque<(Moment, Moment)>;

/// The entries of VMs, with the times in which each stood.
#[derive(Debug, Default)]
struct StoreList {
    /// By the VM's number.
    rows: Vec<(VmEntry, EntrySpans)>,
    away_until: Moment,
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

    /// Goes away; leases wait until it is back, or run out meanwhile.
    fn go_away(&mut self, until: Moment, leases_wait: bool, now: Moment) {
        self.away_until = until;
        if !leases_wait {
            return;
        }
        let pause = until.micros_since(now);
        let ends = self.rows.iter_mut().filter_map(|(_, spans)| spans.back_mut());
        for (_, end) in ends.filter(|(_, end)| now < *end) {
            *end = end.after_micros(pause);
        }
    }
}

/// Requests that reached the endpoint in the fullest span, those of VMs in touch alone, and in a second in the mean.
#[derive(Clone, Copy, Debug)]
pub struct EndpointLoad {
    pub most: usize,
    pub most_in_touch: usize,
    pub mean: f64,
}

/// The deployment while it is played.
struct Fleet {
    vms: Vec<FleetVm>,
    centres: usize,
    /// VMs that have been added, ever.
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
        self.vms.push(FleetVm::new(&entry, self.added, now));
        store.rows.push((entry, EntrySpans::new()));
        self.added += 1;
    }
}

/// Plays `seconds` of `vms` VMs in so many data centres that all send what `way` lets them.
pub fn play(
    way: ShareWay,
    (vms, centres): (usize, usize),
    scene: &Scene,
    trouble: Trouble,
    (seconds, seed): (u64, u64),
) -> EndpointLoad {
    let mut random = SmallRng::seed_from_u64(seed);
    let scene = Scene { endpoint: EndpointKey(random.random()), ..*scene };
    let mut store = StoreList::default();
    let begin = Moment(60_000_000);
    let mut fleet = Fleet { vms: Vec::new(), centres, added: 0 };
    for _ in 0..vms {
        fleet.add(&mut store, begin);
    }
    let mut sent: VecDeque<(Moment, bool)> = VecDeque::new();
    let (mut most, mut most_in_touch, mut total) = (0, 0, 0_u32);
    for step in 0..seconds * 1_000 / STEP_MILLIS {
        let now = begin.after_millis(step * STEP_MILLIS);
        if trouble == Trouble::Any && random.random_bool(0.01) {
            strike(&mut fleet, &mut store, &mut random, now);
        }
        if trouble == Trouble::Cuts && random.random_bool(0.001) {
            let until = now.after_millis(random.random_range(500..60_000));
            cut_some(&mut fleet, &mut random, until);
        }
        for vm in fleet.vms.iter_mut().filter(|vm| vm.acts(now)) {
            vm.ask(&mut store, &mut random, &scene, now);
            let part = way(vm, &scene, now);
            while vm.sends.next_at(part, scene.terms.window_millis, now) == Some(now) {
                vm.sends.push(scene.terms.window_millis, now);
                sent.push_back((now, vm.is_in_touch(now)));
                total += 1;
            }
        }
        while sent.front().is_some_and(|(at, _)| now >= at.after_millis(scene.span_millis)) {
            sent.pop_front();
        }
        most = most.max(sent.len());
        most_in_touch = most_in_touch.max(sent.iter().filter(|(_, is_in_touch)| *is_in_touch).count());
    }
    EndpointLoad { most, most_in_touch, mean: f64::from(total) / seconds as f64 }
}

/// Cuts some of the VMs off from the store.
fn cut_some(fleet: &mut Fleet, random: &mut SmallRng, until: Moment) {
    let share = random.random_range(0.0..1.0);
    for vm in &mut fleet.vms {
        if random.random_bool(share) {
            vm.cut_until = vm.cut_until.max(until);
        }
    }
}

/// Lets something befall some of the VMs, or the store.
fn strike(fleet: &mut Fleet, store: &mut StoreList, random: &mut SmallRng, now: Moment) {
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
        store.go_away(until, random.random_bool(0.5), now);
        return;
    }
    for vm in &mut fleet.vms {
        if !random.random_bool(share) {
            continue;
        }
        match kind {
            0 => {
                // A process that starts again knows nothing, and its VM's name is the same.
                let started = FleetVm::new(vm.book.own(), vm.rank, now);
                *vm = FleetVm { down_until: now.after_millis(random.random_range(300..3_000)), ..started };
            }
            1 | 2 => vm.cut_until = until,
            _ => vm.frozen_until = now.after_millis(random.random_range(300..4_000)),
        }
    }
}
