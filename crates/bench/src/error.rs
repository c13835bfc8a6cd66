//! Errors of experiments.

/// Result of a step of an experiment.
pub type Result<T> = std::result::Result<T, Error>;

/// Why an experiment could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The settings are not valid TOML or have an unknown key.
    #[error("invalid settings: {0}")]
    Settings(#[from] toml::de::Error),
    /// Settings could not be written as TOML.
    #[error("settings cannot be written: {0}")]
    Write(#[from] toml::ser::Error),
    /// The settings contradict each other.
    #[error("{0}")]
    Invalid(String),
    /// The service configuration of the experiment is not accepted.
    #[error(transparent)]
    Configuration(#[from] conf::load::Error),
    /// The load generator or a client failed.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// A file, socket or process failed.
    #[error("I/O error: {0}")]
    Io(#[from] std::io::Error),
    /// The processes did not become ready in time.
    #[error("not ready in time: {0}")]
    NotReady(String),
}
