//! Faults that can be switched on and off while a stand-in runs.
//!
//! A [`Rule`] is plain data: which requests, which fault, how many times.
//! Rules that match the same request combine.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::fault::{Fault, Faults, Pattern, Rule};
//!
//! let faults = Faults::default();
//! faults.add(Rule {
//!     pattern: Pattern {
//!         body_contains: Some("poison".into()),
//!         ..Pattern::default()
//!     },
//!     fault: Fault::Crash,
//!     times: Some(2),
//! });
//! assert_eq!(faults.rules().len(), 1);
//! ```

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use briarladder_core::names::StageName;
use briarladder_wire::backend::RunRequest;

/// What goes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The work takes longer by this time and holds its slot meanwhile.
    Slow(Duration),
    /// The request is answered with this status and does not run.
    Status(u16),
    /// The request is refused with the proof that it did not run.
    NotRun,
    /// The connection is cut before the first byte of the answer.
    DropBeforeFirstByte {
        /// Whether the work runs before.
        runs: bool,
    },
    /// The connection is cut after the first bytes of the answer.
    DropAfterFirstByte,
    /// The connection is cut after this many tokens of the attempt.
    DropAfterTokens(u32),
    /// The work starts, then the backend server crashes.
    Crash,
    /// The backend server crashes after this many tokens of the attempt.
    CrashAfterTokens(u32),
    /// The work starts and never ends.
    Hang,
    /// The generation stops after this many tokens of the attempt and never
    /// ends.
    HangAfterTokens(u32),
    /// The answer, or each token, is sent twice.
    DuplicateResponse,
    /// The work runs in time; the answer is held back by this time.
    DelayResponse(Duration),
    /// The answer of another request is sent: the one before at this
    /// backend server, or an invented one.
    WrongResponse,
    /// Load reports are up to this old. `times` counts reports.
    StaleReports(Duration),
    /// There are no load reports, neither on request nor in answers.
    /// `times` counts reports.
    NoReports,
    /// Orders with an old fencing token are taken. `times` counts orders.
    IgnoreFencing,
}

impl Fault {
    fn scope(self) -> Scope {
        match self {
            Fault::StaleReports(_) | Fault::NoReports => Scope::Report,
            Fault::IgnoreFencing => Scope::Order,
            _ => Scope::Run,
        }
    }
}

/// The kind of call to which a fault applies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    Run,
    Report,
    Order,
}

/// Which requests a rule matches. Absent parts match all of them. Rules
/// for load reports and orders ignore the pattern.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pattern {
    /// The stage.
    pub stage: Option<StageName>,
    /// The attempt.
    pub attempt: Option<u32>,
    /// A marker that the body contains.
    pub body_contains: Option<Arc<str>>,
}

impl Pattern {
    fn matches(&self, run: &RunRequest, body: &[u8]) -> bool {
        self.stage.as_ref().is_none_or(|stage| *stage == run.stage)
            && self.attempt.is_none_or(|attempt| attempt == run.attempt)
            && self.body_contains.as_ref().is_none_or(|marker| {
                let marker = marker.as_bytes();
                marker.is_empty()
                    || body.windows(marker.len()).any(|w| w == marker)
            })
    }
}

/// A fault, the requests it applies to, and how often.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// The requests.
    pub pattern: Pattern,
    /// The fault.
    pub fault: Fault,
    /// How many more times it applies; `None` for always.
    pub times: Option<u32>,
}

/// The rules of one or more backend servers. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    // Keeps the request path free of the lock while there are no rules.
    any: AtomicBool,
    rules: Mutex<Vec<Rule>>,
}

impl Faults {
    /// Adds a rule.
    pub fn add(&self, rule: Rule) {
        self.lock().push(rule);
        self.0.any.store(true, Ordering::Release);
    }

    /// Adds a rule that matches every request.
    pub fn add_always(&self, fault: Fault) {
        let pattern = Pattern::default();
        self.add(Rule { pattern, fault, times: None });
    }

    /// Adds a rule that matches the next requests, whatever they are.
    pub fn add_for_next(&self, times: u32, fault: Fault) {
        let pattern = Pattern::default();
        self.add(Rule { pattern, fault, times: Some(times) });
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.lock().clear();
        self.0.any.store(false, Ordering::Release);
    }

    /// Returns the rules that can still apply.
    #[must_use]
    pub fn rules(&self) -> Vec<Rule> {
        self.lock().clone()
    }

    /// Takes the faults of a request.
    pub(crate) fn take_run(&self, run: &RunRequest, body: &[u8]) -> Plan {
        Plan(self.take(Scope::Run, |pattern| pattern.matches(run, body)))
    }

    /// Takes the faults of a load report.
    pub(crate) fn take_report(&self) -> Vec<Fault> {
        self.take(Scope::Report, |_| true)
    }

    /// Takes the faults of an order; returns whether fencing is ignored.
    pub(crate) fn take_ignore_fencing(&self) -> bool {
        !self.take(Scope::Order, |_| true).is_empty()
    }

    fn take(
        &self,
        scope: Scope,
        matches: impl Fn(&Pattern) -> bool,
    ) -> Vec<Fault> {
        let mut taken = Vec::new();
        if !self.0.any.load(Ordering::Acquire) {
            return taken;
        }
        self.lock().retain_mut(|rule| {
            if rule.times == Some(0) {
                return false;
            }
            if rule.fault.scope() != scope || !matches(&rule.pattern) {
                return true;
            }
            taken.push(rule.fault);
            if let Some(times) = &mut rule.times {
                *times -= 1;
            }
            rule.times != Some(0)
        });
        taken
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Rule>> {
        self.0.rules.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The faults of one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Plan(Vec<Fault>);

impl Plan {
    pub(crate) fn has(&self, fault: Fault) -> bool {
        self.0.contains(&fault)
    }

    pub(crate) fn status(&self) -> Option<u16> {
        self.0.iter().find_map(|fault| match fault {
            Fault::Status(code) => Some(*code),
            _ => None,
        })
    }

    /// Returns the fault that applies after a number of tokens.
    pub(crate) fn after_tokens(&self, sent: u32) -> Option<Fault> {
        self.0.iter().copied().find(|fault| match fault {
            Fault::DropAfterFirstByte => sent == 0,
            Fault::DropAfterTokens(tokens)
            | Fault::CrashAfterTokens(tokens)
            | Fault::HangAfterTokens(tokens) => *tokens == sent,
            _ => false,
        })
    }

    /// Returns the time by which the work is slower.
    pub(crate) fn slow(&self) -> Duration {
        let delays = self.0.iter().map(|fault| match fault {
            Fault::Slow(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.sum()
    }

    /// Returns the time by which the answer is held back.
    pub(crate) fn late(&self) -> Duration {
        let delays = self.0.iter().map(|fault| match fault {
            Fault::DelayResponse(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.sum()
    }
}
