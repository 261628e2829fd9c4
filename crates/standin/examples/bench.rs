//! Compares routing variants under load, with real daemons and stand-ins in one process.
//!
//! `cargo bench-fleet [FILE] [--runs N] [--workload NAME] [--variant NAME] [--json FILE]`
//!
//! Runs of the variants are interleaved, with the same workload and seed for each. Prints for each
//! variant and, with `--accounts`, for each client account: time to first token, recomputed share, link
//! use, refusals, and tokens served as a share of those promised.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use spanfold_declare::{Document, Section};
use spanfold_standin::{BLOCK_BYTES, Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates, StorePlan};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const VARIANTS: [&str; 4] = ["round-robin", "least-loaded", "affinity", "spanfold"];
const BYTES_PER_TOKEN: usize = 4;

/// One request of a workload.
#[derive(Clone)]
struct PlannedCall {
    account: String,
    prompt: String,
    send_offset: Duration,
    vm: usize,
}

/// Outcome of one request.
struct CallResult {
    account: String,
    code: String,
    status: u16,
    first_millis: f64,
    usage: [u64; 3],
    requested_tokens: u64,
    served_tokens: u64,
}

struct RunOptions {
    file: String,
    runs: usize,
    workload: Option<String>,
    variants: Vec<String>,
    json: Option<String>,
    accounts: bool,
}

fn read_options() -> RunOptions {
    let mut options = RunOptions {
        file: "examples/workloads/mawid.ini".to_owned(),
        runs: 3,
        workload: None,
        variants: VARIANTS.map(str::to_owned).to_vec(),
        json: None,
        accounts: false,
    };
    let mut arguments = std::env::args().skip(1);
    while let Some(argument) = arguments.next() {
        let mut value = || arguments.next().unwrap_or_default();
        match argument.as_str() {
            "--runs" => options.runs = value().parse().unwrap_or(3),
            "--workload" => options.workload = Some(value()),
            "--variant" => options.variants = value().split(',').map(str::to_owned).collect(),
            "--json" => options.json = Some(value()),
            "--accounts" => options.accounts = true,
            file => file.clone_into(&mut options.file),
        }
    }
    options
}

fn number(section: &Section, key: &str) -> f64 {
    section.value(key).and_then(|text| text.parse().ok()).unwrap_or_else(|| panic!("{key} is missing"))
}

/// Returns a number, or zero if it is not set.
fn number_or_zero(section: &Section, key: &str) -> f64 {
    section.value(key).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

fn integer(section: &Section, key: &str) -> usize {
    number(section, key) as usize
}

fn accounts(fleet: &Section) -> Vec<(String, f64)> {
    let large =
        (0..integer(fleet, "large_accounts")).map(|n| (format!("large-{n}"), number(fleet, "large_percent")));
    let small =
        (0..integer(fleet, "small_accounts")).map(|n| (format!("small-{n}"), number(fleet, "small_percent")));
    large.chain(small).collect()
}

fn deployment_plan(fleet: &Section, variant: &str) -> DeploymentPlan {
    let rates = EngineRates {
        prefill_micros: number(fleet, "prefill_us") as u64,
        decode_micros: number(fleet, "decode_us") as u64,
        memory_blocks: integer(fleet, "memory_pieces"),
        slots: number(fleet, "slots") as u32,
        event_lag_millis: 100,
    };
    let centres: Vec<String> = (0..integer(fleet, "data_centres")).map(|n| format!("dc-{n}")).collect();
    let each = |kind: &str, count: usize| -> Vec<(String, String)> {
        let names = |centre: &String| -> Vec<_> {
            (0..count).map(|n| (format!("{kind}-{centre}-{n}"), centre.clone())).collect()
        };
        centres.iter().flat_map(names).collect()
    };
    DeploymentPlan {
        vms: each("vm", integer(fleet, "vms")),
        engines: each("engine", integer(fleet, "engines"))
            .into_iter()
            .map(|(name, data_centre)| EnginePlan { name, data_centre, rates, fenced: true })
            .collect(),
        // The stores are in a data centre of their own and serve the engines of all others.
        stores: (0..integer(fleet, "stores"))
            .map(|n| StorePlan {
                name: format!("store-{n}"),
                data_centre: "stores".to_owned(),
                capacity_blocks: integer(fleet, "room"),
                transfer_micros: number(fleet, "transfer_us") as u64,
            })
            .collect(),
        services: each("desk", integer(fleet, "services")),
        accounts: accounts(fleet),
        declarations: centres
            .iter()
            .map(|centre| format!("[data-centre {centre}]\nregion = north\n"))
            .collect(),
        settings: BTreeMap::from([("policy".to_owned(), format!("variant = {variant}\n"))]),
        ..DeploymentPlan::default()
    }
}

fn filler_text(seed: &str, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 64);
    for line in 0.. {
        if text.len() >= bytes {
            break;
        }
        text.push_str(&format!("{seed}: rule {line} asks for form {}.\n", line * 13 % 101));
    }
    text.truncate(bytes);
    text
}

fn plan_calls(fleet: &Section, workload: &Section, vms: usize) -> Vec<PlannedCall> {
    let mut random = SmallRng::seed_from_u64(11);
    let names = accounts(fleet);
    let (large, small): (Vec<_>, Vec<_>) = names.iter().partition(|(name, _)| name.starts_with("large"));
    let seconds = number(workload, "seconds");
    let mut calls: Vec<PlannedCall> = (0..integer(workload, "requests"))
        .map(|call| {
            let group = if random.random_bool(number(workload, "large_part")) { &large } else { &small };
            let choices = match number_or_zero(workload, "only_small") as usize {
                0 => group.len(),
                account_count => account_count,
            };
            let account = group[random.random_range(0..choices)].0.clone();
            let document = random.random_range(0..integer(workload, "documents"));
            let manual = filler_text(
                &format!("{account} manual {document}"),
                integer(workload, "pieces") * BLOCK_BYTES,
            );
            let tail = filler_text(&format!("question {call}"), integer(workload, "tail_bytes"));
            let send_offset = Duration::from_secs_f64(random.random_range(0.0..seconds));
            PlannedCall { account, prompt: manual + &tail, send_offset, vm: random.random_range(0..vms) }
        })
        .collect();
    // A flood by the first large account: each prompt differs and is sent once.
    for call in 0..number_or_zero(workload, "flood") as usize {
        let prompt = filler_text(&format!("flood {call}"), integer(workload, "pieces") * 3 * BLOCK_BYTES);
        let send_offset = Duration::from_secs_f64(random.random_range(0.0..seconds));
        calls.push(PlannedCall {
            account: "large-0".to_owned(),
            prompt,
            send_offset,
            vm: random.random_range(0..vms),
        });
    }
    calls.sort_by_key(|call| call.send_offset);
    calls
}

/// Returns the fraction of prompt tokens that is computed if each distinct prefix is computed once.
fn min_recomputed_fraction(calls: &[PlannedCall]) -> f64 {
    let (mut seen, mut computed, mut total) = (HashSet::new(), 0, 0);
    for call in calls {
        let bytes = call.prompt.as_bytes();
        for end in (0..bytes.len()).step_by(BLOCK_BYTES) {
            let end = (end + BLOCK_BYTES).min(bytes.len());
            let mut hasher = blake3::Hasher::new();
            hasher.update(call.account.as_bytes()).update(&[0]).update(&bytes[..end]);
            let length = if end % BLOCK_BYTES == 0 { BLOCK_BYTES } else { end % BLOCK_BYTES };
            total += length;
            if seen.insert(hasher.finalize()) {
                computed += length;
            }
        }
    }
    computed as f64 / total as f64
}

async fn run_calls(
    deployment: &Deployment,
    vms: &[String],
    calls: &[PlannedCall],
    workload: &Section,
) -> Vec<CallResult> {
    let addresses: Vec<SocketAddr> = vms.iter().map(|name| deployment.caller_address(name)).collect();
    let callers: BTreeMap<String, Caller> = calls
        .iter()
        .map(|call| (call.account.clone(), Caller::new(&format!("key-{}", call.account))))
        .collect();
    let (tokens, deadline) =
        (number(workload, "tokens") as u32, integer(workload, "deadline_ms").to_string());
    let started_at = tokio::time::Instant::now() + Duration::from_millis(100);
    let mut tasks = tokio::task::JoinSet::new();
    for call in calls.iter().cloned() {
        let (caller, address, deadline) =
            (callers[&call.account].clone(), addresses[call.vm], deadline.clone());
        tasks.spawn(async move {
            tokio::time::sleep_until(started_at + call.send_offset).await;
            let headers = [("spanfold-deadline-ms", deadline.as_str())];
            let answer = caller.complete(address, "visa-7b", &call.prompt, tokens, &headers).await;
            let requested_tokens = (call.prompt.len() / BYTES_PER_TOKEN) as u64 + u64::from(tokens);
            match answer {
                Ok(answer) => CallResult {
                    account: call.account,
                    code: answer.code(),
                    status: answer.status,
                    first_millis: answer.first_event_after.as_secs_f64() * 1e3,
                    usage: ["cached", "imported", "computed"].map(|source| answer.usage(source)),
                    requested_tokens,
                    served_tokens: if answer.status == 200 { requested_tokens } else { 0 },
                },
                Err(_) => CallResult {
                    account: call.account,
                    code: "broken".to_owned(),
                    status: 0,
                    first_millis: 0.0,
                    usage: [0; 3],
                    requested_tokens,
                    served_tokens: 0,
                },
            }
        });
    }
    tasks.join_all().await
}

fn percentile(sorted: &[f64], fraction: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[((sorted.len() - 1) as f64 * fraction).round() as usize]
}

fn summary(results: &[&CallResult]) -> Value {
    let good: Vec<_> = results.iter().filter(|result| result.status == 200).collect();
    let mut first: Vec<f64> = good.iter().map(|result| result.first_millis).collect();
    first.sort_by(f64::total_cmp);
    let sum = |index: usize| good.iter().map(|result| result.usage[index]).sum::<u64>();
    let (cached, imported, computed) = (sum(0), sum(1), sum(2));
    let total = (cached + imported + computed).max(1);
    json!({
        "calls": results.len(),
        "served": good.len(),
        "refused": results.iter().filter(|r| matches!(r.status, 429 | 503)).count(),
        "failed": results.iter().filter(|r| !matches!(r.status, 200 | 429 | 503)).count(),
        "p50": percentile(&first, 0.50),
        "p95": percentile(&first, 0.95),
        "p99": percentile(&first, 0.99),
        "recomputed": computed as f64 / total as f64,
        "imported": imported as f64 / total as f64,
    })
}

/// Returns each account's served tokens as a share of its due, and the minimum of all accounts.
///
/// The due of an account is its promised percentage of all served tokens, at most what it requested.
fn min_share(results: &[CallResult], promises: &[(String, f64)]) -> (f64, BTreeMap<String, f64>) {
    let total_served: u64 = results.iter().map(|result| result.served_tokens).sum();
    let mut shares = BTreeMap::new();
    for (account, percent) in promises {
        let account_results = || results.iter().filter(|result| result.account == *account);
        let (requested_tokens, served_tokens): (u64, u64) = (
            account_results().map(|r| r.requested_tokens).sum(),
            account_results().map(|r| r.served_tokens).sum(),
        );
        let due_tokens = (total_served as f64 * percent / 100.0).min(requested_tokens as f64);
        shares
            .insert(account.clone(), if due_tokens > 0.0 { served_tokens as f64 / due_tokens } else { 1.0 });
    }
    (shares.values().copied().fold(f64::MAX, f64::min), shares)
}

async fn run_variant(
    fleet: &Section,
    workload: &Section,
    calls: &[PlannedCall],
    variant: &str,
    by_account: bool,
) -> Value {
    let plan = deployment_plan(fleet, variant);
    let vms: Vec<String> = plan.vms.iter().map(|(name, _)| name.clone()).collect();
    let promises = plan.accounts.clone();
    let deployment = Deployment::start(plan).await.expect("the deployment starts");
    let started_at = std::time::Instant::now();
    let results = run_calls(&deployment, &vms, calls, workload).await;
    let elapsed = started_at.elapsed().as_secs_f64();
    let all: Vec<&CallResult> = results.iter().collect();
    let mut row = summary(&all);
    let mut codes: BTreeMap<&str, u32> = BTreeMap::new();
    for result in results.iter().filter(|result| result.status != 200) {
        *codes.entry(result.code.as_str()).or_default() += 1;
    }
    row["codes"] = json!(codes);
    let (min_share, shares) = min_share(&results, &promises);
    let link_micros: u64 = deployment.stores.values().map(|store| store.link_use().1).sum();
    let link_count = deployment.stores.len().max(1) as f64;
    row["least_share"] = json!(min_share);
    row["link_use"] = json!(link_micros as f64 / 1e6 / elapsed / link_count);
    row["seconds"] = json!(elapsed);
    if by_account {
        let rows: serde_json::Map<String, Value> = promises
            .iter()
            .map(|(account, percent)| {
                let account_results: Vec<&CallResult> =
                    results.iter().filter(|result| result.account == *account).collect();
                let mut row = summary(&account_results);
                row["promise"] = json!(percent);
                row["share"] = json!(shares[account]);
                (account.clone(), row)
            })
            .collect();
        row["accounts"] = Value::Object(rows);
    }
    row
}

fn print_row(name: &str, row: &Value) {
    let field = |key: &str| row[key].as_f64().unwrap_or(f64::NAN);
    println!(
        "{name:<14} {:>5} {:>6} {:>7} {:>6} {:>8.0} {:>8.0} {:>8.0} {:>9.3} {:>8.3} {:>8.2} {:>8.2}",
        field("calls"),
        field("served"),
        field("refused"),
        field("failed"),
        field("p50"),
        field("p95"),
        field("p99"),
        field("recomputed"),
        field("imported"),
        field("link_use"),
        if row["least_share"].is_null() { field("share") } else { field("least_share") },
    );
    if row["codes"].as_object().is_some_and(|codes| !codes.is_empty()) {
        println!("    not served: {}", row["codes"]);
    }
}

fn print_head() {
    println!(
        "{:<14} {:>5} {:>6} {:>7} {:>6} {:>8} {:>8} {:>8} {:>9} {:>8} {:>8} {:>8}",
        "variant",
        "calls",
        "served",
        "refused",
        "failed",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "recomputed",
        "imported",
        "link",
        "share"
    );
}

fn min_median_max(rows: &[Value], key: &str) -> (f64, f64, f64) {
    let mut values: Vec<f64> = rows.iter().filter_map(|row| row[key].as_f64()).collect();
    values.sort_by(f64::total_cmp);
    (percentile(&values, 0.0), percentile(&values, 0.5), percentile(&values, 1.0))
}

#[tokio::main]
async fn main() {
    let options = read_options();
    let text = std::fs::read_to_string(&options.file).expect("the workload file is there");
    let document = Document::parse(&options.file, &text).expect("the workload file parses");
    let fleet = document.sections.iter().find(|section| section.kind == "fleet").expect("[fleet] is there");
    let mut report = serde_json::Map::new();
    for workload in document.sections.iter().filter(|section| section.kind == "workload") {
        if options.workload.as_ref().is_some_and(|name| *name != workload.name) {
            continue;
        }
        let vms = integer(fleet, "data_centres") * integer(fleet, "vms");
        let calls = plan_calls(fleet, workload, vms);
        println!(
            "\n{}: {} calls, bound on the recomputed share {:.3}",
            workload.name,
            calls.len(),
            min_recomputed_fraction(&calls)
        );
        print_head();
        let mut rows: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        for _ in 0..options.runs {
            for variant in &options.variants {
                let row = run_variant(fleet, workload, &calls, variant, options.accounts).await;
                print_row(variant, &row);
                for (account, row) in row["accounts"].as_object().into_iter().flatten() {
                    print_row(&format!("  {account}"), row);
                }
                rows.entry(variant.clone()).or_default().push(row);
            }
        }
        println!("least, median, greatest of {} runs:", options.runs);
        for (variant, rows) in &rows {
            let line: Vec<String> = ["p50", "p95", "recomputed", "served", "least_share"]
                .iter()
                .map(|key| {
                    let (min, middle, max) = min_median_max(rows, key);
                    format!("{key} {min:.2} {middle:.2} {max:.2}")
                })
                .collect();
            println!("  {variant:<13} {}", line.join(", "));
        }
        report.insert(
            workload.name.clone(),
            json!({ "bound": min_recomputed_fraction(&calls), "variants": rows }),
        );
    }
    if let Some(file) = options.json {
        std::fs::write(file, Value::Object(report).to_string()).expect("the report is written");
    }
}
