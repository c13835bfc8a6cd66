//! True time, derived from a time of day that may jump.

/// Largest change of the time of day that counts as its adjustment, in milliseconds.
const ADJUSTMENT_MS: u64 = 100;
/// Time for which the time of day must stay after a jump before it is followed, in milliseconds. A jump that is a fault is
/// usually corrected within seconds.
const JUMP_HOLD_MS: u64 = 60_000;

/// Relation of the time of day to a clock that never jumps.
#[derive(Clone, Debug, Default)]
pub struct WallClock {
    /// Time of day at the start of the steady clock, in milliseconds since the Unix epoch.
    start_unix_ms: Option<u64>,
    /// The same after a jump that is not followed yet, and since when it has been seen, in milliseconds.
    jumped: Option<(u64, u64)>,
}

impl WallClock {
    /// Records the time of day at a moment of the steady clock.
    pub fn observe(&mut self, now_ms: u64, unix_ms: u64) {
        let seen = unix_ms.saturating_sub(now_ms);
        let Some(start_unix_ms) = self.start_unix_ms else {
            self.start_unix_ms = Some(seen);
            return;
        };
        if seen.abs_diff(start_unix_ms) <= ADJUSTMENT_MS {
            (self.start_unix_ms, self.jumped) = (Some(seen), None);
            return;
        }
        match self.jumped {
            Some((target, since_ms)) if seen.abs_diff(target) <= ADJUSTMENT_MS => {
                if now_ms.saturating_sub(since_ms) >= JUMP_HOLD_MS {
                    (self.start_unix_ms, self.jumped) = (Some(seen), None);
                }
            }
            _ => self.jumped = Some((seen, now_ms)),
        }
    }

    /// Returns true time in milliseconds since the Unix epoch, once the time of day has been observed.
    pub fn unix_ms(&self, now_ms: u64) -> Option<u64> {
        self.start_unix_ms
            .map(|start_unix_ms| start_unix_ms + now_ms)
    }
}
