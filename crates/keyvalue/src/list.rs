//! Client of the VM list, a JSON resource: `{"vms": [{name, role, address, data_centre, state}]}`.
//!
//! Invariant: the rows are returned as the platform reports them, possibly late; nothing here
//! evaluates them.

use crate::PlatformError;
use crate::http::{JsonClient, call, json_client};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// One row of the VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformVm {
    /// The VM's name.
    pub name: String,
    /// `entry` or `endpoint`.
    pub role: String,
    /// Peer address of an entry VM or service address of an endpoint VM, `IP:PORT`.
    pub address: String,
    /// Its data centre.
    pub data_centre: String,
    /// `live` or `leaving`.
    pub state: String,
}

#[derive(Deserialize)]
struct VmListResponse {
    vms: Vec<PlatformVm>,
}

/// A client of the VM list.
#[derive(Clone, Debug)]
pub struct VmListClient {
    client: JsonClient,
    address: SocketAddr,
}

impl VmListClient {
    /// Creates a client of the list at `address`.
    ///
    /// # Examples
    /// ```
    /// use spanfold_keyvalue::VmListClient;
    /// let _client = VmListClient::new("127.0.0.1:2380".parse().unwrap());
    /// ```
    pub fn new(address: SocketAddr) -> Self {
        Self { client: json_client(), address }
    }

    /// Reads the VM list.
    ///
    /// # Errors
    /// If the platform did not answer, or the answer is malformed.
    pub async fn read(&self) -> Result<Vec<PlatformVm>, PlatformError> {
        let answer = call(&self.client, self.address, "/vms", None, READ_TIMEOUT).await?;
        let response: VmListResponse =
            serde_json::from_value(answer).map_err(|error| PlatformError::Unknown(error.to_string()))?;
        Ok(response.vms)
    }
}
