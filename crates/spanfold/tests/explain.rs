//! `spanfold explain` on recorded logs.

use std::path::PathBuf;
use std::process::Command;

fn explain(request: &str) -> (i32, String) {
    explain_from(request, ["vm-1.log", "vm-2.log"])
}

fn explain_from(request: &str, files: [&str; 2]) -> (i32, String) {
    let logs = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/logs");
    let output = Command::new(env!("CARGO_BIN_EXE_spanfold"))
        .args(["explain", request])
        .args(files.map(|file| logs.join(file)))
        .output()
        .unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stdout).unwrap())
}

#[test]
fn explain_prints_the_request_and_preceding_events_of_its_vm() {
    let (code, text) = explain("r-77");
    assert_eq!(code, 0);
    let expected = "\
-  1400 ms  belief   vm-1  dependency.lost  cause=status 503  dependency=store
-   900 ms  belief   vm-1  endpoint.entry  address=10.0.0.1:80  draining=true  endpoint=i-1
-   400 ms  request  vm-1  endpoint.unreached  cause=connection refused  endpoint=i-1
-     0 ms  request  vm-1  request.ended  candidates=1  endpoint=i-1  expected_ms=30  outcome=no endpoint is reached  status=503
(1 lines passed over: not JSON)
";
    assert_eq!(text, expected);
}

#[test]
fn explain_reports_a_request_without_log_lines() {
    let (code, text) = explain("r-0");
    assert_eq!(code, 1);
    assert!(text.starts_with("r-0: no line of it in 10 lines (1 passed over)"), "{text}");
}

#[test]
fn explain_of_a_quarantined_request_prints_the_evidence_of_all_vms() {
    let (code, text) = explain_from("r-9", ["quarantine-1.log", "quarantine-2.log"]);
    assert_eq!(code, 0);
    let expected = "\
-  8000 ms  same     quarantine-1  quarantine.evidence  age_ms=60  digest=00ff  endings=1  endpoint=i-1  request=r-1
-  7000 ms  same     quarantine-1  quarantine.evidence  age_ms=55  digest=00ff  endings=2  endpoint=i-2  request=r-2
-  5900 ms  same     quarantine-2  quarantine.evidence  age_ms=70  digest=00ff  endings=3  endpoint=i-3  request=r-3
-  5700 ms  same     quarantine-1  quarantine.begun  digest=00ff  endings=3  request=one POST h/p (5 bytes)  round=1
-  5680 ms  same     quarantine-2  quarantine.adopted  digest=00ff  round=1
-     0 ms  request  quarantine-2  request.ended  digest=00ff  endpoint=  outcome=held back: endpoints end under this request; it was not run  status=503
";
    assert_eq!(text, expected);
}

/// Guards against a refusal because of a part of the prompt that leads to none of the crashes under it.
#[test]
fn explain_of_a_request_with_a_quarantined_part_prints_the_crashes_under_that_part() {
    let (code, text) = explain_from("r-9", ["parts-1.log", "parts-2.log"]);
    assert_eq!(code, 0);
    let expected = "\
-  8000 ms  same     parts-1  quarantine.evidence  age_ms=60  digest=00aa  endings=2  endpoint=i-1  part=dead  request=r-1
-  7000 ms  same     parts-2  quarantine.evidence  age_ms=55  digest=00aa  endings=3  endpoint=i-2  part=dead  request=r-2
-  5700 ms  same     parts-2  quarantine.begun  digest=00aa  endings=3  part=dead  request=prompts for m of llm  round=1  together=
-  5680 ms  same     parts-1  quarantine.adopted  digest=00aa  part=dead  round=1
-     0 ms  request  parts-1  request.ended  blamed=00aa  digest=00ff  endpoint=  outcome=held back: endpoints end under a part of this prompt; it was not run  part=dead  status=503
";
    assert_eq!(text, expected);
}

/// The departure and the backoff of the endpoints were reported in answers to other requests.
#[test]
fn explain_of_a_request_without_endpoint_prints_departures_and_backoffs() {
    let (code, text) = explain_from("r-3", ["rests.log", "vm-2.log"]);
    assert_eq!(code, 0);
    let expected = "\
-  1500 ms  belief   rests  endpoint.leaving  born=0  endpoint=i-1  request=r-1  source=answer
-   500 ms  belief   rests  endpoint.resting  asked_ms=3000  born=0  endpoint=i-2  extends=false  request=r-2  rest_ms=3000  status=503
-     0 ms  request  rests  request.limited  all_per_s=8  back_ms=2625  blocked=2 listed, 1 leaving, 1 resting  own_per_s=1  service=desk
-     0 ms  request  rests  request.ended  endpoint=  outcome=its endpoints take no more in time  status=503
";
    assert!(text.contains(expected), "{text}");
}

#[test]
fn explain_of_an_unanswered_request_prints_the_change_before_it_and_who_ended_the_connection() {
    let (code, text) = explain_from("r-5", ["unanswered.log", "vm-2.log"]);
    assert_eq!(code, 0);
    let expected = "\
-  1202 ms  belief   unanswered  configuration.in_force  accounts=2  before=3  open=7  position=1/40  routes=5  version=4
-     2 ms  request  unanswered  stream.broke  cause=timed out  ended_by=this VM  endpoint=i-1
-     1 ms  request  unanswered  request.ended  endpoint=i-1  outcome=broken off  status=200
-     0 ms  request  unanswered  request.unanswered  age_ms=1700  begun=true  cause=connection to the endpoint timed out  changed_ms=1202  config=3  config_now=4  endpoint=i-1  handed_over=false  sends=1
";
    assert!(text.contains(expected), "{text}");
}

#[test]
fn explain_of_a_crowded_request_prints_whose_reports_exclude_endpoints() {
    let (code, text) = explain_from("r-6", ["avoided.log", "vm-2.log"]);
    assert_eq!(code, 0);
    let expected = "\
-  1001 ms  belief   avoided  endpoint.avoided  cause=not reached  endpoint=i-1  reporters=vm-2, vm-3
-   501 ms  belief   avoided  endpoint.readmitted  endpoint=i-2
-     1 ms  request  avoided  request.crowded  blocked=3 listed, 1 ejected, 1 avoided  candidates=1  service=llm
-     0 ms  request  avoided  request.ended  candidates=1  endpoint=  outcome=no engine has room in time  status=503
";
    assert!(text.contains(expected), "{text}");
}
