//! The reducer: every decision of an instance, as a pure function over events.
//!
//! [`step`] takes the state, the time and one event, and appends effects. The `node` crate turns
//! sockets, timers and disks into events and carries the effects out in order.
#![forbid(unsafe_code)]

mod admin;
mod arrival;
mod attempt;
mod control;
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

pub use effect::{Effect, Level, Part, Prefill, Refusal, Sample};
pub use event::{
    AdminReply, AdminRequest, Arrival, CacheEvent, End, Event, ExchangeId, Listed, LoadReport, Work,
};
pub use fleet::{EngineState, ListedState, OrderAnswer};
pub use state::{Start, State, step};
