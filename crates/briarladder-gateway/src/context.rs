//! What the parts of a gateway share.

use std::{rc::Rc, sync::Arc};

use crate::{
    board::Board,
    dialect::Dialect,
    metrics::Metrics,
    peers::{client::Peers, watchdog::Watchdog},
    pool::Pool,
    stages::{coordinator::Coordinator, release::Releases},
};

/// The parts of a gateway.
pub struct Gateway {
    /// What the controllers have learned.
    pub board: Rc<Board>,
    /// The platform's wire formats.
    pub dialect: Rc<dyn Dialect>,
    /// Connections.
    pub pool: Rc<Pool>,
    /// Metrics.
    pub metrics: Rc<Metrics>,
    /// Calls to peers.
    pub peers: Peers,
    /// Watches daemons on which requests wait.
    pub watchdog: Watchdog,
    /// Stages that this daemon coordinates.
    pub coordinator: Rc<Coordinator>,
    /// Results to be released at other daemons.
    pub releases: Releases,
    /// The name of the VM, for logs.
    pub vm: Arc<str>,
}

impl Gateway {
    /// Drops the connections of a process that did not run for a while. Call
    /// it before anything is sent.
    pub fn check_suspension(&self) {
        if self.board.check_suspension() {
            self.pool.clear();
        }
    }
}
