//! Which weight versions a request may start on, and until when.

use spanfold_entity::Moment;

/// What is wanted of the weights that a request starts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequiredWeights {
    /// The newest version.
    pub newest: u64,
    /// Versions that were named, each with the moment from which no request may start on older ones.
    pub bounds: Vec<(u64, Moment)>,
}

impl RequiredWeights {
    /// The moment from which no request may start on `version`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_entity::Moment;
    /// use spanfold_decide::WantedWeights;
    /// let wanted = WantedWeights { newest: 3, bounds: vec![(2, Moment(20)), (3, Moment(10))] };
    /// assert_eq!(wanted.last_start(1), Moment(10));
    /// assert_eq!(wanted.last_start(3), Moment::NEVER);
    /// ```
    pub fn last_start(&self, version: u64) -> Moment {
        let newer = self.bounds.iter().filter(|(named, _)| *named > version);
        newer.map(|(_, bound)| *bound).min().unwrap_or(Moment::NEVER)
    }
}
