//! Manifests, which list the chunks of an epoch, and differences between them.
//!
//! # Example
//!
//! ```
//! use briarladder_core::config::Manifest;
//!
//! let manifest: Manifest =
//!     serde_json::from_str(r#"{"epoch": 3, "chunks": []}"#).unwrap();
//! assert_eq!(manifest.id().epoch, 3);
//! ```

use data_encoding::HEXLOWER;
use derive_more::{Display, Error};
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use crate::{
    config::bundle::MAX_CHUNK_BYTES,
    sorted::{SortedMap, SortedSet},
};

/// The maximum total size of the chunks of a set, in bytes. A daemon keeps
/// two sets during a change, within 32 MB of control state.
pub const MAX_SET_BYTES: u64 = 8 * 1024 * 1024;

/// The maximum length of a chunk name, in bytes.
const MAX_CHUNK_NAME_BYTES: usize = 80;

/// A BLAKE3 digest, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", HEXLOWER.encode(_0))]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of some bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Digest {
        Digest(*blake3::hash(bytes).as_bytes())
    }
}

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Digest({self})")
    }
}

/// The error for a string that is not a digest.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("a digest has exactly 64 lower-case hexadecimal digits")]
pub struct DigestError;

impl std::str::FromStr for Digest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Digest, DigestError> {
        let bytes =
            HEXLOWER.decode(text.as_bytes()).map_err(|_| DigestError)?;
        bytes.try_into().map(Digest).map_err(|_| DigestError)
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(
        &self,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Digest, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(de::Error::custom)
    }
}

/// The name of a chunk. A chunk keeps its name across epochs, while its
/// content changes.
#[derive(
    Clone,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
pub struct ChunkName(String);

impl ChunkName {
    pub(super) fn new(text: String) -> ChunkName {
        ChunkName(text)
    }

    /// Returns whether the name is safe to write to a log: names are received
    /// from peers and from the platform.
    fn is_valid(&self) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        self.0.len() <= MAX_CHUNK_NAME_BYTES && self.0.bytes().all(allowed)
    }

    /// Returns the name as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// A chunk as a manifest lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ChunkRef {
    /// The name, unique in the manifest.
    pub name: ChunkName,
    /// The digest of the chunk's bytes.
    pub digest: Digest,
    /// The length of the chunk in bytes.
    pub len_bytes: u64,
}

/// The list of chunks that make up the configuration of one epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The epoch, above 0. Later configurations have higher epochs.
    pub epoch: u64,
    /// The chunks, sorted by name if `briarladder bundle` published them.
    pub chunks: Vec<ChunkRef>,
}

/// Identifies a manifest, even if two were published with the same epoch.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[display("epoch {epoch} ({digest})")]
pub struct ManifestId {
    /// The epoch.
    pub epoch: u64,
    /// The digest of the manifest.
    pub digest: Digest,
}

/// The error for a manifest that can't be used.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestError {
    /// The epoch is 0, which is reserved for the absence of a configuration.
    #[display("the epoch is 0; publish an epoch above 0")]
    EpochZero,
    /// A chunk name is too long, or contains other characters than letters,
    /// digits and hyphens.
    #[display("a chunk name is invalid; publish with `briarladder bundle`")]
    BadName,
    /// Two chunks have the same name.
    #[display("chunk {name} is listed twice; list it once")]
    ChunkTwice {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// A chunk exceeds the platform's limit for one value.
    #[display(
        "chunk {name} is longer than {MAX_CHUNK_BYTES} bytes; publish \
         with `briarladder bundle`, which splits it"
    )]
    ChunkTooLong {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// The listed length of a chunk differs from the length of its content.
    #[display(
        "the listed length of chunk {name} is wrong; publish the set again"
    )]
    WrongLength {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// The chunks together exceed the maximum size of a set.
    #[display(
        "the chunks add up to more than {MAX_SET_BYTES} bytes; remove \
         objects"
    )]
    SetTooLarge,
    /// A delta was applied to the wrong manifest, or does not result in the
    /// announced one.
    #[display(
        "the delta does not match the manifest; request the whole manifest"
    )]
    DeltaMismatch,
}

impl Manifest {
    /// Computes the identifier of this manifest.
    #[must_use]
    pub fn id(&self) -> ManifestId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.epoch.to_le_bytes());
        for chunk in &self.chunks {
            // A zero byte, which no name contains, terminates each name.
            hasher.update(chunk.name.as_str().as_bytes());
            hasher.update(&[0]);
            hasher.update(&chunk.digest.0);
            hasher.update(&chunk.len_bytes.to_le_bytes());
        }
        let digest = Digest(*hasher.finalize().as_bytes());
        ManifestId { epoch: self.epoch, digest }
    }

    /// Checks the epoch, the names and the sizes of a manifest.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn validate(&self) -> Result<(), ManifestError> {
        if self.epoch == 0 {
            return Err(ManifestError::EpochZero);
        }
        let mut names: Vec<&ChunkName> = Vec::new();
        let mut total_bytes = 0_u64;
        for chunk in &self.chunks {
            if !chunk.name.is_valid() {
                return Err(ManifestError::BadName);
            }
            if chunk.len_bytes > MAX_CHUNK_BYTES as u64 {
                let name = chunk.name.clone();
                return Err(ManifestError::ChunkTooLong { name });
            }
            total_bytes += chunk.len_bytes;
            names.push(&chunk.name);
        }
        if total_bytes > MAX_SET_BYTES {
            return Err(ManifestError::SetTooLarge);
        }
        names.sort();
        match names.windows(2).find(|pair| pair[0] == pair[1]) {
            Some(pair) => {
                Err(ManifestError::ChunkTwice { name: pair[0].clone() })
            }
            None => Ok(()),
        }
    }

    /// Computes the delta from an earlier manifest to this one.
    #[must_use]
    pub fn delta_since(&self, base: &Manifest) -> ManifestDelta {
        let old: SortedMap<&ChunkName, &ChunkRef> =
            base.chunks.iter().map(|chunk| (&chunk.name, chunk)).collect();
        let new: SortedSet<&ChunkName> =
            self.chunks.iter().map(|chunk| &chunk.name).collect();
        let changed = |chunk: &&ChunkRef| old.get(&chunk.name) != Some(chunk);
        let removed = |chunk: &&ChunkRef| !new.contains(&chunk.name);
        ManifestDelta {
            base: base.id(),
            target: self.id(),
            changed: self.chunks.iter().filter(changed).cloned().collect(),
            removed: base
                .chunks
                .iter()
                .filter(removed)
                .map(|chunk| chunk.name.clone())
                .collect(),
        }
    }
}

/// The difference between two manifests. Peers send deltas because a full
/// manifest of 7,000 workspaces is longer than the chunk that a typical
/// change replaces.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestDelta {
    /// The manifest to which the delta applies.
    pub base: ManifestId,
    /// The resulting manifest.
    pub target: ManifestId,
    /// The new and changed chunks.
    pub changed: Vec<ChunkRef>,
    /// The chunks that no longer exist.
    pub removed: Vec<ChunkName>,
}

impl ManifestDelta {
    /// Applies the delta to a manifest.
    ///
    /// # Errors
    ///
    /// Returns [`ManifestError::DeltaMismatch`] if `base` is not the
    /// manifest that the delta applies to, or if the result is not the
    /// announced one.
    pub fn apply(&self, base: &Manifest) -> Result<Manifest, ManifestError> {
        let mut chunks: SortedMap<ChunkName, ChunkRef> = base
            .chunks
            .iter()
            .chain(&self.changed)
            .map(|chunk| (chunk.name.clone(), chunk.clone()))
            .collect();
        for name in &self.removed {
            chunks.remove(name);
        }
        let manifest = Manifest {
            epoch: self.target.epoch,
            chunks: chunks.values().cloned().collect(),
        };
        // The comparison includes the order of the chunks, so deltas work
        // only between sorted manifests, as `Bundle` creates them.
        if base.id() == self.base && manifest.id() == self.target {
            return Ok(manifest);
        }
        Err(ManifestError::DeltaMismatch)
    }
}

/// Selects the manifest that a daemon requests from a peer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestSelector {
    /// The newest one, even if it was rejected, so that every daemon can show
    /// the reason.
    Newest,
    /// The one in force. While the published set is invalid, this is the only
    /// way for a restarted daemon to get the last valid set.
    InForce,
}

/// The response to a request for a manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestResponse {
    /// There is no manifest, or the requester already has it.
    Nothing,
    /// The complete manifest.
    Full(Manifest),
    /// The delta from the manifest that the requester has.
    Delta(ManifestDelta),
}

#[cfg(test)]
mod tests {
    use super::*;

    fn manifest(epoch: u64, chunks: &[(&str, &str)]) -> Manifest {
        let chunks = chunks.iter().map(|(name, content)| ChunkRef {
            name: ChunkName::new((*name).to_owned()),
            digest: Digest::of(content.as_bytes()),
            len_bytes: content.len() as u64,
        });
        Manifest { epoch, chunks: chunks.collect() }
    }

    /// Guards against a delta that results in another set than the published
    /// one, or that is applied to the wrong base.
    #[test]
    fn delta_results_in_target() {
        let old = manifest(1, &[("p0", "a"), ("p10", "b"), ("p11", "c")]);
        let new = manifest(2, &[("p0", "a"), ("p1", "bd")]);
        let mut delta = new.delta_since(&old);
        assert_eq!((delta.changed.len(), delta.removed.len()), (1, 2));
        assert_eq!(delta.apply(&old), Ok(new.clone()));
        assert_eq!(delta.apply(&new), Err(ManifestError::DeltaMismatch));
        delta.removed.pop();
        assert_eq!(delta.apply(&old), Err(ManifestError::DeltaMismatch));
    }

    /// Guards against a manifest that makes a daemon allocate without bound,
    /// and against one that lists a chunk name with two contents.
    #[test]
    fn check_rejects_invalid_manifests() {
        let ok = manifest(1, &[("p0", "a"), ("p1", "b")]);
        assert_eq!(ok.validate(), Ok(()));
        let twice = manifest(1, &[("p0", "a"), ("p0", "b")]);
        let name = ChunkName::new("p0".into());
        let error = ManifestError::ChunkTwice { name: name.clone() };
        assert_eq!(twice.validate(), Err(error));
        let name_error = Err(ManifestError::BadName);
        assert_eq!(manifest(1, &[("p\n", "a")]).validate(), name_error);
        let zero = manifest(0, &[]);
        assert_eq!(zero.validate(), Err(ManifestError::EpochZero));
        let mut long = ok.clone();
        long.chunks[0].len_bytes = MAX_CHUNK_BYTES as u64 + 1;
        let error = ManifestError::ChunkTooLong { name };
        assert_eq!(long.validate(), Err(error));
        let mut large = manifest(1, &[]);
        for i in 0..9 {
            let mut chunk = ok.chunks[0].clone();
            chunk.name = ChunkName::new(format!("p{i}"));
            chunk.len_bytes = MAX_CHUNK_BYTES as u64;
            large.chunks.push(chunk);
        }
        assert_eq!(large.validate(), Err(ManifestError::SetTooLarge));
    }
}
