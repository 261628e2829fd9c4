//! Snapshot of all endpoints that a VM sends to another VM at its start.
//!
//! Pattern: a VM that starts reads the entries of all endpoints. As the number of endpoints grows with the
//! number of VMs, the total grows with its square: 985 VMs that start together would read 5 GB from the
//! store, and be ready only after its link has carried that. So in large data centres a few VMs read the
//! entries from the store, and the others take a snapshot from a VM with a wide link.
//!
//! Invariant: a snapshot contains every change up to its position. It may contain later changes too; they are
//! received again and have no further effect.

use crate::{EndpointEntry, FleetTable, StorePosition};
use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::io::{Read, Write};

/// All endpoints at one position in the store's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointSnapshot {
    /// The snapshot contains all changes up to this position.
    pub position: StorePosition,
    /// Entries that could be decoded.
    pub entries: Vec<EndpointEntry>,
    /// Ids of endpoints whose entries could not be decoded.
    pub unreadable: Vec<String>,
}

impl EndpointSnapshot {
    /// Creates a snapshot of a table to which all changes up to `position` are applied.
    pub fn of(table: &FleetTable, position: StorePosition, now: Moment) -> Self {
        let listed = table.rows().filter(|(_, row)| row.grace_deadline.is_none() && !row.is_unreadable);
        let entries = listed.map(|(_, row)| {
            let cold_millis = row.cold_until.micros_since(now) / MICROS_PER_MILLI;
            let cold_millis = Some(if now < row.cold_until { cold_millis } else { 0 });
            EndpointEntry { cold_millis, ..row.entry.clone() }
        });
        Self {
            position,
            entries: entries.collect(),
            unreadable: table.unreadable().map(str::to_owned).collect(),
        }
    }
}

/// Serializes and compresses a value; `None` if it cannot be serialized.
///
/// The compression is the fastest one.
///
/// # Examples
/// ```
/// use spanfold_decide::{pack, unpack};
/// let packed = pack(&vec![7_u32; 1_000]).unwrap();
/// assert!(packed.len() < 100);
/// assert_eq!(unpack::<Vec<u32>>(&packed, 10_000), Some(vec![7; 1_000]));
/// assert_eq!(unpack::<Vec<u32>>(&packed, 10), None);
/// ```
pub fn pack(value: &impl Serialize) -> Option<Vec<u8>> {
    let plain = postcard::to_stdvec(value).ok()?;
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(&plain).ok()?;
    encoder.finish().ok()
}

/// Decompresses and decodes a packed value; `None` if it is invalid or larger than `limit_bytes`.
pub fn unpack<T: DeserializeOwned>(packed: &[u8], limit_bytes: u64) -> Option<T> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(limit_bytes).read_to_end(&mut plain).ok()?;
    postcard::from_bytes(&plain).ok()
}
