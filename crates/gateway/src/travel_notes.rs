//! Placements and refusals that wait to be told to other VMs.

use crate::{EndpointKey, PromptPart};
use serde::{Deserialize, Serialize};
use std::sync::{Mutex, PoisonError};

/// Placements and refusals that wait at most: those beyond it are not told.
const NOTES_MOST: usize = 64;

/// A request that was placed: where, and which parts its engine will keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacedNote {
    pub key: EndpointKey,
    pub parts: Vec<(u64, u32)>,
    pub salt: u64,
}

impl PlacedNote {
    pub(crate) fn new(key: EndpointKey, parts: &[PromptPart], salt: u64) -> Self {
        Self { key, parts: parts.iter().map(|part| (part.key, part.tokens)).collect(), salt }
    }

    pub(crate) fn prompt_parts(&self) -> Vec<PromptPart> {
        self.parts.iter().map(|(key, tokens)| PromptPart { key: *key, tokens: *tokens }).collect()
    }
}

/// What happened and has not been told.
#[derive(Debug, Default)]
struct UntoldNotes {
    placed: Vec<PlacedNote>,
    refused: Vec<u64>,
}

/// Placements and refusals that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct TravelNotes(Mutex<UntoldNotes>);

impl TravelNotes {
    /// Adds a placement.
    pub(crate) fn push_placed(&self, note: &PlacedNote) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if notes.placed.len() < NOTES_MOST && !note.parts.is_empty() {
            notes.placed.push(note.clone());
        }
    }

    /// Adds requests that were refused and may return, by the last part of their prompt.
    pub(crate) fn push_refused(&self, parts: &[u64]) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let free = NOTES_MOST.saturating_sub(notes.refused.len());
        notes.refused.extend(parts.iter().take(free));
    }

    /// Takes all that waits: placements, and refused requests.
    pub(crate) fn take(&self) -> (Vec<PlacedNote>, Vec<u64>) {
        let notes = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        (notes.placed, notes.refused)
    }
}
