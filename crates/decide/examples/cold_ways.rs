//! Ways to keep what all VMs send to a cold endpoint below a limit, without a message for each request, compared.
//!
//! `cargo run --release -p spanfold-decide --example cold_ways`

#[path = "../tests/cold_fleet/mod.rs"]
mod cold_fleet;

use cold_fleet::{ColdWay, FleetVm, SPEC, Trouble, play};
use spanfold_decide::{EndpointKey, ListStanding};
use spanfold_entity::Moment;

/// Histories that each way is played through, for each size.
const HISTORIES: u64 = 40;
const SECONDS: u64 = 60;

/// The way that is built: a few VMs, each with its part, on lists that all know.
fn few_senders(vm: &FleetVm, standing: &ListStanding, endpoint: EndpointKey, now: Moment) -> usize {
    if standing.holds(now) { vm.right.part(endpoint, SPEC) } else { 0 }
}

/// The same on any list, however old.
fn any_list(vm: &FleetVm, _: &ListStanding, endpoint: EndpointKey, _: Moment) -> usize {
    vm.right.part(endpoint, SPEC)
}

/// An equal part for each VM, at least one request.
fn equal_parts(vm: &FleetVm, _: &ListStanding, _: EndpointKey, _: Moment) -> usize {
    (SPEC.per_s as usize / (vm.right.others.len() + 1)).max(1)
}

/// All of it for one VM, the first by name that it knows of.
fn one_sender(vm: &FleetVm, _: &ListStanding, _: EndpointKey, _: Moment) -> usize {
    let is_first = vm.right.others.iter().all(|other| vm.right.own < *other);
    if is_first { SPEC.per_s as usize } else { 0 }
}

fn main() {
    let ways: [(&str, ColdWay); 4] = [
        ("few senders, lists that all know", few_senders),
        ("few senders, any list", any_list),
        ("equal parts", equal_parts),
        ("one sender, any list", one_sender),
    ];
    println!(
        "{:34} {:>4}  {:>12} {:>12}  {:>12} {:>12}",
        "way", "VMs", "calm: most", "mean", "trouble: most", "mean"
    );
    for (name, way) in ways {
        for vms in [9, 24, 59] {
            let figures = [Trouble::None, Trouble::Any].map(|trouble| {
                let loads = (0..HISTORIES).map(|seed| play(way, vms, trouble, SECONDS, seed));
                let loads: Vec<_> = loads.collect();
                let most = loads.iter().map(|load| load.most).max().unwrap_or_default();
                (most, loads.iter().map(|load| load.mean).sum::<f64>() / HISTORIES as f64)
            });
            let [(calm, calm_mean), (most, mean)] = figures;
            println!("{name:34} {vms:>4}  {calm:>12} {calm_mean:>12.1}  {most:>12} {mean:>12.1}");
        }
    }
}
