//! The stages of a request: asking for pieces, and collecting them.

mod batch;
pub mod collector;
mod costs;
mod duty;
pub mod preparation;
pub mod release;
