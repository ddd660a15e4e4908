//! Fleet-wide limits of open requests.
//!
//! The limit of a workspace or caller is divided among a few home daemons,
//! the first live ones in rendezvous order of its key. Each daemon has two
//! roles. As a [`LeaseHolder`] it leases units from the homes of a limit and
//! opens requests under them. As a [`LeaseHome`] it leases out its shares of
//! limits. A unit counts only while its lease is live, so the units of a
//! daemon that dies are free again after [`LEASE_LIFETIME`].
//!
//! # Example
//!
//! ```
//! use std::{sync::Arc, time::Instant};
//!
//! use briarladder_core::{
//!     limits::{LeaseHolder, LeaseHome, LimitKey, OpenOutcome},
//!     names::{VmName, WorkspaceName},
//! };
//!
//! let now = Instant::now();
//! let vm = VmName::new("vm-1").unwrap();
//! let members: Arc<[VmName]> = Arc::from([vm.clone()]);
//! let mut home = LeaseHome::new(now, vm.clone(), Arc::clone(&members));
//! let mut holder = LeaseHolder::new(vm, members);
//! let key = LimitKey::of_workspace(WorkspaceName::new("harbour").unwrap());
//! let limit_requests = 3;
//! let outcome = holder.open(now, &key, limit_requests);
//! let OpenOutcome::RequestLease(request) = outcome else {
//!     panic!("nothing is leased yet");
//! };
//! let response = home.lease(now, &request);
//! holder.apply_response(now, &request, response);
//! let outcome = holder.open(now, &key, limit_requests);
//! assert_eq!(outcome, OpenOutcome::Opened);
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

pub use holder::LeaseHolder;
pub use home::LeaseHome;

/// The number of home daemons of one limit. With more, a refusal takes more
/// round trips; with one, its death would stop all leases of the limit.
pub const HOMES_PER_LIMIT: usize = 3;

/// How long a lease is valid without renewal.
pub const LEASE_LIFETIME: Duration = Duration::from_secs(2);

/// How often a holder renews its leases. Half the lifetime leaves time for a
/// second attempt.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// How long a holder sends no further request to a home without free units,
/// so that a flood over the limit does not become a flood of lease requests.
pub const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Identifies a limit by the workspace or caller that it applies to.
#[derive(
    Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct LimitKey {
    workspace: WorkspaceName,
    caller: Option<CallerName>,
}

impl LimitKey {
    /// Returns the key of the limit of a whole workspace.
    #[must_use]
    pub fn of_workspace(workspace: WorkspaceName) -> LimitKey {
        LimitKey { workspace, caller: None }
    }

    /// Returns the key of the limit of one caller of a workspace.
    #[must_use]
    pub fn of_caller(
        workspace: WorkspaceName,
        caller: CallerName,
    ) -> LimitKey {
        LimitKey { workspace, caller: Some(caller) }
    }

    /// Returns the home daemons in rendezvous order.
    fn homes(&self, members: &[VmName]) -> Vec<VmName> {
        // Names contain no slash, so different keys have different texts.
        let text = match &self.caller {
            Some(caller) => format!("{}/{caller}", self.workspace),
            None => self.workspace.to_string(),
        };
        let homes = rendezvous::top(&text, members, HOMES_PER_LIMIT);
        homes.into_iter().cloned().collect()
    }
}

/// Returns the share of a limit that the home at a position leases out. The
/// shares add up to the limit. A change of homes moves the remainder to other
/// homes, so a limit may be exceeded by `HOMES_PER_LIMIT - 1` until open
/// requests end.
fn home_share(limit_requests: u32, position: usize, homes: usize) -> u32 {
    let homes = u32::try_from(homes.max(1)).unwrap_or(u32::MAX);
    let position = u32::try_from(position).unwrap_or(u32::MAX);
    let extra = u32::from(position < limit_requests % homes);
    limit_requests / homes + extra
}

/// A request of a holder to a home. It states totals, not changes, so it is
/// idempotent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRequest {
    /// The home to which the request is sent.
    pub home: VmName,
    /// The daemon that sends it.
    pub holder: VmName,
    /// Identifies the limit.
    pub key: LimitKey,
    /// The fleet-wide limit.
    pub limit_requests: u32,
    /// The total of units that the holder wants to hold from this home,
    /// including those in use.
    pub units_requests: u32,
    /// The open requests that the lease has to cover.
    pub in_use_requests: u32,
}

/// The response of a home to a [`LeaseRequest`].
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeaseResponse {
    /// The holder holds this total for [`LEASE_LIFETIME`].
    Granted {
        /// The total of units leased from this home; 0 if none is free.
        units_requests: u32,
    },
    /// The home does not know all leases of its predecessor yet and grants
    /// no further units. Until it does, the holder opens requests up to an
    /// equal share of the limit, since refusing them could be wrong.
    #[serde(rename = "fresh")]
    Recovering {
        /// The total of units leased from this home.
        units_requests: u32,
    },
    /// In its membership view, the receiver is not a home of the limit.
    NotHome,
    /// No response arrived in time, or the connection failed.
    Unreachable,
}

/// The leases of one limit, sent to its new home by the home that a change of
/// members has replaced.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Handover {
    /// The new home.
    pub to: VmName,
    /// Identifies the limit.
    pub key: LimitKey,
    /// The live leases.
    pub leases: Vec<HandoverLease>,
}

/// One lease in a [`Handover`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverLease {
    /// The daemon that holds the lease.
    pub holder: VmName,
    /// The number of leased units.
    pub units_requests: u32,
    /// The time until the lease expires.
    pub remaining: Duration,
}

/// The result of opening a request under a limit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpenOutcome {
    /// The request is open and counts until [`LeaseHolder::close`].
    Opened,
    /// More units are needed. Send this request, pass the response to
    /// [`LeaseHolder::apply_response`] and open again.
    RequestLease(LeaseRequest),
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
    /// The fleet-wide limit.
    pub limit_requests: u32,
    /// The time after which a resend can be admitted at the earliest.
    pub retry_after: Duration,
}

/// The VMs of the live daemons, in any order.
pub type MemberNames = Arc<[VmName]>;
