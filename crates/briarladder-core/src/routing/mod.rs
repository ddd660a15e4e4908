//! Which backend server runs an attempt.
