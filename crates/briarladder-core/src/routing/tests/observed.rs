//! The observed state of servers for operators.

use super::*;

fn observed(fixture: &Fixture, server: &str) -> ObservedServer {
    let all = fixture.router.observed_servers().into_iter();
    all.filter(|observed| observed.server.name == name(server)).last().unwrap()
}

/// Guards against an outage whose start moves with each failed probe, and
/// against one that is shown after its end.
#[test]
fn unusable_since_spans_probes() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    assert_eq!(
        observed(&fixture, "recife-a-1").state,
        ObservedState::Unreported
    );
    let began_at = fixture.now;
    fixture.router.record_poll_failure(began_at, &name("recife-a-1"));
    for _ in 0..3 {
        fixture.now += 2_000 * MS;
        assert_eq!(fixture.polled(), ["recife-a-1"]);
        fixture.router.record_poll_failure(fixture.now, &name("recife-a-1"));
        let observed = observed(&fixture, "recife-a-1");
        assert_eq!(observed.state, ObservedState::Ejected);
        assert_eq!(observed.unusable_since, Some(began_at));
        let at = fixture.now;
        let failure = ServerFailure::Poll;
        assert_eq!(observed.last_error, Some(LastError { failure, at }));
    }
    fixture.now += 4_000 * MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 1, 0));
    let observed = observed(&fixture, "recife-a-1");
    assert_eq!(
        (observed.state, observed.unusable_since),
        (ObservedState::Ready, None)
    );
    assert!(observed.last_error.is_some());
}

/// Guards against showing a difference that is only one of order or
/// repetition, against hiding an actual one, and against a wrong start time.
#[test]
fn versions_differ_since_first_report() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    let with = |sequence, versions: &[&str]| LoadReport {
        model_versions: versions.iter().map(|v| version(v)).collect(),
        ..report(1, sequence, 0)
    };
    let differ = |fixture: &Fixture| {
        observed(fixture, "recife-a-1").versions_differ_since
    };
    let declared = fixture.declared;
    fixture.report("recife-a-1", &with(1, &[declared, declared]));
    assert_eq!(differ(&fixture), None);
    let began_at = fixture.now;
    fixture.report("recife-a-1", &with(2, &["other"]));
    fixture.now += MS;
    fixture.report("recife-a-1", &with(3, &[]));
    assert_eq!(differ(&fixture), Some(began_at));
    fixture.report("recife-a-1", &with(4, &[declared]));
    assert_eq!(differ(&fixture), None);
}

/// Guards against a server that no daemon shows because it left all subsets,
/// and against a view that grows with the number of servers.
#[test]
fn seen_keeps_servers_out_of_subsets() {
    let far: Vec<String> =
        (0..50).map(|n| format!("campinas-a-{n:02}")).collect();
    let mut servers = vec!["recife-a-1"];
    servers.extend(far.iter().map(String::as_str));
    let mut fixture = Fixture::new(&servers);
    fixture.fail("recife-a-1", AttemptFailure::Leaving);
    let in_view = fixture.router.observed_servers();
    assert!(in_view.iter().any(|s| s.state == ObservedState::Leaving));
    assert!(in_view.len() < servers.len() / 2, "{}", in_view.len());
}
