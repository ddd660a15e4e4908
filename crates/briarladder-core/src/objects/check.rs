//! Finds every fault of a set of objects at once.
