//! What goes, waits or is refused when prompts ask for more memory than engines have.
//!
//! The model: engines read their prompts one after the other, and a run holds the prompt's memory until its last
//! event. When the memory runs out, the newest run is thrown away and read again from its start. Figures are those
//! of a fleet with 70,000 tokens of memory an engine, 48 tokens read in a millisecond, and 2 s of events beside
//! other prompts' reading.

use spanfold_decide::{
    AdmissionVerdict, AdmissionView, DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable,
    HomeRegions, LoadCount, PlacementChoice, PlacementRequest, PromptSegment, ServiceRow, ShareView,
    VersionSplit, claim_probability, place,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, VecDeque};

const ENGINES: usize = 3;
const MEMORY: u64 = 70_000;
const PROMPT: u64 = 12_000;
/// Tokens of a part that all prompts begin with: an engine keeps it once.
const SHARED: u64 = 2_000;
const PIECE: u64 = 2_048;
const READ_MILLIS: u64 = 250;
const EVENT_MILLIS: u64 = 2_000;
const OBJECTIVE_MILLIS: u64 = 1_200;
const STEP_MILLIS: u64 = 10;

fn view(received_millis: u64) -> AdmissionView {
    AdmissionView {
        received: Moment(0).after_millis(received_millis),
        limit: Moment(0).after_millis(received_millis + 12_000),
        objective_millis: OBJECTIVE_MILLIS,
        silence_millis: 4_800,
        rank: 1,
    }
}

fn key(engine: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{engine}"))
}

fn table() -> FleetTable {
    let engine = EngineSpec { slots: 64, memory_tokens: MEMORY, ..EngineSpec::default() };
    let row = ServiceRow { engine: Some(engine), ..ServiceRow::default() };
    let services = BTreeMap::from([("llm".to_owned(), row)]);
    let mut table = FleetTable::default();
    table.set_services(&DeploymentConfig { services, ..DeploymentConfig::default() });
    for engine in 0..ENGINES {
        table.apply_entry(
            EndpointEntry {
                id: format!("i-{engine}"),
                born_millis: None,
                service: "llm".to_owned(),
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: "dc-a".to_owned(),
                version: "v1".into(),
                slots: 64,
                draining: false,
                cold_millis: None,
                weights: BTreeMap::new().into(),
            },
            Moment(0),
        );
    }
    table
}

fn choose(table: &FleetTable, memory_fraction: f64, now: Moment) -> PlacementChoice {
    let parts = [PromptSegment { key: 1, tokens: PROMPT as u32 }];
    let ask = PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        silent: &[],
        parts: &parts,
        prompt_tokens: PROMPT as u32,
        output_tokens: 55,
        objective_millis: OBJECTIVE_MILLIS,
        bytes: 0,
        model: None,
        wanted: None,
        memory_fraction,
        wall: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    };
    place(table, &ask, now).unwrap()
}

/// One prompt at an engine: when it arrived at the VM, what was counted for it, and its work left.
struct Run {
    received: u64,
    load: LoadCount,
    read_left: u64,
    events_left: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<Run>,
    running: Vec<Run>,
}

#[derive(Default)]
struct Outcome {
    thrown_away: u32,
    refused: u32,
    read_millis: u64,
    /// By the second of arrival: answers in time, and all.
    in_time: BTreeMap<u64, (u32, u32)>,
}

impl Engine {
    fn used(&self) -> u64 {
        let own = |run: &Run| (PROMPT - SHARED) * (READ_MILLIS - run.read_left) / READ_MILLIS;
        SHARED + self.running.iter().map(own).sum::<u64>()
    }

    /// A prompt is taken in if its first piece fits; its memory grows as it is read.
    fn step(&mut self, now: u64, outcome: &mut Outcome, mut ended: impl FnMut(LoadCount, bool)) {
        if self.running.iter().all(|run| run.read_left == 0)
            && self.used() + PIECE <= MEMORY
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        if let Some(run) = self.running.iter_mut().find(|run| run.read_left > 0) {
            run.read_left -= STEP_MILLIS;
            outcome.read_millis += STEP_MILLIS;
            if run.read_left == 0 {
                let row = outcome.in_time.entry(run.received / 1_000).or_default();
                row.0 += u32::from(now <= run.received + OBJECTIVE_MILLIS);
                ended(run.load, false);
            }
        }
        if self.used() > MEMORY {
            let newest = self.running.pop().unwrap();
            outcome.thrown_away += 1;
            self.waiting.push_front(Run { read_left: READ_MILLIS, ..newest });
        }
        for run in self.running.iter_mut().filter(|run| run.read_left == 0) {
            run.events_left = run.events_left.saturating_sub(STEP_MILLIS);
        }
        self.running.retain(|run| {
            let lives = run.read_left > 0 || run.events_left > 0;
            if !lives {
                ended(run.load, true);
            }
            lives
        });
    }
}

/// Plays 12 s: 4 prompts a second, but `burst` as many from second 2 to 5.
fn play(burst: u64, admits: bool) -> Outcome {
    let mut table = table();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut outcome = Outcome::default();
    let mut line: VecDeque<u64> = VecDeque::new();
    let mut owed = 0;
    for now_millis in (0..12_000).step_by(STEP_MILLIS as usize) {
        let now = Moment(0).after_millis(now_millis);
        owed += STEP_MILLIS * 4 * if (2_000..5_000).contains(&now_millis) { burst } else { 1 };
        while owed >= 1_000 {
            owed -= 1_000;
            line.push_back(now_millis);
            outcome.in_time.entry(now_millis / 1_000).or_default().1 += 1;
        }
        for received in std::mem::take(&mut line) {
            let view = view(received);
            let choice = choose(&table, if admits { view.memory_fraction(now) } else { 1.0 }, now);
            match view.admit(&choice, now) {
                AdmissionVerdict::Wait if admits => line.push_back(received),
                AdmissionVerdict::Refuse(_) if admits => outcome.refused += 1,
                _ => {
                    table.take(choice.key, choice.load, &[], 0);
                    let engine = (0..ENGINES).find(|engine| key(*engine) == choice.key).unwrap();
                    let run = Run {
                        received,
                        load: choice.load,
                        read_left: READ_MILLIS,
                        events_left: EVENT_MILLIS,
                    };
                    engines[engine].waiting.push_back(run);
                }
            }
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.step(now_millis, &mut outcome, |load, whole| {
                let part = LoadCount { unread_tokens: load.unread_tokens, ..LoadCount::default() };
                let rest = LoadCount { unread_tokens: 0, ..load };
                table.release(key(number), if whole { rest } else { part });
            });
        }
    }
    outcome
}

#[test]
fn a_burst_of_twice_the_traffic_throws_no_run_away() {
    // Sent at once, as before: runs are thrown away, and read again.
    let before = play(3, false);
    assert!(before.thrown_away > 10, "{}", before.thrown_away);
    let after = play(3, true);
    assert_eq!(after.thrown_away, 0);
    // Engines read no more than was asked for: here it keeps answers as timely as reading much twice.
    let asked = u64::from(after.in_time.values().map(|(_, all)| all).sum::<u32>() - after.refused);
    assert!(after.read_millis <= asked * READ_MILLIS, "{} {asked}", after.read_millis);
    assert!(before.read_millis > after.read_millis * 6 / 5, "{} {}", before.read_millis, after.read_millis);
    let sum = |outcome: &Outcome| outcome.in_time.values().map(|(in_time, _)| in_time).sum::<u32>();
    assert!(sum(&after) * 20 >= sum(&before) * 19, "{} {}", sum(&after), sum(&before));
}

#[test]
fn four_seconds_after_a_burst_all_answers_are_in_time_again() {
    let outcome = play(2, true);
    let late = outcome.in_time.range(9..11).filter(|(_, (in_time, all))| in_time < all).count();
    assert_eq!(late, 0, "{:?}", outcome.in_time);
}

#[test]
fn without_a_burst_nobody_waits_until_late() {
    let outcome = play(1, true);
    assert_eq!((outcome.thrown_away, outcome.refused), (0, 0));
    assert!(outcome.in_time.range(..11).all(|(_, (in_time, all))| in_time == all), "{:?}", outcome.in_time);
}

fn full(excess_tokens: u64, expected_millis: u64) -> PlacementChoice {
    PlacementChoice { excess_tokens, expected_micros: expected_millis * 1_000, ..PlacementChoice::default() }
}

#[yare::parameterized(
    room_and_in_time = { 0, 900, 0, AdmissionVerdict::Go },
    no_room = { 1, 300, 0, AdmissionVerdict::Wait },
    late_but_nothing_waits_there = { 0, 1_900, 0, AdmissionVerdict::Go },
    callers_would_leave = { 1, 300, 3_200, AdmissionVerdict::Refuse(300) },
    cannot_come_before_callers_leave = { 1, 3_500, 0, AdmissionVerdict::Refuse(300) },
)]
fn a_prompt_goes_waits_or_is_refused_at_once(over: u64, expected: u64, now: u64, verdict: AdmissionVerdict) {
    assert_eq!(view(0).admit(&full(over, expected), Moment(0).after_millis(now)), verdict);
}

#[test]
fn urgent_prompts_and_those_in_time_may_fill_more_memory() {
    let urgent = AdmissionView { rank: 0, ..view(0) };
    assert!(urgent.memory_fraction(Moment(0)) > view(0).memory_fraction(Moment(0)));
    let late = Moment(0).after_millis(OBJECTIVE_MILLIS);
    assert!(view(0).memory_fraction(Moment(0)) > view(0).memory_fraction(late));
    // The least urgent still may fill an engine.
    assert!(AdmissionView { rank: 9, ..view(0) }.memory_fraction(Moment(0)) >= 1.0);
}

#[test]
fn many_vms_that_see_the_same_room_do_not_all_take_it() {
    // Each of 82 VMs has a prompt waiting when room for a few is told: all of them sending is what the lot prevents.
    assert!(claim_probability(82) * 82.0 < 5.0);
    // Few VMs need few more looks: three on average, of 20 ms each.
    assert!(claim_probability(9) > 1.0 / 3.0);
    assert!((claim_probability(0) - 1.0).abs() < f64::EPSILON);
}
