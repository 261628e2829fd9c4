//! Routes and the retry budget.

use spanfold_decide::{
    AccountRow, BudgetTerms, DeploymentConfig, RetryBudget, RouteKind, RouteRow, RouteTable, ServiceWeight,
    pick_target,
};
use spanfold_entity::Moment;

fn route(host: &str, prefix: &str) -> RouteRow {
    RouteRow {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        targets: Vec::new(),
        timeout_millis: 1_000,
        objective_millis: 100,
        gap_millis: 0,
        priority: 0,
        attempts: 1,
        public: false,
        resumable: false,
        homes: Vec::new(),
    }
}

#[yare::parameterized(
    longest = { "a.example", "/x/y/z", Some("a.example/x/y/") },
    shorter = { "a.example", "/x/z", Some("a.example/x/") },
    root = { "a.example", "/q", Some("a.example/") },
    port_and_case = { "A.Example:80", "/x/z", Some("a.example/x/") },
    other_host = { "b.example", "/x/y/", None },
    not_a_whole_segment = { "c.example", "/xy/", None },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, expected: Option<&str>) {
    let routes = [("a.example", "/x/"), ("a.example", "/"), ("a.example", "/x/y/"), ("c.example", "/x/")];
    let routes = routes.map(|(host, prefix)| route(host, prefix)).to_vec();
    let table = RouteTable::new(DeploymentConfig { routes, ..DeploymentConfig::default() });
    assert_eq!(table.route(host, path).map(|route| route.name.as_str()), expected);
}

#[test]
fn keys_belong_to_accounts_and_are_not_printed() {
    let account =
        AccountRow { name: "one".to_owned(), keys: vec!["secret".to_owned()], ..AccountRow::default() };
    let table = RouteTable::new(DeploymentConfig { accounts: vec![account], ..DeploymentConfig::default() });
    assert_eq!(table.account("secret").map(|account| account.name.as_str()), Some("one"));
    assert!(table.account("other").is_none());
    assert!(!format!("{:?}", table.config()).contains("secret"));
}

#[test]
fn targets_are_picked_by_weight() {
    let targets = [("a", 90.0), ("b", 10.0), ("c", 0.0)]
        .map(|(service, weight)| ServiceWeight { service: service.to_owned(), weight });
    let picked = [0.0, 0.89, 0.91, 0.999].map(|draw| pick_target(&targets, draw).unwrap());
    assert_eq!(picked, ["a", "a", "b", "b"]);
}

#[test]
fn the_vms_together_stay_within_the_budget() {
    let terms = BudgetTerms { ratio: 0.2, slack: 54.0, window_millis: 10_000 };
    let (vms, requests) = (7_usize, 300_usize);
    let mut spent = 0;
    for _ in 0..vms {
        let mut budget = RetryBudget::new(terms);
        for index in 0..requests {
            let now = Moment(index as u64 * 30_000);
            budget.count_request("s", now);
            spent += usize::from(budget.try_spend("s", vms, now));
        }
    }
    let allowed = terms.ratio * (vms * requests) as f64 + terms.slack;
    assert!(spent as f64 <= allowed, "{spent} of {allowed}");
    assert!(spent as f64 > allowed * 0.5, "{spent} of {allowed}");
}

#[test]
fn the_budget_is_restored_after_the_window() {
    let mut budget = RetryBudget::new(BudgetTerms { ratio: 0.0, slack: 3.0, window_millis: 1_000 });
    let spends: Vec<_> = (0..4).map(|_| budget.try_spend("s", 1, Moment(0))).collect();
    assert_eq!(spends, [true, true, false, false]);
    assert!(budget.try_spend("s", 1, Moment(1_000_000)));
    assert!(budget.try_spend("other", 1, Moment(0)));
}

#[test]
fn homes_of_a_route_and_of_an_account_both_apply() {
    let regions = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let restricted = RouteRow { homes: regions(&["north", "south"]), ..route("a.example", "/b/") };
    let account = AccountRow { name: "one".to_owned(), homes: regions(&["south"]), ..AccountRow::default() };
    let config = DeploymentConfig {
        routes: vec![restricted, route("a.example", "/c/")],
        accounts: vec![account],
        ..DeploymentConfig::default()
    };
    let table = RouteTable::new(config);
    let allowed = |path: &str, account: Option<&str>| {
        let homes = table.homes("A.example:80", path, account);
        ["north", "south", "east"].map(|region| homes.allow(Some(region)))
    };
    assert_eq!(allowed("/b/x", None), [true, true, false]);
    assert_eq!(allowed("/b/x", Some("one")), [false, true, false]);
    assert_eq!(allowed("/c/x", Some("one")), [false, true, false]);
    assert_eq!(allowed("/c/x", Some("two")), [true, true, true]);
    assert!(table.homes("a.example", "/c/x", None).is_anywhere());
}
