//! What the parts of the daemon share: one owner a section, and readers that
//! take a consistent snapshot without waiting.
//!
//! | section | owner |
//! | --- | --- |
//! | configuration | `controllers::config` |
//! | phase | `shutdown` |
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
use briarladder_core::{objects::snapshot::Snapshot, ticket::Keys};

/// The configuration in force.
#[derive(Clone, Debug)]
pub struct Configuration {
    /// The resolved objects; absent until the first set is adopted.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The keys that authenticate tickets.
    pub keys: Keys,
    /// Why the daemon is not ready or does not follow, for operators.
    pub problem: Option<Arc<str>>,
    /// Since when, as time since the Unix epoch. Absent without a problem
    /// and for the one at start.
    pub problem_since: Option<Duration>,
    /// The lowest epoch that may be in force.
    pub floor_epoch: u64,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Phase {
    /// No stop is planned.
    Running,
    /// Not ready any more, so that the balancer sends elsewhere; requests
    /// that still arrive are served.
    Announced,
    /// New requests are refused; open ones end.
    Draining,
}

/// The shared sections.
#[derive(Debug)]
pub struct Blackboard {
    configuration: ArcSwap<Configuration>,
    phase: ArcSwap<Phase>,
}

impl Blackboard {
    /// Creates a blackboard without a configuration.
    #[must_use]
    pub fn new() -> Blackboard {
        let configuration = Configuration {
            snapshot: None,
            keys: Keys::new([]),
            problem: Some(Arc::from("no configuration was read yet")),
            problem_since: None,
            floor_epoch: 0,
        };
        Blackboard {
            configuration: ArcSwap::from_pointee(configuration),
            phase: ArcSwap::from_pointee(Phase::Running),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Guard<Arc<Configuration>> {
        self.configuration.load()
    }

    /// Replaces the configuration by what follows from it; `None` leaves it.
    /// Only its owner calls this. Several tasks of the owner may do so at
    /// once, so `next` runs again if another one came between: a write that
    /// follows from an older read would put an older epoch in force.
    pub fn update_configuration(
        &self,
        next: impl Fn(&Configuration) -> Option<Configuration>,
    ) {
        self.configuration.rcu(|before| {
            next(before).map_or_else(|| Arc::clone(before), Arc::new)
        });
    }

    /// Returns how far a planned stop has come.
    #[must_use]
    pub fn phase(&self) -> Phase {
        **self.phase.load()
    }

    /// Sets how far a planned stop has come. Only its owner calls this.
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

    /// Guards against a write that undoes another one made since its read:
    /// a daemon then served an old epoch until the next change.
    #[test]
    fn update_configuration_keeps_write_between() {
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
