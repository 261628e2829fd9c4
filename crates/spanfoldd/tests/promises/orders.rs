//! Tests of orders: weight loads under a lease with fencing numbers, at most three engines at once.

use crate::support::{binary, eventually, two_data_centres};
use spanfold_standin::{Caller, Deployment, EnginePlan, EngineRates};
use std::time::Duration;

fn lease_holder(deployment: &Deployment) -> String {
    for vm in ["vm-a1", "vm-a2", "vm-b1", "vm-b2"] {
        let log = deployment.log_of(vm);
        if log.contains("orders.lease_taken") {
            return vm.to_owned();
        }
    }
    String::new()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_is_loaded_by_three_engines_at_once_at_most() {
    let mut plan = two_data_centres(binary());
    for number in 0..4 {
        let name = format!("engine-x{number}");
        let data_centre = if number % 2 == 0 { "dc-a" } else { "dc-b" }.to_owned();
        plan.engines.push(EnginePlan {
            name,
            data_centre,
            rates: EngineRates::default(),
            fenced: number < 2,
        });
    }
    let deployment = Deployment::start(plan).await.unwrap();
    for engine in deployment.engines.values() {
        engine.set_load_millis(400);
    }
    deployment.apply(&deployment.declarations().replace("version = 1", "version = 2")).await.unwrap();
    let mut max_loading = 0;
    for _ in 0..6_000 {
        let loading = deployment.engines.values().filter(|engine| engine.is_loading()).count();
        max_loading = max_loading.max(loading);
        if deployment.engines.values().all(|engine| engine.version() == "2") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(deployment.engines.values().all(|engine| engine.version() == "2"));
    assert!((1..=3).contains(&max_loading), "{max_loading} at once");
    eventually("version 2 serves a prompt", || async {
        let caller = Caller::new("key-small");
        let answer = caller.complete(deployment.caller_address("vm-a1"), "visa-7b", "hello", 2, &[]).await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_holder_paused_past_its_lease_orders_nothing_after_it() {
    let mut plan = two_data_centres(binary());
    for engine in &mut plan.engines {
        engine.fenced = false;
    }
    let deployment = Deployment::start(plan).await.unwrap();
    eventually("a VM takes the lease", || async { !lease_holder(&deployment).is_empty() }).await;
    let paused = lease_holder(&deployment);
    deployment.pause_vm(&paused, true);
    deployment.apply(&deployment.declarations().replace("version = 1", "version = 2")).await.unwrap();
    // The next holder loads version 2 at every engine under a higher fencing number.
    eventually("all engines have version 2", || async {
        deployment.engines.values().all(|engine| engine.version() == "2")
    })
    .await;
    deployment.pause_vm(&paused, false);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for (name, engine) in &deployment.engines {
        let numbers: Vec<u64> =
            engine.orders().iter().map(|order| order["fencing"].as_u64().unwrap()).collect();
        assert!(numbers.windows(2).all(|pair| pair[0] <= pair[1]), "{name}: {numbers:?}");
        assert_eq!(engine.version(), "2", "{name}");
    }
}
