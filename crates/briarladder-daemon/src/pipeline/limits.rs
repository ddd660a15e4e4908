//! Fleet-wide limits of open requests.
//!
//! Implemented in `briarladder_core::limits`. Each limit has home daemons,
//! which lease its units to the others. This daemon opens requests under the
//! units that it has leased, and is itself a home of some limits.

use std::{sync::Arc, time::Duration};

use briarladder_core::{
    clock::SharedClock,
    limits::{
        Handover, LeaseHolder, LeaseHome, LeaseRequest, LeaseResponse,
        LimitKey, LimitReached, MemberNames, OpenOutcome,
    },
    names::VmName,
};
use parking_lot::Mutex;

use super::Request;
use crate::{
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// The timeout for a lease request. The latency between regions is 20 ms, so
/// a home that takes longer is overloaded or dead, and another one is tried.
const LEASE_TIMEOUT: Duration = Duration::from_millis(150);

/// The maximum number of lease requests for one open request. Each limit has
/// three homes, and a membership change may add others.
const MAX_LEASE_ATTEMPTS: usize = 8;

/// The leases that this daemon holds, and those that it grants as a home.
#[derive(Debug)]
pub struct Limits {
    clock: SharedClock,
    holder: Mutex<LeaseHolder>,
    home: Mutex<LeaseHome>,
    members: Mutex<MemberNames>,
}

impl Limits {
    /// Creates the limits of a starting daemon.
    #[must_use]
    pub fn new(clock: SharedClock, vm: &VmName) -> Limits {
        let now = clock.now();
        let nobody: MemberNames = Arc::from([]);
        Limits {
            clock,
            holder: Mutex::new(LeaseHolder::new(
                vm.clone(),
                Arc::clone(&nobody),
            )),
            // A new home first waits for the leases of its predecessors.
            home: Mutex::new(LeaseHome::new(
                now,
                vm.clone(),
                Arc::clone(&nobody),
            )),
            members: Mutex::new(nobody),
        }
    }

    /// Applies a list of live daemons, if it has changed, and returns the
    /// leases to hand over to new homes.
    #[must_use]
    pub fn set_members(&self, live: MemberNames) -> Vec<Handover> {
        {
            let mut members = self.members.lock();
            if *members == live {
                return Vec::new();
            }
            *members = Arc::clone(&live);
        }
        let now = self.clock.now();
        self.holder.lock().set_members(now, Arc::clone(&live));
        self.home.lock().set_members(now, live)
    }

    /// Accepts the leases of a home that this daemon replaces.
    pub fn accept_handover(&self, handover: &Handover) {
        self.home.lock().accept_handover(self.clock.now(), handover);
    }

    /// Responds to the lease request of a holder, as a home.
    #[must_use]
    pub fn lease(&self, request: &LeaseRequest) -> LeaseResponse {
        self.home.lock().lease(self.clock.now(), request)
    }

    /// Returns the requests that renew this daemon's leases.
    #[must_use]
    pub fn renewals(&self) -> Vec<LeaseRequest> {
        self.holder.lock().renewals(self.clock.now())
    }

    fn open(&self, key: &LimitKey, limit_requests: u32) -> OpenOutcome {
        self.holder.lock().open(self.clock.now(), key, limit_requests)
    }
}

/// A guard for an open request, which counts against its limits until the
/// guard is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest<'a> {
    daemon: &'a Arc<Daemon>,
    keys: Vec<LimitKey>,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        let now = self.daemon.clock.now();
        let mut holder = self.daemon.limits.holder.lock();
        for key in &self.keys {
            let Some(lease) = holder.close(now, key) else { continue };
            let daemon = Arc::clone(self.daemon);
            // Without a runtime the process is exiting, and its leases will
            // expire.
            if let Ok(runtime) = tokio::runtime::Handle::try_current() {
                runtime.spawn(
                    async move { request_lease(&daemon, &lease).await },
                );
            }
        }
    }
}

/// Opens a request under the limits of its workspace and its caller.
///
/// # Errors
///
/// Returns a refusal when a limit is reached.
pub(super) async fn open<'a>(
    daemon: &'a Arc<Daemon>,
    request: &Request,
) -> Result<OpenRequest<'a>, Refusal> {
    let workspace = &request.workspace;
    let name = &workspace.name;
    let mut open_request = OpenRequest { daemon, keys: Vec::new() };
    let limits = [
        (LimitKey::of_workspace(name.clone()), workspace.max_open_requests),
        (
            LimitKey::of_caller(name.clone(), request.caller.clone()),
            workspace.caller_max_open_requests,
        ),
    ];
    for (key, limit_requests) in limits {
        if let Err(reached) = open_one(daemon, &key, limit_requests).await {
            let detail = format!("workspace {name}: {reached}");
            return Err(Refusal::new(RefusalKind::LimitReached, detail)
                .with_retry_after(reached.retry_after));
        }
        open_request.keys.push(key);
    }
    Ok(open_request)
}

/// Opens a request under one limit. Requests a lease from its homes while
/// this daemon has no free unit.
async fn open_one(
    daemon: &Daemon,
    key: &LimitKey,
    limit_requests: u32,
) -> Result<(), LimitReached> {
    for _ in 0..MAX_LEASE_ATTEMPTS {
        match daemon.limits.open(key, limit_requests) {
            OpenOutcome::Opened => return Ok(()),
            OpenOutcome::Refused(reached) => return Err(reached),
            OpenOutcome::RequestLease(request) => {
                request_lease(daemon, &request).await;
            }
        }
    }
    Err(LimitReached { limit_requests, retry_after: LEASE_TIMEOUT })
}

/// Sends a lease request to its home, and applies the response.
pub async fn request_lease(daemon: &Daemon, request: &LeaseRequest) {
    let response = send(daemon, request).await;
    let now = daemon.clock.now();
    daemon.limits.holder.lock().apply_response(now, request, response);
}

/// Sends a lease request to its home, which may be this daemon. An error or
/// timeout counts as unreachable.
async fn send(daemon: &Daemon, request: &LeaseRequest) -> LeaseResponse {
    if request.home == daemon.settings.vm {
        return daemon.limits.lease(request);
    }
    let address =
        daemon.members.with(|m| m.get(&request.home).map(|m| m.address));
    let Some(address) = address else { return LeaseResponse::Unreachable };
    let call = daemon.peers.limits_lease(address, request.clone());
    match tokio::time::timeout(LEASE_TIMEOUT, call).await {
        Ok(Ok(response)) => response,
        Ok(Err(error)) => {
            log::debug!(
                "limits: requesting a lease from {} failed: {error}",
                request.home
            );
            LeaseResponse::Unreachable
        }
        Err(_) => LeaseResponse::Unreachable,
    }
}
