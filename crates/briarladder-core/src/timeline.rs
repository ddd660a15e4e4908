//! Events of all processes in causal order.
