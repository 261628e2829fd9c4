//! Keeps a stream at the software version that began it, also when its caller resumes it at another VM.
//!
//! Invariant: a stream goes on only at an engine of the version that wrote its first event. The VM that passes
//! that event to the caller records the version here and at a few other VMs before the event leaves. A VM
//! without a record asks others; what none of them knows is refused, never guessed.

pub(crate) mod copy_task;
pub(crate) mod resumption;
pub(crate) mod software_task;
pub(crate) mod stream_message;
pub(crate) mod stream_tracker;
