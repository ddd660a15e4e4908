//! Workspace limits across many daemons.
