//! What VMs learn of endpoints from one another.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use spanfold_decide::{
    DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable, HomeRegions, LoadCount,
    PlacementRequest, PromptSegment, SendOutcome, SendReport, ServiceRow, ShareView, VersionSplit, VmKey,
    place,
};
use spanfold_entity::Moment;
use std::collections::BTreeMap;

fn at(millis: u64) -> Moment {
    Moment(0).after_millis(60_000 + millis)
}

fn key(engine: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{engine}"))
}

fn table(engines: usize) -> FleetTable {
    let engine = EngineSpec { slots: 24, memory_tokens: 40_000, ..EngineSpec::default() };
    let row = ServiceRow { engine: Some(engine), ..ServiceRow::default() };
    let services = BTreeMap::from([("llm".to_owned(), row)]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for engine in 0..engines {
        let entry = EndpointEntry {
            id: format!("i-{engine}"),
            born_millis: None,
            service: "llm".to_owned(),
            address: "127.0.0.1:9".parse().unwrap(),
            data_centre: "dc-a".to_owned(),
            version: "v1".into(),
            slots: 24,
            draining: false,
            cold_millis: None,
            weights: BTreeMap::new().into(),
        };
        table.apply_entry(entry, Moment(0));
    }
    table
}

fn vm(number: u64) -> VmKey {
    VmKey(number)
}

fn report(outcome: SendOutcome) -> SendReport {
    SendReport { key: key(0), outcome, pace: None, rest_millis: None }
}

fn is_ejected(table: &FleetTable, now: Moment) -> bool {
    table.row(key(0)).unwrap().is_ejected(now)
}

#[test]
fn one_vms_word_passes_nobody_over_and_two_do_until_an_answer() {
    let mut table = table(2);
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(0));
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(100));
    assert!(!is_ejected(&table, at(100)), "a VM that is cut off tells of all endpoints, again and again");
    table.apply_send_report(vm(2), &report(SendOutcome::Unreached), 0.0, at(200));
    assert!(is_ejected(&table, at(200)));
    table.apply_send_report(vm(3), &report(SendOutcome::Answered), 0.0, at(300));
    assert!(!is_ejected(&table, at(300)), "it answers somebody");
}

#[test]
fn an_answer_between_two_vms_words_speaks_for_the_endpoint() {
    let mut table = table(2);
    table.apply_send_report(vm(1), &report(SendOutcome::Unreached), 0.0, at(0));
    table.apply_send_report(vm(2), &report(SendOutcome::Answered), 0.0, at(50));
    table.apply_send_report(vm(3), &report(SendOutcome::Unreached), 0.0, at(100));
    assert!(!is_ejected(&table, at(100)));
}

#[test]
fn answers_that_break_pass_nobody_over_but_cost() {
    let mut table = table(2);
    for teller in 0..20 {
        table.apply_send_report(vm(teller), &report(SendOutcome::Broken), 0.0, at(teller * 20));
    }
    assert!(!is_ejected(&table, at(400)));
    assert!(table.row(key(0)).unwrap().failure_ratio() > 0.8);
}

#[test]
fn a_slow_engine_is_known_after_some_reports_and_a_slow_vm_alone_changes_little() {
    let mut fleet = table(2);
    let slow = SendReport { key: key(0), outcome: SendOutcome::Answered, pace: Some(3.5), rest_millis: None };
    for teller in 0..10 {
        fleet.apply_send_report(vm(teller), &slow, 0.0, at(teller * 200));
    }
    assert!(fleet.row(key(0)).unwrap().pace() > 2.2, "{}", fleet.row(key(0)).unwrap().pace());
    // Every seventh VM is 5.5 times slower itself.
    let mut fleet = table(2);
    for teller in 0..70 {
        let pace = if teller % 7 == 0 { 5.5 } else { 1.0 };
        let report = SendReport { pace: Some(pace), ..slow };
        fleet.apply_send_report(vm(teller), &report, 0.0, at(teller * 200));
    }
    assert!(fleet.row(key(0)).unwrap().pace() < 1.3, "{}", fleet.row(key(0)).unwrap().pace());
}

#[test]
fn a_vm_that_reaches_nobody_reports_nothing_and_answers_of_sound_endpoints_are_not_reported() {
    let mut table = table(2);
    table.learn(key(0), SendOutcome::Unreached, at(0));
    assert!(!table.should_propagate(&report(SendOutcome::Unreached), at(0)));
    table.learn(key(1), SendOutcome::Answered, at(100));
    assert!(table.should_propagate(&report(SendOutcome::Unreached), at(200)));
    assert!(!table.should_propagate(&report(SendOutcome::Unreached), at(3_000)));
    let sound = SendReport { key: key(1), outcome: SendOutcome::Answered, pace: None, rest_millis: None };
    assert!(!table.should_propagate(&sound, at(200)));
    // Usual paces are reported like slow ones: from slow ones alone, all engines would be believed slow.
    assert!(table.should_propagate(&SendReport { pace: Some(1.0), ..sound }, at(200)));
    assert!(table.should_propagate(&SendReport { pace: Some(3.0), ..sound }, at(200)));
}

const VMS: usize = 60;
const ENGINES: usize = 50;
const DARK: usize = 12;
/// Time in which a send finds that an engine is not reached, and in which others hear of it, in milliseconds.
const CONNECT_MILLIS: u64 = 360;
const STEP_MILLIS: u64 = 20;

fn choose(table: &FleetTable, now: Moment) -> usize {
    let parts = [PromptSegment { key: 1, tokens: 1_700 }];
    let ask = PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        silent: &[],
        parts: &parts,
        prompt_tokens: 1_700,
        output_tokens: 4,
        objective_millis: 500,
        bytes: 0,
        model: None,
        wanted: None,
        memory_fraction: 1.0,
        wall: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    };
    let choice = place(table, &ask, now).unwrap().key;
    (0..ENGINES).find(|engine| key(*engine) == choice).unwrap()
}

/// Plays 16 s in which `DARK` engines answer nothing: sends to them, and all. Each VM sends 4.5 times a second.
fn play(tells: bool) -> (u32, u32) {
    let mut draw = SmallRng::seed_from_u64(11);
    let mut tables: Vec<FleetTable> = (0..VMS).map(|_| table(ENGINES)).collect();
    // What ends when: VM, engine.
    let mut flights: BTreeMap<u64, Vec<(usize, usize)>> = BTreeMap::new();
    let (mut lost, mut all) = (0, 0);
    let load = LoadCount { running: 1, unread_tokens: 1_700, memory_tokens: 1_700 };
    for millis in (0..16_000).step_by(STEP_MILLIS as usize) {
        let now = at(millis);
        for (vm_number, table) in tables.iter_mut().enumerate() {
            if draw.random::<f64>() < 4.5 * STEP_MILLIS as f64 / 1_000.0 {
                // Loads of others are not told here: a VM goes by its own, and by a random start.
                let engine = choose_from(table, draw.random_range(0..ENGINES), now);
                table.take(key(engine), load, &[], 0);
                let taken = if engine < DARK { CONNECT_MILLIS } else { 100 };
                flights.entry(millis + taken).or_default().push((vm_number, engine));
                all += 1;
                lost += u32::from(engine < DARK);
            }
        }
        for (teller, engine) in flights.remove(&millis).unwrap_or_default() {
            let outcome = if engine < DARK { SendOutcome::Unreached } else { SendOutcome::Answered };
            tables[teller].release(key(engine), load);
            tables[teller].learn(key(engine), outcome, now);
            let report = SendReport { key: key(engine), outcome, pace: None, rest_millis: None };
            if tells && tables[teller].should_propagate(&report, now) {
                for (_, table) in tables.iter_mut().enumerate().filter(|(other, _)| *other != teller) {
                    let turn = draw.random::<f64>() * VMS as f64;
                    table.apply_send_report(vm(teller as u64), &report, turn, now);
                }
            }
        }
        if millis % 500 == 0 {
            for table in &mut tables {
                table.sweep(now);
            }
        }
    }
    (lost, all)
}

/// The engine that `place` prefers, or a random one that it would take as well.
fn choose_from(table: &FleetTable, start: usize, now: Moment) -> usize {
    let best = choose(table, now);
    let turned = (start..ENGINES).chain(0..start);
    let idle = |engine: &usize| {
        table.row(key(*engine)).is_some_and(|row| !row.is_ejected(now) && row.own.running == 0)
    };
    turned.into_iter().find(idle).unwrap_or(best)
}

#[test]
fn many_vms_find_a_quarter_of_the_engines_dark_together() {
    let (lost, all) = play(false);
    // Each by itself: a part of all prompts is sent to dark engines as long as they are dark.
    assert!(lost * 100 > all * 20, "{lost} of {all}");
    let (lost, all) = play(true);
    assert!(lost * 100 < all * 4, "{lost} of {all}");
}
