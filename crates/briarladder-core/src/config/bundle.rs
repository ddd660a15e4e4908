//! Splits an object set into chunks and reassembles it.
//!
//! A chunk contains the objects whose hash of kind and name starts with the
//! bits in the chunk's name. A chunk above [`TARGET_CHUNK_BYTES`] is split by
//! the next bit. A small set therefore has one chunk, and a change of one
//! object replaces one small chunk, or two to three if it splits or merges
//! chunks.
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
        Object, ObjectKind,
        parse::{FileName, LocatedObject, ParseError, ParseErrorKind, parse},
    },
};

/// The maximum size of a chunk, in bytes: the platform's limit for one value.
pub const MAX_CHUNK_BYTES: usize = 1_000_000;

/// Chunks above this size are split, in bytes. Small chunks cost little,
/// because peers send only the differences between manifests; 8 KiB keeps
/// the full manifest of 7,000 workspaces under a tenth of the platform's
/// limit.
pub const TARGET_CHUNK_BYTES: usize = 8 * 1024;

/// The number of hash bits by which chunks can be split.
const HASH_BITS: u32 = u64::BITS;

/// A chunk with its digest.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The digest of the bytes.
    pub digest: Digest,
    /// The content: a JSON array of objects.
    pub bytes: Arc<[u8]>,
}

/// A manifest with its chunks, ready to be published.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Bundle {
    /// The manifest, with chunks sorted by name.
    pub manifest: Manifest,
    /// The chunks, in the order of the manifest.
    pub chunks: Vec<Chunk>,
}

/// The error for a set that can't be split into chunks.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum BundleError {
    /// An object exceeds the maximum size of a chunk.
    #[display(
        "{kind} {name} has {len_bytes} bytes, above {MAX_CHUNK_BYTES}; \
         split it into several objects"
    )]
    ObjectTooLong {
        /// The kind of the object.
        kind: ObjectKind,
        /// The name of the object.
        name: String,
        /// The length of the object as JSON.
        len_bytes: usize,
    },
    /// An object can't be serialised as JSON.
    #[display("{kind} {name} can't be serialised as JSON; correct its values")]
    NotJson {
        /// The kind of the object.
        kind: ObjectKind,
        /// The name of the object.
        name: String,
    },
}

/// An object as JSON, with the hash that selects its chunk.
struct EncodedObject {
    hash: u64,
    json: String,
}

impl Bundle {
    /// Splits a set into chunks. The result does not depend on the order of
    /// the objects.
    ///
    /// # Errors
    ///
    /// Returns the first object that can't be serialised or does not fit into
    /// a chunk.
    pub fn new(epoch: u64, objects: &[Object]) -> Result<Bundle, BundleError> {
        let mut small = Vec::with_capacity(objects.len());
        let mut chunks = Vec::new();
        for object in objects {
            let object = encode(object)?;
            // Inside a shared chunk, a large object would force its
            // neighbours into chunks of a single object, so it gets its own
            // chunk.
            if object.json.len() > TARGET_CHUNK_BYTES {
                let name = format!("object-{:016x}", object.hash);
                chunks.push((name, to_json_array(&[object])));
            } else {
                small.push(object);
            }
        }
        small.sort_by(|a, b| (a.hash, &a.json).cmp(&(b.hash, &b.json)));
        split(&small, &mut String::from("p"), 0, &mut chunks);
        chunks.sort();
        let mut bundle = Bundle {
            manifest: Manifest { epoch, chunks: Vec::new() },
            chunks: Vec::new(),
        };
        for (name, text) in chunks {
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

fn encode(object: &Object) -> Result<EncodedObject, BundleError> {
    let (kind, name) = (object.kind(), object.name());
    let json = serde_json::to_string(object)
        .map_err(|_| BundleError::NotJson { kind, name: name.to_owned() })?;
    // The 2 bytes are the brackets of the array.
    if json.len() + 2 > MAX_CHUNK_BYTES {
        return Err(BundleError::ObjectTooLong {
            kind,
            name: name.to_owned(),
            len_bytes: json.len(),
        });
    }
    let digest = blake3::hash(format!("{kind}/{name}").as_bytes());
    let (first, _) = digest.as_bytes().split_first_chunk().expect("32 bytes");
    Ok(EncodedObject { hash: u64::from_be_bytes(*first), json })
}

/// Splits objects recursively into chunks of names and JSON texts. The objects
/// are sorted by hash and share its first `depth` bits, which `name`
/// contains.
fn split(
    objects: &[EncodedObject],
    name: &mut String,
    depth: u32,
    chunks: &mut Vec<(String, String)>,
) {
    let len_bytes: usize = objects.iter().map(|o| o.json.len() + 1).sum();
    if len_bytes < TARGET_CHUNK_BYTES || depth == HASH_BITS {
        chunks.push((name.clone(), to_json_array(objects)));
        return;
    }
    let mask = 1 << (HASH_BITS - 1 - depth);
    let middle = objects.partition_point(|o| o.hash & mask == 0);
    for (bit, half) in [('0', &objects[..middle]), ('1', &objects[middle..])] {
        if !half.is_empty() {
            name.push(bit);
            split(half, name, depth + 1, chunks);
            name.pop();
        }
    }
}

/// Formats a JSON array with one object per line.
fn to_json_array(objects: &[EncodedObject]) -> String {
    let texts: Vec<&str> = objects.iter().map(|o| o.json.as_str()).collect();
    format!("[{}]", texts.join(",\n"))
}

/// The error for chunks from which no set can be assembled.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AssembleError {
    /// A chunk is absent.
    #[display("chunk {name} is missing; fetch it")]
    Missing {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// The bytes differ from the length or digest in the manifest.
    #[display(
        "chunk {name} does not match the digest and length in the manifest; \
         fetch it again"
    )]
    Corrupt {
        /// The name.
        #[error(not(source))]
        name: ChunkName,
    },
    /// The text of some chunks can't be parsed.
    #[display("{} faults; correct them and publish again", errors.len())]
    Unreadable {
        /// The errors of all chunks.
        #[error(not(source))]
        errors: Vec<ParseError>,
    },
}

/// Verifies the digests of all chunks and parses their objects.
///
/// # Errors
///
/// Returns the first chunk that is missing or corrupt, or otherwise every
/// error in the text of the chunks.
pub fn assemble<'a>(
    manifest: &Manifest,
    chunk: impl Fn(&Digest) -> Option<&'a [u8]>,
) -> Result<Vec<LocatedObject>, AssembleError> {
    let (mut objects, mut errors) = (Vec::new(), Vec::new());
    for listed in &manifest.chunks {
        let name = || listed.name.clone();
        let bytes = chunk(&listed.digest)
            .ok_or_else(|| AssembleError::Missing { name: name() })?;
        if !matches_manifest(listed, bytes) {
            return Err(AssembleError::Corrupt { name: name() });
        }
        match parse_chunk(listed, bytes) {
            Ok(parsed) => objects.extend(parsed),
            Err(found) => errors.extend(found),
        }
    }
    if errors.is_empty() {
        return Ok(objects);
    }
    Err(AssembleError::Unreadable { errors })
}

/// Returns whether the bytes of a chunk have the length and digest that the
/// manifest lists.
pub(super) fn matches_manifest(listed: &ChunkRef, bytes: &[u8]) -> bool {
    bytes.len() as u64 == listed.len_bytes
        && Digest::of(bytes) == listed.digest
}

/// Parses the objects of a chunk.
pub(super) fn parse_chunk(
    listed: &ChunkRef,
    bytes: &[u8],
) -> Result<Vec<LocatedObject>, Vec<ParseError>> {
    let file = FileName::new(listed.name.as_str());
    match std::str::from_utf8(bytes) {
        Ok(text) => parse(&file, text),
        Err(error) => {
            let message = error.to_string();
            let problem = ParseErrorKind::Syntax { message };
            let remedy = problem.remedy();
            Err(vec![ParseError { file, line: 1, problem, remedy }])
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

    fn lookup<'a>(
        bundle: &'a Bundle,
    ) -> impl Fn(&Digest) -> Option<&'a [u8]> + use<'a> {
        |digest| {
            let found = bundle.chunks.iter().find(|c| c.digest == *digest)?;
            Some(&found.bytes)
        }
    }

    /// Guards against a change of one object that replaces a large part of
    /// the chunks.
    #[test]
    fn change_replaces_one_small_chunk() {
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

    /// Guards against objects that are lost or changed in transfer, and
    /// against a small set with many chunks.
    #[test]
    fn assemble_returns_objects() {
        let mut objects: Vec<Object> =
            (0..500).map(|i| workspace(i, 1)).collect();
        let bundle = Bundle::new(1, &objects).unwrap();
        let found = assemble(&bundle.manifest, lookup(&bundle)).unwrap();
        let mut found: Vec<Object> =
            found.into_iter().map(|located| located.object).collect();
        found.sort_by(|a, b| a.name().cmp(b.name()));
        objects.sort_by(|a, b| a.name().cmp(b.name()));
        assert_eq!(found, objects);
        let small = Bundle::new(1, &objects[..20]).unwrap();
        assert_eq!(small.chunks.len(), 1);
    }

    /// Guards against a large object that forces its neighbours into many
    /// chunks, and against a chunk above the platform's limit.
    #[test]
    fn large_object_has_own_chunk() {
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

    /// Guards against accepting a set with a corrupt or missing chunk.
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
