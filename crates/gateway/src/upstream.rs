//! The load and health of one upstream, as an entry knows them.

use conf::{Map, Name, Role};
use fleet::{UpstreamLoad, UpstreamRecord};

use crate::exchange::StatedLimit;
use crate::limits::RequestLimit;
use crate::listing;
use crate::prefix::CachedParts;
use crate::speed::Speed;

/// Consecutive failures after which the circuit of an upstream opens, so that it gets no requests for some time.
const CIRCUIT_FAILURES: u32 = 2;
/// Time for which the circuit first opens, in milliseconds; the time doubles with each further failure.
const CIRCUIT_MIN_MS: u64 = 400;
/// Longest time for which the circuit is open, in milliseconds: a crashed upstream stays listed for some seconds.
const CIRCUIT_MAX_MS: u64 = 3_200;
/// Weight of the latest result in the moving failure rate.
const FAILURE_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate without any request, in milliseconds: an upstream that is avoided must be tried again
/// eventually.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;
/// Time after the last use of a prompt prefix at an engine from which the engine may have evicted the prefix, in
/// milliseconds.
const SHARED_PREFIX_TTL_MS: u64 = 12_000;
/// Time after the first use of a prompt prefix at an engine from which the prefix counts as computed there, in
/// milliseconds: the time for a usual backlog and a long prompt.
const EXPORT_MIN_AGE_MS: u64 = 400;
/// Interval at which the use of a prefix at an engine is reported to the other entries, in milliseconds. It is short
/// beside the time after which the prefix counts as evicted.
const PREFIX_REPORT_INTERVAL_MS: u64 = 2_000;
/// Prompt prefixes recorded for each upstream; the cache of an engine holds fewer long ones.
const MAX_SHARED_PREFIXES: usize = 256;

/// Load that a request adds to an upstream. The prompt tokens count until they are computed, the request until its call
/// ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AssignedWork {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// Prompt tokens that the upstream still has to compute.
    pub tokens: u32,
}

/// One upstream, with the load that this entry and other entries have sent to it.
#[derive(Clone, Debug, Default)]
pub struct Upstream {
    /// The upstream's record in the platform's list.
    pub record: UpstreamRecord,
    /// Hash of the record as the list shows it.
    pub record_hash: u64,
    /// Key that stands for the upstream in load messages.
    pub key: u64,
    /// Requests of this entry that run or wait at the upstream.
    pub running: u32,
    /// Prompt tokens of this entry that the upstream has not computed.
    pub prompt_tokens: u32,
    /// Requests of the other entries in the availability zone that run or wait at the upstream.
    pub others_running: u32,
    /// Prompt tokens of those entries that the upstream has not computed.
    pub others_prompt_tokens: u32,
    /// Limit on requests that the latest answer stated.
    pub stated_limit: StatedLimit,
    /// Limit on requests that holds.
    pub limit: Option<RequestLimit>,
    /// Until when the upstream wants no requests of this entry, in milliseconds.
    pub paused_until_ms: u64,
    /// How fast the upstream works.
    pub speed: Speed,
    /// When the limit was last logged.
    pub limit_logged_ms: u64,
    consecutive_failures: u32,
    failure_rate: f64,
    /// When the failure rate was last changed.
    failure_rate_updated_ms: u64,
    circuit_open_until_ms: u64,
    /// Shared prefixes of the prompts that were sent to the upstream, by key.
    shared_prefixes: Map<u64, SharedPrefixUse>,
    /// Parts of prompts that were sent to the upstream, if cached prefixes are weighed.
    pub cached_parts: CachedParts,
}

/// Use of a shared prompt prefix at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SharedPrefixUse {
    /// Time of the first use since the prefix was last unknown at the engine.
    first_used_ms: u64,
    /// Time of the latest use.
    last_used_ms: u64,
    /// Time of the latest use that this entry or another one has reported to the other entries.
    reported_ms: u64,
}

impl Upstream {
    /// Creates an upstream without load.
    pub fn new(record: UpstreamRecord) -> Self {
        Self {
            record_hash: listing::record_hash(&record),
            key: listing::upstream_key(&record.id),
            record,
            ..Self::default()
        }
    }

    /// Returns whether the upstream may get requests.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        !self.record.draining
            && !self.record.is_changing
            && now_ms >= self.circuit_open_until_ms.max(self.paused_until_ms)
    }

    /// Returns whether the upstream is an engine that computes prompts for other engines.
    pub fn is_prefill(&self) -> bool {
        self.record.role == Some(Role::Prefill)
    }

    /// Returns the number of requests known to run or wait at the upstream.
    pub fn total_running(&self) -> u32 {
        self.running + self.others_running
    }

    /// Returns whether at least half of the slots are known to be taken.
    pub fn is_half_full(&self) -> bool {
        self.total_running() * 2 >= self.record.slots
    }

    /// Returns the prompt tokens that are computed before those of a further request. Ranks do not matter: an engine
    /// admits requests by priority, but computes the prompts that it has admitted in the order of their arrival.
    pub fn tokens_ahead(&self) -> u32 {
        self.prompt_tokens + self.others_prompt_tokens
    }

    /// Returns the moving average of the share of failed requests, from 0 to 1.
    pub fn failure_rate(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.failure_rate_updated_ms);
        self.failure_rate * 0.5_f64.powf(age_ms as f64 / FAILURE_HALF_LIFE_MS)
    }

    /// Returns the time until the upstream's limit allows a request, in milliseconds.
    pub fn limit_wait_ms(&self, now_ms: u64, entries: u32) -> f64 {
        let limit = self.limit.as_ref();
        limit.map_or(0.0, |limit| limit.wait_ms(now_ms, entries))
    }

    /// Adds a request and its prompt tokens to the load.
    pub fn add_request(&mut self, tokens: u32) {
        self.running += 1;
        self.prompt_tokens += tokens;
    }

    /// Removes the prompt tokens of a request from the load, since they have been computed.
    pub fn remove_prompt_tokens(&mut self, assigned_work: &mut AssignedWork) {
        self.prompt_tokens = self.prompt_tokens.saturating_sub(assigned_work.tokens);
        assigned_work.tokens = 0;
    }

    /// Removes a request from the load.
    pub fn remove_request(&mut self, mut assigned_work: AssignedWork) {
        self.remove_prompt_tokens(&mut assigned_work);
        self.running = self.running.saturating_sub(1);
    }

    /// Sets the load of the other entries at this upstream.
    pub fn set_others_load(&mut self, load: &UpstreamLoad) {
        self.others_running = load.running;
        self.others_prompt_tokens = load.prompt_tokens;
    }

    /// Returns the load of this entry at the upstream, if there is any.
    pub fn own_load(&self) -> Option<UpstreamLoad> {
        (self.running > 0).then_some(UpstreamLoad {
            upstream_key: self.key,
            running: self.running,
            prompt_tokens: self.prompt_tokens,
        })
    }

    /// Returns whether a shared prefix is expected to be cached, or to be computed before any further request.
    pub fn has_shared_prefix(&self, key: u64, now_ms: u64) -> bool {
        self.shared_prefix_use(key, now_ms).is_some()
    }

    /// Returns whether other engines are expected to be able to fetch a shared prefix from this upstream. A prefix that
    /// was sent only recently may still wait to be computed.
    pub fn can_export(&self, key: u64, now_ms: u64) -> bool {
        let prefix_use = self.shared_prefix_use(key, now_ms);
        prefix_use.is_some_and(|prefix_use| now_ms - prefix_use.first_used_ms >= EXPORT_MIN_AGE_MS)
    }

    /// Returns when a shared prefix was last used at the upstream.
    pub fn shared_prefix_used_ms(&self, key: u64) -> Option<u64> {
        let prefix_use = self.shared_prefixes.get(&key)?;
        Some(prefix_use.last_used_ms)
    }

    /// Records a use of a shared prefix at the upstream by this entry. Returns whether the use is to be reported to the
    /// other entries.
    pub fn use_shared_prefix(&mut self, key: u64, now_ms: u64) -> bool {
        let previous = self.shared_prefix_use(key, now_ms);
        let reported_ms = previous.map_or(0, |prefix_use| prefix_use.reported_ms);
        let is_due = reported_ms == 0 || now_ms - reported_ms >= PREFIX_REPORT_INTERVAL_MS;
        let reported_ms = if is_due { now_ms } else { reported_ms };
        self.record_shared_prefix(key, now_ms, reported_ms);
        is_due
    }

    /// Records a use of a shared prefix at the upstream that another entry has reported.
    pub fn on_reported_prefix(&mut self, key: u64, now_ms: u64) {
        self.record_shared_prefix(key, now_ms, now_ms);
    }

    fn record_shared_prefix(&mut self, key: u64, now_ms: u64, reported_ms: u64) {
        let previous = self.shared_prefix_use(key, now_ms);
        let prefix_use = SharedPrefixUse {
            first_used_ms: previous.map_or(now_ms, |prefix_use| prefix_use.first_used_ms),
            last_used_ms: now_ms,
            reported_ms,
        };
        self.shared_prefixes.insert(key, prefix_use);
        if self.shared_prefixes.len() > MAX_SHARED_PREFIXES
            && let Some(oldest) = self
                .shared_prefixes
                .iter()
                .min_by_key(|(_, prefix_use)| prefix_use.last_used_ms)
        {
            let oldest = *oldest.0;
            self.shared_prefixes.remove(&oldest);
        }
    }

    fn shared_prefix_use(&self, key: u64, now_ms: u64) -> Option<&SharedPrefixUse> {
        let prefix_use = self.shared_prefixes.get(&key)?;
        (now_ms - prefix_use.last_used_ms <= SHARED_PREFIX_TTL_MS).then_some(prefix_use)
    }

    /// Counts a request that was answered.
    pub fn on_success(&mut self, now_ms: u64) {
        self.consecutive_failures = 0;
        self.circuit_open_until_ms = 0;
        self.failure_rate = self.failure_rate(now_ms) * (1.0 - FAILURE_WEIGHT);
        self.failure_rate_updated_ms = now_ms;
    }

    /// Counts a request that failed at the upstream. Returns whether the circuit is now open.
    pub fn on_failure(&mut self, now_ms: u64, is_unreachable: bool) -> bool {
        self.consecutive_failures += 1;
        let failure_rate = self.failure_rate(now_ms);
        self.failure_rate = failure_rate + (1.0 - failure_rate) * FAILURE_WEIGHT;
        self.failure_rate_updated_ms = now_ms;
        let threshold = if is_unreachable { 1 } else { CIRCUIT_FAILURES };
        let Some(excess) = self.consecutive_failures.checked_sub(threshold) else {
            return false;
        };
        let open_ms = (CIRCUIT_MIN_MS << excess.min(8)).min(CIRCUIT_MAX_MS);
        self.circuit_open_until_ms = now_ms + open_ms;
        true
    }
}
