//! Start-time fair queueing over weighted flows.
//!
//! The flow with the lowest start tag is served next; a served flow's tag
//! advances by cost / weight. A flow without jobs keeps its place in the
//! heap until virtual time reaches its tag, so that a flow can't shed its
//! past use by emptying its queue. It is removed then, which bounds memory.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, binary_heap::PeekMut},
};

use super::slab::{Key, Slab};

/// Tags count nanoseconds of service times this, divided by the weight, so
/// that large weights lose no precision.
const TAG_SCALE: u128 = 1 << 16;

/// Flows without jobs that one insertion removes at most. More than one, so
/// that they decline even when each insertion adds a flow.
const REMOVALS_PER_INSERT: usize = 2;

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    start: u128,
    jobs: usize,
    work_ns: u64,
    /// Measured minus expected cost of finished jobs, charged with the next.
    correction_ns: i64,
    content: T,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Tagged {
    start: u128,
    /// Flows with equal tags are served in order of insertion.
    sequence: u64,
    flow: Key,
}

#[derive(Debug)]
pub(super) struct FairQueue<T> {
    flows: Slab<Flow<T>>,
    /// Each flow exactly once.
    heap: BinaryHeap<Reverse<Tagged>>,
    virtual_time: u128,
    next_sequence: u64,
    /// The sum of weights of the flows that have jobs.
    active_weight: u64,
    jobs: usize,
    work_ns: u64,
}

impl<T> Default for FairQueue<T> {
    fn default() -> FairQueue<T> {
        FairQueue {
            flows: Slab::default(),
            heap: BinaryHeap::new(),
            virtual_time: 0,
            next_sequence: 0,
            active_weight: 0,
            jobs: 0,
            work_ns: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Removes all flows and keeps the memory. Keys of before are no longer
    /// safe to use.
    pub(super) fn clear(&mut self) {
        self.flows.clear();
        self.heap.clear();
        self.virtual_time = 0;
        self.active_weight = 0;
        self.jobs = 0;
        self.work_ns = 0;
    }

    pub(super) fn jobs(&self) -> usize {
        self.jobs
    }

    pub(super) fn work_ns(&self) -> u64 {
        self.work_ns
    }

    pub(super) fn content(&self, flow: Key) -> Option<&T> {
        self.flows.get(flow).map(|flow| &flow.content)
    }

    pub(super) fn content_mut(&mut self, flow: Key) -> Option<&mut T> {
        self.flows.get_mut(flow).map(|flow| &mut flow.content)
    }

    pub(super) fn flow_jobs(&self, flow: Key) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.jobs)
    }

    pub(super) fn flow_work_ns(&self, flow: Key) -> u64 {
        self.flows.get(flow).map_or(0, |flow| flow.work_ns)
    }

    /// Adds a flow without jobs and passes removed flows to `removed`.
    pub(super) fn insert(
        &mut self,
        content: T,
        mut removed: impl FnMut(T),
    ) -> Key {
        for _ in 0..REMOVALS_PER_INSERT {
            self.remove_first_if_empty(&mut removed);
        }
        let start = self.virtual_time;
        let flow = self.flows.insert(Flow {
            weight: 1,
            start,
            jobs: 0,
            work_ns: 0,
            correction_ns: 0,
            content,
        });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(Tagged { start, sequence, flow }));
        flow
    }

    fn remove_first_if_empty(&mut self, removed: &mut impl FnMut(T)) -> bool {
        let Some(first) = self.heap.peek_mut() else { return false };
        if self.flows.get(first.0.flow).is_some_and(|flow| flow.jobs > 0) {
            return false;
        }
        let Reverse(first) = PeekMut::pop(first);
        // No flow with jobs has a lower tag, so virtual time may advance.
        self.virtual_time = self.virtual_time.max(first.start);
        if let Some(flow) = self.flows.remove(first.flow) {
            removed(flow.content);
        }
        true
    }

    /// Counts a job into a flow and sets the flow's weight.
    pub(super) fn add(&mut self, flow: Key, weight: u32, cost_ns: u64) {
        let Some(flow) = self.flows.get_mut(flow) else { return };
        if flow.jobs > 0 {
            self.active_weight -= u64::from(flow.weight);
        }
        flow.weight = weight.max(1);
        self.active_weight += u64::from(flow.weight);
        flow.jobs += 1;
        flow.work_ns += cost_ns;
        self.jobs += 1;
        self.work_ns += cost_ns;
    }

    /// Takes a job out of a flow.
    pub(super) fn subtract(&mut self, flow: Key, cost_ns: u64) {
        let Some(flow) = self.flows.get_mut(flow) else { return };
        flow.jobs -= 1;
        flow.work_ns -= cost_ns;
        self.jobs -= 1;
        self.work_ns -= cost_ns;
        if flow.jobs == 0 {
            self.active_weight -= u64::from(flow.weight);
        }
    }

    /// Returns the flow to serve next.
    pub(super) fn first(&mut self, mut removed: impl FnMut(T)) -> Option<Key> {
        if self.jobs == 0 {
            return None;
        }
        while self.remove_first_if_empty(&mut removed) {}
        self.heap.peek().map(|first| first.0.flow)
    }

    /// Charges a served job to the flow that [`FairQueue::first`] returned.
    pub(super) fn charge_first(&mut self, cost_ns: u64) {
        let Some(mut first) = self.heap.peek_mut() else { return };
        let Some(flow) = self.flows.get_mut(first.0.flow) else { return };
        self.virtual_time = self.virtual_time.max(flow.start);
        let cost = i64::try_from(cost_ns).unwrap_or(i64::MAX);
        let charged = cost.saturating_add(flow.correction_ns);
        flow.correction_ns = charged.min(0);
        let charged = u64::try_from(charged).unwrap_or(0);
        flow.start += tag(charged, flow.weight);
        first.0.start = flow.start;
    }

    /// Charges the difference between measured and expected cost later.
    pub(super) fn correct(&mut self, flow: Key, difference_ns: i64) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.correction_ns =
                flow.correction_ns.saturating_add(difference_ns);
        }
    }

    /// Returns the work served before a job that has `own_ns` of its own
    /// flow ahead of it, with the flows that have jobs now.
    pub(super) fn ahead_ns(
        &self,
        flow: Option<Key>,
        weight: u32,
        own_ns: u64,
    ) -> u64 {
        let flow = flow.and_then(|flow| self.flows.get(flow));
        let start = flow.map_or(self.virtual_time, |flow| flow.start);
        let distance = start.saturating_sub(self.virtual_time)
            + tag(own_ns, weight.max(1));
        let active = flow.is_some_and(|flow| flow.jobs > 0);
        let own_weight = if active { 0 } else { weight.max(1) };
        let weights = u128::from(self.active_weight + u64::from(own_weight));
        let ahead = distance.saturating_mul(weights) / TAG_SCALE;
        u64::try_from(ahead).unwrap_or(u64::MAX).min(self.work_ns)
    }

    /// Iterates over the flows with jobs.
    pub(super) fn active(&self) -> impl Iterator<Item = (u32, &T)> {
        self.flows
            .iter()
            .filter(|flow| flow.jobs > 0)
            .map(|flow| (flow.weight, &flow.content))
    }
}

fn tag(cost_ns: u64, weight: u32) -> u128 {
    u128::from(cost_ns) * TAG_SCALE / u128::from(weight)
}
