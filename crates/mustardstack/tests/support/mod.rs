//! Commands of the scenario language and the processes that they control.

pub mod administer;
pub mod caller;
pub mod command;
pub mod condition;
pub mod instance;
pub mod lifecycle;
pub mod port;
pub mod process;
pub mod readback;
pub mod relay;
pub mod runner;
pub mod standin;
pub mod template;
pub mod wait;
pub mod workload;

/// Result of a scenario command.
pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;
