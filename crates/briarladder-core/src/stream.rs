//! The token sequence of one generation across several engines.
