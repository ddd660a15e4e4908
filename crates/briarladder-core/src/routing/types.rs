//! Settings, queries and results of the router.

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    names::{ModelVersionName, PoolName, ServerName, VmName, ZoneName},
    objects::snapshot::ResolvedServer,
    retry::AttemptFailure,
};

/// The location of the daemon, the sizes of its subsets and its polling.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM of the daemon, whose rendezvous order gives the subsets.
    pub vm: VmName,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The number of subset members in the same zone.
    pub zone_subset_servers: usize,
    /// The number of subset members in other zones of the region.
    pub region_subset_servers: usize,
    /// The number of subset members in other regions.
    pub remote_subset_servers: usize,
    /// A subset member without a report for this long is polled.
    pub poll_interval: Duration,
    /// The same for a member without free slots. It gets no work, so no
    /// response brings a report that shows a free slot.
    pub busy_poll_interval: Duration,
    /// The most polls that one call to [`Router::take_due_polls`] returns.
    ///
    /// [`Router::take_due_polls`]: super::Router::take_due_polls
    pub max_polls: usize,
}

impl Settings {
    /// Creates the default settings of a daemon.
    #[must_use]
    pub fn new(vm: VmName, zone: ZoneName) -> Settings {
        Settings {
            vm,
            zone,
            // With 208 daemons and 833 servers in a zone, a server is in six
            // subsets on average, and in none with a probability of 0.2%.
            zone_subset_servers: 24,
            region_subset_servers: 8,
            remote_subset_servers: 4,
            // A leaving server must get no new work after 3 s, so its
            // report has to be read before that.
            poll_interval: Duration::from_secs(2),
            busy_poll_interval: Duration::from_millis(250),
            // At one call every 100 ms and 400 bytes a poll, polls take
            // 12 KB/s, which is the limit of all control traffic.
            max_polls: 3,
        }
    }
}

/// The network distance of a backend server from the daemon.
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

/// The state of a backend server in the platform's list. The list lags
/// behind the servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The VM is listed as live.
    Live,
    /// The VM is listed as leaving.
    Leaving,
    /// The VM is not listed.
    Absent,
}

/// Whether a request may share a server with others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// Other requests may run on the same server.
    Shared,
    /// The request may crash servers and gets one that runs nothing else.
    Exclusive,
}

/// Whether a request may use a link to another region.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkUse {
    /// If the deadline needs it, if no nearer server is left, or if the link
    /// is not billed.
    IfNeeded,
    /// Under no circumstances.
    Never,
}

/// The requirements of an attempt.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// The pool that runs the stage.
    pub pool: &'a PoolName,
    /// The version that the server must have loaded, if any.
    pub model_version: Option<&'a ModelVersionName>,
    /// The hash of the prompt prefix. Servers that have it in their prefix
    /// cache are preferred.
    pub prefix_hash: Option<u64>,
    /// The time until the request's deadline.
    pub time_left: Duration,
    /// The expected time of this stage and the ones after it.
    pub estimate: Duration,
    /// Servers that must not be picked, because they were tried before.
    pub exclude: &'a [ServerName],
    /// Whether other requests may run beside it.
    pub sharing: Sharing,
    /// Whether it may use a link to another region.
    pub link_use: LinkUse,
}

impl<'a> Query<'a> {
    /// Creates a query that any server of the pool meets.
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

/// The backend server picked for an attempt.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The backend server.
    pub server: Arc<ResolvedServer>,
    /// Its distance.
    pub distance: Distance,
    /// Why it was picked.
    pub kind: PickKind,
    /// As in the query.
    pub sharing: Sharing,
}

/// Why a backend server was picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickKind {
    /// It has the lower load of two random candidates.
    Load,
    /// It holds the prompt prefix.
    CachedPrefix,
    /// No server is usable, and this one is due for a probe first.
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
    /// No server in reach has a free slot.
    #[display("all servers in reach are busy; wait for a free slot")]
    AllBusy,
    /// The query excludes all servers.
    #[display("all servers were tried; fail the attempt")]
    AllExcluded,
    /// All servers are leaving.
    #[display("all servers are leaving; add servers to the pool")]
    AllLeaving,
    /// Only other regions have servers, and the deadline or the query
    /// excludes the link.
    #[display("only other regions have servers; allow the link or more time")]
    TooFar,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// With a complete response.
    Completed,
    /// The daemon cancelled it, which says nothing about the server.
    Cancelled,
    /// It failed.
    Failed(AttemptFailure),
}

/// Why the load of a backend server is polled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollReason {
    /// No response has brought a report within the interval.
    ReportDue,
    /// It is not usable; a report makes it usable again.
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

/// The slots of a pool, from the effective load of the subset members.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolSlots {
    /// All slots of the subset members in this region.
    pub near_slots_requests: u32,
    /// The number of subset members in this region.
    pub near_subset_servers: u32,
    /// The number of all servers of the pool in this region.
    pub near_pool_servers: u32,
    /// The free slots of the subset members in this region.
    pub near_free_requests: u32,
    /// The free slots of the subset members in other regions.
    pub remote_free_requests: u32,
    /// The attempts of this daemon that are in flight, in all regions.
    pub in_flight_requests: u32,
}
