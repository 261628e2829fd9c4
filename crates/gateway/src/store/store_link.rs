//! Calls to the platform's store by tasks that make one call after the other.

use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::store::call_link::CallLink;
use crate::{StoreDecoder, StoreRefusal, StoreReply, WireCall};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A call that takes longer has failed.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// One task's connection to the store.
#[derive(Debug)]
pub(crate) struct StoreLink {
    gateway: Arc<Gateway>,
    link: CallLink,
    /// What the task is about, for logs.
    purpose: &'static str,
}

impl StoreLink {
    pub(crate) fn new(gateway: &Arc<Gateway>, purpose: &'static str) -> Self {
        Self { gateway: Arc::clone(gateway), link: CallLink::new(gateway.settings.store), purpose }
    }

    /// Makes a call of `kind`; none if it was not answered, and then it may have been done.
    ///
    /// What a call rests on, a lease or a condition, is of the era known when it is made: if the answer is of a new one, the
    /// call met another content, and it may have been done all the same.
    pub(crate) async fn call<T>(
        &mut self,
        kind: &str,
        call: &WireCall,
        read: StoreDecoder<T>,
    ) -> Option<Result<T, StoreRefusal>> {
        self.gateway.metrics.store_calls.get_or_create(&KindLabel::new(kind)).inc();
        let purpose = self.purpose;
        let era_before = self.gateway.era.known();
        match self.link.call(call, Instant::now() + CALL_TIMEOUT).await {
            Ok(reply) => {
                let era = self.gateway.era_of(&reply.headers)?;
                let is_restored = era_before.is_some_and(|before| before != era);
                let reply = StoreReply { status: reply.status, era, body: &reply.body };
                let result = if is_restored { Err(StoreRefusal::Restored) } else { read(&reply) };
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
