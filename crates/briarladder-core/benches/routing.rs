//! Measures the cost of one routing decision over 800 candidate servers. The
//! target is 2 µs. `all_members` considers all servers instead of a subset.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::{PoolName, RegionName, ServerName, VmName, ZoneName},
    objects::{
        Fleet, Object, Pool, Region, Role, Server, Zone, snapshot::Snapshot,
    },
    routing::{AttemptResult, CacheEvent, Query, Router, Settings},
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::StdRng};

const SERVERS: u32 = 800;
const SLOTS_PER_SERVER: u32 = 8;
const PREFIXES_PER_SERVER: u64 = 256;

fn server_name(i: u32) -> ServerName {
    ServerName::new(&format!("engine-{i}")).unwrap()
}

fn snapshot() -> Snapshot {
    let pool = PoolName::new("engines").unwrap();
    let server = |i| Server {
        name: server_name(i),
        pool: pool.clone(),
        address: ([127, 0, 0, 1], 80).into(),
    };
    let objects = [
        Object::Fleet(Fleet {
            ticket_keys: Vec::new(),
            ticket_lifetime_ms: 1,
            outcome_retention_ms: 1,
            weight_store_bytes_per_s: 1,
        }),
        Object::Region(Region {
            name: RegionName::new("region").unwrap(),
            pools: vec![Pool {
                name: pool.clone(),
                role: Role::Engine,
                slots_requests: SLOTS_PER_SERVER,
                model_versions: Vec::new(),
                checks_fencing: true,
            }],
            zones: vec![Zone {
                name: ZoneName::new("zone").unwrap(),
                servers: (0..SERVERS).map(server).collect(),
            }],
            links: Vec::new(),
        }),
    ];
    Snapshot::resolve(1, &objects).unwrap()
}

/// Builds a router in which server `i` runs `running_requests(i)` requests and
/// caches [`PREFIXES_PER_SERVER`] prefixes. `subset_servers` replaces the
/// default number of servers among which the router chooses.
fn router(
    now: Instant,
    subset_servers: Option<usize>,
    running_requests: impl Fn(u32) -> u32,
) -> Router {
    let vm = VmName::new("vm-1").unwrap();
    let mut settings = Settings::new(vm, ZoneName::new("zone").unwrap());
    if let Some(subset_servers) = subset_servers {
        settings.zone_subset_servers = subset_servers;
    }
    let mut router = Router::new(settings);
    router.apply_snapshot(now, &snapshot());
    for i in 0..SERVERS {
        let report = LoadReport {
            incarnation: Incarnation(1),
            sequence: 1,
            state: ServerState::Ready,
            slots_requests: SLOTS_PER_SERVER,
            running_requests: running_requests(i),
            queued_requests: 0,
            epoch_seen: 1,
            model_versions: Vec::new(),
        };
        router.apply_report(now, &server_name(i), &report);
        let cache_events: Vec<CacheEvent> = (0..PREFIXES_PER_SERVER)
            .map(|n| CacheEvent::Stored { prefix_hash: n * 64 + u64::from(i) })
            .collect();
        router.apply_cache_events(&server_name(i), 0, &cache_events);
    }
    router
}

fn routing_decisions(criterion: &mut Criterion) {
    let now = Instant::now();
    let pool = PoolName::new("engines").unwrap();
    let second = Duration::from_secs(1);
    let query = Query::new(&pool, second, second / 10);
    let cached_query = Query { prefix_hash: Some(64), ..query.clone() };
    let mixed_load = |i: u32| i * 7 % (SLOTS_PER_SERVER + 1);
    let full_load = |_| SLOTS_PER_SERVER;
    let cases = [
        ("pick/subset", router(now, None, mixed_load), query.clone()),
        ("pick/subset_cached", router(now, None, mixed_load), cached_query),
        ("pick/subset_all_busy", router(now, None, full_load), query.clone()),
        (
            "pick/all_members",
            router(now, Some(SERVERS as usize), mixed_load),
            query,
        ),
    ];
    for (name, router, query) in cases {
        let mut rng = StdRng::seed_from_u64(1);
        criterion.bench_function(name, |bencher| {
            bencher.iter(|| {
                router.pick(now, black_box(&query), &mut rng).is_ok()
            });
        });
    }
    let mut router = router(now, None, mixed_load);
    let snapshot = snapshot();
    criterion.bench_function("apply_snapshot", |bencher| {
        bencher.iter(|| router.apply_snapshot(now, black_box(&snapshot)));
    });
    let mut rng = StdRng::seed_from_u64(1);
    let query = Query::new(&pool, second, second / 10);
    criterion.bench_function("pick_sent_finished/subset", |bencher| {
        bencher.iter(|| {
            let pick = router.pick(now, black_box(&query), &mut rng).unwrap();
            router.record_sent(now, &pick);
            let result = AttemptResult::Cancelled;
            router.record_finished(
                now,
                &pick.server.name,
                result,
                Duration::ZERO,
            );
        });
    });
}

criterion_group!(benches, routing_decisions);
criterion_main!(benches);
