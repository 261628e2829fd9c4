//! Facts that endpoints state about themselves, and the connections to them.

pub(crate) mod answer_facts;
pub(crate) mod answer_handler;
pub(crate) mod crash_detector;
pub(crate) mod endpoint_pool;
pub(crate) mod head_limit;
pub(crate) mod observed_stream;
pub(crate) mod path_probe;
