//! Tokens served by rank over a sliding window.

use conf::service::RANK_COUNT;

/// Length of one step of the window, in milliseconds.
const STEP_MS: u64 = 500;
/// Steps in the window. 10 s span several answers of each rank and still follow a flood.
const STEPS: usize = 20;

/// A sliding window over the tokens served.
#[derive(Clone, Debug)]
pub(crate) struct Window {
    steps: [[f64; RANK_COUNT]; STEPS],
    sums: [f64; RANK_COUNT],
    step: u64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            steps: [[0.0; RANK_COUNT]; STEPS],
            sums: [0.0; RANK_COUNT],
            step: 0,
        }
    }
}

impl Window {
    /// Moves the window to `now_ms`.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        let step = now_ms / STEP_MS;
        if step <= self.step {
            return;
        }
        for passed in (self.step + 1)..=step.min(self.step + STEPS as u64) {
            self.steps[passed as usize % STEPS] = [0.0; RANK_COUNT];
        }
        self.step = step;
        // Summing anew keeps rounding errors from piling up.
        for rank in 0..RANK_COUNT {
            self.sums[rank] = self.steps.iter().map(|step| step[rank]).sum();
        }
    }

    /// Adds tokens, or takes back some that were charged too high.
    pub(crate) fn add(&mut self, now_ms: u64, rank: usize, tokens: f64) {
        self.advance(now_ms);
        let step = &mut self.steps[self.step as usize % STEPS][rank];
        *step += tokens;
        self.sums[rank] += tokens;
    }

    pub(crate) fn tokens(&self, rank: usize) -> f64 {
        self.sums[rank].max(0.0)
    }

    pub(crate) fn total(&self) -> f64 {
        (0..RANK_COUNT).map(|rank| self.tokens(rank)).sum()
    }

    /// Share of the rank, from 0 to 1.
    pub(crate) fn share(&self, rank: usize) -> f64 {
        let total = self.total();
        if total <= 0.0 {
            return 0.0;
        }
        self.tokens(rank) / total
    }
}
