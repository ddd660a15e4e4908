//! Between the daemons: who is alive, stages to coordinate, releases, and
//! what the store has published.
//!
//! Messages go over HTTP on connections of the process's own pool, not over
//! JSON-RPC: a caller that leaves must cancel its waiting pieces at the
//! coordinator, which a dropped connection does and a pooled client hides.

pub mod changes;
pub mod client;
pub mod membership;
pub mod messages;
pub mod server;
pub mod watchdog;
