//! Which daemons read the configuration from the platform, and which peers
//! are notified of a new epoch.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{
//!     config::readers,
//!     names::{VmName, ZoneName},
//! };
//!
//! let zone = ZoneName::new("recife-a").unwrap();
//! let live = ["vm-1", "vm-2", "vm-3"].map(|n| VmName::new(n).unwrap());
//! assert_eq!(readers(&zone, &live).len(), 2);
//! ```

use std::time::{Duration, Instant};

use crate::{
    names::{VmName, ZoneName},
    rendezvous,
};

/// The number of daemons of a zone that watch the platform.
pub const READERS_PER_ZONE: usize = 2;

/// The number of zone peers that a daemon notifies of a new epoch. In a zone
/// of 208 daemons, a fan-out of four reaches about 98% of them; probes reach
/// the rest.
pub const NOTIFY_FANOUT: usize = 4;

/// How long a daemon must be behind before it reads from the platform itself.
pub const DIRECT_READ_DELAY: Duration = Duration::from_secs(5);

/// The reads of daemons that fall behind together are spread over this time:
/// 2,500 daemons with two calls each then make 1,250 calls a second, below
/// the platform's limit of 2,000.
const READ_SPREAD: Duration = Duration::from_secs(4);

/// The maximum backoff between two reads of a daemon that stays behind.
const MAX_READ_INTERVAL: Duration = Duration::from_secs(32);

/// Returns the daemons of a zone that watch the platform: the first two in
/// the rendezvous order for the zone's name. There can briefly be more while
/// daemons disagree about which ones are live.
#[must_use]
pub fn readers<'a>(zone: &ZoneName, live: &'a [VmName]) -> Vec<&'a VmName> {
    let mut order = rendezvous::order(zone.as_str(), live);
    order.truncate(READERS_PER_ZONE);
    order
}

/// Returns whether a daemon is one of its zone's readers.
#[must_use]
pub fn is_reader(zone: &ZoneName, live: &[VmName], vm: &VmName) -> bool {
    readers(zone, live).contains(&vm)
}

/// Returns the zone peers to notify once an epoch was adopted or rejected.
///
/// The choice differs for each daemon and each epoch, so that a dead peer
/// does not cut off the same daemons every time.
#[must_use]
pub fn notify_targets<'a>(
    vm: &VmName,
    zone_peers: &'a [VmName],
    epoch: u64,
) -> Vec<&'a VmName> {
    let others = zone_peers.iter().filter(|peer| *peer != vm);
    let mut order = rendezvous::order(&format!("{epoch}/{vm}"), others);
    order.truncate(NOTIFY_FANOUT);
    order
}

/// Schedules the reads of a daemon that is behind and has to read from the
/// platform itself.
#[derive(Debug)]
pub struct PlatformReadSchedule {
    /// This daemon's offset within [`READ_SPREAD`].
    stagger: Duration,
    /// The reads since the daemon fell behind.
    reads: u32,
    last_read_at: Option<Instant>,
}

impl PlatformReadSchedule {
    /// Creates the schedule of one daemon.
    #[must_use]
    pub fn new(vm: &VmName) -> PlatformReadSchedule {
        let hash = rendezvous::score("platform-read", vm.as_str());
        let step = u32::try_from(hash % 1_000).unwrap_or_default();
        let stagger = READ_SPREAD * step / 1_000;
        PlatformReadSchedule { stagger, reads: 0, last_read_at: None }
    }

    /// Returns when the next read is due; `None` if the daemon is not
    /// behind. The time can be in the past.
    #[must_use]
    pub fn next_read_at(
        &self,
        behind_since: Option<Instant>,
    ) -> Option<Instant> {
        let since = behind_since?;
        let first = since + DIRECT_READ_DELAY + self.stagger;
        match self.last_read_at {
            Some(last) if last >= since => {
                let backoff = READ_SPREAD * (1 << self.reads.min(4)) / 2;
                Some(last + backoff.min(MAX_READ_INTERVAL))
            }
            _ => Some(first),
        }
    }

    /// Records that a read was started.
    pub fn record_read(
        &mut self,
        behind_since: Option<Instant>,
        now: Instant,
    ) {
        let repeated = behind_since
            .is_some_and(|s| self.last_read_at.is_some_and(|l| l >= s));
        self.reads = if repeated { self.reads + 1 } else { 1 };
        self.last_read_at = Some(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn vms(count: usize) -> Vec<VmName> {
        let name = |i| VmName::new(&format!("vm-{i}")).unwrap();
        (0..count).map(name).collect()
    }

    /// Guards against a zone that has no reader after one of them dies, and
    /// against a choice that depends on the order of the list.
    #[test]
    fn readers_survive_loss() {
        let zone = ZoneName::new("recife-a").unwrap();
        let mut live = vms(9);
        let before: Vec<VmName> =
            readers(&zone, &live).into_iter().cloned().collect();
        live.reverse();
        assert_eq!(readers(&zone, &live), before.iter().collect::<Vec<_>>());
        live.retain(|vm| *vm != before[0]);
        let after = readers(&zone, &live);
        assert_eq!((after.len(), after[0]), (2, &before[1]));
        assert!(is_reader(&zone, &live, &before[1]));
        assert!(!is_reader(&zone, &live, &before[0]));
        assert_eq!(readers(&zone, &live[..1]).len(), 1);
    }

    /// Guards against notifications that miss a large part of a zone when a
    /// tenth of its daemons are dead.
    #[test]
    fn notify_reaches_zone() {
        let zone = vms(208);
        for epoch in 1..20 {
            let mut reached = vec![false; zone.len()];
            let mut pending = vec![0, 1];
            while let Some(sender) = pending.pop() {
                // Every tenth daemon is dead and notifies nobody.
                if reached[sender] || sender % 10 == 9 {
                    continue;
                }
                reached[sender] = true;
                let targets = notify_targets(&zone[sender], &zone, epoch);
                assert!(!targets.contains(&&zone[sender]));
                let index = |t| zone.iter().position(|vm| vm == t).unwrap();
                pending.extend(targets.into_iter().map(index));
            }
            let count = reached.iter().filter(|&&r| r).count();
            assert!(count >= 188 * 9 / 10, "epoch {epoch}: {count} of 188");
        }
    }

    /// Guards against daemons that read from the platform too early, all at
    /// the same time, or without backoff while it is down.
    #[test]
    fn reads_are_delayed_spread_and_backed_off() {
        let since = Instant::now();
        let mut per_second = [0; 4];
        for vm in vms(2_500) {
            let reads = PlatformReadSchedule::new(&vm);
            assert_eq!(reads.next_read_at(None), None);
            let first = reads.next_read_at(Some(since)).unwrap();
            let wait = first - (since + DIRECT_READ_DELAY);
            per_second[usize::try_from(wait.as_secs()).unwrap()] += 1;
        }
        assert!(per_second.iter().all(|&n| n < 1_000), "{per_second:?}");

        let mut reads = PlatformReadSchedule::new(&vms(1)[0]);
        let mut at = reads.next_read_at(Some(since)).unwrap();
        let mut gaps = Vec::new();
        for _ in 0..6 {
            reads.record_read(Some(since), at);
            let next = reads.next_read_at(Some(since)).unwrap();
            gaps.push((next - at).as_secs());
            at = next;
        }
        assert_eq!(gaps, [4, 8, 16, 32, 32, 32]);
        // When the daemon falls behind again, the backoff starts over.
        let behind_again = at + Duration::from_mins(1);
        let first = reads.next_read_at(Some(behind_again)).unwrap();
        assert!(first >= behind_again + DIRECT_READ_DELAY);
        reads.record_read(Some(behind_again), first);
        let next = reads.next_read_at(Some(behind_again)).unwrap();
        assert_eq!(next - first, READ_SPREAD);
    }
}
