//! The library behind the `briarladder` command. It also runs the in-process
//! deployments of the demo, the benchmarks and the tests.
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
