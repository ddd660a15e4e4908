//! Records for operators since when a server is unusable or has other
//! versions than declared.

use std::time::Instant;

use super::{Health, ServerView};
use crate::{
    names::ModelVersionName,
    routing::{
        LastError, ListedState, ObservedReport, ObservedServer, ObservedState,
        ServerFailure,
    },
    sorted::SortedSet,
};

#[derive(Debug, Default)]
pub(super) struct History {
    unusable_since: Option<Instant>,
    versions_differ_since: Option<Instant>,
    last_error: Option<LastError>,
}

impl ServerView {
    /// Returns whether the server was polled or sent a report.
    pub(in crate::routing) fn was_asked(&self) -> bool {
        self.polled_at.is_some() || self.report.is_some()
    }

    pub(super) fn record_failure(
        &mut self,
        at: Instant,
        failure: ServerFailure,
    ) {
        self.history.last_error = Some(LastError { failure, at });
    }

    /// Sets the start of an outage, or clears it at its end. A failed probe
    /// starts a new backoff but not a new outage.
    pub(super) fn record_usable(&mut self, now: Instant) {
        if self.is_usable() {
            self.history.unusable_since = None;
        } else {
            self.history.unusable_since.get_or_insert(now);
        }
    }

    /// Records whether the reported versions differ from the declared ones.
    pub(in crate::routing) fn record_versions(&mut self, now: Instant) {
        let Some(report) = &self.report else { return };
        if report.model_versions == self.resolved.model_versions {
            // Avoids copying the versions in the usual case, as this runs on
            // each report.
            self.history.versions_differ_since = None;
            return;
        }
        let set = |versions: &[ModelVersionName]| {
            versions.iter().cloned().collect::<SortedSet<_>>()
        };
        let declared = set(&self.resolved.model_versions);
        if set(&report.model_versions).as_slice() == declared.as_slice() {
            self.history.versions_differ_since = None;
        } else {
            self.history.versions_differ_since.get_or_insert(now);
        }
    }

    /// Returns the observed state for operators.
    pub(in crate::routing) fn observe(&self) -> ObservedServer {
        let state = if self.is_leaving() {
            ObservedState::Leaving
        } else if !matches!(self.health, Health::Healthy { .. }) {
            ObservedState::Ejected
        } else if !self.is_usable() && self.listed == ListedState::Absent {
            ObservedState::Unlisted
        } else if self.report.is_none() {
            ObservedState::Unreported
        } else {
            ObservedState::Ready
        };
        let report = self.report.as_ref().map(|report| ObservedReport {
            at: report.at,
            load_requests: report.load_requests,
            slots_requests: report.slots_requests,
            model_versions: report.model_versions.clone(),
        });
        ObservedServer {
            server: self.resolved.clone(),
            distance: self.distance,
            state,
            unusable_since: self.history.unusable_since,
            in_flight_requests: self.in_flight,
            report,
            versions_differ_since: self.history.versions_differ_since,
            last_error: self.history.last_error,
        }
    }
}
