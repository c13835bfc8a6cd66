//! Stand-ins for everything outside the system: engines, plain services and the platform, and a
//! load generator.
//!
//! Every stand-in runs inside a test with `start` and as a process of its own with `serve`.
#![forbid(unsafe_code)]

pub mod arrivals;
pub mod batch;
pub mod cache;
pub mod client;
pub mod engine;
pub mod error;
pub mod load;
pub mod order;
pub mod platform;
pub mod prompt;
pub mod report;
pub mod server;
pub mod service;
mod store;

pub use error::{Error, Result};
pub use server::{End, Running};
