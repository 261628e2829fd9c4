//! The control actor, which runs the kernel on its own thread.
//!
//! Invariant: only this actor accesses the kernel, and it never blocks: slow effects run as traffic
//! tasks. Its busy time is measured, because users were promised a bound on it.

use crate::effects::execute_effect;
use crate::shared::SharedState;
use kameo::Actor;
use kameo::message::{Context, Message};
use spanfold_kernel::{Event, Kernel, SessionLine};
use spanfold_policy::{CellTable, ClaimTable, ConfigurationStore, RequestTracker};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, PoisonError};
use std::time::Instant;

/// The actor that steps the kernel and executes its effects.
#[derive(Actor)]
pub(crate) struct ControlActor {
    kernel: Kernel,
    shared: Arc<SharedState>,
    session: Option<BufWriter<File>>,
}

impl ControlActor {
    pub(crate) fn new(kernel: Kernel, shared: Arc<SharedState>) -> std::io::Result<Self> {
        let session = match &shared.settings.session_file {
            Some(path) => {
                let mut file = BufWriter::new(File::create(path)?);
                writeln!(file, "{}", SessionLine::start(kernel.world()))?;
                Some(file)
            }
            None => None,
        };
        Ok(Self { kernel, shared, session })
    }

    fn step(&mut self, event: Event) {
        let started = Instant::now();
        let now = self.shared.now();
        let is_tick = matches!(event, Event::Tick);
        if let Some(session) = &mut self.session {
            // A line that cannot be written is only missing from the recording.
            let _ = writeln!(session, "{}", SessionLine::Input(now, event.clone()));
        }
        let effects = self.kernel.step(now, event);
        if let Some(session) = &mut self.session {
            for effect in &effects {
                let _ = writeln!(session, "{}", SessionLine::Output(effect.clone()));
            }
            let _ = session.flush();
        }
        for effect in effects {
            execute_effect(&self.shared, effect);
        }
        if is_tick {
            self.refresh_report();
        }
        self.shared.metrics.control_micros.inc_by(started.elapsed().as_micros() as u64);
        self.shared.metrics.control_events.inc();
    }

    /// Rebuilds the report that `/status` returns.
    fn refresh_report(&self) {
        let world = self.kernel.world();
        let now = self.shared.now();
        let vms: Vec<_> = world
            .vms
            .iter()
            .map(|(index, row)| {
                serde_json::json!({
                    "name": world.vm_names.name(index),
                    "data_centre": row.data_centre,
                    "live": world.is_live(index, now),
                    "generation": if world.vm_names.name(index) == world.own_name { world.generation } else { row.generation },
                })
            })
            .collect();
        let endpoints: Vec<_> = world
            .endpoints
            .iter()
            .filter(|(_, row)| row.declared && row.data_centre == world.data_centre)
            .map(|(index, row)| {
                serde_json::json!({ "name": world.endpoint_names.name(index), "takes_work": row.accepts_work(now) })
            })
            .collect();
        let cells: Vec<_> = self
            .kernel
            .plugin::<CellTable>("cell")
            .map(CellTable::report)
            .unwrap_or_default()
            .into_iter()
            .map(|(cell, queued, running)| serde_json::json!({ "cell": cell, "queued": queued, "running": running }))
            .collect();
        let report = serde_json::json!({
            "name": world.own_name,
            "data_centre": world.data_centre,
            "generation": world.generation,
            "stopping": world.stopping,
            "vms": vms,
            "endpoints": endpoints,
            "cells": cells,
            "kept_pieces": self.kernel.plugin::<CellTable>("cell").map_or(0, CellTable::stored_block_count),
            "held_pieces": self.kernel.plugin::<CellTable>("cell").map_or(0, CellTable::cached_block_count),
            "claims": self.kernel.plugin::<ClaimTable>("claims").map_or(0, ClaimTable::row_count),
            "open_requests": self.kernel.plugin::<RequestTracker>("entry").map_or(0, RequestTracker::open_count),
            "bypassed": self.kernel.plugin::<RequestTracker>("entry").map_or(0, |tracker| tracker.bypassed_count),
            "configuration_bytes":
                self.kernel.plugin::<ConfigurationStore>("configuration").map_or(0, ConfigurationStore::chunk_bytes),
        });
        *self.shared.report.write().unwrap_or_else(PoisonError::into_inner) = report;
    }
}

impl Message<Event> for ControlActor {
    type Reply = ();

    async fn handle(&mut self, event: Event, _context: &mut Context<Self, Self::Reply>) {
        self.step(event);
    }
}
