//! The waiting jobs of one pool, rank and phase, queued fairly over
//! workspaces and then over the callers of each workspace.

use std::collections::VecDeque;

use super::{fair::FairQueue, slab::Key};
use crate::{names::CallerName, sorted::SortedMap};

/// The index of an interned workspace name.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkspaceIndex(pub(super) usize);

/// The workspace and caller of a job, with their weights.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobOwner<'a> {
    pub(super) workspace: WorkspaceIndex,
    pub(super) workspace_weight: u32,
    pub(super) caller: &'a CallerName,
    pub(super) caller_weight: u32,
}

/// The flows in which a job is queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuePosition {
    workspace: Key,
    caller: Key,
}

/// A waiting job.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob {
    /// The key of the job in the scheduler.
    pub(super) job: Key,
    pub(super) cost_ns: u64,
}

#[derive(Debug)]
struct CallerFlow {
    name: CallerName,
    jobs: VecDeque<QueuedJob>,
}

#[derive(Debug, Default)]
struct WorkspaceFlow {
    index: WorkspaceIndex,
    callers: FairQueue<CallerFlow>,
    /// The keys of the flows in `callers`.
    by_name: SortedMap<CallerName, Key>,
}

#[derive(Debug, Default)]
pub(super) struct PhaseQueue {
    workspaces: FairQueue<WorkspaceFlow>,
    /// The keys of the flows in `workspaces`, indexed by [`WorkspaceIndex`].
    /// A workspace without a flow has `None`. A sorted list of names would move
    /// thousands of entries for each workspace that starts to wait.
    by_index: Vec<Option<Key>>,
    /// Removed flows whose allocations are reused.
    free_flows: Vec<WorkspaceFlow>,
}

/// The most removed flows kept for reuse. Under overload flows are added and
/// removed with each job, and allocating them dominated the cost of an offer.
const MAX_FREE_FLOWS: usize = 64;

impl PhaseQueue {
    pub(super) fn jobs(&self) -> usize {
        self.workspaces.jobs()
    }

    pub(super) fn work_ns(&self) -> u64 {
        self.workspaces.work_ns()
    }

    fn find_flows(&self, owner: JobOwner<'_>) -> (Option<Key>, Option<Key>) {
        let workspace =
            self.by_index.get(owner.workspace.0).copied().flatten();
        let caller = workspace
            .and_then(|key| self.workspaces.content(key))
            .and_then(|flow| flow.by_name.get(owner.caller).copied());
        (workspace, caller)
    }

    /// Returns the work that is served before a job that is queued now.
    pub(super) fn work_ahead_ns(&self, owner: JobOwner<'_>) -> u64 {
        let (workspace, caller) = self.find_flows(owner);
        let flow = workspace.and_then(|key| self.workspaces.content(key));
        let own_ns = flow.map_or(0, |flow| {
            let queued =
                caller.map_or(0, |key| flow.callers.flow_work_ns(key));
            flow.callers.work_ahead_ns(caller, owner.caller_weight, queued)
        });
        self.workspaces.work_ahead_ns(
            workspace,
            owner.workspace_weight,
            own_ns,
        )
    }

    /// Returns whether the owner may queue one more job if the queue of the
    /// rank has room for `free` more.
    ///
    /// The jobs that a workspace has queued must be fewer than `free`, and
    /// those of a caller fewer than its workspace may still queue. The first
    /// waiting job of a workspace is always allowed, and the first one of a
    /// caller if its workspace may queue more.
    /// A flood from one workspace or caller therefore always leaves room for
    /// others.
    pub(super) fn has_room(&self, owner: JobOwner<'_>, free: usize) -> bool {
        let (workspace, caller) = self.find_flows(owner);
        let Some(workspace) = workspace else { return true };
        let held = self.workspaces.flow_jobs(workspace);
        if held == 0 {
            return true;
        }
        let Some(left) = free.checked_sub(held).filter(|left| *left > 0)
        else {
            return false;
        };
        let flow = self.workspaces.content(workspace);
        let held = caller
            .zip(flow)
            .map_or(0, |(caller, flow)| flow.callers.flow_jobs(caller));
        held == 0 || held < left
    }

    pub(super) fn push(
        &mut self,
        owner: JobOwner<'_>,
        queued: QueuedJob,
    ) -> QueuePosition {
        let workspace = self.workspace_flow(owner.workspace);
        let flow = self
            .workspaces
            .content_mut(workspace)
            .expect("found or inserted above");
        let caller = flow.caller_flow(owner.caller);
        flow.callers.add_job(caller, owner.caller_weight, queued.cost_ns);
        if let Some(caller) = flow.callers.content_mut(caller) {
            caller.jobs.push_back(queued);
        }
        let weight = owner.workspace_weight;
        self.workspaces.add_job(workspace, weight, queued.cost_ns);
        QueuePosition { workspace, caller }
    }

    fn workspace_flow(&mut self, index: WorkspaceIndex) -> Key {
        if self.by_index.len() <= index.0 {
            self.by_index.resize(index.0 + 1, None);
        }
        if let Some(key) = self.by_index[index.0] {
            return key;
        }
        let mut flow = self.free_flows.pop().unwrap_or_default();
        flow.index = index;
        let (by_index, free_flows) =
            (&mut self.by_index, &mut self.free_flows);
        let key = self.workspaces.insert(flow, |removed| {
            recycle(by_index, free_flows, removed);
        });
        self.by_index[index.0] = Some(key);
        key
    }

    /// Removes and returns the job to run next.
    pub(super) fn pop(&mut self) -> Option<QueuedJob> {
        let (by_index, free_flows) =
            (&mut self.by_index, &mut self.free_flows);
        let workspace = self
            .workspaces
            .next_flow(|removed| recycle(by_index, free_flows, removed))?;
        let flow = self.workspaces.content_mut(workspace)?;
        let by_name = &mut flow.by_name;
        let caller = flow.callers.next_flow(|removed| {
            by_name.remove(&removed.name);
        })?;
        let queued = flow.callers.content_mut(caller)?.jobs.pop_front()?;
        flow.callers.remove_job(caller, queued.cost_ns);
        flow.callers.charge_next_flow(queued.cost_ns);
        self.workspaces.remove_job(workspace, queued.cost_ns);
        self.workspaces.charge_next_flow(queued.cost_ns);
        Some(queued)
    }

    /// Removes a job without running it.
    pub(super) fn remove(&mut self, at: QueuePosition, job: Key) {
        let Some(flow) = self.workspaces.content_mut(at.workspace) else {
            return;
        };
        let Some(caller) = flow.callers.content_mut(at.caller) else {
            return;
        };
        let found = caller.jobs.iter().position(|queued| queued.job == job);
        let Some(queued) = found.and_then(|i| caller.jobs.remove(i)) else {
            return;
        };
        flow.callers.remove_job(at.caller, queued.cost_ns);
        self.workspaces.remove_job(at.workspace, queued.cost_ns);
    }

    /// Records the difference between measured and expected cost of a
    /// finished job, for its workspace and caller.
    pub(super) fn add_correction(
        &mut self,
        at: QueuePosition,
        difference_ns: i64,
    ) {
        self.workspaces.add_correction(at.workspace, difference_ns);
        if let Some(flow) = self.workspaces.content_mut(at.workspace) {
            flow.callers.add_correction(at.caller, difference_ns);
        }
    }

    /// Calls `keep` with each job and the work ahead of it. If `keep` returns
    /// false, the job no longer counts as ahead of later ones of its caller.
    pub(super) fn for_each_job(&self, mut keep: impl FnMut(Key, u64) -> bool) {
        for (workspace_weight, flow) in self.workspaces.active_flows() {
            let workspace = self.by_index[flow.index.0];
            for (caller_weight, caller) in flow.callers.active_flows() {
                let key = flow.by_name.get(&caller.name).copied();
                let mut queued_ns = 0;
                for queued in &caller.jobs {
                    let own = flow.callers.work_ahead_ns(
                        key,
                        caller_weight,
                        queued_ns,
                    );
                    let ahead = self.workspaces.work_ahead_ns(
                        workspace,
                        workspace_weight,
                        own,
                    );
                    if keep(queued.job, ahead) {
                        queued_ns += queued.cost_ns;
                    }
                }
            }
        }
    }
}

/// Keeps a removed flow for reuse and clears its index.
fn recycle(
    by_index: &mut [Option<Key>],
    free_flows: &mut Vec<WorkspaceFlow>,
    mut removed: WorkspaceFlow,
) {
    by_index[removed.index.0] = None;
    if free_flows.len() < MAX_FREE_FLOWS {
        removed.callers.clear();
        removed.by_name.retain(|_, _| false);
        free_flows.push(removed);
    }
}

impl WorkspaceFlow {
    fn caller_flow(&mut self, name: &CallerName) -> Key {
        if let Some(key) = self.by_name.get(name) {
            return *key;
        }
        let flow = CallerFlow { name: name.clone(), jobs: VecDeque::new() };
        let by_name = &mut self.by_name;
        let key = self.callers.insert(flow, |removed| {
            by_name.remove(&removed.name);
        });
        self.by_name.insert(name.clone(), key);
        key
    }
}
