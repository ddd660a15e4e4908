//! The home role: leases out the units of its share of each limit.

use std::{collections::VecDeque, time::Instant};

use super::{
    Handover, HandoverLease, LEASE_LIFETIME, LeaseRequest, LeaseResponse,
    LimitKey, MemberNames, home_share,
};
use crate::{names::VmName, sorted::SortedMap};

/// A request is granted at most this fraction of the free units, but at least
/// one, so that no daemon takes all units of a limit.
const FREE_DIVISOR: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Lease {
    units_requests: u32,
    until: Instant,
}

/// The number of limits up to which those without leases are kept. Computing
/// the position of this home again takes one hash for each member.
const MAX_IDLE_KEYS: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Position {
    index: usize,
    homes: usize,
}

/// The leases of one limit.
#[derive(Debug)]
struct LimitLeases {
    /// The position of this daemon among the homes; `None` if it is not one.
    position: Option<Position>,
    /// The view for which the position was computed.
    view_number: u64,
    /// Whether the replaced home has sent its leases.
    handed_over: bool,
    /// Until then, unknown leases of an earlier home may be live.
    recovering_until: Option<Instant>,
    holders: SortedMap<VmName, Lease>,
}

/// A list of live daemons and when it was applied.
#[derive(Debug)]
struct View {
    number: u64,
    since: Instant,
    members: MemberNames,
}

/// Leases out this daemon's share of each limit of which it is a home.
#[derive(Debug)]
pub struct LeaseHome {
    name: VmName,
    /// The views of the last [`LEASE_LIFETIME`], the current one last.
    views: VecDeque<View>,
    keys: SortedMap<LimitKey, LimitLeases>,
}

impl LeaseHome {
    /// Creates a home without leases. A daemon that has just started passes
    /// the members without itself and then calls [`LeaseHome::set_members`].
    /// The home then waits for the leases of its predecessors.
    #[must_use]
    pub fn new(now: Instant, name: VmName, members: MemberNames) -> LeaseHome {
        let views = VecDeque::from([View { number: 0, since: now, members }]);
        LeaseHome { name, views, keys: SortedMap::new() }
    }

    /// Applies a new list of live daemons.
    ///
    /// Returns the leases to hand over to new homes. A new home that
    /// receives them grants units at once. Without them it waits for one
    /// [`LEASE_LIFETIME`], until the leases of the replaced home have expired.
    #[must_use = "new homes refuse requests until they receive the leases"]
    pub fn set_members(
        &mut self,
        now: Instant,
        members: MemberNames,
    ) -> Vec<Handover> {
        let handovers = self.handovers(now, &members);
        let number = self.views.back().map_or(0, |view| view.number + 1);
        self.views.push_back(View { number, since: now, members });
        // Removes the views that ended more than a lease lifetime ago.
        while self.views.len() > 1
            && now.saturating_duration_since(self.views[1].since)
                >= LEASE_LIFETIME
        {
            self.views.pop_front();
        }
        self.evict_idle(now);
        handovers
    }

    fn handovers(
        &mut self,
        now: Instant,
        next: &MemberNames,
    ) -> Vec<Handover> {
        let Some(view) = self.views.back() else { return Vec::new() };
        let mut handovers = Vec::new();
        for (key, limit) in self.keys.iter_mut() {
            limit.holders.retain(|_, lease| lease.until > now);
            if limit.holders.is_empty() {
                continue;
            }
            let old_homes = key.homes(&view.members);
            let new_homes = key.homes(next);
            // Each replaced home has its own successor.
            let replaced = old_homes.iter().filter(|h| !new_homes.contains(h));
            let added = new_homes.iter().filter(|h| !old_homes.contains(h));
            let to = replaced
                .zip(added)
                .find_map(|(old, new)| (*old == self.name).then_some(new));
            let Some(to) = to else { continue };
            let leases =
                limit.holders.iter().map(|(holder, lease)| HandoverLease {
                    holder: holder.clone(),
                    units_requests: lease.units_requests,
                    remaining: lease.until - now,
                });
            handovers.push(Handover {
                to: to.clone(),
                key: key.clone(),
                leases: leases.collect(),
            });
            limit.holders = SortedMap::new();
            limit.handed_over = false;
        }
        handovers
    }

    /// Takes over the leases of a replaced home. They may arrive before or
    /// after the new list of members.
    pub fn accept_handover(&mut self, now: Instant, handover: &Handover) {
        let limit = self.keys.get_or_insert_with(handover.key.clone(), || {
            LimitLeases {
                position: None,
                view_number: u64::MAX,
                handed_over: true,
                recovering_until: None,
                holders: SortedMap::new(),
            }
        });
        limit.handed_over = true;
        limit.recovering_until = None;
        for lease in &handover.leases {
            // A lease that the holder has already renewed here is newer.
            let known = limit.holders.contains_key(&lease.holder);
            if !known {
                let until = now + lease.remaining.min(LEASE_LIFETIME);
                let units_requests = lease.units_requests;
                let entry = Lease { units_requests, until };
                limit.holders.insert(lease.holder.clone(), entry);
            }
        }
    }

    /// Removes the limits without leases if there are many limits.
    fn evict_idle(&mut self, now: Instant) {
        if self.keys.len() <= MAX_IDLE_KEYS {
            return;
        }
        self.keys.retain(|_, limit| {
            limit.holders.retain(|_, lease| lease.until > now);
            limit.recovering_until.is_some_and(|until| until > now)
                || !limit.holders.is_empty()
        });
    }

    /// Grants or renews the lease of a holder.
    pub fn lease(
        &mut self,
        now: Instant,
        request: &LeaseRequest,
    ) -> LeaseResponse {
        if !self.keys.contains_key(&request.key) {
            self.evict_idle(now);
        }
        let (views, name) = (&self.views, &self.name);
        let limit = self.keys.get_or_insert_with(request.key.clone(), || {
            LimitLeases {
                position: None,
                view_number: u64::MAX,
                handed_over: false,
                recovering_until: None,
                holders: SortedMap::new(),
            }
        });
        limit.update_position(name, views, &request.key);
        let Some(position) = limit.position else {
            return LeaseResponse::NotHome;
        };
        let share =
            home_share(request.limit_requests, position.index, position.homes);
        let units_requests = limit.update_lease(now, share, request);
        if limit.is_recovering(now) {
            LeaseResponse::Recovering { units_requests }
        } else {
            LeaseResponse::Granted { units_requests }
        }
    }
}

impl LimitLeases {
    /// Updates the position to the current view. If this daemon was not a
    /// home in a recent view, unknown leases of an earlier home may be live.
    fn update_position(
        &mut self,
        name: &VmName,
        views: &VecDeque<View>,
        key: &LimitKey,
    ) {
        let Some(current) = views.back() else { return };
        if self.view_number == current.number {
            return;
        }
        // A new entry has no position in any view yet.
        let known = self.view_number != u64::MAX;
        for view in views {
            if known && view.number <= self.view_number {
                continue;
            }
            let homes = key.homes(&view.members);
            let index = homes.iter().position(|home| home == name);
            let was_home = self.position.is_some();
            self.position =
                index.map(|index| Position { index, homes: homes.len() });
            let first = view.number == views[0].number;
            if index.is_some() && !was_home && !first && !self.handed_over {
                self.recovering_until = Some(view.since + LEASE_LIFETIME);
            }
        }
        self.view_number = current.number;
    }

    /// Returns whether unknown leases of an earlier home may be live.
    fn is_recovering(&self, now: Instant) -> bool {
        self.recovering_until.is_some_and(|until| until > now)
    }

    /// Sets the lease of a holder to as many of the requested units as the
    /// share of this home allows. Returns the total.
    fn update_lease(
        &mut self,
        now: Instant,
        share_requests: u32,
        request: &LeaseRequest,
    ) -> u32 {
        self.holders.retain(|_, lease| lease.until > now);
        let held = self
            .holders
            .get(&request.holder)
            .map_or(0, |lease| lease.units_requests);
        let total: u32 =
            self.holders.values().map(|lease| lease.units_requests).sum();
        let free = share_requests.saturating_sub(total);
        let units_requests = if self.is_recovering(now) {
            // Covers the open requests that move here from an earlier home.
            // Further units could exceed the share together with leases that
            // are not known yet.
            request.in_use_requests.max(held.min(request.units_requests))
        } else {
            let step = free.min((free / FREE_DIVISOR).max(1));
            // Open requests keep their units even if the limit was lowered.
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
