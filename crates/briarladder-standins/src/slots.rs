//! Execution slots, which limit how many requests a backend server runs at the
//! same time, and the priority queue of the requests that wait for one.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// The slots of a backend server. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Slots(Arc<Mutex<Inner>>);

#[derive(Debug)]
struct Inner {
    total: u32,
    running: u32,
    next_sequence: u64,
    queue: BinaryHeap<Reverse<Waiter>>,
}

/// The number of slots, and of running and queued requests, for load reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct SlotCounts {
    pub(crate) total: u32,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl Slots {
    pub(crate) fn new(total: u32) -> Slots {
        let queue = BinaryHeap::new();
        let inner = Inner { total, running: 0, next_sequence: 0, queue };
        Slots(Arc::new(Mutex::new(inner)))
    }

    /// Waits for a slot. Lower priority values go first, and equal ones in
    /// order of arrival. Dropping the future cancels the wait.
    pub(crate) async fn acquire(&self, priority: u8) -> Slot {
        let receiver = {
            let mut inner = self.lock();
            if inner.running < inner.total {
                inner.running += 1;
                return Slot(Some(self.clone()));
            }
            let (sender, receiver) = oneshot::channel();
            let sequence = inner.next_sequence;
            inner.next_sequence += 1;
            inner.queue.push(Reverse(Waiter { priority, sequence, sender }));
            receiver
        };
        // The sender stays in the queue, which `self` owns, until the waiter
        // gets its slot.
        receiver.await.expect("the slots outlive their waiters")
    }

    pub(crate) fn counts(&self) -> SlotCounts {
        let mut inner = self.lock();
        inner.queue.retain(|waiter| !waiter.0.sender.is_closed());
        SlotCounts {
            total: inner.total,
            running: inner.running,
            queued: u32::try_from(inner.queue.len()).unwrap_or(u32::MAX),
        }
    }

    fn release(&self) {
        let mut inner = self.lock();
        while let Some(Reverse(waiter)) = inner.queue.pop() {
            match waiter.sender.send(Slot(Some(self.clone()))) {
                Ok(()) => return,
                // Taken out of the guard, because dropping an armed guard
                // would lock the mutex again.
                Err(mut slot) => drop(slot.0.take()),
            }
        }
        inner.running -= 1;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A held slot. Dropping it passes it to the next waiter.
#[derive(Debug)]
pub(crate) struct Slot(Option<Slots>);

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(slots) = self.0.take() {
            slots.release();
        }
    }
}

/// A queued request. `sequence` keeps requests of equal priority in order of
/// arrival.
#[derive(Debug)]
struct Waiter {
    priority: u8,
    sequence: u64,
    sender: oneshot::Sender<Slot>,
}

impl Waiter {
    fn key(&self) -> (u8, u64) {
        (self.priority, self.sequence)
    }
}

impl PartialEq for Waiter {
    fn eq(&self, other: &Waiter) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Waiter {}

impl PartialOrd for Waiter {
    fn partial_cmp(&self, other: &Waiter) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Waiter {
    fn cmp(&self, other: &Waiter) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}
