//! Compares ways to keep workspace limits while daemons join.
//!
//! 7,000 workspaces over 500 to 2,500 daemons: most shares are below one.
//! Every second, 100 daemons join while requests are open. A refusal is
//! false if fewer requests of the workspace are open than its limit; an
//! admission is over if as many are. Messages take no time here, and a new
//! list of daemons is in force everywhere at once.
//!
//! Measured with seed 7: division rounded up admits 64.24% of the requests
//! over the limit, owned usage 64.34%, and leases 0.52% with 3.47% refused
//! falsely. Division rounded down refuses all.
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
const FIRST_DAEMONS: usize = 500;
const LAST_DAEMONS: usize = 2_500;
const JOINS_PER_S: usize = 100;
const TICKS_PER_S: u32 = 10;
const RUN_S: u32 = 25;
/// Limits are spread evenly up to this; the mean share is below one even
/// with the first daemons.
const MAX_LIMIT_REQUESTS: u32 = 16;
/// Requests stay open for 1 to 5 s.
const OPEN_TICKS: std::ops::Range<u32> = 10..50;

/// One request of the run, the same for all ways.
#[derive(Clone, Copy)]
struct Arrival {
    tick: u32,
    workspace: usize,
    /// Where the balancer sends it, as a fraction of the daemons.
    place: f64,
    open_ticks: u32,
    /// Where the request falls on the ring, for the owned count.
    ring: f64,
}

#[derive(Default)]
struct Counts {
    offered: u64,
    refused: u64,
    false_refusals: u64,
    admissions_over: u64,
    worst_ratio: f64,
    lease_requests: u64,
}

/// A way to decide on one daemon whether a request may be opened.
trait Way {
    fn set_daemons(&mut self, now: Instant, count: usize);
    fn open(&mut self, now: Instant, daemon: usize, arrival: &Arrival)
    -> bool;
    fn close(
        &mut self,
        now: Instant,
        daemon: usize,
        arrival: &Arrival,
        daemons_then: usize,
    );
    fn renew(&mut self, now: Instant);
    fn lease_requests(&self) -> u64;
}

/// How a share below one is rounded.
#[derive(Clone, Copy)]
enum Rounding {
    Down,
    Up,
}

/// Which open requests are counted against the share.
#[derive(Clone, Copy)]
enum Count {
    All,
    /// Those that the ring would still send to this daemon.
    Owned,
}

struct Division {
    limits: Arc<[u32]>,
    rounding: Rounding,
    count: Count,
    daemons: usize,
    /// For each daemon, the open requests as workspace, place on the ring
    /// and number of daemons when it was opened.
    open: Vec<Vec<(usize, f64, usize)>>,
}

impl Way for Division {
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
        let counted = self.open[daemon]
            .iter()
            .filter(|(workspace, ring, then)| {
                // Of n daemons grown to m, each keeps n / m of its ring.
                let owned = ring * f64::from(daemons)
                    < f64::from(u32::try_from(*then).unwrap());
                *workspace == arrival.workspace
                    && (owned || matches!(self.count, Count::All))
            })
            .count();
        let opens = counted < share as usize;
        if opens {
            let entry = (arrival.workspace, arrival.ring, self.daemons);
            self.open[daemon].push(entry);
        }
        opens
    }

    fn close(
        &mut self,
        _: Instant,
        daemon: usize,
        arrival: &Arrival,
        then: usize,
    ) {
        let at = self.open[daemon].iter().position(|open| {
            open.0 == arrival.workspace
                && open.1.total_cmp(&arrival.ring).is_eq()
                && open.2 == then
        });
        self.open[daemon].swap_remove(at.unwrap());
    }

    fn renew(&mut self, _: Instant) {}

    fn lease_requests(&self) -> u64 {
        0
    }
}

struct Leases {
    limits: Arc<[u32]>,
    keys: Vec<LimitKey>,
    daemons: Vec<(LeaseHolder, LeaseHome)>,
    members: MemberNames,
    lease_requests: u64,
}

impl Leases {
    fn new(limits: Arc<[u32]>) -> Leases {
        let keys = (0..WORKSPACES).map(|workspace| {
            let name = WorkspaceName::new(&format!("w-{workspace}"));
            LimitKey::of_workspace(name.unwrap())
        });
        Leases {
            limits,
            keys: keys.collect(),
            daemons: Vec::new(),
            members: Arc::from([]),
            lease_requests: 0,
        }
    }

    fn send(
        &mut self,
        now: Instant,
        daemon: usize,
        ask: &briarladder_core::limits::LeaseRequest,
    ) {
        self.lease_requests += 1;
        let home = daemon_number(&ask.home);
        let answer = self.daemons[home].1.lease(now, ask);
        self.daemons[daemon].0.apply_response(now, ask, answer);
    }
}

fn daemon_number(name: &VmName) -> usize {
    name.as_str().strip_prefix("vm-").unwrap().parse().unwrap()
}

impl Way for Leases {
    fn set_daemons(&mut self, now: Instant, count: usize) {
        let before = Arc::clone(&self.members);
        let names = 0..count;
        self.members = names
            .map(|daemon| VmName::new(&format!("vm-{daemon}")).unwrap())
            .collect();
        for daemon in self.daemons.len()..count {
            let name = self.members[daemon].clone();
            let holder =
                LeaseHolder::new(name.clone(), Arc::clone(&self.members));
            // The first daemons start together and have no predecessors.
            let known =
                if before.is_empty() { &self.members } else { &before };
            let home = LeaseHome::new(now, name, Arc::clone(known));
            self.daemons.push((holder, home));
        }
        let mut handovers = Vec::new();
        for (holder, home) in &mut self.daemons {
            holder.set_members(now, Arc::clone(&self.members));
            let members = Arc::clone(&self.members);
            handovers.extend(home.set_members(now, members));
        }
        for handover in handovers {
            let home = daemon_number(&handover.to);
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
                OpenOutcome::RequestLease(ask) => self.send(now, daemon, &ask),
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
        if let Some(ask) = self.daemons[daemon].0.close(now, key) {
            self.send(now, daemon, &ask);
        }
    }

    fn renew(&mut self, now: Instant) {
        for daemon in 0..self.daemons.len() {
            for ask in self.daemons[daemon].0.renewals(now) {
                self.send(now, daemon, &ask);
            }
        }
    }

    fn lease_requests(&self) -> u64 {
        self.lease_requests
    }
}

/// Draws the requests: half of the workspaces want about half of their
/// limit, the others one and a half times.
fn draw(limits: &[u32]) -> Vec<Arrival> {
    let mut random = SmallRng::seed_from_u64(SEED);
    let mean_ticks = f64::from(OPEN_TICKS.start + OPEN_TICKS.end) / 2.0;
    let mut arrivals = Vec::new();
    for tick in 0..RUN_S * TICKS_PER_S {
        for (workspace, limit) in limits.iter().enumerate() {
            let load = if workspace % 2 == 0 { 0.5 } else { 1.5 };
            let mut rate = f64::from(*limit) * load / mean_ticks;
            while rate > 0.0 {
                if random.random::<f64>() < rate {
                    arrivals.push(Arrival {
                        tick,
                        workspace,
                        place: random.random(),
                        open_ticks: random.random_range(OPEN_TICKS),
                        ring: random.random(),
                    });
                }
                rate -= 1.0;
            }
        }
    }
    arrivals
}

fn run(way: &mut dyn Way, limits: &[u32], arrivals: &[Arrival]) -> Counts {
    let start = Instant::now();
    let mut counts = Counts::default();
    let mut open = vec![0_u32; WORKSPACES];
    let mut closes = BinaryHeap::new();
    let mut daemons = 0;
    let mut next = 0;
    let renewal_ticks = u32::try_from(RENEWAL_INTERVAL.as_millis()).unwrap()
        * TICKS_PER_S
        / 1_000;
    for tick in 0..RUN_S * TICKS_PER_S {
        let now = start + Duration::from_secs(1) * tick / TICKS_PER_S;
        if tick.is_multiple_of(TICKS_PER_S) && daemons < LAST_DAEMONS {
            let second = usize::try_from(tick / TICKS_PER_S).unwrap();
            daemons = FIRST_DAEMONS + second * JOINS_PER_S;
            way.set_daemons(now, daemons);
        }
        while let Some(Reverse((end, _, _, _))) = closes.peek()
            && *end <= tick
        {
            let Some(Reverse((_, at, daemon, then))) = closes.pop() else {
                break;
            };
            let arrival: &Arrival = &arrivals[at];
            open[arrival.workspace] -= 1;
            way.close(now, daemon, arrival, then);
        }
        if tick % renewal_ticks == renewal_ticks / 2 {
            way.renew(now);
        }
        while next < arrivals.len() && arrivals[next].tick == tick {
            let arrival = &arrivals[next];
            let daemon = place(arrival.place, daemons);
            let limit = limits[arrival.workspace];
            let before = open[arrival.workspace];
            counts.offered += 1;
            if way.open(now, daemon, arrival) {
                open[arrival.workspace] += 1;
                let end = tick + arrival.open_ticks;
                closes.push(Reverse((end, next, daemon, daemons)));
                counts.admissions_over += u64::from(before >= limit);
                let ratio = f64::from(before + 1) / f64::from(limit);
                counts.worst_ratio = counts.worst_ratio.max(ratio);
            } else {
                counts.refused += 1;
                counts.false_refusals += u64::from(before < limit);
            }
            next += 1;
        }
    }
    counts.lease_requests = way.lease_requests();
    counts
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "a fraction of at most 2,500 daemons"
)]
fn place(fraction: f64, daemons: usize) -> usize {
    (fraction * daemons as f64) as usize
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / whole.max(1) as f64
}

fn main() -> io::Result<()> {
    let mut random = SmallRng::seed_from_u64(SEED + 1);
    let limits: Arc<[u32]> = (0..WORKSPACES)
        .map(|_| random.random_range(1..=MAX_LIMIT_REQUESTS))
        .collect();
    let arrivals = draw(&limits);
    let division = |rounding, count| {
        let limits = Arc::clone(&limits);
        Box::new(Division {
            limits,
            rounding,
            count,
            daemons: 0,
            open: Vec::new(),
        })
    };
    let ways: [(&str, Box<dyn Way>); 4] = [
        ("division, rounded down", division(Rounding::Down, Count::All)),
        ("division, rounded up", division(Rounding::Up, Count::All)),
        ("owned usage, rounded up", division(Rounding::Up, Count::Owned)),
        ("leases", Box::new(Leases::new(Arc::clone(&limits)))),
    ];
    let mut out = io::stdout().lock();
    writeln!(
        out,
        "{WORKSPACES} workspaces, {FIRST_DAEMONS} to {LAST_DAEMONS} daemons, \
         {RUN_S} s, seed {SEED}, {} requests",
        arrivals.len()
    )?;
    writeln!(
        out,
        "| way | refused % | false refusals % | admissions over % | worst \
         open/limit | lease requests per request |"
    )?;
    writeln!(out, "| --- | --- | --- | --- | --- | --- |")?;
    for (name, mut way) in ways {
        let counts = run(way.as_mut(), &limits, &arrivals);
        writeln!(
            out,
            "| {name} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
            percent(counts.refused, counts.offered),
            percent(counts.false_refusals, counts.offered),
            percent(counts.admissions_over, counts.offered),
            counts.worst_ratio,
            percent(counts.lease_requests, counts.offered) / 100.0,
        )?;
    }
    Ok(())
}
