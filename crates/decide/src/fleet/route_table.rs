//! Lookup of the route and the client account of a request.
//!
//! Invariant: among the routes of a host, the longest matching prefix wins. The routes of a host are sorted
//! by descending prefix length, so the first match is the result; a trie would save time only with far more
//! routes of one host than a deployment has.

use crate::{AccountRow, DeploymentConfig, HomeRegions, RouteRow, ServiceWeight};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Scope of all accounts while none is isolated.
const SHARED_SCOPE: &str = "shared";
/// Hexadecimal digits that distinguish sets of isolated accounts.
const SCOPE_DIGITS: usize = 16;

/// The active configuration, indexed by host and by account key.
#[derive(Debug, Default)]
pub struct RouteTable {
    config: DeploymentConfig,
    routes_by_host: HashMap<String, Vec<usize>>,
    account_by_key: HashMap<String, usize>,
    /// Whether any route or account restricts regions.
    has_homes: bool,
    /// Services whose waiting prompts are served in order.
    ordered_services: BTreeSet<String>,
    /// Isolation scope of the accounts that share.
    shared_scope: String,
}

impl RouteTable {
    /// Creates a table for `config`.
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
        let ordered_services = find_ordered_services(&config);
        let shared_scope = shared_scope(&config);
        Self { config, routes_by_host, account_by_key, has_homes, ordered_services, shared_scope }
    }

    /// Whether waiting prompts of a service are served by priority and account.
    ///
    /// This holds if its routes have different priorities and there is more than one client account.
    /// Otherwise neither decides, and prompts claim capacity independently of one another.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AccountRow, DeploymentConfig, RouteRow, RouteTable, ServiceWeight};
    /// let targets = vec![ServiceWeight { service: "llm".to_owned(), weight: 1.0 }];
    /// let urgent = RouteRow { targets: targets.clone(), ..RouteRow::default() };
    /// let other = RouteRow { targets, priority: 1, ..RouteRow::default() };
    /// let accounts = vec![AccountRow::default(), AccountRow::default()];
    /// let config = DeploymentConfig { routes: vec![urgent, other], accounts, ..DeploymentConfig::default() };
    /// assert!(RouteTable::new(config.clone()).orders_prompts("llm"));
    /// let config = DeploymentConfig { accounts: Vec::new(), ..config };
    /// assert!(!RouteTable::new(config).orders_prompts("llm"));
    /// ```
    pub fn orders_prompts(&self, service: &str) -> bool {
        self.ordered_services.contains(service)
    }

    /// Returns the configuration.
    pub const fn config(&self) -> &DeploymentConfig {
        &self.config
    }

    /// Returns the route of a request to `path` at `host`, ignoring a port in `host`.
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

    /// Returns the account of a key.
    pub fn account(&self, key: &str) -> Option<&AccountRow> {
        self.account_by_key.get(key).map(|row| &self.config.accounts[*row])
    }

    /// Returns the scope within which an account's requests share cached segments.
    ///
    /// Accounts that share have a scope that depends on who does not: no isolated account ever wrote in it.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{AccountRow, DeploymentConfig, RouteTable};
    /// let account = |name: &str, isolated| AccountRow { name: name.into(), isolated, ..AccountRow::default() };
    /// let table = |isolated| {
    ///     let accounts = vec![account("a", isolated), account("b", false)];
    ///     RouteTable::new(DeploymentConfig { accounts, ..DeploymentConfig::default() })
    /// };
    /// assert_eq!(table(false).isolation_scope(Some("a")), table(false).isolation_scope(Some("b")));
    /// assert_ne!(table(true).isolation_scope(Some("a")), table(true).isolation_scope(Some("b")));
    /// assert_ne!(table(true).isolation_scope(Some("b")), table(false).isolation_scope(Some("b")));
    /// ```
    pub fn isolation_scope(&self, account: Option<&str>) -> String {
        let is_isolated = |row: &&AccountRow| row.isolated && Some(row.name.as_str()) == account;
        match self.config.accounts.iter().find(is_isolated) {
            Some(row) => format!("account:{}", escape_dots(&row.name)),
            None => self.shared_scope.clone(),
        }
    }

    /// Returns the regions in which a request may be served.
    ///
    /// `account` is the name of its client account.
    pub fn homes(&self, host: &str, path: &str, account: Option<&str>) -> HomeRegions<'_> {
        if !self.has_homes {
            return HomeRegions::default();
        }
        let route = self.route(host, path).map_or(&[][..], |route| &route.homes);
        let row = account.and_then(|name| self.config.accounts.iter().find(|row| row.name == name));
        HomeRegions { route, account: row.map_or(&[][..], |row| &row.homes) }
    }

    /// Whether routes that are not public require a key.
    pub fn requires_keys(&self) -> bool {
        !self.config.accounts.is_empty()
    }
}

/// Returns the services with routes of different priorities; none if there is only one client account.
fn find_ordered_services(config: &DeploymentConfig) -> BTreeSet<String> {
    if config.accounts.len() < 2 {
        return BTreeSet::new();
    }
    let mut priorities: BTreeMap<&str, BTreeSet<u8>> = BTreeMap::new();
    for route in &config.routes {
        for target in route.targets.iter().filter(|target| target.weight > 0.0) {
            priorities.entry(&target.service).or_default().insert(route.priority);
        }
    }
    let ordered = priorities.into_iter().filter(|(_, priorities)| priorities.len() > 1);
    ordered.map(|(service, _)| service.to_owned()).collect()
}

/// Picks a service at random by weight; `draw` is a sample in `0.0..1.0`.
pub fn pick_target(targets: &[ServiceWeight], draw: f64) -> Option<&str> {
    let total: f64 = targets.iter().map(|target| target.weight.max(0.0)).sum();
    let mut remaining = draw * total;
    for target in targets {
        remaining -= target.weight.max(0.0);
        if remaining < 0.0 {
            return Some(&target.service);
        }
    }
    targets.last().map(|target| target.service.as_str())
}

/// Returns the scope of the accounts that share: it differs for each set of isolated ones.
fn shared_scope(config: &DeploymentConfig) -> String {
    let isolated = config.accounts.iter().filter(|account| account.isolated);
    let isolated: BTreeSet<&str> = isolated.map(|account| account.name.as_str()).collect();
    if isolated.is_empty() {
        return SHARED_SCOPE.to_owned();
    }
    let mut hasher = blake3::Hasher::new();
    for name in isolated {
        hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes());
    }
    format!("{SHARED_SCOPE}-{}", &hasher.finalize().to_hex()[..SCOPE_DIGITS])
}

/// Escapes dots, which separate the parts of a cache salt.
fn escape_dots(name: &str) -> String {
    name.replace('%', "%25").replace('.', "%2E")
}
