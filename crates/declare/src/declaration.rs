//! Declarations of operators: client accounts, pools, endpoints, shares and objectives.
//!
//! Invariant: a [`Declarations`] value has passed the verifier: names resolve, shares of a pool do
//! not exceed 100 percent, and every selector is parsed. [`Catalogue`] adds the results of the
//! selectors, so that no request evaluates one.

use crate::{Document, Findings, Labels, Selector, verify};
use std::collections::{BTreeMap, HashMap};

/// The kind of back end at an endpoint's address.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointKind {
    /// A model engine, called through the completions interface.
    #[default]
    Engine,
    /// A plain service, to which calls are forwarded unchanged.
    Service,
    /// A cache store.
    Store,
}

/// A group of callers, with its limits.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClientAccount {
    /// The account's name.
    pub name: String,
    /// Digests of its bearer keys, as returned by [`key_digest`]; the keys are not stored.
    pub key_digests: Vec<String>,
    /// Labels that selectors match.
    pub labels: Labels,
    /// Limit of requests per second over the fleet; zero: no limit.
    pub rate: f64,
    /// Limit of requests in flight at one entry VM; zero: no limit.
    pub concurrency: u32,
}

/// A pool of endpoints of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    /// The pool's name.
    pub name: String,
    /// The kind of its endpoints.
    pub kind: EndpointKind,
    /// Labels that the shares' selectors match.
    pub labels: Labels,
    /// Selects its endpoints.
    pub selector: Selector,
    /// The model name in callers' requests; engines only.
    pub model: String,
    /// The model's weight version; engines only.
    pub version: String,
    /// Methods that may run at most once; services only.
    pub not_repeatable: Vec<String>,
}

/// A back end at an address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The endpoint's name.
    pub name: String,
    /// Its kind.
    pub kind: EndpointKind,
    /// Its address, `IP:PORT`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// Labels that the pools' selectors match.
    pub labels: Labels,
    /// Number of concurrent requests (engine, service) or transfers (store).
    pub slots: u32,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Whether the operator is taking it out of service.
    pub draining: bool,
}

/// A data centre; those of the same region are close enough to share prompts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentre {
    /// The data centre's name.
    pub name: String,
    /// Its region.
    pub region: String,
}

/// A guarantee that selected accounts get a share of selected pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Share {
    /// The share's name.
    pub name: String,
    /// Selects the client accounts.
    pub accounts: Selector,
    /// Selects the pools.
    pub resources: Selector,
    /// Percent of each pool, divided equally among the accounts.
    pub percent: f64,
}

/// The quantity that an objective measures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ObjectiveKind {
    /// Time from arrival to the first token.
    #[default]
    FirstToken,
    /// Time from arrival to the end of the answer.
    Answer,
    /// Whether the request was answered.
    Availability,
}

/// A service-level objective of selected accounts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Objective {
    /// The objective's name.
    pub name: String,
    /// Selects the client accounts.
    pub accounts: Selector,
    /// The measured quantity.
    pub kind: ObjectiveKind,
    /// The bound in milliseconds; unused for availability.
    pub threshold_millis: u64,
    /// Fraction of requests that must be within the bound, such as 0.95.
    pub target: f64,
}

/// All declarations of operators, verified.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Declarations {
    /// Client accounts by name.
    pub accounts: BTreeMap<String, ClientAccount>,
    /// Pools by name.
    pub pools: BTreeMap<String, Pool>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, Endpoint>,
    /// Data centres by name; an undeclared one is a region of its own.
    pub data_centres: BTreeMap<String, DataCentre>,
    /// Shares by name.
    pub shares: BTreeMap<String, Share>,
    /// Objectives by name.
    pub objectives: BTreeMap<String, Objective>,
}

impl Declarations {
    /// Returns the region of the data centre called `name`.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_declare::Declarations::default().region("dc-a"), "dc-a");
    /// ```
    pub fn region<'a>(&'a self, name: &'a str) -> &'a str {
        self.data_centres.get(name).map_or(name, |centre| centre.region.as_str())
    }

    /// Verifies a whole document.
    ///
    /// # Errors
    /// All findings, each with file, line and key.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::{Declarations, Document};
    /// let text = "[pool p]\nkind = engine\nmodel = m\nversion = 1\n";
    /// let document = Document::parse("a.ini", text).unwrap();
    /// assert_eq!(Declarations::check(&document).unwrap().pools["p"].model, "m");
    /// let document = Document::parse("a.ini", "[pool p]\nkind = boat\nspeed = 3\n").unwrap();
    /// assert!(Declarations::check(&document).unwrap_err().0.len() >= 2);
    /// ```
    pub fn check(document: &Document) -> Result<Self, Findings> {
        verify::check(document)
    }
}

/// Declarations with lookup tables, computed from their selectors, for the request path.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    /// The declarations themselves.
    pub declarations: Declarations,
    /// Account names by key digest.
    pub account_by_digest: HashMap<String, String>,
    /// Pool names by model.
    pub pool_by_model: HashMap<String, String>,
    /// Endpoint names by pool, sorted.
    pub endpoints_by_pool: BTreeMap<String, Vec<String>>,
    /// Share of each account that may use a pool, as a fraction of one; by pool and account.
    pub account_shares: BTreeMap<String, HashMap<String, f64>>,
}

impl Catalogue {
    /// Applies the selectors of `declarations`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_declare::{Catalogue, Declarations, Document};
    /// let text = "[pool p]\nkind = engine\nmodel = m\nversion = 1\n\
    ///     [client-account a]\nlabels = tier=gold\n\
    ///     [client-account b]\nlabels = tier=gold\n\
    ///     [share s]\naccounts = tier=gold\nresources =\npercent = 60\n";
    /// let document = Document::parse("a.ini", text).unwrap();
    /// let catalogue = Catalogue::new(Declarations::check(&document).unwrap());
    /// assert_eq!(catalogue.account_shares["p"]["a"], 0.3);
    /// ```
    pub fn new(declarations: Declarations) -> Self {
        let mut catalogue = Self::default();
        for account in declarations.accounts.values() {
            for digest in &account.key_digests {
                catalogue.account_by_digest.insert(digest.clone(), account.name.clone());
            }
        }
        for pool in declarations.pools.values() {
            if !pool.model.is_empty() {
                catalogue.pool_by_model.insert(pool.model.clone(), pool.name.clone());
            }
            let members = declarations
                .endpoints
                .values()
                .filter(|endpoint| endpoint.kind == pool.kind && pool.selector.matches(&endpoint.labels))
                .map(|endpoint| endpoint.name.clone())
                .collect();
            catalogue.endpoints_by_pool.insert(pool.name.clone(), members);
            catalogue.account_shares.insert(pool.name.clone(), account_shares(&declarations, pool));
        }
        catalogue.declarations = declarations;
        catalogue
    }
}

fn account_shares(declarations: &Declarations, pool: &Pool) -> HashMap<String, f64> {
    let mut account_shares = HashMap::new();
    for share in declarations.shares.values().filter(|share| share.resources.matches(&pool.labels)) {
        let selected_accounts: Vec<_> = declarations
            .accounts
            .values()
            .filter(|account| share.accounts.matches(&account.labels))
            .collect();
        for account in &selected_accounts {
            *account_shares.entry(account.name.clone()).or_insert(0.0) +=
                share.percent / 100.0 / selected_accounts.len() as f64;
        }
    }
    account_shares
}

/// Returns the digest by which a bearer key is declared: BLAKE3, in hexadecimal.
///
/// # Examples
/// ```
/// assert_eq!(spanfold_declare::key_digest("secret").len(), 64);
/// ```
pub fn key_digest(key: &str) -> String {
    blake3::hash(key.as_bytes()).to_hex().to_string()
}
