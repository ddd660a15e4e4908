//! The path of one request: accept, admit, route, run each stage, answer.
//!
//! | step | module |
//! | --- | --- |
//! | check against the configuration | `request` |
//! | state what its stages ask of their pools | `jobs` |
//! | wait for a slot of each stage's pool | `slots` |
//! | pick a backend server, run and repeat attempts | `stage` |
//! | count against the limits of workspace and caller | `limits` |
//! | hold back requests that crash servers | `suspicion` |
//! | find the outcome of a call whose daemon is gone | `outcomes` |
//! | run a call that may not repeat | `ticketed` |

use std::{sync::Arc, time::Duration};

use briarladder_core::{ids::RequestId, timeline::EventKind};
use briarladder_wire::callers::{Outcome, PipelineResponse, StageRecord};
use derive_more::From;
use serde_json::value::RawValue;
use tokio::sync::mpsc;

use crate::{
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

pub mod limits;
pub mod outcomes;

mod in_flight;
mod jobs;
mod poison_guard;
mod request;
mod slots;
mod stage;
pub mod ticketed_calls;

use poison_guard::PoisonGuard;
pub use request::Request;
pub use slots::{Slot, Slots};
pub use ticketed_calls::TicketedCalls;

/// What a streaming caller receives.
#[derive(Clone, Debug, From)]
pub enum Progress {
    /// The request was accepted under an epoch.
    #[from(skip)]
    Accepted {
        /// The request.
        request_id: RequestId,
        /// The epoch for all its stages.
        epoch: u64,
    },
    /// The next token of the answer.
    #[from(skip)]
    Token {
        /// Counts the tokens of the answer from 0.
        index: u32,
        /// The text.
        text: Arc<str>,
    },
    /// The complete answer.
    Answer(Arc<PipelineResponse>),
    /// There is no answer.
    Refusal(Refusal),
}

/// Where the tokens of the last stage go while it runs.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// Nowhere; the answer is sent whole.
    Whole,
    /// To a streaming caller. The channel has no bound of its own, because
    /// the tokens of one answer are bounded by the stage's `max_tokens`.
    Stream(mpsc::UnboundedSender<Progress>),
}

impl Delivery {
    fn send_token(&self, index: u32, text: &Arc<str>) {
        if let Delivery::Stream(sender) = self {
            let text = Arc::clone(text);
            // A caller that left is noticed when its connection closes.
            let _ = sender.send(Progress::Token { index, text });
        }
    }
}

/// Whether the last stage may run again, and if not, on which ticket.
#[derive(Clone, Copy, Debug)]
pub enum Execution {
    /// Every stage may run again.
    Repeatable,
    /// The last stage runs once, on the ticket with this sequence number.
    AtMostOnce(u64),
}

/// Runs all stages of a request.
///
/// # Errors
///
/// Returns the refusal as soon as it is certain that there is no answer.
pub async fn run(
    daemon: &Arc<Daemon>,
    request: &Request,
    delivery: &Delivery,
    repetition: Execution,
) -> Result<PipelineResponse, Refusal> {
    let pipeline = request.pipeline.name.clone();
    daemon.events.record(request.subject(), EventKind::Accepted { pipeline });
    let result = run_stages(daemon, request, delivery, repetition).await;
    let now = daemon.clock.now();
    let elapsed = now.saturating_duration_since(request.received_at);
    let status = match &result {
        Ok(_) => 200,
        Err(refusal) => refusal.problem(None).status,
    };
    let total_ms = to_ms(elapsed);
    let kind = EventKind::Answered { status, total_ms };
    daemon.events.record(request.subject(), kind);
    daemon.metrics.record_request(&request.pipeline.name, status, elapsed);
    result
}

async fn run_stages(
    daemon: &Arc<Daemon>,
    request: &Request,
    delivery: &Delivery,
    repetition: Execution,
) -> Result<PipelineResponse, Refusal> {
    daemon.retry_budget.lock().record_request();
    let _opened = limits::open(daemon, request).await?;
    let clearance = PoisonGuard::acquire(daemon, request).await?;
    let last = request.pipeline.stages.len() - 1;
    let mut records = Vec::with_capacity(request.pipeline.stages.len());
    let mut previous: Option<Arc<RawValue>> = None;
    for (position, stage) in request.pipeline.stages.iter().enumerate() {
        let began_at = daemon.clock.now();
        let run = stage::StageRun {
            daemon,
            request,
            poison_guard: &clearance,
            stage,
            position,
            previous: previous.clone(),
            delivery: if position == last {
                delivery
            } else {
                &Delivery::Whole
            },
            execution: if position == last {
                repetition
            } else {
                Execution::Repeatable
            },
        };
        let done = match run.execution {
            // An attempt that may not repeat goes on after the deadline, so
            // that its outcome is known to the status query.
            Execution::AtMostOnce(_) => run.run().await?,
            Execution::Repeatable => {
                tokio::time::timeout_at(request.deadline.into(), run.run())
                    .await
                    .map_err(|_| deadline_exceeded(request))??
            }
        };
        let elapsed = daemon.clock.now().saturating_duration_since(began_at);
        records.push(StageRecord {
            stage: stage.stage.name.clone(),
            server: done.server,
            attempts: done.attempts,
            elapsed_us: to_us(elapsed),
        });
        previous = Some(done.output);
    }
    clearance.record_success();
    Ok(PipelineResponse {
        request_id: request.id,
        pipeline: request.pipeline.name.clone(),
        epoch: request.snapshot.epoch,
        outcome: Outcome::Answered,
        // OK because a checked pipeline has at least one stage.
        output: previous.unwrap(),
        stages: records,
    })
}

fn deadline_exceeded(request: &Request) -> Refusal {
    Refusal::new(
        RefusalKind::DeadlineExceeded,
        "the deadline passed before the answer was complete",
    )
    .with_outcome(request.outcome_without_answer())
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
