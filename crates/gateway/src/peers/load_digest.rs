//! What VMs tell one another of loads, and of what else bears on placement.
//!
//! Invariant: a digest is whole in itself and replaces the earlier one of its source; a lost or late one
//! costs accuracy only. A lead sums its data centre: what it tells others counts each VM once, because
//! only what VMs say of themselves is summed.

use crate::CordonSource;
use crate::endpoints::answer_handler::{AnswerNote, ForwardScope, ObservedAnswer};
use crate::gateway::{Gateway, TellerReport};
use crate::peers::peer_message::PeerStamp;
use crate::peers::placed_note::PlacedNote;
use crate::peers::waiting_notes::NOTES_MOST;
use crate::{
    EndpointKey, FleetTable, LEADERS_PER_DATA_CENTRE, LinkTransfers, LoadCount, LoadSource, PeerHeartbeat,
    PeerTable, QuarantineMessage, RouteCounts, SumKey, VmKey, short_digest,
};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// Weights seen at an engine are told for this long, in milliseconds: until entries show them.
const WEIGHTS_TOLD_MILLIS: u64 = 3_000;

/// What the second lead passes on may be so much older than what the first one does, in milliseconds.
const PASSED_LAG_MILLIS: u64 = 900;

/// Whose loads a digest tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum DigestScope {
    /// Its sender's own.
    Vm,
    /// Those of all VMs of its sender's data centre.
    DataCentre,
    /// Those of all VMs of all other data centres, passed on to the VMs of its sender's.
    Elsewhere,
}

/// Loads of one VM or one data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadDigest {
    pub scope: DigestScope,
    loads: Vec<(EndpointKey, u32, u64, u64)>,
    placed: Vec<PlacedNote>,
    /// Outcomes of sends that concern other VMs, each with the VM that observed it.
    reports: Vec<TellerReport>,
    /// Requests under which endpoints end.
    cases: Vec<QuarantineMessage>,
    /// What endpoints stated of themselves in answers.
    answers: Vec<AnswerNote>,
    /// Answers of both versions of services that move to another one.
    rollouts: Vec<(SumKey, RouteCounts)>,
    /// Engines that get no new work, and for how long, in microseconds.
    closed: Vec<(EndpointKey, u64)>,
    /// How long moves still take each store's link, in microseconds, and the pace that they have shown lately.
    moves: Vec<LinkTransfers>,
    /// Weights that were just seen: engine, digest of the model, version.
    weights: Vec<(EndpointKey, u64, u64)>,
    /// Weights that were named: digest of the model, version, and microseconds since then.
    named: Vec<(u64, u64, u64)>,
    /// Far VMs that its sender heard, and how long ago, in microseconds, if it tells of elsewhere.
    heard: Vec<(PeerHeartbeat, u64)>,
}

/// What waited to be told.
struct DigestNotes {
    placed: Vec<PlacedNote>,
    reports: Vec<TellerReport>,
    cases: Vec<QuarantineMessage>,
    answers: Vec<ObservedAnswer>,
    rollouts: Vec<(SumKey, RouteCounts)>,
}

impl LoadDigest {
    /// What this VM has to tell of itself.
    pub(crate) fn own(gateway: &Gateway) -> Self {
        let notes = DigestNotes {
            placed: gateway.near_notes.take(),
            reports: gateway.near_reports.take(),
            cases: gateway.near_cases.take(),
            answers: gateway.near_answers.take(),
            rollouts: gateway.rollouts().sums.near.take(),
        };
        let now = gateway.now();
        let table = gateway.table();
        let loads = table.loads_of(|_| false, now);
        let moves = table.moves_of(|_| false, now);
        Self::build(gateway, &table, DigestScope::Vm, notes, loads, moves)
    }

    /// What this VM, as a lead, has to tell of its data centre.
    ///
    /// Sums of answers would count twice if both leads told them: the first one does.
    pub(crate) fn of_data_centre(gateway: &Gateway, is_first: bool) -> Self {
        let near = gateway.peers().local_vms();
        let notes = DigestNotes {
            placed: gateway.far_notes.take(),
            reports: gateway.far_reports.take(),
            cases: gateway.far_cases.take(),
            answers: gateway.far_answers.take(),
            rollouts: gateway.rollouts().sums.far.take_if(is_first),
        };
        let now = gateway.now();
        let table = gateway.table();
        let loads = table.loads_of(|vm| near.contains(&vm), now);
        let moves = table.moves_of(|vm| near.contains(&vm), now);
        Self::build(gateway, &table, DigestScope::DataCentre, notes, loads, moves)
    }

    /// What this VM, as a lead, has to tell the VMs of its data centre of all others.
    pub(crate) fn of_elsewhere(gateway: &Gateway, is_first: bool) -> Self {
        let notes = DigestNotes {
            placed: gateway.passed_notes.take(),
            reports: gateway.passed_reports.take(),
            cases: gateway.passed_cases.take(),
            answers: gateway.passed_answers.take(),
            rollouts: gateway.rollouts().sums.passed.take_if(is_first),
        };
        let now = gateway.now();
        let heard = gateway.peers().live_remote_peers(now);
        let table = gateway.table();
        let (loads, moves) = (table.remote_loads(now), table.remote_transfers(now));
        let digest = Self::build(gateway, &table, DigestScope::Elsewhere, notes, loads, moves);
        Self { heard, ..digest }
    }

    /// Takes over the notes and reports of an earlier digest of the same VM that this one replaces untold.
    pub(crate) fn follow(&mut self, earlier: Self) {
        self.placed.splice(0..0, earlier.placed);
        self.reports.splice(0..0, earlier.reports);
        self.cases.splice(0..0, earlier.cases);
        self.answers.splice(0..0, earlier.answers);
        self.rollouts.extend(earlier.rollouts);
        self.placed.truncate(NOTES_MOST);
        self.reports.truncate(NOTES_MOST);
        self.cases.truncate(NOTES_MOST);
        // The newest report of an endpoint counts, and comes last.
        let over = self.answers.len().saturating_sub(NOTES_MOST);
        self.answers.drain(..over);
    }

    fn build(
        gateway: &Gateway,
        table: &FleetTable,
        scope: DigestScope,
        notes: DigestNotes,
        loads: Vec<(EndpointKey, LoadCount)>,
        moves: Vec<LinkTransfers>,
    ) -> Self {
        let now = gateway.now();
        let audience = match scope {
            DigestScope::Vm => 0,
            DigestScope::DataCentre => 1,
            DigestScope::Elsewhere => 2,
        };
        let DigestNotes { placed, reports, mut cases, answers, rollouts } = notes;
        cases.extend(gateway.desk().quarantine.repeat_messages(audience, now));
        let loads = loads.into_iter();
        Self {
            scope,
            loads: loads
                .map(|(key, load)| (key, load.running, load.unread_tokens, load.memory_tokens))
                .collect(),
            placed,
            reports,
            cases,
            answers: answers.iter().map(|heard| AnswerNote::of(heard, now)).collect(),
            rollouts,
            closed: closed_engines(table, scope, now),
            moves,
            weights: seen_weights(table, scope, now),
            named: gateway.named_ages(),
            heard: Vec::new(),
        }
    }

    /// Notes that its VM is heard; false if it is older than what that one told before, or the VM is unknown.
    pub(crate) fn is_heard(&self, peers: &mut PeerTable, stamp: PeerStamp, now: Moment) -> bool {
        let PeerStamp { vm, incarnation, sequence } = stamp;
        if self.scope == DigestScope::Elsewhere {
            peers.record_relayed_digest(vm, incarnation, sequence, now)
        } else {
            peers.hear(vm, incarnation, sequence, now)
        }
    }

    /// Takes what another VM told. What VMs of this data centre say is kept for the others.
    pub(crate) fn apply(&self, gateway: &Gateway, vm: VmKey) {
        let now = gateway.now();
        let (is_local, is_lead, data_centre, vms) = {
            let mut peers = gateway.peers();
            for (heard, age_micros) in &self.heard {
                peers.record_indirect_digest(heard, Moment(now.0.saturating_sub(*age_micros)));
            }
            let data_centre = peers.data_centre_of(vm).map(short_digest);
            (
                peers.is_local(vm),
                peers.leader_rank(now) < LEADERS_PER_DATA_CENTRE,
                data_centre,
                peers.listed_count(),
            )
        };
        let Some(data_centre) = data_centre else { return };
        // A lead hears other data centres from their leads, the others from their own one: never from both.
        let source = match self.scope {
            DigestScope::Vm => Some(LoadSource::Vm(vm)),
            DigestScope::DataCentre => is_lead.then_some(LoadSource::DataCentre(data_centre)),
            DigestScope::Elsewhere => (!is_lead).then_some(LoadSource::Elsewhere),
        };
        let is_local = is_local && self.scope == DigestScope::Vm;
        let loads = self.loads.iter().map(|(key, running, unread_tokens, memory_tokens)| {
            let (running, unread_tokens, memory_tokens) = (*running, *unread_tokens, *memory_tokens);
            (*key, LoadCount { running, unread_tokens, memory_tokens })
        });
        let mut table = gateway.table();
        if let Some(source) = source {
            table.apply_peer_loads(source, &loads.collect::<Vec<_>>(), now);
            table.apply_peer_transfers(source, &self.moves, now);
        }
        for note in &self.placed {
            note.apply(&mut table, now);
        }
        for (teller, report) in &self.reports {
            let turn = rand::random::<f64>() * vms as f64;
            table.apply_send_report(*teller, report, turn, now);
        }
        for (key, model, version) in &self.weights {
            table.raise_weights(*key, *model, *version, is_local, now);
        }
        for (key, micros) in &self.closed {
            // A lead that hears less often may still take an engine for closed that has loaded meanwhile.
            let is_outdated =
                self.scope == DigestScope::Elsewhere && (is_lead || has_loaded(&table, *key, now));
            if !is_outdated {
                table.cordon_as_reported(*key, now.after_micros(*micros), is_local);
            }
        }
        drop(table);
        gateway.apply_named_ages(&self.named);
        gateway.take_notes(&self.cases, self.scope, vm, is_lead);
        let forward = ForwardScope::of(self.scope, is_local, is_lead);
        gateway.apply_answer_notes(&self.answers, forward);
        gateway.add_rollout_sums(&self.rollouts, forward);
        if is_local {
            self.placed.iter().for_each(|note| gateway.far_notes.push(note.clone()));
            self.reports.iter().for_each(|report| gateway.report_far(*report));
        } else if is_lead && self.scope == DigestScope::DataCentre {
            self.placed.iter().for_each(|note| gateway.passed_notes.push(note.clone()));
            self.reports.iter().for_each(|report| gateway.passed_reports.push(*report));
        }
    }
}

/// Whether another data centre told a moment ago that an engine has newer weights.
fn has_loaded(table: &FleetTable, key: EndpointKey, now: Moment) -> bool {
    let loaded_at = table.row(key).and_then(|row| row.remote_weights_at);
    loaded_at.is_some_and(|at| now < at.after_millis(PASSED_LAG_MILLIS))
}

/// Engines that are closed to new work, as far as a digest of `scope` tells of them.
fn closed_engines(table: &FleetTable, scope: DigestScope, now: Moment) -> Vec<(EndpointKey, u64)> {
    let tells = |teller: CordonSource| match scope {
        DigestScope::Vm => teller == CordonSource::Own,
        DigestScope::DataCentre => teller != CordonSource::Remote,
        DigestScope::Elsewhere => teller == CordonSource::Remote,
    };
    let closed = table.changing().filter(|(_, row)| row.is_closing(now) && tells(row.cordoned_by));
    closed.map(|(key, row)| (key, row.cordoned_until.micros_since(now))).collect()
}

/// Weights that were seen at engines a short while ago, as far as a digest of `scope` tells of them.
fn seen_weights(table: &FleetTable, scope: DigestScope, now: Moment) -> Vec<(EndpointKey, u64, u64)> {
    let lately = |at: Option<Moment>| at.is_some_and(|at| now < at.after_millis(WEIGHTS_TOLD_MILLIS));
    let rows = table.changing().filter(|(_, row)| match scope {
        DigestScope::Vm => lately(row.observed_weights_at),
        DigestScope::DataCentre => lately(row.observed_weights_at) || lately(row.reported_weights_at),
        DigestScope::Elsewhere => lately(row.remote_weights_at),
    });
    let weights = rows.flat_map(|(key, row)| {
        row.entry.weights.iter().map(move |(model, version)| (key, short_digest(model), *version))
    });
    weights.collect()
}
