//! Servers that fail, leave, restart or disappear from the list.

use super::*;

const PAIR: [&str; 2] = ["recife-a-1", "recife-a-2"];

/// Guards against new work for a leaving server, and against an older report
/// or a list entry after which it counts as ready again.
#[test]
fn leaving_server_gets_nothing() {
    let mut fixture = Fixture::new(&PAIR);
    fixture.report("recife-a-1", &report(1, 1, 0));
    fixture.report("recife-a-2", &report(1, 1, 0));
    fixture.report("recife-a-1", &leaving(1, 3));
    assert_eq!(fixture.picked(), ["recife-a-2"]);
    fixture.report("recife-a-1", &report(1, 4, 0));
    let listed = ListedState::Live;
    fixture.router.set_listed(fixture.now, &name("recife-a-1"), listed);
    assert_eq!(fixture.picked(), ["recife-a-2"]);
    fixture.report("recife-a-1", &report(2, 1, 0));
    assert_eq!(fixture.picked(), PAIR);
}

/// Guards against falling back to a leaving server if no other is left.
#[test]
fn leaving_servers_are_no_fallback() {
    let mut fixture = Fixture::new(&PAIR);
    fixture.fail("recife-a-1", AttemptFailure::Leaving);
    let listed = ListedState::Leaving;
    fixture.router.set_listed(fixture.now, &name("recife-a-2"), listed);
    assert_eq!(fixture.pick().unwrap_err(), NoServer::AllLeaving);
}

/// Guards against a list that lags behind a restart. A report of the server
/// takes precedence.
#[test]
fn listed_state_yields_to_report() {
    for listed in [ListedState::Leaving, ListedState::Absent] {
        let mut fixture = Fixture::new(&PAIR);
        fixture.report("recife-a-1", &report(1, 1, 0));
        fixture.report("recife-a-2", &report(1, 1, 0));
        fixture.router.set_listed(fixture.now, &name("recife-a-1"), listed);
        assert_eq!(fixture.picked(), ["recife-a-2"], "{listed:?}");
        fixture.now += MS;
        fixture.report("recife-a-1", &report(2, 1, 0));
        assert_eq!(fixture.picked(), PAIR, "{listed:?}");
    }
}

/// Guards against never probing a server that is missing from a lagging
/// list.
#[test]
fn absent_server_is_probed() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    let server = name("recife-a-1");
    fixture.router.set_listed(fixture.now, &server, ListedState::Absent);
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    fixture.now += 9_999 * MS;
    assert!(fixture.polled().is_empty());
    fixture.now += MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
}

/// Guards against a second attempt at a dead server, and against one that
/// gets no work after it has recovered.
#[test]
fn connect_error_ejects_until_probe() {
    let mut fixture = Fixture::new(&PAIR);
    fixture.polled();
    fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    assert_eq!(fixture.picked(), ["recife-a-2"]);
    // A report sent before the ejection does not prove recovery.
    fixture.report("recife-a-1", &report(1, 1, 0));
    assert_eq!(fixture.picked(), ["recife-a-2"]);
    fixture.now += 249 * MS;
    assert!(fixture.polled().is_empty());
    fixture.now += MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    fixture.report("recife-a-1", &report(1, 2, 0));
    fixture.report("recife-a-2", &report(1, 1, 0));
    assert_eq!(fixture.picked(), PAIR);
}

/// Guards against a longer backoff because several attempts failed together.
#[test]
fn connect_errors_at_once_count_once() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    for _ in 0..5 {
        fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    }
    fixture.now += 250 * MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
}

/// Guards against probing a dead server at a constant rate.
#[test]
fn failed_probe_doubles_backoff() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    let server = name("recife-a-1");
    fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    for backoff_ms in [250, 500, 1_000, 2_000] {
        fixture.now += (backoff_ms - 1) * MS;
        assert!(fixture.polled().is_empty(), "{backoff_ms}");
        fixture.now += MS;
        assert_eq!(fixture.polled(), ["recife-a-1"], "{backoff_ms}");
        fixture.router.record_poll_failure(fixture.now, &server);
    }
}

/// Guards against a server that stays ejected because the result of a probe
/// was lost.
#[test]
fn lost_probe_is_repeated() {
    let mut fixture = Fixture::new(&["recife-a-1"]);
    fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    fixture.now += 250 * MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
    fixture.now += 999 * MS;
    assert!(fixture.polled().is_empty());
    fixture.now += MS;
    assert_eq!(fixture.polled(), ["recife-a-1"]);
}

/// Guards against refusing all requests because of a fault in the network of
/// the daemon, and against an ejection that outlasts a successful attempt.
#[test]
fn all_bad_falls_back() {
    let mut fixture = Fixture::new(&PAIR);
    fixture.fail("recife-a-1", AttemptFailure::ConnectFailed);
    fixture.now += 20 * MS;
    fixture.fail("recife-a-2", AttemptFailure::ConnectFailed);
    let pick = fixture.pick().unwrap();
    assert_eq!(pick.kind, PickKind::Fallback);
    assert_eq!(pick.server.name.as_str(), "recife-a-1");
    let tried = [name("recife-a-1"), name("recife-a-2")];
    let other = fixture.pick_with(|q| q.exclude = &tried[..1]).unwrap();
    assert_eq!(other.server.name.as_str(), "recife-a-2");
    let none = fixture.pick_with(|q| q.exclude = &tried);
    assert_eq!(none.unwrap_err(), NoServer::AllExcluded);
    // Both attempts took 10 ms. The first began after the ejection of its
    // server and proves recovery; the second did not.
    fixture.finish("recife-a-1", AttemptResult::Completed);
    fixture.finish("recife-a-2", AttemptResult::Completed);
    let pick = fixture.pick().unwrap();
    assert_eq!(pick.kind, PickKind::Load);
    assert_eq!(fixture.picked(), ["recife-a-1"]);
}

/// Guards against a retry at the server that has just failed.
#[test]
fn pick_honours_exclusions() {
    let mut fixture = Fixture::new(&PAIR);
    let tried = [name("recife-a-1"), name("recife-a-2")];
    for _ in 0..20 {
        let pick = fixture.pick_with(|q| q.exclude = &tried[..1]).unwrap();
        assert_eq!(pick.server.name.as_str(), "recife-a-2");
    }
    let none = fixture.pick_with(|q| q.exclude = &tried);
    assert_eq!(none.unwrap_err(), NoServer::AllExcluded);
}

/// The state of a server when a fault occurs.
#[derive(Clone, Copy, Debug)]
enum Step {
    Unknown,
    Reported,
    Stale,
    Busy,
    Probing,
    Leaving,
}

fn at_step(step: Step) -> Fixture {
    let mut fixture = Fixture::new(&PAIR);
    fixture.report("recife-a-2", &report(1, 1, 0));
    match step {
        Step::Unknown => {}
        Step::Reported => fixture.report(PAIR[0], &report(1, 1, 0)),
        Step::Stale => {
            fixture.report(PAIR[0], &report(1, 1, 0));
            fixture.now += 10_000 * MS;
        }
        Step::Busy => fixture.report(PAIR[0], &report(1, 1, SLOTS)),
        Step::Probing => {
            fixture.fail(PAIR[0], AttemptFailure::ConnectFailed);
            fixture.now += 250 * MS;
            fixture.polled();
        }
        Step::Leaving => fixture.report(PAIR[0], &leaving(1, 1)),
    }
    fixture
}

/// Fault matrix: each failure in each state. Guards against a server that
/// still gets work after a fault, or none after it has restarted.
#[test]
fn fault_matrix_stops_and_recovers() {
    use AttemptFailure as F;
    let failures = [
        (F::ConnectFailed, 1),
        (F::RefusedNotRun, 1),
        (F::Leaving, 1),
        (F::ConnectionLost, 3),
        (F::TimedOut, 3),
        (F::ErrorStatus, 3),
        (F::ResponseMismatch, 3),
    ];
    let steps = [
        Step::Unknown,
        Step::Reported,
        Step::Stale,
        Step::Busy,
        Step::Probing,
        Step::Leaving,
    ];
    for step in steps {
        for (failure, times) in failures {
            let case = format!("{failure:?} at {step:?}");
            let mut fixture = at_step(step);
            for _ in 0..times {
                fixture.fail(PAIR[0], failure);
            }
            assert_eq!(fixture.picked(), [PAIR[1]], "{case}");
            // The servers restart and respond to each poll. Leaving ones are
            // probed every 10 s.
            for sequence in 1..=110 {
                fixture.now += 100 * MS;
                for server in fixture.polled() {
                    fixture.report(&server, &report(2, sequence, 0));
                }
            }
            assert_eq!(fixture.picked(), PAIR, "{case}");
        }
    }
}
