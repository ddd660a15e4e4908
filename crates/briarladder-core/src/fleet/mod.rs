//! Decisions of a gateway whose configuration and servers are published by a
//! platform.
//!
//! The objects of [`crate::objects`] describe pipelines that operators publish
//! directly. A platform publishes routes, services and servers in a format of
//! its own. Its adapter decodes them into the types of this module, so the
//! same rules for routing, retries and admission apply to both sources.
//!
//! # Example
//!
//! ```
//! use briarladder_core::fleet::config::FleetConfig;
//!
//! let config = FleetConfig::default();
//! assert!(config.routes.find("shop.example", "/plans/7").is_none());
//! ```

pub mod answer_progress;
pub mod attempt;
pub mod availability;
pub mod batching;
pub mod brittle_servers;
pub mod budget;
pub mod caller_memory;
pub mod cells;
pub mod cold_start;
pub mod config;
pub mod crash_tracker;
pub mod evacuation;
pub mod event_sequence;
pub mod event_splitter;
pub mod fetch_time;
pub mod hedging;
pub mod mirror;
pub mod peers;
pub mod placement;
pub mod reconciliation;
pub mod residency;
pub mod server;
pub mod server_limits;
pub mod server_paths;
pub mod server_speed;
pub mod shutdown;
pub mod stage_admission;
pub mod stage_waits;
pub mod stages;
pub mod store_roles;
pub mod store_version;
pub mod stream_versions;
pub mod suspension;
mod token_bucket;
