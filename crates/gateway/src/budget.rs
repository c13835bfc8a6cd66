//! The share of a service's retry budget that one entry may spend.
//!
//! The budget holds for all entries together. Each one spends a share of its own requests and an equal part of the
//! constant slack, so that the sum stays within the budget without any message.

use std::collections::VecDeque;

/// Bounds of the budget of all entries together.
#[derive(Clone, Debug, PartialEq)]
pub struct BudgetSettings {
    /// Retries allowed for each request.
    pub ratio: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
    /// Retries allowed in a window besides the ratio.
    pub slack: f64,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            window_ms: 10_000,
            slack: 50.0,
        }
    }
}

/// Part of the budget that is spent; the rest covers entries that count requests in another window.
const USED_SHARE: f64 = 0.7;

/// Entries assumed at least, since an entry that has just started does not know the others.
const MIN_ENTRIES: u32 = 6;

/// Retries and requests of one service through one entry.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    requests_ms: VecDeque<u64>,
    retries_ms: VecDeque<u64>,
}

impl Budget {
    /// Counts a request.
    pub fn count_request(&mut self, now_ms: u64) {
        self.requests_ms.push_back(now_ms);
    }

    /// Takes `count` further calls out of the budget. `entries` is the number of entries that share the slack.
    pub fn take_retries(
        &mut self,
        count: usize,
        settings: &BudgetSettings,
        now_ms: u64,
        entries: u32,
    ) -> bool {
        let start_ms = now_ms.saturating_sub(settings.window_ms);
        forget_before(&mut self.requests_ms, start_ms);
        forget_before(&mut self.retries_ms, start_ms);
        let slack = settings.slack / f64::from(entries.max(MIN_ENTRIES));
        let allowed = (settings.ratio * self.requests_ms.len() as f64 + slack) * USED_SHARE;
        if (self.retries_ms.len() + count) as f64 > allowed {
            return false;
        }
        self.retries_ms.extend(std::iter::repeat_n(now_ms, count));
        true
    }
}

fn forget_before(times_ms: &mut VecDeque<u64>, start_ms: u64) {
    while times_ms.front().is_some_and(|at_ms| *at_ms < start_ms) {
        times_ms.pop_front();
    }
}
