//! The daemon of an entry VM: it accepts callers' requests, runs every stage
//! of their pipeline on backend servers, and returns the response.
//!
//! # Example
//!
//! ```no_run
//! use briarladder_daemon::{process, settings::Settings};
//! use clap::Parser;
//!
//! let settings = Settings::parse();
//! process::run(settings).unwrap();
//! ```

pub mod backend;
pub mod blackboard;
pub mod controllers;
pub mod daemon;
pub mod events;
pub mod http;
pub mod metrics;
pub mod peers;
pub mod pipeline;
pub mod process;
pub mod refusal;
pub mod settings;
