//! Task that samples how evenly the services' endpoints are loaded, for metrics and the log.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::ServiceLabel;
use spanfold_entity::MICROS_PER_MILLI;
use std::sync::Arc;
use std::time::Duration;

/// Interval between samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// Endpoints for which a sample takes some 0.3 ms; in larger deployments samples are taken less often, so that
/// their part of the processor time stays the same.
const ENDPOINTS_PER_INTERVAL: u32 = 1_000;
/// Longest interval between samples.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Samples the load of all services until the process ends.
pub(crate) async fn sample_loads(gateway: Arc<Gateway>) {
    loop {
        let endpoints = gateway.table().rows().count() as u32;
        tokio::time::sleep(
            (SAMPLE_INTERVAL * (endpoints / ENDPOINTS_PER_INTERVAL)).clamp(SAMPLE_INTERVAL, MAX_INTERVAL),
        )
        .await;
        gateway.sample_load();
    }
}

impl Gateway {
    /// Samples the load of all services, sets the metrics, and logs an imbalance whose report is due.
    fn sample_load(&self) {
        let now = self.now();
        let samples = self.table().sample_spread(now);
        let metrics = &self.metrics.spread;
        for sample in &samples {
            let label = ServiceLabel { service: sample.service.clone() };
            metrics.load_variation.get_or_create(&label).set(sample.variation);
        }
        let uneven_services: Vec<_> = samples
            .iter()
            .filter(|sample| sample.is_uneven())
            .map(|sample| ServiceLabel { service: sample.service.clone() })
            .collect();
        for sample in &samples {
            let label = ServiceLabel { service: sample.service.clone() };
            let ratio = self.table().stream_pauses(&sample.service).ratio();
            metrics.overlong_pause_ratio.get_or_create(&label).set(ratio);
        }
        let update = self.load_spread().record(samples, now);
        for label in &uneven_services {
            let seconds = Duration::from_micros(update.sample_micros).as_secs_f64();
            metrics.overrun_beside_idle_seconds.get_or_create(label).inc_by(seconds);
        }
        for service in update.removed {
            let label = ServiceLabel { service };
            metrics.load_variation.remove(&label);
            metrics.overlong_pause_ratio.remove(&label);
        }
        if let Some(report) = update.report {
            let sample = &report.sample;
            // Three decimals: estimates of load are not more exact.
            let variation = (sample.variation * 1_000.0).round() / 1_000.0;
            log::info!(service = sample.service.as_str(), variation, over = sample.overrun,
                under_half = sample.underused, uneven_ms = report.uneven_micros / MICROS_PER_MILLI,
                delayed = report.delayed; "load.uneven");
        }
    }
}
