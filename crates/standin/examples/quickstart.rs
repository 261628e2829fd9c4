//! Serves a returning prompt with the default deployment: a platform, two engines, a store and one daemon.
//!
//! Sends a long prompt, and sends it again after its blocks have left accelerator memory. Prints the time
//! to first token and the recomputed share of both. Then keeps running, unless `--once` is given.

use spanfold_standin::{Answer, Caller, Deployment, DeploymentPlan, EngineRates};
use std::time::Duration;

const RULE_SHEET: &str = include_str!("../../../examples/rule-sheet.md");
const MODEL: &str = "visa-7b";

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let keep_running = !std::env::args().any(|argument| argument == "--once");
    let mut plan = DeploymentPlan::default();
    for engine in &mut plan.engines {
        engine.rates = EngineRates {
            prefill_micros: 200,
            decode_micros: 10_000,
            memory_blocks: 24,
            ..EngineRates::default()
        };
    }
    let deployment = Deployment::start(plan).await?;
    let address = deployment.caller_address("vm-a1");
    let caller = Caller::new("key-large");
    println!("one VM at {address}, two engines, one store");
    let prompt = format!("{RULE_SHEET}\nQuestion: which documents does the student desk ask for?");
    let first = send_prompt(&caller, address, &prompt).await?;
    print_answer("first time", &first);
    wait_until_stored(&deployment).await;
    // Between both requests other prompts displace this one in the memory of both engines.
    for number in 0..8 {
        send_prompt(&caller, address, &format!("{number}\n{RULE_SHEET}")).await?;
    }
    for engine in deployment.engines.values() {
        engine.evict_all(false);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let second = send_prompt(&caller, address, &prompt).await?;
    print_answer("returning ", &second);
    println!("same answer: {}", first.text == second.text);
    if keep_running {
        println!(
            "\ntry:\ncurl -N http://{address}/v1/completions -H 'Authorization: Bearer key-small' \\\n  \
             -d '{{\"model\":\"{MODEL}\",\"prompt\":\"Which form?\",\"max_tokens\":8,\"stream\":true}}'\n\
             operators: http://{}/status   (Ctrl-C ends it)",
            deployment.operator_address("vm-a1")
        );
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn send_prompt(
    caller: &Caller,
    address: std::net::SocketAddr,
    prompt: &str,
) -> std::io::Result<Answer> {
    caller
        .complete(address, MODEL, prompt, 16, &[])
        .await
        .map_err(|error| std::io::Error::other(format!("{error:?}")))
}

async fn wait_until_stored(deployment: &Deployment) {
    for _ in 0..100 {
        if deployment.stores["store-a"].block_count() >= RULE_SHEET.len() / spanfold_standin::BLOCK_BYTES {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn print_answer(name: &str, answer: &Answer) {
    let token_counts = ["cached", "imported", "computed"].map(|field| answer.usage(field));
    let total: u64 = token_counts.iter().sum::<u64>().max(1);
    println!(
        "{name}: first token after {:>6.1} ms, recomputed {:>5.1}% of {total} prompt tokens (imported {})",
        answer.first_event_after.as_secs_f64() * 1e3,
        token_counts[2] as f64 * 100.0 / total as f64,
        token_counts[1],
    );
}
