//! What happens in a simulation.

use std::{cmp::Ordering, time::Duration};

use briarladder_core::fleet::server_limits::LimitNotice;

use super::asking::Ask;

#[derive(Clone, Debug, PartialEq)]
pub(super) enum Event {
    /// A daemon of a run tries to send a request.
    Attempt {
        daemon: usize,
        run: u32,
    },
    /// A request arrives at any daemon.
    Request,
    Arrival {
        daemon: usize,
        sent_at: Duration,
        is_aware: bool,
    },
    Response {
        daemon: usize,
        sent_at: Duration,
        is_limited: bool,
    },
    Gossip {
        daemon: usize,
    },
    Notices {
        from: usize,
        to: usize,
        notices: Vec<LimitNotice>,
        is_reply: bool,
    },
    /// A request for a place arrives at a holder of the turn.
    PlaceRequest(Ask),
    PlaceResponse {
        ask: Ask,
        is_granted: bool,
    },
    ClockJump,
    ClockCorrection {
        daemon: usize,
    },
    Restart,
    Views,
    Coordinator,
}

pub(super) struct Timed {
    pub(super) at: Duration,
    pub(super) number: u64,
    pub(super) event: Event,
}

impl Timed {
    fn key(&self) -> (Duration, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Timed) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Timed) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Timed) -> Ordering {
        self.key().cmp(&other.key())
    }
}
