//! Compares strategies that keep the requests of all VMs to an endpoint below its limit.
//!
//! None of the strategies needs a message for each request.
//!
//! `cargo run --release -p spanfold-decide --example share_ways`

#[path = "../tests/shared_fleet/mod.rs"]
mod shared_fleet;

use shared_fleet::{InjectedFault, ShareRule, SharedEndpoint, SimulatedVm, simulate};
use spanfold_decide::{EndpointKey, RateTerms};
use spanfold_entity::Moment;

/// Simulated histories for each strategy and size.
const HISTORIES: u64 = 8;
const HISTORY_SECONDS: u64 = 60;
/// Length of the window in which requests are counted, in milliseconds.
const WINDOW_MILLIS: u64 = 4_000;

/// The strategy of the gateway: shares for some VMs, by VM lists that change slowly.
fn own_share(vm: &SimulatedVm, _: &SharedEndpoint, now: Moment) -> u64 {
    if vm.membership.may_use_share(now) { vm.share } else { 0 }
}

/// The same with VM lists of any age, also before other VMs list this VM.
fn any_list(vm: &SimulatedVm, _: &SharedEndpoint, _: Moment) -> u64 {
    vm.share
}

/// An equal share for each VM, at least one request.
fn equal_shares(vm: &SimulatedVm, scene: &SharedEndpoint, _: Moment) -> u64 {
    (scene.terms.count / (vm.right.other_vms.len() as u64 + 1)).max(1)
}

/// The whole limit for one VM, the first by key in its list.
fn one_sender(vm: &SimulatedVm, scene: &SharedEndpoint, _: Moment) -> u64 {
    let is_first = vm.right.other_vms.iter().all(|other| vm.right.own < *other);
    if is_first { scene.terms.count } else { 0 }
}

fn main() {
    let strategies: [(&str, ShareRule); 4] = [
        ("parts, slow lists", own_share),
        ("parts, any list", any_list),
        ("equal parts", equal_shares),
        ("one sender, any list", one_sender),
    ];
    println!(
        "{:22} {:>5} {:>7} {:>8}  {:>5} {:>7}  {:>8} {:>9} {:>6}",
        "way", "VMs", "limit", "allowed", "calm", "used", "trouble", "in touch", "used"
    );
    for (name, strategy) in strategies {
        for size in [(3, 3), (9, 3), (91, 4), (295, 5), (420, 17)] {
            for per_s in [0.2, 1.4, 11.0, 100.0] {
                print_row(name, strategy, size, per_s);
            }
        }
    }
}

fn print_row(name: &str, strategy: ShareRule, size: (usize, usize), per_s: f64) {
    let terms = RateTerms::of_limit(per_s);
    let scene =
        SharedEndpoint { endpoint: EndpointKey(0), data_centre: "dc-0", terms, span_millis: WINDOW_MILLIS };
    let calm = simulate(strategy, size, &scene, InjectedFault::None, (HISTORY_SECONDS, 1));
    let loads: Vec<_> = (0..HISTORIES)
        .map(|seed| simulate(strategy, size, &scene, InjectedFault::Any, (HISTORY_SECONDS, seed)))
        .collect();
    let most = loads.iter().map(|load| load.most).max().unwrap_or_default();
    let in_touch = loads.iter().map(|load| load.max_unaffected).max().unwrap_or_default();
    let mean = loads.iter().map(|load| load.mean).sum::<f64>() / HISTORIES as f64;
    let allowed = per_s * 1.5 * WINDOW_MILLIS as f64 / 1_000.0 + 5.0;
    println!(
        "{name:22} {:>5} {per_s:>7} {allowed:>8.0}  {:>5} {:>7.2}  {most:>8} {in_touch:>9} {:>6.2}",
        size.0,
        calm.most,
        calm.mean / per_s,
        mean / per_s
    );
}
