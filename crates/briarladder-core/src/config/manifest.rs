//! The manifest of one epoch, and the difference between two manifests.
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

/// The most bytes of all chunks of a set together. A daemon keeps two sets
/// during a change, within 32 MB of control state.
pub const MAX_SET_BYTES: u64 = 8 * 1024 * 1024;

/// The longest chunk name, in bytes.
const MAX_CHUNK_NAME_BYTES: usize = 80;

/// The BLAKE3 digest of some bytes, written as 64 hexadecimal digits.
#[derive(Clone, Copy, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[display("{}", HEXLOWER.encode(_0))]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of bytes.
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

/// A string that is not a digest.
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

/// The name of a chunk, the same in each epoch.
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

    /// Names from elsewhere reach logs, so they are checked.
    fn is_valid(&self) -> bool {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-';
        self.0.len() <= MAX_CHUNK_NAME_BYTES && self.0.bytes().all(allowed)
    }

    /// Returns the name as text.
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

/// What one epoch consists of.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// The epoch. Later configurations have higher epochs.
    pub epoch: u64,
    /// The chunks.
    pub chunks: Vec<ChunkRef>,
}

/// Tells apart two manifests that were published with the same epoch.
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

/// A manifest that can't be used.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestError {
    /// The epoch is 0, which stands for no configuration.
    #[display("the epoch is 0; publish an epoch above 0")]
    EpochZero,
    /// A chunk name that is too long, or not letters, digits and hyphens.
    #[display("a chunk name is bad; publish with `briarladder bundle`")]
    BadName,
    /// Two chunks of one name.
    #[display("chunk {name} is listed twice; list it once")]
    ChunkTwice {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// A chunk above the platform's limit for one value.
    #[display(
        "chunk {name} is longer than {MAX_CHUNK_BYTES} bytes; publish \
         with `briarladder bundle`, which splits it"
    )]
    ChunkTooLong {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// A chunk whose listed length is not that of its bytes.
    #[display("chunk {name} has another length than listed; publish anew")]
    WrongLength {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// A set that daemons could not hold.
    #[display(
        "the chunks add up to more than {MAX_SET_BYTES} bytes; remove \
         objects"
    )]
    SetTooLarge,
    /// A difference that leads to another manifest than announced.
    #[display("the difference does not fit; request the whole manifest")]
    DeltaMismatch,
}

impl Manifest {
    /// Returns what identifies this manifest.
    #[must_use]
    pub fn id(&self) -> ManifestId {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&self.epoch.to_le_bytes());
        for chunk in &self.chunks {
            // The names end in a byte that occurs in none of them.
            hasher.update(chunk.name.as_str().as_bytes());
            hasher.update(&[0]);
            hasher.update(&chunk.digest.0);
            hasher.update(&chunk.len_bytes.to_le_bytes());
        }
        let digest = Digest(*hasher.finalize().as_bytes());
        ManifestId { epoch: self.epoch, digest }
    }

    /// Checks the limits of a manifest.
    ///
    /// # Errors
    ///
    /// Returns the first limit that is exceeded.
    pub fn check(&self) -> Result<(), ManifestError> {
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

    /// Returns the difference from an earlier manifest.
    #[must_use]
    pub fn delta_since(&self, base: &Manifest) -> ManifestDelta {
        let old: SortedMap<&ChunkName, &ChunkRef> =
            base.chunks.iter().map(|chunk| (&chunk.name, chunk)).collect();
        let new: SortedSet<&ChunkName> =
            self.chunks.iter().map(|chunk| &chunk.name).collect();
        let changed = |chunk: &&ChunkRef| old.get(&chunk.name) != Some(chunk);
        let gone = |chunk: &&ChunkRef| !new.contains(&chunk.name);
        ManifestDelta {
            base: base.id(),
            target: self.id(),
            changed: self.chunks.iter().filter(changed).cloned().collect(),
            removed: base
                .chunks
                .iter()
                .filter(gone)
                .map(|chunk| chunk.name.clone())
                .collect(),
        }
    }
}

/// The difference between two manifests, as peers send it: at 7,000
/// workspaces a manifest is longer than the chunk that a change moves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ManifestDelta {
    /// The manifest it applies to.
    pub base: ManifestId,
    /// The manifest it leads to.
    pub target: ManifestId,
    /// New and changed chunks.
    pub changed: Vec<ChunkRef>,
    /// Chunks that no longer exist.
    pub removed: Vec<ChunkName>,
}

impl ManifestDelta {
    /// Applies the difference.
    ///
    /// # Errors
    ///
    /// Returns [`ManifestError::DeltaMismatch`] if it does not lead from
    /// `base` to the announced manifest.
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
        // Covers the order of chunks too: only sorted manifests, as
        // `Bundle` writes them, can be sent as differences.
        if base.id() == self.base && manifest.id() == self.target {
            return Ok(manifest);
        }
        Err(ManifestError::DeltaMismatch)
    }
}

/// Which manifest a daemon asks a peer for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Which {
    /// The newest one, even if it was rejected, so that the reason appears
    /// everywhere.
    Newest,
    /// The one in force. While a bad set is published, a fresh daemon gets
    /// the last good one in this way only.
    InForce,
}

/// The answer to a peer that asks for a manifest.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ManifestReply {
    /// There is none, or the peer has it.
    Nothing,
    /// The whole manifest.
    Full(Manifest),
    /// The difference from the one that the peer has.
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

    /// Guards against a difference that leads to another set than the one
    /// published, or that is applied to the wrong base.
    #[test]
    fn delta_leads_to_target() {
        let old = manifest(1, &[("p0", "a"), ("p10", "b"), ("p11", "c")]);
        let new = manifest(2, &[("p0", "a"), ("p1", "bd")]);
        let mut delta = new.delta_since(&old);
        assert_eq!((delta.changed.len(), delta.removed.len()), (1, 2));
        assert_eq!(delta.apply(&old), Ok(new.clone()));
        assert_eq!(delta.apply(&new), Err(ManifestError::DeltaMismatch));
        delta.removed.pop();
        assert_eq!(delta.apply(&old), Err(ManifestError::DeltaMismatch));
    }

    /// Guards against a manifest that makes a daemon allocate without
    /// bound, or that lists one chunk with two contents.
    #[test]
    fn check_rejects_bad_manifests() {
        let ok = manifest(1, &[("p0", "a"), ("p1", "b")]);
        assert_eq!(ok.check(), Ok(()));
        let twice = manifest(1, &[("p0", "a"), ("p0", "b")]);
        let name = ChunkName::new("p0".into());
        let error = ManifestError::ChunkTwice { name: name.clone() };
        assert_eq!(twice.check(), Err(error));
        let name_error = Err(ManifestError::BadName);
        assert_eq!(manifest(1, &[("p\n", "a")]).check(), name_error);
        let zero = manifest(0, &[]);
        assert_eq!(zero.check(), Err(ManifestError::EpochZero));
        let mut long = ok.clone();
        long.chunks[0].len_bytes = MAX_CHUNK_BYTES as u64 + 1;
        let error = ManifestError::ChunkTooLong { name };
        assert_eq!(long.check(), Err(error));
        let mut large = manifest(1, &[]);
        for i in 0..9 {
            let mut chunk = ok.chunks[0].clone();
            chunk.name = ChunkName::new(format!("p{i}"));
            chunk.len_bytes = MAX_CHUNK_BYTES as u64;
            large.chunks.push(chunk);
        }
        assert_eq!(large.check(), Err(ManifestError::SetTooLarge));
    }
}
