//! Sequential calls of one task to the platform's store.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::store::call_link::CallLink;
use crate::{ContactSource, StoreDecoder, StoreRefusal, StoreReply, WireCall};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// A task's connection to the store.
#[derive(Debug)]
pub(crate) struct StoreLink {
    gateway: Arc<Gateway>,
    link: CallLink,
    /// The task's purpose, for logs.
    purpose: &'static str,
}

impl StoreLink {
    pub(crate) fn new(gateway: &Arc<Gateway>, purpose: &'static str) -> Self {
        Self { gateway: Arc::clone(gateway), link: CallLink::new(gateway.settings.store), purpose }
    }

    /// Makes a call of `kind`; none if it got no answer, and then it may have been carried out.
    ///
    /// A lease or a condition that a call depends on belongs to the era at the time of the call. If the
    /// answer is of a new era, the call reached a store with other contents, and it may have been carried out
    /// there.
    pub(crate) async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        decoder: StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new(kind)).inc();
        let result = self.exchange(kind, call, decoder).await;
        let (source, now) = (ContactSource::Own, self.gateway.now());
        if matches!(result, None | Some(Err(StoreRefusal::NotDone(_)))) {
            self.gateway.record_store_failure(source, now);
        } else {
            self.gateway.record_store_answer(source, now);
        }
        result
    }

    async fn exchange<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        decoder: StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        let purpose = self.purpose;
        let era_before = self.gateway.era.known();
        match self.link.call(call, Instant::now() + CALL_TIMEOUT).await {
            Ok(reply) => {
                let era = self.gateway.checked_era(&reply.headers)?;
                let is_restored = era_before.is_some_and(|before| before != era);
                let reply = StoreReply { status: reply.status, era, body: &reply.body };
                let result = if is_restored { Err(StoreRefusal::Restored) } else { decoder(&reply) };
                if let Err(error) = &result {
                    log::warn!(call = kind, purpose, cause:% = error; "store.refused");
                }
                Some(result)
            }
            Err(error) => {
                log::warn!(call = kind, purpose, cause:% = error; "store.unanswered");
                None
            }
        }
    }
}
