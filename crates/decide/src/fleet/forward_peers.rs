//! Chooses the VM that serves a request of a VM without a path to the endpoints.
//!
//! Invariant: a VM that announced that it takes no requests of others, or that was not reached a moment ago,
//! is no candidate. VMs of the same data centre come first, unless those that take requests are too few for
//! those that have no path.

use crate::VmKey;
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::net::SocketAddr;

/// VMs without a path for which one VM of their data centre takes requests; the others' go elsewhere.
const MAX_CUT_VMS_PER_PEER: f64 = 2.0;
/// Time over which a VM's own sends replace forwarded ones once its path is back, in milliseconds.
const RAMP_MILLIS: u64 = 1_000;

/// A VM that takes requests of others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardPeer {
    /// The VM.
    pub vm: VmKey,
    /// Its name.
    pub name: String,
    /// Its address for messages of VMs.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
}

/// The VMs that take requests of this one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardPeers {
    /// Those of its data centre.
    pub local: Vec<ForwardPeer>,
    /// Those of other data centres.
    pub remote: Vec<ForwardPeer>,
    /// Live VMs of its data centre that take none, with this one.
    pub closed_local_count: usize,
}

impl ForwardPeers {
    /// Chooses the less loaded of two random candidates; none if there is no candidate.
    ///
    /// `tried` VMs are no candidates, and once one was tried, other data centres come first: the first one's
    /// refusal means that this data centre's VMs have much to do. `in_flight` returns how many requests
    /// this VM has at another one, and `draw` a random number from 0 to 1.
    ///
    /// # Examples
    /// ```
    /// use spanfold_decide::{ForwardPeer, ForwardPeers, VmKey};
    /// let peer = |name: &str| ForwardPeer {
    ///     vm: VmKey::of(name),
    ///     name: name.to_owned(),
    ///     address: "127.0.0.1:9".parse().unwrap(),
    ///     incarnation: 1,
    /// };
    /// let peers = ForwardPeers { local: vec![peer("vm-2")], remote: vec![peer("vm-3")], closed_local_count: 1 };
    /// let chosen = peers.choose(&[], |_| 0, || 0.5).unwrap();
    /// assert_eq!(chosen.name, "vm-2");
    /// assert_eq!(peers.choose(&[chosen.vm], |_| 0, || 0.5).unwrap().name, "vm-3");
    /// ```
    pub fn choose(
        &self,
        tried: &[VmKey],
        in_flight: impl Fn(VmKey) -> u64,
        mut draw: impl FnMut() -> f64,
    ) -> Option<&ForwardPeer> {
        let is_local_first = tried.is_empty() && draw() < self.local_share();
        let (first, second) =
            if is_local_first { (&self.local, &self.remote) } else { (&self.remote, &self.local) };
        pick(first, tried, &in_flight, &mut draw).or_else(|| pick(second, tried, &in_flight, &mut draw))
    }

    /// Returns those that `is_suitable`.
    ///
    /// # Examples
    /// ```
    /// assert_eq!(spanfold_decide::ForwardPeers::default().only(|_| true).local, []);
    /// ```
    pub fn only(&self, is_suitable: impl Fn(VmKey) -> bool) -> Self {
        let suitable = |peers: &[ForwardPeer]| {
            peers.iter().filter(|peer| is_suitable(peer.vm)).cloned().collect::<Vec<_>>()
        };
        let closed_local_count = self.closed_local_count;
        Self { local: suitable(&self.local), remote: suitable(&self.remote), closed_local_count }
    }

    /// Returns the fraction of requests that go to VMs of the same data centre.
    fn local_share(&self) -> f64 {
        self.local.len() as f64 * MAX_CUT_VMS_PER_PEER / self.closed_local_count.max(1) as f64
    }
}

/// Picks the less loaded of two random candidates.
fn pick<'a>(
    peers: &'a [ForwardPeer],
    tried: &[VmKey],
    in_flight: &impl Fn(VmKey) -> u64,
    draw: &mut impl FnMut() -> f64,
) -> Option<&'a ForwardPeer> {
    let first = sample(peers, tried, draw())?;
    let second = sample(peers, tried, draw())?;
    Some(if in_flight(second.vm) < in_flight(first.vm) { second } else { first })
}

/// Returns the candidate at a random position, or the next one that was not tried.
fn sample<'a>(peers: &'a [ForwardPeer], tried: &[VmKey], draw: f64) -> Option<&'a ForwardPeer> {
    let start = ((draw * peers.len() as f64) as usize).min(peers.len().saturating_sub(1));
    let candidates = peers[start..].iter().chain(&peers[..start]);
    candidates.into_iter().find(|peer| !tried.contains(&peer.vm))
}

/// Returns the fraction of requests that a VM sends itself, after its path came back at `opened_at`.
///
/// All VMs of a cut come back together, with loads that they do not know yet.
///
/// # Examples
/// ```
/// use spanfold_decide::direct_share;
/// use spanfold_entity::Moment;
/// let opened_at = Moment(5_000_000);
/// assert_eq!(direct_share(opened_at, opened_at.after_millis(250)), 0.25);
/// assert_eq!(direct_share(opened_at, opened_at.after_millis(2_000)), 1.0);
/// ```
pub fn direct_share(opened_at: Moment, now: Moment) -> f64 {
    (now.micros_since(opened_at) as f64 / (RAMP_MILLIS * MICROS_PER_MILLI) as f64).min(1.0)
}
