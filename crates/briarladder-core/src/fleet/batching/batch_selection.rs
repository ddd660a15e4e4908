//! Selects the pieces of a call.

use std::{sync::Arc, time::Instant};

use super::{
    CallLimit, PieceQueue, QueuedPiece, TrackedServer, ZoneAffinity, to_u32,
};

/// One in this many places of a call goes to the piece that is due first, so
/// that a flood of a more urgent rank doesn't starve others.
const RESERVED_DIVISOR: usize = 8;

/// A piece waits for a server of its zone only while it has at least this many
/// hundredths of the time of a full call until it is due.
const ZONE_WAIT_CALL_HUNDREDTHS: u32 = 140;

/// Pieces that would move at least this many bytes between zones are processed
/// in their own zone unless that makes them late.
const LARGE_CROSS_ZONE_BYTES: u64 = 250_000;

/// The part of a server's result memory that is used, in hundredths. The rest
/// covers results whose release is in flight and the error of estimated sizes.
const USED_CAPACITY_HUNDREDTHS: u64 = 97;

/// The pieces selected for a call.
struct Batch {
    /// Bytes of results that the server will hold.
    held_bytes: u64,
    /// Positions in the queue.
    positions: Vec<usize>,
}

impl PieceQueue {
    /// Returns the queue positions of the pieces for a call, and why it has no
    /// more: in queue order, except for the reserved places, which go to the
    /// pieces that are due first.
    pub(super) fn choose_batch(
        &self,
        now: Instant,
        server: &Arc<str>,
    ) -> (Vec<usize>, CallLimit) {
        let Some(tracked) = self.servers.get(&**server) else {
            return (Vec::new(), CallLimit::OtherServers);
        };
        let only_server = self.servers.len() == 1;
        let max_batch = self.spec.max_batch.max(1);
        let unreserved = max_batch - max_batch / RESERVED_DIVISOR;
        let candidates: Vec<usize> = (0..self.waiting.len())
            .filter(|&at| {
                let piece = &self.waiting[at];
                only_server
                    || (piece.avoid.as_ref() != Some(server)
                        && self.may_process(now, tracked, piece))
            })
            .collect();
        let mut by_due = candidates.clone();
        by_due.sort_by_key(|&at| self.waiting[at].due);
        let mut batch = Batch {
            held_bytes: tracked.reserved_bytes(),
            positions: Vec::new(),
        };
        for at in &candidates {
            self.add_group(&mut batch, *at, &candidates, unreserved);
        }
        for at in by_due.iter().chain(&candidates) {
            self.add_group(&mut batch, *at, &candidates, max_batch);
        }
        self.fill_with_part(&mut batch, &candidates, max_batch);
        let limit = match batch.positions.len() {
            taken if taken >= max_batch => CallLimit::Full,
            taken if taken == self.waiting.len() => CallLimit::NoneWaiting,
            taken if taken < candidates.len() => CallLimit::Memory,
            _ => CallLimit::OtherServers,
        };
        (batch.positions, limit)
    }

    /// Adds a piece and the rest of its group if all of them fit. A group is
    /// only split if the batch is empty or an earlier call has a part of the
    /// group.
    fn add_group(
        &self,
        batch: &mut Batch,
        at: usize,
        candidates: &[usize],
        limit: usize,
    ) {
        if batch.positions.len() >= limit || batch.positions.contains(&at) {
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
        let fits_whole = batch.positions.len() + members.len() <= limit
            && self.fits(batch.held_bytes + bytes);
        let may_split = batch.positions.is_empty()
            || self.split_groups.contains(&group)
            || members.iter().any(|member| batch.positions.contains(member));
        if !fits_whole && !may_split {
            return;
        }
        for member in members {
            let bytes = self.waiting[member].result_bytes;
            let fits =
                batch.held_bytes == 0 || self.fits(batch.held_bytes + bytes);
            if batch.positions.len() < limit
                && fits
                && !batch.positions.contains(&member)
            {
                batch.held_bytes += bytes;
                batch.positions.push(member);
            }
        }
    }

    /// Fills the places left with a part of the next group, if the server has
    /// memory for it.
    fn fill_with_part(
        &self,
        batch: &mut Batch,
        candidates: &[usize],
        limit: usize,
    ) {
        for &at in candidates {
            let bytes = self.waiting[at].result_bytes;
            let full = batch.positions.len() >= limit
                || !self.fits(batch.held_bytes + bytes);
            if full {
                return;
            }
            if !batch.positions.contains(&at) {
                batch.held_bytes += bytes;
                batch.positions.push(at);
            }
        }
    }

    fn fits(&self, bytes: u64) -> bool {
        bytes
            <= self.spec.result_capacity_bytes / 100 * USED_CAPACITY_HUNDREDTHS
    }

    /// Returns whether a server may process a piece. A large result leaves its
    /// zone only if no server is left in the zone, if more is waiting there
    /// than the next calls take, or if waiting would make it late.
    fn may_process(
        &self,
        now: Instant,
        tracked: &TrackedServer,
        piece: &QueuedPiece,
    ) -> bool {
        let ZoneAffinity::Strong(zone) = &piece.affinity else { return true };
        if piece.cross_zone_bytes < LARGE_CROSS_ZONE_BYTES
            || tracked.zone.as_ref() == Some(zone)
        {
            return true;
        }
        let batch = u32::try_from(self.spec.max_batch).unwrap_or(u32::MAX);
        let full_call =
            self.spec.call_overhead + self.spec.time_per_piece * batch;
        if now + full_call * ZONE_WAIT_CALL_HUNDREDTHS / 100 > piece.due {
            return true;
        }
        let zone_servers = self
            .servers
            .values()
            .filter(|tracked| {
                !tracked.delisted && tracked.zone.as_ref() == Some(zone)
            })
            .count();
        let zone_waiting = self
            .waiting
            .iter()
            .filter(|other| other.cross_zone_bytes >= LARGE_CROSS_ZONE_BYTES)
            .filter(|other| other.affinity.zone() == zone)
            .count();
        let next_calls_pieces =
            self.mean_batch * f64::from(to_u32(zone_servers));
        f64::from(to_u32(zone_waiting)) > next_calls_pieces
    }
}

#[cfg(test)]
mod tests;
