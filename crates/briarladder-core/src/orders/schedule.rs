//! Pacing of loads from the weight store.

use std::time::Duration;

use crate::{
    names::{ModelVersionName, ServerName},
    objects::snapshot::Snapshot,
    orders::{engines, find, with_bases},
    rendezvous,
    sorted::{SortedMap, SortedSet},
};

/// When a server's load may start, and how long it takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Slot {
    pub(super) start: Duration,
    pub(super) length: Duration,
}

/// When each engine may load, counted from the adoption of the epoch. All
/// daemons compute the same schedule without exchanging messages; servers
/// load one after another, so that the fleet keeps the weight store's rate.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    slots: SortedMap<ServerName, Slot>,
}

impl LoadSchedule {
    /// Computes the schedule of an epoch. Only versions that a server did
    /// not have under `previous` take time. Without `previous`, as on a
    /// fresh daemon, all versions do: loads start later than necessary,
    /// never earlier.
    #[must_use]
    pub fn new(
        snapshot: &Snapshot,
        previous: Option<&Snapshot>,
    ) -> LoadSchedule {
        let names = engines(snapshot).map(|server| server.name.clone());
        // The epoch in the key keeps a server from always being the last.
        let key = format!("load-{}", snapshot.epoch);
        let rate = u128::from(snapshot.fleet.weight_store_bytes_per_s.max(1));
        let mut slots = Vec::new();
        let mut bytes_before = 0_u128;
        for name in rendezvous::order(&key, names) {
            let bytes = load_bytes(snapshot, previous, &name);
            let start = transfer_time(bytes_before, rate);
            let length = transfer_time(bytes, rate);
            slots.push((name, Slot { start, length }));
            bytes_before += bytes;
        }
        LoadSchedule { slots: slots.into_iter().collect() }
    }

    /// Returns when a server's load may start after the adoption.
    #[must_use]
    pub fn start(&self, server: &ServerName) -> Duration {
        self.slot(server).start
    }

    pub(super) fn slot(&self, server: &ServerName) -> Slot {
        self.slots.get(server).copied().unwrap_or_default()
    }
}

fn load_bytes(
    snapshot: &Snapshot,
    previous: Option<&Snapshot>,
    server: &ServerName,
) -> u128 {
    let versions = |of: &Snapshot| -> SortedSet<ModelVersionName> {
        find(of, server)
            .map(|server| with_bases(of, &server.model_versions))
            .unwrap_or_default()
    };
    let had = previous.map(versions).unwrap_or_default();
    versions(snapshot)
        .iter()
        .filter(|version| !had.contains(*version))
        .filter_map(|version| snapshot.model_versions.get(version))
        .map(|version| u128::from(version.weights_bytes))
        .sum()
}

fn transfer_time(bytes: u128, bytes_per_s: u128) -> Duration {
    let ms = bytes * 1_000 / bytes_per_s;
    Duration::from_millis(u64::try_from(ms).unwrap_or(u64::MAX))
}
