//! The state and load of one backend server, as one daemon knows them.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    ids::Incarnation,
    load::{LoadReport, ServerState},
    names::ModelVersionName,
    objects::snapshot::ResolvedServer,
    retry::AttemptFailure,
    routing::{
        AttemptResult, Distance, ListedState, ServerFailure, Sharing,
        cache::CacheCursor, pool_means::PoolMeans,
    },
};

mod history;

/// The highest age of a report after which the server may get work. A leaving
/// server must get none after 3 s; the rest is for the attempt to arrive.
const MAX_STATE_AGE: Duration = Duration::from_millis(2_500);

/// The age from which a report of running requests no longer excludes a
/// server for a suspect request. Otherwise the request could wait for ever.
const BUSY_REPORT_EXPIRY: Duration = Duration::from_secs(6);

/// How long a server counts as full after it refused an attempt.
const FULL_AFTER_REFUSAL: Duration = Duration::from_millis(100);

/// The number of consecutive failures, other than connect errors, that eject
/// a server.
const FAILURES_TO_EJECT: u32 = 3;

const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A server that was healthy for this long starts again at the first backoff.
const BACKOFF_RESET: Duration = Duration::from_mins(1);

/// How often a server that is leaving or not listed is probed. It may have
/// restarted, and the list lags.
const UNUSABLE_PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A probe without a result is repeated after this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// The number of past incarnations kept to recognise their late reports.
const MAX_PAST_INCARNATIONS: usize = 4;

/// The round trip inside a region. A report may lack a request sent within
/// this time.
const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The weight of the newest sample in the mean service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// The service time of a server is ignored after this time without a
/// response, so that a recovered server gets work again.
const SERVICE_TIME_EXPIRY: Duration = Duration::from_secs(10);

/// The highest factor by which slowness multiplies the load of a server.
const MAX_SLOWNESS: f64 = 4.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Healthy { since: Instant },
    Ejected { since: Instant, until: Instant },
    Probing { since: Instant },
}

#[derive(Debug)]
struct LastReport {
    incarnation: Incarnation,
    sequence: u64,
    at: Instant,
    load_requests: u32,
    slots_requests: u32,
    model_versions: Vec<ModelVersionName>,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReportEffect {
    Ignored,
    Load,
    /// The server has other model versions than before.
    Versions,
    /// The server restarted, so its cache is empty.
    Restarted,
}

#[derive(Debug)]
pub(super) struct ServerView {
    pub(super) resolved: Arc<ResolvedServer>,
    pub(super) distance: Distance,
    pub(super) round_trip: Duration,
    pub(super) billed: bool,
    pub(super) cursor: CacheCursor,
    pub(super) in_flight: u32,
    report: Option<LastReport>,
    past_incarnations: VecDeque<Incarnation>,
    leaving: bool,
    listed: ListedState,
    listed_at: Instant,
    health: Health,
    backoff: Duration,
    failures: u32,
    full_until: Option<Instant>,
    /// When the attempts in flight that the report may lack were sent.
    sent_at: VecDeque<Instant>,
    /// Whether the server is reserved for one suspect request.
    reserved: bool,
    polled_at: Option<Instant>,
    mean_service_time_s: f64,
    responded_at: Option<Instant>,
    /// For operators only; no decision depends on it.
    history: history::History,
}

impl ServerView {
    pub(super) fn new(
        now: Instant,
        resolved: Arc<ResolvedServer>,
    ) -> ServerView {
        ServerView {
            resolved,
            distance: Distance::Zone,
            round_trip: LOCAL_ROUND_TRIP,
            billed: false,
            cursor: CacheCursor::default(),
            in_flight: 0,
            report: None,
            past_incarnations: VecDeque::new(),
            leaving: false,
            listed: ListedState::Live,
            listed_at: now,
            health: Health::Healthy { since: now },
            backoff: FIRST_BACKOFF,
            failures: 0,
            full_until: None,
            sent_at: VecDeque::new(),
            reserved: false,
            polled_at: None,
            mean_service_time_s: 0.0,
            responded_at: None,
            history: history::History::default(),
        }
    }

    pub(super) fn set_link(&mut self, one_way: Duration, billed: bool) {
        self.round_trip = LOCAL_ROUND_TRIP.max(one_way * 2);
        self.billed = billed;
    }

    pub(super) fn slots(&self) -> u32 {
        let declared = self.resolved.slots_requests;
        self.report.as_ref().map_or(declared, |r| r.slots_requests)
    }

    pub(super) fn model_versions(&self) -> &[ModelVersionName] {
        let reported = self.report.as_ref().map(|r| &r.model_versions[..]);
        self.versions_by_report(reported.unwrap_or_default())
    }

    /// Returns the versions by a report. Without reported versions, the
    /// declared ones count.
    fn versions_by_report<'a>(
        &'a self,
        reported: &'a [ModelVersionName],
    ) -> &'a [ModelVersionName] {
        if reported.is_empty() {
            &self.resolved.model_versions
        } else {
            reported
        }
    }

    /// Returns the expected number of requests on the server: the attempts in
    /// flight of this daemon and those of others. As the report ages, the
    /// number of others moves from the reported one to the mean of the pool.
    pub(super) fn effective_load(
        &self,
        now: Instant,
        means: &PoolMeans,
    ) -> f64 {
        let own = f64::from(self.in_flight);
        let slots = f64::from(self.slots());
        let unknown = slots * means.assumed_fill();
        let Some(report) = &self.report else { return own + unknown };
        let others = self.reported_others(report);
        let age = now.saturating_duration_since(report.at);
        let stale = age.saturating_sub(means.fresh_time);
        if stale.is_zero() {
            return own + others;
        }
        // A backlog of n times the slots takes n service times to drain.
        let backlog = f64::from(report.load_requests) / slots.max(1.0);
        let fading = means.fade_time.mul_f64(backlog.max(1.0));
        let faded = stale.div_duration_f64(fading).min(1.0);
        own + others * (1.0 - faded) + unknown * faded
    }

    fn reported_others(&self, report: &LastReport) -> f64 {
        let sent = u32::try_from(self.sent_at.len()).unwrap_or(u32::MAX);
        let reported = f64::from(report.load_requests) + f64::from(sent);
        (reported - f64::from(self.in_flight)).max(0.0)
    }

    /// Returns the share of slots that other daemons use by the last report.
    pub(super) fn others_fill(&self) -> Option<f64> {
        let others = self.reported_others(self.report.as_ref()?);
        Some(others / f64::from(self.slots().max(1)))
    }

    /// Returns the number of free slots by the effective load.
    pub(super) fn free_slots(&self, now: Instant, means: &PoolMeans) -> u32 {
        if self.reserved || self.full_until.is_some_and(|until| now < until) {
            return 0;
        }
        let free = f64::from(self.slots()) - self.effective_load(now, means);
        // The value lies between 0 and the slots, a `u32`.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let free = free.ceil().max(0.0) as u32;
        free
    }

    /// Returns whether no request is known to run on the server.
    pub(super) fn is_idle(&self, now: Instant, means: &PoolMeans) -> bool {
        let reported_idle = self.report.as_ref().is_none_or(|report| {
            report.load_requests == 0
                || now.saturating_duration_since(report.at)
                    >= BUSY_REPORT_EXPIRY
        });
        self.in_flight == 0 && reported_idle && self.free_slots(now, means) > 0
    }

    /// Returns the mean service time of the server relative to its pool, at
    /// least 1.
    pub(super) fn slowness(&self, now: Instant, means: &PoolMeans) -> f64 {
        let recent = self.responded_at.is_some_and(|at| {
            now.saturating_duration_since(at) < SERVICE_TIME_EXPIRY
        });
        if !recent || means.service_time_s <= 0.0 {
            return 1.0;
        }
        (self.mean_service_time_s / means.service_time_s)
            .clamp(1.0, MAX_SLOWNESS)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.listed == ListedState::Leaving
    }

    /// Returns whether the server may be in a subset.
    pub(super) fn is_usable(&self) -> bool {
        // The list lags: after a report that is newer than the entry, the
        // server counts as listed.
        let listed = self.listed != ListedState::Absent
            || self.report.as_ref().is_some_and(|r| r.at > self.listed_at);
        listed
            && !self.is_leaving()
            && matches!(self.health, Health::Healthy { .. })
    }

    /// Returns whether the last report is recent enough to send work: the
    /// server can't have been leaving for too long.
    pub(super) fn is_state_known(&self, now: Instant) -> bool {
        self.report.as_ref().is_some_and(|report| {
            now.saturating_duration_since(report.at) <= MAX_STATE_AGE
        })
    }

    /// Returns when an unusable server is probed next; `None` means at once.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        match self.health {
            Health::Healthy { .. } => {
                self.polled_at.map(|at| at + UNUSABLE_PROBE_INTERVAL)
            }
            Health::Ejected { until, .. } => Some(until),
            Health::Probing { since } => Some(since + PROBE_TIMEOUT),
        }
    }

    pub(super) fn incarnation(&self) -> Option<Incarnation> {
        self.report.as_ref().map(|report| report.incarnation)
    }

    pub(super) fn set_listed(&mut self, now: Instant, state: ListedState) {
        if self.listed != state {
            self.listed = state;
            self.listed_at = now;
        }
        self.record_usable(now);
    }

    pub(super) fn apply_report(
        &mut self,
        now: Instant,
        report: &LoadReport,
    ) -> ReportEffect {
        if self.past_incarnations.contains(&report.incarnation) {
            return ReportEffect::Ignored;
        }
        let mut restarted = false;
        if let Some(last) = &self.report {
            if last.incarnation != report.incarnation {
                restarted = true;
                self.reset_incarnation(last.incarnation);
            } else if report.sequence <= last.sequence {
                return ReportEffect::Ignored;
            }
        }
        let same_versions = self.model_versions()
            == self.versions_by_report(&report.model_versions);
        // A server that is leaving does so for the rest of its incarnation,
        // even if a report sent earlier arrives later. Without a previous
        // report the incarnation was unknown, so this report decides.
        let still_leaving = self.leaving && self.report.is_some();
        self.leaving = still_leaving || report.state == ServerState::Leaving;
        self.store_report(now, report);
        self.record_versions(now);
        self.record_usable(now);
        if restarted {
            ReportEffect::Restarted
        } else if same_versions {
            ReportEffect::Load
        } else {
            ReportEffect::Versions
        }
    }

    fn store_report(&mut self, now: Instant, report: &LoadReport) {
        let load =
            report.running_requests.saturating_add(report.queued_requests);
        self.report = Some(LastReport {
            incarnation: report.incarnation,
            sequence: report.sequence,
            at: now,
            load_requests: load,
            slots_requests: report.slots_requests,
            model_versions: report.model_versions.clone(),
        });
        // An attempt sent within the last round trip may not have reached
        // the server when it wrote the report.
        let horizon = self.round_trip;
        self.sent_at.retain(|at| now.saturating_duration_since(*at) < horizon);
        if report.running_requests < report.slots_requests {
            self.full_until = None;
        }
        if matches!(self.health, Health::Probing { .. }) {
            self.health = Health::Healthy { since: now };
            self.failures = 0;
        }
    }

    fn reset_incarnation(&mut self, old: Incarnation) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.past_incarnations.push_back(old);
        self.leaving = false;
        self.report = None;
        // The list may still show the state of the old incarnation.
        self.listed = ListedState::Live;
    }

    pub(super) fn record_sent(&mut self, now: Instant, sharing: Sharing) {
        self.in_flight += 1;
        self.sent_at.push_back(now);
        self.reserved |= sharing == Sharing::Exclusive;
    }

    pub(super) fn record_finished(
        &mut self,
        now: Instant,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        while self.sent_at.len() > self.in_flight as usize {
            self.sent_at.pop_front();
        }
        self.reserved &= self.in_flight > 0;
        match result {
            AttemptResult::Completed => {
                self.failures = 0;
                self.record_response(now, elapsed);
            }
            AttemptResult::Cancelled => {}
            AttemptResult::Failed(failure) => {
                self.record_attempt_failure(now, failure);
            }
        }
        self.record_usable(now);
    }

    fn record_response(&mut self, now: Instant, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mean = &mut self.mean_service_time_s;
        if self.responded_at.is_none() {
            *mean = sample;
        }
        *mean += (sample - *mean) * SERVICE_TIME_WEIGHT;
        self.responded_at = Some(now);
        // An attempt that was sent before the ejection does not prove that
        // the server has recovered.
        let ejected_for = match self.health {
            Health::Healthy { .. } => return,
            Health::Ejected { since, .. } | Health::Probing { since } => {
                now.saturating_duration_since(since)
            }
        };
        if elapsed <= ejected_for {
            self.health = Health::Healthy { since: now };
        }
    }

    fn record_attempt_failure(
        &mut self,
        now: Instant,
        failure: AttemptFailure,
    ) {
        self.record_failure(now, ServerFailure::Attempt(failure));
        match failure {
            AttemptFailure::ConnectFailed => self.eject(now),
            AttemptFailure::Leaving => self.leaving = true,
            AttemptFailure::RefusedNotRun => {
                self.full_until = Some(now + FULL_AFTER_REFUSAL);
            }
            AttemptFailure::ConnectionLost
            | AttemptFailure::TimedOut
            | AttemptFailure::ErrorStatus
            | AttemptFailure::ResponseMismatch => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
        }
    }

    /// Ejects the server because it did not respond to a load poll.
    pub(super) fn record_poll_failure(&mut self, now: Instant) {
        self.record_failure(now, ServerFailure::Poll);
        self.eject(now);
        self.record_usable(now);
    }

    /// Ejects the server until a probe succeeds.
    fn eject(&mut self, now: Instant) {
        match self.health {
            // Attempts that fail together count as one failure.
            Health::Ejected { .. } => return,
            Health::Healthy { since } => {
                let healthy_for = now.saturating_duration_since(since);
                if healthy_for >= BACKOFF_RESET {
                    self.backoff = FIRST_BACKOFF;
                }
            }
            Health::Probing { .. } => {}
        }
        let until = now + self.backoff;
        self.health = Health::Ejected { since: now, until };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Returns when the next poll is due at an interval; `None` means at once.
    pub(super) fn poll_due_at(&self, interval: Duration) -> Option<Instant> {
        let reported = self.report.as_ref().map(|report| report.at);
        let last = reported.max(self.polled_at)?;
        Some(last + interval)
    }

    /// Returns whether an unusable server must be probed now.
    pub(super) fn probe_due(&self, now: Instant) -> bool {
        !self.is_usable() && self.probe_at().is_none_or(|at| at <= now)
    }

    pub(super) fn record_poll(&mut self, now: Instant) {
        self.polled_at = Some(now);
        if !matches!(self.health, Health::Healthy { .. }) {
            self.health = Health::Probing { since: now };
        }
    }
}
