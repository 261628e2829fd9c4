//! Memory of the endpoint table with thousands of rows: a bound in bytes a row.
//!
//! The test has a process of its own, so that nothing else allocates meanwhile.

use spanfold_decide::{EndpointEntry, FleetTable, LoadCount, LoadSource, PromptSegment, VmKey};
use spanfold_entity::Moment;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of endpoints: twice that of the largest deployment.
const ROWS: usize = 20_000;
/// Largest memory of a row with its key and id.
const MAX_ROW_BYTES: usize = 1_100;
/// Largest additional memory of a row after work ran there and some segments are cached.
const MAX_USED_BYTES: usize = 400;
/// Size of a memory page.
const PAGE_BYTES: usize = 4_096;

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap();
    statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE_BYTES
}

/// Returns an entry as decoded, which shares no memory with others.
fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("i-{number:010x}"),
        born_millis: Some(1_700_000_000_000 + number as u64),
        service: "llm".to_owned(),
        address: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 8_080)),
        data_centre: format!("dc-{}", number % 5),
        version: "v1".into(),
        slots: 24,
        draining: false,
        cold_millis: Some(0),
        weights: Arc::new(BTreeMap::from([("model-a".to_owned(), 1)])),
    }
}

#[test]
fn a_row_takes_bounded_memory() {
    let empty_bytes = resident_bytes();
    let mut table = FleetTable::default();
    for number in 0..ROWS {
        assert!(table.apply_entry(entry(number), Moment(1)));
    }
    let row_bytes = (resident_bytes() - empty_bytes) / ROWS;
    assert!(row_bytes <= MAX_ROW_BYTES, "{row_bytes} bytes a row");

    let listed_bytes = resident_bytes();
    let keys: Vec<_> = table.rows().map(|(key, _)| key).collect();
    let segments: Vec<_> = (0..6).map(|number| PromptSegment { key: number, tokens: 500 }).collect();
    let load = LoadCount { running: 1, pending_prefill_tokens: 100, memory_tokens: 200 };
    for (number, key) in keys.iter().enumerate() {
        table.reserve(*key, load, &segments, number as u64);
        let source = LoadSource::Vm(VmKey(number as u64 % 7));
        table.apply_peer_loads(source, &[(*key, load)], Moment(2));
        table.release(*key, load);
    }
    let used_bytes = resident_bytes().saturating_sub(listed_bytes) / ROWS;
    assert!(used_bytes <= MAX_USED_BYTES, "{used_bytes} bytes more a row in use");
}
