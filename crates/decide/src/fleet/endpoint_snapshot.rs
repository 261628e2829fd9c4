//! What one VM hands to another that starts: all endpoints as far as it has followed the store.
//!
//! Pattern: each VM that starts reads the entries of all endpoints. With n VMs and as many times the endpoints that is n
//! times n: 985 VMs that start together would read 5 GB from the store, and be ready after its link has carried that. So where
//! there are many, a few VMs of each data centre read them there, and the others take a copy from one that has a wide link.
//!
//! Invariant: a copy holds every change up to its position. It may hold later ones too: these come again, and change nothing.

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
    /// All changes up to here are in it.
    pub position: StorePosition,
    /// Entries that could be read.
    pub entries: Vec<EndpointEntry>,
    /// Ids of those that could not.
    pub unreadable: Vec<String>,
}

impl EndpointSnapshot {
    /// The endpoints of a table whose changes up to `position` are applied.
    pub fn of(table: &FleetTable, position: StorePosition, now: Moment) -> Self {
        let listed = table.rows().filter(|(_, row)| row.missing_until.is_none() && !row.is_unreadable);
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

/// A value in as few bytes as a fast compression takes; none if it has no binary form.
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

/// A packed value of `most` bytes at most; none if it is longer or not such a value.
pub fn unpack<T: DeserializeOwned>(packed: &[u8], most: u64) -> Option<T> {
    let mut plain = Vec::new();
    DeflateDecoder::new(packed).take(most).read_to_end(&mut plain).ok()?;
    postcard::from_bytes(&plain).ok()
}
