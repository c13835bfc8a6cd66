//! Signals.

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::error::Error;

/// The signals that an instance acts on.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Finish the work and end.
    Stop,
    /// Read the settings again.
    Reload,
}

impl Signals {
    /// Starts to listen.
    ///
    /// # Errors
    /// Fails if a handler cannot be installed.
    pub fn listen() -> Result<Self, Error> {
        let open = |kind| signal(kind).map_err(Error::os("cannot listen to signals"));
        Ok(Self {
            terminate: open(SignalKind::terminate())?,
            interrupt: open(SignalKind::interrupt())?,
            hangup: open(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Asked {
        tokio::select! {
            _ = self.terminate.recv() => Asked::Stop,
            _ = self.interrupt.recv() => Asked::Stop,
            _ = self.hangup.recv() => Asked::Reload,
        }
    }
}
