//! Digests of loads, and of all else that matters for placement, which VMs send to one another.
//!
//! Invariant: a digest is complete in itself and replaces the previous one of its source; a lost or late one
//! costs accuracy only. A leader sums up its data centre: its sum counts each VM once, because only what VMs
//! report of themselves is summed.

use crate::CordonSource;
use crate::endpoints::answer_handler::{AnswerRecord, ForwardScope, ObservedAnswer};
use crate::gateway::{Gateway, ReportedSend};
use crate::peers::peer_message::PeerStamp;
use crate::peers::pending_messages::MAX_MESSAGES;
use crate::peers::placement_message::PlacementMessage;
use crate::{
    ContactAges, EndpointKey, FleetTable, LEADERS_PER_DATA_CENTRE, LinkTransfers, LoadCount, LoadSource,
    PeerHeartbeat, PeerTable, QuarantineMessage, RouteCounts, StorePosition, SumKey, SuspectMessage, VmKey,
    short_digest,
};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// Weights observed at an engine are propagated for this long, in milliseconds: until entries contain them.
const WEIGHTS_PROPAGATION_MILLIS: u64 = 3_000;

/// Digests relayed by the second leader may be this much older than the first one's, in milliseconds.
const MAX_RELAY_LAG_MILLIS: u64 = 900;

/// VMs that take no requests of others and that one digest names at most: a kilobyte.
const MAX_CLOSED_PEERS: usize = 128;

/// Whose loads a digest reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DigestScope {
    /// Its sender's own.
    Vm,
    /// Those of all VMs of its sender's data centre.
    DataCentre,
    /// Those of all VMs of all other data centres, relayed to the VMs of its sender's.
    Elsewhere,
}

/// Loads of one VM, of one data centre, or of all others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadDigest {
    pub scope: DigestScope,
    loads: Vec<(EndpointKey, u32, u64, u64)>,
    placed: Vec<PlacementMessage>,
    /// Outcomes of sends that concern other VMs, each with the VM that observed it.
    reports: Vec<ReportedSend>,
    /// Quarantine evidence and entries: requests under which endpoints crash.
    cases: Vec<QuarantineMessage>,
    /// The same about segments, and trials. They follow the message, where VMs of the former form do not look.
    #[serde(skip)]
    pub extended_cases: Vec<SuspectMessage>,
    /// Position of the store up to which its sender has applied all changes; it follows the message too.
    #[serde(skip)]
    pub position: StorePosition,
    /// When the store last answered its sender, and when a call last failed; it follows the message too.
    #[serde(skip)]
    pub contact: ContactAges,
    /// Records that endpoints reported about themselves in answers.
    answers: Vec<AnswerRecord>,
    /// Counts of answers, by version, for services in a rollout.
    rollouts: Vec<(SumKey, RouteCounts)>,
    /// Cordoned engines, and for how long, in microseconds.
    closed: Vec<(EndpointKey, u64)>,
    /// For each store, how long transfers still occupy its link, in microseconds, and their recent slowdown.
    moves: Vec<LinkTransfers>,
    /// Weights that were just observed: engine, digest of the model, version.
    weights: Vec<(EndpointKey, u64, u64)>,
    /// Published weights: digest of the model, version, and microseconds since then.
    named: Vec<(u64, u64, u64)>,
    /// Remote VMs that its sender received digests of, and how long ago, in microseconds; only with
    /// [`DigestScope::Elsewhere`].
    heard: Vec<(PeerHeartbeat, u64)>,
    /// VMs of its scope that take no requests of other VMs; some of them, if they are many.
    closed_peers: Vec<VmKey>,
}

/// Messages that wait to be sent with a digest.
struct DigestMessages {
    placed: Vec<PlacementMessage>,
    reports: Vec<ReportedSend>,
    cases: Vec<SuspectMessage>,
    answers: Vec<ObservedAnswer>,
    rollouts: Vec<(SumKey, RouteCounts)>,
}

impl LoadDigest {
    /// Builds the digest of this VM itself.
    pub(crate) fn of_vm(gateway: &Gateway) -> Self {
        let messages = DigestMessages {
            placed: gateway.local_placements.take(),
            reports: gateway.local_send_reports.take(),
            cases: gateway.local_quarantine_messages.take(),
            answers: gateway.local_answers.take(),
            rollouts: gateway.rollouts().sums.local.take(),
        };
        let now = gateway.now();
        let closed_peers = closed_peers(gateway, DigestScope::Vm, now);
        let table = gateway.table();
        let loads = table.loads_of(|_| false, now);
        let transfers = table.transfers_of(|_| false, now);
        let digest = Self::build(gateway, &table, DigestScope::Vm, messages, loads, transfers);
        Self { closed_peers, ..digest }
    }

    /// Builds the digest of this VM's data centre, which this VM sends as a leader.
    ///
    /// Only the first leader sends sums of answers: sent by both, they would count twice.
    pub(crate) fn of_data_centre(gateway: &Gateway, is_first: bool) -> Self {
        let local_vms = gateway.peers().local_vms();
        let messages = DigestMessages {
            placed: gateway.remote_placements.take(),
            reports: gateway.remote_send_reports.take(),
            cases: gateway.remote_quarantine_messages.take(),
            answers: gateway.remote_answers.take(),
            rollouts: gateway.rollouts().sums.remote.take_if(is_first),
        };
        let now = gateway.now();
        let closed_peers = closed_peers(gateway, DigestScope::DataCentre, now);
        let table = gateway.table();
        let loads = table.loads_of(|vm| local_vms.contains(&vm), now);
        let transfers = table.transfers_of(|vm| local_vms.contains(&vm), now);
        let digest = Self::build(gateway, &table, DigestScope::DataCentre, messages, loads, transfers);
        Self { closed_peers, ..digest }
    }

    /// Builds the digest of all other data centres, which this VM relays as a leader within its own.
    pub(crate) fn of_elsewhere(gateway: &Gateway, is_first: bool) -> Self {
        let messages = DigestMessages {
            placed: gateway.relayed_placements.take(),
            reports: gateway.relayed_send_reports.take(),
            cases: gateway.relayed_quarantine_messages.take(),
            answers: gateway.relayed_answers.take(),
            rollouts: gateway.rollouts().sums.relayed.take_if(is_first),
        };
        let now = gateway.now();
        let remote_peers = gateway.peers().live_remote_peers(now);
        let closed_peers = closed_peers(gateway, DigestScope::Elsewhere, now);
        let table = gateway.table();
        let (loads, transfers) = (table.remote_loads(now), table.remote_transfers(now));
        let digest = Self::build(gateway, &table, DigestScope::Elsewhere, messages, loads, transfers);
        Self { heard: remote_peers, closed_peers, ..digest }
    }

    /// Takes over the messages of an earlier digest of the same VM that this one replaces before it was sent.
    pub(crate) fn merge_earlier(&mut self, earlier: Self) {
        self.placed.splice(0..0, earlier.placed);
        self.reports.splice(0..0, earlier.reports);
        self.cases.splice(0..0, earlier.cases);
        self.extended_cases.splice(0..0, earlier.extended_cases);
        self.answers.splice(0..0, earlier.answers);
        self.rollouts.extend(earlier.rollouts);
        self.placed.truncate(MAX_MESSAGES);
        self.reports.truncate(MAX_MESSAGES);
        self.cases.truncate(MAX_MESSAGES);
        self.extended_cases.truncate(MAX_MESSAGES);
        // The newest report of an endpoint counts, and comes last.
        let excess = self.answers.len().saturating_sub(MAX_MESSAGES);
        self.answers.drain(..excess);
    }

    fn build(
        gateway: &Gateway,
        table: &FleetTable,
        scope: DigestScope,
        messages: DigestMessages,
        loads: Vec<(EndpointKey, LoadCount)>,
        transfers: Vec<LinkTransfers>,
    ) -> Self {
        let now = gateway.now();
        let audience = match scope {
            DigestScope::Vm => 0,
            DigestScope::DataCentre => 1,
            DigestScope::Elsewhere => 2,
        };
        let DigestMessages { placed, reports, mut cases, answers, rollouts } = messages;
        cases.extend(gateway.quarantine_tracker().quarantine.repeat_messages(audience, now));
        let (cases, extended_cases) = split_cases(cases);
        let loads = loads.into_iter();
        Self {
            scope,
            loads: loads
                .map(|(key, load)| (key, load.running, load.pending_prefill_tokens, load.memory_tokens))
                .collect(),
            placed,
            reports,
            cases,
            extended_cases,
            position: gateway.applied_position(),
            contact: gateway.contact_ages(scope),
            answers: answers.iter().map(|answer| AnswerRecord::of(answer, now)).collect(),
            rollouts,
            closed: cordoned_engines(table, scope, now),
            moves: transfers,
            weights: observed_weights(table, scope, now),
            named: gateway.publication_ages(),
            heard: Vec::new(),
            closed_peers: Vec::new(),
        }
    }

    /// Records its sender as reachable; false if the digest is older than a previous one, or the VM is
    /// unknown.
    pub(crate) fn accept(&self, peers: &mut PeerTable, stamp: PeerStamp, now: Moment) -> bool {
        let PeerStamp { vm, incarnation, sequence } = stamp;
        if self.scope == DigestScope::Elsewhere {
            peers.record_relayed_digest(vm, incarnation, sequence, now)
        } else {
            let is_newer = peers.record_digest(vm, incarnation, sequence, now);
            if is_newer {
                peers.record_position(vm, self.position);
            }
            is_newer
        }
    }

    /// Records which VMs take no requests of others.
    ///
    /// A leader learns of other data centres from their leaders alone: two leaders of one data centre would
    /// repeat to each other what is over.
    fn apply_closed_peers(&self, peers: &mut PeerTable, vm: VmKey, is_leader: bool, now: Moment) {
        let is_applied = match self.scope {
            DigestScope::Vm => return peers.record_forwarding(vm, self.closed_peers.contains(&vm), now),
            DigestScope::DataCentre => is_leader,
            DigestScope::Elsewhere => !is_leader,
        };
        if is_applied {
            self.closed_peers.iter().for_each(|closed| peers.record_forwarding(*closed, true, now));
        }
    }

    /// Applies another VM's digest. What VMs of this data centre report is queued for the other data centres.
    pub(crate) fn apply(&self, gateway: &Gateway, vm: VmKey) {
        let now = gateway.now();
        let (is_local, is_leader, data_centre, vm_count) = {
            let mut peers = gateway.peers();
            for (heartbeat, age_micros) in &self.heard {
                peers.record_indirect_digest(heartbeat, Moment(now.0.saturating_sub(*age_micros)));
            }
            let is_leader = peers.leader_rank(now) < LEADERS_PER_DATA_CENTRE;
            self.apply_closed_peers(&mut peers, vm, is_leader, now);
            let data_centre = peers.data_centre_of(vm).map(short_digest);
            (peers.is_local(vm), is_leader, data_centre, peers.listed_count())
        };
        let Some(data_centre) = data_centre else { return };
        gateway.apply_contact_ages(self.contact, self.scope, is_local);
        // A leader takes other data centres' loads from their leaders, the other VMs take them from their own
        // leader: never both.
        let source = match self.scope {
            DigestScope::Vm => Some(LoadSource::Vm(vm)),
            DigestScope::DataCentre => is_leader.then_some(LoadSource::DataCentre(data_centre)),
            DigestScope::Elsewhere => (!is_leader).then_some(LoadSource::Elsewhere),
        };
        let is_local = is_local && self.scope == DigestScope::Vm;
        let loads = self.loads.iter().map(|(key, running, pending_prefill_tokens, memory_tokens)| {
            let (running, pending_prefill_tokens, memory_tokens) =
                (*running, *pending_prefill_tokens, *memory_tokens);
            (*key, LoadCount { running, pending_prefill_tokens, memory_tokens })
        });
        let mut table = gateway.table();
        if let Some(source) = source {
            table.apply_peer_loads(source, &loads.collect::<Vec<_>>(), now);
            table.apply_peer_transfers(source, &self.moves, now);
        }
        for message in &self.placed {
            message.apply(&mut table, now);
        }
        for (reporter, report) in &self.reports {
            let slot = rand::random::<f64>() * vm_count as f64;
            if table.apply_send_report(*reporter, report, slot, now) {
                gateway.metrics.fleet.avoidances.inc();
            }
        }
        for (key, model, version) in &self.weights {
            table.raise_weights(*key, *model, *version, is_local, now);
        }
        for (key, micros) in &self.closed {
            // A leader that gets digests less often may still report an engine as cordoned that has loaded
            // its weights meanwhile.
            let is_outdated =
                self.scope == DigestScope::Elsewhere && (is_leader || has_newer_weights(&table, *key, now));
            if !is_outdated {
                table.cordon_as_reported(*key, now.after_micros(*micros), is_local);
            }
        }
        drop(table);
        gateway.apply_publication_ages(&self.named);
        let cases = self.cases.iter().copied().map(SuspectMessage::Request);
        let cases: Vec<_> = cases.chain(self.extended_cases.iter().cloned()).collect();
        gateway.apply_quarantine_messages(&cases, self.scope, vm, is_leader);
        let forward = ForwardScope::of(self.scope, is_local, is_leader);
        gateway.apply_answer_records(&self.answers, forward);
        gateway.add_rollout_sums(&self.rollouts, forward);
        if is_local {
            self.placed.iter().for_each(|message| gateway.remote_placements.push(message.clone()));
            self.reports.iter().for_each(|report| gateway.record_remote_report(*report));
        } else if is_leader && self.scope == DigestScope::DataCentre {
            self.placed.iter().for_each(|message| gateway.relayed_placements.push(message.clone()));
            self.reports.iter().for_each(|report| gateway.relayed_send_reports.push(*report));
        }
    }
}

/// Separates the messages that VMs of the former form read.
fn split_cases(messages: Vec<SuspectMessage>) -> (Vec<QuarantineMessage>, Vec<SuspectMessage>) {
    let (mut cases, mut extended_cases) = (Vec::new(), Vec::new());
    for message in messages {
        match message {
            SuspectMessage::Request(message) => cases.push(message),
            message => extended_cases.push(message),
        }
    }
    (cases, extended_cases)
}

/// VMs that take no requests of others, and that a digest of `scope` names.
fn closed_peers(gateway: &Gateway, scope: DigestScope, now: Moment) -> Vec<VmKey> {
    let own = gateway.is_closed_to_peers().then(|| VmKey::of(&gateway.settings.name));
    let mut closed = match scope {
        DigestScope::Vm => return own.into_iter().collect(),
        DigestScope::DataCentre => gateway.peers().closed_peers(true, now),
        DigestScope::Elsewhere => gateway.peers().closed_peers(false, now),
    };
    if scope == DigestScope::DataCentre {
        closed.extend(own);
    }
    if closed.len() > MAX_CLOSED_PEERS {
        // Others are named in the next digests.
        let start = rand::random_range(0..closed.len());
        closed.rotate_left(start);
        closed.truncate(MAX_CLOSED_PEERS);
    }
    closed
}

/// Whether another data centre reported a moment ago that an engine has newer weights.
fn has_newer_weights(table: &FleetTable, key: EndpointKey, now: Moment) -> bool {
    let loaded_at = table.row(key).and_then(|row| row.remote_weights_at);
    loaded_at.is_some_and(|at| now < at.after_millis(MAX_RELAY_LAG_MILLIS))
}

/// Cordoned engines that a digest of `scope` reports.
fn cordoned_engines(table: &FleetTable, scope: DigestScope, now: Moment) -> Vec<(EndpointKey, u64)> {
    let is_reported = |source: CordonSource| match scope {
        DigestScope::Vm => source == CordonSource::Own,
        DigestScope::DataCentre => source != CordonSource::Remote,
        DigestScope::Elsewhere => source == CordonSource::Remote,
    };
    let cordoned = table
        .rows_with_changing_weights()
        .filter(|(_, row)| row.is_cordoned(now) && is_reported(row.cordoned_by));
    cordoned.map(|(key, row)| (key, row.cordoned_until.micros_since(now))).collect()
}

/// Recently observed weights of engines that a digest of `scope` reports.
fn observed_weights(table: &FleetTable, scope: DigestScope, now: Moment) -> Vec<(EndpointKey, u64, u64)> {
    let is_recent =
        |at: Option<Moment>| at.is_some_and(|at| now < at.after_millis(WEIGHTS_PROPAGATION_MILLIS));
    let rows = table.rows_with_changing_weights().filter(|(_, row)| match scope {
        DigestScope::Vm => is_recent(row.observed_weights_at),
        DigestScope::DataCentre => is_recent(row.observed_weights_at) || is_recent(row.reported_weights_at),
        DigestScope::Elsewhere => is_recent(row.remote_weights_at),
    });
    let weights = rows.flat_map(|(key, row)| {
        row.entry.weights.iter().map(move |(model, version)| (key, short_digest(model), *version))
    });
    weights.collect()
}
