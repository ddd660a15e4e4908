//! Faults that are injected into backend servers while they run.
//!
//! A [`Rule`] says which fault applies to which requests and how many times.
//! If several rules match a request, all of their faults apply.
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

/// A fault that is injected into a backend server. Tokens are those that the
/// attempt itself has sent, without those of earlier attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The run takes longer by this time and occupies its slot.
    Slow(Duration),
    /// The response has this status, and the request does not run.
    Status(u16),
    /// The request is refused with the header that proves it did not run.
    NotRun,
    /// The connection is closed before the first byte of the response.
    DropBeforeFirstByte {
        /// Whether the request runs before.
        runs: bool,
    },
    /// The connection is closed after the first part of the response.
    DropAfterFirstByte,
    /// The connection is closed after this many tokens of the attempt.
    DropAfterTokens(u32),
    /// The backend server crashes once the request has started.
    Crash,
    /// The backend server crashes after this many tokens of the attempt.
    CrashAfterTokens(u32),
    /// The request starts and never ends.
    Hang,
    /// The generation hangs after this many tokens of the attempt.
    HangAfterTokens(u32),
    /// The response, or each token of a stream, is sent twice.
    DuplicateResponse,
    /// The response is delayed by this time; the run itself is not.
    DelayResponse(Duration),
    /// The response to another request is sent: to the previous one at this
    /// backend server, or to a random one if there was none.
    WrongResponse,
    /// Load reports are up to this old. [`Rule::times`] counts reports.
    StaleReports(Duration),
    /// Load reports are missing, both on request and in responses.
    /// [`Rule::times`] counts reports.
    NoReports,
    /// Orders with an outdated fencing token are accepted. [`Rule::times`]
    /// counts orders.
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

/// What a fault affects.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// A request to run a stage.
    Run,
    /// A load report, requested or part of a response.
    Report,
    /// An order to an engine to load model versions.
    Order,
}

/// The requests that a rule matches. A field that is `None` matches every
/// request. Faults of load reports and orders ignore the pattern.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Pattern {
    /// The stage of the request.
    pub stage: Option<StageName>,
    /// The number of the attempt at the stage, from 0.
    pub attempt: Option<u32>,
    /// A text that occurs in the request body.
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

/// A fault, the requests it applies to, and how many times.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Rule {
    /// The requests that the fault applies to.
    pub pattern: Pattern,
    /// The fault that is injected.
    pub fault: Fault,
    /// The remaining number of times it applies; `None` for no limit.
    pub times: Option<u32>,
}

/// The fault rules of one or more backend servers. Clones share the rules.
#[derive(Clone, Debug, Default)]
pub struct Faults(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    // Avoids the lock on the request path while there are no rules.
    has_rules: AtomicBool,
    rules: Mutex<Vec<Rule>>,
}

impl Faults {
    /// Adds a rule after the existing ones.
    pub fn add(&self, rule: Rule) {
        self.lock().push(rule);
        self.0.has_rules.store(true, Ordering::Release);
    }

    /// Adds a rule that applies a fault to every request until it is
    /// cleared.
    pub fn add_always(&self, fault: Fault) {
        let pattern = Pattern::default();
        self.add(Rule { pattern, fault, times: None });
    }

    /// Adds a rule that applies a fault to the next `times` requests.
    pub fn add_for_next(&self, times: u32, fault: Fault) {
        let pattern = Pattern::default();
        self.add(Rule { pattern, fault, times: Some(times) });
    }

    /// Removes all rules.
    pub fn clear(&self) {
        self.lock().clear();
        self.0.has_rules.store(false, Ordering::Release);
    }

    /// Returns the rules that have not been used up.
    #[must_use]
    pub fn rules(&self) -> Vec<Rule> {
        self.lock().clone()
    }

    /// Returns the faults that apply to a request and counts their use.
    pub(crate) fn take_for_run(
        &self,
        run: &RunRequest,
        body: &[u8],
    ) -> RequestFaults {
        RequestFaults(
            self.take(Scope::Run, |pattern| pattern.matches(run, body)),
        )
    }

    /// Returns the faults that apply to a load report and counts their use.
    pub(crate) fn take_for_report(&self) -> Vec<Fault> {
        self.take(Scope::Report, |_| true)
    }

    /// Returns whether an order ignores fencing and counts the use of the
    /// rule.
    pub(crate) fn take_ignore_fencing(&self) -> bool {
        !self.take(Scope::Order, |_| true).is_empty()
    }

    fn take(
        &self,
        scope: Scope,
        matches: impl Fn(&Pattern) -> bool,
    ) -> Vec<Fault> {
        let mut taken = Vec::new();
        if !self.0.has_rules.load(Ordering::Acquire) {
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

/// The faults that apply to one request.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestFaults(Vec<Fault>);

impl RequestFaults {
    pub(crate) fn contains(&self, fault: Fault) -> bool {
        self.0.contains(&fault)
    }

    pub(crate) fn status_code(&self) -> Option<u16> {
        self.0.iter().find_map(|fault| match fault {
            Fault::Status(code) => Some(*code),
            _ => None,
        })
    }

    /// Returns the fault that applies after `sent` tokens.
    pub(crate) fn after_tokens(&self, sent: u32) -> Option<Fault> {
        self.0.iter().copied().find(|fault| match fault {
            Fault::DropAfterFirstByte => sent == 0,
            Fault::DropAfterTokens(tokens)
            | Fault::CrashAfterTokens(tokens)
            | Fault::HangAfterTokens(tokens) => *tokens == sent,
            _ => false,
        })
    }

    /// Returns the extra time of the run.
    pub(crate) fn run_delay(&self) -> Duration {
        let delays = self.0.iter().map(|fault| match fault {
            Fault::Slow(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.sum()
    }

    /// Returns the delay between the run and its response.
    pub(crate) fn response_delay(&self) -> Duration {
        let delays = self.0.iter().map(|fault| match fault {
            Fault::DelayResponse(delay) => *delay,
            _ => Duration::ZERO,
        });
        delays.sum()
    }
}
