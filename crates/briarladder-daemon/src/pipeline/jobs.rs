//! The demand of a request on the pools of its stages, for admission.

use std::{sync::Arc, time::Instant};

use briarladder_core::{
    admission::{Estimates, Job},
    objects::snapshot::ResolvedStage,
};

use super::Request;

/// Creates the jobs of one request from a stage on.
pub(super) struct Jobs<'a> {
    now: Instant,
    request: &'a Request,
    estimates: &'a Estimates,
    position: usize,
}

impl<'a> Jobs<'a> {
    pub(super) fn new(
        now: Instant,
        request: &'a Request,
        estimates: &'a Estimates,
        position: usize,
    ) -> Jobs<'a> {
        Jobs { now, request, estimates, position }
    }

    /// Returns the job for the pool of the stage.
    pub(super) fn current(&self) -> Job {
        self.at(self.position)
    }

    /// Returns one job for each later pool, if this is the first stage. After
    /// it there are none: the check at the pool itself is more accurate.
    pub(super) fn later(&self) -> Vec<Job> {
        if self.position > 0 {
            return Vec::new();
        }
        let stages = &self.request.pipeline.stages;
        let later = (1..stages.len())
            .filter(|at| !uses_pool(&stages[..*at], &stages[*at]));
        later.map(|at| self.at(at)).collect()
    }

    /// Returns the job for the pool of the stage at a position.
    fn at(&self, position: usize) -> Job {
        let request = self.request;
        let (earlier, rest) = request.pipeline.stages.split_at(position);
        let stage = &rest[0];
        let mean =
            |s: &ResolvedStage| self.estimates.estimate(self.now, s).mean;
        let service_time = if uses_pool(earlier, stage) {
            mean(stage)
        } else {
            let same = rest.iter().filter(|s| s.pool.name == stage.pool.name);
            same.map(|s| mean(s)).sum()
        };
        let remaining_stages = &request.pipeline.stages[self.position..];
        Job {
            pool: stage.pool.name.clone(),
            rank: request.rank,
            workspace: request.workspace.name.clone(),
            caller: request.caller.clone(),
            workspace_weight: request.workspace.weight,
            caller_weight: request.caller_weight,
            started: uses_pool(earlier, stage),
            deadline: request.deadline,
            service_time,
            remaining_time: self
                .estimates
                .expected_time(self.now, remaining_stages),
        }
    }
}

/// Returns whether an earlier stage ran in the pool of a stage, in which case
/// the request counts as started there. Work in other pools does not count:
/// after a cheap first stage, all requests of an overload would take
/// precedence over those that have completed a generation.
fn uses_pool(earlier: &[Arc<ResolvedStage>], stage: &ResolvedStage) -> bool {
    earlier.iter().any(|other| other.pool.name == stage.pool.name)
}

#[cfg(test)]
mod tests {
    use briarladder_core::{
        names::{PoolName, StageName},
        objects::{Role, Stage, Work, snapshot::ResolvedPool},
    };

    use super::*;

    fn stage(name: &str, pool: &str) -> Arc<ResolvedStage> {
        let pool = PoolName::new(pool).unwrap();
        let stage = Stage {
            name: StageName::new(name).unwrap(),
            pool: pool.clone(),
            work: Work::Encode,
            estimate_ms: 1,
            timeout_ms: 1,
            idempotent: true,
        };
        let (role, servers) = (Role::Encoder, Vec::new());
        let pool = Arc::new(ResolvedPool { name: pool, role, servers });
        Arc::new(ResolvedStage { stage, pool })
    }

    /// Guards against requests of an overload that count as started after
    /// their cheap `encode` stage, and whose `draft` stages then delay the
    /// `check` stages of requests with a finished draft.
    #[test]
    fn uses_pool_counts_same_pool_only() {
        let encode = stage("encode", "encoders");
        let draft = stage("draft", "engines");
        let check = stage("check", "engines");
        assert!(!uses_pool(&[Arc::clone(&encode)], &draft));
        assert!(uses_pool(&[encode, draft], &check));
    }
}
