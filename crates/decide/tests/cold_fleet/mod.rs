//! VMs of one data centre that all have more prompts than a cold endpoint bears, with lists of one another that age.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{ColdRight, ColdSends, ColdSpec, ColdTerms, EndpointKey, ListStanding, VmKey};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, VecDeque};

/// What the users' sheet names.
pub const SPEC: ColdSpec = ColdSpec { start_millis: 3_000, per_s: 11.0 };
pub const TERMS: ColdTerms = ColdTerms { overrun: 1.5, slack: 5.0 };

/// Step of the simulated time, in milliseconds.
const STEP_MILLIS: u64 = 10;
const LEASE_MILLIS: u64 = 10_000;
const SAFETY_MILLIS: u64 = 800;
const RENEW_MILLIS: u64 = 2_800;
/// VMs in touch hear of the store at least this often, and of what it held up to as long ago.
const NEWS_MILLIS: u64 = 900;

/// How many requests a VM may send to the endpoint in a second now.
pub type ColdWay = fn(&FleetVm, &ListStanding, EndpointKey, Moment) -> usize;

/// What can befall the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// VMs are killed, cut off from the store, frozen, added and removed, many at once.
    Any,
}

/// One VM as it sees the others.
#[derive(Debug)]
pub struct FleetVm {
    pub right: ColdRight,
    standing: ListStanding,
    sends: ColdSends,
    next_news: Moment,
    next_renewal: Moment,
    down_until: Moment,
    cut_until: Moment,
    frozen_until: Moment,
}

impl FleetVm {
    fn new(vm: VmKey, now: Moment) -> Self {
        Self {
            right: ColdRight { own: vm, others: Vec::new(), terms: TERMS },
            standing: ListStanding::default(),
            sends: ColdSends::default(),
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

    /// Renews its lease, and hears of the list as it was a short while ago.
    fn ask(&mut self, store: &mut StoreList, random: &mut SmallRng, now: Moment) {
        if now < self.cut_until {
            return;
        }
        if now >= self.next_renewal {
            self.next_renewal = now.after_millis(RENEW_MILLIS);
            if !store.renew(self.right.own, now) {
                self.standing.listed_at = Some(now);
            }
            self.standing.lease_until = now.after_millis(LEASE_MILLIS - SAFETY_MILLIS);
        }
        if now >= self.next_news {
            self.next_news = now.after_millis(random.random_range(100..NEWS_MILLIS));
            let age = random.random_range(0..NEWS_MILLIS);
            self.standing.news_at = Moment(now.0.saturating_sub(age * 1_000));
            let listed = store.list_at(self.standing.news_at);
            self.right.others = listed.filter(|vm| *vm != self.right.own).collect();
        }
    }
}

/// The entries of VMs, with the time in which each stood.
#[derive(Debug, Default)]
struct StoreList {
    /// When each entry was written, and when its lease ends.
    rows: BTreeMap<VmKey, VecDeque<(Moment, Moment)>>,
}

impl StoreList {
    /// Renews a VM's lease or writes its entry anew; whether it still stood.
    fn renew(&mut self, vm: VmKey, now: Moment) -> bool {
        let spans = self.rows.entry(vm).or_default();
        let end = now.after_millis(LEASE_MILLIS);
        match spans.back_mut() {
            Some((_, until)) if now < *until => {
                *until = end;
                true
            }
            _ => {
                spans.push_back((now, end));
                false
            }
        }
    }

    fn list_at(&self, at: Moment) -> impl Iterator<Item = VmKey> {
        let rows = self
            .rows
            .iter()
            .filter(move |(_, spans)| spans.iter().any(|(from, until)| *from <= at && at < *until));
        rows.map(|(vm, _)| *vm)
    }
}

/// Requests that reached the endpoint in the fullest second, and in the mean.
#[derive(Clone, Copy, Debug)]
pub struct ColdLoad {
    pub most: usize,
    pub mean: f64,
}

/// Plays `seconds` of a data centre of `vms` VMs that all send what `way` lets them.
pub fn play(way: ColdWay, vms: usize, trouble: Trouble, seconds: u64, seed: u64) -> ColdLoad {
    let mut random = SmallRng::seed_from_u64(seed);
    let endpoint = EndpointKey(random.random());
    let mut store = StoreList::default();
    let begin = Moment(60_000_000);
    let mut fleet: Vec<_> = (0..vms).map(|_| FleetVm::new(VmKey(random.random()), begin)).collect();
    let mut sent = VecDeque::new();
    let (mut most, mut total) = (0, 0_u32);
    for step in 0..seconds * 1_000 / STEP_MILLIS {
        let now = begin.after_millis(step * STEP_MILLIS);
        if trouble == Trouble::Any && random.random_bool(0.01) {
            strike(&mut fleet, &mut random, now);
        }
        for vm in fleet.iter_mut().filter(|vm| vm.acts(now)) {
            vm.ask(&mut store, &mut random, now);
            let part = way(vm, &vm.standing, endpoint, now);
            while vm.sends.count(now) < part {
                vm.sends.push(now);
                sent.push_back(now);
                total += 1;
            }
        }
        while sent.front().is_some_and(|at: &Moment| now >= at.after_millis(1_000)) {
            sent.pop_front();
        }
        most = most.max(sent.len());
    }
    ColdLoad { most, mean: f64::from(total) / seconds as f64 }
}

/// Lets something befall some of the VMs.
fn strike(fleet: &mut Vec<FleetVm>, random: &mut SmallRng, now: Moment) {
    let share = if random.random_bool(0.2) { 1.0 } else { random.random_range(0.0..0.6) };
    let until = now.after_millis(random.random_range(500..14_000));
    let kind = random.random_range(0..5);
    if kind == 4 {
        if random.random_bool(0.5) && fleet.len() > 1 {
            fleet.swap_remove(0);
        }
        fleet.push(FleetVm::new(VmKey(random.random()), now));
        return;
    }
    for vm in fleet {
        if !random.random_bool(share) {
            continue;
        }
        match kind {
            0 => {
                // A process that starts again knows nothing, and its VM's name is the same.
                let name = vm.right.own;
                *vm = FleetVm {
                    down_until: now.after_millis(random.random_range(300..3_000)),
                    ..FleetVm::new(name, now)
                };
            }
            1 | 2 => vm.cut_until = until,
            _ => vm.frozen_until = now.after_millis(random.random_range(300..4_000)),
        }
    }
}
