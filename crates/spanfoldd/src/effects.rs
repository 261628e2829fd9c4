//! Executes the kernel's effects.
//!
//! Invariant: nothing here blocks. An effect that takes time becomes a task on the traffic threads,
//! which returns its result as an event.

use crate::pending_answers::Decision;
use crate::platform_task;
use crate::probe;
use crate::shared::SharedState;
use spanfold_kernel::Effect;
use std::sync::{Arc, PoisonError};

/// Executes one effect.
pub(crate) fn execute_effect(shared: &Arc<SharedState>, effect: Effect) {
    match effect {
        Effect::Dispatch { request, endpoint, import, priority } => {
            let decision = Decision::Dispatch { endpoint, import, priority };
            shared.pending.decisions.answer(&request, decision);
        }
        Effect::Refuse { request, reason, retry_after_millis } => {
            shared.pending.decisions.answer(&request, Decision::Refuse { reason, retry_after_millis });
        }
        Effect::Send { to, message } => {
            let addresses = shared.vm_addresses.read().unwrap_or_else(PoisonError::into_inner);
            if let Some(address) = addresses.get(&to).copied() {
                drop(addresses);
                // The task of the peer's send queue must be started on the traffic threads.
                let _traffic = shared.traffic.enter();
                shared.peers.send(&to, address, &message);
            }
        }
        Effect::ClaimAnswer { request, verdict } => {
            shared.pending.claims.answer(&request, verdict);
        }
        Effect::Settled { nonce } => {
            shared.pending.settlements.answer(&nonce, ());
        }
        Effect::WatchConfiguration { hold } => {
            shared.should_watch_head.send_replace(hold);
        }
        Effect::Log { name, text } => log::info!(detail = text.as_str(); "{name}"),
        Effect::Custom { plugin, text } => {
            log::debug!(plugin = plugin.as_str(), text = text.as_str(); "custom");
        }
        async_effect => spawn_effect_task(shared, async_effect),
    }
}

fn spawn_effect_task(shared: &Arc<SharedState>, effect: Effect) {
    let task_shared = Arc::clone(shared);
    shared.traffic.spawn(async move {
        let shared = task_shared;
        match effect {
            Effect::CreateLog { shard, sequence, text } => {
                platform_task::create_log(&shared, shard, sequence, &text).await;
            }
            Effect::ReadLog { shard, from } => platform_task::read_log(&shared, shard, from).await,
            Effect::ReadChunks { digests } => platform_task::read_chunks(&shared, &digests).await,
            Effect::Configure { generation, texts } => {
                platform_task::configure(&shared, generation, texts).await;
            }
            Effect::RestoreHead { generation, digests, texts } => {
                platform_task::restore_head(&shared, generation, digests, &texts).await;
            }
            Effect::Probe { endpoint } => probe::probe(&shared, endpoint).await,
            Effect::ListStore { store, pool, whole } => probe::list_store(&shared, store, pool, whole).await,
            Effect::Export { endpoint, store, pool, keys } => {
                probe::export(&shared, endpoint, store, pool, &keys).await;
            }
            Effect::ReadLease => platform_task::read_lease(&shared).await,
            Effect::WriteLease { revision, text } => {
                platform_task::write_lease(&shared, revision, text).await;
            }
            Effect::Order { endpoint, target, fencing, valid_until } => {
                probe::order(&shared, &endpoint, &target, fencing, valid_until).await;
            }
            Effect::Free { store, pool, keys } => probe::free(&shared, &store, &pool, &keys).await,
            _ => {}
        }
    });
}
