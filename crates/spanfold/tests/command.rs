//! The operators' command against a running deployment.

use spanfold_standin::{Caller, Deployment, DeploymentPlan};
use std::process::{Command, Output};

fn spanfold(arguments: &[&str]) -> (i32, String) {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_spanfold")).args(arguments).output().unwrap();
    let text = format!("{}{}", String::from_utf8_lossy(&stdout), String::from_utf8_lossy(&stderr));
    (status.code().unwrap_or(-1), text)
}

async fn run(arguments: Vec<String>) -> (i32, String) {
    tokio::task::spawn_blocking(move || {
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        spanfold(&arguments)
    })
    .await
    .unwrap()
}

fn split_arguments(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

#[yare::parameterized(
    unknown_key = { "[pool p]\nkind = engine\nmodel = m\nversion = 1\nspeed = 9\n", "bad.ini:5: pool p/speed: unknown key" },
    unknown_kind = { "[boat b]\n", "bad.ini:1: boat b: unknown kind" },
    bad_address = { "[endpoint e]\nkind = engine\naddress = here\ndata_centre = d\n", "bad.ini:3: endpoint e/address" },
    bad_selector = { "[share s]\naccounts = a in (b\npercent = 5\n", "bad.ini:2: share s/accounts" },
    too_much_shared = { "[pool p]\nkind = store\n[share s]\npercent = 60\n[share t]\npercent = 60\n", "bad.ini:1: pool p: its shares add up to 120" },
    twice = { "[pool p]\nkind = store\n[pool p]\nkind = store\n", "stands already at" },
    no_value = { "[pool p]\nkind\n", "expected `key = value`" },
)]
fn check_reports_each_finding_with_file_and_line(text: &str, expected: &str) {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.ini");
    std::fs::write(&file, text).unwrap();
    let (code, output) = spanfold(&["check", file.to_str().unwrap()]);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains(expected), "{output}");
}

#[test]
fn the_example_has_no_findings() {
    let file = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/declarations.ini");
    let (code, output) = spanfold(&["check", file]);
    assert_eq!(code, 0, "{output}");
}

#[test]
fn check_reports_all_findings_together() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("bad.ini");
    std::fs::write(&file, "[endpoint e]\nkind = tub\naddress = x\n[client-account a]\nrate = -1\n").unwrap();
    let (code, output) = spanfold(&["check", file.to_str().unwrap()]);
    assert_eq!((code, output.lines().count()), (1, 4), "{output}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_declared_change_gets_in_force_at_the_vms() {
    let objective = "[objective first]\naccounts =\nkind = first-token\nthreshold_ms = 5000\ntarget = 0.9\n";
    let plan = DeploymentPlan { declarations: objective.to_owned(), ..DeploymentPlan::default() };
    let deployment = Deployment::start(plan).await.unwrap();
    let file = deployment.folder().join("declared.ini");
    let text = format!("{}[client-account fresh]\nlabels = tier=new\n", deployment.declarations());
    std::fs::write(&file, text).unwrap();
    let platform = format!("--platform {}", deployment.platform.key_value());
    let (vm, file) = (deployment.operator_address("vm-a1"), file.display());
    let (code, output) = run(split_arguments(&format!("diff {platform} {file}"))).await;
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("+ [client-account fresh]"), "{output}");
    let (code, output) =
        run(split_arguments(&format!("apply {platform} --expect 1 --wait 20 --vm {vm} {file}"))).await;
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("in force at") && output.contains("in dc-a"), "{output}");
    let (code, output) =
        run(split_arguments(&format!("apply {platform} --expect 1 --author late {file}"))).await;
    assert_eq!(code, 3, "{output}");
    assert!(output.contains("generation 2 by operator"), "{output}");
    let (code, output) = run(split_arguments(&format!("diff {platform} {file}"))).await;
    assert_eq!((code, output.contains("no differences")), (0, true), "{output}");
    let (code, output) =
        run(split_arguments(&format!("label {platform} client-account fresh tier=gold size=small"))).await;
    assert_eq!(code, 0, "{output}");
    let (code, output) = run(split_arguments(&format!("drain {platform} engine-a1"))).await;
    assert_eq!(code, 0, "{output}");
    let (code, output) = run(split_arguments(&format!("show {platform}"))).await;
    assert!(code == 0 && output.contains("labels = size=small, tier=gold"), "{output}");
    assert!(output.contains("draining = yes"), "{output}");
    let (code, output) = run(split_arguments(&format!("label {platform} client-account nobody a=b"))).await;
    assert_eq!(code, 2, "{output}");
    let answer =
        Caller::new("key-small").complete(deployment.caller_address("vm-a1"), "visa-7b", "hi", 2, &[]).await;
    assert_eq!(answer.unwrap().status, 200);
    let (code, output) = run(split_arguments(&format!("status {vm}"))).await;
    assert!(code == 0 && output.contains("vm-a1") && output.contains("cell assistants/dc-a/0"), "{output}");
    let (code, output) = run(split_arguments(&format!("report burn {vm}"))).await;
    assert!(code == 0 && output.contains("small") && output.contains("first"), "{output}");
    let (code, output) = run(split_arguments(&format!("report --json burn {vm}"))).await;
    let report: serde_json::Value = serde_json::from_str(&output).unwrap();
    assert_eq!((code, &report["burn"][0]["windows"][0]["good"]), (0, &1.into()), "{output}");
    let (code, _) = run(split_arguments("status 127.0.0.1:1")).await;
    assert_eq!(code, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_recorded_by_a_daemon_replays_to_the_same_effects() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("recorded.session");
    let line = format!("session_file = {}\n", file.display());
    let plan = DeploymentPlan { settings: [("policy".to_owned(), line)].into(), ..DeploymentPlan::default() };
    let mut deployment = Deployment::start(plan).await.unwrap();
    let caller = Caller::new("key-small");
    for number in 0..3 {
        let prompt = format!("question {number}");
        caller.complete(deployment.caller_address("vm-a1"), "visa-7b", &prompt, 3, &[]).await.unwrap();
    }
    deployment.stop_vm("vm-a1").await;
    // The last line may have been written only in part.
    let text = std::fs::read_to_string(&file).unwrap();
    let complete_length = text.rfind("\n@").map_or(text.len(), |position| position + 1);
    std::fs::write(&file, &text[..complete_length]).unwrap();
    let (code, output) = run(vec!["replay".to_owned(), file.display().to_string()]).await;
    assert_eq!(code, 0, "{output}");
    assert!(text.matches("\"Dispatch\"").count() >= 3, "the session contains the calls");
}
