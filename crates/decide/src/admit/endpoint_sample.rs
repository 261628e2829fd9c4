//! Random sample of endpoints that placement evaluates in large deployments.
//!
//! An engine that has cached a segment shared by most prompts is the best one for all VMs at once. The sends
//! of one VM become visible to the others some tenths of a second later, so with hundreds of VMs tens of
//! prompts meet at one engine while thousands are idle. A VM that evaluates a random sample of its data
//! centre's engines finds one that has cached the segment once enough engines have; until then, sampling
//! makes other engines cache it too.
//!
//! Invariant: an endpoint attracts at most the share of its data centre's requests whose sample contains it,
//! and the time to choose an endpoint does not grow with the deployment.

use crate::{EndpointKey, FleetTable, PlacementRequest};
use spanfold_entity::Moment;

/// Number of endpoints of a service up to which all are evaluated.
const MAX_UNSAMPLED_ENDPOINTS: usize = 512;
/// Number of endpoints in a sample.
const SAMPLE_SIZE: usize = 64;
/// Maximum number of random draws for a sample: endpoints of other data centres and those that accept no work
/// are drawn too, and then skipped.
const MAX_DRAWS: usize = 1_024;

/// Returns a random sample of allowed endpoints in this VM's data centre. It is empty if all endpoints are to
/// be evaluated.
pub(crate) fn sample_endpoints(
    table: &FleetTable,
    request: &PlacementRequest<'_>,
    now: Moment,
) -> Vec<EndpointKey> {
    let keys = table.keys_of(request.service);
    if keys.len() <= MAX_UNSAMPLED_ENDPOINTS {
        return Vec::new();
    }
    let draws = (0..MAX_DRAWS).map(|_| keys[((request.draw)() * keys.len() as f64) as usize % keys.len()]);
    let local = draws.filter(|key| {
        table.row(*key).is_some_and(|row| {
            row.entry.data_centre == request.data_centre && request.allows(table, *key, row, now)
        })
    });
    local.take(SAMPLE_SIZE).collect()
}
