//! The stages of requests, whose pieces are batched into calls to backend
//! servers.
//!
//! Before a request runs, the stages of its route produce its inputs. A stage
//! consists of pieces, each of which gives one result. The backend server that
//! produced a result holds it until it is released, and other servers fetch it
//! by reference.
//!
//! The daemon that accepts a request asks the coordinator of a cell of servers
//! to run all of its stages ([`preparation`]). The [`coordinator`] admits
//! requests and runs the plan of each (`plan_run`); the [`batcher`]
//! batches the pieces of many requests into calls.

pub mod batcher;
pub mod cells;
pub mod coordinator;
mod costs;
mod held_results;
mod piece_group;
mod plan_run;
pub mod preparation;
pub mod prepared;
pub mod release;
