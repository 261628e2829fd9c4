//! Which endpoints a request weighs where there are very many.
//!
//! Pattern: an engine that keeps a part that most prompts share is the best one for all VMs at once. What one VM sends there the
//! others learn some tenths of a second later, so with hundreds of VMs tens of prompts meet at one engine while thousands
//! stand idle. A VM that weighs a random few of its data centre's engines finds one that keeps the part as soon as enough do, and
//! until then others come to keep it.
//!
//! Invariant: the share of the requests of a data centre that one endpoint can attract is that of the sample, and the time of a choice
//! does not grow with the deployment.

use crate::{EndpointKey, FleetTable, PlacementRequest};
use spanfold_entity::Moment;

/// Up to so many endpoints of a service all are weighed.
const ALL_MOST: usize = 512;
/// Endpoints in a sample.
const SAMPLE_COUNT: usize = 64;
/// Endpoints that are drawn for it at most: those of other data centres, and those that get no work, are drawn too.
const DRAWS_MOST: usize = 1_024;

/// Endpoints of this VM's data centre that a request may go to, drawn at random; none where all are weighed.
pub(crate) fn sample_endpoints(
    table: &FleetTable,
    ask: &PlacementRequest<'_>,
    now: Moment,
) -> Vec<EndpointKey> {
    let keys = table.keys_of(ask.service);
    if keys.len() <= ALL_MOST {
        return Vec::new();
    }
    let draws = (0..DRAWS_MOST).map(|_| keys[((ask.draw)() * keys.len() as f64) as usize % keys.len()]);
    let near = draws.filter(|key| {
        table
            .row(*key)
            .is_some_and(|row| row.entry.data_centre == ask.data_centre && ask.allows(table, *key, row, now))
    });
    near.take(SAMPLE_COUNT).collect()
}
