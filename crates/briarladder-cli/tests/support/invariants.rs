//! The invariants of the design page, checked over what was recorded.
//!
//! Outputs of the stand-ins are pure functions of the input, so that a lost,
//! doubled or crossed result shows in the answer.

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
    history::{CallEnd, CallKind, DaemonEndKind, History, Record},
};

/// The time after which a leaving backend server gets no new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// A rule that always holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// Every request ends, once, with the result of its own input.
    OwnResult,
    /// What was refused as not run did not run.
    NotRunIsTrue,
    /// What a status query tells as answered ran.
    AnsweredIsTrue,
    /// A call that may not repeat runs at most once.
    AtMostOnce,
    /// A leaving backend server gets no new work after 3 s.
    NoWorkAtLeaving,
    /// Epochs in force at a daemon never go back, and no request mixes
    /// epochs.
    EpochsGoForward,
    /// A planned stop cuts off no request.
    StopCutsNothing,
}

/// A broken invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The rule.
    pub invariant: Invariant,
    /// Where it was broken.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}", self.invariant, self.detail)
    }
}

/// Returns every broken invariant.
pub fn check(history: &History) -> Vec<Violation> {
    let mut found = Found::default();
    for record in &history.records {
        own_result(history, record, &mut found);
        not_run_is_true(history, record, &mut found);
        answered_is_true(history, record, &mut found);
        stop_cuts_nothing(history, record, &mut found);
    }
    at_most_once(history, &mut found);
    no_work_at_leaving(history, &mut found);
    one_epoch_a_request(history, &mut found);
    for page in &history.timelines {
        epochs_go_forward(page, &mut found);
    }
    found.0
}

/// Fails the test with every broken invariant of a fleet.
pub fn assert_invariants(fleet: &TestFleet, records: Vec<Record>) {
    let broken = check(&History::of(fleet, records));
    let lines: Vec<String> = broken.iter().map(ToString::to_string).collect();
    assert!(lines.is_empty(), "{}", lines.join("\n"));
}

#[derive(Default)]
struct Found(Vec<Violation>);

impl Found {
    fn add(&mut self, invariant: Invariant, detail: String) {
        self.0.push(Violation { invariant, detail });
    }
}

fn title(record: &Record) -> String {
    format!("{:?} {} at {}", record.kind, record.request_id, record.vm)
}

fn own_result(history: &History, record: &Record, found: &mut Found) {
    let title = title(record);
    let mut add = |detail: &str| {
        found.add(Invariant::OwnResult, format!("{title}: {detail}"));
    };
    match &record.ends[..] {
        [] | [CallEnd::NoEnd] => add("lost, it has no end"),
        [CallEnd::Answered(answer)] => {
            if answer.request_id != record.request_id {
                add("the answer is that of another request");
            }
            let expected = expected_output(history, record);
            if answer.output.get() != expected.get() {
                add("the output is not that of the input");
            }
        }
        [CallEnd::Dropped] if !ended(history, record, None) => {
            add("the connection broke, and the daemon runs");
        }
        [_] => {}
        _ => add("more than one end"),
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
        add("a token is doubled, missing, crossed or out of order");
    }
    let answered = matches!(record.ends[..], [CallEnd::Answered(_)]);
    if answered && record.tokens.len() != expected.len() {
        add("the answer is complete and its tokens are not");
    }
}

/// Returns whether the daemon that received a request ended, in one way or
/// in any.
fn ended(
    history: &History,
    record: &Record,
    kind: Option<DaemonEndKind>,
) -> bool {
    history.daemon_ends.iter().any(|end| {
        end.vm == record.vm && kind.is_none_or(|kind| kind == end.kind)
    })
}

fn not_run_is_true(history: &History, record: &Record, found: &mut Found) {
    // A repeatable request that was sent twice may run for the other copy.
    if copies(history, record.request_id).count() > 1
        && record.kind != CallKind::Ticketed
    {
        return;
    }
    let refused = record.ends.iter().any(|end| match end {
        CallEnd::Refused(problem) => problem.outcome == Outcome::NotRun,
        _ => false,
    });
    let told = record.states.contains(&TicketState::NotRun);
    if !refused && !told {
        return;
    }
    let ran = history.executions.iter().find(|entry| {
        let own = entry.request_id == record.request_id;
        // What precedes the last stage of a ticketed call may repeat.
        own && (record.kind != CallKind::Ticketed
            || !is_idempotent(history, &entry.stage))
    });
    let mut add = |detail: String| {
        found.add(Invariant::NotRunIsTrue, detail);
    };
    if let Some(entry) = ran {
        let title = title(record);
        add(format!("{title}: stage {} ran at {}", entry.stage, entry.server));
    }
    if record.states.contains(&TicketState::Answered) {
        add(format!("{}: told as not run and as answered", title(record)));
    }
}

fn answered_is_true(history: &History, record: &Record, found: &mut Found) {
    if !record.states.contains(&TicketState::Answered) {
        return;
    }
    let ran = history.executions.iter().any(|entry| {
        entry.request_id == record.request_id
            && !is_idempotent(history, &entry.stage)
    });
    if !ran {
        let detail = format!("{}: told as answered", title(record));
        found.add(Invariant::AnsweredIsTrue, detail);
    }
}

fn at_most_once(history: &History, found: &mut Found) {
    let once: Vec<&Entry> = history
        .executions
        .iter()
        .filter(|entry| !is_idempotent(history, &entry.stage))
        .collect();
    for (at, entry) in once.iter().enumerate() {
        let again = once[..at].iter().any(|earlier| {
            earlier.request_id == entry.request_id
                || (entry.idempotency_key.is_some()
                    && earlier.idempotency_key == entry.idempotency_key)
        });
        if again {
            let detail = format!(
                "stage {} of {} ran again at {}",
                entry.stage, entry.request_id, entry.server
            );
            found.add(Invariant::AtMostOnce, detail);
        }
    }
}

fn no_work_at_leaving(history: &History, found: &mut Found) {
    for entry in &history.executions {
        let Some(leaving_for) = entry.leaving_for else { continue };
        if leaving_for > LEAVING_GRACE {
            let detail = format!(
                "{} started at {}, leaving for {leaving_for:?}",
                entry.request_id, entry.server
            );
            found.add(Invariant::NoWorkAtLeaving, detail);
        }
    }
}

fn one_epoch_a_request(history: &History, found: &mut Found) {
    for (at, entry) in history.executions.iter().enumerate() {
        // A copy of a call that was sent again is a request of its own,
        // unless a ticket binds the copies together.
        let copies = copies(history, entry.request_id);
        let ticketed = |r: &Record| r.kind == CallKind::Ticketed;
        if copies.clone().count() > 1 && !copies.clone().any(ticketed) {
            continue;
        }
        let mixed = history.executions[..at].iter().any(|earlier| {
            earlier.request_id == entry.request_id
                && earlier.epoch != entry.epoch
        });
        let told = copies.flat_map(|record| &record.ends).any(|end| {
            matches!(end, CallEnd::Answered(a) if a.epoch != entry.epoch)
        });
        if mixed || told {
            let detail = format!("{} mixes epochs", entry.request_id);
            found.add(Invariant::EpochsGoForward, detail);
        }
    }
}

fn epochs_go_forward(page: &EventPage, found: &mut Found) {
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
            found.add(Invariant::EpochsGoForward, detail);
        }
        last = adopted_epoch;
    }
}

fn stop_cuts_nothing(history: &History, record: &Record, found: &mut Found) {
    let cut = record
        .ends
        .iter()
        .any(|end| matches!(end, CallEnd::Dropped | CallEnd::NoEnd));
    if !cut || ended(history, record, Some(DaemonEndKind::Killed)) {
        return;
    }
    let stopped = history.daemon_ends.iter().any(|end| {
        // A request sent after the begin may meet a closed listener.
        end.vm == record.vm && record.sent_at < end.at
    });
    if stopped {
        let detail = format!("{}: cut off", title(record));
        found.add(Invariant::StopCutsNothing, detail);
    }
}

fn copies(
    history: &History,
    id: RequestId,
) -> impl Iterator<Item = &Record> + Clone {
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

/// Returns the output that the pipeline of a request has for its input.
pub fn expected_output(history: &History, record: &Record) -> Box<RawValue> {
    let pipeline = history.objects.iter().find_map(|object| match object {
        Object::Pipeline(pipeline)
            if pipeline.name.as_str() == record.kind.pipeline() =>
        {
            Some(pipeline)
        }
        _ => None,
    });
    let mut previous: Option<Box<RawValue>> = None;
    // OK because the objects of the tests have the pipelines.
    for name in &pipeline.unwrap().stages {
        // OK because a checked set has the stages of its pipelines.
        let stage = stages(history).find(|s| s.name == *name).unwrap();
        previous = Some(stage_output(stage, record, previous));
    }
    // OK because a checked pipeline has a stage.
    previous.unwrap()
}

fn stage_output(
    stage: &Stage,
    record: &Record,
    previous: Option<Box<RawValue>>,
) -> Box<RawValue> {
    // OK because the inputs of the tests are JSON.
    let input = RawValue::from_string(record.input.clone()).unwrap();
    let (role, operation) = match &stage.work {
        Work::Generate { max_tokens, .. } => {
            let text = output::tokens(&record.input, *max_tokens).concat();
            let value = serde_json::json!({
                "text": text, "total_tokens": max_tokens
            });
            // OK because the value has string keys only.
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
