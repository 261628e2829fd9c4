//! Tests that an accepted configuration comes into force at every VM and is never reverted.

use crate::support::{binary, eventually, two_data_centres};
use spanfold_keyvalue::{AcceptError, ConfigurationHead, KeyValueClient};
use spanfold_standin::Deployment;
use std::collections::BTreeSet;

async fn generation(deployment: &Deployment, vm: &str) -> u64 {
    deployment.status(vm).await["generation"].as_u64().unwrap_or(0)
}

async fn wait_in_force(deployment: &Deployment, vms: &[&str], target: u64) {
    for vm in vms {
        eventually(vm, || async { generation(deployment, vm).await >= target }).await;
    }
}

const ALL_VMS: [&str; 4] = ["vm-a1", "vm-a2", "vm-b1", "vm-b2"];

fn with_account(deployment: &Deployment, name: &str) -> String {
    format!("{}[client-account {name}]\nlabels = tier=new\n", deployment.declarations())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_comes_into_force_at_every_vm() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let target = deployment.apply(&with_account(&deployment, "fresh")).await.unwrap();
    wait_in_force(&deployment, &ALL_VMS, target).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_concurrent_operators_one_succeeds_and_the_others_learn_its_author() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let texts: Vec<String> = (0..6).map(|n| with_account(&deployment, &format!("racer-{n}"))).collect();
    let client = KeyValueClient::new(deployment.platform.key_value());
    let (head, _) = ConfigurationHead::read(&client).await.unwrap();
    let mut tasks = tokio::task::JoinSet::new();
    for (number, text) in texts.into_iter().enumerate() {
        let (client, expected) = (client.clone(), head.generation);
        tasks.spawn(async move {
            let document = spanfold_declare::Document::parse("race", &text).unwrap();
            let bundle = spanfold_declare::Bundle::split(&document);
            let (author, nonce) = (format!("operator-{number}"), number.to_string());
            spanfold_keyvalue::accept_bundle(
                &client,
                expected,
                &bundle.digests,
                &bundle.chunks,
                &author,
                &nonce,
            )
            .await
        });
    }
    let results = tasks.join_all().await;
    let accepted_heads: Vec<_> = results.iter().flatten().collect();
    assert_eq!(accepted_heads.len(), 1);
    for result in &results {
        if let Err(AcceptError::Conflict { head, .. }) = result {
            assert_eq!(
                head.author, accepted_heads[0].author,
                "the error names the author of the accepted configuration"
            );
        }
    }
    wait_in_force(&deployment, &ALL_VMS, accepted_heads[0].generation).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_reply_is_lost_is_recognized_as_own() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let text = with_account(&deployment, "fresh");
    let before = generation(&deployment, "vm-a1").await;
    for lost in 1..6 {
        deployment.platform.faults().lose_replies(lost);
        if let Ok(accepted) = deployment.apply(&text).await {
            wait_in_force(&deployment, &ALL_VMS, accepted).await;
        }
        deployment.platform.faults().lose_replies(0);
    }
    assert!(deployment.apply(&text).await.unwrap() > before);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_platform_rolled_back_does_not_revert_anything() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let old = deployment.platform.snapshot();
    let target = deployment.apply(&with_account(&deployment, "fresh")).await.unwrap();
    wait_in_force(&deployment, &ALL_VMS, target).await;
    deployment.platform.roll_back(old);
    let client = KeyValueClient::new(deployment.platform.key_value());
    eventually("the head is written back", || async {
        ConfigurationHead::read(&client).await.is_ok_and(|(head, _)| head.generation == target)
    })
    .await;
    for vm in ALL_VMS {
        assert_eq!(generation(&deployment, vm).await, target, "{vm}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_started_during_a_platform_outage_gets_the_configuration_from_peers() {
    let mut deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let target = deployment.apply(&with_account(&deployment, "fresh")).await.unwrap();
    wait_in_force(&deployment, &ALL_VMS, target).await;
    deployment.platform.faults().cut(true);
    deployment.start_vm("vm-a3", "dc-a").await.unwrap();
    wait_in_force(&deployment, &["vm-a3"], target).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn twenty_four_thousand_accounts_fit() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let mut text = deployment.declarations();
    for number in 0..24_000 {
        text.push_str(&format!(
            "[client-account tenant-{number}]\nkey_digests = {}\nlabels = tier=mass, number=n{number}\nrate = 5\n",
            spanfold_declare::key_digest(&number.to_string())
        ));
    }
    let target = deployment.apply(&text).await.unwrap();
    wait_in_force(&deployment, &ALL_VMS, target).await;
    let largest = deployment.platform.snapshot().values().map(|(value, _)| value.len()).max().unwrap();
    assert!(largest < 1_000_000, "{largest}");
    // One more account adds one chunk, rewrites none and changes the head. Only these keys are compared,
    // since other records are written meanwhile.
    let chunks = |snapshot: &std::collections::BTreeMap<String, (String, u64)>| {
        snapshot.keys().filter(|key| key.starts_with("spanfold/chunk/")).cloned().collect::<BTreeSet<_>>()
    };
    let before = deployment.platform.snapshot();
    deployment.apply(&format!("{text}[client-account one-more]\nlabels = tier=mass\n")).await.unwrap();
    let after = deployment.platform.snapshot();
    assert_eq!(chunks(&after).difference(&chunks(&before)).count(), 1);
    let rewritten = chunks(&before).iter().filter(|key| before[*key] != after[*key]).count();
    assert_eq!(rewritten, 0);
    assert_ne!(before[spanfold_keyvalue::HEAD_KEY], after[spanfold_keyvalue::HEAD_KEY]);
}
