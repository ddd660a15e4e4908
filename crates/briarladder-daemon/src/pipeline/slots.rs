//! Slots of pools, as futures.
//!
//! The scheduler in `briarladder_core::admission` decides which request gets
//! a slot; this module turns its decisions into futures. Dropping a future
//! removes its request from the queue, and dropping a [`Slot`] frees it.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    admission::{
        AdmissionDecision, GrantId, Job, PoolLoad, QueueChanges, Refusal,
        Scheduler, WaitingId,
    },
    clock::SharedClock,
    names::PoolName,
    objects::Rank,
    sorted::SortedMap,
};
use parking_lot::Mutex;
use tokio::sync::oneshot;

type Decision = Result<GrantId, Refusal>;

/// The slots of all pools that this daemon may use.
#[derive(Debug)]
pub struct Slots {
    clock: SharedClock,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    scheduler: Scheduler,
    waiters: SortedMap<WaitingId, oneshot::Sender<Decision>>,
}

impl Slots {
    /// Creates a queue without any pools.
    #[must_use]
    pub fn new(clock: SharedClock) -> Arc<Slots> {
        let scheduler = Scheduler::new(&[]);
        let inner = Inner { scheduler, waiters: SortedMap::new() };
        Arc::new(Slots { clock, inner: Mutex::new(inner) })
    }

    /// Applies the ranks of a configuration.
    pub fn set_ranks(&self, ranks: &[Rank]) {
        self.with(|inner, _| inner.scheduler.set_ranks(ranks));
    }

    /// Sets how many slots of a pool this daemon may use.
    pub fn set_pool_slots(&self, pool: &PoolName, slots: u32) {
        self.with(|inner, now| {
            let changes = inner.scheduler.set_pool_slots(now, pool, slots);
            inner.apply(now, changes);
        });
    }

    /// Returns the number of queued requests of all pools.
    #[must_use]
    pub fn queue_len_requests(&self) -> usize {
        self.with(|inner, _| inner.scheduler.queue_len_requests())
    }

    /// Returns the number of running requests of a pool.
    #[must_use]
    pub fn running_requests(&self, pool: &PoolName) -> u32 {
        self.with(|inner, _| inner.scheduler.running_requests(pool))
    }

    /// Returns the slots and the numbers of queued and running requests of a
    /// pool.
    #[must_use]
    pub fn pool_load(&self, pool: &PoolName) -> PoolLoad {
        self.with(|inner, _| inner.scheduler.pool_load(pool))
    }

    /// Waits for a slot. `later` has the jobs of the request in pools that it
    /// has not reached yet, whose expected wait is checked first.
    ///
    /// # Errors
    ///
    /// Returns the scheduler's refusal as soon as it decides that the request
    /// can't get a slot in time.
    pub async fn acquire(
        self: &Arc<Slots>,
        job: &Job,
        later: &[Job],
    ) -> Result<Slot, Refusal> {
        let acquisition = self.with(|inner, now| {
            if let Err(refusal) = inner.scheduler.check_later_pools(now, later)
            {
                return Acquisition::Refused(refusal);
            }
            match inner.scheduler.offer(now, job) {
                AdmissionDecision::Run(grant) => Acquisition::Granted(grant),
                AdmissionDecision::Refuse(refusal) => {
                    Acquisition::Refused(refusal)
                }
                AdmissionDecision::Wait(waiting) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiters.insert(waiting, sender);
                    Acquisition::Queued(Waiter {
                        slots: Arc::clone(self),
                        waiting: Some(waiting),
                        receiver,
                    })
                }
            }
        });
        let grant = match acquisition {
            Acquisition::Granted(grant) => grant,
            Acquisition::Refused(refusal) => return Err(refusal),
            Acquisition::Queued(waiter) => waiter.wait(job).await?,
        };
        let started_at = self.clock.now();
        Ok(Slot { slots: Arc::clone(self), grant, started_at })
    }

    /// Drops queued requests that can't finish in time any more.
    fn expire(&self) {
        self.with(|inner, now| {
            let changes = inner.scheduler.expire(now);
            inner.apply(now, changes);
        });
    }

    fn cancel(&self, waiting: WaitingId) {
        self.with(|inner, _| {
            inner.waiters.remove(&waiting);
            inner.scheduler.cancel(waiting);
        });
    }

    fn finish(&self, grant: GrantId, started_at: Instant) {
        self.with(|inner, now| {
            let service = now.saturating_duration_since(started_at);
            let changes = inner.scheduler.finish(now, grant, service);
            inner.apply(now, changes);
        });
    }

    fn with<T>(&self, run: impl FnOnce(&mut Inner, Instant) -> T) -> T {
        let now = self.clock.now();
        run(&mut self.inner.lock(), now)
    }
}

impl Inner {
    /// Sends the scheduler's decisions to the waiting futures.
    fn apply(&mut self, now: Instant, changes: QueueChanges) {
        let mut pending = changes;
        loop {
            for shed in pending.shed {
                if let Some(waiter) = self.waiters.remove(&shed.waiting) {
                    // Fails if the future was dropped.
                    let _ = waiter.send(Err(shed.refusal));
                }
            }
            let unclaimed = pending
                .dispatched
                .into_iter()
                .filter_map(|job| {
                    let waiter = self.waiters.remove(&job.waiting);
                    let sent = waiter.map(|w| w.send(Ok(job.grant)));
                    (!matches!(sent, Some(Ok(())))).then_some(job.grant)
                })
                .collect::<Vec<_>>();
            if unclaimed.is_empty() {
                return;
            }
            // The future of a granted slot was dropped, so the slot goes to
            // the next request in the queue.
            pending = QueueChanges::default();
            for grant in unclaimed {
                let freed = self.scheduler.finish(now, grant, Duration::ZERO);
                pending.dispatched.extend(freed.dispatched);
                pending.shed.extend(freed.shed);
            }
        }
    }
}

/// The result of asking the scheduler for a slot.
enum Acquisition {
    Granted(GrantId),
    Queued(Waiter),
    Refused(Refusal),
}

/// A queued request. Dropping it removes the request from the queue.
struct Waiter {
    slots: Arc<Slots>,
    waiting: Option<WaitingId>,
    receiver: oneshot::Receiver<Decision>,
}

impl Waiter {
    async fn wait(mut self, job: &Job) -> Decision {
        // After this time, the remaining stages can't finish in time.
        let give_up_at = job
            .deadline
            .checked_sub(job.remaining_time)
            .unwrap_or(job.deadline);
        let mut expiry =
            std::pin::pin!(tokio::time::sleep_until(give_up_at.into()));
        loop {
            tokio::select! {
                decision = &mut self.receiver => {
                    self.waiting = None;
                    // OK because the sender is dropped without a decision
                    // only by `cancel`, which runs when this future is
                    // dropped.
                    return decision.unwrap();
                }
                () = &mut expiry => {
                    self.slots.expire();
                    // The scheduler may not have expired this request yet.
                    let recheck_interval = Duration::from_millis(1);
                    let at = tokio::time::Instant::now() + recheck_interval;
                    expiry.as_mut().reset(at);
                }
            }
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let Some(waiting) = self.waiting.take() else { return };
        self.slots.cancel(waiting);
        // The slot may have been granted in the meantime.
        if let Ok(Ok(grant)) = self.receiver.try_recv() {
            let now = self.slots.clock.now();
            self.slots.finish(grant, now);
        }
    }
}

/// A slot of a pool. Dropping it frees the slot.
#[derive(Debug)]
pub struct Slot {
    slots: Arc<Slots>,
    grant: GrantId,
    started_at: Instant,
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.finish(self.grant, self.started_at);
    }
}
