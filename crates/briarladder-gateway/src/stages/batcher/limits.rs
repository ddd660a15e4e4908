//! Paces the calls to servers that limit their requests.

use std::sync::Arc;

use super::{Batcher, QueueKey, ServiceQueue};

impl Batcher {
    /// Pauses the limited servers of a queue until their next place.
    pub(super) fn apply_limits(
        &self,
        key: &QueueKey,
        queue: &mut ServiceQueue,
    ) {
        let servers = self.blackboard.servers.borrow();
        let places = self.blackboard.places();
        for server in servers.ready_in_service(&key.service) {
            let rate_per_s = self.blackboard.own_rate_per_s(server);
            queue.piece_queue.set_call_limit(&server.name, rate_per_s);
            if let Some(until) = places.paused_until(server) {
                queue.piece_queue.pause_until(&server.name, until);
            }
        }
    }

    /// Takes the place of a call that is about to be sent. The server isn't
    /// paused, so it has one, but may have none for the call after.
    pub(super) fn take_place(
        &self,
        queue: &mut ServiceQueue,
        server: &Arc<str>,
    ) {
        let servers = self.blackboard.servers.borrow();
        let Some(listed) = servers.get(server) else { return };
        let places = self.blackboard.places();
        if !places.take(listed) {
            log::warn!("collector: server={server} called beyond its limit");
        }
        if let Some(until) = places.paused_until(listed) {
            queue.piece_queue.pause_until(server, until);
        }
    }
}
