//! Message about a request that a VM has placed.

use crate::salted_key;
use crate::{EndpointKey, FleetTable, PlacementChoice, PromptSegment};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;

/// Maximum number of leading segments of a prompt that are propagated. With 64 messages of this size a digest
/// stays below half of the largest datagram.
const MAX_SEGMENTS: usize = 16;

/// A placed request: its engine, and the segments that the engine will cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct PlacementMessage {
    pub key: EndpointKey,
    pub parts: Vec<(u64, u32)>,
    pub salt: u64,
    /// Stores that segments are being saved to, each with the segment's index.
    pub saves: Vec<(u8, EndpointKey)>,
}

impl PlacementMessage {
    /// Whether there is anything to propagate.
    pub(crate) fn has_segments(&self) -> bool {
        !self.parts.is_empty()
    }

    /// Builds the message of a choice that was made for a prompt of `segments`.
    pub(crate) fn new(choice: &PlacementChoice, segments: &[PromptSegment]) -> Self {
        let saves = choice.transfers.saves.iter().take(MAX_SEGMENTS).enumerate();
        let saves = saves.filter_map(|(index, store)| Some((u8::try_from(index).ok()?, (*store)?)));
        Self {
            key: choice.key,
            parts: segments.iter().take(MAX_SEGMENTS).map(|segment| (segment.key, segment.tokens)).collect(),
            salt: choice.salt_digest,
            saves: saves.collect(),
        }
    }

    /// Records the placement's effects in a table: segments at the engine, and on their way to stores.
    pub(crate) fn apply(&self, table: &mut FleetTable, now: Moment) {
        let segments = self.prompt_segments();
        table.record_segments(self.key, &segments, self.salt);
        for (index, store) in &self.saves {
            if let Some(segment) = segments.get(usize::from(*index))
                && let Some(row) = table.store_mut(*store)
            {
                row.record_remote_request(salted_key(segment.key, self.salt), segment.tokens, now);
            }
        }
    }

    fn prompt_segments(&self) -> Vec<PromptSegment> {
        self.parts.iter().map(|(key, tokens)| PromptSegment { key: *key, tokens: *tokens }).collect()
    }
}
