//! Tokens dispatched by rank over a sliding window.

use conf::service::RANK_COUNT;

/// Length of one bucket of the window, in milliseconds.
const BUCKET_MS: u64 = 500;
/// Buckets in the window. The resulting 10 s cover several answers of each rank and are short enough to follow a flood.
const BUCKETS: usize = 20;

/// A sliding window over the tokens dispatched.
#[derive(Clone, Debug)]
pub(crate) struct TokenWindow {
    buckets: [[f64; RANK_COUNT]; BUCKETS],
    sums: [f64; RANK_COUNT],
    /// Number of the newest bucket, counted from time 0.
    newest_bucket: u64,
}

impl Default for TokenWindow {
    fn default() -> Self {
        Self {
            buckets: [[0.0; RANK_COUNT]; BUCKETS],
            sums: [0.0; RANK_COUNT],
            newest_bucket: 0,
        }
    }
}

impl TokenWindow {
    /// Advances the window to `now_ms`.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let bucket = now_ms / BUCKET_MS;
        if bucket <= self.newest_bucket {
            return;
        }
        for elapsed_bucket in
            (self.newest_bucket + 1)..=bucket.min(self.newest_bucket + BUCKETS as u64)
        {
            self.buckets[elapsed_bucket as usize % BUCKETS] = [0.0; RANK_COUNT];
        }
        self.newest_bucket = bucket;
        // The sums are recomputed from the buckets so that rounding errors do not accumulate.
        for rank in 0..RANK_COUNT {
            self.sums[rank] = self.buckets.iter().map(|bucket| bucket[rank]).sum();
        }
    }

    /// Adds tokens to a rank. A negative number reduces a charge that was too high.
    pub(crate) fn add(&mut self, now_ms: u64, rank: usize, tokens: f64) {
        self.advance(now_ms);
        let bucket = &mut self.buckets[self.newest_bucket as usize % BUCKETS][rank];
        *bucket += tokens;
        self.sums[rank] += tokens;
    }

    pub(crate) fn tokens(&self, rank: usize) -> f64 {
        self.sums[rank].max(0.0)
    }

    pub(crate) fn total(&self) -> f64 {
        (0..RANK_COUNT).map(|rank| self.tokens(rank)).sum()
    }

    /// Returns the rank's share of all tokens in the window, from 0 to 1.
    pub(crate) fn share(&self, rank: usize) -> f64 {
        let total = self.total();
        if total <= 0.0 {
            return 0.0;
        }
        self.tokens(rank) / total
    }
}
