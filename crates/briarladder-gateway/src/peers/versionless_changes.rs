//! The answer of [`super::changes`] between daemons of which one knows no
//! software versions of servers.
//!
//! Such a daemon is served all other items. Its own answers count as older
//! than any era, so that a listing with the versions replaces them.

use std::sync::Arc;

use briarladder_core::fleet::store_version::{StoreVersion, UNKNOWN_ERA};
use serde::{Deserialize, Serialize};

use super::changes::{
    ChangesResponse, ColdItem, ConfigItem, EvacuatedZone, RemovedItem,
    ServerItem,
};

/// The path of a request for store items.
pub const VERSIONLESS_CHANGES_PATH: &str = "/peers/changes-3";

/// Items of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionlessResponse {
    complete: bool,
    version: StoreVersion,
    in_contact: bool,
    config: Option<ConfigItem>,
    names: Vec<Arc<str>>,
    servers: Vec<ServerItem>,
    removed: Vec<RemovedItem>,
    evacuated: Option<Vec<EvacuatedZone>>,
    cold: Vec<ColdItem>,
}

impl From<ChangesResponse> for VersionlessResponse {
    fn from(response: ChangesResponse) -> VersionlessResponse {
        VersionlessResponse {
            complete: response.complete,
            version: response.version,
            in_contact: response.in_contact,
            config: response.config,
            names: response.names,
            servers: response.servers,
            removed: response.removed,
            evacuated: response.evacuated,
            cold: response.cold,
        }
    }
}

impl From<VersionlessResponse> for ChangesResponse {
    fn from(response: VersionlessResponse) -> ChangesResponse {
        let version = StoreVersion { era: UNKNOWN_ERA, ..response.version };
        ChangesResponse {
            complete: response.complete,
            version,
            in_contact: response.in_contact,
            config: response.config,
            names: response.names,
            servers: response.servers,
            removed: response.removed,
            // Evacuations of an unknown era can't be compared with later ones.
            evacuated: None,
            cold: response.cold,
            software_versions: Vec::new(),
            slots: Vec::new(),
        }
    }
}
