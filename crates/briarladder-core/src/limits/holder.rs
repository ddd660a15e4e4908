//! The holder role: opens requests under leased units.

use std::time::Instant;

use super::{
    LEASE_LIFETIME, LeaseRequest, LeaseResponse, LimitKey, LimitReached,
    MemberNames, OpenOutcome, REFUSAL_BACKOFF, home_share,
};
use crate::{names::VmName, sorted::SortedMap};

/// The number of limits up to which unused ones are kept. Computing their
/// homes again takes one hash for each member.
const MAX_IDLE_KEYS: usize = 8_192;

/// Why and until when a home is sent no further requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Backoff {
    None,
    NoUnits {
        until: Instant,
    },
    /// It did not respond, is not a home in its own view, or waits for the
    /// leases of its predecessor.
    Unreachable {
        until: Instant,
    },
}

/// The lease from one home.
#[derive(Clone, Debug)]
struct HomeLease {
    home: VmName,
    /// Whether the daemon is a home in the current view.
    current: bool,
    units_requests: u32,
    until: Instant,
    backoff: Backoff,
}

impl HomeLease {
    fn live_requests(&self, now: Instant) -> u32 {
        if self.until > now { self.units_requests } else { 0 }
    }
}

/// The open requests under one limit and the leases that cover them.
#[derive(Debug)]
struct LimitUsage {
    limit_requests: u32,
    in_use_requests: u32,
    /// The leases from the current homes in order, then the live ones from
    /// earlier homes.
    leases: Vec<HomeLease>,
}

impl LimitUsage {
    fn live_requests(&self, now: Instant) -> u32 {
        self.leases.iter().map(|lease| lease.live_requests(now)).sum()
    }

    /// Returns the position of the home that takes over the open requests
    /// covered by earlier homes: the first current one without a live lease.
    fn successor(&self, now: Instant) -> usize {
        let index = self
            .leases
            .iter()
            .position(|lease| lease.current && lease.live_requests(now) == 0);
        index.unwrap_or(0)
    }

    fn is_used(&self, now: Instant) -> bool {
        self.in_use_requests > 0 || self.live_requests(now) > 0
    }

    /// Returns a request that reduces a lease to the units in use.
    fn to_request(
        &self,
        holder: &VmName,
        key: &LimitKey,
        lease: &HomeLease,
        covered_requests: u32,
    ) -> LeaseRequest {
        LeaseRequest {
            home: lease.home.clone(),
            holder: holder.clone(),
            key: key.clone(),
            limit_requests: self.limit_requests,
            units_requests: covered_requests,
            in_use_requests: covered_requests,
        }
    }

    /// Returns the number of open requests that each lease covers. Those that
    /// no live lease of a current home covers are assigned to a home without
    /// a lease, which is a new one after a change of members.
    fn covered_requests(&self, now: Instant) -> Vec<u32> {
        let mut left = self.in_use_requests;
        let mut covered: Vec<u32> = self
            .leases
            .iter()
            .map(|lease| {
                let live =
                    if lease.current { lease.live_requests(now) } else { 0 };
                let covered = live.min(left);
                left -= covered;
                covered
            })
            .collect();
        if let Some(covered) = covered.get_mut(self.successor(now)) {
            *covered += left;
        }
        covered
    }
}

/// Counts the open requests of one daemon against leased units.
#[derive(Debug)]
pub struct LeaseHolder {
    name: VmName,
    members: MemberNames,
    keys: SortedMap<LimitKey, LimitUsage>,
}

impl LeaseHolder {
    /// Creates a holder without leases.
    #[must_use]
    pub fn new(name: VmName, members: MemberNames) -> LeaseHolder {
        LeaseHolder { name, members, keys: SortedMap::new() }
    }

    /// Applies a new list of live daemons. Leases from earlier homes count
    /// until they expire or [`LeaseHolder::renewals`] moves them.
    pub fn set_members(&mut self, now: Instant, members: MemberNames) {
        self.members = members;
        self.keys.retain(|_, usage| usage.is_used(now));
        for (key, usage) in self.keys.iter_mut() {
            let mut previous = std::mem::take(&mut usage.leases);
            let was_home: Vec<VmName> = previous
                .iter()
                .filter(|lease| lease.current)
                .map(|lease| lease.home.clone())
                .collect();
            usage.leases = empty_leases(key, &self.members, now);
            for lease in &mut usage.leases {
                let known =
                    previous.iter().position(|old| old.home == lease.home);
                if let Some(at) = known {
                    *lease =
                        HomeLease { current: true, ..previous.remove(at) };
                }
            }
            // Each replaced home hands over to its own successor. The pairs
            // are those of `Home::set_members`.
            let added = usage
                .leases
                .iter_mut()
                .filter(|lease| !was_home.contains(&lease.home));
            let replaced = previous.iter_mut().filter(|lease| lease.current);
            for (lease, replaced) in added.zip(replaced) {
                lease.units_requests = replaced.units_requests;
                lease.until = replaced.until;
                replaced.until = now;
            }
            previous.retain(|lease| lease.live_requests(now) > 0);
            let earlier = previous.into_iter();
            usage
                .leases
                .extend(earlier.map(|s| HomeLease { current: false, ..s }));
        }
    }

    /// Opens a request if a leased unit is free.
    ///
    /// A request that is subject to two limits is opened under one after the
    /// other, and closed under the first if the second refuses it.
    pub fn open(
        &mut self,
        now: Instant,
        key: &LimitKey,
        limit_requests: u32,
    ) -> OpenOutcome {
        let refused = OpenOutcome::Refused(LimitReached {
            limit_requests,
            retry_after: REFUSAL_BACKOFF,
        });
        if limit_requests == 0 {
            return refused;
        }
        let members = &self.members;
        let usage = self.keys.get_or_insert_with(key.clone(), || LimitUsage {
            limit_requests,
            in_use_requests: 0,
            leases: empty_leases(key, members, now),
        });
        usage.limit_requests = limit_requests;
        if usage.in_use_requests < usage.live_requests(now) {
            usage.in_use_requests += 1;
            return OpenOutcome::Opened;
        }
        let covered = usage.covered_requests(now);
        let homes = usage.leases.iter().filter(|lease| lease.current).count();
        let mut units_refused = false;
        for (at, lease) in usage.leases[..homes].iter_mut().enumerate() {
            match lease.backoff {
                Backoff::Unreachable { until } if until > now => continue,
                Backoff::NoUnits { until } if until > now => {
                    units_refused = true;
                    continue;
                }
                _ => lease.backoff = Backoff::None,
            }
            if home_share(limit_requests, at, homes) == 0 {
                continue;
            }
            let units = lease.live_requests(now).max(covered[at]);
            return OpenOutcome::RequestLease(LeaseRequest {
                home: lease.home.clone(),
                holder: self.name.clone(),
                key: key.clone(),
                limit_requests,
                // Doubles the lease, so that a growing workspace needs few
                // round trips.
                units_requests: units + units.max(1),
                in_use_requests: covered[at],
            });
        }
        // If no home has refused units, all are unreachable or wait for the
        // leases of their predecessors. An equal share of the limit is then
        // the best bound that needs no messages. At least one request is
        // opened.
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let share = (limit_requests / count.max(1)).max(1);
        if !units_refused && usage.in_use_requests < share {
            usage.in_use_requests += 1;
            return OpenOutcome::Opened;
        }
        refused
    }

    /// Applies the response to a request.
    pub fn apply_response(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
        response: LeaseResponse,
    ) {
        let Some(usage) = self.keys.get_mut(&request.key) else { return };
        let successor = usage.successor(now);
        let Some(at) =
            usage.leases.iter().position(|lease| lease.home == request.home)
        else {
            return;
        };
        let lease = &mut usage.leases[at];
        let until = now + REFUSAL_BACKOFF;
        match response {
            LeaseResponse::Granted { units_requests } => {
                let previous = lease.live_requests(now);
                lease.units_requests = units_requests;
                lease.until = now + LEASE_LIFETIME;
                let grows = request.units_requests > previous;
                if grows && units_requests <= previous {
                    lease.backoff = Backoff::NoUnits { until };
                }
                if at == successor {
                    // The new lease covers the open requests that leases
                    // from earlier homes covered.
                    usage.leases.retain(|lease| lease.current);
                }
            }
            LeaseResponse::Recovering { units_requests } => {
                lease.units_requests = units_requests;
                lease.until = now + LEASE_LIFETIME;
                lease.backoff = Backoff::Unreachable { until };
                if at == successor {
                    usage.leases.retain(|lease| lease.current);
                }
            }
            LeaseResponse::NotHome | LeaseResponse::Unreachable => {
                lease.backoff = Backoff::Unreachable { until };
            }
        }
    }

    /// Closes an open request.
    ///
    /// Returns a request that gives back the unit if the limit is smaller
    /// than the number of daemons. The next request then usually arrives at
    /// another daemon. Units kept until the next renewal caused most of the
    /// false refusals in the `scale_up` example.
    #[must_use = "a unit that is not given back is unused until the renewal"]
    pub fn close(
        &mut self,
        now: Instant,
        key: &LimitKey,
    ) -> Option<LeaseRequest> {
        let usage = self.keys.get_mut(key)?;
        usage.in_use_requests = usage.in_use_requests.saturating_sub(1);
        if usage.limit_requests as usize >= self.members.len() {
            return None;
        }
        let covered = usage.covered_requests(now);
        let spare = (0..covered.len()).rev().find(|at| {
            let lease = &usage.leases[*at];
            lease.current && lease.live_requests(now) > covered[*at]
        });
        // A unit leased from an earlier home is given back to the new one.
        let moved = usage.leases.iter().any(|lease| !lease.current);
        let at = spare.or(moved.then(|| usage.successor(now)))?;
        let (lease, covered) = (usage.leases.get(at)?, *covered.get(at)?);
        Some(usage.to_request(&self.name, key, lease, covered))
    }

    /// Returns the requests that renew the leases of units in use and give
    /// back the others. Call it every [`RENEWAL_INTERVAL`].
    ///
    /// [`RENEWAL_INTERVAL`]: super::RENEWAL_INTERVAL
    pub fn renewals(&mut self, now: Instant) -> Vec<LeaseRequest> {
        if self.keys.len() > MAX_IDLE_KEYS {
            self.keys.retain(|_, usage| usage.is_used(now));
        }
        let mut requests = Vec::new();
        for (key, usage) in self.keys.iter() {
            for (lease, covered) in
                usage.leases.iter().zip(usage.covered_requests(now))
            {
                if lease.current
                    && (covered > 0 || lease.live_requests(now) > 0)
                {
                    requests.push(
                        usage.to_request(&self.name, key, lease, covered),
                    );
                }
            }
        }
        requests
    }

    /// Returns the number of open requests under a limit.
    #[must_use]
    pub fn in_use_requests(&self, key: &LimitKey) -> u32 {
        self.keys.get(key).map_or(0, |usage| usage.in_use_requests)
    }
}

/// Returns empty leases from the current homes of a limit.
fn empty_leases(
    key: &LimitKey,
    members: &MemberNames,
    now: Instant,
) -> Vec<HomeLease> {
    let homes = key.homes(members).into_iter();
    homes
        .map(|home| HomeLease {
            home,
            current: true,
            units_requests: 0,
            until: now,
            backoff: Backoff::None,
        })
        .collect()
}
