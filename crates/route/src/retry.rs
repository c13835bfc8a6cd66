//! Retry budgets, so that retries stay a small share of requests.

use conf::{Map, Name};

/// Retries earned by each first attempt.
const RETRY_SHARE: f64 = 0.1;
/// Retries that a bucket holds at most, and at first.
const RETRY_BURST: f64 = 10.0;
/// Buckets kept for each kind. Full buckets are dropped first; they equal new ones.
const BUCKETS_MAX: usize = 16_384;

/// Token buckets for each upstream and tenant.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    upstreams: Map<Name, f64>,
    tenants: Map<Name, f64>,
}

impl RetryBudgets {
    /// Notes a first attempt, which earns a share of a retry.
    pub fn on_request(&mut self, upstream: &Name, tenant: &Name) {
        earn(&mut self.upstreams, upstream);
        earn(&mut self.tenants, tenant);
    }

    /// Takes one retry from the budgets of the upstream that failed and of the tenant, if both have one.
    pub fn take(&mut self, upstream: &Name, tenant: &Name) -> bool {
        let left = |map: &Map<Name, f64>, name| map.get(name).copied().unwrap_or(RETRY_BURST);
        let (of_upstream, of_tenant) =
            (left(&self.upstreams, upstream), left(&self.tenants, tenant));
        if of_upstream < 1.0 || of_tenant < 1.0 {
            return false;
        }
        store(&mut self.upstreams, upstream, of_upstream - 1.0);
        store(&mut self.tenants, tenant, of_tenant - 1.0);
        true
    }
}

fn earn(map: &mut Map<Name, f64>, name: &Name) {
    // A missing bucket is full, so only buckets in use take memory.
    if let Some(left) = map.get_mut(name) {
        *left += RETRY_SHARE;
        if *left >= RETRY_BURST {
            map.remove(name);
        }
    }
}

fn store(map: &mut Map<Name, f64>, name: &Name, left: f64) {
    if map.len() >= BUCKETS_MAX && !map.contains_key(name) {
        let fullest = map.iter().max_by(|a, b| a.1.total_cmp(b.1));
        if let Some(fullest) = fullest.map(|(name, _)| name.clone()) {
            map.remove(&fullest);
        }
    }
    map.insert(name.clone(), left);
}
