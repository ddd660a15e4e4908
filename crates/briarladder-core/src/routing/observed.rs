//! What one daemon knows of a backend server, for operators.

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
pub enum SeenState {
    /// It reported that it takes new work.
    #[display("ready")]
    Ready,
    /// It was never heard from.
    #[display("not heard from")]
    Unreported,
    /// It said that it leaves, or the platform's list does.
    #[display("leaving")]
    Leaving,
    /// It failed and is probed until it answers.
    #[display("ejected")]
    Ejected,
    /// The platform's list does not name it.
    #[display("not listed")]
    Unlisted,
}

/// What went wrong at a server.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum SeenFailure {
    /// It gave no load report.
    #[display("it gave no load report")]
    Poll,
    /// An attempt failed.
    #[display("{_0}")]
    Attempt(AttemptFailure),
}

/// The last failure at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SeenError {
    /// What went wrong.
    pub failure: SeenFailure,
    /// When.
    pub at: Instant,
}

/// The last load report of a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeenReport {
    /// When it arrived.
    pub at: Instant,
    /// The requests that ran or waited inside the server.
    pub load_requests: u32,
    /// The requests it can run at once.
    pub slots_requests: u32,
    /// The versions it has loaded.
    pub model_versions: Vec<ModelVersionName>,
}

/// One server in view.
#[derive(Clone, Debug)]
pub struct SeenServer {
    /// The server as declared.
    pub server: Arc<ResolvedServer>,
    /// How far it is.
    pub distance: Distance,
    /// Whether it gets new work.
    pub state: SeenState,
    /// Since when it gets no new work; `None` while it does.
    pub out_since: Option<Instant>,
    /// The attempts of this daemon that it runs.
    pub in_flight_requests: u32,
    /// The last report.
    pub report: Option<SeenReport>,
    /// Since when its loaded versions differ from the declared ones.
    pub versions_differ_since: Option<Instant>,
    /// The last failure.
    pub last_error: Option<SeenError>,
}
