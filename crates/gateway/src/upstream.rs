//! What an entry believes of one upstream.

use conf::{Map, Name, Role};
use fleet::{Backlog, UpstreamRecord};

/// Ranks that are told apart. Less urgent ones count as the last.
pub const RANKS: usize = 4;

/// Failures in a row after which an upstream gets no requests for a while.
const CIRCUIT_FAILURES: u32 = 2;
/// Time for which the circuit is open after the first such failure, in milliseconds; it doubles with each further one.
const CIRCUIT_MIN_MS: u64 = 400;
/// Longest time for which the circuit is open, in milliseconds: a crashed upstream stays listed for some seconds.
const CIRCUIT_MAX_MS: u64 = 3_200;
/// Weight of the latest result in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Time in which the failure rate halves without any request, in milliseconds: an upstream that is avoided must be tried
/// again some time.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Time after which a prompt part that was used here may have left the cache, in milliseconds.
const SHARED_TTL_MS: u64 = 12_000;
/// Time after its first use at an engine from which a prompt part counts as computed there, in milliseconds: the length of a
/// usual queue and of a long prompt.
const EXPORT_AGE_MS: u64 = 400;
/// Prompt parts remembered for each upstream; the cache of an engine holds fewer long ones.
const SHARED_PARTS: usize = 256;

/// Work that a request adds to an upstream until it has begun or ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Charge {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// Prompt tokens to be computed.
    pub tokens: u32,
    /// Rank of the request.
    pub rank: u8,
}

/// One upstream as seen by this entry.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// What the platform lists.
    pub record: UpstreamRecord,
    /// Requests of this entry that run or wait there.
    pub running: u32,
    /// Prompt tokens of this entry that have not been computed there, by rank.
    pub tokens: [u32; RANKS],
    /// The same of the other entries in the availability zone.
    pub others_running: u32,
    /// Prompt tokens of the other entries, by rank.
    pub others_tokens: [u32; RANKS],
    failures: u32,
    failure_rate: f64,
    /// When the failure rate was last changed.
    failure_rate_ms: u64,
    open_until_ms: u64,
    /// Shared prompt parts of the requests that were sent there.
    shared: Map<u64, SharedUse>,
}

/// Use of a shared prompt part at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SharedUse {
    /// First use since the part was last unknown here.
    since_ms: u64,
    /// Latest use.
    used_ms: u64,
}

impl Upstream {
    /// Starts without load.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            record,
            ..Self::default()
        }
    }

    /// Returns whether it may get requests.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        !self.record.draining && now_ms >= self.open_until_ms
    }

    /// Returns whether it computes prompts for others.
    pub fn is_prefill(&self) -> bool {
        self.record.role == Some(Role::Prefill)
    }

    /// Returns requests known to run or wait there.
    pub fn total_running(&self) -> u32 {
        self.running + self.others_running
    }

    /// Returns whether half of its slots are known to be taken.
    pub fn is_half_full(&self) -> bool {
        self.total_running() * 2 >= self.record.slots
    }

    /// Returns prompt tokens that are computed before those of a further request. Ranks do not matter: an engine admits
    /// requests by priority, but computes the prompts that it has admitted in the order of their arrival.
    pub fn tokens_ahead(&self) -> u32 {
        let own: u32 = self.tokens.iter().sum();
        let others: u32 = self.others_tokens.iter().sum();
        own + others
    }

    /// Returns the moving share of failed requests.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failure_rate_ms);
        self.failure_rate * 0.5_f64.powf(age_ms as f64 / FAILURE_HALF_LIFE_MS)
    }

    /// Adds a request.
    pub fn add(&mut self, tokens: u32, rank: u8) {
        self.running += 1;
        self.tokens[rank_index(rank)] += tokens;
    }

    /// Removes the prompt tokens of a request, which have been computed.
    pub fn computed(&mut self, charge: &mut Charge) {
        let tokens = &mut self.tokens[rank_index(charge.rank)];
        *tokens = tokens.saturating_sub(charge.tokens);
        charge.tokens = 0;
    }

    /// Removes a request.
    pub fn remove(&mut self, mut charge: Charge) {
        self.computed(&mut charge);
        self.running = self.running.saturating_sub(1);
    }

    /// Takes over what the other entries have sent.
    pub fn set_others(&mut self, backlog: Option<&Backlog>) {
        self.others_running = backlog.map_or(0, |one| one.running);
        self.others_tokens = [0; RANKS];
        let tokens = backlog.map_or(&[][..], |one| &one.prompt_tokens);
        for (rank, tokens) in tokens.iter().enumerate() {
            self.others_tokens[rank.min(RANKS - 1)] += tokens;
        }
    }

    /// Returns what this entry has sent, if anything.
    pub fn backlog(&self) -> Option<Backlog> {
        (self.running > 0).then(|| Backlog {
            upstream: self.record.id.clone(),
            running: self.running,
            prompt_tokens: self.tokens.to_vec(),
        })
    }

    /// Returns whether a shared prompt part is believed to be cached, or computed before any further request.
    pub fn has_shared(&self, key: u64, now_ms: u64) -> bool {
        self.shared_use(key, now_ms).is_some()
    }

    /// Returns whether other engines are believed to be able to fetch a shared prompt part from here. A part that was
    /// sent there only just now may still wait to be computed.
    pub fn can_export(&self, key: u64, now_ms: u64) -> bool {
        let shared = self.shared_use(key, now_ms);
        shared.is_some_and(|shared| now_ms - shared.since_ms >= EXPORT_AGE_MS)
    }

    /// Returns when a shared prompt part was last used there, or 0.
    pub fn shared_used_ms(&self, key: u64) -> u64 {
        self.shared.get(&key).map_or(0, |shared| shared.used_ms)
    }

    /// Remembers that a shared prompt part is used there.
    pub fn add_shared(&mut self, key: u64, now_ms: u64) {
        let since_ms = self
            .shared_use(key, now_ms)
            .map_or(now_ms, |shared| shared.since_ms);
        let used_ms = now_ms;
        self.shared.insert(key, SharedUse { since_ms, used_ms });
        if self.shared.len() > SHARED_PARTS
            && let Some(oldest) = self.shared.iter().min_by_key(|(_, shared)| shared.used_ms)
        {
            let oldest = *oldest.0;
            self.shared.remove(&oldest);
        }
    }

    fn shared_use(&self, key: u64, now_ms: u64) -> Option<&SharedUse> {
        let shared = self.shared.get(&key)?;
        (now_ms - shared.used_ms <= SHARED_TTL_MS).then_some(shared)
    }

    /// Counts a request that was answered.
    pub fn succeeded(&mut self, now_ms: u64) {
        self.failures = 0;
        self.open_until_ms = 0;
        self.failure_rate = self.failure_rate(now_ms) * (1.0 - FAILURE_WEIGHT);
        self.failure_rate_ms = now_ms;
    }

    /// Counts a request that failed there. Returns whether the circuit is open now.
    pub fn failed(&mut self, now_ms: u64, is_unreachable: bool) -> bool {
        self.failures += 1;
        let rate = self.failure_rate(now_ms);
        self.failure_rate = rate + (1.0 - rate) * FAILURE_WEIGHT;
        self.failure_rate_ms = now_ms;
        let threshold = if is_unreachable { 1 } else { CIRCUIT_FAILURES };
        let Some(excess) = self.failures.checked_sub(threshold) else {
            return false;
        };
        let pause_ms = (CIRCUIT_MIN_MS << excess.min(8)).min(CIRCUIT_MAX_MS);
        self.open_until_ms = now_ms + pause_ms;
        true
    }
}

fn rank_index(rank: u8) -> usize {
    usize::from(rank).min(RANKS - 1)
}
