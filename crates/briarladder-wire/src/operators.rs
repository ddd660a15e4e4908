//! What operators ask of a daemon, on the listener of the peers and with
//! their key.
//!
//! Ages are measured by the daemon's monotonic clock at the time of the
//! answer. The one wall-clock time is that since which a problem lasts,
//! which operators compare with their own records.
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

/// The most events of one page. At about 400 bytes each, a page stays below
/// the size limit of peers' messages.
pub const MAX_PAGE_EVENTS: usize = 2_000;

/// How far a planned stop of a daemon has come.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DaemonPhase {
    /// No stop is planned.
    #[display("running")]
    Running,
    /// The balancer is being told.
    #[display("announced")]
    Announced,
    /// New requests are refused; open ones end.
    #[display("draining")]
    Draining,
}

/// Whether a daemon takes requests.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DaemonReadiness {
    /// It does.
    #[display("ready")]
    Ready,
    /// It answers 503.
    #[display("not ready")]
    NotReady,
}

/// What is wrong with a daemon's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProblemStatus {
    /// The reason.
    pub reason: Arc<str>,
    /// Since when, in milliseconds since the Unix epoch.
    pub since_unix_ms: u64,
}

/// Another daemon as seen by the one that answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The run of the process; absent if only the platform's list names it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<Incarnation>,
    /// The state.
    pub state: MemberState,
    /// The time since the state last changed.
    pub state_for_ms: u64,
    /// The epoch it last had in force.
    pub epoch: u64,
}

/// One pool as used by the daemon that answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The pool.
    pub pool: PoolName,
    /// The role of its backend servers.
    pub role: Role,
    /// The slots that this daemon may use.
    pub slots_requests: u32,
    /// The requests that wait for one.
    pub queue_len_requests: u64,
    /// The requests that hold one.
    pub running_requests: u32,
}

/// The last load report of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReportStatus {
    /// The time since it arrived.
    pub age_ms: u64,
    /// The requests that ran or waited inside the server.
    pub load_requests: u32,
    /// The requests it can run at once.
    pub slots_requests: u32,
    /// The versions it has loaded.
    pub loaded_versions: Vec<ModelVersionName>,
}

/// The last failure at a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorStatus {
    /// What went wrong.
    pub reason: Arc<str>,
    /// The time since then.
    pub age_ms: u64,
}

/// One backend server as seen by the daemon that answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerStatus {
    /// The server.
    pub server: ServerName,
    /// Its pool.
    pub pool: PoolName,
    /// Its role.
    pub role: Role,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// How far it is from the daemon.
    pub distance: Distance,
    /// Whether it gets new work.
    pub state: ObservedState,
    /// For how long it has got none; absent while it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub out_for_ms: Option<u64>,
    /// The versions it is declared to have loaded.
    pub declared_versions: Vec<ModelVersionName>,
    /// For how long its loaded versions have differed from those.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub versions_differ_for_ms: Option<u64>,
    /// The attempts of this daemon that it runs.
    pub in_flight_requests: u32,
    /// The last report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<ReportStatus>,
    /// The last failure.
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
    /// The backend servers declared in it.
    pub declared_servers: u32,
}

/// One daemon and what it sees.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DaemonStatus {
    /// The VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// The run of the process.
    pub incarnation: Incarnation,
    /// How far a planned stop has come.
    pub phase: DaemonPhase,
    /// The time since the start.
    pub uptime_ms: u64,
    /// The epoch in force; absent if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// The newest epoch whose set is here whole, good or not.
    pub known_epoch: u64,
    /// The lowest epoch that may be in force.
    pub floor_epoch: u64,
    /// For how long some peer has had a newer epoch.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub behind_for_ms: Option<u64>,
    /// Whether it takes requests.
    pub readiness: DaemonReadiness,
    /// What is wrong with its configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub problem: Option<ProblemStatus>,
    /// All members, this daemon included.
    pub members: Vec<MemberStatus>,
    /// The zones of the configuration in force.
    pub zones: Vec<ZoneStatus>,
    /// The pools.
    pub pools: Vec<PoolStatus>,
    /// The backend servers in view: those of the daemon's zone, those it
    /// sends to, and those it ever asked.
    pub servers: Vec<ServerStatus>,
    /// The requests that are open.
    pub open_requests: u64,
    /// The tickets that can still be used or whose call runs.
    pub open_tickets: u64,
    /// The requests suspected of crashing backend servers; absent if the
    /// daemon keeps no account of them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub suspect_requests: Option<u64>,
}

/// Asks for a page of events.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct EventsQuery {
    /// The sequence to begin with.
    pub from_sequence: u64,
    /// The most events, up to [`MAX_PAGE_EVENTS`], which is taken if this
    /// is absent.
    pub limit_events: Option<usize>,
    /// Which events.
    pub filter: EventFilter,
}

/// The calls that a daemon answers to operators.
#[rpc(client, server)]
pub trait Operators {
    /// Returns the daemon's state and what it sees.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<DaemonStatus>;

    /// Returns a page of the daemon's timeline.
    #[method(name = "events")]
    async fn events(&self, query: EventsQuery) -> RpcResult<EventPage>;
}
