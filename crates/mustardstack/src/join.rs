//! `join`: runs an instance with the settings file that the platform writes.

use std::rc::Rc;

use crate::error::Error;

/// Runs an instance until the process receives a signal to stop.
pub fn run() -> Result<(), Error> {
    let settings = platform::load()?;
    let reload = Box::new(|| platform::load().map_err(|error| error.to_string()));
    relay::run(settings, Rc::new(platform::Platform::default()), reload)?;
    Ok(())
}
