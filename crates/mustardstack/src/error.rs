//! Errors of the commands and their exit codes.

use std::io;

/// Exit code for every failure that has no exit code of its own.
const FAILURE: u8 = 1;
/// Exit code for an invalid command line or configuration.
pub const USAGE: u8 = 2;
/// Exit code if another change has replaced the base revision.
const CONFLICT: u8 = 3;
/// Exit code if no answer came or no majority was reached.
const UNAVAILABLE: u8 = 4;
/// Exit code if the change was accepted, but is not in force on every live instance.
const NOT_IN_FORCE: u8 = 5;

/// Reason for which a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration or the settings could not be loaded.
    #[error(transparent)]
    Configuration(#[from] conf::load::Error),
    /// The instance found the configuration invalid.
    #[error("the instance refused the configuration:\n{0}")]
    Invalid(String),
    /// The command line, or a file that the command line names, is invalid.
    #[error("{0}")]
    Usage(String),
    /// An operation on the terminal, a file, a signal or the runtime failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The operator did not confirm the change.
    #[error("the change was not confirmed; nothing was changed")]
    Declined,
    /// The instance refused the request.
    #[error("{0}")]
    Refused(String),
    /// Another change has replaced the base revision.
    #[error("{0}")]
    Conflict(String),
    /// No answer came, or no majority was reached.
    #[error("{0}")]
    Unavailable(String),
    /// The change is accepted, but not in force on every live instance.
    #[error("{0}")]
    NotInForce(String),
    /// The instance could not start, or failed while it was running.
    #[error(transparent)]
    Node(#[from] node::Error),
    /// An instance on the platform could not start, or failed while it was running.
    #[error(transparent)]
    Relay(#[from] relay::Error),
    /// The platform's settings file cannot be used.
    #[error(transparent)]
    Settings(#[from] platform::SettingsError),
    /// A stand-in or the load generator could not start, or failed while it was running.
    #[error(transparent)]
    Standin(#[from] standin::Error),
    /// An experiment could not run.
    #[error(transparent)]
    Experiment(#[from] bench::Error),
}

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Configuration(_) | Self::Invalid(_) | Self::Usage(_) | Self::Settings(_) => USAGE,
            Self::Io(_) | Self::Declined | Self::Refused(_) => FAILURE,
            Self::Node(_) | Self::Relay(_) | Self::Standin(_) | Self::Experiment(_) => FAILURE,
            Self::Conflict(_) => CONFLICT,
            Self::Unavailable(_) => UNAVAILABLE,
            Self::NotInForce(_) => NOT_IN_FORCE,
        }
    }
}
