//! Weight versions on which a request may start, and their deadlines.

use spanfold_entity::Moment;

/// Requirements on the weights on which a request starts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequiredWeights {
    /// Newest published version.
    pub newest: u64,
    /// Published versions, each with the time from which no request may start on older ones.
    pub bounds: Vec<(u64, Moment)>,
}

impl RequiredWeights {
    /// Returns the time from which no request may start on `version`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::RequiredWeights;
    /// let required = RequiredWeights { newest: 3, bounds: vec![(2, Moment(20)), (3, Moment(10))] };
    /// assert_eq!(required.start_deadline(1), Moment(10));
    /// assert_eq!(required.start_deadline(3), Moment::NEVER);
    /// ```
    pub fn start_deadline(&self, version: u64) -> Moment {
        let newer_bounds = self.bounds.iter().filter(|(published, _)| *published > version);
        newer_bounds.map(|(_, bound)| *bound).min().unwrap_or(Moment::NEVER)
    }
}
