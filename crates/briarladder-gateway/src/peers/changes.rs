//! Messages that carry items of the store from daemon to daemon.
//!
//! A daemon that starts receives all backend servers in one message, thousands
//! in a large fleet. Names of services and zones are therefore sent once and
//! referenced by index.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use briarladder_core::{
    fleet::{
        evacuation::ZoneEntry,
        mirror::{ConfigStamp, Mirror, PublishedConfig, ServerEntry},
        server::{ListedServer, ServerState},
        store_version::StoreVersion,
    },
    sorted::SortedMap,
};
use serde::{Deserialize, Serialize};

/// The index of a name that is not known.
const UNKNOWN_NAME: u32 = u32::MAX;

/// The path of a request for store items.
pub const CHANGES_PATH: &str = "/peers/changes-5";

/// Requests the items that have changed after a version.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// The version that the sender knows.
    pub after: StoreVersion,
    /// The configuration that the sender knows.
    pub config: Option<ConfigStamp>,
    /// The long-poll timeout in milliseconds.
    pub wait_ms: u64,
}

impl ChangesRequest {
    /// Returns whether a copy has something that the sender lacks.
    #[must_use]
    pub fn is_behind(&self, mirror: &Mirror) -> bool {
        mirror.has_changes_after(self.after)
            || mirror.config_after(self.config).is_some()
    }

    /// Returns whether the sender knows an era of the store that a copy
    /// doesn't have yet.
    #[must_use]
    pub fn is_ahead(&self, mirror: &Mirror) -> bool {
        self.after.era > mirror.version().era
    }
}

/// Items of the store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChangesResponse {
    /// Whether these are all servers, because removals after the requested
    /// version are no longer known or it belongs to an earlier era.
    pub complete: bool,
    /// The version up to which the peer knows all changes. The versions of all
    /// servers belong to its era.
    pub version: StoreVersion,
    /// Whether the peer receives changes itself.
    pub in_contact: bool,
    /// The configuration, if the sender of the request has an older one.
    pub config: Option<ConfigItem>,
    /// Names of services, zones and software versions, referenced by index.
    pub(super) names: Vec<Arc<str>>,
    pub(super) servers: Vec<ServerItem>,
    pub(super) removed: Vec<RemovedItem>,
    /// All evacuated zones; `None` if the peer doesn't know them.
    pub(super) evacuated: Option<Vec<EvacuatedZone>>,
    /// How long the servers stay cold that are.
    pub(super) cold: Vec<ColdItem>,
    /// The software versions of the servers, in their order, as indices into
    /// `names`. Those of servers without an item are unknown.
    pub(super) software_versions: Vec<u32>,
    /// The slots of the servers, in their order. Those of servers without an
    /// item are unknown.
    pub(super) slots: Vec<u32>,
}

/// A configuration. Its own version is read from it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ConfigItem {
    /// The version of the store at which it was written.
    pub written_at: StoreVersion,
    /// The configuration, in the compressed format of the platform.
    pub bytes: Vec<u8>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct ServerItem {
    revision: u64,
    name: Arc<str>,
    /// An index into `names`.
    service: u32,
    /// An index into `names`.
    zone: u32,
    address: SocketAddr,
    state: ServerState,
    born_ms: u64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct RemovedItem {
    revision: u64,
    name: Arc<str>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct EvacuatedZone {
    revision: u64,
    zone: Arc<str>,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub(super) struct ColdItem {
    /// An index into `servers`.
    server: u32,
    /// As of the entry. The time since then is not subtracted, so that the
    /// server is never taken for warm too early.
    cold_left_ms: u32,
}

impl ChangesResponse {
    /// Creates the response to a request from a copy. A sender that is ahead
    /// gets no servers, only a configuration that it lacks.
    ///
    /// All evacuated zones are sent, because there are few.
    #[must_use]
    pub fn new(
        mirror: &Mirror,
        request: &ChangesRequest,
        in_contact: bool,
    ) -> ChangesResponse {
        let mut response = ChangesResponse {
            version: mirror.version(),
            in_contact,
            config: mirror.config_after(request.config).map(ConfigItem::from),
            evacuated: Some(evacuated_zones(mirror)),
            ..ChangesResponse::default()
        };
        if request.is_ahead(mirror) {
            return response;
        }
        if let Some(entries) = mirror.changes_since(request.after) {
            response.extend(&entries);
        } else {
            response.complete = true;
            response.extend(mirror.servers());
        }
        response
    }

    fn extend<'a>(
        &mut self,
        entries: impl IntoIterator<Item = &'a ServerEntry>,
    ) {
        for entry in entries {
            self.push(entry);
        }
    }

    fn push(&mut self, entry: &ServerEntry) {
        let revision = entry.version.revision;
        let name = Arc::clone(&entry.name);
        let Some(server) = &entry.server else {
            self.removed.push(RemovedItem { revision, name });
            return;
        };
        let item = ServerItem {
            revision,
            name,
            service: self.position(&server.service),
            zone: self.position(&server.zone),
            address: server.address,
            state: server.state,
            born_ms: server.born_ms,
        };
        if !entry.cold_left.is_zero() {
            let cold_left_ms = entry.cold_left.as_micros().div_ceil(1000);
            self.cold.push(ColdItem {
                server: u32::try_from(self.servers.len()).unwrap_or(u32::MAX),
                cold_left_ms: u32::try_from(cold_left_ms).unwrap_or(u32::MAX),
            });
        }
        self.servers.push(item);
        self.slots.push(server.slots);
        let version = &server.software_version;
        let version = if version.is_empty() {
            UNKNOWN_NAME
        } else {
            self.position(version)
        };
        self.software_versions.push(version);
    }

    fn position(&mut self, name: &Arc<str>) -> u32 {
        let known = self.names.iter().position(|known| known == name);
        let at = known.unwrap_or_else(|| {
            self.names.push(Arc::clone(name));
            self.names.len() - 1
        });
        u32::try_from(at).unwrap_or(u32::MAX)
    }

    /// Returns the number of items.
    #[must_use]
    pub fn item_count(&self) -> usize {
        self.servers.len()
            + self.removed.len()
            + usize::from(self.config.is_some())
    }

    /// Returns the list of all evacuated zones, or `None` if the peer doesn't
    /// know them.
    #[must_use]
    pub fn take_evacuations(&mut self) -> Option<Vec<ZoneEntry>> {
        let version = self.version;
        let entry = |item: EvacuatedZone| {
            ZoneEntry::evacuated(&item.zone, version.at(item.revision))
        };
        Some(self.evacuated.take()?.into_iter().map(entry).collect())
    }

    /// Returns the entries of servers, without those that reference a missing
    /// name.
    #[must_use]
    pub fn into_servers(self) -> Vec<ServerEntry> {
        let ChangesResponse {
            names,
            servers,
            removed,
            version,
            cold,
            software_versions,
            slots,
            ..
        } = self;
        let name = |at: u32| names.get(usize::try_from(at).ok()?).cloned();
        let software_version = |at: u32| {
            let at = software_versions.get(usize::try_from(at).ok()?)?;
            name(*at)
        };
        let slots_of = |at: u32| slots.get(usize::try_from(at).ok()?).copied();
        let cold: SortedMap<u32, u32> =
            cold.iter().map(|item| (item.server, item.cold_left_ms)).collect();
        let cold_left = |at: u32| {
            let cold_left_ms = cold.get(&at).copied().unwrap_or(0);
            Duration::from_millis(cold_left_ms.into())
        };
        let servers = (0..).zip(servers).filter_map(|(at, item)| {
            let server = ListedServer {
                service: name(item.service)?,
                zone: name(item.zone)?,
                name: item.name,
                address: item.address,
                state: item.state,
                born_ms: item.born_ms,
                software_version: software_version(at).unwrap_or_default(),
                slots: slots_of(at).unwrap_or_default(),
            };
            Some(ServerEntry {
                name: Arc::clone(&server.name),
                version: version.at(item.revision),
                server: Some(server),
                cold_left: cold_left(at),
            })
        });
        let removed = removed.into_iter().map(|item| ServerEntry {
            name: item.name,
            version: version.at(item.revision),
            server: None,
            cold_left: Duration::ZERO,
        });
        servers.chain(removed).collect()
    }
}

fn evacuated_zones(mirror: &Mirror) -> Vec<EvacuatedZone> {
    let zones = mirror.evacuations().iter();
    zones
        .map(|(zone, version)| EvacuatedZone {
            revision: version.revision,
            zone: Arc::clone(zone),
        })
        .collect()
}

impl From<&PublishedConfig> for ConfigItem {
    fn from(config: &PublishedConfig) -> ConfigItem {
        ConfigItem {
            written_at: config.stamp.written_at,
            bytes: config.bytes.to_vec(),
        }
    }
}

#[cfg(test)]
mod tests;
