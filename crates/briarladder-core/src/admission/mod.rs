//! Which request runs next, and which is refused at once.
//!
//! A [`Scheduler`] holds one queue for each pool. It gives free slots to
//! ranks by guaranteed share, then most urgent first; within a rank to
//! started pipelines before new ones, then by start-time fair queueing over
//! workspaces and over the callers of a workspace. Jobs that can't meet
//! their deadline are refused when they are offered, or given up as soon as
//! that becomes certain. [`Estimates`] supplies the expected times.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use briarladder_core::{
//!     admission::{Job, Offer, Scheduler},
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
//!     service: Duration::from_millis(20),
//!     remaining: Duration::from_millis(300),
//! };
//! let Offer::Run(grant) = scheduler.offer(now, &job) else { panic!() };
//! let Offer::Wait(waiting) = scheduler.offer(now, &job) else { panic!() };
//! assert_eq!(scheduler.pool_load(&job.pool).queue_len_requests, 1);
//! let changes = scheduler.finish(now, grant, Duration::from_millis(25));
//! assert_eq!(changes.run[0].waiting, waiting);
//! ```

mod estimate;
mod expiry;
mod fair;
mod job;
mod lane;
mod later;
mod pool;
mod scheduler;
mod slab;
#[cfg(test)]
mod tests;
mod workspaces;

pub use estimate::{Estimate, Estimates};
pub use job::{
    Changes, Dispatched, GivenUp, GrantId, Job, Offer, PoolLoad, Refusal,
    RefusalReason, WaitingId,
};
pub use scheduler::{DEFAULT_QUEUE_LIMIT_REQUESTS, Scheduler};
