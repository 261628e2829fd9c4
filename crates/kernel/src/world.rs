//! What all plug-ins see: VMs, configuration and names.
//!
//! Invariant: the membership plug-in alone changes VM rows, the configuration plug-in alone
//! changes the catalogue, and the health plug-in alone changes endpoint rows.

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

/// What is known of an entry VM.
#[derive(Clone, Debug, Default)]
pub struct VmRow {
    /// Its data centre.
    pub data_centre: String,
    /// Its peer address.
    pub address: String,
    /// Whether the VM list has it as live.
    pub listed: bool,
    /// Whether it says, or the VM list says, that it is going away.
    pub leaving: bool,
    /// Until when its last heartbeat counts.
    pub alive_until: Moment,
    /// Its configuration generation, as it last said.
    pub generation: u64,
    /// Its incarnation, as it last said.
    pub incarnation: u64,
    /// Endpoints that it last said take no work.
    pub unwell: Vec<String>,
}

/// What is known of an endpoint.
#[derive(Clone, Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is one independent sign, and any one counts")]
pub struct EndpointRow {
    /// Its data centre.
    pub data_centre: String,
    /// Whether the VM list says that it is going away.
    pub list_leaving: bool,
    /// Whether it says so itself.
    pub self_leaving: bool,
    /// Whether the operator takes it out of service.
    pub draining: bool,
    /// Until when it gets no work after failures.
    pub ejected_until: Moment,
    /// Failures since it last worked.
    pub failures: u32,
    /// Requests that it said it works on.
    pub running: u32,
    /// Requests that it said wait in it.
    pub waiting: u32,
    /// Whether it stands in the configuration.
    pub declared: bool,
    /// Whether this VM has probed it itself.
    pub probed: bool,
}

impl Default for EndpointRow {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            list_leaving: false,
            self_leaving: false,
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
    pub fn takes_work(&self, now: Moment) -> bool {
        self.declared
            && !self.list_leaving
            && !self.self_leaving
            && !self.draining
            && now >= self.ejected_until
    }
}

/// What a VM last said of endpoints counts this long after its heartbeats stop, in milliseconds.
const LAST_WORDS_MILLIS: u64 = 10_000;

/// Shared state of one kernel.
#[derive(Debug, Default)]
pub struct World {
    /// This VM's name.
    pub me: String,
    /// This VM's data centre.
    pub data_centre: String,
    /// Differs at each start of this VM.
    pub incarnation: u64,
    /// The routing variant.
    pub variant: String,
    /// Number of claim shards.
    pub shards: u32,
    /// Time over which claims are gathered, in milliseconds.
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
    /// Its generation; zero before the first.
    pub generation: u64,
    /// Who holds the lease on orders, as far as is known here; empty if it is not.
    pub orders_holder: String,
    /// Grows whenever the set of live entry VMs changes.
    pub membership: u64,
}

impl World {
    /// Enters this VM's own row, if it has a name.
    pub(crate) fn enter_self(&mut self) {
        if self.me.is_empty() {
            return;
        }
        let me = self.vm_names.intern(&self.me);
        self.vms.at_or_default(me).data_centre.clone_from(&self.data_centre);
    }

    /// Names of the entry VMs of `data_centre` that may hold roles at `now`, in index order.
    pub fn live_vms(&self, data_centre: &str, now: Moment) -> Vec<&str> {
        self.vms
            .iter()
            .filter(|(index, row)| row.data_centre == data_centre && self.is_live(*index, now))
            .map(|(index, _)| self.vm_names.name(index))
            .collect()
    }

    /// Whether the VM at `index` may hold roles at `now`.
    ///
    /// Heartbeats reach only VMs of the own data centre; of another one, the VM list must do.
    pub fn is_live(&self, index: VmIndex, now: Moment) -> bool {
        let row = &self.vms[index];
        if self.vm_names.name(index) == self.me {
            return !self.stopping;
        }
        let seen = if row.data_centre == self.data_centre { now < row.alive_until } else { row.listed };
        seen && !row.leaving
    }

    /// Whether the endpoint at `index` may get new work, as far as this VM can know.
    ///
    /// For an endpoint that this VM has not probed, the last reports of VMs that have decide; they
    /// count for a while after a VM's death, until its successor has probed.
    pub fn may_get_work(&self, index: EndpointIndex, now: Moment) -> bool {
        let row = &self.endpoints[index];
        row.takes_work(now) && (row.probed || !self.said_unwell(self.endpoint_names.name(index), now))
    }

    fn said_unwell(&self, endpoint: &str, now: Moment) -> bool {
        let heard = self.vms.iter().filter(|(_, row)| now < row.alive_until.after_millis(LAST_WORDS_MILLIS));
        heard.flat_map(|(_, row)| &row.unwell).any(|name| name == endpoint)
    }

    /// The entry VM of `data_centre` that holds `role`.
    pub fn holder<'a>(&'a self, role: &str, data_centre: &str, now: Moment) -> Option<&'a str> {
        rendezvous(role, self.live_vms(data_centre, now).into_iter())
    }

    /// The entry VM that holds `role` among those of all data centres.
    pub fn holder_anywhere<'a>(&'a self, role: &str, now: Moment) -> Option<&'a str> {
        let live = self.vms.iter().filter(|(index, _)| self.is_live(*index, now));
        rendezvous(role, live.map(|(index, _)| self.vm_names.name(index)))
    }
}
