//! Regions that a request may be served in.
//!
//! Invariant: where a route or a client account names regions, an endpoint or store elsewhere, or in a data centre whose region
//! is not known, gets neither the request nor what is kept of it. Where both name some, both bind.

/// The regions that a request's route and its client account name; empty means anywhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HomeRegions<'a> {
    /// Those of its route.
    pub route: &'a [String],
    /// Those of its client account.
    pub account: &'a [String],
}

impl HomeRegions<'_> {
    /// Whether it may be served anywhere.
    pub const fn is_anywhere(&self) -> bool {
        self.route.is_empty() && self.account.is_empty()
    }

    /// Whether it may be served in a region.
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
        let allows = |named: &[String]| {
            named.is_empty() || region.is_some_and(|region| named.iter().any(|name| name == region))
        };
        allows(self.route) && allows(self.account)
    }
}
