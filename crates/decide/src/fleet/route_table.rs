//! Which route and which client account a request belongs to.
//!
//! Invariant: among the routes of a host the longest prefix wins. Routes are kept sorted by
//! falling length, so the first hit is the answer; a trie would save time only with far more
//! routes for one host than a deployment has.

use crate::{AccountRow, DeploymentConfig, HomeRegions, RouteRow, ServiceWeight};
use std::collections::HashMap;

/// The configuration in force, indexed for look-up.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: DeploymentConfig,
    routes_by_host: HashMap<String, Vec<usize>>,
    account_by_key: HashMap<String, usize>,
    /// Whether any route or account names regions.
    has_homes: bool,
}

impl RouteTable {
    /// Indexes `config`.
    pub fn new(config: DeploymentConfig) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (row, route) in config.routes.iter().enumerate() {
            routes_by_host.entry(route.host.clone()).or_default().push(row);
        }
        for rows in routes_by_host.values_mut() {
            rows.sort_by_key(|row| std::cmp::Reverse(config.routes[*row].prefix.len()));
        }
        let account_by_key = config
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(row, account)| account.keys.iter().map(move |key| (key.clone(), row)))
            .collect();
        let mut homes =
            config.routes.iter().map(|row| &row.homes).chain(config.accounts.iter().map(|row| &row.homes));
        let has_homes = homes.any(|homes| !homes.is_empty());
        Self { config, routes_by_host, account_by_key, has_homes }
    }

    /// The configuration.
    pub const fn config(&self) -> &DeploymentConfig {
        &self.config
    }

    /// The route of a request to `path` at `host`; a port in `host` is ignored.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{DeploymentConfig, RouteTable};
    /// let table = RouteTable::new(DeploymentConfig::default());
    /// assert!(table.route("a.example", "/b/").is_none());
    /// ```
    pub fn route(&self, host: &str, path: &str) -> Option<&RouteRow> {
        let host = host.split_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let rows = self.routes_by_host.get(&host)?;
        rows.iter().map(|row| &self.config.routes[*row]).find(|route| path.starts_with(&route.prefix))
    }

    /// The account that `key` belongs to.
    pub fn account(&self, key: &str) -> Option<&AccountRow> {
        self.account_by_key.get(key).map(|row| &self.config.accounts[*row])
    }

    /// The regions that requests to `path` at `host` of the account called `account` may be served in.
    pub fn homes(&self, host: &str, path: &str, account: Option<&str>) -> HomeRegions<'_> {
        if !self.has_homes {
            return HomeRegions::default();
        }
        let route = self.route(host, path).map_or(&[][..], |route| &route.homes);
        let row = account.and_then(|name| self.config.accounts.iter().find(|row| row.name == name));
        HomeRegions { route, account: row.map_or(&[][..], |row| &row.homes) }
    }

    /// Whether callers of routes that are not public need a key.
    pub fn asks_for_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}

/// Picks a service by weight; `draw` lies in `0.0..1.0`.
pub fn pick_target(targets: &[ServiceWeight], draw: f64) -> Option<&str> {
    let total: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
    let mut rest = draw * total;
    for target in targets {
        rest -= target.weight.max(0.0);
        if rest < 0.0 {
            return Some(&target.service);
        }
    }
    targets.last().map(|target| target.service.as_str())
}
