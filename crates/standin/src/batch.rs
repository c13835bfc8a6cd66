//! Model of an engine's continuous batching, without I/O, which a caller advances through simulated time.

use std::collections::BTreeMap;

use conf::{Map, Name, Role};

use crate::cache::PrefixCache;

/// Speeds and limits of an engine's batch.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSettings {
    /// Prefill speed, in prompt tokens per second.
    pub prefill_tokens_per_s: f64,
    /// Decode speed over all running requests, in output tokens per second.
    pub decode_tokens_per_s: f64,
    /// Maximum decode speed of one request, in output tokens per second.
    pub request_tokens_per_s: f64,
    /// Relative speed of decode on a prefill engine and of prefill on a decode engine, from 0 to 1.
    pub off_role_speed: f64,
    /// Relative speed of prefill and decode while a mixed engine does both, from 0 to 1.
    pub mixed_speed: f64,
    /// Maximum number of running requests.
    pub max_running: usize,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
    /// Number of tokens in one cache chunk.
    pub chunk_tokens: u32,
}

/// A request in the batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BatchRequest {
    /// Request id, unique among the waiting and running ones.
    pub id: Name,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of tokens of the prompt and of the resumed text.
    pub prompt_tokens: u32,
    /// Hashes of the complete chunks of the prompt.
    pub chunk_hashes: Vec<u64>,
    /// Number of leading chunks whose KV cache was imported from another engine.
    pub imported_chunks: usize,
    /// Number of tokens of the answer that another engine has already delivered.
    pub delivered_tokens: u32,
    /// Number of tokens of the complete answer.
    pub answer_tokens: u32,
}

/// Tokens that one step generates for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Request id.
    pub id: Name,
    /// Index of the first new token.
    pub from: u32,
    /// Index after the last new token.
    pub to: u32,
    /// Whether the answer is complete.
    pub finished: bool,
    /// Number of prompt tokens that were found in the cache or imported.
    pub cached_tokens: u32,
}

/// Numbers of requests and tokens for a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCounts {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Number of prompt tokens of waiting and running requests that have not been prefilled yet.
    pub prompt_tokens_waiting: u32,
    /// Number of tokens generated so far for the running requests.
    pub output_tokens_running: u32,
}

/// Key that orders requests by priority, then by arrival number.
type QueueKey = (u32, u64);

#[derive(Debug)]
struct RunningRequest {
    request: BatchRequest,
    prefill_tokens_left: f64,
    cached_tokens: u32,
    generated_tokens: u32,
    unemitted_tokens: f64,
}

/// The running set and the waiting queue of one engine.
#[derive(Debug)]
pub struct Batch {
    settings: BatchSettings,
    cache: PrefixCache,
    arrival_count: u64,
    waiting: BTreeMap<QueueKey, BatchRequest>,
    running: BTreeMap<QueueKey, RunningRequest>,
    queue_keys: Map<Name, QueueKey>,
}

impl Batch {
    /// Creates an idle batch with an empty prefix cache of `cache_chunks` chunks.
    pub fn new(settings: BatchSettings, cache_chunks: usize) -> Self {
        Self {
            settings,
            cache: PrefixCache::new(cache_chunks),
            arrival_count: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            queue_keys: Map::default(),
        }
    }

    /// Returns the prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Returns the prefix cache for storing imported chunks or taking its changes.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Returns whether no request runs or waits.
    pub fn is_idle(&self) -> bool {
        self.queue_keys.is_empty()
    }

    /// Returns whether the running set and the waiting queue are full.
    pub fn is_full(&self) -> bool {
        self.queue_keys.len() >= self.settings.max_running + self.settings.max_waiting
    }

    /// Returns whether a request with this id waits or runs.
    pub fn contains(&self, id: &Name) -> bool {
        self.queue_keys.contains_key(id)
    }

    /// Adds a request to the waiting queue.
    pub fn push(&mut self, request: BatchRequest) {
        self.arrival_count += 1;
        let queue_key = (request.priority, self.arrival_count);
        self.queue_keys.insert(request.id.clone(), queue_key);
        self.waiting.insert(queue_key, request);
    }

    /// Removes a request and returns the number of tokens of its answer that this engine or another one generated.
    pub fn cancel(&mut self, id: &Name) -> Option<u32> {
        let queue_key = self.queue_keys.remove(id)?;
        if let Some(request) = self.waiting.remove(&queue_key) {
            return Some(request.delivered_tokens);
        }
        self.running
            .remove(&queue_key)
            .map(|running| running.generated_tokens)
    }

    /// Returns the chunk hashes of the prompt of a waiting or running request.
    pub fn chunk_hashes_of(&self, id: &Name) -> Option<Vec<u64>> {
        let queue_key = self.queue_keys.get(id)?;
        let waiting = self.waiting.get(queue_key);
        let running = self.running.get(queue_key).map(|running| &running.request);
        waiting
            .or(running)
            .map(|request| request.chunk_hashes.clone())
    }

    /// Returns the numbers of requests and tokens for a load report.
    pub fn counts(&self) -> LoadCounts {
        let waiting_tokens: u32 = self.waiting.values().map(|r| r.prompt_tokens).sum();
        let prefill_tokens_left: f64 = self
            .running
            .values()
            .map(|r| r.prefill_tokens_left.ceil())
            .sum();
        LoadCounts {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prompt_tokens_waiting: waiting_tokens + prefill_tokens_left as u32,
            output_tokens_running: self.running.values().map(|r| r.generated_tokens).sum(),
        }
    }

    /// Advances the simulated time by `elapsed_ms` and returns the generated tokens, the most urgent request first.
    pub fn step(&mut self, elapsed_ms: f64, role: Role) -> Vec<Progress> {
        self.schedule_waiting();
        let prefilling = self.running.values().any(|r| r.prefill_tokens_left > 0.0);
        let decoding = self.running.values().any(|r| r.prefill_tokens_left <= 0.0);
        let (prefill_speed, decode_speed) = self.role_speeds(role, prefilling && decoding);
        let elapsed_s = elapsed_ms / 1_000.0;
        let decoding_keys = self.decoding_keys();
        self.prefill(self.settings.prefill_tokens_per_s * prefill_speed * elapsed_s);
        let progress = self.decode(&decoding_keys, decode_speed, elapsed_s);
        for finished in progress.iter().filter(|progress| progress.finished) {
            self.cancel(&finished.id);
        }
        progress
    }

    fn role_speeds(&self, role: Role, overlapping: bool) -> (f64, f64) {
        let off_role = self.settings.off_role_speed;
        match role {
            Role::Mixed if overlapping => (self.settings.mixed_speed, self.settings.mixed_speed),
            Role::Mixed => (1.0, 1.0),
            Role::Prefill => (1.0, off_role),
            Role::Decode => (off_role, 1.0),
        }
    }

    fn schedule_waiting(&mut self) {
        while self.running.len() < self.settings.max_running {
            let Some((queue_key, request)) = self.waiting.pop_first() else {
                return;
            };
            let running = self.schedule(request);
            self.running.insert(queue_key, running);
        }
    }

    fn schedule(&mut self, request: BatchRequest) -> RunningRequest {
        let cached_chunks = self
            .cache
            .touch_prefix(&request.chunk_hashes)
            .max(request.imported_chunks.min(request.chunk_hashes.len()));
        let cached_tokens =
            (cached_chunks as u32 * self.settings.chunk_tokens).min(request.prompt_tokens);
        // At least one token is prefilled, so that a request with a fully cached prompt also takes a step.
        let prefill_tokens_left = f64::from((request.prompt_tokens - cached_tokens).max(1));
        RunningRequest {
            prefill_tokens_left,
            cached_tokens,
            generated_tokens: request.delivered_tokens,
            unemitted_tokens: 0.0,
            request,
        }
    }

    fn decoding_keys(&self) -> Vec<QueueKey> {
        self.running
            .iter()
            .filter(|(_, request)| request.prefill_tokens_left <= 0.0)
            .map(|(queue_key, _)| *queue_key)
            .collect()
    }

    fn prefill(&mut self, mut budget_tokens: f64) {
        for running in self.running.values_mut() {
            if running.prefill_tokens_left <= 0.0 {
                continue;
            }
            let completed_tokens = running.prefill_tokens_left.min(budget_tokens);
            running.prefill_tokens_left -= completed_tokens;
            budget_tokens -= completed_tokens;
            if running.prefill_tokens_left <= 0.0 {
                self.cache.store(&running.request.chunk_hashes);
            }
            if budget_tokens <= 0.0 {
                return;
            }
        }
    }

    fn decode(&mut self, decoding_keys: &[QueueKey], speed: f64, elapsed_s: f64) -> Vec<Progress> {
        let request_share = self.settings.decode_tokens_per_s / decoding_keys.len().max(1) as f64;
        let rate = request_share.min(self.settings.request_tokens_per_s) * speed;
        let generate = |queue_key| self.running.get_mut(queue_key)?.generate(rate * elapsed_s);
        decoding_keys.iter().filter_map(generate).collect()
    }
}

impl RunningRequest {
    fn generate(&mut self, tokens: f64) -> Option<Progress> {
        self.unemitted_tokens += tokens;
        let left = self
            .request
            .answer_tokens
            .saturating_sub(self.generated_tokens);
        let new = (self.unemitted_tokens as u32).min(left);
        self.unemitted_tokens -= f64::from(new);
        let from = self.generated_tokens;
        self.generated_tokens += new;
        let finished = self.generated_tokens >= self.request.answer_tokens;
        (new > 0 || finished).then(|| Progress {
            id: self.request.id.clone(),
            from,
            to: self.generated_tokens,
            finished,
            cached_tokens: self.cached_tokens,
        })
    }
}
