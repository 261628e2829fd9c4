//! Which configuration is in force, and how a newer one spreads.
//!
//! Invariant: a VM applies only a generation higher than the one in force. One VM of a data centre
//! holds a watch on the head record; the others learn the generation from heartbeats and pull
//! what they lack from whoever said it, so that platform calls grow with data centres, not VMs.
//! A platform that shows an older head than the one in force has lost it; it is written back.

use crate::membership::is_gateway;
use spanfold_declare::{Catalogue, Declarations, Document, EndpointKind, chunk_digest};
use spanfold_entity::Moment;
use spanfold_kernel::{Context, Effect, Event, Message, World, register_plugin};
use std::collections::BTreeMap;
use std::sync::Arc;

/// An unanswered pull is repeated after this long, in milliseconds; chunks are waited for twice as long
/// with each repeat, because an answer may be on its way over a narrow link.
const PULL_MILLIS: u64 = 500;
/// The longest such wait, in milliseconds: several times what the largest chunk takes at 1 Mbit/s.
const PULL_MOST_MILLIS: u64 = 8_000;
/// After so many pulls that brought nothing, chunks are asked for elsewhere.
const VAIN_PULLS: u32 = 2;

/// A generation on its way.
#[derive(Debug, Clone)]
struct WantedHead {
    generation: u64,
    digests: Vec<String>,
    source: Option<String>,
    ask_again: Moment,
    /// How long chunks are waited for, in milliseconds.
    pause_millis: u64,
    /// Pulls since the last chunk came.
    vain_pulls: u32,
    parsing: bool,
}

impl WantedHead {
    /// Takes another source of the same generation, if the present one brings nothing.
    fn offer_source(&mut self, generation: u64, source: Option<&str>) {
        let is_other = self.source.as_deref() != source;
        if generation == self.generation && self.vain_pulls >= VAIN_PULLS && is_other {
            self.source = source.map(str::to_owned);
            self.pause_millis = PULL_MILLIS;
            self.vain_pulls = 0;
        }
    }

    /// Notes that chunks were asked for.
    fn note_pull(&mut self, now: Moment) {
        self.ask_again = now.after_millis(self.pause_millis);
        self.pause_millis = (self.pause_millis * 2).min(PULL_MOST_MILLIS);
        self.vain_pulls += 1;
    }

    /// Notes that a chunk came, with more of them behind it.
    fn note_chunk(&mut self, now: Moment) {
        self.ask_again = now.after_millis(self.pause_millis);
        self.vain_pulls = 0;
    }

    /// Notes that a reading has ended without all chunks: nothing more is on its way.
    fn note_end(&mut self, now: Moment) {
        self.pause_millis = PULL_MILLIS;
        self.ask_again = now.after_millis(self.pause_millis);
    }
}

/// State of the configuration plug-in: chunks in force and chunks on their way.
#[derive(Debug)]
pub struct ConfigurationStore {
    digests: Vec<String>,
    chunks: BTreeMap<String, Arc<str>>,
    wanted: Option<WantedHead>,
    pulled_until: Moment,
    watching: bool,
    told: bool,
}

impl ConfigurationStore {
    fn start(_world: &World) -> Self {
        Self {
            digests: Vec::new(),
            chunks: BTreeMap::new(),
            wanted: None,
            pulled_until: Moment(0),
            watching: false,
            told: false,
        }
    }

    /// Bytes of the chunks held, for reports.
    pub fn chunk_bytes(&self) -> usize {
        self.chunks.values().map(|text| text.len()).sum()
    }

    fn handle(&mut self, context: &mut Context<'_>, event: &Event) {
        match event {
            Event::HeadRead { generation, digests } => self.read_head(context, *generation, digests),
            Event::ChunksRead { texts } => self.take_chunks(context, texts),
            Event::Configured { generation, text, catalogue } => {
                self.apply(context, *generation, text, catalogue.as_ref());
            }
            Event::Receive { from, message } => self.receive(context, from, message),
            Event::Tick => {
                self.update_watch(context);
                self.ask_again(context);
            }
            _ => {}
        }
    }

    fn receive(&mut self, context: &mut Context<'_>, from: &str, message: &Message) {
        match message {
            Message::Beat(beat)
                if beat.generation > self.newest(context.world) && context.now >= self.pulled_until =>
            {
                self.pulled_until = context.now.after_millis(PULL_MILLIS);
                context.send(from, Message::HeadPull);
            }
            // Its source may be gone: whoever has the generation in force has its chunks.
            Message::Beat(beat) => self.offer_source(beat.generation, Some(from)),
            Message::HeadPull if context.world.generation > 0 => {
                let generation = context.world.generation;
                context.send(from, Message::Head { generation, digests: self.digests.clone() });
            }
            Message::Head { generation, digests } => {
                self.want(context, *generation, digests, Some(from));
            }
            Message::ChunkPull { digests } => {
                // One by one, so that each one that has arrived need not be asked for again.
                for text in digests.iter().filter_map(|digest| self.chunks.get(digest)) {
                    context.send(from, Message::Chunks { texts: vec![Arc::clone(text)] });
                }
            }
            Message::Chunks { texts } => self.take_chunks(context, texts),
            _ => {}
        }
    }

    fn newest(&self, world: &World) -> u64 {
        self.wanted.as_ref().map_or(world.generation, |wanted| wanted.generation.max(world.generation))
    }

    fn read_head(&mut self, context: &mut Context<'_>, generation: u64, digests: &[String]) {
        if generation >= context.world.generation {
            self.want(context, generation, digests, None);
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

    fn want(&mut self, context: &mut Context<'_>, generation: u64, digests: &[String], source: Option<&str>) {
        if generation <= self.newest(context.world) {
            self.offer_source(generation, source);
            return;
        }
        self.wanted = Some(WantedHead {
            generation,
            digests: digests.to_vec(),
            source: source.map(str::to_owned),
            ask_again: context.now,
            pause_millis: PULL_MILLIS,
            vain_pulls: 0,
            parsing: false,
        });
        self.ask_again(context);
        self.configure_when_whole(context);
    }

    fn offer_source(&mut self, generation: u64, source: Option<&str>) {
        if let Some(wanted) = &mut self.wanted {
            wanted.offer_source(generation, source);
        }
    }

    fn ask_again(&mut self, context: &mut Context<'_>) {
        let Some(wanted) = &mut self.wanted else { return };
        if wanted.parsing || context.now < wanted.ask_again {
            return;
        }
        let mut missing: Vec<_> =
            wanted.digests.iter().filter(|digest| !self.chunks.contains_key(*digest)).cloned().collect();
        missing.sort();
        missing.dedup();
        if missing.is_empty() {
            return;
        }
        wanted.note_pull(context.now);
        match wanted.source.clone() {
            Some(source) => context.send(&source, Message::ChunkPull { digests: missing }),
            None => context.emit(Effect::ReadChunks { digests: missing }),
        }
    }

    fn take_chunks(&mut self, context: &mut Context<'_>, texts: &[Arc<str>]) {
        for text in texts {
            self.chunks.insert(chunk_digest(text), Arc::clone(text));
        }
        if let Some(wanted) = &mut self.wanted {
            if texts.is_empty() { wanted.note_end(context.now) } else { wanted.note_chunk(context.now) }
        }
        self.configure_when_whole(context);
    }

    fn configure_when_whole(&mut self, context: &mut Context<'_>) {
        let Some(wanted) = &mut self.wanted else { return };
        let texts: Option<Vec<_>> =
            wanted.digests.iter().map(|digest| self.chunks.get(digest).cloned()).collect();
        if let Some(texts) = texts
            && !wanted.parsing
        {
            wanted.parsing = true;
            context.emit(Effect::Configure { generation: wanted.generation, texts });
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
        if let Some(wanted) = self.wanted.take_if(|wanted| wanted.generation <= generation) {
            self.digests = wanted.digests;
            let kept = &self.digests;
            self.chunks.retain(|digest, _| kept.contains(digest));
        }
        context.world.generation = generation;
        declare_endpoints(context.world, &catalogue);
        context.world.catalogue = catalogue;
        context.log("configuration.in_force", generation.to_string());
    }

    fn update_watch(&mut self, context: &mut Context<'_>) {
        let hold = is_gateway(context);
        if hold != self.watching || !self.told {
            self.watching = hold;
            self.told = true;
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
        let row = world.endpoints.at_or_default(index);
        row.declared = true;
        row.draining = endpoint.draining;
        endpoint.data_centre.clone_into(&mut row.data_centre);
        debug_assert!(endpoint.kind != EndpointKind::Store || endpoint.slots > 0, "checked by the verifier");
    }
}

register_plugin!("configuration", 20, ConfigurationStore);
