//! Shared support for tests of whole deployments: a deployment whose parts
//! can be killed, paused and disconnected, callers that record the results of
//! their requests, and invariants checked over these records.

pub mod caller;
pub mod cells;
pub mod fleet;
pub mod history;
pub mod invariants;
pub mod proxy;
pub mod scenario;
