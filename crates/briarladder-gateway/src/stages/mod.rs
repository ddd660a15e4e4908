//! The stages of requests: collecting their pieces into calls.
//!
//! The daemon that accepts a request asks the coordinator of a cell of
//! servers for all of its stages ([`preparation`]). The [`coordinator`] lets
//! requests begin in turn and works through each plan ([`plan_run`]); the
//! [`collector`] gathers the pieces of many requests into calls.

mod batch;
pub mod cells;
pub mod collector;
pub mod coordinator;
mod costs;
mod held;
mod plan_run;
pub mod preparation;
pub mod prepared;
pub mod release;
