//! Rate limits of client accounts.

use conf::{ClientAccount, Map, Name};

/// The token bucket of one client account.
#[derive(Clone, Debug)]
struct Bucket {
    requests_per_s: f64,
    burst: f64,
    weight: f64,
    available: f64,
    refilled_ms: u64,
}

/// One token bucket for each configured client account.
#[derive(Clone, Debug, Default)]
pub struct ClientAccountLimits {
    buckets: Map<Name, Bucket>,
}

impl ClientAccountLimits {
    /// Applies the configured client accounts. An account keeps the fill level of its bucket, up to its new burst.
    pub fn apply(&mut self, client_accounts: &[ClientAccount]) {
        let mut previous = std::mem::take(&mut self.buckets);
        for client_account in client_accounts {
            let burst = client_account.burst.max(1.0);
            let bucket = previous.remove(&client_account.name);
            let (available, refilled_ms) =
                bucket.map_or((burst, 0), |bucket| (bucket.available, bucket.refilled_ms));
            let bucket = Bucket {
                requests_per_s: client_account.requests_per_s.max(0.0),
                burst,
                weight: client_account.weight,
                available: available.min(burst),
                refilled_ms,
            };
            self.buckets.insert(client_account.name.clone(), bucket);
        }
    }

    /// Takes one request from the client account's token bucket.
    ///
    /// # Errors
    ///
    /// Returns the time until the bucket holds a request again, in milliseconds. An account that is not configured has
    /// no limit, because the caller's key has been checked before.
    pub fn take(&mut self, now_ms: u64, client_account: &Name) -> Result<(), u64> {
        let Some(bucket) = self.buckets.get_mut(client_account) else {
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

    /// Returns the weight of a client account in the fair sharing inside a rank.
    pub fn weight(&self, client_account: &Name) -> f64 {
        let weight = self
            .buckets
            .get(client_account)
            .map_or(1.0, |bucket| bucket.weight);
        weight.max(0.01)
    }
}
