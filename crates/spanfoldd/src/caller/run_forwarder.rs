//! Forwards a run's events: resumes a broken stream, replays it elsewhere, or ends it as incomplete.
//!
//! Invariant: the caller receives each event of the answer once and in order. An event's number
//! reveals gaps, repeats and reordering; only the event with the next number is forwarded.

use crate::burn::ServedSample;
use crate::caller::FinalError;
use crate::caller::admission_gate::{AdmissionGate, spend_retry};
use crate::caller::completion::{StartedRun, cancel, event_text, millis_since, record_sample, start_run};
use crate::caller::frame_reader::{DONE, FrameReader, NextFrame};
use crate::caller::request::CompletionCall;
use crate::probe::address_of;
use crate::secret::StreamLocation;
use crate::shared::SharedState;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use spanfold_entity::Moment;
use spanfold_gateway::KindLabel;
use spanfold_kernel::{FailureKind, RanState};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Recoveries of one run, by resuming at the same endpoint or replaying at others.
const MAX_RECOVERIES: u32 = 4;
/// Time after which an attempt to reopen a stream fails.
const REOPEN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a caller that reads nothing counts as disconnected.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which a run continues without its caller, so that the caller can resume it.
const DETACHED_RUN_TIMEOUT: Duration = Duration::from_secs(5);

/// An event of a run for its caller.
#[derive(Debug)]
pub(crate) enum RunEvent {
    Data {
        offset: u64,
        data: Bytes,
    },
    /// The run continues under another resume token.
    TokenChanged {
        token: String,
    },
    Done {
        offset: u64,
    },
    Incomplete(FinalError),
}

/// The request of a run; a resumed run has none, because this VM does not have its body.
#[derive(Debug)]
struct RunOrigin {
    call: Arc<CompletionCall>,
    gate: AdmissionGate,
    arrived: Moment,
    first_token_millis: u64,
    sent_events: Vec<Bytes>,
}

/// Forwards the events of one run and recovers it when its stream breaks.
#[derive(Debug)]
pub(crate) struct RunForwarder {
    shared: Arc<SharedState>,
    location: StreamLocation,
    reader: FrameReader,
    next_offset: u64,
    recoveries: u32,
    exclude: Vec<String>,
    origin: Option<RunOrigin>,
}

/// The reason why forwarding from one stream ended.
enum ForwardOutcome {
    Complete,
    CallerGone,
    Broken(&'static str),
}

impl RunForwarder {
    pub(crate) fn new(
        shared: &Arc<SharedState>,
        call: &Arc<CompletionCall>,
        gate: AdmissionGate,
        run: StartedRun,
        arrived: Moment,
        first_token_millis: u64,
    ) -> Self {
        let call = Arc::clone(call);
        let origin = RunOrigin { call, gate, arrived, first_token_millis, sent_events: Vec::new() };
        Self {
            shared: Arc::clone(shared),
            location: run.location,
            reader: run.reader,
            next_offset: 0,
            recoveries: 0,
            exclude: Vec::new(),
            origin: Some(origin),
        }
    }

    pub(crate) fn resumed(
        shared: &Arc<SharedState>,
        location: StreamLocation,
        reader: FrameReader,
        next_offset: u64,
    ) -> Self {
        let shared = Arc::clone(shared);
        Self { shared, location, reader, next_offset, recoveries: 0, exclude: Vec::new(), origin: None }
    }

    /// Forwards events until the answer is complete, the caller disconnects, or recovery fails.
    pub(crate) async fn run(mut self, sender: mpsc::Sender<RunEvent>) {
        loop {
            match self.forward_events(&sender).await {
                ForwardOutcome::Complete => {
                    self.finish(true);
                    return;
                }
                ForwardOutcome::CallerGone => {
                    self.drain_detached_run().await;
                    self.finish(false);
                    return;
                }
                ForwardOutcome::Broken(cause) => {
                    if let Err(error) = self.recover(cause, &sender).await {
                        let _ = sender.send(RunEvent::Incomplete(error)).await;
                        self.finish(false);
                        return;
                    }
                }
            }
        }
    }

    async fn forward_events(&mut self, sender: &mpsc::Sender<RunEvent>) -> ForwardOutcome {
        let stall_timeout = Duration::from_millis(self.shared.settings.stall_millis);
        loop {
            let frame = tokio::select! {
                frame = self.reader.next(stall_timeout) => frame,
                () = sender.closed() => return ForwardOutcome::CallerGone,
            };
            let frame = match frame {
                NextFrame::Frame(frame) => frame,
                NextFrame::Broken(cause) => return ForwardOutcome::Broken(cause),
            };
            if frame.id < self.next_offset {
                continue;
            }
            if frame.id > self.next_offset {
                return ForwardOutcome::Broken("skipped");
            }
            let done = frame.data.as_ref() == DONE;
            let event = if done {
                RunEvent::Done { offset: frame.id }
            } else {
                if let Some(origin) = &mut self.origin {
                    origin.sent_events.push(frame.data.clone());
                }
                RunEvent::Data { offset: frame.id, data: frame.data }
            };
            if !matches!(tokio::time::timeout(CALLER_STALL_TIMEOUT, sender.send(event)).await, Ok(Ok(()))) {
                return ForwardOutcome::CallerGone;
            }
            self.next_offset += 1;
            self.shared.metrics.events_out.inc();
            if done {
                return ForwardOutcome::Complete;
            }
        }
    }

    /// Resumes the run at the same endpoint, or replays it at another.
    async fn recover(
        &mut self,
        cause: &'static str,
        sender: &mpsc::Sender<RunEvent>,
    ) -> Result<(), FinalError> {
        log::info!(endpoint = self.location.endpoint.as_str(), cause; "stream.broken");
        while self.recoveries < MAX_RECOVERIES {
            self.recoveries += 1;
            if let Some(reader) = reopen(&self.shared, &self.location, self.next_offset).await {
                self.shared.metrics.recoveries.get_or_create(&KindLabel::new("resumed")).inc();
                self.reader = reader;
                return Ok(());
            }
            if self.replay(sender).await {
                return Ok(());
            }
        }
        self.shared.metrics.recoveries.get_or_create(&KindLabel::new("incomplete")).inc();
        Err(FinalError::ran(
            502,
            "incomplete",
            "the answer is incomplete: the endpoint failed",
            RanState::Yes,
        ))
    }

    /// Runs the prompt plus the text already sent at another endpoint of the same weight version.
    async fn replay(&mut self, sender: &mpsc::Sender<RunEvent>) -> bool {
        let Some(origin) = &self.origin else { return false };
        if !spend_retry() {
            return false;
        }
        origin.gate.report_failure(FailureKind::Broken);
        self.exclude.push(self.location.endpoint.clone());
        let sent_text: String = origin.sent_events.iter().map(|data| event_text(data)).collect();
        let mut call = CompletionCall::clone(&origin.call);
        // The first token was sent, so the original deadline no longer applies; what matters is that
        // the remaining answer is generated at all.
        call.deadline = self.shared.now().after_millis(self.shared.settings.deadline_millis);
        match start_run(&self.shared, &call, &origin.gate, &mut self.exclude, &sent_text).await {
            Ok(run) => {
                self.shared.metrics.recoveries.get_or_create(&KindLabel::new("replayed")).inc();
                let token = self.shared.keys.stream_token(&call.account, &run.location);
                self.location = run.location;
                self.reader = run.reader;
                self.next_offset = 0;
                let _ = sender.send(RunEvent::TokenChanged { token }).await;
                true
            }
            Err(error) => {
                log::info!(code = error.code; "replay.failed");
                false
            }
        }
    }

    /// Reads the stream on for a limited time without the caller, who may resume the run at another VM.
    async fn drain_detached_run(&mut self) {
        let stall_timeout = Duration::from_millis(self.shared.settings.stall_millis);
        let drain = async {
            loop {
                match self.reader.next(stall_timeout).await {
                    NextFrame::Frame(frame) if frame.data.as_ref() == DONE => return,
                    NextFrame::Frame(_) => {}
                    NextFrame::Broken(_) => return,
                }
            }
        };
        if tokio::time::timeout(DETACHED_RUN_TIMEOUT, drain).await.is_err() && self.origin.is_some() {
            cancel(&self.shared, &self.location).await;
        }
    }

    fn finish(self, complete: bool) {
        let Some(origin) = self.origin else { return };
        let sample = ServedSample {
            first_token_millis: Some(origin.first_token_millis),
            answer_millis: complete.then(|| millis_since(&self.shared, origin.arrived)),
            answered: complete,
        };
        record_sample(&self.shared, &origin.call.account, sample);
        origin.gate.complete(origin.sent_events.len() as u32);
    }
}

/// Reopens a run's stream from event `from` on.
pub(crate) async fn reopen(
    shared: &SharedState,
    location: &StreamLocation,
    from: u64,
) -> Option<FrameReader> {
    let address = address_of(shared, &location.endpoint)?;
    let url = format!("http://{address}/v1/streams/{}?from={from}", location.stream);
    let request = Request::get(url).body(Full::default()).ok()?;
    let response = tokio::time::timeout(REOPEN_TIMEOUT, shared.endpoints.send(request)).await.ok()?.ok()?;
    (response.status() == 200).then(|| FrameReader::new(response.into_body()))
}
