//! Selection of a running request to preempt for a more urgent one.

/// Time from a cancellation until the slot at the upstream is free, in milliseconds.
const CANCEL_MS: u64 = 10;
/// Number of times that one request may be preempted. A higher limit would let the tokens of one request be computed
/// many times.
const PREEMPTIONS_MAX: u32 = 2;

/// A request that runs at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunningRequest {
    /// Identifier of the request.
    pub id: u64,
    /// Rank of the request, 0 for the most urgent.
    pub rank: u8,
    /// Whether the request can be cancelled and resumed, and its upstream can serve the waiting request.
    pub preemptible: bool,
    /// Tokens that would have to be computed again: the part of the prompt that is not cached, and the answer so far.
    pub lost_tokens: u32,
    /// Number of earlier preemptions of the request.
    pub preemptions: u32,
}

/// A preemption with which a waiting request meets its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Identifier of the running request to cancel and to offer to the queues again.
    pub victim_id: u64,
    /// Identifier of the waiting request that gets the freed slot.
    pub waiting_id: u64,
}

/// The rank of a waiting request and the times that decide whether a preemption lets the request meet its deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DeadlineRisk {
    pub(crate) rank: u8,
    pub(crate) latest_start_ms: u64,
    pub(crate) wait_ms: u64,
}

impl DeadlineRisk {
    /// Returns whether the request misses its deadline by waiting and meets it if a running request is preempted now.
    pub(crate) fn is_met_by_preemption(&self, now_ms: u64) -> bool {
        now_ms + CANCEL_MS <= self.latest_start_ms && now_ms + self.wait_ms > self.latest_start_ms
    }
}

/// Returns the identifier of the running request to preempt for a request of `rank`: the least urgent one, and among
/// equals the one that loses the fewest tokens. Ranks marked in `protected` are not preempted, because they are below
/// their floors.
pub fn choose_victim(rank: u8, running: &[RunningRequest], protected: &[bool]) -> Option<u64> {
    let is_candidate = |running: &&RunningRequest| {
        running.rank > rank
            && running.preemptible
            && running.preemptions < PREEMPTIONS_MAX
            && !protected
                .get(running.rank as usize)
                .copied()
                .unwrap_or(false)
    };
    let candidates = running.iter().filter(is_candidate);
    candidates
        .min_by_key(|running| (u8::MAX - running.rank, running.lost_tokens, running.id))
        .map(|running| running.id)
}
