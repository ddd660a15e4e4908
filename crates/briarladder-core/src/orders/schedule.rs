//! Schedules loads from the weight store.

use std::time::Duration;

use crate::{
    names::{ModelVersionName, ServerName},
    objects::snapshot::Snapshot,
    orders::{engines, find_engine, with_bases},
    rendezvous,
    sorted::{SortedMap, SortedSet},
};

/// When the load of a server may start, and how long it takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct LoadWindow {
    pub(super) start: Duration,
    pub(super) load_time: Duration,
}

/// When each engine may load, relative to the adoption of the epoch. Servers
/// load one after another, so that the fleet stays within the rate of the
/// weight store. All daemons compute the same schedule without messages.
#[derive(Clone, Debug, Default)]
pub struct LoadSchedule {
    windows: SortedMap<ServerName, LoadWindow>,
}

impl LoadSchedule {
    /// Computes the schedule of an epoch. Time is reserved for the versions
    /// that a server did not have under `previous`. Without `previous`, as
    /// on a daemon that has just started, time is reserved for all versions:
    /// loads start later than necessary, but never too early.
    #[must_use]
    pub fn new(
        snapshot: &Snapshot,
        previous: Option<&Snapshot>,
    ) -> LoadSchedule {
        let names = engines(snapshot).map(|server| server.name.clone());
        // The key contains the epoch, so that the order differs between
        // epochs and no server is always the last.
        let key = format!("load-{}", snapshot.epoch);
        let rate = u128::from(snapshot.fleet.weight_store_bytes_per_s.max(1));
        let mut windows = Vec::new();
        let mut bytes_before = 0_u128;
        for name in rendezvous::order(&key, names) {
            let bytes = load_bytes(snapshot, previous, &name);
            let start = transfer_time(bytes_before, rate);
            let load_time = transfer_time(bytes, rate);
            windows.push((name, LoadWindow { start, load_time }));
            bytes_before += bytes;
        }
        LoadSchedule { windows: windows.into_iter().collect() }
    }

    /// Returns the time after the adoption at which the load of a server may
    /// start.
    #[must_use]
    pub fn start(&self, server: &ServerName) -> Duration {
        self.window(server).start
    }

    pub(super) fn window(&self, server: &ServerName) -> LoadWindow {
        self.windows.get(server).copied().unwrap_or_default()
    }
}

/// Returns the size of the versions that a server has to load.
fn load_bytes(
    snapshot: &Snapshot,
    previous: Option<&Snapshot>,
    server: &ServerName,
) -> u128 {
    let versions = |snapshot: &Snapshot| -> SortedSet<ModelVersionName> {
        find_engine(snapshot, server)
            .map(|server| with_bases(snapshot, &server.model_versions))
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
