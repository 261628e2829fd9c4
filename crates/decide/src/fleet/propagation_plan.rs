//! Propagation of store updates from one VM to all VMs of a large data centre.
//!
//! Pattern: relay tree of two levels. If one VM sent an update to every other VM, its link would carry the
//! update once for each of them: at some 200 VMs, a link of 200 Mbit/s takes a quarter of a second for 16
//! KiB. So the reporter sends it to some relays and to the rest of the VMs that its own link can serve as
//! fast, and names in each relay's message the VMs to which that one passes it on.
//!
//! Invariant: the reporter's table alone decides who sends to whom, so VMs whose tables differ still receive
//! an update, once. A relay is a VM that was reachable a moment ago. One that is gone since then costs its
//! group the update; these VMs learn of it from the positions in other VMs' digests.

use crate::{PeerTable, VmEntry, VmKey};
use serde::{Deserialize, Serialize};
use spanfold_entity::Moment;
use std::net::SocketAddr;

/// Data centres with fewer other VMs use no relays.
///
/// In these, one more hop costs more than it saves.
const MIN_RELAYED_VMS: usize = 30;
/// A link is wide if it has at least this fraction of the widest link's capacity.
///
/// VMs with wide links are preferred as relays.
const WIDE_LINK_FRACTION: f64 = 0.5;
/// With fewer wide links than this, VMs with narrow links relay too.
const MIN_WIDE_RELAYS: usize = 3;
/// Maximum number of relays, as a multiple of the square root of the number of VMs.
const MAX_RELAY_FACTOR: usize = 2;
/// The same for the receivers of one sender, as long as there are enough relays.
const MAX_FAN_OUT_FACTOR: usize = 3;

/// A VM that passes an update on, and the VMs to which it does.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayGroup {
    /// The VM that passes the update on.
    pub relay: VmKey,
    /// The VMs to which it does.
    pub leaves: Vec<VmKey>,
}

/// The VMs to which a VM sends updates, and the load on their links.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PropagationPlan {
    /// The VMs to which this VM sends and that pass nothing on.
    pub targets: Vec<SocketAddr>,
    /// The relays to which this VM sends, each with its address.
    pub relays: Vec<(SocketAddr, RelayGroup)>,
    /// Largest number of receivers of one sender for each Mbit/s of its link.
    pub max_load: f64,
}

impl PropagationPlan {
    /// Returns a plan with one receiver, over a link of `link_mbps`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::PropagationPlan;
    /// let plan = PropagationPlan::single("127.0.0.1:9".parse().unwrap(), 10.0);
    /// assert_eq!((plan.receiver_count(), plan.max_load), (1, 0.1));
    /// ```
    pub fn single(target: SocketAddr, link_mbps: f64) -> Self {
        Self { targets: vec![target], relays: Vec::new(), max_load: link_load(1, link_mbps) }
    }

    /// Returns the number of VMs that receive an update.
    pub fn receiver_count(&self) -> usize {
        let relayed = self.relays.iter().map(|(_, group)| group.leaves.len() + 1);
        self.targets.len() + relayed.sum::<usize>()
    }
}

/// Receivers of a sender for each Mbit/s of its link.
fn link_load(receivers: usize, link_mbps: f64) -> f64 {
    receivers as f64 / link_mbps.max(1.0)
}

/// Returns how many of the relays with these links, in their order, keep the largest load of a link lowest.
fn best_relay_count(own_mbps: f64, relay_links: &[f64], receivers: usize) -> usize {
    if receivers < MIN_RELAYED_VMS {
        return 0;
    }
    let largest_load = |relays: usize| {
        let relay_mbps: f64 = relay_links[..relays].iter().sum();
        let even_load = link_load(receivers, own_mbps + relay_mbps);
        let own_load = link_load(relays, own_mbps);
        if own_load <= even_load {
            even_load
        } else {
            own_load.max(link_load(receivers - relays, relay_mbps))
        }
    };
    let suffices = |relays: &usize| *relays == 0 || relays * (max_fan_out(receivers) + 1) >= receivers;
    let counts = (0..=relay_links.len()).filter(suffices);
    let best = counts.min_by(|left, right| largest_load(*left).total_cmp(&largest_load(*right)));
    best.unwrap_or(0)
}

fn max_fan_out(receivers: usize) -> usize {
    receivers.isqrt() * MAX_FAN_OUT_FACTOR
}

impl PeerTable {
    /// Returns how this VM propagates updates to all VMs of its data centre.
    ///
    /// VMs that are unreachable receive updates too, but relay none.
    pub fn propagation_plan(&self, now: Moment) -> PropagationPlan {
        let mut others: Vec<_> = self.local_vms_with_reach(now).collect();
        others.sort_by(|(_, left, _), (_, right, _)| left.leader_order().cmp(&right.leader_order()));
        let own_mbps = f64::from(self.own().link_mbps);
        let widest =
            others.first().map_or(own_mbps, |(_, entry, _)| own_mbps.max(f64::from(entry.link_mbps)));
        let reachable = || others.iter().filter(|(_, _, is_reachable)| *is_reachable);
        let wide_count = reachable()
            .filter(|(_, entry, _)| f64::from(entry.link_mbps) >= widest * WIDE_LINK_FRACTION)
            .count();
        let max_relays = others.len().isqrt() * MAX_RELAY_FACTOR;
        let max_relays = if wide_count >= MIN_WIDE_RELAYS { max_relays.min(wide_count) } else { max_relays };
        // The widest links are sorted first.
        let links: Vec<_> =
            reachable().take(max_relays).map(|(_, entry, _)| f64::from(entry.link_mbps).max(1.0)).collect();
        let relay_count = best_relay_count(own_mbps.max(1.0), &links, others.len());
        let mut plan = PropagationPlan::default();
        let mut leaves = Vec::new();
        for (vm, entry, is_reachable) in others {
            if is_reachable && plan.relays.len() < relay_count {
                plan.relays.push((entry.address, RelayGroup { relay: vm, leaves: Vec::new() }));
            } else {
                leaves.push((vm, entry.address));
            }
        }
        // Each leaf goes to the sender whose link it loads least.
        let fan_out = max_fan_out(leaves.len() + plan.relays.len());
        for (vm, address) in leaves {
            let own_count = plan.relays.len() + plan.targets.len();
            let own_load = link_load(own_count + 1, own_mbps);
            let relays = plan.relays.iter_mut().zip(&links);
            let relay = relays
                .filter(|((_, group), _)| group.leaves.len() < fan_out)
                .map(|((_, group), link)| (link_load(group.leaves.len() + 1, *link), group))
                .min_by(|(left, _), (right, _)| left.total_cmp(right));
            match relay {
                Some((load, group)) if load < own_load || own_count >= fan_out => group.leaves.push(vm),
                _ => plan.targets.push(address),
            }
        }
        let relay_loads =
            plan.relays.iter().zip(&links).map(|((_, group), link)| link_load(group.leaves.len(), *link));
        let own_load = link_load(plan.relays.len() + plan.targets.len(), own_mbps);
        plan.max_load = relay_loads.fold(own_load, f64::max);
        plan
    }

    /// Returns the VMs to which this VM passes on an update that `group` names it for.
    pub fn leaf_addresses(&self, group: &RelayGroup) -> Vec<SocketAddr> {
        if group.relay != VmKey::of(&self.own().name) {
            return Vec::new();
        }
        group.leaves.iter().filter_map(|vm| self.address_of(*vm)).collect()
    }

    /// Returns the VMs to which this VM relays updates of a local `reporter` of the former message form, which
    /// names no groups.
    pub fn former_relay_targets(&self, reporter: VmKey) -> Vec<SocketAddr> {
        let Some(entry) = self.local_entry(reporter) else { return Vec::new() };
        let mut others: Vec<&VmEntry> =
            self.local_entries().filter(|vm| vm.name != entry.name).chain([self.own()]).collect();
        others.sort_by(|left, right| left.leader_order().cmp(&right.leader_order()));
        let target_count = if others.len() < MIN_RELAYED_VMS { 0 } else { others.len().isqrt() };
        let is_wide =
            |vm: &&VmEntry| f64::from(vm.link_mbps) >= f64::from(entry.link_mbps) * WIDE_LINK_FRACTION;
        let wide = others.iter().copied().filter(is_wide).count();
        let count = if wide >= MIN_WIDE_RELAYS { target_count.min(wide) } else { target_count };
        let leaves = others.split_off(count);
        let Some(relay) = others.iter().position(|vm| vm.name == self.own().name) else { return Vec::new() };
        let own_group = leaves.iter().enumerate().filter(|(index, _)| index % (count + 1) == relay + 1);
        own_group.map(|(_, vm)| vm.address).collect()
    }
}
