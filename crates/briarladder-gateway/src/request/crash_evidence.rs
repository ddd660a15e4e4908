//! Records which requests a backend server was processing when it crashed.

use std::time::Duration;

use briarladder_core::fleet::{
    answer_progress::AnswerPhase,
    crash_tracker::{ContentHash, ServerIncarnation},
    server::ListedServer,
};
use derive_more::Display;

use crate::dialect::Prompt;

use super::outgoing::OutgoingRequest;

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

impl OutgoingRequest {
    /// Returns a fingerprint of the request that does not depend on its id.
    fn content_hash(&self) -> ContentHash {
        let target =
            self.head.uri.path_and_query().map_or("/", |p| p.as_str());
        let workspace = self.accepted.workspace.as_ref();
        ContentHash::of(target, workspace.map(|w| &*w.name), &self.body)
    }

    /// Returns for how long the request is still refused because servers
    /// crashed while they ran it.
    #[must_use]
    pub fn refused_for(&self) -> Option<Duration> {
        let blackboard = &self.gateway.blackboard;
        let crash_tracker = blackboard.crash_tracker.borrow();
        if crash_tracker.is_empty() {
            return None;
        }
        crash_tracker.refused_for(blackboard.now(), self.content_hash())
    }

    /// Records that a server exited, or closed its connection, while it
    /// processed the request. `answer` tells how far its answer had come.
    pub fn record_crash(&self, server: &ListedServer, answer: AnswerPhase) {
        let blackboard = &self.gateway.blackboard;
        let run = ServerIncarnation::of(&server.name, server.born_ms);
        let refused = blackboard.crash_tracker.borrow_mut().record_crash(
            blackboard.now(),
            self.content_hash(),
            run,
        );
        log::info!(
            "crashers: id={} server={} answer={answer} parts={}",
            self.accepted.caller.attempt,
            server.name,
            SharedParts(self.accepted.caller.prompt.as_ref())
        );
        if refused {
            log::warn!(
                "crashers: id={} server={} outcome=refused_from_now",
                self.accepted.caller.attempt,
                server.name
            );
        }
    }

    /// Records a complete response.
    pub fn record_success(&self) {
        let mut crash_tracker =
            self.gateway.blackboard.crash_tracker.borrow_mut();
        if !crash_tracker.is_empty() {
            crash_tracker.record_success(self.content_hash());
        }
    }
}

/// The parts of a prompt that other requests may share, for a log line.
#[derive(Clone, Copy, Debug, Display)]
#[display("{}", self.text())]
struct SharedParts<'a>(Option<&'a Prompt>);

impl SharedParts<'_> {
    fn text(self) -> String {
        let parts = self.0.map_or(&[][..], |prompt| prompt.shared_parts());
        let ids: Vec<&str> =
            parts.iter().take(MAX_LOGGED_PARTS).map(|p| &*p.id).collect();
        if ids.is_empty() { "-".to_owned() } else { ids.join(",") }
    }
}
