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
    let sent = LimitsEnvelope::from(WaitsEnvelope::from(gossip_envelope(now)));
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
    let (exchange, crashes) = (sent.exchange.clone(), sent.crashes.clone());
    let sent = RequestCrashesEnvelope::from(sent);
    let bytes = postcard::to_stdvec(&sent).unwrap();
    let read: (GossipMessage, Crashes) = postcard::from_bytes(&bytes).unwrap();
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
    let read: RegionalStagesRequest = postcard::from_bytes(&bytes).unwrap();
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
