//! A timeline of the events of all processes in causal order.
//!
//! Each process timestamps its events with a hybrid logical clock and keeps
//! them in a bounded buffer. Messages contain the sender's timestamp, so that
//! [`merge()`] orders a cause before its effect even if wall clocks differ.
//!
//! # Example
//!
//! ```
//! use std::time::Duration;
//!
//! use briarladder_core::{
//!     ids::Incarnation,
//!     names::VmName,
//!     timeline::{
//!         EventBuffer, EventKind, EventFilter, Hlc, ProcessId, EventSubject, merge,
//!     },
//! };
//!
//! let vm = VmName::new("vm-1").unwrap();
//! let process = ProcessId { vm, incarnation: Incarnation(7) };
//! let mut clock = Hlc::new();
//! let mut buffer = EventBuffer::new(process, 1_000);
//! let stamp = clock.tick(Duration::from_secs(5));
//! buffer.record(stamp, EventSubject::default(), EventKind::StopBegun);
//! let rows = merge(&[buffer.page(0, 100, &EventFilter::default())]);
//! assert!(rows[0].to_string().ends_with("stop begun"));
//! ```

mod buffer;
mod event;
mod hlc;
mod merge;

pub use buffer::{EventBuffer, EventPage, Gap};
pub use event::{
    Detail, Event, EventFilter, EventKind, EventSubject, ForwardResult,
    ProcessId, TimeSpan,
};
pub use hlc::{DriftError, Hlc, HlcTimestamp, MAX_DRIFT};
pub use merge::{TimelineRow, merge, render};
