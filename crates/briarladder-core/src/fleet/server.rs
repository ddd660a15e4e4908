//! Backend servers as the platform lists them.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::server::{ListedServer, Servers};
//!
//! let mut servers = Servers::default();
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! servers.insert(server);
//! assert_eq!(servers.in_service("plans").len(), 1);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It is about to shut down and gets no new work.
    Draining,
}

/// A backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedServer {
    /// Its name. A restarted server usually has a new one.
    pub name: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// The version of its software, not of the weights that it serves; empty
    /// if unknown.
    pub software_version: Arc<str>,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Start time of its process in milliseconds since the Unix epoch, by the
    /// clock of the server; 0 if unknown. It identifies the process.
    pub born_ms: u64,
    /// The requests that it runs at a time; 0 if unknown.
    pub slots: u32,
}

impl ListedServer {
    /// Creates a ready server without a zone.
    #[must_use]
    pub fn new(name: &str, service: &str, address: SocketAddr) -> Self {
        ListedServer {
            name: Arc::from(name),
            service: Arc::from(service),
            address,
            zone: Arc::from(""),
            software_version: Arc::from(""),
            state: ServerState::Ready,
            born_ms: 0,
            slots: 0,
        }
    }
}

/// The listed servers, by name and by service.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    by_name: SortedMap<Arc<str>, Arc<ListedServer>>,
    by_service: SortedMap<Arc<str>, Vec<Arc<ListedServer>>>,
    change_count: u64,
}

impl Servers {
    /// Adds a server or replaces the one of its name.
    pub fn insert(&mut self, server: ListedServer) {
        if self.get(&server.name).is_some_and(|known| **known == server) {
            return;
        }
        self.remove(&server.name.clone());
        let server = Arc::new(server);
        self.by_service
            .get_or_insert_with(Arc::clone(&server.service), Vec::new)
            .push(Arc::clone(&server));
        self.by_name.insert(Arc::clone(&server.name), server);
        self.change_count += 1;
    }

    /// Removes a server and returns whether it was listed.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some(server) = self.by_name.remove(name) else {
            return false;
        };
        if let Some(list) = self.by_service.get_mut(&*server.service) {
            list.retain(|other| other.name != server.name);
        }
        self.change_count += 1;
        true
    }

    /// Returns the number of changes so far, to detect that cached decisions
    /// are stale.
    #[must_use]
    pub fn change_count(&self) -> u64 {
        self.change_count
    }

    /// Returns a server.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<ListedServer>> {
        self.by_name.get(name)
    }

    /// Returns the servers of a service, including draining ones.
    #[must_use]
    pub fn in_service(&self, service: &str) -> &[Arc<ListedServer>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the servers of a service that take new work.
    pub fn ready_in_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = &'a Arc<ListedServer>> + Clone {
        self.in_service(service)
            .iter()
            .filter(|server| server.state == ServerState::Ready)
    }

    /// Returns the number of servers.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether no server is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Iterates over all servers.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = &Arc<ListedServer>> {
        self.by_name.values()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a server that stays listed under its old service when it
    /// moves to another one.
    #[test]
    fn insert_moves_service() {
        let address = "127.0.0.1:1".parse().unwrap();
        let mut servers = Servers::default();
        servers.insert(ListedServer::new("s", "a", address));
        servers.insert(ListedServer::new("s", "b", address));
        assert!(servers.in_service("a").is_empty());
        assert_eq!(servers.in_service("b").len(), 1);
        assert!(servers.remove("s"));
        assert!(servers.in_service("b").is_empty() && servers.is_empty());
    }

    /// Guards against new work for a server that is draining.
    #[test]
    fn ready_in_service_skips_draining() {
        let address = "127.0.0.1:1".parse().unwrap();
        let mut servers = Servers::default();
        let mut draining = ListedServer::new("s", "a", address);
        draining.state = ServerState::Draining;
        servers.insert(draining);
        assert_eq!(servers.ready_in_service("a").count(), 0);
    }
}
