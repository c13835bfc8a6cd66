//! `load`: sends generated load and reports what was answered in time.

use crate::cli::Load;
use crate::error::Error;
use crate::terminal;

/// Runs the load that a settings file describes.
pub fn run(options: &Load) -> Result<(), Error> {
    let _settings = terminal::read_file(&options.settings)?;
    Err(Error::NotBuilt("load"))
}
