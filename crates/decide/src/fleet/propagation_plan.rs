//! How changes go from one VM to all VMs of a large data centre.
//!
//! Pattern: where one VM tells each other one, its link carries every change as many times as there are VMs. At some 200 VMs a
//! link of 200 Mbit/s took a quarter of a second for 16 KiB, and VMs that waited longer asked the store, each for itself. So about
//! as many VMs as the root of their number pass on what they are told, each to its part of the others.
//!
//! Invariant: VMs that know the same VMs agree on who passes on what to whom. Where they do not, a VM is told twice, or misses the
//! change and asks for it.

use crate::{PeerTable, VmEntry, VmKey};
use std::net::SocketAddr;

/// A data centre of fewer other VMs is told directly: one hop more costs more than it saves.
const SPREAD_LEAST: usize = 30;
/// A VM whose link is at least this part of the teller's passes on first.
const WIDE_PART: f64 = 0.5;
/// Without so many of these, others pass on too.
const WIDE_LEAST: usize = 3;

/// To whom a VM sends changes, and what that takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PropagationPlan {
    /// VMs that it sends to itself: those that pass on, and its own part of the others.
    pub targets: Vec<SocketAddr>,
    /// VMs to which one that passes on sends.
    pub relayed_count: usize,
    /// The narrowest link of those that pass on, in megabits a second; zero if nobody does.
    pub relay_mbps: f64,
}

/// Who passes on, and who gets from whom: the teller's part first.
struct SpreadParts<'a> {
    relays: Vec<&'a VmEntry>,
    parts: Vec<Vec<SocketAddr>>,
}

fn parts<'a>(teller: &VmEntry, mut others: Vec<&'a VmEntry>) -> SpreadParts<'a> {
    others.sort_by(|one, other| one.lead_order().cmp(&other.lead_order()));
    let wanted = if others.len() < SPREAD_LEAST { 0 } else { others.len().isqrt() };
    let is_wide = |vm: &&VmEntry| f64::from(vm.link_mbps) >= f64::from(teller.link_mbps) * WIDE_PART;
    let wide = others.iter().copied().filter(is_wide).count();
    // The order begins with the widest links.
    let count = if wide >= WIDE_LEAST { wanted.min(wide) } else { wanted };
    let leaves = others.split_off(count);
    let mut parts = vec![Vec::new(); count + 1];
    for (place, vm) in leaves.into_iter().enumerate() {
        parts[place % (count + 1)].push(vm.address);
    }
    SpreadParts { relays: others, parts }
}

impl PeerTable {
    /// To whom this VM sends what concerns all VMs of its data centre.
    pub fn propagation_plan(&self) -> PropagationPlan {
        let SpreadParts { relays, parts } = parts(self.own(), self.near_entries().collect());
        let relay_mbps = relays.iter().map(|vm| f64::from(vm.link_mbps)).fold(f64::INFINITY, f64::min);
        let own = parts.first().cloned().unwrap_or_default();
        PropagationPlan {
            targets: relays.iter().map(|vm| vm.address).chain(own).collect(),
            relayed_count: parts.iter().skip(1).map(Vec::len).max().unwrap_or(0),
            relay_mbps: if relays.is_empty() { 0.0 } else { relay_mbps },
        }
    }

    /// To whom this VM passes on what `teller`, of its data centre, tells all.
    pub fn relay_targets(&self, teller: VmKey) -> Vec<SocketAddr> {
        let Some(entry) = self.near_entry(teller) else { return Vec::new() };
        let others = self.near_entries().filter(|vm| vm.name != entry.name);
        let SpreadParts { relays, mut parts } = parts(entry, others.chain([self.own()]).collect());
        let place = relays.iter().position(|vm| vm.name == self.own().name);
        place.map(|place| parts.swap_remove(place + 1)).unwrap_or_default()
    }
}
