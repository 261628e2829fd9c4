//! Commands that check and change declarations, and the replay of recorded sessions.

use crate::client::query_vms;
use crate::outcome::{
    CommandOutcome, EXIT_CONFLICT, EXIT_FINDINGS, EXIT_NOT_IN_FORCE, EXIT_UNREACHABLE, EXIT_WRONG_USE,
};
use spanfold_declare::{Bundle, Declarations, Document, Findings, Labels, changed_sections};
use spanfold_keyvalue::{
    AcceptError, ConfigurationHead, KeyValueClient, PlatformError, accept_bundle, read_bundle,
};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Attempts to change one section while other changes are accepted first.
const MAX_ATTEMPTS: usize = 5;
/// Interval between checks whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn read_files(files: &[PathBuf]) -> Result<Document, CommandOutcome> {
    let mut documents = Vec::new();
    let mut findings = Findings::default();
    for file in files {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(file)
            .map_err(|error| CommandOutcome::failure(EXIT_WRONG_USE, format!("{name}: {error}")))?;
        match Document::parse(&name, &text) {
            Ok(document) => documents.push(document),
            Err(file_findings) => findings.0.extend(file_findings.0),
        }
    }
    if !findings.0.is_empty() {
        return Err(CommandOutcome::failure(EXIT_FINDINGS, findings.to_string()));
    }
    let document = Document::join(documents)
        .map_err(|findings| CommandOutcome::failure(EXIT_FINDINGS, findings.to_string()))?;
    Declarations::check(&document)
        .map_err(|findings| CommandOutcome::failure(EXIT_FINDINGS, findings.to_string()))?;
    Ok(document)
}

/// Runs `spanfold check`.
pub(crate) fn check(files: &[PathBuf]) -> CommandOutcome {
    match read_files(files) {
        Ok(document) => CommandOutcome::success(format!("{} sections, no findings", document.sections.len())),
        Err(outcome) => outcome,
    }
}

/// Runs `spanfold replay`.
pub(crate) fn replay_session(file: &Path) -> CommandOutcome {
    // Linking the policy crate registers the plug-ins.
    let plugins = spanfold_policy::plugin_names().len();
    let name = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => return CommandOutcome::failure(EXIT_WRONG_USE, format!("{name}: {error}")),
    };
    match spanfold_kernel::replay(&text) {
        Err(error) => CommandOutcome::failure(EXIT_WRONG_USE, format!("{name}: {error}")),
        Ok(replayed) if replayed == text => CommandOutcome::success(format!(
            "{} lines, {plugins} plug-ins, the same effects",
            text.lines().count()
        )),
        Ok(replayed) => {
            let line_index =
                text.lines().zip(replayed.lines()).position(|(old, new)| old != new).unwrap_or(0);
            let line = |text: &str| text.lines().nth(line_index).unwrap_or("(end)").to_owned();
            let report = format!("line {}:\n< {}\n> {}", line_index + 1, line(&text), line(&replayed));
            CommandOutcome::failure(EXIT_FINDINGS, report)
        }
    }
}

fn platform_failure(error: &PlatformError) -> CommandOutcome {
    CommandOutcome::failure(EXIT_UNREACHABLE, error.to_string())
}

async fn read_accepted_document(
    client: &KeyValueClient,
) -> Result<(ConfigurationHead, Document), CommandOutcome> {
    let (head, _) = ConfigurationHead::read(client).await.map_err(|error| platform_failure(&error))?;
    let texts = read_bundle(client, &head.digests).await.map_err(|error| platform_failure(&error))?;
    let mut bundle = Bundle { digests: head.digests.clone(), ..Bundle::default() };
    for text in texts {
        bundle.chunks.insert(spanfold_declare::chunk_digest(&text), text);
    }
    let document =
        bundle.join().map_err(|error| CommandOutcome::failure(EXIT_UNREACHABLE, error.to_string()))?;
    Ok((head, document))
}

/// Runs `spanfold show`.
pub(crate) async fn show(platform: SocketAddr) -> CommandOutcome {
    match read_accepted_document(&KeyValueClient::new(platform)).await {
        Ok((head, document)) => CommandOutcome::success(format!(
            "; generation {} by {}\n{document}",
            head.generation, head.author
        )),
        Err(outcome) => outcome,
    }
}

/// Runs `spanfold diff`.
pub(crate) async fn diff(platform: SocketAddr, files: &[PathBuf]) -> CommandOutcome {
    let new = match read_files(files) {
        Ok(document) => document,
        Err(outcome) => return outcome,
    };
    let (head, old) = match read_accepted_document(&KeyValueClient::new(platform)).await {
        Ok(accepted) => accepted,
        Err(outcome) => return outcome,
    };
    let changes = changed_sections(&old, &new);
    let mut text = format!("against generation {} by {}\n", head.generation, head.author);
    for (sign, header) in &changes {
        let _ = writeln!(text, "{sign} [{header}]");
    }
    if changes.is_empty() {
        CommandOutcome::success(text + "no differences")
    } else {
        CommandOutcome::failure(EXIT_FINDINGS, text)
    }
}

/// Runs `spanfold apply`.
pub(crate) async fn apply(
    platform: SocketAddr,
    expect: Option<u64>,
    author: &str,
    wait: Option<u64>,
    vms: &[SocketAddr],
    files: &[PathBuf],
) -> CommandOutcome {
    let document = match read_files(files) {
        Ok(document) => document,
        Err(outcome) => return outcome,
    };
    let client = KeyValueClient::new(platform);
    let expected = match expect {
        Some(expected) => expected,
        None => match ConfigurationHead::read(&client).await {
            Ok((head, _)) => head.generation,
            Err(error) => return platform_failure(&error),
        },
    };
    if let Some(refusal) = refuse_outdated_platform(expected, vms).await {
        return refusal;
    }
    match accept(&client, &document, expected, author).await {
        Ok(head) => match wait {
            Some(seconds) => wait_until_in_force(head.generation, seconds, vms).await,
            None => CommandOutcome::success(format!("generation {} accepted", head.generation)),
        },
        Err(error) => accept_failure(&error),
    }
}

/// Refuses a change if a VM has a newer generation in force than the platform's store contains.
///
/// The platform has then lost changes, so no change is based on its declarations.
async fn refuse_outdated_platform(expected: u64, vms: &[SocketAddr]) -> Option<CommandOutcome> {
    for (vm, answer) in query_vms(vms, "/status").await {
        let generation = answer.ok()?["generation"].as_u64().unwrap_or(0);
        if generation > expected {
            let text =
                format!("{vm} has generation {generation} in force, newer than {expected}: try again later");
            return Some(CommandOutcome::failure(EXIT_CONFLICT, text));
        }
    }
    None
}

async fn accept(
    client: &KeyValueClient,
    document: &Document,
    expected: u64,
    author: &str,
) -> Result<ConfigurationHead, AcceptError> {
    let bundle = Bundle::split(document);
    let nonce = format!("{:032x}", rand::random::<u128>());
    accept_bundle(client, expected, &bundle.digests, &bundle.chunks, author, &nonce).await
}

fn accept_failure(error: &AcceptError) -> CommandOutcome {
    let code = if matches!(error, AcceptError::Conflict { .. }) { EXIT_CONFLICT } else { EXIT_UNREACHABLE };
    CommandOutcome::failure(code, error.to_string())
}

async fn wait_until_in_force(generation: u64, seconds: u64, vms: &[SocketAddr]) -> CommandOutcome {
    let started_at = Instant::now();
    let mut text = format!("generation {generation} accepted\n");
    let mut pending_vms: Vec<SocketAddr> = vms.to_vec();
    while !pending_vms.is_empty() && started_at.elapsed() < Duration::from_secs(seconds) {
        let mut still_pending = Vec::new();
        for (vm, answer) in query_vms(&pending_vms, "/status").await {
            match answer {
                Ok(status) if status["generation"].as_u64().unwrap_or(0) >= generation => {
                    let centre = status["data_centre"].as_str().unwrap_or_default();
                    let millis = started_at.elapsed().as_millis();
                    let _ = writeln!(text, "in force at {vm} in {centre} after {millis} ms");
                }
                _ => still_pending.push(vm),
            }
        }
        pending_vms = still_pending;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if pending_vms.is_empty() {
        return CommandOutcome::success(text);
    }
    let names: Vec<String> = pending_vms.iter().map(ToString::to_string).collect();
    CommandOutcome::failure(EXIT_NOT_IN_FORCE, format!("{text}not in force at {}", names.join(", ")))
}

/// Applies `change` to the accepted declarations; retries if another change is accepted first.
async fn change(
    platform: SocketAddr,
    author: &str,
    change: impl Fn(&mut Document) -> Result<(), String>,
) -> CommandOutcome {
    let client = KeyValueClient::new(platform);
    for _ in 0..MAX_ATTEMPTS {
        let (head, mut document) = match read_accepted_document(&client).await {
            Ok(accepted) => accepted,
            Err(outcome) => return outcome,
        };
        if let Err(cause) = change(&mut document) {
            return CommandOutcome::failure(EXIT_WRONG_USE, cause);
        }
        if let Err(findings) = Declarations::check(&document) {
            return CommandOutcome::failure(EXIT_FINDINGS, findings.to_string());
        }
        match accept(&client, &document, head.generation, author).await {
            Ok(head) => return CommandOutcome::success(format!("generation {} accepted", head.generation)),
            Err(AcceptError::Conflict { .. }) => {}
            Err(error) => return accept_failure(&error),
        }
    }
    CommandOutcome::failure(EXIT_CONFLICT, format!("lost the race {MAX_ATTEMPTS} times"))
}

/// Runs `spanfold label`.
pub(crate) async fn label(
    platform: SocketAddr,
    author: &str,
    kind: &str,
    name: &str,
    labels: &[String],
) -> CommandOutcome {
    change(platform, author, |document| {
        let section =
            document.section_mut(kind, name).ok_or_else(|| format!("there is no [{kind} {name}]"))?;
        let mut current_labels = Labels::parse(section.value("labels").unwrap_or_default())?;
        for label in labels {
            match (label.split_once('='), label.strip_suffix('-')) {
                (Some((key, value)), _) => current_labels.set(key, Some(value)),
                (None, Some(key)) => current_labels.set(key, None),
                (None, None) => return Err(format!("`{label}` is neither `key=value` nor `key-`")),
            }
        }
        section.set("labels", &current_labels.to_string());
        Ok(())
    })
    .await
}

/// Runs `spanfold drain`.
pub(crate) async fn drain(platform: SocketAddr, author: &str, undo: bool, endpoint: &str) -> CommandOutcome {
    change(platform, author, |document| {
        let section = document
            .section_mut("endpoint", endpoint)
            .ok_or_else(|| format!("there is no [endpoint {endpoint}]"))?;
        section.set("draining", if undo { "no" } else { "yes" });
        Ok(())
    })
    .await
}
