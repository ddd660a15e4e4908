//! How a published configuration is assembled and adopted.
