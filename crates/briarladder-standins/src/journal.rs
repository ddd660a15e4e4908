//! The shared record of what the stand-ins actually ran.
//!
//! Clones share one record.
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

/// One started execution of a stage.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request.
    pub request_id: RequestId,
    /// The stage.
    pub stage: StageName,
    /// The attempt.
    pub attempt: u32,
    /// The idempotency key, if the request carried one.
    pub idempotency_key: Option<Arc<str>>,
    /// The epoch the request is pinned to.
    pub epoch: u64,
    /// The backend server.
    pub server: ServerName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// For a leaving backend server, how long it had been leaving when the
    /// execution started.
    pub leaving_for: Option<Duration>,
    /// The time of the start, from the creation of the journal.
    pub started_at: Duration,
    /// For generation, the tokens sent by this attempt.
    pub sent_tokens: u32,
    /// How the execution ended.
    pub status: ExecutionStatus,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionStatus {
    /// It has not ended.
    Running,
    /// It ended with its answer.
    Completed,
    /// It was cancelled through `DELETE /v1/run/{request_id}`.
    Cancelled,
    /// The connection closed or the backend server crashed.
    Aborted,
}

/// The shared record.
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

    /// Creates a journal that records nothing, for benchmarks.
    #[must_use]
    pub fn disabled() -> Journal {
        Journal { origin: Instant::now(), entries: None }
    }

    /// Returns a copy of all entries in order of their start.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().map_or_else(Vec::new, |entries| entries.clone())
    }

    /// Returns how many executions started under an idempotency key.
    #[must_use]
    pub fn count_by_key(&self, key: &str) -> usize {
        self.count(|entry| entry.idempotency_key.as_deref() == Some(key))
    }

    /// Returns how many executions of a stage started for a request.
    #[must_use]
    pub fn count_by_stage(&self, id: RequestId, stage: &str) -> usize {
        self.count(|entry| {
            entry.request_id == id && entry.stage.as_str() == stage
        })
    }

    /// Returns the idempotency keys under which more than one execution
    /// started.
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

    /// Returns the executions that started at a backend server that had
    /// been leaving for longer than the grace period.
    #[must_use]
    pub fn started_while_leaving(&self, grace: Duration) -> Vec<Entry> {
        let mut entries = self.entries();
        entries.retain(|e| e.leaving_for.is_some_and(|time| time > grace));
        entries
    }

    /// Returns the time since the creation of the journal, for comparison
    /// with [`Entry::started_at`].
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

    /// Records the start of an execution.
    pub(crate) fn start(
        &self,
        run: &RunRequest,
        idempotency_key: Option<Arc<str>>,
        server: &ServerName,
        incarnation: Incarnation,
        leaving_for: Option<Duration>,
    ) -> Record {
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
        Record {
            journal: self.clone(),
            index,
            sent_tokens: 0,
            end: ExecutionStatus::Aborted,
        }
    }
}

impl Default for Journal {
    fn default() -> Journal {
        Journal::new()
    }
}

/// A running execution. Its end is recorded when the value is dropped.
#[derive(Debug)]
pub(crate) struct Record {
    journal: Journal,
    index: usize,
    pub(crate) sent_tokens: u32,
    pub(crate) end: ExecutionStatus,
}

impl Drop for Record {
    fn drop(&mut self) {
        if let Some(mut entries) = self.journal.lock()
            && let Some(entry) = entries.get_mut(self.index)
        {
            entry.sent_tokens = self.sent_tokens;
            entry.status = self.end;
        }
    }
}
