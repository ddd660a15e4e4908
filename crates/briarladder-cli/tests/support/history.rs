//! What was recorded of one scenario.

use std::time::Instant;

use briarladder_core::{
    ids::RequestId, names::VmName, objects::Object, timeline::EventPage,
};
use briarladder_standins::journal::Entry;
use briarladder_wire::callers::{
    Outcome, PipelineResponse, Problem, TicketState,
};

use super::fleet::{DaemonProcess, TestFleet};

/// How a caller sends a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// A repeatable pipeline, answered in one piece.
    Repeatable,
    /// A repeatable pipeline, answered as a stream.
    Streamed,
    /// A pipeline that may not repeat, on a ticket.
    Ticketed,
}

impl CallKind {
    /// Returns the pipeline that is asked for.
    pub fn pipeline(self) -> &'static str {
        match self {
            CallKind::Repeatable => "find",
            CallKind::Streamed => "plan",
            CallKind::Ticketed => "buy",
        }
    }
}

/// One token as its caller received it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// The index.
    pub index: u32,
    /// The text.
    pub text: String,
}

/// What ended a request, as its caller saw it.
#[derive(Clone, Debug)]
pub enum CallEnd {
    /// The answer.
    Answered(Box<PipelineResponse>),
    /// Problem details.
    Refused(Box<Problem>),
    /// No connection, so nothing was sent.
    NotConnected,
    /// The connection broke before the end.
    Dropped,
    /// The caller left.
    Left,
    /// Nothing came within the deadline and some grace.
    NoEnd,
}

/// One request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    /// How it was sent.
    pub kind: CallKind,
    /// The identifier that the caller drew.
    pub request_id: RequestId,
    /// The body.
    pub input: String,
    /// The daemon that received it.
    pub vm: VmName,
    /// When it was sent.
    pub sent_at: Instant,
    /// The tokens of a streamed answer.
    pub tokens: Vec<Token>,
    /// Every end that was received; one is right.
    pub ends: Vec<CallEnd>,
    /// For a ticketed call, the states that later queries told, in order.
    pub states: Vec<TicketState>,
}

/// How a daemon ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DaemonEndKind {
    /// Without warning.
    Killed,
    /// By a planned stop.
    Stopped,
}

/// The end of one daemon.
#[derive(Clone, Debug)]
pub struct DaemonEnd {
    /// The daemon.
    pub vm: VmName,
    /// How it ended.
    pub kind: DaemonEndKind,
    /// When the end began.
    pub at: Instant,
}

/// All that was recorded of one scenario.
#[derive(Clone, Debug)]
pub struct History {
    /// The objects under which it ran.
    pub objects: Vec<Object>,
    /// What callers saw.
    pub records: Vec<Record>,
    /// What backend servers ran.
    pub executions: Vec<Entry>,
    /// The timeline of every daemon.
    pub timelines: Vec<EventPage>,
    /// The daemons that ended.
    pub daemon_ends: Vec<DaemonEnd>,
}

impl History {
    /// Returns what a fleet and its callers recorded from the start on.
    pub fn of(fleet: &TestFleet, records: Vec<Record>) -> History {
        let daemons = fleet.daemons().iter();
        History {
            objects: fleet.objects().to_vec(),
            records,
            executions: fleet.cluster().journal().entries(),
            timelines: daemons.map(DaemonProcess::timeline).collect(),
            daemon_ends: fleet.daemon_ends().to_vec(),
        }
    }
}

impl Record {
    /// Fails the test unless the request was refused in this way.
    pub fn assert_refused(&self, kind: &str, outcome: Outcome) {
        let [CallEnd::Refused(problem)] = &self.ends[..] else {
            panic!("not refused: {self:?}");
        };
        assert_eq!(problem.kind, format!("/problems/{kind}"), "{problem:?}");
        assert_eq!(problem.outcome, outcome, "{problem:?}");
    }

    /// Returns the answer of a request that has one.
    pub fn answer(&self) -> Option<&PipelineResponse> {
        match &self.ends[..] {
            [CallEnd::Answered(answer)] => Some(answer),
            _ => None,
        }
    }
}
