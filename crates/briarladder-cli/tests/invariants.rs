//! Each invariant is broken on purpose, and its check has to fire.
//!
//! The base is what a fleet recorded while nothing was wrong; each test
//! changes the record in one way, or makes a stand-in misbehave.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod support;

use std::time::Duration;

use briarladder_core::{
    ids::RequestId,
    timeline::{Event, EventKind},
};
use briarladder_wire::{
    backend::{IDEMPOTENCY_KEY_HEADER, RunRequest},
    callers::{Outcome, Problem, TicketState},
};
use support::{
    caller::{Call, Caller},
    fleet::{TestFleet, TestFleetSettings},
    history::{CallEnd, CallKind, DaemonEnd, DaemonEndKind, History, Record},
    invariants::{Invariant, check},
};

/// The positions of the records in the base.
const REPEATABLE: usize = 0;
const STREAMED: usize = 1;
const TICKETED: usize = 2;

async fn fleet() -> TestFleet {
    let settings = TestFleetSettings {
        zones: vec!["east-a"],
        ..TestFleetSettings::default()
    };
    TestFleet::start(settings).await.unwrap()
}

/// Returns the history of one request of each kind, none of them broken.
async fn base(fleet: &TestFleet) -> History {
    let caller = Caller::new();
    let place = fleet.place(0);
    let ticket = caller.ticket(&place).await.unwrap();
    let ticketed = Call::new(CallKind::Ticketed, "third").with_ticket(ticket);
    let calls = [
        Call::new(CallKind::Repeatable, "first"),
        Call::new(CallKind::Streamed, "second"),
        ticketed,
    ];
    let mut records = Vec::new();
    for call in &calls {
        records.push(caller.send(&place, call).await);
    }
    let history = History::of(fleet, records);
    assert_eq!(check(&history), []);
    history
}

/// Fails unless exactly this invariant is found broken.
fn assert_broken(history: &History, invariant: Invariant) {
    let broken = check(history);
    assert!(!broken.is_empty(), "the check of {invariant:?} did not fire");
    for violation in broken {
        assert_eq!(violation.invariant, invariant, "{violation}");
    }
}

/// Changes one record of a copy of the base.
fn changed(
    base: &History,
    at: usize,
    change: impl FnOnce(&mut Record),
) -> History {
    let mut history = base.clone();
    change(&mut history.records[at]);
    history
}

fn refusal(outcome: Outcome) -> CallEnd {
    CallEnd::Refused(Box::new(Problem {
        kind: "/problems/overloaded".into(),
        title: "refused".into(),
        status: 503,
        detail: String::new(),
        outcome,
        request_id: None,
        retry_after_ms: None,
    }))
}

/// Guards against a check that misses lost, doubled or crossed results.
#[tokio::test(flavor = "multi_thread")]
async fn own_result_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let foreign = base.records[REPEATABLE].ends.clone();
    let broken = [
        changed(&base, REPEATABLE, |r| r.ends.clear()),
        changed(&base, REPEATABLE, |r| r.ends = vec![CallEnd::NoEnd]),
        changed(&base, REPEATABLE, |r| r.ends = vec![CallEnd::Dropped]),
        changed(&base, REPEATABLE, |r| r.ends.push(r.ends[0].clone())),
        changed(&base, REPEATABLE, |r| r.input = r.input.replace("fi", "wo")),
        changed(&base, TICKETED, |r| r.ends = foreign),
        changed(&base, REPEATABLE, |r| {
            let CallEnd::Answered(answer) = &mut r.ends[0] else { panic!() };
            answer.request_id = RequestId::random();
        }),
        changed(&base, STREAMED, |r| drop(r.tokens.remove(5))),
        changed(&base, STREAMED, |r| drop(r.tokens.pop())),
        changed(&base, STREAMED, |r| r.tokens.swap(5, 6)),
        changed(&base, STREAMED, |r| r.tokens.push(r.tokens[15].clone())),
        changed(&base, STREAMED, |r| r.tokens[3].text.push('x')),
    ];
    for history in &broken {
        assert_broken(history, Invariant::OwnResult);
    }
}

/// Guards against a check that believes a "not run" of what ran, and one
/// that takes the repeatable stages before a charge for the charge.
#[tokio::test(flavor = "multi_thread")]
async fn not_run_is_true_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let refuse = |r: &mut Record| r.ends = vec![refusal(Outcome::NotRun)];
    let broken = [
        changed(&base, REPEATABLE, refuse),
        changed(&base, TICKETED, refuse),
        changed(&base, TICKETED, |r| r.states = vec![TicketState::NotRun]),
    ];
    for history in &broken {
        assert_broken(history, Invariant::NotRunIsTrue);
    }
    let unknown =
        changed(&base, TICKETED, |r| r.ends = vec![refusal(Outcome::Unknown)]);
    assert_eq!(check(&unknown), []);
    let mut only_lookup = changed(&base, TICKETED, refuse);
    only_lookup.executions.retain(|e| e.stage.as_str() != "charge");
    assert_eq!(check(&only_lookup), []);
}

/// Guards against a check that takes the word of a status query for a call
/// that no backend server ran.
#[tokio::test(flavor = "multi_thread")]
async fn answered_is_true_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let answered = |r: &mut Record| r.states = vec![TicketState::Answered];
    let mut broken = changed(&base, TICKETED, answered);
    assert_eq!(check(&broken), []);
    broken.executions.retain(|e| e.stage.as_str() != "charge");
    assert_broken(&broken, Invariant::AnsweredIsTrue);
}

/// Guards against a check that misses a second charge, under the same key
/// or for the same request.
#[tokio::test(flavor = "multi_thread")]
async fn at_most_once_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let charge =
        base.executions.iter().find(|e| e.stage.as_str() == "charge").unwrap();
    let mut again = base.clone();
    let mut copy = charge.clone();
    copy.request_id = RequestId::random();
    again.executions.push(copy);
    assert_broken(&again, Invariant::AtMostOnce);
    let mut again = base.clone();
    let mut copy = charge.clone();
    copy.idempotency_key = None;
    again.executions.push(copy);
    assert_broken(&again, Invariant::AtMostOnce);
    // A daemon that sends the call again, as the stand-in sees it.
    let input = serde_json::from_str(&base.records[TICKETED].input).unwrap();
    let run = RunRequest {
        request_id: charge.request_id,
        stage: charge.stage.clone(),
        attempt: 1,
        epoch: charge.epoch,
        priority: 0,
        deadline_ms: 1_000,
        model_version: None,
        max_tokens: None,
        resume_tokens: Vec::new(),
        operation: Some("charge".into()),
        input,
        previous: None,
    };
    let address = fleet.backend(charge.server.as_str()).address();
    let key = charge.idempotency_key.clone().unwrap();
    let sent = reqwest::Client::new()
        .post(format!("http://{address}/v1/run"))
        .header(IDEMPOTENCY_KEY_HEADER, &*key)
        .json(&run)
        .send();
    assert!(sent.await.unwrap().status().is_success());
    let again = History::of(&fleet, base.records.clone());
    assert_broken(&again, Invariant::AtMostOnce);
}

/// Guards against a check that misses new work at a leaving server, or
/// fires within the grace.
#[tokio::test(flavor = "multi_thread")]
async fn no_work_at_leaving_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let with = |leaving_for| {
        let mut history = base.clone();
        history.executions[0].leaving_for = Some(leaving_for);
        history
    };
    let late = with(Duration::from_millis(3_001));
    assert_broken(&late, Invariant::NoWorkAtLeaving);
    assert_eq!(check(&with(Duration::from_secs(3))), []);
}

/// Guards against a check that misses an epoch that comes back, or a request
/// under two epochs.
#[tokio::test(flavor = "multi_thread")]
async fn epochs_go_forward_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let mut mixed = base.clone();
    mixed.executions[1].epoch += 1;
    assert_broken(&mixed, Invariant::EpochsGoForward);
    let mut other = base.clone();
    for entry in &mut other.executions {
        entry.epoch += 1;
    }
    assert_broken(&other, Invariant::EpochsGoForward);
    for epoch in [0, 1] {
        let mut back = base.clone();
        let events = &mut back.timelines[0].events;
        let kind = EventKind::ConfigAdopted { adopted_epoch: epoch };
        let event = Event { kind, ..events[0].clone() };
        events.push(event);
        assert_broken(&back, Invariant::EpochsGoForward);
    }
}

/// Guards against a check that misses a request that a planned stop cut,
/// and one that blames the stop for a killed daemon or a late request.
#[tokio::test(flavor = "multi_thread")]
async fn stop_cuts_nothing_fires() {
    let fleet = fleet().await;
    let base = base(&fleet).await;
    let dropped =
        changed(&base, STREAMED, |r| r.ends = vec![CallEnd::Dropped]);
    let record = &dropped.records[STREAMED];
    let end = DaemonEnd {
        vm: record.vm.clone(),
        kind: DaemonEndKind::Stopped,
        at: record.sent_at + Duration::from_millis(1),
    };
    let mut cut = dropped.clone();
    cut.daemon_ends = vec![end.clone()];
    assert_broken(&cut, Invariant::StopCutsNothing);
    let mut killed = dropped.clone();
    let kill = DaemonEnd { kind: DaemonEndKind::Killed, ..end.clone() };
    killed.daemon_ends = vec![end.clone(), kill];
    assert_eq!(check(&killed), []);
    let mut late = dropped.clone();
    late.daemon_ends = vec![DaemonEnd { at: record.sent_at, ..end }];
    assert_eq!(check(&late), []);
}
