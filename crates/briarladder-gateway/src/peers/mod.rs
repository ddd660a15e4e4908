//! Communication between daemons: membership, coordination of stages, release
//! of results, and distribution of the store's items.
//!
//! Messages are sent over HTTP on pooled connections and not by JSON-RPC: when
//! a caller disconnects, its waiting pieces must be cancelled at the
//! coordinator. Closing the connection does that, but a pooled RPC client
//! hides it.

pub mod changes;
pub mod client;
mod crashes;
pub mod earlier_changes;
pub mod eraless_changes;
pub mod membership;
pub mod messages;
pub mod places;
pub mod server;
pub mod stream_origins;
pub mod watchdog;
