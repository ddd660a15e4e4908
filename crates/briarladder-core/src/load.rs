//! What a backend server says of its own load.
//!
//! # Example
//!
//! ```
//! use briarladder_core::load::{LoadReport, ServerState};
//!
//! let report: LoadReport = serde_json::from_str(
//!     r#"{"incarnation": "00000000000000aa", "sequence": 3,
//!         "state": "ready", "slots_requests": 8, "running_requests": 2,
//!         "queued_requests": 0}"#,
//! )
//! .unwrap();
//! assert_eq!(report.state, ServerState::Ready);
//! ```

use serde::{Deserialize, Serialize};

use crate::{ids::Incarnation, names::ModelVersionName};

/// One load report. Reports may arrive late or out of order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Changes when the backend server restarts.
    pub incarnation: Incarnation,
    /// Counts the reports of one incarnation; a higher one is newer.
    pub sequence: u64,
    /// Whether the backend server takes new work.
    pub state: ServerState,
    /// The requests it can run at once.
    pub slots_requests: u32,
    /// The requests it is running.
    pub running_requests: u32,
    /// The requests that wait inside the backend server.
    pub queued_requests: u32,
    /// The highest fencing token it has seen in an order or request.
    #[serde(default)]
    pub epoch_seen: u64,
    /// The versions it has loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model_versions: Vec<ModelVersionName>,
}

/// Whether a backend server takes new work.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// It takes new work.
    #[default]
    Ready,
    /// It ends what it runs and takes no new work.
    Leaving,
}
