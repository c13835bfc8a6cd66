//! `demo`: runs a small system with embedded settings in one process.

use crate::error::Error;

/// Serves until the process is told to stop.
pub fn run() -> Result<(), Error> {
    Err(Error::NotBuilt("demo"))
}
