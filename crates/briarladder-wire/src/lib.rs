//! The messages of briarladder: what callers, backend servers, the platform
//! and peers send and receive.
//!
//! Types only; the processes at each end hold the clients and servers.
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
