use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use super::{
    HOMES_PER_LIMIT, LEASE_LIFETIME, LeaseHolder, LeaseHome, LeaseResponse,
    LimitKey, MemberNames, OpenOutcome, REFUSAL_BACKOFF, RENEWAL_INTERVAL,
    home_share,
};
use crate::{
    names::{CallerName, VmName, WorkspaceName},
    rendezvous,
};

fn key() -> LimitKey {
    LimitKey::of_workspace(WorkspaceName::new("harbour").unwrap())
}

fn vm(at: usize) -> VmName {
    VmName::new(&format!("vm-{at}")).unwrap()
}

/// A fault of a lease request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    RequestLost,
    ResponseLost,
    Duplicated,
}

struct Fleet {
    now: Instant,
    members: MemberNames,
    daemons: Vec<(LeaseHolder, LeaseHome)>,
    fault: Fault,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let now = Instant::now();
        let members: MemberNames = (0..count).map(vm).collect();
        let daemons = (0..count)
            .map(|at| {
                let holder = LeaseHolder::new(vm(at), Arc::clone(&members));
                (holder, LeaseHome::new(now, vm(at), Arc::clone(&members)))
            })
            .collect();
        Fleet { now, members, daemons, fault: Fault::None }
    }

    fn join(&mut self) {
        let before = Arc::clone(&self.members);
        let count = before.len() + 1;
        self.members = (0..count).map(vm).collect();
        let name = vm(count - 1);
        let holder = LeaseHolder::new(name.clone(), Arc::clone(&self.members));
        self.daemons.push((holder, LeaseHome::new(self.now, name, before)));
        let mut handovers = Vec::new();
        for (holder, home) in &mut self.daemons {
            holder.set_members(self.now, Arc::clone(&self.members));
            let members = Arc::clone(&self.members);
            handovers.extend(home.set_members(self.now, members));
        }
        if self.fault == Fault::None {
            for handover in handovers {
                let to = self.members.iter().position(|m| *m == handover.to);
                let home = &mut self.daemons[to.unwrap()].1;
                home.accept_handover(self.now, &handover);
            }
        }
    }

    fn send(&mut self, at: usize, request: &super::LeaseRequest) {
        let home =
            self.members.iter().position(|vm| *vm == request.home).unwrap();
        let mut response = LeaseResponse::Unreachable;
        if self.fault != Fault::RequestLost {
            response = self.daemons[home].1.lease(self.now, request);
        }
        if self.fault == Fault::Duplicated {
            assert_eq!(
                self.daemons[home].1.lease(self.now, request),
                response
            );
        }
        if self.fault == Fault::ResponseLost {
            response = LeaseResponse::Unreachable;
        }
        self.daemons[at].0.apply_response(self.now, request, response);
    }

    fn open(&mut self, at: usize, limit_requests: u32) -> bool {
        for _ in 0..=2 * HOMES_PER_LIMIT {
            match self.daemons[at].0.open(self.now, &key(), limit_requests) {
                OpenOutcome::Opened => return true,
                OpenOutcome::Refused(_) => return false,
                OpenOutcome::RequestLease(request) => self.send(at, &request),
            }
        }
        panic!("still requests leases after each home has responded twice");
    }

    fn close(&mut self, at: usize) {
        if let Some(request) = self.daemons[at].0.close(self.now, &key()) {
            self.send(at, &request);
        }
    }

    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while self.now < end {
            self.now = end.min(self.now + RENEWAL_INTERVAL);
            for at in 0..self.daemons.len() {
                for request in self.daemons[at].0.renewals(self.now) {
                    self.send(at, &request);
                }
            }
        }
    }

    fn open_requests(&self) -> u32 {
        let key = key();
        self.daemons.iter().map(|(h, _)| h.in_use_requests(&key)).sum()
    }
}

/// Guards against homes that are not the first in rendezvous order, and
/// against shares that don't add up to the limit.
#[test]
fn homes_divide_whole_limit() {
    let members: Vec<VmName> = (0..40).map(vm).collect();
    let order = rendezvous::order("harbour", members.clone());
    assert_eq!(key().homes(&members), order[..HOMES_PER_LIMIT]);
    for limit in 0..20 {
        let sum: u32 =
            (0..HOMES_PER_LIMIT).map(|at| home_share(limit, at, 3)).sum();
        assert_eq!(sum, limit);
    }
    let caller = CallerName::new("office").unwrap();
    let workspace = WorkspaceName::new("harbour").unwrap();
    let of_caller = LimitKey::of_caller(workspace, caller);
    assert_ne!(of_caller.homes(&members), key().homes(&members));
}

/// Guards against unused units and against exceeding the limit if there are
/// more daemons than units.
#[test]
fn open_share_below_one() {
    for limit in 0..12 {
        let mut fleet = Fleet::new(50);
        let opened = (0..50).filter(|at| fleet.open(*at, limit)).count();
        // Until it renews, a daemon may hold one unit more than it uses.
        assert!(opened <= limit as usize, "{opened} of {limit}");
        fleet.advance(RENEWAL_INTERVAL);
        let later = (0..50).filter(|at| fleet.open(*at, limit)).count();
        assert_eq!(opened + later, limit as usize, "limit {limit}");
    }
}

/// Guards against units that stay leased to a daemon that no longer uses
/// them, or to a dead daemon.
#[test]
fn renewals_return_units() {
    for dies in [false, true] {
        let mut fleet = Fleet::new(9);
        while fleet.open(0, 6) {}
        assert_eq!(fleet.open_requests(), 6);
        assert!(!fleet.open(1, 6));
        if dies {
            let members = Arc::clone(&fleet.members);
            fleet.daemons[0].0 = LeaseHolder::new(vm(0), members);
            fleet.advance(LEASE_LIFETIME);
        } else {
            for _ in 0..6 {
                fleet.close(0);
            }
            fleet.advance(RENEWAL_INTERVAL);
        }
        assert!(fleet.open(1, 6), "dies: {dies}");
    }
}

/// Guards against exceeding a limit, or losing units, when homes change while
/// requests are open. A home whose share shrinks by one keeps the units in
/// use, so all homes but one may exceed their share by one.
#[test]
fn set_members_keeps_limit() {
    for fault in [Fault::None, Fault::RequestLost] {
        joins_keep_limit(fault);
    }
}

/// Adds daemons and checks the limit. `fault` applies to the messages of each
/// change.
fn joins_keep_limit(fault: Fault) {
    let bound = 20 + u32::try_from(HOMES_PER_LIMIT).unwrap() - 1;
    let mut fleet = Fleet::new(4);
    for _ in 0..12 {
        for at in 0..fleet.daemons.len() {
            while fleet.open(at, 20) {}
        }
        assert!(fleet.open_requests() <= bound);
        fleet.fault = fault;
        fleet.join();
        fleet.fault = Fault::None;
        for at in 0..fleet.daemons.len() {
            while fleet.open(at, 20) {}
        }
        assert!(fleet.open_requests() <= bound);
        fleet.advance(Duration::from_millis(700));
    }
    for at in 0..fleet.daemons.len() {
        while fleet.daemons[at].0.in_use_requests(&key()) > 0 {
            fleet.close(at);
        }
    }
    fleet.advance(2 * LEASE_LIFETIME);
    for at in 0..fleet.daemons.len() {
        while fleet.open(at, 20) {}
    }
    assert_eq!(fleet.open_requests(), 20);
}

/// Guards against new homes that lease no free units for a lease lifetime
/// after each join, which refused a third of the requests in a fast scale-up.
#[test]
fn set_members_hands_over() {
    let mut fleet = Fleet::new(4);
    for round in 0..12 {
        let opened = (0..20).filter(|i| fleet.open(i % 4, 20)).count();
        assert!(opened >= 18, "round {round}: {opened}");
        fleet.join();
        for at in 0..4 {
            while fleet.daemons[at].0.in_use_requests(&key()) > 0 {
                fleet.close(at);
            }
        }
        fleet.advance(RENEWAL_INTERVAL);
    }
}

/// Guards against an unused unit that stays leased until the renewal although
/// there are more daemons than units, which refused 29% of the requests of
/// the `scale_up` example.
#[test]
fn close_returns_unit() {
    let mut fleet = Fleet::new(9);
    while fleet.open(0, 6) {}
    fleet.close(0);
    assert!(fleet.open(1, 6), "without waiting for a renewal");
    assert!(!fleet.open(2, 6));
}

/// Guards against a unit that is not given back because its home was replaced
/// after it was leased.
#[test]
fn close_returns_unit_to_new_home() {
    for last in 4..16 {
        let mut fleet = Fleet::new(4);
        while fleet.open(0, 3) {}
        while fleet.members.len() < last {
            fleet.join();
        }
        fleet.close(0);
        fleet.now += REFUSAL_BACKOFF;
        assert!(fleet.open(1, 3), "{last} daemons");
    }
}

/// Guards against units lost or counted twice after a fault of outcome or
/// renewal. Afterwards exactly the limit is available.
#[test]
fn faults_recover() {
    for fault in [Fault::RequestLost, Fault::ResponseLost, Fault::Duplicated] {
        for at_renewal in [false, true] {
            let mut fleet = Fleet::new(6);
            if at_renewal {
                while fleet.open(0, 9) {}
            }
            fleet.fault = fault;
            let opened = fleet.open(1, 9);
            // If no home can be reached, one request is opened.
            assert!(opened || at_renewal, "{fault:?}");
            fleet.advance(RENEWAL_INTERVAL);
            fleet.fault = Fault::None;
            fleet.advance(RENEWAL_INTERVAL + LEASE_LIFETIME);
            let before = fleet.open_requests();
            for at in 0..6 {
                while fleet.open(at, 9) {}
            }
            let open = fleet.open_requests();
            assert!(open == 9.max(before), "{fault:?} {at_renewal} {open}");
        }
    }
}

/// Guards against a flood over the limit that becomes a flood of lease
/// requests.
#[test]
fn open_remembers_refusal() {
    let mut fleet = Fleet::new(6);
    while fleet.open(0, 9) {}
    assert!(!fleet.open(1, 9));
    let outcome = fleet.daemons[1].0.open(fleet.now, &key(), 9);
    assert!(matches!(outcome, OpenOutcome::Refused(_)), "{outcome:?}");
    fleet.now += REFUSAL_BACKOFF;
    let outcome = fleet.daemons[1].0.open(fleet.now, &key(), 9);
    assert!(matches!(outcome, OpenOutcome::RequestLease(_)), "{outcome:?}");
}

/// Guards against exceeding a limit, or losing units, by random opens, closes
/// and renewals.
#[test]
fn random_calls_keep_limit() {
    for seed in 0..30 {
        let mut random = SmallRng::seed_from_u64(seed);
        let limit = random.random_range(1..30);
        let mut fleet = Fleet::new(12);
        for _ in 0..500 {
            let at = random.random_range(0..12);
            match random.random_range(0..4) {
                0 | 1 => drop(fleet.open(at, limit)),
                2 => fleet.close(at),
                _ => fleet.advance(Duration::from_millis(
                    random.random_range(0..500),
                )),
            }
            assert!(fleet.open_requests() <= limit, "seed {seed}");
        }
        fleet.advance(2 * LEASE_LIFETIME);
        for at in 0..12 {
            while fleet.open(at, limit) {}
        }
        assert_eq!(fleet.open_requests(), limit, "seed {seed}");
    }
}

/// Guards against a fleet that refuses all requests for one lease lifetime
/// after a cold start, while each home waits for the leases of a predecessor
/// that does not exist.
#[test]
fn open_uses_equal_share_while_homes_recover() {
    let now = Instant::now();
    let nobody: MemberNames = Arc::from([]);
    let members: MemberNames = (0..4).map(vm).collect();
    let mut homes: Vec<LeaseHome> = (0..4)
        .map(|at| LeaseHome::new(now, vm(at), Arc::clone(&nobody)))
        .collect();
    for home in &mut homes {
        assert!(home.set_members(now, Arc::clone(&members)).is_empty());
    }
    let mut holder = LeaseHolder::new(vm(0), Arc::clone(&members));
    let mut opened = 0;
    for _ in 0..100 {
        match holder.open(now, &key(), 8) {
            OpenOutcome::Opened => opened += 1,
            OpenOutcome::Refused(_) => break,
            OpenOutcome::RequestLease(request) => {
                let at = members.iter().position(|m| *m == request.home);
                let response = homes[at.unwrap()].lease(now, &request);
                assert_eq!(
                    response,
                    LeaseResponse::Recovering { units_requests: 0 }
                );
                holder.apply_response(now, &request, response);
            }
        }
    }
    assert_eq!(opened, 2);
}
