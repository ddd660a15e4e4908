//! The home's side: leases units of its part of each limit.

use std::{collections::VecDeque, time::Instant};

use super::{
    HandedLease, Handover, LEASE_LIFETIME, LeaseAnswer, LeaseRequest,
    LimitKey, Members, part_of_limit,
};
use crate::{names::VmName, sorted::SortedMap};

/// A holder gets at most this fraction of the free units beyond the first,
/// so that one daemon does not take all units of a limit.
const FREE_DIVISOR: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Lease {
    units_requests: u32,
    until: Instant,
}

/// Limits without leases whose position is remembered. Finding it takes one
/// hash for each member.
const MAX_IDLE_KEYS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Position {
    at: usize,
    homes: usize,
}

#[derive(Debug)]
struct Leased {
    /// The position among the homes in the view of this number.
    position: Option<Position>,
    view_number: u64,
    /// Whether the replaced home has sent its leases.
    handed_over: bool,
    /// Until then, leases of an earlier home may be live.
    fresh_until: Option<Instant>,
    holders: SortedMap<VmName, Lease>,
}

#[derive(Debug)]
struct View {
    number: u64,
    from: Instant,
    members: Members,
}

/// Leases out this daemon's part of the limits of which it is a home.
#[derive(Debug)]
pub struct Home {
    name: VmName,
    /// The current view last, and those that were in force within the last
    /// [`LEASE_LIFETIME`].
    views: VecDeque<View>,
    keys: SortedMap<LimitKey, Leased>,
}

impl Home {
    /// Creates a home without leases. A daemon that has just started passes
    /// the members without itself and then calls [`Home::set_members`], so
    /// that it waits for the leases of its predecessors.
    #[must_use]
    pub fn new(now: Instant, name: VmName, members: Members) -> Home {
        let views = VecDeque::from([View { number: 0, from: now, members }]);
        Home { name, views, keys: SortedMap::new() }
    }

    /// Puts a new list of live daemons in force.
    ///
    /// Returns the leases to hand over to new homes. A new home that
    /// receives them grants at once; otherwise it waits for one
    /// [`LEASE_LIFETIME`], in which the leases of the replaced home expire.
    #[must_use = "new homes refuse requests until they receive the leases"]
    pub fn set_members(
        &mut self,
        now: Instant,
        members: Members,
    ) -> Vec<Handover> {
        let handovers = self.handovers(now, &members);
        let number = self.views.back().map_or(0, |view| view.number + 1);
        self.views.push_back(View { number, from: now, members });
        // The view before the oldest kept one ended over a lifetime ago.
        while self.views.len() > 1
            && now.saturating_duration_since(self.views[1].from)
                >= LEASE_LIFETIME
        {
            self.views.pop_front();
        }
        self.drop_idle(now);
        handovers
    }

    fn handovers(&mut self, now: Instant, next: &Members) -> Vec<Handover> {
        let Some(view) = self.views.back() else { return Vec::new() };
        let mut handovers = Vec::new();
        for (key, leased) in self.keys.iter_mut() {
            leased.holders.retain(|_, lease| lease.until > now);
            if leased.holders.is_empty() {
                continue;
            }
            let before = key.homes(&view.members);
            let after = key.homes(next);
            // Each replaced home has its own successor.
            let replaced = before.iter().filter(|h| !after.contains(h));
            let added = after.iter().filter(|h| !before.contains(h));
            let to = replaced
                .zip(added)
                .find_map(|(old, new)| (*old == self.name).then_some(new));
            let Some(to) = to else { continue };
            let leases =
                leased.holders.iter().map(|(holder, lease)| HandedLease {
                    holder: holder.clone(),
                    units_requests: lease.units_requests,
                    remaining: lease.until - now,
                });
            handovers.push(Handover {
                to: to.clone(),
                key: key.clone(),
                leases: leases.collect(),
            });
            leased.holders = SortedMap::new();
            leased.handed_over = false;
        }
        handovers
    }

    /// Takes over the leases of a replaced home, before or after the new
    /// list of members has arrived here.
    pub fn accept(&mut self, now: Instant, handover: &Handover) {
        let leased =
            self.keys.entry_or_insert_with(handover.key.clone(), || Leased {
                position: None,
                view_number: u64::MAX,
                handed_over: true,
                fresh_until: None,
                holders: SortedMap::new(),
            });
        leased.handed_over = true;
        leased.fresh_until = None;
        for lease in &handover.leases {
            // A lease that the holder has renewed here already is newer.
            let known = leased.holders.contains_key(&lease.holder);
            if !known {
                let until = now + lease.remaining.min(LEASE_LIFETIME);
                let units_requests = lease.units_requests;
                let entry = Lease { units_requests, until };
                leased.holders.insert(lease.holder.clone(), entry);
            }
        }
    }

    fn drop_idle(&mut self, now: Instant) {
        if self.keys.len() <= MAX_IDLE_KEYS {
            return;
        }
        self.keys.retain(|_, leased| {
            leased.holders.retain(|_, lease| lease.until > now);
            leased.fresh_until.is_some_and(|until| until > now)
                || !leased.holders.is_empty()
        });
    }

    /// Answers a holder's request.
    pub fn lease(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
    ) -> LeaseAnswer {
        if !self.keys.contains_key(&request.key) {
            self.drop_idle(now);
        }
        let (views, name) = (&self.views, &self.name);
        let leased =
            self.keys.entry_or_insert_with(request.key.clone(), || Leased {
                position: None,
                view_number: u64::MAX,
                handed_over: false,
                fresh_until: None,
                holders: SortedMap::new(),
            });
        leased.place(name, views, &request.key);
        let Some(position) = leased.position else {
            return LeaseAnswer::NotHome;
        };
        let part =
            part_of_limit(request.limit_requests, position.at, position.homes);
        let units_requests = leased.set(now, part, request);
        if leased.is_fresh(now) {
            LeaseAnswer::Fresh { units_requests }
        } else {
            LeaseAnswer::Granted { units_requests }
        }
    }
}

impl Leased {
    /// Finds the position in the current view. If this daemon was not a home
    /// in a recent view, leases of an earlier home may be live.
    fn place(
        &mut self,
        name: &VmName,
        views: &VecDeque<View>,
        key: &LimitKey,
    ) {
        let Some(current) = views.back() else { return };
        if self.view_number == current.number {
            return;
        }
        // Nothing is known of earlier views of a new entry.
        let known = self.view_number != u64::MAX;
        for view in views {
            if known && view.number <= self.view_number {
                continue;
            }
            let homes = key.homes(&view.members);
            let at = homes.iter().position(|home| home == name);
            let was_home = self.position.is_some();
            self.position = at.map(|at| Position { at, homes: homes.len() });
            let first = view.number == views[0].number;
            if at.is_some() && !was_home && !first && !self.handed_over {
                self.fresh_until = Some(view.from + LEASE_LIFETIME);
            }
        }
        self.view_number = current.number;
    }

    /// Returns whether leases of an earlier home may be live that are not
    /// known here.
    fn is_fresh(&self, now: Instant) -> bool {
        self.fresh_until.is_some_and(|until| until > now)
    }

    fn set(
        &mut self,
        now: Instant,
        part_requests: u32,
        request: &LeaseRequest,
    ) -> u32 {
        self.holders.retain(|_, lease| lease.until > now);
        let held = self
            .holders
            .get(&request.holder)
            .map_or(0, |lease| lease.units_requests);
        let total: u32 =
            self.holders.values().map(|lease| lease.units_requests).sum();
        let free = part_requests.saturating_sub(total);
        let units_requests = if self.is_fresh(now) {
            // Open requests move here from an earlier home; new ones would
            // count beside those that are not known yet.
            request.in_use_requests.max(held.min(request.units_requests))
        } else {
            let step = free.min((free / FREE_DIVISOR).max(1));
            // Open requests keep their units, even if the limit is lower
            // now.
            request
                .units_requests
                .min(held + step)
                .max(request.in_use_requests.min(held + free))
        };
        if units_requests == 0 {
            self.holders.remove(&request.holder);
        } else {
            let until = now + LEASE_LIFETIME;
            let lease = Lease { units_requests, until };
            self.holders.insert(request.holder.clone(), lease);
        }
        units_requests
    }
}
