//! Messages that carry items of the store from daemon to daemon.
//!
//! A daemon that starts receives all backend servers in one message, thousands
//! in a large fleet. Names of services and zones are therefore sent once and
//! referenced by index.

use std::{net::SocketAddr, sync::Arc};

use briarladder_core::fleet::{
    mirror::{Item, ItemKey, PublishedValue},
    server::{ListedServer, ServerState},
};
use serde::{Deserialize, Serialize};

/// The path of a request for store items.
pub const CHANGES_PATH: &str = "/peers/changes";

/// Requests the items that have changed after a revision.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ChangesRequest {
    /// The revision that the sender knows.
    pub after: u64,
    /// The long-poll timeout in milliseconds.
    pub wait_ms: u64,
}

/// Items of the store.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ChangesResponse {
    /// Whether these are all items, because removals after the requested
    /// revision are no longer known.
    pub complete: bool,
    /// The revision up to which the peer knows all changes.
    pub revision: u64,
    /// Whether the peer receives changes itself.
    pub in_contact: bool,
    /// The configuration.
    config: Option<ConfigItem>,
    /// Names of services and zones, referenced by index.
    names: Vec<Arc<str>>,
    servers: Vec<ServerItem>,
    removed: Vec<RemovedItem>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ConfigItem {
    revision: u64,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ServerItem {
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
struct RemovedItem {
    revision: u64,
    name: Arc<str>,
}

impl ChangesResponse {
    /// Creates a response with these items.
    #[must_use]
    pub fn from_items<'a>(
        items: impl IntoIterator<Item = &'a Item>,
    ) -> ChangesResponse {
        let mut response = ChangesResponse::default();
        for item in items {
            response.push(item);
        }
        response
    }

    fn push(&mut self, item: &Item) {
        let revision = item.revision;
        match (&item.key, &item.value) {
            (_, Some(PublishedValue::Config(bytes))) => {
                let bytes = bytes.to_vec();
                self.config = Some(ConfigItem { revision, bytes });
            }
            (_, Some(PublishedValue::Server(server))) => {
                let item = ServerItem {
                    revision,
                    name: Arc::clone(&server.name),
                    service: self.position(&server.service),
                    zone: self.position(&server.zone),
                    address: server.address,
                    state: server.state,
                    born_ms: server.born_ms,
                };
                self.servers.push(item);
            }
            (ItemKey::Server(name), None) => {
                let name = Arc::clone(name);
                self.removed.push(RemovedItem { revision, name });
            }
            // A removed configuration stays in force.
            (ItemKey::Config, None) => {}
        }
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

    /// Returns the items, without servers that reference a missing name.
    #[must_use]
    pub fn into_items(self) -> Vec<Item> {
        let ChangesResponse { names, config, servers, removed, .. } = self;
        let name = |at: u32| names.get(usize::try_from(at).ok()?).cloned();
        let config = config.map(|ConfigItem { revision, bytes }| Item {
            key: ItemKey::Config,
            revision,
            value: Some(PublishedValue::Config(bytes.into())),
        });
        let servers = servers.into_iter().filter_map(|item| {
            let server = ListedServer {
                service: name(item.service)?,
                zone: name(item.zone)?,
                name: item.name,
                address: item.address,
                state: item.state,
                born_ms: item.born_ms,
            };
            Some(Item {
                key: ItemKey::Server(Arc::clone(&server.name)),
                revision: item.revision,
                value: Some(PublishedValue::Server(server)),
            })
        });
        let removed = removed.into_iter().map(|item| Item {
            key: ItemKey::Server(item.name),
            revision: item.revision,
            value: None,
        });
        config.into_iter().chain(servers).chain(removed).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn server(number: usize) -> Item {
        let name = format!("i-{number:08x}");
        let address = SocketAddr::from(([10, 1, 64, 9], 8080));
        let mut server = ListedServer::new(&name, "engines", address);
        server.zone = Arc::from(format!("zone-{}", number % 12));
        server.born_ms = 1_700_000_000_000;
        Item {
            key: ItemKey::Server(Arc::clone(&server.name)),
            revision: 400_000,
            value: Some(PublishedValue::Server(server)),
        }
    }

    /// Guards against items that are altered by encoding, and against one
    /// invalid reference that loses the other items.
    #[test]
    fn items_round_trip() {
        let removed = Item { value: None, ..server(3) };
        let config = Item {
            key: ItemKey::Config,
            revision: 7,
            value: Some(PublishedValue::Config(Arc::from(&b"{}"[..]))),
        };
        let sent = [config, server(1), server(2), removed];
        let mut response = ChangesResponse::from_items(&sent);
        assert_eq!(response.item_count(), 4);
        let bytes = postcard::to_stdvec(&response).unwrap();
        let read: ChangesResponse = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(read.into_items(), sent);
        response.servers[0].zone = 99;
        assert_eq!(response.into_items().len(), 3);
    }

    /// Guards against a list of all backend servers at the target fleet size
    /// that takes long on the link of a small VM: 10 Mbit/s carry half a
    /// megabyte in 400 ms.
    #[test]
    fn all_servers_are_small() {
        let servers: Vec<Item> = (0..10_000).map(server).collect();
        let bytes =
            postcard::to_stdvec(&ChangesResponse::from_items(&servers))
                .unwrap();
        assert!(bytes.len() < 500_000, "{} bytes", bytes.len());
    }
}
