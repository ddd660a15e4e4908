//! Runs the stages of one request in the order of their dependencies.

use std::{
    rc::Rc,
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::fleet::{
    batching::ZoneAffinity,
    stage_admission::{StageDemand, Throughput},
    stages::{ResultHandle, StageEstimate, StagePlan},
};
use derive_more::Display;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};

use crate::peers::messages::StagesRequest;

use super::{
    batcher::{Batcher, CancelGuard},
    coordinator::AdmittedRequest,
    held_results::HeldResults,
    piece_group::{StageEvent, StageFailure, StageTask},
    prepared::zones_of,
};

/// Results of at least this size are produced only when they are needed.
pub const LARGE_RESULT_BYTES: u64 = 500_000;

/// How often the stages of a request are restarted because inputs no longer
/// exist.
const MAX_RESTARTS: u32 = 2;

/// Whether a stage whose inputs no longer exist is run again.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum RestartOutcome {
    /// It is run again.
    #[display("yes")]
    Restarted,
    /// It is not: the request would miss its latency target.
    #[display("too_late")]
    TooLate,
    /// It is not: the limit of restarts is reached.
    #[display("too_often")]
    TooOften,
}

/// The time limits of a request's stages.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// When the stages should be complete for the request to meet its latency
    /// target.
    pub target_at: Instant,
    /// When the results are no longer useful.
    pub deadline: Instant,
}

/// The output of all stages of a request.
pub struct PlanOutput {
    /// All results that are still held.
    pub held: HeldResults,
    /// The results that the request needs.
    pub results: Vec<ResultHandle>,
}

/// The stage that made the plan fail.
#[derive(Clone, Copy, Debug)]
pub struct FailedStage {
    /// The index of the stage.
    pub stage: usize,
    /// Why it failed.
    pub failure: StageFailure,
}

/// The execution of the stages of one request.
pub struct PlanRun<'a> {
    batcher: Rc<Batcher>,
    request: &'a StagesRequest,
    plan: StagePlan<'a>,
    times: TimeLimits,
    held: HeldResults,
    guards: Vec<CancelGuard>,
    sender: UnboundedSender<StageEvent>,
    events: UnboundedReceiver<StageEvent>,
}

impl<'a> PlanRun<'a> {
    /// Creates an execution that has not started.
    #[must_use]
    pub fn new(
        batcher: &Rc<Batcher>,
        request: &'a StagesRequest,
        plan: StagePlan<'a>,
        times: TimeLimits,
    ) -> PlanRun<'a> {
        let (sender, events) = mpsc::unbounded_channel();
        PlanRun {
            batcher: Rc::clone(batcher),
            request,
            plan,
            times,
            held: HeldResults::new(batcher),
            guards: Vec::new(),
            sender,
            events,
        }
    }

    /// Returns the time limits of the stages.
    #[must_use]
    pub fn times(&self) -> TimeLimits {
        self.times
    }

    /// Returns the expected time of all stages after the request is admitted.
    #[must_use]
    pub fn expected_time(&self) -> Duration {
        self.plan.remaining(&|service| self.estimate_full_call(service))
    }

    /// Returns the demand of each stage on its service, by stage index.
    #[must_use]
    pub fn demand(&self) -> Vec<(usize, StageDemand)> {
        let total = self.expected_time();
        (0..self.request.stages.len())
            .filter(|&stage| self.plan.pieces(stage) > 0)
            .map(|stage| {
                let estimate =
                    |service: &Arc<str>| self.estimate_full_call(service);
                // Stages start as late as the longest chain allows.
                let remaining = self.plan.time_from(stage, &estimate);
                let demand = StageDemand {
                    service: Arc::clone(&self.request.stages[stage].service),
                    pieces: self.plan.pieces(stage),
                    lead_time: total.saturating_sub(remaining),
                };
                (stage, demand)
            })
            .collect()
    }

    /// Runs all stages.
    ///
    /// # Errors
    ///
    /// With the stage that failed or cannot be completed in time.
    pub async fn run(
        mut self,
        admitted: &AdmittedRequest,
    ) -> Result<PlanOutput, FailedStage> {
        let mut restarts = 0;
        loop {
            self.start_ready();
            if self.plan.is_complete() {
                let results = self.plan.final_results();
                return Ok(PlanOutput { held: self.held, results });
            }
            // Never fails: `self` holds a sender.
            let event = self.events.recv().await.unwrap();
            let (stage, results) = match event {
                StageEvent::InputsFetched { stage } => {
                    self.plan.mark_inputs_fetched(stage);
                    self.held.release(&self.plan.take_unneeded());
                    continue;
                }
                StageEvent::Finished { stage, results } => (stage, results),
            };
            match results {
                Ok(results) => {
                    self.held.add(&results);
                    self.plan.mark_finished(stage, results);
                    admitted.record_stage_done(stage);
                    self.held.release(&self.plan.take_unneeded());
                }
                Err(StageFailure::InputsGone) => {
                    restarts += 1;
                    let again = self.restart(stage, restarts);
                    log::info!(
                        "stages: id={} stage={stage} outcome=inputs_gone \
                         again={again}",
                        self.request.attempt
                    );
                    if again != RestartOutcome::Restarted {
                        let failure = StageFailure::InputsGone;
                        return Err(self.log_failure(stage, failure));
                    }
                }
                Err(failure) => return Err(self.log_failure(stage, failure)),
            }
        }
    }

    /// Restarts a stage whose inputs no longer exist, along with the stages
    /// that produce them, if the request can still meet its latency target.
    /// Returns whether it does.
    fn restart(&mut self, stage: usize, restarts: u32) -> RestartOutcome {
        if restarts > MAX_RESTARTS {
            return RestartOutcome::TooOften;
        }
        let gone = self.plan.restart(stage);
        self.held.release(&gone);
        if self.is_on_time() {
            RestartOutcome::Restarted
        } else {
            RestartOutcome::TooLate
        }
    }

    fn log_failure(&self, stage: usize, failure: StageFailure) -> FailedStage {
        let now = self.batcher.now();
        let spec = &self.request.stages[stage];
        let due = self.due_at(stage);
        let due_ms = due.saturating_duration_since(now).as_millis();
        let late_ms = now.saturating_duration_since(due).as_millis();
        let time_left = self.times.deadline.saturating_duration_since(now);
        let wait =
            self.batcher.expected_wait(&self.request.cell, &spec.service);
        log::info!(
            "stages: id={} stage={stage} service={} pieces={} outcome={} \
             wait_ms={} due_ms={due_ms} late_ms={late_ms} left_ms={} rank={}",
            self.request.attempt,
            spec.service,
            self.plan.pieces(stage),
            match failure {
                StageFailure::Late => "stages_late",
                StageFailure::InputsGone => "inputs_gone",
                StageFailure::Failed => "stage_failed",
            },
            wait.as_millis(),
            time_left.as_millis(),
            self.request.rank,
        );
        FailedStage { stage, failure }
    }

    /// Starts the stages whose inputs are complete, unless they should wait
    /// for other stages.
    fn start_ready(&mut self) {
        for stage in self.plan.ready_stages() {
            if self.should_wait(stage) {
                continue;
            }
            self.plan.mark_started(stage);
            if self.has_lost_input(stage) {
                self.fail_stage(stage, StageFailure::InputsGone);
                continue;
            }
            let task = self.stage_task(stage);
            let sender = self.sender.clone();
            let guard = self.batcher.submit(&self.request.cell, task, sender);
            if let Some(guard) = guard {
                self.guards.push(guard);
            } else {
                self.fail_stage(stage, StageFailure::Failed);
            }
        }
    }

    fn fail_stage(&self, stage: usize, failure: StageFailure) {
        let results = Err(failure);
        // Never fails: `self` holds the receiver.
        self.sender.send(StageEvent::Finished { stage, results }).unwrap();
    }

    /// Returns whether an input was held by a server whose process has exited.
    fn has_lost_input(&self, stage: usize) -> bool {
        let inputs = self.plan.inputs(stage);
        inputs
            .iter()
            .any(|input| self.batcher.has_server_exited(&input.producer))
    }

    /// Returns whether a stage should wait for other stages. Large results
    /// fill the memory of their servers, so they are produced while the last
    /// other stage runs; if the request misses its latency target, they are
    /// produced after all others.
    fn should_wait(&self, stage: usize) -> bool {
        let is_large =
            self.request.stages[stage].result_bytes >= LARGE_RESULT_BYTES;
        let estimate = |service: &Arc<str>| self.estimate(service);
        let is_early = self.plan.parallel_stages_left(stage) > 1
            || (!self.is_on_time() && self.plan.has_unfinished_others(stage));
        is_large && is_early && !self.plan.slack(stage, &estimate).is_zero()
    }

    fn is_on_time(&self) -> bool {
        let estimate = |service: &Arc<str>| self.estimate(service);
        let remaining = self.plan.remaining(&estimate);
        self.batcher.now() + remaining <= self.times.target_at
    }

    /// Returns when a stage should be complete.
    fn due_at(&self, stage: usize) -> Instant {
        let estimate = |service: &Arc<str>| self.estimate(service);
        let after = self.plan.time_after(stage, &estimate);
        self.times.target_at.checked_sub(after).unwrap_or(self.times.target_at)
    }

    fn stage_task(&self, stage: usize) -> StageTask {
        let spec = &self.request.stages[stage];
        let inputs = self.plan.inputs(stage);
        let input_bytes = self.input_bytes(stage);
        let affinity =
            self.zone_affinity(&inputs, input_bytes, spec.result_bytes);
        let estimate = |service: &Arc<str>| self.estimate(service);
        let after = self.plan.time_after(stage, &estimate);
        let deadline = self.times.deadline.checked_sub(after);
        StageTask {
            service: Arc::clone(&spec.service),
            attempt: Arc::clone(&self.request.attempt),
            stage,
            pieces: self.plan.pieces(stage),
            key: self.request.key.clone().filter(|_| spec.after.is_empty()),
            input_producers: producers_of(&inputs),
            input_zones: zones_of(self.batcher.listed_servers(), &inputs),
            input_transfer_time: self
                .transfer_time(&spec.service, input_bytes),
            cross_zone_bytes: match affinity {
                ZoneAffinity::Strong(_) if input_bytes > spec.result_bytes => {
                    input_bytes
                }
                _ => spec.result_bytes,
            },
            affinity,
            inputs: inputs.into_iter().map(|input| input.reference).collect(),
            due_at: self.due_at(stage),
            deadline: deadline.unwrap_or(self.times.deadline),
            pieces_done: self.plan.completed_pieces(),
            rank: self.request.rank,
            result_bytes: spec.result_bytes,
        }
    }

    /// Returns where the pieces of a stage are best produced: where their
    /// inputs are held if these are larger than the result, else where the
    /// request runs.
    fn zone_affinity(
        &self,
        inputs: &[ResultHandle],
        input_bytes: u64,
        result_bytes: u64,
    ) -> ZoneAffinity {
        let zones = zones_of(self.batcher.listed_servers(), inputs);
        match zones.into_iter().next() {
            Some(zone) if input_bytes > result_bytes => {
                ZoneAffinity::Strong(zone)
            }
            _ if self.request.movable => {
                ZoneAffinity::Weak(Arc::clone(&self.request.home))
            }
            _ => ZoneAffinity::Strong(Arc::clone(&self.request.home)),
        }
    }

    fn input_bytes(&self, stage: usize) -> u64 {
        self.request.stages[stage]
            .after
            .iter()
            .map(|&before| {
                let pieces = u64::from(self.plan.pieces(before));
                self.request.stages[before].result_bytes * pieces
            })
            .sum()
    }

    fn transfer_time(&self, service: &str, bytes: u64) -> Duration {
        let spec = self.batcher.spec(service);
        let per_ms = spec.map_or(u64::MAX, |spec| spec.link_bytes_per_ms);
        Duration::from_millis(bytes / per_ms.max(1))
    }

    /// Estimates the time of a stage from the current queue of its service.
    fn estimate(&self, service: &Arc<str>) -> StageEstimate {
        let Some(spec) = self.batcher.spec(service) else {
            return StageEstimate::default();
        };
        let wait = self.batcher.expected_wait(&self.request.cell, service);
        StageEstimate {
            wait,
            call_overhead: spec.call_overhead,
            time_per_piece: spec.time_per_piece,
        }
    }

    /// Estimates the time of a stage of a busy service, whose pieces share
    /// full calls.
    fn estimate_full_call(&self, service: &Arc<str>) -> StageEstimate {
        let Throughput { call_time: call, .. } =
            self.batcher.throughput(&self.request.cell, service);
        StageEstimate {
            wait: Duration::ZERO,
            call_overhead: call,
            time_per_piece: Duration::ZERO,
        }
    }
}

/// Returns the servers that hold results, without duplicates.
fn producers_of(results: &[ResultHandle]) -> Arc<[Arc<str>]> {
    let mut producers: Vec<Arc<str>> =
        results.iter().map(|result| Arc::clone(&result.producer)).collect();
    producers.sort_unstable();
    producers.dedup();
    producers.into()
}
