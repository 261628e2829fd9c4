//! Tests that no freed or half-written block is used, nor a block of another account or version.

use crate::support::{cache_salt_of, eventually, long_prompt};
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates, expected_answer};

const TOKENS: u32 = 6;

/// Starts a deployment with one engine, so that a returning prompt is imported or computed there.
async fn one_engine() -> Deployment {
    let rates = EngineRates { memory_blocks: 64, prefill_micros: 40, ..EngineRates::default() };
    let engine = EnginePlan { name: "engine-a1".into(), data_centre: "dc-a".into(), rates, fenced: true };
    Deployment::start(DeploymentPlan { engines: vec![engine], ..DeploymentPlan::default() }).await.unwrap()
}

async fn complete_prompt(deployment: &Deployment, account: &str, prompt: &str) -> spanfold_standin::Answer {
    let caller = Caller::new(&format!("key-{account}"));
    let answer =
        caller.complete(deployment.caller_address("vm-a1"), "visa-7b", prompt, TOKENS, &[]).await.unwrap();
    assert_eq!(answer.status, 200, "{}", answer.text);
    answer
}

async fn wait_until_stored(deployment: &Deployment, blocks: u64) {
    eventually("blocks are stored", || async {
        deployment.status("vm-a1").await["kept_pieces"].as_u64().unwrap_or(0) >= blocks
    })
    .await;
}

async fn evict_from_engine(deployment: &Deployment) {
    deployment.engines["engine-a1"].evict_all(false);
    eventually("the eviction is recorded", || async {
        deployment.status("vm-a1").await["held_pieces"].as_u64() == Some(0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_half_written_block_is_not_used() {
    let deployment = one_engine().await;
    deployment.stores["store-a"].faults().truncate_blocks(3);
    let prompt = long_prompt(5, "half");
    let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS);
    assert_eq!(complete_prompt(&deployment, "small", &prompt).await.text, expected);
    wait_until_stored(&deployment, 5).await;
    evict_from_engine(&deployment).await;
    let again = complete_prompt(&deployment, "small", &prompt).await;
    assert_eq!(again.text, expected);
    assert!(again.usage("computed") >= 3 * 1_024, "{:?}", again.headers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_block_freed_between_decision_and_import_is_computed() {
    let deployment = one_engine().await;
    let prompt = long_prompt(5, "freed");
    let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS);
    complete_prompt(&deployment, "small", &prompt).await;
    wait_until_stored(&deployment, 5).await;
    evict_from_engine(&deployment).await;
    // The index still contains the blocks, because the store's listing is read only once a second.
    deployment.stores["store-a"].release_all();
    assert_eq!(complete_prompt(&deployment, "small", &prompt).await.text, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_that_crashes_costs_a_recomputation() {
    let deployment = one_engine().await;
    let prompt = long_prompt(5, "dead store");
    let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS);
    complete_prompt(&deployment, "small", &prompt).await;
    wait_until_stored(&deployment, 5).await;
    evict_from_engine(&deployment).await;
    deployment.stores["store-a"].kill();
    assert_eq!(complete_prompt(&deployment, "small", &prompt).await.text, expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_full_store_keeps_serving_and_evicts_blocks() {
    let mut plan = DeploymentPlan::default();
    plan.stores[0].capacity_blocks = 8;
    plan.engines.truncate(1);
    let deployment = Deployment::start(plan).await.unwrap();
    for number in 0..6 {
        let prompt = long_prompt(4, &format!("manual {number}"));
        let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS);
        assert_eq!(complete_prompt(&deployment, "small", &prompt).await.text, expected);
        wait_until_stored(&deployment, 1).await;
    }
    assert!(deployment.stores["store-a"].block_count() <= 8);
}

#[tokio::test(flavor = "multi_thread")]
async fn two_accounts_with_one_prompt_share_nothing() {
    let deployment = one_engine().await;
    let prompt = long_prompt(5, "shared text");
    assert_eq!(
        complete_prompt(&deployment, "small", &prompt).await.text,
        expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS)
    );
    wait_until_stored(&deployment, 5).await;
    let other = complete_prompt(&deployment, "large", &prompt).await;
    assert_eq!(other.text, expected_answer(&cache_salt_of("large"), "1", &prompt, TOKENS));
    assert_eq!((other.usage("cached"), other.usage("imported")), (0, 0), "{:?}", other.headers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_weight_version_uses_no_old_blocks() {
    let deployment = one_engine().await;
    let prompt = long_prompt(5, "versions");
    complete_prompt(&deployment, "small", &prompt).await;
    wait_until_stored(&deployment, 5).await;
    deployment.engines["engine-a1"].set_version("2");
    let text = deployment.declarations().replace("version = 1", "version = 2");
    let generation = deployment.apply(&text).await.unwrap();
    eventually("the configuration is in force", || async {
        deployment.status("vm-a1").await["generation"] == generation
    })
    .await;
    eventually("all endpoints take work", || async {
        deployment.status("vm-a1").await["endpoints"]
            .as_array()
            .unwrap()
            .iter()
            .all(|row| row["takes_work"] == true)
    })
    .await;
    let answer = complete_prompt(&deployment, "small", &prompt).await;
    assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "2", &prompt, TOKENS));
    assert_eq!((answer.usage("cached"), answer.usage("imported")), (0, 0), "{:?}", answer.headers);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_run_during_a_weight_change_keeps_its_version() {
    let mut plan = DeploymentPlan::default();
    for engine in &mut plan.engines {
        engine.rates.decode_micros = 20_000;
    }
    let deployment = Deployment::start(plan).await.unwrap();
    let address = deployment.caller_address("vm-a1");
    let call =
        tokio::spawn(
            async move { Caller::new("key-small").complete(address, "visa-7b", "hello", 40, &[]).await },
        );
    eventually("an engine runs the prompt", || async {
        deployment.engines.values().any(|engine| !engine.started_stream_ids().is_empty())
    })
    .await;
    for engine in deployment.engines.values() {
        engine.set_version("2");
    }
    let text = deployment.declarations().replace("version = 1", "version = 2");
    deployment.apply(&text).await.unwrap();
    assert_eq!(call.await.unwrap().unwrap().text, expected_answer(&cache_salt_of("small"), "1", "hello", 40));
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_cache_events_cost_only_a_recomputation() {
    let deployment = one_engine().await;
    let prompt = long_prompt(5, "silent");
    let expected = expected_answer(&cache_salt_of("small"), "1", &prompt, TOKENS);
    complete_prompt(&deployment, "small", &prompt).await;
    deployment.engines["engine-a1"].evict_all(true);
    assert_eq!(complete_prompt(&deployment, "small", &prompt).await.text, expected);
}
