//! The path of one request: check, admit, route and run each stage, respond.
//!
//! | step | module |
//! | --- | --- |
//! | check the request against the configuration | `request` |
//! | count it against the limits of workspace and caller | `limits` |
//! | isolate or refuse requests that crash backend servers | `poison_guard` |
//! | describe the demand of its stages on their pools | `jobs` |
//! | wait for a slot of each stage's pool | `slots` |
//! | pick a backend server, run and retry attempts | `stage` |
//! | count the attempts in flight at each backend server | `in_flight` |
//! | run a non-idempotent call on its ticket | `ticketed_calls` |
//! | find the outcome of a call whose issuer is gone | `outcomes` |

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

/// An event of the stream that a caller receives.
#[derive(Clone, Debug, From)]
pub enum Progress {
    /// The request was accepted. Always the first event.
    #[from(skip)]
    Accepted {
        /// Identifies the request.
        request_id: RequestId,
        /// The epoch of the configuration for all its stages.
        epoch: u64,
    },
    /// The next token of the last stage.
    #[from(skip)]
    Token {
        /// The position of the token in the output, from 0.
        index: u32,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The complete response. Ends the stream.
    Response(Arc<PipelineResponse>),
    /// The error that ends the stream without a response.
    Refusal(Refusal),
}

/// How the output of the last stage is delivered while the stage runs.
#[derive(Clone, Debug)]
pub enum Delivery {
    /// As a whole, when the pipeline is complete.
    Whole,
    /// Token by token. The channel is unbounded, because the stage's
    /// `max_tokens` limits the number of its tokens.
    Stream(mpsc::UnboundedSender<Progress>),
}

impl Delivery {
    fn send_token(&self, index: u32, text: &Arc<str>) {
        if let Delivery::Stream(sender) = self {
            let text = Arc::clone(text);
            // Fails after the caller has disconnected, in which case the HTTP
            // handler cancels the request.
            let _ = sender.send(Progress::Token { index, text });
        }
    }
}

/// How often the last stage may run. The other stages are always idempotent.
#[derive(Clone, Copy, Debug)]
pub enum Execution {
    /// The stage is idempotent and may be retried.
    Repeatable,
    /// The stage runs at most once, on the ticket with this sequence number.
    AtMostOnce(u64),
}

/// Runs all stages of a request.
///
/// # Errors
///
/// Returns a refusal as soon as it is certain that the request fails.
pub async fn run(
    daemon: &Arc<Daemon>,
    request: &Request,
    delivery: &Delivery,
    execution: Execution,
) -> Result<PipelineResponse, Refusal> {
    let pipeline = request.pipeline.name.clone();
    daemon.events.record(request.subject(), EventKind::Accepted { pipeline });
    let result = run_stages(daemon, request, delivery, execution).await;
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
    execution: Execution,
) -> Result<PipelineResponse, Refusal> {
    daemon.retry_budget.lock().record_request();
    let _open_request = limits::open(daemon, request).await?;
    let poison_guard = PoisonGuard::acquire(daemon, request).await?;
    let last = request.pipeline.stages.len() - 1;
    let mut records = Vec::with_capacity(request.pipeline.stages.len());
    let mut previous: Option<Arc<RawValue>> = None;
    for (position, stage) in request.pipeline.stages.iter().enumerate() {
        let started_at = daemon.clock.now();
        let run = stage::StageRun {
            daemon,
            request,
            poison_guard: &poison_guard,
            stage,
            position,
            previous: previous.clone(),
            delivery: if position == last {
                delivery
            } else {
                &Delivery::Whole
            },
            execution: if position == last {
                execution
            } else {
                Execution::Repeatable
            },
        };
        let completed = match run.execution {
            // A non-idempotent attempt continues after the deadline, so that
            // a status query can report its outcome.
            Execution::AtMostOnce(_) => run.run().await?,
            Execution::Repeatable => {
                tokio::time::timeout_at(request.deadline.into(), run.run())
                    .await
                    .map_err(|_| deadline_exceeded(request))??
            }
        };
        let elapsed = daemon.clock.now().saturating_duration_since(started_at);
        records.push(StageRecord {
            stage: stage.stage.name.clone(),
            server: completed.server,
            attempts: completed.attempts,
            elapsed_us: to_us(elapsed),
        });
        previous = Some(completed.output);
    }
    poison_guard.record_success();
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
        "the deadline passed before the response was complete",
    )
    .with_outcome(request.outcome_without_response())
}

fn to_ms(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

fn to_us(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
