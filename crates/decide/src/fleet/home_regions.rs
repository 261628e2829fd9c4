//! Regions in which a request may be served.
//!
//! Invariant: if a route or a client account names regions, the request and its cached state stay in these.
//! Endpoints and stores elsewhere, or in a data centre of unknown region, get neither. If both name regions,
//! both restrictions apply.

use crate::short_digest;

/// The regions that a request's route and client account name; empty means anywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions<'a> {
    /// Regions of its route.
    pub route: &'a [String],
    /// Regions of its client account.
    pub account: &'a [String],
}

impl HomeRegions<'_> {
    /// Whether the request may be served anywhere.
    pub const fn is_anywhere(&self) -> bool {
        self.route.is_empty() && self.account.is_empty()
    }

    /// Returns a digest that is equal for equal regions; zero if the request may be served anywhere.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HomeRegions;
    /// let regions = ["north".to_owned()];
    /// assert_eq!(HomeRegions::default().digest(), 0);
    /// assert_ne!(HomeRegions { route: &regions, account: &[] }.digest(), 0);
    /// ```
    pub fn digest(&self) -> u64 {
        if self.is_anywhere() {
            return 0;
        }
        // Names contain no control characters, so different lists give different texts.
        short_digest(&format!("{}\u{1}{}", self.route.join("\u{2}"), self.account.join("\u{2}"))).max(1)
    }

    /// Whether the request may be served in a region; `None` is an unknown region.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::HomeRegions;
    /// let (route, account) = (["north".to_owned(), "south".to_owned()], ["south".to_owned()]);
    /// let homes = HomeRegions { route: &route, account: &account };
    /// assert!(homes.allow(Some("south")));
    /// assert!(!homes.allow(Some("north")) && !homes.allow(None));
    /// ```
    pub fn allow(&self, region: Option<&str>) -> bool {
        let allows = |regions: &[String]| {
            regions.is_empty() || region.is_some_and(|region| regions.iter().any(|name| name == region))
        };
        allows(self.route) && allows(self.account)
    }
}
