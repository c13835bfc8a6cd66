//! Requests that wait, and why one is refused.

use conf::Name;
use thiserror::Error;

/// A request that waits for an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Waiting {
    /// The request.
    pub id: u64,
    /// Tenant of the caller.
    pub tenant: Name,
    /// Service that it needs. Each service has its own capacity and its own floors.
    pub service: Name,
    /// Model or `MODEL:ADAPTER` that it needs. Empty for a plain service.
    pub model: Name,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// Tokens that it is expected to use: prompt and answer. Counted as 1 if 0, as for a plain service.
    pub tokens: u32,
    /// Expected time from its dispatch to the end of the answer, in milliseconds.
    pub service_ms: u64,
    /// Time at which the whole answer is due.
    pub deadline_ms: u64,
    /// Expected time from its dispatch to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time at which the first token is due. 0 if only the whole answer is.
    pub first_token_deadline_ms: u64,
    /// Whether it was admitted before and returns to the queue, for a retry or a resumption. It is then exempt from the
    /// tenant's rate and the queue limit.
    pub readmitted: bool,
}

impl Waiting {
    /// Last time at which a dispatch can still meet the deadlines.
    pub fn latest_start_ms(&self) -> u64 {
        let by_total_ms = self.deadline_ms.saturating_sub(self.service_ms);
        if self.first_token_deadline_ms == 0 {
            return by_total_ms;
        }
        let by_first_ms = self
            .first_token_deadline_ms
            .saturating_sub(self.first_token_ms);
        by_total_ms.min(by_first_ms)
    }

    /// Whether a dispatch at `start_ms` meets the deadlines.
    pub fn is_in_time(&self, start_ms: u64) -> bool {
        let meets = |service_ms: u64, deadline_ms: u64| start_ms + service_ms <= deadline_ms;
        meets(self.service_ms, self.deadline_ms)
            && (self.first_token_deadline_ms == 0
                || meets(self.first_token_ms, self.first_token_deadline_ms))
    }

    /// Earliest of the deadlines.
    pub fn first_deadline_ms(&self) -> u64 {
        match self.first_token_deadline_ms {
            0 => self.deadline_ms,
            first_ms => first_ms.min(self.deadline_ms),
        }
    }
}

/// Why a request is not run. In every case it has not run since it was offered; a readmitted one may have run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The tenant is above its rate. Maps to HTTP 429.
    #[error("the tenant is above its request rate")]
    RateLimited { retry_after_ms: u64 },
    /// The rank's queue is full. Maps to HTTP 503.
    #[error("the queue of the rank is full")]
    QueueFull { retry_after_ms: u64 },
    /// The queue is full and the tenant has more than its share of it. Maps to HTTP 429.
    #[error("the tenant fills more than its share of the queue")]
    Displaced { retry_after_ms: u64 },
    /// The deadline would pass before the answer is whole. Maps to HTTP 503.
    #[error(
        "the deadline cannot be met: a wait of {wait_ms} ms is expected, {allowed_ms} ms are left"
    )]
    TooLate { wait_ms: u64, allowed_ms: u64 },
    /// The deadline passed while the request waited. Maps to HTTP 504.
    #[error("the deadline passed in the queue")]
    Expired,
}

/// A request that leaves the queue without having run.
#[derive(Clone, Debug, PartialEq)]
pub struct Refused {
    /// The request.
    pub waiting: Waiting,
    /// Why it was refused.
    pub refusal: Refusal,
}

/// How the queues are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Discipline {
    /// By rank, floor, tenant and deadline.
    #[default]
    Ranked,
    /// One queue in order of arrival: the baseline without ranks.
    SingleQueue,
}
