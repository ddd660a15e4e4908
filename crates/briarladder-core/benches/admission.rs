//! The time of one admission decision with 7,000 workspaces.
//!
//! Run with `cargo bench -p briarladder-core --bench admission`.

use std::{
    collections::VecDeque,
    hint::black_box,
    time::{Duration, Instant},
};

use briarladder_core::{
    admission::{AdmissionDecision, GrantId, Job, Scheduler, WaitingId},
    names::{CallerName, PoolName, RankName, WorkspaceName},
    objects::{Rank, snapshot::RankIndex},
};
use criterion::{Criterion, criterion_group, criterion_main};

const WORKSPACES: usize = 7_000;
const SLOTS: u32 = 100;
const QUEUE_LIMIT_REQUESTS: usize = 20_000;
/// Longer than the longest wait at this load, so that nothing is refused.
const DEADLINE: Duration = Duration::from_secs(9);
const SERVICE: Duration = Duration::from_millis(10);

fn ranks() -> Vec<Rank> {
    [("urgent", 50), ("normal", 30), ("least", 10)]
        .into_iter()
        .zip(0..)
        .map(|((name, guaranteed_percent), order)| Rank {
            name: RankName::new(name).unwrap(),
            order,
            guaranteed_percent,
        })
        .collect()
}

/// Returns one job of each workspace, in an order unlike that of the names.
fn jobs(now: Instant) -> Vec<Job> {
    (0..WORKSPACES)
        .map(|i| {
            let workspace = i * 2_741 % WORKSPACES;
            Job {
                pool: PoolName::new("engines").unwrap(),
                rank: RankIndex(u8::try_from(i % 3).unwrap()),
                workspace: WorkspaceName::new(&format!("w-{workspace}"))
                    .unwrap(),
                caller: CallerName::new("office").unwrap(),
                workspace_weight: 1 + u32::try_from(i % 5).unwrap(),
                caller_weight: 1,
                started: i % 2 == 0,
                deadline: now + DEADLINE,
                service_time: SERVICE,
                remaining_time: 3 * SERVICE,
            }
        })
        .collect()
}

struct Full {
    now: Instant,
    scheduler: Scheduler,
    jobs: Vec<Job>,
    grants: VecDeque<GrantId>,
    waiting: VecDeque<WaitingId>,
}

/// Creates a scheduler with all slots taken and one waiting job of each
/// workspace.
fn full() -> Full {
    let now = Instant::now();
    let jobs = jobs(now);
    let mut scheduler =
        Scheduler::new(&ranks()).with_queue_limit(QUEUE_LIMIT_REQUESTS);
    let _ = scheduler.set_pool_slots(now, &jobs[0].pool, SLOTS);
    let (mut grants, mut waiting) = (VecDeque::new(), VecDeque::new());
    for job in jobs.iter().chain(&jobs[..100]) {
        match scheduler.offer(now, job) {
            AdmissionDecision::Run(grant) => grants.push_back(grant),
            AdmissionDecision::Wait(id) => waiting.push_back(id),
            AdmissionDecision::Refuse(refusal) => panic!("{refusal}"),
        }
    }
    Full { now, scheduler, jobs, grants, waiting }
}

/// Decisions timed together, so that reading the clock does not count.
const BATCH: u32 = 64;

/// Which of the two decisions of a job under overload is timed.
#[derive(Clone, Copy, PartialEq)]
enum Timed {
    /// A job arrives and waits.
    Offer,
    /// A job finishes and the next is chosen.
    Finish,
}

impl Full {
    /// Offers and finishes a batch and returns the time of one of the two.
    fn batch(&mut self, next: &mut usize, timed: Timed) -> Duration {
        let start = Instant::now();
        for _ in 0..BATCH {
            let job = &mut self.jobs[*next];
            *next = (*next + 1) % WORKSPACES;
            job.deadline = self.now + DEADLINE;
            let AdmissionDecision::Wait(_) =
                self.scheduler.offer(self.now, job)
            else {
                panic!("the slots are taken");
            };
        }
        let offers = start.elapsed();
        // The time in which the slots serve a batch.
        self.now += SERVICE * BATCH / SLOTS;
        let start = Instant::now();
        for _ in 0..BATCH {
            let grant = self.grants.pop_front().unwrap();
            let changes = self.scheduler.finish(self.now, grant, SERVICE);
            self.grants.push_back(changes.dispatched[0].grant);
        }
        match timed {
            Timed::Offer => offers,
            Timed::Finish => start.elapsed(),
        }
    }
}

fn offer_and_finish(c: &mut Criterion) {
    for (name, timed) in
        [("offer_wait", Timed::Offer), ("finish", Timed::Finish)]
    {
        let mut full = full();
        let mut next = 0;
        c.bench_function(name, |b| {
            b.iter_custom(|iterations| {
                let batches = iterations.div_ceil(u64::from(BATCH));
                let time: Duration =
                    (0..batches).map(|_| full.batch(&mut next, timed)).sum();
                // Whole batches may exceed the iterations asked for.
                let total = u32::try_from(batches * u64::from(BATCH)).unwrap();
                time * u32::try_from(iterations).unwrap() / total
            });
        });
    }
}

/// One job arrives and waits; its caller goes.
fn offer_and_cancel(c: &mut Criterion) {
    let mut full = full();
    let mut next = 0;
    c.bench_function("offer_wait_and_cancel", |b| {
        b.iter(|| {
            let job = &full.jobs[next];
            next = (next + 1) % WORKSPACES;
            let AdmissionDecision::Wait(id) =
                full.scheduler.offer(full.now, job)
            else {
                panic!("the slots are taken");
            };
            full.waiting.push_back(id);
            let oldest = full.waiting.pop_front().unwrap();
            assert!(black_box(full.scheduler.cancel(oldest)));
        });
    });
}

/// One job arrives that can't meet its deadline.
fn offer_refused(c: &mut Criterion) {
    let mut full = full();
    let hasty: Vec<Job> = full
        .jobs
        .iter()
        .map(|job| Job { deadline: full.now + 3 * SERVICE, ..job.clone() })
        .collect();
    let mut next = 0;
    c.bench_function("offer_refused", |b| {
        b.iter(|| {
            next = (next + 1) % WORKSPACES;
            let offer = full.scheduler.offer(full.now, &hasty[next]);
            assert!(matches!(offer, AdmissionDecision::Refuse(_)));
        });
    });
}

criterion_group!(benches, offer_and_finish, offer_and_cancel, offer_refused);
criterion_main!(benches);
