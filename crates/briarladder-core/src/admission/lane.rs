//! The waiting jobs of one pool and rank that have started, or that have
//! not: fair over workspaces, then over the callers of each.

use std::collections::VecDeque;

use super::{fair::FairQueue, slab::Key};
use crate::{names::CallerName, sorted::SortedMap};

/// The position of a workspace in the scheduler's list.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct WorkspaceIndex(pub(super) usize);

/// Whose job it is, with the shares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Owner<'a> {
    pub(super) workspace: WorkspaceIndex,
    pub(super) workspace_weight: u32,
    pub(super) caller: &'a CallerName,
    pub(super) caller_weight: u32,
}

/// Where a job is queued.
#[derive(Clone, Copy, Debug)]
pub(super) struct Position {
    workspace: Key,
    caller: Key,
}

/// A waiting job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Queued {
    pub(super) job: Key,
    pub(super) cost_ns: u64,
}

#[derive(Debug)]
struct CallerFlow {
    name: CallerName,
    jobs: VecDeque<Queued>,
}

#[derive(Debug, Default)]
struct WorkspaceFlow {
    index: WorkspaceIndex,
    callers: FairQueue<CallerFlow>,
    by_name: SortedMap<CallerName, Key>,
}

#[derive(Debug, Default)]
pub(super) struct Lane {
    workspaces: FairQueue<WorkspaceFlow>,
    /// Indexed by [`WorkspaceIndex`]; a lookup by name in each lane would
    /// move thousands of entries for each workspace that starts to wait.
    by_index: Vec<Option<Key>>,
    /// Removed flows, whose memory is used again.
    spare: Vec<WorkspaceFlow>,
}

/// Removed flows that are kept. Under overload flows come and go with each
/// job, and their allocations were the largest part of an offer.
const MAX_SPARE_FLOWS: usize = 64;

impl Lane {
    pub(super) fn jobs(&self) -> usize {
        self.workspaces.jobs()
    }

    pub(super) fn work_ns(&self) -> u64 {
        self.workspaces.work_ns()
    }

    fn find(&self, owner: Owner<'_>) -> (Option<Key>, Option<Key>) {
        let workspace =
            self.by_index.get(owner.workspace.0).copied().flatten();
        let caller = workspace
            .and_then(|key| self.workspaces.content(key))
            .and_then(|flow| flow.by_name.get(owner.caller).copied());
        (workspace, caller)
    }

    /// Returns the work served before a job that is queued now.
    pub(super) fn ahead_ns(&self, owner: Owner<'_>) -> u64 {
        let (workspace, caller) = self.find(owner);
        let flow = workspace.and_then(|key| self.workspaces.content(key));
        let own_ns = flow.map_or(0, |flow| {
            let queued =
                caller.map_or(0, |key| flow.callers.flow_work_ns(key));
            flow.callers.ahead_ns(caller, owner.caller_weight, queued)
        });
        self.workspaces.ahead_ns(workspace, owner.workspace_weight, own_ns)
    }

    /// Returns whether the owner may queue one more job when the rank's
    /// queue has this many free places.
    ///
    /// A workspace may hold as many places as are free, and a caller as many
    /// as its workspace may still take. So a flood of one workspace or
    /// caller always leaves places for the others.
    pub(super) fn has_place(&self, owner: Owner<'_>, free: usize) -> bool {
        let (workspace, caller) = self.find(owner);
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
        owner: Owner<'_>,
        queued: Queued,
    ) -> Position {
        let workspace = self.workspace_flow(owner.workspace);
        let flow = self
            .workspaces
            .content_mut(workspace)
            .expect("found or inserted above");
        let caller = flow.caller_flow(owner.caller);
        flow.callers.add(caller, owner.caller_weight, queued.cost_ns);
        if let Some(caller) = flow.callers.content_mut(caller) {
            caller.jobs.push_back(queued);
        }
        let weight = owner.workspace_weight;
        self.workspaces.add(workspace, weight, queued.cost_ns);
        Position { workspace, caller }
    }

    fn workspace_flow(&mut self, index: WorkspaceIndex) -> Key {
        if self.by_index.len() <= index.0 {
            self.by_index.resize(index.0 + 1, None);
        }
        if let Some(key) = self.by_index[index.0] {
            return key;
        }
        let mut flow = self.spare.pop().unwrap_or_default();
        flow.index = index;
        let (by_index, spare) = (&mut self.by_index, &mut self.spare);
        let key = self.workspaces.insert(flow, |removed| {
            recycle(by_index, spare, removed);
        });
        self.by_index[index.0] = Some(key);
        key
    }

    /// Takes out the job to run next.
    pub(super) fn pop(&mut self) -> Option<Queued> {
        let (by_index, spare) = (&mut self.by_index, &mut self.spare);
        let workspace = self
            .workspaces
            .first(|removed| recycle(by_index, spare, removed))?;
        let flow = self.workspaces.content_mut(workspace)?;
        let by_name = &mut flow.by_name;
        let caller = flow.callers.first(|removed| {
            by_name.remove(&removed.name);
        })?;
        let queued = flow.callers.content_mut(caller)?.jobs.pop_front()?;
        flow.callers.subtract(caller, queued.cost_ns);
        flow.callers.charge_first(queued.cost_ns);
        self.workspaces.subtract(workspace, queued.cost_ns);
        self.workspaces.charge_first(queued.cost_ns);
        Some(queued)
    }

    /// Takes out a given job.
    pub(super) fn remove(&mut self, at: Position, job: Key) {
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
        flow.callers.subtract(at.caller, queued.cost_ns);
        self.workspaces.subtract(at.workspace, queued.cost_ns);
    }

    /// Charges the difference between measured and expected cost.
    pub(super) fn correct(&mut self, at: Position, difference_ns: i64) {
        self.workspaces.correct(at.workspace, difference_ns);
        if let Some(flow) = self.workspaces.content_mut(at.workspace) {
            flow.callers.correct(at.caller, difference_ns);
        }
    }

    /// Passes each job with the work ahead of it to `keep`; jobs it does not
    /// keep don't count as ahead of later ones of the same caller.
    pub(super) fn visit(&self, mut keep: impl FnMut(Key, u64) -> bool) {
        for (workspace_weight, flow) in self.workspaces.active() {
            let workspace = self.by_index[flow.index.0];
            for (caller_weight, caller) in flow.callers.active() {
                let key = flow.by_name.get(&caller.name).copied();
                let mut queued_ns = 0;
                for queued in &caller.jobs {
                    let own =
                        flow.callers.ahead_ns(key, caller_weight, queued_ns);
                    let ahead = self.workspaces.ahead_ns(
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

fn recycle(
    by_index: &mut [Option<Key>],
    spare: &mut Vec<WorkspaceFlow>,
    mut removed: WorkspaceFlow,
) {
    by_index[removed.index.0] = None;
    if spare.len() < MAX_SPARE_FLOWS {
        removed.callers.clear();
        removed.by_name.retain(|_, _| false);
        spare.push(removed);
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
