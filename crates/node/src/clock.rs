//! The instance's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Monotonic clock of an instance. The reducer's deadlines are times on this clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock at 0.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Returns the instant at which the clock shows `deadline_ms`.
    pub fn instant(&self, deadline_ms: u64) -> Instant {
        // Deadlines are capped at one year from now, because an `Instant` cannot represent arbitrarily late times.
        const YEAR_MS: u64 = 365 * 24 * 3_600 * 1_000;
        let limit_ms = self.now_ms() + YEAR_MS;
        self.start + Duration::from_millis(deadline_ms.min(limit_ms))
    }
}

/// Returns the time since the start of the machine, in milliseconds. It counts the time for which the machine is suspended.
pub fn boottime_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns the wall-clock time, in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
