//! The scheduler of one daemon.

use std::time::{Duration, Instant};

use super::{
    expiry::Expiries,
    job::{
        Changes, Dispatched, GivenUp, GrantId, Job, Offer, PoolLoad, Refusal,
        RefusalReason, WaitingId,
    },
    lane::{Owner, Position, Queued},
    pool::{Payment, Phase, Pool, Share},
    slab::{Key, Slab},
    workspaces::Workspaces,
};
use crate::{names::PoolName, objects::Rank, sorted::SortedMap};

/// The most waiting requests of one pool and rank. At 2,000 requests a
/// second and deadlines of 5 s, longer queues would only hold requests that
/// are refused for their deadline anyway.
pub const DEFAULT_QUEUE_LIMIT_REQUESTS: usize = 4_096;

/// Bounds of `retry_after`. The lower keeps resends from becoming a busy
/// loop; the upper keeps a long backlog from sending callers away for good.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// When a pool without slots may have some again: one report interval.
const NO_SLOTS_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Bounds of what one job is charged. A cost of 0 would let a workspace take
/// every slot, and the upper bound keeps sums from overflowing.
const MIN_COST: Duration = Duration::from_micros(1);
const MAX_COST: Duration = Duration::from_hours(1);

#[derive(Debug)]
enum State {
    Waiting { position: Position, latest_start: Instant },
    Running { position: Option<Position>, payment: Payment },
}

#[derive(Debug)]
struct Entry {
    pool: PoolName,
    rank: usize,
    phase: Phase,
    cost_ns: u64,
    state: State,
}

/// Decides which job runs next in each pool.
///
/// Each method takes the current time; a time before that of an earlier call
/// is allowed and only delays what is given up.
#[derive(Debug)]
pub struct Scheduler {
    shares: Vec<Share>,
    queue_limit_requests: usize,
    pools: SortedMap<PoolName, Pool>,
    jobs: Slab<Entry>,
    waiting: usize,
    workspaces: Workspaces,
    /// The latest start of waiting jobs, and entries of jobs that no longer
    /// wait.
    expiries: Expiries,
}

impl Scheduler {
    /// Creates a scheduler for ranks in order of urgency, as
    /// [`Snapshot::ranks`] has them. Without ranks there is one without a
    /// guaranteed share.
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
            workspaces: Workspaces::default(),
            expiries: Expiries::default(),
        }
    }

    /// Sets the most waiting requests of one pool and rank.
    #[must_use]
    pub fn with_queue_limit(mut self, requests: usize) -> Scheduler {
        self.queue_limit_requests = requests;
        self
    }

    /// Puts the ranks of a new epoch in force. Jobs keep their position;
    /// those of a rank that no longer exists have no guaranteed share.
    pub fn set_ranks(&mut self, ranks: &[Rank]) {
        self.shares = to_shares(ranks);
        let count = self.shares.len();
        for (_, pool) in self.pools.iter_mut() {
            pool.grow_ranks(count);
        }
    }

    /// Sets the slots of a pool that this daemon may use.
    ///
    /// More slots run waiting jobs. Fewer slots stop no running job; waiting
    /// jobs that can't meet their deadline any more are given up, except
    /// that started ones stay until their latest start when slots drop to 0.
    pub fn set_pool_slots(
        &mut self,
        now: Instant,
        pool: &PoolName,
        slots: u32,
    ) -> Changes {
        let ranks = self.shares.len();
        let queue =
            self.pools.entry_or_insert_with(pool.clone(), Pool::default);
        queue.grow_ranks(ranks);
        let before = std::mem::replace(&mut queue.slots, slots);
        let mut changes = self.expire(now);
        if slots < before {
            self.give_up_late(now, pool, &mut changes);
        }
        self.dispatch(pool, &mut changes);
        changes
    }

    /// Decides whether a job runs now, waits, or is refused.
    ///
    /// A rank that the scheduler does not have counts as the least urgent.
    pub fn offer(&mut self, now: Instant, job: &Job) -> Offer {
        let rank = usize::from(job.rank.0).min(self.shares.len() - 1);
        let phase = if job.started { Phase::Started } else { Phase::New };
        let Some(pool) = self.pools.get_mut(&job.pool) else {
            return Offer::Refuse(no_slots());
        };
        if pool.slots == 0 {
            return Offer::Refuse(no_slots());
        }
        let Some(latest_start) = job.deadline.checked_sub(job.remaining)
        else {
            return Offer::Refuse(too_short());
        };
        if now > latest_start {
            return Offer::Refuse(too_short());
        }
        let cost_ns = to_cost_ns(job.service);
        if pool.has_free_slot() {
            pool.occupy(cost_ns);
            let key = self.jobs.insert(Entry {
                pool: job.pool.clone(),
                rank,
                phase,
                cost_ns,
                state: State::Running {
                    position: None,
                    payment: Payment::Remainder,
                },
            });
            return Offer::Run(GrantId(key));
        }
        let owner = Owner {
            workspace: self.workspaces.intern(&job.workspace),
            workspace_weight: job.workspace_weight,
            caller: &job.caller,
            caller_weight: job.caller_weight,
        };
        let wait_ns = pool.wait_ns(&self.shares, rank, phase, owner);
        let slack = latest_start - now;
        if Duration::from_nanos(wait_ns) > slack {
            return Offer::Refuse(too_late(pool, wait_ns, slack));
        }
        if let Err(reason) =
            pool.check_place(rank, phase, owner, self.queue_limit_requests)
        {
            // Half of the queue drained leaves room for a resend.
            let drain = pool.drain_ns(&self.shares, rank) / 2;
            let retry_after = Some(to_retry_after(drain));
            return Offer::Refuse(Refusal { reason, retry_after });
        }
        Offer::Wait(self.enqueue(now, job, rank, phase, owner, latest_start))
    }

    /// Returns the expected wait of a job if it were offered now. Nothing is
    /// queued.
    pub(super) fn expected_wait_ns(&mut self, job: &Job) -> u64 {
        let rank = usize::from(job.rank.0).min(self.shares.len() - 1);
        let phase = if job.started { Phase::Started } else { Phase::New };
        // A pool without slots may have some when the request gets there.
        let Some(pool) = self.pools.get(&job.pool) else { return 0 };
        if pool.has_free_slot() || pool.slots == 0 {
            return 0;
        }
        let owner = Owner {
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
        owner: Owner<'_>,
        latest_start: Instant,
    ) -> WaitingId {
        let cost_ns = to_cost_ns(job.service);
        let pool = self.pools.get_mut(&job.pool).expect("found by the caller");
        let key = self.jobs.insert(Entry {
            pool: job.pool.clone(),
            rank,
            phase,
            cost_ns,
            // Replaced below, once the key and so the position is known.
            state: State::Running {
                position: None,
                payment: Payment::Remainder,
            },
        });
        let queued = Queued { job: key, cost_ns };
        let position = pool.push(rank, phase, owner, queued);
        if let Some(entry) = self.jobs.get_mut(key) {
            entry.state = State::Waiting { position, latest_start };
        }
        self.waiting += 1;
        self.expiries.push(now, latest_start, key);
        WaitingId(key)
    }

    /// Frees the slot of a finished job, whatever its outcome was.
    ///
    /// `service_time` is the time for which the slot was held; it corrects
    /// what the rank, workspace and caller were charged. An id that is no
    /// longer valid changes nothing.
    pub fn finish(
        &mut self,
        now: Instant,
        grant: GrantId,
        service_time: Duration,
    ) -> Changes {
        let mut changes = Changes::default();
        let running = self
            .jobs
            .get(grant.0)
            .is_some_and(|entry| matches!(entry.state, State::Running { .. }));
        let Some(entry) = running.then(|| self.jobs.remove(grant.0)).flatten()
        else {
            return changes;
        };
        self.give_up_expired(now, &mut changes);
        if let Some(pool) = self.pools.get_mut(&entry.pool) {
            pool.release(entry.cost_ns);
            if let State::Running { position: Some(at), payment } = entry.state
            {
                let difference = to_cost_ns(service_time)
                    .checked_signed_diff(entry.cost_ns)
                    .unwrap_or(i64::MAX);
                pool.correct(entry.rank, entry.phase, at, difference);
                pool.settle(&self.shares, entry.rank, payment, difference);
            }
        }
        self.dispatch(&entry.pool, &mut changes);
        changes
    }

    /// Takes out a waiting job whose caller has gone. An id that is no
    /// longer valid changes nothing; in particular a job that runs already
    /// keeps its slot until [`Scheduler::finish`].
    ///
    /// Returns whether the job was waiting.
    pub fn cancel(&mut self, waiting: WaitingId) -> bool {
        self.take_waiting(waiting.0).is_some()
    }

    /// Gives up the waiting jobs that can no longer meet their deadline.
    pub fn expire(&mut self, now: Instant) -> Changes {
        let mut changes = Changes::default();
        self.give_up_expired(now, &mut changes);
        changes
    }

    /// Returns when [`Scheduler::expire`] should be called next, if no other
    /// call comes first. It may be early, never late.
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
        self.pools.get(pool).map_or(0, Pool::running)
    }

    /// Returns how a pool is used; all 0 for one without slots.
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

    fn take_waiting(&mut self, key: Key) -> Option<()> {
        let entry = self.jobs.get(key)?;
        let State::Waiting { position, .. } = entry.state else { return None };
        let entry = self.jobs.remove(key)?;
        self.waiting -= 1;
        let pool = self.pools.get_mut(&entry.pool)?;
        pool.remove(entry.rank, entry.phase, position, key);
        Some(())
    }

    fn give_up_expired(&mut self, now: Instant, changes: &mut Changes) {
        let mut expired = Vec::new();
        let jobs = &self.jobs;
        let waits = |key| {
            jobs.get(key).is_some_and(|entry: &Entry| {
                matches!(entry.state, State::Waiting { .. })
            })
        };
        while let Some(key) = self.expiries.pop_expired(now, waits) {
            expired.push(key);
        }
        for key in expired {
            self.give_up(key, too_short(), changes);
        }
    }

    fn give_up(&mut self, key: Key, refusal: Refusal, changes: &mut Changes) {
        if self.take_waiting(key).is_some() {
            let waiting = WaitingId(key);
            changes.given_up.push(GivenUp { waiting, refusal });
        }
    }

    /// Gives up the jobs of a pool whose expected wait has become too long.
    fn give_up_late(
        &mut self,
        now: Instant,
        pool: &PoolName,
        changes: &mut Changes,
    ) {
        let Some(queue) = self.pools.get(pool) else { return };
        let slots = queue.slots;
        let mut late = Vec::new();
        queue.visit(&self.shares, |key, phase, wait_ns| {
            let Some(State::Waiting { latest_start, .. }) =
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
                late.push((key, too_late(queue, wait_ns, slack)));
            }
            keep
        });
        for (key, refusal) in late {
            let refusal = if slots == 0 { no_slots() } else { refusal };
            self.give_up(key, refusal, changes);
        }
    }

    fn dispatch(&mut self, name: &PoolName, changes: &mut Changes) {
        let Some(pool) = self.pools.get_mut(name) else { return };
        while pool.has_free_slot() {
            let Some(popped) = pool.pop(&self.shares) else { return };
            let key = popped.queued.job;
            let Some(entry) = self.jobs.remove(key) else { continue };
            let State::Waiting { position, .. } = entry.state else {
                continue;
            };
            pool.occupy(entry.cost_ns);
            let state = State::Running {
                position: Some(position),
                payment: popped.payment,
            };
            // A new key makes the waiting id invalid.
            let grant = GrantId(self.jobs.insert(Entry { state, ..entry }));
            self.waiting -= 1;
            changes.run.push(Dispatched { waiting: WaitingId(key), grant });
        }
    }
}

/// Shares that add up to more than the whole are scaled down, so that a
/// faulty set can't let the credit of a rank grow without bound.
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

fn too_short() -> Refusal {
    Refusal { reason: RefusalReason::DeadlineTooShort, retry_after: None }
}

/// A resend fits once the backlog has drained by what the wait exceeds the
/// slack. The time to the first free slot is an average, so it is added once
/// more; without it a resend came too early by up to that time.
fn too_late(pool: &Pool, wait_ns: u64, slack: Duration) -> Refusal {
    let excess_ns = wait_ns
        .saturating_sub(to_ns(slack))
        .saturating_add(pool.first_free_ns());
    Refusal {
        reason: RefusalReason::WaitTooLong,
        retry_after: Some(to_retry_after(excess_ns)),
    }
}
