//! Passing on a stream that another server may continue.
//!
//! Events are passed on whole. When the server's answer breaks off, or no
//! whole event comes for a while, another server is asked to continue after
//! the last event. A server that is only slow is waited for if no other one
//! can go on. The caller sees one answer with the head of the first server. The
//! stages before the request are done again: their results were released when
//! the first server had used them, since the room for results is what bounds
//! the stages.

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
    board::RunningGuard,
    body::{RelayError, ResumedBody},
};

use super::{
    outgoing::{
        Answer, Failed, Outgoing, Usable, choose_server, note_failure,
    },
    record::Record,
};

/// A server that sends no whole event for this many of the longest pauses of its
/// route counts as stopped.
const STOPPED_AFTER_GAPS: u32 = 4;

/// A server never counts as stopped sooner than this: a prompt that is read
/// between the tokens of others delays them.
const MIN_STOPPED_AFTER: Duration = Duration::from_millis(1200);

/// Events that wait for a slow caller.
const WAITING_EVENTS: usize = 8;

/// Another server needs at least this much time to be of use.
const MIN_RESUME_TIME: Duration = Duration::from_millis(200);

/// Starts passing on an answer and returns its body.
#[must_use]
pub fn start(
    outgoing: Outgoing,
    answer: Answer,
    record: Record,
    running: RunningGuard,
    sends: AttemptTracker,
) -> ResumedBody {
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
    ResumedBody::new(body)
}

/// How one server's part of a stream ended.
enum PartEnd {
    /// The stream is complete.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time of the request has run out.
    TimeOut,
    /// The answer broke off.
    Stopped(Failed),
    /// No whole event came for a while, whatever else did.
    Stalled,
}

/// One server's part of a stream.
struct Part {
    answer: Answer,
    _running: RunningGuard,
}

/// A server that goes on, with what it is sent.
struct Next {
    outgoing: Outgoing,
    server: Arc<ListedServer>,
}

struct Resumable {
    outgoing: Outgoing,
    splitter: EventSplitter,
    events: mpsc::Sender<Result<Bytes, RelayError>>,
    record: Record,
    sends: AttemptTracker,
    tried: Vec<Arc<str>>,
}

impl Resumable {
    async fn run(mut self, mut part: Part) {
        // A stalled server is waited for if no other one can go on.
        let mut patient = false;
        loop {
            let failed = match self.pass_part(&mut part.answer, patient).await
            {
                PartEnd::Complete => {
                    part.answer
                        .lease
                        .give_back(part.answer.facts.idle_timeout);
                    self.outgoing.succeeded();
                    return self.record.end("answered");
                }
                PartEnd::CallerLeft => return,
                PartEnd::TimeOut => {
                    self.record.end("time_out_midway");
                    // The caller may have left in the same moment.
                    let _ = self.events.send(Err(RelayError::TimeOut)).await;
                    return;
                }
                PartEnd::Stopped(failed) => failed,
                PartEnd::Stalled => {
                    let failure = AttemptFailure::TimedOut;
                    let failed = Failed::new(failure, "no event in time");
                    let Some(next) = self.next_server(&failed).await else {
                        patient = true;
                        continue;
                    };
                    // The stalled server stops before another one starts.
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
                self.record.broken_off(&cause);
                let error = RelayError::Server(cause);
                let _ = self.events.send(Err(error)).await;
                return;
            };
            part = next;
        }
    }

    /// Passes on the events of one server.
    async fn pass_part(
        &mut self,
        answer: &mut Answer,
        patient: bool,
    ) -> PartEnd {
        let gateway = Rc::clone(&self.outgoing.gateway);
        let give_up = self.outgoing.accepted.give_up;
        let gap = self.outgoing.accepted.route.target_gap;
        let stalled = (gap * STOPPED_AFTER_GAPS).max(MIN_STOPPED_AFTER);
        let mut event_at = gateway.board.now();
        loop {
            let stalled_at =
                if patient { give_up } else { event_at + stalled };
            let until = stalled_at.min(give_up);
            let next = timeout_at(until.into(), answer.body.frame());
            let next = tokio::select! {
                next = next => next,
                () = self.events.closed() => return PartEnd::CallerLeft,
            };
            let frame = match next {
                Err(_) if until == give_up => return PartEnd::TimeOut,
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
                event_at = gateway.board.now();
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

    /// Passes on bytes and returns whether the caller still reads.
    async fn pass(&mut self, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() {
            return true;
        }
        self.record.relayed(bytes.len());
        self.events.send(Ok(Bytes::from(bytes))).await.is_ok()
    }

    /// Asks other servers to continue until one does.
    async fn resume(&mut self, mut failed: Failed) -> Option<Part> {
        loop {
            let next = self.next_server(&failed).await?;
            failed = match self.go_on(next).await {
                Ok(part) => return Some(part),
                Err(failed) => failed,
            };
        }
    }

    /// Finds another server to continue, and makes its inputs again if they
    /// are gone.
    async fn next_server(&mut self, failed: &Failed) -> Option<Next> {
        if !self.splitter.is_resumable() {
            return None;
        }
        let mut outgoing = self.outgoing.clone();
        let gateway = Rc::clone(&outgoing.gateway);
        let board = &gateway.board;
        let accepted = Rc::new(outgoing.accepted.continued(board.now()));
        outgoing.accepted = Rc::clone(&accepted);
        if let Some(server) = &self.record.server {
            self.tried.push(Arc::clone(server));
            let listed = board.servers.borrow().get(server).cloned();
            if let Some(listed) = listed {
                note_failure(&outgoing, &listed, failed);
            }
        }
        let left = accepted.time_left(board.now());
        let in_time = left > MIN_RESUME_TIME;
        let pay = || board.try_repeat(&accepted.service);
        let next = self.sends.record_failure(failed.failure, in_time, pay);
        if next != RetryDecision::Retry {
            return None;
        }
        if failed.inputs_gone {
            outgoing.prepared.release();
        }
        if outgoing.prepared.is_released() {
            outgoing.prepare_again(&mut self.record).await.ok()?;
        }
        let zone = outgoing.prepared.zone();
        let server = choose_server(&gateway, &accepted, zone, &self.tried)?;
        Some(Next { outgoing, server })
    }

    /// Sends what is left of a stream to another server.
    async fn go_on(&mut self, next: Next) -> Result<Part, Failed> {
        let Next { outgoing, server } = next;
        self.splitter.discard_partial();
        let board = &outgoing.gateway.board;
        let accepted = &outgoing.accepted;
        log::info!(
            "resume: id={} server={} after={}",
            accepted.caller.attempt,
            server.name,
            self.splitter.last_id().unwrap_or("-")
        );
        self.record.server = Some(Arc::clone(&server.name));
        self.record.sends += 1;
        let running = board.start_running(&server.name);
        let after = self.splitter.last_id();
        let sent = timeout_at(
            accepted.give_up.into(),
            outgoing.send_and_learn(&server, after),
        );
        let sent = sent.await.unwrap_or_else(|_| {
            let failure = AttemptFailure::TimedOut;
            Err(Failed::new(failure, "no answer in time"))
        });
        match sent? {
            Usable::Flowing(answer) => {
                outgoing.prepared.release();
                Ok(Part { answer: *answer, _running: running })
            }
            // An answer that is no stream can't go on with one.
            Usable::Whole(_) => Err(stopped_by("the answer is no stream")),
        }
    }
}

fn stopped_by(cause: impl Into<String>) -> Failed {
    Failed::new(AttemptFailure::ConnectionLost, cause)
}
