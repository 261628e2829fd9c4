//! State that all plug-ins share: VMs, configuration and names.
//!
//! Invariant: the membership plug-in alone updates VM rows; the configuration plug-in alone changes
//! the catalogue and the fields of endpoint rows that follow from it; the health plug-in alone changes
//! the other fields of endpoint rows.

use crate::rendezvous;
use spanfold_declare::Catalogue;
use spanfold_entity::{DenseMap, EntityIndex, Moment, NameTable};
use std::sync::Arc;

macro_rules! entity {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u32);

        impl EntityIndex for $name {
            fn from_row(row: usize) -> Self {
                Self(row as u32)
            }

            fn row(self) -> usize {
                self.0 as usize
            }
        }
    };
}

entity!(
    /// Index of an entry VM.
    VmIndex
);
entity!(
    /// Index of an endpoint.
    EndpointIndex
);
entity!(
    /// Index of a client account.
    AccountIndex
);

/// State of an entry VM as seen by this VM.
#[derive(Clone, Debug, Default)]
pub struct VmRow {
    /// Its data centre.
    pub data_centre: String,
    /// Its peer address.
    pub address: String,
    /// Whether the VM list shows it as live.
    pub listed: bool,
    /// Whether the VM itself or the VM list reports that it is departing.
    pub departing: bool,
    /// The VM is considered alive until this moment, as of its last heartbeat.
    pub heartbeat_deadline: Moment,
    /// Its configuration generation, as last reported by it.
    pub generation: u64,
    /// Its incarnation, as last reported by it.
    pub incarnation: u64,
    /// Endpoints that, by its last report, accept no work.
    pub unavailable_endpoints: Vec<String>,
}

/// State of an endpoint as seen by this VM.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is an independent condition, and any one counts")]
pub struct EndpointRow {
    /// Its data centre.
    pub data_centre: String,
    /// Whether the VM list reports that it is departing.
    pub listed_departing: bool,
    /// Whether the endpoint itself reports that it is departing.
    pub reported_departing: bool,
    /// Whether the operator is taking it out of service.
    pub draining: bool,
    /// After failures, it gets no work before this moment.
    pub ejected_until: Moment,
    /// Number of failures since a probe last found it ready outside an ejection.
    pub failures: u32,
    /// Number of requests that it reports as running.
    pub running: u32,
    /// Number of requests that it reports as queued.
    pub waiting: u32,
    /// Whether the configuration declares it.
    pub declared: bool,
    /// Whether this VM has probed it itself.
    pub probed: bool,
}

impl Default for EndpointRow {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            listed_departing: false,
            reported_departing: false,
            draining: false,
            ejected_until: Moment(0),
            failures: 0,
            running: 0,
            waiting: 0,
            declared: false,
            probed: false,
        }
    }
}

impl EndpointRow {
    /// Whether it may get new work at `now`.
    pub fn accepts_work(&self, now: Moment) -> bool {
        self.declared
            && !self.listed_departing
            && !self.reported_departing
            && !self.draining
            && now >= self.ejected_until
    }
}

/// A VM's last report of endpoints stays valid for this time after its heartbeats stop.
const REPORT_RETENTION_MILLIS: u64 = 10_000;

/// Shared state of one kernel.
#[derive(Debug, Default)]
pub struct World {
    /// This VM's name.
    pub own_name: String,
    /// This VM's data centre.
    pub data_centre: String,
    /// Number that differs at each start of this VM.
    pub incarnation: u64,
    /// The routing variant.
    pub variant: String,
    /// Number of claim shards.
    pub shards: u32,
    /// Time over which claims are batched into one write, in milliseconds.
    pub flush_millis: u64,
    /// Whether this VM is stopping.
    pub stopping: bool,
    /// Names of entry VMs.
    pub vm_names: NameTable<VmIndex>,
    /// Entry VMs.
    pub vms: DenseMap<VmIndex, VmRow>,
    /// Names of endpoints.
    pub endpoint_names: NameTable<EndpointIndex>,
    /// Endpoints.
    pub endpoints: DenseMap<EndpointIndex, EndpointRow>,
    /// Names of client accounts.
    pub account_names: NameTable<AccountIndex>,
    /// The configuration in force.
    pub catalogue: Arc<Catalogue>,
    /// The configuration's generation; zero before the first one.
    pub generation: u64,
    /// Holder of the lease on orders, as far as this VM has read or received it; empty if unknown.
    pub orders_holder: String,
    /// Version that increases whenever the set of live entry VMs changes.
    pub membership_version: u64,
}

impl World {
    /// Adds the row of this VM, if it has a name.
    pub(crate) fn insert_own_vm(&mut self) {
        if self.own_name.is_empty() {
            return;
        }
        let own_index = self.vm_names.intern(&self.own_name);
        self.vms.get_or_insert_default(own_index).data_centre.clone_from(&self.data_centre);
    }

    /// Returns the entry VMs of `data_centre` that may hold roles at `now`, by index.
    pub fn live_vms(&self, data_centre: &str, now: Moment) -> Vec<&str> {
        self.vms
            .iter()
            .filter(|(index, row)| row.data_centre == data_centre && self.is_live(*index, now))
            .map(|(index, _)| self.vm_names.name(index))
            .collect()
    }

    /// Whether the VM at `index` may hold roles at `now`.
    ///
    /// Each VM gets heartbeats from all VMs of its own data centre. From another one, only the holder of
    /// the `gateway` role sends them, and only to the holder here. For VMs of another data centre the VM
    /// list therefore decides.
    pub fn is_live(&self, index: VmIndex, now: Moment) -> bool {
        let row = &self.vms[index];
        if self.vm_names.name(index) == self.own_name {
            return !self.stopping;
        }
        let is_alive =
            if row.data_centre == self.data_centre { now < row.heartbeat_deadline } else { row.listed };
        is_alive && !row.departing
    }

    /// Whether the endpoint at `index` may get new work, by this VM's information.
    ///
    /// For an endpoint that this VM has not probed, the last reports of VMs that have probed it
    /// decide; they stay valid for a while after a VM fails, until its successor has probed.
    pub fn may_get_work(&self, index: EndpointIndex, now: Moment) -> bool {
        let row = &self.endpoints[index];
        row.accepts_work(now)
            && (row.probed || !self.is_reported_unavailable(self.endpoint_names.name(index), now))
    }

    fn is_reported_unavailable(&self, endpoint: &str, now: Moment) -> bool {
        let reporters = self
            .vms
            .iter()
            .filter(|(_, row)| now < row.heartbeat_deadline.after_millis(REPORT_RETENTION_MILLIS));
        reporters.flat_map(|(_, row)| &row.unavailable_endpoints).any(|name| name == endpoint)
    }

    /// Returns the entry VM of `data_centre` that holds `role`.
    pub fn role_holder<'a>(&'a self, role: &str, data_centre: &str, now: Moment) -> Option<&'a str> {
        rendezvous(role, self.live_vms(data_centre, now).into_iter())
    }

    /// Returns the entry VM that holds `role` among those of all data centres.
    pub fn global_role_holder<'a>(&'a self, role: &str, now: Moment) -> Option<&'a str> {
        let live_vms = self.vms.iter().filter(|(index, _)| self.is_live(*index, now));
        rendezvous(role, live_vms.map(|(index, _)| self.vm_names.name(index)))
    }
}
