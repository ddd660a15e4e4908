//! Heartbeats of the daemons that coordinate cells.
//!
//! A coordinator increments a counter with each exchange and reports how long
//! a new request waits for its stages. Daemons forward the newest heartbeats,
//! also to other zones, where they are the only evidence that a coordinator is
//! alive.
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::{Duration, Instant}};
//!
//! use briarladder_core::fleet::peers::heartbeats::{
//!     CoordinatorHeartbeat, HeartbeatTable,
//! };
//!
//! let now = Instant::now();
//! let mut heartbeats = HeartbeatTable::default();
//! let heartbeat = CoordinatorHeartbeat {
//!     name: Arc::from("vm-1"),
//!     incarnation: 1,
//!     count: 4,
//!     wait_ms: 30,
//!     age_ms: 200,
//! };
//! heartbeats.merge(now, &[heartbeat]);
//! let wait = heartbeats.wait(now, "vm-1");
//! assert_eq!(wait, Some(Duration::from_millis(30)));
//! let later = now + Duration::from_secs(9);
//! assert_eq!(heartbeats.wait(later, "vm-1"), None);
//! ```

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::sorted::SortedMap;

/// How long a heartbeat counts as evidence. Between zones one takes about 2 s.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a heartbeat is forwarded.
const FORWARD_DURATION: Duration = Duration::from_secs(3);

/// Maximum number of heartbeats in one message.
pub const MAX_HEARTBEATS: usize = 16;

/// The heartbeat of a coordinator.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CoordinatorHeartbeat {
    /// The VM.
    pub name: Arc<str>,
    /// Incarnation of its process.
    pub incarnation: u64,
    /// Increases with each heartbeat.
    pub count: u64,
    /// How long a new request waits for its stages, in milliseconds.
    pub wait_ms: u32,
    /// Age of the heartbeat, in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    heartbeat: CoordinatorHeartbeat,
    sent_at: Instant,
}

impl ReceivedHeartbeat {
    fn age(&self, now: Instant) -> Duration {
        now.duration_since(self.sent_at)
    }
}

/// The newest heartbeat of each coordinator.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatTable {
    by_name: SortedMap<Arc<str>, ReceivedHeartbeat>,
}

impl HeartbeatTable {
    /// Merges heartbeats from another daemon.
    pub fn merge(
        &mut self,
        now: Instant,
        heartbeats: &[CoordinatorHeartbeat],
    ) {
        for heartbeat in heartbeats {
            let newer =
                self.by_name.get(&*heartbeat.name).is_none_or(|known| {
                    (heartbeat.incarnation, heartbeat.count)
                        > (known.heartbeat.incarnation, known.heartbeat.count)
                });
            let age = Duration::from_millis(heartbeat.age_ms.into());
            let sent_at = now.checked_sub(age);
            if let (true, Some(sent_at)) = (newer, sent_at) {
                let received = ReceivedHeartbeat {
                    heartbeat: heartbeat.clone(),
                    sent_at,
                };
                self.by_name.insert(Arc::clone(&heartbeat.name), received);
            }
        }
    }

    /// Records a wait that a coordinator reported outside its heartbeats.
    pub fn record_wait(&mut self, now: Instant, name: &str, wait_ms: u32) {
        if let Some(received) = self.by_name.get_mut(name) {
            received.heartbeat.wait_ms = wait_ms;
            received.sent_at = now;
        }
    }

    /// Returns the counter of a coordinator's newest heartbeat; 0 if there is
    /// none.
    #[must_use]
    pub fn count_of(&self, name: &str) -> u64 {
        self.by_name.get(name).map_or(0, |received| received.heartbeat.count)
    }

    /// Returns the wait at a coordinator, or `None` if it has not been heard
    /// from lately.
    #[must_use]
    pub fn wait(&self, now: Instant, name: &str) -> Option<Duration> {
        let received = self.by_name.get(name)?;
        let fresh = received.age(now) < HEARTBEAT_TIMEOUT;
        fresh.then(|| Duration::from_millis(received.heartbeat.wait_ms.into()))
    }

    /// Returns the newest heartbeats for a message.
    #[must_use]
    pub fn newest(&self, now: Instant) -> Vec<CoordinatorHeartbeat> {
        let mut heartbeats: Vec<CoordinatorHeartbeat> = self
            .by_name
            .values()
            .filter(|received| received.age(now) < FORWARD_DURATION)
            .map(|received| {
                let age = received.age(now).as_millis();
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                CoordinatorHeartbeat { age_ms, ..received.heartbeat.clone() }
            })
            .collect();
        heartbeats.sort_by_key(|heartbeat| heartbeat.age_ms);
        heartbeats.truncate(MAX_HEARTBEATS);
        heartbeats
    }

    /// Forgets coordinators that have not been heard from lately.
    pub fn expire(&mut self, now: Instant) {
        self.by_name
            .retain(|_, received| received.age(now) < HEARTBEAT_TIMEOUT);
    }
}
