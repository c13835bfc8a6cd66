//! Waiting requests and the reasons to refuse one.

use conf::Name;
use thiserror::Error;

/// A request that waits for an upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WaitingRequest {
    /// Identifier of the request.
    pub id: u64,
    /// Client account of the caller.
    pub client_account: Name,
    /// Service that the request needs. Each service has its own capacity and its own floors.
    pub service: Name,
    /// Model or `MODEL:ADAPTER` that the request needs. Empty for a plain service.
    pub model: Name,
    /// Rank, 0 for the most urgent.
    pub rank: u8,
    /// Expected tokens of prompt and answer. 0, as for a plain service, counts as 1.
    pub tokens: u32,
    /// Expected time from the dispatch to the end of the answer, in milliseconds.
    pub service_ms: u64,
    /// Time at which the whole answer is due, in milliseconds.
    pub deadline_ms: u64,
    /// Expected time from the dispatch to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time at which the first token is due, in milliseconds. 0 if only the whole answer has a deadline.
    pub first_token_deadline_ms: u64,
    /// Whether the request was admitted before and returns to the queue for a retry or a resumption. A readmitted
    /// request is exempt from the client account's rate limit and from the queue limit.
    pub readmitted: bool,
}

impl WaitingRequest {
    /// Returns the last time at which a dispatch can still meet the deadlines, in milliseconds.
    pub fn latest_start_ms(&self) -> u64 {
        let by_total_ms = self.deadline_ms.saturating_sub(self.service_ms);
        if self.first_token_deadline_ms == 0 {
            return by_total_ms;
        }
        let by_first_token_ms = self
            .first_token_deadline_ms
            .saturating_sub(self.first_token_ms);
        by_total_ms.min(by_first_token_ms)
    }

    /// Returns whether a dispatch at `start_ms` meets the deadlines.
    pub fn is_in_time(&self, start_ms: u64) -> bool {
        let meets = |service_ms: u64, deadline_ms: u64| start_ms + service_ms <= deadline_ms;
        meets(self.service_ms, self.deadline_ms)
            && (self.first_token_deadline_ms == 0
                || meets(self.first_token_ms, self.first_token_deadline_ms))
    }

    /// Returns the earlier of the two deadlines, in milliseconds.
    pub fn first_deadline_ms(&self) -> u64 {
        match self.first_token_deadline_ms {
            0 => self.deadline_ms,
            first_token_deadline_ms => first_token_deadline_ms.min(self.deadline_ms),
        }
    }
}

/// Why a request is refused. A refused request has not run since it was offered; a readmitted one may have run before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The client account exceeds its request rate. Maps to HTTP 429.
    #[error("the client account is above its request rate")]
    RateLimited { retry_after_ms: u64 },
    /// The rank's queue is full. Maps to HTTP 503.
    #[error("the queue of the rank is full")]
    QueueFull { retry_after_ms: u64 },
    /// The queue is full and the client account holds more than its fair share of the queue. Maps to HTTP 429.
    #[error("the client account fills more than its share of the queue")]
    Displaced { retry_after_ms: u64 },
    /// The deadline would pass before the answer is complete. Maps to HTTP 503.
    #[error(
        "the deadline cannot be met: a wait of {wait_ms} ms is expected, {allowed_ms} ms are left"
    )]
    TooLate { wait_ms: u64, allowed_ms: u64 },
    /// The deadline passed while the request waited. Maps to HTTP 504.
    #[error("the deadline passed in the queue")]
    Expired,
}

/// A request that is removed from the queue without having been dispatched.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedRequest {
    /// The request as it waited.
    pub request: WaitingRequest,
    /// Why the request was refused.
    pub refusal: Refusal,
}

/// The order in which waiting requests are dispatched.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Discipline {
    /// By rank, floor, client account and deadline.
    #[default]
    Ranked,
    /// One queue in order of arrival, as a baseline without ranks.
    SingleQueue,
}
