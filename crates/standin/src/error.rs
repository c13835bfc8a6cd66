//! Errors of the stand-ins.

use conf::Name;

/// Result of an operation of a stand-in.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a stand-in could not start or has ended.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The listen address is not an IP address and port.
    #[error("invalid listen address {0:?}, expected IP:PORT")]
    Address(Name),
    /// The settings are not valid TOML or have an unknown key.
    #[error("invalid settings: {0}")]
    Settings(#[from] toml::de::Error),
    /// A socket, file or thread failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// The HTTP client could not be built.
    #[error("cannot build the HTTP client: {0}")]
    Client(Name),
    /// The stand-in crashed because a request to `/debug/crash` told it to.
    #[error("the stand-in crashed on request")]
    Crashed,
}
