//! Selects the pieces of a call.

use std::{sync::Arc, time::Instant};

use super::{Lane, PieceQueue, QueuedPiece, ZoneAffinity, count};

/// One in this many places of a call goes to the piece that is due first, so
/// that a flood of a more urgent rank doesn't starve others.
const FLOOR_ONE_IN: usize = 8;

/// A piece waits for a server of its zone only while it has at least this many
/// hundredths of the time of a full call until it is due.
const HOME_CALL_HUNDREDTHS: u32 = 140;

/// Pieces that would move at least this many bytes between zones are processed
/// in their own zone unless that makes them late.
const LARGE_CROSSING_BYTES: u64 = 250_000;

/// The part of a server's result memory that is used, in hundredths. The rest
/// covers results whose release is in flight and the error of estimated sizes.
const USED_ROOM_HUNDREDTHS: u64 = 97;

/// The pieces selected for a call.
struct Batch {
    /// Bytes of results that the server will hold.
    held: u64,
    /// Positions in the queue.
    places: Vec<usize>,
}

impl PieceQueue {
    /// Returns the queue positions of the pieces for a call: in queue order,
    /// except for the reserved places, which go to the pieces that are due
    /// first.
    pub(super) fn choose_batch(
        &self,
        now: Instant,
        server: &Arc<str>,
    ) -> Vec<usize> {
        let Some(lane) = self.lanes.get(&**server) else { return Vec::new() };
        let alone = self.lanes.len() == 1;
        let batch = self.spec.max_batch.max(1);
        let by_rank = batch - batch / FLOOR_ONE_IN;
        let candidates: Vec<usize> = (0..self.waiting.len())
            .filter(|&at| {
                let order = &self.waiting[at];
                alone
                    || (order.avoid.as_ref() != Some(server)
                        && self.may_leave_home(now, lane, order))
            })
            .collect();
        let mut longest = candidates.clone();
        longest.sort_by_key(|&at| self.waiting[at].due);
        let mut chosen = Batch { held: lane.held_bytes(), places: Vec::new() };
        for at in &candidates {
            self.add_group(&mut chosen, *at, &candidates, by_rank);
        }
        for at in longest.iter().chain(&candidates) {
            self.add_group(&mut chosen, *at, &candidates, batch);
        }
        self.fill_with_part(&mut chosen, &candidates, batch);
        chosen.places
    }

    /// Adds a piece and the rest of its group if all of them fit. A group is
    /// only split if the batch is empty or an earlier call has a part of the
    /// group.
    fn add_group(
        &self,
        chosen: &mut Batch,
        at: usize,
        candidates: &[usize],
        places: usize,
    ) {
        if chosen.places.len() >= places || chosen.places.contains(&at) {
            return;
        }
        let group = self.waiting[at].group;
        let members: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|&other| self.waiting[other].group == group)
            .collect();
        let bytes: u64 =
            members.iter().map(|&at| self.waiting[at].result_bytes).sum();
        let whole = chosen.places.len() + members.len() <= places
            && self.fits(chosen.held + bytes);
        let split = chosen.places.is_empty()
            || self.begun.contains(&group)
            || members.iter().any(|member| chosen.places.contains(member));
        if !whole && !split {
            return;
        }
        for member in members {
            let bytes = self.waiting[member].result_bytes;
            let fits = chosen.held == 0 || self.fits(chosen.held + bytes);
            if chosen.places.len() < places
                && fits
                && !chosen.places.contains(&member)
            {
                chosen.held += bytes;
                chosen.places.push(member);
            }
        }
    }

    /// Fills the places left with a part of the next group, if the server has
    /// memory for it.
    fn fill_with_part(
        &self,
        chosen: &mut Batch,
        candidates: &[usize],
        places: usize,
    ) {
        for &at in candidates {
            let bytes = self.waiting[at].result_bytes;
            let full = chosen.places.len() >= places
                || !self.fits(chosen.held + bytes);
            if full {
                return;
            }
            if !chosen.places.contains(&at) {
                chosen.held += bytes;
                chosen.places.push(at);
            }
        }
    }

    fn fits(&self, bytes: u64) -> bool {
        bytes <= self.spec.result_capacity_bytes / 100 * USED_ROOM_HUNDREDTHS
    }

    /// Returns whether a server may process a piece. A large result leaves its
    /// zone only if no server is left in the zone, if more is waiting there
    /// than the next calls take, or if waiting would make it late.
    fn may_leave_home(
        &self,
        now: Instant,
        lane: &Lane,
        order: &QueuedPiece,
    ) -> bool {
        let ZoneAffinity::Strong(home) = &order.affinity else { return true };
        if order.crossing_bytes < LARGE_CROSSING_BYTES
            || lane.zone.as_ref() == Some(home)
        {
            return true;
        }
        let batch = u32::try_from(self.spec.max_batch).unwrap_or(u32::MAX);
        let full_call =
            self.spec.call_overhead + self.spec.time_per_piece * batch;
        if now + full_call * HOME_CALL_HUNDREDTHS / 100 > order.due {
            return true;
        }
        let home_lanes = self
            .lanes
            .values()
            .filter(|lane| !lane.closed && lane.zone.as_ref() == Some(home))
            .count();
        let home_waiting = self
            .waiting
            .iter()
            .filter(|other| other.crossing_bytes >= LARGE_CROSSING_BYTES)
            .filter(|other| other.affinity.zone() == home)
            .count();
        let taken = self.usual_batch * f64::from(count(home_lanes));
        f64::from(count(home_waiting)) > taken
    }
}
