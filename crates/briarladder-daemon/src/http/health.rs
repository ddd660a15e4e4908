//! Health checks for the platform's load balancer.

use std::sync::Arc;

use salvo::{Response, handler, http::StatusCode, writing::Text};

use crate::{blackboard::Phase, daemon::Daemon};

/// `GET /healthz`: responds 200 while the process runs.
#[handler]
pub(super) fn alive(response: &mut Response) {
    response.render(Text::Plain("alive\n"));
}

/// `GET /readyz`: responds 200 while the daemon accepts new requests, and
/// otherwise 503 with the reason.
pub(super) struct Ready(pub(super) Arc<Daemon>);

#[handler]
impl Ready {
    fn handle(&self, response: &mut Response) {
        let reason = match self.0.blackboard.phase() {
            Phase::Announced | Phase::Draining => {
                Some("the daemon is shutting down".to_owned())
            }
            Phase::Running => {
                self.0.snapshot().err().map(|r| r.detail.into_owned())
            }
        };
        match reason {
            None => response.render(Text::Plain("ready\n")),
            Some(reason) => {
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                response.render(Text::Plain(format!("not ready: {reason}\n")));
            }
        }
    }
}
