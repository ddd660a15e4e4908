//! The store that decides which epoch is in force in one daemon.
//!
//! Manifests and chunks arrive from the platform or from peers, in any order
//! and possibly more than once. A set is put in force atomically, once all
//! its chunks are present, `objects::check` finds no errors, and no newer
//! epoch is known to have been in force elsewhere.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::config::{ConfigStore, Readiness};
//!
//! let mut store = ConfigStore::new();
//! store.observe_floor(7, Instant::now());
//! assert_eq!(store.readiness(), Readiness::BelowFloor { floor: 7 });
//! ```

use std::{sync::Arc, time::Instant};

use crate::{
    config::{
        Announcement, ChunkRef, Digest, Manifest, ManifestError, ManifestId,
        ManifestResponse, ManifestSelector,
        bundle::{matches_manifest, parse_chunk},
    },
    objects::{
        check::check,
        parse::{LocatedObject, ParseError},
        snapshot::Snapshot,
    },
    sorted::{SortedMap, SortedSet},
};

pub use outcome::{
    IgnoreReason, OfferOutcome, Readiness, RejectReason, Rejection,
};

mod outcome;

/// The number of complete manifests that are kept, so that peers can get a
/// delta from an earlier one. A peer that is further behind gets the full
/// manifest.
const HISTORY_MANIFESTS: usize = 8;

/// The configuration of one daemon: the set in force, the set that is being
/// collected, and the epochs known from elsewhere.
#[derive(Debug, Default)]
pub struct ConfigStore {
    /// The highest epoch known to have been in force anywhere.
    floor: u64,
    floor_confirmed: bool,
    /// The highest epoch that another daemon is known to have completely.
    newest_announced: u64,
    /// When this daemon learned of a newer epoch; `None` if it has the newest.
    behind_since: Option<Instant>,
    in_force: Option<Arc<Snapshot>>,
    /// The digest of the manifest in force.
    in_force_digest: Option<Digest>,
    /// The manifest in force at a peer, of the highest epoch that any has
    /// announced with its digest.
    in_force_elsewhere: Option<ManifestId>,
    /// A valid set that is put in force once the floor is confirmed.
    held: Option<Arc<Snapshot>>,
    /// The manifests whose chunks were all received, and invalid ones, sorted
    /// by epoch.
    complete: Vec<Manifest>,
    /// The manifest whose chunks are being collected.
    pending: Option<Manifest>,
    rejected: Option<Rejection>,
    chunks: SortedMap<Digest, VerifiedChunk>,
}

/// A chunk whose digest was verified. It is parsed only once, when it arrives,
/// because parsing the whole set again took half of the time of a change.
#[derive(Debug)]
struct VerifiedChunk {
    bytes: Arc<[u8]>,
    objects: Result<Vec<LocatedObject>, Vec<ParseError>>,
}

impl ConfigStore {
    /// Creates the store of a starting daemon.
    #[must_use]
    pub fn new() -> ConfigStore {
        ConfigStore::default()
    }

    /// Records an epoch that has been in force elsewhere. It is known from a
    /// ticket, or from the fencing token that a backend server stored.
    pub fn observe_floor(&mut self, epoch: u64, now: Instant) {
        self.floor = self.floor.max(epoch);
        self.observe_epoch(epoch, now);
    }

    /// Records the announcement of a peer.
    pub fn observe_peer(&mut self, announced: Announcement, now: Instant) {
        self.observe_floor(announced.in_force, now);
        self.observe_epoch(announced.known, now);
        let Some(digest) = announced.in_force_digest else { return };
        let id = ManifestId { epoch: announced.in_force, digest };
        let known = self.in_force_elsewhere;
        if known.is_none_or(|known| known.epoch < id.epoch) {
            self.in_force_elsewhere = Some(id);
        }
    }

    /// Records an epoch that some daemon has, this one included.
    fn observe_epoch(&mut self, epoch: u64, now: Instant) {
        self.newest_announced = self.newest_announced.max(epoch);
        self.update_behind(now);
    }

    fn update_behind(&mut self, now: Instant) {
        let behind = self.wanted_manifest().is_some();
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// Returns which manifest to request from a peer; `None` if no peer is
    /// known to have a newer one.
    #[must_use]
    pub fn wanted_manifest(&self) -> Option<ManifestSelector> {
        let floor_was_rejected =
            || self.complete.iter().any(|m| m.epoch == self.floor);
        if self.newest_announced > self.newest_complete_epoch() {
            Some(ManifestSelector::Newest)
        } else if self.floor > self.valid_epoch() && !floor_was_rejected() {
            Some(ManifestSelector::InForce)
        } else {
            None
        }
    }

    /// Returns the newest valid epoch, in force or held; 0 if there is none.
    fn valid_epoch(&self) -> u64 {
        let valid = self.in_force.iter().chain(&self.held);
        valid.map(|snapshot| snapshot.epoch).max().unwrap_or(0)
    }

    /// Records that peers and backend servers have reported their epochs, or
    /// that none responded in time. Until then no set is put in force, because
    /// an outdated response of the platform can arrive before those of peers.
    pub fn confirm_floor(&mut self, now: Instant) -> Option<OfferOutcome> {
        self.floor_confirmed = true;
        let held = self.held.take()?;
        Some(self.adopt(held, now))
    }

    /// Processes a manifest received from the platform or a peer.
    pub fn offer_manifest(
        &mut self,
        manifest: Manifest,
        now: Instant,
    ) -> OfferOutcome {
        let id = manifest.id();
        if let Some(first) = self.conflict(id) {
            let reason = RejectReason::EpochReused { first };
            let rejection = Rejection { id, reason };
            self.rejected = Some(rejection.clone());
            return OfferOutcome::Rejected(rejection);
        }
        // Lower epochs than a rejected one are allowed: one of them may be
        // the last valid one.
        let known = self.complete.iter().any(|m| m.epoch == id.epoch);
        if known || id.epoch <= self.valid_epoch() {
            return OfferOutcome::Ignored(IgnoreReason::NotNewer);
        }
        if id.epoch < self.floor {
            let floor = self.floor;
            return OfferOutcome::Ignored(IgnoreReason::BelowFloor { floor });
        }
        let pending = self.pending.as_ref().map_or(0, |p| p.epoch);
        if id.epoch < pending {
            return OfferOutcome::Ignored(IgnoreReason::NotNewer);
        }
        if let Err(error) = manifest.validate() {
            return self.reject(
                manifest,
                RejectReason::BadManifest(error),
                now,
            );
        }
        self.pending = Some(manifest);
        self.evict_unused_chunks();
        self.try_complete(now)
    }

    /// Returns the manifest that was received earlier for the same epoch, if
    /// its content differs from the offered one.
    fn conflict(&self, offered: ManifestId) -> Option<ManifestId> {
        self.complete
            .iter()
            .chain(&self.pending)
            .filter(|manifest| manifest.epoch == offered.epoch)
            .map(Manifest::id)
            .find(|id| *id != offered)
            .or_else(|| self.conflict_elsewhere(offered))
    }

    /// Returns the manifest of the same epoch that is in force at a peer, if
    /// its content differs and the epoch is not in force here.
    fn conflict_elsewhere(&self, offered: ManifestId) -> Option<ManifestId> {
        let in_force = self.in_force.as_ref().map(|s| s.epoch);
        self.in_force_elsewhere.filter(|first| {
            first.epoch == offered.epoch
                && first.digest != offered.digest
                && in_force != Some(offered.epoch)
        })
    }

    /// Drops a complete set, and rejects it because its epoch is in force at
    /// a peer with another content. The set of the peer can then be received.
    fn reject_reused(
        &mut self,
        id: ManifestId,
        first: ManifestId,
        now: Instant,
    ) -> OfferOutcome {
        self.complete.retain(|manifest| manifest.id() != id);
        self.evict_unused_chunks();
        self.update_behind(now);
        let reason = RejectReason::EpochReused { first };
        let rejection = Rejection { id, reason };
        self.rejected = Some(rejection.clone());
        OfferOutcome::Rejected(rejection)
    }

    /// Processes a chunk received from the platform or a peer.
    pub fn offer_chunk(
        &mut self,
        digest: &Digest,
        bytes: &[u8],
        now: Instant,
    ) -> OfferOutcome {
        let missing = self.missing_chunks();
        let wanted = missing.iter().find(|chunk| chunk.digest == *digest);
        let Some(wanted) = wanted else {
            return OfferOutcome::Ignored(IgnoreReason::NotWanted);
        };
        if !matches_manifest(wanted, bytes) {
            return OfferOutcome::Ignored(IgnoreReason::Corrupt);
        }
        let objects = parse_chunk(wanted, bytes);
        let chunk = VerifiedChunk { bytes: bytes.into(), objects };
        self.chunks.insert(*digest, chunk);
        self.try_complete(now)
    }

    /// Returns the chunks that the pending manifest still needs.
    #[must_use]
    pub fn missing_chunks(&self) -> Vec<ChunkRef> {
        let listed = self.pending.iter().flat_map(|p| &p.chunks);
        let absent = |c: &&ChunkRef| !self.chunks.contains_key(&c.digest);
        listed.filter(absent).cloned().collect()
    }

    /// Validates the pending set and puts it in force or holds it, if all its
    /// chunks are present.
    fn try_complete(&mut self, now: Instant) -> OfferOutcome {
        let missing = self.missing_chunks();
        if !missing.is_empty() {
            return OfferOutcome::Missing(missing);
        }
        let Some(manifest) = self.pending.take() else {
            return OfferOutcome::Ignored(IgnoreReason::NotWanted);
        };
        match self.validate(&manifest) {
            Err(reason) => self.reject(manifest, reason, now),
            Ok(snapshot) => {
                let snapshot = Arc::new(snapshot);
                // Set before `retain_complete`, which would otherwise evict
                // the manifest and chunks of this set.
                self.held = Some(Arc::clone(&snapshot));
                self.retain_complete(manifest, now);
                if !self.floor_confirmed {
                    return OfferOutcome::Held(snapshot);
                }
                self.held = None;
                self.adopt(snapshot, now)
            }
        }
    }

    fn validate(&self, manifest: &Manifest) -> Result<Snapshot, RejectReason> {
        let (mut objects, mut unreadable) = (Vec::new(), Vec::new());
        for listed in &manifest.chunks {
            // A manifest can list the same digest twice with two lengths.
            let chunk = self.chunks.get(&listed.digest);
            let chunk = chunk
                .filter(|c| c.bytes.len() as u64 == listed.len_bytes)
                .ok_or_else(|| ManifestError::WrongLength {
                    name: listed.name.clone(),
                })
                .map_err(RejectReason::BadManifest)?;
            match &chunk.objects {
                Ok(parsed) => objects.extend_from_slice(parsed),
                Err(errors) => unreadable.extend_from_slice(errors),
            }
        }
        if !unreadable.is_empty() {
            return Err(RejectReason::Unreadable(unreadable));
        }
        let errors = check(&objects);
        if !errors.is_empty() {
            return Err(RejectReason::Faults(errors));
        }
        resolve(manifest.epoch, objects)
    }

    fn adopt(
        &mut self,
        snapshot: Arc<Snapshot>,
        now: Instant,
    ) -> OfferOutcome {
        if snapshot.epoch < self.floor {
            let floor = self.floor;
            return OfferOutcome::Ignored(IgnoreReason::BelowFloor { floor });
        }
        let mut complete = self.complete.iter();
        let manifest = complete.find(|m| m.epoch == snapshot.epoch);
        let id = manifest.map(Manifest::id);
        if let Some(id) = id
            && let Some(first) = self.conflict_elsewhere(id)
        {
            return self.reject_reused(id, first, now);
        }
        self.floor = snapshot.epoch;
        self.in_force_digest = id.map(|id| id.digest);
        self.in_force = Some(Arc::clone(&snapshot));
        // The rejection of a newer epoch stays until a later set corrects it.
        self.rejected =
            self.rejected.take().filter(|r| r.id.epoch > snapshot.epoch);
        self.observe_epoch(snapshot.epoch, now);
        OfferOutcome::Adopted(snapshot)
    }

    fn reject(
        &mut self,
        manifest: Manifest,
        reason: RejectReason,
        now: Instant,
    ) -> OfferOutcome {
        let rejection = Rejection { id: manifest.id(), reason };
        self.rejected = Some(rejection.clone());
        self.retain_complete(manifest, now);
        OfferOutcome::Rejected(rejection)
    }

    /// Stores a manifest whose chunks are all present, or which was rejected,
    /// and evicts the oldest manifest above [`HISTORY_MANIFESTS`].
    fn retain_complete(&mut self, manifest: Manifest, now: Instant) {
        self.pending =
            self.pending.take().filter(|p| p.epoch != manifest.epoch);
        let index =
            self.complete.partition_point(|m| m.epoch < manifest.epoch);
        self.complete.insert(index, manifest);
        if self.complete.len() > HISTORY_MANIFESTS {
            let valid = self.valid_epoch();
            // The last valid set is kept, even if it is the oldest because
            // many rejected sets followed it.
            let oldest = usize::from(self.complete[0].epoch == valid);
            self.complete.remove(oldest);
        }
        self.evict_unused_chunks();
        self.update_behind(now);
    }

    /// Evicts all chunks except those of the newest complete set, of the
    /// newest valid set and of the pending set.
    fn evict_unused_chunks(&mut self) {
        let (valid, newest) =
            (self.valid_epoch(), self.newest_complete_epoch());
        let used: SortedSet<Digest> = self
            .complete
            .iter()
            .filter(|m| m.epoch == valid || m.epoch == newest)
            .chain(&self.pending)
            .flat_map(|manifest| &manifest.chunks)
            .map(|chunk| chunk.digest)
            .collect();
        self.chunks.retain(|digest, _| used.contains(digest));
    }

    /// Returns the highest epoch whose chunks were all received, valid or
    /// not; 0 if there is none.
    fn newest_complete_epoch(&self) -> u64 {
        self.complete.last().map_or(0, |manifest| manifest.epoch)
    }

    /// Returns the epochs to announce in each probe.
    #[must_use]
    pub fn announcement(&self) -> Announcement {
        let in_force = self.in_force.as_ref().map_or(0, |s| s.epoch);
        Announcement {
            in_force,
            known: self.newest_complete_epoch(),
            in_force_digest: self.in_force_digest,
        }
    }

    /// Returns the set in force.
    #[must_use]
    pub fn in_force(&self) -> Option<&Arc<Snapshot>> {
        self.in_force.as_ref()
    }

    /// Returns the last rejection, unless the same or a newer epoch was put
    /// in force since.
    #[must_use]
    pub fn rejected(&self) -> Option<&Rejection> {
        self.rejected.as_ref()
    }

    /// Returns the epoch floor, below which no set is put in force; 0 if no
    /// epoch is known to have been in force.
    #[must_use]
    pub fn floor(&self) -> u64 {
        self.floor
    }

    /// Returns when this daemon learned that another one has a newer epoch;
    /// `None` if it is not behind.
    #[must_use]
    pub fn behind_since(&self) -> Option<Instant> {
        self.behind_since
    }

    /// Returns whether the daemon may serve requests. A daemon with a set in
    /// force continues to serve with it when it falls behind.
    #[must_use]
    pub fn readiness(&self) -> Readiness {
        let held_epoch = self.held.as_ref().map_or(0, |s| s.epoch);
        if self.in_force.is_some() {
            Readiness::Ready
        } else if self.floor > held_epoch {
            Readiness::BelowFloor { floor: self.floor }
        } else if self.floor_confirmed {
            Readiness::NoConfiguration
        } else {
            Readiness::FloorUnconfirmed
        }
    }

    /// Returns the response to a peer that requests a manifest and already
    /// has the manifest `have`.
    #[must_use]
    pub fn manifest_for(
        &self,
        which: ManifestSelector,
        have: Option<ManifestId>,
    ) -> ManifestResponse {
        let in_force = self.announcement().in_force;
        let wanted = match which {
            ManifestSelector::Newest => self.complete.last(),
            ManifestSelector::InForce => {
                self.complete.iter().find(|m| m.epoch == in_force)
            }
        };
        let Some(wanted) = wanted else { return ManifestResponse::Nothing };
        let Some(have) = have else {
            return ManifestResponse::Full(wanted.clone());
        };
        if have == wanted.id() {
            return ManifestResponse::Nothing;
        }
        match self.complete.iter().find(|manifest| manifest.id() == have) {
            Some(base) => ManifestResponse::Delta(wanted.delta_since(base)),
            None => ManifestResponse::Full(wanted.clone()),
        }
    }

    /// Returns the newest complete manifest, which is the base of the deltas
    /// that peers send.
    #[must_use]
    pub fn newest_manifest(&self) -> Option<&Manifest> {
        self.complete.last()
    }

    /// Returns the content of a chunk, to send it to a peer.
    #[must_use]
    pub fn chunk_bytes(&self, digest: &Digest) -> Option<Arc<[u8]>> {
        self.chunks.get(digest).map(|chunk| Arc::clone(&chunk.bytes))
    }
}

fn resolve(
    epoch: u64,
    objects: Vec<LocatedObject>,
) -> Result<Snapshot, RejectReason> {
    let objects: Vec<_> =
        objects.into_iter().map(|located| located.object).collect();
    Snapshot::resolve(epoch, &objects).map_err(RejectReason::Unresolved)
}

#[cfg(test)]
mod tests;
