//! What a VM tells others of a request that it placed.

use crate::salted_key;
use crate::{EndpointKey, FleetTable, PlacementChoice, PromptSegment};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// Parts of a prompt that are told, the leading ones: with 64 notes of so many, a digest stays below half of the
/// largest datagram.
const PARTS_MOST: usize = 16;

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
    /// Whether it tells anything.
    pub(crate) fn has_parts(&self) -> bool {
        !self.parts.is_empty()
    }

    /// The note of a choice that was made for a prompt of `parts`.
    pub(crate) fn new(choice: &PlacementChoice, parts: &[PromptSegment]) -> Self {
        let saves = choice.kept.saves.iter().take(PARTS_MOST).enumerate();
        let saves = saves.filter_map(|(place, store)| Some((u8::try_from(place).ok()?, (*store)?)));
        Self {
            key: choice.key,
            parts: parts.iter().take(PARTS_MOST).map(|part| (part.key, part.tokens)).collect(),
            salt: choice.salt,
            saves: saves.collect(),
        }
    }

    /// Tells a table what the placement brings: parts at the engine, and on their way to stores.
    pub(crate) fn apply(&self, table: &mut FleetTable, now: Moment) {
        let parts = self.prompt_segments();
        table.record_segments(self.key, &parts, self.salt);
        for (place, store) in &self.saves {
            if let Some(part) = parts.get(usize::from(*place))
                && let Some(row) = table.store_mut(*store)
            {
                row.record_remote_request(salted_key(part.key, self.salt), part.tokens, now);
            }
        }
    }

    fn prompt_segments(&self) -> Vec<PromptSegment> {
        self.parts.iter().map(|(key, tokens)| PromptSegment { key: *key, tokens: *tokens }).collect()
    }
}
