//! Counts the requests of this daemon that servers hold.

use std::{cell::RefCell, rc::Rc, sync::Arc, time::Instant};

use briarladder_core::{fleet::server::ListedServer, sorted::SortedMap};
use tokio::sync::Notify;

use crate::blackboard::Blackboard;

/// The requests in flight.
#[derive(Debug, Default)]
pub(crate) struct InFlightState {
    by_server: RefCell<SortedMap<Arc<str>, usize>>,
    /// Notified when a request ends.
    pub(crate) request_ended: Notify,
}

impl Blackboard {
    /// Returns the number of requests of this daemon in flight at a server.
    #[must_use]
    pub fn in_flight(&self, server: &str) -> usize {
        self.in_flight.by_server.borrow().get(server).copied().unwrap_or(0)
    }

    /// Counts a request as in flight at a server until the guard is dropped.
    #[must_use]
    pub fn track_in_flight(
        self: &Rc<Self>,
        server: &Arc<ListedServer>,
    ) -> InFlightGuard {
        *self
            .in_flight
            .by_server
            .borrow_mut()
            .get_or_insert_with(Arc::clone(&server.name), || 0) += 1;
        InFlightGuard {
            blackboard: Rc::clone(self),
            server: Arc::clone(server),
            since: self.now(),
        }
    }
}

/// Counts a request as in flight at a server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    blackboard: Rc<Blackboard>,
    server: Arc<ListedServer>,
    since: Instant,
}

impl InFlightGuard {
    /// Records how long the server has held the request, if it is brittle.
    fn record_hold(&self) {
        let now = self.blackboard.now();
        let elapsed = now.saturating_duration_since(self.since);
        self.blackboard.record_hold(&self.server.service, elapsed);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_hold();
        let state = &self.blackboard.in_flight;
        let mut by_server = state.by_server.borrow_mut();
        if let Some(count) = by_server.get_mut(&self.server.name) {
            *count -= 1;
            if *count == 0 {
                by_server.remove(&self.server.name);
            }
        }
        state.request_ended.notify_waiters();
    }
}
