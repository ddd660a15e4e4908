//! Messages of the platform, as JSON over HTTP.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /v1/manifest?after=E` | `Manifest`; waits up to [`WATCH_TIMEOUT`] for an epoch above `E`, then 204 |
//! | `GET /v1/chunks/{digest}` | the chunk: a JSON array of objects |
//! | `GET /v1/vms?after=V` | [`VmList`]; waits like the manifest for a version above `V` |
//!
//! # Restores
//!
//! The platform may be restored from an earlier copy. Epochs and versions that
//! it gave out since are lost then, and are given out again, so they can only
//! be compared within one era. Each response names the era in [`ERA_HEADER`].
//! It starts at 1 and rises by one with each restore, so it must be kept
//! outside of the copy.
//!
//! A watch may name the era of its `after`, as in `?after=V&era=R`. If the
//! platform is in another era, now or while the watch waits, it responds at
//! once with the current value, or with 204 if there is none.
//!
//! A platform without the header is never told an era. Its epochs and versions
//! must not go back.
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

/// The maximum time for which the platform holds a watch request open.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(20);

/// The header with the era of the platform, in each of its responses.
pub const ERA_HEADER: &str = "briarladder-platform-era";

/// The platform's list of VMs. It may lag behind the actual VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// The version of the list, which increases with each change of the list
    /// within an era.
    pub version: u64,
    /// The VMs.
    pub vms: Vec<Vm>,
}

/// A VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Vm {
    /// The name of the VM, or of the backend server that runs on it.
    pub name: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it is an entry VM or runs a backend server.
    pub kind: VmKind,
    /// The address at which its daemon serves peers, or its backend server
    /// accepts requests.
    pub address: SocketAddr,
    /// Whether it is running or about to be stopped.
    pub state: VmState,
}

/// The purpose of a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmKind {
    /// The VM runs a briarladder daemon.
    Entry,
    /// The VM runs a backend server.
    Backend,
}

/// The state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}
