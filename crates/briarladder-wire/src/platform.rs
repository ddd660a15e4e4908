//! Messages from the platform, as JSON over HTTP.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /v1/manifest?after=E` | `Manifest`; waits up to [`WATCH_TIMEOUT`] for an epoch above `E`, then 204 |
//! | `GET /v1/chunks/{digest}` | the chunk: a JSON array of objects |
//! | `GET /v1/vms?after=V` | [`VmList`]; waits like the manifest for a version above `V` |
//!
//! # Example
//!
//! ```
//! use briarladder_wire::platform::VmList;
//!
//! let list: VmList =
//!     serde_json::from_str(r#"{"version": 1, "vms": []}"#).unwrap();
//! assert_eq!(list.version, 1);
//! ```

use std::{net::SocketAddr, time::Duration};

use briarladder_core::names::{VmName, ZoneName};
use serde::{Deserialize, Serialize};

/// The longest time that a watch waits for a change.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The platform's list of VMs. It lags behind what is so.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// Grows with each change of the list.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name: a VM's, or a backend server's.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is an entry VM or runs a backend server.
    pub kind: VmKind,
    /// Where peers reach its daemon, or daemons its backend server.
    pub address: SocketAddr,
    /// Whether it is live or about to go.
    pub state: VmState,
}

/// What a VM is for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// It runs a daemon of the system.
    Entry,
    /// It runs a backend server.
    Backend,
}

/// The platform's word on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to be stopped.
    Leaving,
}
