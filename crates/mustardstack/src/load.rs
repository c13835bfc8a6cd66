//! `load`: sends generated load and reports what was answered in time.

use crate::cli::Load;
use crate::error::Error;

/// Runs the load that a settings file describes.
pub fn run(options: &Load) -> Result<(), Error> {
    let _settings = std::fs::read_to_string(&options.settings)?;
    Err(Error::NotBuilt("load"))
}
