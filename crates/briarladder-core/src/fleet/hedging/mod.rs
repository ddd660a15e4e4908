//! Decides whether a request that a backend server answers slowly is sent to a
//! second one as well.
//!
//! The second send is due once the request has waited longer than nearly all
//! requests of its kind. Operators limit these extra sends to a ratio of the
//! requests: every request earns the daemon that ratio of an extra send. So
//! the daemons of a fleet need no messages to stay within the limit together,
//! however many they are. A service whose servers are all slow gets no extra
//! sends, which would make it slower.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::hedging::{Answer, Hedging};
//!
//! let now = Instant::now();
//! let service = Arc::from("status");
//! let server = Arc::from("s-1");
//! let elapsed = Duration::from_millis(40);
//! let mut hedging = Hedging::new(0.02);
//! for _ in 0..100 {
//!     let answer = Answer { kind: "read", server: &server, elapsed };
//!     hedging.record_answer(now, &service, answer);
//! }
//! let delay = hedging.delay(now, &service, "read").unwrap();
//! assert!(delay >= elapsed * 2 && delay < elapsed * 3);
//! ```

mod response_times;
#[cfg(test)]
mod tests;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::sorted::SortedMap;

use super::{config::RouteKind, placement::prefill_time};

use self::response_times::ResponseTimes;

/// The part of the requests of a kind that is answered before an extra send is
/// due.
const DUE_QUANTILE: f64 = 0.95;

/// The shortest delay of an extra send. A shorter one is of the order of a
/// round trip between regions.
const MIN_DELAY: Duration = Duration::from_millis(40);

/// The part of the requests that is answered within the time that an extra
/// send is expected to take.
const EXPECTED_QUANTILE: f64 = 0.5;

/// An answer is slow after this multiple of the time that an extra send is
/// expected to take. Before that, the running send is likely to end first.
const SLOW_FACTOR: u32 = 2;

/// The longest prefill of a prompt that is processed twice.
const MAX_PREFILL: Duration = Duration::from_millis(40);

/// Extra sends that a daemon may save up for each service, so that a server
/// that stalls for a second is covered.
const MAX_CREDIT: f64 = 10.0;

/// How long an answer tells whether its server is slow.
const ANSWER_LIFETIME: Duration = Duration::from_secs(5);

/// How long a service gets no extra sends after a server was full.
const FULL_DURATION: Duration = Duration::from_secs(2);

/// Maximum number of servers of a service whose last answer is kept.
const MAX_SERVERS: usize = 64;

/// Maximum number of kinds of requests that are told apart in a service. The
/// others share the sample of the service.
const MAX_KINDS: usize = 64;

/// Why a slow request is not sent to a second server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denial {
    /// It may run once only, or its answer is a stream.
    Kind,
    /// It has stages, whose results are released once a server has them.
    Stages,
    /// Its route does not allow it to run at another server.
    Attempts,
    /// Its prompt is too long to be processed twice.
    Prompt,
    /// Servers have crashed while they ran it or requests like it.
    Suspect,
    /// Another server would not answer in time.
    Time,
    /// A server of the service was full a short time ago.
    Full,
    /// Most servers of the service are slow.
    Loaded,
    /// The limit that operators set is used up.
    Limit,
    /// The rest of the retry budget is kept for retries.
    RetryBudget,
    /// No other server accepts the request now.
    NoServer,
    /// The other server holds more requests than the one that is slow.
    Busy,
}

impl Denial {
    /// Returns the label for metrics and logs.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Denial::Kind => "kind",
            Denial::Stages => "stages",
            Denial::Attempts => "attempts",
            Denial::Prompt => "prompt",
            Denial::Suspect => "suspect",
            Denial::Time => "time",
            Denial::Full => "full",
            Denial::Loaded => "loaded",
            Denial::Limit => "limit",
            Denial::RetryBudget => "retry_budget",
            Denial::NoServer => "no_server",
            Denial::Busy => "busy",
        }
    }
}

/// A request that has waited for its answer until an extra send is due.
#[derive(Clone, Copy, Debug)]
#[allow(clippy::struct_excessive_bools)] // Independent properties.
pub struct SlowRequest<'a> {
    /// Its kind: the name of its route.
    pub kind: &'a str,
    /// Whether it may run more than once.
    pub route_kind: RouteKind,
    /// Whether it uses the results of stages.
    pub has_stages: bool,
    /// The number of servers that may run it.
    pub max_attempts: u32,
    /// The number of servers that may have run it, with the one that has it
    /// now.
    pub attempts: u32,
    /// The length of its prompt; 0 if it has none.
    pub prompt_tokens: u64,
    /// Whether it may be the reason for crashes of servers.
    pub is_suspect: bool,
    /// The time until its caller no longer waits.
    pub time_left: Duration,
    /// Whether the retry budget covers an extra send and still leaves most of
    /// it for retries.
    pub leaves_retries: bool,
}

/// An answer to a request, or the time that the request has waited so far.
#[derive(Clone, Copy, Debug)]
pub struct Answer<'a> {
    /// The kind of the request: the name of its route.
    pub kind: &'a str,
    /// The server.
    pub server: &'a Arc<str>,
    /// The time since the request was sent, less the expected prefill of its
    /// prompt.
    pub elapsed: Duration,
}

/// The last answer of a server.
#[derive(Clone, Copy, Debug)]
struct LastAnswer {
    at: Instant,
    is_slow: bool,
}

/// What one daemon knows of a service.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    times: ResponseTimes,
    times_by_kind: SortedMap<Arc<str>, ResponseTimes>,
    last_answers: SortedMap<Arc<str>, LastAnswer>,
    full_at: Option<Instant>,
    credit: f64,
}

impl ServiceState {
    fn quantile(
        &self,
        now: Instant,
        kind: &str,
        fraction: f64,
    ) -> Option<Duration> {
        self.times_by_kind
            .get(kind)
            .and_then(|times| times.quantile(now, fraction))
            .or_else(|| self.times.quantile(now, fraction))
    }

    /// Returns the time after which an answer is slow.
    fn slow_after(&self, now: Instant, kind: &str) -> Option<Duration> {
        let expected = self.quantile(now, kind, EXPECTED_QUANTILE)?;
        Some(MIN_DELAY.max(expected * SLOW_FACTOR))
    }

    fn delay(&self, now: Instant, kind: &str) -> Option<Duration> {
        let delay = self.quantile(now, kind, DUE_QUANTILE)?;
        Some(delay.max(self.slow_after(now, kind)?))
    }

    fn record_server(&mut self, now: Instant, server: &Arc<str>, slow: bool) {
        let is_recent = |answer: &LastAnswer| {
            now.saturating_duration_since(answer.at) <= ANSWER_LIFETIME
        };
        if self.last_answers.len() >= MAX_SERVERS {
            self.last_answers.retain(|_, answer| is_recent(answer));
        }
        let is_known = self.last_answers.contains_key(&**server);
        if is_known || self.last_answers.len() < MAX_SERVERS {
            let answer = LastAnswer { at: now, is_slow: slow };
            self.last_answers.insert(Arc::clone(server), answer);
        }
    }

    /// Returns whether most servers are slow, of two or more that have
    /// answered recently. A single one says nothing about the others.
    fn is_loaded(&self, now: Instant) -> bool {
        let recent = self.last_answers.values().filter(|answer| {
            now.saturating_duration_since(answer.at) <= ANSWER_LIFETIME
        });
        let (mut count, mut slow_count) = (0, 0);
        for answer in recent {
            count += 1;
            slow_count += usize::from(answer.is_slow);
        }
        count >= 2 && slow_count * 2 > count
    }

    fn is_full(&self, now: Instant) -> bool {
        self.full_at.is_some_and(|at| {
            now.saturating_duration_since(at) <= FULL_DURATION
        })
    }
}

/// Decides about the extra sends of one daemon.
#[derive(Clone, Debug, Default)]
pub struct Hedging {
    ratio: f64,
    services: SortedMap<Arc<str>, ServiceState>,
}

impl Hedging {
    /// Creates the state of a daemon that has just started. `ratio` is the
    /// limit that operators set, in extra sends for each request; 0 turns
    /// extra sends off.
    #[must_use]
    pub fn new(ratio: f64) -> Hedging {
        Hedging { ratio, services: SortedMap::new() }
    }

    /// Returns whether operators allow extra sends.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.ratio > 0.0
    }

    /// Counts the first send of a request, which earns a part of an extra
    /// send.
    pub fn record_first_send(&mut self, service: &Arc<str>) {
        if self.is_enabled() {
            let ratio = self.ratio;
            let state = self.state_mut(service);
            state.credit = (state.credit + ratio).min(MAX_CREDIT);
        }
    }

    /// Records an answer.
    pub fn record_answer(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        answer: Answer<'_>,
    ) {
        if !self.is_enabled() {
            return;
        }
        let Answer { kind, server, elapsed } = answer;
        let state = self.state_mut(service);
        let slow_after = state.slow_after(now, kind);
        let is_slow = slow_after.is_some_and(|time| elapsed > time);
        state.record_server(now, server, is_slow);
        state.times.record(now, elapsed);
        if let Some(times) = state.times_by_kind.get_mut(kind) {
            times.record(now, elapsed);
        } else if state.times_by_kind.len() < MAX_KINDS {
            let mut times = ResponseTimes::default();
            times.record(now, elapsed);
            state.times_by_kind.insert(Arc::from(kind), times);
        }
    }

    /// Records that a server has not answered in the time after which an extra
    /// send is due.
    pub fn record_overdue(
        &mut self,
        now: Instant,
        service: &Arc<str>,
        server: &Arc<str>,
    ) {
        if self.is_enabled() {
            self.state_mut(service).record_server(now, server, true);
        }
    }

    /// Records that a server did not run a request because it is full or
    /// leaves.
    pub fn record_full(&mut self, now: Instant, service: &Arc<str>) {
        if self.is_enabled() {
            self.state_mut(service).full_at = Some(now);
        }
    }

    /// Returns how long a request waits, beyond the expected prefill of its
    /// prompt, until an extra send is due. `None` if extra sends are off or
    /// too few answers were observed.
    #[must_use]
    pub fn delay(
        &self,
        now: Instant,
        service: &str,
        kind: &str,
    ) -> Option<Duration> {
        if !self.is_enabled() {
            return None;
        }
        self.services.get(service)?.delay(now, kind)
    }

    /// Decides whether a slow request may be sent to a second server.
    ///
    /// # Errors
    ///
    /// With the reason why not.
    pub fn check(
        &self,
        now: Instant,
        service: &str,
        request: &SlowRequest<'_>,
    ) -> Result<(), Denial> {
        request.check()?;
        let Some(state) = self.services.get(service) else {
            return Err(Denial::Limit);
        };
        let expected = state.quantile(now, request.kind, EXPECTED_QUANTILE);
        let denial = if expected.is_none_or(|time| time > request.time_left) {
            Denial::Time
        } else if state.is_full(now) {
            Denial::Full
        } else if state.is_loaded(now) {
            Denial::Loaded
        } else if state.credit < 1.0 {
            Denial::Limit
        } else if !request.leaves_retries {
            Denial::RetryBudget
        } else {
            return Ok(());
        };
        Err(denial)
    }

    /// Takes an extra send from the limit, after [`Hedging::check`] has
    /// allowed it.
    pub fn spend(&mut self, service: &str) {
        if let Some(state) = self.services.get_mut(service) {
            state.credit -= 1.0;
        }
    }

    fn state_mut(&mut self, service: &Arc<str>) -> &mut ServiceState {
        self.services
            .get_or_insert_with(Arc::clone(service), ServiceState::default)
    }
}

impl SlowRequest<'_> {
    /// Checks what depends on the request alone.
    fn check(&self) -> Result<(), Denial> {
        let denial = if self.route_kind != RouteKind::Idempotent {
            // The head of a stream arrives before its first event, and two
            // servers must not produce the events of one stream.
            Denial::Kind
        } else if self.has_stages {
            Denial::Stages
        } else if self.attempts >= self.max_attempts {
            Denial::Attempts
        } else if prefill_time(self.prompt_tokens) > MAX_PREFILL {
            Denial::Prompt
        } else if self.is_suspect {
            Denial::Suspect
        } else {
            return Ok(());
        };
        Err(denial)
    }
}
