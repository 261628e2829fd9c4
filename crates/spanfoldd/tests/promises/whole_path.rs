//! Tests of the whole path through real processes: callers, daemons of two data centres, engines, a store.

use crate::support::{binary, cache_salt_of, eventually, long_prompt, two_data_centres};
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates, expected_answer};

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_is_answered_through_every_vm() {
    let plan = two_data_centres(binary());
    let names: Vec<String> = plan.vms.iter().map(|(name, _)| name.clone()).collect();
    let deployment = Deployment::start(plan).await.unwrap();
    let caller = Caller::new("key-small");
    let prompt = long_prompt(3, "whole path");
    let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, 12);
    for name in names {
        let answer =
            caller.complete(deployment.caller_address(&name), "visa-7b", &prompt, 12, &[]).await.unwrap();
        assert_eq!((answer.status, answer.text.as_str()), (200, expected.as_str()), "through {name}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_stream_and_as_chat_is_complete() {
    let deployment = Deployment::start(DeploymentPlan::default()).await.unwrap();
    let caller = Caller::new("key-small");
    let address = deployment.caller_address("vm-a1");
    let body = r#"{"model":"visa-7b","prompt":"which form?","max_tokens":5}"#;
    let answer = caller.send(address, "POST", "/v1/completions", &[], body).await.unwrap();
    let value: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
    assert_eq!(value["choices"][0]["text"], expected_answer(&cache_salt_of("small"), "1", "which form?", 5));
    assert_eq!(value["usage"]["completion_tokens"], 5);
    let body = r#"{"model":"visa-7b","messages":[{"role":"user","content":"hi"}],"max_tokens":5}"#;
    let answer = caller.send(address, "POST", "/v1/chat/completions", &[], body).await.unwrap();
    let value: serde_json::Value = serde_json::from_str(&answer.text).unwrap();
    let expected = expected_answer(&cache_salt_of("small"), "1", "<|user|>hi\n", 5);
    assert_eq!(value["choices"][0]["message"]["content"], expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_returning_prompt_is_imported_from_the_store() {
    let rates = EngineRates { memory_blocks: 8, ..EngineRates::default() };
    let engine = EnginePlan { name: "engine-a1".into(), data_centre: "dc-a".into(), rates, fenced: true };
    let plan = DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() };
    let deployment = Deployment::start(plan).await.unwrap();
    let caller = Caller::new("key-large");
    let address = deployment.caller_address("vm-a1");
    let prompt = long_prompt(6, "manual");
    let first = caller.complete(address, "visa-7b", &prompt, 4, &[]).await.unwrap();
    assert!(first.usage("computed") > 6_000, "{:?}", first.headers);
    eventually("the blocks are exported", || async { deployment.stores["store-a"].block_count() >= 6 }).await;
    // Other prompts evict it from the engine's memory.
    for number in 0..3 {
        caller
            .complete(address, "visa-7b", &long_prompt(4, &format!("other {number}")), 1, &[])
            .await
            .unwrap();
    }
    eventually("the blocks are indexed", || async {
        deployment.status("vm-a1").await["kept_pieces"].as_u64().unwrap_or(0) >= 6
    })
    .await;
    deployment.engines["engine-a1"].evict_all(false);
    eventually("the eviction is recorded", || async {
        deployment.status("vm-a1").await["held_pieces"].as_u64() == Some(0)
    })
    .await;
    let second = caller.complete(address, "visa-7b", &prompt, 4, &[]).await.unwrap();
    assert_eq!(second.text, first.text);
    assert!(second.usage("imported") >= 6 * 1_024, "{:?}", second.headers);
}
