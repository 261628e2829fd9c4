//! What a gateway tells operators of itself and of what it believes.

use crate::StorePosition;
use crate::gateway::Gateway;
use serde::Serialize;
use std::sync::atomic::Ordering;

/// The state of one gateway.
#[derive(Debug, Serialize)]
pub(crate) struct GatewayStatus {
    name: String,
    data_centre: String,
    stopping: bool,
    open_requests: u64,
    /// Version of the configuration in force; none until one is known.
    configuration: Option<u64>,
    /// How far this VM has followed the store.
    store: StorePosition,
    endpoints: usize,
    /// Those that are cold and bear less than warm ones.
    cold_endpoints: usize,
    /// Data centres whose endpoints get no work because the operator asked for that.
    evacuated: Vec<String>,
}

impl GatewayStatus {
    pub(crate) fn of(gateway: &Gateway) -> Self {
        let now = gateway.now();
        let configuration = gateway.routes().map(|table| table.config().version);
        let table = gateway.table();
        Self {
            name: gateway.settings.name.clone(),
            data_centre: gateway.settings.data_centre.clone(),
            stopping: gateway.is_stopping(),
            open_requests: gateway.open_requests.load(Ordering::Relaxed),
            configuration,
            store: StorePosition {
                era: gateway.era.known().unwrap_or_default(),
                revision: gateway.metrics.store_revision.get() as u64,
            },
            endpoints: table.rows().count(),
            cold_endpoints: table.cold_count(now),
            evacuated: table.evacuated(now).map(str::to_owned).collect(),
        }
    }
}
