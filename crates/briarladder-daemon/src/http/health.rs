//! What the platform's balancer asks.

use std::sync::Arc;

use salvo::{Response, handler, http::StatusCode, writing::Text};

use crate::{blackboard::Phase, daemon::Daemon};

/// Answers while the process runs.
#[handler]
pub(super) fn alive(response: &mut Response) {
    response.render(Text::Plain("alive\n"));
}

/// Answers 200 while new requests are welcome, and otherwise 503 with the
/// reason.
pub(super) struct Ready(pub(super) Arc<Daemon>);

#[handler]
impl Ready {
    fn handle(&self, response: &mut Response) {
        let reason = match self.0.blackboard.phase() {
            Phase::Announced | Phase::Draining => {
                Some("the daemon is stopping".to_owned())
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
