//! Whether an attempt may be repeated.
