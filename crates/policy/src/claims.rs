//! Claims on calls that may run at most once.
//!
//! Invariant: a key is dispatched only by the attempt whose nonce is the first in the shard's log, and
//! no other attempt dispatches it while that record is valid. Each entry of the log is created by
//! compare-and-swap on its own key, so two VMs that both act as a shard's home cannot both write the
//! same entry: the loser reads the winner's entry before it answers. No lease is involved, so a home
//! that was paused cannot break the invariant when it resumes.
//!
//! Claims are collected for some tens of milliseconds into one entry, so the number of writes a second
//! is the number of shards times flushes, whatever the load. A key for each claim would cost one write
//! per call; a single record for each shard would be rewritten whole at each flush.

use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use spanfold_kernel::{
    ClaimRequest, ClaimTicket, ClaimVerdict, Context, CreateReply, Effect, Event, LogEntry, Message, World,
    register_plugin,
};
use std::collections::{BTreeMap, HashMap};

/// A shard's home that has not answered within this time is bypassed.
const HOME_ANSWER_TIMEOUT_MILLIS: u64 = 300;
/// A write or read without an answer is repeated after this long.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;
/// A table read within this time is current enough to answer `Pending`.
const TABLE_FRESHNESS_MILLIS: u64 = 500;
/// Largest number of records of one entry; the platform's values are limited to one megabyte.
const MAX_ENTRY_RECORDS: usize = 512;
/// Bytes of recorded answers after which an entry takes no more records.
const MAX_ENTRY_ANSWER_BYTES: usize = 512 * 1024;

/// One record of a claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// An attempt claims the key.
    Claim {
        /// Digest of account and idempotency key.
        key: u128,
        /// Digest of method, path and body.
        body: u128,
        /// Nonce of the attempt.
        nonce: u128,
    },
    /// The attempt has an answer.
    Done {
        /// Digest of account and idempotency key.
        key: u128,
        /// Nonce of the attempt.
        nonce: u128,
        /// Answer that repeated calls get.
        answer: String,
    },
    /// The attempt certainly did not run: the key is free again.
    Released {
        /// Digest of account and idempotency key.
        key: u128,
        /// Nonce of the attempt.
        nonce: u128,
    },
}

/// The table's row of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClaimRow {
    body: u128,
    nonce: u128,
    answer: Option<String>,
}

/// The recipient of an answer once a record is written.
#[derive(Clone, Debug, PartialEq, Eq)]
enum WaitingCaller {
    Claim { from: String, ticket: ClaimTicket },
    Settle { from: String, nonce: u128 },
}

/// A pending write.
#[derive(Clone, Debug)]
struct PendingWrite {
    sequence: u64,
    text: String,
    records: Vec<(ClaimRecord, WaitingCaller)>,
    repeat_at: Moment,
}

/// State of one shard at a VM that acts as its home.
#[derive(Clone, Debug)]
struct ShardState {
    rows: HashMap<u128, ClaimRow>,
    next_sequence: u64,
    is_loaded: bool,
    next_read_at: Moment,
    current_until: Moment,
    pending_records: Vec<(ClaimRecord, WaitingCaller)>,
    flush_at: Moment,
    pending_write: Option<PendingWrite>,
    pending_claims: Vec<(String, ClaimTicket)>,
}

impl Default for ShardState {
    fn default() -> Self {
        Self {
            rows: HashMap::new(),
            next_sequence: 1,
            is_loaded: false,
            next_read_at: Moment(0),
            current_until: Moment(0),
            pending_records: Vec::new(),
            flush_at: Moment::NEVER,
            pending_write: None,
            pending_claims: Vec::new(),
        }
    }
}

/// A claim that another VM decides.
#[derive(Clone, Debug)]
struct RemoteClaim {
    ticket: ClaimTicket,
    shard: u32,
    bypass_at: Moment,
}

/// State of the claims plug-in.
#[derive(Debug)]
pub struct ClaimTable {
    shards: BTreeMap<u32, ShardState>,
    remote_claims: BTreeMap<u64, RemoteClaim>,
    pending_settlements: BTreeMap<u128, (Event, Moment)>,
}

impl ClaimTable {
    fn start(_world: &World) -> Self {
        Self { shards: BTreeMap::new(), remote_claims: BTreeMap::new(), pending_settlements: BTreeMap::new() }
    }

    /// Returns the number of keys in this VM's memory.
    pub fn row_count(&self) -> usize {
        self.shards.values().map(|shard| shard.rows.len()).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Claim(ticket) => self.claim(context, ticket),
            Event::Settle { key, nonce, answer } => self.settle(context, *key, *nonce, answer.as_ref()),
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::LogCreated { shard, sequence, reply } => {
                self.apply_create_reply(context, *shard, *sequence, reply);
            }
            Event::LogRead { shard, known, entries } => self.apply_log_read(context, *shard, *known, entries),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Claim(claim) => self.decide_claim(context, claim.shard, from, &claim.ticket),
            Message::ClaimReply { request, verdict } => self.apply_verdict(context, *request, verdict),
            Message::Settle { shard, key, nonce, answer } => {
                let caller = WaitingCaller::Settle { from: from.to_owned(), nonce: *nonce };
                self.add_end_record(context, *shard, *key, *nonce, answer.as_ref(), caller);
            }
            Message::Settled { nonce } if self.pending_settlements.remove(nonce).is_some() => {
                context.emit(Effect::Settled { nonce: *nonce });
            }
            _ => {}
        }
    }

    /// Requests the key for an attempt of this VM.
    fn claim(&mut self, context: &mut Context<'_>, ticket: &ClaimTicket) {
        let shard = shard_of(ticket.key, context.world.shards);
        let home = home_of(context, shard);
        let bypass_at = context.now.after_millis(HOME_ANSWER_TIMEOUT_MILLIS);
        self.remote_claims.insert(ticket.request, RemoteClaim { ticket: ticket.clone(), shard, bypass_at });
        // Clocks differ between VMs, so the message carries the time left.
        let mut ticket = ticket.clone();
        ticket.deadline = Moment(ticket.deadline.micros_since(context.now));
        context.send(&home, Message::Claim(ClaimRequest { shard, ticket }));
    }

    /// Applies the first verdict on an attempt; later ones match no pending claim.
    ///
    /// Only the requester releases a claim, and only once it has answered that the attempt did not run:
    /// a home cannot determine whether the requester has bypassed it meanwhile and claimed the key itself,
    /// with the same nonce.
    fn apply_verdict(&mut self, context: &mut Context<'_>, request: u64, verdict: &ClaimVerdict) {
        let Some(claim) = self.remote_claims.remove(&request) else { return };
        let late = *verdict == ClaimVerdict::Claimed && context.now >= claim.ticket.deadline;
        let verdict = if late { ClaimVerdict::Unavailable } else { verdict.clone() };
        if verdict == ClaimVerdict::Unavailable {
            // The claim may have been written without an answer to this VM, and will never be used.
            self.settle(context, claim.ticket.key, claim.ticket.nonce, None);
        }
        context.emit(Effect::ClaimAnswer { request, verdict });
    }

    fn settle(&mut self, context: &mut Context<'_>, key: u128, nonce: u128, answer: Option<&String>) {
        let shard = shard_of(key, context.world.shards);
        let home = home_of(context, shard);
        let repeat = Event::Settle { key, nonce, answer: answer.cloned() };
        self.pending_settlements.insert(nonce, (repeat, context.now.after_millis(REPEAT_INTERVAL_MILLIS)));
        context.send(&home, Message::Settle { shard, key, nonce, answer: answer.cloned() });
    }

    /// Decides a claim as the shard's home, or on its behalf.
    fn decide_claim(
        &mut self,
        context: &mut Context<'_>,
        shard_number: u32,
        from: &str,
        ticket: &ClaimTicket,
    ) {
        let mut ticket = ticket.clone();
        ticket.deadline = context.now.after_micros(ticket.deadline.0);
        let shard = self.shards.entry(shard_number).or_default();
        if !shard.is_loaded {
            shard.pending_claims.push((from.to_owned(), ticket));
            read_log(context, shard_number, shard);
            return;
        }
        self.decide_on_table(context, shard_number, from, ticket);
    }

    fn decide_on_table(
        &mut self,
        context: &mut Context<'_>,
        shard_number: u32,
        from: &str,
        ticket: ClaimTicket,
    ) {
        let Some(shard) = self.shards.get_mut(&shard_number) else { return };
        if let Some(verdict) = recorded_verdict(shard, &ticket) {
            // Another VM may have recorded its end meanwhile: `Pending` needs a current read.
            if verdict == ClaimVerdict::Pending && context.now >= shard.current_until {
                shard.is_loaded = false;
                shard.pending_claims.push((from.to_owned(), ticket));
                read_log(context, shard_number, shard);
            } else {
                reply(context, from, ticket.request, verdict);
            }
            return;
        }
        if redirect_repeated_claim(shard, from, &ticket) {
            return;
        }
        let record = ClaimRecord::Claim { key: ticket.key, body: ticket.body, nonce: ticket.nonce };
        shard.pending_records.push((record, WaitingCaller::Claim { from: from.to_owned(), ticket }));
        schedule_flush(context, shard);
    }

    fn add_end_record(
        &mut self,
        context: &mut Context<'_>,
        shard_number: u32,
        key: u128,
        nonce: u128,
        answer: Option<&String>,
        caller: WaitingCaller,
    ) {
        let record = match answer {
            Some(answer) => ClaimRecord::Done { key, nonce, answer: answer.clone() },
            None => ClaimRecord::Released { key, nonce },
        };
        let shard = self.shards.entry(shard_number).or_default();
        shard.pending_records.push((record, caller));
        if shard.is_loaded {
            schedule_flush(context, shard);
        } else {
            read_log(context, shard_number, shard);
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let shard_numbers: Vec<u32> = self.shards.keys().copied().collect();
        for shard_number in shard_numbers {
            self.tick_shard(context, shard_number);
        }
        let unanswered: Vec<u64> = self
            .remote_claims
            .iter()
            .filter(|(_, claim)| context.now >= claim.bypass_at)
            .map(|(request, _)| *request)
            .collect();
        for request in unanswered {
            let Some(claim) = self.remote_claims.get_mut(&request) else { continue };
            claim.bypass_at = Moment::NEVER;
            if context.now >= claim.ticket.deadline {
                continue;
            }
            let (shard, mut ticket) = (claim.shard, claim.ticket.clone());
            ticket.deadline = Moment(ticket.deadline.micros_since(context.now));
            let own_name = context.world.own_name.clone();
            self.decide_claim(context, shard, &own_name, &ticket);
        }
        let late: Vec<u64> = self
            .remote_claims
            .iter()
            .filter(|(_, claim)| context.now >= claim.ticket.deadline)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.apply_verdict(context, request, &ClaimVerdict::Unavailable);
        }
        let due_settlements: Vec<Event> = self
            .pending_settlements
            .values()
            .filter(|(_, at)| context.now >= *at)
            .map(|(event, _)| event.clone())
            .collect();
        for event in due_settlements {
            if let Event::Settle { key, nonce, answer } = event {
                self.settle(context, key, nonce, answer.as_ref());
            }
        }
    }

    fn tick_shard(&mut self, context: &mut Context<'_>, shard_number: u32) {
        let Some(shard) = self.shards.get_mut(&shard_number) else { return };
        refuse_late(context, shard);
        if !shard.is_loaded {
            if !shard.pending_claims.is_empty() || !shard.pending_records.is_empty() {
                read_log(context, shard_number, shard);
            }
            return;
        }
        if let Some(write) = &mut shard.pending_write {
            if context.now >= write.repeat_at {
                write.repeat_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
                let (sequence, text) = (write.sequence, write.text.clone());
                context.emit(Effect::CreateLog { shard: shard_number, sequence, text });
            }
        } else if context.now >= shard.flush_at {
            flush(context, shard_number, shard);
        }
    }

    fn apply_create_reply(
        &mut self,
        context: &mut Context<'_>,
        shard_number: u32,
        sequence: u64,
        answer: &CreateReply,
    ) {
        let Some(shard) = self.shards.get_mut(&shard_number) else { return };
        let Some(write) = shard.pending_write.take_if(|write| write.sequence == sequence) else {
            return;
        };
        match answer {
            CreateReply::Unknown => {
                // Its log position decides: the same text is created again until the platform answers.
                shard.pending_write = Some(write);
            }
            CreateReply::Created => apply_written(context, shard, write),
            // This VM's own write, whose reply was lost; its nonces make the text unique.
            CreateReply::Exists(text) if *text == write.text => apply_written(context, shard, write),
            CreateReply::Exists(text) => {
                context.log("claims.conflict", format!("shard {shard_number} entry {sequence}"));
                apply_text(shard, text);
                shard.next_sequence = sequence + 1;
                requeue_records(shard, write);
                // The other VM may have written more entries: read them before answering.
                shard.is_loaded = false;
                read_log(context, shard_number, shard);
            }
        }
    }

    fn apply_log_read(
        &mut self,
        context: &mut Context<'_>,
        shard_number: u32,
        known: bool,
        entries: &[LogEntry],
    ) {
        let Some(shard) = self.shards.get_mut(&shard_number) else { return };
        if !known {
            shard.next_read_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS / 4);
            return;
        }
        for entry in entries.iter().filter(|entry| entry.sequence >= shard.next_sequence).collect::<Vec<_>>()
        {
            read_entry(context, shard, entry);
        }
        shard.is_loaded = true;
        shard.current_until = context.now.after_millis(TABLE_FRESHNESS_MILLIS);
        let pending_claims = std::mem::take(&mut shard.pending_claims);
        let pending_records = std::mem::take(&mut shard.pending_records);
        for (record, caller) in pending_records {
            if let WaitingCaller::Claim { from, ticket } = caller {
                self.decide_on_table(context, shard_number, &from, ticket);
            } else if let Some(shard) = self.shards.get_mut(&shard_number) {
                shard.pending_records.push((record, caller));
                schedule_flush(context, shard);
            }
        }
        for (from, ticket) in pending_claims {
            self.decide_on_table(context, shard_number, &from, ticket);
        }
    }
}

fn shard_of(key: u128, shards: u32) -> u32 {
    (key % u128::from(shards.max(1))) as u32
}

fn home_of(context: &Context<'_>, shard: u32) -> String {
    let role = format!("claim/{shard}");
    let home = context.world.global_role_holder(&role, context.now);
    home.unwrap_or(&context.world.own_name).to_owned()
}

fn reply(context: &mut Context<'_>, to: &str, request: u64, verdict: ClaimVerdict) {
    context.send(to, Message::ClaimReply { request, verdict });
}

/// Returns the table's verdict on a ticket; none if its key is free.
fn recorded_verdict(shard: &ShardState, ticket: &ClaimTicket) -> Option<ClaimVerdict> {
    let row = shard.rows.get(&ticket.key)?;
    Some(if row.body != ticket.body {
        ClaimVerdict::Mismatch
    } else if let Some(answer) = &row.answer {
        ClaimVerdict::Finished(answer.clone())
    } else if row.nonce == ticket.nonce {
        ClaimVerdict::Claimed
    } else {
        ClaimVerdict::Pending
    })
}

/// Whether the same attempt is already pending; if so, its answer goes to the latest requester.
fn redirect_repeated_claim(shard: &mut ShardState, requester: &str, ticket: &ClaimTicket) -> bool {
    let written_records = shard.pending_write.iter_mut().flat_map(|write| write.records.iter_mut());
    for (_, caller) in written_records.chain(shard.pending_records.iter_mut()) {
        if let WaitingCaller::Claim { from, ticket: pending_ticket } = caller
            && pending_ticket.nonce == ticket.nonce
        {
            requester.clone_into(from);
            return true;
        }
    }
    false
}

fn read_log(context: &mut Context<'_>, shard_number: u32, shard: &mut ShardState) {
    if context.now >= shard.next_read_at {
        shard.next_read_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
        context.emit(Effect::ReadLog { shard: shard_number, from: shard.next_sequence });
    }
}

fn schedule_flush(context: &Context<'_>, shard: &mut ShardState) {
    if !shard.pending_records.is_empty() && shard.pending_write.is_none() {
        let at = context.now.after_millis(context.world.flush_millis);
        shard.flush_at = if shard.flush_at == Moment::NEVER { at } else { shard.flush_at.min(at) };
    }
}

/// Answers attempts past their deadline as not run.
///
/// Their claims are dropped unless a pending write contains them.
fn refuse_late(context: &mut Context<'_>, shard: &mut ShardState) {
    let now = context.now;
    let late: Vec<_> = shard.pending_claims.extract_if(.., |(_, ticket)| now >= ticket.deadline).collect();
    let unwritten = shard.pending_records.extract_if(
        ..,
        |(_, caller)| matches!(caller, WaitingCaller::Claim { ticket, .. } if now >= ticket.deadline),
    );
    let unwritten = unwritten.filter_map(|(_, caller)| match caller {
        WaitingCaller::Claim { from, ticket } => Some((from, ticket)),
        WaitingCaller::Settle { .. } => None,
    });
    for (from, ticket) in late.into_iter().chain(unwritten.collect::<Vec<_>>()) {
        reply(context, &from, ticket.request, ClaimVerdict::Unavailable);
    }
}

/// Starts a write of the pending records.
///
/// Of several claims on one key only the first is written; the others wait for the next flush, where
/// the table decides them.
fn flush(context: &mut Context<'_>, shard_number: u32, shard: &mut ShardState) {
    shard.flush_at = Moment::NEVER;
    let (mut records, mut postponed, mut keys, mut bytes) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for (record, caller) in std::mem::take(&mut shard.pending_records) {
        if let WaitingCaller::Claim { from, ticket } = &caller {
            if let Some(verdict) = recorded_verdict(shard, ticket) {
                reply(context, from, ticket.request, verdict);
                continue;
            }
            if keys.contains(&ticket.key) {
                postponed.push((record, caller));
                continue;
            }
            keys.push(ticket.key);
        }
        if records.len() >= MAX_ENTRY_RECORDS || bytes > MAX_ENTRY_ANSWER_BYTES {
            postponed.push((record, caller));
            continue;
        }
        if let ClaimRecord::Done { answer, .. } = &record {
            bytes += answer.len();
        }
        records.push((record, caller));
    }
    shard.pending_records = postponed;
    if records.is_empty() {
        schedule_flush(context, shard);
        return;
    }
    let entry_records: Vec<&ClaimRecord> = records.iter().map(|(record, _)| record).collect();
    let Ok(text) = serde_json::to_string(&entry_records) else { return };
    let repeat_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
    let sequence = shard.next_sequence;
    shard.pending_write = Some(PendingWrite { sequence, text: text.clone(), records, repeat_at });
    context.emit(Effect::CreateLog { shard: shard_number, sequence, text });
}

/// Applies the next entry of the log, which may be the pending write itself.
fn read_entry(context: &mut Context<'_>, shard: &mut ShardState, entry: &LogEntry) {
    match shard.pending_write.take_if(|write| write.sequence == entry.sequence) {
        Some(write) if write.text == entry.text => apply_written(context, shard, write),
        lost => {
            apply_text(shard, &entry.text);
            shard.next_sequence = entry.sequence + 1;
            if let Some(write) = lost {
                requeue_records(shard, write);
            }
        }
    }
}

/// Applies an entry that this VM wrote and answers the callers that wait for it.
///
/// The table decides, not the successful write: of two claims the earlier one is valid.
fn apply_written(context: &mut Context<'_>, shard: &mut ShardState, write: PendingWrite) {
    shard.next_sequence = write.sequence + 1;
    for (record, caller) in write.records {
        apply_record(shard, &record);
        match caller {
            WaitingCaller::Claim { from, ticket } => {
                let verdict = recorded_verdict(shard, &ticket).unwrap_or(ClaimVerdict::Pending);
                reply(context, &from, ticket.request, verdict);
            }
            WaitingCaller::Settle { from, nonce } => context.send(&from, Message::Settled { nonce }),
        }
    }
    schedule_flush(context, shard);
}

/// Puts the records of a write that lost its position back in front.
///
/// Records added since follow them.
fn requeue_records(shard: &mut ShardState, write: PendingWrite) {
    let added_since = std::mem::replace(&mut shard.pending_records, write.records);
    shard.pending_records.extend(added_since);
}

fn apply_text(shard: &mut ShardState, text: &str) {
    let records: Vec<ClaimRecord> = serde_json::from_str(text).unwrap_or_default();
    for record in &records {
        apply_record(shard, record);
    }
}

/// Applies one record; the first claim of a key is valid, and only its own nonce can end it.
fn apply_record(shard: &mut ShardState, record: &ClaimRecord) {
    match record {
        ClaimRecord::Claim { key, body, nonce } => {
            shard.rows.entry(*key).or_insert(ClaimRow { body: *body, nonce: *nonce, answer: None });
        }
        ClaimRecord::Done { key, nonce, answer } => {
            if let Some(row) = shard.rows.get_mut(key)
                && row.nonce == *nonce
            {
                row.answer = Some(answer.clone());
            }
        }
        ClaimRecord::Released { key, nonce } => {
            if shard.rows.get(key).is_some_and(|row| row.nonce == *nonce && row.answer.is_none()) {
                shard.rows.remove(key);
            }
        }
    }
}

register_plugin!("claims", 60, ClaimTable);
