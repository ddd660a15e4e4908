//! A generation as a stream of server-sent events.

use std::{io, sync::Arc, time::Duration};

use briarladder_wire::backend::{RunRequest, StreamEvent};
use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::time::Instant;

use crate::{
    fault::Fault,
    journal::ExecutionStatus,
    output, response,
    server::{Core, Job, RequestContext},
};

/// The timing of a generation; see
/// [`EngineSettings`](super::EngineSettings).
#[derive(Clone, Copy, Debug)]
pub(super) struct Timing {
    pub(super) time_to_first_token: Duration,
    pub(super) inter_token_latency: Duration,
    pub(super) batch_slowdown_percent: u32,
}

/// A running generation. Dropping it releases its slot.
pub(super) struct Generation {
    core: Arc<Core>,
    job: Job,
    context: RequestContext,
    timing: Timing,
    // The request whose tokens are sent: that of the job unless
    // `Fault::WrongResponse` applies.
    output_run: Arc<RunRequest>,
    // The index of the next token. A resumed generation starts after the
    // tokens of earlier attempts.
    index: u32,
    // The number of tokens of all attempts.
    total: u32,
    next_token_at: Instant,
    phase: Phase,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The start event is sent next.
    Start,
    /// The next token is sent, or the end event after the last one.
    Tokens,
    /// The injected fault applies next and ends the stream.
    Failing(Fault),
    /// Nothing more is sent.
    Ended,
}

impl Generation {
    pub(super) fn new(
        core: Arc<Core>,
        job: Job,
        context: RequestContext,
        timing: Timing,
        total: u32,
    ) -> Generation {
        let mut output_run = job.run.clone();
        if context.faults.contains(Fault::WrongResponse) {
            output_run = core.other_request(&output_run);
        } else {
            core.set_last_run(&output_run);
        }
        let resumed = job.run.resume_tokens.len();
        let index = u32::try_from(resumed).unwrap_or(u32::MAX).min(total);
        Generation {
            core,
            context,
            timing,
            output_run,
            index,
            total,
            next_token_at: Instant::now(),
            phase: Phase::Start,
            job,
        }
    }

    /// Converts the generation into the chunks of a response body.
    pub(super) fn into_stream(
        self,
    ) -> impl Stream<Item = io::Result<Bytes>> + Send {
        stream::unfold(self, |mut generation| async move {
            let chunk = generation.next().await?;
            Some((chunk, generation))
        })
    }

    async fn next(&mut self) -> Option<io::Result<Bytes>> {
        match self.phase {
            Phase::Start => Some(Ok(self.start())),
            Phase::Tokens if self.index < self.total => self.token().await,
            Phase::Tokens => Some(Ok(self.done())),
            Phase::Failing(fault) => self.apply_fault(fault).await,
            Phase::Ended => None,
        }
    }

    fn start(&mut self) -> Bytes {
        self.next_token_at = Instant::now()
            + self.timing.time_to_first_token
            + self.context.faults.run_delay();
        self.phase = Phase::Tokens;
        self.update_phase();
        event(&StreamEvent::Start {
            request_id: self.output_run.request_id,
            stage: self.output_run.stage.clone(),
            attempt: self.output_run.attempt,
        })
    }

    async fn token(&mut self) -> Option<io::Result<Bytes>> {
        if self.next_token_at > Instant::now()
            && self.job.cancelled_before(self.next_token_at).await
        {
            self.job.execution.status = ExecutionStatus::Cancelled;
            return None;
        }
        let index = self.index;
        let text =
            output::token_text(self.output_run.input.get(), index).into();
        let mut bytes = event(&StreamEvent::Token { index, text });
        if self.context.faults.contains(Fault::DuplicateResponse) {
            bytes = [&bytes[..], &bytes[..]].concat().into();
        }
        self.index += 1;
        self.job.execution.sent_tokens += 1;
        self.next_token_at += self.token_interval();
        self.update_phase();
        Some(Ok(bytes))
    }

    /// Switches to the failing phase if a fault applies after the tokens
    /// sent so far.
    fn update_phase(&mut self) {
        let sent = self.job.execution.sent_tokens;
        if let Some(fault) = self.context.faults.after_tokens(sent) {
            self.phase = Phase::Failing(fault);
        }
    }

    async fn apply_fault(
        &mut self,
        fault: Fault,
    ) -> Option<io::Result<Bytes>> {
        response::wait_for_flush().await;
        match fault {
            Fault::CrashAfterTokens(_) => {
                self.core.crash();
                self.context.disconnect().await;
            }
            Fault::HangAfterTokens(_) => {
                self.job.cancelled().await;
                self.job.execution.status = ExecutionStatus::Cancelled;
                return None;
            }
            _ => {}
        }
        Some(Err(io::Error::other("fault: connection closed")))
    }

    /// Returns the time between tokens, which grows with the number of
    /// running requests.
    fn token_interval(&self) -> Duration {
        let timing = self.timing;
        if timing.batch_slowdown_percent == 0 {
            return timing.inter_token_latency;
        }
        let counts = self.core.slots.counts();
        let others = counts.running.saturating_sub(1);
        let slowdown =
            timing.batch_slowdown_percent * others / counts.total.max(1);
        timing.inter_token_latency * (100 + slowdown) / 100
    }

    fn done(&mut self) -> Bytes {
        self.phase = Phase::Ended;
        self.job.execution.status = ExecutionStatus::Completed;
        event(&StreamEvent::Done {
            total_tokens: self.total,
            load: self.core.load_report(),
        })
    }
}

/// Encodes a server-sent event.
fn event(event: &StreamEvent) -> Bytes {
    let mut bytes = b"data: ".to_vec();
    // All map keys are strings, so serialization can't fail.
    serde_json::to_writer(&mut bytes, event).expect("events serialize");
    bytes.extend_from_slice(b"\n\n");
    bytes.into()
}
