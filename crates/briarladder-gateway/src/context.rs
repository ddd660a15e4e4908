//! What the parts of a gateway share.

use std::{rc::Rc, sync::Arc};

use crate::{
    board::Board, dialect::Dialect, metrics::Metrics, peers::client::Peers,
    pool::Pool, stages::collector::Collector,
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
    /// Pieces of stages that this daemon collects.
    pub collector: Rc<Collector>,
    /// The name of the VM, for logs.
    pub vm: Arc<str>,
}
