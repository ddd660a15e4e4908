//! The state of a backend server as one daemon observes it, for operators.

use std::{sync::Arc, time::Instant};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{
    names::ModelVersionName, objects::snapshot::ResolvedServer,
    retry::AttemptFailure, routing::Distance,
};

/// Whether a server gets new work.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ObservedState {
    /// It has reported that it accepts new work.
    #[display("ready")]
    Ready,
    /// It has not sent a report.
    #[display("not heard from")]
    Unreported,
    /// It is leaving, by its own report or by the platform's list.
    #[display("leaving")]
    Leaving,
    /// It has failed and gets no work until it responds to a probe.
    #[display("ejected")]
    Ejected,
    /// It is missing from the platform's list.
    #[display("not listed")]
    Unlisted,
}

/// A failure of a server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum ServerFailure {
    /// It did not respond to a load poll.
    #[display("no load report received")]
    Poll,
    /// An attempt failed.
    #[display("{_0}")]
    Attempt(AttemptFailure),
}

/// The last failure at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LastError {
    /// What failed.
    pub failure: ServerFailure,
    /// When it was observed.
    pub at: Instant,
}

/// The last load report of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ObservedReport {
    /// When it arrived.
    pub at: Instant,
    /// The requests that ran or waited inside the server.
    pub load_requests: u32,
    /// The requests it can run at once.
    pub slots_requests: u32,
    /// The versions that it has loaded.
    pub model_versions: Vec<ModelVersionName>,
}

/// What one daemon knows of a server.
#[derive(Clone, Debug)]
pub struct ObservedServer {
    /// The server as declared in the configuration.
    pub server: Arc<ResolvedServer>,
    /// Its distance from the daemon.
    pub distance: Distance,
    /// Whether it gets new work.
    pub state: ObservedState,
    /// Since when it gets no new work; `None` while it does.
    pub unusable_since: Option<Instant>,
    /// The attempts of this daemon in flight at the server.
    pub in_flight_requests: u32,
    /// The last load report; `None` before the first.
    pub report: Option<ObservedReport>,
    /// Since when its loaded versions differ from the declared ones; `None`
    /// while they are the same.
    pub versions_differ_since: Option<Instant>,
    /// The last failure, if there was one.
    pub last_error: Option<LastError>,
}
