//! `serve`: runs an instance.

use crate::cli::Serve;
use crate::error::Error;
use crate::terminal;

/// Loads the settings and serves until the process is told to stop.
pub fn run(options: &Serve) -> Result<(), Error> {
    let loaded = conf::load::settings(&options.folder)?;
    loaded.warnings.iter().for_each(terminal::complain);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(node::serve(loaded.value))?;
    Ok(())
}
