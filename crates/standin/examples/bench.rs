//! The bench: real daemons and stand-ins in one process, variants interleaved.
//!
//! `cargo bench-fleet [FILE] [--runs N] [--workload NAME] [--variant NAME] [--json FILE]`
//!
//! The same workload and seed for each variant. Prints for each variant and, with `--accounts`,
//! for each client account: time to first token, recomputed share, link use, refusals, and tokens
//! served against the promise.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use spanfold_declare::{Document, Section};
use spanfold_standin::{Caller, Deployment, DeploymentPlan, EnginePlan, EngineRates, PIECE_BYTES, StorePlan};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const VARIANTS: [&str; 4] = ["round-robin", "least-loaded", "affinity", "spanfold"];
const TOKEN_BYTES: usize = 4;

/// One request of a workload.
#[derive(Clone)]
struct PlannedCall {
    account: String,
    prompt: String,
    at: Duration,
    vm: usize,
}

/// What became of one request.
struct CallResult {
    account: String,
    code: String,
    status: u16,
    first_millis: f64,
    usage: [u64; 3],
    asked: u64,
    got: u64,
}

struct Options {
    file: String,
    runs: usize,
    workload: Option<String>,
    variants: Vec<String>,
    json: Option<String>,
    accounts: bool,
}

fn read_options() -> Options {
    let mut options = Options {
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

/// A number that is zero if it is not set.
fn optional(section: &Section, key: &str) -> f64 {
    section.value(key).and_then(|text| text.parse().ok()).unwrap_or(0.0)
}

fn whole(section: &Section, key: &str) -> usize {
    number(section, key) as usize
}

fn accounts(fleet: &Section) -> Vec<(String, f64)> {
    let large =
        (0..whole(fleet, "large_accounts")).map(|n| (format!("large-{n}"), number(fleet, "large_percent")));
    let small =
        (0..whole(fleet, "small_accounts")).map(|n| (format!("small-{n}"), number(fleet, "small_percent")));
    large.chain(small).collect()
}

fn deployment_plan(fleet: &Section, variant: &str) -> DeploymentPlan {
    let rates = EngineRates {
        prefill_micros: number(fleet, "prefill_us") as u64,
        decode_micros: number(fleet, "decode_us") as u64,
        memory_pieces: whole(fleet, "memory_pieces"),
        slots: number(fleet, "slots") as u32,
        event_lag_millis: 100,
    };
    let centres: Vec<String> = (0..whole(fleet, "data_centres")).map(|n| format!("dc-{n}")).collect();
    let each = |kind: &str, count: usize| -> Vec<(String, String)> {
        let names = |centre: &String| -> Vec<_> {
            (0..count).map(|n| (format!("{kind}-{centre}-{n}"), centre.clone())).collect()
        };
        centres.iter().flat_map(names).collect()
    };
    DeploymentPlan {
        vms: each("vm", whole(fleet, "vms")),
        engines: each("engine", whole(fleet, "engines"))
            .into_iter()
            .map(|(name, data_centre)| EnginePlan { name, data_centre, rates, fenced: true })
            .collect(),
        // Stores stand in one data centre and serve all.
        stores: (0..whole(fleet, "stores"))
            .map(|n| StorePlan {
                name: format!("store-{n}"),
                data_centre: "stores".to_owned(),
                room: whole(fleet, "room"),
                transfer_micros: number(fleet, "transfer_us") as u64,
            })
            .collect(),
        services: each("desk", whole(fleet, "services")),
        accounts: accounts(fleet),
        declarations: centres
            .iter()
            .map(|centre| format!("[data-centre {centre}]\nregion = north\n"))
            .collect(),
        settings: BTreeMap::from([("policy".to_owned(), format!("variant = {variant}\n"))]),
        ..DeploymentPlan::default()
    }
}

fn text_of(seed: &str, bytes: usize) -> String {
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
    let mut calls: Vec<PlannedCall> = (0..whole(workload, "requests"))
        .map(|call| {
            let group = if random.random_bool(number(workload, "large_part")) { &large } else { &small };
            let choices = match optional(workload, "only_small") as usize {
                0 => group.len(),
                few => few,
            };
            let account = group[random.random_range(0..choices)].0.clone();
            let document = random.random_range(0..whole(workload, "documents"));
            let manual =
                text_of(&format!("{account} manual {document}"), whole(workload, "pieces") * PIECE_BYTES);
            let tail = text_of(&format!("question {call}"), whole(workload, "tail_bytes"));
            let at = Duration::from_secs_f64(random.random_range(0.0..seconds));
            PlannedCall { account, prompt: manual + &tail, at, vm: random.random_range(0..vms) }
        })
        .collect();
    // A flood of the first large account: each prompt is its own and never returns.
    for call in 0..optional(workload, "flood") as usize {
        let prompt = text_of(&format!("flood {call}"), whole(workload, "pieces") * 3 * PIECE_BYTES);
        let at = Duration::from_secs_f64(random.random_range(0.0..seconds));
        calls.push(PlannedCall {
            account: "large-0".to_owned(),
            prompt,
            at,
            vm: random.random_range(0..vms),
        });
    }
    calls.sort_by_key(|call| call.at);
    calls
}

/// The part of prompt tokens that must be computed if each distinct piece is computed once.
fn bound(calls: &[PlannedCall]) -> f64 {
    let (mut seen, mut computed, mut total) = (HashSet::new(), 0, 0);
    for call in calls {
        let bytes = call.prompt.as_bytes();
        for end in (0..bytes.len()).step_by(PIECE_BYTES) {
            let end = (end + PIECE_BYTES).min(bytes.len());
            let mut hasher = blake3::Hasher::new();
            hasher.update(call.account.as_bytes()).update(&[0]).update(&bytes[..end]);
            let length = if end % PIECE_BYTES == 0 { PIECE_BYTES } else { end % PIECE_BYTES };
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
    let addresses: Vec<SocketAddr> = vms.iter().map(|name| deployment.callers(name)).collect();
    let callers: BTreeMap<String, Caller> = calls
        .iter()
        .map(|call| (call.account.clone(), Caller::new(&format!("key-{}", call.account))))
        .collect();
    let (tokens, deadline) = (number(workload, "tokens") as u32, whole(workload, "deadline_ms").to_string());
    let begin = tokio::time::Instant::now() + Duration::from_millis(100);
    let mut tasks = tokio::task::JoinSet::new();
    for call in calls.iter().cloned() {
        let (caller, to, deadline) = (callers[&call.account].clone(), addresses[call.vm], deadline.clone());
        tasks.spawn(async move {
            tokio::time::sleep_until(begin + call.at).await;
            let headers = [("spanfold-deadline-ms", deadline.as_str())];
            let answer = caller.complete(to, "visa-7b", &call.prompt, tokens, &headers).await;
            let asked = (call.prompt.len() / TOKEN_BYTES) as u64 + u64::from(tokens);
            match answer {
                Ok(answer) => CallResult {
                    account: call.account,
                    code: answer.code(),
                    status: answer.status,
                    first_millis: answer.first.as_secs_f64() * 1e3,
                    usage: ["cached", "imported", "computed"].map(|part| answer.usage(part)),
                    asked,
                    got: if answer.status == 200 { asked } else { 0 },
                },
                Err(_) => CallResult {
                    account: call.account,
                    code: "broken".to_owned(),
                    status: 0,
                    first_millis: 0.0,
                    usage: [0; 3],
                    asked,
                    got: 0,
                },
            }
        });
    }
    tasks.join_all().await
}

fn percentile(sorted: &[f64], part: f64) -> f64 {
    if sorted.is_empty() {
        return f64::NAN;
    }
    sorted[((sorted.len() - 1) as f64 * part).round() as usize]
}

fn summary(results: &[&CallResult]) -> Value {
    let good: Vec<_> = results.iter().filter(|result| result.status == 200).collect();
    let mut first: Vec<f64> = good.iter().map(|result| result.first_millis).collect();
    first.sort_by(f64::total_cmp);
    let sum = |place: usize| good.iter().map(|result| result.usage[place]).sum::<u64>();
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

/// Tokens that each account got, over what it was promised of all that was given out or, if that
/// is less, what it asked for; the least over all accounts.
fn least_share(results: &[CallResult], promises: &[(String, f64)]) -> (f64, BTreeMap<String, f64>) {
    let given: u64 = results.iter().map(|result| result.got).sum();
    let mut shares = BTreeMap::new();
    for (account, percent) in promises {
        let own = || results.iter().filter(|result| result.account == *account);
        let (asked, got): (u64, u64) = (own().map(|r| r.asked).sum(), own().map(|r| r.got).sum());
        let due = (given as f64 * percent / 100.0).min(asked as f64);
        shares.insert(account.clone(), if due > 0.0 { got as f64 / due } else { 1.0 });
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
    let begun = std::time::Instant::now();
    let results = run_calls(&deployment, &vms, calls, workload).await;
    let elapsed = begun.elapsed().as_secs_f64();
    let all: Vec<&CallResult> = results.iter().collect();
    let mut row = summary(&all);
    let mut codes: BTreeMap<&str, u32> = BTreeMap::new();
    for result in results.iter().filter(|result| result.status != 200) {
        *codes.entry(result.code.as_str()).or_default() += 1;
    }
    row["codes"] = json!(codes);
    let (least, shares) = least_share(&results, &promises);
    let link: u64 = deployment.stores.values().map(|store| store.link_use().1).sum();
    let links = deployment.stores.len().max(1) as f64;
    row["least_share"] = json!(least);
    row["link_use"] = json!(link as f64 / 1e6 / elapsed / links);
    row["seconds"] = json!(elapsed);
    if by_account {
        let rows: serde_json::Map<String, Value> = promises
            .iter()
            .map(|(account, percent)| {
                let own: Vec<&CallResult> =
                    results.iter().filter(|result| result.account == *account).collect();
                let mut row = summary(&own);
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
    let f = |key: &str| row[key].as_f64().unwrap_or(f64::NAN);
    println!(
        "{name:<14} {:>5} {:>6} {:>7} {:>6} {:>8.0} {:>8.0} {:>8.0} {:>9.3} {:>8.3} {:>8.2} {:>8.2}",
        f("calls"),
        f("served"),
        f("refused"),
        f("failed"),
        f("p50"),
        f("p95"),
        f("p99"),
        f("recomputed"),
        f("imported"),
        f("link_use"),
        if row["least_share"].is_null() { f("share") } else { f("least_share") },
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

fn median(rows: &[Value], key: &str) -> (f64, f64, f64) {
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
        let vms = whole(fleet, "data_centres") * whole(fleet, "vms");
        let calls = plan_calls(fleet, workload, vms);
        println!(
            "\n{}: {} calls, bound on the recomputed share {:.3}",
            workload.name,
            calls.len(),
            bound(&calls)
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
                    let (least, middle, most) = median(rows, key);
                    format!("{key} {least:.2} {middle:.2} {most:.2}")
                })
                .collect();
            println!("  {variant:<13} {}", line.join(", "));
        }
        report.insert(workload.name.clone(), json!({ "bound": bound(&calls), "variants": rows }));
    }
    if let Some(file) = options.json {
        std::fs::write(file, Value::Object(report).to_string()).expect("the report is written");
    }
}
