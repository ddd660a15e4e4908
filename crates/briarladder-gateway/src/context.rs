//! The components of a gateway.

use std::{rc::Rc, sync::Arc};

use crate::{
    board::Board,
    dialect::Dialect,
    metrics::Metrics,
    peers::{client::Peers, watchdog::Watchdog},
    pool::Pool,
    stages::{coordinator::Coordinator, release::Releases},
};

/// The components of a gateway, shared by all its tasks.
pub struct Gateway {
    /// The state that the controllers maintain.
    pub board: Rc<Board>,
    /// The platform's wire formats.
    pub dialect: Rc<dyn Dialect>,
    /// HTTP client connections.
    pub pool: Rc<Pool>,
    /// The metrics of the process.
    pub metrics: Rc<Metrics>,
    /// The client for calls to other daemons.
    pub peers: Peers,
    /// Pings the daemons that requests wait for.
    pub watchdog: Watchdog,
    /// Runs the stages of the cells that this daemon coordinates.
    pub coordinator: Rc<Coordinator>,
    /// Results to be released at other coordinators.
    pub releases: Releases,
    /// The name of the VM, for logs.
    pub vm: Arc<str>,
}

impl Gateway {
    /// Drops the pooled connections if the process was suspended. Must be
    /// called before anything is sent.
    pub fn check_suspension(&self) {
        if self.board.check_suspension() {
            self.pool.clear();
        }
    }
}
