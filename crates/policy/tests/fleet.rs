//! Seeded random fault orders over a few kernels, with the promises as invariants.
//!
//! A small fake carries messages, logs and probes between kernels. CI runs a fixed seed; a longer
//! run by hand: `PROPTEST_CASES=5000 cargo test -p spanfold-policy --test fleet --release`.

mod fake;

// Linking the policies is what registers them.
use spanfold_policy as _;

use fake::{FakeFleet, Fault};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Cases of a CI run; `PROPTEST_CASES` overrides it.
const CASES: u32 = 150;
/// Faults and calls come within this time, in milliseconds.
const BUSY_MILLIS: u64 = 12_000;
/// Time for everything to end, in milliseconds.
const CALM_MILLIS: u64 = 20_000;

fn vm() -> impl Strategy<Value = usize> {
    0..4_usize
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => (vm(), 0..3_u8, 0..8_u8).prop_map(|(vm, key, body)| Fault::Attempt { vm, key, body: body / 7 }),
        6 => (vm(), 0..4_u64).prop_map(|(vm, prompt)| Fault::Arrive { vm, prompt }),
        1 => vm().prop_map(Fault::Kill),
        2 => vm().prop_map(Fault::Restart),
        1 => (vm(), 100..6_000_u64).prop_map(|(vm, millis)| Fault::Pause { vm, millis }),
        2 => (vm(), vm(), 100..5_000_u64).prop_map(|(from, to, millis)| Fault::Cut { from, to, millis }),
        1 => (100..5_000_u64).prop_map(|millis| Fault::PlatformOut { millis }),
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
    fleet.run_until(1_000 + BUSY_MILLIS + CALM_MILLIS)?;
    fleet.check_ends()?;
    Ok(fleet)
}

#[test]
fn promises_hold_under_random_fault_orders() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(CASES);
    let seed = if cases == CASES { [7; 32] } else { rand_seed() };
    let config = Config { cases, failure_persistence: None, max_shrink_iters: 400, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &seed));
    let orders = prop::collection::vec((0..BUSY_MILLIS, fault()), 1..60);
    let result = runner.run(&orders, |faults| run(faults).map(drop).map_err(TestCaseError::fail));
    if let Err(error) = result {
        panic!("seed {seed:?}: {error}");
    }
}

/// A long run by hand differs each time; its seed is printed if it fails.
fn rand_seed() -> [u8; 32] {
    let nanos =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).map_or(0, |d| d.as_nanos());
    let mut seed = [0; 32];
    seed[..16].copy_from_slice(&nanos.to_be_bytes());
    seed
}

#[test]
fn a_quiet_fleet_serves_and_claims() {
    let calls = (0..8).map(|n| (n * 300, Fault::Arrive { vm: n as usize % 4, prompt: n % 3 }));
    let claims = (0..8).map(|n| (n * 250, Fault::Attempt { vm: n as usize % 4, key: n as u8 % 3, body: 0 }));
    let fleet = run(calls.chain(claims).collect()).unwrap();
    assert_eq!(fleet.counts(), (8, 3), "requests served and keys run");
}

/// Found by a longer run: a home gave back, as late, a claim that its asker had meanwhile claimed
/// past it with the same nonce; the key was free again although it had run.
#[test]
fn a_home_does_not_give_back_a_claim_that_was_used() {
    let attempt = |key| Fault::Attempt { vm: 0, key, body: 0 };
    let faults = vec![
        (0, attempt(0)),
        (50, Fault::LoseReplies { count: 2 }),
        (150, attempt(2)),
        (150, Fault::LoseReplies { count: 2 }),
        (513, attempt(0)),
        (816, Fault::PlatformOut { millis: 1_685 }),
        (958, attempt(1)),
        (4_202, attempt(2)),
    ];
    run(faults).unwrap();
}

/// Found by a longer run: a home read its log anew while a write was on its way, and then wrote
/// the same claim one place further, behind another VM's claim on the key, and took it for its own.
#[test]
fn a_claim_written_behind_another_does_not_count() {
    let attempt = |vm, key| Fault::Attempt { vm, key, body: 0 };
    let faults = vec![
        (0, Fault::LoseReplies { count: 1 }),
        (1_458, attempt(1, 2)),
        (2_600, Fault::LoseReplies { count: 1 }),
        (4_510, attempt(2, 0)),
        (5_300, Fault::LoseReplies { count: 3 }),
        (5_550, Fault::PlatformOut { millis: 1_751 }),
        (8_122, Fault::Cut { from: 3, to: 1, millis: 4_229 }),
        (8_600, Fault::LoseReplies { count: 3 }),
        (10_651, attempt(1, 0)),
        (11_351, attempt(1, 2)),
    ];
    run(faults).unwrap();
}
