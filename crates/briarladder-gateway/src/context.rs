//! The components of a gateway.

use std::{rc::Rc, sync::Arc};

use crate::{
    blackboard::Blackboard,
    caller_memory::CallerMemory,
    dialect::Dialect,
    metrics::Metrics,
    peers::{client::PeerClient, watchdog::Watchdog},
    pool::ConnectionPool,
    relay::server::RelayServer,
    server_client::ServerClient,
    stages::{coordinator::Coordinator, release::ReleaseQueue},
};

/// The components of a gateway, shared by all its tasks.
pub struct Gateway {
    /// The state that the controllers maintain.
    pub blackboard: Rc<Blackboard>,
    /// The platform's wire formats.
    pub dialect: Rc<dyn Dialect>,
    /// Connections to backend servers.
    pub servers: Rc<ServerClient>,
    /// Connections to other daemons and the store, and idle ones to servers.
    pub pool: Rc<ConnectionPool>,
    /// What callers make the process hold.
    pub caller_memory: Arc<CallerMemory>,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The client for calls to other daemons.
    pub peers: PeerClient,
    /// The connections that this daemon relays for others.
    pub relay_server: Rc<RelayServer>,
    /// Pings the daemons that requests wait for.
    pub watchdog: Watchdog,
    /// Runs the stages of the cells that this daemon coordinates.
    pub coordinator: Rc<Coordinator>,
    /// Results to be released at other coordinators.
    pub releases: ReleaseQueue,
    /// The name of the VM, for logs.
    pub vm: Arc<str>,
}

impl Gateway {
    /// Drops the pooled connections if the process was suspended. Must be
    /// called before anything is sent.
    pub fn check_suspension(&self) {
        if self.blackboard.check_suspension() {
            self.pool.clear();
        }
    }
}
