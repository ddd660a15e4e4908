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
mod tests {
    use std::time::{Duration, Instant};

    use briarladder_core::fleet::{
        crash_tracker::CrashTracker,
        peers::PeerTable,
        server::ListedServer,
        server_limits::{NamedLimit, Observation, ServerLimits},
        stage_waits::{ServiceWait, StageWaitTable},
    };

    use super::*;

    fn exchange(now: Instant) -> GossipMessage {
        let address = "127.0.0.1:1".parse().unwrap();
        let member = Member::new("vm-1", "zone-a", address, 1);
        PeerTable::new(member).message_to(now, None)
    }

    /// Guards against daemons of the earlier version that refuse requests by
    /// the hash of a prompt part, or because of a crash that was cleared, and
    /// against crashes that get lost on the way to them and back.
    #[test]
    fn request_crashes_envelope_has_requests_only() {
        let now = Instant::now();
        let request = Feature::whole_request("/a", None, b"body");
        let other = Feature::whole_request("/b", None, b"body");
        let part = Feature::prompt_part("p", 0);
        let server = |name| ServerIncarnation::of(name, 0);
        let mut tracker = CrashTracker::default();
        tracker.record_crash(now, &[request, part], server("s-1"));
        tracker.record_crash(now, &[other], server("s-2"));
        tracker.record_survival(now, &[other]);
        let envelope = CrashesEnvelope {
            exchange: exchange(now),
            crashes: tracker.notices(now),
        };
        let sent = RequestCrashesEnvelope::from(envelope);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let decoded: RequestCrashesEnvelope =
            postcard::from_bytes(&bytes).unwrap();
        let envelope = CrashesEnvelope::from(decoded);
        let mut receiver = CrashTracker::default();
        let later = now + Duration::from_secs(1);
        assert_eq!(receiver.merge(later, &envelope.crashes), 1);
        for (number, name) in ["s-2", "s-3"].into_iter().enumerate() {
            let features = [request, part, other];
            let gap = Duration::from_secs(u64::try_from(number).unwrap());
            receiver.record_crash(later + gap, &features, server(name));
        }
        let end = later + Duration::from_secs(1);
        assert!(receiver.refused_for(end, &[request]).is_some());
        assert!(receiver.refused_for(end, &[part]).is_none());
        assert!(receiver.refused_for(end, &[other]).is_none());
    }

    fn listed_server(name: &str) -> ListedServer {
        ListedServer::new(name, "plans", "127.0.0.1:2".parse().unwrap())
    }

    /// Returns the limits of a daemon: 0 at `s-1`, 2.5 a second at `s-2`, and
    /// one at `s-3` that has ended.
    fn server_limits(now: Instant) -> ServerLimits {
        let mut limits = ServerLimits::new(now);
        let named = NamedLimit::PerS;
        let responses = [
            ("s-1", named(0.0)),
            ("s-2", named(2.5)),
            ("s-3", named(1.0)),
            ("s-3", NamedLimit::Absent),
        ];
        for (name, named) in responses {
            let response = Observation { sent_at: now, named, is_own: true };
            let change = limits.observe(now, &listed_server(name), response);
            assert!(change.is_some());
        }
        limits
    }

    /// Returns an envelope with the crash of a server during a whole request
    /// and with three limits.
    fn gossip_envelope(now: Instant) -> GossipEnvelope {
        let request = Feature::whole_request("/a", None, b"body");
        let mut tracker = CrashTracker::default();
        let server = ServerIncarnation::of("s-1", 0);
        tracker.record_crash(now, &[request], server);
        GossipEnvelope {
            exchange: exchange(now),
            crashes: tracker.notices(now),
            limits: server_limits(now).notices(now),
            stage_waits: Vec::new(),
            crash_digest: Some(tracker.digest(now)),
        }
    }

    /// Guards against limits, or ends of limits, that get lost or change
    /// between daemons of this version.
    #[test]
    fn gossip_envelope_with_limits() {
        let now = Instant::now();
        let sent = gossip_envelope(now);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let (received, rest): (GossipEnvelope, _) =
            postcard::take_from_bytes(&bytes).unwrap();
        assert!(rest.is_empty());
        assert_eq!(received.exchange, sent.exchange);
        assert_eq!(received.crashes, sent.crashes);
        assert_eq!(received.limits, sent.limits);
        assert_eq!(received.limits.len(), 3);

        let mut limits = ServerLimits::new(now);
        let ended = listed_server("s-3");
        let named = NamedLimit::PerS(1.0);
        let response = Observation { sent_at: now, named, is_own: true };
        let earlier = now.checked_sub(Duration::from_secs(20)).unwrap();
        limits.observe(earlier, &ended, response);
        limits.merge(now, &received.limits);
        let limit_of = |name| limits.limit_per_s(now, &listed_server(name));
        let known = ["s-1", "s-2", "s-3"].map(limit_of);
        assert_eq!(known, [Some(0.0), Some(2.5), None]);
    }

    /// Guards against waits of services that get lost between daemons, and
    /// against daemons that know one wait for all services of a cell and can't
    /// read the message.
    #[test]
    fn gossip_envelope_with_stage_waits() {
        let now = Instant::now();
        let service: Arc<str> = Arc::from("fetch");
        let waits = [ServiceWait::new(&service, Duration::from_millis(70))];
        let mut table = StageWaitTable::default();
        table.record(now, &Cell::fleet_wide(), &waits);
        let mut sent = gossip_envelope(now);
        sent.stage_waits = table.newest(now);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let received: GossipEnvelope = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(received.stage_waits, sent.stage_waits);
        assert_eq!(received.stage_waits[0].waits, waits);

        let sent = LimitsEnvelope::from(WaitsEnvelope::from(sent));
        let bytes = postcard::to_stdvec(&sent).unwrap();
        // What such a daemon reads, field by field.
        let read: (GossipMessage, Vec<CrashNotice>, Vec<LimitNotice>) =
            postcard::from_bytes(&bytes).unwrap();
        assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);
        assert_eq!(read.0, sent.exchange);
    }

    /// Guards against daemons that don't compare crashes and can't read the
    /// message, or whose message is not understood, as while a new version is
    /// rolled out.
    #[test]
    fn waits_envelope_without_digest() {
        let now = Instant::now();
        let sent = gossip_envelope(now);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let received: GossipEnvelope = postcard::from_bytes(&bytes).unwrap();
        assert!(received.crash_digest.is_some());
        assert_eq!(received.crash_digest, sent.crash_digest);

        let sent = WaitsEnvelope::from(sent);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        // What such a daemon reads, field by field.
        let read: (
            GossipMessage,
            Vec<CrashNotice>,
            Vec<LimitNotice>,
            Vec<CellWaits>,
        ) = postcard::from_bytes(&bytes).unwrap();
        assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);

        // What it sends.
        let decoded: WaitsEnvelope = postcard::from_bytes(&bytes).unwrap();
        let received = GossipEnvelope::from(decoded);
        assert_eq!(received.crashes, sent.crashes);
        assert_eq!(received.limits, sent.limits);
        assert!(received.crash_digest.is_none());
    }

    /// Guards against daemons without limits that can't read the message, and
    /// against crashes that get lost on the way to them and back.
    #[test]
    fn crashes_envelope_without_limits() {
        let now = Instant::now();
        let sent =
            LimitsEnvelope::from(WaitsEnvelope::from(gossip_envelope(now)));
        let sent = CrashesEnvelope::from(sent);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        // What such a daemon reads, field by field.
        let (exchange, crashes): (GossipMessage, Vec<CrashNotice>) =
            postcard::from_bytes(&bytes).unwrap();
        let read = postcard::to_stdvec(&(&exchange, &crashes)).unwrap();
        assert_eq!(read, bytes);
        assert_eq!(exchange, sent.exchange);
        assert_eq!(crashes, sent.crashes);
        assert_eq!(crashes.len(), 1);

        // What it sends.
        let decoded: CrashesEnvelope = postcard::from_bytes(&read).unwrap();
        let received = WaitsEnvelope::from(LimitsEnvelope::from(decoded));
        assert_eq!(received.exchange, sent.exchange);
        assert_eq!(received.crashes, sent.crashes);
        assert!(received.limits.is_empty());
    }

    /// Guards against daemons that track only whole requests and can't read a
    /// message of a daemon that knows limits, or are not understood by it.
    #[test]
    fn request_crashes_envelope_without_limits() {
        type Crashes = Vec<(Fingerprint, Vec<ServerIncarnation>)>;
        let now = Instant::now();
        let sent = CrashesEnvelope::from(LimitsEnvelope::from(
            WaitsEnvelope::from(gossip_envelope(now)),
        ));
        let (exchange, crashes) =
            (sent.exchange.clone(), sent.crashes.clone());
        let sent = RequestCrashesEnvelope::from(sent);
        let bytes = postcard::to_stdvec(&sent).unwrap();
        let read: (GossipMessage, Crashes) =
            postcard::from_bytes(&bytes).unwrap();
        assert_eq!(postcard::to_stdvec(&read).unwrap(), bytes);
        let fingerprint = crashes[0].feature.fingerprint;
        let server = ServerIncarnation::of("s-1", 0);
        assert_eq!(read.0, exchange);
        assert_eq!(read.1, [(fingerprint, vec![server])]);

        let decoded: RequestCrashesEnvelope =
            postcard::from_bytes(&bytes).unwrap();
        let decoded = CrashesEnvelope::from(decoded);
        let received = WaitsEnvelope::from(LimitsEnvelope::from(decoded));
        assert_eq!(received.exchange, exchange);
        assert_eq!(received.crashes, crashes);
        assert!(received.limits.is_empty());
    }

    /// Guards against a bound request that loses its regions on the way, and
    /// against a daemon of an earlier version that can't read a request that
    /// isn't bound.
    #[test]
    fn regional_stages_request_keeps_regions() {
        let south = AllowedRegions::new([Arc::from("south")]);
        let request = |cell: Cell| StagesRequest {
            cell,
            moved_by: None,
            attempt: Arc::from("a1"),
            stages: Vec::new(),
            pieces: vec![1],
            key: Some(Arc::from("k")),
            home: Arc::from("z"),
            movable: true,
            rank: 1,
            target_ms: -5,
            left_ms: 7,
        };
        let bound = request(Cell::in_regions(south.clone()));
        let message = RegionalStagesRequest::new(&bound).unwrap();
        let bytes = postcard::to_stdvec(&message).unwrap();
        let read: RegionalStagesRequest =
            postcard::from_bytes(&bytes).unwrap();
        let read = read.into_request();
        assert_eq!(read.cell, Cell::in_regions(south));
        assert_eq!((&*read.attempt, read.left_ms), ("a1", 7));

        let free = request(Cell::in_zone(&Arc::from("z"), 2));
        assert!(RegionalStagesRequest::new(&free).is_none());
        let bytes = postcard::to_stdvec(&free.cell).unwrap();
        // What such a daemon reads, field by field.
        let cell: (Option<Arc<str>>, usize) =
            postcard::from_bytes(&bytes).unwrap();
        assert_eq!(cell, (Some(Arc::from("z")), 2));
        assert_eq!(postcard::to_stdvec(&cell).unwrap(), bytes);
    }
}
