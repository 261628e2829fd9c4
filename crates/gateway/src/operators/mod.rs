//! Metrics, status and listeners for operators and the balancer.

pub(crate) mod gateway_metrics;
pub(crate) mod gateway_status;
pub(crate) mod load_sampler;
pub(crate) mod operator_port;
