mod load;

use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    AdmissionDecision, GrantId, Job, QueueChanges, RefusalReason, Scheduler,
    WaitingId,
};
use crate::{
    names::{CallerName, PoolName, RankName, WorkspaceName},
    objects::{Rank, snapshot::RankIndex},
};

const URGENT: u8 = 0;
const NORMAL: u8 = 1;
const LEAST: u8 = 2;
const SERVICE: Duration = Duration::from_millis(100);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn ranks(percents: [u8; 3]) -> Vec<Rank> {
    let names = ["urgent", "normal", "least"];
    (0..3)
        .map(|i| Rank {
            name: RankName::new(names[usize::from(i)]).unwrap(),
            order: i,
            guaranteed_percent: percents[usize::from(i)],
        })
        .collect()
}

fn pool() -> PoolName {
    PoolName::new("engines").unwrap()
}

fn job(now: Instant, rank: u8, workspace: &str, caller: &str) -> Job {
    Job {
        pool: pool(),
        rank: RankIndex(rank),
        workspace: WorkspaceName::new(workspace).unwrap(),
        caller: CallerName::new(caller).unwrap(),
        workspace_weight: 1,
        caller_weight: 1,
        started: false,
        deadline: now + ms(5_000),
        service_time: SERVICE,
        remaining_time: SERVICE,
    }
}

fn scheduler(now: Instant, percents: [u8; 3], slots: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(&ranks(percents));
    let _ = scheduler.set_pool_slots(now, &pool(), slots);
    scheduler
}

fn run(offer: AdmissionDecision) -> GrantId {
    match offer {
        AdmissionDecision::Run(grant) => grant,
        other => panic!("{other:?}"),
    }
}

fn wait(offer: AdmissionDecision) -> WaitingId {
    match offer {
        AdmissionDecision::Wait(waiting) => waiting,
        other => panic!("{other:?}"),
    }
}

/// Guards against a rank that does not get its share back within one service
/// time after another rank has used it.
#[test]
fn finish_returns_used_share() {
    let now = Instant::now();
    for (other, owner, least) in
        [(URGENT, NORMAL, 3), (LEAST, URGENT, 5), (URGENT, LEAST, 1)]
    {
        let mut scheduler = scheduler(now, [50, 30, 10], 10);
        let offer = |scheduler: &mut Scheduler, rank| {
            scheduler.offer(now, &job(now, rank, "harbour", "office"))
        };
        let grants: Vec<GrantId> =
            (0..10).map(|_| run(offer(&mut scheduler, other))).collect();
        for _ in 0..20 {
            wait(offer(&mut scheduler, other));
        }
        let owners: Vec<WaitingId> =
            (0..10).map(|_| wait(offer(&mut scheduler, owner))).collect();
        let end = now + SERVICE;
        let returned = grants
            .into_iter()
            .flat_map(|grant| scheduler.finish(end, grant, SERVICE).dispatched)
            .filter(|run| owners.contains(&run.waiting))
            .count();
        assert!(returned >= least, "{other} {owner}: {returned}");
    }
}

/// Guards against new pipelines that are dispatched before started ones of
/// their rank.
#[test]
fn finish_started_first() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 1);
    let new = job(now, NORMAL, "harbour", "office");
    let started = Job { started: true, ..job(now, NORMAL, "market", "shop") };
    let grant = run(scheduler.offer(now, &new));
    wait(scheduler.offer(now, &new));
    let first = wait(scheduler.offer(now, &started));
    let changes = scheduler.finish(now + SERVICE, grant, SERVICE);
    assert_eq!(changes.dispatched[0].waiting, first);
}

/// Returns how many of 40 dispatches went to the first of two workspaces
/// that both have enough waiting jobs. Jobs of the first hold their slot for
/// `held_for`.
fn first_of_40(weight: u32, held_for: Duration) -> usize {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 1);
    let first = Job {
        workspace_weight: weight,
        deadline: now + ms(60_000),
        ..job(now, NORMAL, "harbour", "office")
    };
    let second = Job {
        deadline: first.deadline,
        ..job(now, NORMAL, "market", "office")
    };
    let mut grant = run(scheduler.offer(now, &first));
    let mut firsts = Vec::new();
    for _ in 0..40 {
        firsts.push(wait(scheduler.offer(now, &first)));
        wait(scheduler.offer(now, &second));
    }
    let mut service_time = SERVICE;
    let mut count = 0;
    for _ in 0..40 {
        let run = scheduler.finish(now, grant, service_time).dispatched[0];
        grant = run.grant;
        let is_first = firsts.contains(&run.waiting);
        count += usize::from(is_first);
        service_time = if is_first { held_for } else { SERVICE };
    }
    count
}

/// Guards against dispatches that are not in proportion to weights, and
/// against a workspace that gains capacity by jobs longer than expected.
#[test]
fn finish_charges_by_weight_and_time() {
    assert!((19..=21).contains(&first_of_40(1, SERVICE)));
    assert!((29..=31).contains(&first_of_40(3, SERVICE)));
    assert!((9..=12).contains(&first_of_40(1, 3 * SERVICE)));
}

/// Guards against queueing a job whose expected wait exceeds its deadline,
/// and against a `retry_after` after which a resend is refused again.
#[test]
fn offer_refuses_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 1);
    let patient = job(now, NORMAL, "harbour", "office");
    let mut grant = run(scheduler.offer(now, &patient));
    for _ in 0..10 {
        wait(scheduler.offer(now, &patient));
    }
    let hasty = |now| Job { deadline: now + ms(500), ..patient.clone() };
    let AdmissionDecision::Refuse(refusal) = scheduler.offer(now, &hasty(now))
    else {
        panic!("admitted behind a wait of 1 s");
    };
    assert_eq!(refusal.reason, RefusalReason::WaitTooLong);
    let resend = now + refusal.retry_after.unwrap();
    let mut end = now + SERVICE;
    while end <= resend {
        grant = scheduler.finish(end, grant, SERVICE).dispatched[0].grant;
        end += SERVICE;
    }
    wait(scheduler.offer(resend, &hasty(resend)));

    let impossible = Job { remaining_time: ms(6_000), ..patient.clone() };
    let AdmissionDecision::Refuse(refusal) = scheduler.offer(now, &impossible)
    else {
        panic!("admitted with stages longer than the deadline");
    };
    assert_eq!(refusal.reason, RefusalReason::DeadlineTooShort);
    assert_eq!(refusal.retry_after, None);
}

/// Guards against a job that waits past its latest start time, or that is
/// dispatched after it.
#[test]
fn expire_at_latest_start() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 1);
    let slow = job(now, NORMAL, "harbour", "office");
    let hasty = Job { deadline: now + ms(400), ..slow.clone() };
    let grant = run(scheduler.offer(now, &slow));
    let waiting = wait(scheduler.offer(now, &hasty));
    let latest_start = now + ms(300);
    let next = scheduler.next_expiry().unwrap();
    assert!(next <= latest_start && next > now + ms(280), "early only");
    assert_eq!(scheduler.expire(latest_start), QueueChanges::default());
    let changes = scheduler.finish(latest_start + ms(1), grant, ms(301));
    assert_eq!(changes.dispatched, []);
    assert_eq!(changes.shed[0].waiting, waiting);
    assert_eq!(scheduler.next_expiry(), None);
}

/// Guards against jobs that stay queued although they can't meet their
/// deadline with fewer slots, and against shedding jobs that still can.
#[test]
fn set_pool_slots_gives_up_late() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 4);
    let hasty = Job {
        deadline: now + ms(1_000),
        ..job(now, NORMAL, "harbour", "office")
    };
    for _ in 0..4 {
        run(scheduler.offer(now, &hasty));
    }
    let waiting: Vec<WaitingId> =
        (0..24).map(|_| wait(scheduler.offer(now, &hasty))).collect();
    let changes = scheduler.set_pool_slots(now, &pool(), 1);
    let shed: Vec<WaitingId> =
        changes.shed.iter().map(|shed| shed.waiting).collect();
    // With 1 slot, 9 jobs fit in 900 ms less the running work.
    assert!((15..=18).contains(&shed.len()), "{shed:?}");
    assert_eq!(shed, waiting[24 - shed.len()..]);
    assert_eq!(scheduler.queue_len_requests(), 24 - shed.len());
}

/// Guards against new jobs that wait for a pool without slots, against
/// shedding started jobs while slots are briefly reported as 0, and against
/// slots that stay unused when they come back.
#[test]
fn set_pool_slots_zero() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 0);
    let new = job(now, NORMAL, "harbour", "office");
    let started = Job { started: true, ..new.clone() };
    let unknown =
        Job { pool: PoolName::new("absent").unwrap(), ..new.clone() };
    for job in [&new, &started, &unknown] {
        let AdmissionDecision::Refuse(refusal) = scheduler.offer(now, job)
        else {
            panic!("{job:?}");
        };
        assert_eq!(refusal.reason, RefusalReason::NoSlots);
        assert!(refusal.retry_after.is_some());
    }
    let _ = scheduler.set_pool_slots(now, &pool(), 1);
    let grant = run(scheduler.offer(now, &new));
    let new = wait(scheduler.offer(now, &new));
    let started = wait(scheduler.offer(now, &started));
    let changes = scheduler.set_pool_slots(now, &pool(), 0);
    assert_eq!(changes.shed.len(), 1);
    assert_eq!(changes.shed[0].waiting, new);
    assert_eq!(scheduler.finish(now, grant, SERVICE), QueueChanges::default());
    let changes = scheduler.set_pool_slots(now, &pool(), 2);
    assert_eq!(changes.dispatched.len(), 1);
    assert_eq!(changes.dispatched[0].waiting, started);
}

/// Guards against an unbounded queue, and against one caller that fills the
/// queue for all others.
#[test]
fn offer_full_queue() {
    let now = Instant::now();
    let mut scheduler =
        Scheduler::new(&ranks([50, 30, 10])).with_queue_limit(90);
    let _ = scheduler.set_pool_slots(now, &pool(), 1);
    let patient = |workspace: &str, caller: &str| Job {
        deadline: now + ms(100_000),
        ..job(now, NORMAL, workspace, caller)
    };
    run(scheduler.offer(now, &patient("harbour", "bulk")));
    let mut fill = |workspace: &str, caller: &str| {
        let mut queued = 0;
        loop {
            match scheduler.offer(now, &patient(workspace, caller)) {
                AdmissionDecision::Wait(_) => queued += 1,
                AdmissionDecision::Refuse(refusal) => {
                    break (queued, refusal.reason);
                }
                AdmissionDecision::Run(_) => panic!("ran without a slot"),
            }
        }
    };
    assert_eq!(fill("harbour", "bulk"), (30, RefusalReason::CallerQueueFull));
    let (queued, _) = fill("harbour", "office");
    assert!(queued >= 5, "{queued}");
    let (queued, _) = fill("market", "office");
    assert!(queued >= 10, "{queued}");
    let mut reason = RefusalReason::CallerQueueFull;
    for i in 0..90 {
        reason = fill(&format!("workspace-{i}"), "office").1;
    }
    assert_eq!(reason, RefusalReason::QueueFull);
    assert_eq!(scheduler.queue_len_requests(), 90);
}

/// The state of a job when a call arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum At {
    Waiting,
    Running,
    Finished,
    Cancelled,
    Shed,
}

/// Guards against a late or repeated call that frees a slot twice, runs a
/// cancelled job or answers a job twice. Makes each call in each state.
#[test]
fn cancel_each_state() {
    let now = Instant::now();
    for at in [At::Waiting, At::Running, At::Finished, At::Cancelled, At::Shed]
    {
        let mut scheduler = scheduler(now, [50, 30, 10], 1);
        let patient = job(now, NORMAL, "harbour", "office");
        let other = run(scheduler.offer(now, &patient));
        let waiting = wait(scheduler.offer(now, &patient));
        let mut grant = None;
        match at {
            At::Waiting => (),
            At::Cancelled => assert!(scheduler.cancel(waiting)),
            At::Shed => {
                let changes = scheduler.expire(now + ms(6_000));
                assert_eq!(changes.shed.len(), 1);
            }
            At::Running | At::Finished => {
                let changes = scheduler.finish(now, other, SERVICE);
                grant = Some(changes.dispatched[0].grant);
            }
        }
        if at == At::Finished {
            let _ = scheduler.finish(now, grant.unwrap(), SERVICE);
        }
        let running = scheduler.running_requests(&pool());
        // Another job reuses the slab entry.
        let next = scheduler.offer(now, &patient);
        assert_eq!(scheduler.cancel(waiting), at == At::Waiting, "{at:?}");
        assert!(!scheduler.cancel(waiting), "{at:?}");
        let held = scheduler.running_requests(&pool());
        let ran = u32::from(matches!(next, AdmissionDecision::Run(_)));
        assert_eq!(held, running + ran, "{at:?}");
        if at == At::Finished {
            let again = scheduler.finish(now, grant.unwrap(), SERVICE);
            assert_eq!(again, QueueChanges::default());
            assert_eq!(scheduler.running_requests(&pool()), held);
        }
        if let AdmissionDecision::Wait(next) = next {
            let holder = grant.unwrap_or(other);
            let changes = scheduler.finish(now, holder, SERVICE);
            assert_eq!(changes.dispatched[0].waiting, next, "{at:?}");
        }
    }
}

/// Guards against a change of ranks that loses waiting jobs or never
/// dispatches them.
#[test]
fn set_ranks_keeps_jobs() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, [50, 30, 10], 1);
    let least = job(now, LEAST, "harbour", "office");
    let grant = run(scheduler.offer(now, &least));
    let waiting = wait(scheduler.offer(now, &least));
    scheduler.set_ranks(&ranks([50, 30, 10])[..1]);
    let later = wait(scheduler.offer(now, &least));
    let changes = scheduler.finish(now, grant, SERVICE);
    assert_eq!(changes.dispatched[0].waiting, later, "now the only rank");
    let changes = scheduler.finish(now, changes.dispatched[0].grant, SERVICE);
    assert_eq!(changes.dispatched[0].waiting, waiting);
}

/// Guards against jobs that are lost or answered twice, more running jobs
/// than slots, and free slots while jobs wait. Makes random calls.
#[test]
fn random_calls_answer_each_job_once() {
    for seed in 0..50 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut scheduler = Scheduler::new(&ranks([50, 30, 0]))
            .with_queue_limit(random.random_range(1..40));
        let mut slots = 0;
        let mut open = Vec::new();
        let mut grants = Vec::new();
        for _ in 0..2_000 {
            now += ms(random.random_range(0..20));
            let changes = match random.random_range(0..10) {
                0..5 => {
                    let workspace =
                        format!("workspace-{}", random.random_range(0..9));
                    let caller =
                        format!("caller-{}", random.random_range(0..3));
                    let mut job = job(
                        now,
                        random.random_range(0..4),
                        &workspace,
                        &caller,
                    );
                    job.started = random.random();
                    job.deadline = now + ms(random.random_range(0..2_000));
                    match scheduler.offer(now, &job) {
                        AdmissionDecision::Run(grant) => grants.push(grant),
                        AdmissionDecision::Wait(waiting) => open.push(waiting),
                        AdmissionDecision::Refuse(_) => (),
                    }
                    QueueChanges::default()
                }
                5..8 if !grants.is_empty() => {
                    let at = random.random_range(0..grants.len());
                    let held_for = ms(random.random_range(0..300));
                    scheduler.finish(now, grants.swap_remove(at), held_for)
                }
                8 if !open.is_empty() => {
                    let at = random.random_range(0..open.len());
                    assert!(scheduler.cancel(open.swap_remove(at)));
                    QueueChanges::default()
                }
                9 if random.random_range(0..5) == 0 => {
                    slots = random.random_range(0..6);
                    scheduler.set_pool_slots(now, &pool(), slots)
                }
                _ => scheduler.expire(now),
            };
            let before = open.len();
            for shed in &changes.shed {
                open.retain(|waiting| *waiting != shed.waiting);
            }
            for run in &changes.dispatched {
                open.retain(|waiting| *waiting != run.waiting);
                grants.push(run.grant);
            }
            let answered = changes.shed.len() + changes.dispatched.len();
            assert_eq!(open.len(), before - answered, "seed {seed}");
            assert_eq!(scheduler.queue_len_requests(), open.len());
            let running = scheduler.running_requests(&pool());
            assert_eq!(usize::try_from(running).unwrap(), grants.len());
            assert!(changes.dispatched.is_empty() || running <= slots);
            assert!(open.is_empty() || running >= slots, "seed {seed}");
        }
    }
}
