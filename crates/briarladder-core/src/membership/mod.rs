//! Which daemons are live.
