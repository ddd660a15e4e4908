//! Tests the whole path of requests through real daemons, with stand-ins for
//! the platform and the backend servers.

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
    fleet::{DaemonProcess, POLL_INTERVAL, TestFleet, TestFleetSettings},
    history::CallKind,
    invariants::assert_invariants,
    proxy::LinkState,
};

async fn start() -> TestFleet {
    TestFleet::start(TestFleetSettings::default()).await.unwrap()
}

fn add_delay(fleet: &TestFleet, stage: &str, time: Duration) {
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

/// Waits until a stage has started to run on a backend server.
async fn wait_for_stage(fleet: &TestFleet, stage: &str) {
    let journal = fleet.cluster().journal();
    let started =
        || journal.entries().iter().any(|e| e.stage.as_str() == stage);
    while !started() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a pipeline whose stages receive the wrong input, and against
/// stream events that are lost, duplicated or out of order.
#[tokio::test(flavor = "multi_thread")]
async fn repeatable_requests_succeed_whole_and_streamed() {
    let fleet = start().await;
    let caller = Caller::new();
    let mut records = Vec::new();
    for index in 0..2 {
        for kind in [CallKind::Repeatable, CallKind::Streamed] {
            let call = Call::new(kind, "sheet");
            records.push(caller.send(&fleet.endpoint(index), &call).await);
        }
    }
    for record in &records {
        let response =
            record.response().unwrap_or_else(|| panic!("{record:?}"));
        assert_eq!(response.outcome, Outcome::Answered);
        let tokens = match record.kind {
            CallKind::Streamed => 16,
            _ => 0,
        };
        assert_eq!(record.tokens.len(), tokens);
    }
    assert_invariants(&fleet, records);
}

/// Guards against a call that runs on another daemon than the issuer of its
/// ticket, that runs twice when it is sent twice, or that has two responses;
/// and against a status query or close that contradicts the outcome.
#[tokio::test(flavor = "multi_thread")]
async fn ticketed_call_runs_once_on_its_issuer() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.endpoint(0), fleet.endpoint(1));
    add_delay(&fleet, "charge", Duration::from_millis(100));
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
        assert!(record.response().is_some(), "{record:?}");
    }
    let executions = fleet.cluster().journal().entries();
    let charges = executions.iter().filter(|e| e.stage.as_str() == "charge");
    assert_eq!(charges.count(), 1);
    for endpoint in [&a, &b] {
        let status = caller.status(endpoint, &ticket).await.unwrap();
        assert_eq!(status.state, TicketState::Answered);
        assert!(status.answer.is_some());
        first.ticket_states.push(status.state);
        let closed = caller.close(endpoint, &ticket).await.unwrap();
        assert_eq!(closed.state, TicketState::Answered);
    }
    assert_invariants(&fleet, vec![first, second, later]);
}

/// Guards against a call that runs with a closed ticket, on the issuer or
/// through another daemon.
#[tokio::test(flavor = "multi_thread")]
async fn closed_ticket_never_runs() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.endpoint(0), fleet.endpoint(1));
    let ticket = caller.ticket(&a).await.unwrap();
    let closed = caller.close(&b, &ticket).await.unwrap();
    assert_eq!(closed.state, TicketState::NotRun);
    let call = Call::new(CallKind::Ticketed, "late").with_ticket(ticket);
    let mut records = Vec::new();
    for endpoint in [&a, &b] {
        let record = caller.send(endpoint, &call).await;
        record.assert_refused("ticket-closed", Outcome::NotRun);
        records.push(record);
    }
    assert_eq!(fleet.cluster().journal().entries().len(), 0);
    assert_invariants(&fleet, records);
}

/// Guards against a graceful shutdown that interrupts a stream or a ticketed
/// call, or that accepts new requests.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_completes_requests() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.endpoint(0), fleet.endpoint(1));
    add_delay(&fleet, "draft", Duration::from_millis(300));
    add_delay(&fleet, "charge", Duration::from_millis(300));
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
    let pending_shutdown = fleet.begin_shutdown(&a.vm).unwrap();
    let daemon = Arc::clone(fleet.daemons()[0].daemon());
    while daemon.blackboard.phase() == Phase::Running {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let not_ready = caller.readyz(&a).await.unwrap();
    assert_eq!(not_ready.status().as_u16(), 503);
    while daemon.blackboard.phase() != Phase::Draining {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let late_request = Call::new(CallKind::Repeatable, "late");
    let late_request = caller.send(&a, &late_request).await;
    late_request.assert_refused("not-ready", Outcome::NotRun);
    fleet.finish_shutdown(pending_shutdown).await;
    let (streamed, own, forwarded) = calls.await.unwrap();
    assert_eq!(streamed.tokens.len(), 16);
    for record in [&streamed, &own, &forwarded] {
        assert!(record.response().is_some(), "{record:?}");
    }
    let records = vec![streamed, own, forwarded, late_request];
    assert_invariants(&fleet, records);
}

/// Guards against reporting an unproven outcome for the tickets of a killed
/// daemon: only the plain service can confirm that a call ran, and nothing
/// can confirm that a call did not run.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_status_after_daemon_was_killed() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.endpoint(0), fleet.endpoint(1));
    let used = caller.ticket(&a).await.unwrap();
    let unused = caller.ticket(&a).await.unwrap();
    let call = Call::new(CallKind::Ticketed, "done").with_ticket(used.clone());
    let before = caller.send(&b, &call).await;
    assert!(before.response().is_some(), "{before:?}");
    fleet.kill(&a.vm);
    let status = caller.status(&b, &used).await.unwrap();
    assert_eq!(status.state, TicketState::Answered);
    let status = caller.status(&b, &unused).await.unwrap();
    assert_eq!(status.state, TicketState::Unknown);
    let again = caller.send(&b, &call).await;
    again.assert_refused("issuer-unreachable", Outcome::Unknown);
    let late_request =
        Call::new(CallKind::Ticketed, "late").with_ticket(unused);
    let late_request = caller.send(&b, &late_request).await;
    late_request.assert_refused("issuer-unreachable", Outcome::Unknown);
    assert_invariants(&fleet, vec![before, again, late_request]);
}

/// Guards against a caller that waits past its deadline because the daemon
/// that issued its ticket does not respond.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_call_respects_its_deadline() {
    let fleet = start().await;
    let caller = Caller::new();
    let (a, b) = (fleet.endpoint(0), fleet.endpoint(1));
    let ticket = caller.ticket(&a).await.unwrap();
    let call = Call {
        deadline_ms: Some(500),
        ..Call::new(CallKind::Ticketed, "held").with_ticket(ticket)
    };
    fleet.daemons()[0].set_peer_link(LinkState::Blocked);
    let started_at = Instant::now();
    let record = caller.send(&b, &call).await;
    let elapsed = started_at.elapsed();
    record.assert_refused("deadline-exceeded", Outcome::Unknown);
    assert!(elapsed >= Duration::from_millis(500), "{elapsed:?}");
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    fleet.daemons()[0].set_peer_link(LinkState::Open);
    assert_invariants(&fleet, vec![record]);
}

/// Guards against a daemon without a configuration, and therefore without
/// ticket keys, that rejects a valid ticket as forged.
#[tokio::test(flavor = "multi_thread")]
async fn unready_daemon_reports_unknown_outcome() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let ticket = caller.ticket(&fleet.endpoint(0)).await.unwrap();
    let refuses = PlatformFault::RefuseConnections;
    fleet.platform().set_fault(refuses).await.unwrap();
    let vm = fleet.start_daemon("east-a").await.unwrap();
    let new_daemon = fleet.endpoint(2);
    assert_eq!(new_daemon.vm, vm);
    let call = Call::new(CallKind::Ticketed, "early").with_ticket(ticket);
    let record = caller.send(&new_daemon, &call).await;
    record.assert_refused("not-ready", Outcome::Unknown);
    assert_invariants(&fleet, vec![record]);
}

/// Guards against a request whose stages run in different epochs.
#[tokio::test(flavor = "multi_thread")]
async fn requests_do_not_mix_epochs() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let sender = tokio::spawn({
        let caller = caller.clone();
        let endpoints = [fleet.endpoint(0), fleet.endpoint(1)];
        async move {
            let mut records = Vec::new();
            for number in 0..40 {
                let endpoint = &endpoints[number % 2];
                let call = Call::new(CallKind::Streamed, &number.to_string());
                let plan = caller.send(endpoint, &call);
                let call =
                    Call::new(CallKind::Repeatable, &number.to_string());
                let find = caller.send(endpoint, &call);
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
        records.iter().map(|r| r.response().unwrap().epoch).collect();
    assert!(epochs.iter().min() < epochs.iter().max(), "{epochs:?}");
    assert_invariants(&fleet, records);
}

/// Guards against an invalid set that is applied, in part or as a whole, or
/// that prevents a daemon from serving or from applying the next valid set.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_configuration_keeps_previous_epoch() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let mut invalid_objects = fleet.objects().to_vec();
    invalid_objects.retain(
        |o| !matches!(o, Object::Stage(s) if s.name.as_str() == "draft"),
    );
    let epoch = fleet.publish(&invalid_objects).unwrap();
    let rejected = |fleet: &TestFleet, index: usize| {
        let daemon = fleet.daemons()[index].daemon();
        let configuration = daemon.blackboard.configuration();
        let problem = configuration.problem.clone();
        problem.is_some_and(|p| p.contains(&epoch.to_string()))
    };
    while !(rejected(&fleet, 0) && rejected(&fleet, 1)) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let mut records = Vec::new();
    for index in 0..2 {
        let call = Call::new(CallKind::Streamed, "good");
        let record = caller.send(&fleet.endpoint(index), &call).await;
        assert_eq!(record.response().unwrap().epoch, epoch - 1);
        records.push(record);
    }
    let next = fleet.publish_next().unwrap();
    fleet.wait_until_ready().await.unwrap();
    let call = Call::new(CallKind::Repeatable, "next");
    let record = caller.send(&fleet.endpoint(0), &call).await;
    assert_eq!(record.response().unwrap().epoch, next);
    records.push(record);
    assert_invariants(&fleet, records);
}

/// Guards against a new daemon that serves an old epoch from a stale platform
/// although the fleet has already applied a newer one.
#[tokio::test(flavor = "multi_thread")]
async fn new_daemon_below_epoch_floor_is_not_ready() {
    let mut fleet = start().await;
    let caller = Caller::new();
    let old_epoch = fleet.publish_next().unwrap();
    let new_epoch = fleet.publish_next().unwrap();
    fleet.wait_until_ready().await.unwrap();
    let warm = Call::new(CallKind::Repeatable, "warm");
    let mut records = vec![caller.send(&fleet.endpoint(0), &warm).await];
    // The platform returns the old epoch, and all daemons that applied the new
    // epoch are killed.
    fleet.publish_at_epoch(old_epoch, fleet.objects()).unwrap();
    for vm in [fleet.endpoint(0).vm, fleet.endpoint(1).vm] {
        fleet.kill(&vm);
    }
    fleet.start_daemon("east-a").await.unwrap();
    fleet.publish_vm_list();
    let endpoint = fleet.endpoint(0);
    let floor = || fleet.running()[0].daemon().config.with(|s| s.floor());
    while floor() < new_epoch {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    // A daemon waits at most 3 s for the floor; poll for 4 s, past that time.
    for _ in 0..16 {
        let ready = caller.readyz(&endpoint).await.unwrap();
        assert_eq!(ready.status().as_u16(), 503);
        let call = Call::new(CallKind::Repeatable, "early");
        let record = caller.send(&endpoint, &call).await;
        record.assert_refused("not-ready", Outcome::NotRun);
        records.push(record);
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let text = caller.readyz(&endpoint).await.unwrap().text().await.unwrap();
    assert!(text.contains(&new_epoch.to_string()), "{text}");
    // The daemon must serve once the platform is no longer stale.
    fleet.publish_at_epoch(new_epoch, fleet.objects()).unwrap();
    fleet.wait_until_ready().await.unwrap();
    let call = Call::new(CallKind::Repeatable, "served");
    let record = caller.send(&endpoint, &call).await;
    assert_eq!(record.response().unwrap().epoch, new_epoch);
    records.push(record);
    assert_invariants(&fleet, records);
}

/// Guards against new work on a leaving backend server.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_receives_no_new_work() {
    let fleet = start().await;
    let caller = Caller::new();
    fleet.backend("catalogue-a").set_state(ServerState::Leaving);
    let mut records = Vec::new();
    for number in 0..40 {
        let call = Call::new(CallKind::Repeatable, &number.to_string());
        records.push(caller.send(&fleet.endpoint(number % 2), &call).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(records.iter().all(|r| r.response().is_some()), "{records:?}");
    assert_invariants(&fleet, records);
}

/// Guards against a zone in which no daemon reads the VM list for minutes
/// after its readers were killed, so that daemons can't discover each other.
#[tokio::test(flavor = "multi_thread")]
async fn vm_list_is_read_after_its_readers_died() {
    let settings = TestFleetSettings {
        zones: vec!["east-a"; 4],
        ..TestFleetSettings::default()
    };
    let mut fleet = TestFleet::start(settings).await.unwrap();
    let readers: Vec<VmName> = fleet
        .running()
        .iter()
        .filter(|process| membership::is_reader(process.daemon()))
        .map(|process| process.endpoint().vm.clone())
        .collect();
    assert_eq!(readers.len(), 2);
    for vm in &readers {
        fleet.kill(vm);
    }
    fleet.publish_stale_vm_list().unwrap();
    let listed = VmName::new("entry-gone").unwrap();
    let knows = |process: &&DaemonProcess| {
        process
            .daemon()
            .members
            .with(|members| members.iter().any(|member| member.name == listed))
    };
    // Peers consider the readers dead after about 5 s without a response.
    let started_at = Instant::now();
    while !fleet.running().iter().any(knows) {
        assert!(started_at.elapsed() < Duration::from_secs(20));
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
