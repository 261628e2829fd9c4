//! Tests that a request reported as not run did not run, and that its error states when to retry.

use crate::support::{binary, two_data_centres};
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EngineRates};
use std::collections::BTreeSet;

fn started(deployment: &Deployment) -> usize {
    deployment.engines.values().map(|engine| engine.started_stream_ids().len()).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn no_endpoint_means_not_run_with_a_retry_delay() {
    let deployment = Deployment::start(DeploymentPlan::default()).await.unwrap();
    for engine in deployment.engines.values() {
        engine.kill();
    }
    let caller = Caller::new("key-small");
    let address = deployment.caller_address("vm-a1");
    for _ in 0..4 {
        let answer = caller.complete(address, "visa-7b", "hello", 4, &[]).await.unwrap();
        assert_eq!((answer.status, answer.ran()), (503, "no"), "{}", answer.text);
        assert!(answer.headers.contains_key("retry-after"));
        let body: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
        assert_eq!(body["error"]["ran"], "no");
        assert!(body["error"]["retry_after_ms"].as_u64().is_some());
    }
    assert_eq!(started(&deployment), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_refuses_is_skipped() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    // The engine refuses while the VM still records it as taking work.
    deployment.engines["engine-a1"].faults().announce_departure(true);
    let caller = Caller::new("key-small");
    for number in 0..6 {
        let prompt = format!("question {number}");
        let answer =
            caller.complete(deployment.caller_address("vm-a1"), "visa-7b", &prompt, 4, &[]).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(deployment.engines["engine-a1"].started_stream_ids().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_fails_before_its_first_token_is_replaced() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    for name in ["engine-a1", "engine-a2"] {
        deployment.engines[name].faults().lose_replies(1);
    }
    let caller = Caller::new("key-small");
    let answer =
        caller.complete(deployment.caller_address("vm-a1"), "visa-7b", "hello", 4, &[]).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_over_capacity_are_refused_at_once_with_spread_retry_delays() {
    let mut plan = DeploymentPlan::default();
    for engine in &mut plan.engines {
        engine.rates = EngineRates { prefill_micros: 2_000, ..EngineRates::default() };
    }
    let deployment = Deployment::start(plan).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    // The rates of engines are estimated from their answers.
    for engine in ["first", "second"] {
        let prompt = crate::support::long_prompt(1, engine);
        Caller::new("key-small").complete(address, "visa-7b", &prompt, 1, &[]).await.unwrap();
    }
    let before = started(&deployment);
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..40 {
        calls.spawn(async move {
            let prompt = crate::support::long_prompt(2, &format!("subject {number}"));
            let headers = [("spanfold-deadline-ms", "6000")];
            Caller::new("key-small").complete(address, "visa-7b", &prompt, 1, &headers).await.unwrap()
        });
    }
    let answers = calls.join_all().await;
    let refused: Vec<_> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(!refused.is_empty() && refused.len() < 40, "{} refused", refused.len());
    let mut retry_delays = BTreeSet::new();
    for answer in &refused {
        assert_eq!((answer.ran(), answer.code().as_str()), ("no", "deadline"), "{}", answer.text);
        let body: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
        retry_delays.insert(body["error"]["retry_after_ms"].as_u64().unwrap());
    }
    assert!(
        retry_delays.len() * 2 > refused.len(),
        "{} distinct retry delays for {} refusals",
        retry_delays.len(),
        refused.len()
    );
    let served = answers.iter().filter(|answer| answer.status == 200).count();
    assert_eq!(started(&deployment) - before, served, "refused requests never reached an engine");
}

#[tokio::test(flavor = "multi_thread")]
async fn limits_of_an_account_refuse_before_a_request_runs() {
    let mut plan = DeploymentPlan::default();
    let digest = spanfold_declare::key_digest("key-tight");
    plan.declarations = format!(
        "[client-account tight]\nkey_digests = {digest}\nlabels = name=tight\nrate = 1\nconcurrency = 1\n\
         [share tight]\naccounts = name=tight\nresources =\npercent = 0.1\n\
         [client-account bare]\nkey_digests = {}\n",
        spanfold_declare::key_digest("key-bare")
    );
    plan.accounts = vec![("small".to_owned(), 50.0)];
    let deployment = Deployment::start(plan).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    let mut codes = Vec::new();
    for _ in 0..4 {
        let answer = Caller::new("key-tight").complete(address, "visa-7b", "hello", 1, &[]).await.unwrap();
        codes.push((answer.status, answer.code()));
    }
    assert_eq!(codes[0].0, 200);
    assert!(codes.contains(&(429, "rate_limit".to_owned())), "{codes:?}");
    let bare = Caller::new("key-bare").complete(address, "visa-7b", "hello", 1, &[]).await.unwrap();
    assert_eq!((bare.status, bare.code().as_str(), bare.ran()), (403, "no_share", "no"));
}
