//! Errors with which an instance fails to start or stops.

use std::io;

use conf::Name;
use thiserror::Error;

/// An error with which an instance fails to start or stops.
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
    /// The operating system returned no random numbers.
    #[error("the operating system returned no random numbers: {0}")]
    Random(getrandom::Error),
    /// The replica's files cannot be opened or written.
    #[error("cannot read or write the replica's files: {0}")]
    Disk(String),
    /// The logger, the metrics recorder or the HTTP client cannot be set up.
    #[error("cannot set up {what}: {reason}")]
    Setup { what: &'static str, reason: String },
    /// An operation of the operating system failed, for example to start a thread or to install a signal handler.
    #[error("{what}: {source}")]
    Os {
        what: &'static str,
        source: io::Error,
    },
    /// The reducer's thread ended although no stop was requested.
    #[error("the reducer's thread ended unexpectedly")]
    ReducerStopped,
}
