//! Why an instance cannot start or go on.

use std::io;

use conf::Name;
use thiserror::Error;

/// Why an instance cannot start or go on.
#[derive(Debug, Error)]
pub enum Error {
    /// A listener cannot be opened.
    #[error("cannot listen on {address} ({listener}): {source}")]
    Bind {
        listener: &'static str,
        address: Name,
        source: io::Error,
    },
    /// The operating system refuses something.
    #[error("{what}: {source}")]
    Os {
        what: &'static str,
        source: io::Error,
    },
    /// Peers, disk or random numbers fail.
    #[error(transparent)]
    Node(#[from] node::Error),
    /// The logger cannot be set up.
    #[error("cannot set up logs: {0}")]
    Logs(String),
}

impl Error {
    /// Returns a conversion of the operating system's error.
    pub(crate) fn os(what: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::Os { what, source }
    }
}
