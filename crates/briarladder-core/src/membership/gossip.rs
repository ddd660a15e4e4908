//! Updates that wait to travel with probes.

use crate::membership::MemberUpdate;

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
    update: MemberUpdate,
    sends_left: u32,
}

/// The updates to send. The last one goes first.
#[derive(Debug, Default)]
pub(super) struct Gossip {
    queue: Vec<Queued>,
}

impl Gossip {
    /// Adds an update, in place of an older one about the same member.
    pub(super) fn push(&mut self, update: MemberUpdate, members: usize) {
        self.queue.retain(|queued| queued.update.name != update.name);
        if self.queue.len() == MAX_QUEUED_UPDATES {
            self.queue.remove(0);
        }
        let sends_left = SENDS_PER_DOUBLING * doublings(members);
        self.queue.push(Queued { update, sends_left });
    }

    /// Adds an update that gives the incarnation of a member which all know
    /// from the platform's list. It goes after all others and is sent less
    /// often: when a fleet starts, hundreds of them would otherwise hold up
    /// the news of a death for minutes.
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

    /// Returns the newest updates for one message and counts them as sent.
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

fn doublings(members: usize) -> u32 {
    members.max(1).ilog2() + 1
}
