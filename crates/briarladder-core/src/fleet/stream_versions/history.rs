//! The software versions that were listed recently.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{
    super::server::{ListedServer, Servers},
    MAX_STREAM_SPAN, Moment, Software,
};

/// Departures that are remembered. A fleet has a few versions at a time.
const MAX_DEPARTURES: usize = 256;

/// A version that was listed, for another daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedVersion {
    /// The version; `None` for that of servers whose version is unknown.
    pub software: Option<Software>,
    /// How long ago it was listed last; 0 if it still is.
    pub age_ms: u32,
}

/// What one daemon knows, for another one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VersionSummary {
    /// For how long all listed versions are known.
    pub covered_ms: u32,
    /// The versions that were listed in the last [`MAX_STREAM_SPAN`].
    pub versions: Vec<ListedVersion>,
}

/// The versions that were listed in the last [`MAX_STREAM_SPAN`], apart from
/// those that are listed now, which [`Servers`] holds.
#[derive(Clone, Debug, Default)]
pub struct VersionHistory {
    /// Since when all listed versions are known; `None` before the first
    /// listing.
    covered_since: Option<Moment>,
    /// When a version was listed last; `None` stands for servers whose version
    /// is unknown. Sorted by version.
    departures: Vec<(Option<Software>, Moment)>,
}

impl VersionHistory {
    /// Creates the history of a fleet that starts for the first time: no
    /// version has begun a stream before.
    #[must_use]
    pub fn first_start(now: Instant) -> VersionHistory {
        VersionHistory {
            covered_since: Some(Moment::with_age(now, MAX_STREAM_SPAN)),
            departures: Vec::new(),
        }
    }

    /// Records a full listing of the servers. If changes before it were
    /// missed, versions may have come and gone unseen.
    pub fn record_listing(&mut self, now: Instant, missed_changes: bool) {
        if missed_changes || self.covered_since.is_none() {
            self.covered_since = Some(Moment::now(now));
        }
    }

    /// Records that a server of a version is no longer listed with it.
    pub fn record_departure(
        &mut self,
        now: Instant,
        software: impl Into<Option<Software>>,
    ) {
        self.insert(now, software.into(), Moment::now(now));
    }

    /// Records that streams of an unknown version may be taken up at a
    /// service, since they have begun at another service of their route.
    pub fn record_unknown(&mut self, now: Instant, service: &Arc<str>) {
        let software =
            Software { service: Arc::clone(service), version: Arc::from("") };
        self.record_departure(now, software);
    }

    fn insert(
        &mut self,
        now: Instant,
        software: Option<Software>,
        listed: Moment,
    ) {
        let found = self
            .departures
            .binary_search_by(|(known, _)| known.cmp(&software));
        match found {
            Ok(index) => {
                let known = &mut self.departures[index].1;
                if listed.age(now) < known.age(now) {
                    *known = listed;
                }
            }
            Err(index) => {
                self.departures.insert(index, (software, listed));
                self.limit(now);
            }
        }
    }

    /// Drops departures that no longer count, and others if there are too
    /// many, which are then unknown.
    fn limit(&mut self, now: Instant) {
        if self.departures.len() <= MAX_DEPARTURES {
            return;
        }
        self.departures.retain(|(_, at)| at.age(now) <= MAX_STREAM_SPAN);
        if self.departures.len() > MAX_DEPARTURES {
            self.departures.truncate(MAX_DEPARTURES);
            self.covered_since = Some(Moment::now(now));
        }
    }

    /// Returns whether all versions are known that may have begun streams
    /// which callers still take up.
    #[must_use]
    pub fn is_covered(&self, now: Instant) -> bool {
        self.covered_since
            .is_some_and(|since| since.age(now) >= MAX_STREAM_SPAN)
    }

    /// Returns the only version of a service that may have begun streams which
    /// callers still take up; `None` if there may be others.
    #[must_use]
    pub fn sole_version(
        &self,
        now: Instant,
        service: &str,
        servers: &Servers,
    ) -> Option<Arc<str>> {
        if !self.is_covered(now) {
            return None;
        }
        let mut sole: Option<&Arc<str>> = None;
        for server in servers.in_service(service) {
            let version = &server.software_version;
            if version.is_empty() || *sole.get_or_insert(version) != version {
                return None;
            }
        }
        for (software, at) in &self.departures {
            if at.age(now) > MAX_STREAM_SPAN {
                continue;
            }
            // Which service a server of an unknown version belonged to is not
            // recorded.
            let Some(software) = software else { return None };
            if *software.service != *service {
                continue;
            }
            let version = &software.version;
            if version.is_empty() || *sole.get_or_insert(version) != version {
                return None;
            }
        }
        sole.cloned()
    }

    /// Returns what another daemon needs to know. The versions that are listed
    /// now are part of it: they may depart before the other daemon has its
    /// first listing.
    #[must_use]
    pub fn summarize<'a>(
        &self,
        now: Instant,
        listed: impl IntoIterator<Item = &'a Arc<ListedServer>>,
    ) -> VersionSummary {
        let covered = self
            .covered_since
            .map_or(Duration::ZERO, |since| since.age(now))
            .min(MAX_STREAM_SPAN);
        let mut listed: Vec<Option<Software>> =
            listed.into_iter().map(|server| Software::of(server)).collect();
        listed.sort_unstable();
        listed.dedup();
        let departed = self.departures.iter().filter(|(software, at)| {
            at.age(now) <= MAX_STREAM_SPAN
                && listed.binary_search(software).is_err()
        });
        let departed = departed.map(|(software, at)| ListedVersion {
            software: software.clone(),
            age_ms: millis(at.age(now)),
        });
        let mut versions: Vec<ListedVersion> = departed.collect();
        versions.extend(
            listed
                .into_iter()
                .map(|software| ListedVersion { software, age_ms: 0 }),
        );
        VersionSummary { covered_ms: millis(covered), versions }
    }

    /// Merges what another daemon knows. Its coverage counts only after the
    /// first listing of this one, so that there is no gap between the two.
    pub fn merge(&mut self, now: Instant, summary: &VersionSummary) {
        let covered = Duration::from_millis(u64::from(summary.covered_ms));
        if let Some(since) = &mut self.covered_since
            && since.age(now) < covered
        {
            *since = Moment::with_age(now, covered);
        }
        // Departures for which there is no room end the coverage again.
        for ListedVersion { software, age_ms } in &summary.versions {
            let age = Duration::from_millis(u64::from(*age_ms));
            let listed = Moment::with_age(now, age);
            self.insert(now, software.clone(), listed);
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
