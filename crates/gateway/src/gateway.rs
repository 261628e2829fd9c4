//! State that the tasks of one gateway share, and operations on it.

use crate::PeerTable;
use crate::clock::GatewayClock;
use crate::connections::{CALLER_LIFETIME_MILLIS, ConnectionLimiter, connection_limit};
use crate::endpoints::answer_handler::ObservedAnswer;
use crate::endpoints::crash_detector::CrashDetector;
use crate::endpoints::endpoint_pool::EndpointPool;
use crate::endpoints::path_probe::PathWatch;
use crate::forward::forward_state::ForwardState;
use crate::memory::MemoryLimiter;
use crate::operators::gateway_metrics::GatewayMetrics;
use crate::operators::operator_port::OperatorLimiters;
use crate::peers::digest_relay::DigestRelay;
use crate::peers::gossip::LinkPaces;
use crate::peers::peer_message::{PeerKey, PeerMessage, PeerStamp};
use crate::peers::pending_messages::PendingMessages;
use crate::peers::placement_message::PlacementMessage;
use crate::peers::relayed_updates::RelayedUpdates;
use crate::quarantine::quarantine_tracker::QuarantineTracker;
use crate::requests::prompt_waits::PromptWaits;
use crate::requests::quota_queue::QuotaQueue;
use crate::requests::refusal_log::RefusalLog;
use crate::store::SnapshotCache;
use crate::store::store_era::StoreEra;
use crate::streams::stream_tracker::StreamTracker;
use crate::{
    AnswerTimes, AvoidanceCause, AvoidanceChange, AvoidanceReport, BudgetTerms, EndpointRow, FleetTable,
    IdentityKey, ListMembership, LoadSpread, PathState, PlacementChoice, PlacementRequest, PublicationMark,
    PublicationSource, PublishedVersion, PublishedWeights, RequiredWeights, RetryBudget, RolloutTable,
    RouteTable, SendReport, StopSchedule, StoreContact, StorePosition, SuspectMessage, UnstoredWeights,
    VmEntry, VmKey, WeightTarget, WireDialect, place, short_digest,
};
use spanfold_declare::GatewaySettings;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// Moment of the process's start, in microseconds: one day, which is far above any age that matters.
///
/// Other VMs report moments before the start, too. If moments counted from zero, these would be clamped to
/// the start.
const START_OFFSET_MICROS: u64 = 86_400_000_000;

/// Report of a send, with the VM that reported it.
pub(crate) type ReportedSend = (VmKey, SendReport);

/// State that the tasks of one gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub settings: GatewaySettings,
    pub dialect: WireDialect,
    pub clock: GatewayClock,
    /// Reading of the clock at the process's start.
    origin: Duration,
    /// Wakes tasks that wait until a moment, after a suspension of the VM.
    pub clock_jumped: Notify,
    /// Whether this VM and the others have the same list of VMs.
    list_membership: Mutex<ListMembership>,
    /// Deadline until which requests wait for a query of the store after a suspension; zero once it is done.
    pub stale_until: watch::Sender<Moment>,
    routes: RwLock<Option<Arc<RouteTable>>>,
    table: Mutex<FleetTable>,
    /// Uneven time of services, and the requests delayed in it, until they are reported.
    load_spread: Mutex<LoadSpread>,
    budget: Mutex<RetryBudget>,
    /// Published versions by the digest of the model's name.
    ///
    /// Other VMs also report models that this one has not read from the store.
    weights: RwLock<BTreeMap<u64, PublishedWeights>>,
    peers: Mutex<PeerTable>,
    /// The engines' clock in milliseconds, and when it was received.
    engine_clock: Mutex<Option<(u64, Moment)>>,
    pub pool: EndpointPool,
    pub metrics: GatewayMetrics,
    /// Wakes the task that sends changed loads to peers.
    pub loads_changed: Notify,
    /// Wakes the task that sends changes of cache indexes to peers.
    pub cache_index_changed: Notify,
    /// Placements to send to the VMs of this data centre.
    pub local_placements: PendingMessages<PlacementMessage>,
    /// Placements of the VMs of this data centre, to send to other data centres.
    pub remote_placements: PendingMessages<PlacementMessage>,
    /// Placements of other data centres, to relay locally while this VM leads.
    pub relayed_placements: PendingMessages<PlacementMessage>,
    /// Digests of the VMs of this data centre, to relay while this VM leads.
    pub relay: DigestRelay,
    /// Reports of sends, to send to the VMs of this data centre.
    pub local_send_reports: PendingMessages<ReportedSend>,
    /// Reports of sends, to send to other data centres.
    ///
    /// They are by VMs of this data centre, about its own endpoints.
    pub remote_send_reports: PendingMessages<ReportedSend>,
    /// Reports of other data centres, to relay locally while this VM leads.
    pub relayed_send_reports: PendingMessages<ReportedSend>,
    /// Requests and segments that crash endpoints.
    pub quarantine_tracker: Mutex<QuarantineTracker>,
    /// This VM's share of endpoints that take few requests, and its queue.
    pub quota_queue: QuotaQueue,
    /// Prompts that wait for engine memory in order.
    pub prompt_waits: PromptWaits,
    /// Bytes buffered for callers that send or read slowly.
    pub memory: MemoryLimiter,
    /// Messages of other VMs that this VM has relayed.
    pub relay_history: RelayedUpdates,
    /// Paces of messages to other VMs on this VM's link.
    pub link_paces: LinkPaces,
    /// Rollouts of services to other versions.
    pub rollouts: Mutex<RolloutTable>,
    /// Statements of endpoints in answers, to send to the VMs of this data centre.
    pub local_answers: PendingMessages<ObservedAnswer>,
    /// Statements of endpoints in answers, to send to other data centres.
    pub remote_answers: PendingMessages<ObservedAnswer>,
    /// Statements from other data centres, to relay locally while this VM leads.
    pub relayed_answers: PendingMessages<ObservedAnswer>,
    /// Wakes the task that evaluates evidence against requests.
    pub evidence_received: Notify,
    /// Wakes the task that writes quarantines to the store.
    pub quarantine_changed: Notify,
    /// Wakes the task that claims trials of suspects.
    pub trial_wanted: Notify,
    /// Evidence and quarantines, to send to the VMs of this data centre.
    pub local_quarantine_messages: PendingMessages<SuspectMessage>,
    /// Evidence and quarantines, to send to other data centres.
    pub remote_quarantine_messages: PendingMessages<SuspectMessage>,
    /// Evidence and quarantines of other data centres, to relay locally while this VM leads.
    pub relayed_quarantine_messages: PendingMessages<SuspectMessage>,
    /// Broken sends, until it is determined whether their endpoints crashed.
    pub crash_detector: CrashDetector,
    /// Snapshots of all endpoints that this VM serves to others.
    pub snapshot_cache: SnapshotCache,
    /// Position of the store up to which all changes are applied; the default before the first listing.
    applied: Mutex<StorePosition>,
    /// Newest known era of the store: it counts restorations from a backup.
    pub era: StoreEra,
    /// Key that authenticates messages between VMs; none until it has been read from the store.
    peer_key: RwLock<Option<PeerKey>>,
    /// Sequence number of the last message to other VMs.
    pub sequence: AtomicU64,
    /// Deadlines of the planned stop.
    pub stop: watch::Sender<StopSchedule>,
    /// How long answers take, by route.
    answer_times: Mutex<AnswerTimes>,
    /// Whether this VM has a path to the endpoints.
    pub path: watch::Sender<PathState>,
    /// When the configuration in force took effect, in microseconds; zero before the first one.
    configured_at: AtomicU64,
    /// Observations that determine `path`.
    pub path_watch: PathWatch,
    /// Whether the path's state is set and stays, for tests.
    pub is_path_held: AtomicBool,
    /// Software versions that began streams.
    pub streams: StreamTracker,
    /// Requests that are forwarded to other VMs, and taken from them.
    pub forwards: ForwardState,
    /// Answers and failed calls of the store.
    contact: Mutex<StoreContact>,
    pub open_requests: AtomicU64,
    /// Prompts that wait at this VM because no engine has free capacity.
    pub waiting_prompts: AtomicU64,
    pub caller_connections: AtomicU64,
    /// Connections of callers.
    pub caller_limiter: ConnectionLimiter,
    /// Log lines of requests that are refused by their heads.
    pub refusal_log: RefusalLog,
    /// Connections to the ports for readiness and for metrics.
    pub operator_limiters: OperatorLimiters,
    /// Connections of other VMs.
    pub peer_connections: AtomicU64,
    /// Incarnation of this process: random, never zero.
    pub incarnation: u64,
}

impl Gateway {
    pub(crate) fn new(settings: GatewaySettings, dialect: WireDialect, clock: GatewayClock) -> Self {
        let terms = BudgetTerms {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window_millis: settings.retry_window_s * 1_000,
        };
        let memory = MemoryLimiter::new(settings.memory_mb);
        let caller_limiter = ConnectionLimiter::new(connection_limit(&settings), CALLER_LIFETIME_MILLIS);
        let streams = StreamTracker::new(settings.memory_mb);
        let link_paces = LinkPaces::new(settings.link_mbps);
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
            clock_jumped: Notify::new(),
            list_membership: Mutex::default(),
            stale_until: watch::channel(Moment(0)).0,
            routes: RwLock::default(),
            table: Mutex::new(table),
            load_spread: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(terms)),
            weights: RwLock::default(),
            peers: Mutex::new(peers),
            engine_clock: Mutex::default(),
            pool: EndpointPool::default(),
            metrics: GatewayMetrics::new(),
            loads_changed: Notify::new(),
            cache_index_changed: Notify::new(),
            local_placements: PendingMessages::default(),
            remote_placements: PendingMessages::default(),
            relayed_placements: PendingMessages::default(),
            relay: DigestRelay::default(),
            local_send_reports: PendingMessages::default(),
            remote_send_reports: PendingMessages::default(),
            relayed_send_reports: PendingMessages::default(),
            quarantine_tracker: Mutex::default(),
            quota_queue: QuotaQueue::default(),
            prompt_waits: PromptWaits::default(),
            memory,
            relay_history: RelayedUpdates::default(),
            link_paces,
            rollouts: Mutex::default(),
            local_answers: PendingMessages::default(),
            remote_answers: PendingMessages::default(),
            relayed_answers: PendingMessages::default(),
            evidence_received: Notify::new(),
            quarantine_changed: Notify::new(),
            trial_wanted: Notify::new(),
            local_quarantine_messages: PendingMessages::default(),
            remote_quarantine_messages: PendingMessages::default(),
            relayed_quarantine_messages: PendingMessages::default(),
            crash_detector: CrashDetector::default(),
            snapshot_cache: SnapshotCache::default(),
            applied: Mutex::default(),
            era: StoreEra::default(),
            peer_key: RwLock::default(),
            sequence: AtomicU64::new(0),
            stop: watch::channel(StopSchedule::NONE).0,
            answer_times: Mutex::default(),
            path: watch::channel(PathState::Open).0,
            configured_at: AtomicU64::new(0),
            path_watch: PathWatch::default(),
            is_path_held: AtomicBool::new(false),
            streams,
            forwards: ForwardState::default(),
            contact: Mutex::default(),
            open_requests: AtomicU64::new(0),
            waiting_prompts: AtomicU64::new(0),
            caller_connections: AtomicU64::new(0),
            caller_limiter,
            refusal_log: RefusalLog::default(),
            operator_limiters: OperatorLimiters::default(),
            peer_connections: AtomicU64::new(0),
            incarnation,
        }
    }

    /// Returns the present moment in this process's time, which includes suspensions of the VM.
    pub(crate) fn now(&self) -> Moment {
        Moment(START_OFFSET_MICROS + self.clock.read().saturating_sub(self.origin).as_micros() as u64)
    }

    /// Returns the microseconds since the last failed call of any VM, while that is recent.
    pub(crate) fn store_failure_age(&self) -> Option<u64> {
        self.contact().failure_age(self.now())
    }

    pub(crate) fn contact(&self) -> MutexGuard<'_, StoreContact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force, if there is one.
    pub(crate) fn routes(&self) -> Option<Arc<RouteTable>> {
        self.routes.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Applies a configuration newer than the one in force; returns whether it did.
    pub(crate) fn set_routes(&self, table: RouteTable) -> bool {
        let mut routes = self.routes.write().unwrap_or_else(PoisonError::into_inner);
        if routes.as_ref().is_some_and(|current| current.config().version >= table.config().version) {
            return false;
        }
        let config = table.config();
        self.table().set_services(config);
        self.answer_times().retain(|name| config.routes.iter().any(|route| route.name == name));
        *routes = Some(Arc::new(table));
        self.configured_at.store(self.now().0, Ordering::Relaxed);
        true
    }

    /// Returns the microseconds since the configuration in force took effect, if there is one.
    pub(crate) fn configuration_age_micros(&self) -> Option<u64> {
        let configured_at = self.configured_at.load(Ordering::Relaxed);
        (configured_at != 0).then(|| self.now().micros_since(Moment(configured_at)))
    }

    /// Locks the table of endpoints; the lock is not held across an await.
    pub(crate) fn table(&self) -> MutexGuard<'_, FleetTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the measurement of load imbalance; the lock is not held across an await.
    pub(crate) fn load_spread(&self) -> MutexGuard<'_, LoadSpread> {
        self.load_spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the times that answers take; the lock is not held across an await.
    pub(crate) fn answer_times(&self) -> MutexGuard<'_, AnswerTimes> {
        self.answer_times.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the table of the other VMs; the lock is not held across an await.
    pub(crate) fn peers(&self) -> MutexGuard<'_, PeerTable> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest published version of each model, by the digest of its name.
    pub(crate) fn weights(&self) -> BTreeMap<u64, u64> {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.iter().filter_map(|(model, versions)| Some((*model, versions.newest()?))).collect()
    }

    /// Records the engines' clock from an answer that reports it.
    pub(crate) fn set_engine_clock(&self, clock_millis: Option<u64>) {
        if let Some(clock) = clock_millis {
            let mut engine_clock = self.engine_clock.lock().unwrap_or_else(PoisonError::into_inner);
            *engine_clock = Some((clock, self.now()));
        }
    }

    /// Returns the engines' clock at `moment` in milliseconds, if it has been recorded.
    pub(crate) fn engine_clock_at(&self, moment: Moment) -> Option<u64> {
        let engine_clock = *self.engine_clock.lock().unwrap_or_else(PoisonError::into_inner);
        engine_clock.map(|(clock, received_at)| clock + moment.micros_since(received_at) / MICROS_PER_MILLI)
    }

    /// Records a placement for propagation to other VMs.
    pub(crate) fn record_placement(&self, placement: PlacementMessage) {
        if placement.has_segments() {
            self.local_placements.push(placement.clone());
            self.remote_placements.push(placement);
        }
        self.loads_changed.notify_one();
    }

    /// Records the outcome of a send for propagation, if other VMs need it.
    pub(crate) fn record_send(&self, report: SendReport) {
        if self.table().should_propagate(&report, self.now()) {
            let report = (VmKey::of(&self.settings.name), report);
            self.local_send_reports.push(report);
            self.record_remote_report(report);
        }
    }

    /// Logs the avoidances that began or ended, with the VMs whose reports began them.
    pub(crate) fn log_avoidances(&self, changes: &[AvoidanceChange]) {
        for AvoidanceChange { endpoint, basis } in changes {
            let endpoint = endpoint.as_str();
            let Some(AvoidanceReport { cause, reporters }) = basis else {
                log::info!(endpoint; "endpoint.readmitted");
                continue;
            };
            let cause = match cause {
                AvoidanceCause::Unreachable => "not reached",
                AvoidanceCause::RequestedBackoff => "asked for a backoff",
            };
            let peers = self.peers();
            let [first, second] =
                reporters.map(|vm| peers.name_of(vm).map_or_else(|| format!("{:x}", vm.0), str::to_owned));
            drop(peers);
            log::warn!(endpoint, cause, reporters = format!("{first}, {second}").as_str(); "endpoint.avoided");
        }
    }

    /// Records a local VM's send to a local endpoint for other data centres.
    ///
    /// The VMs beside an endpoint report it to other data centres. Slowdowns are left out: few prompts go to
    /// other data centres, and there are many samples.
    pub(crate) fn record_remote_report(&self, (reporter, report): ReportedSend) {
        let report = SendReport { pace: None, ..report };
        let should_report = {
            let table = self.table();
            let is_local = |row: &EndpointRow| row.entry.data_centre == self.settings.data_centre;
            table.row(report.key).is_some_and(is_local) && table.should_propagate(&report, self.now())
        };
        if should_report {
            self.remote_send_reports.push((reporter, report));
        }
    }

    /// Records the key that authenticates messages between VMs.
    pub(crate) fn set_peer_key(&self, key: PeerKey) {
        *self.peer_key.write().unwrap_or_else(PoisonError::into_inner) = Some(key);
    }

    /// Returns the key that authenticates messages between VMs, if it has been read.
    pub(crate) fn peer_key(&self) -> Option<PeerKey> {
        *self.peer_key.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the key that identifies requests; none until the key of messages between VMs has been read.
    pub(crate) fn identity_key(&self) -> Option<IdentityKey> {
        self.peer_key().as_ref().map(IdentityKey::derive)
    }

    /// Encodes and authenticates a message to other VMs; none without the key.
    pub(crate) fn seal(&self, message: &PeerMessage) -> Option<Vec<u8>> {
        message.seal(&self.peer_key()?)
    }

    /// Decodes a message of another VM; none if it is not authentic.
    pub(crate) fn unseal(&self, bytes: &[u8]) -> Option<PeerMessage> {
        PeerMessage::unseal(&self.peer_key()?, bytes)
    }

    /// Returns the stamp of the next message: this VM, its incarnation and the sequence number.
    pub(crate) fn next_stamp(&self) -> PeerStamp {
        PeerStamp {
            vm: VmKey::of(&self.settings.name),
            incarnation: self.incarnation,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
        }
    }

    /// Returns the versions that a request to `model` may start on, if one is published.
    pub(crate) fn required_weights(&self, model: &str) -> Option<RequiredWeights> {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.get(&short_digest(model))?.required(self.settings.version_ms)
    }

    /// Returns the published versions of a model.
    pub(crate) fn publications_of(&self, model: &str) -> Option<PublishedWeights> {
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        weights.get(&short_digest(model)).cloned()
    }

    /// Returns what the store lacks of each model's publications, by the digest of the model's name.
    pub(crate) fn unstored_weights(&self) -> Vec<(u64, UnstoredWeights)> {
        let (now, version_millis) = (self.now(), self.settings.version_ms);
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        let unstored = weights.iter().map(|(model, weights)| (*model, weights.unstored(version_millis, now)));
        unstored.filter_map(|(model, unstored)| Some((model, unstored?))).collect()
    }

    /// Returns model digest, version and age in microseconds of each publication.
    pub(crate) fn publication_ages(&self) -> Vec<(u64, u64, u64)> {
        let now = self.now();
        let weights = self.weights.read().unwrap_or_else(PoisonError::into_inner);
        let rows = weights.iter().flat_map(|(model, versions)| {
            let known = versions.versions().iter().filter(|row| row.source.is_known());
            let ages = known.map(|row| (row.version, now.micros_since(row.since)));
            ages.map(|(version, age)| (*model, version, age))
        });
        rows.collect()
    }

    /// Applies another VM's ages of publications in microseconds, by model and version.
    ///
    /// Versions that this VM has not read from the store count too: a listing contains only the newest of a
    /// model.
    pub(crate) fn apply_publication_ages(&self, ages: &[(u64, u64, u64)]) {
        let now = self.now();
        for (model, version, age) in ages {
            let since = Moment(now.0.saturating_sub(*age));
            let published = PublishedVersion { version: *version, since, source: PublicationSource::Peer };
            if self.record_published_version(*model, published, now) {
                log::info!(model, version, age_ms = age / MICROS_PER_MILLI; "weights.told");
            }
        }
    }

    /// Records a version read from the store; returns whether it is new.
    ///
    /// `since` is the earliest moment at which it can have been published; none if this VM did not follow the
    /// store then.
    pub(crate) fn record_publication(&self, target: &WeightTarget, since: Option<Moment>) -> bool {
        let (model, now) = (short_digest(&target.model), self.now());
        if let Some(since) = since {
            let source = PublicationSource::Store;
            let published = PublishedVersion { version: target.version, since, source };
            return self.record_published_version(model, published, now);
        }
        self.update_weights(model, |weights, version_millis| {
            weights.record_listed(target.version, version_millis, now)
        })
    }

    /// Records that a listed version was published at most `age_millis` ago.
    pub(crate) fn bound_publication(&self, target: &WeightTarget, age_millis: u64) {
        let now = self.now();
        let is_bounded = self.update_weights(short_digest(&target.model), |weights, version_millis| {
            weights.bound_age(target.version, age_millis, version_millis, now)
        });
        if is_bounded {
            log::info!(model = target.model.as_str(), version = target.version, age_ms = age_millis;
                "weights.bounded");
        }
    }

    /// Records that the store holds a mark.
    pub(crate) fn record_mark(&self, mark: &PublicationMark) {
        let now = self.now();
        self.update_weights(mark.model, |weights, version_millis| {
            weights.record_mark(mark.version, version_millis, now);
        });
    }

    /// Records the versions of a model that the store's record names; none if the store has no record.
    pub(crate) fn record_stored_versions(&self, model: u64, versions: &[u64]) {
        let now = self.now();
        self.update_weights(model, |weights, version_millis| {
            weights.record_stored(versions, version_millis, now);
        });
    }

    /// Records that the store has removed the mark of a model's version.
    pub(crate) fn record_mark_end(&self, model: u64, version: u64) {
        let now = self.now();
        self.update_weights(model, |weights, version_millis| {
            weights.record_mark_end(version, version_millis, now);
        });
    }

    /// Records that the store was restored from a backup, which may lack marks and records.
    pub(crate) fn forget_stored_publications(&self) {
        let mut weights = self.weights.write().unwrap_or_else(PoisonError::into_inner);
        weights.values_mut().for_each(PublishedWeights::record_restoration);
    }

    fn record_published_version(&self, model: u64, published: PublishedVersion, now: Moment) -> bool {
        self.update_weights(model, |weights, version_millis| {
            weights.record_publication(published, version_millis, now)
        })
    }

    fn update_weights<T>(&self, model: u64, update: impl FnOnce(&mut PublishedWeights, u64) -> T) -> T {
        let mut weights = self.weights.write().unwrap_or_else(PoisonError::into_inner);
        update(weights.entry(model).or_default(), self.settings.version_ms)
    }

    /// Returns the data centres that seem cut off: their VMs are unreachable, and a send to them broke.
    ///
    /// Unreachable VMs alone are not enough: all of a few VMs may be suspended while their endpoints serve.
    pub(crate) fn partitioned_data_centres(&self) -> Vec<String> {
        let now = self.now();
        // Called for each placement: mostly no send has broken, and the VMs need no check.
        if !self.table().is_any_failing(now) {
            return Vec::new();
        }
        let unreachable: Vec<String> =
            self.peers().unreachable_data_centres(now).into_iter().map(str::to_owned).collect();
        if unreachable.is_empty() {
            return unreachable;
        }
        let table = self.table();
        unreachable.into_iter().filter(|data_centre| table.is_failing(data_centre, now)).collect()
    }

    /// Chooses an endpoint for a request by the present state.
    pub(crate) fn place(&self, request: &PlacementRequest<'_>) -> Option<PlacementChoice> {
        place(&self.table(), request, self.now())
    }

    /// Locks the record of whether all VMs have the same list; the lock is not held across an await.
    pub(crate) fn list_membership(&self) -> MutexGuard<'_, ListMembership> {
        self.list_membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_request(&self, service: &str) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).count_request(service, self.now());
    }

    /// Spends one second send for `service`, if this VM's share of the budget allows it.
    pub(crate) fn try_spend_second_send(&self, service: &str) -> bool {
        let vms = self.peers().listed_count();
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).try_spend(service, vms, self.now())
    }

    /// Returns a second send for `service` to the budget, because nothing was sent.
    pub(crate) fn restore_second_send(&self, service: &str) {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner).restore(service);
    }

    /// Returns the position up to which the store's changes are applied; the default before the first
    /// listing.
    pub(crate) fn applied_position(&self) -> StorePosition {
        *self.applied.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that all changes of the store up to `position` are applied.
    pub(crate) fn set_applied_position(&self, position: StorePosition) {
        *self.applied.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    /// Whether this VM can serve: it has a configuration and at least one endpoint, and is not stopping.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.routes().is_some() && self.table().rows().next().is_some()
    }
}

/// Increments a counter of the gateway, such as of open requests, until it is dropped.
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
