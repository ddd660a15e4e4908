//! The fleet: daemons, their messages, and what happens to them.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::SmallRng};

use crate::fleet::stream_versions::{
    OriginNotice, VersionHistory, VersionSummary,
};

use super::{
    Counts, Protocol,
    daemon::{Daemon, Process},
    store::{Store, millis},
    streams::Stream,
};

const DAEMONS: usize = 6;

/// How a history goes.
#[derive(Clone, Copy)]
struct Shape {
    steps: usize,
    /// The longest time that a step takes.
    max_step_ms: u64,
    /// Streams that begin in a step.
    streams_per_step: f64,
    /// Rollouts in a thousand steps.
    rollouts: u32,
}

/// A history that lasts longer than versions and records count.
const LONG: Shape = Shape {
    steps: 250,
    max_step_ms: 600,
    streams_per_step: 0.4,
    rollouts: 20,
};

/// A history of a fleet that has had one version until a rollout, with most
/// steps in the time in which daemons see different versions.
const ROLLOUT: Shape =
    Shape { steps: 60, max_step_ms: 200, streams_per_step: 2.5, rollouts: 40 };

/// The longest time until a daemon learns of a change of the store.
const MAX_LAG_MS: u64 = 2000;

/// How long daemons take to notice that another one has started or ended.
const MEMBERSHIP_DELAY: Duration = Duration::from_secs(1);

/// The fraction of messages between daemons that are lost.
const LOSS: f64 = 0.1;

/// How often a daemon asks another one for its summary.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// A message between daemons.
enum Message {
    Origins(Vec<OriginNotice>),
    Summary {
        summary: VersionSummary,
        /// The revision of the store that its sender has seen.
        revision: usize,
    },
}

struct Envelope {
    due_at: Instant,
    to: usize,
    message: Message,
}

/// When a daemon was killed, and when it starts again.
#[derive(Clone, Copy)]
struct Downtime {
    from: Instant,
    to: Instant,
}

/// A simulated fleet.
pub(super) struct Fleet {
    pub(super) protocol: Protocol,
    pub(super) now: Instant,
    pub(super) rng: SmallRng,
    pub(super) store: Store,
    pub(super) daemons: Vec<Daemon>,
    pub(super) streams: Vec<Stream>,
    pub(super) streams_begun: u32,
    pub(super) counts: Counts,
    shape: Shape,
    /// Whether all daemons may be killed at once.
    kills_all: bool,
    /// When all daemons but one are killed, soon after a rollout.
    next_kill_at: Option<Instant>,
    /// Whether servers have one version only.
    pub(super) has_one_version: bool,
    /// When all daemons were last killed at once.
    pub(super) all_killed_at: Option<Instant>,
    /// Since when a daemon in touch was always covered.
    pub(super) covered_since: Option<Instant>,
    downtimes: [Option<Downtime>; DAEMONS],
    messages: Vec<Envelope>,
}

impl Fleet {
    pub(super) fn new(
        seed: u64,
        protocol: Protocol,
        versions: usize,
    ) -> Fleet {
        let mut rng = SmallRng::seed_from_u64(seed);
        let now = Instant::now();
        let store = Store::new(now, versions);
        let daemons = (0..DAEMONS).map(|at| {
            let mut process =
                Process::new(now, VersionHistory::first_start(now));
            process.list(now, &store, store.revision(now, Duration::ZERO));
            Daemon {
                name: format!("d-{at}").into(),
                lag: millis(&mut rng, MAX_LAG_MS),
                cut: None,
                process: Some(process),
            }
        });
        let daemons = daemons.collect();
        Fleet {
            protocol,
            now,
            rng,
            store,
            daemons,
            streams: vec![],
            streams_begun: 0,
            counts: Counts::default(),
            shape: if seed.is_multiple_of(4) { LONG } else { ROLLOUT },
            kills_all: seed.is_multiple_of(8),
            next_kill_at: None,
            has_one_version: versions == 1,
            all_killed_at: None,
            covered_since: Some(now),
            downtimes: [None; DAEMONS],
            messages: vec![],
        }
    }

    /// Plays a whole history.
    pub(super) fn run(mut self) -> Result<Counts, String> {
        for step in 0..self.shape.steps {
            self.now += millis(&mut self.rng, self.shape.max_step_ms);
            self.store.advance(self.now, &mut self.rng);
            self.advance_daemons();
            self.deliver();
            self.disrupt();
            self.exchange();
            self.note_coverage();
            self.begin_streams();
            self.advance_streams()
                .map_err(|fault| format!("step {step}: {fault}"))?;
        }
        Ok(self.counts)
    }

    /// Begins the streams of a step.
    fn begin_streams(&mut self) {
        let mut expected = self.shape.streams_per_step;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                self.begin();
            }
            expected -= 1.0;
        }
    }

    /// Lets something happen to servers or daemons, in some steps.
    fn disrupt(&mut self) {
        if self.next_kill_at.is_some_and(|at| at <= self.now) {
            self.next_kill_at = None;
            self.kill(DAEMONS - 1);
        }
        match self.rng.random_range(0..1000) {
            n if n >= 1000 - self.shape.rollouts => {
                self.store.roll_out(self.now, &mut self.rng);
                if self.rng.random_bool(0.3) {
                    let delay = millis(&mut self.rng, MAX_LAG_MS);
                    self.next_kill_at = Some(self.now + delay);
                }
            }
            0..8 => self.store.retire(self.now, &mut self.rng),
            8..16 => self.store.leave_any(self.now, &mut self.rng),
            16..28 => self.store.crash_any(self.now, &mut self.rng),
            28..38 => self.kill(1),
            38..42 => self.kill(2),
            42..45 => self.kill(DAEMONS - 1),
            45..48 if self.kills_all => self.kill(DAEMONS),
            48..54 => self.cut_any(),
            _ => {}
        }
    }

    /// Kills daemons at once, which start again soon.
    fn kill(&mut self, count: usize) {
        let first = self.rng.random_range(0..DAEMONS);
        for at in (0..count).map(|at| (first + at) % DAEMONS) {
            let to = self.now + millis(&mut self.rng, 3000);
            if self.daemons[at].process.take().is_some() {
                let downtime = Downtime { from: self.now, to };
                self.downtimes[at] = Some(downtime);
            }
        }
        if self.daemons.iter().all(|daemon| daemon.process.is_none()) {
            self.all_killed_at = Some(self.now);
        }
    }

    /// Cuts a machine off from the store and the other ones.
    fn cut_any(&mut self) {
        let at = self.rng.random_range(0..DAEMONS);
        let to = self.now + millis(&mut self.rng, 15_000);
        let misses_changes = self.rng.random_bool(0.5);
        let daemon = &mut self.daemons[at];
        if daemon.is_cut(self.now) {
            return;
        }
        daemon.cut = Some((self.now, to));
        if let Some(process) = &mut daemon.process {
            process.misses_changes |= misses_changes;
        }
    }

    fn advance_daemons(&mut self) {
        for at in 0..DAEMONS {
            self.restart(at);
            let lag = self.daemons[at].lag;
            let revision = self.store.revision(self.now, lag);
            let is_cut = self.daemons[at].is_cut(self.now);
            let Some(process) = &mut self.daemons[at].process else {
                continue;
            };
            let must_list = process.listed.is_none() || process.misses_changes;
            if is_cut {
                // It learns nothing.
            } else if must_list {
                if self.rng.random_bool(0.3) {
                    process.list(self.now, &self.store, revision);
                }
            } else {
                process.follow(self.now, &self.store, revision);
            }
            process.origins.expire(self.now);
            for service in process.services_mixed(self.now) {
                self.replicate_all(at, service);
            }
        }
    }

    fn restart(&mut self, at: usize) {
        let daemon = &mut self.daemons[at];
        let downtime = self.downtimes[at];
        let is_over = downtime.is_some_and(|downtime| downtime.to <= self.now);
        if daemon.process.is_none() && is_over {
            let history = VersionHistory::default();
            daemon.process = Some(Process::new(self.now, history));
        }
    }

    /// Returns the daemons that another one holds to be alive.
    pub(super) fn live_others(&self, at: usize) -> Vec<Arc<str>> {
        let is_alive = |other: usize| {
            other != at
                && match (&self.daemons[other].process, self.downtimes[other])
                {
                    (None, Some(downtime)) => {
                        self.now < downtime.from + MEMBERSHIP_DELAY
                    }
                    (Some(process), Some(_)) => {
                        self.now >= process.started_at + MEMBERSHIP_DELAY
                    }
                    (process, None) => process.is_some(),
                }
        };
        let others = (0..DAEMONS).filter(|other| is_alive(*other));
        others.map(|other| Arc::clone(&self.daemons[other].name)).collect()
    }

    pub(super) fn index(&self, name: &str) -> usize {
        self.daemons.iter().position(|d| *d.name == *name).unwrap()
    }

    /// Returns whether two daemons reach each other now.
    pub(super) fn can_ask(&mut self, from: usize, to: usize) -> bool {
        let reaches = |at: usize| !self.daemons[at].is_cut(self.now);
        reaches(from) && reaches(to) && !self.rng.random_bool(LOSS)
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.can_ask(from, to) {
            let due_at = self.now + millis(&mut self.rng, 300);
            self.messages.push(Envelope { due_at, to, message });
        }
    }

    pub(super) fn send_origins(
        &mut self,
        from: usize,
        to: usize,
        notices: Vec<OriginNotice>,
    ) {
        self.send(from, to, Message::Origins(notices));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let is_due = |envelope: &mut Envelope| envelope.due_at <= now;
        let due: Vec<Envelope> =
            self.messages.extract_if(.., is_due).collect();
        for Envelope { to, message, .. } in due {
            let daemon = &mut self.daemons[to];
            if daemon.is_cut(now) {
                continue;
            }
            let Some(process) = &mut daemon.process else { continue };
            match message {
                Message::Origins(notices) => {
                    process.origins.merge(now, &notices);
                }
                Message::Summary { summary, revision } => {
                    let has_no_gap = process
                        .listed
                        .is_some_and(|listed| listed <= revision);
                    if has_no_gap || !self.protocol.compares_revisions {
                        process.history.merge(now, &summary);
                    }
                }
            }
        }
    }

    /// Lets each daemon that isn't covered ask one other daemon a second.
    fn exchange(&mut self) {
        for at in 0..DAEMONS {
            let Some(process) = &mut self.daemons[at].process else {
                continue;
            };
            let is_due = process.listed.is_some()
                && !process.history.is_covered(self.now)
                && process.next_exchange_at <= self.now;
            if !is_due {
                continue;
            }
            process.next_exchange_at = self.now + EXCHANGE_INTERVAL;
            let others = self.live_others(at);
            if others.is_empty() {
                continue;
            }
            let other = &others[self.rng.random_range(0..others.len())];
            self.send_summary(self.index(other), at);
        }
    }

    fn send_summary(&mut self, from: usize, to: usize) {
        let daemon = &self.daemons[from];
        let Some(process) = &daemon.process else { return };
        let receives_changes = daemon.receives_changes(self.now);
        let summary = process.summary(self.now, receives_changes);
        let revision = process.revision;
        self.send(from, to, Message::Summary { summary, revision });
    }

    fn note_coverage(&mut self) {
        let has_covered = self.daemons.iter().any(|daemon| {
            let process = daemon.process.as_ref();
            !daemon.is_cut(self.now)
                && process.is_some_and(|p| p.history.is_covered(self.now))
        });
        let since = self.covered_since.unwrap_or(self.now);
        self.covered_since = has_covered.then_some(since);
    }
}
