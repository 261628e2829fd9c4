//! Tracks the configuration in force and distributes newer ones.
//!
//! Invariant: a VM applies only a generation higher than the one in force. One VM of a data centre
//! watches the head record. The other VMs receive its generation by heartbeats and pull what they lack
//! from the sender, so that the number of platform calls grows with data centres, not with VMs. A
//! platform that returns an older head than the one in force has lost data; the newer head is written
//! back to it.

use crate::membership::is_gateway;
use spanfold_declare::{Catalogue, Declarations, Document, EndpointKind, chunk_digest};
use spanfold_entity::Moment;
use spanfold_kernel::{Context, Effect, Event, Message, World, register_plugin};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An unanswered pull is repeated after this long. For chunks the delay doubles with each repeat,
/// because an answer may still be in transit over a narrow link.
const PULL_RETRY_DELAY_MILLIS: u64 = 500;
/// Longest such delay: several times the transfer time of the largest chunk at 1 Mbit/s.
const MAX_PULL_RETRY_DELAY_MILLIS: u64 = 8_000;
/// After this many pulls that returned no chunk, the chunks are requested from another source.
const MAX_UNANSWERED_PULLS: u32 = 2;

/// A generation that is being fetched.
#[derive(Debug, Clone)]
struct PendingHead {
    generation: u64,
    digests: Vec<String>,
    source: Option<String>,
    next_pull_at: Moment,
    /// Delay before missing chunks are requested again.
    retry_delay_millis: u64,
    /// Pulls since the last chunk arrived.
    unanswered_pulls: u32,
    parsing: bool,
}

impl PendingHead {
    /// Switches to another source of the same generation if the current one returns no chunks.
    fn offer_source(&mut self, generation: u64, source: Option<&str>) {
        let is_other_source = self.source.as_deref() != source;
        if generation == self.generation && self.unanswered_pulls >= MAX_UNANSWERED_PULLS && is_other_source {
            self.source = source.map(str::to_owned);
            self.retry_delay_millis = PULL_RETRY_DELAY_MILLIS;
            self.unanswered_pulls = 0;
        }
    }

    /// Records that chunks were requested.
    fn record_pull(&mut self, now: Moment) {
        self.next_pull_at = now.after_millis(self.retry_delay_millis);
        self.retry_delay_millis = (self.retry_delay_millis * 2).min(MAX_PULL_RETRY_DELAY_MILLIS);
        self.unanswered_pulls += 1;
    }

    /// Records that a chunk arrived; more may follow.
    fn record_chunk(&mut self, now: Moment) {
        self.next_pull_at = now.after_millis(self.retry_delay_millis);
        self.unanswered_pulls = 0;
    }

    /// Records that a read ended without all chunks: no more are in transit.
    fn record_read_end(&mut self, now: Moment) {
        self.retry_delay_millis = PULL_RETRY_DELAY_MILLIS;
        self.next_pull_at = now.after_millis(self.retry_delay_millis);
    }
}

/// State of the configuration plug-in: chunks in force and chunks being fetched.
#[derive(Debug)]
pub struct ConfigurationStore {
    digests: Vec<String>,
    chunks: BTreeMap<String, Arc<str>>,
    pending_head: Option<PendingHead>,
    next_head_pull_at: Moment,
    watching: bool,
    has_requested_watch: bool,
}

impl ConfigurationStore {
    fn start(_world: &World) -> Self {
        Self {
            digests: Vec::new(),
            chunks: BTreeMap::new(),
            pending_head: None,
            next_head_pull_at: Moment(0),
            watching: false,
            has_requested_watch: false,
        }
    }

    /// Returns the total size of the stored chunks, for reports.
    pub fn chunk_bytes(&self) -> usize {
        self.chunks.values().map(|text| text.len()).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::HeadRead { generation, digests } => self.apply_head_read(context, *generation, digests),
            Event::ChunksRead { texts } => self.add_chunks(context, texts),
            Event::Configured { generation, text, catalogue } => {
                self.apply(context, *generation, text, catalogue.as_ref());
            }
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::Tick => {
                self.update_watch(context);
                self.pull_missing_chunks(context);
            }
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Beat(beat)
                if beat.generation > self.newest_generation(context.world)
                    && context.now >= self.next_head_pull_at =>
            {
                self.next_head_pull_at = context.now.after_millis(PULL_RETRY_DELAY_MILLIS);
                context.send(from, Message::HeadPull);
            }
            // The source may have become unreachable; any VM that has the generation in force has its chunks.
            Message::Beat(beat) => self.offer_source(beat.generation, Some(from)),
            Message::HeadPull if context.world.generation > 0 => {
                let generation = context.world.generation;
                context.send(from, Message::Head { generation, digests: self.digests.clone() });
            }
            Message::Head { generation, digests } => {
                self.fetch_head(context, *generation, digests, Some(from));
            }
            Message::ChunkPull { digests } => {
                // One message per chunk, so that a chunk that has arrived is not requested again.
                for text in digests.iter().filter_map(|digest| self.chunks.get(digest)) {
                    context.send(from, Message::Chunks { texts: vec![Arc::clone(text)] });
                }
            }
            Message::Chunks { texts } => self.add_chunks(context, texts),
            _ => {}
        }
    }

    fn newest_generation(&self, world: &World) -> u64 {
        self.pending_head.as_ref().map_or(world.generation, |head| head.generation.max(world.generation))
    }

    fn apply_head_read(&mut self, context: &mut Context<'_>, generation: u64, digests: &[String]) {
        if generation >= context.world.generation {
            self.fetch_head(context, generation, digests, None);
            return;
        }
        context.log(
            "configuration.platform_behind",
            format!("platform {generation}, in force {}", context.world.generation),
        );
        let texts = self.digests.iter().filter_map(|digest| self.chunks.get(digest)).cloned().collect();
        context.emit(Effect::RestoreHead {
            generation: context.world.generation,
            digests: self.digests.clone(),
            texts,
        });
    }

    fn fetch_head(
        &mut self,
        context: &mut Context<'_>,
        generation: u64,
        digests: &[String],
        source: Option<&str>,
    ) {
        if generation <= self.newest_generation(context.world) {
            self.offer_source(generation, source);
            return;
        }
        self.pending_head = Some(PendingHead {
            generation,
            digests: digests.to_vec(),
            source: source.map(str::to_owned),
            next_pull_at: context.now,
            retry_delay_millis: PULL_RETRY_DELAY_MILLIS,
            unanswered_pulls: 0,
            parsing: false,
        });
        self.pull_missing_chunks(context);
        self.configure_when_complete(context);
    }

    fn offer_source(&mut self, generation: u64, source: Option<&str>) {
        if let Some(head) = &mut self.pending_head {
            head.offer_source(generation, source);
        }
    }

    fn pull_missing_chunks(&mut self, context: &mut Context<'_>) {
        let Some(head) = &mut self.pending_head else { return };
        if head.parsing || context.now < head.next_pull_at {
            return;
        }
        let mut missing: Vec<_> =
            head.digests.iter().filter(|digest| !self.chunks.contains_key(*digest)).cloned().collect();
        missing.sort();
        missing.dedup();
        if missing.is_empty() {
            return;
        }
        head.record_pull(context.now);
        match head.source.clone() {
            Some(source) => context.send(&source, Message::ChunkPull { digests: missing }),
            None => context.emit(Effect::ReadChunks { digests: missing }),
        }
    }

    fn add_chunks(&mut self, context: &mut Context<'_>, texts: &[Arc<str>]) {
        for text in texts {
            self.chunks.insert(chunk_digest(text), Arc::clone(text));
        }
        if let Some(head) = &mut self.pending_head {
            if texts.is_empty() { head.record_read_end(context.now) } else { head.record_chunk(context.now) }
        }
        self.configure_when_complete(context);
    }

    fn configure_when_complete(&mut self, context: &mut Context<'_>) {
        let Some(head) = &mut self.pending_head else { return };
        let texts: Option<Vec<_>> =
            head.digests.iter().map(|digest| self.chunks.get(digest).cloned()).collect();
        if let Some(texts) = texts
            && !head.parsing
        {
            head.parsing = true;
            context.emit(Effect::Configure { generation: head.generation, texts });
        }
    }

    fn apply(
        &mut self,
        context: &mut Context<'_>,
        generation: u64,
        text: &str,
        catalogue: Option<&Arc<Catalogue>>,
    ) {
        if generation <= context.world.generation {
            return;
        }
        let catalogue = match catalogue {
            Some(catalogue) => Arc::clone(catalogue),
            None => {
                match Document::parse("accepted", text).and_then(|document| Declarations::check(&document)) {
                    Ok(declarations) => Arc::new(Catalogue::new(declarations)),
                    Err(findings) => {
                        context.log("configuration.rejected", findings.to_string());
                        return;
                    }
                }
            }
        };
        if let Some(head) = self.pending_head.take_if(|head| head.generation <= generation) {
            self.digests = head.digests;
            let digests = &self.digests;
            self.chunks.retain(|digest, _| digests.contains(digest));
        }
        context.world.generation = generation;
        declare_endpoints(context.world, &catalogue);
        context.world.catalogue = catalogue;
        context.log("configuration.in_force", generation.to_string());
    }

    fn update_watch(&mut self, context: &mut Context<'_>) {
        let hold = is_gateway(context);
        if hold != self.watching || !self.has_requested_watch {
            self.watching = hold;
            self.has_requested_watch = true;
            context.emit(Effect::WatchConfiguration { hold });
        }
    }
}

fn declare_endpoints(world: &mut World, catalogue: &Catalogue) {
    for (_, row) in world.endpoints.iter_mut() {
        row.declared = false;
    }
    for endpoint in catalogue.declarations.endpoints.values() {
        let index = world.endpoint_names.intern(&endpoint.name);
        let row = world.endpoints.get_or_insert_default(index);
        row.declared = true;
        row.draining = endpoint.draining;
        endpoint.data_centre.clone_into(&mut row.data_centre);
        debug_assert!(endpoint.kind != EndpointKind::Store || endpoint.slots > 0, "checked by the verifier");
    }
}

register_plugin!("configuration", 20, ConfigurationStore);
