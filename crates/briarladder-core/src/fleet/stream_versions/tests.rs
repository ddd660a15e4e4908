//! Tests of the versions of streams.
