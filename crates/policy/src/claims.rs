//! Calls that may run at most once.
//!
//! Invariant: a key is dispatched only by the attempt whose nonce is the first to stand in the
//! shard's log, and nobody else ever dispatches it while that record stands. The log's entries are
//! created by compare-and-swap on their own key, so two VMs that both believe to be a shard's home
//! cannot both succeed at one place: the loser reads the winner's entry before it answers. No
//! lease is involved, so a paused home cannot break this when it wakes up.
//!
//! Claims are gathered for some tens of milliseconds into one entry: writes a second are shards
//! times flushes, whatever the load. A key for each claim would cost a write a call; one record
//! for each shard would be rewritten whole at each flush.

use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use spanfold_kernel::{
    ClaimAsk, ClaimTicket, ClaimVerdict, Context, CreateReply, Effect, Event, LogEntry, Message, World,
    register_plugin,
};
use std::collections::{BTreeMap, HashMap};

/// A shard's home that has not answered for this long is bypassed, in milliseconds.
const SILENCE_MILLIS: u64 = 300;
/// A write or read without an answer is repeated after this long, in milliseconds.
const REPEAT_INTERVAL_MILLIS: u64 = 1_000;
/// A table read this long ago is fresh enough to answer "pending", in milliseconds.
const FRESH_MILLIS: u64 = 500;
/// Records of one entry; a value of the platform holds up to a megabyte.
const ENTRY_RECORDS: usize = 512;
/// Bytes of recorded answers in one entry.
const ENTRY_BYTES: usize = 512 * 1024;

/// One line of a claim log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRecord {
    /// An attempt holds the key.
    Claim {
        /// Digest of account and idempotency key.
        key: u128,
        /// Digest of method, path and body.
        body: u128,
        /// The attempt.
        nonce: u128,
    },
    /// The attempt has an answer.
    Done {
        /// Digest of account and idempotency key.
        key: u128,
        /// The attempt.
        nonce: u128,
        /// The answer to be given again.
        answer: String,
    },
    /// The attempt truly did not run: the key is free again.
    Released {
        /// Digest of account and idempotency key.
        key: u128,
        /// The attempt.
        nonce: u128,
    },
}

/// What the table knows of one key.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClaimRow {
    body: u128,
    nonce: u128,
    answer: Option<String>,
}

/// Someone who waits for a record to be written.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Waiter {
    Claim { from: String, ticket: ClaimTicket },
    Settle { from: String, nonce: u128 },
}

/// A write on its way.
#[derive(Clone, Debug)]
struct PendingWrite {
    sequence: u64,
    text: String,
    records: Vec<(ClaimRecord, Waiter)>,
    repeat_at: Moment,
}

/// One shard at a VM that believes to be its home.
#[derive(Clone, Debug)]
struct ShardState {
    rows: HashMap<u128, ClaimRow>,
    next: u64,
    loaded: bool,
    read_again_at: Moment,
    fresh_until: Moment,
    gathered: Vec<(ClaimRecord, Waiter)>,
    flush_at: Moment,
    writing: Option<PendingWrite>,
    asked: Vec<(String, ClaimTicket)>,
}

impl Default for ShardState {
    fn default() -> Self {
        Self {
            rows: HashMap::new(),
            next: 1,
            loaded: false,
            read_again_at: Moment(0),
            fresh_until: Moment(0),
            gathered: Vec::new(),
            flush_at: Moment::NEVER,
            writing: None,
            asked: Vec::new(),
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
    remote: BTreeMap<u64, RemoteClaim>,
    settling: BTreeMap<u128, (Event, Moment)>,
}

impl ClaimTable {
    fn start(_world: &World) -> Self {
        Self { shards: BTreeMap::new(), remote: BTreeMap::new(), settling: BTreeMap::new() }
    }

    /// Keys that this VM has in memory.
    pub fn row_count(&self) -> usize {
        self.shards.values().map(|shard| shard.rows.len()).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::Claim(ticket) => self.claim(context, ticket),
            Event::Settle { key, nonce, answer } => self.settle(context, *key, *nonce, answer.as_ref()),
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::LogCreated { shard, sequence, reply } => self.created(context, *shard, *sequence, reply),
            Event::LogRead { shard, known, entries } => self.log_read(context, *shard, *known, entries),
            Event::Tick => self.tick(context),
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Claim(ask) => self.decide(context, ask.shard, from, &ask.ticket),
            Message::ClaimReply { request, verdict } => self.replied(context, *request, verdict),
            Message::Settle { shard, key, nonce, answer } => {
                let waiter = Waiter::Settle { from: from.to_owned(), nonce: *nonce };
                self.record_end(context, *shard, *key, *nonce, answer.as_ref(), waiter);
            }
            Message::Settled { nonce } if self.settling.remove(nonce).is_some() => {
                context.emit(Effect::Settled { nonce: *nonce });
            }
            _ => {}
        }
    }

    /// An attempt of this VM wants its key.
    fn claim(&mut self, context: &mut Context<'_>, ticket: &ClaimTicket) {
        let shard = shard_of(ticket.key, context.world.shards);
        let home = home_of(context, shard);
        let bypass_at = context.now.after_millis(SILENCE_MILLIS);
        self.remote.insert(ticket.request, RemoteClaim { ticket: ticket.clone(), shard, bypass_at });
        // Clocks differ between VMs: what crosses is the time left.
        let mut ticket = ticket.clone();
        ticket.deadline = Moment(ticket.deadline.micros_since(context.now));
        context.send(&home, Message::Claim(ClaimAsk { shard, ticket }));
    }

    /// Takes the first verdict on an attempt; later ones find nobody who waits.
    ///
    /// Only the asker gives a claim back, and only once it has answered that the attempt did not
    /// run: a home cannot know whether the attempt was claimed past it, with the same nonce.
    fn replied(&mut self, context: &mut Context<'_>, request: u64, verdict: &ClaimVerdict) {
        let Some(claim) = self.remote.remove(&request) else { return };
        let late = *verdict == ClaimVerdict::Claimed && context.now >= claim.ticket.deadline;
        let verdict = if late { ClaimVerdict::Unavailable } else { verdict.clone() };
        if verdict == ClaimVerdict::Unavailable {
            // It may have been written without our hearing of it, and will never be used.
            self.settle(context, claim.ticket.key, claim.ticket.nonce, None);
        }
        context.emit(Effect::ClaimAnswer { request, verdict });
    }

    fn settle(&mut self, context: &mut Context<'_>, key: u128, nonce: u128, answer: Option<&String>) {
        let shard = shard_of(key, context.world.shards);
        let home = home_of(context, shard);
        let repeat = Event::Settle { key, nonce, answer: answer.cloned() };
        self.settling.insert(nonce, (repeat, context.now.after_millis(REPEAT_INTERVAL_MILLIS)));
        context.send(&home, Message::Settle { shard, key, nonce, answer: answer.cloned() });
    }

    /// Decides a claim as the shard's home, or in its place.
    fn decide(&mut self, context: &mut Context<'_>, number: u32, from: &str, ticket: &ClaimTicket) {
        let mut ticket = ticket.clone();
        ticket.deadline = context.now.after_micros(ticket.deadline.0);
        let shard = self.shards.entry(number).or_default();
        if !shard.loaded {
            shard.asked.push((from.to_owned(), ticket));
            read_log(context, number, shard);
            return;
        }
        self.decide_loaded(context, number, from, ticket);
    }

    fn decide_loaded(&mut self, context: &mut Context<'_>, number: u32, from: &str, ticket: ClaimTicket) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if let Some(verdict) = known_verdict(shard, &ticket) {
            // Another VM may have recorded the end of it meanwhile: "pending" is read anew.
            if verdict == ClaimVerdict::Pending && context.now >= shard.fresh_until {
                shard.loaded = false;
                shard.asked.push((from.to_owned(), ticket));
                read_log(context, number, shard);
            } else {
                reply(context, from, ticket.request, verdict);
            }
            return;
        }
        if repeats_waiting(shard, from, &ticket) {
            return;
        }
        let record = ClaimRecord::Claim { key: ticket.key, body: ticket.body, nonce: ticket.nonce };
        shard.gathered.push((record, Waiter::Claim { from: from.to_owned(), ticket }));
        plan_flush(context, shard);
    }

    fn record_end(
        &mut self,
        context: &mut Context<'_>,
        number: u32,
        key: u128,
        nonce: u128,
        answer: Option<&String>,
        waiter: Waiter,
    ) {
        let record = match answer {
            Some(answer) => ClaimRecord::Done { key, nonce, answer: answer.clone() },
            None => ClaimRecord::Released { key, nonce },
        };
        let shard = self.shards.entry(number).or_default();
        shard.gathered.push((record, waiter));
        if shard.loaded {
            plan_flush(context, shard);
        } else {
            read_log(context, number, shard);
        }
    }

    fn tick(&mut self, context: &mut Context<'_>) {
        let numbers: Vec<u32> = self.shards.keys().copied().collect();
        for number in numbers {
            self.tick_shard(context, number);
        }
        let silent: Vec<u64> = self
            .remote
            .iter()
            .filter(|(_, c)| context.now >= c.bypass_at)
            .map(|(request, _)| *request)
            .collect();
        for request in silent {
            let Some(claim) = self.remote.get_mut(&request) else { continue };
            claim.bypass_at = Moment::NEVER;
            if context.now >= claim.ticket.deadline {
                continue;
            }
            let (shard, mut ticket) = (claim.shard, claim.ticket.clone());
            ticket.deadline = Moment(ticket.deadline.micros_since(context.now));
            let me = context.world.me.clone();
            self.decide(context, shard, &me, &ticket);
        }
        let late: Vec<u64> = self
            .remote
            .iter()
            .filter(|(_, claim)| context.now >= claim.ticket.deadline)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            self.replied(context, request, &ClaimVerdict::Unavailable);
        }
        let unsettled: Vec<Event> = self
            .settling
            .values()
            .filter(|(_, at)| context.now >= *at)
            .map(|(event, _)| event.clone())
            .collect();
        for event in unsettled {
            if let Event::Settle { key, nonce, answer } = event {
                self.settle(context, key, nonce, answer.as_ref());
            }
        }
    }

    fn tick_shard(&mut self, context: &mut Context<'_>, number: u32) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        refuse_late(context, shard);
        if !shard.loaded {
            if !shard.asked.is_empty() || !shard.gathered.is_empty() {
                read_log(context, number, shard);
            }
            return;
        }
        if let Some(writing) = &mut shard.writing {
            if context.now >= writing.repeat_at {
                writing.repeat_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
                let (sequence, text) = (writing.sequence, writing.text.clone());
                context.emit(Effect::CreateLog { shard: number, sequence, text });
            }
        } else if context.now >= shard.flush_at {
            flush(context, number, shard);
        }
    }

    fn created(&mut self, context: &mut Context<'_>, number: u32, sequence: u64, answer: &CreateReply) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        let Some(writing) = shard.writing.take_if(|writing| writing.sequence == sequence) else { return };
        match answer {
            CreateReply::Unknown => {
                // Its place decides: the same text is created again until the platform answers.
                shard.writing = Some(writing);
            }
            CreateReply::Created => written(context, shard, writing),
            // One's own write whose reply was lost; the nonces in it make it unlike any other.
            CreateReply::Exists(text) if *text == writing.text => written(context, shard, writing),
            CreateReply::Exists(text) => {
                context.log("claims.conflict", format!("shard {number} entry {sequence}"));
                apply_text(shard, text);
                shard.next = sequence + 1;
                take_back(shard, writing);
                // There may be more entries of the other VM: read them before answering.
                shard.loaded = false;
                read_log(context, number, shard);
            }
        }
    }

    fn log_read(&mut self, context: &mut Context<'_>, number: u32, known: bool, entries: &[LogEntry]) {
        let Some(shard) = self.shards.get_mut(&number) else { return };
        if !known {
            shard.read_again_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS / 4);
            return;
        }
        for entry in entries.iter().filter(|entry| entry.sequence >= shard.next).collect::<Vec<_>>() {
            read_entry(context, shard, entry);
        }
        shard.loaded = true;
        shard.fresh_until = context.now.after_millis(FRESH_MILLIS);
        let asked = std::mem::take(&mut shard.asked);
        let gathered = std::mem::take(&mut shard.gathered);
        for (record, waiter) in gathered {
            if let Waiter::Claim { from, ticket } = waiter {
                self.decide_loaded(context, number, &from, ticket);
            } else if let Some(shard) = self.shards.get_mut(&number) {
                shard.gathered.push((record, waiter));
                plan_flush(context, shard);
            }
        }
        for (from, ticket) in asked {
            self.decide_loaded(context, number, &from, ticket);
        }
    }
}

fn shard_of(key: u128, shards: u32) -> u32 {
    (key % u128::from(shards.max(1))) as u32
}

fn home_of(context: &Context<'_>, shard: u32) -> String {
    let role = format!("claim/{shard}");
    let home = context.world.holder_anywhere(&role, context.now);
    home.unwrap_or(&context.world.me).to_owned()
}

fn reply(context: &mut Context<'_>, to: &str, request: u64, verdict: ClaimVerdict) {
    context.send(to, Message::ClaimReply { request, verdict });
}

/// What the table says of a ticket; none if its key is free.
fn known_verdict(shard: &ShardState, ticket: &ClaimTicket) -> Option<ClaimVerdict> {
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

/// Whether the same attempt waits already; if so, its answer goes to the one who asked last.
fn repeats_waiting(shard: &mut ShardState, asker: &str, ticket: &ClaimTicket) -> bool {
    let writing = shard.writing.iter_mut().flat_map(|writing| writing.records.iter_mut());
    for (_, waiter) in writing.chain(shard.gathered.iter_mut()) {
        if let Waiter::Claim { from, ticket: other } = waiter
            && other.nonce == ticket.nonce
        {
            asker.clone_into(from);
            return true;
        }
    }
    false
}

fn read_log(context: &mut Context<'_>, number: u32, shard: &mut ShardState) {
    if context.now >= shard.read_again_at {
        shard.read_again_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
        context.emit(Effect::ReadLog { shard: number, from: shard.next });
    }
}

fn plan_flush(context: &Context<'_>, shard: &mut ShardState) {
    if !shard.gathered.is_empty() && shard.writing.is_none() {
        let at = context.now.after_millis(context.world.flush_millis);
        shard.flush_at = if shard.flush_at == Moment::NEVER { at } else { shard.flush_at.min(at) };
    }
}

/// Tells attempts whose deadline has passed that they did not run; their records stay in line.
fn refuse_late(context: &mut Context<'_>, shard: &mut ShardState) {
    let now = context.now;
    let late: Vec<_> = shard.asked.extract_if(.., |(_, ticket)| now >= ticket.deadline).collect();
    let unwritten = shard.gathered.extract_if(
        ..,
        |(_, waiter)| matches!(waiter, Waiter::Claim { ticket, .. } if now >= ticket.deadline),
    );
    let unwritten = unwritten.filter_map(|(_, waiter)| match waiter {
        Waiter::Claim { from, ticket } => Some((from, ticket)),
        Waiter::Settle { .. } => None,
    });
    for (from, ticket) in late.into_iter().chain(unwritten.collect::<Vec<_>>()) {
        reply(context, &from, ticket.request, ClaimVerdict::Unavailable);
    }
}

/// Starts the write of what was gathered. Of several claims on one key the first goes; the others
/// wait for the next round, where the table answers them.
fn flush(context: &mut Context<'_>, number: u32, shard: &mut ShardState) {
    shard.flush_at = Moment::NEVER;
    let (mut records, mut left, mut keys, mut bytes) = (Vec::new(), Vec::new(), Vec::new(), 0);
    for (record, waiter) in std::mem::take(&mut shard.gathered) {
        if let Waiter::Claim { from, ticket } = &waiter {
            if let Some(verdict) = known_verdict(shard, ticket) {
                reply(context, from, ticket.request, verdict);
                continue;
            }
            if keys.contains(&ticket.key) {
                left.push((record, waiter));
                continue;
            }
            keys.push(ticket.key);
        }
        if records.len() >= ENTRY_RECORDS || bytes > ENTRY_BYTES {
            left.push((record, waiter));
            continue;
        }
        if let ClaimRecord::Done { answer, .. } = &record {
            bytes += answer.len();
        }
        records.push((record, waiter));
    }
    shard.gathered = left;
    if records.is_empty() {
        plan_flush(context, shard);
        return;
    }
    let lines: Vec<&ClaimRecord> = records.iter().map(|(record, _)| record).collect();
    let Ok(text) = serde_json::to_string(&lines) else { return };
    let repeat_at = context.now.after_millis(REPEAT_INTERVAL_MILLIS);
    let sequence = shard.next;
    shard.writing = Some(PendingWrite { sequence, text: text.clone(), records, repeat_at });
    context.emit(Effect::CreateLog { shard: number, sequence, text });
}

/// Takes in the entry that stands next in the log; it may be the one that is being written.
fn read_entry(context: &mut Context<'_>, shard: &mut ShardState, entry: &LogEntry) {
    match shard.writing.take_if(|writing| writing.sequence == entry.sequence) {
        Some(writing) if writing.text == entry.text => written(context, shard, writing),
        other => {
            apply_text(shard, &entry.text);
            shard.next = entry.sequence + 1;
            if let Some(writing) = other {
                take_back(shard, writing);
            }
        }
    }
}

/// Applies an entry of one's own and answers those who wait for it.
///
/// The table decides, not the fact of having written: of two claims the earlier one stands.
fn written(context: &mut Context<'_>, shard: &mut ShardState, writing: PendingWrite) {
    shard.next = writing.sequence + 1;
    for (record, waiter) in writing.records {
        apply_record(shard, &record);
        match waiter {
            Waiter::Claim { from, ticket } => {
                let verdict = known_verdict(shard, &ticket).unwrap_or(ClaimVerdict::Pending);
                reply(context, &from, ticket.request, verdict);
            }
            Waiter::Settle { from, nonce } => context.send(&from, Message::Settled { nonce }),
        }
    }
    plan_flush(context, shard);
}

/// Puts the records of a write that lost its place back in front of what was gathered since.
fn take_back(shard: &mut ShardState, writing: PendingWrite) {
    let since = std::mem::replace(&mut shard.gathered, writing.records);
    shard.gathered.extend(since);
}

fn apply_text(shard: &mut ShardState, text: &str) {
    let records: Vec<ClaimRecord> = serde_json::from_str(text).unwrap_or_default();
    for record in &records {
        apply_record(shard, record);
    }
}

/// Applies one record; the first claim of a key stands, and only its own nonce can end it.
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
