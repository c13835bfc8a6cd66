//! Retry budgets that keep retries a small share of the requests.

use conf::{Map, Name};

/// Retries that each first attempt adds to the budgets.
const RETRY_SHARE: f64 = 0.1;
/// Capacity and initial level of a bucket, in retries.
const RETRY_BURST: f64 = 10.0;
/// Number of buckets kept for upstreams and for client accounts each. The fullest bucket is evicted first, because it
/// is closest to a new one.
const BUCKETS_MAX: usize = 16_384;

/// Token buckets for each upstream and client account.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    upstreams: Map<Name, f64>,
    client_accounts: Map<Name, f64>,
}

impl RetryBudgets {
    /// Records a first attempt, which adds a share of a retry to both budgets.
    pub fn on_request(&mut self, upstream: &Name, client_account: &Name) {
        refill(&mut self.upstreams, upstream);
        refill(&mut self.client_accounts, client_account);
    }

    /// Takes one retry from the budgets of the failed upstream and of the client account. Returns whether both budgets
    /// had one. Otherwise neither budget changes.
    pub fn take(&mut self, upstream: &Name, client_account: &Name) -> bool {
        let available = |map: &Map<Name, f64>, name| map.get(name).copied().unwrap_or(RETRY_BURST);
        let (upstream_retries, account_retries) = (
            available(&self.upstreams, upstream),
            available(&self.client_accounts, client_account),
        );
        if upstream_retries < 1.0 || account_retries < 1.0 {
            return false;
        }
        set_budget(&mut self.upstreams, upstream, upstream_retries - 1.0);
        set_budget(
            &mut self.client_accounts,
            client_account,
            account_retries - 1.0,
        );
        true
    }
}

fn refill(map: &mut Map<Name, f64>, name: &Name) {
    // A missing bucket counts as full, so that only buckets in use take memory.
    if let Some(available) = map.get_mut(name) {
        *available += RETRY_SHARE;
        if *available >= RETRY_BURST {
            map.remove(name);
        }
    }
}

fn set_budget(map: &mut Map<Name, f64>, name: &Name, available: f64) {
    if map.len() >= BUCKETS_MAX && !map.contains_key(name) {
        let fullest = map.iter().max_by(|a, b| a.1.total_cmp(b.1));
        if let Some(fullest) = fullest.map(|(name, _)| name.clone()) {
            map.remove(&fullest);
        }
    }
    map.insert(name.clone(), available);
}
