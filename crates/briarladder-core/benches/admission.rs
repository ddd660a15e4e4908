//! Measures the time of one admission decision with 7,000 workspaces.
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
/// Time from arrival to deadline. It exceeds the longest wait at this load, so
/// that no job is refused.
const TIME_TO_DEADLINE: Duration = Duration::from_secs(9);
const SERVICE_TIME: Duration = Duration::from_millis(10);

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

/// Returns one job of each workspace, not in the order of their names.
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
                deadline: now + TIME_TO_DEADLINE,
                service_time: SERVICE_TIME,
                remaining_time: 3 * SERVICE_TIME,
            }
        })
        .collect()
}

struct FullScheduler {
    now: Instant,
    scheduler: Scheduler,
    jobs: Vec<Job>,
    grants: VecDeque<GrantId>,
    waiting: VecDeque<WaitingId>,
}

/// Creates a scheduler whose slots are all in use and in which one job of each
/// workspace waits.
fn full_scheduler() -> FullScheduler {
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
    FullScheduler { now, scheduler, jobs, grants, waiting }
}

/// Jobs that are timed together, so that the cost of reading the clock is
/// negligible.
const BATCH_JOBS: u32 = 64;

/// The step of a job under overload that is timed.
#[derive(Clone, Copy, PartialEq)]
enum TimedStep {
    /// A job arrives and is queued.
    Offer,
    /// A job finishes and the scheduler dispatches the next.
    Finish,
}

impl FullScheduler {
    /// Offers and finishes a batch of jobs, and returns the time that the
    /// `timed` step took.
    fn run_batch(
        &mut self,
        next_job: &mut usize,
        timed: TimedStep,
    ) -> Duration {
        let start = Instant::now();
        for _ in 0..BATCH_JOBS {
            let job = &mut self.jobs[*next_job];
            *next_job = (*next_job + 1) % WORKSPACES;
            job.deadline = self.now + TIME_TO_DEADLINE;
            let AdmissionDecision::Wait(_) =
                self.scheduler.offer(self.now, job)
            else {
                panic!("all slots are in use");
            };
        }
        let offer_time = start.elapsed();
        // Advances the clock by the time in which the slots serve a batch.
        self.now += SERVICE_TIME * BATCH_JOBS / SLOTS;
        let start = Instant::now();
        for _ in 0..BATCH_JOBS {
            let grant = self.grants.pop_front().unwrap();
            let changes = self.scheduler.finish(self.now, grant, SERVICE_TIME);
            self.grants.push_back(changes.dispatched[0].grant);
        }
        match timed {
            TimedStep::Offer => offer_time,
            TimedStep::Finish => start.elapsed(),
        }
    }
}

fn offer_and_finish(c: &mut Criterion) {
    for (name, timed) in
        [("offer_wait", TimedStep::Offer), ("finish", TimedStep::Finish)]
    {
        let mut full = full_scheduler();
        let mut next_job = 0;
        c.bench_function(name, |b| {
            b.iter_custom(|iterations| {
                let batches = iterations.div_ceil(u64::from(BATCH_JOBS));
                let time: Duration = (0..batches)
                    .map(|_| full.run_batch(&mut next_job, timed))
                    .sum();
                // Whole batches may exceed the requested iterations.
                let total =
                    u32::try_from(batches * u64::from(BATCH_JOBS)).unwrap();
                time * u32::try_from(iterations).unwrap() / total
            });
        });
    }
}

/// One job arrives and is queued, and the oldest queued job is cancelled.
fn offer_and_cancel(c: &mut Criterion) {
    let mut full = full_scheduler();
    let mut next_job = 0;
    c.bench_function("offer_wait_and_cancel", |b| {
        b.iter(|| {
            let job = &full.jobs[next_job];
            next_job = (next_job + 1) % WORKSPACES;
            let AdmissionDecision::Wait(id) =
                full.scheduler.offer(full.now, job)
            else {
                panic!("all slots are in use");
            };
            full.waiting.push_back(id);
            let oldest = full.waiting.pop_front().unwrap();
            assert!(black_box(full.scheduler.cancel(oldest)));
        });
    });
}

/// One job arrives and is refused because it can't meet its deadline.
fn offer_refused(c: &mut Criterion) {
    let mut full = full_scheduler();
    let short_deadline_jobs: Vec<Job> = full
        .jobs
        .iter()
        .map(|job| Job {
            deadline: full.now + 3 * SERVICE_TIME,
            ..job.clone()
        })
        .collect();
    let mut next_job = 0;
    c.bench_function("offer_refused", |b| {
        b.iter(|| {
            next_job = (next_job + 1) % WORKSPACES;
            let offer =
                full.scheduler.offer(full.now, &short_deadline_jobs[next_job]);
            assert!(matches!(offer, AdmissionDecision::Refuse(_)));
        });
    });
}

criterion_group!(benches, offer_and_finish, offer_and_cancel, offer_refused);
criterion_main!(benches);
