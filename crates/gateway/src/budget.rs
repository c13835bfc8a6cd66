//! The share of a service's retry budget that one entry may spend.
//!
//! The budget limits the retries of all entries together. Each entry may spend the ratio of its own requests and an
//! equal share of the constant slack, so that the sum stays within the budget without any message between entries.

use std::collections::VecDeque;

/// Limits on the retries of all entries together.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed in a window in addition to the ratio.
    pub slack: f64,
}

impl Default for RetryBudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_ms: 10_000,
            slack: 50.0,
        }
    }
}

/// Share of the budget that may be spent. The rest is a reserve, since the windows of the entries are not aligned.
const SPENDABLE_SHARE: f64 = 0.7;

/// Minimum number of entries assumed, since an entry that has just started does not know the others.
const MIN_ENTRIES: u32 = 6;

/// Retries and requests of one service through one entry.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, now_ms: u64) {
        self.requests_ms.push_back(now_ms);
    }

    /// Takes `count` retries out of the budget. `entries` is the number of entries that share the slack. Returns false,
    /// and takes none, if the budget does not allow all of them.
    pub fn take_retries(
        &mut self,
        count: usize,
        settings: &RetryBudgetSettings,
        now_ms: u64,
        entries: u32,
    ) -> bool {
        let window_start_ms = now_ms.saturating_sub(settings.window_ms);
        remove_before(&mut self.requests_ms, window_start_ms);
        remove_before(&mut self.retries_ms, window_start_ms);
        let slack = settings.slack / f64::from(entries.max(MIN_ENTRIES));
        let allowed = (settings.ratio * self.requests_ms.len() as f64 + slack) * SPENDABLE_SHARE;
        if (self.retries_ms.len() + count) as f64 > allowed {
            return false;
        }
        self.retries_ms.extend(std::iter::repeat_n(now_ms, count));
        true
    }
}

fn remove_before(times_ms: &mut VecDeque<u64>, window_start_ms: u64) {
    while times_ms
        .front()
        .is_some_and(|at_ms| *at_ms < window_start_ms)
    {
        times_ms.pop_front();
    }
}
