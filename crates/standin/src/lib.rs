//! Stand-ins for the systems around the serving system (engines, plain services and the platform), and a load
//! generator.
//!
//! `start` runs a stand-in inside a test, and `serve` runs it as a process of its own.
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
pub use server::{ExitReason, RunningStandin};
