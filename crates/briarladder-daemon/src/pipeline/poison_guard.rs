//! Isolates and refuses poison requests, which crash backend servers.
//!
//! `briarladder_core::poison` decides whether a request may run: once before
//! its first stage, and again after each crash. Only a complete response
//! clears a request of suspicion, because it may pass one stage and crash the
//! servers of another.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    ids::Incarnation,
    objects::snapshot::ResolvedServer,
    poison::{Notice, Verdict},
    retry::AttemptFailure,
    routing::Sharing,
};
use parking_lot::Mutex;

use super::Request;
use crate::{
    controllers::poison_notices,
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// How often to check whether another copy of a suspect request has ended.
const SUSPECT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout for finding out whether a server crashed, during which the
/// request waits. A running server responds in milliseconds.
const CRASH_CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// How often to poll a server whose response is not valid.
const CRASH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A guard for a request that is permitted to run. Dropping it lets other
/// copies of the request run.
pub(super) struct PoisonGuard<'a> {
    daemon: &'a Arc<Daemon>,
    request: &'a Request,
    sharing: Mutex<Sharing>,
}

impl<'a> PoisonGuard<'a> {
    /// Waits until the request may run.
    ///
    /// # Errors
    ///
    /// Returns a refusal when the request has crashed too many servers, or
    /// its deadline passes while another copy runs.
    pub(super) async fn acquire(
        daemon: &'a Arc<Daemon>,
        request: &'a Request,
    ) -> Result<PoisonGuard<'a>, Refusal> {
        let sharing = wait_for_permission(daemon, request).await?;
        Ok(PoisonGuard { daemon, request, sharing: Mutex::new(sharing) })
    }

    /// Returns whether other requests may run on the same server meanwhile.
    pub(super) fn sharing(&self) -> Sharing {
        *self.sharing.lock()
    }

    /// Records the failure of an attempt. If the server has crashed, the
    /// request becomes suspect and waits for permission to run again.
    pub(super) async fn record_failure(
        &self,
        server: &ResolvedServer,
        incarnation_before: Option<Incarnation>,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        let lost = matches!(failure, AttemptFailure::ConnectionLost);
        if !lost || !self.has_crashed(server, incarnation_before).await {
            return Ok(());
        }
        let now = self.daemon.clock.now();
        let content = self.request.content_hash;
        let notice = self.daemon.suspects.lock().record_crash(
            now,
            content,
            self.sharing(),
        );
        log::warn!(
            "poison: {} crashed while it ran request={} content={content}",
            server.name,
            self.request.id
        );
        poison_notices::broadcast(self.daemon, notice);
        *self.sharing.lock() =
            wait_for_permission(self.daemon, self.request).await?;
        Ok(())
    }

    /// Returns whether a server whose connection was lost has crashed: it
    /// refuses connections or has a new incarnation.
    async fn has_crashed(
        &self,
        server: &ResolvedServer,
        incarnation_before: Option<Incarnation>,
    ) -> bool {
        let give_up_at = self.daemon.clock.now() + CRASH_CHECK_TIMEOUT;
        while self.daemon.clock.now() < give_up_at {
            let load = self.daemon.backend.load(server.address);
            match tokio::time::timeout(CRASH_CHECK_TIMEOUT, load).await {
                Ok(Ok(report)) => {
                    return incarnation_before
                        .is_some_and(|i| i != report.incarnation);
                }
                Ok(Err(AttemptFailure::ConnectFailed)) => return true,
                // A server that is crashing may still accept a connection
                // and then close it.
                Ok(Err(_)) => tokio::time::sleep(CRASH_CHECK_INTERVAL).await,
                Err(_) => return false,
            }
        }
        false
    }

    /// Records a complete response, which clears the request of suspicion.
    pub(super) fn record_success(&self) {
        let now = self.daemon.clock.now();
        let content = self.request.content_hash;
        let notice: Option<Notice> =
            self.daemon.suspects.lock().record_success(now, content);
        if let Some(notice) = notice {
            poison_notices::broadcast(self.daemon, notice);
        }
    }
}

impl Drop for PoisonGuard<'_> {
    fn drop(&mut self) {
        // Otherwise other copies would wait for this one until their
        // deadlines.
        self.daemon
            .suspects
            .lock()
            .record_inconclusive(self.request.content_hash);
    }
}

/// Waits until the request may run, and returns whether it may share its
/// server with other requests.
async fn wait_for_permission(
    daemon: &Daemon,
    request: &Request,
) -> Result<Sharing, Refusal> {
    loop {
        let now = daemon.clock.now();
        let verdict =
            daemon.suspects.lock().start_attempt(now, request.content_hash);
        let refused = |detail: &'static str, retry_after| {
            Refusal::new(RefusalKind::Poison, detail)
                .with_outcome(request.outcome_without_response())
                .with_retry_after(retry_after)
        };
        match verdict {
            Verdict::Run => return Ok(Sharing::Shared),
            Verdict::RunExclusive => return Ok(Sharing::Exclusive),
            Verdict::Refuse { retry_after } => {
                return Err(refused(
                    "this request crashed the backend servers that ran it; \
                     change its content",
                    retry_after,
                ));
            }
            Verdict::Wait if request.time_left(now).is_zero() => {
                return Err(refused(
                    "another copy of this request is running in isolation \
                     after a crash; retry later",
                    Duration::from_secs(1),
                ));
            }
            Verdict::Wait => tokio::time::sleep(SUSPECT_CHECK_INTERVAL).await,
        }
    }
}
