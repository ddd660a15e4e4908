//! Stand-ins for the systems around briarladder, into which faults can be
//! injected while they run. Tests, the demo and the benchmarks use them over
//! loopback.
//!
//! Each stand-in starts an HTTP server on 127.0.0.1 in the current tokio
//! runtime. It has `start`, `address` and `stop`; backend servers also have
//! `crash` and `restart`. Dropping a stand-in stops its server.
//!
//! | module | stand-in for |
//! | --- | --- |
//! | [`platform`] | the configuration service and the list of VMs |
//! | [`engine`] | a model engine |
//! | [`worker`] | an encoder, retriever or reranker |
//! | [`service`] | a plain service |
//! | [`weights`] | the weight store |
//! | [`cluster`] | all backend servers of an object set (the configuration) |
//!
//! [`fault`] defines the injected faults, [`journal`] records every execution,
//! and [`output`] computes the deterministic outputs.
//!
//! # Example
//!
//! ```
//! use briarladder_standins::platform::{Platform, PlatformSettings};
//!
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! let platform = Platform::start(PlatformSettings::default()).await?;
//! platform.publish(1, r#"{"epoch": 1, "chunks": []}"#, &[]);
//! assert!(platform.address().ip().is_loopback());
//! platform.stop().await;
//! # Ok(())
//! # }
//! ```

pub mod cluster;
pub mod engine;
pub mod fault;
pub mod journal;
mod listener;
pub mod output;
pub mod platform;
mod response;
pub mod server;
pub mod service;
mod slots;
pub mod weights;
pub mod worker;
