//! Admission when prompts ask for more memory than the engines have.
//!
//! Model: engines prefill their prompts one after the other, and a run holds the prompt's memory until its
//! last event. When the memory runs out, the newest run is preempted and prefilled again from its start. The
//! figures are those of a fleet with 70,000 tokens of memory per engine, 48 tokens prefilled per millisecond,
//! and 2 s of events beside the prefill of other prompts.

use spanfold_decide::{
    AdmissionVerdict, AdmissionView, DeploymentConfig, EndpointEntry, EndpointKey, EngineSpec, FleetTable,
    HomeRegions, LoadCount, PlacementChoice, PlacementRequest, PromptSegment, ServiceRow, ShareView,
    VersionSplit, claim_probability, place,
};
use spanfold_entity::Moment;
use std::collections::{BTreeMap, VecDeque};

const ENGINES: usize = 3;
const MEMORY_TOKENS: u64 = 70_000;
const PROMPT_TOKENS: u64 = 12_000;
/// Tokens of a segment with which all prompts begin: an engine caches it once.
const SHARED_TOKENS: u64 = 2_000;
const BLOCK_TOKENS: u64 = 2_048;
const PREFILL_MILLIS: u64 = 250;
const EVENTS_MILLIS: u64 = 2_000;
const OBJECTIVE_MILLIS: u64 = 1_200;
const STEP_MILLIS: u64 = 10;

fn view(received_millis: u64) -> AdmissionView {
    AdmissionView {
        received_at: Moment(0).after_millis(received_millis),
        answer_deadline: Moment(0).after_millis(received_millis + 12_000),
        objective_millis: OBJECTIVE_MILLIS,
        silence_timeout_millis: 4_800,
        priority: 1,
    }
}

fn key(engine: usize) -> EndpointKey {
    EndpointKey::of(&format!("i-{engine}"))
}

fn table() -> FleetTable {
    let engine = EngineSpec { slots: 64, memory_tokens: MEMORY_TOKENS, ..EngineSpec::default() };
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
    let segments = [PromptSegment { key: 1, tokens: PROMPT_TOKENS as u32 }];
    let request = PlacementRequest {
        service: "llm",
        data_centre: "dc-a",
        unreachable_data_centres: &[],
        segments: &segments,
        prompt_tokens: PROMPT_TOKENS as u32,
        output_tokens: 55,
        objective_millis: OBJECTIVE_MILLIS,
        bytes: 0,
        model: None,
        required_weights: None,
        memory_fraction,
        isolation_scope: "shared",
        exclude: &[],
        versions: &VersionSplit::Any,
        homes: HomeRegions::default(),
        shares: ShareView::default(),
        draw: || 0.0,
    };
    place(table, &request, now).unwrap()
}

/// A prompt at an engine: its arrival at the VM, its counted load, and its remaining work.
struct EngineRun {
    received_millis: u64,
    load: LoadCount,
    prefill_left_millis: u64,
    events_left_millis: u64,
}

#[derive(Default)]
struct Engine {
    waiting: VecDeque<EngineRun>,
    running: Vec<EngineRun>,
}

#[derive(Default)]
struct Totals {
    preempted: u32,
    refused: u32,
    prefill_millis: u64,
    /// Answers in time and all prompts, by the second of arrival.
    in_time: BTreeMap<u64, (u32, u32)>,
}

impl Engine {
    fn used(&self) -> u64 {
        let own_tokens = |run: &EngineRun| {
            (PROMPT_TOKENS - SHARED_TOKENS) * (PREFILL_MILLIS - run.prefill_left_millis) / PREFILL_MILLIS
        };
        SHARED_TOKENS + self.running.iter().map(own_tokens).sum::<u64>()
    }

    /// Advances the engine by one step. A prompt is accepted if its first block fits; its memory grows with
    /// its prefill.
    fn step(&mut self, now: u64, totals: &mut Totals, mut release: impl FnMut(LoadCount, bool)) {
        if self.running.iter().all(|run| run.prefill_left_millis == 0)
            && self.used() + BLOCK_TOKENS <= MEMORY_TOKENS
            && let Some(run) = self.waiting.pop_front()
        {
            self.running.push(run);
        }
        if let Some(run) = self.running.iter_mut().find(|run| run.prefill_left_millis > 0) {
            run.prefill_left_millis -= STEP_MILLIS;
            totals.prefill_millis += STEP_MILLIS;
            if run.prefill_left_millis == 0 {
                let row = totals.in_time.entry(run.received_millis / 1_000).or_default();
                row.0 += u32::from(now <= run.received_millis + OBJECTIVE_MILLIS);
                release(run.load, false);
            }
        }
        if self.used() > MEMORY_TOKENS {
            let newest = self.running.pop().unwrap();
            totals.preempted += 1;
            self.waiting.push_front(EngineRun { prefill_left_millis: PREFILL_MILLIS, ..newest });
        }
        for run in self.running.iter_mut().filter(|run| run.prefill_left_millis == 0) {
            run.events_left_millis = run.events_left_millis.saturating_sub(STEP_MILLIS);
        }
        self.running.retain(|run| {
            let is_running = run.prefill_left_millis > 0 || run.events_left_millis > 0;
            if !is_running {
                release(run.load, true);
            }
            is_running
        });
    }
}

/// Simulates 12 s with 4 prompts a second, and `burst` times as many from second 2 to 5.
fn simulate(burst: u64, admits: bool) -> Totals {
    let mut table = table();
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut totals = Totals::default();
    let mut waiting_prompts: VecDeque<u64> = VecDeque::new();
    let mut prompt_credit = 0;
    for now_millis in (0..12_000).step_by(STEP_MILLIS as usize) {
        let now = Moment(0).after_millis(now_millis);
        prompt_credit += STEP_MILLIS * 4 * if (2_000..5_000).contains(&now_millis) { burst } else { 1 };
        while prompt_credit >= 1_000 {
            prompt_credit -= 1_000;
            waiting_prompts.push_back(now_millis);
            totals.in_time.entry(now_millis / 1_000).or_default().1 += 1;
        }
        for received in std::mem::take(&mut waiting_prompts) {
            let view = view(received);
            let choice = choose(&table, if admits { view.memory_fraction(now) } else { 1.0 }, now);
            match view.admit(&choice, now) {
                AdmissionVerdict::Wait if admits => waiting_prompts.push_back(received),
                AdmissionVerdict::Refuse(_) if admits => totals.refused += 1,
                _ => {
                    table.reserve(choice.key, choice.load, &[], 0);
                    let engine = (0..ENGINES).find(|engine| key(*engine) == choice.key).unwrap();
                    let run = EngineRun {
                        received_millis: received,
                        load: choice.load,
                        prefill_left_millis: PREFILL_MILLIS,
                        events_left_millis: EVENTS_MILLIS,
                    };
                    engines[engine].waiting.push_back(run);
                }
            }
        }
        for (number, engine) in engines.iter_mut().enumerate() {
            engine.step(now_millis, &mut totals, |load, is_finished| {
                let prefill_load =
                    LoadCount { pending_prefill_tokens: load.pending_prefill_tokens, ..LoadCount::default() };
                let other_load = LoadCount { pending_prefill_tokens: 0, ..load };
                table.release(key(number), if is_finished { other_load } else { prefill_load });
            });
        }
    }
    totals
}

#[test]
fn a_burst_of_twice_the_traffic_preempts_no_run() {
    // Without admission, all prompts are sent at once: runs are preempted and prefilled again.
    let without_admission = simulate(3, false);
    assert!(without_admission.preempted > 10, "{}", without_admission.preempted);
    let with_admission = simulate(3, true);
    assert_eq!(with_admission.preempted, 0);
    // Engines prefill no more than was requested. Here, this keeps as many answers in time as recomputing
    // many prompts does.
    let admitted =
        u64::from(with_admission.in_time.values().map(|(_, all)| all).sum::<u32>() - with_admission.refused);
    assert!(
        with_admission.prefill_millis <= admitted * PREFILL_MILLIS,
        "{} {admitted}",
        with_admission.prefill_millis
    );
    assert!(
        without_admission.prefill_millis > with_admission.prefill_millis * 6 / 5,
        "{} {}",
        without_admission.prefill_millis,
        with_admission.prefill_millis
    );
    let sum = |totals: &Totals| totals.in_time.values().map(|(in_time, _)| in_time).sum::<u32>();
    assert!(
        sum(&with_admission) * 20 >= sum(&without_admission) * 19,
        "{} {}",
        sum(&with_admission),
        sum(&without_admission)
    );
}

#[test]
fn four_seconds_after_a_burst_all_answers_are_in_time_again() {
    let totals = simulate(2, true);
    let late = totals.in_time.range(9..11).filter(|(_, (in_time, all))| in_time < all).count();
    assert_eq!(late, 0, "{:?}", totals.in_time);
}

#[test]
fn without_a_burst_all_answers_are_in_time() {
    let totals = simulate(1, true);
    assert_eq!((totals.preempted, totals.refused), (0, 0));
    assert!(totals.in_time.range(..11).all(|(_, (in_time, all))| in_time == all), "{:?}", totals.in_time);
}

fn choice(excess_tokens: u64, expected_millis: u64) -> PlacementChoice {
    PlacementChoice { excess_tokens, expected_micros: expected_millis * 1_000, ..PlacementChoice::default() }
}

#[yare::parameterized(
    capacity_and_in_time = { 0, 900, 0, AdmissionVerdict::Go },
    no_capacity = { 1, 300, 0, AdmissionVerdict::Wait },
    late_with_a_short_queue = { 0, 1_900, 0, AdmissionVerdict::Go },
    callers_would_disconnect = { 1, 300, 3_200, AdmissionVerdict::Refuse(300) },
    first_event_after_callers_disconnect = { 1, 3_500, 0, AdmissionVerdict::Refuse(300) },
)]
fn a_prompt_is_sent_waits_or_is_refused_at_once(
    excess_tokens: u64,
    expected_millis: u64,
    now_millis: u64,
    verdict: AdmissionVerdict,
) {
    assert_eq!(
        view(0).admit(&choice(excess_tokens, expected_millis), Moment(0).after_millis(now_millis)),
        verdict
    );
}

#[test]
fn urgent_prompts_and_those_in_time_may_fill_more_memory() {
    let urgent = AdmissionView { priority: 0, ..view(0) };
    assert!(urgent.memory_fraction(Moment(0)) > view(0).memory_fraction(Moment(0)));
    let late = Moment(0).after_millis(OBJECTIVE_MILLIS);
    assert!(view(0).memory_fraction(Moment(0)) > view(0).memory_fraction(late));
    // The least urgent prompts may still fill an engine.
    assert!(AdmissionView { priority: 9, ..view(0) }.memory_fraction(Moment(0)) >= 1.0);
}

#[test]
fn many_vms_do_not_all_claim_the_same_free_capacity() {
    // Each of 82 VMs has a waiting prompt when free capacity for a few is reported. The random draw prevents
    // all of them from sending.
    assert!(claim_probability(82) * 82.0 < 5.0);
    // Few VMs need few more polls: three on average, 20 ms apart.
    assert!(claim_probability(9) > 1.0 / 3.0);
    assert!((claim_probability(0) - 1.0).abs() < f64::EPSILON);
}
