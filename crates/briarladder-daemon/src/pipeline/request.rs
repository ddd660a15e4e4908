//! A request that was checked against the configuration.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::RequestId,
    names::CallerName,
    objects::{
        Workspace,
        snapshot::{RankIndex, ResolvedPipeline, Snapshot},
    },
    poison::ContentHash,
    timeline::EventSubject,
};
use briarladder_wire::callers::{Outcome, RequestHead};
use serde_json::value::RawValue;

use crate::refusal::{Refusal, RefusalKind};

/// A request that can be run.
#[derive(Debug)]
pub struct Request {
    /// Identifies the request, as the caller chose or at random.
    pub id: RequestId,
    /// The configuration for all its stages, even if a newer one is adopted
    /// while it runs.
    pub snapshot: Arc<Snapshot>,
    /// The pipeline to run.
    pub pipeline: Arc<ResolvedPipeline>,
    /// The workspace that the request belongs to.
    pub workspace: Arc<Workspace>,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The caller's weight among the callers of the workspace. 1 if the
    /// workspace does not list the caller.
    pub caller_weight: u32,
    /// The rank, as the caller chose or the pipeline's default.
    pub rank: RankIndex,
    /// When the request was received.
    pub received_at: Instant,
    /// When the response is due.
    pub deadline: Instant,
    /// The body that the caller sent.
    pub input: Arc<RawValue>,
    /// Identifies requests with the same pipeline, workspace and body, to
    /// detect those that crash backend servers.
    pub content_hash: ContentHash,
    /// The idempotency key that the caller sent, if any.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether any stage may have run.
    dispatched: AtomicBool,
}

impl Request {
    /// Checks a request against a configuration.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the configuration does not have the pipeline,
    /// workspace or rank, the workspace may not use the pipeline, or the
    /// deadline is out of range.
    pub fn new(
        snapshot: Arc<Snapshot>,
        head: &RequestHead,
        input: Arc<RawValue>,
        received_at: Instant,
    ) -> Result<Request, Refusal> {
        let pipeline = snapshot
            .pipelines
            .get(&head.pipeline)
            .cloned()
            .ok_or_else(|| not_found("pipeline", &head.pipeline))?;
        let workspace = snapshot
            .workspaces
            .get(&head.workspace)
            .cloned()
            .ok_or_else(|| not_found("workspace", &head.workspace))?;
        if !workspace.pipelines.contains(&pipeline.name) {
            let detail = format!(
                "workspace {} may not use pipeline {}; ask the operator to \
                 add it to the workspace's pipelines",
                workspace.name, pipeline.name
            );
            return Err(Refusal::new(RefusalKind::NotAllowed, detail));
        }
        let rank = match &head.rank {
            None => pipeline.default_rank,
            Some(name) => snapshot
                .rank_index(name.as_str())
                .ok_or_else(|| not_found("rank", name))?,
        };
        let budget = time_budget(head.deadline_ms, pipeline.deadline)?;
        let caller_weight = workspace
            .callers
            .iter()
            .find(|caller| caller.name == head.caller)
            .map_or(1, |caller| caller.weight);
        Ok(Request {
            id: head.request_id,
            content_hash: ContentHash::of(
                &head.pipeline,
                &head.workspace,
                input.get().as_bytes(),
            ),
            pipeline,
            workspace,
            caller: head.caller.clone(),
            caller_weight,
            rank,
            received_at,
            deadline: received_at + budget,
            input,
            idempotency_key: head.idempotency_key.clone(),
            dispatched: AtomicBool::new(false),
            snapshot,
        })
    }

    /// Returns the time until the deadline, or zero after it.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Records that a stage is about to be sent to a backend server, so that
    /// it may have run.
    pub fn mark_dispatched(&self) {
        self.dispatched.store(true, Ordering::Release);
    }

    /// Returns the outcome to report if the request ends now without a
    /// response.
    #[must_use]
    pub fn outcome_without_response(&self) -> Outcome {
        if self.dispatched.load(Ordering::Acquire) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }
    }

    /// Returns the subject of this request's events.
    #[must_use]
    pub fn subject(&self) -> EventSubject {
        EventSubject::default()
            .with_request(self.id)
            .with_epoch(self.snapshot.epoch)
    }
}

fn not_found(kind: &str, name: &impl std::fmt::Display) -> Refusal {
    let detail = format!(
        "{kind} {name} is not in the configuration in force; check the \
         spelling or ask the operator which ones there are"
    );
    Refusal::new(RefusalKind::NotFound, detail)
}

fn time_budget(
    requested_ms: Option<u64>,
    max: Duration,
) -> Result<Duration, Refusal> {
    let Some(requested_ms) = requested_ms else { return Ok(max) };
    let requested = Duration::from_millis(requested_ms);
    if requested.is_zero() || requested > max {
        let detail = format!(
            "the deadline is {requested_ms} ms; set it to 1 to {} ms, or \
             omit it for the maximum",
            max.as_millis()
        );
        return Err(Refusal::new(RefusalKind::InvalidRequest, detail));
    }
    Ok(requested)
}
