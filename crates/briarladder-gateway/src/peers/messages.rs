//! Messages between daemons.
//!
//! They are encoded with postcard, which has no optional fields: a changed
//! message gets a new path, and the old path is served for as long as daemons
//! of the earlier version may run.

use std::{net::SocketAddr, sync::Arc};

use briarladder_core::fleet::{
    cells::Cell,
    config::StageSpec,
    crash_tracker::{
        CrashDigest, CrashNotice, CrashReport, Feature, Fingerprint,
        ServerIncarnation,
    },
    peers::{GossipMessage, Member},
    residency::AllowedRegions,
    server_limits::LimitNotice,
    stage_waits::CellWaits,
};
use serde::{Deserialize, Serialize};

/// The path of a gossip exchange.
pub const EXCHANGE_PATH: &str = "/peers/exchange-5";

/// The path of a gossip exchange of daemons that don't compare crashes.
pub const WAITS_EXCHANGE_PATH: &str = "/peers/exchange-4";

/// The path of a gossip exchange of daemons that know one wait for all
/// services of a cell.
pub const LIMITS_EXCHANGE_PATH: &str = "/peers/exchange-3";

/// The path of a gossip exchange of daemons that know no limits of servers.
pub const CRASHES_EXCHANGE_PATH: &str = "/peers/exchange-2";

/// The path of a gossip exchange of daemons that track only whole requests.
pub const REQUEST_CRASHES_EXCHANGE_PATH: &str = "/peers/exchange";

/// The path of a comparison of the members of some zones.
pub const COMPARE_PATH: &str = "/peers/compare";

/// The path of a comparison of the crashes that two daemons know.
pub const COMPARE_CRASHES_PATH: &str = "/peers/compare-crashes";

/// The path for sending crashes that the receiver lacks.
pub const CRASHES_PATH: &str = "/peers/crashes";

/// The path of a request for a place at a server that limits its requests.
pub const PLACE_PATH: &str = "/peers/place";

/// The path for sending members that the receiver lacks.
pub const MEMBERS_PATH: &str = "/peers/members";

/// The path of an indirect probe: whether another daemon reaches a silent one.
pub const CHECK_PATH: &str = "/peers/check";

/// The path of a request to run all stages of a caller's request.
pub const STAGES_PATH: &str = "/peers/stages";

/// The path of a request to run all stages of a caller's request that is bound
/// to regions.
pub const REGIONAL_STAGES_PATH: &str = "/peers/regional-stages";

/// The path of a release of results.
pub const RELEASE_PATH: &str = "/peers/release";

/// The path of a ping.
pub const PING_PATH: &str = "/peers/ping";

/// A gossip message, sent in both directions of an exchange.
#[derive(Debug, Deserialize, Serialize)]
pub struct GossipEnvelope {
    /// Membership and heartbeats.
    pub exchange: GossipMessage,
    /// The newest crashes of servers, by the features of the requests that
    /// they were processing.
    pub crashes: Vec<CrashNotice>,
    /// The limits that servers have named, and those that have ended.
    pub limits: Vec<LimitNotice>,
    /// The newest waits at the coordinators of cells.
    pub stage_waits: Vec<CellWaits>,
    /// Tells whether the sender knows other crashes; `None` from daemons that
    /// don't compare them.
    pub crash_digest: Option<CrashDigest>,
}

/// The gossip message of daemons that don't compare crashes.
#[derive(Debug, Deserialize, Serialize)]
pub struct WaitsEnvelope {
    /// Membership and heartbeats.
    pub exchange: GossipMessage,
    /// The newest crashes of servers, by the features of the requests that
    /// they were processing.
    pub crashes: Vec<CrashNotice>,
    /// The limits that servers have named, and those that have ended.
    pub limits: Vec<LimitNotice>,
    /// The newest waits at the coordinators of cells.
    pub stage_waits: Vec<CellWaits>,
}

impl From<GossipEnvelope> for WaitsEnvelope {
    fn from(envelope: GossipEnvelope) -> WaitsEnvelope {
        let GossipEnvelope {
            exchange,
            crashes,
            limits,
            stage_waits,
            crash_digest: _,
        } = envelope;
        WaitsEnvelope { exchange, crashes, limits, stage_waits }
    }
}

impl From<WaitsEnvelope> for GossipEnvelope {
    fn from(envelope: WaitsEnvelope) -> GossipEnvelope {
        let WaitsEnvelope { exchange, crashes, limits, stage_waits } =
            envelope;
        let crash_digest = None;
        GossipEnvelope { exchange, crashes, limits, stage_waits, crash_digest }
    }
}

/// The gossip message of daemons that know one wait for all services of a
/// cell.
#[derive(Debug, Deserialize, Serialize)]
pub struct LimitsEnvelope {
    /// Membership and heartbeats.
    pub exchange: GossipMessage,
    /// The newest crashes of servers, by the features of the requests that
    /// they were processing.
    pub crashes: Vec<CrashNotice>,
    /// The limits that servers have named, and those that have ended.
    pub limits: Vec<LimitNotice>,
}

impl From<WaitsEnvelope> for LimitsEnvelope {
    fn from(envelope: WaitsEnvelope) -> LimitsEnvelope {
        let WaitsEnvelope { exchange, crashes, limits, stage_waits: _ } =
            envelope;
        LimitsEnvelope { exchange, crashes, limits }
    }
}

impl From<LimitsEnvelope> for WaitsEnvelope {
    fn from(envelope: LimitsEnvelope) -> WaitsEnvelope {
        let LimitsEnvelope { exchange, crashes, limits } = envelope;
        let stage_waits = Vec::new();
        WaitsEnvelope { exchange, crashes, limits, stage_waits }
    }
}

/// The gossip message of daemons that know no limits of servers.
#[derive(Debug, Deserialize, Serialize)]
pub struct CrashesEnvelope {
    /// Membership and heartbeats.
    pub exchange: GossipMessage,
    /// The newest crashes of servers, by the features of the requests that
    /// they were processing.
    pub crashes: Vec<CrashNotice>,
}

impl From<LimitsEnvelope> for CrashesEnvelope {
    fn from(envelope: LimitsEnvelope) -> CrashesEnvelope {
        let LimitsEnvelope { exchange, crashes, limits: _ } = envelope;
        CrashesEnvelope { exchange, crashes }
    }
}

impl From<CrashesEnvelope> for LimitsEnvelope {
    fn from(envelope: CrashesEnvelope) -> LimitsEnvelope {
        let CrashesEnvelope { exchange, crashes } = envelope;
        LimitsEnvelope { exchange, crashes, limits: Vec::new() }
    }
}

/// The gossip message of daemons that track only whole requests.
#[derive(Debug, Deserialize, Serialize)]
pub struct RequestCrashesEnvelope {
    /// Membership and heartbeats.
    pub exchange: GossipMessage,
    /// The newest crashes of servers.
    pub crashes: Vec<RequestCrashes>,
}

/// The server processes that ended while they processed a request.
#[derive(Debug, Deserialize, Serialize)]
pub struct RequestCrashes {
    /// The request, independent of its id.
    pub content: Fingerprint,
    /// The processes.
    pub incarnations: Vec<ServerIncarnation>,
}

impl From<CrashesEnvelope> for RequestCrashesEnvelope {
    /// Leaves out crashes that are cleared or are not those of whole requests.
    fn from(envelope: CrashesEnvelope) -> RequestCrashesEnvelope {
        let CrashesEnvelope { exchange, crashes } = envelope;
        let whole = crashes.into_iter().filter(|n| n.feature.is_request());
        let crashes = whole.map(|notice| RequestCrashes {
            content: notice.feature.fingerprint,
            incarnations: notice
                .crashes
                .iter()
                .filter(|crash| !crash.cleared)
                .map(|crash| crash.incarnation)
                .collect(),
        });
        RequestCrashesEnvelope { exchange, crashes: crashes.collect() }
    }
}

impl From<RequestCrashesEnvelope> for CrashesEnvelope {
    fn from(envelope: RequestCrashesEnvelope) -> CrashesEnvelope {
        let RequestCrashesEnvelope { exchange, crashes } = envelope;
        let crashes = crashes.into_iter().map(|crashes| CrashNotice {
            feature: Feature::from_request_fingerprint(crashes.content),
            crashes: crashes
                .incarnations
                .into_iter()
                .map(|incarnation| CrashReport {
                    incarnation,
                    age_ms: 0,
                    cleared: false,
                })
                .collect(),
        });
        CrashesEnvelope { exchange, crashes: crashes.collect() }
    }
}

/// A request for a place at a server that limits its requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlaceRequest {
    /// The name of the server.
    pub server: Arc<str>,
    /// Start time of its process.
    pub born_ms: u64,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u8,
}

/// The response to a request for a place.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct PlaceResponse {
    /// Whether the receiver of the response may send one request.
    pub granted: bool,
}

/// Crashes that the receiver lacks.
#[derive(Debug, Deserialize, Serialize)]
pub struct CrashList {
    /// The crashes.
    pub crashes: Vec<CrashNotice>,
}

/// Members that the receiver lacks.
#[derive(Debug, Deserialize, Serialize)]
pub struct MemberList {
    /// The members.
    pub members: Vec<Member>,
}

/// Asks the receiver to ping a daemon.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeRequest {
    /// The peer address of the daemon.
    pub address: SocketAddr,
}

/// The result of an indirect probe.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct ProbeResponse {
    /// Whether the daemon responded.
    pub reached: bool,
}

/// A request to run all stages of a caller's request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StagesRequest {
    /// The cell whose servers run the stages.
    pub cell: Cell,
    /// The daemon that has handed the request over. It may be shutting down,
    /// and the receiver may not know yet that it gave up its duties.
    pub moved_by: Option<Member>,
    /// The caller's attempt id.
    pub attempt: Arc<str>,
    /// The stages of the route.
    pub stages: Vec<StageSpec>,
    /// The number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// The caller's input for the first stages.
    pub key: Option<Arc<str>>,
    /// The zone where the results are needed.
    pub home: Arc<str>,
    /// Whether the request can also run in another zone.
    pub movable: bool,
    /// The rank; 0 is the most urgent.
    pub rank: u8,
    /// The time until the results are needed for the request to meet its
    /// latency target; negative if it has passed.
    pub target_ms: i64,
    /// The time until the results are no longer useful.
    pub left_ms: u64,
}

/// A request to run all stages of a caller's request on the servers of some
/// regions. A daemon that doesn't know it would use servers elsewhere, so it
/// has a path of its own.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct RegionalStagesRequest {
    /// The regions of the cell.
    pub regions: Vec<Arc<str>>,
    /// The request; its cell is that of all zones.
    pub request: StagesRequest,
}

impl RegionalStagesRequest {
    /// Returns the message for a request whose cell is restricted to regions;
    /// `None` if the cell isn't.
    #[must_use]
    pub fn new(request: &StagesRequest) -> Option<RegionalStagesRequest> {
        let regions = request.cell.regions.names()?.to_vec();
        Some(RegionalStagesRequest { regions, request: request.clone() })
    }

    /// Returns the request, whose cell is restricted to the regions.
    #[must_use]
    pub fn into_request(self) -> StagesRequest {
        let regions = AllowedRegions::new(self.regions);
        StagesRequest { cell: Cell::in_regions(regions), ..self.request }
    }
}

/// The outcome of the stages of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StagesResponse {
    /// The outcome.
    pub outcome: StagesOutcome,
    /// How long a new request would wait for its stages to start.
    pub wait_ms: u64,
}

/// The outcome of the stages of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StagesOutcome {
    /// All stages are complete.
    Done {
        /// The id of the results at the coordinator, for their release.
        job: u64,
        /// The servers that hold results.
        makers: Vec<Arc<str>>,
        /// The results that the request needs.
        results: Vec<ResultRef>,
    },
    /// They cannot be completed in time.
    Late,
    /// They have not started, and another daemon coordinates the cell now.
    Moved {
        /// The new coordinator.
        holder: Member,
        /// The previous coordinator, which has responded.
        by: Member,
    },
    /// A stage failed.
    Failed {
        /// The index of the stage.
        stage: usize,
        /// Whether its inputs no longer existed.
        inputs_gone: bool,
    },
}

/// A result that a request needs.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ResultRef {
    /// The index in `makers` of the server that holds it.
    pub maker: usize,
    /// The reference that other servers fetch it by.
    pub reference: Arc<str>,
}

/// Releases results that are no longer needed.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ReleaseRequest {
    /// The ids of the results at the coordinator.
    pub jobs: Vec<u64>,
}

/// A ping.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Ping {}

/// An acknowledgement without content.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Ack {}

#[cfg(test)]
mod tests;
