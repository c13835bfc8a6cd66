//! The choice of a running request that gives up its place for a more urgent one.

/// Time that a cancellation takes to free a place, in milliseconds.
const CANCEL_MS: u64 = 10;
/// Times that one request may be preempted. More would let it do its work over and over.
const PREEMPTIONS_MAX: u32 = 2;

/// A request that runs at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Running {
    /// The request.
    pub id: u64,
    /// Its rank, 0 for the most urgent.
    pub rank: u8,
    /// Whether it can be cancelled and resumed, and its upstream can serve the waiting request.
    pub preemptible: bool,
    /// Tokens that would have to be computed again: its prompt where not cached, and its answer so far.
    pub lost_tokens: u32,
    /// Times that it was preempted before.
    pub preemptions: u32,
}

/// A preemption that saves a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// The running request to cancel and to offer again.
    pub victim: u64,
    /// The waiting request that takes its place.
    pub waiting: u64,
}

/// A waiting request whose deadline is in question.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct InDanger {
    pub(crate) rank: u8,
    pub(crate) latest_start_ms: u64,
    pub(crate) wait_ms: u64,
}

impl InDanger {
    /// Whether the deadline is missed by waiting and met by taking a place at once.
    pub(crate) fn is_saved(&self, now_ms: u64) -> bool {
        now_ms + CANCEL_MS <= self.latest_start_ms && now_ms + self.wait_ms > self.latest_start_ms
    }
}

/// Picks the running request to preempt for a request of `rank`: the least urgent, and of those the one that loses the
/// least work. Requests of a rank in `kept` are not touched, because their rank is at its floor.
pub fn victim(rank: u8, running: &[Running], kept: &[bool]) -> Option<u64> {
    let below = |running: &&Running| {
        running.rank > rank
            && running.preemptible
            && running.preemptions < PREEMPTIONS_MAX
            && !kept.get(running.rank as usize).copied().unwrap_or(false)
    };
    let candidates = running.iter().filter(below);
    candidates
        .min_by_key(|running| (u8::MAX - running.rank, running.lost_tokens, running.id))
        .map(|running| running.id)
}
