//! `load`: sends generated load and reports which part was answered in time.

use crate::cli::Load;
use crate::error::Error;
use crate::standin::parse;
use crate::terminal;

/// Sends the load that a settings file describes and prints the report.
pub fn run(options: &Load) -> Result<(), Error> {
    let settings = parse(&terminal::read_file(&options.settings)?)?;
    let runtime = tokio::runtime::Runtime::new()?;
    let report = runtime.block_on(standin::load::run(settings))?;
    terminal::print(report);
    Ok(())
}
