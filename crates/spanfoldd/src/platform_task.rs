//! Tasks that speak with the platform.
//!
//! Invariant: an unanswered write is reported as unknown, never as failed; the kernel decides
//! what follows from that.

use crate::shared::SharedState;
use spanfold_declare::{Catalogue, Declarations, Document};
use spanfold_kernel::{CreateReply, Event, ListedVm, LogEntry, VmRole, VmState};
use spanfold_keyvalue::{
    ConfigurationHead, HEAD_KEY, PlatformError, PlatformVm, SwapOutcome, chunk_key, read_bundle,
};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Period of reading the VM list.
const LIST_PERIOD: Duration = Duration::from_secs(1);
/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(300);
/// A watch is made anew after this long, in case it has silently died.
const WATCH_LIFE: Duration = Duration::from_secs(20);
/// Entries of one page of a claim log.
const LOG_PAGE: u32 = 64;

/// Reads the VM list again and again.
pub(crate) async fn follow_vm_list(shared: Arc<SharedState>) {
    loop {
        match shared.vm_list.read().await {
            Ok(rows) => {
                let vms: Vec<ListedVm> = rows.iter().filter_map(listed_vm).collect();
                note_addresses(&shared, &vms);
                shared.raise_surely(Event::Listed { vms }).await;
            }
            Err(error) => log::warn!(error:% = error; "vm_list.unread"),
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

/// Addresses are kept while a VM is listed; a VM that left the list may still finish its streams.
fn note_addresses(shared: &SharedState, vms: &[ListedVm]) {
    let mut addresses = shared.vm_addresses.write().unwrap_or_else(PoisonError::into_inner);
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
        if let Ok(address) = vm.address.parse() {
            addresses.insert(vm.name.clone(), address);
        }
    }
    let listed = |name: &str| vms.iter().any(|vm| vm.name == name);
    addresses.retain(|name, _| listed(name));
    drop(addresses);
    shared.peers.retain(listed);
}

fn listed_vm(row: &PlatformVm) -> Option<ListedVm> {
    let role = match row.role.as_str() {
        "entry" => VmRole::Entry,
        "endpoint" => VmRole::Endpoint,
        _ => return None,
    };
    let state = if row.state == "leaving" { VmState::Leaving } else { VmState::Live };
    Some(ListedVm {
        name: row.name.clone(),
        role,
        address: row.address.clone(),
        data_centre: row.data_centre.clone(),
        state,
    })
}

/// Holds the data centre's watch on the head record while the kernel says so.
pub(crate) async fn follow_head(shared: Arc<SharedState>) {
    let mut watching = shared.watching.subscribe();
    loop {
        if !*watching.borrow_and_update() {
            if watching.changed().await.is_err() {
                return;
            }
            continue;
        }
        match ConfigurationHead::read(&shared.key_value).await {
            Ok((head, revision)) => {
                if head.generation > 0 || shared.catalogue().0 > 0 {
                    let event = Event::HeadRead { generation: head.generation, digests: head.digests };
                    shared.raise_surely(event).await;
                }
                let change = shared.key_value.wait_for_change(HEAD_KEY, revision);
                tokio::select! {
                    result = tokio::time::timeout(WATCH_LIFE, change) => {
                        if matches!(result, Ok(Err(_))) {
                            tokio::time::sleep(PAUSE).await;
                        }
                    }
                    _ = watching.changed() => {}
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "head.unread");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Reads chunks one by one, so that a call that fails costs none of those before it.
pub(crate) async fn read_chunks(shared: &SharedState, digests: &[String]) {
    for digest in digests {
        match read_bundle(&shared.key_value, std::slice::from_ref(digest)).await {
            Ok(texts) if texts.is_empty() => log::warn!(digest = digest.as_str(); "chunk.missing"),
            Ok(texts) => {
                let texts = texts.into_iter().map(Arc::from).collect();
                shared.raise_surely(Event::ChunksRead { texts }).await;
            }
            Err(error) => {
                log::warn!(error:% = error; "chunks.unread");
                break;
            }
        }
    }
    // Nothing more is on its way.
    shared.raise_surely(Event::ChunksRead { texts: Vec::new() }).await;
}

/// Parses a generation on a traffic thread, so that the control thread need not.
pub(crate) async fn configure(shared: &SharedState, generation: u64, texts: Vec<Arc<str>>) {
    let parsed = tokio::task::spawn_blocking(move || {
        let text = texts.concat();
        let declarations =
            Document::parse("accepted", &text).and_then(|document| Declarations::check(&document))?;
        Ok::<_, spanfold_declare::Findings>((text, Arc::new(Catalogue::new(declarations))))
    });
    match parsed.await {
        Ok(Ok((text, catalogue))) => {
            let event = Event::Configured {
                generation,
                text: Arc::from(text),
                catalogue: Some(Arc::clone(&catalogue)),
            };
            // The kernel first: requests that see the new catalogue come behind the event.
            shared.raise_surely(event).await;
            shared.set_catalogue(generation, catalogue);
        }
        Ok(Err(findings)) => log::error!(generation, findings:% = findings; "configuration.rejected"),
        Err(error) => log::error!(generation, error:% = error; "configuration.unparsed"),
    }
}

/// Writes a newer head back to a platform that has lost it.
pub(crate) async fn restore_head(
    shared: &SharedState,
    generation: u64,
    digests: Vec<String>,
    texts: &[Arc<str>],
) {
    let result: Result<bool, PlatformError> = async {
        let (standing, revision) = ConfigurationHead::read(&shared.key_value).await?;
        if standing.generation >= generation {
            return Ok(false);
        }
        for text in texts {
            shared.key_value.put(&chunk_key(&spanfold_declare::chunk_digest(text)), text).await?;
        }
        let head = ConfigurationHead {
            generation,
            digests,
            author: format!("restored by {}", shared.settings.name),
            nonce: shared.incarnation.to_string(),
        };
        let text = serde_json::to_string(&head).unwrap_or_default();
        let outcome = shared.key_value.compare_and_swap(HEAD_KEY, revision, &text).await?;
        Ok(outcome == SwapOutcome::Done)
    }
    .await;
    match result {
        Ok(true) => log::warn!(generation; "configuration.restored"),
        Ok(false) => {}
        Err(error) => log::warn!(error:% = error; "configuration.unrestored"),
    }
}

fn log_key(shard: u32, sequence: u64) -> String {
    // Fixed width, so that the order of keys is the order of entries.
    format!("spanfold/claims/{shard:06}/{sequence:016}")
}

pub(crate) async fn create_log(shared: &SharedState, shard: u32, sequence: u64, text: &str) {
    let reply = match shared.key_value.compare_and_swap(&log_key(shard, sequence), 0, text).await {
        Ok(SwapOutcome::Done) => CreateReply::Created,
        Ok(SwapOutcome::Lost(Some(standing))) => CreateReply::Exists(standing.text),
        Ok(SwapOutcome::Lost(None)) => CreateReply::Unknown,
        Err(error) => {
            log::warn!(shard, sequence, error:% = error; "claims.unwritten");
            CreateReply::Unknown
        }
    };
    shared.raise_surely(Event::LogCreated { shard, sequence, reply }).await;
}

pub(crate) async fn read_log(shared: &SharedState, shard: u32, from: u64) {
    let (mut entries, mut next, mut known) = (Vec::new(), from, true);
    loop {
        let (start, end) = (log_key(shard, next), log_key(shard, u64::MAX));
        match shared.key_value.get_range(&start, &end, LOG_PAGE).await {
            Ok(values) => {
                let full = values.len() == LOG_PAGE as usize;
                for value in values {
                    let sequence =
                        value.key.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                    entries.push(LogEntry { sequence, text: value.text });
                    next = sequence + 1;
                }
                if !full {
                    break;
                }
            }
            Err(error) => {
                log::warn!(shard, error:% = error; "claims.unread");
                known = false;
                break;
            }
        }
    }
    shared.raise_surely(Event::LogRead { shard, known, entries }).await;
}

/// The key of the lease record on orders.
const LEASE_KEY: &str = "spanfold/orders";

pub(crate) async fn read_lease(shared: &SharedState) {
    match shared.key_value.get(LEASE_KEY).await {
        Ok(value) => {
            let (revision, text) = value.map_or_else(Default::default, |value| (value.revision, value.text));
            shared.raise_surely(Event::LeaseRead { revision, text }).await;
        }
        Err(error) => log::warn!(error:% = error; "lease.unread"),
    }
}

pub(crate) async fn write_lease(shared: &SharedState, revision: u64, text: String) {
    match shared.key_value.compare_and_swap(LEASE_KEY, revision, &text).await {
        Ok(SwapOutcome::Done) => shared.raise_surely(Event::LeaseWritten { text }).await,
        Ok(SwapOutcome::Lost(_)) => log::info!("lease.lost"),
        // If it took effect, the next reading shows it as unchanged by others, and it is renewed.
        Err(error) => log::warn!(error:% = error; "lease.unwritten"),
    }
}
