//! Tests that a call that may not be repeated runs at most once.

use crate::support::{binary, eventually, two_data_centres};
use spanfold_standin::{Answer, Caller, Deployment};
use std::time::Duration;

const PATH: &str = "/services/desk/bookings";

async fn send_booking(deployment: &Deployment, vm: &str, key: &str, body: &str) -> Option<Answer> {
    let headers = [("idempotency-key", key), ("spanfold-deadline-ms", "4000")];
    Caller::new("key-small")
        .send(deployment.caller_address(vm), "POST", PATH, &headers, body.to_owned())
        .await
        .ok()
}

fn run_count(deployment: &Deployment, body: &str) -> u32 {
    deployment.services.values().map(|service| service.run_count(body)).sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_retry_at_any_vm_gets_the_recorded_answer() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let first = send_booking(&deployment, "vm-a1", "k1", "slot 9").await.unwrap();
    assert_eq!(first.status, 200, "{}", first.text);
    for vm in ["vm-a1", "vm-a2", "vm-b1", "vm-b2"] {
        let retry = send_booking(&deployment, vm, "k1", "slot 9").await.unwrap();
        assert_eq!((retry.status, &retry.text), (200, &first.text), "at {vm}");
        assert_eq!(retry.headers.get("spanfold-replayed").map(String::as_str), Some("yes"));
    }
    assert_eq!(run_count(&deployment, "slot 9"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_attempts_run_once() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    for round in 0..5 {
        let (key, body) = (format!("race {round}"), format!("slot {round}"));
        let attempts =
            ["vm-a1", "vm-a2", "vm-b1", "vm-b2"].map(|vm| send_booking(&deployment, vm, &key, &body));
        let [a, b, c, d] = attempts;
        let (a, b, c, d) = tokio::join!(a, b, c, d);
        let good = [a, b, c, d].into_iter().flatten().filter(|answer| answer.status == 200).count();
        assert!(good >= 1, "round {round}");
        assert_eq!(run_count(&deployment, &body), 1, "round {round}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_same_key_with_another_body_is_refused() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    assert_eq!(send_booking(&deployment, "vm-a1", "k", "slot 1").await.unwrap().status, 200);
    let other = send_booking(&deployment, "vm-b1", "k", "slot 2").await.unwrap();
    assert_eq!((other.status, other.ran(), other.code().as_str()), (422, "no", "key_reused"));
    assert_eq!(run_count(&deployment, "slot 2"), 0);
    // Keys belong to an account: the same text is a different key for another account.
    let headers = [("idempotency-key", "k")];
    let caller = Caller::new("key-large");
    let answer =
        caller.send(deployment.caller_address("vm-a1"), "POST", PATH, &headers, "slot 3").await.unwrap();
    assert_eq!(answer.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_killed_while_the_call_runs_leaves_the_outcome_unknown() {
    let mut deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    for service in deployment.services.values() {
        service.set_work_millis(1_500);
    }
    let first = {
        let call = send_booking(&deployment, "vm-a1", "k", "slot 7");
        tokio::pin!(call);
        loop {
            tokio::select! {
                answer = &mut call => break answer,
                () = tokio::time::sleep(Duration::from_millis(10)) => {
                    if run_count(&deployment, "slot 7") == 1 {
                        break None;
                    }
                }
            }
        }
    };
    assert!(first.is_none(), "the call must still run when its VM is killed");
    deployment.kill_vm("vm-a1");
    for vm in ["vm-a2", "vm-b1"] {
        let retry = send_booking(&deployment, vm, "k", "slot 7").await.unwrap();
        assert_eq!((retry.status, retry.ran()), (409, "unknown"), "at {vm}: {}", retry.text);
    }
    assert_eq!(run_count(&deployment, "slot 7"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_killed_after_its_answer_leaves_the_recorded_answer() {
    let mut deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    let first = send_booking(&deployment, "vm-a1", "k", "slot 8").await.unwrap();
    deployment.kill_vm("vm-a1");
    let retry = send_booking(&deployment, "vm-b2", "k", "slot 8").await.unwrap();
    assert_eq!((retry.status, retry.text), (200, first.text));
    assert_eq!(run_count(&deployment, "slot 8"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_vm_killed_before_dispatch_runs_nothing_twice() {
    let mut deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.platform.faults().set_delay_millis(300);
    let address = deployment.caller_address("vm-a1");
    let first = tokio::spawn(async move {
        let headers = [("idempotency-key", "k")];
        Caller::new("key-small").send(address, "POST", PATH, &headers, "slot 6").await.ok()
    });
    let writes = deployment.platform.call_counts().0;
    eventually("the claim is being written", || async {
        deployment.platform.call_counts().0 > writes || first.is_finished()
    })
    .await;
    deployment.kill_vm("vm-a1");
    deployment.platform.faults().set_delay_millis(0);
    let retry = send_booking(&deployment, "vm-b1", "k", "slot 6").await.unwrap();
    assert!(matches!((retry.status, retry.ran()), (200, _) | (409, "unknown")), "{}", retry.text);
    assert!(run_count(&deployment, "slot 6") <= 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claimant_paused_past_its_deadline_does_not_run_it_twice() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.platform.faults().set_delay_millis(200);
    let address = deployment.caller_address("vm-a1");
    let first = tokio::spawn(async move {
        let headers = [("idempotency-key", "k"), ("spanfold-deadline-ms", "1000")];
        Caller::new("key-small").send(address, "POST", PATH, &headers, "slot 5").await.ok()
    });
    let writes = deployment.platform.call_counts().0;
    eventually("the claim is being written", || async {
        deployment.platform.call_counts().0 > writes || first.is_finished()
    })
    .await;
    deployment.pause_vm("vm-a1", true);
    deployment.platform.faults().set_delay_millis(0);
    let concurrent = send_booking(&deployment, "vm-b1", "k", "slot 5").await.unwrap();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    deployment.pause_vm("vm-a1", false);
    let first = first.await.unwrap();
    let good = |answer: &Answer| answer.status == 200;
    assert!(run_count(&deployment, "slot 5") <= 1);
    assert!(
        good(&concurrent) || concurrent.ran() == "unknown" || concurrent.ran() == "no",
        "{}",
        concurrent.text
    );
    if let Some(first) = first.filter(|first| first.ran() == "no")
        && !good(&concurrent)
    {
        assert_eq!(run_count(&deployment, "slot 5"), 0, "{}", first.text);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_reply_is_lost_still_runs_once() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.platform.faults().lose_replies(1);
    let first = send_booking(&deployment, "vm-a1", "k", "slot 4").await.unwrap();
    assert!(first.status == 200 || first.ran() == "no", "{}", first.text);
    eventually("a retry gets a final answer", || async {
        send_booking(&deployment, "vm-b1", "k", "slot 4").await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(run_count(&deployment, "slot 4"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn during_a_platform_outage_nothing_runs_and_the_caller_gets_an_error() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    deployment.platform.faults().cut(true);
    let answer = send_booking(&deployment, "vm-a1", "k", "slot 3").await.unwrap();
    assert_eq!((answer.status, answer.ran()), (503, "no"), "{}", answer.text);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(run_count(&deployment, "slot 3"), 0);
    deployment.platform.faults().cut(false);
    eventually("the call runs once the platform is available again", || async {
        send_booking(&deployment, "vm-a1", "k", "slot 3").await.is_some_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(run_count(&deployment, "slot 3"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_without_a_key_is_not_retried() {
    let deployment = Deployment::start(two_data_centres(binary())).await.unwrap();
    for service in deployment.services.values() {
        service.faults().lose_replies(1);
    }
    let caller = Caller::new("key-small");
    let answer = caller.send(deployment.caller_address("vm-a1"), "POST", PATH, &[], "slot 2").await.unwrap();
    assert_eq!((answer.status, answer.ran()), (502, "unknown"), "{}", answer.text);
    assert_eq!(run_count(&deployment, "slot 2"), 1);
}
