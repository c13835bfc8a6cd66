//! The runtime of an instance: the listeners, HTTP clients, RPC, disk writes and timers that feed events to the reducer
//! and execute its effects.
#![forbid(unsafe_code)]

mod admin;
mod body;
mod caller;
pub mod chat;
pub mod clock;
mod counters;
mod effects;
mod engine;
mod error;
mod exchange;
pub mod gated;
mod headers;
mod instance;
mod listener;
mod logs;
pub mod peer;
pub mod persist;
mod prefill;
pub mod probe;
pub mod prompt;
pub mod queue;
mod reactor;
pub mod refusal;
mod reply;
mod shutdown;
pub mod sse;
pub mod telemetry;
mod upstream;
pub mod view;

pub use error::Error;
pub use instance::{Instance, run, serve};
pub use reactor::{MakeStep, Step};
pub use shutdown::{ShutdownSignal, ShutdownTrigger, shutdown};
