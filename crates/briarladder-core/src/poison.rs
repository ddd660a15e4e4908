//! Requests that crash backend servers.
