//! What goes into and comes out of the router.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    names::{ModelVersionName, PoolName, ServerName, VmName, ZoneName},
    objects::snapshot::ResolvedServer,
    retry::AttemptFailure,
};

/// Where the daemon is and how much it keeps in view.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM, whose rendezvous order gives the subsets.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The members of a subset in the same zone.
    pub zone_subset_servers: usize,
    /// The members of a subset in other zones of the region.
    pub region_subset_servers: usize,
    /// The members of a subset in other regions.
    pub remote_subset_servers: usize,
    /// A member without a report for this long is polled.
    pub poll_interval: Duration,
    /// The same for a member without free slots, which gets no work and so
    /// sends no response that would show that it is free again.
    pub busy_poll_interval: Duration,
    /// The most polls that one call to [`Router::polls_due`] returns.
    pub max_polls: usize,
}

impl Settings {
    /// Creates the usual settings for a place.
    #[must_use]
    pub fn new(vm: VmName, zone: ZoneName) -> Settings {
        Settings {
            vm,
            zone,
            // With 208 daemons and 833 servers in a zone, a server is in
            // six subsets on average, and in none with a chance of 0.2%.
            zone_subset_servers: 24,
            region_subset_servers: 8,
            remote_subset_servers: 4,
            // A leaving server must get no new work after 3 s, so its
            // report has to be read before that.
            poll_interval: Duration::from_secs(2),
            busy_poll_interval: Duration::from_millis(250),
            // With a call every 100 ms and 400 bytes a poll, polls stay at
            // the 12 KB/s that the whole control traffic may take.
            max_polls: 3,
        }
    }
}

/// How far a backend server is from the daemon.
#[derive(
    Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Distance {
    /// In the same availability zone.
    Zone,
    /// In another zone of the same region.
    Region,
    /// In another region.
    OtherRegion,
}

/// The state of a backend server in the platform's list, which lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The VM is listed as live.
    Live,
    /// The VM is listed as leaving.
    Leaving,
    /// The VM is not listed.
    Absent,
}

/// Whether other requests may run beside a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// The usual case.
    Shared,
    /// The request is suspected of crashing servers, so it gets a server
    /// that runs nothing else.
    Alone,
}

/// Whether a request may use a link to another region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkUse {
    /// If the deadline needs it, nearer capacity is gone, or it is not
    /// billed.
    IfNeeded,
    /// Not at all.
    Never,
}

/// What an attempt needs.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The pool.
    pub pool: &'a PoolName,
    /// The version that the server must have loaded.
    pub model_version: Option<&'a ModelVersionName>,
    /// The hash of the prompt prefix, if a cached one would help.
    pub prefix_hash: Option<u64>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The expected time of this stage and the ones after it.
    pub estimate: Duration,
    /// Servers that must not be picked, because they were tried.
    pub exclude: &'a [ServerName],
    /// Whether other requests may run beside it.
    pub sharing: Sharing,
    /// Whether it may use a link to another region.
    pub link_use: LinkUse,
}

impl<'a> Query<'a> {
    /// Creates a query without special needs.
    #[must_use]
    pub fn new(
        pool: &'a PoolName,
        time_left: Duration,
        estimate: Duration,
    ) -> Query<'a> {
        Query {
            pool,
            model_version: None,
            prefix_hash: None,
            time_left,
            estimate,
            exclude: &[],
            sharing: Sharing::Shared,
            link_use: LinkUse::IfNeeded,
        }
    }
}

/// The backend server for an attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The backend server.
    pub server: Arc<ResolvedServer>,
    /// How far it is.
    pub distance: Distance,
    /// Why it was picked.
    pub kind: PickKind,
    /// As in the query.
    pub sharing: Sharing,
}

/// Why a backend server was picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickKind {
    /// Its load is the lower one of two.
    Load,
    /// It holds the prompt prefix.
    CachedPrefix,
    /// All servers are bad, and this one is the likeliest to recover.
    Fallback,
}

/// Why no backend server was picked.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum NoServer {
    /// The snapshot has no such pool.
    #[display("the pool is not in force; publish it or change the stage")]
    UnknownPool,
    /// No server has the version.
    #[display("no server has the model version; order it to be loaded")]
    ModelVersionMissing,
    /// All servers in reach are full.
    #[display("all servers in reach are busy; wait for a free slot")]
    AllBusy,
    /// Each server was excluded by the query.
    #[display("all servers were tried; fail the attempt")]
    AllExcluded,
    /// Each server is leaving.
    #[display("all servers are leaving; add servers to the pool")]
    AllLeaving,
    /// Only other regions have servers, and the deadline or the query rules
    /// out the link.
    #[display("only other regions have servers; allow the link or more time")]
    TooFar,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// With a complete answer.
    Answered,
    /// The daemon cancelled it, which says nothing of the server.
    Cancelled,
    /// It failed.
    Failed(AttemptFailure),
}

/// Why the load of a backend server is polled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollReason {
    /// No response brought a report within the interval.
    ReportDue,
    /// It was ejected; a report re-admits it.
    Probe,
}

/// A backend server whose load must be polled.
#[derive(Clone, Debug)]
pub struct Poll {
    /// The backend server.
    pub server: Arc<ResolvedServer>,
    /// Why it is polled.
    pub reason: PollReason,
}

/// The slots of a pool by effective load, over the members of the subset.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSlots {
    /// All slots of the daemon's subset in this region.
    pub near_slots_requests: u32,
    /// The servers of that subset.
    pub near_subset_servers: u32,
    /// All servers of the pool in this region.
    pub near_pool_servers: u32,
    /// The free slots in this region.
    pub near_free_requests: u32,
    /// The free slots in other regions.
    pub remote_free_requests: u32,
    /// The attempts of this daemon in flight, in all regions.
    pub in_flight_requests: u32,
}
