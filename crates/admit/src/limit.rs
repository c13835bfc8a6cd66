//! Rate limits of tenants.

use conf::{Map, Name, Tenant};

#[derive(Clone, Debug)]
struct Bucket {
    requests_per_s: f64,
    burst: f64,
    weight: f64,
    left: f64,
    at_ms: u64,
}

/// One token bucket for each configured tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantLimits {
    buckets: Map<Name, Bucket>,
}

impl TenantLimits {
    /// Takes in the tenants. What a tenant has used counts on under its new limits.
    pub fn apply(&mut self, tenants: &[Tenant]) {
        let mut before = std::mem::take(&mut self.buckets);
        for tenant in tenants {
            let burst = tenant.burst.max(1.0);
            let bucket = before.remove(&tenant.name);
            let (left, at_ms) = bucket.map_or((burst, 0), |bucket| (bucket.left, bucket.at_ms));
            let bucket = Bucket {
                requests_per_s: tenant.requests_per_s.max(0.0),
                burst,
                weight: tenant.weight,
                left: left.min(burst),
                at_ms,
            };
            self.buckets.insert(tenant.name.clone(), bucket);
        }
    }

    /// Takes one request from the tenant's bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one again, in milliseconds. A tenant that is not configured has no limit; the
    /// caller's key has been checked before.
    pub fn take(&mut self, now_ms: u64, tenant: &Name) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(());
        };
        let elapsed_ms = now_ms.saturating_sub(bucket.at_ms) as f64;
        let earned = elapsed_ms * bucket.requests_per_s / 1_000.0;
        bucket.left = (bucket.left + earned).min(bucket.burst);
        bucket.at_ms = now_ms.max(bucket.at_ms);
        if bucket.left >= 1.0 {
            bucket.left -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - bucket.left;
        Err((missing * 1_000.0 / bucket.requests_per_s.max(0.001)).ceil() as u64)
    }

    /// Weight of a tenant in the fair sharing inside a rank.
    pub fn weight(&self, tenant: &Name) -> f64 {
        let weight = self.buckets.get(tenant).map_or(1.0, |bucket| bucket.weight);
        weight.max(0.01)
    }
}
