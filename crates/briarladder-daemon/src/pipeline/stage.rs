//! Runs one stage: waits for a slot, picks a backend server, runs an attempt
//! and retries it where that is allowed.

use std::{
    ops::ControlFlow,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    admission::RefusalReason,
    ledger::NotRunProof,
    load::LoadReport,
    membership::ViewStatus,
    names::ServerName,
    objects::{Work, snapshot::ResolvedStage},
    retry::{
        self, AttemptDecision, AttemptFailure, EarlierAttempts, Idempotency,
    },
    routing::{NoServer, Pick, Query, Sharing, StageBytes},
    stream::{EndOutcome, TokenOutcome, TokenStream},
    timeline::{EventKind, EventSubject},
};
use briarladder_wire::backend::RunRequest;
use serde::Serialize;
use serde_json::value::{RawValue, to_raw_value};

use super::{
    Delivery, Execution, Request, in_flight::InFlightAttempt, jobs::Jobs,
    poison_guard::PoisonGuard, to_ms,
};
use crate::{
    backend::{Attempt, CancelOnDrop, Connection},
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// How long to wait before looking for a free backend server again. A slot
/// of the pool was granted, so one will be free soon.
const BUSY_CHECK_INTERVAL: Duration = Duration::from_millis(2);

/// The timeout for fresh views after a pause of the process. Peers are probed
/// once a second and respond in milliseconds.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How often to check whether the views are fresh.
const VERIFY_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// One stage of one request, about to run.
pub(super) struct StageRun<'a> {
    pub(super) daemon: &'a Arc<Daemon>,
    pub(super) request: &'a Request,
    pub(super) poison_guard: &'a PoisonGuard<'a>,
    pub(super) stage: &'a ResolvedStage,
    pub(super) position: usize,
    pub(super) previous: Option<Arc<RawValue>>,
    pub(super) delivery: &'a Delivery,
    pub(super) execution: Execution,
}

/// The result of a stage.
pub(super) struct CompletedStage {
    pub(super) output: Arc<RawValue>,
    pub(super) server: ServerName,
    pub(super) attempts: u32,
}

/// The result of a successful attempt.
struct CompletedAttempt {
    output: Arc<RawValue>,
    load: Option<LoadReport>,
}

impl StageRun<'_> {
    /// Runs the stage.
    ///
    /// # Errors
    ///
    /// Returns a refusal when admission refuses the stage, no backend server
    /// is available, or an attempt failed and may not be retried.
    pub(super) async fn run(&self) -> Result<CompletedStage, Refusal> {
        let _slot = self.admit().await?;
        self.verify_views().await;
        let mut tokens = TokenStream::new(self.max_tokens());
        let mut tried: Vec<ServerName> = Vec::new();
        let mut attempts = 0;
        let mut earlier = EarlierAttempts::NotRun;
        loop {
            let pick = self.pick(&tried).await?;
            let server = pick.server.name.clone();
            let incarnation = self.daemon.router.lock().incarnation(&server);
            let result = self.attempt(&pick, attempts, &mut tokens).await?;
            attempts += 1;
            let failure = match result {
                Ok(output) => {
                    return Ok(CompletedStage { output, server, attempts });
                }
                Err(failure) => failure,
            };
            self.poison_guard
                .record_failure(&pick.server, incarnation, failure)
                .await?;
            let tokens_received = tokens.received_tokens();
            match self.decide(failure, earlier, tokens_received) {
                AttemptDecision::RetryElsewhere => {
                    self.record(EventKind::Retried { attempt: attempts });
                }
                AttemptDecision::Resume => self.record(EventKind::Resumed {
                    attempt: attempts,
                    token_index: tokens_received,
                }),
                AttemptDecision::FailNotRun | AttemptDecision::FailUnknown => {
                    return Err(self.failure_refusal(&server, failure));
                }
            }
            if !failure.proves_not_run() {
                earlier = EarlierAttempts::MayHaveRun;
            }
            tried.push(server);
        }
    }

    /// Waits for a slot of the stage's pool.
    ///
    /// # Errors
    ///
    /// Returns admission's refusal.
    async fn admit(&self) -> Result<super::Slot, Refusal> {
        let request = self.request;
        let now = self.daemon.clock.now();
        let (job, later) = {
            let estimates = self.daemon.estimates.lock();
            let jobs = Jobs::new(now, request, &estimates, self.position);
            (jobs.current(), jobs.later())
        };
        let slot = self.daemon.slots.acquire(&job, &later).await;
        let waited = self.daemon.clock.now().saturating_duration_since(now);
        match slot {
            Ok(slot) => {
                let wait_estimate_ms = to_ms(waited);
                self.record(EventKind::Admitted { wait_estimate_ms });
                Ok(slot)
            }
            Err(refusal) => {
                let reason = refusal.reason;
                self.daemon.metrics.record_refusal(request.rank, reason);
                self.record(EventKind::Refused {
                    retry_after_ms: refusal.retry_after.map_or(0, to_ms),
                    reason: reason.to_string().as_str().into(),
                });
                let kind = match reason {
                    RefusalReason::NoSlots => RefusalKind::NoServer,
                    _ => RefusalKind::Overloaded,
                };
                let mut caller_refusal =
                    Refusal::new(kind, reason.to_string())
                        .with_outcome(request.outcome_without_response());
                caller_refusal.retry_after = refusal.retry_after;
                Err(caller_refusal)
            }
        }
    }

    /// After a pause of the process, waits until its views are fresh again.
    /// The wait is limited, so that a partitioned daemon continues with the
    /// views that it has.
    async fn verify_views(&self) {
        let give_up_at = self.daemon.clock.now() + VERIFY_TIMEOUT;
        while self.daemon.pause_monitor.view_status() == ViewStatus::Unverified
            && self.daemon.clock.now() < give_up_at
        {
            tokio::time::sleep(VERIFY_CHECK_INTERVAL).await;
        }
    }

    /// Picks a backend server, and waits while all of them are busy.
    async fn pick(&self, tried: &[ServerName]) -> Result<Pick, Refusal> {
        let request = self.request;
        loop {
            let now = self.daemon.clock.now();
            let time_left = request.time_left(now);
            let mut query = Query::new(
                &self.stage.pool.name,
                time_left,
                self.remaining(now),
            );
            query.exclude = tried;
            query.sharing = self.poison_guard.sharing();
            if let Work::Generate { model_version, .. } =
                &self.stage.stage.work
            {
                query.model_version = Some(model_version);
            }
            let picked = {
                let mut router = self.daemon.router.lock();
                let picked = router.pick(now, &query, &mut rand::rng());
                match &picked {
                    Ok(pick) => router.record_sent(now, pick),
                    Err(NoServer::AllBusy)
                        if query.sharing == Sharing::Exclusive =>
                    {
                        router.record_exclusive_wait(now, query.pool);
                    }
                    Err(_) => {}
                }
                picked
            };
            match picked {
                Ok(pick) => return Ok(pick),
                Err(NoServer::AllBusy) if !time_left.is_zero() => {
                    tokio::time::sleep(BUSY_CHECK_INTERVAL).await;
                }
                Err(reason) => {
                    let detail =
                        format!("stage {}: {reason}", self.stage.stage.name);
                    return Err(Refusal::new(RefusalKind::NoServer, detail)
                        .with_outcome(request.outcome_without_response())
                        .with_retry_after(Duration::from_secs(1)));
                }
            }
        }
    }

    /// Runs one attempt. The outer error ends the request; after the inner
    /// one the attempt may be retried.
    async fn attempt(
        &self,
        pick: &Pick,
        number: u32,
        tokens: &mut TokenStream,
    ) -> Result<Result<Arc<RawValue>, AttemptFailure>, Refusal> {
        let in_flight = InFlightAttempt::new(self.daemon, pick);
        let message = self.message(number, tokens);
        let now = self.daemon.clock.now();
        let time_left = self.request.time_left(now);
        let mut attempt = Attempt {
            request: &message,
            idempotency_key: self.request.idempotency_key.as_deref(),
            connection: Connection::Pooled,
            timeout: self.stage.timeout().min(time_left),
        };
        let key;
        if let Execution::AtMostOnce(sequence) = self.execution {
            key = self.daemon.calls.idempotency_key(sequence);
            attempt.idempotency_key = Some(&key);
            attempt.connection = Connection::New;
            attempt.timeout = self.stage.timeout();
            // There must be no await between this and the sending of the
            // first byte. Otherwise a process that resumes after a pause
            // could send the call long after this check.
            self.daemon.calls.dispatch(now, sequence, time_left)?;
        }
        self.request.mark_dispatched();
        let subject = self.subject().with_server(pick.server.name.clone());
        let dispatched = EventKind::Dispatched { attempt: number };
        self.daemon.events.record(subject.clone(), dispatched);

        let result = match self.stage.stage.work {
            Work::Generate { .. } => {
                self.generate(pick, attempt, tokens).await
            }
            _ => self.call(pick, attempt).await,
        };
        let elapsed = in_flight.finish(&result);
        match &result {
            Ok(completed) => {
                self.record_success(pick, subject, number, completed, elapsed);
            }
            Err(failure) => {
                let reason = failure.to_string().as_str().into();
                let kind =
                    EventKind::AttemptFailed { attempt: number, reason };
                self.daemon.events.record(subject, kind);
                self.revert_dispatch(*failure);
            }
        }
        Ok(result.map(|completed| completed.output))
    }

    /// Runs an attempt at a stage other than a generation.
    async fn call(
        &self,
        pick: &Pick,
        attempt: Attempt<'_>,
    ) -> Result<CompletedAttempt, AttemptFailure> {
        let backend = &self.daemon.backend;
        let address = pick.server.address;
        let cancel = match self.execution {
            Execution::Repeatable => Some(CancelOnDrop::new(
                backend.clone(),
                address,
                self.request.id,
            )),
            Execution::AtMostOnce(_) => None,
        };
        let output = backend.run(address, attempt).await;
        if output.is_ok()
            && let Some(cancel) = cancel
        {
            cancel.disarm();
        }
        let output = output?;
        Ok(CompletedAttempt { output: output.output, load: output.load })
    }

    /// Runs an attempt at a generation, and delivers its tokens as they
    /// arrive.
    async fn generate(
        &self,
        pick: &Pick,
        attempt: Attempt<'_>,
        tokens: &mut TokenStream,
    ) -> Result<CompletedAttempt, AttemptFailure> {
        let backend = &self.daemon.backend;
        let address = pick.server.address;
        let cancel =
            CancelOnDrop::new(backend.clone(), address, self.request.id);
        let number = tokens.begin_attempt();
        let end = backend
            .generate(address, attempt, |index, text| {
                match tokens.accept(number, index, Arc::clone(&text)) {
                    TokenOutcome::New => {
                        self.delivery.send_token(index, &text);
                    }
                    TokenOutcome::Duplicate | TokenOutcome::Late => {}
                    TokenOutcome::Failed(fault) => {
                        let server = &pick.server.name;
                        log::warn!("stage: bad output of {server}: {fault}");
                        return ControlFlow::Break(());
                    }
                }
                ControlFlow::Continue(())
            })
            .await?;
        cancel.disarm();
        match tokens.end(number, end.total_tokens) {
            EndOutcome::Complete => Ok(CompletedAttempt {
                output: generation_output(tokens),
                load: end.load,
            }),
            EndOutcome::Incomplete { .. } | EndOutcome::Late => {
                Err(AttemptFailure::ConnectionLost)
            }
        }
    }

    fn max_tokens(&self) -> u32 {
        match self.stage.stage.work {
            Work::Generate { max_tokens, .. } => max_tokens,
            _ => 0,
        }
    }

    /// Builds the message to the backend server.
    fn message(&self, number: u32, tokens: &TokenStream) -> RunRequest {
        let work = &self.stage.stage.work;
        let (model_version, max_tokens) = match work {
            Work::Generate { model_version, max_tokens } => {
                (Some(model_version.clone()), Some(*max_tokens))
            }
            _ => (None, None),
        };
        let operation = match work {
            Work::Call { operation } => Some(Arc::from(operation.as_str())),
            _ => None,
        };
        let time_left = self.request.time_left(self.daemon.clock.now());
        RunRequest {
            request_id: self.request.id,
            stage: self.stage.stage.name.clone(),
            attempt: number,
            epoch: self.request.snapshot.epoch,
            priority: self.request.rank.0,
            deadline_ms: u64::from(to_ms(time_left)),
            model_version,
            max_tokens,
            resume_tokens: tokens.resume_tokens().to_vec(),
            operation,
            input: Arc::clone(&self.request.input),
            previous: self.previous.clone(),
        }
    }

    /// Updates the router, the estimates, the timeline and the metrics after
    /// a successful attempt.
    fn record_success(
        &self,
        pick: &Pick,
        subject: EventSubject,
        number: u32,
        completed: &CompletedAttempt,
        elapsed: Duration,
    ) {
        let now = self.daemon.clock.now();
        let sent_bytes = self.request.input.get().len()
            + self.previous.as_ref().map_or(0, |p| p.get().len());
        {
            let mut router = self.daemon.router.lock();
            let server = &pick.server.name;
            if let Some(load) = &completed.load {
                router.apply_report(now, server, load);
            }
            let bytes = StageBytes {
                sent_bytes: sent_bytes as u64,
                received_bytes: completed.output.get().len() as u64,
            };
            router.record_bytes(&self.stage.stage.name, server, bytes);
        }
        let mut estimates = self.daemon.estimates.lock();
        estimates.observe(now, self.stage, elapsed);
        drop(estimates);
        let service_ms = to_ms(elapsed);
        let kind = EventKind::StageDone { attempt: number, service_ms };
        self.daemon.events.record(subject, kind);
        self.daemon.metrics.record_stage(&self.stage.stage.name, elapsed);
    }

    /// Reverts the dispatch of a non-idempotent call in the ledger, if the
    /// failure proves that it did not run.
    fn revert_dispatch(&self, failure: AttemptFailure) {
        let Execution::AtMostOnce(sequence) = self.execution else { return };
        let proof = match failure {
            AttemptFailure::ConnectFailed => NotRunProof::NotConnected,
            AttemptFailure::RefusedNotRun => NotRunProof::Refused,
            _ => return,
        };
        self.daemon.calls.revert_dispatch(sequence, proof);
    }

    fn decide(
        &self,
        failure: AttemptFailure,
        earlier: EarlierAttempts,
        tokens_received: u32,
    ) -> AttemptDecision {
        let now = self.daemon.clock.now();
        let attempt = retry::FailedAttempt {
            failure,
            earlier_attempts: earlier,
            idempotency: match self.execution {
                Execution::Repeatable => Idempotency::Idempotent,
                Execution::AtMostOnce(_) => Idempotency::NonIdempotent,
            },
            tokens_received,
            time_left: self.request.time_left(now),
            estimate: self.remaining(now),
        };
        retry::decide(now, &attempt, &mut self.daemon.retry_budget.lock())
    }

    fn failure_refusal(
        &self,
        server: &ServerName,
        failure: AttemptFailure,
    ) -> Refusal {
        let detail = format!(
            "stage {} failed at backend server {server}: {failure}",
            self.stage.stage.name
        );
        Refusal::new(RefusalKind::BackendFailed, detail)
            .with_outcome(self.request.outcome_without_response())
    }

    /// Returns the expected service time of this and the later stages.
    fn remaining(&self, now: Instant) -> Duration {
        let rest = &self.request.pipeline.stages[self.position..];
        self.daemon.estimates.lock().expected_time(now, rest)
    }

    fn subject(&self) -> EventSubject {
        self.request.subject().with_stage(self.stage.stage.name.clone())
    }

    fn record(&self, kind: EventKind) {
        log::debug!(
            "stage: {} request={} epoch={} {kind}",
            self.stage.stage.name,
            self.request.id,
            self.request.snapshot.epoch
        );
        self.daemon.events.record(self.subject(), kind);
    }
}

/// The output of a complete generation, as callers see it.
#[derive(Serialize)]
struct GenerationOutput {
    text: String,
    total_tokens: u32,
}

fn generation_output(tokens: &TokenStream) -> Arc<RawValue> {
    let output = GenerationOutput {
        text: tokens.text(),
        total_tokens: tokens.received_tokens(),
    };
    // OK because the output has no map with keys that are not strings.
    Arc::from(to_raw_value(&output).unwrap())
}
