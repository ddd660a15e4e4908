//! The load that a backend server reports about itself.
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

/// One load report. Reports can arrive late or out of order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// The run of the backend server; it changes when the server restarts.
    pub incarnation: Incarnation,
    /// The sequence number within the incarnation; a higher one is newer.
    pub sequence: u64,
    /// Whether the backend server takes new work.
    pub state: ServerState,
    /// How many requests the backend server can run concurrently.
    pub slots_requests: u32,
    /// How many requests it is running.
    pub running_requests: u32,
    /// How many requests are queued inside the backend server.
    pub queued_requests: u32,
    /// The highest fencing token it has received in an order or request.
    #[serde(default)]
    pub epoch_seen: u64,
    /// The model versions it has loaded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub model_versions: Vec<ModelVersionName>,
}

/// Whether a backend server takes new work.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server takes new work.
    #[default]
    Ready,
    /// The server is draining: it finishes running requests and takes no
    /// new ones.
    Leaving,
}
