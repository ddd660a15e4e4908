//! The view that one daemon has of all others.

use std::time::{Duration, Instant};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    ids::Incarnation,
    membership::{
        Heartbeat, Identity, Member, MemberChange, MemberState, MemberUpdate,
        ProbeTarget, Seed, SeedState, UpdateOutcome,
        gossip::Gossip,
        probe::{INDIRECT_PEERS, INDIRECT_PROBE_TIMEOUT, Pending, Schedule},
    },
    names::{VmName, ZoneName},
    sorted::SortedMap,
    timeline::HlcTimestamp,
};

/// How long a member stays suspect before it is dead.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a dead member is remembered after the platform's list dropped
/// it. While it is remembered, a list that lags cannot bring it back. At 53
/// replaced VMs an hour (1,280 a day), this costs a few kilobytes.
pub const DEAD_RETENTION: Duration = Duration::from_hours(1);

/// All daemons that this one knows of, itself included.
#[derive(Debug)]
pub struct Members {
    identity: Identity,
    by_name: SortedMap<VmName, Member>,
    list_version: u64,
    schedule: Schedule,
    pending: Vec<Pending>,
    gossip: Gossip,
}

impl Members {
    /// Creates the view of a daemon that knows only itself.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> Members {
        let me = Member {
            name: identity.name.clone(),
            address: identity.address,
            zone: identity.zone.clone(),
            incarnation: Some(identity.incarnation),
            state: MemberState::Ready,
            epoch: 0,
            sequence: 0,
            leaving: false,
            since: now,
            listed: false,
        };
        Members {
            identity,
            by_name: [(me.name.clone(), me)].into_iter().collect(),
            list_version: 0,
            schedule: Schedule::new(now),
            pending: Vec::new(),
            gossip: Gossip::default(),
        }
    }

    /// Takes over the platform's list. A list that is not newer than the
    /// last one is ignored. The list adds members that are unknown; it never
    /// changes the state of one that was heard from or found dead.
    pub fn apply_seeds(
        &mut self,
        now: Instant,
        version: u64,
        seeds: &[Seed],
    ) -> Vec<MemberChange> {
        if version <= self.list_version {
            return Vec::new();
        }
        self.list_version = version;
        for (_, member) in self.by_name.iter_mut() {
            member.listed = false;
        }
        seeds.iter().filter_map(|seed| self.seed_one(now, seed)).collect()
    }

    fn seed_one(&mut self, now: Instant, seed: &Seed) -> Option<MemberChange> {
        let leaving = seed.state == SeedState::Leaving;
        let to =
            if leaving { MemberState::Leaving } else { MemberState::Ready };
        let Some(member) = self.by_name.get_mut(&seed.name) else {
            let member = Member {
                name: seed.name.clone(),
                address: seed.address,
                zone: seed.zone.clone(),
                incarnation: None,
                state: to,
                epoch: 0,
                sequence: 0,
                leaving,
                since: now,
                listed: true,
            };
            self.by_name.insert(seed.name.clone(), member);
            return Some(MemberChange {
                name: seed.name.clone(),
                from: None,
                to,
            });
        };
        member.listed = true;
        if member.incarnation.is_some() {
            return None;
        }
        // Probes go to the address where the list now has the VM.
        member.address = seed.address;
        member.zone = seed.zone.clone();
        member.leaving |= leaving;
        if !leaving || member.state != MemberState::Ready {
            return None;
        }
        Some(change_state(member, to, now))
    }

    /// Returns the next member to probe, if a probe is due. Call it until it
    /// returns `None`; [`Members::next_probe_at`] tells when to call again.
    pub fn next_probe(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ProbeTarget> {
        let Identity { name, zone, .. } = &self.identity;
        self.schedule.next(now, name, zone, &self.by_name, rng)
    }

    /// Returns when the next probe is due.
    #[must_use]
    pub fn next_probe_at(&self) -> Instant {
        self.schedule.next_at()
    }

    /// Records that a member did not answer, and returns up to two peers
    /// through which to probe it. If there are none, it becomes suspect at
    /// the next [`Members::tick`].
    pub fn record_probe_failure(
        &mut self,
        now: Instant,
        target: &ProbeTarget,
        rng: &mut impl Rng,
    ) -> Vec<ProbeTarget> {
        let Some(failed) = self.by_name.get(&target.name) else {
            return Vec::new();
        };
        // Another run was heard from while the probe was under way.
        let outdated = failed.incarnation != target.incarnation;
        let found = failed.state >= MemberState::Suspect;
        if outdated || found || self.pending_at(&target.name).is_some() {
            return Vec::new();
        }
        let peers = self.by_name.values().filter(|member| {
            member.name != self.identity.name
                && member.name != target.name
                && member.zone == self.identity.zone
                && member.state <= MemberState::Leaving
        });
        let through: Vec<ProbeTarget> = peers
            .sample(rng, INDIRECT_PEERS)
            .into_iter()
            .map(ProbeTarget::of)
            .collect();
        let until = match through.len() {
            0 => now,
            _ => now + INDIRECT_PROBE_TIMEOUT,
        };
        self.pending.push(Pending {
            name: target.name.clone(),
            incarnation: target.incarnation,
            probes_left: through.len(),
            until,
        });
        through
    }

    /// Records that a probe through another peer got no answer. After the
    /// last of them the member becomes suspect.
    pub fn record_indirect_probe_failure(
        &mut self,
        now: Instant,
        target: &VmName,
    ) -> Option<MemberChange> {
        let at = self.pending_at(target)?;
        let pending = &mut self.pending[at];
        pending.probes_left = pending.probes_left.saturating_sub(1);
        if pending.probes_left > 0 {
            return None;
        }
        let pending = self.pending.swap_remove(at);
        self.suspect(now, &pending)
    }

    /// Records the answer of a member, received directly or through another
    /// peer. Takes over what it says of itself and of others.
    pub fn record_probe_response(
        &mut self,
        now: Instant,
        answer: &Heartbeat,
    ) -> Vec<UpdateOutcome> {
        if let Some(at) = self.pending_at(&answer.sender.name) {
            self.pending.swap_remove(at);
        }
        self.apply_heartbeat(now, answer)
    }

    /// Takes over what a probe says of its sender and of others.
    pub fn apply_heartbeat(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> Vec<UpdateOutcome> {
        std::iter::once(&heartbeat.sender)
            .chain(&heartbeat.updates)
            .map(|update| self.apply_update(now, update))
            .collect()
    }

    /// Takes over one statement. A higher incarnation replaces a lower one;
    /// within an incarnation a higher sequence replaces a lower one, and at
    /// equal sequence the greater state holds. Leaving never goes back to
    /// ready within an incarnation.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &MemberUpdate,
    ) -> UpdateOutcome {
        if update.name == self.identity.name {
            return self.observe_self(update);
        }
        let members = self.by_name.len();
        let Some(member) = self.by_name.get_mut(&update.name) else {
            let member = member_from(update, now);
            self.by_name.insert(update.name.clone(), member);
            self.gossip.push(update.clone(), members);
            let name = update.name.clone();
            return UpdateOutcome::Applied(MemberChange {
                name,
                from: None,
                to: update.state,
            });
        };
        let from = member.state;
        let was_listed_only = member.incarnation.is_none();
        if member.incarnation < Some(update.incarnation) {
            let listed = member.listed;
            *member = Member { listed, ..member_from(update, now) };
        } else {
            if member.incarnation > Some(update.incarnation) {
                return UpdateOutcome::Stale;
            }
            let order = (update.sequence, update.state)
                .cmp(&(member.sequence, member.state));
            // The epoch travels with every heartbeat and needs no sequence.
            member.epoch = member.epoch.max(update.epoch);
            match order {
                std::cmp::Ordering::Less => return UpdateOutcome::Stale,
                std::cmp::Ordering::Equal => return UpdateOutcome::Unchanged,
                std::cmp::Ordering::Greater => {}
            }
            member.leaving |= update.state == MemberState::Leaving;
            member.sequence = update.sequence;
            let back = member.leaving && update.state == MemberState::Ready;
            let to = if back { MemberState::Leaving } else { update.state };
            if to != from {
                change_state(member, to, now);
            }
        }
        let to = member.state;
        let update = MemberUpdate { state: to, ..update.clone() };
        let name = update.name.clone();
        if was_listed_only && from == to {
            self.gossip.push_confirmation(update, members);
        } else {
            self.gossip.push(update, members);
        }
        UpdateOutcome::Applied(MemberChange { name, from: Some(from), to })
    }

    fn observe_self(&mut self, update: &MemberUpdate) -> UpdateOutcome {
        if update.incarnation > self.identity.incarnation {
            return UpdateOutcome::Superseded(update.incarnation);
        }
        let me = self.me_mut();
        let accused = update.state >= MemberState::Suspect;
        let past_run = me.incarnation > Some(update.incarnation);
        if past_run || update.sequence < me.sequence {
            return UpdateOutcome::Stale;
        }
        if !accused {
            return UpdateOutcome::Unchanged;
        }
        me.sequence = update.sequence + 1;
        UpdateOutcome::Refuted
    }

    /// Advances the timers: probes through peers that took too long make
    /// their target suspect, suspects become dead after
    /// [`SUSPECT_TIMEOUT`], and dead members are forgotten.
    pub fn tick(&mut self, now: Instant) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        while let Some(at) = self.pending.iter().position(|p| p.until <= now) {
            let pending = self.pending.swap_remove(at);
            changes.extend(self.suspect(now, &pending));
        }
        let overdue = self.by_name.values().filter(|member| {
            member.state == MemberState::Suspect
                && now.duration_since(member.since) >= SUSPECT_TIMEOUT
        });
        let overdue: Vec<VmName> = overdue.map(|m| m.name.clone()).collect();
        for name in overdue {
            changes.extend(self.set_state(now, &name, MemberState::Dead));
        }
        self.by_name.retain(|_, member| {
            member.state != MemberState::Dead
                || member.listed
                || now.duration_since(member.since) < DEAD_RETENTION
        });
        changes
    }

    /// Restarts all timers after a pause of this process: peers that seemed
    /// silent may have answered while it did not run.
    pub fn resume_after_pause(&mut self, now: Instant) {
        self.pending.clear();
        for (_, member) in self.by_name.iter_mut() {
            if member.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Sets the epoch that this daemon has in force.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.me_mut().epoch = epoch;
    }

    /// Records that this daemon began a planned stop. It can't be undone.
    pub fn begin_leave(&mut self, now: Instant) {
        let me = self.me_mut();
        if !me.leaving {
            me.leaving = true;
            me.sequence += 1;
            change_state(me, MemberState::Leaving, now);
        }
    }

    /// Returns the body of a probe to, or an answer for, a member. If the
    /// member is held to be suspect or dead, the body says so, which lets it
    /// refute that.
    pub fn heartbeat_for(
        &mut self,
        to: &VmName,
        timestamp: HlcTimestamp,
    ) -> Heartbeat {
        let mut updates = self.gossip.take();
        updates.retain(|update| update.name != *to);
        let accused = self
            .by_name
            .get(to)
            .filter(|member| member.state >= MemberState::Suspect);
        updates.extend(accused.and_then(Member::update));
        let me = self.me();
        let sender = MemberUpdate {
            name: me.name.clone(),
            address: me.address,
            zone: me.zone.clone(),
            incarnation: self.identity.incarnation,
            sequence: me.sequence,
            epoch: me.epoch,
            state: me.state,
        };
        Heartbeat { sender, timestamp, updates }
    }

    /// Returns the members of a zone that count in rendezvous orders, sorted
    /// by name; see [`Member::is_assignable`].
    #[must_use]
    pub fn live_in_zone(&self, zone: &ZoneName) -> Vec<VmName> {
        self.by_name
            .values()
            .filter(|member| member.zone == *zone && member.is_assignable())
            .map(|member| member.name.clone())
            .collect()
    }

    /// Returns a member.
    #[must_use]
    pub fn get(&self, name: &VmName) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Iterates over all members by name, dead ones included.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.by_name.values()
    }

    /// Returns the version of the platform's list that was taken over last.
    #[must_use]
    pub fn list_version(&self) -> u64 {
        self.list_version
    }

    /// Returns the highest epoch that any member has, or had, in force.
    #[must_use]
    pub fn highest_epoch(&self) -> u64 {
        self.by_name.values().map(|member| member.epoch).max().unwrap_or(0)
    }

    /// Returns this daemon's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    fn me(&self) -> &Member {
        // `new` inserts the entry and nothing removes it: it is never dead.
        self.by_name.get(&self.identity.name).expect("own entry is present")
    }

    fn me_mut(&mut self) -> &mut Member {
        let name = &self.identity.name;
        // See `me`.
        self.by_name.get_mut(name).expect("own entry is present")
    }

    fn pending_at(&self, name: &VmName) -> Option<usize> {
        self.pending.iter().position(|pending| pending.name == *name)
    }

    fn suspect(
        &mut self,
        now: Instant,
        pending: &Pending,
    ) -> Option<MemberChange> {
        let member = self.by_name.get(&pending.name)?;
        if member.incarnation != pending.incarnation
            || member.state >= MemberState::Suspect
        {
            return None;
        }
        self.set_state(now, &pending.name, MemberState::Suspect)
    }

    fn set_state(
        &mut self,
        now: Instant,
        name: &VmName,
        to: MemberState,
    ) -> Option<MemberChange> {
        let members = self.by_name.len();
        let member = self.by_name.get_mut(name)?;
        let change = change_state(member, to, now);
        if let Some(update) = member.update() {
            self.gossip.push(update, members);
        }
        Some(change)
    }
}

fn change_state(
    member: &mut Member,
    to: MemberState,
    now: Instant,
) -> MemberChange {
    let from = Some(member.state);
    member.state = to;
    member.since = now;
    MemberChange { name: member.name.clone(), from, to }
}

fn member_from(update: &MemberUpdate, now: Instant) -> Member {
    Member {
        name: update.name.clone(),
        address: update.address,
        zone: update.zone.clone(),
        incarnation: Some(update.incarnation),
        state: update.state,
        epoch: update.epoch,
        sequence: update.sequence,
        leaving: update.state == MemberState::Leaving,
        since: now,
        listed: false,
    }
}
