//! Background tasks that keep the daemon's views of the system up to date.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `config` | adopt new configurations |
//! | `membership` | detect which daemons are live |
//! | `load` | poll the load of backend servers, set the slots of each pool |
//! | `leases` | renew the leases for limits of open requests |
//! | `orders` | reconcile the model versions that engines have loaded |
//! | `notices` | spread notices of requests that crash backend servers |

use std::sync::Arc;

use tokio::task::JoinSet;

use crate::daemon::Daemon;

pub mod config;
pub mod leases;
pub mod live_peers;
pub mod load;
pub mod membership;
pub mod orders;
mod platform;
pub mod poison_notices;

pub use platform::PlatformClient;

/// Starts all background tasks. Dropping the set aborts them.
#[must_use]
pub fn start(daemon: &Arc<Daemon>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(config::watch_platform(Arc::clone(daemon)));
    tasks.spawn(config::follow_peers(Arc::clone(daemon)));
    tasks.spawn(membership::probe_peers(Arc::clone(daemon)));
    tasks.spawn(membership::sync_vm_list(Arc::clone(daemon)));
    tasks.spawn(leases::renew(Arc::clone(daemon)));
    tasks.spawn(orders::reconcile_engines(Arc::clone(daemon)));
    tasks.spawn(load::poll(Arc::clone(daemon)));
    tasks
}
