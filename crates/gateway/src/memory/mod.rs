//! Memory that buffers data of callers that send or read slowly.

mod body_reader;
mod chunk_channel;
mod memory_limiter;
mod request_body;

pub(crate) use body_reader::{
    BodyFault, MAX_CROWDED_DISCARDED_BYTES, MAX_DISCARDED_BYTES, discard, read_limited,
};
pub(crate) use chunk_channel::{ChunkFault, ChunkSender, chunk_channel};
pub(crate) use memory_limiter::{MemoryLimiter, MemoryReservation, caller_bytes};
pub(crate) use request_body::RequestBody;
