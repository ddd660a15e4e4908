//! Tickets for non-idempotent calls: issue, query and close them.

use std::sync::Arc;

use briarladder_core::{
    names::WorkspaceName,
    ticket::{Claims, TicketError},
    timeline::{EventKind, EventSubject},
};
use briarladder_wire::callers::{Outcome, TicketIssued, TicketStatus};
use salvo::{Request, Response, handler, http::StatusCode};

use super::{extract, respond};
use crate::{
    blackboard::Phase,
    daemon::Daemon,
    refusal::{Refusal, RefusalKind},
};

/// Issues a ticket to a workspace.
///
/// # Errors
///
/// Returns a refusal when there is no configuration, the workspace is not in
/// it, the ledger is full, or the daemon is shutting down.
pub(super) fn issue(
    daemon: &Daemon,
    workspace: &WorkspaceName,
) -> Result<TicketIssued, Refusal> {
    if daemon.blackboard.phase() == Phase::Draining {
        return Err(Refusal::new(
            RefusalKind::NotReady,
            "the daemon is shutting down; retry to reach another one",
        )
        .with_retry_after(super::requests::SHUTDOWN_RETRY_AFTER));
    }
    let snapshot = daemon.snapshot()?;
    if !snapshot.workspaces.contains_key(workspace) {
        return Err(Refusal::new(
            RefusalKind::NotFound,
            format!("workspace {workspace} is not in the configuration"),
        ));
    }
    let id = daemon.calls.issue(daemon.clock.now()).map_err(|full| {
        Refusal::new(RefusalKind::NotReady, full.to_string())
            .with_retry_after(full.retry_after)
    })?;
    let claims = Claims {
        id,
        issuer: daemon.settings.vm.clone(),
        peer_address: daemon.peer_address,
        workspace: workspace.clone(),
        epoch: snapshot.epoch,
    };
    let configuration = daemon.blackboard.configuration();
    let ticket = configuration.keys.sign(&claims).map_err(|error| {
        Refusal::new(RefusalKind::NotReady, error.to_string())
    })?;
    let expires_in_ms = snapshot.fleet.ticket_lifetime_ms;
    daemon.events.record(
        EventSubject::default().with_epoch(snapshot.epoch),
        EventKind::TicketIssued { lifetime_ms: expires_in_ms },
    );
    Ok(TicketIssued { ticket, expires_in_ms })
}

/// Verifies a ticket and that it belongs to the workspace.
///
/// # Errors
///
/// Returns a refusal whose outcome is unknown, because the ticket may have
/// been used before. Only a malformed ticket proves that nothing ran.
pub(super) fn authenticate(
    daemon: &Daemon,
    ticket: &str,
    workspace: &WorkspaceName,
) -> Result<Claims, Refusal> {
    // Without a configuration there are no keys to verify the ticket with.
    daemon
        .snapshot()
        .map_err(|refusal| refusal.with_outcome(Outcome::Unknown))?;
    let configuration = daemon.blackboard.configuration();
    let claims = configuration.keys.verify(ticket).map_err(|error| {
        let outcome = match error {
            // Malformed text was never a ticket, so no call ran on it.
            TicketError::Malformed => Outcome::NotRun,
            TicketError::NotAuthentic | TicketError::NoKey => Outcome::Unknown,
        };
        Refusal::new(RefusalKind::TicketRejected, error.to_string())
            .with_outcome(outcome)
    })?;
    if claims.workspace != *workspace {
        return Err(Refusal::new(
            RefusalKind::TicketRejected,
            "the ticket belongs to another workspace; use the workspace \
             that it was issued to",
        ));
    }
    daemon.raise_floor(claims.epoch);
    Ok(claims)
}

/// `POST /v1/tickets`
pub(super) struct Issue(pub(super) Arc<Daemon>);

#[handler]
impl Issue {
    fn handle(&self, request: &mut Request, response: &mut Response) {
        let issued = extract::workspace(request)
            .and_then(|workspace| issue(&self.0, &workspace));
        match issued {
            Ok(issued) => respond::json(
                response,
                StatusCode::CREATED,
                "application/json",
                &issued,
            ),
            Err(refusal) => respond::refusal(response, &refusal, None),
        }
    }
}

/// `GET /v1/tickets/{ticket}`
pub(super) struct Status(pub(super) Arc<Daemon>);

#[handler]
impl Status {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match claims(&self.0, request) {
            Ok(claims) => {
                let status = self.0.call_status(&claims).await;
                render_status(response, &status);
            }
            Err(refusal) => respond::refusal(response, &refusal, None),
        }
    }
}

/// `DELETE /v1/tickets/{ticket}`
pub(super) struct Close(pub(super) Arc<Daemon>);

#[handler]
impl Close {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        match claims(&self.0, request) {
            Ok(claims) => {
                let status = self.0.close_call(&claims).await;
                render_status(response, &status);
            }
            Err(refusal) => respond::refusal(response, &refusal, None),
        }
    }
}

fn claims(daemon: &Daemon, request: &Request) -> Result<Claims, Refusal> {
    let workspace = extract::workspace(request)?;
    let ticket = request.param::<String>("ticket").unwrap_or_default();
    authenticate(daemon, &ticket, &workspace)
}

fn render_status(response: &mut Response, status: &TicketStatus) {
    respond::json(response, StatusCode::OK, "application/json", status);
}
