//! The messages that briarladder exchanges with callers, operators, backend
//! servers, the platform and peers.
//!
//! This crate contains message types and interfaces only; the processes at
//! each end implement the clients and servers. "This daemon" or "the daemon"
//! is the one that receives the request.
//!
//! An epoch is the number of a published configuration. An incarnation is one
//! run of a daemon's process.
//!
//! # Example
//!
//! ```
//! use briarladder_wire::backend::StreamEvent;
//!
//! let event = StreamEvent::Token { index: 0, text: "fold".into() };
//! let json = serde_json::to_string(&event).unwrap();
//! assert_eq!(json, r#"{"type":"token","index":0,"text":"fold"}"#);
//! ```

pub mod backend;
pub mod callers;
pub mod operators;
pub mod peers;
pub mod platform;
