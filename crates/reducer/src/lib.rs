//! The reducer: every decision of an instance, as a pure function over events.
//!
//! [`step`] takes the state, the time and one event, and appends effects. The `node` crate turns
//! sockets, timers and disks into events and carries the effects out in order.
#![forbid(unsafe_code)]

pub mod effect;
pub mod event;
pub mod state;

pub use effect::{Effect, Level, Part, Refusal, Sample};
pub use event::{
    AdminReply, AdminRequest, Arrival, CacheEvent, End, EngineState, Event, ExchangeId, Listed,
    ListedState, LoadReport, OrderAnswer, Work,
};
pub use state::{Start, State, step};
