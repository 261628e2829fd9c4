//! Handles one request of a caller, from its head to its answer.

pub(crate) mod accept_loop;
pub(crate) mod answer_record;
pub(crate) mod answer_wait;
mod capacity_wait;
pub(crate) mod dispatch;
pub(crate) mod endpoint_request;
pub(crate) mod event_reader;
pub(crate) mod flight;
pub(crate) mod held_answer;
pub(crate) mod long_answer;
pub(crate) mod open_send;
pub(crate) mod open_sends;
pub(crate) mod outgoing_body;
pub(crate) mod own_answer;
pub(crate) mod prompt_waits;
pub(crate) mod quota_queue;
pub(crate) mod refusal_log;
pub(crate) mod relay;
pub(crate) mod request_context;
pub(crate) mod request_run;
pub(crate) mod request_suspects;
pub(crate) mod started_weights;
pub(crate) mod stopping;
pub(crate) mod stream_relay;
pub(crate) mod whole_answer;
