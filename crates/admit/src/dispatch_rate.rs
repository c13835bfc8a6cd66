//! The rate at which requests of a service are dispatched while the service is at capacity.

/// Time at capacity after which the measured sums are halved, in milliseconds.
const HALVING_MS: f64 = 5_000.0;
/// Measured time at capacity from which the dispatch rate counts as known, in milliseconds.
const RATE_MIN_SAMPLE_MS: f64 = 500.0;

/// Measures the tokens dispatched and the time passed while requests wait for a free slot.
///
/// Times in which no request waits for a free slot do not count. Otherwise a service with little traffic would be
/// measured as slow, and the first requests of a burst would be refused.
#[derive(Clone, Debug, Default)]
pub(crate) struct DispatchRate {
    at_capacity_ms: f64,
    tokens: f64,
    dispatches: f64,
    /// Time up to which `at_capacity_ms` is measured, in milliseconds. `None` while no request waits for a free
    /// slot.
    counted_until_ms: Option<u64>,
    /// Time of the last dispatch, or of the stall with which the current time at capacity began, in milliseconds.
    last_progress_ms: u64,
}

impl DispatchRate {
    /// Records that requests wait and none of them fits.
    pub(crate) fn on_stall(&mut self, now_ms: u64) {
        if self.counted_until_ms.is_none() {
            self.last_progress_ms = now_ms;
        }
        self.add_elapsed(now_ms);
        self.counted_until_ms = Some(now_ms);
    }

    /// Records that no request waits any more.
    pub(crate) fn on_empty(&mut self) {
        self.counted_until_ms = None;
    }

    /// Records a dispatch. The dispatch does not count unless the service is at capacity.
    pub(crate) fn on_dispatch(&mut self, now_ms: u64, tokens: f64) {
        if self.counted_until_ms.is_none() {
            return;
        }
        self.add_elapsed(now_ms);
        self.counted_until_ms = Some(now_ms);
        self.last_progress_ms = now_ms;
        self.tokens += tokens;
        self.dispatches += 1.0;
        if self.at_capacity_ms > HALVING_MS {
            self.at_capacity_ms /= 2.0;
            self.tokens /= 2.0;
            self.dispatches /= 2.0;
        }
    }

    /// Adds the difference between the tokens that a request used and those it was charged.
    pub(crate) fn correct(&mut self, tokens: f64) {
        if self.counted_until_ms.is_some() {
            self.tokens = (self.tokens + tokens).max(0.0);
        }
    }

    /// Returns the tokens dispatched per millisecond at capacity, or `None` while the rate is unknown.
    pub(crate) fn tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        let at_capacity_ms = self.at_capacity_ms + self.uncounted_ms(now_ms);
        let known = at_capacity_ms >= RATE_MIN_SAMPLE_MS && self.tokens > 0.0;
        known.then(|| self.tokens / at_capacity_ms)
    }

    /// Returns the expected time between two dispatches at capacity, in milliseconds.
    pub(crate) fn dispatch_interval_ms(&self, now_ms: u64) -> u64 {
        let Some(counted_until_ms) = self.counted_until_ms else {
            return 0;
        };
        let at_capacity_ms = self.at_capacity_ms + now_ms.saturating_sub(counted_until_ms) as f64;
        let stalled_ms = now_ms.saturating_sub(self.last_progress_ms);
        ((at_capacity_ms / self.dispatches.max(1.0)) as u64).max(stalled_ms)
    }

    fn uncounted_ms(&self, now_ms: u64) -> f64 {
        self.counted_until_ms
            .map_or(0.0, |until_ms| now_ms.saturating_sub(until_ms) as f64)
    }

    fn add_elapsed(&mut self, now_ms: u64) {
        self.at_capacity_ms += self.uncounted_ms(now_ms);
    }
}
