//! What operators and the balancer ask of a VM.

pub(crate) mod gateway_metrics;
pub(crate) mod gateway_status;
pub(crate) mod operator_port;
