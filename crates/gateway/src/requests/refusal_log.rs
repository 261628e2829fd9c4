//! Bounds the log lines of requests that are refused by their heads, of which any client can send many.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Period over which lines are counted.
const PERIOD: Duration = Duration::from_secs(1);
/// Lines of one period.
const MAX_LINES: u64 = 100;

/// Lines of the present period.
#[derive(Debug)]
struct LinePeriod {
    ends_at: Instant,
    lines: u64,
}

/// Log lines of refused requests.
#[derive(Debug)]
pub(crate) struct RefusalLog(Mutex<LinePeriod>);

impl Default for RefusalLog {
    fn default() -> Self {
        Self(Mutex::new(LinePeriod { ends_at: Instant::now() + PERIOD, lines: 0 }))
    }
}

impl RefusalLog {
    /// Whether a line may be written; after a period with too many, writes one with the number of the others.
    pub(crate) fn may_write(&self) -> bool {
        let mut period = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        if now >= period.ends_at {
            let unwritten = period.lines.saturating_sub(MAX_LINES);
            *period = LinePeriod { ends_at: now + PERIOD, lines: 0 };
            if unwritten > 0 {
                log::warn!(requests = unwritten; "request.refused_unlogged");
            }
        }
        period.lines += 1;
        period.lines <= MAX_LINES
    }
}
