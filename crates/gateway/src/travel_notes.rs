//! Placements that wait to be told to other VMs.

use crate::salted_key;
use crate::{EndpointKey, FleetTable, PlacementChoice, PromptPart};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::sync::{Mutex, PoisonError};

/// Placements that wait at most: those beyond it are not told.
const NOTES_MOST: usize = 64;

/// A request that was placed: where, and which parts its engine will keep.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacedNote {
    pub key: EndpointKey,
    pub parts: Vec<(u64, u32)>,
    pub salt: u64,
    /// Stores that parts are being saved to, each with the part's place.
    pub saves: Vec<(u8, EndpointKey)>,
}

impl PlacedNote {
    /// The note of a choice that was made for a prompt of `parts`.
    pub(crate) fn new(choice: &PlacementChoice, parts: &[PromptPart]) -> Self {
        let saves = choice.kept.saves.iter().enumerate();
        let saves = saves.filter_map(|(place, store)| Some((u8::try_from(place).ok()?, (*store)?)));
        Self {
            key: choice.key,
            parts: parts.iter().map(|part| (part.key, part.tokens)).collect(),
            salt: choice.salt,
            saves: saves.collect(),
        }
    }

    /// Tells a table what the placement brings: parts at the engine, and on their way to stores.
    pub(crate) fn apply(&self, table: &mut FleetTable, now: Moment) {
        let parts = self.prompt_parts();
        table.note_parts(self.key, &parts, self.salt);
        for (place, store) in &self.saves {
            if let Some(part) = parts.get(usize::from(*place))
                && let Some(row) = table.store_mut(*store)
            {
                row.ask_elsewhere(salted_key(part.key, self.salt), part.tokens, now);
            }
        }
    }

    fn prompt_parts(&self) -> Vec<PromptPart> {
        self.parts.iter().map(|(key, tokens)| PromptPart { key: *key, tokens: *tokens }).collect()
    }
}

/// Placements that wait to be told.
#[derive(Debug, Default)]
pub(crate) struct TravelNotes(Mutex<Vec<PlacedNote>>);

impl TravelNotes {
    /// Adds a placement.
    pub(crate) fn push(&self, note: &PlacedNote) {
        let mut notes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if notes.len() < NOTES_MOST && !note.parts.is_empty() {
            notes.push(note.clone());
        }
    }

    /// Takes all that wait.
    pub(crate) fn take(&self) -> Vec<PlacedNote> {
        std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
