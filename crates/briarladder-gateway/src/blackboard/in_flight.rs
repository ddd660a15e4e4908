//! Counts the requests of this daemon at each server.

use std::{rc::Rc, sync::Arc, time::Duration};

use super::Blackboard;

impl Blackboard {
    /// Returns the number of requests of this daemon in flight at a server.
    #[must_use]
    pub fn in_flight(&self, server: &str) -> usize {
        self.in_flight.borrow().get(server).copied().unwrap_or(0)
    }

    /// Counts a request as in flight at a server until the guard is dropped.
    #[must_use]
    pub fn track_in_flight(
        self: &Rc<Self>,
        server: &Arc<str>,
    ) -> InFlightGuard {
        *self
            .in_flight
            .borrow_mut()
            .get_or_insert_with(Arc::clone(server), || 0) += 1;
        InFlightGuard {
            blackboard: Rc::clone(self),
            server: Arc::clone(server),
        }
    }
}

/// Counts a prompt as being in prefill at a server until the guard is dropped.
#[derive(Debug)]
pub struct PrefillGuard {
    blackboard: Rc<Blackboard>,
    server: Arc<str>,
    prefill_time: Duration,
}

impl PrefillGuard {
    /// Records a prompt whose prefill takes `prefill_time`.
    #[must_use]
    pub fn new(
        blackboard: &Rc<Blackboard>,
        server: &Arc<str>,
        prefill_time: Duration,
    ) -> PrefillGuard {
        blackboard
            .placement
            .borrow_mut()
            .record_prefill_start(server, prefill_time);
        PrefillGuard {
            blackboard: Rc::clone(blackboard),
            server: Arc::clone(server),
            prefill_time,
        }
    }
}

impl Drop for PrefillGuard {
    fn drop(&mut self) {
        self.blackboard
            .placement
            .borrow_mut()
            .record_prefill_end(&self.server, self.prefill_time);
    }
}

/// Counts a request as in flight at a server until it is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    blackboard: Rc<Blackboard>,
    server: Arc<str>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut in_flight = self.blackboard.in_flight.borrow_mut();
        if let Some(count) = in_flight.get_mut(&*self.server) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&*self.server);
            }
        }
    }
}
