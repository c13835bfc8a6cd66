//! The reducer of the self-hosted server: a state machine that makes every decision of an instance without I/O.
//!
//! [`step`] applies one event to the state at a given time and appends the resulting effects. The `node` crate turns
//! socket, timer and disk activity into events and executes the effects in order.
#![forbid(unsafe_code)]

mod admin;
mod arrival;
mod attempt;
mod control;
mod crash;
mod dispatch;
pub mod effect;
pub mod event;
mod exchange;
mod gates;
mod leader;
mod load;
mod membership;
mod outcome;
mod planning;
mod preempt;
mod proposer;
mod replica;
mod replication;
mod serve;
pub mod state;
mod watch;

pub use effect::{Component, Effect, Level, Prefill, Refusal, Sample};
pub use event::{
    AdminReply, AdminRequest, Arrival, CacheEvent, End, Event, ExchangeId, LoadReport,
    PlatformListEntry, RequestKind,
};
pub use fleet::{EngineState, ListedState, OrderAnswer};
pub use state::{InitialState, State, step};
