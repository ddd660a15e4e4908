//! What one daemon knows of one backend server.

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
        AttemptResult, Distance, ListedState, SeenFailure, Sharing,
        cache::CacheCursor, pool_means::PoolMeans,
    },
};

mod history;

/// Up to this age a report excludes that the server has been leaving for 3 s,
/// with some time for the attempt to arrive.
const STATE_KNOWN: Duration = Duration::from_millis(2_500);

/// From this age on, a report no longer keeps a suspect off a server that
/// was not idle; otherwise it could wait for ever.
const IDLE_UNKNOWN: Duration = Duration::from_secs(6);

/// How long a server that refused an attempt counts as full.
const FULL_AFTER_REFUSAL: Duration = Duration::from_millis(100);

/// Failures in a row, other than connect errors, that eject a server.
const FAILURES_TO_EJECT: u32 = 3;

const FIRST_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// A server that stays good for this long starts again at the first backoff.
const BACKOFF_RESET: Duration = Duration::from_mins(1);

/// How often a server is probed that is leaving or not listed. It may have
/// restarted, and the list lags.
const OUT_PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A probe without a result is repeated after this time.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Old incarnations remembered to recognise their late reports.
const MAX_PAST_INCARNATIONS: usize = 4;

/// The round trip inside a region, during which a request may be on its way
/// and missing from a report.
const LOCAL_ROUND_TRIP: Duration = Duration::from_millis(2);

/// The weight of the newest sample in the mean service time.
const ELAPSED_WEIGHT: f64 = 0.1;

/// The service time of a slow server is forgotten after this time, so that
/// a recovered server gets work again.
const ELAPSED_EXPIRED: Duration = Duration::from_secs(10);

/// The most by which slowness multiplies a server's load.
const MAX_SLOWNESS: f64 = 4.0;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Health {
    Good { since: Instant },
    Ejected { since: Instant, until: Instant },
    Probing { since: Instant },
}

#[derive(Debug)]
struct Reported {
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
    report: Option<Reported>,
    past_incarnations: VecDeque<Incarnation>,
    leaving: bool,
    listed: ListedState,
    listed_at: Instant,
    health: Health,
    backoff: Duration,
    failures: u32,
    full_until: Option<Instant>,
    /// When the attempts that the report does not include were sent.
    sent_since: VecDeque<Instant>,
    /// A suspect request has the server to itself.
    reserved: bool,
    polled_at: Option<Instant>,
    mean_elapsed_s: f64,
    answered_at: Option<Instant>,
    /// What operators ask for; no decision rests on it.
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
            health: Health::Good { since: now },
            backoff: FIRST_BACKOFF,
            failures: 0,
            full_until: None,
            sent_since: VecDeque::new(),
            reserved: false,
            polled_at: None,
            mean_elapsed_s: 0.0,
            answered_at: None,
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
        self.versions_after(reported.unwrap_or_default())
    }

    /// A report that names no versions leaves the declared ones.
    fn versions_after<'a>(
        &'a self,
        reported: &'a [ModelVersionName],
    ) -> &'a [ModelVersionName] {
        if reported.is_empty() {
            &self.resolved.model_versions
        } else {
            reported
        }
    }

    /// Returns the expected number of requests on the server: own attempts
    /// in flight, plus those of others. The latter fade from the reported
    /// number to the mean of the pool as the report ages.
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
        // A backlog lasts as many service times as it is longer than the
        // slots.
        let backlog = f64::from(report.load_requests) / slots.max(1.0);
        let fading = means.fade_time.mul_f64(backlog.max(1.0));
        let faded = stale.div_duration_f64(fading).min(1.0);
        own + others * (1.0 - faded) + unknown * faded
    }

    fn reported_others(&self, report: &Reported) -> f64 {
        let sent = u32::try_from(self.sent_since.len()).unwrap_or(u32::MAX);
        let reported = f64::from(report.load_requests) + f64::from(sent);
        (reported - f64::from(self.in_flight)).max(0.0)
    }

    /// Returns the share of slots that others use by the last report.
    pub(super) fn others_fill(&self) -> Option<f64> {
        let others = self.reported_others(self.report.as_ref()?);
        Some(others / f64::from(self.slots().max(1)))
    }

    /// Returns the slots that are free by the effective load.
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

    /// Returns whether nothing runs on the server as far as is known.
    pub(super) fn is_idle(&self, now: Instant, means: &PoolMeans) -> bool {
        let reported_idle = self.report.as_ref().is_none_or(|report| {
            report.load_requests == 0
                || now.saturating_duration_since(report.at) >= IDLE_UNKNOWN
        });
        self.in_flight == 0 && reported_idle && self.free_slots(now, means) > 0
    }

    /// Returns how much slower the server answers than its pool on average.
    pub(super) fn slowness(&self, now: Instant, means: &PoolMeans) -> f64 {
        let recent = self.answered_at.is_some_and(|at| {
            now.saturating_duration_since(at) < ELAPSED_EXPIRED
        });
        if !recent || means.service_time_s <= 0.0 {
            return 1.0;
        }
        (self.mean_elapsed_s / means.service_time_s).clamp(1.0, MAX_SLOWNESS)
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.leaving || self.listed == ListedState::Leaving
    }

    /// Returns whether the server may be in a subset.
    pub(super) fn is_usable(&self) -> bool {
        // The list lags, so a report newer than the list refutes an absence.
        let listed = self.listed != ListedState::Absent
            || self.report.as_ref().is_some_and(|r| r.at > self.listed_at);
        listed
            && !self.is_leaving()
            && matches!(self.health, Health::Good { .. })
    }

    /// Returns whether the last report is recent enough to exclude that the
    /// server has been leaving for too long to get work.
    pub(super) fn is_state_known(&self, now: Instant) -> bool {
        self.report.as_ref().is_some_and(|report| {
            now.saturating_duration_since(report.at) <= STATE_KNOWN
        })
    }

    /// Returns when a bad server is probed next; `None` for at once.
    pub(super) fn probe_at(&self) -> Option<Instant> {
        match self.health {
            Health::Good { .. } => {
                self.polled_at.map(|at| at + OUT_PROBE_INTERVAL)
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
        self.note_usable(now);
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
                self.restart(last.incarnation);
            } else if report.sequence <= last.sequence {
                return ReportEffect::Ignored;
            }
        }
        let same_versions = self.model_versions()
            == self.versions_after(&report.model_versions);
        // A server that is leaving stays so for the rest of its incarnation,
        // even if a report sent earlier arrives later. Without a report the
        // incarnation was unknown, so the first report decides.
        let sticky = self.leaving && self.report.is_some();
        self.leaving = sticky || report.state == ServerState::Leaving;
        self.accept(now, report);
        self.note_versions(now);
        self.note_usable(now);
        if restarted {
            ReportEffect::Restarted
        } else if same_versions {
            ReportEffect::Load
        } else {
            ReportEffect::Versions
        }
    }

    fn accept(&mut self, now: Instant, report: &LoadReport) {
        let load =
            report.running_requests.saturating_add(report.queued_requests);
        self.report = Some(Reported {
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
        self.sent_since
            .retain(|at| now.saturating_duration_since(*at) < horizon);
        if report.running_requests < report.slots_requests {
            self.full_until = None;
        }
        if matches!(self.health, Health::Probing { .. }) {
            self.health = Health::Good { since: now };
            self.failures = 0;
        }
    }

    fn restart(&mut self, old: Incarnation) {
        if self.past_incarnations.len() == MAX_PAST_INCARNATIONS {
            self.past_incarnations.pop_front();
        }
        self.past_incarnations.push_back(old);
        self.leaving = false;
        self.report = None;
        // The list still shows the state of the old incarnation.
        self.listed = ListedState::Live;
    }

    pub(super) fn sent(&mut self, now: Instant, sharing: Sharing) {
        self.in_flight += 1;
        self.sent_since.push_back(now);
        self.reserved |= sharing == Sharing::Alone;
    }

    pub(super) fn finished(
        &mut self,
        now: Instant,
        result: AttemptResult,
        elapsed: Duration,
    ) {
        self.in_flight = self.in_flight.saturating_sub(1);
        while self.sent_since.len() > self.in_flight as usize {
            self.sent_since.pop_front();
        }
        self.reserved &= self.in_flight > 0;
        match result {
            AttemptResult::Answered => {
                self.failures = 0;
                self.answered(now, elapsed);
            }
            AttemptResult::Cancelled => {}
            AttemptResult::Failed(failure) => self.failed(now, failure),
        }
        self.note_usable(now);
    }

    fn answered(&mut self, now: Instant, elapsed: Duration) {
        let sample = elapsed.as_secs_f64();
        let mean = &mut self.mean_elapsed_s;
        if self.answered_at.is_none() {
            *mean = sample;
        }
        *mean += (sample - *mean) * ELAPSED_WEIGHT;
        self.answered_at = Some(now);
        // An attempt that was sent before the ejection proves nothing.
        let out_for = match self.health {
            Health::Good { .. } => return,
            Health::Ejected { since, .. } | Health::Probing { since } => {
                now.saturating_duration_since(since)
            }
        };
        if elapsed <= out_for {
            self.health = Health::Good { since: now };
        }
    }

    fn failed(&mut self, now: Instant, failure: AttemptFailure) {
        self.note_error(now, SeenFailure::Attempt(failure));
        match failure {
            AttemptFailure::ConnectFailed => self.eject(now),
            AttemptFailure::Leaving => self.leaving = true,
            AttemptFailure::RefusedNotRun => {
                self.full_until = Some(now + FULL_AFTER_REFUSAL);
            }
            AttemptFailure::Broken
            | AttemptFailure::TimedOut
            | AttemptFailure::ErrorStatus
            | AttemptFailure::MismatchedEcho => {
                self.failures += 1;
                if self.failures >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
        }
    }

    /// Takes the server out because its load could not be polled.
    pub(super) fn poll_failed(&mut self, now: Instant) {
        self.note_error(now, SeenFailure::Poll);
        self.eject(now);
        self.note_usable(now);
    }

    /// Takes the server out until a probe succeeds.
    fn eject(&mut self, now: Instant) {
        match self.health {
            // Several attempts may fail together; they count once.
            Health::Ejected { .. } => return,
            Health::Good { since } => {
                let good_for = now.saturating_duration_since(since);
                if good_for >= BACKOFF_RESET {
                    self.backoff = FIRST_BACKOFF;
                }
            }
            Health::Probing { .. } => {}
        }
        let until = now + self.backoff;
        self.health = Health::Ejected { since: now, until };
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Returns when the next poll is due, for a member of a subset.
    pub(super) fn poll_due_at(
        &self,
        now: Instant,
        means: &PoolMeans,
        interval: Duration,
        busy_interval: Duration,
    ) -> Option<Instant> {
        let reported = self.report.as_ref().map(|report| report.at);
        let last = reported.max(self.polled_at)?;
        let interval = if self.free_slots(now, means) == 0 {
            busy_interval
        } else {
            interval
        };
        Some(last + interval)
    }

    /// Returns whether a bad server must be probed now.
    pub(super) fn probe_due(&self, now: Instant) -> bool {
        !self.is_usable() && self.probe_at().is_none_or(|at| at <= now)
    }

    pub(super) fn polled(&mut self, now: Instant) {
        self.polled_at = Some(now);
        if !matches!(self.health, Health::Good { .. }) {
            self.health = Health::Probing { since: now };
        }
    }
}
