//! The stages of a request: asking for pieces, and collecting them.

pub mod collector;
pub mod preparation;
pub mod release;
