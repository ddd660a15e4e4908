//! Checks the invariants of docs/design.md against a recorded history.
//!
//! The stand-ins compute their output from the input alone, so a lost,
//! duplicated or mixed-up result is visible in the response.

use std::{fmt, sync::Arc, time::Duration};

use briarladder_core::{
    ids::RequestId,
    names::StageName,
    objects::{Object, Role, Stage, Work},
    timeline::{EventKind, EventPage},
};
use briarladder_standins::{journal::Entry, output};
use briarladder_wire::{
    backend::RunRequest,
    callers::{Outcome, TicketState},
};
use serde_json::value::{RawValue, to_raw_value};

use super::{
    fleet::TestFleet,
    history::{CallKind, CallRecord, CallResult, DaemonExitKind, History},
};

/// The time after which a leaving backend server must receive no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// A property that must hold for every history.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// Every request has exactly one result, computed from its own input.
    SingleCorrectResult,
    /// A request reported as not run did not run.
    NotRunIsAccurate,
    /// A ticketed call that a status query reports as answered did run.
    AnsweredIsAccurate,
    /// A non-idempotent call runs at most once.
    AtMostOnce,
    /// A leaving backend server receives no new work after 3 s.
    NoWorkOnLeavingServer,
    /// The epoch applied by a daemon never decreases, and all stages of a
    /// request run in the same epoch.
    MonotonicEpochs,
    /// A graceful shutdown interrupts no request.
    ShutdownCompletesRequests,
}

/// A violation of an invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The violated invariant.
    pub invariant: Invariant,
    /// The request, daemon or server concerned and what was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// Returns all violations found in a history.
pub fn check(history: &History) -> Vec<Violation> {
    let mut violations = Violations::default();
    for record in &history.records {
        check_single_correct_result(history, record, &mut violations);
        check_not_run_is_accurate(history, record, &mut violations);
        check_answered_is_accurate(history, record, &mut violations);
        check_shutdown_completes_requests(history, record, &mut violations);
    }
    check_at_most_once(history, &mut violations);
    check_leaving_servers(history, &mut violations);
    check_single_epoch(history, &mut violations);
    for page in &history.timelines {
        check_monotonic_epochs(page, &mut violations);
    }
    violations.0
}

/// Panics with all violations if the history of a fleet has any.
pub fn assert_invariants(fleet: &TestFleet, records: Vec<CallRecord>) {
    let violations = check(&History::collect(fleet, records));
    let lines: Vec<String> =
        violations.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

#[derive(Default)]
struct Violations(Vec<Violation>);

impl Violations {
    fn add(&mut self, invariant: Invariant, detail: String) {
        self.0.push(Violation { invariant, detail });
    }
}

fn describe(record: &CallRecord) -> String {
    format!("{:?} {} at {}", record.kind, record.request_id, record.vm)
}

fn check_single_correct_result(
    history: &History,
    record: &CallRecord,
    violations: &mut Violations,
) {
    let description = describe(record);
    let mut add = |detail: &str| {
        violations.add(
            Invariant::SingleCorrectResult,
            format!("{description}: {detail}"),
        );
    };
    match &record.results[..] {
        [] | [CallResult::TimedOut] => add("the request has no result"),
        [CallResult::Answered(response)] => {
            if response.request_id != record.request_id {
                add("the response belongs to another request");
            }
            let expected = expected_output(history, record);
            if response.output.get() != expected.get() {
                add("the output does not match the input");
            }
        }
        [CallResult::Dropped] if !daemon_exited(history, record, None) => {
            add("the connection closed although the daemon is running");
        }
        [_] => {}
        _ => add("more than one result"),
    }
    if record.kind != CallKind::Streamed {
        return;
    }
    let expected = output::tokens(&record.input, max_tokens(history));
    let in_order = record.tokens.iter().zip(0..).all(|(token, index)| {
        let text = usize::try_from(index).ok().and_then(|i| expected.get(i));
        token.index == index && text == Some(&token.text)
    });
    if !in_order {
        add("a token is duplicated, missing, mixed up or out of order");
    }
    let answered = matches!(record.results[..], [CallResult::Answered(_)]);
    if answered && record.tokens.len() != expected.len() {
        add("the response is complete but tokens are missing");
    }
}

/// Returns whether the daemon that received a request exited, in the given
/// way if there is one.
fn daemon_exited(
    history: &History,
    record: &CallRecord,
    kind: Option<DaemonExitKind>,
) -> bool {
    history.daemon_exits.iter().any(|exit| {
        exit.vm == record.vm && kind.is_none_or(|kind| kind == exit.kind)
    })
}

fn check_not_run_is_accurate(
    history: &History,
    record: &CallRecord,
    violations: &mut Violations,
) {
    // When a repeatable request is sent twice, the other copy may run.
    if records_of(history, record.request_id).count() > 1
        && record.kind != CallKind::Ticketed
    {
        return;
    }
    let refused = record.results.iter().any(|result| match result {
        CallResult::Refused(problem) => problem.outcome == Outcome::NotRun,
        _ => false,
    });
    let reported = record.ticket_states.contains(&TicketState::NotRun);
    if !refused && !reported {
        return;
    }
    let execution = history.executions.iter().find(|entry| {
        let same_request = entry.request_id == record.request_id;
        // The idempotent stages of a ticketed call may run without the last.
        same_request
            && (record.kind != CallKind::Ticketed
                || !is_idempotent(history, &entry.stage))
    });
    let mut add = |detail: String| {
        violations.add(Invariant::NotRunIsAccurate, detail);
    };
    if let Some(entry) = execution {
        let description = describe(record);
        add(format!(
            "{description}: stage {} ran at {}",
            entry.stage, entry.server
        ));
    }
    if record.ticket_states.contains(&TicketState::Answered) {
        add(format!(
            "{}: reported both as not run and as answered",
            describe(record)
        ));
    }
}

fn check_answered_is_accurate(
    history: &History,
    record: &CallRecord,
    violations: &mut Violations,
) {
    if !record.ticket_states.contains(&TicketState::Answered) {
        return;
    }
    let executed = history.executions.iter().any(|entry| {
        entry.request_id == record.request_id
            && !is_idempotent(history, &entry.stage)
    });
    if !executed {
        let detail = format!(
            "{}: reported as answered but never ran",
            describe(record)
        );
        violations.add(Invariant::AnsweredIsAccurate, detail);
    }
}

fn check_at_most_once(history: &History, violations: &mut Violations) {
    let non_idempotent: Vec<&Entry> = history
        .executions
        .iter()
        .filter(|entry| !is_idempotent(history, &entry.stage))
        .collect();
    for (index, entry) in non_idempotent.iter().enumerate() {
        let repeated = non_idempotent[..index].iter().any(|earlier| {
            earlier.request_id == entry.request_id
                || (entry.idempotency_key.is_some()
                    && earlier.idempotency_key == entry.idempotency_key)
        });
        if repeated {
            let detail = format!(
                "stage {} of {} ran again at {}",
                entry.stage, entry.request_id, entry.server
            );
            violations.add(Invariant::AtMostOnce, detail);
        }
    }
}

fn check_leaving_servers(history: &History, violations: &mut Violations) {
    for entry in &history.executions {
        let Some(leaving_for) = entry.leaving_for else { continue };
        if leaving_for > LEAVING_GRACE {
            let detail = format!(
                "{} started at {}, leaving for {leaving_for:?}",
                entry.request_id, entry.server
            );
            violations.add(Invariant::NoWorkOnLeavingServer, detail);
        }
    }
}

fn check_single_epoch(history: &History, violations: &mut Violations) {
    for (index, entry) in history.executions.iter().enumerate() {
        // Each copy of a resent call is a separate request, unless the copies
        // share a ticket.
        let records = records_of(history, entry.request_id);
        let ticketed = |r: &CallRecord| r.kind == CallKind::Ticketed;
        if records.clone().count() > 1 && !records.clone().any(ticketed) {
            continue;
        }
        let earlier_epoch_differs =
            history.executions[..index].iter().any(|earlier| {
                earlier.request_id == entry.request_id
                    && earlier.epoch != entry.epoch
            });
        let response_epoch_differs = records.flat_map(|record| &record.results).any(|result| {
            matches!(result, CallResult::Answered(a) if a.epoch != entry.epoch)
        });
        if earlier_epoch_differs || response_epoch_differs {
            let detail = format!("{} mixes epochs", entry.request_id);
            violations.add(Invariant::MonotonicEpochs, detail);
        }
    }
}

fn check_monotonic_epochs(page: &EventPage, violations: &mut Violations) {
    let mut last = 0;
    for event in &page.events {
        let EventKind::ConfigAdopted { adopted_epoch } = event.kind else {
            continue;
        };
        if adopted_epoch <= last {
            let detail = format!(
                "{} adopted {adopted_epoch} after {last}",
                event.process
            );
            violations.add(Invariant::MonotonicEpochs, detail);
        }
        last = adopted_epoch;
    }
}

fn check_shutdown_completes_requests(
    history: &History,
    record: &CallRecord,
    violations: &mut Violations,
) {
    let interrupted = record.results.iter().any(|result| {
        matches!(result, CallResult::Dropped | CallResult::TimedOut)
    });
    if !interrupted
        || daemon_exited(history, record, Some(DaemonExitKind::Killed))
    {
        return;
    }
    let sent_before_shutdown = history.daemon_exits.iter().any(|exit| {
        // A request sent after the shutdown began may find the listener
        // closed.
        exit.vm == record.vm && record.sent_at < exit.exit_started_at
    });
    if sent_before_shutdown {
        let detail = format!(
            "{}: interrupted by a graceful shutdown",
            describe(record)
        );
        violations.add(Invariant::ShutdownCompletesRequests, detail);
    }
}

fn records_of(
    history: &History,
    id: RequestId,
) -> impl Iterator<Item = &CallRecord> + Clone {
    history.records.iter().filter(move |record| record.request_id == id)
}

fn stages(history: &History) -> impl Iterator<Item = &Stage> {
    history.objects.iter().filter_map(|object| match object {
        Object::Stage(stage) => Some(stage),
        _ => None,
    })
}

fn is_idempotent(history: &History, name: &StageName) -> bool {
    stages(history).any(|stage| stage.name == *name && stage.idempotent)
}

fn max_tokens(history: &History) -> u32 {
    let tokens = stages(history).map(|stage| match stage.work {
        Work::Generate { max_tokens, .. } => max_tokens,
        _ => 0,
    });
    tokens.max().unwrap_or(0)
}

/// Returns the expected output of a request's pipeline for its input.
pub fn expected_output(
    history: &History,
    record: &CallRecord,
) -> Box<RawValue> {
    let pipeline = history.objects.iter().find_map(|object| match object {
        Object::Pipeline(pipeline)
            if pipeline.name.as_str() == record.kind.pipeline() =>
        {
            Some(pipeline)
        }
        _ => None,
    });
    let mut previous: Option<Box<RawValue>> = None;
    // The test objects contain all pipelines of `CallKind`.
    for name in &pipeline.unwrap().stages {
        // A validated object set contains the stages of its pipelines.
        let stage = stages(history).find(|s| s.name == *name).unwrap();
        previous = Some(stage_output(stage, record, previous));
    }
    // A validated pipeline has at least one stage.
    previous.unwrap()
}

fn stage_output(
    stage: &Stage,
    record: &CallRecord,
    previous: Option<Box<RawValue>>,
) -> Box<RawValue> {
    // Test inputs are valid JSON.
    let input = RawValue::from_string(record.input.clone()).unwrap();
    let (role, operation) = match &stage.work {
        Work::Generate { max_tokens, .. } => {
            let text = output::tokens(&record.input, *max_tokens).concat();
            let value = serde_json::json!({
                "text": text, "total_tokens": max_tokens
            });
            // A value with string keys can always be serialized.
            return to_raw_value(&value).unwrap();
        }
        Work::Encode => (Role::Encoder, None),
        Work::Retrieve => (Role::Retriever, None),
        Work::Rerank => (Role::Reranker, None),
        Work::Call { operation } => {
            (Role::Service, Some(Arc::from(operation.as_str())))
        }
    };
    output::run_output(
        role,
        &RunRequest {
            request_id: record.request_id,
            stage: stage.name.clone(),
            attempt: 0,
            epoch: 0,
            priority: 0,
            deadline_ms: 0,
            model_version: None,
            max_tokens: None,
            resume_tokens: Vec::new(),
            operation,
            input: Arc::from(input),
            previous: previous.map(Arc::from),
        },
    )
}
