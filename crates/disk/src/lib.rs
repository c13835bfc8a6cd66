//! The files of a replica: checksummed log segments and snapshots, the storage id, and sync.
//!
//! [`Store::open`] recovers what the disk holds, [`Store::write`] appends a durable write and
//! [`Store::sync`] makes all writes so far durable.
#![forbid(unsafe_code)]

mod codec;
mod error;
mod files;
mod replay;
mod segment;
mod snapshot;
mod storage_id;
mod store;

pub use error::Error;
pub use store::{Opened, Store};
