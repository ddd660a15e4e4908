//! The membership view of one daemon.

use std::time::{Duration, Instant};

use rand::{Rng, seq::IteratorRandom};

use crate::{
    ids::Incarnation,
    membership::{
        Heartbeat, Identity, Member, MemberChange, MemberState, MemberUpdate,
        ProbeTarget, Seed, SeedState, UpdateOutcome,
        gossip::Gossip,
        probe::{
            INDIRECT_PEERS, INDIRECT_PROBE_TIMEOUT, PendingProbes,
            ProbeSchedule,
        },
    },
    names::{VmName, ZoneName},
    platform_version::PlatformVersion,
    sorted::SortedMap,
    timeline::HlcTimestamp,
};

/// How long a member is suspect before it is declared dead.
pub const SUSPECT_TIMEOUT: Duration = Duration::from_secs(3);

/// How long a member is retained after its death, if the platform's list no
/// longer contains it. Until then, an outdated list can't add it again. With
/// 53 replaced VMs an hour (1,280 a day), this costs a few kilobytes.
pub const DEAD_RETENTION: Duration = Duration::from_hours(1);

/// All daemons that this one knows, including itself.
#[derive(Debug)]
pub struct Members {
    identity: Identity,
    by_name: SortedMap<VmName, Member>,
    list_version: PlatformVersion,
    schedule: ProbeSchedule,
    pending: Vec<PendingProbes>,
    gossip: Gossip,
}

impl Members {
    /// Creates the view of a daemon that knows only itself.
    #[must_use]
    pub fn new(identity: Identity, now: Instant) -> Members {
        let own_entry = Member {
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
            earlier_heard: false,
        };
        Members {
            identity,
            by_name: [(own_entry.name.clone(), own_entry)]
                .into_iter()
                .collect(),
            list_version: PlatformVersion::default(),
            schedule: ProbeSchedule::new(now),
            pending: Vec::new(),
            gossip: Gossip::default(),
        }
    }

    /// Applies the platform's VM list and returns the members it added or
    /// changed. A list that is not newer than the last one is ignored. A list
    /// of a later era is newer, also if its number is not: the platform was
    /// restored. The list adds unknown members; it never changes the state of
    /// a member that was heard from or declared dead.
    pub fn apply_seeds(
        &mut self,
        now: Instant,
        version: PlatformVersion,
        seeds: &[Seed],
    ) -> Vec<MemberChange> {
        if version <= self.list_version {
            return Vec::new();
        }
        self.list_version = version;
        for (_, member) in self.by_name.iter_mut() {
            member.listed = false;
        }
        seeds.iter().filter_map(|seed| self.apply_seed(now, seed)).collect()
    }

    fn apply_seed(
        &mut self,
        now: Instant,
        seed: &Seed,
    ) -> Option<MemberChange> {
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
                earlier_heard: false,
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
        // Only the list is known about the member so far, so its newest
        // address is the one to probe.
        member.address = seed.address;
        member.zone = seed.zone.clone();
        member.leaving |= leaving;
        if !leaving || member.state != MemberState::Ready {
            return None;
        }
        Some(change_state(member, to, now))
    }

    /// Returns the next member to probe, if a probe is due. The caller repeats
    /// the call until it returns `None`, and again at
    /// [`Members::next_probe_at`].
    pub fn next_probe(
        &mut self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<ProbeTarget> {
        let Identity { name, zone, .. } = &self.identity;
        self.schedule.next_target(now, name, zone, &self.by_name, rng)
    }

    /// Returns when the next probe is due.
    #[must_use]
    pub fn next_probe_at(&self) -> Instant {
        self.schedule.next_at()
    }

    /// Records that a member did not respond to a direct probe, and returns
    /// up to two peers through which to probe it. If there are no such peers,
    /// the member becomes suspect at the next [`Members::tick`].
    pub fn record_probe_failure(
        &mut self,
        now: Instant,
        target: &ProbeTarget,
        rng: &mut impl Rng,
    ) -> Vec<ProbeTarget> {
        let Some(failed) = self.by_name.get(&target.name) else {
            return Vec::new();
        };
        // Another incarnation was heard from while the probe was in flight.
        let outdated = failed.incarnation != target.incarnation;
        let detected = failed.state >= MemberState::Suspect;
        if outdated || detected || self.pending_index(&target.name).is_some() {
            return Vec::new();
        }
        let peers = self.by_name.values().filter(|member| {
            member.name != self.identity.name
                && member.name != target.name
                && member.zone == self.identity.zone
                && member.state <= MemberState::Leaving
        });
        let probers: Vec<ProbeTarget> = peers
            .sample(rng, INDIRECT_PEERS)
            .into_iter()
            .map(ProbeTarget::of)
            .collect();
        let deadline = match probers.len() {
            0 => now,
            _ => now + INDIRECT_PROBE_TIMEOUT,
        };
        self.pending.push(PendingProbes {
            name: target.name.clone(),
            incarnation: target.incarnation,
            probes_left: probers.len(),
            deadline,
        });
        probers
    }

    /// Records that an indirect probe got no response. When all of them have
    /// failed, the member becomes suspect.
    pub fn record_indirect_probe_failure(
        &mut self,
        now: Instant,
        target: &VmName,
    ) -> Option<MemberChange> {
        let index = self.pending_index(target)?;
        let pending = &mut self.pending[index];
        pending.probes_left = pending.probes_left.saturating_sub(1);
        if pending.probes_left > 0 {
            return None;
        }
        let pending = self.pending.swap_remove(index);
        self.mark_suspect(now, &pending)
    }

    /// Records the response of a member to a direct or indirect probe, and
    /// applies the updates in it.
    pub fn record_probe_response(
        &mut self,
        now: Instant,
        response: &Heartbeat,
    ) -> Vec<UpdateOutcome> {
        if let Some(index) = self.pending_index(&response.sender.name) {
            self.pending.swap_remove(index);
        }
        self.apply_heartbeat(now, response)
    }

    /// Applies the updates of a heartbeat, about its sender and others.
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

    /// Applies one update. A higher incarnation replaces a lower one. Within
    /// an incarnation a higher sequence replaces a lower one, and at equal
    /// sequence the greater state takes precedence. A leaving member never
    /// becomes ready again in the same incarnation.
    pub fn apply_update(
        &mut self,
        now: Instant,
        update: &MemberUpdate,
    ) -> UpdateOutcome {
        if update.name == self.identity.name {
            return self.apply_own_update(update);
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
                member.earlier_heard = true;
                return UpdateOutcome::Stale;
            }
            let order = (update.sequence, update.state)
                .cmp(&(member.sequence, member.state));
            // Every heartbeat contains the epoch, and a new epoch does not
            // increment the sequence, so it is merged separately.
            member.epoch = member.epoch.max(update.epoch);
            match order {
                std::cmp::Ordering::Less => return UpdateOutcome::Stale,
                std::cmp::Ordering::Equal => return UpdateOutcome::Unchanged,
                std::cmp::Ordering::Greater => {}
            }
            member.leaving |= update.state == MemberState::Leaving;
            member.sequence = update.sequence;
            let keeps_leaving =
                member.leaving && update.state == MemberState::Ready;
            let to = if keeps_leaving {
                MemberState::Leaving
            } else {
                update.state
            };
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

    fn apply_own_update(&mut self, update: &MemberUpdate) -> UpdateOutcome {
        if update.incarnation > self.identity.incarnation {
            if update.address != self.identity.address {
                return UpdateOutcome::Superseded(update.incarnation);
            }
            // Only one process serves at an address, so the other one has
            // ended, and its wall clock was ahead.
            let next = update.incarnation.0.saturating_add(1);
            self.identity.incarnation = Incarnation(next);
            self.own_entry_mut().incarnation = Some(Incarnation(next));
            return UpdateOutcome::Refuted;
        }
        let own = self.own_entry_mut();
        let suspected = update.state >= MemberState::Suspect;
        let earlier_incarnation = own.incarnation > Some(update.incarnation);
        if earlier_incarnation || update.sequence < own.sequence {
            return UpdateOutcome::Stale;
        }
        if !suspected {
            return UpdateOutcome::Unchanged;
        }
        own.sequence = update.sequence + 1;
        UpdateOutcome::Refuted
    }

    /// Advances the timers. The targets of overdue indirect probes become
    /// suspect, members that were suspect for [`SUSPECT_TIMEOUT`] become dead,
    /// and dead members are removed after [`DEAD_RETENTION`].
    pub fn tick(&mut self, now: Instant) -> Vec<MemberChange> {
        let mut changes = Vec::new();
        while let Some(index) =
            self.pending.iter().position(|p| p.deadline <= now)
        {
            let pending = self.pending.swap_remove(index);
            changes.extend(self.mark_suspect(now, &pending));
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

    /// Restarts all timers after a pause of this process, because members may
    /// have responded while it did not run.
    pub fn resume_after_pause(&mut self, now: Instant) {
        self.pending.clear();
        for (_, member) in self.by_name.iter_mut() {
            if member.state == MemberState::Suspect {
                member.since = now;
            }
        }
    }

    /// Sets the epoch that this daemon has in force and announces.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.own_entry_mut().epoch = epoch;
    }

    /// Records that this daemon began a graceful shutdown, which can't be
    /// undone.
    pub fn begin_leave(&mut self, now: Instant) {
        let own = self.own_entry_mut();
        if !own.leaving {
            own.leaving = true;
            own.sequence += 1;
            change_state(own, MemberState::Leaving, now);
        }
    }

    /// Returns the body of a probe of a member, or of a response to it. If
    /// this daemon considers the member suspect or dead, or has heard from an
    /// incarnation of it that is not the highest, the body says what it knows,
    /// which allows the member to refute it.
    pub fn heartbeat_for(
        &mut self,
        to: &VmName,
        timestamp: HlcTimestamp,
    ) -> Heartbeat {
        let mut updates = self.gossip.take();
        updates.retain(|update| update.name != *to);
        if let Some(member) = self.by_name.get_mut(to) {
            let earlier_heard = std::mem::take(&mut member.earlier_heard);
            if earlier_heard || member.state >= MemberState::Suspect {
                updates.extend(member.update());
            }
        }
        let own = self.own_entry();
        let sender = MemberUpdate {
            name: own.name.clone(),
            address: own.address,
            zone: own.zone.clone(),
            incarnation: self.identity.incarnation,
            sequence: own.sequence,
            epoch: own.epoch,
            state: own.state,
        };
        Heartbeat { sender, timestamp, updates }
    }

    /// Returns the members of a zone that take part in rendezvous hashing,
    /// sorted by name; see [`Member::is_assignable`].
    #[must_use]
    pub fn live_in_zone(&self, zone: &ZoneName) -> Vec<VmName> {
        self.by_name
            .values()
            .filter(|member| member.zone == *zone && member.is_assignable())
            .map(|member| member.name.clone())
            .collect()
    }

    /// Returns a member by name, also if it is dead.
    #[must_use]
    pub fn get(&self, name: &VmName) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Iterates over all members by name, including dead ones.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Member> {
        self.by_name.values()
    }

    /// Returns the version of the platform's list that was applied last.
    #[must_use]
    pub fn list_version(&self) -> PlatformVersion {
        self.list_version
    }

    /// Returns the highest epoch that any member has had in force.
    #[must_use]
    pub fn highest_epoch(&self) -> u64 {
        self.by_name.values().map(|member| member.epoch).max().unwrap_or(0)
    }

    /// Returns this daemon's incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.identity.incarnation
    }

    fn own_entry(&self) -> &Member {
        // `new` inserts the entry. Nothing removes it, since it is never dead.
        self.by_name.get(&self.identity.name).expect("own entry is present")
    }

    fn own_entry_mut(&mut self) -> &mut Member {
        let name = &self.identity.name;
        // See `own_entry`.
        self.by_name.get_mut(name).expect("own entry is present")
    }

    fn pending_index(&self, name: &VmName) -> Option<usize> {
        self.pending.iter().position(|pending| pending.name == *name)
    }

    /// Marks the target of failed probes as suspect, unless another
    /// incarnation was heard from since.
    fn mark_suspect(
        &mut self,
        now: Instant,
        pending: &PendingProbes,
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
        earlier_heard: false,
    }
}
