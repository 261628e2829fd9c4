//! Propagation of store updates from one VM to all VMs of a large data centre.
//!
//! Pattern: relay tree of two levels. If one VM sent an update to every other VM, its link would carry the
//! update once for each of them: at some 200 VMs, a link of 200 Mbit/s took a quarter of a second for 16
//! KiB, and VMs that waited longer queried the store, each for itself. So about the square root of the
//! number of VMs relay the update, each to its own group of the other VMs.
//!
//! Invariant: VMs with equal peer tables agree on which VM relays to which. If tables differ, a VM receives
//! an update twice, or misses it and requests it.

use crate::{PeerTable, VmEntry, VmKey};
use std::net::SocketAddr;

/// Data centres with fewer other VMs use no relays.
///
/// In these, one more hop costs more than it saves.
const MIN_RELAYED_VMS: usize = 30;
/// A link is wide if it has at least this fraction of the reporter's link capacity.
///
/// VMs with wide links are preferred as relays.
const WIDE_LINK_FRACTION: f64 = 0.5;
/// With fewer wide links than this, VMs with narrow links relay too.
const MIN_WIDE_RELAYS: usize = 3;

/// The VMs to which a VM sends updates, and the load on their links.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PropagationPlan {
    /// Targets of this VM: the relays and its own group of the other VMs.
    pub targets: Vec<SocketAddr>,
    /// Largest number of VMs to which one relay sends.
    pub max_relay_targets: usize,
    /// The narrowest link of a relay, in megabits a second; zero without relays.
    pub relay_mbps: f64,
}

/// The relays and the groups of targets.
///
/// The first group is the reporter's; the others are those of the relays, in their order.
struct RelayGroups<'a> {
    relays: Vec<&'a VmEntry>,
    groups: Vec<Vec<SocketAddr>>,
}

fn relay_groups<'a>(reporter: &VmEntry, mut others: Vec<&'a VmEntry>) -> RelayGroups<'a> {
    others.sort_by(|left, right| left.leader_order().cmp(&right.leader_order()));
    let target_count = if others.len() < MIN_RELAYED_VMS { 0 } else { others.len().isqrt() };
    let is_wide =
        |vm: &&VmEntry| f64::from(vm.link_mbps) >= f64::from(reporter.link_mbps) * WIDE_LINK_FRACTION;
    let wide = others.iter().copied().filter(is_wide).count();
    // The widest links are sorted first.
    let count = if wide >= MIN_WIDE_RELAYS { target_count.min(wide) } else { target_count };
    let leaves = others.split_off(count);
    let mut groups = vec![Vec::new(); count + 1];
    for (index, vm) in leaves.into_iter().enumerate() {
        groups[index % (count + 1)].push(vm.address);
    }
    RelayGroups { relays: others, groups }
}

impl PeerTable {
    /// Returns how this VM propagates updates to all VMs of its data centre.
    pub fn propagation_plan(&self) -> PropagationPlan {
        let RelayGroups { relays, groups } = relay_groups(self.own(), self.local_entries().collect());
        let relay_mbps = relays.iter().map(|vm| f64::from(vm.link_mbps)).fold(f64::INFINITY, f64::min);
        let own = groups.first().cloned().unwrap_or_default();
        PropagationPlan {
            targets: relays.iter().map(|vm| vm.address).chain(own).collect(),
            max_relay_targets: groups.iter().skip(1).map(Vec::len).max().unwrap_or(0),
            relay_mbps: if relays.is_empty() { 0.0 } else { relay_mbps },
        }
    }

    /// Returns the VMs to which this VM relays updates of a local `reporter`.
    pub fn relay_targets(&self, reporter: VmKey) -> Vec<SocketAddr> {
        let Some(entry) = self.local_entry(reporter) else { return Vec::new() };
        let others = self.local_entries().filter(|vm| vm.name != entry.name);
        let RelayGroups { relays, mut groups } = relay_groups(entry, others.chain([self.own()]).collect());
        let index = relays.iter().position(|vm| vm.name == self.own().name);
        index.map(|index| groups.swap_remove(index + 1)).unwrap_or_default()
    }
}
