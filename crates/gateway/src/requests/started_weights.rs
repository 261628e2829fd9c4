//! Weights on which a request began, and what this VM knew of their publications at that moment.

use crate::gateway::Gateway;
use spanfold_entity::{MICROS_PER_MILLI, Moment};

/// Weights of a request that began at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StartedWeights {
    /// Version that the request expected; none if it stated none.
    pub expected: Option<u64>,
    /// Newest published version.
    pub newest: u64,
    /// Recorded age of its publication, in milliseconds.
    pub age_millis: u64,
    /// Source of that age.
    pub source: &'static str,
    /// Time until no request may begin on the expected version, in milliseconds; negative after it, none if
    /// that version is the newest or unknown.
    pub margin_millis: Option<i64>,
}

impl Gateway {
    /// Returns what is known of a model's publications now that a request begins on `expected`; none if no
    /// version was published.
    pub(crate) fn started_weights(&self, model: &str, expected: Option<u64>) -> Option<StartedWeights> {
        let published = self.publications_of(model)?;
        let newest = published.versions().last()?;
        let required = published.required(self.settings.version_ms)?;
        let now = self.now();
        let deadline = expected.map_or(Moment::NEVER, |version| required.start_deadline(version));
        let margin_micros = deadline.0 as i64 - now.0 as i64;
        let margin_millis = (deadline != Moment::NEVER).then(|| margin_micros / MICROS_PER_MILLI as i64);
        Some(StartedWeights {
            expected,
            newest: newest.version,
            age_millis: now.micros_since(newest.since) / MICROS_PER_MILLI,
            source: newest.source.name(),
            margin_millis,
        })
    }

    /// Counts a request that begins on weights that are not the newest.
    pub(crate) fn count_start(&self, started: &StartedWeights) {
        let metrics = &self.metrics.weights;
        match (started.expected, started.margin_millis) {
            (None, _) => metrics.count_start("unknown"),
            (Some(_), None) => metrics.count_start("newest"),
            (Some(_), Some(margin)) => {
                metrics.count_start(if margin < 0 { "overdue" } else { "older" });
                metrics.margin_seconds.observe(margin.max(0) as f64 / 1_000.0);
            }
        }
    }
}
