//! Decision code of briarladder, without I/O.
//!
//! Functions take the current time, an input and a snapshot of the known
//! state, and return a typed outcome; the daemon's controllers do the I/O.
//! Every decision can therefore be tested and benchmarked on its own.
//!
//! # Example
//!
//! ```
//! use briarladder_core::{names::ServerName, rendezvous};
//!
//! let servers = [
//!     ServerName::new("engine-1").unwrap(),
//!     ServerName::new("engine-2").unwrap(),
//! ];
//! let first = rendezvous::first("vm-7", &servers).unwrap();
//! assert!(servers.contains(first));
//! ```

// A simulation is shared with an example, which names this crate.
#[cfg(test)]
extern crate self as briarladder_core;

pub mod admission;
pub mod clock;
pub mod config;
pub mod fleet;
pub mod ids;
pub mod ledger;
pub mod limits;
pub mod load;
pub mod membership;
pub mod names;
pub mod objects;
pub mod orders;
pub mod platform_version;
pub mod poison;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod sorted;
pub mod stream;
pub mod ticket;
pub mod timeline;
