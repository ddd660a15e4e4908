//! Decisions of a gateway whose configuration and servers are published by a
//! platform.
//!
//! The objects of [`crate::objects`] describe pipelines that operators of this
//! product publish. A platform publishes routes, services and servers in its
//! own words; its adapter decodes them into the types of this module, and the
//! same rules of routing, repetition and admission apply to both.
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
