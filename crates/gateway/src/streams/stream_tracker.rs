//! Records the software versions of streams, and asks other VMs for them.

use super::copy_task::CopyState;
use super::stream_message::{SoughtStream, StreamKnowledge, StreamMessage, StreamRecord};
use crate::clock::DeadlinePassed;
use crate::gateway::Gateway;
use crate::peers::gossip::send_message;
use crate::peers::peer_message::{PeerMessage, PeerStamp};
use crate::{
    EndpointKey, RecordHolders, SoleSoftware, StreamCopy, StreamKey, StreamOrigin, StreamRecords, VmKey,
    short_digest,
};
use spanfold_entity::{MICROS_PER_MILLI, Moment};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Time for which a record outlasts the deadline of its attempt, in milliseconds: a caller may return with a
/// new deadline.
const RETURN_MILLIS: u64 = 10_000;
/// Longest lifetime of a record, in milliseconds.
const MAX_LIFETIME_MILLIS: u64 = 60_000;
/// Fraction of a VM's memory that records may fill.
const MEMORY_FRACTION: f64 = 0.05;
/// Memory of one record with its share of the tables' free capacity, in bytes.
const RECORD_BYTES: f64 = 200.0;
/// Time after which a question is sent again, because a datagram may be lost, in milliseconds.
const REPEAT_MILLIS: u64 = 60;
/// Time within which other VMs answer a question, in milliseconds.
const ANSWER_MILLIS: u64 = 250;

/// Answers to one question: the VM and what it knows.
type AnswerSender = mpsc::UnboundedSender<(VmKey, StreamKnowledge)>;

/// What this VM knows of the software versions of streams.
#[derive(Debug)]
pub(crate) struct StreamTracker {
    records: Mutex<StreamRecords>,
    /// Copies of records at other VMs.
    pub copies: CopyState,
    /// Questions to other VMs that are not answered yet, by number.
    questions: Mutex<HashMap<u64, AnswerSender>>,
    /// Socket of messages between VMs; none until this VM has started.
    socket: OnceLock<Arc<UdpSocket>>,
}

/// The result of a search for a stream's origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OriginSearch {
    Found(StreamOrigin),
    /// No VM that may have a record has one, and several versions can have begun the stream.
    Unknown,
    /// Some VMs that may have a record did not answer.
    Unanswered,
}

/// A search for a stream's origin, with what is known so far.
struct StreamSearch {
    stream: SoughtStream,
    holders: RecordHolders,
    known: StreamKnowledge,
    answered: BTreeSet<VmKey>,
}

impl StreamSearch {
    fn record_answer(&mut self, vm: VmKey, answer: StreamKnowledge) {
        self.answered.insert(vm);
        self.known.software = self.known.software.and(answer.software);
        self.known.record = self.known.record.or(answer.record);
    }

    fn is_complete(&self) -> bool {
        if self.known.record.is_some() || self.answered.len() >= self.holders.reachable.len() {
            return true;
        }
        // Without a named attempt there is no record to wait for.
        !self.stream.is_named && (self.known.software == SoleSoftware::Mixed || self.has_majority())
    }

    /// Whether most VMs that were asked have answered: a VM that is cut off gets few answers, and its own
    /// list of endpoints may be old.
    fn has_majority(&self) -> bool {
        let asked = self.holders.reachable.len() + self.holders.silent.len();
        asked == 0 || self.answered.len() * 2 > asked
    }

    fn result(&self) -> OriginSearch {
        if let Some(record) = self.known.record {
            return OriginSearch::Found(record.origin);
        }
        match self.known.software {
            SoleSoftware::Sole(software) if self.has_majority() => {
                // No endpoint has this key: any of the version may have begun it.
                let endpoint = EndpointKey::default();
                OriginSearch::Found(StreamOrigin { service: self.stream.service, software, endpoint })
            }
            SoleSoftware::Mixed if !self.stream.is_named => OriginSearch::Unknown,
            _ if self.is_complete() && self.has_majority() => OriginSearch::Unknown,
            _ => OriginSearch::Unanswered,
        }
    }
}

/// A question to other VMs, until it is dropped.
struct OpenQuestion<'a> {
    tracker: &'a StreamTracker,
    number: u64,
}

impl Drop for OpenQuestion<'_> {
    fn drop(&mut self) {
        self.tracker.questions().remove(&self.number);
    }
}

impl StreamTracker {
    /// Creates an empty tracker for a VM with `memory_mb` megabytes of memory.
    pub(crate) fn new(memory_mb: f64) -> Self {
        let capacity = (memory_mb * 1e6 * MEMORY_FRACTION / RECORD_BYTES) as usize;
        Self {
            records: Mutex::new(StreamRecords::new(capacity)),
            copies: CopyState::default(),
            questions: Mutex::default(),
            socket: OnceLock::new(),
        }
    }

    /// Sets the socket of messages between VMs.
    pub(crate) fn set_socket(&self, socket: Arc<UdpSocket>) {
        // It is set once, at the start.
        let _ = self.socket.set(socket);
    }

    /// Returns the socket of messages between VMs; none until this VM has started.
    pub(super) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get().map(Arc::as_ref)
    }

    fn records(&self) -> MutexGuard<'_, StreamRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn questions(&self) -> MutexGuard<'_, HashMap<u64, AnswerSender>> {
        self.questions.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Records the origin of an account's streams here and at other VMs, until some time after `deadline`.
    ///
    /// Returns once the copies are sent: the caller may then receive the first event.
    pub(crate) async fn record_origin(
        &self,
        keys: &[StreamKey],
        account: &str,
        origin: StreamOrigin,
        deadline: Moment,
    ) {
        let now = self.now();
        let expires_at = deadline.after_millis(RETURN_MILLIS).min(now.after_millis(MAX_LIFETIME_MILLIS));
        let account = short_digest(account);
        for key in keys {
            let copy = StreamCopy { key: *key, account, origin, expires_at };
            self.insert_record(&copy);
            self.send_copies(copy).await;
        }
    }

    /// Searches the origin of an account's stream, here and at other VMs.
    ///
    /// Without a record, the stream began at the service's only version, if there was only one.
    pub(crate) async fn find_origin(&self, stream: SoughtStream, account: &str) -> OriginSearch {
        let now = self.now();
        let own = self.knowledge(&stream);
        if let Some(record) = own.record {
            return OriginSearch::Found(record.origin);
        }
        let holders = self.peers().record_holders(stream.key, now);
        let number = rand::random();
        let (sender, answers) = mpsc::unbounded_channel();
        self.streams.questions().insert(number, sender);
        let _open = OpenQuestion { tracker: &self.streams, number };
        let mut search = StreamSearch { stream, holders, known: own, answered: BTreeSet::new() };
        let question = StreamMessage::Question { number, stream };
        let deadline = now.after_millis(ANSWER_MILLIS);
        // What has been answered by the deadline counts.
        let _ = self.complete_before(deadline, self.ask(question, &mut search, answers)).await;
        if let Some(record) = search.known.record {
            self.insert_received(stream.key, short_digest(account), record);
        }
        search.result()
    }

    /// Asks VMs until the search is complete.
    async fn ask(
        &self,
        question: StreamMessage,
        search: &mut StreamSearch,
        mut answers: mpsc::UnboundedReceiver<(VmKey, StreamKnowledge)>,
    ) {
        self.send_about_stream(question, &search.holders.silent).await;
        while !search.is_complete() {
            self.send_about_stream(question, &search.holders.reachable).await;
            let repeat_at = self.now().after_millis(REPEAT_MILLIS);
            while !search.is_complete() {
                match self.complete_before(repeat_at, answers.recv()).await {
                    Ok(Some((vm, answer))) => search.record_answer(vm, answer),
                    // The sender lives as long as the question.
                    Ok(None) => return,
                    Err(DeadlinePassed) => break,
                }
            }
        }
    }

    /// Returns what this VM knows of a stream.
    fn knowledge(&self, stream: &SoughtStream) -> StreamKnowledge {
        let now = self.now();
        let found = self.streams.records().find(stream.key, now);
        let record = found.map(|(origin, expires_at)| StreamRecord::new(origin, expires_at, now));
        let since = Moment(now.0.saturating_sub(u64::from(stream.window_millis) * MICROS_PER_MILLI));
        let is_current = self.list_membership().is_list_confirmed(now);
        let software =
            if is_current { self.table().sole_software(stream.service, since) } else { SoleSoftware::Unsure };
        StreamKnowledge { record, software }
    }

    /// Applies another VM's message, which came from `source`.
    pub(crate) async fn apply_stream_message(
        &self,
        stamp: PeerStamp,
        message: StreamMessage,
        source: SocketAddr,
    ) {
        match message {
            StreamMessage::Record { key, account, record } => {
                self.insert_received(key, account, record);
                self.streams.copies.record_received(key, source);
            }
            StreamMessage::Question { number, stream } => {
                let answer = StreamMessage::Answer { number, knowledge: self.knowledge(&stream) };
                self.send_about_stream(answer, &[source]).await;
            }
            StreamMessage::Answer { number, knowledge } => {
                let sender = self.streams.questions().get(&number).cloned();
                if let Some(sender) = sender {
                    // A search that has ended needs no more answers.
                    let _ = sender.send((stamp.vm, knowledge));
                }
            }
        }
    }

    /// Removes expired records of streams.
    pub(crate) fn sweep_streams(&self) {
        let mut records = self.streams.records();
        records.sweep(self.now());
        self.metrics.streams.records.set(records.len() as i64);
    }

    /// Records what another VM states of a stream.
    fn insert_received(&self, key: StreamKey, account: u64, record: StreamRecord) {
        let lifetime_millis = u64::from(record.remaining_millis).min(MAX_LIFETIME_MILLIS);
        let expires_at = self.now().after_millis(lifetime_millis);
        self.insert_record(&StreamCopy { key, account, origin: record.origin, expires_at });
    }

    fn insert_record(&self, copy: &StreamCopy) {
        if self.streams.records().insert(copy.key, copy.account, copy.origin, copy.expires_at) {
            self.metrics.streams.evictions.inc();
        }
    }

    pub(super) async fn send_about_stream(&self, message: StreamMessage, to: &[SocketAddr]) {
        if let Some(socket) = self.streams.socket()
            && !to.is_empty()
        {
            send_message(self, socket, &PeerMessage::Stream(self.next_stamp(), message), to).await;
        }
    }
}
