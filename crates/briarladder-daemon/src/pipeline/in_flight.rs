//! Counts the attempts in flight at each backend server, for the router.

use std::time::{Duration, Instant};

use briarladder_core::{
    names::ServerName,
    retry::AttemptFailure,
    routing::{AttemptResult, Pick},
};

use crate::daemon::Daemon;

/// A guard for an attempt that the router counts as in flight. Dropping it
/// before [`finish`](InFlightAttempt::finish) counts as a cancellation.
pub(super) struct InFlightAttempt<'a> {
    daemon: &'a Daemon,
    server: ServerName,
    sent_at: Instant,
    finished: bool,
}

impl<'a> InFlightAttempt<'a> {
    pub(super) fn new(daemon: &'a Daemon, pick: &Pick) -> InFlightAttempt<'a> {
        InFlightAttempt {
            daemon,
            server: pick.server.name.clone(),
            sent_at: daemon.clock.now(),
            finished: false,
        }
    }

    pub(super) fn finish<T>(
        mut self,
        result: &Result<T, AttemptFailure>,
    ) -> Duration {
        let result = match result {
            Ok(_) => AttemptResult::Completed,
            Err(failure) => AttemptResult::Failed(*failure),
        };
        self.end(result)
    }

    fn end(&mut self, result: AttemptResult) -> Duration {
        self.finished = true;
        let now = self.daemon.clock.now();
        let elapsed = now.saturating_duration_since(self.sent_at);
        let mut router = self.daemon.router.lock();
        router.record_finished(now, &self.server, result, elapsed);
        elapsed
    }
}

impl Drop for InFlightAttempt<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.end(AttemptResult::Cancelled);
        }
    }
}
