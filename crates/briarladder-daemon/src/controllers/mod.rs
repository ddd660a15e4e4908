//! The parts that keep the daemon's views fresh, one task each.
//!
//! | controller | view |
//! | --- | --- |
//! | `config` | the configuration in force |
//! | `membership` | which daemons are live |
//! | `load` | the load of backend servers, and the slots of each pool |
//! | `leases` | the leases of limits |
//! | `orders` | the state of engines |
//! | `notices` | requests that crash backend servers |

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::daemon::Daemon;

pub mod config;
pub mod leases;
pub mod live_peers;
pub mod load;
pub mod membership;
pub mod notices;
pub mod orders;
mod platform;

pub use platform::PlatformClient;

/// Starts all controllers. They stop when the set is dropped.
#[must_use]
pub fn start(daemon: &Arc<Daemon>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(config::watch_platform(Arc::clone(daemon)));
    tasks.spawn(config::follow_peers(Arc::clone(daemon)));
    tasks.spawn(membership::probe(Arc::clone(daemon)));
    tasks.spawn(membership::read_list(Arc::clone(daemon)));
    tasks.spawn(leases::renew(Arc::clone(daemon)));
    tasks.spawn(orders::keep_in_line(Arc::clone(daemon)));
    tasks.spawn(load::poll(Arc::clone(daemon)));
    tasks
}
