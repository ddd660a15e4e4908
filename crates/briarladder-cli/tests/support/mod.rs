//! What the tests of whole deployments share: a deployment whose parts can
//! be killed, paused and cut off, callers that record what they saw, and
//! the invariants that hold over the records.

pub mod caller;
pub mod cells;
pub mod fleet;
pub mod history;
pub mod invariants;
pub mod proxy;
pub mod scenario;
