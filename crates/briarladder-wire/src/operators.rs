//! Queries of operators to a daemon. They use the daemon's listener for peers
//! and the peer key.
//!
//! Ages are measured with the daemon's monotonic clock at the time of the
//! response. Only the start of a configuration problem is a wall-clock time,
//! because operators compare it with their own records.
//!
//! # Example
//!
//! ```
//! use briarladder_wire::operators::EventsQuery;
//!
//! let query: EventsQuery =
//!     serde_json::from_str(r#"{"from_sequence": 7}"#).unwrap();
//! assert_eq!(query.limit_events, None);
//! ```

use std::{net::SocketAddr, sync::Arc};

use briarladder_core::{
    ids::Incarnation,
    membership::MemberState,
    names::{
        ModelVersionName, PoolName, RegionName, ServerName, VmName, ZoneName,
    },
    objects::Role,
    routing::{Distance, ObservedState},
    timeline::{EventFilter, EventPage},
};
use derive_more::Display;
use jsonrpsee::{core::RpcResult, proc_macros::rpc};
use serde::{Deserialize, Serialize};

/// The maximum number of events of one page. At about 400 bytes each, a page
/// stays below the size limit of messages between peers.
pub const MAX_PAGE_EVENTS: usize = 2_000;

/// The phase of a daemon's graceful shutdown.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// No shutdown has begun.
    #[display("running")]
    Running,
    /// The shutdown is announced to the load balancer. Requests are still
    /// accepted.
    #[display("announced")]
    Announced,
    /// New requests are refused, and open ones are completed.
    #[display("draining")]
    Draining,
}

/// Whether a daemon accepts requests.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DaemonReadiness {
    /// The daemon accepts requests.
    #[display("ready")]
    Ready,
    /// The daemon responds to requests with status 503.
    #[display("not ready")]
    NotReady,
}

/// A problem with a daemon's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemStatus {
    /// What is wrong with the configuration.
    pub reason: Arc<str>,
    /// When it began, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// A member as seen by the daemon that responds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which its daemon serves peers.
    pub address: SocketAddr,
    /// The run of its daemon; absent if it is known only from the platform's
    /// list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// The state of the member, as far as the daemon knows.
    pub state: MemberState,
    /// The time since the state last changed, in milliseconds.
    pub state_for_ms: u64,
    /// The highest epoch that it is known to have had in force.
    pub epoch: u64,
}

/// A pool as used by the daemon that responds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The role of its backend servers.
    pub role: Role,
    /// The number of slots that this daemon may use.
    pub slots_requests: u32,
    /// The number of requests that wait for a slot.
    pub queue_len_requests: u64,
    /// The number of requests that occupy a slot.
    pub running_requests: u32,
}

/// The last load report of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportStatus {
    /// The time since the report was received, in milliseconds.
    pub age_ms: u64,
    /// The number of requests that were running or queued in the server.
    pub load_requests: u32,
    /// The number of requests that it can run concurrently.
    pub slots_requests: u32,
    /// The model versions that it has loaded.
    pub loaded_versions: Vec<ModelVersionName>,
}

/// The last failure of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorStatus {
    /// The cause of the failure.
    pub reason: Arc<str>,
    /// The time since the failure, in milliseconds.
    pub age_ms: u64,
}

/// A backend server as seen by the daemon that responds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The backend server.
    pub server: ServerName,
    /// Its pool.
    pub pool: PoolName,
    /// Its role.
    pub role: Role,
    /// The address at which it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its distance from the daemon.
    pub distance: Distance,
    /// Whether it gets new work.
    pub state: ObservedState,
    /// How long it has got no new work, in milliseconds; absent while it gets
    /// work.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub out_for_ms: Option<u64>,
    /// The model versions that the configuration declares for it.
    pub declared_versions: Vec<ModelVersionName>,
    /// How long its loaded versions have differed from the declared ones, in
    /// milliseconds; absent while they match.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions_differ_for_ms: Option<u64>,
    /// The number of attempts of this daemon in flight at the server.
    pub in_flight_requests: u32,
    /// The last load report; absent if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportStatus>,
    /// The last failure; absent if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub last_error: Option<ErrorStatus>,
}

/// An availability zone of the configuration in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ZoneStatus {
    /// The zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The number of backend servers declared in it.
    pub declared_servers: u32,
}

/// The status of a daemon and its view of the system.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// The VM on which the daemon runs.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address at which it serves peers.
    pub address: SocketAddr,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// The phase of the graceful shutdown.
    pub phase: DaemonPhase,
    /// The time since the process started, in milliseconds.
    pub uptime_ms: u64,
    /// The epoch in force; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// The newest epoch whose set the daemon has completely, valid or not.
    pub known_epoch: u64,
    /// The epoch floor: the lowest epoch that may be put in force.
    pub floor_epoch: u64,
    /// How long the daemon has known that another daemon has a newer epoch,
    /// in milliseconds; absent if it knows of none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub behind_for_ms: Option<u64>,
    /// Whether it accepts requests.
    pub readiness: DaemonReadiness,
    /// The problem with its configuration; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<ProblemStatus>,
    /// All members, including this daemon.
    pub members: Vec<MemberStatus>,
    /// The zones of the configuration in force.
    pub zones: Vec<ZoneStatus>,
    /// The pools of the configuration in force.
    pub pools: Vec<PoolStatus>,
    /// The backend servers in view: those in the daemon's zone, those to which
    /// it sends requests, and those whose load it has polled or received.
    pub servers: Vec<ServerStatus>,
    /// The number of open requests.
    pub open_requests: u64,
    /// The number of tickets that can still be used or whose call is running.
    pub open_tickets: u64,
    /// The number of requests suspected of crashing backend servers; absent if
    /// the daemon does not track them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspect_requests: Option<u64>,
}

/// A query for a page of events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EventsQuery {
    /// The sequence number of the first event.
    pub from_sequence: u64,
    /// The maximum number of events, up to [`MAX_PAGE_EVENTS`], which is also
    /// the default.
    pub limit_events: Option<usize>,
    /// The filter that selects events.
    pub filter: EventFilter,
}

/// The RPC interface of a daemon for operators.
#[rpc(client, server)]
pub trait Operators {
    /// Returns the status of the daemon and its view of the system.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<DaemonStatus>;

    /// Returns a page of the daemon's timeline.
    #[method(name = "events")]
    async fn events(&self, query: EventsQuery) -> RpcResult<EventPage>;
}
