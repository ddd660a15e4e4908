//! Between the daemons: heartbeats, pieces to collect, releases, and what the
//! store has published.
//!
//! Messages are JSON over HTTP on connections of the process's own pool, not
//! JSON-RPC: a caller that leaves must cancel its waiting pieces at the
//! collector, which a dropped connection does and a pooled client hides.

pub mod client;
pub mod heartbeats;
pub mod messages;
pub mod server;
pub mod watchdog;
