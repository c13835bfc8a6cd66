//! The reason why an instance cannot start or continue.

use std::io;

use conf::Name;
use thiserror::Error;

/// The reason why an instance cannot start or continue.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener cannot bind its address.
    #[error("cannot listen on {address} ({listener}): {source}")]
    Bind {
        listener: &'static str,
        address: Name,
        source: io::Error,
    },
    /// A call to the operating system fails; `context` states what the instance cannot do.
    #[error("{context}: {source}")]
    Os {
        context: &'static str,
        source: io::Error,
    },
    /// The peer connections, the disk or the random number generator fail.
    #[error(transparent)]
    Node(#[from] node::Error),
    /// The logger cannot be set up.
    #[error("cannot set up logs: {0}")]
    Logs(String),
}

impl Error {
    /// Returns a function that converts an error of the operating system.
    pub(crate) fn os(context: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Os { context, source }
    }
}
