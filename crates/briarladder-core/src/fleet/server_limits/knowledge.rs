//! The limits that this daemon knows, and from which evidence.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{fleet::server::ListedServer, sorted::SortedMap};

use super::turns::Turns;

/// A limit that no response has named for this long is forgotten.
const LIMIT_RETENTION: Duration = Duration::from_mins(10);

/// How long the end of a limit is remembered, so that older notices don't
/// bring the limit back.
const ENDED_RETENTION: Duration = Duration::from_mins(1);

/// Entries are no longer sent to others this long before they are forgotten,
/// so that daemons don't remind each other of them forever.
const UNTOLD: Duration = Duration::from_secs(30);

/// Maximum number of known limits.
const MAX_ENTRIES: usize = 2048;

/// What a response says about the limit of its server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum NamedLimit {
    /// It names no limit.
    #[default]
    Absent,
    /// It names a limit in requests a second.
    PerS(f64),
    /// It names something that isn't a limit.
    Unreadable,
}

/// A response, as far as limits are concerned.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// When its request was sent.
    pub sent_at: Instant,
    /// What it says about the limit.
    pub named: NamedLimit,
    /// Whether the response certainly belongs to the request, and isn't a copy
    /// of an earlier response.
    pub is_own: bool,
}

/// From whom a limit was learned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
    /// From a response to this daemon.
    Response,
    /// From another daemon.
    Peer,
}

/// A change of the known limit of a server.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The name of the server.
    pub server: Arc<str>,
    /// Start time of its process.
    pub born_ms: u64,
    /// What has changed.
    pub kind: LimitChangeKind,
    /// From whom the change was learned.
    pub source: LimitSource,
}

/// What has changed, in requests a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChangeKind {
    /// A server without a limit has named one.
    Named {
        /// The limit.
        limit_per_s: f64,
    },
    /// A server has named another limit.
    Changed {
        /// The limit before.
        from_per_s: f64,
        /// The limit now.
        to_per_s: f64,
    },
    /// A limit has ended.
    Ended {
        /// The limit before.
        limit_per_s: f64,
    },
}

/// A server that has a limit, for logs and metrics.
#[derive(Clone, Copy, Debug)]
pub struct LimitedServer<'a> {
    /// The name of the server.
    pub server: &'a Arc<str>,
    /// Start time of its process.
    pub born_ms: u64,
    /// The limit in requests a second.
    pub limit_per_s: f64,
    /// Since when it has this limit.
    pub since: Instant,
    /// From whom the limit was learned.
    pub source: LimitSource,
    /// When a response last named the limit.
    pub confirmed_at: Instant,
    /// Requests of this daemon that got a place.
    pub used_requests: u64,
    /// Requests of this daemon that got none.
    pub turned_away_requests: u64,
}

/// A process of a server.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct ServerKey {
    pub(super) name: Arc<str>,
    pub(super) born_ms: u64,
}

impl ServerKey {
    pub(super) fn of(server: &ListedServer) -> ServerKey {
        ServerKey { name: Arc::clone(&server.name), born_ms: server.born_ms }
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Status {
    Limited { limit_per_s: f64 },
    Ended,
}

impl Status {
    fn retention(self) -> Duration {
        match self {
            Status::Limited { .. } => LIMIT_RETENTION,
            Status::Ended => ENDED_RETENTION,
        }
    }

    /// Returns up to which age of the evidence it is sent to others.
    pub(super) fn told_for(self) -> Duration {
        self.retention().saturating_sub(UNTOLD)
    }
}

/// What is known of one process of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) status: Status,
    /// The receipt of the last response that named the limit, or the sending
    /// of the request whose response no longer did.
    pub(super) evidence_at: Instant,
    /// The evidence with which the status began.
    since: Instant,
    /// When the status changed in this daemon.
    pub(super) changed_at: Instant,
    source: LimitSource,
    turns: Turns,
    used_requests: u64,
    turned_away_requests: u64,
}

impl Entry {
    pub(super) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.evidence_at)
    }

    fn limit_per_s(&self, now: Instant) -> Option<f64> {
        match self.status {
            Status::Limited { limit_per_s }
                if self.age(now) < LIMIT_RETENTION =>
            {
                Some(limit_per_s)
            }
            _ => None,
        }
    }
}

/// Returns whether a number is a limit.
pub(super) fn is_valid(limit_per_s: f64) -> bool {
    limit_per_s.is_finite() && limit_per_s >= 0.0
}

/// The limits that this daemon knows.
#[derive(Clone, Debug, Default)]
pub(super) struct Knowledge {
    by_server: SortedMap<ServerKey, Entry>,
    /// The last server that was told of in turn.
    pub(super) last_told: Option<ServerKey>,
}

impl Knowledge {
    pub(super) fn observe(
        &mut self,
        now: Instant,
        server: &ListedServer,
        observation: Observation,
    ) -> Option<LimitChange> {
        match observation.named {
            NamedLimit::PerS(limit_per_s) if is_valid(limit_per_s) => {
                self.observe_limit(now, server, limit_per_s, observation)
            }
            NamedLimit::PerS(_) | NamedLimit::Unreadable => None,
            NamedLimit::Absent => self.observe_end(now, server, observation),
        }
    }

    fn observe_limit(
        &mut self,
        now: Instant,
        server: &ListedServer,
        limit_per_s: f64,
        observation: Observation,
    ) -> Option<LimitChange> {
        let known = self.limit_per_s(now, server);
        // A copy of an earlier response may bear a limit that was higher.
        let raises = known.is_some_and(|known| limit_per_s > known);
        if raises && !observation.is_own {
            return None;
        }
        let status = Status::Limited { limit_per_s };
        let key = ServerKey::of(server);
        self.set(now, key, status, now, LimitSource::Response)
    }

    fn observe_end(
        &mut self,
        now: Instant,
        server: &ListedServer,
        observation: Observation,
    ) -> Option<LimitChange> {
        if self.by_server.is_empty() || !observation.is_own {
            return None;
        }
        self.limit_per_s(now, server)?;
        let key = ServerKey::of(server);
        let entry = self.by_server.get(&key)?;
        // The response may have been given before the one that named it.
        if observation.sent_at < entry.evidence_at {
            return None;
        }
        let evidence_at = observation.sent_at;
        let source = LimitSource::Response;
        self.set(now, key, Status::Ended, evidence_at, source)
    }

    /// Sets the status of a server on newer evidence.
    pub(super) fn set(
        &mut self,
        now: Instant,
        key: ServerKey,
        status: Status,
        evidence_at: Instant,
        source: LimitSource,
    ) -> Option<LimitChange> {
        let known = self.by_server.get_mut(&key);
        let previous = known.as_ref().and_then(|entry| entry.limit_per_s(now));
        if let Some(entry) = known {
            entry.evidence_at = evidence_at;
            if entry.status != status {
                entry.status = status;
                entry.since = evidence_at;
                entry.changed_at = now;
                entry.source = source;
            }
        } else {
            self.make_room(now);
            let entry = Entry {
                status,
                evidence_at,
                since: evidence_at,
                changed_at: now,
                source,
                turns: Turns::default(),
                used_requests: 0,
                turned_away_requests: 0,
            };
            self.by_server.insert(key.clone(), entry);
        }
        let kind = change_between(previous, status)?;
        let ServerKey { name: server, born_ms } = key;
        Some(LimitChange { server, born_ms, kind, source })
    }

    /// Removes expired entries, and the one with the oldest evidence if there
    /// are too many.
    fn make_room(&mut self, now: Instant) {
        self.expire(now);
        if self.by_server.len() < MAX_ENTRIES {
            return;
        }
        let oldest = self
            .by_server
            .iter()
            .min_by_key(|(_, entry)| entry.evidence_at)
            .map(|(key, _)| key.clone());
        if let Some(oldest) = oldest {
            self.by_server.remove(&oldest);
        }
    }

    pub(super) fn expire(&mut self, now: Instant) {
        self.by_server
            .retain(|_, entry| entry.age(now) < entry.status.retention());
    }

    pub(super) fn entry(&self, key: &ServerKey) -> Option<&Entry> {
        self.by_server.get(key)
    }

    pub(super) fn entries(
        &self,
    ) -> impl Iterator<Item = (&ServerKey, &Entry)> {
        self.by_server.iter()
    }

    pub(super) fn limit_per_s(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<f64> {
        if self.by_server.is_empty() {
            return None;
        }
        self.by_server.get(&ServerKey::of(server))?.limit_per_s(now)
    }

    pub(super) fn limited(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = LimitedServer<'_>> {
        self.by_server.iter().filter_map(move |(key, entry)| {
            Some(LimitedServer {
                server: &key.name,
                born_ms: key.born_ms,
                limit_per_s: entry.limit_per_s(now)?,
                since: entry.since,
                source: entry.source,
                confirmed_at: entry.evidence_at,
                used_requests: entry.used_requests,
                turned_away_requests: entry.turned_away_requests,
            })
        })
    }

    pub(super) fn turns_mut(&mut self, key: &ServerKey) -> Option<&mut Turns> {
        Some(&mut self.by_server.get_mut(key)?.turns)
    }

    pub(super) fn count_request(
        &mut self,
        server: &ListedServer,
        got_place: bool,
    ) {
        let key = ServerKey::of(server);
        let Some(entry) = self.by_server.get_mut(&key) else { return };
        if got_place {
            entry.used_requests += 1;
        } else {
            entry.turned_away_requests += 1;
        }
    }
}

/// Returns the change from a limit to a status, if they differ.
fn change_between(
    previous: Option<f64>,
    status: Status,
) -> Option<LimitChangeKind> {
    match (previous, status) {
        (None, Status::Limited { limit_per_s }) => {
            Some(LimitChangeKind::Named { limit_per_s })
        }
        (Some(from_per_s), Status::Limited { limit_per_s })
            if from_per_s.total_cmp(&limit_per_s).is_ne() =>
        {
            let to_per_s = limit_per_s;
            Some(LimitChangeKind::Changed { from_per_s, to_per_s })
        }
        (Some(limit_per_s), Status::Ended) => {
            Some(LimitChangeKind::Ended { limit_per_s })
        }
        _ => None,
    }
}
