//! Limits that backend servers name in their responses.
//!
//! The rules are in [`briarladder_core::fleet::server_limits`]. Every response
//! of a server is recorded here.

use std::time::Instant;

use briarladder_core::fleet::{
    server::ListedServer,
    server_limits::{LimitChange, LimitChangeKind, NamedLimit, Observation},
};

use crate::blackboard::Blackboard;

impl Blackboard {
    /// Records what a response to a request that was sent at `sent_at` says
    /// about the limit of its server. `is_own` tells whether the response
    /// certainly belongs to that request.
    pub fn record_limit(
        &self,
        server: &ListedServer,
        sent_at: Instant,
        named: NamedLimit,
        is_own: bool,
    ) {
        if named == NamedLimit::Unreadable {
            log::debug!("limits: server={} value=unreadable", server.name);
        }
        let observation = Observation { sent_at, named, is_own };
        let change = self.server_limits.borrow_mut().observe(
            self.now(),
            server,
            observation,
        );
        if let Some(change) = change {
            log_change(&change);
        }
    }
}

fn log_change(change: &LimitChange) {
    let LimitChange { server, born_ms, kind, source } = change;
    let shown = match kind {
        LimitChangeKind::Named { limit_per_s } => {
            format!("state=named limit_per_s={limit_per_s}")
        }
        LimitChangeKind::Changed { from_per_s, to_per_s } => {
            format!(
                "state=changed from_per_s={from_per_s} limit_per_s={to_per_s}"
            )
        }
        LimitChangeKind::Ended { limit_per_s } => {
            format!("state=ended from_per_s={limit_per_s}")
        }
    };
    log::info!(
        "limits: server={server} born_ms={born_ms} {shown} source={source:?}"
    );
}
