//! The order of weight loads under the store's rate limit.

use conf::Name;

/// A load of weights into an engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WeightLoad {
    /// Name of the engine.
    pub upstream: Name,
    /// Name of the weights, as `MODEL@VERSION` or `MODEL:ADAPTER`.
    pub weights: Name,
    /// Size of the weights, in bytes.
    pub bytes: u64,
    /// Worth of having the weights loaded, for example the worth per second of the requests that wait for them.
    pub worth: f64,
}

/// Weight loads that wait for the budget of the weight store. All services share one budget.
#[derive(Clone, Debug)]
pub struct WeightLoadQueue {
    bytes_per_s: f64,
    burst_bytes: f64,
    available_bytes: f64,
    refilled_ms: u64,
    /// Time until which the store allows no load, in milliseconds.
    blocked_until_ms: u64,
    /// Waiting loads with their sequence numbers.
    waiting: Vec<(u64, WeightLoad)>,
    sequence: u64,
}

impl WeightLoadQueue {
    /// Creates an empty queue with a full budget.
    pub fn new(bytes_per_s: f64, burst_bytes: f64) -> Self {
        Self {
            bytes_per_s,
            burst_bytes,
            available_bytes: burst_bytes,
            refilled_ms: 0,
            blocked_until_ms: 0,
            waiting: Vec::new(),
            sequence: 0,
        }
    }

    /// Adds a load, or updates the size and worth of a waiting load. There is one entry for each pair of engine and
    /// weights.
    pub fn offer(&mut self, load: WeightLoad) {
        let same = |queued: &&mut (u64, WeightLoad)| {
            queued.1.upstream == load.upstream && queued.1.weights == load.weights
        };
        if let Some(queued) = self.waiting.iter_mut().find(same) {
            queued.1 = load;
            return;
        }
        self.sequence += 1;
        self.waiting.push((self.sequence, load));
    }

    /// Removes the loads of an engine, for example because the engine has left.
    pub fn remove(&mut self, upstream: &Name) {
        self.waiting.retain(|(_, load)| load.upstream != *upstream);
    }

    /// Removes and returns the load with the highest worth, if the budget allows a load to start.
    ///
    /// A load may exceed the remaining budget. The next load then waits until the budget is positive again. Otherwise a
    /// load larger than the burst would never start.
    pub fn next(&mut self, now_ms: u64) -> Option<WeightLoad> {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms) as f64;
        let refill_bytes = elapsed_ms * self.bytes_per_s / 1_000.0;
        self.available_bytes = (self.available_bytes + refill_bytes).min(self.burst_bytes);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        if now_ms < self.blocked_until_ms || self.available_bytes <= 0.0 {
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
        self.available_bytes -= load.bytes as f64;
        Some(load)
    }

    /// Records that the store has refused a load. The load waits again until the store allows the next one.
    pub fn on_rate_limited(&mut self, now_ms: u64, retry_after_ms: u64, load: WeightLoad) {
        self.blocked_until_ms = self.blocked_until_ms.max(now_ms + retry_after_ms);
        // The store has sent no data, so that the bytes return to the budget.
        self.available_bytes = (self.available_bytes + load.bytes as f64).min(self.burst_bytes);
        self.offer(load);
    }

    /// Returns the number of waiting loads.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no load waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
