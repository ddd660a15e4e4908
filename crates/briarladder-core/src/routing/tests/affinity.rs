//! Preference for servers with a cached prompt prefix.

use super::*;

fn stored(prefix_hash: u64) -> [CacheEvent; 1] {
    [CacheEvent::Stored { prefix_hash }]
}

/// Returns a fixture in which `recife-a-2` of three holds prefix 7.
fn cached() -> Fixture {
    let servers = ["recife-a-1", "recife-a-2", "recife-a-3"];
    let mut fixture = Fixture::new(&servers);
    for server in servers {
        fixture.report(server, &report(1, 1, 0));
    }
    let holder = name("recife-a-2");
    fixture.router.apply_cache_events(&holder, 5, &stored(7));
    fixture
}

fn cached_pick(fixture: &mut Fixture) -> PickKind {
    fixture.pick_with(|q| q.prefix_hash = Some(7)).unwrap().kind
}

/// Guards against ignoring a cached prefix, in particular after a snapshot
/// that changes the position of its server.
#[test]
fn affinity_survives_snapshot() {
    let mut fixture = cached();
    assert_eq!(cached_pick(&mut fixture), PickKind::CachedPrefix);
    fixture.publish(&["recife-a-0", "recife-a-1", "recife-a-2"], 80);
    let pick = fixture.pick_with(|q| q.prefix_hash = Some(7)).unwrap();
    assert_eq!(pick.kind, PickKind::CachedPrefix);
    assert_eq!(pick.server.name.as_str(), "recife-a-2");
}

/// Guards against a popular prefix that overloads the server that caches it.
#[test]
fn affinity_is_bounded_by_load() {
    let mut fixture = cached();
    fixture.report("recife-a-2", &report(1, 2, 1));
    assert_eq!(cached_pick(&mut fixture), PickKind::CachedPrefix);
    fixture.report("recife-a-2", &report(1, 3, 2));
    assert_eq!(cached_pick(&mut fixture), PickKind::Load);
}

/// Guards against filling the last slots of a server for its cached prefix
/// when all others are as loaded. They are left for work that needs it.
#[test]
fn affinity_ends_at_high_fill() {
    for (running, kind) in [(6, PickKind::CachedPrefix), (7, PickKind::Load)] {
        let mut fixture = cached();
        for server in ["recife-a-1", "recife-a-2", "recife-a-3"] {
            let slots_requests = 8;
            let report =
                LoadReport { slots_requests, ..report(1, 2, running) };
            fixture.report(server, &report);
        }
        assert_eq!(cached_pick(&mut fixture), kind, "{running}");
    }
}

/// Guards against an outdated view of a cache: after a gap in its events,
/// after an old response that arrives again, and after a restart.
#[test]
fn affinity_drops_on_gap() {
    let holder = name("recife-a-2");
    let mut fixture = cached();
    fixture.router.apply_cache_events(&holder, 7, &stored(8));
    assert_eq!(cached_pick(&mut fixture), PickKind::Load);
    let hash = Some(8);
    let pick = fixture.pick_with(|q| q.prefix_hash = hash).unwrap();
    assert_eq!(pick.kind, PickKind::CachedPrefix);

    let mut fixture = cached();
    let evicted = [CacheEvent::Evicted { prefix_hash: 7 }];
    fixture.router.apply_cache_events(&holder, 6, &evicted);
    fixture.router.apply_cache_events(&holder, 5, &stored(7));
    assert_eq!(cached_pick(&mut fixture), PickKind::Load);

    let mut fixture = cached();
    fixture.report("recife-a-2", &report(2, 1, 0));
    assert_eq!(cached_pick(&mut fixture), PickKind::Load);
}
