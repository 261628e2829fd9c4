//! What a daemon costs as a process: latency it adds, requests and events a second of a core,
//! memory, and control traffic at several numbers of daemons.
//!
//! `cargo build --release && cargo run --release -p spanfold-standin --example daemon_cost -- target/release/spanfoldd`

use serde_json::json;
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Clock ticks a second in `/proc/PID/stat`.
const CLOCK_TICKS: f64 = 100.0;

fn processor_seconds(id: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let rest = text.rsplit(')').next().unwrap_or_default();
    let field =
        |place: usize| rest.split_whitespace().nth(place).and_then(|v| v.parse::<f64>().ok()).unwrap_or(0.0);
    (field(11) + field(12)) / CLOCK_TICKS
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

fn percentile(values: &mut [f64], part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(((values.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(f64::NAN)
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

/// Calls at a steady rate; returns times to first token and to the end, in microseconds.
async fn at_rate(to: SocketAddr, rate: u64, seconds: u64, tokens: u32) -> (Vec<f64>, Vec<f64>) {
    let caller = Caller::new("key-large");
    let begin = tokio::time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    for call in 0..rate * seconds {
        let caller = caller.clone();
        tasks.spawn(async move {
            tokio::time::sleep_until(begin + Duration::from_micros(call * 1_000_000 / rate)).await;
            let body = json!({ "model": "visa-7b", "prompt": format!("question {call}"), "max_tokens": tokens,
                               "stream": true });
            let answer = caller.stream(to, &[], body.to_string(), None).await.ok()?;
            let times = (answer.first.as_secs_f64() * 1e6, answer.total.as_secs_f64() * 1e6);
            (answer.status == 200).then_some(times)
        });
    }
    tasks.join_all().await.into_iter().flatten().unzip()
}

/// Kills the home of a cell under load: when another VM is home, and how many calls noticed.
async fn home_death(binary: &Path) -> std::io::Result<()> {
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
    let others: Vec<String> = (0..3).map(|vm| format!("vm-{vm}")).filter(|name| *name != home).collect();
    let (to, rate, seconds) = (deployment.callers(&others[0]), 100, 8);
    let calls = tokio::spawn(at_rate(to, rate, seconds, 20));
    tokio::time::sleep(Duration::from_secs(2)).await;
    deployment.kill_vm(&home);
    let killed = Instant::now();
    let mut taken_up = Duration::ZERO;
    while taken_up.is_zero() && killed.elapsed() < Duration::from_secs(10) {
        for name in &others {
            let status = deployment.status(name).await;
            if status["cells"].as_array().is_some_and(|rows| rows.iter().any(|row| row["cell"] == cell)) {
                taken_up = killed.elapsed();
            }
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let (mut first, _) = calls.await.unwrap_or_default();
    let bypassed = deployment.status(&others[0]).await["bypassed"].as_u64().unwrap_or(0);
    println!(
        "    the cell has a home again after {} ms; {} of {} calls served, {bypassed} decided without a home, first token p50 {:.0} us, p99 {:.0} us",
        taken_up.as_millis(),
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
        home_death(&binary).await?;
    }
    println!("-- latency: one VM, answers of 1 token, first token in us");
    let deployment = Deployment::start(plan(&binary, 1, 0)).await?;
    let id = deployment.process_id("vm-0").unwrap_or(0);
    let direct = deployment.engines["engine-0"].address();
    for rate in [50, 200, 1_000, 2_000] {
        let (mut plain, _) = at_rate(direct, rate, 3, 1).await;
        let before = processor_seconds(id);
        let begun = Instant::now();
        let (mut through, _) = at_rate(deployment.callers("vm-0"), rate, 3, 1).await;
        let used = processor_seconds(id) - before;
        println!(
            "    {rate:>5}/s: direct p50 {:>5.0} p99 {:>6.0}, through p50 {:>5.0} p99 {:>6.0}, served {}, {:>5.0} us of processor a request, {:>4.1}% of a core",
            percentile(&mut plain, 0.5),
            percentile(&mut plain, 0.99),
            percentile(&mut through, 0.5),
            percentile(&mut through, 0.99),
            through.len(),
            used * 1e6 / through.len().max(1) as f64,
            used * 100.0 / begun.elapsed().as_secs_f64(),
        );
    }
    drop(deployment);
    println!("-- events: one VM, 200 streams at once, 40 events a second each for 5 s, then 130");
    for decode in [25_000, 7_700] {
        let deployment = Deployment::start(plan(&binary, 1, decode)).await?;
        let id = deployment.process_id("vm-0").unwrap_or(0);
        let tokens = 5_000_000 / decode as u32;
        let before = (processor_seconds(id), Instant::now());
        let (_, total) = at_rate(deployment.callers("vm-0"), 400, 1, tokens).await;
        let (used, wall) = (processor_seconds(id) - before.0, before.1.elapsed().as_secs_f64());
        let events = metric(&deployment.metrics("vm-0").await, "spanfold_events_out_total");
        println!(
            "    {} streams of {tokens}: {:>6.0} events/s, {:>5.2} us of processor an event, {:>4.0}% of a core, {:.1} MB resident",
            total.len(),
            events / wall,
            used * 1e6 / events,
            used * 100.0 / wall,
            resident_megabytes(id),
        );
    }
    println!("-- control: daemons of one data centre at rest for 10 s, then under 20 requests a second each");
    for vms in [3_usize, 9, 25] {
        let deployment = Deployment::start(plan(&binary, vms, 1_000)).await?;
        for load in [0_u64, 20] {
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
            let begun = Instant::now();
            if load == 0 {
                tokio::time::sleep(Duration::from_secs(10)).await;
            } else {
                let calls = (0..vms).map(|vm| at_rate(deployment.callers(&format!("vm-{vm}")), load, 10, 4));
                let mut tasks = tokio::task::JoinSet::new();
                for call in calls.collect::<Vec<_>>() {
                    tasks.spawn(call);
                }
                tasks.join_all().await;
            }
            let wall = begun.elapsed().as_secs_f64() * vms as f64;
            let after = snapshot().await;
            println!(
                "    {vms:>2} daemons, {load:>2} requests/s each: per daemon {:>6.0} B/s sent, {:>5.1} messages/s, control thread {:>5.3}%, process {:>5.2}% of a core, {:>5.1} MB; platform {:.2} calls/s in all",
                (after.0 - before.0) / wall,
                (after.1 - before.1) / wall,
                (after.2 - before.2) / 1e4 / wall,
                (after.3 - before.3) * 100.0 / wall,
                resident_megabytes(deployment.process_id("vm-0").unwrap_or(0)),
                (after.4 - before.4) as f64 / wall * vms as f64,
            );
        }
    }
    Ok(())
}
