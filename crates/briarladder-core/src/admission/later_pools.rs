//! Admission check for the later pools of a request: those that its stages
//! need after its first pool.

use std::time::{Duration, Instant};

use super::{
    job::{Job, Refusal, RefusalReason},
    scheduler::{Scheduler, to_ns, to_retry_after},
};

impl Scheduler {
    /// Checks that the expected waits in the later pools leave a request
    /// enough time to run its stages before its deadline. Call it before the
    /// request takes a slot of its first pool.
    ///
    /// `later` has one job for each later pool, all with the deadline and
    /// the remaining time of the whole request.
    ///
    /// # Errors
    ///
    /// Returns [`RefusalReason::WaitTooLong`] if the sum of the waits exceeds
    /// the time left after the stages.
    pub fn check_later_pools(
        &mut self,
        now: Instant,
        later: &[Job],
    ) -> Result<(), Refusal> {
        let Some(first) = later.first() else { return Ok(()) };
        let latest_start = first.deadline.checked_sub(first.remaining_time);
        let slack = latest_start
            .map_or(Duration::ZERO, |l| l.saturating_duration_since(now));
        let mut wait_ns = 0_u64;
        for job in later {
            wait_ns = wait_ns.saturating_add(self.expected_wait_ns(job));
        }
        if Duration::from_nanos(wait_ns) <= slack {
            return Ok(());
        }
        let excess_ns = wait_ns.saturating_sub(to_ns(slack));
        Err(Refusal {
            reason: RefusalReason::WaitTooLong,
            retry_after: Some(to_retry_after(excess_ns)),
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{
        admission::AdmissionDecision,
        names::{CallerName, PoolName, WorkspaceName},
        objects::snapshot::RankIndex,
    };

    fn job(now: Instant) -> Job {
        Job {
            pool: PoolName::new("engines").unwrap(),
            rank: RankIndex(0),
            workspace: WorkspaceName::new("dobradura").unwrap(),
            caller: CallerName::new("desk").unwrap(),
            workspace_weight: 1,
            caller_weight: 1,
            started: false,
            deadline: now + Duration::from_secs(1),
            service_time: Duration::from_millis(300),
            remaining_time: Duration::from_millis(400),
        }
    }

    /// Guards against admitting a request by the wait in its first pool
    /// alone: it would run its first stages and then miss its deadline.
    #[test]
    fn check_later_refuses_behind_long_queue() {
        let now = Instant::now();
        let job = job(now);
        let mut scheduler = Scheduler::new(&[]);
        let _ = scheduler.set_pool_slots(now, &job.pool, 1);
        let later = std::slice::from_ref(&job);
        assert_eq!(scheduler.check_later_pools(now, later), Ok(()));
        assert!(matches!(
            scheduler.offer(now, &job),
            AdmissionDecision::Run(_)
        ));
        while matches!(scheduler.offer(now, &job), AdmissionDecision::Wait(_))
        {
            assert!(
                scheduler.queue_len_requests() < 9,
                "every job was queued"
            );
        }
        let refusal = scheduler.check_later_pools(now, later).unwrap_err();
        assert_eq!(refusal.reason, RefusalReason::WaitTooLong);
        assert!(refusal.retry_after.is_some());
    }

    /// Guards against refusing a request because a later pool has no slots,
    /// although its servers may be back by the time the request reaches it.
    #[test]
    fn check_later_passes_pools_without_slots() {
        let now = Instant::now();
        let mut scheduler = Scheduler::new(&[]);
        assert_eq!(scheduler.check_later_pools(now, &[job(now)]), Ok(()));
    }
}
