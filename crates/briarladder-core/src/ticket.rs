//! Tickets for calls that may not repeat.
