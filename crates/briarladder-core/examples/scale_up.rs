//! Compares policies that enforce workspace limits while daemons join.
//!
//! 7,000 workspaces send requests to 500 to 2,500 daemons, so the share of one
//! daemon in a limit is usually below one request. Every second, 100 daemons
//! join while requests are open. A refusal is false if the workspace has fewer
//! open requests than its limit; an admission is over the limit if the
//! workspace has reached it. Messages take no time, and all daemons apply a
//! new list of daemons at once.
//!
//! With seed 7, division rounded up admits 64.24% of the requests over the
//! limit and owned usage 64.34%. Leases admit 0.52% over the limit and falsely
//! refuse 3.47%. Division rounded down refuses all requests.
//!
//! Run with `cargo run --release -p briarladder-core --example scale_up`.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    io::{self, Write},
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{
    limits::{
        LeaseHolder, LeaseHome, LimitKey, MemberNames, OpenOutcome,
        RENEWAL_INTERVAL,
    },
    names::{VmName, WorkspaceName},
};
use rand::{RngExt, SeedableRng, rngs::SmallRng};

const SEED: u64 = 7;
const WORKSPACES: usize = 7_000;
const INITIAL_DAEMONS: usize = 500;
const FINAL_DAEMONS: usize = 2_500;
const JOINS_PER_S: usize = 100;
const TICKS_PER_S: u32 = 10;
const RUN_S: u32 = 25;
/// Limits are drawn uniformly from 1 to this value, so that the mean share of
/// one daemon is below one request from the start.
const MAX_LIMIT_REQUESTS: u32 = 16;
/// How long requests stay open: 1 to 5 s.
const OPEN_TICKS: std::ops::Range<u32> = 10..50;

/// A request of the run. All policies get the same requests.
#[derive(Clone, Copy)]
struct Arrival {
    tick: u32,
    workspace: usize,
    /// Position among the daemons, from 0 to 1, of the daemon that the load
    /// balancer chooses.
    daemon_fraction: f64,
    open_ticks: u32,
    /// Position of its hash within its daemon's part of the hash ring, from 0
    /// to 1, for [`CountedRequests::Owned`].
    ring_position: f64,
}

#[derive(Default)]
struct RunStats {
    offered: u64,
    refused: u64,
    /// Refusals although the workspace had not reached its limit.
    false_refusals: u64,
    /// Admissions although the workspace had reached its limit.
    admissions_over_limit: u64,
    /// Highest ratio of the open requests of a workspace to its limit.
    max_open_ratio: f64,
    lease_requests: u64,
}

/// A policy by which each daemon decides whether to admit a request.
trait LimitPolicy {
    /// Changes the number of daemons, which never decreases.
    fn set_daemons(&mut self, now: Instant, count: usize);
    /// Returns whether the daemon admits the request, and counts it if so.
    fn open(&mut self, now: Instant, daemon: usize, arrival: &Arrival)
    -> bool;
    /// Ends a request that was admitted when there were `daemons_at_open`
    /// daemons.
    fn close(
        &mut self,
        now: Instant,
        daemon: usize,
        arrival: &Arrival,
        daemons_at_open: usize,
    );
    /// Renews the leases of all daemons.
    fn renew(&mut self, now: Instant);
    /// Returns how many lease requests were sent.
    fn lease_requests(&self) -> u64;
}

/// How a share below one is rounded.
#[derive(Clone, Copy)]
enum Rounding {
    Down,
    Up,
}

/// Which open requests count against the share of a daemon.
#[derive(Clone, Copy)]
enum CountedRequests {
    All,
    /// Requests whose hash is still in this daemon's part of the ring.
    Owned,
}

/// Gives each daemon an equal share of each limit.
struct DivisionPolicy {
    limits: Arc<[u32]>,
    rounding: Rounding,
    counted: CountedRequests,
    daemons: usize,
    /// For each daemon, its open requests: workspace, ring position, and
    /// number of daemons when the request was opened.
    open: Vec<Vec<(usize, f64, usize)>>,
}

impl LimitPolicy for DivisionPolicy {
    fn set_daemons(&mut self, _: Instant, count: usize) {
        self.daemons = count;
        self.open.resize(count, Vec::new());
    }

    fn open(&mut self, _: Instant, daemon: usize, arrival: &Arrival) -> bool {
        let daemons = u32::try_from(self.daemons).unwrap();
        let limit = self.limits[arrival.workspace];
        let share = match self.rounding {
            Rounding::Down => limit / daemons,
            Rounding::Up => limit.div_ceil(daemons),
        };
        let used = self.open[daemon]
            .iter()
            .filter(|(workspace, ring_position, daemons_at_open)| {
                // When n daemons grow to m, each keeps n / m of its part of
                // the ring.
                let owned = ring_position * f64::from(daemons)
                    < f64::from(u32::try_from(*daemons_at_open).unwrap());
                *workspace == arrival.workspace
                    && (owned || matches!(self.counted, CountedRequests::All))
            })
            .count();
        let admitted = used < share as usize;
        if admitted {
            let entry =
                (arrival.workspace, arrival.ring_position, self.daemons);
            self.open[daemon].push(entry);
        }
        admitted
    }

    fn close(
        &mut self,
        _: Instant,
        daemon: usize,
        arrival: &Arrival,
        daemons_at_open: usize,
    ) {
        let index = self.open[daemon].iter().position(|open| {
            open.0 == arrival.workspace
                && open.1.total_cmp(&arrival.ring_position).is_eq()
                && open.2 == daemons_at_open
        });
        self.open[daemon].swap_remove(index.unwrap());
    }

    fn renew(&mut self, _: Instant) {}

    fn lease_requests(&self) -> u64 {
        0
    }
}

/// Lets daemons lease parts of each limit from the home of its key.
struct LeasePolicy {
    limits: Arc<[u32]>,
    keys: Vec<LimitKey>,
    daemons: Vec<(LeaseHolder, LeaseHome)>,
    members: MemberNames,
    lease_requests: u64,
}

impl LeasePolicy {
    fn new(limits: Arc<[u32]>) -> LeasePolicy {
        let keys = (0..WORKSPACES).map(|workspace| {
            let name = WorkspaceName::new(&format!("w-{workspace}"));
            LimitKey::of_workspace(name.unwrap())
        });
        LeasePolicy {
            limits,
            keys: keys.collect(),
            daemons: Vec::new(),
            members: Arc::from([]),
            lease_requests: 0,
        }
    }

    /// Sends a lease request to the home of its key and applies the response.
    fn send_lease_request(
        &mut self,
        now: Instant,
        daemon: usize,
        request: &briarladder_core::limits::LeaseRequest,
    ) {
        self.lease_requests += 1;
        let home = parse_daemon(&request.home);
        let response = self.daemons[home].1.lease(now, request);
        self.daemons[daemon].0.apply_response(now, request, response);
    }
}

fn parse_daemon(name: &VmName) -> usize {
    name.as_str().strip_prefix("vm-").unwrap().parse().unwrap()
}

impl LimitPolicy for LeasePolicy {
    fn set_daemons(&mut self, now: Instant, count: usize) {
        let old_members = Arc::clone(&self.members);
        let names = 0..count;
        self.members = names
            .map(|daemon| VmName::new(&format!("vm-{daemon}")).unwrap())
            .collect();
        for daemon in self.daemons.len()..count {
            let name = self.members[daemon].clone();
            let holder =
                LeaseHolder::new(name.clone(), Arc::clone(&self.members));
            // The initial daemons start together, so there is no earlier list.
            let known_members = if old_members.is_empty() {
                &self.members
            } else {
                &old_members
            };
            let home = LeaseHome::new(now, name, Arc::clone(known_members));
            self.daemons.push((holder, home));
        }
        let mut handovers = Vec::new();
        for (holder, home) in &mut self.daemons {
            holder.set_members(now, Arc::clone(&self.members));
            let members = Arc::clone(&self.members);
            handovers.extend(home.set_members(now, members));
        }
        for handover in handovers {
            let home = parse_daemon(&handover.to);
            self.daemons[home].1.accept_handover(now, &handover);
        }
    }

    fn open(
        &mut self,
        now: Instant,
        daemon: usize,
        arrival: &Arrival,
    ) -> bool {
        let limit = self.limits[arrival.workspace];
        loop {
            let key = &self.keys[arrival.workspace];
            match self.daemons[daemon].0.open(now, key, limit) {
                OpenOutcome::Opened => return true,
                OpenOutcome::Refused(_) => return false,
                OpenOutcome::RequestLease(request) => {
                    self.send_lease_request(now, daemon, &request);
                }
            }
        }
    }

    fn close(
        &mut self,
        now: Instant,
        daemon: usize,
        arrival: &Arrival,
        _: usize,
    ) {
        let key = &self.keys[arrival.workspace];
        if let Some(request) = self.daemons[daemon].0.close(now, key) {
            self.send_lease_request(now, daemon, &request);
        }
    }

    fn renew(&mut self, now: Instant) {
        for daemon in 0..self.daemons.len() {
            for request in self.daemons[daemon].0.renewals(now) {
                self.send_lease_request(now, daemon, &request);
            }
        }
    }

    fn lease_requests(&self) -> u64 {
        self.lease_requests
    }
}

/// Generates the requests. Half of the workspaces offer a load of half their
/// limit, the others one and a half times their limit.
fn generate_arrivals(limits: &[u32]) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mean_ticks = f64::from(OPEN_TICKS.start + OPEN_TICKS.end) / 2.0;
    let mut arrivals = Vec::new();
    for tick in 0..RUN_S * TICKS_PER_S {
        for (workspace, limit) in limits.iter().enumerate() {
            let load = if workspace % 2 == 0 { 0.5 } else { 1.5 };
            let mut rate = f64::from(*limit) * load / mean_ticks;
            while rate > 0.0 {
                if rng.random::<f64>() < rate {
                    arrivals.push(Arrival {
                        tick,
                        workspace,
                        daemon_fraction: rng.random(),
                        open_ticks: rng.random_range(OPEN_TICKS),
                        ring_position: rng.random(),
                    });
                }
                rate -= 1.0;
            }
        }
    }
    arrivals
}

/// Runs the arrivals through a policy.
fn run(
    policy: &mut dyn LimitPolicy,
    limits: &[u32],
    arrivals: &[Arrival],
) -> RunStats {
    let start = Instant::now();
    let mut stats = RunStats::default();
    let mut open_requests = vec![0_u32; WORKSPACES];
    let mut scheduled_closes = BinaryHeap::new();
    let mut daemons = 0;
    let mut next = 0;
    let renewal_ticks = u32::try_from(RENEWAL_INTERVAL.as_millis()).unwrap()
        * TICKS_PER_S
        / 1_000;
    for tick in 0..RUN_S * TICKS_PER_S {
        let now = start + Duration::from_secs(1) * tick / TICKS_PER_S;
        if tick.is_multiple_of(TICKS_PER_S) && daemons < FINAL_DAEMONS {
            let elapsed_s = usize::try_from(tick / TICKS_PER_S).unwrap();
            daemons = INITIAL_DAEMONS + elapsed_s * JOINS_PER_S;
            policy.set_daemons(now, daemons);
        }
        while let Some(Reverse((end, _, _, _))) = scheduled_closes.peek()
            && *end <= tick
        {
            let Some(Reverse((_, index, daemon, daemons_at_open))) =
                scheduled_closes.pop()
            else {
                break;
            };
            let arrival: &Arrival = &arrivals[index];
            open_requests[arrival.workspace] -= 1;
            policy.close(now, daemon, arrival, daemons_at_open);
        }
        if tick % renewal_ticks == renewal_ticks / 2 {
            policy.renew(now);
        }
        while next < arrivals.len() && arrivals[next].tick == tick {
            let arrival = &arrivals[next];
            let daemon = daemon_index(arrival.daemon_fraction, daemons);
            let limit = limits[arrival.workspace];
            let open_before = open_requests[arrival.workspace];
            stats.offered += 1;
            if policy.open(now, daemon, arrival) {
                open_requests[arrival.workspace] += 1;
                let end = tick + arrival.open_ticks;
                scheduled_closes.push(Reverse((end, next, daemon, daemons)));
                stats.admissions_over_limit += u64::from(open_before >= limit);
                let ratio = f64::from(open_before + 1) / f64::from(limit);
                stats.max_open_ratio = stats.max_open_ratio.max(ratio);
            } else {
                stats.refused += 1;
                stats.false_refusals += u64::from(open_before < limit);
            }
            next += 1;
        }
    }
    stats.lease_requests = policy.lease_requests();
    stats
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a fraction of at most 2,500 daemons"
)]
fn daemon_index(fraction: f64, daemons: usize) -> usize {
    (fraction * daemons as f64) as usize
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn main() -> io::Result<()> {
    let mut rng = SmallRng::seed_from_u64(SEED + 1);
    let limits: Arc<[u32]> = (0..WORKSPACES)
        .map(|_| rng.random_range(1..=MAX_LIMIT_REQUESTS))
        .collect();
    let arrivals = generate_arrivals(&limits);
    let division = |rounding, counted| {
        let limits = Arc::clone(&limits);
        Box::new(DivisionPolicy {
            limits,
            rounding,
            counted,
            daemons: 0,
            open: Vec::new(),
        })
    };
    let policies: [(&str, Box<dyn LimitPolicy>); 4] = [
        (
            "division, rounded down",
            division(Rounding::Down, CountedRequests::All),
        ),
        ("division, rounded up", division(Rounding::Up, CountedRequests::All)),
        (
            "owned usage, rounded up",
            division(Rounding::Up, CountedRequests::Owned),
        ),
        ("leases", Box::new(LeasePolicy::new(Arc::clone(&limits)))),
    ];
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{WORKSPACES} workspaces, {INITIAL_DAEMONS} to {FINAL_DAEMONS} \
         daemons, {RUN_S} s, seed {SEED}, {} requests",
        arrivals.len()
    )?;
    writeln!(
        out,
        "| way | refused % | false refusals % | admissions over % | worst \
         open/limit | lease requests per request |"
    )?;
    writeln!(out, "| --- | --- | --- | --- | --- | --- |")?;
    for (name, mut policy) in policies {
        let stats = run(policy.as_mut(), &limits, &arrivals);
        writeln!(
            out,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            percent(stats.refused, stats.offered),
            percent(stats.false_refusals, stats.offered),
            percent(stats.admissions_over_limit, stats.offered),
            stats.max_open_ratio,
            percent(stats.lease_requests, stats.offered) / 100.0,
        )?;
    }
    Ok(())
}
