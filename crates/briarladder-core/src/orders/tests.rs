use std::{sync::Arc, time::Duration};

use serde_json::json;

use super::*;
use crate::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::VmName,
    objects::Object,
    sorted::SortedMap,
};

pub(super) fn version(name: &str) -> ModelVersionName {
    ModelVersionName::new(name).unwrap()
}

pub(super) fn server(name: &str) -> ServerName {
    ServerName::new(name).unwrap()
}

pub(super) fn versions(names: &[&str]) -> SortedSet<ModelVersionName> {
    names.iter().map(|name| version(name)).collect()
}

/// Returns a snapshot with engines a-1 and a-2 in pool a and b-1 and b-2 in
/// pool b, whose desired versions are `a` and `b`. Each version has 1,000
/// bytes, which take one second to load; v9 is an adapter on v1.
pub(super) fn fleet(epoch: u64, a: &[&str], b: &[&str]) -> Arc<Snapshot> {
    let all = ["v1", "v2", "v3", "v9"];
    let mut objects = vec![
        json!({"kind": "fleet", "ticket_keys": [], "ticket_lifetime_ms": 1,
            "outcome_retention_ms": 1, "weight_store_bytes_per_s": 1_000}),
        json!({"kind": "rank", "name": "urgent", "order": 0,
            "guaranteed_percent": 50}),
        json!({"kind": "region", "name": "south",
        "pools": [
            {"name": "a", "role": "engine", "slots_requests": 1,
                "model_versions": a, "checks_fencing": true},
            {"name": "b", "role": "engine", "slots_requests": 1,
                "model_versions": b},
        ],
        "zones": [{"name": "south-a", "servers": [
            {"name": "a-1", "pool": "a", "address": "10.0.0.1:1"},
            {"name": "a-2", "pool": "a", "address": "10.0.0.2:1"},
            {"name": "b-1", "pool": "b", "address": "10.0.0.3:1"},
            {"name": "b-2", "pool": "b", "address": "10.0.0.4:1"},
        ]}]}),
    ];
    for name in all {
        let base = (name == "v9").then_some("v1");
        objects.push(json!({"kind": "model_version", "name": name,
            "model": "m", "weights_bytes": 1_000, "base": base}));
    }
    for (pool, names) in [("a", a), ("b", b)] {
        for name in names {
            let stage = format!("{pool}-{name}");
            objects.push(json!({"kind": "stage", "name": stage,
                "pool": pool, "estimate_ms": 1, "timeout_ms": 1,
                "work": {"generate":
                    {"model_version": name, "max_tokens": 1}}}));
            objects.push(json!({"kind": "pipeline", "name": stage,
                "stages": [stage], "deadline_ms": 5_000,
                "default_rank": "urgent"}));
        }
    }
    let objects: Vec<Object> = serde_json::from_value(objects.into()).unwrap();
    Arc::new(Snapshot::resolve(epoch, &objects).unwrap())
}

pub(super) fn report(
    epoch_seen: u64,
    loaded: &SortedSet<ModelVersionName>,
) -> LoadReport {
    LoadReport {
        incarnation: Incarnation(1),
        sequence: 1,
        state: ServerState::Ready,
        slots_requests: 1,
        running_requests: 0,
        queued_requests: 0,
        epoch_seen,
        model_versions: loaded.as_slice().to_vec(),
    }
}

pub(super) const LONG: Duration = Duration::from_hours(1);

/// Decides on one server after all waiting times have passed.
fn decide(
    snapshot: &Snapshot,
    pinned: &[Arc<Snapshot>],
    reports: &[(&str, u64, &[&str])],
    about: &str,
) -> OrderDecision {
    let reports: SortedMap<_, _> = reports
        .iter()
        .map(|(name, epoch, loaded)| {
            (server(name), report(*epoch, &versions(loaded)))
        })
        .collect();
    let me = VmName::new("vm-1").unwrap();
    let situation = OrderContext {
        snapshot,
        pinned,
        reports: &reports,
        schedule: &LoadSchedule::new(snapshot, None),
        since_adoption: LONG,
        since_first_adoption: LONG,
        local_vm: &me,
        zone_daemons: std::slice::from_ref(&me),
    };
    let sent = OrderProgress { differs_for: LONG, since_last_order: None };
    situation.decide(&server(about), sent)
}

fn send(fencing_token: u64, names: &[&str]) -> OrderDecision {
    let model_versions = versions(names);
    OrderDecision::Send(PlannedOrder { fencing_token, model_versions })
}

/// Guards against ordering or protecting an adapter without its base.
#[test]
fn desired_adds_base() {
    let snapshot = fleet(1, &["v9"], &["v2"]);
    let state = desired_state(&snapshot, &server("a-1")).unwrap();
    assert_eq!(state.model_versions, versions(&["v1", "v9"]));
    assert_eq!(needed_versions(&snapshot), versions(&["v1", "v2", "v9"]));
    assert_eq!(pin_duration(&snapshot), Duration::from_secs(22));
}

/// Guards against orders based on missing or outdated reports, and against an
/// engine that accepts older orders because it has not seen the epoch.
#[test]
fn decide_compares_epoch_and_state() {
    let new = fleet(5, &["v2"], &["v3"]);
    let about = |epoch, loaded: &[&str]| {
        decide(&new, &[], &[("a-1", epoch, loaded)], "a-1")
    };
    assert_eq!(about(5, &["v2"]), OrderDecision::Converged);
    assert_eq!(about(4, &["v2"]), send(5, &["v2"]));
    assert_eq!(about(5, &["v1", "v2"]), send(5, &["v2"]));
    let superseded = OrderDecision::Superseded { epoch_seen: 6 };
    assert_eq!(about(6, &["v1"]), superseded);
    assert_eq!(decide(&new, &[], &[], "a-1"), OrderDecision::NoReport);
    assert_eq!(decide(&new, &[], &[], "x-1"), OrderDecision::NotResponsible);
}

/// Guards against unloading a version from its last ready server. A witness
/// must be ready, must have seen the epoch, and must be certain to keep the
/// version.
#[test]
fn decide_protects_last_server() {
    let old = [fleet(4, &["v1"], &["v3"])];
    let new = fleet(5, &["v2"], &["v3"]);
    let protected = OrderDecision::Protected { version: version("v1") };
    let both = |seen| [("a-1", seen, &["v1"][..]), ("a-2", seen, &["v1"])];
    let unloading = |pinned: &[Arc<Snapshot>], seen| {
        let names = ["a-1", "a-2"].into_iter();
        names
            .filter(|name| {
                let decided = decide(&new, pinned, &both(seen), name);
                decided == send(5, &["v2"])
            })
            .count()
    };
    // Both have v1 and neither should keep it. Only one may unload it, whether
    // they have seen this epoch or an earlier one that has v1 on both.
    assert_eq!(unloading(&old, 5), 1);
    assert_eq!(unloading(&old, 4), 1);
    // No snapshot needs v1.
    assert_eq!(unloading(&[], 4), 2);
    // An order of epoch 3 may have unloaded v1 from either after its report,
    // because epoch 3 is unknown or has v1 elsewhere.
    assert_eq!(unloading(&old, 3), 0);
    let moved = [fleet(3, &["v3"], &["v1"]), Arc::clone(&old[0])];
    assert_eq!(unloading(&moved, 3), 0);
    // Pool b should have v1. Each of its servers is a witness as soon as it
    // has loaded v1.
    let moved = fleet(5, &["v2"], &["v1"]);
    let reports =
        |seen, loaded| [("a-1", 5, &["v1"][..]), ("b-1", seen, loaded)];
    let with =
        |seen, loaded| decide(&moved, &[], &reports(seen, loaded), "a-1");
    assert_eq!(with(5, &["v1"]), send(5, &["v2"]));
    assert_eq!(with(4, &["v1"]), protected);
    assert_eq!(with(5, &["v3"]), protected);
}

/// Guards against interrupting the only load of a pinned version, which was
/// ordered by an earlier epoch and is not in the report yet.
#[test]
fn decide_protects_running_load() {
    let old = [fleet(4, &["v1"], &["v3"])];
    let new = fleet(5, &["v2"], &["v3"]);
    let about = |seen| decide(&new, &old, &[("a-1", seen, &[])], "a-1");
    assert_eq!(about(4), OrderDecision::Protected { version: version("v1") });
    assert_eq!(about(5), send(5, &["v2"]));
}

/// Guards against a deadlock of two pools that swap versions.
#[test]
fn decide_breaks_swap() {
    let new = fleet(5, &["v2"], &["v1"]);
    let reports = [("a-1", 5, &["v1"][..]), ("b-1", 5, &["v2"])];
    let decided = decide(&new, &[], &reports, "a-1");
    assert_eq!(decided, send(5, &["v1", "v2"]));
}

/// Guards against all daemons sending at once, against a standby that never
/// sends, against repeating an order during its load, and against orders of a
/// daemon that has just started and does not know which versions are pinned.
#[test]
fn decide_staggers_senders() {
    let new = fleet(5, &["v2"], &["v3"]);
    let daemons: Vec<VmName> =
        (1..4).map(|n| VmName::new(&format!("vm-{n}")).unwrap()).collect();
    let reports = [(server("a-1"), report(4, &versions(&["v1"])))];
    let reports = reports.into_iter().collect();
    let schedule = LoadSchedule::new(&new, None);
    let start = schedule.start(&server("a-1"));
    let order = sender_order(&server("a-1"), &daemons);
    let decide_after = |since_first_adoption,
                        position: usize,
                        passed,
                        since_last_order| {
        let situation = OrderContext {
            snapshot: &new,
            pinned: &[],
            reports: &reports,
            schedule: &schedule,
            since_adoption: start + passed,
            since_first_adoption,
            local_vm: order[position],
            zone_daemons: &daemons,
        };
        let sent =
            OrderProgress { differs_for: start + passed, since_last_order };
        situation.decide(&server("a-1"), sent)
    };
    let decide = |position, passed, since_last_order| {
        decide_after(LONG, position, passed, since_last_order)
    };
    let wait = |secs, reason| {
        let remaining = Duration::from_secs(secs);
        OrderDecision::Wait { remaining, reason }
    };
    let now = Duration::ZERO;
    assert_eq!(decide(0, now, None), send(5, &["v2"]));
    assert_eq!(decide(1, now, None), wait(16, WaitReason::Standby));
    assert_eq!(decide(2, now, None), wait(32, WaitReason::Standby));
    let turn = Duration::from_secs(16);
    assert_eq!(decide(1, turn, None), send(5, &["v2"]));
    assert_eq!(decide(0, now, Some(now)), wait(11, WaitReason::Loading));
    assert_eq!(decide(0, turn, Some(turn)), send(5, &["v2"]));
    let fresh = decide_after(Duration::from_secs(2), 0, now, None);
    assert_eq!(fresh, wait(20, WaitReason::Starting));
}

/// Guards against loads that together exceed the rate of the weight store,
/// and against reserving time for versions that a server already has.
#[test]
fn schedule_paces_loads() {
    let old = fleet(4, &["v1"], &["v3"]);
    let new = fleet(5, &["v1", "v2"], &["v3"]);
    let starts = |previous| {
        let schedule = LoadSchedule::new(&new, previous);
        let names = ["a-1", "a-2", "b-1", "b-2"];
        let mut starts = names.map(|n| schedule.start(&server(n)).as_secs());
        starts.sort_unstable();
        starts
    };
    // Two servers load one version each, one second apart.
    assert_eq!(starts(Some(&old))[0], 0);
    assert!(starts(Some(&old)).iter().all(|s| *s <= 2));
    assert!(starts(Some(&old)).contains(&1));
    // All six loads take a second each, and no two starts coincide.
    let full = starts(None);
    assert!(full.windows(2).all(|pair| pair[0] < pair[1]), "{full:?}");
}

/// Guards against treating an order as applied that was lost, is still
/// loading, or was replaced by that of another sender.
#[test]
fn verify_reads_state_back() {
    let order = PlannedOrder {
        fencing_token: 5,
        model_versions: versions(&["v1", "v2"]),
    };
    let rows: [(u64, &[&str], Verification); 5] = [
        (5, &["v1", "v2"], Verification::Applied),
        (5, &["v1"], Verification::Loading),
        (4, &["v1", "v2"], Verification::NotSeen),
        (6, &["v1", "v2"], Verification::Superseded { epoch_seen: 6 }),
        (5, &["v1", "v2", "v3"], Verification::Overwritten),
    ];
    for (epoch_seen, loaded, expected) in rows {
        let read_back = report(epoch_seen, &versions(loaded));
        assert_eq!(order.verify(&read_back), expected);
    }
}
