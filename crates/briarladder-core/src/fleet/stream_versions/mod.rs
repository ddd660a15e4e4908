//! Decides at which version of its servers' software a stream may go on.
//!
//! Servers of several software versions may serve a service side by side. The
//! outputs of two versions don't fit together and servers don't check this, so
//! a stream may only go on at the version that has begun it. A caller that
//! takes up a stream names the attempt that brought its first event, at any
//! daemon.
//!
//! - [`StreamOrigins`] holds which version has begun which streams. Daemons
//!   replicate these records to some others ([`replicas`]) while more than one
//!   version may have begun streams.
//! - [`VersionHistory`] holds which versions were listed recently. If there
//!   was only one for as long as a stream may last, a stream without a record
//!   was begun by it.
//! - [`lone_versions`] names the versions that should begin no streams, since
//!   they have no second server to go on at.
//!
//! - [`sole_holder`] names the version whose engines alone keep the prompt of
//!   a stream, when no daemon has its record.
//!
//! A stream whose version can't be told is not taken up.
//!
//! # Example
//!
//! ```
//! use std::time::Instant;
//!
//! use briarladder_core::fleet::{
//!     server::{ListedServer, Servers},
//!     stream_versions::{Software, VersionHistory},
//! };
//!
//! let mut old = ListedServer::new("s-1", "plans", "10.0.0.1:80".parse()?);
//! old.software_version = "v1".into();
//! let mut new = ListedServer::new("s-2", "plans", "10.0.0.2:80".parse()?);
//! new.software_version = "v2".into();
//!
//! let now = Instant::now();
//! let mut history = VersionHistory::first_start(now);
//! let mut servers = Servers::default();
//! servers.insert(old.clone());
//! let sole = history.sole_version(now, "plans", &servers);
//! assert_eq!(sole.as_deref(), Some("v1"));
//!
//! // The old version leaves, but its streams may still be taken up.
//! servers.remove("s-1");
//! history.record_departure(now, Software::of(&old).unwrap());
//! servers.insert(new);
//! assert_eq!(history.sole_version(now, "plans", &servers), None);
//! # Ok::<(), std::net::AddrParseError>(())
//! ```

mod caches;
mod history;
mod origins;
mod placement;
mod routes;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::server::ListedServer;

pub use self::{
    caches::{CacheAnswer, CacheReport, sole_holder},
    history::{ListedVersion, VersionHistory, VersionSummary},
    origins::{MAX_ATTEMPT_BYTES, OriginNotice, StreamOrigins},
    placement::{REPLICA_COUNT, lone_versions, replicas},
    routes::{rerouted_services, resumable_services},
};

/// The longest time from the first event of a stream to a take-up of it, over
/// all attempts of its caller. It exceeds the deadlines that callers set by a
/// factor of four or more.
pub const MAX_STREAM_SPAN: Duration = Duration::from_mins(1);

/// A version of the software of a service. Versions of two services that are
/// named alike have nothing in common.
#[derive(
    Clone,
    Debug,
    Deserialize,
    Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{service}/{version}")]
pub struct Software {
    /// The service.
    pub service: Arc<str>,
    /// The version, as the platform lists it.
    pub version: Arc<str>,
}

impl Software {
    /// Returns the software of a server, if its version is known.
    #[must_use]
    pub fn of(server: &ListedServer) -> Option<Software> {
        let version = &server.software_version;
        (!version.is_empty()).then(|| Software {
            service: Arc::clone(&server.service),
            version: Arc::clone(version),
        })
    }

    /// Returns whether a server runs it.
    #[must_use]
    pub fn runs_at(&self, server: &ListedServer) -> bool {
        server.service == self.service
            && server.software_version == self.version
    }
}

/// A moment that may lie before the first instant of the clock, since another
/// daemon has told its age.
#[derive(Clone, Copy, Debug)]
struct Moment {
    told_at: Instant,
    age_then: Duration,
}

impl Moment {
    fn now(now: Instant) -> Moment {
        Moment { told_at: now, age_then: Duration::ZERO }
    }

    fn with_age(now: Instant, age: Duration) -> Moment {
        Moment { told_at: now, age_then: age }
    }

    fn age(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.told_at)
            .saturating_add(self.age_then)
    }
}

#[cfg(test)]
mod simulation;
#[cfg(test)]
mod tests;
