//! Clients that do not behave, at processes of the daemon, beside ordinary traffic.
//!
//! Guards against processes that end, hang or pass the memory of their VM, and against ordinary callers that are
//! no longer served. By default short runs; a long one is started by hand:
//! `SPANFOLD_CROWD_CONNECTIONS=6000 SPANFOLD_CROWD_SECONDS=20 cargo test --release -p spanfoldd
//! --test hostile_clients -- --nocapture`.

mod crowd;
mod desk;
mod ordinary;
#[path = "../../../../platform/tests/fleet/support/paced_body.rs"]
mod paced_body;
mod shapes;
mod site;
#[path = "../../../../platform/tests/fleet/support/store.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform")]
mod store;
#[expect(dead_code, reason = "shared with the tests of planned stops")]
mod vm;

use crowd::{ClientLimits, Misuse};
use site::{Door, RunTerms, Site, all_kinds};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::Mutex;
use vm::Vm;

/// Held by the run in progress: crowds would slow each other.
pub(crate) static RUN: Mutex<()> = Mutex::const_new(());

/// Returns a local address whose port the operating system chooses.
pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn nothing(_vms: &mut Vec<Vm>) {}

/// Guards against each kind of misuse alone.
#[yare::parameterized(
    whole_bodies = { Misuse::WholeBodies },
    pieced_bodies = { Misuse::PiecedBodies },
    chunked_bodies = { Misuse::ChunkedBodies },
    declared_oversize = { Misuse::DeclaredOversize },
    endless_bodies = { Misuse::EndlessBodies },
    many_fields = { Misuse::ManyFields },
    many_segments = { Misuse::ManySegments },
    pipelined = { Misuse::Pipelined },
    slow_heads = { Misuse::SlowHeads },
    half_heads = { Misuse::HalfHeads },
    slow_bodies = { Misuse::SlowBodies },
    half_bodies = { Misuse::HalfBodies },
    slow_readers = { Misuse::SlowReaders },
    silent = { Misuse::Silent },
    resets = { Misuse::Resets },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_vm_outlives_a_crowd_and_serves_others(misuse: Misuse) {
    let _run = RUN.lock().await;
    let site = Site::start(&format!("{misuse:?}"), RunTerms::from_environment()).await;
    site.play(&[(misuse, Door::Callers)], 1, nothing).await;
}

/// Guards against crowds of all kinds at once, at each address that answers over HTTP.
#[yare::parameterized(
    callers = { "AllAtCallers", &[Door::Callers] },
    readiness = { "AllAtReadiness", &[Door::Readiness] },
    metrics = { "AllAtMetrics", &[Door::Metrics] },
    callers_and_readiness = { "AllAtBoth", &[Door::Callers, Door::Readiness] },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_vm_outlives_all_crowds_at_once(name: &str, doors: &[Door]) {
    let _run = RUN.lock().await;
    let kinds: Vec<_> = doors.iter().flat_map(|door| all_kinds(*door)).collect();
    Site::start(name, RunTerms::from_environment()).await.play(&kinds, 1, nothing).await;
}

/// Guards against crowds under a configuration that allows larger requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_vm_outlives_all_crowds_under_larger_limits() {
    let _run = RUN.lock().await;
    let clients = ClientLimits { header_bytes: 128 << 10, body_bytes: 16 << 20 };
    let terms = RunTerms { clients, ..RunTerms::from_environment() };
    Site::start("LargerLimits", terms).await.play(&all_kinds(Door::Callers), 1, nothing).await;
}

/// Guards against crowds at one of several VMs, and at all of them.
#[yare::parameterized(
    one = { "OneOfThree", 1 },
    all = { "AllOfThree", 3 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn several_vms_outlive_all_crowds(name: &str, crowded_vms: usize) {
    let _run = RUN.lock().await;
    let terms = RunTerms { vms: 3, ..RunTerms::from_environment() };
    Site::start(name, terms).await.play(&all_kinds(Door::Callers), crowded_vms, nothing).await;
}

/// Guards against VMs that do not come back under a crowd.
#[tokio::test(flavor = "multi_thread")]
async fn vms_restart_under_all_crowds() {
    let _run = RUN.lock().await;
    let terms = RunTerms { vms: 3, ..RunTerms::from_environment() };
    let site = Site::start("Restarts", terms).await;
    let restart_each = async |vms: &mut Vec<Vm>| {
        for vm in vms {
            tokio::time::sleep(Duration::from_secs(1)).await;
            vm.restart();
            site::until_ready(vm.readiness).await;
        }
    };
    site.play(&all_kinds(Door::Callers), 3, restart_each).await;
}
