//! Waiting for a condition.

use std::time::{Duration, Instant};

use super::Result;

/// Time limit of every wait. It limits only the duration of a failing scenario.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Time between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `check` until it returns a value.
///
/// # Errors
///
/// Returns an error if `check` fails or returns no value within the time limit.
pub fn until<T>(what: &str, mut check: impl FnMut() -> Result<Option<T>>) -> Result<T> {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = check()? {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(format!("waiting for {what} timed out after {WAIT_LIMIT:?}").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
