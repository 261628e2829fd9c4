//! Placement of requests on endpoints.

use spanfold_decide::{
    CacheChange, CacheUpdate, DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable,
    HomeRegions, LoadCount, LoadSource, PlacementChoice, PlacementRequest, PromptSegment, RequiredWeights,
    SendOutcome, ServiceRow, ShareView, StoreSpec, VersionSplit, VmKey, place,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

const MEMORY_TOKENS: u64 = 40_000;
const NOW: Moment = Moment(1_000_000);

fn entry(id: &str, data_centre: &str, version: u64) -> EndpointEntry {
    EndpointEntry {
        id: id.to_owned(),
        born_millis: None,
        service: "llm".to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        data_centre: data_centre.to_owned(),
        version: "v1".into(),
        slots: 64,
        draining: false,
        cold_millis: None,
        weights: BTreeMap::from([("m".to_owned(), version)]).into(),
    }
}

fn table(entries: &[EndpointEntry]) -> FleetTable {
    let engine = EngineSpec {
        slots: 64,
        memory_tokens: MEMORY_TOKENS,
        token_bytes: 18_432,
        models: vec!["m".to_owned()],
    };
    let store = StoreSpec {
        address: "127.0.0.1:8".parse().unwrap(),
        data_centre: "dc-a".to_owned(),
        tokens: 100_000,
        link_mbps: 29_000.0,
        transfer_latency_millis: 6.0,
        token_bytes: 18_432,
        max_long_polls: 12,
    };
    let services = BTreeMap::from([
        ("llm".to_owned(), ServiceRow { engine: Some(engine), ..ServiceRow::default() }),
        ("kept".to_owned(), ServiceRow { store: Some(store), ..ServiceRow::default() }),
    ]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for entry in entries {
        table.apply_entry(entry.clone(), Moment(0));
    }
    table
}

fn two_engines() -> FleetTable {
    table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-a", 1)])
}

const SEGMENTS: [PromptSegment; 3] = [
    PromptSegment { key: 1, tokens: 2_500 },
    PromptSegment { key: 2, tokens: 5_000 },
    PromptSegment { key: 3, tokens: 1_500 },
];

fn request() -> PlacementRequest<'static> {
    PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        unreachable_data_centres: &[],
        segments: &SEGMENTS,
        prompt_tokens: 9_000,
        output_tokens: 10,
        objective_millis: 500,
        bytes: 18_000,
        model: Some("m"),
        required_weights: None,
        memory_fraction: 1.0,
        isolation_scope: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    }
}

fn load(pending_prefill_tokens: u64, memory_tokens: u64) -> LoadCount {
    LoadCount { running: 1, pending_prefill_tokens, memory_tokens }
}

fn key(id: &str) -> EndpointKey {
    EndpointKey::of(id)
}

fn chosen(table: &FleetTable, request: &PlacementRequest<'_>) -> PlacementChoice {
    place(table, request, NOW).unwrap()
}

#[test]
fn the_engine_with_less_queued_work_is_chosen_whichever_vm_sent_it() {
    let mut table = two_engines();
    table.reserve(key("i-1"), load(5_000, 5_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
    table.apply_peer_loads(LoadSource::Vm(VmKey::of("vm-2")), &[(key("i-2"), load(9_000, 9_000))], NOW);
    assert_eq!(chosen(&table, &request()).key, key("i-1"));
    // The loads of a peer that sends no more digests expire, and its requests no longer count.
    let later = NOW.after_millis(5_000);
    assert_eq!(place(&table, &request(), later).unwrap().key, key("i-2"));
}

#[test]
fn an_engine_with_free_capacity_precedes_one_with_a_shorter_queue() {
    let mut table = two_engines();
    table.reserve(key("i-1"), load(0, MEMORY_TOKENS - 5_000), &[], 0);
    table.reserve(key("i-2"), load(9_000, 9_000), &[], 0);
    let choice = chosen(&table, &request());
    assert_eq!((choice.key, choice.excess_tokens), (key("i-2"), 0));
    // A request that may fill more of the memory finds free capacity there.
    let choice = chosen(&table, &PlacementRequest { memory_fraction: 1.15, ..request() });
    assert_eq!((choice.key, choice.excess_tokens), (key("i-1"), 0));
    table.reserve(key("i-2"), load(0, MEMORY_TOKENS), &[], 0);
    assert_eq!(chosen(&table, &request()).excess_tokens, 9_010 - 5_000);
}

#[test]
fn departing_failed_and_excluded_endpoints_are_skipped() {
    let mut table = two_engines();
    table.apply_entry(EndpointEntry { draining: true, ..entry("i-1", "dc-a", 1) }, Moment(0));
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
    let excluded = [key("i-2")];
    assert!(place(&table, &PlacementRequest { exclude: &excluded, ..request() }, NOW).is_none());
    // An ejected endpoint is better than none.
    table.record_outcome(key("i-2"), SendOutcome::Broken, NOW);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
}

#[test]
fn a_broken_endpoint_is_tried_again_by_one_request_at_a_time() {
    let mut table = two_engines();
    table.record_outcome(key("i-1"), SendOutcome::Broken, NOW);
    table.reserve(key("i-2"), load(20_000, 20_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
    let later = NOW.after_millis(800);
    assert_eq!(place(&table, &request(), later).unwrap().key, key("i-1"));
    table.reserve(key("i-1"), load(0, 0), &[], 0);
    assert_eq!(place(&table, &request(), later).unwrap().key, key("i-2"));
}

#[test]
fn overdue_weights_get_no_request() {
    let table = table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-b", 2)]);
    let required = |bound| RequiredWeights { newest: 2, bounds: vec![(2, bound)] };
    let (not_overdue, overdue) = (required(NOW.after_millis(9_000)), required(NOW));
    // Old weights only raise the cost, until they are overdue.
    let small = PlacementRequest { bytes: 100, ..request() };
    assert_eq!(
        chosen(&table, &PlacementRequest { required_weights: Some(&not_overdue), ..small.clone() }).key,
        key("i-2")
    );
    let only = [key("i-2")];
    let at_old_weights =
        PlacementRequest { required_weights: Some(&overdue), exclude: &only, ..small.clone() };
    assert!(place(&table, &at_old_weights, NOW).is_none());
    assert!(
        place(
            &table,
            &PlacementRequest { required_weights: Some(&not_overdue), exclude: &only, ..small },
            NOW
        )
        .is_some()
    );
}

#[test]
fn a_request_is_not_sent_where_weights_may_be_overdue_at_its_start() {
    // A prompt that waited 1.8 s at its engine started 10.5 s after newer weights were published, where 10 s
    // are allowed.
    let mut table = table(&[entry("i-1", "dc-a", 1)]);
    let required = RequiredWeights { newest: 2, bounds: vec![(2, NOW.after_millis(2_500))] };
    let request = PlacementRequest { required_weights: Some(&required), ..request() };
    assert!(place(&table, &request, NOW).is_some());
    // The bound is near.
    assert!(place(&table, &request, NOW.after_millis(1_700)).is_none());
    // Much work is queued there before it.
    table.reserve(key("i-1"), load(45_000, 20_000), &[], 0);
    assert!(place(&table, &request, NOW).is_none());
}

#[test]
fn a_request_stays_in_its_data_centre_unless_waiting_costs_more() {
    let mut table = table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-b", 1)]);
    assert_eq!(chosen(&table, &request()).key, key("i-1"));
    table.reserve(key("i-1"), load(1_000, 1_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-1"));
    table.reserve(key("i-1"), load(9_000, 9_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
}

#[test]
fn stored_segments_are_transferred_only_under_the_same_cache_salt() {
    let mut table = two_engines();
    let now = NOW;
    let change = |segment, tokens| CacheChange {
        cache_salt: "shared.m.1".to_owned(),
        segment,
        segment_text: segment.to_string(),
        tokens,
    };
    let update = CacheUpdate {
        incarnation: 1,
        changes: vec![change(1, 2_500), change(2, 5_000)],
        ..CacheUpdate::default()
    };
    let before = chosen(&table, &request());
    assert_eq!((before.transfers.transferred_tokens, before.load.pending_prefill_tokens), (0, 9_000));
    // Segments that no store contains are to be saved, except the request's own one.
    assert_eq!(before.transfers.saves, [None, None, None], "no update received from the store yet");
    table.store_mut(key("kept")).unwrap().replace(&update, now.after_millis(1_000));
    let after = chosen(&table, &request());
    assert_eq!((after.transfers.transferred_tokens, after.load.pending_prefill_tokens), (7_500, 1_500));
    assert_eq!(after.transfers.fetches, [Some(key("kept")), Some(key("kept")), None]);
    assert!(after.expected_micros < before.expected_micros);
    let isolated = chosen(&table, &PlacementRequest { isolation_scope: "account:one", ..request() });
    assert_eq!(isolated.transfers.transferred_tokens, 0);
    assert_eq!(isolated.transfers.saves, [Some(key("kept")), Some(key("kept")), None]);
}

#[test]
fn a_segment_behind_a_gap_is_not_transferred() {
    let mut table = two_engines();
    let second_segment = CacheChange {
        cache_salt: "shared.m.1".to_owned(),
        segment: 2,
        segment_text: "2".to_owned(),
        tokens: 5_000,
    };
    let update = CacheUpdate { incarnation: 1, changes: vec![second_segment], ..CacheUpdate::default() };
    table.store_mut(key("kept")).unwrap().replace(&update, NOW.after_millis(1_000));
    let choice = chosen(&table, &request());
    assert_eq!((choice.transfers.transferred_tokens, choice.transfers.stored_tokens), (0, 5_000));
    assert_eq!(choice.transfers.fetches, [None, None, None]);
}

/// A slow link can make the transfer of a shared segment take longer than its prefill. Callers with a long
/// objective still benefit, since the engine prefills less for all; answers with a short one would be late.
#[yare::parameterized(
    long_objective = { 1_200, 7_500 },
    short_objective = { 500, 0 },
)]
fn a_transfer_may_take_a_fraction_of_the_objective(objective_millis: u64, transferred_tokens: u64) {
    let mut table = two_engines();
    let change = |segment: u64, tokens| CacheChange {
        cache_salt: "shared.m.1".to_owned(),
        segment,
        segment_text: segment.to_string(),
        tokens,
    };
    let changes = vec![change(1, 2_500), change(2, 5_000)];
    let update = CacheUpdate { incarnation: 1, changes, ..CacheUpdate::default() };
    let store = table.store_mut(key("kept")).unwrap();
    store.replace(&update, NOW.after_millis(1_000));
    // Transfers of other VMs keep the link busy.
    store.set_peer_transfers(LoadSource::Vm(VmKey(7)), 230_000, None, NOW);
    let choice = chosen(&table, &PlacementRequest { objective_millis, ..request() });
    assert_eq!(choice.transfers.transferred_tokens, transferred_tokens);
}

#[test]
fn an_engine_that_has_cached_the_prompt_precedes_a_shorter_queue() {
    let mut table = two_engines();
    let salt = spanfold_decide::short_digest("shared.m.1");
    table.record_segments(key("i-2"), &SEGMENTS[..2], salt);
    table.reserve(key("i-2"), load(3_000, 3_000), &[], 0);
    let choice = chosen(&table, &request());
    assert_eq!((choice.key, choice.transfers.cached_tokens), (key("i-2"), 7_500));
}

#[test]
fn a_cordoned_engine_is_skipped() {
    let mut table = two_engines();
    table.cordon_until(key("i-1"), NOW.after_millis(500));
    table.reserve(key("i-2"), load(9_000, 9_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
    assert_eq!(place(&table, &request(), NOW.after_millis(600)).unwrap().key, key("i-1"));
}

#[test]
fn an_unreachable_data_centre_is_skipped_before_connections_fail() {
    let mut table = table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-b", 1)]);
    table.reserve(key("i-1"), load(9_000, 9_000), &[], 0);
    assert_eq!(chosen(&table, &request()).key, key("i-2"));
    assert_eq!(
        chosen(&table, &PlacementRequest { unreachable_data_centres: &["dc-b"], ..request() }).key,
        key("i-1")
    );
    // An unreachable data centre is better than none.
    let only = [key("i-1")];
    assert_eq!(
        chosen(
            &table,
            &PlacementRequest { unreachable_data_centres: &["dc-b"], exclude: &only, ..request() }
        )
        .key,
        key("i-2")
    );
}

fn regions(table: &mut FleetTable) {
    let rows = [("dc-a", "north"), ("dc-b", "south")];
    table.set_regions(rows.into_iter().map(|(name, region)| (name.to_owned(), region.to_owned())).collect());
}

#[test]
fn a_request_goes_to_its_homes_only() {
    let mut table = table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-b", 1), entry("i-3", "dc-c", 1)]);
    regions(&mut table);
    let homes = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let (north, south, both) = (homes(&["north"]), homes(&["south"]), homes(&["north", "south"]));
    let place_with = |route: &[String], account: &[String]| {
        let homes = HomeRegions { route, account };
        place(&table, &PlacementRequest { homes, ..request() }, NOW).map(|choice| choice.key)
    };
    assert_eq!(place_with(&south, &[]), Some(key("i-2")));
    assert_eq!(place_with(&[], &south), Some(key("i-2")));
    assert_eq!(place_with(&both, &north), Some(key("i-1")));
    // Both restrictions apply: no endpoint is left, nor one in a data centre of unknown region.
    assert_eq!(place_with(&north, &south), None);
    assert_eq!(place_with(&homes(&["east"]), &[]), None);
}

#[test]
fn no_segment_is_saved_outside_the_homes_of_a_prompt() {
    let mut table = table(&[entry("i-1", "dc-a", 1), entry("i-2", "dc-b", 1)]);
    regions(&mut table);
    for (_, store) in table.stores_mut() {
        store.replace(&CacheUpdate::default(), Moment::NEVER);
    }
    // The only store is in dc-a, in the region north.
    let saves = |home: &str| {
        let route = [home.to_owned()];
        let homes = HomeRegions { route: &route, account: &[] };
        let choice = chosen(&table, &PlacementRequest { homes, ..request() });
        choice.transfers.saves.iter().flatten().count()
    };
    assert!(saves("north") > 0);
    assert_eq!(saves("south"), 0);
}
