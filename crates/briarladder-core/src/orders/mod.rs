//! The desired state of engines, and who orders it.
