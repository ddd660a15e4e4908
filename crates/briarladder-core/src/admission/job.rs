//! The jobs that are offered to the scheduler, and its decisions on them.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use super::slab::Key;
use crate::{
    names::{CallerName, PoolName, WorkspaceName},
    objects::snapshot::RankIndex,
};

/// A stage of a request that needs a slot of a pool.
#[derive(Clone, Debug)]
pub struct Job {
    /// The pool that runs the stage.
    pub pool: PoolName,
    /// The rank of the request; 0 is the most urgent.
    pub rank: RankIndex,
    /// The workspace of the request.
    pub workspace: WorkspaceName,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The fair-queueing weight of the workspace; 0 counts as 1.
    pub workspace_weight: u32,
    /// The fair-queueing weight of the caller in its workspace; 0 counts as
    /// 1.
    pub caller_weight: u32,
    /// Whether an earlier stage of the request has used the pool. Started
    /// jobs are dispatched before new ones of the same rank.
    pub started: bool,
    /// When the caller needs the response.
    pub deadline: Instant,
    /// The expected time for which the request holds a slot of this pool. If
    /// `started` is false, this includes the later stages of the request in
    /// the pool, because they are dispatched before new jobs.
    pub service_time: Duration,
    /// The expected service time of this stage and all later stages of the
    /// request, in whichever pool they run.
    pub remaining_time: Duration,
}

/// Identifies a job that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitingId(pub(super) Key);

/// Identifies a slot held by a running job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GrantId(pub(super) Key);

/// The decision on an offered job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The job runs now and holds a slot until it is finished.
    Run(GrantId),
    /// The job is queued; a later call runs or sheds it.
    Wait(WaitingId),
    /// The job is neither queued nor run.
    Refuse(Refusal),
}

/// The slots and the queue of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// The number of slots that this daemon may use.
    pub slots_requests: u32,
    /// The number of running jobs.
    pub running_requests: u32,
    /// The number of waiting jobs.
    pub queue_len_requests: usize,
}

/// A waiting job that has got a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dispatched {
    /// The id under which it waited; no longer valid.
    pub waiting: WaitingId,
    /// The slot that it holds.
    pub grant: GrantId,
}

/// A waiting job that was removed from the queue without running.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ShedJob {
    /// The id under which it waited; no longer valid.
    pub waiting: WaitingId,
    /// Why it was removed, and when a resend may help.
    pub refusal: Refusal,
}

/// The waiting jobs that a call to the scheduler has dispatched or shed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[must_use = "each job must be run or refused"]
pub struct QueueChanges {
    /// The jobs that have got a slot, in order of dispatch.
    pub dispatched: Vec<Dispatched>,
    /// The jobs that were removed without running.
    pub shed: Vec<ShedJob>,
}

/// The refusal of a job, with an estimate of when a resend may succeed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{reason}")]
pub struct Refusal {
    /// Why the job does not run.
    pub reason: RefusalReason,
    /// The time after which a resend with the same time budget may be
    /// admitted, estimated from the drain rate. `None` if waiting does not
    /// help.
    pub retry_after: Option<Duration>,
}

/// Why a job does not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// The expected time of the stages, without any wait for a slot, exceeds
    /// the time left until the deadline.
    #[display(
        "the expected time of the stages exceeds the time left; allow a \
         longer deadline"
    )]
    DeadlineTooShort,
    /// The expected wait leaves too little time to run the stages.
    #[display(
        "the expected wait leaves too little time; resend after the \
         indicated delay"
    )]
    WaitTooLong,
    /// The queue of the pool holds as many jobs of this rank as it may.
    #[display(
        "the queue of this rank is full; resend after the indicated delay"
    )]
    QueueFull,
    /// The workspace or caller already has as many waiting requests as it
    /// may have.
    #[display(
        "the workspace or caller has too many waiting requests; resend \
         after the indicated delay"
    )]
    CallerQueueFull,
    /// This daemon has no slot of the pool.
    #[display(
        "no slot of the pool is available; resend after the indicated delay"
    )]
    NoSlots,
}
