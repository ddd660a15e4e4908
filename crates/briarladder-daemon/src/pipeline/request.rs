//! A request after its head and body were checked against the configuration.

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
    /// Identifies the request.
    pub id: RequestId,
    /// The configuration for all its stages.
    pub snapshot: Arc<Snapshot>,
    /// The pipeline.
    pub pipeline: Arc<ResolvedPipeline>,
    /// The workspace that asks.
    pub workspace: Arc<Workspace>,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The caller's share in the workspace.
    pub caller_weight: u32,
    /// The rank.
    pub rank: RankIndex,
    /// When the request was received.
    pub received_at: Instant,
    /// When the caller needs the answer.
    pub deadline: Instant,
    /// What the caller sent.
    pub input: Arc<RawValue>,
    /// Identifies the request by its content.
    pub content_hash: ContentHash,
    /// The caller's own key.
    pub idempotency_key: Option<Arc<str>>,
    /// Whether any stage may have run.
    dispatched: AtomicBool,
}

impl Request {
    /// Checks a request against a configuration.
    ///
    /// # Errors
    ///
    /// Returns what the caller has to change.
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

    /// Returns the time until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }

    /// Records that a stage is about to be sent to a backend server.
    pub fn mark_dispatched(&self) {
        self.dispatched.store(true, Ordering::Release);
    }

    /// Returns what can be said of the outcome if the request ends now
    /// without an answer.
    #[must_use]
    pub fn outcome_without_answer(&self) -> Outcome {
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
    asked_ms: Option<u64>,
    longest: Duration,
) -> Result<Duration, Refusal> {
    let Some(asked_ms) = asked_ms else { return Ok(longest) };
    let asked = Duration::from_millis(asked_ms);
    if asked.is_zero() || asked > longest {
        let detail = format!(
            "the deadline is {asked_ms} ms; set it to 1 to {} ms, or leave \
             it out for the longest",
            longest.as_millis()
        );
        return Err(Refusal::new(RefusalKind::InvalidRequest, detail));
    }
    Ok(asked)
}
