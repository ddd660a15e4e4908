//! The answers of [`super::changes`] in the forms of earlier versions of the
//! daemon, each of which begins with the form before it.
//!
//! A daemon of an earlier version is served all items that its form holds.
//! Its own answers count as older than any era, so that a listing in the
//! current form replaces them: the changes up to their version include items
//! that they don't hold.

use std::sync::Arc;

use briarladder_core::fleet::store_version::{StoreVersion, UNKNOWN_ERA};
use serde::{Deserialize, Serialize};

use super::changes::{
    ChangesResponse, ColdItem, ConfigItem, EvacuatedZone, RemovedItem,
    ServerItem,
};

/// The path of a request by a daemon that knows no slots of servers.
pub const SLOTLESS_CHANGES_PATH: &str = "/peers/changes-4";

/// The path of a request by a daemon that knows no software versions of
/// servers.
pub const VERSIONLESS_CHANGES_PATH: &str = "/peers/changes-3";

/// The path of a request by a daemon that knows no evacuations of zones.
pub const EVACUATIONLESS_CHANGES_PATH: &str = "/peers/changes-2";

/// Items of the store without slots of servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct SlotlessResponse {
    items: VersionlessResponse,
    software_versions: Vec<u32>,
}

impl From<ChangesResponse> for SlotlessResponse {
    fn from(mut response: ChangesResponse) -> SlotlessResponse {
        let software_versions =
            std::mem::take(&mut response.software_versions);
        SlotlessResponse { items: response.into(), software_versions }
    }
}

impl From<SlotlessResponse> for ChangesResponse {
    fn from(response: SlotlessResponse) -> ChangesResponse {
        let SlotlessResponse { items, software_versions } = response;
        ChangesResponse { software_versions, ..items.into() }
    }
}

/// Items of the store without slots and software versions of servers.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct VersionlessResponse {
    items: EvacuationlessResponse,
    evacuated: Option<Vec<EvacuatedZone>>,
    cold: Vec<ColdItem>,
}

impl From<ChangesResponse> for VersionlessResponse {
    fn from(mut response: ChangesResponse) -> VersionlessResponse {
        let evacuated = response.evacuated.take();
        let cold = std::mem::take(&mut response.cold);
        VersionlessResponse { items: response.into(), evacuated, cold }
    }
}

impl From<VersionlessResponse> for ChangesResponse {
    fn from(response: VersionlessResponse) -> ChangesResponse {
        // Evacuations of an unknown era can't be compared with later ones.
        let VersionlessResponse { items, evacuated: _, cold } = response;
        ChangesResponse { cold, ..items.into() }
    }
}

/// Items of the store without evacuations, and without how long servers stay
/// cold, slots and software versions of servers.
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
        ChangesResponse {
            complete: response.complete,
            version: StoreVersion { era: UNKNOWN_ERA, ..response.version },
            in_contact: response.in_contact,
            config: response.config,
            names: response.names,
            servers: response.servers,
            removed: response.removed,
            ..ChangesResponse::default()
        }
    }
}
