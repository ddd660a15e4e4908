//! Sends a request to a backend server, and to a second one if the first one
//! is slow. The first usable response counts; the other send is cancelled.
//!
//! [`briarladder_core::fleet::hedging`] decides when and whether.

use std::{
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    attempt::AttemptTracker,
    hedging::{Answer, Denial, SlowRequest},
    placement::prefill_time,
    server::ListedServer,
};
use tokio::time::{error::Elapsed, sleep_until, timeout_at};

use crate::{dialect::Prompt, in_flight::InFlightGuard, metrics::Metrics};

use super::{
    outgoing::{
        AttemptError, OutgoingRequest, UsableResponse, choose_server,
        record_failure,
    },
    record::RequestRecord,
};

/// A response, unless the deadline passed before.
type TimedResponse = Result<Result<UsableResponse, AttemptError>, Elapsed>;

/// A request that was sent to a server.
pub struct Send {
    /// The server.
    pub server: Arc<ListedServer>,
    /// Counts the request as in flight there.
    pub in_flight: InFlightGuard,
    sent_at: Instant,
}

/// The outcome of a request's sends: of the first one with a usable response,
/// or else of the last one to end.
pub struct SendOutcome {
    /// The send.
    pub send: Send,
    /// Its response.
    pub response: TimedResponse,
    /// The failure of the other send, which is recorded already.
    pub failed_beside: Option<AttemptError>,
}

/// What a send changes of the state of its request.
pub struct SendState<'a> {
    /// The record of the request.
    pub record: &'a mut RequestRecord,
    /// Counts the failed attempts.
    pub tracker: &'a mut AttemptTracker,
    /// The servers that the request was sent to.
    pub tried: &'a mut Vec<Arc<str>>,
}

/// A send whose response has not arrived.
struct Pending<'a, F> {
    send: Send,
    response: Pin<&'a mut F>,
}

/// Sends a request to a server, and to a second one if the first one is slow
/// and that is allowed. If one of two sends fails, the other one decides.
pub async fn send(
    outgoing: &OutgoingRequest,
    server: &Arc<ListedServer>,
    state: SendState<'_>,
) -> SendOutcome {
    let first = Send::begin(outgoing, server);
    let mut response = pin!(send_in_time(outgoing, Arc::clone(server)));
    let Some(delay) = copy_delay(outgoing) else {
        let response = response.await;
        first.record_answer(outgoing, &response);
        return first.outcome(response);
    };
    let due_at = first.sent_at + delay;
    tokio::select! {
        biased;
        response = &mut response => {
            first.record_answer(outgoing, &response);
            return first.outcome(response);
        }
        () = sleep_until(due_at.into()) => {}
    }
    let copy_server = match select_copy_server(outgoing, &first, &state) {
        Ok(copy_server) => copy_server,
        Err(denial) => {
            record_extra_send(outgoing, state.record, denial.label());
            let response = response.await;
            first.record_answer(outgoing, &response);
            return first.outcome(response);
        }
    };
    state.record.attempts += 1;
    record_extra_send(outgoing, state.record, "sent");
    let copy = Send::begin(outgoing, &copy_server);
    let copy_response = send_in_time(outgoing, Arc::clone(&copy_server));
    // Boxed because few requests have an extra send.
    let mut copy_response = Box::pin(copy_response);
    let first = Pending { send: first, response };
    let copy = Pending { send: copy, response: copy_response.as_mut() };
    let outcome = race(outgoing, first, copy, delay, state.tracker).await;
    let won = outcome.send.server.name == copy_server.name
        && matches!(outcome.response, Ok(Ok(_)));
    if won {
        record_extra_send(outgoing, state.record, "won");
    }
    if let Some(error) = &outcome.failed_beside {
        let is_copy = outcome.send.server.name == copy_server.name;
        let failed = if is_copy { server } else { &copy_server };
        state.tried.push(Arc::clone(&failed.name));
        state.record.cause = Some(error.cause.clone());
    }
    state.record.set_server(&outcome.send.server);
    outcome
}

/// Waits for the first usable response of two sends, or else for both.
/// Returning cancels the send that is still pending.
async fn race<F>(
    outgoing: &OutgoingRequest,
    mut first: Pending<'_, F>,
    mut copy: Pending<'_, F>,
    delay: Duration,
    tracker: &mut AttemptTracker,
) -> SendOutcome
where
    F: Future<Output = TimedResponse>,
{
    let (ended, response, other) = tokio::select! {
        biased;
        response = &mut first.response => (first.send, response, copy),
        response = &mut copy.response => (copy.send, response, first),
    };
    ended.record_answer(outgoing, &response);
    let error = match response {
        Ok(Err(error)) => error,
        response => {
            other.send.record_cancelled(outgoing, delay);
            return ended.outcome(response);
        }
    };
    record_failure(outgoing, &ended.server, &error);
    tracker.record_failure_beside(error.failure);
    drop(ended);
    let response = other.response.await;
    other.send.record_answer(outgoing, &response);
    let failed_beside = Some(error);
    SendOutcome { send: other.send, response, failed_beside }
}

impl Send {
    fn begin(outgoing: &OutgoingRequest, server: &Arc<ListedServer>) -> Send {
        let blackboard = &outgoing.gateway.blackboard;
        Send {
            server: Arc::clone(server),
            in_flight: blackboard.track_in_flight(server),
            sent_at: blackboard.now(),
        }
    }

    fn outcome(self, response: TimedResponse) -> SendOutcome {
        SendOutcome { send: self, response, failed_beside: None }
    }

    /// Records how long the server took, if it has answered.
    fn record_answer(
        &self,
        outgoing: &OutgoingRequest,
        response: &TimedResponse,
    ) {
        if matches!(response, Ok(Ok(_))) {
            self.record_elapsed(outgoing);
        }
    }

    /// Records how long the server took at least, if an extra send was due
    /// meanwhile.
    fn record_cancelled(&self, outgoing: &OutgoingRequest, delay: Duration) {
        let now = outgoing.gateway.blackboard.now();
        if now.duration_since(self.sent_at) > delay {
            self.record_elapsed(outgoing);
        }
    }

    fn record_elapsed(&self, outgoing: &OutgoingRequest) {
        if !is_observed(outgoing) {
            return;
        }
        let blackboard = &outgoing.gateway.blackboard;
        let now = blackboard.now();
        let elapsed = now.duration_since(self.sent_at);
        let accepted = &outgoing.accepted;
        let answer = Answer {
            kind: &accepted.route.name,
            server: &self.server.name,
            elapsed: elapsed.saturating_sub(expected_prefill(outgoing)),
        };
        let mut hedging = blackboard.hedging.borrow_mut();
        hedging.record_answer(now, &accepted.service, answer);
    }
}

async fn send_in_time(
    outgoing: &OutgoingRequest,
    server: Arc<ListedServer>,
) -> TimedResponse {
    let response = outgoing.send_and_record_delay(&server, None);
    timeout_at(outgoing.accepted.deadline.into(), response).await
}

/// Returns whether the response times of a request tell how long others take.
/// The head of a stream arrives early, and inputs take time to fetch.
fn is_observed(outgoing: &OutgoingRequest) -> bool {
    !outgoing.accepted.route.kind.is_stream()
        && outgoing.prepared_inputs.results().is_empty()
}

fn expected_prefill(outgoing: &OutgoingRequest) -> Duration {
    let prompt = outgoing.accepted.caller.prompt.as_ref();
    prefill_time(prompt.map_or(0, Prompt::suffix_tokens))
}

/// Returns how long to wait for a response until an extra send is due.
fn copy_delay(outgoing: &OutgoingRequest) -> Option<Duration> {
    if !is_observed(outgoing) {
        return None;
    }
    let accepted = &outgoing.accepted;
    let blackboard = &outgoing.gateway.blackboard;
    let hedging = blackboard.hedging.borrow();
    let kind = &accepted.route.name;
    let delay = hedging.delay(blackboard.now(), &accepted.service, kind)?;
    Some(delay + expected_prefill(outgoing))
}

/// Selects the server of an extra send and takes the send from the limits.
fn select_copy_server(
    outgoing: &OutgoingRequest,
    first: &Send,
    state: &SendState<'_>,
) -> Result<Arc<ListedServer>, Denial> {
    let gateway = &outgoing.gateway;
    let accepted = &outgoing.accepted;
    let (service, route) = (&accepted.service, &accepted.route);
    let blackboard = &gateway.blackboard;
    let now = blackboard.now();
    let mut hedging = blackboard.hedging.borrow_mut();
    hedging.record_overdue(now, service, &first.server.name);
    let prompt = accepted.caller.prompt.as_ref();
    let request = SlowRequest {
        kind: &route.name,
        route_kind: route.kind,
        has_stages: !route.stages.is_empty(),
        max_attempts: route.max_attempts,
        attempts: state.tracker.may_have_run_count() + 1,
        prompt_tokens: prompt.map_or(0, |prompt| prompt.prompt_tokens),
        is_suspect: outgoing.is_crash_suspect(),
        time_left: accepted.time_to_head_deadline(now),
        leaves_retries: blackboard.covers_extra_send(service),
    };
    hedging.check(now, service, &request)?;
    let mut tried = state.tried.clone();
    tried.push(Arc::clone(&first.server.name));
    let zone = outgoing.prepared_inputs.zone();
    let server = choose_server(gateway, accepted, zone, &tried)
        .ok_or(Denial::NoServer)?;
    let in_flight = |server: &ListedServer| blackboard.in_flight(&server.name);
    if in_flight(&server) > in_flight(&first.server) {
        return Err(Denial::Busy);
    }
    if !blackboard.try_spend_retry(service) {
        return Err(Denial::RetryBudget);
    }
    hedging.spend(service);
    Ok(server)
}

fn record_extra_send(
    outgoing: &OutgoingRequest,
    record: &mut RequestRecord,
    outcome: &'static str,
) {
    record.extra_send = Some(outcome);
    let extra_sends = &outgoing.gateway.metrics.extra_sends;
    Metrics::count(extra_sends, &outgoing.accepted.service, outcome);
}
