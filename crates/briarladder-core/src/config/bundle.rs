//! Cuts a set into chunks and puts it together again.
//!
//! A chunk holds the objects whose hash of kind and name starts with the
//! bits in the chunk's name. A chunk above [`TARGET_CHUNK_BYTES`] is split
//! by the next bit, so a small set has one chunk, and a change of one object
//! moves one small chunk, or two to three when it splits or joins chunks.
//!
//! # Example
//!
//! ```
//! use briarladder_core::config::Bundle;
//!
//! let bundle = Bundle::new(1, &[]).unwrap();
//! assert_eq!(bundle.manifest.chunks.len(), 1);
//! ```

use std::sync::Arc;

use derive_more::{Display, Error};

use crate::{
    config::manifest::{ChunkName, ChunkRef, Digest, Manifest},
    objects::{
        Kind, Object,
        load::{FileName, LoadFault, LoadProblem, Located, load},
    },
};

/// The most bytes of one chunk: the platform's limit for one value.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// Chunks above this size are split, in bytes. Peers send the difference of
/// manifests, so small chunks cost little; 8 KiB keeps the whole manifest
/// of 7,000 workspaces under a tenth of the platform's limit.
pub const TARGET_CHUNK_BYTES: usize = 8 * 1024;

/// The bits of the hash by which chunks can be split.
const HASH_BITS: u32 = u64::BITS;

/// The bytes of one chunk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest of the bytes.
    pub digest: Digest,
    /// A JSON array of objects.
    pub bytes: Arc<[u8]>,
}

/// A manifest with its chunks, ready to be published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bundle {
    /// The manifest, with chunks sorted by name.
    pub manifest: Manifest,
    /// The chunks, in the manifest's order.
    pub chunks: Vec<Chunk>,
}

/// A set that can't be cut into chunks.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BundleError {
    /// An object above the limit for a chunk.
    #[display(
        "{kind} {name} has {len_bytes} bytes, above {MAX_CHUNK_BYTES}; \
         split it into several objects"
    )]
    ObjectTooLong {
        /// The kind of the object.
        kind: Kind,
        /// The name of the object.
        name: String,
        /// The length of the object as JSON.
        len_bytes: usize,
    },
    /// An object that can't be written as JSON.
    #[display("{kind} {name} can't be written as JSON; correct its values")]
    NotJson {
        /// The kind of the object.
        kind: Kind,
        /// The name of the object.
        name: String,
    },
}

/// An object as text, with the hash that places it.
struct Placed {
    hash: u64,
    json: String,
}

impl Bundle {
    /// Cuts a set into chunks. The result does not depend on the order of
    /// the objects.
    ///
    /// # Errors
    ///
    /// Returns the first object that does not fit into a chunk.
    pub fn new(epoch: u64, objects: &[Object]) -> Result<Bundle, BundleError> {
        let mut placed = Vec::with_capacity(objects.len());
        let mut parts = Vec::new();
        for object in objects {
            let object = place(object)?;
            // A large object would split its neighbours into single
            // objects, so it gets a chunk of its own.
            if object.json.len() > TARGET_CHUNK_BYTES {
                let name = format!("object-{:016x}", object.hash);
                parts.push((name, write(&[object])));
            } else {
                placed.push(object);
            }
        }
        placed.sort_by(|a, b| (a.hash, &a.json).cmp(&(b.hash, &b.json)));
        split(&placed, &mut String::from("p"), 0, &mut parts);
        parts.sort();
        let mut bundle = Bundle {
            manifest: Manifest { epoch, chunks: Vec::new() },
            chunks: Vec::new(),
        };
        for (name, text) in parts {
            let digest = Digest::of(text.as_bytes());
            bundle.manifest.chunks.push(ChunkRef {
                name: ChunkName::new(name),
                digest,
                len_bytes: text.len() as u64,
            });
            let bytes = text.into_bytes().into();
            bundle.chunks.push(Chunk { digest, bytes });
        }
        Ok(bundle)
    }
}

fn place(object: &Object) -> Result<Placed, BundleError> {
    let (kind, name) = (object.kind(), object.name());
    let json = serde_json::to_string(object)
        .map_err(|_| BundleError::NotJson { kind, name: name.to_owned() })?;
    // The brackets of the array count too.
    if json.len() + 2 > MAX_CHUNK_BYTES {
        return Err(BundleError::ObjectTooLong {
            kind,
            name: name.to_owned(),
            len_bytes: json.len(),
        });
    }
    let digest = blake3::hash(format!("{kind}/{name}").as_bytes());
    let (first, _) = digest.as_bytes().split_first_chunk().expect("32 bytes");
    Ok(Placed { hash: u64::from_be_bytes(*first), json })
}

/// Splits objects that share the first `depth` bits of their hash and are
/// sorted by it. `name` holds these bits.
fn split(
    objects: &[Placed],
    name: &mut String,
    depth: u32,
    parts: &mut Vec<(String, String)>,
) {
    let len_bytes: usize = objects.iter().map(|o| o.json.len() + 1).sum();
    if len_bytes < TARGET_CHUNK_BYTES || depth == HASH_BITS {
        parts.push((name.clone(), write(objects)));
        return;
    }
    let mask = 1 << (HASH_BITS - 1 - depth);
    let middle = objects.partition_point(|o| o.hash & mask == 0);
    for (bit, half) in [('0', &objects[..middle]), ('1', &objects[middle..])] {
        // An empty half needs no chunk.
        if !half.is_empty() {
            name.push(bit);
            split(half, name, depth + 1, parts);
            name.pop();
        }
    }
}

/// Writes a JSON array with one object on each line.
fn write(objects: &[Placed]) -> String {
    let texts: Vec<&str> = objects.iter().map(|o| o.json.as_str()).collect();
    format!("[{}]", texts.join(",\n"))
}

/// Chunks that do not make up a set.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AssembleError {
    /// A chunk that is not there.
    #[display("chunk {name} is missing; fetch it")]
    Missing {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// Bytes that are not those that the manifest lists.
    #[display("chunk {name} has other bytes than listed; fetch it again")]
    Corrupt {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// Chunks that are not objects.
    #[display("{} faults; correct them and publish again", faults.len())]
    Unreadable {
        /// The faults of all chunks.
        #[error(not(source))]
        faults: Vec<LoadFault>,
    },
}

/// Verifies the digests of all chunks and reads their objects.
///
/// # Errors
///
/// Returns the first chunk that is missing or corrupt, or else every fault
/// of the chunks' text.
pub fn assemble<'a>(
    manifest: &Manifest,
    chunk: impl Fn(&Digest) -> Option<&'a [u8]>,
) -> Result<Vec<Located>, AssembleError> {
    let (mut objects, mut faults) = (Vec::new(), Vec::new());
    for listed in &manifest.chunks {
        let name = || listed.name.clone();
        let bytes = chunk(&listed.digest)
            .ok_or_else(|| AssembleError::Missing { name: name() })?;
        if !is_listed(listed, bytes) {
            return Err(AssembleError::Corrupt { name: name() });
        }
        match read(listed, bytes) {
            Ok(loaded) => objects.extend(loaded),
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        return Ok(objects);
    }
    Err(AssembleError::Unreadable { faults })
}

/// Returns whether bytes are those that a manifest lists.
pub(super) fn is_listed(listed: &ChunkRef, bytes: &[u8]) -> bool {
    bytes.len() as u64 == listed.len_bytes
        && Digest::of(bytes) == listed.digest
}

/// Reads the objects of a chunk.
pub(super) fn read(
    listed: &ChunkRef,
    bytes: &[u8],
) -> Result<Vec<Located>, Vec<LoadFault>> {
    let file = FileName::new(listed.name.as_str());
    match std::str::from_utf8(bytes) {
        Ok(text) => load(&file, text),
        Err(error) => {
            let message = error.to_string();
            let problem = LoadProblem::Syntax { message };
            let remedy = problem.remedy();
            Err(vec![LoadFault { file, line: 1, problem, remedy }])
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn workspace(index: usize, weight: u32) -> Object {
        serde_json::from_value(serde_json::json!({
            "kind": "workspace", "name": format!("workspace-{index}"),
            "home_region": "recife", "weight": weight,
            "pipelines": ["fold-plan", "order-status"],
            "max_open_requests": 40, "caller_max_open_requests": 10
        }))
        .unwrap()
    }

    fn get<'a>(
        bundle: &'a Bundle,
    ) -> impl Fn(&Digest) -> Option<&'a [u8]> + use<'a> {
        |digest| {
            let found = bundle.chunks.iter().find(|c| c.digest == *digest)?;
            Some(&found.bytes)
        }
    }

    /// Guards against a change of one object that moves much of the set.
    #[test]
    fn change_moves_one_small_chunk() {
        let mut objects: Vec<Object> =
            (0..7_000).map(|i| workspace(i, 1)).collect();
        let before = Bundle::new(1, &objects).unwrap();
        objects[4_321] = workspace(4_321, 2);
        objects.reverse();
        let after = Bundle::new(2, &objects).unwrap();
        let delta = after.manifest.delta_since(&before.manifest);
        assert_eq!((delta.changed.len(), delta.removed.len()), (1, 0));
        assert!(delta.changed[0].len_bytes < TARGET_CHUNK_BYTES as u64);
        let removed = Bundle::new(3, &objects[1..]).unwrap();
        let delta = removed.manifest.delta_since(&after.manifest);
        assert!(delta.changed.len() + delta.removed.len() <= 3);
    }

    /// Guards against objects lost or changed on the way, and against many
    /// chunks for a small set.
    #[test]
    fn assemble_returns_objects() {
        let mut objects: Vec<Object> =
            (0..500).map(|i| workspace(i, 1)).collect();
        let bundle = Bundle::new(1, &objects).unwrap();
        let found = assemble(&bundle.manifest, get(&bundle)).unwrap();
        let mut found: Vec<Object> =
            found.into_iter().map(|at| at.object).collect();
        found.sort_by(|a, b| a.name().cmp(b.name()));
        objects.sort_by(|a, b| a.name().cmp(b.name()));
        assert_eq!(found, objects);
        let small = Bundle::new(1, &objects[..20]).unwrap();
        assert_eq!(small.chunks.len(), 1);
    }

    /// Guards against a large object that splits its neighbours, and
    /// against a chunk above the platform's limit.
    #[test]
    fn large_object_has_its_chunk() {
        let large = |pipelines: usize| {
            let mut object = workspace(0, 1);
            if let Object::Workspace(workspace) = &mut object {
                let name = workspace.pipelines[0].clone();
                workspace.pipelines = vec![name; pipelines];
            }
            object
        };
        let mut objects = vec![large(5_000)];
        objects.extend((1..20).map(|i| workspace(i, 1)));
        let bundle = Bundle::new(1, &objects).unwrap();
        assert_eq!(bundle.chunks.len(), 2);
        let error = Bundle::new(1, &[large(100_000)]).unwrap_err();
        assert!(matches!(error, BundleError::ObjectTooLong { .. }));
    }

    /// Guards against a corrupted or missing chunk read as configuration.
    #[test]
    fn assemble_rejects_corrupt_chunks() {
        let bundle = Bundle::new(1, &[workspace(0, 1)]).unwrap();
        let missing = assemble(&bundle.manifest, |_| None);
        assert!(matches!(missing, Err(AssembleError::Missing { .. })));
        let mut bytes = bundle.chunks[0].bytes.to_vec();
        let weight = bytes.iter().position(|&b| b == b'1').unwrap();
        bytes[weight] = b'9';
        let corrupt = assemble(&bundle.manifest, |_| Some(&bytes[..]));
        assert!(matches!(corrupt, Err(AssembleError::Corrupt { .. })));
        let text: &[u8] = b"[{}]";
        let chunk = ChunkRef {
            digest: Digest::of(text),
            len_bytes: 4,
            ..bundle.manifest.chunks[0].clone()
        };
        let manifest = Manifest { epoch: 1, chunks: vec![chunk] };
        let unreadable = assemble(&manifest, |_| Some(text));
        assert!(matches!(unreadable, Err(AssembleError::Unreadable { .. })));
    }
}
