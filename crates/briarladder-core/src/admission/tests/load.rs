//! Tests of the scheduler under load, in virtual time.

use std::time::{Duration, Instant};

use crate::{
    admission::{
        AdmissionDecision, GrantId, Job, QueueChanges, Scheduler, WaitingId,
    },
    sorted::SortedMap,
};

use super::{LEAST, NORMAL, SERVICE, URGENT, job, ms, scheduler};

/// The outcomes of the jobs with one label.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Counts {
    offered: u32,
    in_time: u32,
    late: u32,
    refused: u32,
}

impl Counts {
    fn attainment(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered)
    }
}

/// Runs a scheduler in virtual time. Jobs are counted by label; each takes
/// its expected service time.
struct Simulation {
    now: Instant,
    scheduler: Scheduler,
    /// End, grant, deadline and label.
    running: Vec<(Instant, GrantId, Instant, usize)>,
    /// Deadline and label.
    waiting: SortedMap<WaitingId, (Instant, usize)>,
    counts: Vec<Counts>,
}

impl Simulation {
    fn new(scheduler: Scheduler, now: Instant) -> Simulation {
        Simulation {
            now,
            scheduler,
            running: Vec::new(),
            waiting: SortedMap::new(),
            counts: vec![Counts::default(); 4],
        }
    }

    fn apply(&mut self, changes: QueueChanges) {
        for shed in changes.shed {
            let (_, label) = self.waiting.remove(&shed.waiting).unwrap();
            self.counts[label].refused += 1;
        }
        for run in changes.dispatched {
            let (deadline, label) = self.waiting.remove(&run.waiting).unwrap();
            let end = self.now + SERVICE;
            self.running.push((end, run.grant, deadline, label));
        }
    }

    fn advance(&mut self, to: Instant) {
        loop {
            let next = self.running.iter().map(|r| r.0).min();
            let expiry = self.scheduler.next_expiry();
            if let Some(end) = next.filter(|end| *end <= to)
                && expiry.is_none_or(|expiry| end <= expiry)
            {
                let at = self.running.iter().position(|r| r.0 == end);
                let (_, grant, deadline, label) =
                    self.running.swap_remove(at.unwrap());
                self.now = end;
                let counts = &mut self.counts[label];
                if end <= deadline {
                    counts.in_time += 1;
                } else {
                    counts.late += 1;
                }
                let changes = self.scheduler.finish(end, grant, SERVICE);
                self.apply(changes);
            } else if let Some(expiry) = expiry.filter(|expiry| *expiry < to) {
                self.now = self.now.max(expiry + Duration::from_nanos(1));
                let changes = self.scheduler.expire(self.now);
                self.apply(changes);
            } else {
                self.now = to;
                return;
            }
        }
    }

    fn offer(&mut self, job: &Job, label: usize) {
        self.counts[label].offered += 1;
        match self.scheduler.offer(self.now, job) {
            AdmissionDecision::Run(grant) => {
                let end = self.now + SERVICE;
                self.running.push((end, grant, job.deadline, label));
            }
            AdmissionDecision::Wait(waiting) => {
                self.waiting.insert(waiting, (job.deadline, label));
            }
            AdmissionDecision::Refuse(_) => self.counts[label].refused += 1,
        }
    }

    /// For 20 s, offers the jobs that `offers` returns for each step of
    /// 10 ms. Then runs until no job is left.
    fn drive(&mut self, offers: impl Fn(u32, Instant) -> Vec<(Job, usize)>) {
        for step in 0..2_000 {
            self.advance(self.now + ms(10));
            for (job, label) in offers(step, self.now) {
                self.offer(&job, label);
            }
        }
        self.advance(self.now + ms(10_000));
        assert!(self.waiting.is_empty() && self.running.is_empty());
    }
}

/// Simulates a pool of 10 slots with jobs of 100 ms, which is a capacity of
/// 100 jobs a second.
fn simulate(
    percents: [u8; 3],
    offers: impl Fn(u32, Instant) -> Vec<(Job, usize)>,
) -> Vec<Counts> {
    let now = Instant::now();
    let mut simulation = Simulation::new(scheduler(now, percents, 10), now);
    simulation.drive(offers);
    simulation.counts
}

/// Guards against urgent jobs that miss deadlines under a flood of the least
/// urgent ones.
#[test]
fn offer_flood_of_least_urgent() {
    let urgent = |step: u32, now| {
        let urgent = Job {
            deadline: now + ms(300),
            ..job(now, URGENT, "harbour", "office")
        };
        if step.is_multiple_of(2) { vec![(urgent, 0)] } else { vec![] }
    };
    let steady = simulate([50, 30, 10], urgent)[0].attainment();
    let counts = simulate([50, 30, 10], |step, now| {
        let mut offers = vec![(job(now, LEAST, "archive", "bulk"), 2); 10];
        offers.extend(urgent(step, now));
        offers
    });
    let flooded = counts[0].attainment();
    assert!(flooded >= 0.99 * steady, "{flooded} of {steady}");
    // The flood gets the rest of the capacity.
    assert!(counts[2].in_time > 900, "{counts:?}");
    assert!(counts.iter().all(|counts| counts.late == 0), "{counts:?}");
}

/// Guards against a flood of urgent jobs that takes the guaranteed shares of
/// other ranks, and against urgent jobs that don't get the remainder.
#[test]
fn offer_flood_of_most_urgent() {
    let counts = simulate([50, 30, 10], |_, now| {
        let mut offers = vec![(job(now, URGENT, "harbour", "office"), 0); 10];
        offers.push((job(now, NORMAL, "market", "office"), 1));
        offers.push((job(now, LEAST, "archive", "bulk"), 2));
        offers
    });
    // 20 s at 100 jobs a second, and at most 5 s of backlog after that.
    assert!(counts[1].in_time >= 540, "{counts:?}");
    assert!(counts[2].in_time >= 180, "{counts:?}");
    assert!(counts[0].in_time >= 1_080, "{counts:?}");
    assert!(counts.iter().all(|counts| counts.late == 0), "{counts:?}");
}

/// Guards against a rank with a share of 0% that takes the shares of others,
/// and against one that does not get unused capacity either.
#[test]
fn offer_rank_without_share() {
    let offers = |urgent: usize| {
        move |_, now| {
            let mut offers =
                vec![(job(now, URGENT, "harbour", "office"), 0); urgent];
            offers.push((job(now, LEAST, "archive", "bulk"), 2));
            offers
        }
    };
    let flooded = simulate([100, 0, 0], offers(5));
    let during_flood = flooded[2].in_time;
    assert!(during_flood < 520, "{flooded:?}");
    let alone = simulate([100, 0, 0], offers(0));
    assert_eq!(alone[2].in_time, alone[2].offered, "{alone:?}");
}

/// Guards against a caller or workspace with many jobs that starves small
/// ones of the same rank.
#[test]
fn offer_large_caller() {
    for large in [("harbour", "bulk"), ("archive", "office")] {
        let counts = simulate([50, 30, 10], |step, now| {
            let mut offers = vec![(job(now, NORMAL, large.0, large.1), 0); 10];
            if step % 10 == 0 {
                let small = Job {
                    deadline: now + ms(500),
                    ..job(now, NORMAL, "harbour", "office")
                };
                offers.push((small, 1));
            }
            offers
        });
        assert!(counts[1].attainment() >= 0.95, "{large:?} {counts:?}");
    }
}

/// Guards against goodput that collapses at ten times the capacity.
#[test]
fn offer_ten_times_load() {
    let offers = |count| {
        move |_, now| vec![(job(now, NORMAL, "harbour", "office"), 0); count]
    };
    let capacity = simulate([50, 30, 10], offers(1))[0].in_time;
    let overload = simulate([50, 30, 10], offers(10))[0];
    assert!(overload.in_time * 10 >= capacity * 9, "{overload:?}");
    assert_eq!(overload.late, 0);
}
