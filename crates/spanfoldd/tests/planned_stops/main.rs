//! Planned stops of a process of the daemon, beside requests that arrive up to the end of the grace period.

#[path = "../../../../platform/tests/fleet/support/caller.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform")]
mod caller;
#[path = "../../../../platform/tests/fleet/support/engine.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform")]
mod engine;
#[path = "../../../../platform/tests/fleet/support/paced_body.rs"]
mod paced_body;
mod site;
#[path = "../../../../platform/tests/fleet/support/store.rs"]
#[expect(dead_code, reason = "shared with the tests of the platform")]
mod store;
#[path = "../hostile_clients/vm.rs"]
#[expect(dead_code, reason = "shared with the tests of clients that do not behave")]
mod vm;

use nix::sys::signal::Signal;
use site::{Arrival, Site, StopTerms};
use std::net::SocketAddr;

/// Returns a local address whose port the operating system chooses.
pub(crate) fn any_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Moments of the last byte of a request, in milliseconds after the signal, for a grace period of 8 s.
const MOMENTS_OF_8_S: [u64; 9] = [500, 1_500, 2_500, 3_000, 4_000, 5_000, 6_000, 7_000, 7_300];

/// Guards against requests that are taken late in the grace period and cut without an answer at its end, among
/// them ones that may not be repeated.
#[yare::parameterized(
    late_bodies = { Arrival::Body },
    late_heads = { Arrival::Head },
    idle_connections = { Arrival::Idle },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn requests_that_arrive_in_a_stop_are_answered_or_refused(arrival: Arrival) {
    let site = Site::start(&format!("{arrival:?}"), StopTerms::default()).await;
    site.stop(arrival, &MOMENTS_OF_8_S, &[]).await;
}

/// Guards against refusals of requests whose own deadlines end before the stop does.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_short_deadlines_are_served_until_the_last_moment() {
    let terms = StopTerms { deadline_millis: 2_500, answer_millis: 500, ..StopTerms::default() };
    let site = Site::start("deadlines", terms).await;
    let served = site.stop(Arrival::Body, &[500, 1_500, 2_500, 3_500], &[]).await;
    assert_eq!(served, 16);
}

/// Guards against requests that are cut because the route's usual answer time is not known yet.
#[tokio::test(flavor = "multi_thread")]
async fn requests_of_a_route_without_earlier_answers_are_answered_or_refused() {
    let terms = StopTerms { is_warm: false, ..StopTerms::default() };
    let site = Site::start("cold", terms).await;
    site.stop(Arrival::Body, &MOMENTS_OF_8_S, &[]).await;
}

/// Guards against a grace period that is over before connections are closed.
#[tokio::test(flavor = "multi_thread")]
async fn a_short_grace_period_cuts_no_request() {
    let terms = StopTerms { grace_s: 2, answer_millis: 500, ..StopTerms::default() };
    let site = Site::start("short", terms).await;
    site.stop(Arrival::Body, &[50, 300, 600, 900, 1_100, 1_300], &[]).await;
}

/// Guards against a stop that ends before a long grace period allows it to.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_grace_period_is_used_to_its_end() {
    let terms = StopTerms { grace_s: 30, ..StopTerms::default() };
    let site = Site::start("long", terms).await;
    let served = site.stop(Arrival::Head, &[2_000, 20_000, 27_000, 29_050], &[]).await;
    assert!(served >= 4, "{served} were served");
}

/// Guards against a hangup or a second signal that shortens a stop.
#[tokio::test(flavor = "multi_thread")]
async fn further_signals_change_nothing_in_a_stop() {
    let site = Site::start("signals", StopTerms::default()).await;
    let further = [(200, Signal::SIGHUP), (400, Signal::SIGTERM), (3_500, Signal::SIGHUP)];
    site.stop(Arrival::Body, &MOMENTS_OF_8_S, &further).await;
}

/// Guards against requests that wait for an engine in a stop and are cut without a refusal.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_wait_for_an_engine_are_answered_or_refused() {
    let terms = StopTerms { slots: 1, ..StopTerms::default() };
    let site = Site::start("waiting", terms).await;
    site.stop(Arrival::Body, &[0, 100, 200, 300, 1_000, 3_000, 5_500, 6_900], &[]).await;
}
