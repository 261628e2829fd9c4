//! Memory that this VM holds for callers that send or read slowly.

mod chunk_channel;
mod held_body;
mod memory_desk;

pub(crate) use chunk_channel::{PieceFault, PieceSender, piece_channel};
pub(crate) use held_body::{BodyFault, read_held};
pub(crate) use memory_desk::{HeldGuard, MemoryDesk};
