//! Membership: which daemons are live, and which backend servers take new
//! work.
//!
//! Failure detection and dissemination follow the SWIM protocol: daemons probe
//! each other directly and through peers, and probes carry gossip about state
//! changes. The platform's VM list is only a hint: it adds members, and probes
//! decide whether they are live.
//!
//! A member is identified by its VM name and its
//! [`Incarnation`](crate::ids::Incarnation). The incarnations of daemons come
//! from [`new_incarnation`], so that a restarted daemon has a higher one.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::{
//!     ids::Incarnation,
//!     membership::{Identity, Members, Seed, SeedState},
//!     names::{VmName, ZoneName},
//!     platform_version::PlatformVersion,
//! };
//! use rand::SeedableRng;
//!
//! let zone = ZoneName::new("recife-a").unwrap();
//! let identity = Identity {
//!     name: VmName::new("vm-1").unwrap(),
//!     address: "10.0.0.1:7000".parse().unwrap(),
//!     zone: zone.clone(),
//!     incarnation: Incarnation(1),
//! };
//! let now = Instant::now();
//! let mut members = Members::new(identity, now);
//! let peer = Seed {
//!     name: VmName::new("vm-2").unwrap(),
//!     address: "10.0.0.2:7000".parse().unwrap(),
//!     zone: zone.clone(),
//!     state: SeedState::Live,
//! };
//! members.apply_seeds(now, PlatformVersion { era: 1, number: 1 }, &[peer]);
//! assert_eq!(members.live_in_zone(&zone).len(), 2);
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let probe = members.next_probe(now, &mut rng).unwrap();
//! assert_eq!(probe.name.as_str(), "vm-2");
//! ```

mod gossip;
mod member;
mod members;
mod pause;
mod probe;
mod servers;
#[cfg(test)]
mod tests;

pub use gossip::{MAX_QUEUED_UPDATES, MAX_UPDATES_PER_MESSAGE};
pub use member::{
    Heartbeat, Identity, Member, MemberChange, MemberState, MemberUpdate,
    Seed, SeedState, UpdateOutcome, new_incarnation,
};
pub use members::{DEAD_RETENTION, Members, SUSPECT_TIMEOUT};
pub use pause::{
    PAUSE_THRESHOLD, Pause, PauseDetector, TICK_INTERVAL, View, ViewStatus,
};
pub use probe::{
    CROSS_ZONE_PROBE_INTERVAL, INDIRECT_PROBE_TIMEOUT, ProbeTarget,
    ZONE_PROBE_INTERVAL,
};
pub use servers::ServerStates;
