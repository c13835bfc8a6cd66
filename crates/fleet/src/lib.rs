//! Placeholder.
#![forbid(unsafe_code)]
