//! Tracks the stages of one request: which may start, their inputs, and the
//! time that remains.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::Duration};
//!
//! use briarladder_core::fleet::{
//!     config::StageSpec,
//!     stages::{ResultHandle, StagePlan},
//! };
//!
//! let spec = |after| StageSpec {
//!     service: Arc::from("fetch"),
//!     after,
//!     result_bytes: 10,
//! };
//! let specs = [spec(vec![]), spec(vec![0])];
//! let mut plan = StagePlan::new(&specs, &[1, 2]).unwrap();
//! assert_eq!(plan.ready_stages(), [0]);
//! plan.mark_started(0);
//! plan.mark_finished(0, vec![ResultHandle::new("h", "server-1")]);
//! assert_eq!(plan.ready_stages(), [1]);
//! assert_eq!(plan.inputs(1), [ResultHandle::new("h", "server-1")]);
//! ```

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};

use super::config::StageSpec;

/// Maximum number of pieces of one stage of a request: more than the batch
/// size of any service, and few enough that one request can't fill a queue.
const MAX_PIECES: u32 = 1024;

/// A reference to a result, which is held by the server that produced it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResultHandle {
    /// The reference with which other servers fetch it.
    pub reference: Arc<str>,
    /// The server that produced and holds it.
    pub producer: Arc<str>,
}

impl ResultHandle {
    /// Creates a handle.
    #[must_use]
    pub fn new(reference: &str, server: &str) -> ResultHandle {
        ResultHandle {
            reference: Arc::from(reference),
            producer: Arc::from(server),
        }
    }
}

/// Why the stages of a request can't be run.
#[derive(Clone, Copy, Debug, Display, Error, Eq, PartialEq)]
pub enum StageError {
    /// The request has a piece count for another number of stages than the
    /// route.
    #[display(
        "the request names pieces for {given} stages and its route has \
         {wanted}: send one count for each stage"
    )]
    WrongCount {
        /// Stages in the request.
        given: usize,
        /// Stages in the route.
        wanted: usize,
    },
    /// A stage has too many pieces.
    #[display("stage {stage} has {pieces} pieces: send at most {MAX_PIECES}")]
    TooManyPieces {
        /// The stage.
        stage: usize,
        /// Its pieces.
        pieces: u32,
    },
}

/// Expected times of a stage at a service.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageEstimate {
    /// Wait until its call starts.
    pub wait: Duration,
    /// Time of the call without its pieces.
    pub call_overhead: Duration,
    /// Additional time for each piece.
    pub time_per_piece: Duration,
}

#[derive(Clone, Debug)]
enum Progress {
    Waiting,
    Running {
        /// Its servers have fetched all inputs.
        inputs_fetched: bool,
    },
    Done(Vec<ResultHandle>),
    Released,
}

/// The progress of one request through its stages.
#[derive(Clone, Debug)]
pub struct StagePlan<'a> {
    specs: &'a [StageSpec],
    pieces: Vec<u32>,
    progress: Vec<Progress>,
}

impl<'a> StagePlan<'a> {
    /// Creates a plan. A stage without pieces counts as done.
    ///
    /// # Errors
    ///
    /// If the piece counts don't match the stages of the route or are too
    /// large.
    pub fn new(
        specs: &'a [StageSpec],
        pieces: &[u32],
    ) -> Result<StagePlan<'a>, StageError> {
        if specs.len() != pieces.len() {
            return Err(StageError::WrongCount {
                given: pieces.len(),
                wanted: specs.len(),
            });
        }
        for (stage, &pieces) in pieces.iter().enumerate() {
            if pieces > MAX_PIECES {
                return Err(StageError::TooManyPieces { stage, pieces });
            }
        }
        let progress = pieces
            .iter()
            .map(|&pieces| match pieces {
                0 => Progress::Done(Vec::new()),
                _ => Progress::Waiting,
            })
            .collect();
        Ok(StagePlan { specs, pieces: pieces.to_vec(), progress })
    }

    /// Returns the number of pieces of a stage.
    #[must_use]
    pub fn pieces(&self, stage: usize) -> u32 {
        self.pieces[stage]
    }

    /// Returns the stages that have not started and whose inputs are complete.
    #[must_use]
    pub fn ready_stages(&self) -> Vec<usize> {
        (0..self.specs.len())
            .filter(|&stage| {
                matches!(self.progress[stage], Progress::Waiting)
                    && self.inputs_done(stage)
            })
            .collect()
    }

    /// Records that a stage has started.
    pub fn mark_started(&mut self, stage: usize) {
        self.progress[stage] = Progress::Running { inputs_fetched: false };
    }

    /// Records that the servers that run a stage have fetched all of its
    /// inputs.
    pub fn mark_inputs_fetched(&mut self, stage: usize) {
        if let Progress::Running { inputs_fetched } = &mut self.progress[stage]
        {
            *inputs_fetched = true;
        }
    }

    /// Records the results of a stage, which is then done.
    pub fn mark_finished(&mut self, stage: usize, results: Vec<ResultHandle>) {
        self.progress[stage] = Progress::Done(results);
    }

    /// Resets a stage that found an input missing, and all stages that it
    /// depends on, so that they run again. Returns the results of these stages
    /// that are still held.
    pub fn restart(&mut self, stage: usize) -> Vec<ResultHandle> {
        let mut held = Vec::new();
        let mut pending = vec![stage];
        while let Some(stage) = pending.pop() {
            if self.pieces[stage] == 0 {
                continue;
            }
            let previous = std::mem::replace(
                &mut self.progress[stage],
                Progress::Waiting,
            );
            if let Progress::Done(results) = previous {
                held.extend(results);
            }
            pending.extend_from_slice(&self.specs[stage].after);
        }
        held
    }

    /// Returns whether all stages are done.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        (0..self.specs.len()).all(|stage| self.is_done(stage))
    }

    /// Returns the number of pieces of the stages that are done.
    #[must_use]
    pub fn completed_pieces(&self) -> u32 {
        (0..self.specs.len())
            .filter(|&stage| self.is_done(stage))
            .map(|stage| self.pieces[stage])
            .sum()
    }

    /// Returns the results that a stage needs.
    #[must_use]
    pub fn inputs(&self, stage: usize) -> Vec<ResultHandle> {
        self.results_of(&self.specs[stage].after)
    }

    /// Returns the stages that no other stage depends on.
    pub fn final_stages(&self) -> impl Iterator<Item = usize> {
        (0..self.specs.len())
            .filter(|&stage| self.dependents(stage).next().is_none())
    }

    /// Returns the results of the stages that no other stage depends on, which
    /// are the inputs of the request itself.
    #[must_use]
    pub fn final_results(&self) -> Vec<ResultHandle> {
        let last: Vec<usize> = self.final_stages().collect();
        self.results_of(&last)
    }

    /// Removes and returns the results that no stage needs any more. The
    /// inputs of the request itself stay.
    pub fn take_unneeded(&mut self) -> Vec<ResultHandle> {
        let mut unneeded = Vec::new();
        for stage in 0..self.specs.len() {
            if self.is_unneeded(stage)
                && let Progress::Done(results) = std::mem::replace(
                    &mut self.progress[stage],
                    Progress::Released,
                )
            {
                unneeded.extend(results);
            }
        }
        unneeded
    }

    /// Estimates the time from the start of a stage to the start of the
    /// request itself.
    pub fn time_from(
        &self,
        stage: usize,
        estimate: &impl Fn(&Arc<str>) -> StageEstimate,
    ) -> Duration {
        self.stage_time(stage, estimate) + self.time_after(stage, estimate)
    }

    /// Estimates the time from the end of a stage to the start of the request
    /// itself: that of the longest chain of dependent stages.
    pub fn time_after(
        &self,
        stage: usize,
        estimate: &impl Fn(&Arc<str>) -> StageEstimate,
    ) -> Duration {
        self.dependents(stage)
            .map(|next| self.time_from(next, estimate))
            .max()
            .unwrap_or_default()
    }

    /// Returns whether a stage is done and all stages that depend on it have
    /// fetched its results.
    fn is_unneeded(&self, stage: usize) -> bool {
        let mut dependents = self.dependents(stage).peekable();
        matches!(self.progress[stage], Progress::Done(_))
            && dependents.peek().is_some()
            && dependents.all(|other| {
                matches!(
                    self.progress[other],
                    Progress::Done(_)
                        | Progress::Released
                        | Progress::Running { inputs_fetched: true }
                )
            })
    }

    /// Returns the number of unfinished stages in the longest chain that
    /// starts with another stage.
    #[must_use]
    pub fn parallel_stages_left(&self, stage: usize) -> usize {
        (0..self.specs.len())
            .filter(|&other| other != stage)
            .map(|other| self.unfinished_chain_len(other))
            .max()
            .unwrap_or(0)
    }

    /// Returns the number of unfinished stages in the longest chain that
    /// starts with this stage.
    fn unfinished_chain_len(&self, stage: usize) -> usize {
        let own = usize::from(!self.is_done(stage));
        let after =
            self.dependents(stage).map(|next| self.unfinished_chain_len(next));
        own + after.max().unwrap_or(0)
    }

    fn is_done(&self, stage: usize) -> bool {
        matches!(self.progress[stage], Progress::Done(_) | Progress::Released)
    }

    /// Returns how much later a stage may start without delaying the request:
    /// the time of the longest unfinished chain beyond that of this stage and
    /// its dependents.
    pub fn slack(
        &self,
        stage: usize,
        estimate: &impl Fn(&Arc<str>) -> StageEstimate,
    ) -> Duration {
        let own = self.time_from(stage, estimate);
        self.remaining(estimate).saturating_sub(own)
    }

    /// Estimates the time until all stages are done: that of the longest
    /// unfinished chain.
    pub fn remaining(
        &self,
        estimate: &impl Fn(&Arc<str>) -> StageEstimate,
    ) -> Duration {
        (0..self.specs.len())
            .filter(|&other| !self.is_done(other))
            .map(|stage| self.time_from(stage, estimate))
            .max()
            .unwrap_or_default()
    }

    /// Returns whether other stages are not done yet.
    #[must_use]
    pub fn has_unfinished_others(&self, stage: usize) -> bool {
        (0..self.specs.len())
            .any(|other| other != stage && !self.is_done(other))
    }

    fn stage_time(
        &self,
        stage: usize,
        estimate: &impl Fn(&Arc<str>) -> StageEstimate,
    ) -> Duration {
        if self.pieces[stage] == 0 {
            return Duration::ZERO;
        }
        let StageEstimate { wait, call_overhead, time_per_piece } =
            estimate(&self.specs[stage].service);
        wait + call_overhead + time_per_piece * self.pieces[stage]
    }

    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> + '_ {
        // A stage depends only on earlier ones, so the recursion over
        // dependents ends.
        (stage + 1..self.specs.len())
            .filter(move |&other| self.specs[other].after.contains(&stage))
    }

    fn inputs_done(&self, stage: usize) -> bool {
        self.specs[stage].after.iter().all(|&input| {
            input < stage && matches!(self.progress[input], Progress::Done(_))
        })
    }

    fn results_of(&self, stages: &[usize]) -> Vec<ResultHandle> {
        stages
            .iter()
            .filter_map(|&stage| match &self.progress[stage] {
                Progress::Done(results) => Some(results),
                _ => None,
            })
            .flatten()
            .cloned()
            .collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn spec(after: &[usize]) -> StageSpec {
        StageSpec {
            service: Arc::from("s"),
            after: after.to_vec(),
            result_bytes: 1,
        }
    }

    fn handles(names: &[&str]) -> Vec<ResultHandle> {
        names.iter().map(|name| ResultHandle::new(name, "server")).collect()
    }

    /// Guards against a stage that starts before its inputs are complete, and
    /// against results that are released while they are still needed.
    #[test]
    fn ready_stages_diamond() {
        let specs = [spec(&[]), spec(&[0]), spec(&[0]), spec(&[1, 2])];
        let mut plan = StagePlan::new(&specs, &[1, 1, 1, 1]).unwrap();
        plan.mark_started(0);
        plan.mark_finished(0, handles(&["a"]));
        assert_eq!(plan.ready_stages(), [1, 2]);
        plan.mark_started(1);
        plan.mark_finished(1, handles(&["b"]));
        assert!(
            plan.take_unneeded().is_empty(),
            "stage 2 still needs the result"
        );
        assert_eq!(plan.ready_stages(), [2]);
        plan.mark_started(2);
        plan.mark_finished(2, handles(&["c"]));
        assert_eq!(plan.take_unneeded(), handles(&["a"]));
        assert_eq!(plan.inputs(3), handles(&["b", "c"]));
        plan.mark_started(3);
        plan.mark_finished(3, handles(&["d"]));
        assert!(plan.is_complete());
        assert_eq!(plan.final_results(), handles(&["d"]));
    }

    /// Guards against a request that fails because an input is lost, against
    /// stages that are run again without need, and against results that are
    /// never released.
    #[test]
    fn restart_chain() {
        let specs = [spec(&[]), spec(&[0]), spec(&[1]), spec(&[])];
        let mut plan = StagePlan::new(&specs, &[1, 2, 1, 1]).unwrap();
        for (stage, names) in [(0, &["a"][..]), (1, &["b", "c"]), (3, &["d"])]
        {
            plan.mark_started(stage);
            plan.mark_finished(stage, handles(names));
        }
        assert_eq!(plan.take_unneeded(), handles(&["a"]));
        plan.mark_started(2);
        assert_eq!(plan.restart(2), handles(&["b", "c"]));
        assert_eq!(
            plan.ready_stages(),
            [0],
            "the last stage keeps its result"
        );
        assert!(plan.take_unneeded().is_empty());
    }

    /// Guards against a stage without pieces that blocks the stages that
    /// depend on it.
    #[test]
    fn ready_stages_omitted_stage() {
        let specs = [spec(&[]), spec(&[]), spec(&[1])];
        let plan = StagePlan::new(&specs, &[0, 2, 1]).unwrap();
        assert_eq!(plan.ready_stages(), [1]);
        assert_eq!(plan.pieces(1), 2);
    }

    /// Guards against piece counts that are assigned to the wrong stages.
    #[test]
    fn new_wrong_count() {
        let error = StagePlan::new(&[spec(&[])], &[1, 2]).unwrap_err();
        assert_eq!(error, StageError::WrongCount { given: 2, wanted: 1 });
    }

    /// Guards against results that occupy memory on their server while a
    /// longer chain of stages still runs.
    #[test]
    fn slack_short_branch() {
        let specs = [spec(&[]), spec(&[]), spec(&[1]), spec(&[2])];
        let plan = StagePlan::new(&specs, &[1, 1, 1, 1]).unwrap();
        let estimate = |_: &Arc<str>| StageEstimate {
            wait: Duration::ZERO,
            call_overhead: Duration::from_millis(100),
            time_per_piece: Duration::ZERO,
        };
        assert_eq!(plan.slack(0, &estimate), Duration::from_millis(200));
        assert_eq!(plan.slack(1, &estimate), Duration::ZERO);
        assert_eq!(plan.remaining(&estimate), Duration::from_millis(300));
        assert!(plan.has_unfinished_others(0));
        let mut plan = plan;
        for stage in 1..4 {
            plan.mark_finished(stage, Vec::new());
        }
        assert!(!plan.has_unfinished_others(0), "no other stage is left");
        assert_eq!(plan.slack(0, &estimate), Duration::ZERO);
    }

    /// Guards against results that occupy memory while the next stage runs,
    /// although its servers have fetched them, and against results that are
    /// released while one dependent stage has not fetched them.
    #[test]
    fn take_unneeded_when_fetched() {
        let specs = [spec(&[]), spec(&[0]), spec(&[0])];
        let mut plan = StagePlan::new(&specs, &[1, 1, 1]).unwrap();
        plan.mark_started(0);
        plan.mark_finished(0, handles(&["a"]));
        plan.mark_started(1);
        plan.mark_started(2);
        plan.mark_inputs_fetched(1);
        assert!(
            plan.take_unneeded().is_empty(),
            "stage 2 still needs the result"
        );
        plan.mark_inputs_fetched(2);
        assert_eq!(plan.take_unneeded(), handles(&["a"]));
        plan.mark_finished(1, handles(&["b"]));
        plan.mark_finished(2, handles(&["c"]));
        assert_eq!(plan.final_results(), handles(&["b", "c"]));
    }

    /// Guards against large results that are produced while two or more stages
    /// of the longest other chain have yet to run.
    #[test]
    fn parallel_stages_left_chain() {
        let specs = [spec(&[]), spec(&[]), spec(&[1]), spec(&[2])];
        let mut plan = StagePlan::new(&specs, &[1, 1, 1, 1]).unwrap();
        assert_eq!(plan.parallel_stages_left(0), 3);
        plan.mark_finished(1, handles(&["a"]));
        plan.mark_finished(2, handles(&["b"]));
        plan.mark_started(3);
        assert_eq!(
            plan.parallel_stages_left(0),
            1,
            "the last one is worked on"
        );
        plan.mark_finished(3, handles(&["c"]));
        assert_eq!(plan.parallel_stages_left(0), 0);
    }

    /// Guards against a due time that ignores the stages to come.
    #[test]
    fn time_after_chain() {
        let specs = [spec(&[]), spec(&[0]), spec(&[1])];
        let plan = StagePlan::new(&specs, &[1, 2, 3]).unwrap();
        let estimate = |_: &Arc<str>| StageEstimate {
            wait: Duration::from_millis(50),
            call_overhead: Duration::from_millis(100),
            time_per_piece: Duration::from_millis(10),
        };
        let time = plan.time_after(0, &estimate);
        assert_eq!(time, Duration::from_millis(170 + 180));
        assert_eq!(plan.time_after(2, &estimate), Duration::ZERO);
    }
}
