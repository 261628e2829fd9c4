//! Selects the VMs that keep copies of a stream's record, and those that are asked for it.
//!
//! Rendezvous hashing: each VM orders the others by a digest of the stream's key and the VM. A VM that joins or
//! fails moves the others by one position at most, so that VMs with slightly different lists still meet: a
//! record has few copies, and more VMs are asked. One copy stays in the data centre of the VM that writes it,
//! whose callers come back there if it is cut off, and one goes to another data centre.

use crate::{PeerTable, StreamKey};
use spanfold_entity::Moment;
use std::net::SocketAddr;

/// Copies of a record besides the one at the VM that writes it.
///
/// One is left if that VM and two others fail together.
const COPIES: usize = 3;
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

/// A VM in the order of one stream.
#[derive(Clone, Copy)]
struct RankedVm<'a> {
    weight: u64,
    address: SocketAddr,
    data_centre: &'a str,
    is_reachable: bool,
}

impl PeerTable {
    /// Returns the addresses of the VMs that get copies of a stream's record from this one.
    pub fn record_copies(&self, key: StreamKey, now: Moment) -> Vec<SocketAddr> {
        let reachable: Vec<_> = self.ranked_vms(key, now).filter(|vm| vm.is_reachable).collect();
        let own_centre = self.own().data_centre.as_str();
        let mut chosen: Vec<RankedVm<'_>> = Vec::with_capacity(COPIES);
        let local = first(reachable.iter().filter(|vm| vm.data_centre == own_centre));
        let remote = first(reachable.iter().filter(|vm| vm.data_centre != own_centre));
        chosen.extend(local.into_iter().chain(remote));
        while chosen.len() < COPIES
            && let Some(next) =
                first(reachable.iter().filter(|vm| chosen.iter().all(|other| other.address != vm.address)))
        {
            chosen.push(next);
        }
        chosen.into_iter().map(|vm| vm.address).collect()
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
            address: entry.address,
            data_centre: &entry.data_centre,
            is_reachable,
        })
    }
}

fn first<'a, 'b: 'a>(vms: impl Iterator<Item = &'a RankedVm<'b>>) -> Option<RankedVm<'b>> {
    vms.max_by_key(|vm| vm.weight).copied()
}

/// Mixes the bits of a number (the finalizer of `SplitMix64`).
const fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}
