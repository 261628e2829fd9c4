//! Placement of streams that only one software version can continue.

use spanfold_decide::{
    DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable, HomeRegions, LoadCount,
    PlacementChoice, PlacementRequest, ServiceRow, ShareView, SoleSoftware, StreamOrigin, VersionSplit,
    place, short_digest,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const MEMORY_TOKENS: u64 = 40_000;
const NOW: Moment = Moment(1_000_000);

fn entry(id: &str, software: &str) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        born_millis: None,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        version: software.into(),
        slots: 64,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), 1)]).into(),
    }
}

/// Returns a table with engines of software versions, by their ids.
fn table(engines: &[(&str, &str)]) -> FleetTable {
    let engine = EngineSpec { slots: 64, memory_tokens: MEMORY_TOKENS, token_bytes: 18_432, models: vec![] };
    let service = ServiceRow { engine: Some(engine), ..ServiceRow::default() };
    let services = BTreeMap::from([("llm".to_owned(), service)]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for (id, software) in engines {
        table.apply_entry(entry(id, software), Moment(0));
    }
    table.sweep(NOW);
    table
}

fn placed(table: &FleetTable, versions: &VersionSplit, exclude: &[EndpointKey]) -> Option<PlacementChoice> {
    let request = PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        unreachable_data_centres: &[],
        segments: &[],
        prompt_tokens: 1_000,
        output_tokens: 10,
        objective_millis: 500,
        bytes: 2_000,
        model: Some("m"),
        required_weights: None,
        memory_fraction: 1.0,
        isolation_scope: "shared",
        exclude,
        versions,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    };
    place(table, &request, NOW)
}

fn began(software: &str) -> VersionSplit {
    VersionSplit::Began(short_digest(software))
}

fn fill(table: &mut FleetTable, id: &str, memory_tokens: u64) {
    let load = LoadCount { running: 1, pending_prefill_tokens: 0, memory_tokens };
    table.reserve(EndpointKey::of(id), load, &[], 0);
}

/// Guards against a stream that goes on at another version because the engines of its own are worse.
#[test]
fn a_stream_goes_to_an_engine_of_its_version_only() {
    let mut table = table(&[("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2")]);
    fill(&mut table, "i-1", MEMORY_TOKENS * 2);
    let i_1 = EndpointKey::of("i-1");
    assert_eq!(placed(&table, &began("v1"), &[]).unwrap().key, i_1);
    assert!(placed(&table, &began("v1"), &[i_1]).is_none());
    assert!(placed(&table, &began("v3"), &[]).is_none());
    let origin = |software| StreamOrigin::of("llm", software, i_1);
    assert!(table.has_software("llm", &origin("v1"), NOW));
    assert!(!table.has_software("llm", &origin("v3"), NOW));
    assert!(table.confirms_origin(&origin("v1")) && !table.confirms_origin(&origin("v2")));
}

/// Guards against new streams that fill the few engines that others need to go on.
#[yare::parameterized(
    few_of_the_version = { &[("i-1", "v1"), ("i-2", "v2"), ("i-3", "v2"), ("i-4", "v2")], true },
    one_version = { &[("i-1", "v1"), ("i-2", "v1"), ("i-3", "v1"), ("i-4", "v1")], false },
)]
fn new_streams_leave_memory_at_engines_of_a_scarce_version(engines: &[(&str, &str)], is_scarce: bool) {
    let mut table = table(engines);
    for (id, _) in engines {
        fill(&mut table, id, MEMORY_TOKENS * 9 / 10);
    }
    let others: Vec<_> = ["i-2", "i-3", "i-4"].map(EndpointKey::of).to_vec();
    let new = placed(&table, &VersionSplit::Any, &others).unwrap();
    assert_eq!(new.excess_tokens > 0, is_scarce);
    assert_eq!(placed(&table, &began("v1"), &others).unwrap().excess_tokens, 0);
}

/// Guards against a version that is taken for the only one although another one has just gone.
#[test]
fn a_version_counts_as_the_only_one_once_others_are_long_gone() {
    let service = short_digest("llm");
    let since = Moment(500);
    let mut table = table(&[("i-1", "v1"), ("i-2", "v1")]);
    let v1 = SoleSoftware::Sole(short_digest("v1"));
    assert_eq!(table.sole_software(service, since), v1);
    // The entries were not followed before.
    table.set_software_followed_since(Moment(501));
    assert_eq!(table.sole_software(service, since), SoleSoftware::Unsure);
    table.set_software_followed_since(Moment(0));
    table.apply_entry(entry("i-3", "v2"), NOW);
    assert_eq!(table.sole_software(service, since), SoleSoftware::Mixed);
    table.mark_entry_missing("i-3", Moment(0));
    table.sweep(NOW);
    assert_eq!(table.sole_software(service, since), SoleSoftware::Mixed);
    assert_eq!(table.sole_software(service, NOW.after_millis(1)), v1);
    // One that starts again under its id had the other version until then.
    table.apply_entry(entry("i-2", "v3"), NOW.after_millis(2));
    table.apply_entry(entry("i-2", "v1"), NOW.after_millis(3));
    assert_eq!(table.sole_software(service, NOW.after_millis(1)), SoleSoftware::Mixed);
}
