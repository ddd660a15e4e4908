//! Tests of the versions of streams.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::fleet::server::{ListedServer, Servers};

use super::{
    ListedVersion, MAX_STREAM_SPAN, OriginNotice, REPLICA_COUNT, Software,
    StreamOrigins, VersionHistory, VersionSummary, lone_versions, replicas,
};

const TICK: Duration = Duration::from_millis(1);

/// The longest time in whole milliseconds that is shorter than
/// [`MAX_STREAM_SPAN`].
const JUST_BEFORE: Duration = MAX_STREAM_SPAN.saturating_sub(TICK);

fn software(service: &str, version: &str) -> Software {
    Software { service: service.into(), version: version.into() }
}

fn server(name: &str, service: &str, version: &str) -> ListedServer {
    let address = "10.0.0.1:80".parse().unwrap();
    let mut server = ListedServer::new(name, service, address);
    server.software_version = version.into();
    server
}

fn listed(entries: &[(&str, &str)]) -> Servers {
    let mut servers = Servers::default();
    for (at, (service, version)) in entries.iter().enumerate() {
        servers.insert(server(&format!("s-{at}"), service, version));
    }
    servers
}

fn sole(
    history: &VersionHistory,
    now: Instant,
    servers: &Servers,
) -> Option<String> {
    history.sole_version(now, "a", servers).map(|v| v.to_string())
}

fn covered_ms(history: &VersionHistory, now: Instant) -> u32 {
    history.summarize(now, []).covered_ms
}

/// Guards against a version that is inferred by a daemon which doesn't know
/// what was listed before its start.
#[test]
fn sole_version_needs_coverage() {
    let start = Instant::now();
    let servers = listed(&[("a", "v1")]);
    let mut history = VersionHistory::default();
    assert_eq!(sole(&history, start + MAX_STREAM_SPAN, &servers), None);
    history.record_listing(start, false);
    history.record_listing(start + TICK, false);
    let covered_at = start + MAX_STREAM_SPAN;
    assert_eq!(sole(&history, start + JUST_BEFORE, &servers), None);
    assert_eq!(sole(&history, covered_at, &servers).unwrap(), "v1");
    let first = VersionHistory::first_start(start);
    assert_eq!(sole(&first, start, &servers).unwrap(), "v1");
}

/// Guards against a version that is inferred after a listing which hides
/// versions that came and went.
#[test]
fn record_listing_missed_changes_ends_coverage() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    history.record_listing(now, false);
    assert!(history.is_covered(now));
    history.record_listing(now, true);
    assert!(!history.is_covered(now + JUST_BEFORE));
    assert!(history.is_covered(now + MAX_STREAM_SPAN));
}

/// Guards against a version that is inferred while streams of one that has
/// left may be taken up, and against one that is never inferred again.
#[test]
fn sole_version_waits_for_departed() {
    let start = Instant::now();
    let servers = listed(&[("a", "v2")]);
    let mut history = VersionHistory::first_start(start);
    history.record_departure(start, software("a", "v1"));
    let last = start + MAX_STREAM_SPAN;
    assert_eq!(sole(&history, last, &servers), None);
    assert_eq!(sole(&history, last + TICK, &servers).unwrap(), "v2");
    history.record_departure(last, software("a", "v1"));
    assert_eq!(sole(&history, last + TICK, &servers), None, "left again");
}

/// Guards against a departure of one of several servers of a version that
/// counts as another version, and against streams that can't be taken up
/// after all servers of their version have left for a moment.
#[test]
fn sole_version_same_version_departed() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    history.record_departure(now, software("a", "v1"));
    let servers = listed(&[("a", "v1")]);
    assert_eq!(sole(&history, now, &servers).unwrap(), "v1");
    assert_eq!(sole(&history, now, &Servers::default()).unwrap(), "v1");
    let none = VersionHistory::first_start(now);
    assert_eq!(sole(&none, now, &Servers::default()), None);
}

/// Guards against versions that are confused since those of another service
/// are named alike, or that are held to be mixed since they differ.
#[test]
fn sole_version_by_service() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    let servers = listed(&[("a", "v1"), ("b", "v2"), ("b", "v1")]);
    history.record_departure(now, software("b", "v3"));
    assert_eq!(sole(&history, now, &servers).unwrap(), "v1");
    assert_eq!(history.sole_version(now, "b", &servers), None);
    history.record_departure(now, software("a", "v2"));
    assert_eq!(sole(&history, now, &servers), None);
}

/// Guards against a version that is inferred while servers of an unknown one
/// may have begun streams.
#[test]
fn sole_version_unknown() {
    let start = Instant::now();
    let servers = listed(&[("a", "v1")]);
    let history = VersionHistory::first_start(start);
    let mixed = listed(&[("a", "v1"), ("a", "")]);
    assert_eq!(sole(&history, start, &mixed), None);
    let unknown = listed(&[("a", ""), ("a", "")]);
    assert_eq!(sole(&history, start, &unknown), None);
    let mut departed = history.clone();
    departed.record_departure(start, None);
    assert_eq!(sole(&departed, start, &servers), None);
    let later = start + MAX_STREAM_SPAN + TICK;
    assert_eq!(sole(&departed, later, &servers).unwrap(), "v1");
    let mut rerouted = history;
    rerouted.record_unknown(start, &Arc::from("b"));
    assert_eq!(sole(&rerouted, start, &servers).unwrap(), "v1");
    rerouted.record_unknown(start, &Arc::from("a"));
    assert_eq!(sole(&rerouted, start, &servers), None);
}

/// Guards against a service without servers whose only departure is of an
/// unknown version, which then counts as a version named "".
#[test]
fn sole_version_only_unknown_departed() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    history.record_unknown(now, &Arc::from("a"));
    assert_eq!(sole(&history, now, &Servers::default()), None);
}

/// Guards against a daemon that has started and doesn't learn of a version
/// that has left before, or that has left at the teller since.
#[test]
fn merge_covered() {
    let start = Instant::now();
    let mut teller = VersionHistory::first_start(start);
    teller.record_departure(start, software("a", "v1"));
    let told_at = start + Duration::from_secs(10);
    let servers = listed(&[("a", "v2"), ("b", "v1")]);
    let summary = teller.summarize(told_at, servers.iter());
    let mut learner = VersionHistory::default();
    learner.record_listing(told_at, false);
    learner.merge(told_at, &summary);
    assert!(learner.is_covered(told_at));
    assert_eq!(sole(&learner, told_at, &servers), None);
    let last = start + MAX_STREAM_SPAN;
    assert_eq!(sole(&learner, last, &servers), None);
    let v3 = listed(&[("a", "v3")]);
    assert_eq!(sole(&learner, last + TICK, &v3), None, "v2 was listed");
    assert_eq!(sole(&learner, last + TICK, &servers).unwrap(), "v2");
}

/// Guards against coverage that the teller doesn't have, or that begins before
/// the first listing and so leaves a gap.
#[test]
fn merge_not_covered() {
    let now = Instant::now();
    let mut young = VersionHistory::default();
    young.record_listing(now, false);
    let told_at = now + Duration::from_secs(20);
    let summary = young.summarize(told_at, []);
    assert_eq!(summary.covered_ms, 20_000);
    let mut learner = VersionHistory::default();
    learner.merge(told_at, &summary);
    assert_eq!(covered_ms(&learner, told_at), 0, "no listing");
    learner.record_listing(told_at, false);
    learner.merge(told_at, &VersionSummary::default());
    assert_eq!(covered_ms(&learner, told_at), 0);
    learner.merge(told_at, &summary);
    let later = told_at + Duration::from_secs(5);
    assert_eq!(covered_ms(&learner, later), 25_000);
    learner.merge(later, &summary);
    assert_eq!(covered_ms(&learner, later), 25_000, "not set back");
}

/// Guards against a summary without coverage whose versions are ignored, and
/// against an old summary that makes a departure count as older.
#[test]
fn merge_keeps_latest_departure() {
    let now = Instant::now();
    let servers = listed(&[("a", "v2")]);
    let old = VersionSummary {
        covered_ms: 0,
        versions: vec![ListedVersion {
            software: Some(software("a", "v1")),
            age_ms: 50_000,
        }],
    };
    let mut history = VersionHistory::first_start(now);
    history.merge(now, &old);
    assert_eq!(sole(&history, now, &servers), None);
    let aged_out = now + Duration::from_millis(10_001);
    assert_eq!(sole(&history, aged_out, &servers).unwrap(), "v2");
    history.record_departure(now, software("a", "v1"));
    history.merge(now, &old);
    assert_eq!(sole(&history, aged_out, &servers), None);
}

/// Guards against summaries that grow for ever, and against a version that is
/// both listed and departed.
#[test]
fn summarize_recent_versions() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    history.record_departure(now, software("a", "v0"));
    let later = now + MAX_STREAM_SPAN + TICK;
    history.record_departure(later, software("a", "v1"));
    history.record_departure(later, software("a", "v2"));
    history.record_departure(later, None);
    let servers = listed(&[("a", "v2"), ("a", "v2")]);
    let told_at = later + Duration::from_secs(1);
    let summary = history.summarize(told_at, servers.iter());
    assert_eq!(summary.covered_ms, 60_000);
    let version = |software, age_ms| ListedVersion { software, age_ms };
    let expected = [
        version(None, 1000),
        version(Some(software("a", "v1")), 1000),
        version(Some(software("a", "v2")), 0),
    ];
    assert_eq!(summary.versions, expected);
}

/// Guards against departures that grow without bound, and against a version
/// that is inferred after some were dropped.
#[test]
fn departures_bounded() {
    let now = Instant::now();
    let mut history = VersionHistory::first_start(now);
    for number in 0..256 {
        let version = format!("v{number}");
        history.record_departure(now, software("b", &version));
    }
    assert!(history.is_covered(now));
    let mut expired = history.clone();
    let later = now + MAX_STREAM_SPAN + TICK;
    expired.record_departure(later, software("b", "new"));
    assert!(expired.is_covered(later), "the others no longer count");
    history.record_departure(now, software("b", "new"));
    assert!(!history.is_covered(now));
    assert_eq!(history.summarize(now, []).versions.len(), 256);
}

/// Guards against coverage that is merged from a summary with more versions
/// than there is room for.
#[test]
fn merge_too_many_departures() {
    let now = Instant::now();
    let version = |number| ListedVersion {
        software: Some(software("b", &format!("v{number}"))),
        age_ms: 1,
    };
    let versions = (0..257).map(version).collect();
    let summary = VersionSummary { covered_ms: 60_000, versions };
    let mut history = VersionHistory::default();
    history.record_listing(now, false);
    history.merge(now, &summary);
    assert!(!history.is_covered(now));
}

/// Guards against a record that is lost, found for another stream, or found
/// after its attempt's id may name another stream.
#[test]
fn find_current_records() {
    let now = Instant::now();
    let attempt = Arc::from("x");
    let v1 = software("a", "v1");
    let mut origins = StreamOrigins::default();
    assert!(origins.is_empty());
    origins.record(now, &attempt, &v1);
    assert_eq!(origins.find(now, "x"), Some(&v1));
    assert_eq!(origins.find(now, "y"), None);
    let last = now + MAX_STREAM_SPAN;
    origins.expire(last);
    assert_eq!(origins.find(last, "x"), Some(&v1));
    assert_eq!(origins.find(last + TICK, "x"), None);
    origins.expire(last + TICK);
    assert!(origins.is_empty());
}

/// Guards against a record that expires while its stream goes on.
#[test]
fn record_renews() {
    let now = Instant::now();
    let attempt = Arc::from("x");
    let v1 = software("a", "v1");
    let mut origins = StreamOrigins::default();
    origins.record(now, &attempt, &v1);
    origins.record(now + Duration::from_secs(30), &attempt, &v1);
    let later = now + MAX_STREAM_SPAN + TICK;
    assert_eq!(origins.find(later, "x"), Some(&v1));
    assert_eq!(origins.len(), 1);
}

/// Guards against a stream that goes on at the wrong version since a caller
/// has used an attempt's id twice.
#[test]
fn record_conflict_unknown() {
    let now = Instant::now();
    let attempt = Arc::from("x");
    let (v1, v2) = (software("a", "v1"), software("a", "v2"));
    let mut origins = StreamOrigins::default();
    origins.record(now, &attempt, &v1);
    origins.record(now, &attempt, &v2);
    assert_eq!(origins.find(now, "x"), None);
    origins.record(now, &attempt, &v1);
    assert_eq!(origins.find(now, "x"), None, "still unknown");
    assert!(origins.notices(now, "a").is_empty());
    let later = now + MAX_STREAM_SPAN + TICK;
    origins.record(later, &attempt, &v2);
    assert_eq!(origins.find(later, "x"), Some(&v2), "the others are over");
}

/// Guards against records of another service or of versions named alike, and
/// against ages that start anew at another daemon.
#[test]
fn notices_merged() {
    let now = Instant::now();
    let mut teller = StreamOrigins::default();
    teller.record(now, &Arc::from("x"), &software("a", "v1"));
    teller.record(now, &Arc::from("y"), &software("b", "v1"));
    let told_at = now + Duration::from_secs(40);
    let notices = teller.notices(told_at, "a");
    let expected = OriginNotice {
        attempt: Arc::from("x"),
        software: software("a", "v1"),
        age_ms: 40_000,
    };
    assert_eq!(notices, [expected]);
    let mut learner = StreamOrigins::default();
    learner.merge(told_at, &notices);
    let last = now + MAX_STREAM_SPAN;
    assert_eq!(learner.find(last, "x"), Some(&software("a", "v1")));
    assert_eq!(learner.find(last + TICK, "x"), None);
    assert!(teller.notices(last + TICK, "a").is_empty());
}

/// Guards against a notice that makes a record older or changes it.
#[test]
fn merge_known_record() {
    let now = Instant::now();
    let attempt: Arc<str> = Arc::from("x");
    let v1 = software("a", "v1");
    let notice = |version: &str| OriginNotice {
        attempt: Arc::clone(&attempt),
        software: software("a", version),
        age_ms: 50_000,
    };
    let mut origins = StreamOrigins::default();
    origins.record(now, &attempt, &v1);
    origins.merge(now, &[notice("v1")]);
    let later = now + Duration::from_secs(50);
    assert_eq!(origins.find(later, "x"), Some(&v1));
    origins.merge(now, &[notice("v2")]);
    assert_eq!(origins.find(now, "x"), None);
}

/// Guards against memory use that grows with the number and the length of the
/// ids that callers choose, and against dropping the newest records.
#[test]
fn records_bounded() {
    let start = Instant::now();
    let v1 = software("a", "v1");
    let mut origins = StreamOrigins::default();
    for id in [String::new(), "x".repeat(129)] {
        origins.record(start, &id.into(), &v1);
    }
    assert!(origins.is_empty());
    origins.record(start, &"x".repeat(128).into(), &v1);
    assert_eq!(origins.len(), 1);
    for number in 0..17_000_u32 {
        let at = start + TICK * number;
        origins.record(at, &format!("{number:05}").into(), &v1);
        assert!(origins.len() <= 16 * 1024);
    }
    let end = start + TICK * 17_000;
    assert!(origins.len() > 12 * 1024);
    assert_eq!(origins.find(end, "00000"), None);
    assert_eq!(origins.find(end, "05000"), Some(&v1));
    assert_eq!(origins.find(end, "16999"), Some(&v1));
}

/// Guards against a flood in one instant that empties the records.
#[test]
fn records_bounded_same_age() {
    let now = Instant::now();
    let v1 = software("a", "v1");
    let mut origins = StreamOrigins::default();
    for number in 0..=16 * 1024_u32 {
        origins.record(now, &format!("{number}").into(), &v1);
    }
    assert!(origins.len() > 12 * 1024, "{}", origins.len());
}

/// Guards against records that nobody finds after some daemons have ended.
#[test]
fn replicas_stable() {
    let names: Vec<String> = (0..12).map(|at| format!("d-{at}")).collect();
    for stream in 0..100 {
        let attempt = format!("a-{stream}");
        let holders = replicas(&attempt, &names, REPLICA_COUNT);
        assert_eq!(holders.len(), REPLICA_COUNT);
        let kept: Vec<String> = names
            .iter()
            .filter(|name| *name != holders[0] && *name != holders[1])
            .cloned()
            .collect();
        let asked = replicas(&attempt, &kept, REPLICA_COUNT + 1);
        assert_eq!(asked[0], holders[2]);
        let without_first: Vec<&String> =
            names.iter().filter(|name| *name != holders[0]).collect();
        let asked = replicas(&attempt, &without_first, REPLICA_COUNT);
        let asked: Vec<&String> = asked.into_iter().copied().collect();
        assert_eq!(asked[..2], holders[1..]);
    }
    assert!(replicas("a", &Vec::<String>::new(), REPLICA_COUNT).is_empty());
    assert_eq!(replicas("a", &names[..2], REPLICA_COUNT).len(), 2);
}

/// Guards against streams that begin where they can't go on, and against a
/// service that begins none since all its versions have one server.
#[test]
fn lone_versions_with_others() {
    let lone = |versions: &[&str]| {
        let servers = versions.iter().map(|v| server("s", "a", v));
        let servers: Vec<ListedServer> = servers.collect();
        let lone = lone_versions(&servers);
        lone.iter().map(ToString::to_string).collect::<Vec<_>>()
    };
    assert!(lone(&[]).is_empty());
    assert!(lone(&["v1"]).is_empty());
    assert!(lone(&["v1", "v2"]).is_empty());
    assert!(lone(&["v1", "v1", "v2", "v2"]).is_empty());
    assert_eq!(lone(&["v2", "v1", "v1", "v3"]), ["v2", "v3"]);
    assert_eq!(lone(&["v1", "v1", ""]), [""]);
}
