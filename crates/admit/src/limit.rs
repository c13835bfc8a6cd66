//! Rate limits of tenants.

use conf::{Map, Name, Tenant};

#[derive(Clone, Debug)]
struct Bucket {
    requests_per_s: f64,
    burst: f64,
    weight: f64,
    available: f64,
    refilled_ms: u64,
}

/// One token bucket for each configured tenant.
#[derive(Clone, Debug, Default)]
pub struct TenantLimits {
    buckets: Map<Name, Bucket>,
}

impl TenantLimits {
    /// Applies the configured tenants. A tenant keeps the fill level of its bucket, up to its new burst.
    pub fn apply(&mut self, tenants: &[Tenant]) {
        let mut previous = std::mem::take(&mut self.buckets);
        for tenant in tenants {
            let burst = tenant.burst.max(1.0);
            let bucket = previous.remove(&tenant.name);
            let (available, refilled_ms) =
                bucket.map_or((burst, 0), |bucket| (bucket.available, bucket.refilled_ms));
            let bucket = Bucket {
                requests_per_s: tenant.requests_per_s.max(0.0),
                burst,
                weight: tenant.weight,
                available: available.min(burst),
                refilled_ms,
            };
            self.buckets.insert(tenant.name.clone(), bucket);
        }
    }

    /// Takes one request from the tenant's token bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds a request again, in milliseconds. A tenant that is not configured has no
    /// limit, because the caller's key has been checked before.
    pub fn take(&mut self, now_ms: u64, tenant: &Name) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(tenant) else {
            return Ok(());
        };
        let elapsed_ms = now_ms.saturating_sub(bucket.refilled_ms) as f64;
        let refill = elapsed_ms * bucket.requests_per_s / 1_000.0;
        bucket.available = (bucket.available + refill).min(bucket.burst);
        bucket.refilled_ms = now_ms.max(bucket.refilled_ms);
        if bucket.available >= 1.0 {
            bucket.available -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - bucket.available;
        Err((missing * 1_000.0 / bucket.requests_per_s.max(0.001)).ceil() as u64)
    }

    /// Returns the weight of a tenant in the fair sharing inside a rank.
    pub fn weight(&self, tenant: &Name) -> f64 {
        let weight = self.buckets.get(tenant).map_or(1.0, |bucket| bucket.weight);
        weight.max(0.01)
    }
}
