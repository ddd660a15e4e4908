//! Records which requests a backend server was processing when it crashed, and
//! which ones servers have survived.

use std::time::Duration;

use briarladder_core::fleet::{
    answer_progress::AnswerPhase,
    crash_tracker::{Feature, ServerIncarnation},
    server::ListedServer,
};
use derive_more::Display;
use http::request;

use crate::{blackboard::Blackboard, dialect::Prompt};

use super::{accept::AcceptedRequest, outgoing::OutgoingRequest};

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Maximum number of prompt parts that are tracked for one request, the first
/// ones.
const MAX_TRACKED_PARTS: usize = 32;

/// Returns for how long a request is still refused because servers crashed
/// while they ran it, or while they ran others with a part of its prompt.
#[must_use]
pub fn refused_for(
    blackboard: &Blackboard,
    accepted: &AcceptedRequest,
    head: &request::Parts,
    body: &[u8],
) -> Option<Duration> {
    let crash_tracker = blackboard.crash_tracker.borrow();
    if !crash_tracker.refuses_any() {
        return None;
    }
    let mut features = part_features(accepted);
    features.push(whole_request(accepted, head, body));
    crash_tracker.refused_for(blackboard.now(), &features)
}

/// Returns the features that a request may share with others by its prompt.
fn part_features(accepted: &AcceptedRequest) -> Vec<Feature> {
    let prompt = accepted.caller.prompt.as_ref();
    let parts = prompt.map_or(&[][..], |prompt| prompt.shared_parts());
    parts
        .iter()
        .take(MAX_TRACKED_PARTS)
        .enumerate()
        .map(|(position, part)| Feature::prompt_part(&part.id, position))
        .collect()
}

fn whole_request(
    accepted: &AcceptedRequest,
    head: &request::Parts,
    body: &[u8],
) -> Feature {
    let target = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let workspace = accepted.workspace.as_ref();
    Feature::whole_request(target, workspace.map(|w| &*w.name), body)
}

impl OutgoingRequest {
    fn whole_request(&self) -> Feature {
        whole_request(&self.accepted, &self.head, &self.body)
    }

    /// Returns for how long the request is still refused because of crashes.
    #[must_use]
    pub fn refused_for(&self) -> Option<Duration> {
        let blackboard = &self.gateway.blackboard;
        refused_for(blackboard, &self.accepted, &self.head, &self.body)
    }

    /// Returns whether the request may be the reason why a server crashed.
    #[must_use]
    pub fn is_crash_suspect(&self) -> bool {
        let blackboard = &self.gateway.blackboard;
        let crash_tracker = blackboard.crash_tracker.borrow();
        if crash_tracker.is_empty() {
            return false;
        }
        let mut features = part_features(&self.accepted);
        features.push(self.whole_request());
        crash_tracker.is_suspect(&features)
    }

    /// Records that a server exited, or closed its connection, while it
    /// processed the request. `answer` tells how far its answer had come: once
    /// it is underway, the prompt is not the reason. The exit of a server that
    /// is leaving is planned, and the loss of the path to it is none, so they
    /// count against no request.
    pub fn record_crash(&self, server: &ListedServer, answer: AnswerPhase) {
        if self.is_leaving(server) {
            return;
        }
        let blackboard = &self.gateway.blackboard;
        let now = blackboard.now();
        let path_lost =
            blackboard.server_paths.borrow_mut().record_broken(now, server);
        if path_lost {
            log::info!(
                "crashers: id={} server={} outcome=path_lost",
                self.accepted.caller.attempt,
                server.name
            );
            return;
        }
        let incarnation = ServerIncarnation::of(&server.name, server.born_ms);
        let mut features = match answer {
            AnswerPhase::NotBegun | AnswerPhase::Begun => {
                part_features(&self.accepted)
            }
            AnswerPhase::Underway => Vec::new(),
        };
        features.push(self.whole_request());
        let mut crash_tracker = blackboard.crash_tracker.borrow_mut();
        let was_refused = crash_tracker.refused_for(now, &features).is_some();
        let refused = crash_tracker.record_crash(now, &features, incarnation);
        blackboard.hasten_gossip();
        let attempt = &self.accepted.caller.attempt;
        log::info!(
            "crashers: id={attempt} server={} answer={answer} parts={}",
            server.name,
            SharedParts(self.accepted.caller.prompt.as_ref())
        );
        if refused && !was_refused {
            log::warn!(
                "crashers: id={attempt} server={} outcome=refused_from_now",
                server.name
            );
        }
    }

    /// Records that the answer is underway, which shows that no part of the
    /// prompt crashes servers.
    pub fn record_answer_underway(&self) {
        let blackboard = &self.gateway.blackboard;
        let mut crash_tracker = blackboard.crash_tracker.borrow_mut();
        if !crash_tracker.is_empty() {
            let features = part_features(&self.accepted);
            crash_tracker.record_survival(blackboard.now(), &features);
        }
    }

    /// Records a complete response.
    pub fn record_success(&self) {
        let blackboard = &self.gateway.blackboard;
        let mut crash_tracker = blackboard.crash_tracker.borrow_mut();
        if !crash_tracker.is_empty() {
            let mut features = part_features(&self.accepted);
            features.push(self.whole_request());
            crash_tracker.record_survival(blackboard.now(), &features);
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
