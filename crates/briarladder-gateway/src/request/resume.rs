//! Forwards an event stream that another server may resume.
//!
//! Only complete events are forwarded. When the server's response breaks off,
//! or no complete event arrives for a while, another server is asked to resume
//! after the last event. If no other server can, a slow server is waited for.
//! The caller sees one response with the head of the first server. The stages
//! are run again before a resume: their results were released once the first
//! server had used them, because the memory for results limits how many stages
//! can run.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        attempt::{AttemptTracker, RetryDecision},
        event_splitter::EventSplitter,
        server::ListedServer,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::{sync::mpsc, time::timeout_at};

use crate::{
    blackboard::InFlightGuard,
    body::{RelayError, ResumableBody},
};

use super::{
    outgoing::{
        AttemptError, OutgoingRequest, ServerResponse, UsableResponse,
        choose_server, record_failure,
    },
    record::RequestRecord,
};

/// A server counts as stalled when no complete event arrives for this many
/// times the route's target gap between events.
const STOPPED_AFTER_GAPS: u32 = 4;

/// The shortest time after which a server counts as stalled: the prefill of
/// another prompt delays the tokens of a stream.
const MIN_STOPPED_AFTER: Duration = Duration::from_millis(1200);

/// Buffered events for a slow caller.
const WAITING_EVENTS: usize = 8;

/// A resume needs at least this much time to be useful.
const MIN_RESUME_TIME: Duration = Duration::from_millis(200);

/// Starts a task that forwards a response, and returns the body for the
/// caller.
#[must_use]
pub fn spawn_relay(
    outgoing: OutgoingRequest,
    answer: ServerResponse,
    record: RequestRecord,
    running: InFlightGuard,
    sends: AttemptTracker,
) -> ResumableBody {
    let (events, body) = mpsc::channel(WAITING_EVENTS);
    let relay = Resumable {
        outgoing,
        splitter: EventSplitter::default(),
        events,
        record,
        sends,
        tried: Vec::new(),
    };
    let part = Part { answer, _running: running };
    tokio::task::spawn_local(relay.run(part));
    ResumableBody::new(body)
}

/// How a server's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller has disconnected.
    CallerLeft,
    /// The request's deadline has passed.
    TimeOut,
    /// The response ended early.
    Stopped(AttemptError),
    /// No complete event arrived for a while, even if other bytes did.
    Stalled,
}

/// The part of a stream that one server sends.
struct Part {
    answer: ServerResponse,
    _running: InFlightGuard,
}

/// The server that is to resume the stream, and the request to send to it.
struct Next {
    outgoing: OutgoingRequest,
    server: Arc<ListedServer>,
}

struct Resumable {
    outgoing: OutgoingRequest,
    splitter: EventSplitter,
    events: mpsc::Sender<Result<Bytes, RelayError>>,
    record: RequestRecord,
    sends: AttemptTracker,
    tried: Vec<Arc<str>>,
}

impl Resumable {
    async fn run(mut self, mut part: Part) {
        // Whether to wait for a stalled server because no other one can
        // resume.
        let mut patient = false;
        loop {
            let failed = match self.pass_part(&mut part.answer, patient).await
            {
                PartEnd::Complete => {
                    part.answer
                        .lease
                        .return_to_pool(part.answer.info.idle_timeout);
                    self.outgoing.record_success();
                    return self.record.set_outcome("answered");
                }
                PartEnd::CallerLeft => return,
                PartEnd::TimeOut => {
                    self.record.set_outcome("time_out_midway");
                    // Sending fails if the caller has disconnected meanwhile.
                    let _ = self.events.send(Err(RelayError::TimeOut)).await;
                    return;
                }
                PartEnd::Stopped(failed) => failed,
                PartEnd::Stalled => {
                    let failure = AttemptFailure::TimedOut;
                    let failed =
                        AttemptError::new(failure, "no event in time");
                    let Some(next) = self.next_server(&failed).await else {
                        patient = true;
                        continue;
                    };
                    // Cancels the request at the stalled server before another
                    // one starts.
                    drop(part);
                    match self.go_on(next).await {
                        Ok(next) => {
                            part = next;
                            continue;
                        }
                        Err(failed) => failed,
                    }
                }
            };
            patient = false;
            self.splitter.discard_partial();
            let cause = failed.cause.clone();
            let Some(next) = self.resume(failed).await else {
                self.record.record_truncated(&cause);
                let error = RelayError::Server(cause);
                let _ = self.events.send(Err(error)).await;
                return;
            };
            part = next;
        }
    }

    /// Forwards the events of one server.
    async fn pass_part(
        &mut self,
        answer: &mut ServerResponse,
        patient: bool,
    ) -> PartEnd {
        let gateway = Rc::clone(&self.outgoing.gateway);
        let deadline = self.outgoing.accepted.deadline;
        let gap = self.outgoing.accepted.route.target_gap;
        let stalled = (gap * STOPPED_AFTER_GAPS).max(MIN_STOPPED_AFTER);
        let mut event_at = gateway.blackboard.now();
        loop {
            let stalled_at =
                if patient { deadline } else { event_at + stalled };
            let until = stalled_at.min(deadline);
            let next = timeout_at(until.into(), answer.body.frame());
            let next = tokio::select! {
                next = next => next,
                () = self.events.closed() => return PartEnd::CallerLeft,
            };
            let frame = match next {
                Err(_) if until == deadline => return PartEnd::TimeOut,
                Err(_) => return PartEnd::Stalled,
                Ok(Some(Err(error))) => {
                    return PartEnd::Stopped(stopped_by(error.to_string()));
                }
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
            };
            let Some(data) = frame.data_ref() else { continue };
            let whole = self.splitter.push(data);
            if whole.is_empty() {
                continue;
            }
            if self.splitter.is_resumable() {
                event_at = gateway.blackboard.now();
            }
            if !self.pass(whole).await {
                return PartEnd::CallerLeft;
            }
        }
        let rest = self.splitter.take_partial();
        if self.pass(rest).await {
            PartEnd::Complete
        } else {
            PartEnd::CallerLeft
        }
    }

    /// Forwards bytes and returns whether the caller is still connected.
    async fn pass(&mut self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        self.record.add_relayed_bytes(bytes.len());
        self.events.send(Ok(Bytes::from(bytes))).await.is_ok()
    }

    /// Asks other servers to resume until one does.
    async fn resume(&mut self, mut failed: AttemptError) -> Option<Part> {
        loop {
            let next = self.next_server(&failed).await?;
            failed = match self.go_on(next).await {
                Ok(part) => return Some(part),
                Err(failed) => failed,
            };
        }
    }

    /// Selects another server to resume, and runs the stages again if their
    /// results no longer exist.
    async fn next_server(&mut self, failed: &AttemptError) -> Option<Next> {
        if !self.splitter.is_resumable() {
            return None;
        }
        let mut outgoing = self.outgoing.clone();
        let gateway = Rc::clone(&outgoing.gateway);
        let blackboard = &gateway.blackboard;
        let accepted =
            Rc::new(outgoing.accepted.renew_head_deadline(blackboard.now()));
        outgoing.accepted = Rc::clone(&accepted);
        if let Some(server) = &self.record.server {
            self.tried.push(Arc::clone(server));
            let listed = blackboard.servers.borrow().get(server).cloned();
            if let Some(listed) = listed {
                record_failure(&outgoing, &listed, failed);
            }
        }
        let left = accepted.time_left(blackboard.now());
        let in_time = left > MIN_RESUME_TIME;
        let pay = || blackboard.try_spend_retry(&accepted.service);
        let next = self.sends.record_failure(failed.failure, in_time, pay);
        if next != RetryDecision::Retry {
            return None;
        }
        if failed.inputs_gone {
            outgoing.prepared_inputs.release();
        }
        if outgoing.prepared_inputs.is_released() {
            outgoing.rerun_stages(&mut self.record).await.ok()?;
        }
        let zone = outgoing.prepared_inputs.zone();
        let server = choose_server(&gateway, &accepted, zone, &self.tried)?;
        Some(Next { outgoing, server })
    }

    /// Asks another server to resume the stream.
    async fn go_on(&mut self, next: Next) -> Result<Part, AttemptError> {
        let Next { outgoing, server } = next;
        self.splitter.discard_partial();
        let blackboard = &outgoing.gateway.blackboard;
        let accepted = &outgoing.accepted;
        log::info!(
            "resume: id={} server={} after={}",
            accepted.caller.attempt,
            server.name,
            self.splitter.last_id().unwrap_or("-")
        );
        self.record.server = Some(Arc::clone(&server.name));
        self.record.sends += 1;
        let running = blackboard.track_in_flight(&server.name);
        let after = self.splitter.last_id();
        let sent = timeout_at(
            accepted.deadline.into(),
            outgoing.send_and_record_delay(&server, after),
        );
        let sent = sent.await.unwrap_or_else(|_| {
            let failure = AttemptFailure::TimedOut;
            Err(AttemptError::new(failure, "no response in time"))
        });
        match sent? {
            UsableResponse::Streaming(answer) => {
                outgoing.prepared_inputs.release();
                Ok(Part { answer: *answer, _running: running })
            }
            // A response that is not a stream cannot continue one.
            UsableResponse::Buffered(_) => {
                Err(stopped_by("the response is not a stream"))
            }
        }
    }
}

fn stopped_by(cause: impl Into<String>) -> AttemptError {
    AttemptError::new(AttemptFailure::ConnectionLost, cause)
}
