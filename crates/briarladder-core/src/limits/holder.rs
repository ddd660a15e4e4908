//! The holder's side: opens requests under leased units.

use std::time::Instant;

use super::{
    LEASE_LIFETIME, LeaseAnswer, LeaseRequest, LimitKey, LimitReached,
    Members, Opening, REFUSAL_MEMORY, part_of_limit,
};
use crate::{names::VmName, sorted::SortedMap};

/// Unused limits whose homes are remembered. Finding them takes one hash
/// for each member.
const MAX_IDLE_KEYS: usize = 8_192;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Refused {
    No,
    NoUnits { until: Instant },
    Unreachable { until: Instant },
}

#[derive(Clone, Debug)]
struct Source {
    home: VmName,
    /// Whether it is a home in the current view.
    current: bool,
    units_requests: u32,
    until: Instant,
    refused: Refused,
}

impl Source {
    fn live_requests(&self, now: Instant) -> u32 {
        if self.until > now { self.units_requests } else { 0 }
    }
}

#[derive(Debug)]
struct Held {
    limit_requests: u32,
    in_use_requests: u32,
    /// The current homes in order, then earlier ones with live units.
    sources: Vec<Source>,
}

impl Held {
    fn live_requests(&self, now: Instant) -> u32 {
        self.sources.iter().map(|source| source.live_requests(now)).sum()
    }

    /// Returns the position of the home that covers what earlier homes did.
    fn new_home(&self, now: Instant) -> usize {
        let new_home = self.sources.iter().position(|source| {
            source.current && source.live_requests(now) == 0
        });
        new_home.unwrap_or(0)
    }

    fn is_used(&self, now: Instant) -> bool {
        self.in_use_requests > 0 || self.live_requests(now) > 0
    }

    /// Returns a request that keeps only the units in use.
    fn to_request(
        &self,
        holder: &VmName,
        key: &LimitKey,
        source: &Source,
        covered_requests: u32,
    ) -> LeaseRequest {
        LeaseRequest {
            home: source.home.clone(),
            holder: holder.clone(),
            key: key.clone(),
            limit_requests: self.limit_requests,
            units_requests: covered_requests,
            in_use_requests: covered_requests,
        }
    }

    /// Returns the open requests that each source covers. Open requests that
    /// no live lease of a current home covers count for one from which
    /// nothing is leased yet, which is a new home after a change of members.
    fn covered(&self, now: Instant) -> Vec<u32> {
        let mut left = self.in_use_requests;
        let mut covered: Vec<u32> = self
            .sources
            .iter()
            .map(|source| {
                let live =
                    if source.current { source.live_requests(now) } else { 0 };
                let covered = live.min(left);
                left -= covered;
                covered
            })
            .collect();
        if let Some(covered) = covered.get_mut(self.new_home(now)) {
            *covered += left;
        }
        covered
    }
}

/// Counts the open requests of one daemon against leased units.
#[derive(Debug)]
pub struct Holder {
    name: VmName,
    members: Members,
    keys: SortedMap<LimitKey, Held>,
}

impl Holder {
    /// Creates a holder without leases.
    #[must_use]
    pub fn new(name: VmName, members: Members) -> Holder {
        Holder { name, members, keys: SortedMap::new() }
    }

    /// Puts a new list of live daemons in force. Leases of earlier homes
    /// count until they expire or [`Holder::renewals`] moves them.
    pub fn set_members(&mut self, now: Instant, members: Members) {
        self.members = members;
        self.keys.retain(|_, held| held.is_used(now));
        for (key, held) in self.keys.iter_mut() {
            let mut before = std::mem::take(&mut held.sources);
            let was_home: Vec<VmName> = before
                .iter()
                .filter(|source| source.current)
                .map(|source| source.home.clone())
                .collect();
            held.sources = sources(key, &self.members, now);
            for source in &mut held.sources {
                let known = before.iter().position(|s| s.home == source.home);
                if let Some(at) = known {
                    *source = Source { current: true, ..before.remove(at) };
                }
            }
            // Each replaced home hands over to its own successor, in the
            // order in which `Home::set_members` pairs them.
            let added = held
                .sources
                .iter_mut()
                .filter(|source| !was_home.contains(&source.home));
            let replaced = before.iter_mut().filter(|s| s.current);
            for (source, replaced) in added.zip(replaced) {
                source.units_requests = replaced.units_requests;
                source.until = replaced.until;
                replaced.until = now;
            }
            before.retain(|source| source.live_requests(now) > 0);
            let earlier = before.into_iter();
            held.sources
                .extend(earlier.map(|s| Source { current: false, ..s }));
        }
    }

    /// Opens a request if a leased unit is free.
    ///
    /// A request under both a workspace's and a caller's limit opens one
    /// after the other and closes the first if the second refuses.
    pub fn open(
        &mut self,
        now: Instant,
        key: &LimitKey,
        limit_requests: u32,
    ) -> Opening {
        let refused = Opening::Refused(LimitReached {
            limit_requests,
            retry_after: REFUSAL_MEMORY,
        });
        if limit_requests == 0 {
            return refused;
        }
        let members = &self.members;
        let held = self.keys.entry_or_insert_with(key.clone(), || Held {
            limit_requests,
            in_use_requests: 0,
            sources: sources(key, members, now),
        });
        held.limit_requests = limit_requests;
        if held.in_use_requests < held.live_requests(now) {
            held.in_use_requests += 1;
            return Opening::Opened;
        }
        let covered = held.covered(now);
        let homes = held.sources.iter().filter(|s| s.current).count();
        let mut reached = false;
        for (at, source) in held.sources[..homes].iter_mut().enumerate() {
            match source.refused {
                Refused::Unreachable { until } if until > now => continue,
                Refused::NoUnits { until } if until > now => {
                    reached = true;
                    continue;
                }
                _ => source.refused = Refused::No,
            }
            if part_of_limit(limit_requests, at, homes) == 0 {
                continue;
            }
            let units = source.live_requests(now).max(covered[at]);
            return Opening::Ask(LeaseRequest {
                home: source.home.clone(),
                holder: self.name.clone(),
                key: key.clone(),
                limit_requests,
                // Twice what is in use, so that the requests of a growing
                // workspace need few round trips.
                units_requests: units + units.max(1),
                in_use_requests: covered[at],
            });
        }
        // Without any home in reach, the share by division is the best bound
        // that needs no messages; at least one request is let through.
        let count = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let share = (limit_requests / count.max(1)).max(1);
        if !reached && held.in_use_requests < share {
            held.in_use_requests += 1;
            return Opening::Opened;
        }
        refused
    }

    /// Takes in the answer to a request.
    pub fn answer(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
        answer: LeaseAnswer,
    ) {
        let Some(held) = self.keys.get_mut(&request.key) else { return };
        let new_home = held.new_home(now);
        let Some(at) =
            held.sources.iter().position(|s| s.home == request.home)
        else {
            return;
        };
        let source = &mut held.sources[at];
        let until = now + REFUSAL_MEMORY;
        match answer {
            LeaseAnswer::Granted { units_requests } => {
                let before = source.live_requests(now);
                source.units_requests = units_requests;
                source.until = now + LEASE_LIFETIME;
                let grows = request.units_requests > before;
                if grows && units_requests <= before {
                    source.refused = Refused::NoUnits { until };
                }
                if at == new_home {
                    // It covers what earlier homes did.
                    held.sources.retain(|source| source.current);
                }
            }
            LeaseAnswer::Fresh { units_requests } => {
                source.units_requests = units_requests;
                source.until = now + LEASE_LIFETIME;
                source.refused = Refused::Unreachable { until };
                if at == new_home {
                    held.sources.retain(|source| source.current);
                }
            }
            LeaseAnswer::NotHome | LeaseAnswer::Unreachable => {
                source.refused = Refused::Unreachable { until };
            }
        }
    }

    /// Ends an open request.
    ///
    /// Returns a request that gives back the unit if the limit is smaller
    /// than the number of daemons. The next request then comes to another
    /// daemon as a rule; units kept until the next renewal caused most false
    /// refusals in the `scale_up` example.
    #[must_use = "a unit that is not given back is lost until the renewal"]
    pub fn close(
        &mut self,
        now: Instant,
        key: &LimitKey,
    ) -> Option<LeaseRequest> {
        let held = self.keys.get_mut(key)?;
        held.in_use_requests = held.in_use_requests.saturating_sub(1);
        if held.limit_requests as usize >= self.members.len() {
            return None;
        }
        let covered = held.covered(now);
        let spare = (0..covered.len()).rev().find(|at| {
            let source = &held.sources[*at];
            source.current && source.live_requests(now) > covered[*at]
        });
        // The unit of an earlier home has moved to the new one.
        let moved = held.sources.iter().any(|source| !source.current);
        let at = spare.or(moved.then(|| held.new_home(now)))?;
        let (source, covered) = (held.sources.get(at)?, *covered.get(at)?);
        Some(held.to_request(&self.name, key, source, covered))
    }

    /// Returns the requests that renew leases of units in use and return the
    /// others. Call it every [`RENEWAL_INTERVAL`].
    ///
    /// [`RENEWAL_INTERVAL`]: super::RENEWAL_INTERVAL
    pub fn renewals(&mut self, now: Instant) -> Vec<LeaseRequest> {
        if self.keys.len() > MAX_IDLE_KEYS {
            self.keys.retain(|_, held| held.is_used(now));
        }
        let mut requests = Vec::new();
        for (key, held) in self.keys.iter() {
            for (source, covered) in held.sources.iter().zip(held.covered(now))
            {
                if source.current
                    && (covered > 0 || source.live_requests(now) > 0)
                {
                    requests.push(
                        held.to_request(&self.name, key, source, covered),
                    );
                }
            }
        }
        requests
    }

    /// Returns the number of open requests under a limit.
    #[must_use]
    pub fn in_use_requests(&self, key: &LimitKey) -> u32 {
        self.keys.get(key).map_or(0, |held| held.in_use_requests)
    }
}

fn sources(key: &LimitKey, members: &Members, now: Instant) -> Vec<Source> {
    let homes = key.homes(members).into_iter();
    homes
        .map(|home| Source {
            home,
            current: true,
            units_requests: 0,
            until: now,
            refused: Refused::No,
        })
        .collect()
}
