//! The admission scheduler of one daemon.

use std::time::{Duration, Instant};

use super::{
    expiry::ExpiryQueue,
    job::{
        AdmissionDecision, Dispatched, GrantId, Job, PoolLoad, QueueChanges,
        Refusal, RefusalReason, ShedJob, WaitingId,
    },
    phase_queue::{JobOwner, QueuePosition, QueuedJob},
    pool_queue::{Charge, Phase, PoolQueue, Share},
    slab::{Key, Slab},
    workspaces::WorkspaceInterner,
};
use crate::{names::PoolName, objects::Rank, sorted::SortedMap};

/// The default limit of waiting requests of one pool and rank. At 2,000
/// requests a second and deadlines of 5 s, a longer queue would only hold
/// requests that miss their deadline.
pub const DEFAULT_QUEUE_LIMIT_REQUESTS: usize = 4_096;

/// Bounds of [`Refusal::retry_after`]. The lower bound keeps callers from
/// resending in a busy loop, the upper one from waiting long after a backlog
/// has drained.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The [`Refusal::retry_after`] for a pool without slots: one load report
/// interval, after which the pool may have some again.
const NO_SLOTS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bounds of the cost of one job. With a cost of 0 a workspace could take
/// every slot; the upper bound keeps sums from overflowing.
const MIN_COST: Duration = Duration::from_micros(1);
const MAX_COST: Duration = Duration::from_hours(1);

#[derive(Debug)]
enum JobState {
    Waiting {
        position: QueuePosition,
        latest_start: Instant,
    },
    /// `position` is absent if the job ran without being queued.
    Running {
        position: Option<QueuePosition>,
        charge: Charge,
    },
}

#[derive(Debug)]
struct JobEntry {
    pool: PoolName,
    rank: usize,
    phase: Phase,
    cost_ns: u64,
    state: JobState,
}

/// Decides which jobs are admitted and which one runs next in each pool.
///
/// The methods take the current time. It may be earlier than the time of a
/// previous call; this only delays the shedding of expired jobs.
#[derive(Debug)]
pub struct Scheduler {
    /// The guaranteed shares of the ranks, the most urgent first.
    shares: Vec<Share>,
    queue_limit_requests: usize,
    pools: SortedMap<PoolName, PoolQueue>,
    jobs: Slab<JobEntry>,
    /// The number of waiting jobs of all pools.
    waiting: usize,
    workspaces: WorkspaceInterner,
    /// The latest start times of waiting jobs, with stale entries of jobs
    /// that no longer wait.
    expiries: ExpiryQueue,
}

impl Scheduler {
    /// Creates a scheduler for ranks in order of urgency, as in
    /// [`Snapshot::ranks`]. If `ranks` is empty, all jobs are in one rank
    /// without a guaranteed share.
    ///
    /// [`Snapshot::ranks`]: crate::objects::snapshot::Snapshot::ranks
    #[must_use]
    pub fn new(ranks: &[Rank]) -> Scheduler {
        Scheduler {
            shares: to_shares(ranks),
            queue_limit_requests: DEFAULT_QUEUE_LIMIT_REQUESTS,
            pools: SortedMap::new(),
            jobs: Slab::default(),
            waiting: 0,
            workspaces: WorkspaceInterner::default(),
            expiries: ExpiryQueue::default(),
        }
    }

    /// Sets the limit of waiting requests of one pool and rank.
    #[must_use]
    pub fn with_queue_limit(mut self, requests: usize) -> Scheduler {
        self.queue_limit_requests = requests;
        self
    }

    /// Applies the ranks of a new epoch. Waiting jobs keep their positions;
    /// those of a rank that no longer exists have no guaranteed share.
    pub fn set_ranks(&mut self, ranks: &[Rank]) {
        self.shares = to_shares(ranks);
        let count = self.shares.len();
        for (_, pool) in self.pools.iter_mut() {
            pool.ensure_ranks(count);
        }
    }

    /// Sets the number of slots of a pool that this daemon may use.
    ///
    /// If the number grows, waiting jobs are dispatched. If it shrinks,
    /// running jobs continue, and waiting jobs that can no longer meet their
    /// deadline are shed. With 0 slots all new jobs are shed; started ones
    /// (see [`Job::started`]) wait until their latest start time.
    pub fn set_pool_slots(
        &mut self,
        now: Instant,
        pool: &PoolName,
        slots: u32,
    ) -> QueueChanges {
        let ranks = self.shares.len();
        let queue =
            self.pools.get_or_insert_with(pool.clone(), PoolQueue::default);
        queue.ensure_ranks(ranks);
        let before = std::mem::replace(&mut queue.slots, slots);
        let mut changes = self.expire(now);
        if slots < before {
            self.shed_infeasible(now, pool, &mut changes);
        }
        self.dispatch(pool, &mut changes);
        changes
    }

    /// Decides whether a job runs now, waits, or is refused.
    ///
    /// An unknown rank counts as the least urgent one.
    pub fn offer(&mut self, now: Instant, job: &Job) -> AdmissionDecision {
        let rank = usize::from(job.rank.0).min(self.shares.len() - 1);
        let phase = if job.started { Phase::Started } else { Phase::New };
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return AdmissionDecision::Refuse(no_slots());
        };
        if pool.slots == 0 {
            return AdmissionDecision::Refuse(no_slots());
        }
        let Some(latest_start) = job.deadline.checked_sub(job.remaining_time)
        else {
            return AdmissionDecision::Refuse(deadline_too_short());
        };
        if now > latest_start {
            return AdmissionDecision::Refuse(deadline_too_short());
        }
        let cost_ns = to_cost_ns(job.service_time);
        if pool.has_free_slot() {
            pool.occupy(cost_ns);
            let key = self.jobs.insert(JobEntry {
                pool: job.pool.clone(),
                rank,
                phase,
                cost_ns,
                state: JobState::Running {
                    position: None,
                    charge: Charge::Remainder,
                },
            });
            return AdmissionDecision::Run(GrantId(key));
        }
        let owner = JobOwner {
            workspace: self.workspaces.intern(&job.workspace),
            workspace_weight: job.workspace_weight,
            caller: &job.caller,
            caller_weight: job.caller_weight,
        };
        let wait_ns = pool.wait_ns(&self.shares, rank, phase, owner);
        let slack = latest_start - now;
        if Duration::from_nanos(wait_ns) > slack {
            return AdmissionDecision::Refuse(wait_too_long(
                pool, wait_ns, slack,
            ));
        }
        if let Err(reason) =
            pool.check_room(rank, phase, owner, self.queue_limit_requests)
        {
            // Once half of the queue has drained, a resend finds room.
            let drain = pool.drain_ns(&self.shares, rank) / 2;
            let retry_after = Some(to_retry_after(drain));
            return AdmissionDecision::Refuse(Refusal { reason, retry_after });
        }
        AdmissionDecision::Wait(self.enqueue(
            now,
            job,
            rank,
            phase,
            owner,
            latest_start,
        ))
    }

    /// Returns the expected wait of a job if it were offered now, without
    /// queueing it.
    pub(super) fn expected_wait_ns(&mut self, job: &Job) -> u64 {
        let rank = usize::from(job.rank.0).min(self.shares.len() - 1);
        let phase = if job.started { Phase::Started } else { Phase::New };
        // A pool without slots may have some by the time the request
        // reaches it.
        let Some(pool) = self.pools.get(&job.pool) else { return 0 };
        if pool.has_free_slot() || pool.slots == 0 {
            return 0;
        }
        let owner = JobOwner {
            workspace: self.workspaces.intern(&job.workspace),
            workspace_weight: job.workspace_weight,
            caller: &job.caller,
            caller_weight: job.caller_weight,
        };
        pool.wait_ns(&self.shares, rank, phase, owner)
    }

    fn enqueue(
        &mut self,
        now: Instant,
        job: &Job,
        rank: usize,
        phase: Phase,
        owner: JobOwner<'_>,
        latest_start: Instant,
    ) -> WaitingId {
        let cost_ns = to_cost_ns(job.service_time);
        let pool = self.pools.get_mut(&job.pool).expect("found by the caller");
        let key = self.jobs.insert(JobEntry {
            pool: job.pool.clone(),
            rank,
            phase,
            cost_ns,
            // Replaced below: the position depends on the key.
            state: JobState::Running {
                position: None,
                charge: Charge::Remainder,
            },
        });
        let queued = QueuedJob { job: key, cost_ns };
        let position = pool.push(rank, phase, owner, queued);
        if let Some(entry) = self.jobs.get_mut(key) {
            entry.state = JobState::Waiting { position, latest_start };
        }
        self.waiting += 1;
        self.expiries.push(now, latest_start, key);
        WaitingId(key)
    }

    /// Frees the slot of a job, whatever its outcome was.
    ///
    /// `service_time` is how long the slot was held. It replaces the expected
    /// cost that the rank, workspace and caller were charged. An invalid id
    /// has no effect.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: GrantId,
        service_time: Duration,
    ) -> QueueChanges {
        let mut changes = QueueChanges::default();
        let running = self.jobs.get(grant.0).is_some_and(|entry| {
            matches!(entry.state, JobState::Running { .. })
        });
        let Some(entry) = running.then(|| self.jobs.remove(grant.0)).flatten()
        else {
            return changes;
        };
        self.shed_expired(now, &mut changes);
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.release(entry.cost_ns);
            if let JobState::Running { position: Some(at), charge } =
                entry.state
            {
                let difference = to_cost_ns(service_time)
                    .checked_signed_diff(entry.cost_ns)
                    .unwrap_or(i64::MAX);
                pool.add_correction(entry.rank, entry.phase, at, difference);
                pool.apply_charge(
                    &self.shares,
                    entry.rank,
                    charge,
                    difference,
                );
            }
        }
        self.dispatch(&entry.pool, &mut changes);
        changes
    }

    /// Removes a waiting job whose caller has disconnected. An invalid id
    /// has no effect; in particular a job that already runs keeps its slot
    /// until [`Scheduler::finish`].
    ///
    /// Returns whether the job was waiting.
    pub fn cancel(&mut self, waiting: WaitingId) -> bool {
        self.remove_waiting(waiting.0).is_some()
    }

    /// Sheds the waiting jobs that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> QueueChanges {
        let mut changes = QueueChanges::default();
        self.shed_expired(now, &mut changes);
        changes
    }

    /// Returns when to call [`Scheduler::expire`] unless another call comes
    /// first, or `None` if no job can expire. The time may be before the
    /// first expiry, but never after it.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.expiries.next()
    }

    /// Returns the number of waiting jobs over all pools.
    #[must_use]
    pub fn queue_len_requests(&self) -> usize {
        self.waiting
    }

    /// Returns the number of running jobs of a pool.
    #[must_use]
    pub fn running_requests(&self, pool: &PoolName) -> u32 {
        self.pools.get(pool).map_or(0, PoolQueue::running)
    }

    /// Returns the slots, running jobs and queue length of a pool; all 0 for
    /// an unknown pool.
    #[must_use]
    pub fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        let Some(pool) = self.pools.get(pool) else {
            return PoolLoad::default();
        };
        PoolLoad {
            slots_requests: pool.slots,
            running_requests: pool.running(),
            queue_len_requests: pool.waiting(),
        }
    }

    fn remove_waiting(&mut self, key: Key) -> Option<()> {
        let entry = self.jobs.get(key)?;
        let JobState::Waiting { position, .. } = entry.state else {
            return None;
        };
        let entry = self.jobs.remove(key)?;
        self.waiting -= 1;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.remove(entry.rank, entry.phase, position, key);
        Some(())
    }

    fn shed_expired(&mut self, now: Instant, changes: &mut QueueChanges) {
        let mut expired = Vec::new();
        let jobs = &self.jobs;
        let waits = |key| {
            jobs.get(key).is_some_and(|entry: &JobEntry| {
                matches!(entry.state, JobState::Waiting { .. })
            })
        };
        while let Some(key) = self.expiries.pop_expired(now, waits) {
            expired.push(key);
        }
        for key in expired {
            self.shed_job(key, deadline_too_short(), changes);
        }
    }

    fn shed_job(
        &mut self,
        key: Key,
        refusal: Refusal,
        changes: &mut QueueChanges,
    ) {
        if self.remove_waiting(key).is_some() {
            let waiting = WaitingId(key);
            changes.shed.push(ShedJob { waiting, refusal });
        }
    }

    /// Sheds the jobs of a pool whose expected wait has become too long.
    fn shed_infeasible(
        &mut self,
        now: Instant,
        pool: &PoolName,
        changes: &mut QueueChanges,
    ) {
        let Some(queue) = self.pools.get(pool) else { return };
        let slots = queue.slots;
        let mut infeasible = Vec::new();
        queue.for_each_job(&self.shares, |key, phase, wait_ns| {
            let Some(JobState::Waiting { latest_start, .. }) =
                self.jobs.get(key).map(|entry| &entry.state)
            else {
                return false;
            };
            let slack = latest_start.saturating_duration_since(now);
            let keep = if slots == 0 {
                phase == Phase::Started
            } else {
                Duration::from_nanos(wait_ns) <= slack
            };
            if !keep {
                infeasible.push((key, wait_too_long(queue, wait_ns, slack)));
            }
            keep
        });
        for (key, refusal) in infeasible {
            let refusal = if slots == 0 { no_slots() } else { refusal };
            self.shed_job(key, refusal, changes);
        }
    }

    fn dispatch(&mut self, name: &PoolName, changes: &mut QueueChanges) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        while pool.has_free_slot() {
            let Some(popped) = pool.pop(&self.shares) else { return };
            let key = popped.queued.job;
            let Some(entry) = self.jobs.remove(key) else { continue };
            let JobState::Waiting { position, .. } = entry.state else {
                continue;
            };
            pool.occupy(entry.cost_ns);
            let state = JobState::Running {
                position: Some(position),
                charge: popped.charge,
            };
            // The new key invalidates the waiting id.
            let grant = GrantId(self.jobs.insert(JobEntry { state, ..entry }));
            self.waiting -= 1;
            changes
                .dispatched
                .push(Dispatched { waiting: WaitingId(key), grant });
        }
    }
}

/// Returns the guaranteed shares of ranks. Shares that add up to more than
/// 100% are scaled down, so that credit can't grow without bound under a
/// faulty configuration.
fn to_shares(ranks: &[Rank]) -> Vec<Share> {
    let percent = |rank: &Rank| u32::from(rank.guaranteed_percent);
    let sum: u32 = ranks.iter().map(percent).sum();
    let scaled = ranks.iter().map(|rank| {
        let share = percent(rank) * 100 / sum.max(100);
        Share(u8::try_from(share).unwrap_or(100))
    });
    let mut shares: Vec<Share> = scaled.collect();
    if shares.is_empty() {
        shares.push(Share(0));
    }
    shares
}

pub(super) fn to_ns(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

fn to_cost_ns(service: Duration) -> u64 {
    to_ns(service.clamp(MIN_COST, MAX_COST))
}

pub(super) fn to_retry_after(ns: u64) -> Duration {
    Duration::from_nanos(ns).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
}

fn no_slots() -> Refusal {
    Refusal {
        reason: RefusalReason::NoSlots,
        retry_after: Some(NO_SLOTS_RETRY_AFTER),
    }
}

fn deadline_too_short() -> Refusal {
    Refusal { reason: RefusalReason::DeadlineTooShort, retry_after: None }
}

/// Returns the refusal of a job whose expected wait exceeds its slack.
///
/// A resend fits once the backlog has drained by the excess of the wait over
/// the slack. The time to the first free slot is an average, so it is added
/// once more; without it, resends came too early by up to that time.
fn wait_too_long(pool: &PoolQueue, wait_ns: u64, slack: Duration) -> Refusal {
    let excess_ns = wait_ns
        .saturating_sub(to_ns(slack))
        .saturating_add(pool.first_free_ns());
    Refusal {
        reason: RefusalReason::WaitTooLong,
        retry_after: Some(to_retry_after(excess_ns)),
    }
}
