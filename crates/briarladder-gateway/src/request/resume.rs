//! Passing on a stream that another server may continue.
//!
//! Events are passed on whole. When the server's answer breaks off, or nothing
//! comes for a while, another server is asked to continue after the last
//! event. The caller sees one answer with the head of the first server. The
//! stages before the request are done again: their results were released when
//! the first server had used them, since the room for results is what bounds
//! the stages.

use std::{rc::Rc, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        attempt::{NextStep, Sends},
        events::EventSplitter,
    },
    retry::AttemptFailure,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::{
    sync::mpsc,
    time::{timeout, timeout_at},
};

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

/// A server that sends no event for this many of the longest pauses of its
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
    sends: Sends,
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
    tokio::task::spawn_local(relay.run(answer, running));
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
    /// The server stopped.
    Stopped(Failed),
}

struct Resumable {
    outgoing: Outgoing,
    splitter: EventSplitter,
    events: mpsc::Sender<Result<Bytes, RelayError>>,
    record: Record,
    sends: Sends,
    tried: Vec<Arc<str>>,
}

impl Resumable {
    async fn run(mut self, first: Answer, first_running: RunningGuard) {
        let mut part = Some((first, first_running));
        while let Some((answer, running)) = part.take() {
            let end = self.pass_part(answer).await;
            drop(running);
            match end {
                PartEnd::Complete => self.record.end("answered"),
                PartEnd::CallerLeft => {}
                PartEnd::TimeOut => {
                    self.record.end("time_out_midway");
                    // The caller may have left in the same moment.
                    let _ = self.events.send(Err(RelayError::TimeOut)).await;
                }
                PartEnd::Stopped(failed) => {
                    self.splitter.discard_rest();
                    let cause = failed.cause.clone();
                    part = self.resume(failed).await;
                    if part.is_none() {
                        self.record.end("broken_off");
                        let error = RelayError::Server(cause);
                        let _ = self.events.send(Err(error)).await;
                    }
                }
            }
        }
    }

    /// Passes on the events of one server.
    async fn pass_part(&mut self, answer: Answer) -> PartEnd {
        let Answer { facts, mut body, lease, .. } = answer;
        let give_up = self.outgoing.accepted.give_up;
        let gap = self.outgoing.accepted.route.target_gap;
        let stopped = (gap * STOPPED_AFTER_GAPS).max(MIN_STOPPED_AFTER);
        loop {
            let next =
                timeout_at(give_up.into(), timeout(stopped, body.frame()));
            let next = tokio::select! {
                next = next => next,
                () = self.events.closed() => return PartEnd::CallerLeft,
            };
            let Ok(next) = next else { return PartEnd::TimeOut };
            let frame = match next {
                Err(_) => return stopped_by("no event in time"),
                Ok(Some(Err(error))) => return stopped_by(error.to_string()),
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
            };
            let Some(data) = frame.data_ref() else { continue };
            let whole = self.splitter.push(data);
            if !self.pass(whole).await {
                return PartEnd::CallerLeft;
            }
        }
        lease.give_back(facts.idle_timeout);
        let rest = self.splitter.take_rest();
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

    /// Asks other servers to continue.
    async fn resume(
        &mut self,
        mut failed: Failed,
    ) -> Option<(Answer, RunningGuard)> {
        let mut outgoing = self.outgoing.clone();
        let gateway = Rc::clone(&outgoing.gateway);
        let board = &gateway.board;
        let accepted = Rc::new(outgoing.accepted.continued(board.now()));
        outgoing.accepted = Rc::clone(&accepted);
        loop {
            if let Some(server) = &self.record.server {
                self.tried.push(Arc::clone(server));
                let listed = board.servers.borrow().get(server).cloned();
                if let Some(listed) = listed {
                    note_failure(&outgoing, &listed, &failed);
                }
            }
            let left = accepted.time_left(board.now());
            let in_time = left > MIN_RESUME_TIME;
            let pay = || board.try_repeat(&accepted.service);
            let next = self.sends.failed(failed.failure, in_time, pay);
            if next != NextStep::Retry {
                return None;
            }
            if failed.inputs_gone {
                outgoing.prepared.release();
            }
            if outgoing.prepared.is_released() {
                outgoing.prepare_again(&mut self.record).await.ok()?;
            }
            let zone = outgoing.prepared.zone();
            let server =
                choose_server(&gateway, &accepted, zone, &self.tried)?;
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
            failed = match sent.await.ok()? {
                Ok(Usable::Flowing(answer)) => {
                    outgoing.prepared.release();
                    return Some((*answer, running));
                }
                Ok(Usable::Whole(_)) => return None,
                Err(failed) => failed,
            };
        }
    }
}

fn stopped_by(cause: impl Into<String>) -> PartEnd {
    PartEnd::Stopped(Failed::new(AttemptFailure::Broken, cause))
}
