//! Updates that wait to travel with probes.

use crate::membership::Update;

/// The most updates in one message. With four, a probe and its answer stay
/// near 1 KB together.
pub const MAX_UPDATES_PER_MESSAGE: usize = 4;

/// The most updates that wait. Above this, the oldest is dropped; probes
/// will find its fact again.
pub const MAX_QUEUED_UPDATES: usize = 64;

/// Each update is sent this many times for each doubling of the members.
/// Epidemic spreading reaches all members with high probability in a small
/// multiple of the logarithm of their number.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
struct Queued {
    update: Update,
    sends_left: u32,
}

/// The updates to send, oldest first.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    queue: Vec<Queued>,
}

impl Gossip {
    /// Adds an update, in place of an older one about the same member.
    pub(super) fn push(&mut self, update: Update, members: usize) {
        self.queue.retain(|queued| queued.update.name != update.name);
        if self.queue.len() == MAX_QUEUED_UPDATES {
            self.queue.remove(0);
        }
        let doublings = members.max(1).ilog2() + 1;
        let sends_left = SENDS_PER_DOUBLING * doublings;
        self.queue.push(Queued { update, sends_left });
    }

    /// Returns the newest updates for one message and counts them as sent.
    pub(super) fn take(&mut self) -> Vec<Update> {
        let newest = self.queue.iter_mut().rev().take(MAX_UPDATES_PER_MESSAGE);
        let updates = newest
            .map(|queued| {
                queued.sends_left -= 1;
                queued.update.clone()
            })
            .collect();
        self.queue.retain(|queued| queued.sends_left > 0);
        updates
    }
}
