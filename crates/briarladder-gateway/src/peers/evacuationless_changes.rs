//! The answer of [`super::changes`] between daemons of which one knows no
//! evacuations of zones.
//!
//! Such a daemon is served all other items. Its own answers count as older
//! than any era: the changes up to their version include evacuations that they
//! don't hold.

use std::sync::Arc;

use briarladder_core::fleet::store_version::{StoreVersion, UNKNOWN_ERA};
use serde::{Deserialize, Serialize};

use super::changes::{ChangesResponse, ConfigItem, RemovedItem, ServerItem};

/// The path of a request for store items.
pub const EVACUATIONLESS_CHANGES_PATH: &str = "/peers/changes-2";

/// Items of the store.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EvacuationlessResponse {
    complete: bool,
    version: StoreVersion,
    in_contact: bool,
    config: Option<ConfigItem>,
    names: Vec<Arc<str>>,
    servers: Vec<ServerItem>,
    removed: Vec<RemovedItem>,
}

impl From<ChangesResponse> for EvacuationlessResponse {
    fn from(response: ChangesResponse) -> EvacuationlessResponse {
        EvacuationlessResponse {
            complete: response.complete,
            version: response.version,
            in_contact: response.in_contact,
            config: response.config,
            names: response.names,
            servers: response.servers,
            removed: response.removed,
        }
    }
}

impl From<EvacuationlessResponse> for ChangesResponse {
    fn from(response: EvacuationlessResponse) -> ChangesResponse {
        let version = StoreVersion { era: UNKNOWN_ERA, ..response.version };
        ChangesResponse {
            complete: response.complete,
            version,
            in_contact: response.in_contact,
            config: response.config,
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
