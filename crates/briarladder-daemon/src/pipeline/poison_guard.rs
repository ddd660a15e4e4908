//! Keeps requests that crash backend servers from crashing more of them.
//!
//! The decisions are in `briarladder_core::poison`. A request is cleared
//! once before its first stage and again after each crash, so that a stage
//! that it survives does not clear the one that it crashes.

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

/// How often to look whether another copy of a suspect has ended.
const WAIT_RECHECK: Duration = Duration::from_millis(20);

/// The longest time to find out whether a server crashed. A server that runs
/// answers in milliseconds, and the request waits for it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// How often to ask a server that does not answer properly.
const CONFIRM_RECHECK: Duration = Duration::from_millis(10);

/// The permission of one request to run.
pub(super) struct PoisonGuard<'a> {
    daemon: &'a Arc<Daemon>,
    request: &'a Request,
    sharing: Mutex<Sharing>,
}

impl<'a> PoisonGuard<'a> {
    /// Waits until the request may run.
    pub(super) async fn acquire(
        daemon: &'a Arc<Daemon>,
        request: &'a Request,
    ) -> Result<PoisonGuard<'a>, Refusal> {
        let sharing = decide(daemon, request).await?;
        Ok(PoisonGuard { daemon, request, sharing: Mutex::new(sharing) })
    }

    /// Returns whether other requests may run beside this one.
    pub(super) fn sharing(&self) -> Sharing {
        *self.sharing.lock()
    }

    /// Takes the failure of an attempt. If the server crashed, the request
    /// is suspect, and needs permission for another attempt.
    pub(super) async fn record_failure(
        &self,
        server: &ResolvedServer,
        before: Option<Incarnation>,
        failure: AttemptFailure,
    ) -> Result<(), Refusal> {
        let broke = matches!(failure, AttemptFailure::ConnectionLost);
        if !broke || !self.crashed(server, before).await {
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
        *self.sharing.lock() = decide(self.daemon, self.request).await?;
        Ok(())
    }

    /// Returns whether a server whose connection broke has crashed: it
    /// refuses connections or has another incarnation.
    async fn crashed(
        &self,
        server: &ResolvedServer,
        before: Option<Incarnation>,
    ) -> bool {
        let give_up_at = self.daemon.clock.now() + CONFIRM_TIMEOUT;
        while self.daemon.clock.now() < give_up_at {
            let load = self.daemon.backend.load(server.address);
            match tokio::time::timeout(CONFIRM_TIMEOUT, load).await {
                Ok(Ok(report)) => {
                    return before.is_some_and(|i| i != report.incarnation);
                }
                Ok(Err(AttemptFailure::ConnectFailed)) => return true,
                // A server that is just crashing may still accept a
                // connection, and cut it.
                Ok(Err(_)) => tokio::time::sleep(CONFIRM_RECHECK).await,
                Err(_) => return false,
            }
        }
        false
    }

    /// Takes the complete answer.
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
        // Without this another copy would wait for one that is gone.
        self.daemon
            .suspects
            .lock()
            .record_inconclusive(self.request.content_hash);
    }
}

async fn decide(
    daemon: &Daemon,
    request: &Request,
) -> Result<Sharing, Refusal> {
    loop {
        let now = daemon.clock.now();
        let verdict =
            daemon.suspects.lock().start_attempt(now, request.content_hash);
        let refused = |detail: &'static str, retry_after| {
            Refusal::new(RefusalKind::Poison, detail)
                .with_outcome(request.outcome_without_answer())
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
                    "another copy of this request is being tried alone after \
                     a crash; send it later",
                    Duration::from_secs(1),
                ));
            }
            Verdict::Wait => tokio::time::sleep(WAIT_RECHECK).await,
        }
    }
}
