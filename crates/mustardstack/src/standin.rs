//! `standin`: runs a stand-in engine, plain service or platform.

use serde::de::DeserializeOwned;
use standin::{engine, platform, service};

use crate::cli::{Standin, StandinKind};
use crate::error::Error;
use crate::terminal;

/// Runs a stand-in with the settings of a file until the process receives a signal to stop.
pub fn run(options: &Standin) -> Result<(), Error> {
    let text = terminal::read_file(&options.settings)?;
    let runtime = tokio::runtime::Runtime::new()?;
    match options.kind {
        StandinKind::Engine => runtime.block_on(engine::serve(parse(&text)?))?,
        StandinKind::Service => runtime.block_on(service::serve(parse(&text)?))?,
        StandinKind::Platform => runtime.block_on(platform::serve(parse(&text)?))?,
    }
    Ok(())
}

/// Parses the settings of a stand-in or of a load run.
///
/// # Errors
/// Returns an error if the text is not TOML or has an unknown key.
pub fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    toml::from_str(text).map_err(|error| Error::Usage(error.to_string()))
}
