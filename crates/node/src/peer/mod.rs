//! Sends messages to other instances and receives messages from them, over Cap'n Proto RPC.
//!
//! RPC objects cannot move between threads, so all connections to and from other instances run on the reducer's thread.

pub mod incoming;
pub mod outgoing;
pub mod proof;

/// Largest RPC message, in bytes: one encoded peer message and the RPC envelope around it.
const MAX_RPC_BYTES: usize = wire::MAX_ENCODED_BYTES + 64 * 1024;

/// Size of a word of Cap'n Proto, in bytes.
const WORD_BYTES: usize = 8;

fn reader_options() -> capnp::message::ReaderOptions {
    let mut options = capnp::message::ReaderOptions::new();
    options.traversal_limit_in_words(Some(MAX_RPC_BYTES / WORD_BYTES));
    options
}
