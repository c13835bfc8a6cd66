//! Stores a replica's data in files: checksummed log segments, snapshots and the storage id.
//!
//! [`Store::open`] recovers the state that the disk holds, [`Store::write`] appends a write and
//! [`Store::sync`] makes all writes so far durable.
#![forbid(unsafe_code)]

mod codec;
mod error;
mod faults;
mod files;
mod founders;
mod replay;
mod segment;
mod snapshot;
mod storage_id;
mod store;

pub use error::Error;
pub use faults::{Faults, Step};
pub use store::{OpenOptions, OpenedStore, Store};
