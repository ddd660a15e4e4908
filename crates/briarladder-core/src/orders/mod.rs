//! Reconciles the model versions loaded by engines with the desired state.
//!
//! The desired state is a pure function of a snapshot and a server name, so
//! every daemon derives the same. An [`OrderContext`] holds what one daemon
//! knows and decides whether it sends an order now.
//!
//! # Protection of the last ready server
//!
//! An order that unloads a needed version is sent only if another ready
//! server, the witness, has the version and no order can unload it there.
//! This includes orders of earlier epochs that may still arrive. Within an
//! epoch, a server keeps a version of its desired state. If no server should
//! have the version, the first one that has it, in the rendezvous order of
//! the version, keeps it. Two senders with stale reports therefore never
//! unload the witnesses of each other.
//!
//! The rule does not cover a witness that crashes after its report, nor an
//! engine that ignores fencing tokens and gets an old order from a sender
//! that was paused between reading the state of the engine and sending.
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

/// The longest time until all daemons have adopted an accepted epoch.
const ADOPTION_LIMIT: Duration = Duration::from_secs(17);

/// The state that an engine should reach under one epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DesiredState {
    /// The epoch, which is also the fencing token of orders.
    pub epoch: u64,
    /// The role of the server.
    pub role: Role,
    /// The versions that should be loaded, including the bases of adapters.
    pub model_versions: SortedSet<ModelVersionName>,
}

/// Returns the desired state of a server, or `None` if the snapshot does not
/// declare it as an engine. Only engines get orders.
#[must_use]
pub fn desired_state(
    snapshot: &Snapshot,
    server: &ServerName,
) -> Option<DesiredState> {
    let server = find_engine(snapshot, server)?;
    Some(DesiredState {
        epoch: snapshot.epoch,
        role: Role::Engine,
        model_versions: with_bases(snapshot, &server.model_versions),
    })
}

/// Returns the versions used by generation stages of any pipeline of the
/// snapshot, including the bases of adapters.
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

/// Returns how long the versions of a snapshot are needed after this daemon
/// has adopted the next epoch: until all daemons have adopted it and the last
/// request pinned to the snapshot has reached its deadline.
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

/// Returns a server of the snapshot if it is an engine.
fn find_engine<'a>(
    snapshot: &'a Snapshot,
    server: &ServerName,
) -> Option<&'a Arc<ResolvedServer>> {
    let pools = snapshot.pools.values();
    pools.filter(|pool| pool.role == Role::Engine).find_map(|pool| {
        let at = pool.servers.binary_search_by(|s| s.name.cmp(server)).ok()?;
        Some(&pool.servers[at])
    })
}

/// Returns versions together with the base versions of adapters.
fn with_bases(
    snapshot: &Snapshot,
    versions: &[ModelVersionName],
) -> SortedSet<ModelVersionName> {
    let bases = versions.iter().filter_map(|name| {
        snapshot.model_versions.get(name.as_str())?.base.as_ref()
    });
    versions.iter().chain(bases).cloned().collect()
}
