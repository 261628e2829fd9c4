//! VMs of one data centre and their store in virtual time.
//!
//! Each VM has its own tables and schedules; messages take a millisecond.

use spanfold_decide::{
    CatchUpSchedule, ContactSource, EndpointEntry, EndpointKey, FleetTable, PeerTable, PollDuty,
    PropagationPlan, RelayGroup, StoreContact, StorePosition, VmEntry, VmKey,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

const MESSAGE_MILLIS: u64 = 1;
const CALL_MILLIS: u64 = 4;
const LONG_POLL_MILLIS: u64 = 900;
const CALL_TIMEOUT_MILLIS: u64 = 500;
const CHANGE_BATCH_MILLIS: u64 = 150;
const HEARTBEAT_MILLIS: u64 = 300;
/// Renewals of leases: of the first VMs by name, of the others, after a failed one.
const CANDIDATES: usize = 4;
const SHORT_RENEWAL_MILLIS: u64 = 700;
const LONG_RENEWAL_MILLIS: u64 = 2_800;
const RENEWAL_RETRY_MILLIS: u64 = 800;
const LEASE_TIMEOUT_MILLIS: u64 = 700;
const PROBE_MILLIS: u64 = 10;
/// Endpoints that are listed when the day begins.
pub(crate) const ENDPOINTS: [&str; 2] = ["i-1", "i-2"];
/// The days begin once the VMs have heard one another.
pub(crate) const START_MILLIS: u64 = 5_000;

/// How the store answers a VM's calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreState {
    Open,
    Silent,
    Busy,
    /// Refuses calls and leaves those that wait unanswered.
    Down,
    /// Answers after so many milliseconds.
    Slow(u64),
    /// Leaves each second call unanswered.
    Lossy,
}

/// A call to the store: VM, its process and the number of its calls.
type CallId = (usize, u32, usize);

/// A step of the simulation.
#[derive(Clone, Debug)]
pub(crate) enum Event {
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
        /// Age of the sender's last failed call.
        failed_micros: Option<u64>,
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
    /// The entry of an endpoint is removed.
    Remove(&'static str),
    /// The entry of an endpoint is written.
    Relist(&'static str),
    /// A VM renews its lease; the number identifies its process.
    Renew(usize, u32),
    /// A renewal ends: whether it was answered.
    Renewed(usize, u32, bool),
    /// Each VM looks for an endpoint for a request.
    Probe,
    SetStore(usize, StoreState),
    Kill(usize),
    Restart(usize),
    Freeze(usize, u64),
}

pub(crate) struct SimVm {
    pub(crate) table: PeerTable,
    contact: StoreContact,
    /// The endpoints.
    pub(crate) fleet: FleetTable,
    renewals: usize,
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

pub(crate) struct Simulation {
    pub(crate) now: u64,
    serial: u64,
    queue: BTreeMap<(u64, u64), Event>,
    entries: Vec<VmEntry>,
    pub(crate) numbers: HashMap<SocketAddr, usize>,
    pub(crate) vms: Vec<SimVm>,
    revision: u64,
    /// Long polls that the store has not answered.
    waiting: Vec<CallId>,
    /// When each revision was written, and when each VM had it.
    written_at: Vec<u64>,
    applied_at: Vec<Vec<Option<u64>>>,
    /// Changes of endpoints' entries by revision: whether it is written or removed.
    entry_changes: HashMap<u64, (&'static str, bool)>,
    /// For each VM and endpoint, the probes that could have been sent there, and those that could not.
    pub(crate) sent_at: Vec<HashMap<&'static str, Vec<u64>>>,
    pub(crate) denied_at: Vec<HashMap<&'static str, Vec<u64>>>,
}

fn endpoint(id: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        born_millis: None,
        service: "llm".to_owned(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        data_centre: "dc-a".to_owned(),
        version: "v1".into(),
        slots: 8,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::new().into(),
    }
}

pub(crate) fn at(millis: u64) -> Moment {
    Moment(0).after_millis(millis)
}

fn position(revision: u64) -> StorePosition {
    StorePosition { era: 0, revision }
}

impl Simulation {
    /// Starts `count` VMs, ten of them with wide links, that have heard one another.
    pub(crate) fn new(count: usize) -> Self {
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
            entry_changes: HashMap::new(),
            sent_at: vec![HashMap::new(); count],
            denied_at: vec![HashMap::new(); count],
        };
        for vm in 0..count {
            simulation.push(vm as u64 % HEARTBEAT_MILLIS, Event::Digest(vm));
            simulation.push(50 + vm as u64 % 100, Event::Step(vm, 0));
            let interval = if vm < CANDIDATES { SHORT_RENEWAL_MILLIS } else { LONG_RENEWAL_MILLIS };
            simulation.push(50 + 370 * vm as u64 % interval, Event::Renew(vm, 0));
        }
        simulation.push(START_MILLIS, Event::Probe);
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    pub(crate) fn write_at(&mut self, millis: u64) {
        self.push(START_MILLIS + millis, Event::Write);
    }

    pub(crate) fn at(&mut self, millis: u64, event: Event) {
        self.push(START_MILLIS + millis, event);
    }

    pub(crate) fn run(&mut self, millis: u64) {
        let end = START_MILLIS + millis;
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), event) = entry.remove_entry();
            self.now = now;
            self.handle(event);
        }
    }

    /// Returns the longest time until a VM that runs had a change, for the changes of the day.
    pub(crate) fn longest_delay(&self) -> u64 {
        let delays = (2..self.written_at.len()).flat_map(|revision| {
            let running = self.vms.iter().enumerate().filter(|(_, vm)| vm.is_alive);
            running.map(move |(number, _)| {
                let applied_at = self.applied_at[number].get(revision).copied().flatten().unwrap_or(u64::MAX);
                applied_at.saturating_sub(self.written_at[revision])
            })
        });
        delays.max().unwrap_or(0)
    }

    pub(crate) fn calls(&self) -> usize {
        self.vms.iter().map(|vm| vm.calls).sum()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Write => self.write(),
            Event::Remove(id) => {
                self.entry_changes.insert(self.revision + 1, (id, false));
                self.write();
            }
            Event::Relist(id) => {
                self.entry_changes.insert(self.revision + 1, (id, true));
                self.write();
            }
            Event::Renew(vm, process) => self.renew(vm, process),
            Event::Renewed(vm, process, is_answered) => self.end_renewal(vm, process, is_answered),
            Event::Probe => self.probe(),
            Event::SetStore(vm, store) => self.vms[vm].store = store,
            Event::Kill(vm) => self.vms[vm].is_alive = false,
            Event::Freeze(vm, millis) => self.vms[vm].frozen_until = self.now + millis,
            Event::Restart(vm) => self.restart(vm),
            Event::Digest(vm) => self.send_digest(vm),
            Event::Step(vm, process) => self.step(vm, process),
            Event::Update { to, .. } | Event::Request { to, .. } if !self.is_running(to) => {}
            Event::Update { to, from, base, position, group, is_spread, failed_micros } => {
                self.record_told(to, failed_micros);
                self.update(to, from, (base, position), group, is_spread);
            }
            Event::Request { to, from, position } => self.answer_request(to, from, position),
            Event::LongPollEnd { call, revision } => self.end_long_poll(call, revision),
            Event::Answer { call, revision, is_regular } => self.end_call(call, revision, is_regular),
        }
    }

    fn write(&mut self) {
        self.revision += 1;
        self.written_at.push(self.now);
        // A call that waits at a store that has fallen silent gets no answer, and one that is refused
        // from now on was accepted before.
        for call in std::mem::take(&mut self.waiting) {
            if matches!(self.vms[call.0].store, StoreState::Silent | StoreState::Down) {
                self.waiting.push(call);
            } else {
                self.answer(call, Some(self.revision), true);
            }
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
        self.push(self.now + 1, Event::Renew(vm, process));
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
        let ages = self.vms[vm].contact.ages(&[ContactSource::Own], at(self.now));
        for other in 0..self.vms.len() {
            if other != vm && self.is_running(other) {
                let table = &mut self.vms[other].table;
                if table.record_digest(key, incarnation, sequence, at(self.now + MESSAGE_MILLIS)) {
                    table.record_position(key, own);
                    let moment = |age: u64| Moment(at(self.now + MESSAGE_MILLIS).0 - age);
                    let vm = &mut self.vms[other];
                    if let Some(age) = ages.failed_micros {
                        vm.record_failure(ContactSource::Local, moment(age), self.now);
                    }
                    if let Some(age) = ages.answered_micros {
                        vm.record_answer(ContactSource::Local, moment(age), self.now);
                    }
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
        if let Some(silence) = state.contact.silence(now) {
            state.fleet.hold_grace(silence, now);
        }
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
            StoreState::Busy | StoreState::Down => self.answer(call, None, is_regular),
            StoreState::Silent => {
                let at = self.now + long_poll + CALL_TIMEOUT_MILLIS;
                self.push(at, Event::Answer { call, revision: None, is_regular });
            }
            StoreState::Lossy if state.calls.is_multiple_of(2) => {
                let at = self.now + long_poll + CALL_TIMEOUT_MILLIS;
                self.push(at, Event::Answer { call, revision: None, is_regular });
            }
            StoreState::Slow(millis) => {
                let (delay, is_late) = (millis.min(CALL_TIMEOUT_MILLIS), millis > CALL_TIMEOUT_MILLIS);
                let revision = Some(self.revision).filter(|_| !is_late);
                self.push(self.now + long_poll + delay, Event::Answer { call, revision, is_regular });
            }
            StoreState::Open | StoreState::Lossy if !waits || from < self.revision => {
                self.answer(call, Some(self.revision), is_regular);
            }
            StoreState::Open | StoreState::Lossy => {
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
        let is_answered = !matches!(self.vms[call.0].store, StoreState::Silent | StoreState::Down);
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
            self.vms[vm].record_failure(ContactSource::Own, now, self.now);
            return;
        };
        self.vms[vm].record_answer(ContactSource::Own, now, self.now);
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
            let failed_micros = self.vms[vm].contact.failure_age(at(self.now));
            let update =
                Event::Update { to, from: vm, base, position, group, is_spread: true, failed_micros };
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
                let failed_micros = self.vms[from].contact.failure_age(at(self.now));
                let update =
                    Event::Update { to, from, base, position, group: None, is_spread, failed_micros };
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
            let failed_micros = self.vms[vm].contact.failure_age(at(self.now));
            let update = Event::Update {
                to: from,
                from: vm,
                base,
                position,
                group: None,
                is_spread: false,
                failed_micros,
            };
            self.push(self.now + MESSAGE_MILLIS, update);
        }
    }

    fn apply(&mut self, vm: usize, position: u64) {
        let from = self.vms[vm].position;
        for revision in from + 1..=position {
            if let Some((id, is_written)) = self.entry_changes.get(&revision) {
                self.vms[vm].apply_entry_change(id, *is_written, self.now);
            }
        }
        self.vms[vm].position = from.max(position);
        let applied_at = &mut self.applied_at[vm];
        while applied_at.len() <= position as usize {
            applied_at.push(Some(self.now));
        }
    }

    /// Records what an update says of the store before its changes.
    fn record_told(&mut self, vm: usize, failed_micros: Option<u64>) {
        let now = at(self.now);
        if let Some(age) = failed_micros {
            self.vms[vm].record_failure(ContactSource::Indirect, Moment(now.0 - age), self.now);
        }
        self.vms[vm].record_answer(ContactSource::Indirect, now, self.now);
    }

    fn renew(&mut self, vm: usize, process: u32) {
        let state = &mut self.vms[vm];
        if state.process != process || !state.is_alive {
            return;
        }
        state.renewals += 1;
        let (delay, is_answered) = match state.store {
            StoreState::Busy | StoreState::Down => (CALL_MILLIS, false),
            StoreState::Silent => (LEASE_TIMEOUT_MILLIS, false),
            StoreState::Lossy if state.renewals.is_multiple_of(2) => (LEASE_TIMEOUT_MILLIS, false),
            StoreState::Slow(millis) if millis > LEASE_TIMEOUT_MILLIS => (LEASE_TIMEOUT_MILLIS, false),
            StoreState::Slow(millis) => (millis, true),
            StoreState::Open | StoreState::Lossy => (CALL_MILLIS, true),
        };
        self.push(self.now + delay, Event::Renewed(vm, process, is_answered));
    }

    fn end_renewal(&mut self, vm: usize, process: u32, is_answered: bool) {
        if !self.is_running(vm) {
            let thawed_at = self.vms[vm].frozen_until.max(self.now + 1);
            self.push(thawed_at, Event::Renewed(vm, process, is_answered));
            return;
        }
        if self.vms[vm].process != process {
            return;
        }
        let delay = if is_answered {
            self.vms[vm].record_answer(ContactSource::Own, at(self.now), self.now);
            if vm < CANDIDATES { SHORT_RENEWAL_MILLIS } else { LONG_RENEWAL_MILLIS }
        } else {
            self.vms[vm].record_failure(ContactSource::Own, at(self.now), self.now);
            RENEWAL_RETRY_MILLIS
        };
        self.push(self.now + delay, Event::Renew(vm, process));
    }

    fn probe(&mut self) {
        for number in 0..self.vms.len() {
            if !self.is_running(number) {
                continue;
            }
            let vm = &mut self.vms[number];
            vm.fleet.sweep(at(self.now));
            for id in ENDPOINTS {
                let row = vm.fleet.row(EndpointKey::of(id));
                let takes_work =
                    row.is_some_and(|row| row.takes_work(at(self.now)) && !row.is_ejected(at(self.now)));
                let record = if takes_work { &mut self.sent_at } else { &mut self.denied_at };
                record[number].entry(id).or_default().push(self.now);
            }
        }
        self.push(self.now + PROBE_MILLIS, Event::Probe);
    }
}

impl SimVm {
    fn new(number: usize, entries: &[VmEntry], now: u64) -> Self {
        let mut fleet = FleetTable::default();
        for id in ENDPOINTS {
            fleet.apply_entry(endpoint(id), at(now));
        }
        let mut table = PeerTable::new(entries[number].clone());
        for entry in entries {
            table.list_at(entry.clone(), at(now));
        }
        Self {
            table,
            contact: StoreContact::default(),
            fleet,
            renewals: 0,
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

    fn record_answer(&mut self, source: ContactSource, answered_at: Moment, now: u64) {
        let change = self.contact.record_answer(source, answered_at);
        self.fleet.apply_contact_change(change, at(now));
    }

    fn record_failure(&mut self, source: ContactSource, failed_at: Moment, now: u64) {
        let change = self.contact.record_failure(source, failed_at);
        self.fleet.apply_contact_change(change, at(now));
    }

    fn apply_entry_change(&mut self, id: &str, is_written: bool, now: u64) {
        if is_written {
            self.fleet.apply_entry(endpoint(id), at(now));
        } else {
            let grace_deadline = self.contact.grace_deadline(at(now)).unwrap_or(Moment(0));
            self.fleet.mark_entry_missing(id, grace_deadline);
        }
    }
}
