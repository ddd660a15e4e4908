//! The designs that a simulation compares.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    fleet::server_limits::{LimitTime, Sharing, TURN},
    rendezvous,
};

use super::{Design, Simulation, ms, to_f64};

/// How long two coordinators call the server.
const COORDINATOR_OVERLAP: Duration = Duration::from_secs(2);

fn epoch_of(now: LimitTime) -> u64 {
    now.unix_time.as_secs() / TURN.as_secs()
}

impl Simulation {
    /// Returns when a daemon should try again, or `None` if it knows of no
    /// limit.
    pub(super) fn next_attempt_in(&mut self, at: usize) -> Option<Duration> {
        let now = self.time_of(at);
        let may_send = self.calls_server(at);
        let daemon = &mut self.daemons[at];
        daemon.limits.limit_per_s(now.now, &self.server)?;
        match self.scenario.design {
            Design::Turns => self.next_turn_in(at),
            Design::TurnsWithAsking => self
                .next_turn_in(at)
                .map(|wait| wait.min(self.next_ask_in(at))),
            Design::EqualParts => Some(ms(50)),
            Design::Coordinator | Design::OneHome if !may_send => {
                Some(ms(100))
            }
            Design::Coordinator | Design::OneHome => Some(ms(10)),
        }
    }

    fn next_turn_in(&mut self, at: usize) -> Option<Duration> {
        let now = self.time_of(at);
        let daemon = &mut self.daemons[at];
        let next_at = daemon.limits.next_place_at(
            now,
            &self.server,
            Sharing::Turns,
            &daemon.members,
        )?;
        Some(next_at.saturating_duration_since(now.now))
    }

    /// Returns whether a daemon is one that uses the limit at the time.
    fn calls_server(&mut self, at: usize) -> bool {
        match self.scenario.design {
            Design::Turns | Design::TurnsWithAsking | Design::EqualParts => {
                true
            }
            Design::Coordinator => self.is_coordinator(at),
            Design::OneHome => self.is_home(at),
        }
    }

    fn is_coordinator(&self, at: usize) -> bool {
        at == self.coordinator
            || (at == self.previous_coordinator
                && self.now < self.overlap_until)
    }

    /// Makes another daemon the coordinator, one that has run for a while. The
    /// previous one goes on for a moment.
    pub(super) fn replace_coordinator(&mut self) {
        let count = self.daemons.len();
        let successor = (1..count)
            .map(|distance| (self.coordinator + distance) % count)
            .find(|&at| self.daemons[at].down_until + TURN * 2 <= self.now);
        self.previous_coordinator = self.coordinator;
        self.coordinator = successor.unwrap_or(self.coordinator);
        self.overlap_until = self.now + COORDINATOR_OVERLAP;
    }

    fn is_home(&mut self, at: usize) -> bool {
        let epoch = epoch_of(self.time_of(at));
        if let Some(&(_, home)) =
            self.homes.iter().find(|(known, _)| *known == epoch)
        {
            return home == at;
        }
        let key = format!("{}/{epoch}", self.server.name);
        let names: Vec<&Arc<str>> =
            self.daemons.iter().map(|daemon| &daemon.name).collect();
        let first = rendezvous::top(&key, &names, 1)[0];
        let home = names.iter().position(|name| name == first).unwrap_or(0);
        self.homes.push((epoch, home));
        home == at
    }

    /// Takes a place for a request and returns whether there was one.
    pub(super) fn take(&mut self, at: usize) -> bool {
        let now = self.time_of(at);
        let count = to_f64(self.daemons.len());
        let may_send = self.calls_server(at);
        let daemon = &mut self.daemons[at];
        let server = &self.server;
        let Some(limit_per_s) = daemon.limits.limit_per_s(now.now, server)
        else {
            return true;
        };
        if !may_send {
            return false;
        }
        let limit_per_s = limit_per_s.max(0.2);
        let members = &daemon.members;
        match self.scenario.design {
            Design::Turns | Design::TurnsWithAsking => {
                daemon.limits.take_place(now, server, Sharing::Turns, members)
            }
            Design::Coordinator => daemon.limits.take_place(
                now,
                server,
                Sharing::Exclusive,
                members,
            ),
            Design::EqualParts => Bucket::take(
                &mut daemon.bucket,
                self.now,
                0,
                limit_per_s / count,
            ),
            Design::OneHome => {
                let epoch = epoch_of(now);
                let rate_per_s = 0.8 * limit_per_s;
                Bucket::take(&mut daemon.bucket, self.now, epoch, rate_per_s)
            }
        }
    }
}

/// The tokens of a rejected design.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    tokens: f64,
    refilled_at: Duration,
    epoch: u64,
}

impl Bucket {
    /// Takes a token from a bucket that has one when a turn begins.
    fn take(
        bucket: &mut Option<Bucket>,
        now: Duration,
        epoch: u64,
        rate_per_s: f64,
    ) -> bool {
        let full = Bucket { tokens: 1.0, refilled_at: now, epoch };
        let bucket = bucket.get_or_insert(full);
        if bucket.epoch != epoch {
            *bucket = full;
        }
        let elapsed = now.saturating_sub(bucket.refilled_at).as_secs_f64();
        let capacity = (0.25 * rate_per_s).max(1.0);
        bucket.tokens = (bucket.tokens + rate_per_s * elapsed).min(capacity);
        bucket.refilled_at = now;
        let has_token = bucket.tokens >= 1.0;
        if has_token {
            bucket.tokens -= 1.0;
        }
        has_token
    }
}
