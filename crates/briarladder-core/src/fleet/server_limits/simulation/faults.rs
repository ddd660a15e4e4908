//! Faults of a simulation.

use std::{sync::Arc, time::Duration};

use briarladder_core::fleet::server_limits::{LimitMembers, ServerLimits};
use rand::RngExt;

use super::{Demand, Simulation, events::Event};

/// The mean time between two faults of a kind.
pub(super) const FAULT_INTERVAL: Duration = Duration::from_secs(2);

/// The members that some lists lack are drawn anew at this interval.
const VIEW_INTERVAL: Duration = Duration::from_secs(7);

/// How long a process that restarts doesn't run.
const DOWNTIME: Duration = Duration::from_secs(1);

/// Number of different lists of members.
const VIEWS: usize = 4;

impl Simulation {
    /// Returns whether one of two daemons is in the zone that is cut off in
    /// the second quarter of the time.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        let zones = [from, to].map(|at| at % self.scenario.zones);
        let quarter = self.scenario.duration / 4;
        self.scenario.faults
            && (quarter..quarter * 2).contains(&self.now)
            && zones[0] != zones[1]
            && zones.contains(&0)
    }

    pub(super) fn jump_clock(&mut self) {
        let daemon = self.any_daemon();
        self.daemons[daemon].jumped_by = self.up_to(Duration::from_secs(10));
        let until = self.up_to(Duration::from_secs(10));
        self.schedule(until, Event::ClockCorrection { daemon });
        let next = self.exponential(FAULT_INTERVAL);
        self.schedule(next, Event::ClockJump);
    }

    pub(super) fn restart(&mut self) {
        let at = self.any_daemon();
        let down_until = self.now + DOWNTIME;
        let started_at = self.start + down_until;
        let daemon = &mut self.daemons[at];
        daemon.limits = ServerLimits::new(started_at);
        daemon.bucket = None;
        daemon.next_ask_at = Duration::ZERO;
        daemon.down_until = down_until;
        daemon.run += 1;
        let run = daemon.run;
        if at == self.coordinator {
            self.replace_coordinator();
        }
        if self.scenario.demand == Demand::Saturating {
            self.schedule(DOWNTIME, Event::Attempt { daemon: at, run });
        }
        let next = self.exponential(FAULT_INTERVAL);
        self.schedule(next, Event::Restart);
    }

    /// Draws lists of members, most of which lack some, and gives each daemon
    /// one of them.
    pub(super) fn draw_views(&mut self) {
        self.version += 1;
        let count = self.daemons.len();
        let missing = (count / 100).max(1);
        let views: Vec<Arc<[Arc<str>]>> = (0..VIEWS)
            .map(|view| {
                let missing = if view == 0 { 0 } else { missing };
                let missing: Vec<usize> =
                    (0..missing).map(|_| self.any_daemon()).collect();
                let names = self.daemons.iter().enumerate();
                names
                    .filter(|(at, _)| !missing.contains(at))
                    .map(|(_, daemon)| Arc::clone(&daemon.name))
                    .collect()
            })
            .collect();
        for daemon in &mut self.daemons {
            let view = &views[self.random.random_range(0..VIEWS)];
            let mut names = Arc::clone(view);
            // Each daemon knows itself.
            if !names.contains(&daemon.name) {
                names = names.iter().chain([&daemon.name]).cloned().collect();
            }
            let local = Arc::clone(&daemon.name);
            daemon.members = LimitMembers::new(local, names, self.version);
        }
        self.schedule(VIEW_INTERVAL, Event::Views);
    }
}
