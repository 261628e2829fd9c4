//! What crashes of endpoints under a request may be blamed on, and what it means for the request.
//!
//! Invariant: nothing is hashed while no crash is known or suspected, and no segment while none is.

use crate::endpoints::crash_detector::{ProbeCompletion, millis};
use crate::gateway::Gateway;
use crate::operators::gateway_metrics::KindLabel;
use crate::quarantine::trial_claims::TrialStep;
use crate::requests::own_answer::{AnswerBody, OwnAnswer};
use crate::requests::request_context::RequestContext;
use crate::requests::request_run::RequestRun;
use crate::{PathState, RequestIdentity, StopSchedule, SuspectKey, SuspectKind};
use hyper::Response;
use spanfold_entity::Moment;
use std::time::Duration;

/// Maximum number of segments of one prompt that crashes may be blamed on, counted from its first one.
const MAX_SEGMENTS: usize = 32;
/// Interval at which a request polls for its trial.
const TRIAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for which a request waits for its trial, or for the outcome of another one, in milliseconds.
const TRIAL_TIMEOUT_MILLIS: u64 = 1_000;

/// Keys of what crashes under a request may be blamed on.
#[derive(Debug, Default)]
pub(crate) struct RequestSuspects {
    /// The request itself, once that was computed.
    pub request: Option<SuspectKey>,
    /// The segments that its prompt may share with others, once they were computed.
    segments: Option<Vec<SuspectKey>>,
    /// The suspect because of which it was refused.
    pub blamed: Option<SuspectKey>,
    /// The suspect that it runs under a right of this VM.
    pub trial: Option<SuspectKey>,
    /// No longer waits for a trial after this moment; set when the wait begins.
    trial_deadline: Option<Moment>,
}

/// Returns the keys and names of the segments of a prompt that others may share, each once.
fn shared_segments<'a>(gateway: &Gateway, context: &'a RequestContext) -> Option<Vec<(SuspectKey, &'a str)>> {
    let identity = gateway.identity_key()?;
    let model = context.model.as_deref().unwrap_or_default();
    let mut segments: Vec<(SuspectKey, &str)> = Vec::new();
    for name in context.shared_segment_names(gateway).into_iter().take(MAX_SEGMENTS) {
        let key = identity.of_segment(&context.service, model, name);
        if segments.iter().all(|(other, _)| *other != key) {
            segments.push((key, name));
        }
    }
    Some(segments)
}

impl RequestRun {
    /// Returns the request's key, the same on every VM; none until the deployment's secret is known.
    pub(crate) fn request_key(&mut self) -> Option<SuspectKey> {
        if self.suspects.request.is_none() {
            let context = &self.context;
            let body = self.body.joined();
            let identity = RequestIdentity {
                account: context.account.as_deref().unwrap_or_default(),
                method: context.method.as_str(),
                host: &context.host,
                path: &context.path,
                body: &body,
            };
            self.suspects.request = Some(self.gateway.identity_key()?.of(&identity));
        }
        self.suspects.request
    }

    fn segment_keys(&mut self) -> &[SuspectKey] {
        if self.suspects.segments.is_none() {
            let segments = shared_segments(&self.gateway, &self.context);
            self.suspects.segments = segments.map(|segments| segments.iter().map(|(key, _)| *key).collect());
        }
        self.suspects.segments.as_deref().unwrap_or_default()
    }

    /// Returns all its suspects: the request and its shared segments.
    pub(crate) fn all_suspects(&mut self) -> Vec<(SuspectKey, SuspectKind)> {
        let request = self.request_key().map(|key| (key, SuspectKind::Request));
        let segments = self.segment_keys().iter().map(|key| (*key, SuspectKind::Segment));
        request.into_iter().chain(segments).collect()
    }

    /// Returns those of its suspects of which any kind is suspected now.
    fn current_suspects(&mut self) -> Vec<(SuspectKey, SuspectKind)> {
        let (is_idle, suspects_segments) = {
            let tracker = self.gateway.quarantine_tracker();
            (tracker.quarantine.is_idle(), tracker.quarantine.suspects_segments())
        };
        let detector = &self.gateway.crash_detector;
        if is_idle && detector.is_idle() {
            return Vec::new();
        }
        if suspects_segments || detector.suspects_segments() {
            return self.all_suspects();
        }
        self.request_key().map(|key| (key, SuspectKind::Request)).into_iter().collect()
    }

    fn current_keys(&mut self) -> Vec<SuspectKey> {
        self.current_suspects().into_iter().map(|(key, _)| key).collect()
    }

    /// Whether it is refused, because endpoints crash under it or under a segment of its prompt.
    pub(crate) fn is_quarantined(&mut self) -> bool {
        let suspects = self.current_suspects();
        if suspects.is_empty() {
            return false;
        }
        let now = self.gateway.now();
        self.suspects.blamed = self.gateway.quarantine_tracker().quarantine.refusal_of(&suspects, now);
        self.suspects.blamed.is_some()
    }

    /// Whether endpoints have crashed under it or a segment of its prompt, or may have.
    pub(crate) fn is_suspected(&mut self) -> bool {
        let keys = self.current_keys();
        let has_records = {
            let tracker = self.gateway.quarantine_tracker();
            keys.iter().any(|key| tracker.quarantine.has_records(*key))
        };
        has_records || keys.iter().any(|key| !self.gateway.crash_detector.pending_probes(*key).is_empty())
    }

    /// Waits until evidence that may quarantine the request is evaluated: whether the endpoints of broken
    /// sends crashed, and other evidence that was just received.
    pub(crate) async fn wait_for_evaluation(&mut self) {
        let keys = self.current_keys();
        if keys.is_empty() {
            return;
        }
        let detector = &self.gateway.crash_detector;
        let mut probes: Vec<_> = keys.iter().map(|key| (*key, detector.pending_probes(*key))).collect();
        {
            let tracker = self.gateway.quarantine_tracker();
            probes.retain(|(key, pending)| tracker.quarantine.is_near_threshold(*key, pending.len()));
        }
        if !probes.is_empty() {
            self.wait_for_probes(probes.into_iter().flat_map(|(_, pending)| pending).collect()).await;
        }
        let next_evaluation_at = {
            let tracker = self.gateway.quarantine_tracker();
            keys.iter().filter_map(|key| tracker.quarantine.evaluation_at_of(*key)).min()
        };
        if let Some(next_evaluation_at) = next_evaluation_at {
            let due_at = |stop: &StopSchedule| {
                next_evaluation_at.min(self.gateway.send_deadline_in(stop, &self.context))
            };
            self.gateway.wait_until_due(due_at).await;
            self.gateway.evaluate_suspects();
        }
    }

    /// Waits until probes are decided. Without a path to the endpoints they cannot be.
    async fn wait_for_probes(&self, pending: Vec<ProbeCompletion>) {
        let (gateway, started_at, probes) = (&self.gateway, self.gateway.now(), pending.len());
        let mut path = gateway.path.subscribe();
        let all_decided = async {
            for mut completion in pending {
                // The sender is dropped once the endpoint's crash is recorded, which ends the wait, too.
                let _ = completion.wait_for(|is_probed| *is_probed).await;
            }
        };
        let deadline = |stop: &StopSchedule| gateway.send_deadline_in(stop, &self.context);
        let decided = tokio::select! {
            decided = gateway.complete_before_due(deadline, all_decided) => decided.is_ok(),
            _ = path.wait_for(|state| *state != PathState::Open) => false,
        };
        let took_ms = millis(gateway.now().micros_since(started_at));
        log::info!(request = self.context.id_text(), probes, decided, took_ms; "quarantine.awaited");
    }

    /// Uses the right to run the suspect of the request that is on trial, if one is; false if this VM does not
    /// have the right.
    pub(crate) fn begin_trial(&mut self) -> bool {
        let suspects = self.current_suspects();
        if suspects.is_empty() {
            return true;
        }
        let now = self.gateway.now();
        let mut tracker = self.gateway.quarantine_tracker();
        let Some(suspect) = tracker.quarantine.trial_of(&suspects, now) else { return true };
        match tracker.trials.request(suspect, now) {
            TrialStep::Run => {
                drop(tracker);
                self.suspects.trial = Some(suspect);
                true
            }
            TrialStep::Wait { is_new } => {
                drop(tracker);
                self.suspects.blamed = Some(suspect);
                if is_new {
                    self.gateway.trial_wanted.notify_one();
                }
                false
            }
        }
    }

    /// Gives back the right to run a suspect: the request was not sent.
    pub(crate) fn give_back_trial(&mut self) {
        if let Some(suspect) = self.suspects.trial.take() {
            self.gateway.quarantine_tracker().trials.give_back(suspect);
        }
    }

    /// Waits for the interval between polls for a trial; false once the request has waited long enough.
    pub(crate) async fn wait_for_trial(&mut self) -> bool {
        let now = self.gateway.now();
        let deadline =
            *self.suspects.trial_deadline.get_or_insert_with(|| now.after_millis(TRIAL_TIMEOUT_MILLIS));
        if now >= deadline.min(self.send_deadline()) {
            return false;
        }
        tokio::time::sleep(TRIAL_POLL_INTERVAL).await;
        true
    }

    /// Refuses a quarantined request: the answer states whether it may have run, and has no retry delay.
    pub(crate) fn refuse_quarantined(&mut self) -> Response<AnswerBody> {
        let is_segment = self.suspects.blamed != self.suspects.request;
        if let Some(blamed) = self.suspects.blamed {
            self.describe_suspects();
            self.gateway.quarantine_tracker().quarantine.count_turned_away(blamed);
        }
        self.gateway.metrics.quarantine.turned_away.inc();
        if is_segment {
            self.gateway
                .metrics
                .quarantine
                .part_refusals
                .get_or_create(&KindLabel::new(&self.blamed_part()))
                .inc();
        }
        self.refuse_with(match (is_segment, self.may_have_run) {
            (false, false) => OwnAnswer::QUARANTINED,
            (false, true) => OwnAnswer::QUARANTINED_AFTER_RUN,
            (true, false) => OwnAnswer::SEGMENT_QUARANTINED,
            (true, true) => OwnAnswer::SEGMENT_QUARANTINED_AFTER_RUN,
        })
    }

    /// Returns the name of the segment because of which it was refused; empty if there is none.
    pub(crate) fn blamed_part(&self) -> String {
        let Some(blamed) = self.suspects.blamed else { return String::new() };
        self.gateway.quarantine_tracker().part_name(blamed).to_owned()
    }

    /// Describes its suspects to operators: client account, method, host and path, and the segments' names.
    pub(crate) fn describe_suspects(&mut self) {
        let request_key = self.request_key();
        let context = &self.context;
        let account = context.account.as_deref().unwrap_or("-");
        let (method, host, path, bytes) = (&context.method, &context.host, &context.path, self.body.len());
        let request = format!("{account} {method} {host}{path} ({bytes} bytes)");
        let model = context.model.as_deref().unwrap_or("any model");
        let prompts = format!("prompts for {model} of {}", context.service);
        let segments = shared_segments(&self.gateway, context).unwrap_or_default();
        let mut tracker = self.gateway.quarantine_tracker();
        if let Some(key) = request_key {
            tracker.describe(key, &request, None);
        }
        for (key, name) in segments {
            tracker.describe(key, &prompts, Some(name));
        }
    }

    /// Records that an endpoint answered it to its end.
    pub(crate) fn record_answered(&mut self) {
        let suspects = self.current_suspects();
        if !suspects.is_empty() {
            self.gateway.record_answered(&suspects);
        }
    }

    /// Records that an endpoint goes on with a stream: the prompt's segments do not crash endpoints.
    pub(crate) fn record_survived(&mut self) {
        let mut suspects = self.current_suspects();
        suspects.retain(|(_, kind)| *kind == SuspectKind::Segment);
        if !suspects.is_empty() {
            self.gateway.record_answered(&suspects);
        }
    }
}
