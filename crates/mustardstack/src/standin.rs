//! `standin`: runs a stand-in engine, plain service or platform.

use crate::cli::{Standin, StandinKind};
use crate::error::Error;
use crate::terminal;

/// Serves as a settings file describes until the process is told to stop.
pub fn run(options: &Standin) -> Result<(), Error> {
    let settings = terminal::read_file(&options.settings)?;
    match options.kind {
        StandinKind::Engine => engine(&settings),
        StandinKind::Service => service(&settings),
        StandinKind::Platform => platform(&settings),
    }
}

fn engine(_settings: &str) -> Result<(), Error> {
    Err(Error::NotBuilt("standin engine"))
}

fn service(_settings: &str) -> Result<(), Error> {
    Err(Error::NotBuilt("standin service"))
}

fn platform(_settings: &str) -> Result<(), Error> {
    Err(Error::NotBuilt("standin platform"))
}
