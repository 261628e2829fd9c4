//! The main job on an embedded default: a platform, two engines, a store and one daemon.
//!
//! A long prompt is sent, and sent again after its blocks have left accelerator memory. Both
//! times to first token and the recomputed shares are printed. Then everything stays up.

use spanfold_standin::{Answer, Caller, Deployment, DeploymentPlan, EngineRates};
use std::time::Duration;

const RULE_SHEET: &str = include_str!("../../../examples/rule-sheet.md");
const MODEL: &str = "visa-7b";

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let stay = !std::env::args().any(|argument| argument == "--once");
    let mut plan = DeploymentPlan::default();
    for engine in &mut plan.engines {
        engine.rates = EngineRates {
            prefill_micros: 200,
            decode_micros: 10_000,
            memory_pieces: 24,
            ..EngineRates::default()
        };
    }
    let deployment = Deployment::start(plan).await?;
    let to = deployment.callers("vm-a1");
    let caller = Caller::new("key-large");
    println!("one VM at {to}, two engines, one store");
    let prompt = format!("{RULE_SHEET}\nQuestion: which documents does the student desk ask for?");
    let first = ask(&caller, to, &prompt).await?;
    report("first time", &first);
    wait_until_kept(&deployment).await;
    // The gap: other prompts push this one out of both engines' memory.
    for number in 0..8 {
        ask(&caller, to, &format!("{number}\n{RULE_SHEET}")).await?;
    }
    for engine in deployment.engines.values() {
        engine.forget(false);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let second = ask(&caller, to, &prompt).await?;
    report("returning ", &second);
    println!("same answer: {}", first.text == second.text);
    if stay {
        println!(
            "\ntry:\ncurl -N http://{to}/v1/completions -H 'Authorization: Bearer key-small' \\\n  \
             -d '{{\"model\":\"{MODEL}\",\"prompt\":\"Which form?\",\"max_tokens\":8,\"stream\":true}}'\n\
             operators: http://{}/status   (Ctrl-C ends it)",
            deployment.operators("vm-a1")
        );
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn ask(caller: &Caller, to: std::net::SocketAddr, prompt: &str) -> std::io::Result<Answer> {
    caller
        .complete(to, MODEL, prompt, 16, &[])
        .await
        .map_err(|error| std::io::Error::other(format!("{error:?}")))
}

async fn wait_until_kept(deployment: &Deployment) {
    for _ in 0..100 {
        if deployment.stores["store-a"].block_count() >= RULE_SHEET.len() / spanfold_standin::PIECE_BYTES {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn report(name: &str, answer: &Answer) {
    let parts = ["cached", "imported", "computed"].map(|part| answer.usage(part));
    let total: u64 = parts.iter().sum::<u64>().max(1);
    println!(
        "{name}: first token after {:>6.1} ms, recomputed {:>5.1}% of {total} prompt tokens (imported {})",
        answer.first.as_secs_f64() * 1e3,
        parts[2] as f64 * 100.0 / total as f64,
        parts[1],
    );
}
