//! Tests that every caller receives its whole answer, or an error that it is incomplete.

use crate::support::{binary, cache_salt_of, two_data_centres};
use spanfold_standin::{Caller, CallerError, Deployment, DeploymentPlan, EngineRates, expected_answer};
use std::time::Duration;

const TOKENS: u32 = 40;

fn body(prompt: &str) -> String {
    serde_json::json!({ "model": "visa-7b", "prompt": prompt, "max_tokens": TOKENS, "stream": true })
        .to_string()
}

fn slow_plan() -> DeploymentPlan {
    let mut plan = two_data_centres(binary());
    for engine in &mut plan.engines {
        engine.rates = EngineRates { decode_micros: 20_000, ..EngineRates::default() };
    }
    plan
}

fn running_engine(deployment: &Deployment) -> String {
    let busy = deployment.engines.iter().find(|(_, engine)| !engine.started_stream_ids().is_empty());
    busy.map(|(name, _)| name.clone()).expect("one engine runs the prompt")
}

/// Returns the home of the assistants' cell in dc-a, and the other VM of that data centre.
async fn home_and_other_vm(deployment: &Deployment) -> (&'static str, &'static str) {
    let status = deployment.status("vm-a2").await;
    let cells = status["cells"].as_array().unwrap();
    let is_home = cells.iter().any(|row| row["cell"] == "assistants/dc-a/0");
    if is_home { ("vm-a2", "vm-a1") } else { ("vm-a1", "vm-a2") }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_broken_stream_is_resumed_transparently() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    for engine in deployment.engines.values() {
        engine.faults().break_streams(2);
    }
    let caller = Caller::new("key-small");
    let answer =
        caller.complete(deployment.caller_address("vm-a1"), "visa-7b", "hello", TOKENS, &[]).await.unwrap();
    assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "1", "hello", TOKENS));
    assert_eq!(answer.events, TOKENS);
    let started: usize = deployment.engines.values().map(|engine| engine.started_stream_ids().len()).sum();
    assert_eq!(started, 1, "resumed, not run again");
}

#[tokio::test(flavor = "multi_thread")]
async fn repeated_and_skipped_events_and_a_stalled_stream_are_repaired_transparently() {
    let mut plan = slow_plan();
    plan.settings.insert("limits".to_owned(), "stall_ms = 400\n".to_owned());
    let deployment = Deployment::start(plan).await.unwrap();
    let expected = expected_answer(&cache_salt_of("small"), "1", "hello", TOKENS);
    for fault in ["scramble", "stall"] {
        for engine in deployment.engines.values() {
            if fault == "scramble" {
                engine.faults().scramble_streams(1);
            } else {
                engine.faults().stall_streams(1);
            }
        }
        let caller = Caller::new("key-small");
        let answer = caller
            .complete(deployment.caller_address("vm-a1"), "visa-7b", "hello", TOKENS, &[])
            .await
            .unwrap();
        assert_eq!((answer.text.as_str(), answer.events), (expected.as_str(), TOKENS), "{fault}");
    }
    let started: usize = deployment.engines.values().map(|engine| engine.started_stream_ids().len()).sum();
    assert_eq!(started, 2, "resumed, not run again");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_crashes_mid_answer_is_replaced_transparently() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    let call = tokio::spawn(async move {
        Caller::new("key-small").complete(address, "visa-7b", "hello", TOKENS, &[]).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    deployment.engines[&running_engine(&deployment)].kill();
    let answer = call.await.unwrap().unwrap();
    assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "1", "hello", TOKENS));
    assert_eq!(answer.events, TOKENS, "each event once");
}

#[tokio::test(flavor = "multi_thread")]
async fn with_every_engine_crashed_the_answer_is_reported_incomplete() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    let call = tokio::spawn(async move {
        Caller::new("key-small").complete(address, "visa-7b", "hello", TOKENS, &[]).await
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    for engine in deployment.engines.values() {
        engine.kill();
    }
    match call.await.unwrap() {
        Err(CallerError::Incomplete(answer)) => {
            let error: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
            assert_eq!(
                (&error["error"]["code"], &error["error"]["ran"]),
                (&"incomplete".into(), &"yes".into())
            );
        }
        other => panic!("{other:?}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_at_another_vm() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    let caller = Caller::new("key-small");
    let expected = expected_answer(&cache_salt_of("small"), "1", "hello", TOKENS);
    let first = caller.stream(deployment.caller_address("vm-a1"), &[], body("hello"), Some(7)).await.unwrap();
    for vm in ["vm-a2", "vm-b1"] {
        let headers = [("last-event-id", first.last_event_id.as_str())];
        let remainder =
            caller.stream(deployment.caller_address(vm), &headers, body("hello"), None).await.unwrap();
        assert_eq!(format!("{}{}", first.text, remainder.text), expected, "at {vm}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_resumes_after_its_vm_was_killed() {
    let mut deployment = Deployment::start(slow_plan()).await.unwrap();
    let caller = Caller::new("key-small");
    let first = caller.stream(deployment.caller_address("vm-a1"), &[], body("hello"), Some(7)).await.unwrap();
    deployment.kill_vm("vm-a1");
    let headers = [("last-event-id", first.last_event_id.as_str())];
    let remainder =
        caller.stream(deployment.caller_address("vm-a2"), &headers, body("hello"), None).await.unwrap();
    assert_eq!(
        format!("{}{}", first.text, remainder.text),
        expected_answer(&cache_salt_of("small"), "1", "hello", TOKENS)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_that_is_forged_or_of_another_account_is_refused() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    let first = Caller::new("key-small").stream(address, &[], body("hello"), Some(3)).await.unwrap();
    let (token, _) = first.last_event_id.rsplit_once('.').unwrap();
    let flip = |text: &str| {
        let last = if text.ends_with('A') { 'B' } else { 'A' };
        format!("{}{last}", &text[..text.len() - 1])
    };
    let forged = [flip(token) + ".3", "x.y.3".to_owned(), "3".to_owned(), String::new()];
    for (key, id) in forged
        .iter()
        .map(|id| ("key-small", id.as_str()))
        .chain([("key-large", first.last_event_id.as_str())])
    {
        let answer =
            Caller::new(key).stream(address, &[("last-event-id", id)], body("hello"), None).await.unwrap();
        assert_eq!((answer.status, answer.ran()), (403, "no"), "{id}: {}", answer.text);
        assert!(!answer.text.contains("small"), "{}", answer.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_vm_that_crashes_costs_no_request() {
    let mut deployment = Deployment::start(slow_plan()).await.unwrap();
    let (home, entry) = home_and_other_vm(&deployment).await;
    let address = deployment.caller_address(entry);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..30_u64 {
        calls.spawn(async move {
            tokio::time::sleep(Duration::from_millis(number * 100)).await;
            let prompt = format!("question {number}");
            let answer =
                Caller::new("key-small").complete(address, "visa-7b", &prompt, 4, &[]).await.unwrap();
            (
                answer.status == 200
                    && answer.text == expected_answer(&cache_salt_of("small"), "1", &prompt, 4),
                answer.text,
            )
        });
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    deployment.kill_vm(home);
    for (good, text) in calls.join_all().await {
        assert!(good, "{text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_home_is_bypassed_before_the_deadline() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    let (home, entry) = home_and_other_vm(&deployment).await;
    deployment.pause_vm(home, true);
    let caller = Caller::new("key-small");
    for number in 0..3 {
        let prompt = format!("question {number}");
        let headers = [("spanfold-deadline-ms", "1400")];
        let answer =
            caller.complete(deployment.caller_address(entry), "visa-7b", &prompt, 4, &headers).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    deployment.pause_vm(home, false);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_is_replaced_before_its_first_token() {
    let deployment = Deployment::start(slow_plan()).await.unwrap();
    deployment.engines["engine-a1"].faults().freeze(true);
    let caller = Caller::new("key-small");
    for number in 0..6 {
        let prompt = format!("question {number}");
        let answer =
            caller.complete(deployment.caller_address("vm-a1"), "visa-7b", &prompt, 4, &[]).await.unwrap();
        assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "1", &prompt, 4));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_partitioned_from_its_region_serves_alone() {
    let mut plan = slow_plan();
    plan.declarations = "[data-centre dc-a]\nregion = north\n[data-centre dc-b]\nregion = north\n".to_owned();
    let mut deployment = Deployment::start(plan).await.unwrap();
    deployment.kill_vm("vm-b1");
    deployment.kill_vm("vm-b2");
    for (name, engine) in &deployment.engines {
        if name.starts_with("engine-b") {
            engine.kill();
        }
    }
    // The VM list is out of date: it still contains the killed VMs, and prompts of their cells arrive here.
    for number in 0..8 {
        let prompt = crate::support::long_prompt(2, &format!("subject {number}"));
        let headers = [("spanfold-deadline-ms", "1400")];
        let caller = Caller::new("key-small");
        let answer = caller
            .complete(deployment.caller_address("vm-a1"), "visa-7b", &prompt, 4, &headers)
            .await
            .unwrap();
        assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "1", &prompt, 4));
    }
}
