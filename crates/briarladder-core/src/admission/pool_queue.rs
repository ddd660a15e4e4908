//! The queue of one pool, and the choice of the rank that gets a free slot.
//!
//! While jobs wait, each dispatch of a job of cost `c` credits every rank with
//! its guaranteed share of `c`. A rank with non-negative credit is entitled.
//! The most urgent entitled rank is served first and is charged `c`. If no
//! rank is entitled, the most urgent one with waiting jobs is served without
//! charge, from the remainder: the capacity that no rank is entitled to. A
//! rank without waiting jobs keeps no credit, so other ranks may use its share
//! until it has jobs again; it then waits for running jobs to finish, because
//! none is preempted.

use super::{
    job::RefusalReason,
    phase_queue::{JobOwner, PhaseQueue, QueuePosition, QueuedJob},
    slab::Key,
};

/// A rank's guaranteed share of a pool, in percent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Share(pub(super) u8);

/// The share that is the whole pool. Multiplied by nanoseconds of service, it
/// gives the unit of credits.
const FULL_SHARE_PERCENT: i64 = 100;

/// The largest negative credit of a rank, in percent times nanoseconds: 100%
/// of 60 s of service. The bound keeps one very long job from blocking its
/// rank for too long.
const MAX_DEBT_PERCENT_NS: i64 = 60_000_000_000 * FULL_SHARE_PERCENT;

/// Selects one of the two queues of a rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    /// An earlier stage of the request has used the pool.
    Started,
    /// No earlier stage of the request has used the pool.
    New,
}

/// Which capacity a dispatched job was charged to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Charge {
    /// The guaranteed share of its rank.
    Share,
    /// Capacity that no rank with waiting jobs was entitled to, or a slot that
    /// was free when the job was offered.
    Remainder,
}

#[derive(Debug, Default)]
struct RankQueue {
    started: PhaseQueue,
    new: PhaseQueue,
    /// The service that the rank may still get from its guaranteed share, in
    /// percent times nanoseconds; negative if it has got more.
    credit_percent_ns: i64,
}

impl RankQueue {
    fn jobs(&self) -> usize {
        self.started.jobs() + self.new.jobs()
    }

    fn work_ns(&self) -> u64 {
        self.started.work_ns().saturating_add(self.new.work_ns())
    }

    fn phase_queue(&self, phase: Phase) -> &PhaseQueue {
        match phase {
            Phase::Started => &self.started,
            Phase::New => &self.new,
        }
    }

    fn phase_queue_mut(&mut self, phase: Phase) -> &mut PhaseQueue {
        match phase {
            Phase::Started => &mut self.started,
            Phase::New => &mut self.new,
        }
    }

    fn add_credit(&mut self, credit_percent_ns: i64) {
        self.credit_percent_ns = self
            .credit_percent_ns
            .saturating_add(credit_percent_ns)
            .max(-MAX_DEBT_PERCENT_NS);
        if self.jobs() == 0 {
            self.credit_percent_ns = self.credit_percent_ns.min(0);
        }
    }
}

/// A job removed from the queue to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct PoppedJob {
    pub(super) queued: QueuedJob,
    pub(super) charge: Charge,
}

#[derive(Debug, Default)]
pub(super) struct PoolQueue {
    pub(super) slots: u32,
    /// The number of running jobs.
    running: u32,
    /// The sum of the costs of the running jobs.
    running_ns: u64,
    /// By rank, the most urgent first.
    ranks: Vec<RankQueue>,
}

impl PoolQueue {
    pub(super) fn ensure_ranks(&mut self, count: usize) {
        if self.ranks.len() < count {
            self.ranks.resize_with(count, RankQueue::default);
        }
    }

    pub(super) fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    pub(super) fn running(&self) -> u32 {
        self.running
    }

    pub(super) fn waiting(&self) -> usize {
        self.ranks.iter().map(RankQueue::jobs).sum()
    }

    /// Takes a slot for a job.
    pub(super) fn occupy(&mut self, cost_ns: u64) {
        self.running += 1;
        self.running_ns += cost_ns;
    }

    /// Frees the slot of a job that was passed to [`PoolQueue::occupy`] with
    /// the same cost.
    pub(super) fn release(&mut self, cost_ns: u64) {
        self.running -= 1;
        self.running_ns -= cost_ns;
    }

    /// Checks that the queue of the rank has room for one more job of the
    /// owner.
    pub(super) fn check_room(
        &self,
        rank: usize,
        phase: Phase,
        owner: JobOwner<'_>,
        limit_requests: usize,
    ) -> Result<(), RefusalReason> {
        let queue = &self.ranks[rank];
        let free = limit_requests.saturating_sub(queue.jobs());
        if free == 0 {
            return Err(RefusalReason::QueueFull);
        }
        if !queue.phase_queue(phase).has_room(owner, free) {
            return Err(RefusalReason::CallerQueueFull);
        }
        Ok(())
    }

    pub(super) fn push(
        &mut self,
        rank: usize,
        phase: Phase,
        owner: JobOwner<'_>,
        queued: QueuedJob,
    ) -> QueuePosition {
        self.ranks[rank].phase_queue_mut(phase).push(owner, queued)
    }

    pub(super) fn remove(
        &mut self,
        rank: usize,
        phase: Phase,
        at: QueuePosition,
        job: Key,
    ) {
        self.ranks[rank].phase_queue_mut(phase).remove(at, job);
    }

    /// Removes and returns the job that gets the next free slot.
    pub(super) fn pop(&mut self, shares: &[Share]) -> Option<PoppedJob> {
        let share = |rank: usize| shares.get(rank).map_or(0, |s| s.0);
        let mut waiting =
            (0..self.ranks.len()).filter(|rank| self.ranks[*rank].jobs() > 0);
        let most_urgent = waiting.clone().next()?;
        let entitled = waiting.find(|rank| {
            share(*rank) > 0 && self.ranks[*rank].credit_percent_ns >= 0
        });
        let (rank, charge) = match entitled {
            Some(rank) => (rank, Charge::Share),
            None => (most_urgent, Charge::Remainder),
        };
        let queue = &mut self.ranks[rank];
        let queued = queue.started.pop().or_else(|| queue.new.pop())?;
        let cost = i64::try_from(queued.cost_ns).unwrap_or(i64::MAX);
        self.apply_charge(shares, rank, charge, cost);
        if self.waiting() == 0 {
            // Credits only apply while ranks compete for slots.
            for queue in &mut self.ranks {
                queue.credit_percent_ns = 0;
            }
        }
        Some(PoppedJob { queued, charge })
    }

    /// Charges a rank for service of the given length and credits all ranks
    /// with their shares of it. A negative length reverses this for a job
    /// that took less time than expected.
    pub(super) fn apply_charge(
        &mut self,
        shares: &[Share],
        rank: usize,
        charge: Charge,
        service_ns: i64,
    ) {
        if charge == Charge::Share {
            let cost = service_ns.saturating_mul(-FULL_SHARE_PERCENT);
            self.ranks[rank].add_credit(cost);
        }
        for (queue, share) in self.ranks.iter_mut().zip(shares) {
            queue.add_credit(service_ns.saturating_mul(i64::from(share.0)));
        }
    }

    pub(super) fn add_correction(
        &mut self,
        rank: usize,
        phase: Phase,
        at: QueuePosition,
        difference_ns: i64,
    ) {
        self.ranks[rank]
            .phase_queue_mut(phase)
            .add_correction(at, difference_ns);
    }

    /// Returns the expected wait of a job if it is queued now.
    pub(super) fn wait_ns(
        &self,
        shares: &[Share],
        rank: usize,
        phase: Phase,
        owner: JobOwner<'_>,
    ) -> u64 {
        let ahead = self.ranks[rank].phase_queue(phase).work_ahead_ns(owner);
        self.wait_behind_ns(shares, rank, phase, ahead)
    }

    /// Returns the expected time until the queue of a rank has drained.
    pub(super) fn drain_ns(&self, shares: &[Share], rank: usize) -> u64 {
        let ahead = self.ranks[rank].new.work_ns();
        self.wait_behind_ns(shares, rank, Phase::New, ahead)
    }

    /// Returns the wait behind `ahead_ns` of work of the same rank and phase.
    /// Started jobs of the rank count as ahead of new ones. The wait is the
    /// shorter of two drain times, plus the time until the first free slot:
    ///
    /// - that of the work of the rank, at its guaranteed share;
    /// - that of the same work and all work of more urgent ranks, at the
    ///   capacity that is not guaranteed to less urgent ranks with jobs.
    fn wait_behind_ns(
        &self,
        shares: &[Share],
        rank: usize,
        phase: Phase,
        ahead_ns: u64,
    ) -> u64 {
        let share = |rank: usize| shares.get(rank).map_or(0, |s| s.0);
        let own = match phase {
            Phase::Started => ahead_ns,
            Phase::New => {
                ahead_ns.saturating_add(self.ranks[rank].started.work_ns())
            }
        };
        let urgent: u64 =
            self.ranks[..rank].iter().map(RankQueue::work_ns).sum();
        let less_urgent: u8 = (rank + 1..self.ranks.len())
            .filter(|rank| self.ranks[*rank].jobs() > 0)
            .map(share)
            .sum();
        let by_share = self.drain_time_ns(own, share(rank));
        let by_urgency = self.drain_time_ns(
            own.saturating_add(urgent),
            100_u8.saturating_sub(less_urgent),
        );
        by_share.min(by_urgency).saturating_add(self.first_free_ns())
    }

    /// Returns the expected time until the first slot is free. With n slots
    /// it is 1 / (n + 1) of the mean service time of the running jobs.
    pub(super) fn first_free_ns(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        self.running_ns / (slots * (slots + 1))
    }

    /// Returns the time to drain work at a percentage of all slots.
    fn drain_time_ns(&self, work_ns: u64, percent: u8) -> u64 {
        let rate = u128::from(self.slots) * u128::from(percent);
        if rate == 0 {
            return u64::MAX;
        }
        let drain = u128::from(work_ns) * 100 / rate;
        u64::try_from(drain).unwrap_or(u64::MAX)
    }

    /// Calls `keep` with each waiting job and its expected wait. If `keep`
    /// returns false, the job no longer counts as ahead of later ones of its
    /// caller.
    pub(super) fn for_each_job(
        &self,
        shares: &[Share],
        mut keep: impl FnMut(Key, Phase, u64) -> bool,
    ) {
        for (rank, queue) in self.ranks.iter().enumerate() {
            for phase in [Phase::Started, Phase::New] {
                queue.phase_queue(phase).for_each_job(|job, ahead| {
                    let wait = self.wait_behind_ns(shares, rank, phase, ahead);
                    keep(job, phase, wait)
                });
            }
        }
    }
}
