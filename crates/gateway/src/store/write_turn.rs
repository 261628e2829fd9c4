//! Order in which VMs write what the store lacks and all of them know.
//!
//! Invariant: if the first VM by name writes, the others learn of it before their turns.

use crate::gateway::Gateway;
use spanfold_entity::Moment;

/// VMs write in the order of their names, this many milliseconds apart.
const STEP_MILLIS: u64 = 250;
/// Number of VMs with turns of their own; all others come at random moments within as many more steps.
const ORDERED_VMS: u64 = 4;

/// When this VM writes what the store lacks, unless another one has by then.
#[derive(Debug, Default)]
pub(crate) struct WriteTurn(Option<Moment>);

impl WriteTurn {
    /// Whether it is this VM's turn to write. The turn begins when something `is_missing` first.
    pub(crate) fn is_due(&mut self, gateway: &Gateway, is_missing: bool) -> bool {
        if !is_missing {
            self.0 = None;
            return false;
        }
        let now = gateway.now();
        now >= *self.0.get_or_insert_with(|| now.after_millis(delay_millis(gateway)))
    }
}

fn delay_millis(gateway: &Gateway) -> u64 {
    let index = gateway.peers().own_name_index() as u64;
    let others = || rand::random_range(ORDERED_VMS..2 * ORDERED_VMS);
    STEP_MILLIS * if index < ORDERED_VMS { index } else { others() }
}
