//! Selects the VMs that keep copies of a stream's record, and those that are asked for it.
//!
//! Rendezvous hashing: each VM orders the others by a digest of the stream's key and the VM. A VM that joins or
//! fails moves the others by one position at most, so that VMs with slightly different lists still meet: a
//! record has few copies, and more VMs are asked. One copy stays in the data centre of the VM that writes it,
//! whose callers come back there if it is cut off, and one goes to another data centre.
//!
//! Invariant: copies go to VMs that others ask, whether this VM has heard of these or not, as far as there are
//! enough.

use crate::{PeerTable, StreamKey, VmKey};
use spanfold_entity::Moment;
use std::net::SocketAddr;

/// Copies of a record besides the one at the VM that writes it.
///
/// One is left if that VM and two others fail together.
pub const RECORD_COPIES: usize = 3;
/// VMs that are asked for a record.
const ASKED_VMS: usize = 8;
/// Of these, VMs of the asking VM's data centre that come first.
const LOCAL_ASKED_VMS: usize = 2;

/// VMs that are asked for a stream's record.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecordHolders {
    /// Addresses of VMs that are presumed to answer.
    pub reachable: Vec<SocketAddr>,
    /// Addresses of VMs that have been silent, and may still answer.
    pub silent: Vec<SocketAddr>,
}

/// A VM that may get a copy of a stream's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyTarget {
    /// The VM.
    pub vm: VmKey,
    /// Its UDP address.
    pub address: SocketAddr,
}

/// A VM in the order of one stream.
#[derive(Clone, Copy)]
struct RankedVm<'a> {
    weight: u64,
    vm: VmKey,
    address: SocketAddr,
    data_centre: &'a str,
    is_reachable: bool,
}

/// The first VMs of a stream's order, at most `capacity`, the first one first.
struct TopVms<'a> {
    capacity: usize,
    vms: Vec<RankedVm<'a>>,
}

impl<'a> TopVms<'a> {
    fn new(capacity: usize) -> Self {
        Self { capacity, vms: Vec::with_capacity(capacity + 1) }
    }

    fn add(&mut self, vm: RankedVm<'a>) {
        let index = self.vms.partition_point(|other| other.weight >= vm.weight);
        if index < self.capacity {
            self.vms.insert(index, vm);
            self.vms.truncate(self.capacity);
        }
    }
}

impl PeerTable {
    /// Returns the addresses of the VMs that get copies of a stream's record from this one.
    pub fn record_copies(&self, key: StreamKey, now: Moment) -> Vec<SocketAddr> {
        self.record_targets(key, now).iter().take(RECORD_COPIES).map(|target| target.address).collect()
    }

    /// Returns the VMs that may get copies of a stream's record from this one, in order of preference.
    ///
    /// Reachable VMs that others ask come first: one of this data centre and one of another, then the others.
    /// VMs that were not heard follow, since a VM that has just started is heard by others before it hears
    /// them. Last are reachable VMs that are not asked.
    pub fn record_targets(&self, key: StreamKey, now: Moment) -> Vec<CopyTarget> {
        let own_centre = self.own().data_centre.as_str();
        let (mut local, mut all) = (TopVms::new(LOCAL_ASKED_VMS), TopVms::new(ASKED_VMS - LOCAL_ASKED_VMS));
        let (mut reachable_local, mut reachable_remote) = (TopVms::new(1), TopVms::new(1));
        let mut reachable = TopVms::new(2 * RECORD_COPIES);
        for vm in self.ranked_vms(key, now) {
            let is_local = vm.data_centre == own_centre;
            all.add(vm);
            if is_local {
                local.add(vm);
            }
            if vm.is_reachable {
                reachable.add(vm);
                if is_local { &mut reachable_local } else { &mut reachable_remote }.add(vm);
            }
        }
        let mut asked = local.vms;
        asked.extend(all.vms);
        asked.sort_by_key(|vm| std::cmp::Reverse(vm.weight));
        let is_asked = |vm: &RankedVm<'_>| asked.iter().any(|other| other.vm == vm.vm);
        let nearest = reachable_local.vms.into_iter().chain(reachable_remote.vms).filter(is_asked);
        let heard = asked.iter().copied().filter(|vm| vm.is_reachable);
        let unheard = asked.iter().copied().filter(|vm| !vm.is_reachable);
        let mut targets: Vec<CopyTarget> = Vec::with_capacity(ASKED_VMS + RECORD_COPIES);
        for vm in nearest.chain(heard).chain(unheard).chain(reachable.vms) {
            if targets.iter().all(|target| target.vm != vm.vm) {
                targets.push(CopyTarget { vm: vm.vm, address: vm.address });
            }
        }
        targets
    }

    /// Returns the VMs to ask for a stream's record.
    pub fn record_holders(&self, key: StreamKey, now: Moment) -> RecordHolders {
        let own_centre = self.own().data_centre.as_str();
        let mut ranked: Vec<_> = self.ranked_vms(key, now).collect();
        ranked.sort_unstable_by_key(|vm| std::cmp::Reverse(vm.weight));
        let (local, mut others): (Vec<_>, Vec<_>) = {
            let mut count = 0;
            ranked.into_iter().partition(|vm| {
                count += usize::from(vm.data_centre == own_centre);
                vm.data_centre == own_centre && count <= LOCAL_ASKED_VMS
            })
        };
        others.truncate(ASKED_VMS - local.len().min(ASKED_VMS));
        let (reachable, silent) = local.into_iter().chain(others).partition(|vm| vm.is_reachable);
        let addresses = |vms: Vec<RankedVm<'_>>| vms.into_iter().map(|vm| vm.address).collect();
        RecordHolders { reachable: addresses(reachable), silent: addresses(silent) }
    }

    fn ranked_vms(&self, key: StreamKey, now: Moment) -> impl Iterator<Item = RankedVm<'_>> {
        self.message_targets(now).map(move |(vm, entry, is_reachable)| RankedVm {
            weight: mix(key.selector() ^ vm.0),
            vm,
            address: entry.address,
            data_centre: &entry.data_centre,
            is_reachable,
        })
    }
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
