//! The operators' command, and the deployments in one process that the demo,
//! the benchmarks and the tests run.
//!
//! # Example
//!
//! ```
//! use briarladder_cli::samples::Sample;
//!
//! assert!(Sample::Kandyan.objects().is_ok());
//! ```

pub mod bench;
pub mod demo;
pub mod fleet;
pub mod follow;
pub mod operators;
pub mod samples;
