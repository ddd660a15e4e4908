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

pub mod attempt;
pub mod bars;
pub mod budget;
pub mod cells;
pub mod collect;
pub mod config;
pub mod crashers;
pub mod entry;
pub mod events;
pub mod fetching;
pub mod mirror;
pub mod peers;
pub mod placement;
pub mod readers;
pub mod server;
pub mod stages;
pub mod stopping;
pub mod suspension;
