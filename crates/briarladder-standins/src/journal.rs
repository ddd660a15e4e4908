//! A record of all executions by the stand-ins, for checks of how often and
//! where a request really ran.
//!
//! Clones of a journal share its entries.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::journal::Journal;
//!
//! let journal = Journal::new();
//! assert!(journal.entries().is_empty());
//! assert!(journal.duplicate_keys().is_empty());
//! ```

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use briarladder_core::{
    ids::{Incarnation, RequestId},
    names::{ServerName, StageName},
    sorted::SortedSet,
};
use briarladder_wire::backend::RunRequest;

/// One execution of a stage by a backend server.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request that the stage belongs to.
    pub request_id: RequestId,
    /// The stage that was executed.
    pub stage: StageName,
    /// The number of the attempt at the stage, from 0.
    pub attempt: u32,
    /// The idempotency key, if the request carried one.
    pub idempotency_key: Option<Arc<str>>,
    /// The configuration epoch that the request is pinned to.
    pub epoch: u64,
    /// The backend server that executed it.
    pub server: ServerName,
    /// The incarnation of the backend server, which changes with each restart.
    pub incarnation: Incarnation,
    /// If the backend server was in the state `Leaving` when the execution
    /// started, the time since it entered that state.
    pub leaving_for: Option<Duration>,
    /// The start time, relative to the creation of the journal.
    pub started_at: Duration,
    /// The number of tokens sent by this attempt, set when it ends; 0 unless
    /// it generates.
    pub sent_tokens: u32,
    /// Whether the execution is still running, or how it ended.
    pub status: ExecutionStatus,
}

/// Whether an execution is still running, or how it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// The execution has not ended.
    Running,
    /// The execution produced its output.
    Completed,
    /// The execution was cancelled with `DELETE /v1/run/{request_id}`.
    Cancelled,
    /// The connection was closed or the backend server crashed.
    Aborted,
}

/// A list of executions. Clones share it.
#[derive(Clone, Debug)]
pub struct Journal {
    origin: Instant,
    // `None` for a journal that records nothing.
    entries: Option<Arc<Mutex<Vec<Entry>>>>,
}

impl Journal {
    /// Creates an empty journal.
    #[must_use]
    pub fn new() -> Journal {
        Journal { origin: Instant::now(), entries: Some(Arc::default()) }
    }

    /// Creates a journal that records nothing, so that benchmarks don't
    /// measure it.
    #[must_use]
    pub fn disabled() -> Journal {
        Journal { origin: Instant::now(), entries: None }
    }

    /// Returns a copy of all entries, ordered by start.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().map_or_else(Vec::new, |entries| entries.clone())
    }

    /// Returns the number of executions with an idempotency key.
    #[must_use]
    pub fn count_by_key(&self, key: &str) -> usize {
        self.count(|entry| entry.idempotency_key.as_deref() == Some(key))
    }

    /// Returns the number of executions of a stage of a request.
    #[must_use]
    pub fn count_by_stage(&self, id: RequestId, stage: &str) -> usize {
        self.count(|entry| {
            entry.request_id == id && entry.stage.as_str() == stage
        })
    }

    /// Returns the idempotency keys that were executed more than once, sorted.
    #[must_use]
    pub fn duplicate_keys(&self) -> Vec<Arc<str>> {
        let mut seen = SortedSet::new();
        let mut repeated = SortedSet::new();
        for key in self.entries().into_iter().filter_map(|e| e.idempotency_key)
        {
            if !seen.insert(key.clone()) {
                repeated.insert(key);
            }
        }
        repeated.as_slice().to_vec()
    }

    /// Returns the executions that started on a backend server that had been
    /// leaving for longer than the grace period.
    #[must_use]
    pub fn started_while_leaving(&self, grace: Duration) -> Vec<Entry> {
        let mut entries = self.entries();
        entries.retain(|e| e.leaving_for.is_some_and(|time| time > grace));
        entries
    }

    /// Returns the time since the creation of the journal, on the same scale
    /// as [`Entry::started_at`].
    #[must_use]
    pub fn elapsed(&self) -> Duration {
        self.origin.elapsed()
    }

    fn count(&self, matches: impl Fn(&Entry) -> bool) -> usize {
        self.lock().map_or(0, |entries| {
            entries.iter().filter(|entry| matches(entry)).count()
        })
    }

    fn lock(&self) -> Option<MutexGuard<'_, Vec<Entry>>> {
        let entries = self.entries.as_ref()?;
        Some(entries.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records the start of an execution. Its end is recorded when the
    /// returned guard is dropped.
    pub(crate) fn record_start(
        &self,
        run: &RunRequest,
        idempotency_key: Option<Arc<str>>,
        server: &ServerName,
        incarnation: Incarnation,
        leaving_for: Option<Duration>,
    ) -> ExecutionGuard {
        let mut index = 0;
        if let Some(mut entries) = self.lock() {
            index = entries.len();
            entries.push(Entry {
                request_id: run.request_id,
                stage: run.stage.clone(),
                attempt: run.attempt,
                idempotency_key,
                epoch: run.epoch,
                server: server.clone(),
                incarnation,
                leaving_for,
                started_at: self.elapsed(),
                sent_tokens: 0,
                status: ExecutionStatus::Running,
            });
        }
        ExecutionGuard {
            journal: self.clone(),
            index,
            sent_tokens: 0,
            status: ExecutionStatus::Aborted,
        }
    }
}

impl Default for Journal {
    fn default() -> Journal {
        Journal::new()
    }
}

/// A running execution. Dropping the guard writes the number of tokens and
/// the status to the journal; the status is `Aborted` unless it was set.
#[derive(Debug)]
pub(crate) struct ExecutionGuard {
    journal: Journal,
    index: usize,
    pub(crate) sent_tokens: u32,
    pub(crate) status: ExecutionStatus,
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        if let Some(mut entries) = self.journal.lock()
            && let Some(entry) = entries.get_mut(self.index)
        {
            entry.sent_tokens = self.sent_tokens;
            entry.status = self.status;
        }
    }
}
