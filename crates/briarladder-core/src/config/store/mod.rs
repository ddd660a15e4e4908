//! Which epoch is in force in one daemon.
//!
//! Manifests and chunks come from the platform or from peers, in any order
//! and more than once. A set is put in force as a whole, once all chunks
//! are there, `objects::check` finds no fault, and no newer epoch is known
//! to have been in force elsewhere.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::config::{EpochStore, Readiness};
//!
//! let mut store = EpochStore::new();
//! store.observe_floor(7, Instant::now());
//! assert_eq!(store.readiness(), Readiness::BelowFloor { floor: 7 });
//! ```

use std::{sync::Arc, time::Instant};

use crate::{
    config::{
        Announcement, ChunkRef, Digest, Manifest, ManifestError, ManifestId,
        ManifestReply, Which,
        bundle::{is_listed, read},
    },
    objects::{
        check::check,
        load::{LoadFault, Located},
        snapshot::Snapshot,
    },
    sorted::{SortedMap, SortedSet},
};

pub use outcome::{IgnoreReason, Outcome, Readiness, RejectReason, Rejection};

mod outcome;

/// Earlier manifests that are kept to send differences from them. A peer
/// that is further behind gets the whole manifest.
const HISTORY_MANIFESTS: usize = 8;

/// Which epoch is in force, and what is known of others.
#[derive(Debug, Default)]
pub struct EpochStore {
    /// The highest epoch known to have been in force anywhere.
    floor: u64,
    floor_confirmed: bool,
    /// The highest epoch heard of that some peer has whole.
    heard: u64,
    behind_since: Option<Instant>,
    in_force: Option<Arc<Snapshot>>,
    /// A good set that waits for the floor.
    held: Option<Arc<Snapshot>>,
    /// Whole manifests by epoch; the last one is the newest.
    whole: Vec<Manifest>,
    /// The manifest whose chunks are being collected.
    pending: Option<Manifest>,
    rejected: Option<Rejection>,
    chunks: SortedMap<Digest, Verified>,
}

/// A chunk with the right digest. It is read once, when it arrives: to
/// read the whole set again took half of the time of a change.
#[derive(Debug)]
struct Verified {
    bytes: Arc<[u8]>,
    objects: Result<Vec<Located>, Vec<LoadFault>>,
}

impl EpochStore {
    /// Creates the store of a fresh daemon.
    #[must_use]
    pub fn new() -> EpochStore {
        EpochStore::default()
    }

    /// Notes an epoch that has been in force elsewhere: from a ticket or
    /// from the fencing token that a backend server remembers.
    pub fn observe_floor(&mut self, epoch: u64, now: Instant) {
        self.floor = self.floor.max(epoch);
        self.hear(epoch, now);
    }

    /// Notes what a peer announced.
    pub fn observe_peer(&mut self, announced: Announcement, now: Instant) {
        self.observe_floor(announced.in_force, now);
        self.hear(announced.known, now);
    }

    fn hear(&mut self, epoch: u64, now: Instant) {
        self.heard = self.heard.max(epoch);
        self.update_behind(now);
    }

    fn update_behind(&mut self, now: Instant) {
        let behind = self.next_request().is_some();
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Returns what to ask a peer for; `None` if no peer is known to have
    /// anything newer.
    #[must_use]
    pub fn next_request(&self) -> Option<Which> {
        let rejected_floor =
            || self.whole.iter().any(|m| m.epoch == self.floor);
        if self.heard > self.known() {
            Some(Which::Newest)
        } else if self.floor > self.good_epoch() && !rejected_floor() {
            Some(Which::InForce)
        } else {
            None
        }
    }

    /// Returns the epoch in force or held; 0 if there is none.
    fn good_epoch(&self) -> u64 {
        let good = self.in_force.iter().chain(&self.held);
        good.map(|snapshot| snapshot.epoch).max().unwrap_or(0)
    }

    /// Notes that peers and backend servers were asked for their epochs, or
    /// that none answered in time. Until then no set is put in force: a
    /// stale platform may answer a fresh daemon before its peers do.
    pub fn confirm_floor(&mut self, now: Instant) -> Option<Outcome> {
        self.floor_confirmed = true;
        let held = self.held.take()?;
        Some(self.adopt(held, now))
    }

    /// Takes a manifest from the platform or a peer.
    pub fn offer_manifest(
        &mut self,
        manifest: Manifest,
        now: Instant,
    ) -> Outcome {
        let id = manifest.id();
        if let Some(first) = self.conflict(id) {
            let reason = RejectReason::EpochReused { first };
            let rejection = Rejection { id, reason };
            self.rejected = Some(rejection.clone());
            return Outcome::Rejected(rejection);
        }
        // An epoch below a rejected one may still be the last good one.
        let seen = self.whole.iter().any(|m| m.epoch == id.epoch);
        if seen || id.epoch <= self.good_epoch() {
            return Outcome::Ignored(IgnoreReason::NotNewer);
        }
        if id.epoch < self.floor {
            let floor = self.floor;
            return Outcome::Ignored(IgnoreReason::BelowFloor { floor });
        }
        let pending = self.pending.as_ref().map_or(0, |p| p.epoch);
        if id.epoch < pending {
            return Outcome::Ignored(IgnoreReason::NotNewer);
        }
        if let Err(error) = manifest.check() {
            return self.reject(
                manifest,
                RejectReason::BadManifest(error),
                now,
            );
        }
        self.pending = Some(manifest);
        self.drop_unused_chunks();
        self.collect(now)
    }

    /// Returns the content of the same epoch that came first, if it is not
    /// the offered one.
    fn conflict(&self, offered: ManifestId) -> Option<ManifestId> {
        self.whole
            .iter()
            .chain(&self.pending)
            .filter(|manifest| manifest.epoch == offered.epoch)
            .map(Manifest::id)
            .find(|id| *id != offered)
    }

    /// Takes a chunk from the platform or a peer.
    pub fn offer_chunk(
        &mut self,
        digest: &Digest,
        bytes: &[u8],
        now: Instant,
    ) -> Outcome {
        let missing = self.missing();
        let wanted = missing.iter().find(|chunk| chunk.digest == *digest);
        let Some(wanted) = wanted else {
            return Outcome::Ignored(IgnoreReason::NotWanted);
        };
        if !is_listed(wanted, bytes) {
            return Outcome::Ignored(IgnoreReason::Corrupt);
        }
        let objects = read(wanted, bytes);
        let chunk = Verified { bytes: bytes.into(), objects };
        self.chunks.insert(*digest, chunk);
        self.collect(now)
    }

    /// Returns the chunks that the manifest being collected still needs.
    #[must_use]
    pub fn missing(&self) -> Vec<ChunkRef> {
        let listed = self.pending.iter().flat_map(|p| &p.chunks);
        let absent = |c: &&ChunkRef| !self.chunks.contains_key(&c.digest);
        listed.filter(absent).cloned().collect()
    }

    /// Validates the pending set once all its chunks are there.
    fn collect(&mut self, now: Instant) -> Outcome {
        let missing = self.missing();
        if !missing.is_empty() {
            return Outcome::Missing(missing);
        }
        let Some(manifest) = self.pending.take() else {
            return Outcome::Ignored(IgnoreReason::NotWanted);
        };
        match self.validate(&manifest) {
            Err(reason) => self.reject(manifest, reason, now),
            Ok(snapshot) => {
                let snapshot = Arc::new(snapshot);
                // Held first, so that its manifest and chunks are kept.
                self.held = Some(Arc::clone(&snapshot));
                self.keep_whole(manifest, now);
                if !self.floor_confirmed {
                    return Outcome::Held(snapshot);
                }
                self.held = None;
                self.adopt(snapshot, now)
            }
        }
    }

    fn validate(&self, manifest: &Manifest) -> Result<Snapshot, RejectReason> {
        let (mut objects, mut unreadable) = (Vec::new(), Vec::new());
        for listed in &manifest.chunks {
            // The same digest may be listed twice, with two lengths.
            let chunk = self.chunks.get(&listed.digest);
            let chunk = chunk
                .filter(|c| c.bytes.len() as u64 == listed.len_bytes)
                .ok_or_else(|| ManifestError::WrongLength {
                    name: listed.name.clone(),
                })
                .map_err(RejectReason::BadManifest)?;
            match &chunk.objects {
                Ok(read) => objects.extend_from_slice(read),
                Err(faults) => unreadable.extend_from_slice(faults),
            }
        }
        if !unreadable.is_empty() {
            return Err(RejectReason::Unreadable(unreadable));
        }
        let faults = check(&objects);
        if !faults.is_empty() {
            return Err(RejectReason::Faults(faults));
        }
        resolve(manifest.epoch, objects)
    }

    fn adopt(&mut self, snapshot: Arc<Snapshot>, now: Instant) -> Outcome {
        if snapshot.epoch < self.floor {
            let floor = self.floor;
            return Outcome::Ignored(IgnoreReason::BelowFloor { floor });
        }
        self.floor = snapshot.epoch;
        self.in_force = Some(Arc::clone(&snapshot));
        // A rejected newer epoch still waits for its correction.
        self.rejected =
            self.rejected.take().filter(|r| r.id.epoch > snapshot.epoch);
        self.hear(snapshot.epoch, now);
        Outcome::Adopted(snapshot)
    }

    fn reject(
        &mut self,
        manifest: Manifest,
        reason: RejectReason,
        now: Instant,
    ) -> Outcome {
        let rejection = Rejection { id: manifest.id(), reason };
        self.rejected = Some(rejection.clone());
        self.keep_whole(manifest, now);
        Outcome::Rejected(rejection)
    }

    fn keep_whole(&mut self, manifest: Manifest, now: Instant) {
        self.pending =
            self.pending.take().filter(|p| p.epoch != manifest.epoch);
        let at = self.whole.partition_point(|m| m.epoch < manifest.epoch);
        self.whole.insert(at, manifest);
        if self.whole.len() > HISTORY_MANIFESTS {
            let good = self.good_epoch();
            // Several rejected sets may have followed the last good one.
            let oldest = usize::from(self.whole[0].epoch == good);
            self.whole.remove(oldest);
        }
        self.drop_unused_chunks();
        self.update_behind(now);
    }

    /// Keeps the chunks of the newest whole set, of the one in force and of
    /// the pending one.
    fn drop_unused_chunks(&mut self) {
        let (good, newest) = (self.good_epoch(), self.known());
        let used: SortedSet<Digest> = self
            .whole
            .iter()
            .filter(|m| m.epoch == good || m.epoch == newest)
            .chain(&self.pending)
            .flat_map(|manifest| &manifest.chunks)
            .map(|chunk| chunk.digest)
            .collect();
        self.chunks.retain(|digest, _| used.contains(digest));
    }

    /// Returns the highest epoch that this daemon has whole; 0 if none.
    fn known(&self) -> u64 {
        self.whole.last().map_or(0, |manifest| manifest.epoch)
    }

    /// Returns what to say in each probe.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        let in_force = self.in_force.as_ref().map_or(0, |s| s.epoch);
        Announcement { in_force, known: self.known() }
    }

    /// Returns the set in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the last rejection that no later adoption settled.
    #[must_use]
    pub fn rejected(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// Returns the floor; 0 if nothing was heard.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns since when some peer has a newer epoch.
    #[must_use]
    pub fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }

    /// Returns whether the daemon may serve. A daemon that has a set in
    /// force keeps serving with it when it falls behind.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        let have = self.held.as_ref().map_or(0, |s| s.epoch);
        if self.in_force.is_some() {
            Readiness::Ready
        } else if self.floor > have {
            Readiness::BelowFloor { floor: self.floor }
        } else if self.floor_confirmed {
            Readiness::NoConfiguration
        } else {
            Readiness::FloorUnconfirmed
        }
    }

    /// Answers a peer that asks for a manifest and has `have`.
    #[must_use]
    pub fn manifest_for(
        &self,
        which: Which,
        have: Option<ManifestId>,
    ) -> ManifestReply {
        let in_force = self.announcement().in_force;
        let asked = match which {
            Which::Newest => self.whole.last(),
            Which::InForce => self.whole.iter().find(|m| m.epoch == in_force),
        };
        let Some(asked) = asked else { return ManifestReply::Nothing };
        let Some(have) = have else {
            return ManifestReply::Full(asked.clone());
        };
        if have == asked.id() {
            return ManifestReply::Nothing;
        }
        match self.whole.iter().find(|manifest| manifest.id() == have) {
            Some(base) => ManifestReply::Delta(asked.delta_since(base)),
            None => ManifestReply::Full(asked.clone()),
        }
    }

    /// Returns the newest whole manifest, to ask peers for a difference
    /// and to apply it to.
    #[must_use]
    pub fn newest_manifest(&self) -> Option<&Manifest> {
        self.whole.last()
    }

    /// Returns a chunk for a peer.
    #[must_use]
    pub fn chunk(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        self.chunks.get(digest).map(|chunk| Arc::clone(&chunk.bytes))
    }
}

fn resolve(
    epoch: u64,
    objects: Vec<Located>,
) -> Result<Snapshot, RejectReason> {
    let objects: Vec<_> = objects.into_iter().map(|at| at.object).collect();
    Snapshot::resolve(epoch, &objects).map_err(RejectReason::Unresolved)
}

#[cfg(test)]
mod tests;
