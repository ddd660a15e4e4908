//! The slots of one pool, and the choice of the rank that gets one.
//!
//! While jobs wait, each dispatch of cost `c` credits every rank with its
//! guaranteed share of `c`. A rank with credit is entitled: the most urgent
//! entitled rank is served first and pays `c`. If no rank is entitled, the
//! most urgent one that waits is served from the remainder and pays nothing.
//! A rank that does not wait keeps no credit, so an unused share is lent at
//! each dispatch, and the borrower returns it as its jobs finish.

use super::{
    job::RefusalReason,
    lane::{Lane, Owner, Position, Queued},
    slab::Key,
};

/// A rank's guaranteed share of a pool, in percent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Share(pub(super) u8);

const WHOLE_PERCENT: i64 = 100;

/// The largest debt of a rank in percent-nanoseconds: 60 s of service. A
/// bound keeps one very long job from excluding its rank for good.
const MAX_DEBT: i64 = 60_000_000_000 * WHOLE_PERCENT;

/// Which of the two queues of a rank a job is in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Phase {
    Started,
    New,
}

/// How a dispatched job was paid for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Payment {
    /// From the rank's guaranteed share.
    Share,
    /// From what no rank was entitled to, or without contention.
    Remainder,
}

#[derive(Debug, Default)]
struct RankQueue {
    started: Lane,
    new: Lane,
    /// In percent-nanoseconds of service.
    credit: i64,
}

impl RankQueue {
    fn jobs(&self) -> usize {
        self.started.jobs() + self.new.jobs()
    }

    fn work_ns(&self) -> u64 {
        self.started.work_ns().saturating_add(self.new.work_ns())
    }

    fn lane(&self, phase: Phase) -> &Lane {
        match phase {
            Phase::Started => &self.started,
            Phase::New => &self.new,
        }
    }

    fn lane_mut(&mut self, phase: Phase) -> &mut Lane {
        match phase {
            Phase::Started => &mut self.started,
            Phase::New => &mut self.new,
        }
    }

    fn add_credit(&mut self, credit: i64) {
        self.credit = self.credit.saturating_add(credit).max(-MAX_DEBT);
        if self.jobs() == 0 {
            self.credit = self.credit.min(0);
        }
    }
}

/// A job taken out of the queue to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Popped {
    pub(super) queued: Queued,
    pub(super) payment: Payment,
}

#[derive(Debug, Default)]
pub(super) struct Pool {
    pub(super) slots: u32,
    running: u32,
    running_ns: u64,
    ranks: Vec<RankQueue>,
}

impl Pool {
    pub(super) fn grow_ranks(&mut self, count: usize) {
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

    pub(super) fn occupy(&mut self, cost_ns: u64) {
        self.running += 1;
        self.running_ns += cost_ns;
    }

    pub(super) fn release(&mut self, cost_ns: u64) {
        self.running -= 1;
        self.running_ns -= cost_ns;
    }

    /// Checks that the owner may queue one more job.
    pub(super) fn check_place(
        &self,
        rank: usize,
        phase: Phase,
        owner: Owner<'_>,
        limit_requests: usize,
    ) -> Result<(), RefusalReason> {
        let queue = &self.ranks[rank];
        let free = limit_requests.saturating_sub(queue.jobs());
        if free == 0 {
            return Err(RefusalReason::QueueFull);
        }
        if !queue.lane(phase).has_place(owner, free) {
            return Err(RefusalReason::CallerQueueFull);
        }
        Ok(())
    }

    pub(super) fn push(
        &mut self,
        rank: usize,
        phase: Phase,
        owner: Owner<'_>,
        queued: Queued,
    ) -> Position {
        self.ranks[rank].lane_mut(phase).push(owner, queued)
    }

    pub(super) fn remove(
        &mut self,
        rank: usize,
        phase: Phase,
        at: Position,
        job: Key,
    ) {
        self.ranks[rank].lane_mut(phase).remove(at, job);
    }

    /// Takes out the job that gets the next free slot.
    pub(super) fn pop(&mut self, shares: &[Share]) -> Option<Popped> {
        let share = |rank: usize| shares.get(rank).map_or(0, |s| s.0);
        let mut waiting =
            (0..self.ranks.len()).filter(|rank| self.ranks[*rank].jobs() > 0);
        let most_urgent = waiting.clone().next()?;
        let entitled = waiting
            .find(|rank| share(*rank) > 0 && self.ranks[*rank].credit >= 0);
        let (rank, payment) = match entitled {
            Some(rank) => (rank, Payment::Share),
            None => (most_urgent, Payment::Remainder),
        };
        let queue = &mut self.ranks[rank];
        let queued = queue.started.pop().or_else(|| queue.new.pop())?;
        let cost = i64::try_from(queued.cost_ns).unwrap_or(i64::MAX);
        self.settle(shares, rank, payment, cost);
        if self.waiting() == 0 {
            // Nobody is owed anything once the queue is empty.
            for queue in &mut self.ranks {
                queue.credit = 0;
            }
        }
        Some(Popped { queued, payment })
    }

    /// Distributes the credit for service of the given length. A negative
    /// length takes back what was distributed for an overestimated job.
    pub(super) fn settle(
        &mut self,
        shares: &[Share],
        rank: usize,
        payment: Payment,
        service_ns: i64,
    ) {
        if payment == Payment::Share {
            let paid = service_ns.saturating_mul(-WHOLE_PERCENT);
            self.ranks[rank].add_credit(paid);
        }
        for (queue, share) in self.ranks.iter_mut().zip(shares) {
            queue.add_credit(service_ns.saturating_mul(i64::from(share.0)));
        }
    }

    pub(super) fn correct(
        &mut self,
        rank: usize,
        phase: Phase,
        at: Position,
        difference_ns: i64,
    ) {
        self.ranks[rank].lane_mut(phase).correct(at, difference_ns);
    }

    /// Returns the expected wait of a job that is queued now.
    pub(super) fn wait_ns(
        &self,
        shares: &[Share],
        rank: usize,
        phase: Phase,
        owner: Owner<'_>,
    ) -> u64 {
        let ahead = self.ranks[rank].lane(phase).ahead_ns(owner);
        self.wait_behind_ns(shares, rank, phase, ahead)
    }

    /// Returns the time in which the queue of a rank drains.
    pub(super) fn drain_ns(&self, shares: &[Share], rank: usize) -> u64 {
        let ahead = self.ranks[rank].new.work_ns();
        self.wait_behind_ns(shares, rank, Phase::New, ahead)
    }

    /// Returns the wait behind `ahead_ns` of work of the same lane: the
    /// shorter of the drain time at the guaranteed share and the drain time
    /// of all more urgent work at what less urgent ranks leave.
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
        let by_share = self.drain_at_ns(own, share(rank));
        let by_urgency = self.drain_at_ns(
            own.saturating_add(urgent),
            100_u8.saturating_sub(less_urgent),
        );
        by_share.min(by_urgency).saturating_add(self.first_free_ns())
    }

    /// Returns when the first slot is expected to be free. With n slots that
    /// is after 1 / (n + 1) of the mean service time of the running jobs.
    pub(super) fn first_free_ns(&self) -> u64 {
        let slots = u64::from(self.slots.max(1));
        self.running_ns / (slots * (slots + 1))
    }

    fn drain_at_ns(&self, work_ns: u64, percent: u8) -> u64 {
        let rate = u128::from(self.slots) * u128::from(percent);
        if rate == 0 {
            return u64::MAX;
        }
        let drain = u128::from(work_ns) * 100 / rate;
        u64::try_from(drain).unwrap_or(u64::MAX)
    }

    /// Passes each waiting job with its expected wait to `keep`.
    pub(super) fn visit(
        &self,
        shares: &[Share],
        mut keep: impl FnMut(Key, Phase, u64) -> bool,
    ) {
        for (rank, queue) in self.ranks.iter().enumerate() {
            for phase in [Phase::Started, Phase::New] {
                queue.lane(phase).visit(|job, ahead| {
                    let wait = self.wait_behind_ns(shares, rank, phase, ahead);
                    keep(job, phase, wait)
                });
            }
        }
    }
}
