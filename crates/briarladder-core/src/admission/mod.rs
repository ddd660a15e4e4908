//! Admission control and scheduling of requests by pool.
//!
//! Terms that this module uses:
//!
//! - A pool is a group of backend servers of one role. A slot is the
//!   permission to run one request on a pool at a time.
//! - A request runs the stages of its pipeline one after another. A [`Job`]
//!   is one stage of one request, offered to the scheduler to get a slot.
//! - A rank is a class of urgency, with a guaranteed share of each pool.
//! - The phase of a job is "started" if an earlier stage of its request has
//!   used the same pool, otherwise "new".
//! - The cost of a job is its expected service time, [`Job::service_time`].
//!   The work of a queue is the sum of the costs of its jobs.
//! - The latest start of a job is its deadline less the expected time of the
//!   stages still to run. The slack is the time left until the latest start.
//!
//! A [`Scheduler`] holds one queue for each pool. It assigns free slots to
//! ranks by guaranteed share, then in order of urgency. Within a rank,
//! started jobs come before new ones. Within a phase, start-time fair
//! queueing divides the slots among workspaces and among the callers of each.
//! A job that can't meet its deadline is refused when it is offered, or shed
//! from the queue as soon as that becomes certain. [`Estimates`] supplies the
//! expected service times.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::{
//!     admission::{Job, AdmissionDecision, Scheduler},
//!     names::{CallerName, PoolName, WorkspaceName},
//!     objects::snapshot::RankIndex,
//! };
//!
//! let now = Instant::now();
//! let pool = PoolName::new("encoders").unwrap();
//! let mut scheduler = Scheduler::new(&[]);
//! scheduler.set_pool_slots(now, &pool, 1);
//! let job = Job {
//!     pool,
//!     rank: RankIndex(0),
//!     workspace: WorkspaceName::new("harbour").unwrap(),
//!     caller: CallerName::new("office").unwrap(),
//!     workspace_weight: 1,
//!     caller_weight: 1,
//!     started: false,
//!     deadline: now + Duration::from_secs(5),
//!     service_time: Duration::from_millis(20),
//!     remaining_time: Duration::from_millis(300),
//! };
//! let decision = scheduler.offer(now, &job);
//! let AdmissionDecision::Run(grant) = decision else { panic!() };
//! let decision = scheduler.offer(now, &job);
//! let AdmissionDecision::Wait(waiting) = decision else { panic!() };
//! assert_eq!(scheduler.pool_load(&job.pool).queue_len_requests, 1);
//! let changes = scheduler.finish(now, grant, Duration::from_millis(25));
//! assert_eq!(changes.dispatched[0].waiting, waiting);
//! ```

mod estimate;
mod expiry;
mod fair;
mod job;
mod later_pools;
mod phase_queue;
mod pool_queue;
mod scheduler;
mod slab;
#[cfg(test)]
mod tests;
mod workspaces;

pub use estimate::{Estimate, Estimates};
pub use job::{
    AdmissionDecision, Dispatched, GrantId, Job, PoolLoad, QueueChanges,
    Refusal, RefusalReason, ShedJob, WaitingId,
};
pub use scheduler::{DEFAULT_QUEUE_LIMIT_REQUESTS, Scheduler};
