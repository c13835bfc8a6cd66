//! The order of weight loads under the store's rate limit.

use conf::Name;

/// A load of weights into an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightLoad {
    /// The engine.
    pub upstream: Name,
    /// The weights, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub weights: Name,
    /// Their size, in bytes.
    pub bytes: u64,
    /// Worth of having them loaded, for example the worth of the requests a second that wait for them.
    pub worth: f64,
}

/// Loads that wait for the store's budget, which is one for all services.
#[derive(Clone, Debug)]
pub struct LoadQueue {
    bytes_per_s: f64,
    burst_bytes: f64,
    left_bytes: f64,
    at_ms: u64,
    blocked_until_ms: u64,
    waiting: Vec<(u64, WeightLoad)>,
    sequence: u64,
}

impl LoadQueue {
    /// Makes an empty queue with a full budget.
    pub fn new(bytes_per_s: f64, burst_bytes: f64) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            left_bytes: burst_bytes,
            at_ms: 0,
            blocked_until_ms: 0,
            waiting: Vec::new(),
            sequence: 0,
        }
    }

    /// Adds a load, or updates size and worth of one that waits. There is one entry for each engine and weights.
    pub fn offer(&mut self, load: WeightLoad) {
        let same = |known: &&mut (u64, WeightLoad)| {
            known.1.upstream == load.upstream && known.1.weights == load.weights
        };
        if let Some(known) = self.waiting.iter_mut().find(same) {
            known.1 = load;
            return;
        }
        self.sequence += 1;
        self.waiting.push((self.sequence, load));
    }

    /// Removes the loads of an engine, for example because it has left.
    pub fn remove(&mut self, upstream: &Name) {
        self.waiting.retain(|(_, load)| load.upstream != *upstream);
    }

    /// Takes out the load that is worth most, if the budget allows one to start.
    ///
    /// A load may exceed what is left of the budget; the next one then waits until the debt is paid. Otherwise a load larger
    /// than the burst would never start.
    pub fn next(&mut self, now_ms: u64) -> Option<WeightLoad> {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let earned = elapsed_ms * self.bytes_per_s / 1_000.0;
        self.left_bytes = (self.left_bytes + earned).min(self.burst_bytes);
        self.at_ms = self.at_ms.max(now_ms);
        if now_ms < self.blocked_until_ms || self.left_bytes <= 0.0 {
            return None;
        }
        let best = (0..self.waiting.len()).reduce(|a, b| {
            let (first, second) = (&self.waiting[a], &self.waiting[b]);
            let by_worth = second.1.worth.total_cmp(&first.1.worth);
            match by_worth.then(first.0.cmp(&second.0)).is_le() {
                true => a,
                false => b,
            }
        })?;
        let (_, load) = self.waiting.swap_remove(best);
        self.left_bytes -= load.bytes as f64;
        Some(load)
    }

    /// Notes that the store has refused a load, which waits again until the store allows the next.
    pub fn on_limited(&mut self, now_ms: u64, retry_after_ms: u64, load: WeightLoad) {
        self.blocked_until_ms = self.blocked_until_ms.max(now_ms + retry_after_ms);
        // Nothing was read, so the budget gets the bytes back.
        self.left_bytes = (self.left_bytes + load.bytes as f64).min(self.burst_bytes);
        self.offer(load);
    }

    /// Loads that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
