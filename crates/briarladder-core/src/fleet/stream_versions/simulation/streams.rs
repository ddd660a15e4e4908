//! Streams that begin, break off and are taken up.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, seq::IndexedRandom};

use crate::fleet::{
    server::ListedServer,
    stream_versions::{REPLICA_COUNT, Software, replicas},
};

use super::{
    fleet::Fleet,
    store::{SERVICES, millis},
};

/// After this time, a caller gives up.
const MAX_CALLER_TIME: Duration = Duration::from_secs(12);

/// The longest time that a caller waits between two tries.
const MAX_RETRY_MS: u64 = 1000;

/// The time after which a daemon that has started should know the others'
/// versions and records.
const LEARNING_TIME: Duration = Duration::from_secs(4);

/// The time after the kill of all daemons in which streams are lost.
const KILL_TIME: Duration = Duration::from_secs(5);

/// Who relays a stream.
struct Relay {
    daemon: usize,
    /// When the process of that daemon started.
    started_at: Instant,
    /// The server process that sends the events.
    server: ListedServer,
    /// The version that the daemon assumes.
    software: Software,
}

/// A stream of a caller.
pub(super) struct Stream {
    attempt: Arc<str>,
    service: &'static str,
    /// The version that wrote its events.
    written: Arc<str>,
    relay: Option<Relay>,
    /// When the caller tries again while there is no relay.
    retry_at: Instant,
    ends_at: Instant,
    /// Whether a take-up of it has gone on, if one counts in the shares.
    has_gone_on: Option<bool>,
}

impl Fleet {
    /// Moves all streams on.
    pub(super) fn advance_streams(&mut self) -> Result<(), String> {
        let now = self.now;
        self.streams.retain(|stream| now < stream.ends_at);
        for at in 0..self.streams.len() {
            if self.streams[at].relay.is_some() {
                self.relay(at)?;
            } else if self.streams[at].retry_at <= now {
                self.retry(at)?;
            }
        }
        Ok(())
    }

    /// Returns a random daemon that runs.
    fn any_daemon(&mut self) -> Option<usize> {
        let at = self.rng.random_range(0..self.daemons.len());
        self.daemons[at].process.is_some().then_some(at)
    }

    /// Returns whether what a daemon does now at a service counts in the
    /// shares: only records can tell the versions of its streams.
    fn counts_in_shares(&self, at: usize, service: &str) -> bool {
        let process = self.daemons[at].process.as_ref().unwrap();
        process.sole(self.now, service).is_none() && self.is_settled(at)
    }

    /// Returns whether a daemon has been in touch and has run for a while.
    fn is_settled(&self, at: usize) -> bool {
        let daemon = &self.daemons[at];
        let process = daemon.process.as_ref().unwrap();
        let was_cut =
            daemon.cut.is_some_and(|(_, to)| self.now < to + LEARNING_TIME);
        let all_killed = self
            .all_killed_at
            .is_some_and(|killed_at| self.now < killed_at + KILL_TIME);
        self.now >= process.started_at + LEARNING_TIME
            && !was_cut
            && !all_killed
    }

    /// Lets a caller begin a stream at any daemon.
    pub(super) fn begin(&mut self) {
        let Some(at) = self.any_daemon() else { return };
        let service = *SERVICES.choose(&mut self.rng).unwrap();
        let counts = self.counts_in_shares(at, service);
        self.counts.begin_tries += usize::from(counts);
        let process = self.daemons[at].process.as_ref().unwrap();
        let servers = process.candidates(service);
        let Some((assumed, server)) = self.send_to_any(&servers) else {
            return;
        };
        self.counts.begun += usize::from(counts);
        self.streams_begun += 1;
        let attempt = format!("a-{}", self.streams_begun);
        let written = Arc::clone(&server.software_version);
        let mut stream = Stream {
            attempt: attempt.into(),
            service,
            written,
            relay: None,
            retry_at: self.now,
            ends_at: self.now + MAX_CALLER_TIME,
            has_gone_on: None,
        };
        let Some(software) = Software::of(&assumed) else { return };
        self.record(at, &stream.attempt, &software);
        stream.relay = Some(self.relay_at(at, server, software));
        self.streams.push(stream);
    }

    fn relay_at(
        &self,
        daemon: usize,
        server: ListedServer,
        software: Software,
    ) -> Relay {
        let process = self.daemons[daemon].process.as_ref().unwrap();
        Relay { daemon, started_at: process.started_at, server, software }
    }

    /// Sends a request to up to two of some servers. Returns the entry that
    /// the daemon knows and the process that has got the request.
    fn send_to_any(
        &mut self,
        servers: &[ListedServer],
    ) -> Option<(ListedServer, ListedServer)> {
        let checks_process = self.protocol.checks_process;
        let chosen: Vec<&ListedServer> =
            servers.sample(&mut self.rng, 2).collect();
        chosen.into_iter().find_map(|assumed| {
            let server = self.store.serving(self.now, &assumed.name)?;
            let is_other = server.born_ms != assumed.born_ms;
            let is_refused = is_other && checks_process;
            (!is_refused).then(|| (assumed.clone(), server.clone()))
        })
    }

    /// Records which version has begun a stream or goes on with it.
    fn record(&mut self, at: usize, attempt: &Arc<str>, software: &Software) {
        let now = self.now;
        let process = self.daemons[at].process.as_mut().unwrap();
        process.origins.record(now, attempt, software);
        if process.sole(now, &software.service).is_some() {
            return;
        }
        let mut notices = process.origins.notices(now, &software.service);
        notices.retain(|notice| notice.attempt == *attempt);
        let others = self.live_others(at);
        for other in replicas(attempt, &others, REPLICA_COUNT) {
            self.send_origins(at, self.index(other), notices.clone());
        }
    }

    /// Sends all records of a service whose versions are mixed from now on.
    pub(super) fn replicate_all(&mut self, at: usize, service: &str) {
        let process = self.daemons[at].process.as_ref().unwrap();
        let notices = process.origins.notices(self.now, service);
        let others = self.live_others(at);
        for notice in notices {
            for other in replicas(&notice.attempt, &others, REPLICA_COUNT) {
                let to = self.index(other);
                self.send_origins(at, to, vec![notice.clone()]);
            }
        }
    }

    /// Moves a stream on that is relayed: its daemon or server may be gone.
    fn relay(&mut self, at: usize) -> Result<(), String> {
        let relay = self.streams[at].relay.as_ref().unwrap();
        let process = self.daemons[relay.daemon].process.as_ref();
        let has_relay =
            process.is_some_and(|p| p.started_at == relay.started_at);
        let serving = self.store.serving(self.now, &relay.server.name);
        let has_server =
            serving.is_some_and(|s| s.born_ms == relay.server.born_ms);
        let breaks = self.rng.random_bool(0.02);
        if has_relay && has_server && !breaks {
            return Ok(());
        }
        let relay = self.streams[at].relay.take().unwrap();
        let delay = millis(&mut self.rng, MAX_RETRY_MS);
        self.streams[at].retry_at = self.now + delay;
        if has_relay && self.rng.random_bool(0.5) {
            self.go_on(at, relay.daemon, &relay.software)?;
        }
        Ok(())
    }

    /// Lets a caller take its stream up at any daemon.
    fn retry(&mut self, at: usize) -> Result<(), String> {
        let delay = millis(&mut self.rng, MAX_RETRY_MS);
        self.streams[at].retry_at = self.now + delay;
        let Some(daemon) = self.any_daemon() else { return Ok(()) };
        let must_go_on = self.must_go_on(at, daemon);
        let stream = &self.streams[at];
        let has_two = self.store.has_two(stream.service, &stream.written);
        let counts = has_two && self.counts_in_shares(daemon, stream.service);
        let known = self.known_version(at, daemon);
        let goes_on = match &known {
            Some(software) => self.go_on(at, daemon, software)?,
            None => false,
        };
        if counts {
            let stream = &mut self.streams[at];
            let is_first = stream.has_gone_on.is_none();
            let went_on = stream.has_gone_on == Some(true);
            stream.has_gone_on = Some(went_on || goes_on);
            self.counts.take_ups += usize::from(is_first);
            self.counts.taken_up += usize::from(goes_on && !went_on);
        }
        if must_go_on && !goes_on {
            let attempt = &self.streams[at].attempt;
            return Err(format!("{attempt} refused at daemon {daemon}"));
        }
        Ok(())
    }

    /// Returns whether a take-up can't be refused, since there is one version
    /// only and the daemon is covered and knows a server that serves.
    fn must_go_on(&mut self, at: usize, daemon: usize) -> bool {
        let process = self.daemons[daemon].process.as_ref().unwrap();
        let is_in_touch =
            !self.daemons[daemon].is_cut(self.now) && !process.misses_changes;
        if !self.has_one_version || !is_in_touch {
            return false;
        }
        let is_covered = process.history.is_covered(self.now);
        if self.is_settled(daemon)
            && self
                .covered_since
                .is_some_and(|since| self.now >= since + LEARNING_TIME)
        {
            self.counts.informed += 1;
            self.counts.uncovered += usize::from(!is_covered);
        }
        let servers = process.candidates(self.streams[at].service);
        let all_serve = servers.iter().all(|assumed| {
            let serving = self.store.serving(self.now, &assumed.name);
            serving.is_some_and(|s| s.born_ms == assumed.born_ms)
        });
        is_covered && all_serve && !servers.is_empty()
    }

    /// Finds the version that has begun a stream.
    fn known_version(&mut self, at: usize, daemon: usize) -> Option<Software> {
        let now = self.now;
        let attempt = Arc::clone(&self.streams[at].attempt);
        let service = self.streams[at].service;
        let process = self.daemons[daemon].process.as_ref()?;
        if let Some(software) = process.origins.find(now, &attempt) {
            return Some(software.clone());
        }
        let others = self.live_others(daemon);
        for other in replicas(&attempt, &others, REPLICA_COUNT + 1) {
            let other = self.index(other);
            if !self.can_ask(daemon, other) {
                continue;
            }
            let other = self.daemons[other].process.as_ref();
            let found = other.and_then(|p| p.origins.find(now, &attempt));
            if let Some(software) = found {
                return Some(software.clone());
            }
        }
        let version = self.sole_version(daemon, service)?;
        Some(Software { service: service.into(), version })
    }

    fn sole_version(
        &mut self,
        daemon: usize,
        service: &str,
    ) -> Option<Arc<str>> {
        let now = self.now;
        let is_cut = self.daemons[daemon].is_cut(now);
        let receives_changes = self.daemons[daemon].receives_changes(now);
        let process = self.daemons[daemon].process.as_mut()?;
        if self.protocol.confirms_view {
            if is_cut || process.listed.is_none() || process.misses_changes {
                return None;
            }
            let revision = self.store.revision(now, Duration::ZERO);
            process.follow(now, &self.store, revision);
        }
        process.sole(now, service).filter(|_| receives_changes)
    }

    /// Lets a stream go on at a version. Returns whether it does.
    fn go_on(
        &mut self,
        at: usize,
        daemon: usize,
        software: &Software,
    ) -> Result<bool, String> {
        let process = self.daemons[daemon].process.as_ref().unwrap();
        let servers = process.ready_of(software);
        let Some((_, server)) = self.send_to_any(&servers) else {
            return Ok(false);
        };
        let stream = &self.streams[at];
        if stream.written != server.software_version {
            return Err(format!(
                "{} of {} goes on at {} ({}, assumed {software})",
                stream.attempt,
                stream.written,
                server.software_version,
                server.name
            ));
        }
        let attempt = Arc::clone(&stream.attempt);
        self.record(daemon, &attempt, software);
        let relay = self.relay_at(daemon, server, software.clone());
        self.streams[at].relay = Some(relay);
        Ok(true)
    }
}
