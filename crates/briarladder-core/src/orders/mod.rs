//! The desired state of engines, and who orders it.
//!
//! The desired state is a pure function of a snapshot and a server name, so
//! every daemon derives the same. A [`OrderContext`] holds what one daemon
//! knows, and decides whether it sends an order now.
//!
//! # Protection of the last ready server
//!
//! An order that unloads a needed version is only sent if another ready
//! server holds the version and no order, of this epoch or of an earlier one
//! that may still arrive, unloads it there. Within an epoch, a server keeps a
//! version that it is to have, and the first holder in the rendezvous order
//! of a version keeps it where no server is to have it. Two senders with
//! stale reports therefore never unload each other's witness.
//!
//! The rule cannot cover a witness that crashes after it reported, nor an
//! engine that ignores fencing tokens and gets an old order from a sender
//! that was paused between reading the engine's state and sending.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{
//!     names::ServerName,
//!     objects::{Object, snapshot::Snapshot},
//!     orders,
//! };
//!
//! let json = r#"[{
//!     "kind": "fleet", "ticket_keys": [], "ticket_lifetime_ms": 1000,
//!     "outcome_retention_ms": 1000, "weight_store_bytes_per_s": 1000
//! }]"#;
//! let objects: Vec<Object> = serde_json::from_str(json).unwrap();
//! let snapshot = Snapshot::resolve(1, &objects).unwrap();
//! let server = ServerName::new("engine-1").unwrap();
//! assert!(orders::desired_state(&snapshot, &server).is_none());
//! ```

mod decide;
mod schedule;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;

pub use decide::{
    OrderContext, OrderDecision, OrderProgress, PlannedOrder, RESEND_AFTER,
    STANDBY_DELAY, Verification, WaitReason, sender_order,
};
pub use schedule::LoadSchedule;

use std::{sync::Arc, time::Duration};

use crate::{
    names::{ModelVersionName, ServerName},
    objects::{
        Role, Work,
        snapshot::{ResolvedServer, Snapshot},
    },
    sorted::SortedSet,
};

/// The longest time until an accepted epoch is in force everywhere.
const ADOPTION_LIMIT: Duration = Duration::from_secs(17);

/// The state that an engine should come to under one epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    /// The epoch; also the fencing token of orders.
    pub epoch: u64,
    /// The role.
    pub role: Role,
    /// The versions to have loaded, with the bases of adapters.
    pub model_versions: SortedSet<ModelVersionName>,
}

/// Returns the desired state of a server, or `None` if the snapshot does not
/// declare it as an engine. Such servers get no orders.
#[must_use]
pub fn desired_state(
    snapshot: &Snapshot,
    server: &ServerName,
) -> Option<DesiredState> {
    let server = find(snapshot, server)?;
    Some(DesiredState {
        epoch: snapshot.epoch,
        role: Role::Engine,
        model_versions: with_bases(snapshot, &server.model_versions),
    })
}

/// Returns the versions for which some pipeline of the snapshot generates,
/// with the bases of adapters.
#[must_use]
pub fn needed_versions(snapshot: &Snapshot) -> SortedSet<ModelVersionName> {
    let stages = snapshot.pipelines.values().flat_map(|p| &p.stages);
    let versions: Vec<ModelVersionName> = stages
        .filter_map(|stage| match &stage.stage.work {
            Work::Generate { model_version, .. } => Some(model_version),
            _ => None,
        })
        .cloned()
        .collect();
    with_bases(snapshot, &versions)
}

/// Returns how long a snapshot's versions stay needed after the next epoch
/// came into force here: until every daemon has adopted that epoch and the
/// last request pinned to the old one reached its deadline.
#[must_use]
pub fn pin_duration(snapshot: &Snapshot) -> Duration {
    let deadlines = snapshot.pipelines.values().map(|p| p.deadline);
    ADOPTION_LIMIT + deadlines.max().unwrap_or_default()
}

/// Iterates over the engines of a snapshot.
fn engines(snapshot: &Snapshot) -> impl Iterator<Item = &Arc<ResolvedServer>> {
    snapshot
        .pools
        .values()
        .filter(|pool| pool.role == Role::Engine)
        .flat_map(|pool| &pool.servers)
}

fn find<'a>(
    snapshot: &'a Snapshot,
    server: &ServerName,
) -> Option<&'a Arc<ResolvedServer>> {
    let pools = snapshot.pools.values();
    pools.filter(|pool| pool.role == Role::Engine).find_map(|pool| {
        let at = pool.servers.binary_search_by(|s| s.name.cmp(server)).ok()?;
        Some(&pool.servers[at])
    })
}

/// Adds the version that each adapter is loaded on.
fn with_bases(
    snapshot: &Snapshot,
    versions: &[ModelVersionName],
) -> SortedSet<ModelVersionName> {
    let bases = versions.iter().filter_map(|name| {
        snapshot.model_versions.get(name.as_str())?.base.as_ref()
    });
    versions.iter().chain(bases).cloned().collect()
}
