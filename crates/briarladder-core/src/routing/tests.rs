use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::StdRng};

use super::*;
use crate::{
    ids::Incarnation,
    load::ServerState,
    names::{ModelVersionName, VmName, ZoneName},
    objects::{Fleet, Link, Object, Pool, Region, Role, Server, Zone},
    retry::AttemptFailure,
};

mod affinity;
mod faults;
mod links;
mod observed;

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 4;

/// Static, because queries borrow the name of the pool.
static POOL: LazyLock<PoolName> =
    LazyLock::new(|| PoolName::new("engines").unwrap());

/// A router in zone `recife-a` with a clock and a seeded random generator.
struct Fixture {
    now: Instant,
    rng: StdRng,
    router: Router,
    billed: bool,
    declared: &'static str,
}

fn name(text: &str) -> ServerName {
    ServerName::new(text).unwrap()
}

/// Builds the regions `recife` and `campinas`. The name of a server starts
/// with its zone.
fn snapshot(
    servers: &[&str],
    billed: bool,
    declared: &str,
    port: u16,
) -> Snapshot {
    let zone = |zone: &str| Zone {
        name: ZoneName::new(zone).unwrap(),
        servers: servers
            .iter()
            .filter(|server| server.starts_with(zone))
            .map(|server| Server {
                name: name(server),
                pool: POOL.clone(),
                address: ([127, 0, 0, 1], port).into(),
            })
            .collect(),
    };
    let region = |region: &str, zones: Vec<Zone>, links| {
        Object::Region(Region {
            name: RegionName::new(region).unwrap(),
            pools: vec![Pool {
                name: POOL.clone(),
                role: Role::Engine,
                slots_requests: SLOTS,
                model_versions: vec![version(declared)],
                checks_fencing: true,
            }],
            zones,
            links,
        })
    };
    let to = RegionName::new("campinas").unwrap();
    let link = Link { to, one_way_ms: 20, billed };
    let objects = [
        Object::Fleet(Fleet {
            ticket_keys: Vec::new(),
            ticket_lifetime_ms: 1,
            outcome_retention_ms: 1,
            weight_store_bytes_per_s: 1,
        }),
        region("recife", vec![zone("recife-a"), zone("recife-b")], vec![link]),
        region("campinas", vec![zone("campinas-a")], Vec::new()),
    ];
    Snapshot::resolve(1, &objects).unwrap()
}

fn version(text: &str) -> ModelVersionName {
    ModelVersionName::new(text).unwrap()
}

fn report(incarnation: u64, sequence: u64, running: u32) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(incarnation),
        sequence,
        state: ServerState::Ready,
        slots_requests: SLOTS,
        running_requests: running,
        queued_requests: 0,
        epoch_seen: 0,
        model_versions: Vec::new(),
    }
}

fn leaving(incarnation: u64, sequence: u64) -> LoadReport {
    let state = ServerState::Leaving;
    LoadReport { state, ..report(incarnation, sequence, 0) }
}

impl Fixture {
    fn new(servers: &[&str]) -> Fixture {
        Fixture::with_link(servers, true)
    }

    fn with_link(servers: &[&str], billed: bool) -> Fixture {
        let vm = VmName::new("vm-1").unwrap();
        let zone = ZoneName::new("recife-a").unwrap();
        let mut fixture = Fixture {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(1),
            router: Router::new(Settings::new(vm, zone)),
            billed,
            declared: "v1",
        };
        fixture.publish(servers, 80);
        fixture
    }

    fn publish(&mut self, servers: &[&str], port: u16) {
        let snapshot = snapshot(servers, self.billed, self.declared, port);
        self.router.apply_snapshot(self.now, &snapshot);
    }

    fn report(&mut self, server: &str, report: &LoadReport) {
        self.router.apply_report(self.now, &name(server), report);
    }

    fn pick_with<'a>(
        &mut self,
        change: impl FnOnce(&mut Query<'a>),
    ) -> Result<Pick, NoServer> {
        let mut query = Query::new(&POOL, 5_000 * MS, 100 * MS);
        change(&mut query);
        self.router.pick(self.now, &query, &mut self.rng)
    }

    fn pick(&mut self) -> Result<Pick, NoServer> {
        self.pick_with(|_| {})
    }

    /// Returns the distinct servers of many picks, in order of name.
    fn picked(&mut self) -> Vec<String> {
        let picks = (0..200).filter_map(|_| self.pick().ok());
        let mut names: Vec<String> =
            picks.map(|pick| pick.server.name.to_string()).collect();
        names.sort();
        names.dedup();
        names
    }

    fn send(&mut self) -> Pick {
        let pick = self.pick().unwrap();
        self.router.record_sent(self.now, &pick);
        pick
    }

    fn finish(&mut self, server: &str, result: AttemptResult) {
        self.router.record_finished(self.now, &name(server), result, 10 * MS);
    }

    fn fail(&mut self, server: &str, failure: AttemptFailure) {
        self.finish(server, AttemptResult::Failed(failure));
    }

    fn polled(&mut self) -> Vec<String> {
        let polls = self.router.take_due_polls(self.now).into_iter();
        polls.map(|poll| poll.server.name.to_string()).collect()
    }

    fn free(&self) -> u32 {
        self.router.free_slots(self.now, &POOL).near_free_requests
    }
}

/// Guards against sending one server more than its slots between two of its
/// reports.
#[test]
fn pick_counts_sent_since_report() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, 1));
    for _ in 0..3 {
        fixture.send();
    }
    assert_eq!(fixture.pick().unwrap_err(), NoServer::AllBusy);
    // The attempts are old enough for this report to include all three.
    fixture.now += 10 * MS;
    fixture.report("recife-a-1", &report(1, 2, 3));
    assert_eq!(fixture.free(), 1);
}

/// Guards against a slot counted as free because the report was written
/// before the last attempt arrived.
#[test]
fn apply_report_counts_recent_attempts() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.send();
    fixture.now += MS;
    fixture.report("recife-a-1", &report(1, 1, 3));
    assert_eq!(fixture.free(), 0);
}

/// Guards against a cancelled or failed attempt that holds its slot forever.
#[test]
fn finished_returns_slots() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, 0));
    for _ in 0..SLOTS {
        fixture.send();
    }
    assert_eq!(fixture.free(), 0);
    for _ in 0..SLOTS {
        fixture.finish("recife-a-1", AttemptResult::Cancelled);
    }
    assert_eq!(fixture.free(), SLOTS);
    let slots = fixture.router.free_slots(fixture.now, &POOL);
    assert_eq!(slots.in_flight_requests, 0);
}

/// Guards against applying a delayed report after a newer one.
#[test]
fn apply_report_ignores_reordered() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 5, SLOTS));
    fixture.report("recife-a-1", &report(1, 4, 0));
    assert_eq!(fixture.free(), 0);
}

/// Guards against applying a late report of an old process, and against
/// ignoring reports of the restarted one, whose sequence starts at 1 again.
#[test]
fn apply_report_ignores_old_incarnation() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 5, 0));
    fixture.report("recife-a-1", &report(2, 1, SLOTS));
    assert_eq!(fixture.free(), 0);
    fixture.report("recife-a-1", &report(1, 6, 0));
    assert_eq!(fixture.free(), 0);
}

/// Guards against a server that counts as full for ever after its last
/// report.
#[test]
fn effective_load_fades() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, SLOTS));
    fixture.now += 2_000 * MS;
    assert_eq!(fixture.free(), 0);
    fixture.now += 4_000 * MS;
    assert_eq!(fixture.free(), SLOTS / 2);
}

/// Guards against using a report for longer than the requests in it take:
/// many daemons would avoid or prefer the same servers.
#[test]
fn effective_load_fades_within_service_time() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    let server = name("recife-a-1");
    let completed = AttemptResult::Completed;
    fixture.router.record_finished(fixture.now, &server, completed, 200 * MS);
    fixture.report("recife-a-1", &report(1, 1, SLOTS));
    fixture.now += 20 * MS;
    assert_eq!(fixture.free(), 0);
    fixture.now += 80 * MS;
    assert_eq!(fixture.free(), SLOTS / 2);
}

/// Guards against ignoring a reported backlog before it can have drained.
#[test]
fn effective_load_keeps_backlog() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    let server = name("recife-a-1");
    let completed = AttemptResult::Completed;
    fixture.router.record_finished(fixture.now, &server, completed, 200 * MS);
    fixture.report("recife-a-1", &report(1, 1, 10 * SLOTS));
    fixture.now += 500 * MS;
    assert_eq!(fixture.free(), 0);
    fixture.now += 350 * MS;
    assert!(fixture.free() > 0);
}

/// Guards against preferring a server without recent reports, which may be
/// leaving.
#[test]
fn pick_prefers_known_state() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    fixture.report("recife-a-1", &report(1, 1, 0));
    fixture.now += 2_600 * MS;
    fixture.report("recife-a-2", &report(1, 1, 2));
    assert_eq!(fixture.picked(), ["recife-a-2"]);
}

/// Guards against herding: many daemons that all send to the server that one
/// stale report shows as least loaded.
#[test]
fn pick_spreads_daemons_on_one_report() {
    let servers: Vec<String> =
        (0..20).map(|i| format!("recife-a-{i}")).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut fixture = Fixture::new(&servers);
    for server in &servers {
        let running = u32::from(*server != "recife-a-7");
        fixture.report(server, &report(1, 1, running));
    }
    // Each pick simulates another daemon, so none is counted as sent.
    let picks: Vec<Pick> =
        (0..200).filter_map(|_| fixture.pick().ok()).collect();
    let most = servers.iter().map(|server| {
        picks.iter().filter(|p| p.server.name.as_str() == *server).count()
    });
    assert!(most.max().unwrap() <= 40);
}

/// Guards against connections from each daemon to each server, and against
/// subsets that change without need.
#[test]
fn subset_is_bounded_and_stable() {
    let servers: Vec<String> =
        (0..100).map(|i| format!("recife-a-{i}")).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut fixture = Fixture::new(&servers);
    let members = fixture.picked();
    assert_eq!(members.len(), 24);
    fixture.publish(&servers, 80);
    assert_eq!(fixture.picked(), members);
    // One bad member is replaced by one other server.
    fixture.fail(&members[0], AttemptFailure::ConnectFailed);
    let replaced = fixture.picked();
    assert_eq!(replaced.len(), 24);
    let kept = replaced.iter().filter(|n| members.contains(n)).count();
    assert_eq!(kept, 23);
}

/// Guards against a new snapshot that resets the state of servers, and
/// against keeping the state of a server that moved to another address.
#[test]
fn apply_snapshot_keeps_servers_that_stay() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    fixture.report("recife-a-1", &leaving(1, 1));
    fixture.report("recife-a-2", &report(1, 1, SLOTS));
    fixture.publish(&["recife-a-0", "recife-a-1", "recife-a-2"], 80);
    assert_eq!(fixture.picked(), ["recife-a-0"]);
    fixture.publish(&["recife-a-1"], 81);
    assert_eq!(fixture.picked(), ["recife-a-1"]);
}

/// Guards against a new snapshot of the same servers that resets their load,
/// or whose versions and link prices are not applied.
#[test]
fn apply_snapshot_updates_same_servers() {
    let servers = ["recife-a-1", "campinas-a-1"];
    let mut fixture = Fixture::new(&servers);
    fixture.report("recife-a-1", &report(1, 1, SLOTS));
    assert_eq!(fixture.pick().unwrap_err(), NoServer::AllBusy);
    fixture.publish(&servers, 80);
    assert_eq!(fixture.pick().unwrap_err(), NoServer::AllBusy);
    fixture.billed = false;
    fixture.declared = "v2";
    fixture.publish(&servers, 80);
    let v2 = version("v2");
    let pick = fixture.pick_with(|q| q.model_version = Some(&v2)).unwrap();
    assert_eq!(pick.server.name.as_str(), "campinas-a-1");
    fixture.declared = "v1";
    fixture.publish(&servers, 80);
    let none = fixture.pick_with(|q| q.model_version = Some(&v2));
    assert_eq!(none.unwrap_err(), NoServer::ModelVersionMissing);
}

/// Guards against sending to a server without the model version, for example
/// in the middle of an upgrade.
#[test]
fn pick_needs_model_version() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    let (v1, v2, v3) = (version("v1"), version("v2"), version("v3"));
    let mut upgraded = report(1, 1, 0);
    upgraded.model_versions = vec![v2.clone()];
    fixture.report("recife-a-2", &upgraded);
    let mut pick = |v| {
        let pick = fixture.pick_with(|q| q.model_version = Some(v));
        pick.map(|pick| pick.server.name.to_string())
    };
    for _ in 0..20 {
        assert_eq!(pick(&v1).unwrap(), "recife-a-1");
        assert_eq!(pick(&v2).unwrap(), "recife-a-2");
    }
    assert_eq!(pick(&v3).unwrap_err(), NoServer::ModelVersionMissing);
}

/// Guards against a suspect request that runs beside others, which fail if
/// it crashes the server.
#[test]
fn pick_alone_reserves_server() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    fixture.report("recife-a-1", &report(1, 1, 1));
    fixture.report("recife-a-2", &report(1, 1, 0));
    let alone = fixture.pick_with(|q| q.sharing = Sharing::Exclusive).unwrap();
    assert_eq!(alone.server.name.as_str(), "recife-a-2");
    fixture.router.record_sent(fixture.now, &alone);
    assert_eq!(fixture.picked(), ["recife-a-1"]);
    let second = fixture.pick_with(|q| q.sharing = Sharing::Exclusive);
    assert_eq!(second.unwrap_err(), NoServer::AllBusy);
    fixture.finish("recife-a-2", AttemptResult::Completed);
    // Both have free slots again, and the other server runs a request.
    assert_eq!(fixture.picked(), ["recife-a-2"]);
}

/// Guards against a slow server that gets as much work as others, and
/// against one that gets no work after it has recovered.
#[test]
fn pick_avoids_slow_server() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    for _ in 0..50 {
        for (server, elapsed) in [("recife-a-1", MS), ("recife-a-2", 9 * MS)] {
            let result = AttemptResult::Completed;
            let server = name(server);
            fixture.router.record_finished(
                fixture.now,
                &server,
                result,
                elapsed,
            );
        }
    }
    assert_eq!(fixture.picked(), ["recife-a-1"]);
    fixture.now += 10_000 * MS;
    assert_eq!(fixture.picked().len(), 2);
}

/// Guards against polling servers that have sent a recent report, and
/// against not polling the others.
#[test]
fn polls_due_after_interval() {
    let mut fixture = Fixture::new(&["recife-a-1", "recife-a-2"]);
    assert_eq!(fixture.polled().len(), 2);
    assert!(fixture.polled().is_empty());
    fixture.now += 1_000 * MS;
    fixture.report("recife-a-1", &report(1, 1, 0));
    fixture.report("recife-a-2", &report(1, 1, 0));
    fixture.now += 1_000 * MS;
    fixture.report("recife-a-2", &report(1, 2, 0));
    fixture.now += 1_000 * MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    assert!(fixture.polled().is_empty());
}

/// Guards against unused capacity because a full server is polled too
/// rarely.
#[test]
fn polls_due_sooner_if_busy() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, SLOTS));
    fixture.now += 250 * MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
}

/// Guards against a suspect request that waits until its deadline for a
/// server that is idle, because the last report of it shows a request of
/// another daemon.
#[test]
fn polls_due_sooner_if_suspect_waits() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, 1));
    let alone = fixture.pick_with(|q| q.sharing = Sharing::Exclusive);
    assert_eq!(alone.unwrap_err(), NoServer::AllBusy);
    fixture.now += 250 * MS;
    assert!(fixture.polled().is_empty());
    fixture.router.record_exclusive_wait(fixture.now, &POOL);
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 2, 0));
    fixture.pick_with(|q| q.sharing = Sharing::Exclusive).unwrap();
    // An idle server is polled as rarely as before.
    fixture.now += 250 * MS;
    fixture.router.record_exclusive_wait(fixture.now, &POOL);
    assert!(fixture.polled().is_empty());
}

/// Guards against polls that exceed the limit of control traffic, and
/// against a member that is never polled under that limit.
#[test]
fn polls_due_is_bounded_and_fair() {
    let servers: Vec<String> =
        (0..10).map(|i| format!("recife-a-{i}")).collect();
    let servers: Vec<&str> = servers.iter().map(String::as_str).collect();
    let mut fixture = Fixture::new(&servers);
    let mut polled = Vec::new();
    for _ in 0..4 {
        let next = fixture.polled();
        assert!(next.len() <= 3);
        polled.extend(next);
        // The first ones are due again before the last one is polled.
        fixture.now += 700 * MS;
    }
    polled.sort();
    polled.dedup();
    assert_eq!(polled.len(), 10);
}
