//! The request that an endpoint gets: the caller's, with the headers that only the system sets.

use crate::requests::flight::SendFlight;
use crate::requests::outgoing_body::OutgoingBody;
use crate::requests::request_run::{LAST_EVENT_ID, RequestRun};
use crate::{EndpointKey, FleetTable, PlacementChoice, format_cache_salt, salted_key};
use bytes::Bytes;
use hyper::Request;
use hyper::header::{HeaderName, HeaderValue};
use spanfold_entity::MICROS_PER_MILLI;

/// Multiple of a fetch's expected time after which the fetch is discarded.
const FETCH_TIMEOUT_FACTOR: f64 = 2.0;
/// Added to the fetch deadline, because the request may wait before its fetch begins.
const FETCH_TIMEOUT_MARGIN_MILLIS: u64 = 300;
/// Subtracted from an endpoint's deadline, so that its answer reaches the caller in time.
const RESPONSE_MARGIN_MILLIS: u64 = 5;

impl RequestRun {
    /// Returns the request as its endpoint gets it; `last_event_id` if it resumes a stream.
    ///
    /// # Errors
    /// If the caller's method or path is invalid: both were checked when the request was parsed.
    pub(crate) fn endpoint_request(
        &self,
        flight: &SendFlight,
        last_event_id: Option<&Bytes>,
    ) -> Result<Request<OutgoingBody>, hyper::http::Error> {
        let names = &self.gateway.dialect.headers;
        let context = &self.context;
        let remaining_millis = self.deadline().micros_since(self.gateway.now()) / MICROS_PER_MILLI;
        let mut request = Request::builder()
            .method(context.method.clone())
            .uri(&context.path)
            .body(OutgoingBody::new(self.body.clone()))?;
        let headers = request.headers_mut();
        headers.clone_from(&context.headers);
        let mut set = |name: &HeaderName, value: &[u8]| {
            if let Ok(value) = HeaderValue::from_bytes(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(
            &names.deadline_millis,
            remaining_millis.saturating_sub(RESPONSE_MARGIN_MILLIS).max(1).to_string().as_bytes(),
        );
        set(&names.expect_endpoint, flight.endpoint.as_bytes());
        if let Some(account) = &context.account {
            set(&names.account, account.as_bytes());
        }
        if let Some(choice) = &self.choice
            && let Some(model) = &context.model
        {
            let version = choice.version.unwrap_or(0);
            set(&names.cache_salt, format_cache_salt(&self.isolation_scope, model, version).as_bytes());
            if choice.version.is_some() {
                set(&names.expect_version, version.to_string().as_bytes());
                self.set_transfers(choice, &mut set);
            }
        }
        if let Some(id) = last_event_id {
            set(&LAST_EVENT_ID, id);
        }
        Ok(request)
    }

    /// Sets the headers that name the stores to fetch segments from and to save them to.
    fn set_transfers(&self, choice: &PlacementChoice, set: &mut impl FnMut(&HeaderName, &[u8])) {
        let names = &self.gateway.dialect.headers;
        let format_addresses = self.gateway.dialect.cache.segment_addresses;
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        let address = |table: &FleetTable, store: Option<EndpointKey>| {
            store.and_then(|store| table.store(store)).map(|row| row.spec.address)
        };
        if choice.transfers.fetches.iter().any(Option::is_some) {
            let fetches: Vec<_> =
                choice.transfers.fetches.iter().map(|store| address(&table, *store)).collect();
            set(&names.fetch_from, format_addresses(&fetches).as_bytes());
            let wait_micros = choice.expected_micros
                + (choice.transfers.transfer_time_micros * FETCH_TIMEOUT_FACTOR) as u64;
            let fetch_deadline = now.after_micros(wait_micros).after_millis(FETCH_TIMEOUT_MARGIN_MILLIS);
            if let Some(clock) = self.gateway.engine_clock_at(fetch_deadline) {
                set(&names.fetch_until, clock.to_string().as_bytes());
            }
        }
        if choice.transfers.saves.iter().any(Option::is_some) {
            let saves: Vec<_> = choice.transfers.saves.iter().map(|store| address(&table, *store)).collect();
            set(&names.save_to, format_addresses(&saves).as_bytes());
            for (store, segment) in choice.transfers.saves.iter().zip(&self.context.segments) {
                if let Some(row) = store.and_then(|store| table.store_mut(store)) {
                    row.record_request(salted_key(segment.key, choice.salt_digest), segment.tokens, now);
                }
            }
        }
    }
}
