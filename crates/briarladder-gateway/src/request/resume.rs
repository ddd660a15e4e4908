//! Forwards an event stream that another server may resume.
//!
//! Only complete events are forwarded. When the server's response breaks off,
//! or no complete event arrives for a while, another server is asked to resume
//! after the last event. If no other server can, a slow server is waited for.
//! The caller sees one response with the head of the first server. The stages
//! are run again before a resume: their results were released once the first
//! server had used them, because the memory for results limits how many stages
//! can run.
//!
//! A stream only goes on at the software version that has brought its first
//! event. Before the first events of a server are passed on, the relay checks
//! that no process of another version has the server's name by now.
//!
//! The relay is the only part of a request that does not run within the future
//! of its caller's connection. The task that owns it waits for the caller's
//! departure as well, and drops the relay with all that it waits for.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        answer_progress::{AnswerPhase, AnswerProgress},
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
    body::{RelayError, ResumableBody, STREAM_CUT_CAUSE},
    in_flight::InFlightGuard,
};

use super::{
    accept::AcceptedRequest,
    framing::{Framing, StreamFormat},
    outgoing::{
        AttemptError, OutgoingRequest, ServerResponse, UsableResponse,
        choose_server, record_failure,
    },
    record::RequestRecord,
    take_up::software_of_process,
};

/// A server counts as stalled when no complete event arrives for this many
/// times the route's target gap between events.
const STALL_GAPS: u32 = 4;

/// The shortest time after which a server counts as stalled: the prefill of
/// another prompt delays the tokens of a stream.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(1200);

/// Buffered events for a slow caller.
const EVENT_BUFFER_LEN: usize = 8;

/// Events of fewer bytes are not charged: those in the buffer are covered by
/// what each connection is charged for.
const MIN_CHARGED_BYTES: usize = 2 * 1024;

/// A resume needs at least this much time to be useful.
const MIN_RESUME_TIME: Duration = Duration::from_millis(200);

/// Starts a task that forwards a response, and returns the body for the
/// caller.
#[must_use]
pub fn spawn_relay(
    outgoing: OutgoingRequest,
    server: Arc<ListedServer>,
    response: ServerResponse,
    record: RequestRecord,
    in_flight: InFlightGuard,
    tracker: AttemptTracker,
) -> ResumableBody {
    let (events, body) = mpsc::channel(EVENT_BUFFER_LEN);
    let caller = events.clone();
    let relay = StreamRelay {
        outgoing,
        format: StreamFormat::of(&response.head),
        splitter: EventSplitter::default(),
        events,
        record,
        tracker,
        tried: Vec::new(),
    };
    let part = StreamPart::new(server, response, in_flight);
    tokio::task::spawn_local(async move {
        tokio::select! {
            () = relay.run(part) => {}
            // Dropping the relay cancels what it waits for, such as stages or
            // the response of a server, and writes the request's log line.
            () = caller.closed() => {}
        }
    });
    ResumableBody::new(body)
}

/// How a server's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The request's deadline has passed.
    Timeout,
    /// The response ended early.
    Failed(AttemptError),
    /// No complete event arrived for a while, even if other bytes did.
    Stalled,
}

/// The part of a stream that one server sends.
struct StreamPart {
    server: Arc<ListedServer>,
    response: ServerResponse,
    progress: AnswerProgress,
    /// Events of it were passed on.
    has_events: bool,
    _in_flight: InFlightGuard,
}

impl StreamPart {
    fn new(
        server: Arc<ListedServer>,
        response: ServerResponse,
        in_flight: InFlightGuard,
    ) -> StreamPart {
        StreamPart {
            server,
            response,
            progress: AnswerProgress::default(),
            has_events: false,
            _in_flight: in_flight,
        }
    }
}

/// The server that is to resume the stream, and the request to send to it.
struct ResumeTarget {
    outgoing: OutgoingRequest,
    server: Arc<ListedServer>,
}

struct StreamRelay {
    outgoing: OutgoingRequest,
    format: StreamFormat,
    splitter: EventSplitter,
    events: mpsc::Sender<Result<Bytes, RelayError>>,
    record: RequestRecord,
    tracker: AttemptTracker,
    tried: Vec<Arc<str>>,
}

impl StreamRelay {
    async fn run(mut self, mut part: StreamPart) {
        // Whether to wait for a stalled server because no other one can
        // resume.
        let mut wait_for_stalled = false;
        loop {
            let error = match self
                .relay_part(&mut part, wait_for_stalled)
                .await
            {
                PartEnd::Complete => {
                    part.response
                        .connection
                        .return_to_pool(part.response.info.idle_timeout);
                    self.outgoing.record_success();
                    return self.record.set_outcome("answered");
                }
                PartEnd::Timeout => {
                    self.record.set_outcome("time_out_midway");
                    self.send(Err(RelayError::Timeout)).await;
                    return;
                }
                PartEnd::Failed(error) => {
                    // Cancels the request: the server may still work on it.
                    drop(part);
                    error
                }
                PartEnd::Stalled => {
                    let failure = AttemptFailure::TimedOut;
                    let error = AttemptError::new(failure, "no event in time");
                    let Some(next) = self.select_server(&error).await else {
                        wait_for_stalled = true;
                        continue;
                    };
                    // Cancels the request at the stalled server before another
                    // one starts.
                    drop(part);
                    match self.resume_at(next).await {
                        Ok(next) => {
                            part = next;
                            continue;
                        }
                        Err(error) => error,
                    }
                }
            };
            wait_for_stalled = false;
            let cause = error.cause.clone();
            let Some(next) = self.resume_anywhere(error).await else {
                self.record.record_truncated(&cause);
                self.send(Err(RelayError::Server(cause))).await;
                return;
            };
            part = next;
        }
    }

    /// Forwards the events of one server.
    async fn relay_part(
        &mut self,
        part: &mut StreamPart,
        wait_for_stalled: bool,
    ) -> PartEnd {
        let gateway = Rc::clone(&self.outgoing.gateway);
        let deadline = self.outgoing.accepted.deadline;
        let target_gap = self.outgoing.accepted.route.target_gap;
        let stall_timeout = (target_gap * STALL_GAPS).max(MIN_STALL_TIMEOUT);
        let mut last_event_at = gateway.blackboard.now();
        loop {
            let stall_at = if wait_for_stalled {
                deadline
            } else {
                last_event_at + stall_timeout
            };
            let until = stall_at.min(deadline);
            let next = timeout_at(until.into(), part.response.body.frame());
            let frame = match next.await {
                Err(_) if until == deadline => return PartEnd::Timeout,
                Err(_) => return PartEnd::Stalled,
                Ok(Some(Err(error))) => {
                    let mut error = connection_lost(error.to_string());
                    error.answer = part.progress.phase();
                    return PartEnd::Failed(error);
                }
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
            };
            let Some(data) = frame.data_ref() else { continue };
            if part.progress.record_bytes(gateway.blackboard.now()) {
                self.outgoing.record_answer_underway();
            }
            let complete_events = match self.splitter.push(data) {
                Ok(events) => events,
                Err(error) => {
                    let failure = AttemptFailure::ResponseMismatch;
                    let error = AttemptError::new(failure, error.to_string());
                    return PartEnd::Failed(error);
                }
            };
            if complete_events.is_empty() {
                continue;
            }
            if !self.splitter.is_truncated() {
                last_event_at = gateway.blackboard.now();
            }
            if !part.has_events
                && let Err(error) = self.record_software(&part.server)
            {
                return PartEnd::Failed(error);
            }
            part.has_events = true;
            self.forward(complete_events).await;
        }
        let framing = part.response.framing();
        let no_events = framing == Framing::ConnectionClose
            && part.progress.phase() == AnswerPhase::NotBegun;
        let cause = if no_events || self.splitter.has_partial() {
            STREAM_CUT_CAUSE.to_owned()
        } else {
            let upload = part.response.connection.upload();
            let status = part.response.head.status;
            let server = &part.server;
            let doubt =
                self.outgoing.doubtful_end(server, framing, status, &upload);
            // The server that is asked to resume says whether events follow.
            let Some(doubt) = doubt.await else { return PartEnd::Complete };
            doubt.to_string()
        };
        let mut error = connection_lost(cause);
        error.answer = part.progress.phase();
        PartEnd::Failed(error)
    }

    /// Records the software version of a server whose first events are about
    /// to be passed on. The stream goes on at this version only.
    fn record_software(
        &mut self,
        server: &ListedServer,
    ) -> Result<(), AttemptError> {
        let blackboard = &self.outgoing.gateway.blackboard;
        let accepted = &self.outgoing.accepted;
        let software = software_of_process(blackboard, server);
        if accepted.software.is_some() && accepted.software != software {
            let failure = AttemptFailure::ResponseMismatch;
            let cause = "another software version has the server's name";
            return Err(AttemptError::new(failure, cause));
        }
        if let Some(software) = &software {
            let attempt = accepted.first_attempt();
            blackboard.record_stream(attempt, software, &accepted.route);
        }
        let accepted = AcceptedRequest { software, ..(**accepted).clone() };
        self.outgoing.accepted = Rc::new(accepted);
        Ok(())
    }

    /// Returns whether another server can go on after the last event.
    fn is_resumable(&self) -> bool {
        let is_begun = self.splitter.last_id().is_some();
        let has_software = self.outgoing.accepted.software.is_some();
        self.splitter.is_resumable() && (has_software || !is_begun)
    }

    async fn forward(&mut self, bytes: Vec<u8>) {
        self.record.add_relayed_bytes(bytes.len());
        let bytes = self.charge_events(bytes).await;
        self.send(Ok(bytes)).await;
    }

    /// Charges events to the caller until they are sent. If there is no room
    /// for them, waits until the caller has taken all events before them.
    async fn charge_events(&self, bytes: Vec<u8>) -> Bytes {
        if bytes.len() < MIN_CHARGED_BYTES {
            return Bytes::from(bytes);
        }
        let connection = &self.outgoing.accepted.connection;
        match connection.charge_bytes(bytes) {
            Ok(bytes) => bytes,
            Err(bytes) => {
                // Fails if the caller has disconnected, which ends the relay.
                drop(self.events.reserve_many(EVENT_BUFFER_LEN).await);
                Bytes::from(bytes)
            }
        }
    }

    async fn send(&self, event: Result<Bytes, RelayError>) {
        // Fails if the caller has disconnected, which ends the relay.
        let _ = self.events.send(event).await;
    }

    /// Asks other servers to resume until one does.
    async fn resume_anywhere(
        &mut self,
        mut error: AttemptError,
    ) -> Option<StreamPart> {
        loop {
            let next = self.select_server(&error).await?;
            error = match self.resume_at(next).await {
                Ok(part) => return Some(part),
                Err(error) => error,
            };
        }
    }

    /// Selects another server to resume, and runs the stages again if their
    /// results no longer exist. `None` if the stream must not be resumed.
    async fn select_server(
        &mut self,
        error: &AttemptError,
    ) -> Option<ResumeTarget> {
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
                record_failure(&outgoing, &listed, error);
            }
        }
        let refused = outgoing.refused_for().is_some();
        if refused || !self.is_resumable() {
            return None;
        }
        let time_left = accepted.time_left(blackboard.now());
        let has_time = time_left > MIN_RESUME_TIME;
        let spend_retry = || blackboard.try_spend_retry(&accepted.service);
        let next =
            self.tracker.record_failure(error.failure, has_time, spend_retry);
        if next != RetryDecision::Retry {
            return None;
        }
        if error.inputs_gone {
            outgoing.prepared_inputs.release();
        }
        if outgoing.prepared_inputs.is_released() {
            outgoing.rerun_stages(&mut self.record).await.ok()?;
        }
        let zone = outgoing.prepared_inputs.zone();
        let server = choose_server(&gateway, &accepted, zone, &self.tried)?;
        Some(ResumeTarget { outgoing, server })
    }

    /// Asks another server to resume the stream.
    async fn resume_at(
        &mut self,
        next: ResumeTarget,
    ) -> Result<StreamPart, AttemptError> {
        let ResumeTarget { outgoing, server } = next;
        self.splitter.begin_resume();
        let blackboard = &outgoing.gateway.blackboard;
        let accepted = &outgoing.accepted;
        log::info!(
            "resume: id={} server={} software={} after={} \
             software_before={}",
            accepted.caller.attempt,
            server.name,
            server.software_version,
            self.splitter.last_id().unwrap_or("-"),
            self.record.software_version.as_deref().unwrap_or("-")
        );
        self.record.record_attempt(&server);
        let in_flight = blackboard.track_in_flight(&server);
        let last_event_id = self.splitter.last_id();
        let sent = timeout_at(
            accepted.deadline.into(),
            outgoing.send_and_record_delay(&server, last_event_id),
        );
        let sent = sent.await.unwrap_or_else(|_| {
            let failure = AttemptFailure::TimedOut;
            Err(AttemptError::new(failure, "no response in time"))
        });
        match sent? {
            UsableResponse::Streaming(response)
                if StreamFormat::of(&response.head) == self.format =>
            {
                outgoing.prepared_inputs.release();
                self.record.framing = Some(response.framing());
                Ok(StreamPart::new(server, *response, in_flight))
            }
            UsableResponse::Streaming(_) | UsableResponse::Buffered(_) => {
                Err(AttemptError::new(
                    AttemptFailure::ResponseMismatch,
                    "the response does not continue the stream",
                ))
            }
        }
    }
}

fn connection_lost(cause: impl Into<String>) -> AttemptError {
    AttemptError::new(AttemptFailure::ConnectionLost, cause)
}
