//! The request path between callers and a platform's backend servers.
//!
//! A gateway accepts callers' requests, selects their route, runs the pipeline
//! stages that produce their inputs, sends them to a backend server and
//! forwards the response. The decisions are made in `briarladder-core`; an
//! adapter that implements [`dialect::Dialect`] translates to the platform's
//! wire formats.
//!
//! To follow one request through the code, read [`listener`], [`request`],
//! [`request::accept`] and [`stages`] in this order.

pub mod blackboard;
pub mod body;
pub mod bounded_body;
pub mod brittle_servers;
pub mod caller_memory;
pub mod caller_progress;
pub mod caller_stream;
pub mod clock;
pub mod cold_start;
pub mod connection_end;
pub mod context;
pub mod dialect;
mod fair_stream;
pub mod in_flight;
pub mod listener;
pub mod logs;
pub mod metrics;
pub mod net;
pub mod peers;
pub mod pool;
pub mod process;
pub mod receive_buffer;
pub mod refusal;
pub mod relay;
pub mod request;
mod send_queue;
pub mod server_client;
pub mod server_limits;
pub mod settings;
pub mod stages;
pub mod store;
pub mod stream_versions;
