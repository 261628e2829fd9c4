//! Memory that buffers data of callers that send or read slowly.

mod body_reader;
mod chunk_channel;
mod memory_limiter;

pub(crate) use body_reader::{BodyFault, discard, read_limited};
pub(crate) use chunk_channel::{ChunkFault, ChunkSender, chunk_channel};
pub(crate) use memory_limiter::{MemoryLimiter, MemoryReservation};
