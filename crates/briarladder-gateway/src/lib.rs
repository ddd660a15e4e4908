//! The request path of briarladder in front of a platform's backend servers.
//!
//! A gateway accepts callers' requests, finds their route, runs the stages
//! before them, sends them to a backend server and passes the answer on. What
//! is decided is in `briarladder-core`; how the platform spells it is in an
//! adapter that implements [`dialect::Dialect`].
//!
//! The path of one request reads in this order: [`listener`], [`request`],
//! [`request::accept`], [`stages`], and the sending to a server.

pub mod board;
pub mod body;
pub mod clock;
pub mod context;
pub mod dialect;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod peers;
pub mod pool;
pub mod process;
pub mod refusal;
pub mod request;
pub mod settings;
pub mod stages;
pub mod store;
