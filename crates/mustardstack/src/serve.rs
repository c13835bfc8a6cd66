//! `serve`: runs an instance.

use crate::cli::Serve;
use crate::error::Error;
use crate::terminal;

/// Loads the settings and runs an instance until the process receives SIGTERM or SIGINT.
pub fn run(options: &Serve) -> Result<(), Error> {
    let loaded = conf::load::settings(&options.folder)?;
    loaded.warnings.iter().for_each(terminal::print_stderr);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(node::serve(loaded.value))?;
    Ok(())
}
