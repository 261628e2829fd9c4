//! Placement by many VMs on many engines with delayed load reports: no engine attracts the requests of all
//! VMs.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable, HomeRegions, PlacementRequest,
    PromptSegment, ServiceRow, ShareView, VersionSplit, format_cache_salt, place, short_digest,
};
use spanfold_entity::Moment;
use std::cell::RefCell;
use std::collections::BTreeMap;

const NOW: Moment = Moment(1_000_000);

thread_local! {
    static RNG: RefCell<SmallRng> = RefCell::new(SmallRng::seed_from_u64(7));
}

fn draw() -> f64 {
    RNG.with_borrow_mut(Rng::random)
}

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        id: format!("i-{number}"),
        born_millis: None,
        service: "llm".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: format!("dc-{}", number % 5),
        version: "v1".into(),
        slots: 24,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), 1)]).into(),
    }
}

fn table(engines: usize) -> FleetTable {
    let mut table = FleetTable::default();
    let engine =
        EngineSpec { slots: 24, memory_tokens: 40_000, token_bytes: 18_432, models: vec!["m".into()] };
    let service = ServiceRow { engine: Some(engine), ..ServiceRow::default() };
    let services = BTreeMap::from([("llm".to_owned(), service)]);
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    (0..engines).for_each(|number| assert!(table.apply_entry(entry(number), NOW)));
    table
}

fn request<'a>(segments: &'a [PromptSegment], exclude: &'a [EndpointKey]) -> PlacementRequest<'a> {
    PlacementRequest {
        service: "llm",
        data_centre: "dc-1",
        unreachable_data_centres: &[],
        segments,
        prompt_tokens: 9_000,
        output_tokens: 10,
        objective_millis: 500,
        bytes: 9_000,
        model: Some("m"),
        required_weights: None,
        memory_fraction: 1.0,
        homes: HomeRegions::default(),
        isolation_scope: "shared",
        exclude,
        versions: &VersionSplit::Any,
        shares: ShareView::default(),
        draw,
    }
}

/// Returns the highest count of 200 prompts at one engine. The placing VMs have received no loads from one
/// another, and three engines have cached the first segment.
fn max_at_one_engine(engines: usize) -> usize {
    let segments = [PromptSegment { key: 1, tokens: 2_500 }, PromptSegment { key: 2, tokens: 6_500 }];
    let mut table = table(engines);
    let salt = short_digest(&format_cache_salt("shared", "m", 1));
    for number in [1, 6, 11] {
        table.record_segments(EndpointKey::of(&format!("i-{number}")), &segments[..1], salt);
    }
    let mut counts = BTreeMap::new();
    for _ in 0..200 {
        let choice = place(&table, &request(&segments, &[]), NOW).unwrap();
        *counts.entry(choice.key).or_insert(0) += 1;
    }
    counts.into_values().max().unwrap()
}

#[test]
fn no_engine_attracts_the_prompts_of_all_vms() {
    // In small deployments all prompts go to the three engines that have cached the segment; loads propagate
    // sooner there.
    assert!(max_at_one_engine(60) >= 60);
    for engines in [2_000, 9_773, 20_000] {
        let max_count = max_at_one_engine(engines);
        assert!(max_count <= 50 * 2_000 / engines + 5, "{max_count} of 200 at one of {engines} engines");
    }
}

#[test]
fn an_engine_outside_the_sample_is_found_when_no_other_is_left() {
    let segments = [PromptSegment { key: 1, tokens: 9_000 }];
    let mut table = table(2_000);
    let remaining = EndpointKey::of("i-1003");
    for number in (0..2_000).filter(|number| *number != 1_003) {
        table.mark_entry_missing(&format!("i-{number}"), Moment(0));
    }
    for _ in 0..20 {
        assert_eq!(place(&table, &request(&segments, &[]), NOW).unwrap().key, remaining);
    }
    assert!(place(&table, &request(&segments, &[remaining]), NOW).is_none());
}
