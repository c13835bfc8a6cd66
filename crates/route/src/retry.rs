//! Retry budgets that keep retries a small share of the requests.

use conf::{Map, Name};

/// Retries that each first attempt adds to the budgets.
const RETRY_SHARE: f64 = 0.1;
/// Capacity and initial level of a budget, in retries.
const RETRY_BURST: f64 = 10.0;
/// Number of budgets kept for upstreams and for client accounts each. The fullest budget is evicted first, because it
/// is closest to a new one.
const BUDGETS_MAX: usize = 16_384;

/// The retry budget of each upstream and client account, as token buckets.
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
        let available =
            |budgets: &Map<Name, f64>, name| budgets.get(name).copied().unwrap_or(RETRY_BURST);
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

fn refill(budgets: &mut Map<Name, f64>, name: &Name) {
    // A missing budget counts as full, so that only budgets in use take memory.
    if let Some(available) = budgets.get_mut(name) {
        *available += RETRY_SHARE;
        if *available >= RETRY_BURST {
            budgets.remove(name);
        }
    }
}

fn set_budget(budgets: &mut Map<Name, f64>, name: &Name, available: f64) {
    if budgets.len() >= BUDGETS_MAX && !budgets.contains_key(name) {
        let fullest = budgets.iter().max_by(|a, b| a.1.total_cmp(b.1));
        if let Some(fullest) = fullest.map(|(name, _)| name.clone()) {
            budgets.remove(&fullest);
        }
    }
    budgets.insert(name.clone(), available);
}
