//! Waits for a condition with a generous bound.

use std::time::{Duration, Instant};

use super::Result;

/// Bound on every wait. It only limits how long a failing scenario takes.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two looks at a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Calls `look` until it returns a value.
///
/// # Errors
///
/// Returns an error if `look` fails or yields nothing within the bound.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Result<Option<T>>) -> Result<T> {
    let deadline = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(value) = look()? {
            return Ok(value);
        }
        if Instant::now() >= deadline {
            return Err(format!("waited {WAIT_LIMIT:?} in vain for {what}").into());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
