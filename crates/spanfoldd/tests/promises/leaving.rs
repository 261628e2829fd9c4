//! Tests that departing endpoints get no new work, and that planned stops interrupt no request.

use crate::support::{binary, cache_salt_of, eventually, two_data_centres};
use spanfold_keyvalue::PlatformVm;
use spanfold_standin::{Caller, Deployment, EngineRates, expected_answer};
use std::time::Duration;

async fn accepts_work(deployment: &Deployment, endpoint: &str) -> bool {
    // The home of the endpoint's cell is the VM that places requests at it.
    for vm in ["vm-a1", "vm-a2"] {
        let status = deployment.status(vm).await;
        let empty = Vec::new();
        let homes = status["cells"].as_array().unwrap_or(&empty);
        if homes
            .iter()
            .any(|row| row["cell"].as_str().is_some_and(|cell| cell.starts_with("assistants/dc-a")))
        {
            let rows = status["endpoints"].as_array().unwrap_or(&empty);
            return rows.iter().any(|row| row["name"] == endpoint && row["takes_work"] == true);
        }
    }
    true
}

/// Asserts that engine-a1 gets no new work once its departure is recorded, while other engines serve.
async fn assert_no_new_work(deployment: &Deployment) {
    eventually("the departure is recorded", || async { !accepts_work(deployment, "engine-a1").await }).await;
    let before = deployment.engines["engine-a1"].started_stream_ids().len();
    for number in 0..12 {
        let prompt = format!("after the departure {number}");
        let address = deployment.caller_address(if number % 2 == 0 { "vm-a1" } else { "vm-a2" });
        let answer = Caller::new("key-small").complete(address, "visa-7b", &prompt, 2, &[]).await.unwrap();
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
    assert_eq!(deployment.engines["engine-a1"].started_stream_ids().len(), before);
}

#[tokio::test(flavor = "multi_thread")]
async fn its_own_readiness_alone_stops_new_work() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.engines["engine-a1"].faults().announce_departure(true);
    assert_no_new_work(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_vm_list_alone_stops_new_work() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.platform.change_vms(|vms| {
        vms.push(PlatformVm {
            name: "engine-a1".to_owned(),
            role: "endpoint".to_owned(),
            address: String::new(),
            data_centre: "dc-a".to_owned(),
            state: "leaving".to_owned(),
        });
    });
    assert_no_new_work(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_connections_alone_stop_new_work() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.engines["engine-a1"].kill();
    assert_no_new_work(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_draining_setting_alone_stops_new_work() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let text = deployment.declarations();
    let position = text.find("[endpoint engine-a1]\n").unwrap() + "[endpoint engine-a1]\n".len();
    let text = format!("{}draining = yes\n{}", &text[..position], &text[position..]);
    deployment.apply(&text).await.unwrap();
    assert_no_new_work(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_returning_endpoint_gets_work_again() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.engines["engine-a1"].faults().announce_departure(true);
    assert_no_new_work(&deployment).await;
    deployment.engines["engine-a1"].faults().announce_departure(false);
    eventually("engine-a1 takes work", || async { accepts_work(&deployment, "engine-a1").await }).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_of_all_vms_interrupts_no_request() {
    let mut plan = two_data_centres(binary());
    for engine in &mut plan.engines {
        engine.rates = EngineRates { decode_micros: 10_000, ..EngineRates::default() };
    }
    let mut deployment = Deployment::start(plan).await.unwrap();
    let old = ["vm-a1", "vm-a2", "vm-b1", "vm-b2"];
    for (number, name) in old.iter().enumerate() {
        let centre = if name.contains("-a") { "dc-a" } else { "dc-b" };
        let replacement = format!("vm-n{number}");
        deployment.start_vm(&replacement, centre).await.unwrap();
        deployment.wait_ready().await.unwrap();
        let address = deployment.caller_address(name);
        let mut calls = tokio::task::JoinSet::new();
        for call in 0..10 {
            calls.spawn(async move {
                let prompt = format!("call {call} during stop {number}");
                let answer = Caller::new("key-small").complete(address, "visa-7b", &prompt, 100, &[]).await;
                (prompt, answer)
            });
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        deployment.stop_vm(name).await;
        for (prompt, answer) in calls.join_all().await {
            let answer = answer.unwrap_or_else(|error| panic!("{prompt} at {name}: {error:?}"));
            assert_eq!(answer.status, 200, "{prompt}: {}", answer.text);
            assert_eq!(answer.text, expected_answer(&cache_salt_of("small"), "1", &prompt, 100), "{prompt}");
        }
    }
}
