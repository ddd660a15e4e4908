//! The published configuration: splitting it into chunks, distributing it and
//! putting it in force.
//!
//! The platform publishes a [`Manifest`], which lists chunks by digest. Two
//! [`readers`] in each availability zone watch it; the other daemons fetch it
//! from peers. An [`ConfigStore`] decides which object set is in force.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::{
//!     config::{Bundle, ConfigStore, OfferOutcome},
//!     objects::Object,
//! };
//!
//! let fleet: Object = serde_json::from_str(
//!     r#"{"kind": "fleet", "ticket_lifetime_ms": 1000,
//!         "outcome_retention_ms": 1000, "weight_store_bytes_per_s": 1,
//!         "ticket_keys": [{"id": 1, "secret_hex":
//! "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"}]}"#,
//! )
//! .unwrap();
//! let bundle = Bundle::new(1, &[fleet]).unwrap();
//!
//! let now = Instant::now();
//! let mut store = ConfigStore::new();
//! store.confirm_floor(now);
//! store.offer_manifest(bundle.manifest.clone(), now);
//! let chunk = &bundle.chunks[0];
//! let outcome = store.offer_chunk(&chunk.digest, &chunk.bytes, now);
//! assert!(matches!(outcome, OfferOutcome::Adopted(_)));
//! ```

pub use bundle::{Bundle, BundleError, Chunk, MAX_CHUNK_BYTES, assemble};
pub use manifest::{
    ChunkName, ChunkRef, Digest, Manifest, ManifestDelta, ManifestError,
    ManifestId, ManifestResponse, ManifestSelector,
};
pub use peers::{Announcement, BehindPeer, PeerEpochs};
pub use readers::{
    DIRECT_READ_DELAY, NOTIFY_FANOUT, PlatformReadSchedule, READERS_PER_ZONE,
    is_reader, notify_targets, readers,
};
pub use store::{
    ConfigStore, IgnoreReason, OfferOutcome, Readiness, RejectReason,
    Rejection,
};

mod bundle;
mod manifest;
mod peers;
mod readers;
mod store;
