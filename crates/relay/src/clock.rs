//! The clock of an instance.

use std::time::Duration;

use node::clock::boottime_ms;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

/// Interval at which the time of day is read.
pub const TIME_OF_DAY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time in which the two clocks are read, in milliseconds; a process that is suspended in between reads again.
const MAX_READ_MS: u64 = 20;

/// A clock that also counts the time for which the machine is suspended, so that leases and deadlines do not end late
/// after a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start_ms: u64,
}

impl Clock {
    /// Starts the clock. The clock never returns 0, which stands for "never".
    pub fn start() -> Self {
        Self {
            start_ms: boottime_ms() - 1,
        }
    }

    /// Returns the time since the start, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        boottime_ms() - self.start_ms
    }

    /// Returns the time of day, in milliseconds since the Unix epoch; none if the process was suspended meanwhile.
    pub fn time_of_day_ms(&self) -> Option<u64> {
        let before_ms = self.now_ms();
        let time = clock_gettime(ClockId::Realtime);
        let unix_ms = time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000;
        (self.now_ms() - before_ms <= MAX_READ_MS).then_some(unix_ms)
    }

    /// Returns the instant of the runtime's clock at which this clock reaches `deadline_ms`, unless the machine is
    /// suspended before.
    pub fn instant(&self, deadline_ms: u64) -> Instant {
        let remaining_ms = deadline_ms.saturating_sub(self.now_ms());
        Instant::now() + Duration::from_millis(remaining_ms)
    }
}
