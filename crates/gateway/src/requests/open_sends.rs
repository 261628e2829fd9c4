//! The sends of one request that are awaited at the same time.
//!
//! Invariant: a send stays until it fails, until another one brings what the caller gets next, or until the
//! request ends. A send that is silent is no failed one.

use crate::endpoints::observed_stream::ConnectionEnd;
use crate::requests::open_send::{OpenSend, SendStep};
use bytes::Bytes;
use spanfold_entity::Moment;
use std::borrow::Cow;
use std::future::poll_fn;
use std::task::Poll;

/// The sends of one request that are awaited.
pub(crate) struct OpenSends {
    /// In the order in which they were made.
    sends: Vec<OpenSend>,
    /// Whether the caller has received an event.
    has_begun: bool,
    /// Id of the last event that the caller has received.
    last_id: Option<Bytes>,
    /// Attempts at a further send since the answer last went on.
    pub offers: u32,
    /// When the next send is due although comments have arrived; none after an event.
    pub stalled_offer_at: Option<Moment>,
    /// No further send is made before.
    pub offer_at: Moment,
    /// Whether the next send may be made: the first one, or one that the retry budget has been charged for.
    pub has_permit: bool,
    /// Why the last failed send failed.
    pub cause: Cow<'static, str>,
    /// How the connection of the last failed send ended.
    pub end: Option<ConnectionEnd>,
    /// Whether the last failed send went to another VM.
    pub is_peer_at_fault: bool,
}

impl OpenSends {
    /// Creates the empty list of a request that has not been sent.
    pub(crate) const fn new() -> Self {
        Self {
            sends: Vec::new(),
            has_begun: false,
            last_id: None,
            offers: 0,
            stalled_offer_at: None,
            offer_at: Moment(0),
            has_permit: true,
            cause: Cow::Borrowed(""),
            end: None,
            is_peer_at_fault: false,
        }
    }

    pub(crate) const fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    pub(crate) const fn count(&self) -> usize {
        self.sends.len()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &OpenSend> {
        self.sends.iter()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut OpenSend> {
        self.sends.iter_mut()
    }

    /// Returns the send made last.
    pub(crate) fn newest(&self) -> Option<&OpenSend> {
        self.sends.last()
    }

    pub(crate) fn push(&mut self, send: OpenSend) {
        self.sends.push(send);
    }

    pub(crate) fn send_mut(&mut self, index: usize) -> &mut OpenSend {
        &mut self.sends[index]
    }

    /// Removes a send without a failure.
    pub(crate) fn remove(&mut self, index: usize) -> OpenSend {
        self.sends.remove(index)
    }

    /// Removes a send that failed because of `cause`.
    pub(crate) fn fail(&mut self, index: usize, cause: impl Into<Cow<'static, str>>) -> OpenSend {
        let send = self.remove(index);
        self.cause = cause.into();
        self.end = send.connection_end();
        self.is_peer_at_fault = send.peer().is_some();
        send
    }

    /// Keeps the send at `index`, which goes on; returns the others.
    pub(crate) fn select(&mut self, index: usize) -> Vec<OpenSend> {
        self.offers = 0;
        let selected = self.sends.swap_remove(index);
        std::mem::replace(&mut self.sends, vec![selected])
    }

    /// Removes the only send that is left; none if there is none.
    pub(crate) fn take_last(&mut self) -> Option<OpenSend> {
        self.sends.pop()
    }

    /// Whether the caller has received an event.
    pub(crate) const fn has_begun(&self) -> bool {
        self.has_begun
    }

    /// Returns the id of the last event that the caller has received.
    pub(crate) const fn last_id(&self) -> Option<&Bytes> {
        self.last_id.as_ref()
    }

    /// Records that the caller gets all events that the only send has returned.
    pub(crate) fn record_passed(&mut self) {
        self.has_begun = true;
        self.last_id = self.newest().and_then(OpenSend::last_id).cloned();
    }

    /// Whether a send has progressed since the last call.
    pub(crate) fn has_progressed(&mut self) -> bool {
        let mut has_progressed = false;
        for send in &mut self.sends {
            has_progressed |= send.has_progressed();
        }
        has_progressed
    }

    /// Returns the next step of any send, with its index. Nothing is lost if this is not awaited to its end.
    pub(crate) async fn step(&mut self) -> (usize, SendStep) {
        poll_fn(|context| {
            for (index, send) in self.sends.iter_mut().enumerate() {
                if let Poll::Ready(step) = send.poll_step(context) {
                    return Poll::Ready((index, step));
                }
            }
            Poll::Pending
        })
        .await
    }
}
