//! The whole path of requests through real daemons, over stand-ins of the
//! platform and the backend servers.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use briarladder_core::{load::ServerState, names::VmName, objects::Object};
use briarladder_daemon::{blackboard::Phase, controllers::membership};
use briarladder_standins::{
    fault::{Fault, Pattern, Rule},
    platform::PlatformFault,
};
use briarladder_wire::callers::{Outcome, TicketState};
use support::{
    caller::{Call, Caller},
    fleet::{DaemonProcess, RECHECK, TestFleet, TestFleetSettings},
    history::CallKind,
    invariants::assert_invariants,
    proxy::Link,
};

async fn start() -> TestFleet {
    TestFleet::start(TestFleetSettings::default()).await.unwrap()
}

fn slow(fleet: &TestFleet, stage: &str, time: Duration) {
    let pattern =
        Pattern { stage: Some(stage.parse().unwrap()), ..Pattern::default() };
    for backend in fleet.cluster().backends() {
        backend.faults().add(Rule {
            pattern: pattern.clone(),
            fault: Fault::Slow(time),
            times: None,
        });
    }
}

/// Waits until an execution of a stage has started.
async fn wait_for_stage(fleet: &TestFleet, stage: &str) {
    let journal = fleet.cluster().journal();
    let started =
        || journal.entries().iter().any(|e| e.stage.as_str() == stage);
    while !started() {
        tokio::time::sleep(RECHECK).await;
    }
}

/// Guards against a pipeline whose stages get other input than they should,
/// and against stream events that are lost, doubled or out of order.
#[tokio::test(flavor = "multi_thread")]
async fn answers_repeatable_whole_and_streamed() {
    let fleet = start().await;
    let caller = Caller::new();
    let mut records = Vec::new();
    for at in 0..2 {
        for kind in [CallKind::Repeatable, CallKind::Streamed] {
            let call = Call::new(kind, "sheet");
            records.push(caller.send(&fleet.place(at), &call).await);
        }
    }
    for record in &records {
        let answer = record.answer().unwrap_or_else(|| panic!("{record:?}"));
        assert_eq!(answer.outcome, Outcome::Answered);
        let tokens = match record.kind {
            CallKind::Streamed => 16,
            _ => 0,
        };
        assert_eq!(record.tokens.len(), tokens);
    }
    assert_invariants(&fleet, records);
}

/// Guards against a call that runs at another daemon than the issuer of its
/// ticket, twice when it is sent twice, or with two answers; and against a
/// status or a close that contradicts it.
#[tokio::test(flavor = "multi_thread")]
async fn ticketed_call_runs_once_at_its_issuer() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.place(0), fleet.place(1));
    slow(&fleet, "charge", Duration::from_millis(100));
    let ticket = caller.ticket(&a).await.unwrap();
    let call =
        Call::new(CallKind::Ticketed, "once").with_ticket(ticket.clone());
    let unused = caller.status(&b, &ticket).await.unwrap();
    assert_eq!(unused.state, TicketState::Unused);
    let (mut first, second, running) =
        tokio::join!(caller.send(&b, &call), caller.send(&a, &call), async {
            wait_for_stage(&fleet, "charge").await;
            caller.status(&b, &ticket).await.unwrap()
        });
    assert_eq!(running.state, TicketState::Running);
    let later = caller.send(&b, &call).await;
    for record in [&first, &second, &later] {
        assert!(record.answer().is_some(), "{record:?}");
    }
    let executions = fleet.cluster().journal().entries();
    let charges = executions.iter().filter(|e| e.stage.as_str() == "charge");
    assert_eq!(charges.count(), 1);
    for place in [&a, &b] {
        let status = caller.status(place, &ticket).await.unwrap();
        assert_eq!(status.state, TicketState::Answered);
        assert!(status.answer.is_some());
        first.states.push(status.state);
        let closed = caller.close(place, &ticket).await.unwrap();
        assert_eq!(closed.state, TicketState::Answered);
    }
    assert_invariants(&fleet, vec![first, second, later]);
}

/// Guards against a closed ticket that can still run, at the issuer or
/// through another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn closed_ticket_never_runs() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.place(0), fleet.place(1));
    let ticket = caller.ticket(&a).await.unwrap();
    let closed = caller.close(&b, &ticket).await.unwrap();
    assert_eq!(closed.state, TicketState::NotRun);
    let call = Call::new(CallKind::Ticketed, "late").with_ticket(ticket);
    let mut records = Vec::new();
    for place in [&a, &b] {
        let record = caller.send(place, &call).await;
        record.assert_refused("ticket-closed", Outcome::NotRun);
        records.push(record);
    }
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_invariants(&fleet, records);
}

/// Guards against a planned stop that cuts a stream or a ticketed call, or
/// that takes new requests meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.place(0), fleet.place(1));
    slow(&fleet, "draft", Duration::from_millis(300));
    slow(&fleet, "charge", Duration::from_millis(300));
    let ticket = caller.ticket(&a).await.unwrap();
    let streamed = Call::new(CallKind::Streamed, "stream");
    let own = Call::new(CallKind::Ticketed, "own").with_ticket(ticket.clone());
    let other_ticket = caller.ticket(&a).await.unwrap();
    let forwarded =
        Call::new(CallKind::Ticketed, "forwarded").with_ticket(other_ticket);
    let calls = tokio::spawn({
        let (caller, a, b) = (caller.clone(), a.clone(), b.clone());
        async move {
            tokio::join!(
                caller.send(&a, &streamed),
                caller.send(&a, &own),
                caller.send(&b, &forwarded),
            )
        }
    });
    wait_for_stage(&fleet, "draft").await;
    wait_for_stage(&fleet, "charge").await;
    let stopping = fleet.begin_stop(&a.vm).unwrap();
    let daemon = Arc::clone(fleet.daemons()[0].daemon());
    while daemon.blackboard.phase() == Phase::Running {
        tokio::time::sleep(RECHECK).await;
    }
    let not_ready = caller.readyz(&a).await.unwrap();
    assert_eq!(not_ready.status().as_u16(), 503);
    while daemon.blackboard.phase() != Phase::Draining {
        tokio::time::sleep(RECHECK).await;
    }
    let late = Call::new(CallKind::Repeatable, "late");
    let late = caller.send(&a, &late).await;
    late.assert_refused("not-ready", Outcome::NotRun);
    fleet.finish_stop(stopping).await;
    let (streamed, own, forwarded) = calls.await.unwrap();
    assert_eq!(streamed.tokens.len(), 16);
    for record in [&streamed, &own, &forwarded] {
        assert!(record.answer().is_some(), "{record:?}");
    }
    let records = vec![streamed, own, forwarded, late];
    assert_invariants(&fleet, records);
}

/// Guards against an outcome that is invented for the tickets of a daemon
/// that died: only the plain service can tell that a call ran, and nobody
/// that one did not.
#[tokio::test(flavor = "multi_thread")]
async fn killed_daemon_leaves_what_services_know() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.place(0), fleet.place(1));
    let used = caller.ticket(&a).await.unwrap();
    let unused = caller.ticket(&a).await.unwrap();
    let call = Call::new(CallKind::Ticketed, "done").with_ticket(used.clone());
    let before = caller.send(&b, &call).await;
    assert!(before.answer().is_some(), "{before:?}");
    fleet.kill(&a.vm);
    let status = caller.status(&b, &used).await.unwrap();
    assert_eq!(status.state, TicketState::Answered);
    let status = caller.status(&b, &unused).await.unwrap();
    assert_eq!(status.state, TicketState::Unknown);
    let again = caller.send(&b, &call).await;
    again.assert_refused("issuer-unreachable", Outcome::Unknown);
    let late = Call::new(CallKind::Ticketed, "late").with_ticket(unused);
    let late = caller.send(&b, &late).await;
    late.assert_refused("issuer-unreachable", Outcome::Unknown);
    assert_invariants(&fleet, vec![before, again, late]);
}

/// Guards against a caller that waits past its deadline because the daemon
/// that issued its ticket does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_call_ends_by_its_deadline() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.place(0), fleet.place(1));
    let ticket = caller.ticket(&a).await.unwrap();
    let call = Call {
        deadline_ms: Some(500),
        ..Call::new(CallKind::Ticketed, "held").with_ticket(ticket)
    };
    fleet.daemons()[0].set_peer_link(Link::Held);
    let began = Instant::now();
    let record = caller.send(&b, &call).await;
    let elapsed = began.elapsed();
    record.assert_refused("deadline-exceeded", Outcome::Unknown);
    assert!(elapsed >= Duration::from_millis(500), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    fleet.daemons()[0].set_peer_link(Link::Open);
    assert_invariants(&fleet, vec![record]);
}

/// Guards against a daemon without a configuration, and so without keys,
/// that calls a good ticket forged.
#[tokio::test(flavor = "multi_thread")]
async fn unready_daemon_says_nothing_of_a_ticket() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let ticket = caller.ticket(&fleet.place(0)).await.unwrap();
    let refuses = PlatformFault::RefuseConnections;
    fleet.platform().set_fault(refuses).await.unwrap();
    let vm = fleet.start_daemon("east-a").await.unwrap();
    let fresh = fleet.place(2);
    assert_eq!(fresh.vm, vm);
    let call = Call::new(CallKind::Ticketed, "early").with_ticket(ticket);
    let record = caller.send(&fresh, &call).await;
    record.assert_refused("not-ready", Outcome::Unknown);
    assert_invariants(&fleet, vec![record]);
}

/// Guards against a request whose stages run under two epochs.
#[tokio::test(flavor = "multi_thread")]
async fn new_epoch_does_not_mix() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let sender = tokio::spawn({
        let caller = caller.clone();
        let places = [fleet.place(0), fleet.place(1)];
        async move {
            let mut records = Vec::new();
            for number in 0..40 {
                let place = &places[number % 2];
                let call = Call::new(CallKind::Streamed, &number.to_string());
                let plan = caller.send(place, &call);
                let call =
                    Call::new(CallKind::Repeatable, &number.to_string());
                let find = caller.send(place, &call);
                let (plan, find) = tokio::join!(plan, find);
                records.extend([plan, find]);
            }
            records
        }
    });
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.publish_next().unwrap();
    }
    let records = sender.await.unwrap();
    fleet.wait_until_ready().await.unwrap();
    let epochs: Vec<u64> =
        records.iter().map(|r| r.answer().unwrap().epoch).collect();
    assert!(epochs.iter().min() < epochs.iter().max(), "{epochs:?}");
    assert_invariants(&fleet, records);
}

/// Guards against a bad set that comes into force, in part or as a whole,
/// or that stops a daemon from serving or from taking the next good one.
#[tokio::test(flavor = "multi_thread")]
async fn bad_set_leaves_the_last_good_one() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let mut bad = fleet.objects().to_vec();
    bad.retain(
        |o| !matches!(o, Object::Stage(s) if s.name.as_str() == "draft"),
    );
    let epoch = fleet.publish(&bad).unwrap();
    let rejected = |fleet: &TestFleet, at: usize| {
        let daemon = fleet.daemons()[at].daemon();
        let configuration = daemon.blackboard.configuration();
        let problem = configuration.problem.clone();
        problem.is_some_and(|p| p.contains(&epoch.to_string()))
    };
    while !(rejected(&fleet, 0) && rejected(&fleet, 1)) {
        tokio::time::sleep(RECHECK).await;
    }
    let mut records = Vec::new();
    for at in 0..2 {
        let call = Call::new(CallKind::Streamed, "good");
        let record = caller.send(&fleet.place(at), &call).await;
        assert_eq!(record.answer().unwrap().epoch, epoch - 1);
        records.push(record);
    }
    let next = fleet.publish_next().unwrap();
    fleet.wait_until_ready().await.unwrap();
    let call = Call::new(CallKind::Repeatable, "next");
    let record = caller.send(&fleet.place(0), &call).await;
    assert_eq!(record.answer().unwrap().epoch, next);
    records.push(record);
    assert_invariants(&fleet, records);
}

/// Guards against a fresh daemon that serves an old epoch from a stale
/// platform while the fleet is ahead of it.
#[tokio::test(flavor = "multi_thread")]
async fn fresh_daemon_below_the_floor_is_not_ready() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let old = fleet.publish_next().unwrap();
    let new = fleet.publish_next().unwrap();
    fleet.wait_until_ready().await.unwrap();
    let warm = Call::new(CallKind::Repeatable, "warm");
    let mut records = vec![caller.send(&fleet.place(0), &warm).await];
    // The platform falls back, and every daemon that knows better dies.
    fleet.publish_as(old, fleet.objects()).unwrap();
    for vm in [fleet.place(0).vm, fleet.place(1).vm] {
        fleet.kill(&vm);
    }
    fleet.start_daemon("east-a").await.unwrap();
    fleet.list_vms();
    let place = fleet.place(0);
    let floor = || fleet.running()[0].daemon().config.with(|s| s.floor());
    while floor() < new {
        tokio::time::sleep(RECHECK).await;
    }
    // The wait for the floor is 3 s at most; look until it is over.
    for _ in 0..16 {
        let ready = caller.readyz(&place).await.unwrap();
        assert_eq!(ready.status().as_u16(), 503);
        let call = Call::new(CallKind::Repeatable, "early");
        let record = caller.send(&place, &call).await;
        record.assert_refused("not-ready", Outcome::NotRun);
        records.push(record);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let text = caller.readyz(&place).await.unwrap().text().await.unwrap();
    assert!(text.contains(&new.to_string()), "{text}");
    // It serves as soon as the platform is no longer stale.
    fleet.publish_as(new, fleet.objects()).unwrap();
    fleet.wait_until_ready().await.unwrap();
    let call = Call::new(CallKind::Repeatable, "served");
    let record = caller.send(&place, &call).await;
    assert_eq!(record.answer().unwrap().epoch, new);
    records.push(record);
    assert_invariants(&fleet, records);
}

/// Guards against new work at a leaving backend server.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work() {
    let fleet = start().await;
    let caller = Caller::new();
    fleet.backend("catalogue-a").set_state(ServerState::Leaving);
    let mut records = Vec::new();
    for number in 0..40 {
        let call = Call::new(CallKind::Repeatable, &number.to_string());
        records.push(caller.send(&fleet.place(number % 2), &call).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(records.iter().all(|r| r.answer().is_some()), "{records:?}");
    assert_invariants(&fleet, records);
}

/// Guards against a zone whose readers died and where nobody reads the list
/// of VMs for minutes, so that daemons do not find one another.
#[tokio::test(flavor = "multi_thread")]
async fn list_is_read_after_its_readers_died() {
    let settings = TestFleetSettings {
        zones: vec!["east-a"; 4],
        ..TestFleetSettings::default()
    };
    let mut fleet = TestFleet::start(settings).await.unwrap();
    let readers: Vec<VmName> = fleet
        .running()
        .iter()
        .filter(|process| membership::is_reader(process.daemon()))
        .map(|process| process.place().vm.clone())
        .collect();
    assert_eq!(readers.len(), 2);
    for vm in &readers {
        fleet.kill(vm);
    }
    fleet.list_wrong_vms().unwrap();
    let listed = VmName::new("entry-gone").unwrap();
    let knows = |process: &&DaemonProcess| {
        process
            .daemon()
            .members
            .with(|members| members.iter().any(|member| member.name == listed))
    };
    // The readers are dead after about 5 s of silence.
    let began = Instant::now();
    while !fleet.running().iter().any(knows) {
        assert!(began.elapsed() < Duration::from_secs(20));
        tokio::time::sleep(RECHECK).await;
    }
}
