//! How long a change of the store takes until the last VM of a data centre has it, in virtual time.
//!
//! Guards against changes that are in force late at some VMs of a large data centre: those behind a relay that
//! is gone, and those whose turn to poll the store comes late.
//!
//! Each VM has its own tables and schedules; messages take a millisecond. The bound is the shortest that users
//! state, 2 s after the store confirmed the change.

use spanfold_decide::{
    CatchUpSchedule, PeerTable, PollDuty, PropagationPlan, RelayGroup, StorePosition, VmEntry, VmKey,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Shortest bound of users, in milliseconds.
const BOUND_MILLIS: u64 = 2_000;
const MESSAGE_MILLIS: u64 = 1;
const CALL_MILLIS: u64 = 4;
const LONG_POLL_MILLIS: u64 = 900;
const CALL_TIMEOUT_MILLIS: u64 = 500;
const CHANGE_BATCH_MILLIS: u64 = 150;
const HEARTBEAT_MILLIS: u64 = 300;
/// The days begin once the VMs have heard one another.
const START_MILLIS: u64 = 5_000;

/// How the store answers a VM's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StoreState {
    Open,
    Silent,
    Busy,
}

/// A call to the store: VM, its process and the number of its calls.
type CallId = (usize, u32, usize);

/// A step of the simulation.
#[derive(Clone, Debug)]
enum Event {
    /// The follower of a VM looks at its state; the number identifies its process.
    Step(usize, u32),
    Digest(usize),
    Update {
        to: usize,
        from: usize,
        base: u64,
        position: u64,
        group: Option<RelayGroup>,
        is_spread: bool,
    },
    Request {
        to: usize,
        from: usize,
        position: u64,
    },
    /// A call ends with the store's revision, or fails.
    Answer {
        call: CallId,
        revision: Option<u64>,
        is_regular: bool,
    },
    /// The time of a long poll is over.
    LongPollEnd {
        call: CallId,
        revision: u64,
    },
    Write,
    SetStore(usize, StoreState),
    Kill(usize),
    Restart(usize),
    Freeze(usize, u64),
}

struct SimVm {
    table: PeerTable,
    duty: PollDuty,
    catch_up: CatchUpSchedule,
    position: u64,
    /// Oldest position from which this VM can tell others the changes.
    history_from: u64,
    store: StoreState,
    is_alive: bool,
    open_call: Option<usize>,
    frozen_until: u64,
    process: u32,
    sequence: u64,
    calls: usize,
}

struct Simulation {
    now: u64,
    serial: u64,
    queue: BTreeMap<(u64, u64), Event>,
    entries: Vec<VmEntry>,
    numbers: HashMap<SocketAddr, usize>,
    vms: Vec<SimVm>,
    revision: u64,
    /// Long polls that the store has not answered.
    waiting: Vec<CallId>,
    /// When each revision was written, and when each VM had it.
    written_at: Vec<u64>,
    applied_at: Vec<Vec<Option<u64>>>,
}

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

impl Simulation {
    /// Starts `count` VMs, ten of them with wide links, that have heard one another.
    fn new(count: usize) -> Self {
        let entries: Vec<_> = (0..count)
            .map(|number| VmEntry {
                name: format!("vm-{number:03}"),
                address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 1)),
                data_centre: "dc-a".into(),
                incarnation: 1,
                link_mbps: if number < 10 { 200 } else { 20 },
            })
            .collect();
        let numbers = entries.iter().enumerate().map(|(number, vm)| (vm.address, number)).collect();
        let vms = (0..count).map(|number| SimVm::new(number, &entries, 0)).collect();
        let mut simulation = Self {
            now: 0,
            serial: 0,
            queue: BTreeMap::new(),
            entries,
            numbers,
            vms,
            revision: 1,
            waiting: Vec::new(),
            written_at: vec![0, 0],
            applied_at: vec![vec![Some(0); 2]; count],
        };
        for vm in 0..count {
            simulation.push(vm as u64 % HEARTBEAT_MILLIS, Event::Digest(vm));
            simulation.push(50 + vm as u64 % 100, Event::Step(vm, 0));
        }
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    fn write_at(&mut self, millis: u64) {
        self.push(START_MILLIS + millis, Event::Write);
    }

    fn at(&mut self, millis: u64, event: Event) {
        self.push(START_MILLIS + millis, event);
    }

    fn run(&mut self, millis: u64) {
        let end = START_MILLIS + millis;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle(event);
        }
    }

    /// Returns the longest time until a VM that runs had a change, for the changes of the day.
    fn longest_delay(&self) -> u64 {
        let delays = (2..self.written_at.len()).flat_map(|revision| {
            let running = self.vms.iter().enumerate().filter(|(_, vm)| vm.is_alive);
            running.map(move |(number, _)| {
                let applied_at = self.applied_at[number].get(revision).copied().flatten().unwrap_or(u64::MAX);
                applied_at.saturating_sub(self.written_at[revision])
            })
        });
        delays.max().unwrap_or(0)
    }

    fn calls(&self) -> usize {
        self.vms.iter().map(|vm| vm.calls).sum()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Write => {
                self.revision += 1;
                self.written_at.push(self.now);
                // A call that waits at a store that has fallen silent gets no answer, and one that is refused
                // from now on was accepted before.
                for call in std::mem::take(&mut self.waiting) {
                    if self.vms[call.0].store == StoreState::Silent {
                        self.waiting.push(call);
                    } else {
                        self.answer(call, Some(self.revision), true);
                    }
                }
            }
            Event::SetStore(vm, store) => self.vms[vm].store = store,
            Event::Kill(vm) => self.vms[vm].is_alive = false,
            Event::Freeze(vm, millis) => self.vms[vm].frozen_until = self.now + millis,
            Event::Restart(vm) => self.restart(vm),
            Event::Digest(vm) => self.send_digest(vm),
            Event::Step(vm, process) => self.step(vm, process),
            Event::Update { to, .. } | Event::Request { to, .. } if !self.is_running(to) => {}
            Event::Update { to, from, base, position, group, is_spread } => {
                self.update(to, from, (base, position), group, is_spread);
            }
            Event::Request { to, from, position } => self.answer_request(to, from, position),
            Event::LongPollEnd { call, revision } => self.end_long_poll(call, revision),
            Event::Answer { call, revision, is_regular } => self.end_call(call, revision, is_regular),
        }
    }

    fn is_running(&self, vm: usize) -> bool {
        self.vms[vm].is_alive && self.now >= self.vms[vm].frozen_until
    }

    fn restart(&mut self, vm: usize) {
        let process = self.vms[vm].process + 1;
        let (store, calls) = (self.vms[vm].store, self.vms[vm].calls);
        self.vms[vm] = SimVm { store, process, calls, ..SimVm::new(vm, &self.entries, self.now) };
        // A start lists the store.
        self.apply(vm, self.revision);
        self.vms[vm].history_from = self.revision;
        self.vms[vm].duty.record_confirmation(at(self.now));
        self.push(self.now + 1, Event::Step(vm, process));
        self.push(self.now + 1, Event::Digest(vm));
    }

    fn send_digest(&mut self, vm: usize) {
        if !self.vms[vm].is_alive {
            return;
        }
        self.push(self.now + HEARTBEAT_MILLIS, Event::Digest(vm));
        if !self.is_running(vm) {
            return;
        }
        self.broadcast_digest(vm);
    }

    fn broadcast_digest(&mut self, vm: usize) {
        self.vms[vm].sequence += 1;
        let key = VmKey::of(&self.entries[vm].name);
        let (incarnation, sequence) = (1 + u64::from(self.vms[vm].process), self.vms[vm].sequence);
        let own = position(self.vms[vm].position);
        for other in 0..self.vms.len() {
            if other != vm && self.is_running(other) {
                let table = &mut self.vms[other].table;
                if table.record_digest(key, incarnation, sequence, at(self.now + MESSAGE_MILLIS)) {
                    table.record_position(key, own);
                }
            }
        }
    }

    fn step(&mut self, vm: usize, process: u32) {
        if self.vms[vm].process != process || !self.vms[vm].is_alive {
            return;
        }
        if !self.is_running(vm) {
            let thawed_at = self.vms[vm].frozen_until;
            self.push(thawed_at, Event::Step(vm, process));
            return;
        }
        let now = at(self.now);
        let state = &mut self.vms[vm];
        let (own, local) = (position(state.position), state.table.newest_position(true, now));
        state.catch_up.record_reported(own, (local, None), now);
        if state.catch_up.is_request_due(now) {
            state.catch_up.record_request(now);
            let source = state.table.vm_at(true, local, 0.5, now).filter(|_| local > own);
            if let Some(source) = source.and_then(|source| state.table.address_of(source)) {
                let (to, position) = (self.numbers[&source], own.revision);
                self.push(self.now + MESSAGE_MILLIS, Event::Request { to, from: vm, position });
            }
        }
        let state = &self.vms[vm];
        let turn = state.table.poll_turn(now);
        let duty_at = state.duty.next_poll_at(turn, self.vms.len());
        let poll_at = duty_at.min(state.catch_up.poll_at()).max(state.duty.backoff_until());
        if now >= poll_at && state.open_call.is_none() {
            self.call(vm, turn);
        }
        let next = poll_at
            .min(self.vms[vm].catch_up.request_at())
            .min(now.after_millis(100))
            .max(now.after_millis(1));
        self.push((next.0 / 1_000).max(self.now + 1), Event::Step(vm, process));
    }

    fn call(&mut self, vm: usize, turn: usize) {
        let state = &mut self.vms[vm];
        let is_regular = turn == 0 || !state.catch_up.is_behind();
        let waits = is_regular && state.duty.may_wait();
        if is_regular {
            state.duty.begin();
        }
        state.calls += 1;
        state.open_call = Some(state.calls);
        let (call, from, store) = ((vm, state.process, state.calls), state.position, state.store);
        let long_poll = if waits { LONG_POLL_MILLIS } else { 0 };
        match store {
            StoreState::Busy => self.answer(call, None, is_regular),
            StoreState::Silent => {
                let at = self.now + long_poll + CALL_TIMEOUT_MILLIS;
                self.push(at, Event::Answer { call, revision: None, is_regular });
            }
            StoreState::Open if !waits || from < self.revision => {
                self.answer(call, Some(self.revision), is_regular);
            }
            StoreState::Open => {
                self.waiting.push(call);
                self.push(self.now + LONG_POLL_MILLIS, Event::LongPollEnd { call, revision: from });
            }
        }
    }

    fn answer(&mut self, call: CallId, revision: Option<u64>, is_regular: bool) {
        self.push(self.now + CALL_MILLIS, Event::Answer { call, revision, is_regular });
    }

    fn end_long_poll(&mut self, call: CallId, revision: u64) {
        let Some(index) = self.waiting.iter().position(|waiting| *waiting == call) else { return };
        self.waiting.swap_remove(index);
        let is_answered = self.vms[call.0].store != StoreState::Silent;
        let delay = if is_answered { CALL_MILLIS } else { CALL_TIMEOUT_MILLIS };
        let revision = is_answered.then_some(revision);
        self.push(self.now + delay, Event::Answer { call, revision, is_regular: true });
    }

    fn end_call(&mut self, call: CallId, revision: Option<u64>, is_regular: bool) {
        let (vm, process, number) = call;
        if !self.vms[vm].is_alive || self.vms[vm].process != process || self.vms[vm].open_call != Some(number)
        {
            return;
        }
        if !self.is_running(vm) {
            self.push(self.vms[vm].frozen_until, Event::Answer { call, revision, is_regular });
            return;
        }
        self.vms[vm].open_call = None;
        let now = at(self.now);
        let Some(revision) = revision else {
            self.vms[vm].duty.record_failure(now);
            return;
        };
        let base = self.vms[vm].position;
        if revision > base {
            self.vms[vm].duty.back_off_until(now.after_millis(CHANGE_BATCH_MILLIS));
        }
        self.apply(vm, revision);
        let state = &mut self.vms[vm];
        let position = state.position;
        state.duty.record_answer();
        state.duty.record_confirmation(now);
        state.catch_up.record_caught_up();
        if is_regular && state.duty.is_polling() {
            let plan = state.table.propagation_plan(now);
            self.propagate(vm, (base, position), &plan);
            if position > base {
                self.broadcast_digest(vm);
            }
        }
    }

    fn propagate(&mut self, vm: usize, (base, position): (u64, u64), plan: &PropagationPlan) {
        let relays = plan.relays.iter().map(|(address, group)| (*address, Some(group.clone())));
        for (address, group) in relays.chain(plan.targets.iter().map(|address| (*address, None))) {
            let to = self.numbers[&address];
            let update = Event::Update { to, from: vm, base, position, group, is_spread: true };
            self.push(self.now + MESSAGE_MILLIS, update);
        }
    }

    fn update(
        &mut self,
        vm: usize,
        from: usize,
        (base, position): (u64, u64),
        group: Option<RelayGroup>,
        is_spread: bool,
    ) {
        let now = at(self.now);
        if let Some(group) = group {
            for address in self.vms[vm].table.leaf_addresses(&group) {
                let to = self.numbers[&address];
                let update = Event::Update { to, from, base, position, group: None, is_spread };
                self.push(self.now + MESSAGE_MILLIS, update);
            }
        }
        if base > self.vms[vm].position {
            self.vms[vm].catch_up.record_gap(now);
            if self.vms[vm].catch_up.is_request_due(now) {
                self.vms[vm].catch_up.record_request(now);
                let position = self.vms[vm].position;
                self.push(self.now + MESSAGE_MILLIS, Event::Request { to: from, from: vm, position });
            }
            return;
        }
        if position > self.vms[vm].position {
            self.apply(vm, position);
            self.vms[vm].catch_up.record_caught_up();
        }
        let sender = VmKey::of(&self.entries[from].name);
        let state = &mut self.vms[vm];
        if is_spread {
            state.duty.record_confirmation(now);
        }
        let precedes = state.table.precedes_as_leader(sender);
        state.duty.cease_for(precedes);
    }

    fn answer_request(&mut self, vm: usize, from: usize, base: u64) {
        let state = &self.vms[vm];
        if base >= state.history_from && base < state.position {
            let position = state.position;
            let update = Event::Update { to: from, from: vm, base, position, group: None, is_spread: false };
            self.push(self.now + MESSAGE_MILLIS, update);
        }
    }

    fn apply(&mut self, vm: usize, position: u64) {
        self.vms[vm].position = self.vms[vm].position.max(position);
        let applied_at = &mut self.applied_at[vm];
        while applied_at.len() <= position as usize {
            applied_at.push(Some(self.now));
        }
    }
}

impl SimVm {
    fn new(number: usize, entries: &[VmEntry], now: u64) -> Self {
        let mut table = PeerTable::new(entries[number].clone());
        for entry in entries {
            table.list_at(entry.clone(), at(now));
        }
        Self {
            table,
            duty: PollDuty::default(),
            catch_up: CatchUpSchedule::default(),
            position: 1,
            history_from: 1,
            store: StoreState::Open,
            is_alive: true,
            open_call: None,
            frozen_until: 0,
            process: 0,
            sequence: 0,
            calls: 0,
        }
    }
}

/// Returns the numbers of the VMs that relay the first VM's updates.
fn relays(count: usize) -> Vec<usize> {
    let simulation = Simulation::new(count);
    let plan = simulation.vms[0].table.propagation_plan(at(1));
    plan.relays.iter().map(|(address, _)| simulation.numbers[address]).collect()
}

/// Writes six changes, 360 ms apart, from `millis` on.
fn write_storm(simulation: &mut Simulation, millis: u64) {
    (0..6).for_each(|change| simulation.write_at(millis + 360 * change));
}

#[yare::parameterized(nine = { 9 }, many = { 91 }, large = { 197 })]
fn in_calm_a_change_is_in_force_at_once_and_one_vm_calls_the_store(count: usize) {
    let mut simulation = Simulation::new(count);
    simulation.run(0);
    let before = simulation.calls();
    write_storm(&mut simulation, 500);
    simulation.run(10_000);
    assert!(simulation.longest_delay() <= 200, "{} ms", simulation.longest_delay());
    let calls = simulation.calls() - before;
    assert!(calls <= 10_000 / 500, "{calls} calls");
}

/// Guards against leaves that wait for their turn to poll the store once their relay is gone.
#[yare::parameterized(many = { 91 }, large = { 197 })]
fn a_change_is_in_force_in_time_behind_relays_that_die(count: usize) {
    for dead in 1..=3 {
        for lead_millis in [0, 20, 300] {
            let mut simulation = Simulation::new(count);
            for relay in relays(count).into_iter().take(dead) {
                simulation.at(500 - lead_millis, Event::Kill(relay));
            }
            write_storm(&mut simulation, 500);
            simulation.run(12_000);
            assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
        }
    }
}

/// The same for relays that start again or stand still: their entries stay, and their groups lack updates.
#[yare::parameterized(many = { 91 }, large = { 197 })]
fn a_change_is_in_force_in_time_behind_relays_that_restart_or_freeze(count: usize) {
    let mut simulation = Simulation::new(count);
    let relays = relays(count);
    simulation.at(400, Event::Kill(relays[0]));
    simulation.at(1_400, Event::Restart(relays[0]));
    simulation.at(450, Event::Freeze(relays[1], 600));
    write_storm(&mut simulation, 500);
    simulation.run(12_000);
    assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
}

/// Guards against turns that come one after the other through all VMs that the store turns away.
#[yare::parameterized(
    nine_silent = { 9, StoreState::Silent },
    nine_busy = { 9, StoreState::Busy },
    many_silent = { 91, StoreState::Silent },
    many_busy = { 91, StoreState::Busy },
    large_silent = { 197, StoreState::Silent },
    large_busy = { 197, StoreState::Busy },
)]
fn a_change_is_in_force_in_time_while_the_first_third_is_turned_away(count: usize, store: StoreState) {
    let mut simulation = Simulation::new(count);
    for vm in 0..count / 3 {
        simulation.at(500, Event::SetStore(vm, store));
        simulation.at(9_500, Event::SetStore(vm, StoreState::Open));
    }
    simulation.run(0);
    let before = simulation.calls();
    for millis in [500, 700, 2_500, 3_000, 6_000] {
        simulation.write_at(millis);
    }
    write_storm(&mut simulation, 9_500);
    simulation.run(20_000);
    assert!(simulation.longest_delay() <= BOUND_MILLIS, "{} ms", simulation.longest_delay());
    // Not one call a second from each VM that is turned away.
    let calls = simulation.calls() - before;
    assert!(calls <= 150, "{calls} calls");
}

/// Guards against an outage of the store in which each VM calls it all the time.
#[test]
fn calls_in_an_outage_grow_with_time_and_not_with_the_number_of_vms() {
    let mut calls = Vec::new();
    for count in [91, 197] {
        let mut simulation = Simulation::new(count);
        (0..count).for_each(|vm| simulation.at(500, Event::SetStore(vm, StoreState::Busy)));
        (0..count).for_each(|vm| simulation.at(5_000, Event::SetStore(vm, StoreState::Open)));
        simulation.run(0);
        let before = simulation.calls();
        simulation.write_at(4_000);
        simulation.run(12_000);
        assert!(simulation.longest_delay() <= 1_000 + BOUND_MILLIS, "{} ms", simulation.longest_delay());
        calls.push(simulation.calls() - before);
    }
    assert!(calls[1] <= calls[0] + 10, "{calls:?}");
}
