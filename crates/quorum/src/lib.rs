//! A replicated log: elections, log replication, linearizable reads, snapshots and membership changes.
//!
//! [`Replica`] is a pure state machine. It reads no clock and does no I/O; the caller passes the
//! time and every input to [`Replica::step`] and executes the outputs in order.
#![forbid(unsafe_code)]

mod append;
mod change;
mod election;
mod join;
mod leave;
mod log;
mod members;
pub mod message;
mod peer;
mod random;
mod read;
pub mod replica;
mod replicate;
mod snapshot;
mod writes;

pub use members::initial_storage_id;
pub use message::{
    Entry, EntryBody, Input, JoinRequest, MemberSet, Message, Output, RecoveredState, ReplicaId,
    Snapshot, Status, Write,
};
pub use replica::{Replica, ReplicaSettings};
