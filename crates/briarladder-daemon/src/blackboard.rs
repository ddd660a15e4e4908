//! State that all tasks of the daemon read: the configuration in force and
//! the shutdown phase. Each field has one writer; reads take no lock and see
//! a consistent value.
//!
//! | field | writer |
//! | --- | --- |
//! | configuration | `controllers::config` |
//! | phase | `process` |
//!
//! # Example
//!
//! ```
//! use briarladder_daemon::blackboard::{Blackboard, Phase};
//!
//! let blackboard = Blackboard::new();
//! assert_eq!(blackboard.phase(), Phase::Running);
//! assert!(blackboard.configuration().snapshot.is_none());
//! ```

use std::{sync::Arc, time::Duration};

use arc_swap::{ArcSwap, Guard};
use briarladder_core::{objects::snapshot::Snapshot, ticket::TicketKeyring};

/// The configuration in force and its status.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The resolved objects; absent until the first set is adopted.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The keys that sign and verify tickets.
    pub keys: TicketKeyring,
    /// Why the daemon is not ready or did not adopt a newer configuration.
    /// Shown to operators.
    pub problem: Option<Arc<str>>,
    /// When the problem began, as time since the Unix epoch. Absent without
    /// a problem and for the one that every daemon starts with.
    pub problem_since: Option<Duration>,
    /// The lowest epoch that may be put in force, so that a configuration
    /// never reverts.
    pub floor_epoch: u64,
}

/// The phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No shutdown has started.
    Running,
    /// The daemon reports not ready, so that the load balancer removes it,
    /// and still serves the requests that arrive.
    Announced,
    /// New requests are refused; open ones are completed.
    Draining,
}

/// State that all tasks of the daemon read.
#[derive(Debug)]
pub struct Blackboard {
    configuration: ArcSwap<Configuration>,
    phase: ArcSwap<Phase>,
}

impl Blackboard {
    /// Creates the state of a starting daemon, without a configuration.
    #[must_use]
    pub fn new() -> Blackboard {
        let configuration = Configuration {
            snapshot: None,
            keys: TicketKeyring::new([]),
            problem: Some(Arc::from("no configuration was read yet")),
            problem_since: None,
            floor_epoch: 0,
        };
        Blackboard {
            configuration: ArcSwap::from_pointee(configuration),
            phase: ArcSwap::from_pointee(Phase::Running),
        }
    }

    /// Returns the configuration in force and its status.
    #[must_use]
    pub fn configuration(&self) -> Guard<Arc<Configuration>> {
        self.configuration.load()
    }

    /// Replaces the configuration by the result of `next`, or leaves it if
    /// that is `None`. Only `controllers::config` calls this, from several
    /// tasks. If another task writes in the meantime, `next` runs again on
    /// the new value: a result computed from an outdated one could put an
    /// older epoch in force.
    pub fn update_configuration(
        &self,
        next: impl Fn(&Configuration) -> Option<Configuration>,
    ) {
        self.configuration.rcu(|before| {
            next(before).map_or_else(|| Arc::clone(before), Arc::new)
        });
    }

    /// Returns the phase of the shutdown.
    #[must_use]
    pub fn phase(&self) -> Phase {
        **self.phase.load()
    }

    /// Sets the phase of the shutdown. Only `process` calls this.
    pub fn set_phase(&self, phase: Phase) {
        self.phase.store(Arc::new(phase));
    }
}

impl Default for Blackboard {
    fn default() -> Blackboard {
        Blackboard::new()
    }
}

#[cfg(test)]
mod tests {
    use std::cell::Cell;

    use super::*;

    fn with_floor(before: &Configuration, floor: u64) -> Configuration {
        Configuration { floor_epoch: floor, ..before.clone() }
    }

    /// Guards against lost updates: a write that undid a concurrent one made
    /// the daemon serve an old epoch until the next change.
    #[test]
    fn update_configuration_keeps_concurrent_write() {
        let blackboard = Blackboard::new();
        let interrupted = Cell::new(false);
        blackboard.update_configuration(|before| {
            if !interrupted.replace(true) {
                blackboard
                    .update_configuration(|other| Some(with_floor(other, 7)));
            }
            Some(Configuration { problem: None, ..before.clone() })
        });
        let configuration = blackboard.configuration();
        assert_eq!(configuration.floor_epoch, 7);
        assert_eq!(configuration.problem, None);
    }
}
