//! Evaluation of the evidence against a suspect.

/// Minimum number of crashes under a suspect before it can be found fatal.
pub const MIN_CRASHES_PER_VERDICT: usize = 3;
/// Number of crashes under a suspect after which it runs once at a time, whatever the odds.
///
/// Each further crash is then independent of the others, so that a few more decide.
pub const MIN_CRASHES_PER_TRIAL: usize = 5;
/// Minimum log odds against a suspect: the natural logarithm of ten million, to which that of the number of
/// endpoints is added.
///
/// A request that is sent up to four times while endpoints crash at `r` a second each is then quarantined by
/// mistake with a probability of `r^4 * Q(4, t - 4 ln(1/r))`, `Q` being the upper incomplete gamma ratio and
/// `t` this sum. With 5,500 endpoints that each crash every ten seconds, and 40,000 requests a second, that
/// is one in 30 minutes of such failures; where one endpoint a minute crashes, one in 29 years.
/// `tests/crash_history.rs` counts mistakes in random histories.
const MIN_LOG_ODDS: f64 = 16.1;
/// Minimum log odds against a suspect on probation: one crash suffices if its probability is below one in
/// 200.
const MIN_PROBATION_LOG_ODDS: f64 = 5.3;

/// Evaluation of the evidence against a suspect.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CrashVerdict {
    /// Number of endpoints that crashed under it.
    pub crashes: usize,
    /// Number of these crashes that are not attributed to another suspect.
    pub counted: usize,
    /// Natural logarithm of one over the probability that it is unrelated to them.
    pub log_odds: f64,
    /// Number of endpoints of the service.
    pub service_size: u32,
}

impl CrashVerdict {
    /// Whether the suspect crashes endpoints.
    pub fn is_fatal(&self) -> bool {
        self.counted >= MIN_CRASHES_PER_VERDICT && self.log_odds >= self.needed_log_odds()
    }

    /// Whether the suspect is to run once at a time.
    pub const fn needs_trial(&self) -> bool {
        self.counted >= MIN_CRASHES_PER_TRIAL
    }

    /// Returns the log odds that a verdict of a suspect's guilt needs.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::CrashVerdict;
    /// let verdict = |service_size| CrashVerdict { service_size, ..CrashVerdict::default() };
    /// assert!(verdict(6).needed_log_odds() < verdict(5_500).needed_log_odds());
    /// ```
    pub fn needed_log_odds(&self) -> f64 {
        MIN_LOG_ODDS + f64::from(self.service_size.max(1)).ln()
    }

    /// Whether a suspect on probation crashes endpoints again.
    pub fn is_fatal_again(&self) -> bool {
        self.counted > 0 && self.log_odds >= MIN_PROBATION_LOG_ODDS
    }
}
