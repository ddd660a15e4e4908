//! What the scheduler is asked and what it answers.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use super::slab::Key;
use crate::{
    names::{CallerName, PoolName, WorkspaceName},
    objects::snapshot::RankIndex,
};

/// One stage of one request that needs a slot of a pool.
#[derive(Clone, Debug)]
pub struct Job {
    /// The pool whose slot it needs.
    pub pool: PoolName,
    /// The rank of the request.
    pub rank: RankIndex,
    /// The workspace of the request.
    pub workspace: WorkspaceName,
    /// The caller inside the workspace.
    pub caller: CallerName,
    /// The share of the workspace; 0 counts as 1.
    pub workspace_weight: u32,
    /// The share of the caller in its workspace; 0 counts as 1.
    pub caller_weight: u32,
    /// Whether an earlier stage of the request has used the pool.
    pub started: bool,
    /// When the caller needs the answer.
    pub deadline: Instant,
    /// The expected time in slots of this pool: of this stage and, for a
    /// request that has not started, of its later stages in the pool, which
    /// go before new requests.
    pub service: Duration,
    /// The expected service time of this and the later stages.
    pub remaining: Duration,
}

/// A job that waits for a slot.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct WaitingId(pub(super) Key);

/// A slot held by a running job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct GrantId(pub(super) Key);

/// The answer to an offered job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The job runs now and holds a slot until it is finished.
    Run(GrantId),
    /// The job waits; a later call runs it or gives it up.
    Wait(WaitingId),
    /// The job was not queued and has not run.
    Refuse(Refusal),
}

/// How one pool is used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolLoad {
    /// The slots that this daemon may use.
    pub slots_requests: u32,
    /// The running jobs.
    pub running_requests: u32,
    /// The waiting jobs.
    pub queue_len_requests: usize,
}

/// A waiting job that runs now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Dispatched {
    /// The id under which it waited; it is no longer valid.
    pub waiting: WaitingId,
    /// The slot it now holds.
    pub grant: GrantId,
}

/// A waiting job that is given up now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GivenUp {
    /// The id under which it waited; it is no longer valid.
    pub waiting: WaitingId,
    /// The reason.
    pub refusal: Refusal,
}

/// What changed for waiting jobs.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[must_use = "each job in it needs to be run or answered"]
pub struct Changes {
    /// The jobs that run now, in order.
    pub run: Vec<Dispatched>,
    /// The jobs that are given up now.
    pub given_up: Vec<GivenUp>,
}

/// Why a job does not run, and when a resend may help.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display("{reason}")]
pub struct Refusal {
    /// The reason.
    pub reason: RefusalReason,
    /// When a resend with the same time budget may be admitted, from the
    /// drain rate. None if waiting does not help.
    pub retry_after: Option<Duration>,
}

/// Why a job does not run.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum RefusalReason {
    /// The stages alone take longer than the time left.
    #[display(
        "the expected time of the stages exceeds the time left; allow a \
         longer deadline"
    )]
    DeadlineTooShort,
    /// The expected wait leaves too little time for the stages.
    #[display(
        "the expected wait leaves too little time; resend after the \
         indicated delay"
    )]
    WaitTooLong,
    /// The queue of the rank is full.
    #[display(
        "the queue of this rank is full; resend after the indicated delay"
    )]
    QueueFull,
    /// The workspace or caller holds its part of the queue already.
    #[display(
        "the workspace or caller has too many waiting requests; resend \
         after the indicated delay"
    )]
    CallerQueueFull,
    /// This daemon may use no slot of the pool.
    #[display(
        "no slot of the pool is available; resend after the indicated delay"
    )]
    NoSlots,
}
