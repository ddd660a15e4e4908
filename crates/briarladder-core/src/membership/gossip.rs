//! The queue of member updates to send with probes.

use crate::membership::MemberUpdate;

/// The maximum number of updates in one message. With four, a probe and its
/// response together stay near 1 KB.
pub const MAX_UPDATES_PER_MESSAGE: usize = 4;

/// The maximum number of queued updates. Above it the oldest is dropped, as
/// later probes detect the same state again.
pub const MAX_QUEUED_UPDATES: usize = 64;

/// How many times an update is sent for each doubling of the number of
/// members. Gossip reaches all members with high probability if each update
/// is sent a small multiple of the logarithm of their number.
const SENDS_PER_DOUBLING: u32 = 3;

#[derive(Debug)]
struct Queued {
    update: MemberUpdate,
    sends_left: u32,
}

/// A bounded queue of updates. The last one is sent first.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    queue: Vec<Queued>,
}

impl Gossip {
    /// Adds an update and removes an older one about the same member.
    pub(super) fn push(&mut self, update: MemberUpdate, members: usize) {
        self.queue.retain(|queued| queued.update.name != update.name);
        if self.queue.len() == MAX_QUEUED_UPDATES {
            self.queue.remove(0);
        }
        let sends_left = SENDS_PER_DOUBLING * doublings(members);
        self.queue.push(Queued { update, sends_left });
    }

    /// Adds an update that only supplies the incarnation of a member that all
    /// daemons know from the platform's list. It is queued behind all others
    /// and sent fewer times: when a fleet starts, hundreds of these updates
    /// would otherwise delay the report of a dead member by minutes.
    pub(super) fn push_confirmation(
        &mut self,
        update: MemberUpdate,
        members: usize,
    ) {
        self.queue.retain(|queued| queued.update.name != update.name);
        if self.queue.len() < MAX_QUEUED_UPDATES {
            let sends_left = doublings(members);
            self.queue.insert(0, Queued { update, sends_left });
        }
    }

    /// Returns the newest updates for one message and counts them as sent
    /// once.
    pub(super) fn take(&mut self) -> Vec<MemberUpdate> {
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

/// Returns the bit length of the number of members.
fn doublings(members: usize) -> u32 {
    members.max(1).ilog2() + 1
}
