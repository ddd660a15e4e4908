//! One generation as a stream of server-sent events.

use std::{io, sync::Arc, time::Duration};

use briarladder_wire::backend::{RunRequest, StreamEvent};
use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time::Instant;

use crate::{
    fault::Fault,
    journal::ExecutionStatus,
    output, reply,
    server::{Core, Job, Link},
};

/// The timing of one generation.
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    pub(super) first_token: Duration,
    pub(super) between_tokens: Duration,
    pub(super) batch_slowdown_percent: u32,
}

/// A running generation. Dropping it frees its slot.
pub(super) struct Generation {
    core: Arc<Core>,
    job: Job,
    link: Link,
    timing: Timing,
    // Whose tokens are sent: those of the job unless answers are crossed.
    shown: Arc<RunRequest>,
    index: u32,
    total: u32,
    next_token_at: Instant,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Start,
    Tokens,
    Faulty(Fault),
    Ended,
}

impl Generation {
    pub(super) fn new(
        core: Arc<Core>,
        job: Job,
        link: Link,
        timing: Timing,
        total: u32,
    ) -> Generation {
        let mut shown = job.run.clone();
        if link.plan.has(Fault::WrongResponse) {
            shown = core.crossed(&shown);
        } else {
            core.remember(&shown);
        }
        let resumed = job.run.resume_tokens.len();
        let index = u32::try_from(resumed).unwrap_or(u32::MAX).min(total);
        Generation {
            core,
            link,
            timing,
            shown,
            index,
            total,
            next_token_at: Instant::now(),
            phase: Phase::Start,
            job,
        }
    }

    /// Returns the events as parts of a response body.
    pub(super) fn into_stream(
        self,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut generation| async move {
            let part = generation.next().await?;
            Some((part, generation))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        match self.phase {
            Phase::Start => Some(Ok(self.start())),
            Phase::Tokens if self.index < self.total => self.token().await,
            Phase::Tokens => Some(Ok(self.done())),
            Phase::Faulty(fault) => self.fail(fault).await,
            Phase::Ended => None,
        }
    }

    fn start(&mut self) -> Bytes {
        self.next_token_at =
            Instant::now() + self.timing.first_token + self.link.plan.slow();
        self.phase = Phase::Tokens;
        self.check_fault();
        event(&StreamEvent::Start {
            request_id: self.shown.request_id,
            stage: self.shown.stage.clone(),
            attempt: self.shown.attempt,
        })
    }

    async fn token(&mut self) -> Option<io::Result<Bytes>> {
        if self.next_token_at > Instant::now()
            && self.job.sleep_until(self.next_token_at).await
        {
            self.job.record.end = ExecutionStatus::Cancelled;
            return None;
        }
        let index = self.index;
        let text = output::token_text(self.shown.input.get(), index).into();
        let mut bytes = event(&StreamEvent::Token { index, text });
        if self.link.plan.has(Fault::DuplicateResponse) {
            bytes = [&bytes[..], &bytes[..]].concat().into();
        }
        self.index += 1;
        self.job.record.sent_tokens += 1;
        self.next_token_at += self.interval();
        self.check_fault();
        Some(Ok(bytes))
    }

    /// Enters the fault that is due after the tokens sent so far.
    fn check_fault(&mut self) {
        let sent = self.job.record.sent_tokens;
        if let Some(fault) = self.link.plan.after_tokens(sent) {
            self.phase = Phase::Faulty(fault);
        }
    }

    async fn fail(&mut self, fault: Fault) -> Option<io::Result<Bytes>> {
        reply::flush_pause().await;
        match fault {
            Fault::CrashAfterTokens(_) => {
                self.core.crash();
                self.link.cut().await;
            }
            Fault::HangAfterTokens(_) => {
                self.job.cancelled().await;
                self.job.record.end = ExecutionStatus::Cancelled;
                return None;
            }
            _ => {}
        }
        Some(Err(io::Error::other("fault: cut")))
    }

    /// Returns the time between tokens, which grows with the batch.
    fn interval(&self) -> Duration {
        let timing = self.timing;
        if timing.batch_slowdown_percent == 0 {
            return timing.between_tokens;
        }
        let counts = self.core.slots.counts();
        let others = counts.running.saturating_sub(1);
        let slowdown =
            timing.batch_slowdown_percent * others / counts.total.max(1);
        timing.between_tokens * (100 + slowdown) / 100
    }

    fn done(&mut self) -> Bytes {
        self.phase = Phase::Ended;
        self.job.record.end = ExecutionStatus::Completed;
        event(&StreamEvent::Done {
            total_tokens: self.total,
            load: self.core.report(),
        })
    }
}

/// Encodes one server-sent event.
fn event(event: &StreamEvent) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    // The events have string keys only, so serialization can't fail.
    serde_json::to_writer(&mut bytes, event).expect("events serialize");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
