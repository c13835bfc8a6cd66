//! Errors of experiments.

/// Result of a step of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Error that prevents an experiment from running.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are not valid TOML or have an unknown key.
    #[error("invalid settings: {0}")]
    Settings(#[from] toml::de::Error),
    /// Settings of a process cannot be written as TOML.
    #[error("settings cannot be written as TOML: {0}")]
    Write(#[from] toml::ser::Error),
    /// The settings are inconsistent or name an unknown preset, or no free port was found.
    #[error("{0}")]
    Invalid(String),
    /// The service configuration of the experiment is invalid.
    #[error(transparent)]
    Configuration(#[from] conf::load::Error),
    /// The load generator or an HTTP client failed.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// An operation on a file, socket or process failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// An instance did not become ready in time.
    #[error("an instance did not become ready in time: {0}")]
    NotReady(String),
}
