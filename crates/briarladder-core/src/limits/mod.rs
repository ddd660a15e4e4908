//! Limits of open requests over many daemons.
//!
//! A limit of a workspace or caller is divided over a few home daemons, the
//! first live ones in rendezvous order of its key. Each daemon is a
//! [`Holder`] that opens requests under units leased from the homes, and a
//! [`Home`] that leases its part of the limits of others. A unit counts only
//! while its lease is live, so a daemon that dies returns its units after
//! [`LEASE_LIFETIME`].
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::Instant};
//!
//! use briarladder_core::{
//!     limits::{Holder, Home, LimitKey, Opening},
//!     names::{VmName, WorkspaceName},
//! };
//!
//! let now = Instant::now();
//! let vm = VmName::new("vm-1").unwrap();
//! let members: Arc<[VmName]> = Arc::from([vm.clone()]);
//! let mut home = Home::new(now, vm.clone(), Arc::clone(&members));
//! let mut holder = Holder::new(vm, members);
//! let key = LimitKey::of_workspace(WorkspaceName::new("harbour").unwrap());
//! let limit_requests = 3;
//! let Opening::Ask(ask) = holder.open(now, &key, limit_requests) else {
//!     panic!("nothing is leased yet");
//! };
//! let answer = home.lease(now, &ask);
//! holder.answer(now, &ask, answer);
//! let opening = holder.open(now, &key, limit_requests);
//! assert_eq!(opening, Opening::Opened);
//! ```

use std::{sync::Arc, time::Duration};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    names::{CallerName, VmName, WorkspaceName},
    rendezvous,
};

mod holder;
mod home;
#[cfg(test)]
mod tests;

pub use holder::Holder;
pub use home::Home;

/// The home daemons of one limit. With more, a refusal needs more round
/// trips; with one, its loss would stop all leases of the limit.
pub const HOMES: usize = 3;

/// How long a lease counts without renewal.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(2);

/// When a holder renews its leases. Half the lifetime leaves time for a
/// second attempt.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a holder does not ask a home again that had no units, so that a
/// flood over the limit does not become a flood of lease requests.
pub const REFUSAL_MEMORY: Duration = Duration::from_millis(50);

/// What a limit applies to.
#[derive(
    Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LimitKey {
    workspace: WorkspaceName,
    caller: Option<CallerName>,
}

impl LimitKey {
    /// The limit of a whole workspace.
    #[must_use]
    pub fn of_workspace(workspace: WorkspaceName) -> LimitKey {
        LimitKey { workspace, caller: None }
    }

    /// The limit of one caller of a workspace.
    #[must_use]
    pub fn of_caller(
        workspace: WorkspaceName,
        caller: CallerName,
    ) -> LimitKey {
        LimitKey { workspace, caller: Some(caller) }
    }

    /// Returns the home daemons, in order.
    fn homes(&self, members: &[VmName]) -> Vec<VmName> {
        // Names contain no slash, so two keys never have the same text.
        let text = match &self.caller {
            Some(caller) => format!("{}/{caller}", self.workspace),
            None => self.workspace.to_string(),
        };
        let homes = rendezvous::top(&text, members, HOMES);
        homes.into_iter().cloned().collect()
    }
}

/// Returns the part of a limit that the home at a position leases out. The
/// parts add up to the limit. A change of homes moves the extra units, so
/// until open requests end a limit may be exceeded by `HOMES - 1`.
fn part_of_limit(limit_requests: u32, position: usize, homes: usize) -> u32 {
    let homes = u32::try_from(homes.max(1)).unwrap_or(u32::MAX);
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    let extra = u32::from(position < limit_requests % homes);
    limit_requests / homes + extra
}

/// A holder's request to a home. It states totals, so that a repeated
/// request changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The home that is asked.
    pub home: VmName,
    /// The daemon that asks.
    pub holder: VmName,
    /// The limit.
    pub key: LimitKey,
    /// The limit over the fleet.
    pub limit_requests: u32,
    /// The units it wants to hold from this home, of which
    /// `in_use_requests` are in use.
    pub units_requests: u32,
    /// The open requests that the lease has to cover.
    pub in_use_requests: u32,
}

/// A home's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseAnswer {
    /// The holder now holds this total for [`LEASE_LIFETIME`].
    Granted {
        /// The total held from this home; 0 if nothing is free.
        units_requests: u32,
    },
    /// The home waits for the leases of its predecessor and grants nothing
    /// new. The holder meanwhile opens by its share of a division, because
    /// requests refused for want of knowledge are refused falsely.
    Fresh {
        /// The total held from this home.
        units_requests: u32,
    },
    /// The home is not one of the limit's homes in its view.
    NotHome,
    /// No answer arrived in time, or the connection failed.
    Unreachable,
}

/// The leases of one limit, sent by a home that a change of members has
/// replaced to the home that replaces it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The new home.
    pub to: VmName,
    /// The limit.
    pub key: LimitKey,
    /// The live leases.
    pub leases: Vec<HandedLease>,
}

/// One lease in a [`Handover`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandedLease {
    /// The daemon that holds it.
    pub holder: VmName,
    /// The units it holds.
    pub units_requests: u32,
    /// How long they still count.
    pub remaining: Duration,
}

/// Whether a request may be opened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Opening {
    /// It is open and counted until [`Holder::close`].
    Opened,
    /// Send this, pass the answer to [`Holder::answer`] and open again.
    Ask(LeaseRequest),
    /// The limit is reached.
    Refused(LimitReached),
}

/// The limit of open requests is reached.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
#[display(
    "the limit of {limit_requests} open requests is reached; resend when \
     one has finished"
)]
pub struct LimitReached {
    /// The limit over the fleet.
    pub limit_requests: u32,
    /// The earliest time at which a resend can be admitted.
    pub retry_after: Duration,
}

/// The live daemons, sorted or not; the order does not matter.
pub type Members = Arc<[VmName]>;
