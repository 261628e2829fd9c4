//! Tasks that call the platform's VM list and key-value service.
//!
//! Invariant: an unanswered write is reported as unknown, never as failed; the kernel decides how
//! to proceed.

use crate::shared::SharedState;
use spanfold_declare::{Catalogue, Declarations, Document};
use spanfold_kernel::{CreateReply, Event, ListedVm, LogEntry, VmRole, VmState};
use spanfold_keyvalue::{
    ConfigurationHead, HEAD_KEY, PlatformError, PlatformVm, SwapOutcome, chunk_key, read_bundle,
};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

/// Interval of reads of the VM list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before the next call after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after which a watch is renewed, in case its connection was lost without an error.
const WATCH_LIFETIME: Duration = Duration::from_secs(20);
/// Entries read in one page of a claim log.
const LOG_PAGE_ENTRIES: u32 = 64;

/// Polls the VM list until the process ends.
pub(crate) async fn follow_vm_list(shared: Arc<SharedState>) {
    loop {
        match shared.vm_list.read().await {
            Ok(rows) => {
                let vms: Vec<ListedVm> = rows.iter().filter_map(listed_vm).collect();
                update_addresses(&shared, &vms);
                shared.send_event(Event::Listed { vms }).await;
            }
            Err(error) => log::warn!(error:% = error; "vm_list.unread"),
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Records the addresses of listed entry VMs; discards the addresses and message queues of unlisted ones.
///
/// A VM that was removed from the list may still finish its streams.
fn update_addresses(shared: &SharedState, vms: &[ListedVm]) {
    let mut addresses = shared.vm_addresses.write().unwrap_or_else(PoisonError::into_inner);
    for vm in vms.iter().filter(|vm| vm.role == VmRole::Entry) {
        if let Ok(address) = vm.address.parse() {
            addresses.insert(vm.name.clone(), address);
        }
    }
    let is_listed = |name: &str| vms.iter().any(|vm| vm.name == name);
    addresses.retain(|name, _| is_listed(name));
    drop(addresses);
    shared.peers.retain(is_listed);
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

/// Watches the head record for the data centre while the kernel requests it.
pub(crate) async fn follow_head(shared: Arc<SharedState>) {
    let mut should_watch_head = shared.should_watch_head.subscribe();
    loop {
        if !*should_watch_head.borrow_and_update() {
            if should_watch_head.changed().await.is_err() {
                return;
            }
            continue;
        }
        match ConfigurationHead::read(&shared.key_value).await {
            Ok((head, revision)) => {
                if head.generation > 0 || shared.catalogue().0 > 0 {
                    let event = Event::HeadRead { generation: head.generation, digests: head.digests };
                    shared.send_event(event).await;
                }
                let change = shared.key_value.wait_for_change(HEAD_KEY, revision);
                tokio::select! {
                    result = tokio::time::timeout(WATCH_LIFETIME, change) => {
                        if matches!(result, Ok(Err(_))) {
                            tokio::time::sleep(RETRY_DELAY).await;
                        }
                    }
                    _ = should_watch_head.changed() => {}
                }
            }
            Err(error) => {
                log::warn!(error:% = error; "head.unread");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads chunks one by one, so that a failed call does not lose the chunks before it.
pub(crate) async fn read_chunks(shared: &SharedState, digests: &[String]) {
    for digest in digests {
        match read_bundle(&shared.key_value, std::slice::from_ref(digest)).await {
            Ok(texts) if texts.is_empty() => log::warn!(digest = digest.as_str(); "chunk.missing"),
            Ok(texts) => {
                let texts = texts.into_iter().map(Arc::from).collect();
                shared.send_event(Event::ChunksRead { texts }).await;
            }
            Err(error) => {
                log::warn!(error:% = error; "chunks.unread");
                break;
            }
        }
    }
    // An empty list marks the end: no more chunks follow.
    shared.send_event(Event::ChunksRead { texts: Vec::new() }).await;
}

/// Parses a configuration on a thread for blocking tasks, so that the control thread need not.
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
            // The event precedes the new catalogue: a request that uses the catalogue then reaches the
            // kernel after the event.
            shared.send_event(event).await;
            shared.set_catalogue(generation, catalogue);
        }
        Ok(Err(findings)) => log::error!(generation, findings:% = findings; "configuration.rejected"),
        Err(error) => log::error!(generation, error:% = error; "configuration.unparsed"),
    }
}

/// Writes a newer head record back to a platform that has lost it.
pub(crate) async fn restore_head(
    shared: &SharedState,
    generation: u64,
    digests: Vec<String>,
    texts: &[Arc<str>],
) {
    let result: Result<bool, PlatformError> = async {
        let (current, revision) = ConfigurationHead::read(&shared.key_value).await?;
        if current.generation >= generation {
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
        Ok(outcome == SwapOutcome::Written)
    }
    .await;
    match result {
        Ok(true) => log::warn!(generation; "configuration.restored"),
        Ok(false) => {}
        Err(error) => log::warn!(error:% = error; "configuration.unrestored"),
    }
}

fn log_key(shard: u32, sequence: u64) -> String {
    // The fixed width makes the order of keys the order of entries.
    format!("spanfold/claims/{shard:06}/{sequence:016}")
}

pub(crate) async fn create_log(shared: &SharedState, shard: u32, sequence: u64, text: &str) {
    let reply = match shared.key_value.compare_and_swap(&log_key(shard, sequence), 0, text).await {
        Ok(SwapOutcome::Written) => CreateReply::Created,
        Ok(SwapOutcome::Conflict(Some(current))) => CreateReply::Exists(current.text),
        Ok(SwapOutcome::Conflict(None)) => CreateReply::Unknown,
        Err(error) => {
            log::warn!(shard, sequence, error:% = error; "claims.unwritten");
            CreateReply::Unknown
        }
    };
    shared.send_event(Event::LogCreated { shard, sequence, reply }).await;
}

pub(crate) async fn read_log(shared: &SharedState, shard: u32, from: u64) {
    let (mut entries, mut next, mut known) = (Vec::new(), from, true);
    loop {
        let (start, end) = (log_key(shard, next), log_key(shard, u64::MAX));
        match shared.key_value.get_range(&start, &end, LOG_PAGE_ENTRIES).await {
            Ok(values) => {
                let is_full_page = values.len() == LOG_PAGE_ENTRIES as usize;
                for value in values {
                    let sequence =
                        value.key.rsplit('/').next().and_then(|text| text.parse().ok()).unwrap_or(0);
                    entries.push(LogEntry { sequence, text: value.text });
                    next = sequence + 1;
                }
                if !is_full_page {
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
    shared.send_event(Event::LogRead { shard, known, entries }).await;
}

/// Key of the record of the lease that permits orders.
const LEASE_KEY: &str = "spanfold/orders";

pub(crate) async fn read_lease(shared: &SharedState) {
    match shared.key_value.get(LEASE_KEY).await {
        Ok(value) => {
            let (revision, text) = value.map_or_else(Default::default, |value| (value.revision, value.text));
            shared.send_event(Event::LeaseRead { revision, text }).await;
        }
        Err(error) => log::warn!(error:% = error; "lease.unread"),
    }
}

pub(crate) async fn write_lease(shared: &SharedState, revision: u64, text: String) {
    match shared.key_value.compare_and_swap(LEASE_KEY, revision, &text).await {
        Ok(SwapOutcome::Written) => shared.send_event(Event::LeaseWritten { text }).await,
        Ok(SwapOutcome::Conflict(_)) => log::info!("lease.lost"),
        // If the write took effect, the next read returns this VM's own record, and the lease is renewed.
        Err(error) => log::warn!(error:% = error; "lease.unwritten"),
    }
}
