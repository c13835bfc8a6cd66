//! Signals of the operating system.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;

/// The signals that an instance handles.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks the instance to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Finish the open work and exit.
    Stop,
    /// Read the settings again.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// Fails if a signal handler cannot be installed.
    pub fn install() -> Result<Self, Error> {
        let install = |kind| signal(kind).map_err(Error::os("cannot install a signal handler"));
        Ok(Self {
            terminate: install(SignalKind::terminate())?,
            interrupt: install(SignalKind::interrupt())?,
            hangup: install(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns the action that it asks for.
    pub async fn next(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
