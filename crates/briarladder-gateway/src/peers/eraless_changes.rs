//! The messages of [`super::changes`] of daemons that know no eras of the
//! store.
//!
//! Such a daemon compares revisions across a restore, which can't be mended
//! from outside. It is served within the era that this daemon knows, and its
//! own answers count as older than any era.

use std::sync::Arc;

use briarladder_core::fleet::{
    mirror::Mirror,
    store_version::{StoreVersion, UNKNOWN_ERA},
};
use serde::{Deserialize, Serialize};

use super::changes::{
    ChangesRequest, ChangesResponse, ConfigItem, RemovedItem, ServerItem,
};

/// The path of a request for store items.
pub const ERALESS_CHANGES_PATH: &str = "/peers/changes";

/// Requests the items that have changed after a revision.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct EralessRequest {
    /// The revision that the sender knows.
    pub after: u64,
    /// The long-poll timeout in milliseconds.
    pub wait_ms: u64,
}

impl EralessRequest {
    /// Returns the request for a version in the era of a copy. The sender
    /// gets a configuration that was written after its revision.
    #[must_use]
    pub fn in_era_of(self, mirror: &Mirror) -> ChangesRequest {
        let EralessRequest { after, wait_ms } = self;
        let after = mirror.version().at(after);
        let config = mirror.config().map(|config| config.stamp);
        let config = config.filter(|stamp| stamp.written_at <= after);
        ChangesRequest { after, config, wait_ms }
    }
}

/// Items of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EralessResponse {
    complete: bool,
    revision: u64,
    in_contact: bool,
    config: Option<EralessConfig>,
    names: Vec<Arc<str>>,
    servers: Vec<ServerItem>,
    removed: Vec<RemovedItem>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct EralessConfig {
    revision: u64,
    bytes: Vec<u8>,
}

impl From<ChangesResponse> for EralessResponse {
    fn from(response: ChangesResponse) -> EralessResponse {
        EralessResponse {
            complete: response.complete,
            revision: response.version.revision,
            in_contact: response.in_contact,
            config: response.config.map(|config| EralessConfig {
                revision: config.written_at.revision,
                bytes: config.bytes,
            }),
            names: response.names,
            servers: response.servers,
            removed: response.removed,
        }
    }
}

impl From<EralessResponse> for ChangesResponse {
    fn from(response: EralessResponse) -> ChangesResponse {
        let at = |revision| StoreVersion { era: UNKNOWN_ERA, revision };
        ChangesResponse {
            complete: response.complete,
            version: at(response.revision),
            in_contact: response.in_contact,
            config: response.config.map(|config| ConfigItem {
                written_at: at(config.revision),
                bytes: config.bytes,
            }),
            names: response.names,
            servers: response.servers,
            removed: response.removed,
            evacuated: None,
            cold: Vec::new(),
            software_versions: Vec::new(),
            slots: Vec::new(),
        }
    }
}
