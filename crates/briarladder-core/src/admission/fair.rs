//! Start-time fair queueing over weighted flows.
//!
//! A flow is a queue of jobs of one workspace or caller. Each flow has a start
//! tag. The flow with the lowest tag is served next, and its tag advances by
//! cost / weight of the served job. Virtual time is the highest tag at which
//! a flow has been served or removed. A new flow starts at virtual time.
//!
//! An idle flow, which is one without jobs, stays in the heap until virtual
//! time reaches its tag; otherwise a flow could reset its tag by emptying its
//! queue. After that it is removed, which bounds memory.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, binary_heap::PeekMut},
};

use super::slab::{Key, Slab};

/// The factor between start tags and nanoseconds of service divided by the
/// weight. It keeps precision with large weights.
const TAG_SCALE: u128 = 1 << 16;

/// The most idle flows that one insertion removes. It is more than one, so
/// that the number of flows can fall although each insertion adds one.
const REMOVALS_PER_INSERT: usize = 2;

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    start_tag: u128,
    /// The number of queued jobs.
    jobs: usize,
    /// The sum of the costs of the queued jobs.
    work_ns: u64,
    /// Measured minus expected cost of finished jobs, charged with the next
    /// job.
    correction_ns: i64,
    /// The data of the user of the queue.
    content: T,
}

#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HeapEntry {
    start_tag: u128,
    /// Breaks ties: flows with equal tags are served in order of insertion.
    sequence: u64,
    flow: Key,
}

#[derive(Debug)]
pub(super) struct FairQueue<T> {
    flows: Slab<Flow<T>>,
    /// Contains each flow exactly once.
    heap: BinaryHeap<Reverse<HeapEntry>>,
    virtual_time: u128,
    next_sequence: u64,
    /// The sum of the weights of all flows that have jobs.
    active_weight: u64,
    /// The number of queued jobs of all flows.
    jobs: usize,
    /// The sum of the costs of the queued jobs of all flows.
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
    /// Removes all flows and keeps the allocations. An old key may find a
    /// later flow and must not be used.
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

    /// Adds a flow without jobs. Passes the content of each idle flow that
    /// it removes to `removed`.
    pub(super) fn insert(
        &mut self,
        content: T,
        mut removed: impl FnMut(T),
    ) -> Key {
        for _ in 0..REMOVALS_PER_INSERT {
            self.remove_first_if_idle(&mut removed);
        }
        let start_tag = self.virtual_time;
        let flow = self.flows.insert(Flow {
            weight: 1,
            start_tag,
            jobs: 0,
            work_ns: 0,
            correction_ns: 0,
            content,
        });
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.heap.push(Reverse(HeapEntry { start_tag, sequence, flow }));
        flow
    }

    fn remove_first_if_idle(&mut self, removed: &mut impl FnMut(T)) -> bool {
        let Some(first) = self.heap.peek_mut() else { return false };
        if self.flows.get(first.0.flow).is_some_and(|flow| flow.jobs > 0) {
            return false;
        }
        let Reverse(first) = PeekMut::pop(first);
        // No flow with jobs has a lower tag, so virtual time may advance.
        self.virtual_time = self.virtual_time.max(first.start_tag);
        if let Some(flow) = self.flows.remove(first.flow) {
            removed(flow.content);
        }
        true
    }

    /// Adds a job to a flow and sets the weight of the flow.
    pub(super) fn add_job(&mut self, flow: Key, weight: u32, cost_ns: u64) {
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

    /// Removes a job from a flow.
    pub(super) fn remove_job(&mut self, flow: Key, cost_ns: u64) {
        let Some(flow) = self.flows.get_mut(flow) else { return };
        flow.jobs -= 1;
        flow.work_ns -= cost_ns;
        self.jobs -= 1;
        self.work_ns -= cost_ns;
        if flow.jobs == 0 {
            self.active_weight -= u64::from(flow.weight);
        }
    }

    /// Returns the flow to serve next. Passes the content of each idle flow
    /// that it removes to `removed`.
    pub(super) fn next_flow(
        &mut self,
        mut removed: impl FnMut(T),
    ) -> Option<Key> {
        if self.jobs == 0 {
            return None;
        }
        while self.remove_first_if_idle(&mut removed) {}
        self.heap.peek().map(|first| first.0.flow)
    }

    /// Charges a served job to the flow that [`FairQueue::next_flow`]
    /// returned.
    pub(super) fn charge_next_flow(&mut self, cost_ns: u64) {
        let Some(mut first) = self.heap.peek_mut() else { return };
        let Some(flow) = self.flows.get_mut(first.0.flow) else { return };
        self.virtual_time = self.virtual_time.max(flow.start_tag);
        let cost = i64::try_from(cost_ns).unwrap_or(i64::MAX);
        let charged = cost.saturating_add(flow.correction_ns);
        flow.correction_ns = charged.min(0);
        let charged = u64::try_from(charged).unwrap_or(0);
        flow.start_tag += tag_increment(charged, flow.weight);
        first.0.start_tag = flow.start_tag;
    }

    /// Records the difference between measured and expected cost of a
    /// finished job. It is charged with the next job of the flow.
    pub(super) fn add_correction(&mut self, flow: Key, difference_ns: i64) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.correction_ns =
                flow.correction_ns.saturating_add(difference_ns);
        }
    }

    /// Returns the work that is served before a new job of a flow. `own_ns`
    /// is the part of it that is queued in the flow itself. Assumes that the
    /// flows with jobs stay the same.
    pub(super) fn work_ahead_ns(
        &self,
        flow: Option<Key>,
        weight: u32,
        own_ns: u64,
    ) -> u64 {
        let flow = flow.and_then(|flow| self.flows.get(flow));
        let start_tag = flow.map_or(self.virtual_time, |flow| flow.start_tag);
        let distance = start_tag.saturating_sub(self.virtual_time)
            + tag_increment(own_ns, weight.max(1));
        let active = flow.is_some_and(|flow| flow.jobs > 0);
        let own_weight = if active { 0 } else { weight.max(1) };
        let weights = u128::from(self.active_weight + u64::from(own_weight));
        let ahead = distance.saturating_mul(weights) / TAG_SCALE;
        u64::try_from(ahead).unwrap_or(u64::MAX).min(self.work_ns)
    }

    /// Iterates over weight and content of the flows with jobs.
    pub(super) fn active_flows(&self) -> impl Iterator<Item = (u32, &T)> {
        self.flows
            .iter()
            .filter(|flow| flow.jobs > 0)
            .map(|flow| (flow.weight, &flow.content))
    }
}

/// Returns by how much a start tag advances for a job.
fn tag_increment(cost_ns: u64, weight: u32) -> u128 {
    u128::from(cost_ns) * TAG_SCALE / u128::from(weight)
}
