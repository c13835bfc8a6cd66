//! The speed at which a service takes requests from the queue while it is at capacity.

/// Time at capacity after which the measured sums are halved, in milliseconds.
const HALVING_MS: f64 = 5_000.0;
/// Time at capacity from which the speed is believed, in milliseconds.
const BELIEVED_MS: f64 = 500.0;

/// Tokens dispatched and time passed while requests wait for a place.
///
/// Times without a backlog do not count: a quiet service would look slow and refuse the first requests of a burst.
#[derive(Clone, Debug, Default)]
pub(crate) struct Speed {
    busy_ms: f64,
    tokens: f64,
    dispatches: f64,
    /// Time up to which `busy_ms` counts, while there is a backlog.
    counted_ms: Option<u64>,
    /// Time of the last dispatch, or of the stall that began the backlog.
    moved_ms: u64,
}

impl Speed {
    /// Notes that something waits and nothing fits.
    pub(crate) fn on_stall(&mut self, now_ms: u64) {
        if self.counted_ms.is_none() {
            self.moved_ms = now_ms;
        }
        self.count(now_ms);
        self.counted_ms = Some(now_ms);
    }

    /// Notes that nothing waits any more.
    pub(crate) fn on_empty(&mut self) {
        self.counted_ms = None;
    }

    pub(crate) fn on_dispatch(&mut self, now_ms: u64, tokens: f64) {
        if self.counted_ms.is_none() {
            return;
        }
        self.count(now_ms);
        self.counted_ms = Some(now_ms);
        self.moved_ms = now_ms;
        self.tokens += tokens;
        self.dispatches += 1.0;
        if self.busy_ms > HALVING_MS {
            self.busy_ms /= 2.0;
            self.tokens /= 2.0;
            self.dispatches /= 2.0;
        }
    }

    /// Takes back what a request was charged too much.
    pub(crate) fn correct(&mut self, tokens: f64) {
        if self.counted_ms.is_some() {
            self.tokens = (self.tokens + tokens).max(0.0);
        }
    }

    /// Tokens dispatched a millisecond at capacity, if that is known.
    pub(crate) fn tokens_per_ms(&self, now_ms: u64) -> Option<f64> {
        let busy_ms = self.busy_ms + self.uncounted_ms(now_ms);
        let known = busy_ms >= BELIEVED_MS && self.tokens > 0.0;
        known.then(|| self.tokens / busy_ms)
    }

    /// Expected time until a place is free at capacity, in milliseconds.
    pub(crate) fn place_interval_ms(&self, now_ms: u64) -> u64 {
        let Some(counted_ms) = self.counted_ms else {
            return 0;
        };
        let busy_ms = self.busy_ms + now_ms.saturating_sub(counted_ms) as f64;
        let stalled_ms = now_ms.saturating_sub(self.moved_ms);
        ((busy_ms / self.dispatches.max(1.0)) as u64).max(stalled_ms)
    }

    fn uncounted_ms(&self, now_ms: u64) -> f64 {
        self.counted_ms
            .map_or(0.0, |counted_ms| now_ms.saturating_sub(counted_ms) as f64)
    }

    fn count(&mut self, now_ms: u64) {
        self.busy_ms += self.uncounted_ms(now_ms);
    }
}
