//! Keeps the request rates that backend servers name in their responses.
//!
//! A server that is short of capacity names how many requests a second it
//! accepts from all daemons together. The limit may be 0 or a fraction, and it
//! lasts for as long as the responses of that process name it. Daemons learn
//! it from responses and from each other ([`LimitNotice`]), and share it
//! without exchanging messages per request.
//!
//! # Sharing by turns
//!
//! Time is divided into turns of four seconds by the wall clock. In each turn,
//! only the first `K` daemons in rendezvous order for the server and the turn
//! send to it. With a limit of `L` a second, `K` is `floor(L) + 2`, or 1 if
//! `L` is less than 0.5, and at most the number of daemons. Each holder of a
//! turn has a token bucket with the rate `r = 0.7 * L / K` and the capacity
//! `c = max(1, 0.25 * r)`, which has one token when the turn begins.
//!
//! A window of four seconds covers at most two turns, and therefore at most
//! `2 * K` holders. Their buckets hold at most `2 * K * c` tokens in advance
//! and gain `0.7 * 4 * L` together, since the holders of one turn stop when
//! those of the next begin. If `c` is 1, the sum is at most
//! `2 * (L + 2) + 2.8 * L = 4.8 * L + 4`; otherwise `K * c` is `0.175 * L`,
//! and the sum is `3.15 * L`. If `K` is 1, it is `2 + 2.8 * L`. Each is below
//! `6 * L + 5`, which is one and a half times the limit over four seconds and
//! five more requests. The rest covers clocks and member lists that differ.
//!
//! Jumps of the wall clock count only once they have lasted for a while, since
//! a daemon with a wrong clock would send in the turns of others.
//!
//! A limit below 0.2 counts as 0.2, since the end of a limit is only learned
//! from a response. With a limit of 0 the sum is 2.56 of 5 requests.
//!
//! A daemon that has no place may ask a holder of the turn for one
//! ([`ServerLimits::holders`]). The place is taken from the bucket of the
//! holder, so the bound stays the same but for the transit time.
//!
//! # Servers with a single caller
//!
//! If only the coordinator of a cell calls a server, it uses `0.7 * L` alone.
//! Two coordinators, as may exist for a moment, stay below
//! `2 * c + 5.6 * L`, which is below the same bound.
//!
//! # Example
//!
//! ```
//! use std::{
//!     sync::Arc,
//!     time::{Duration, Instant},
//! };
//!
//! use briarladder_core::fleet::{
//!     server::ListedServer,
//!     server_limits::{
//!         LimitMembers, LimitTime, NamedLimit, Observation, ServerLimits,
//!         Sharing,
//!     },
//! };
//!
//! let start = Instant::now();
//! let server = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! let name: Arc<str> = Arc::from("vm-1");
//! let members = LimitMembers::new(Arc::clone(&name), vec![name], 1);
//!
//! let mut limits = ServerLimits::new(start);
//! let answer = Observation {
//!     sent_at: start,
//!     named: NamedLimit::PerS(1.0),
//!     is_own: true,
//! };
//! limits.observe(start, &server, answer);
//!
//! let now = LimitTime {
//!     now: start + Duration::from_secs(5),
//!     unix_time: Duration::from_secs(1_700_000_005),
//! };
//! assert!(limits.take_place(now, &server, Sharing::Turns, &members));
//! assert!(!limits.take_place(now, &server, Sharing::Turns, &members));
//! let at = limits.next_place_at(now, &server, Sharing::Turns, &members);
//! assert!(at.is_some_and(|at| at > now.now));
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod knowledge;
mod notices;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod simulation_tests;
#[cfg(test)]
mod tests;
mod turn_clock;
mod turns;
mod urgent_demand;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use crate::rendezvous;

use super::server::ListedServer;

use self::{
    knowledge::{Knowledge, ServerKey},
    turn_clock::TurnClock,
    turns::Turns,
};

pub use self::{
    knowledge::{
        LimitChange, LimitChangeKind, LimitSource, LimitedServer, NamedLimit,
        Observation,
    },
    notices::{LimitNotice, MAX_LIMIT_NOTICES},
    turns::TURN,
    urgent_demand::UrgentDemand,
};

/// A daemon uses no limited server for this long after its start, because its
/// list of members may be incomplete.
const START_DELAY: Duration = TURN;

/// The time of a decision by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct LimitTime {
    /// The time by the monotonic clock.
    pub now: Instant,
    /// The time since the Unix epoch, by which daemons take turns.
    pub unix_time: Duration,
}

impl LimitTime {
    fn after(self, wait: Duration) -> LimitTime {
        LimitTime {
            now: self.now + wait,
            unix_time: self.unix_time.saturating_add(wait),
        }
    }
}

/// Which daemons send to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// All daemons do, and take turns while there is a limit.
    Turns,
    /// Only the coordinator of its cell does.
    Exclusive,
}

/// The daemons that share the limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitMembers {
    local: Arc<str>,
    names: Arc<[Arc<str>]>,
    version: u64,
}

impl LimitMembers {
    /// Creates the list of members, each of which is in `names` once.
    /// `version` differs whenever `names` does. A daemon that isn't among the
    /// members, because it shuts down, gets no turn.
    #[must_use]
    pub fn new(
        local: Arc<str>,
        names: impl Into<Arc<[Arc<str>]>>,
        version: u64,
    ) -> LimitMembers {
        LimitMembers { local, names: names.into(), version }
    }

    /// Returns the version of the list.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the number of members.
    #[must_use]
    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub(crate) fn local(&self) -> &str {
        &self.local
    }

    /// Returns the members in rendezvous order for a key.
    pub(crate) fn order(&self, key: &str) -> Vec<&Arc<str>> {
        rendezvous::order(key, &*self.names)
    }

    /// Returns whether there are no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }
}

/// The limits that servers have named, and this daemon's part of them.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    started_at: Instant,
    knowledge: Knowledge,
    clock: TurnClock,
}

impl ServerLimits {
    /// Creates the limits of a daemon that knows none. `started_at` is the
    /// start of its process.
    #[must_use]
    pub fn new(started_at: Instant) -> ServerLimits {
        ServerLimits {
            started_at,
            knowledge: Knowledge::default(),
            clock: TurnClock::default(),
        }
    }

    /// Records what a response says about the limit of its server.
    pub fn observe(
        &mut self,
        now: Instant,
        server: &ListedServer,
        observation: Observation,
    ) -> Option<LimitChange> {
        self.knowledge.observe(now, server, observation)
    }

    /// Returns the notices for the next message to another daemon.
    #[must_use]
    pub fn notices(&mut self, now: Instant) -> Vec<LimitNotice> {
        self.knowledge.notices(now)
    }

    /// Merges notices from another daemon and returns the changed limits.
    pub fn merge(
        &mut self,
        now: Instant,
        notices: &[LimitNotice],
    ) -> Vec<LimitChange> {
        self.knowledge.merge(now, notices)
    }

    /// Returns the limit of a server in requests a second, if it has one.
    #[must_use]
    pub fn limit_per_s(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<f64> {
        self.knowledge.limit_per_s(now, server)
    }

    /// Returns the requests a second that this daemon may send to a server of
    /// which it is the only caller, if the server has a limit.
    #[must_use]
    pub fn own_rate_per_s(
        &self,
        now: Instant,
        server: &ListedServer,
    ) -> Option<f64> {
        self.limit_per_s(now, server).map(turns::exclusive_rate_per_s)
    }

    /// Iterates over the servers that have a limit.
    pub fn limited(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = LimitedServer<'_>> {
        self.knowledge.limited(now)
    }

    /// Returns when this daemon may send the next request to a server: `None`
    /// if the server has no limit, a time up to `now` if it may send now, and
    /// otherwise the time at which it is likely to have a place.
    pub fn next_place_at(
        &mut self,
        now: LimitTime,
        server: &ListedServer,
        sharing: Sharing,
        members: &LimitMembers,
    ) -> Option<Instant> {
        let wait = self.start_wait(now.now);
        let limit_per_s = self.limit_per_s(now.now, server)?;
        let now = self.clock.corrected(now);
        let turns = self.turns_mut(server)?;
        let at = now.after(wait);
        Some(match sharing {
            Sharing::Exclusive => turns.next_exclusive(at, limit_per_s),
            Sharing::Turns => {
                turns.next_in_turns(at, &server.name, limit_per_s, members)
            }
        })
    }

    /// Takes a place for one request and returns whether there was one. There
    /// always is one at a server without a limit.
    #[must_use = "a request may only be sent if it got a place"]
    pub fn take_place(
        &mut self,
        now: LimitTime,
        server: &ListedServer,
        sharing: Sharing,
        members: &LimitMembers,
    ) -> bool {
        let has_started = self.start_wait(now.now).is_zero();
        let Some(limit_per_s) = self.limit_per_s(now.now, server) else {
            return true;
        };
        let now = self.clock.corrected(now);
        let Some(turns) = self.turns_mut(server) else { return true };
        let taken = has_started
            && match sharing {
                Sharing::Exclusive => turns.take_exclusive(now, limit_per_s),
                Sharing::Turns => {
                    turns.take_in_turn(now, &server.name, limit_per_s, members)
                }
            };
        self.knowledge.count_request(server, taken);
        taken
    }

    /// Returns the daemons that hold the present turn at a server; none if the
    /// server has no limit.
    #[must_use]
    pub fn holders<'a>(
        &mut self,
        now: LimitTime,
        server: &ListedServer,
        members: &'a LimitMembers,
    ) -> Vec<&'a Arc<str>> {
        let Some(limit_per_s) = self.limit_per_s(now.now, server) else {
            return Vec::new();
        };
        let now = self.clock.corrected(now);
        turns::holders(now, &server.name, limit_per_s, members)
    }

    /// Counts a request that was turned away without asking for a place.
    pub fn record_turned_away(&mut self, server: &ListedServer) {
        self.knowledge.count_request(server, false);
    }

    fn start_wait(&self, now: Instant) -> Duration {
        (self.started_at + START_DELAY).saturating_duration_since(now)
    }

    fn turns_mut(&mut self, server: &ListedServer) -> Option<&mut Turns> {
        self.knowledge.turns_mut(&ServerKey::of(server))
    }
}
