//! The calls of one daemon incarnation, each run at most once.
