//! Daemons that ask a holder of the turn for a place.

use std::{sync::Arc, time::Duration};

use rand::{RngExt, seq::IndexedRandom};

use super::{
    Demand, Design, NAMED_AT, Simulation, events::Event, most_in_window, ms,
    to_f64,
};

/// The time between two requests for a place that were not granted, for each
/// daemon of the fleet.
const ASK_INTERVAL_PER_DAEMON: Duration = Duration::from_millis(10);

/// The shortest such time, in a small fleet.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// After this time, a daemon without a response refuses the request.
const PLACE_TIMEOUT: Duration = Duration::from_millis(150);

/// The longest time that a message takes in one direction.
const MAX_TRANSIT: Duration = Duration::from_millis(75);

/// The part of the messages that is lost.
const LOSS_PROBABILITY: f64 = 0.02;

/// The window in which requests for places are counted.
const ASK_WINDOW: Duration = Duration::from_secs(1);

/// A request for a place, on its way or already answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Ask {
    asker: usize,
    owner: usize,
    /// The process of the asker.
    run: u32,
    sent_at: Duration,
    /// Its index among all of the simulation.
    index: usize,
}

/// A request for a place that was sent, and what the asker knows of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentAsk {
    asker: usize,
    sent_at: Duration,
    is_granted: bool,
}

/// The requests for places in a simulation.
#[derive(Clone, Copy, Debug)]
pub struct AskCounts {
    /// The most that one daemon sent in a second.
    pub most_per_daemon: usize,
    /// The most that all daemons sent in a second.
    pub most: usize,
    /// The most that all daemons sent in a second without being granted.
    pub most_refused: usize,
    /// The mean number a second that were not granted.
    pub refused_per_s: f64,
}

impl Simulation {
    /// Asks a holder of the turn for a place, if the design and the last
    /// request allow it.
    pub(super) fn ask_for_place(&mut self, asker: usize) {
        if self.scenario.design != Design::TurnsWithAsking
            || self.now < self.daemons[asker].next_ask_at
        {
            return;
        }
        let Some(owner) = self.any_holder(asker) else { return };
        let daemon = &mut self.daemons[asker];
        let daemons = u32::try_from(daemon.members.len()).expect("few");
        let interval =
            (ASK_INTERVAL_PER_DAEMON * daemons).max(MIN_ASK_INTERVAL);
        daemon.next_ask_at = self.now + interval;
        let (run, sent_at) = (daemon.run, self.now);
        let index = self.asks.len();
        self.asks.push(SentAsk { asker, sent_at, is_granted: false });
        let ask = Ask { asker, owner, run, sent_at, index };
        self.send_message(asker, owner, Event::PlaceRequest(ask));
    }

    /// Returns when a daemon may ask again.
    pub(super) fn next_ask_in(&self, asker: usize) -> Duration {
        let wait = self.daemons[asker].next_ask_at.saturating_sub(self.now);
        // Another daemon may hold the turn only later.
        wait.max(ms(10))
    }

    /// Draws one of the other holders of the turn, by a daemon's own view.
    fn any_holder(&mut self, asker: usize) -> Option<usize> {
        let now = self.time_of(asker);
        let daemon = &mut self.daemons[asker];
        let holders: Vec<&Arc<str>> = daemon
            .limits
            .holders(now, &self.server, &daemon.members)
            .into_iter()
            .filter(|&name| *name != daemon.name)
            .collect();
        let name = Arc::clone(holders.choose(&mut self.random)?);
        self.daemons.iter().position(|daemon| daemon.name == name)
    }

    fn send_message(&mut self, from: usize, to: usize, event: Event) {
        let is_lost = self.random.random_bool(LOSS_PROBABILITY);
        if is_lost || self.is_cut(from, to) {
            return;
        }
        let transit = self.up_to(MAX_TRANSIT);
        self.schedule(transit, event);
    }

    /// Gives a place to the asker if there is one left.
    pub(super) fn answer_ask(&mut self, ask: Ask) {
        let owner = ask.owner;
        if self.now < self.daemons[owner].down_until {
            return;
        }
        let now = self.instant();
        let limits = &self.daemons[owner].limits;
        let is_limited = limits.limit_per_s(now, &self.server).is_some();
        let is_granted = is_limited && self.take(owner);
        let event = Event::PlaceResponse { ask, is_granted };
        self.send_message(owner, ask.asker, event);
    }

    /// Uses a place that was given, also if the turn has ended meanwhile.
    pub(super) fn receive_place(&mut self, ask: Ask, is_granted: bool) {
        let daemon = &mut self.daemons[ask.asker];
        let is_in_time = self.now <= ask.sent_at + PLACE_TIMEOUT;
        if !is_granted || !is_in_time || daemon.run != ask.run {
            return;
        }
        daemon.next_ask_at = self.now;
        self.asks[ask.index].is_granted = true;
        self.send(ask.asker, true);
        if self.scenario.demand == Demand::Saturating {
            self.send_if_allowed(ask.asker);
        }
    }

    pub(super) fn ask_counts(&self) -> AskCounts {
        let times = |asks: &[&SentAsk]| -> Vec<Duration> {
            asks.iter().map(|ask| ask.sent_at).collect()
        };
        let all: Vec<&SentAsk> = self.asks.iter().collect();
        let refused: Vec<&SentAsk> =
            self.asks.iter().filter(|ask| !ask.is_granted).collect();
        let mut by_daemon = all.clone();
        by_daemon.sort_by_key(|ask| (ask.asker, ask.sent_at));
        let most_per_daemon = by_daemon
            .chunk_by(|a, b| a.asker == b.asker)
            .map(|asks| most_in_window(&times(asks), ASK_WINDOW))
            .max();
        let asking_s =
            self.scenario.duration.saturating_sub(NAMED_AT).as_secs_f64();
        AskCounts {
            most_per_daemon: most_per_daemon.unwrap_or(0),
            most: most_in_window(&times(&all), ASK_WINDOW),
            most_refused: most_in_window(&times(&refused), ASK_WINDOW),
            refused_per_s: to_f64(refused.len()) / asking_s,
        }
    }
}
