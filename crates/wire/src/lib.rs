//! Cap'n Proto encoding of messages between instances, of log entries and of snapshots.
//!
//! Generated types are used only inside this crate, except the RPC interfaces in [`peer_capnp`]. For each domain type
//! one function writes it and one function reads it.
//!
//! ```
//! let message = fleet::PeerMessage::AskConfig {
//!     token: 7,
//!     info: fleet::InstanceInfo::default(),
//! };
//! let data = wire::encode_message(&message)?;
//! assert_eq!(wire::decode_message(&data)?, message);
//! # Ok::<(), wire::Error>(())
//! ```
#![forbid(unsafe_code)]

mod command;
pub mod compression;
mod config;
mod control;
mod encoding;
mod error;
mod ledger;
mod membership;
mod message;
mod quarantine;
mod quorum;
mod reply;
mod watch;

#[allow(clippy::all)]
pub mod peer_capnp;

pub use command::{decode_proposal, encode_proposal};
pub use control::{decode_control, encode_control};
pub use encoding::{MAX_CONTROL_BYTES, MAX_ENCODED_BYTES};
pub use error::{DecodeError, EncodeError, Error};
pub use message::{decode_message, encode_message};
