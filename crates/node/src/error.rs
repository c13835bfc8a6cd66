//! Why an instance cannot start or go on.

use std::io;

use conf::Name;
use thiserror::Error;

/// Why an instance cannot start or go on.
#[derive(Debug, Error)]
pub enum Error {
    /// An address in the settings is not an IP address and port.
    #[error("{setting} = {value:?} is not an IP address and port")]
    Address { setting: &'static str, value: Name },
    /// A listener cannot be opened.
    #[error("cannot listen on {address} ({setting}): {source}")]
    Bind {
        setting: &'static str,
        address: Name,
        source: io::Error,
    },
    /// A file that holds a secret cannot be read or is empty.
    #[error("cannot read {setting} {path}: {source}")]
    Secret {
        setting: &'static str,
        path: Name,
        source: io::Error,
    },
    /// The operating system gives no random numbers.
    #[error("no random numbers: {0}")]
    Random(getrandom::Error),
    /// The replica's files cannot be opened or written.
    #[error("disk: {0}")]
    Disk(String),
    /// Logs or metrics cannot be set up.
    #[error("cannot set up {what}: {reason}")]
    Setup { what: &'static str, reason: String },
    /// A thread or signal handler cannot be set up.
    #[error("{what}: {source}")]
    Os {
        what: &'static str,
        source: io::Error,
    },
    /// The reducer's thread has ended unexpectedly.
    #[error("the reducer has stopped unexpectedly")]
    ReducerStopped,
}
