//! What the tasks of one gateway share.

use crate::PeerTable;
use crate::clock::GatewayClock;
use crate::endpoints::answer_handler::ObservedAnswer;
use crate::endpoints::end_watch::EndWatch;
use crate::endpoints::endpoint_pool::EndpointPool;
use crate::memory::MemoryDesk;
use crate::operators::gateway_metrics::GatewayMetrics;
use crate::peers::digest_relay::DigestRelay;
use crate::peers::peer_message::{PeerKey, PeerMessage, PeerStamp};
use crate::peers::placed_note::PlacedNote;
use crate::peers::relayed_news::RelayedNews;
use crate::peers::waiting_notes::WaitingNotes;
use crate::quarantine::quarantine_desk::QuarantineDesk;
use crate::requests::share_desk::ShareDesk;
use crate::store::CopyDesk;
use crate::store::store_era::StoreEra;
use crate::{
    BudgetTerms, EndpointRow, FleetTable, IdentityKey, ListMembership, PlacementChoice, PlacementRequest,
    PublishedVersion, PublishedWeights, QuarantineMessage, RequiredWeights, RetryBudget, RolloutTable,
    RouteTable, SendReport, StorePosition, VmEntry, VmKey, WeightTarget, WireDialect, place, short_digest,
};
use spanfold_declare::GatewaySettings;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Entries that lapsed while the store was in trouble return within two seconds after it (the users'
/// letter); until this long after the last failed call, in milliseconds, they are held.
const RETURN_MILLIS: u64 = 2_300;
/// A failed call counts as trouble for this long, in milliseconds: where only some calls fail, this
/// VM's next failure may come late.
const TROUBLE_MILLIS: u64 = 3_500;
/// The shortest hold, in milliseconds: below the time for which leaving endpoints may get work.
const RETURN_LEAST_MILLIS: u64 = 1_500;
/// The process's start in its own count of time, in microseconds. What others tell of lies before it at times, and
/// must have a place there: with a count from zero, it would be taken for as late as the start. A day is far more than
/// any age that matters.
const START_MICROS: u64 = 86_400_000_000;

/// How a send went, and which VM says so.
pub(crate) type TellerReport = (VmKey, SendReport);

/// State that the tasks of one gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: GatewaySettings,
    pub dialect: WireDialect,
    pub clock: GatewayClock,
    /// What the clock showed at the process's start.
    origin: Duration,
    /// Wakes what waits until a moment, when the VM has been suspended.
    pub jumped: Notify,
    /// Whether this VM and the others know the same list of VMs.
    list_standing: Mutex<ListMembership>,
    /// Until when requests wait for the store to be asked, after a suspension; zero once that is done.
    pub stale_until: watch::Sender<Moment>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    table: Mutex<FleetTable>,
    budget: Mutex<RetryBudget>,
    /// What was named for each model, by the digest of its name: other VMs tell of models too that this one
    /// has not read of in the store.
    weights: RwLock<BTreeMap<u64, PublishedWeights>>,
    peers: Mutex<PeerTable>,
    /// The engines' clock in milliseconds, and when it was told.
    engine_clock: Mutex<Option<(u64, Moment)>>,
    pub pool: EndpointPool,
    pub metrics: GatewayMetrics,
    /// Wakes the task that tells peers of new loads.
    pub loads_changed: Notify,
    /// Wakes the task that tells peers what stores of kept cache hold.
    pub kept_changed: Notify,
    /// Placements that peers have not been told.
    pub near_notes: WaitingNotes<PlacedNote>,
    /// Placements that other data centres have not been told: those of this VM and of the ones beside it.
    pub far_notes: WaitingNotes<PlacedNote>,
    /// Placements of other data centres that the VMs of this one have not been told, while this VM leads.
    pub passed_notes: WaitingNotes<PlacedNote>,
    /// Digests of the VMs of this data centre that wait to be passed on, while this VM leads.
    pub relay: DigestRelay,
    /// How sends went that the VMs of this data centre have not been told.
    pub near_reports: WaitingNotes<TellerReport>,
    /// The same for other data centres: of endpoints of this one, by its VMs.
    pub far_reports: WaitingNotes<TellerReport>,
    /// The same of other data centres, while this VM leads.
    pub passed_reports: WaitingNotes<TellerReport>,
    /// Requests under which endpoints end.
    pub desk: Mutex<QuarantineDesk>,
    /// This VM's part of what endpoints take that take few requests, and who waits for it.
    pub shares: ShareDesk,
    /// What is held for callers that send or read slowly.
    pub memory: MemoryDesk,
    /// Which news of others this VM has passed on.
    pub relayed: RelayedNews,
    /// Moves of services to other versions.
    pub rollouts: Mutex<RolloutTable>,
    /// What endpoints stated in answers that the VMs of this data centre have not received.
    pub near_answers: WaitingNotes<ObservedAnswer>,
    /// The same for other data centres.
    pub far_answers: WaitingNotes<ObservedAnswer>,
    /// The same of other data centres, while this VM leads.
    pub passed_answers: WaitingNotes<ObservedAnswer>,
    /// Wakes the task that judges requests.
    pub evidence_came: Notify,
    /// Wakes the task that writes holds into the store.
    pub holds_changed: Notify,
    /// What the VMs of this data centre have not been told of such requests.
    pub near_cases: WaitingNotes<QuarantineMessage>,
    /// The same for other data centres.
    pub far_cases: WaitingNotes<QuarantineMessage>,
    /// The same of other data centres, while this VM leads.
    pub passed_cases: WaitingNotes<QuarantineMessage>,
    /// Sends that broke, until it is known whether their endpoints ended.
    pub ends: EndWatch,
    /// Copies of all endpoints that this VM hands out.
    pub copies: CopyDesk,
    /// All changes of the store up to here are applied; the default before the first listing.
    applied: Mutex<StorePosition>,
    /// Which era of the store is known.
    pub era: StoreEra,
    /// Authenticates what VMs tell one another; none until the store told it.
    peer_key: RwLock<Option<PeerKey>>,
    /// Counts the messages to other VMs.
    pub sequence: AtomicU64,
    pub stopping: watch::Sender<bool>,
    /// When a call to the store last failed, in microseconds; zero if none has.
    store_trouble: AtomicU64,
    pub open_requests: AtomicU64,
    /// Prompts that wait here because no engine has room.
    pub waiting_prompts: AtomicU64,
    pub caller_connections: AtomicU64,
    /// Incarnation of this process, never zero.
    pub incarnation: u64,
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings, dialect: WireDialect, clock: GatewayClock) -> Self {
        let terms = BudgetTerms {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window_millis: settings.retry_window_s * 1_000,
        };
        let memory = MemoryDesk::new(settings.memory_mb);
        let incarnation = rand::random::<u64>() | 1;
        let peers = PeerTable::new(VmEntry {
            name: settings.name.clone(),
            address: settings.peers,
            data_centre: settings.data_centre.clone(),
            incarnation,
            link_mbps: settings.link_mbps as u32,
        });
        let mut table = FleetTable::default();
        table.set_regions(settings.regions.clone());
        Self {
            settings,
            dialect,
            origin: clock.read(),
            clock,
            jumped: Notify::new(),
            list_standing: Mutex::default(),
            stale_until: watch::channel(Moment(0)).0,
            routes: RwLock::default(),
            table: Mutex::new(table),
            budget: Mutex::new(RetryBudget::new(terms)),
            weights: RwLock::default(),
            peers: Mutex::new(peers),
            engine_clock: Mutex::default(),
            pool: EndpointPool::default(),
            metrics: GatewayMetrics::new(),
            loads_changed: Notify::new(),
            kept_changed: Notify::new(),
            near_notes: WaitingNotes::default(),
            far_notes: WaitingNotes::default(),
            passed_notes: WaitingNotes::default(),
            relay: DigestRelay::default(),
            near_reports: WaitingNotes::default(),
            far_reports: WaitingNotes::default(),
            passed_reports: WaitingNotes::default(),
            desk: Mutex::default(),
            shares: ShareDesk::default(),
            memory,
            relayed: RelayedNews::default(),
            rollouts: Mutex::default(),
            near_answers: WaitingNotes::default(),
            far_answers: WaitingNotes::default(),
            passed_answers: WaitingNotes::default(),
            evidence_came: Notify::new(),
            holds_changed: Notify::new(),
            near_cases: WaitingNotes::default(),
            far_cases: WaitingNotes::default(),
            passed_cases: WaitingNotes::default(),
            ends: EndWatch::default(),
            copies: CopyDesk::default(),
            applied: Mutex::default(),
            era: StoreEra::default(),
            peer_key: RwLock::default(),
            sequence: AtomicU64::new(0),
            stopping: watch::channel(false).0,
            store_trouble: AtomicU64::new(0),
            open_requests: AtomicU64::new(0),
            waiting_prompts: AtomicU64::new(0),
            caller_connections: AtomicU64::new(0),
            incarnation,
        }
    }

    /// The time, in this process's count, suspensions of the VM included.
    pub(crate) fn now(&self) -> Moment {
        Moment(START_MICROS + self.clock.read().saturating_sub(self.origin).as_micros() as u64)
    }

    /// Notes that a call to the store failed at `at`, here or at another VM: entries may lapse although
    /// their endpoints live.
    pub(crate) fn note_store_trouble(&self, at: Moment) {
        self.store_trouble.fetch_max(at.0, Ordering::Relaxed);
        self.table().extend_grace(self.now(), at.after_millis(RETURN_MILLIS));
    }

    /// How long ago a call to the store failed last, in microseconds, while it counts as trouble.
    pub(crate) fn store_trouble_age(&self) -> Option<u64> {
        let (trouble, now) = (Moment(self.store_trouble.load(Ordering::Relaxed)), self.now());
        let counts = trouble.0 != 0 && now < trouble.after_millis(TROUBLE_MILLIS);
        counts.then(|| now.micros_since(trouble))
    }

    /// Until when an entry that vanishes now is held: past if the store was well for a while.
    pub(crate) fn hold_until(&self) -> Moment {
        let trouble = Moment(self.store_trouble.load(Ordering::Relaxed));
        let now = self.now();
        if trouble.0 == 0 || now >= trouble.after_millis(TROUBLE_MILLIS) {
            return Moment(0);
        }
        trouble.after_millis(RETURN_MILLIS).max(now.after_millis(RETURN_LEAST_MILLIS))
    }

    /// The configuration in force, if one is known.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub(crate) fn set_routes(&self, table: RouteTable) -> bool {
        let mut held = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if held.as_ref().is_some_and(|standing| standing.config().version >= table.config().version) {
            return false;
        }
        self.table().set_services(table.config());
        *held = Some(Arc::new(table));
        true
    }

    /// All endpoints. Never held across a wait.
    pub(crate) fn table(&self) -> MutexGuard<'_, FleetTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The other VMs. Never held across a wait.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The weight version that each model's engines should have, by the digest of the model's name.
    pub(crate) fn weights(&self) -> BTreeMap<u64, u64> {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.iter().filter_map(|(model, named)| Some((*model, named.newest()?))).collect()
    }

    /// Takes the engines' clock from an answer that told it.
    pub(crate) fn set_engine_clock(&self, clock_millis: Option<u64>) {
        if let Some(clock) = clock_millis {
            let mut known = self.engine_clock.lock().unwrap_or_else(PoisonError::into_inner);
            *known = Some((clock, self.now()));
        }
    }

    /// The engines' clock at `moment`, in milliseconds, if it is known.
    pub(crate) fn engine_clock_at(&self, moment: Moment) -> Option<u64> {
        let known = *self.engine_clock.lock().unwrap_or_else(PoisonError::into_inner);
        known.map(|(clock, at)| clock + moment.micros_since(at) / MICROS_PER_MILLI)
    }

    /// Notes a placement, so that peers are told.
    pub(crate) fn note_placed(&self, note: PlacedNote) {
        if note.has_parts() {
            self.near_notes.push(note.clone());
            self.far_notes.push(note);
        }
        self.loads_changed.notify_one();
    }

    /// Notes how a send went, so that peers are told if it matters to them.
    pub(crate) fn record_send(&self, report: SendReport) {
        if self.table().should_propagate(&report, self.now()) {
            let report = (VmKey::of(&self.settings.name), report);
            self.near_reports.push(report);
            self.report_far(report);
        }
    }

    /// Notes how a send of a VM of this data centre went for other data centres: those in front of an endpoint know
    /// it. Paces stay here: few prompts go far, and there are many samples.
    pub(crate) fn report_far(&self, (teller, report): TellerReport) {
        let report = SendReport { pace: None, ..report };
        let is_told = {
            let table = self.table();
            let is_local = |row: &EndpointRow| row.entry.data_centre == self.settings.data_centre;
            table.row(report.key).is_some_and(is_local) && table.should_propagate(&report, self.now())
        };
        if is_told {
            self.far_reports.push((teller, report));
        }
    }

    /// Takes the key that authenticates what VMs tell one another.
    pub(crate) fn set_peer_key(&self, key: PeerKey) {
        *self.peer_key.write().unwrap_or_else(PoisonError::into_inner) = Some(key);
    }

    /// The key that authenticates what VMs tell one another, if it is known.
    pub(crate) fn peer_key(&self) -> Option<PeerKey> {
        *self.peer_key.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// The key under which requests are told apart; none until the deployment's secret is known.
    pub(crate) fn identity_key(&self) -> Option<IdentityKey> {
        self.peer_key().as_ref().map(IdentityKey::derive)
    }

    /// A message to other VMs in its form on the wire; none while the key is not known.
    pub(crate) fn seal(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        message.seal(&self.peer_key()?)
    }

    /// Reads a message of another VM; none if it is not authentic.
    pub(crate) fn unseal(&self, bytes: &[u8]) -> Option<PeerMessage> {
        PeerMessage::unseal(&self.peer_key()?, bytes)
    }

    /// Who sends a message, and which of its messages it is.
    pub(crate) fn next_stamp(&self) -> PeerStamp {
        PeerStamp {
            vm: VmKey::of(&self.settings.name),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// The versions that a request to `model` may start on, if one was named.
    pub(crate) fn required_weights(&self, model: &str) -> Option<RequiredWeights> {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.get(&short_digest(model))?.wanted(self.settings.version_ms)
    }

    /// What was named for each model, by the digest of its name.
    pub(crate) fn namings(&self) -> BTreeMap<u64, PublishedWeights> {
        self.weights.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// For peers: digest of each model, each version named, and microseconds since then.
    pub(crate) fn named_ages(&self) -> Vec<(u64, u64, u64)> {
        let now = self.now();
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        let rows = weights.iter().flat_map(|(model, named)| {
            let ages = named.versions().iter().map(|row| (row.version, now.micros_since(row.since)));
            ages.map(|(version, age)| (*model, version, age))
        });
        rows.collect()
    }

    /// Takes from a peer which versions have been named, and for how long.
    ///
    /// A version that the store has not told here counts too: a listing holds each model's newest one only.
    pub(crate) fn apply_named_ages(&self, ages: &[(u64, u64, u64)]) {
        let now = self.now();
        for (model, version, age) in ages {
            let since = Moment(now.0.saturating_sub(*age));
            if self.note_named(*model, PublishedVersion { version: *version, since }, now) {
                log::info!(model, version, age_ms = age / MICROS_PER_MILLI; "weights.told");
            }
        }
    }

    /// Takes a version that the store has told; returns whether that is news.
    pub(crate) fn name_weights(&self, target: &WeightTarget) -> bool {
        let now = self.now();
        let named = PublishedVersion { version: target.version, since: now };
        self.note_named(short_digest(&target.model), named, now)
    }

    fn note_named(&self, model: u64, named: PublishedVersion, now: Moment) -> bool {
        let mut weights = self.weights.write().unwrap_or_else(PoisonError::into_inner);
        weights.entry(model).or_default().note(named, self.settings.version_ms, now)
    }

    /// Data centres that seem to be cut off: their VMs are silent, and a send to them broke.
    ///
    /// Silence alone is not enough: few VMs may all be frozen while the endpoints beside them serve.
    pub(crate) fn cut_data_centres(&self) -> Vec<String> {
        let now = self.now();
        // Asked for each choice: most of the time no send has broken, and no VM has to be looked at.
        if !self.table().is_any_failing(now) {
            return Vec::new();
        }
        let silent: Vec<String> =
            self.peers().unreachable_data_centres(now).into_iter().map(str::to_owned).collect();
        if silent.is_empty() {
            return silent;
        }
        let table = self.table();
        silent.into_iter().filter(|data_centre| table.is_failing(data_centre, now)).collect()
    }

    /// Chooses an endpoint by what is known now.
    pub(crate) fn place(&self, ask: &PlacementRequest<'_>) -> Option<PlacementChoice> {
        place(&self.table(), ask, self.now())
    }

    /// Whether this VM and the others know the same list of VMs. Never held across a wait.
    pub(crate) fn list_standing(&self) -> MutexGuard<'_, ListMembership> {
        self.list_standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_request(&self, service: &str) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).count_request(service, self.now());
    }

    /// Spends one second send for `service`, if this VM's part of the budget allows it.
    pub(crate) fn try_spend_repeat(&self, service: &str) -> bool {
        let vms = self.peers().listed_count();
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).try_spend(service, vms, self.now())
    }

    pub(crate) fn is_stopping(&self) -> bool {
        *self.stopping.borrow()
    }

    /// How far the store's changes are applied here; the default before the first listing.
    pub(crate) fn applied_position(&self) -> StorePosition {
        *self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that all changes of the store up to `position` are applied.
    pub(crate) fn set_applied_position(&self, position: StorePosition) {
        *self.applied.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    /// Whether this VM can serve: it knows a configuration and at least one endpoint.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes().is_some() && self.table().rows().next().is_some()
    }
}

/// Counts one thing of the gateway, such as an open request, until it is dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    gateway: Arc<Gateway>,
    counter: fn(&Gateway) -> &AtomicU64,
}

impl CountGuard {
    pub(crate) fn new(gateway: &Arc<Gateway>, counter: fn(&Gateway) -> &AtomicU64) -> Self {
        counter(gateway).fetch_add(1, Ordering::SeqCst);
        Self { gateway: Arc::clone(gateway), counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.gateway).fetch_sub(1, Ordering::SeqCst);
    }
}
