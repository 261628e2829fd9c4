//! Requests during a planned stop: each has a deadline that leaves time for its answer.
//!
//! Invariant: once the stop has begun, a request is answered whole or refused as not run before
//! [`StopSchedule::answer_deadline`]; it is sent to an endpoint only before its send deadline.

use crate::StopSchedule;
use crate::clock::DeadlinePassed;
use crate::gateway::Gateway;
use crate::requests::answer_record::UnansweredCause;
use crate::requests::own_answer::OwnAnswer;
use crate::requests::request_context::RequestContext;
use crate::requests::request_run::RequestRun;
use spanfold_entity::Moment;

/// Retry delay of a request that a stopping VM refuses, in milliseconds.
pub(crate) const STOPPING_RETRY_MILLIS: u64 = 300;
/// Reason of such a refusal.
pub(crate) const STOPPING: &str = "this VM is stopping";

impl Gateway {
    /// Returns the deadlines of the planned stop.
    pub(crate) fn stop_schedule(&self) -> StopSchedule {
        *self.stop.borrow()
    }

    /// Whether a planned stop is under way.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop_schedule().has_begun()
    }

    /// Returns until when a request may be sent to an endpoint.
    pub(crate) fn send_deadline(&self, context: &RequestContext) -> Moment {
        self.send_deadline_in(&self.stop_schedule(), context)
    }

    /// Returns until when a request may be sent to an endpoint in a stop with `schedule`.
    pub(crate) fn send_deadline_in(&self, schedule: &StopSchedule, context: &RequestContext) -> Moment {
        if !schedule.has_begun() {
            return context.deadline;
        }
        let route = &context.route;
        let usual_micros = self.answer_times().usual_micros(&route.name);
        schedule.send_deadline(context.deadline, route.repeatable(), usual_micros)
    }

    /// Waits until the moment that `deadline` gives for the planned stop, which may begin meanwhile.
    pub(crate) async fn wait_until_due(&self, deadline: impl Fn(&StopSchedule) -> Moment) {
        let mut stop = self.stop.subscribe();
        loop {
            let due_at = deadline(&stop.borrow_and_update());
            tokio::select! {
                () = self.wait_until(due_at) => return,
                // The sender lives as long as the gateway.
                _ = stop.changed() => {}
            }
        }
    }

    /// Returns the result of `future`, or an error if the moment that `deadline` gives passes first.
    pub(crate) async fn complete_before_due<T>(
        &self,
        deadline: impl Fn(&StopSchedule) -> Moment,
        future: impl Future<Output = T>,
    ) -> Result<T, DeadlinePassed> {
        tokio::select! {
            biased;
            result = future => Ok(result),
            () = self.wait_until_due(deadline) => Err(DeadlinePassed),
        }
    }

    /// Returns the answer to a request whose body did not arrive before its send deadline.
    pub(crate) fn late_body_answer(&self, context: &RequestContext) -> OwnAnswer {
        if self.now() < context.deadline {
            OwnAnswer::not_run(STOPPING, STOPPING_RETRY_MILLIS)
        } else {
            OwnAnswer::plain(hyper::StatusCode::REQUEST_TIMEOUT, "the body came too slowly")
        }
    }
}

impl RequestRun {
    /// Returns by when the request is answered.
    pub(crate) fn deadline(&self) -> Moment {
        self.context.deadline.min(self.gateway.stop_schedule().answer_deadline())
    }

    /// Returns until when the request may be sent to an endpoint.
    pub(crate) fn send_deadline(&self) -> Moment {
        self.gateway.send_deadline(&self.context)
    }

    /// Whether the planned stop ended the wait of a request that was never sent.
    pub(crate) fn is_stopped_unsent(&self) -> bool {
        self.sends == 0 && !self.may_have_run && self.gateway.now() < self.context.deadline
    }

    /// Records that the answer breaks off because its deadline passed or this VM stops.
    pub(crate) fn record_out_of_time(&self) {
        let is_stopped = self.gateway.now() < self.context.deadline;
        let cause = if is_stopped { UnansweredCause::Stopped } else { UnansweredCause::OutOfTime };
        self.resources.answer.record_cause(cause);
    }

    /// Records how long the request's whole answer took, without its wait at this VM.
    pub(crate) fn record_answer_time(&self) {
        let now = self.gateway.now();
        let micros = now.micros_since(self.context.received_at).saturating_sub(self.waited_micros);
        self.gateway.answer_times().record(&self.context.route.name, micros, now);
    }
}
