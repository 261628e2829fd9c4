//! Invariants of a few kernels under seeded random sequences of faults.
//!
//! A fake replaces the network, the platform and the engines. CI runs a fixed seed; a longer run
//! by hand: `PROPTEST_CASES=5000 cargo test -p spanfold-policy --test fleet --release`.

mod fake;

// Linking the crate registers its plug-ins.
use spanfold_policy as _;

use fake::{FakeFleet, Fault};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Cases of a CI run; `PROPTEST_CASES` overrides it.
const CI_CASES: u32 = 150;
/// Phase in which faults and calls are injected.
const FAULT_PHASE_MILLIS: u64 = 12_000;
/// Phase after the faults, in which every request and call has to end.
const RECOVERY_PHASE_MILLIS: u64 = 20_000;

fn any_vm() -> impl Strategy<Value = usize> {
    0..4_usize
}

fn any_fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => (any_vm(), 0..3_u8, 0..8_u8).prop_map(|(vm, key, body)| Fault::Attempt { vm, key, body: body / 7 }),
        6 => (any_vm(), 0..4_u64).prop_map(|(vm, prompt)| Fault::Arrive { vm, prompt }),
        1 => any_vm().prop_map(Fault::Kill),
        2 => any_vm().prop_map(Fault::Restart),
        1 => (any_vm(), 100..6_000_u64).prop_map(|(vm, millis)| Fault::Pause { vm, millis }),
        2 => (any_vm(), any_vm(), 100..5_000_u64).prop_map(|(from, to, millis)| Fault::Cut { from, to, millis }),
        1 => (100..5_000_u64).prop_map(|millis| Fault::PlatformOutage { millis }),
        2 => (1..4_u32).prop_map(|count| Fault::LoseReplies { count }),
        1 => (0..4_usize, any::<bool>()).prop_map(|(engine, ready)| Fault::Ready { engine, ready }),
        1 => Just(Fault::RollBack),
        1 => Just(Fault::Change),
    ]
}

fn run(mut faults: Vec<(u64, Fault)>) -> Result<FakeFleet, String> {
    faults.sort_by_key(|(at, _)| *at);
    let mut fleet = FakeFleet::new();
    for (at, fault) in faults {
        fleet.run_until(1_000 + at)?;
        fleet.inject(&fault);
    }
    fleet.run_until(1_000 + FAULT_PHASE_MILLIS + RECOVERY_PHASE_MILLIS)?;
    fleet.check_outcomes()?;
    Ok(fleet)
}

#[test]
fn invariants_hold_under_random_fault_sequences() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CI_CASES);
    let seed = if cases == CI_CASES { [7; 32] } else { random_seed() };
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    let fault_sequences = prop::collection::vec((0..FAULT_PHASE_MILLIS, any_fault()), 1..60);
    let result = runner.run(&fault_sequences, |faults| run(faults).map(drop).map_err(TestCaseError::fail));
    if let Err(error) = result {
        panic!("seed {seed:?}: {error}");
    }
}

/// Returns a random seed for a longer run by hand; it is printed if the run fails.
fn random_seed() -> [u8; 32] {
    let nanos =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(&nanos.to_be_bytes());
    seed
}

#[test]
fn a_fleet_without_faults_serves_and_claims() {
    let calls = (0..8).map(|n| (n * 300, Fault::Arrive { vm: n as usize % 4, prompt: n % 3 }));
    let claims = (0..8).map(|n| (n * 250, Fault::Attempt { vm: n as usize % 4, key: n as u8 % 3, body: 0 }));
    let fleet = run(calls.chain(claims).collect()).unwrap();
    assert_eq!(fleet.counts(), (8, 3), "requests served and keys run");
}

/// Guards against a home that releases a claim that was used.
///
/// The requester may have bypassed the home and claimed the key with the same nonce. If the home then
/// releases the claim as late, the key is free again although the call ran.
#[test]
fn a_home_does_not_release_a_claim_that_was_used() {
    let attempt = |key| Fault::Attempt { vm: 0, key, body: 0 };
    let faults = vec![
        (0, attempt(0)),
        (50, Fault::LoseReplies { count: 2 }),
        (150, attempt(2)),
        (150, Fault::LoseReplies { count: 2 }),
        (513, attempt(0)),
        (816, Fault::PlatformOutage { millis: 1_685 }),
        (958, attempt(1)),
        (4_202, attempt(2)),
    ];
    run(faults).unwrap();
}

/// Guards against a home that accepts its claim although another VM's claim precedes it in the log.
///
/// A home that reads its log again while a write is pending writes the same claim one entry later,
/// after another VM's claim on the key. The home must not treat the key as its own.
#[test]
fn a_claim_written_after_another_does_not_count() {
    let attempt = |vm, key| Fault::Attempt { vm, key, body: 0 };
    let faults = vec![
        (0, Fault::LoseReplies { count: 1 }),
        (1_458, attempt(1, 2)),
        (2_600, Fault::LoseReplies { count: 1 }),
        (4_510, attempt(2, 0)),
        (5_300, Fault::LoseReplies { count: 3 }),
        (5_550, Fault::PlatformOutage { millis: 1_751 }),
        (8_122, Fault::Cut { from: 3, to: 1, millis: 4_229 }),
        (8_600, Fault::LoseReplies { count: 3 }),
        (10_651, attempt(1, 0)),
        (11_351, attempt(1, 2)),
    ];
    run(faults).unwrap();
}
