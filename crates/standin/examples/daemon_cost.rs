//! Measures the cost of a daemon process: added latency, processor time per request and event, memory,
//! and control traffic with several numbers of daemons.
//!
//! `cargo build --release && cargo run --release -p spanfold-standin --example daemon_cost -- target/release/spanfoldd`

use serde_json::json;
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Clock ticks per second, the unit of processor times in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

fn processor_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = text.rsplit(')').next().unwrap_or_default();
    let field = |index: usize| {
        fields.split_whitespace().nth(index).and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0)
    };
    (field(11) + field(12)) / CLOCK_TICKS_PER_S
}

fn resident_megabytes(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/statm")).unwrap_or_default();
    let pages: f64 = text.split_whitespace().nth(1).and_then(|v| v.parse().ok()).unwrap_or(0.0);
    pages * 4_096.0 / 1e6
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name) && !line.starts_with('#'));
    line.and_then(|line| line.rsplit(' ').next()).and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

fn percentile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(((values.len().max(1) - 1) as f64 * fraction) as usize).copied().unwrap_or(f64::NAN)
}

fn plan(binary: &Path, vms: usize, decode_micros: u64) -> DeploymentPlan {
    let rates = EngineRates { prefill_micros: 0, decode_micros, slots: 512, ..EngineRates::default() };
    let engine = |n: usize| EnginePlan {
        name: format!("engine-{n}"),
        data_centre: "dc-a".into(),
        rates,
        fenced: true,
    };
    DeploymentPlan {
        vms: (0..vms).map(|n| (format!("vm-{n}"), "dc-a".to_owned())).collect(),
        engines: (0..4).map(engine).collect(),
        binary: Some(binary.to_owned()),
        ..DeploymentPlan::default()
    }
}

/// Sends calls at a steady rate; returns the times to first token and to the end, in microseconds.
async fn call_at_rate(address: SocketAddr, rate: u64, seconds: u64, tokens: u32) -> (Vec<f64>, Vec<f64>) {
    let caller = Caller::new("key-large");
    let started_at = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for call in 0..rate * seconds {
        let caller = caller.clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(started_at + Duration::from_micros(call * 1_000_000 / rate)).await;
            let body = json!({ "model": "visa-7b", "prompt": format!("question {call}"), "max_tokens": tokens,
                               "stream": true });
            let answer = caller.stream(address, &[], body.to_string(), None).await.ok()?;
            let times =
                (answer.first_event_after.as_secs_f64() * 1e6, answer.finished_after.as_secs_f64() * 1e6);
            (answer.status == 200).then_some(times)
        });
    }
    tasks.join_all().await.into_iter().flatten().unzip()
}

/// Kills a cell's home under load.
///
/// Prints the time until another VM is the home, and the numbers of calls that were served and that were
/// decided without a home.
async fn measure_home_failover(binary: &Path) -> std::io::Result<()> {
    let mut deployment = Deployment::start(plan(binary, 3, 1_000)).await?;
    let cell = "assistants/dc-a/0";
    let mut home = String::new();
    for vm in 0..3 {
        let name = format!("vm-{vm}");
        let status = deployment.status(&name).await;
        if status["cells"].as_array().is_some_and(|rows| rows.iter().any(|row| row["cell"] == cell)) {
            home = name;
        }
    }
    let other_vms: Vec<String> = (0..3).map(|vm| format!("vm-{vm}")).filter(|name| *name != home).collect();
    let (address, rate, seconds) = (deployment.caller_address(&other_vms[0]), 100, 8);
    let calls = tokio::spawn(call_at_rate(address, rate, seconds, 20));
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.kill_vm(&home);
    let killed_at = Instant::now();
    let mut recovered_after = Duration::ZERO;
    while recovered_after.is_zero() && killed_at.elapsed() < Duration::from_secs(10) {
        for name in &other_vms {
            let status = deployment.status(name).await;
            if status["cells"].as_array().is_some_and(|rows| rows.iter().any(|row| row["cell"] == cell)) {
                recovered_after = killed_at.elapsed();
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (mut first, _) = calls.await.unwrap_or_default();
    let bypassed = deployment.status(&other_vms[0]).await["bypassed"].as_u64().unwrap_or(0);
    println!(
        "    the cell has a home again after {} ms; {} of {} calls served, {bypassed} decided without a home, first token p50 {:.0} us, p99 {:.0} us",
        recovered_after.as_millis(),
        first.len(),
        rate * seconds,
        percentile(&mut first, 0.5),
        percentile(&mut first, 0.99),
    );
    Ok(())
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let binary =
        PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "target/release/spanfoldd".to_owned()));
    println!("-- a home dies: three VMs, 100 requests a second through one of the others");
    for _ in 0..3 {
        measure_home_failover(&binary).await?;
    }
    println!("-- latency: one VM, answers of 1 token, first token in us");
    let deployment = Deployment::start(plan(&binary, 1, 0)).await?;
    let id = deployment.process_id("vm-0").unwrap_or(0);
    let direct = deployment.engines["engine-0"].address();
    for rate in [50, 200, 1_000, 2_000] {
        let (mut direct_first, _) = call_at_rate(direct, rate, 3, 1).await;
        let before = processor_seconds(id);
        let started_at = Instant::now();
        let (mut proxied_first, _) = call_at_rate(deployment.caller_address("vm-0"), rate, 3, 1).await;
        let processor_s = processor_seconds(id) - before;
        println!(
            "    {rate:>5}/s: direct p50 {:>5.0} p99 {:>6.0}, through p50 {:>5.0} p99 {:>6.0}, served {}, {:>5.0} us of processor a request, {:>4.1}% of a core",
            percentile(&mut direct_first, 0.5),
            percentile(&mut direct_first, 0.99),
            percentile(&mut proxied_first, 0.5),
            percentile(&mut proxied_first, 0.99),
            proxied_first.len(),
            processor_s * 1e6 / proxied_first.len().max(1) as f64,
            processor_s * 100.0 / started_at.elapsed().as_secs_f64(),
        );
    }
    drop(deployment);
    println!("-- events: one VM, 200 streams at once, 40 events a second each for 5 s, then 130");
    for decode_micros in [25_000, 7_700] {
        let deployment = Deployment::start(plan(&binary, 1, decode_micros)).await?;
        let id = deployment.process_id("vm-0").unwrap_or(0);
        let tokens = 5_000_000 / decode_micros as u32;
        let before = (processor_seconds(id), Instant::now());
        let (_, total) = call_at_rate(deployment.caller_address("vm-0"), 400, 1, tokens).await;
        let (processor_s, elapsed_s) = (processor_seconds(id) - before.0, before.1.elapsed().as_secs_f64());
        let events = metric(&deployment.metrics("vm-0").await, "spanfold_events_out_total");
        println!(
            "    {} streams of {tokens}: {:>6.0} events/s, {:>5.2} us of processor an event, {:>4.0}% of a core, {:.1} MB resident",
            total.len(),
            events / elapsed_s,
            processor_s * 1e6 / events,
            processor_s * 100.0 / elapsed_s,
            resident_megabytes(id),
        );
    }
    println!("-- control: daemons of one data centre at rest for 10 s, then under 20 requests a second each");
    for vms in [3_usize, 9, 25] {
        let deployment = Deployment::start(plan(&binary, vms, 1_000)).await?;
        for rate in [0_u64, 20] {
            tokio::time::sleep(Duration::from_secs(2)).await;
            let snapshot = async || {
                let (mut bytes, mut messages, mut micros, mut seconds) = (0.0, 0.0, 0.0, 0.0);
                for vm in 0..vms {
                    let text = deployment.metrics(&format!("vm-{vm}")).await;
                    bytes += metric(&text, "spanfold_peer_bytes ");
                    messages += metric(&text, "spanfold_peer_messages ");
                    micros += metric(&text, "spanfold_control_micros_total");
                    seconds += processor_seconds(deployment.process_id(&format!("vm-{vm}")).unwrap_or(0));
                }
                let (writes, reads) = deployment.platform.call_counts();
                (bytes, messages, micros, seconds, writes + reads)
            };
            let before = snapshot().await;
            let started_at = Instant::now();
            if rate == 0 {
                tokio::time::sleep(Duration::from_secs(10)).await;
            } else {
                let calls = (0..vms)
                    .map(|vm| call_at_rate(deployment.caller_address(&format!("vm-{vm}")), rate, 10, 4));
                let mut tasks = tokio::task::JoinSet::new();
                for call in calls.collect::<Vec<_>>() {
                    tasks.spawn(call);
                }
                tasks.join_all().await;
            }
            let daemon_seconds = started_at.elapsed().as_secs_f64() * vms as f64;
            let after = snapshot().await;
            println!(
                "    {vms:>2} daemons, {rate:>2} requests/s each: per daemon {:>6.0} B/s sent, {:>5.1} messages/s, control thread {:>5.3}%, process {:>5.2}% of a core, {:>5.1} MB; platform {:.2} calls/s in all",
                (after.0 - before.0) / daemon_seconds,
                (after.1 - before.1) / daemon_seconds,
                (after.2 - before.2) / 1e4 / daemon_seconds,
                (after.3 - before.3) * 100.0 / daemon_seconds,
                resident_megabytes(deployment.process_id("vm-0").unwrap_or(0)),
                (after.4 - before.4) as f64 / daemon_seconds * vms as f64,
            );
        }
    }
    Ok(())
}
