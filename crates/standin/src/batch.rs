//! Continuous batching of an engine, as a pure model that is stepped through simulated time.

use std::collections::BTreeMap;

use conf::{Map, Name, Role};

use crate::cache::PrefixCache;

/// Speeds and bounds of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Speeds {
    /// Prompt tokens computed a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated a second, over all running requests.
    pub decode_tokens_per_s: f64,
    /// Output tokens generated a second for one request.
    pub request_tokens_per_s: f64,
    /// Speed of the work that the engine's role is not meant for, from 0 to 1.
    pub off_role_speed: f64,
    /// Speed of either work while a mixed engine does both, from 0 to 1.
    pub mixed_speed: f64,
    /// Requests that run at once.
    pub max_running: usize,
    /// Requests that wait at most.
    pub max_waiting: usize,
    /// Tokens in one cache chunk.
    pub chunk_tokens: u32,
}

/// A request as the batch sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Job {
    /// Request id, unique among the waiting and running ones.
    pub id: Name,
    /// Priority, 0 most urgent.
    pub priority: u32,
    /// Tokens of the prompt and of the text that is resumed.
    pub prompt_tokens: u32,
    /// Hashes of the whole chunks of the prompt.
    pub chunks: Vec<u64>,
    /// Leading chunks whose KV cache came from another engine.
    pub imported_chunks: usize,
    /// Tokens of the answer that are already delivered.
    pub delivered_tokens: u32,
    /// Tokens of the whole answer.
    pub answer_tokens: u32,
}

/// Output of one request in one step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Request id.
    pub id: Name,
    /// First new token.
    pub from: u32,
    /// End of the new tokens, exclusive.
    pub to: u32,
    /// Whether the answer is complete.
    pub finished: bool,
    /// Prompt tokens that were found in the cache or imported.
    pub cached_tokens: u32,
}

/// Counts for a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens not yet computed, of waiting and running requests.
    pub prompt_tokens_waiting: u32,
    /// Tokens generated so far for the running requests.
    pub output_tokens_running: u32,
}

/// Order in which requests are served: by priority, then by arrival.
type Rank = (u32, u64);

#[derive(Debug)]
struct Sequence {
    job: Job,
    prefill_left: f64,
    cached_tokens: u32,
    done_tokens: u32,
    credit: f64,
}

/// The running set and the waiting queue of one engine.
#[derive(Debug)]
pub struct Batch {
    speeds: Speeds,
    cache: PrefixCache,
    arrivals: u64,
    waiting: BTreeMap<Rank, Job>,
    running: BTreeMap<Rank, Sequence>,
    ranks: Map<Name, Rank>,
}

impl Batch {
    /// Creates an idle batch with an empty cache of `cache_chunks`.
    pub fn new(speeds: Speeds, cache_chunks: usize) -> Self {
        Self {
            speeds,
            cache: PrefixCache::new(cache_chunks),
            arrivals: 0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            ranks: Map::default(),
        }
    }

    /// The prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// The prefix cache, to store imported chunks or take its changes.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.ranks.is_empty()
    }

    /// Whether the running set and the waiting queue take no more.
    pub fn is_full(&self) -> bool {
        self.ranks.len() >= self.speeds.max_running + self.speeds.max_waiting
    }

    /// Whether a request with this id waits or runs.
    pub fn contains(&self, id: &Name) -> bool {
        self.ranks.contains_key(id)
    }

    /// Adds a request to the queue.
    pub fn push(&mut self, job: Job) {
        self.arrivals += 1;
        let rank = (job.priority, self.arrivals);
        self.ranks.insert(job.id.clone(), rank);
        self.waiting.insert(rank, job);
    }

    /// Removes a request and returns the number of tokens generated for it.
    pub fn cancel(&mut self, id: &Name) -> Option<u32> {
        let rank = self.ranks.remove(id)?;
        if let Some(job) = self.waiting.remove(&rank) {
            return Some(job.delivered_tokens);
        }
        self.running
            .remove(&rank)
            .map(|sequence| sequence.done_tokens)
    }

    /// Chunks of a waiting or running request's prompt.
    pub fn chunks_of(&self, id: &Name) -> Option<Vec<u64>> {
        let rank = self.ranks.get(id)?;
        let waiting = self.waiting.get(rank);
        let running = self.running.get(rank).map(|sequence| &sequence.job);
        waiting.or(running).map(|job| job.chunks.clone())
    }

    /// Counts for a load report.
    pub fn counts(&self) -> Counts {
        let waiting_tokens: u32 = self.waiting.values().map(|job| job.prompt_tokens).sum();
        let prefill_left: f64 = self.running.values().map(|s| s.prefill_left.ceil()).sum();
        Counts {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prompt_tokens_waiting: waiting_tokens + prefill_left as u32,
            output_tokens_running: self.running.values().map(|s| s.done_tokens).sum(),
        }
    }

    /// Advances by `elapsed_ms` of simulated time and returns the output in serving order.
    pub fn step(&mut self, elapsed_ms: f64, role: Role) -> Vec<Progress> {
        self.start_waiting();
        let prefilling = self.running.values().any(|s| s.prefill_left > 0.0);
        let decoding = self.running.values().any(|s| s.prefill_left <= 0.0);
        let (prefill_speed, decode_speed) = self.role_speeds(role, prefilling && decoding);
        let elapsed_s = elapsed_ms / 1_000.0;
        let decodable = self.decodable();
        self.prefill(self.speeds.prefill_tokens_per_s * prefill_speed * elapsed_s);
        let progress = self.decode(&decodable, decode_speed, elapsed_s);
        for done in progress.iter().filter(|progress| progress.finished) {
            self.cancel(&done.id);
        }
        progress
    }

    fn role_speeds(&self, role: Role, both: bool) -> (f64, f64) {
        let off_role = self.speeds.off_role_speed;
        match role {
            Role::Mixed if both => (self.speeds.mixed_speed, self.speeds.mixed_speed),
            Role::Mixed => (1.0, 1.0),
            Role::Prefill => (1.0, off_role),
            Role::Decode => (off_role, 1.0),
        }
    }

    fn start_waiting(&mut self) {
        while self.running.len() < self.speeds.max_running {
            let Some((rank, job)) = self.waiting.pop_first() else {
                return;
            };
            let sequence = self.start(job);
            self.running.insert(rank, sequence);
        }
    }

    fn start(&mut self, job: Job) -> Sequence {
        let cached_chunks = self
            .cache
            .touch_prefix(&job.chunks)
            .max(job.imported_chunks.min(job.chunks.len()));
        let cached_tokens =
            (cached_chunks as u32 * self.speeds.chunk_tokens).min(job.prompt_tokens);
        // At least one token is computed, so that a cached prompt also takes a step.
        let prefill_left = f64::from((job.prompt_tokens - cached_tokens).max(1));
        Sequence {
            prefill_left,
            cached_tokens,
            done_tokens: job.delivered_tokens,
            credit: 0.0,
            job,
        }
    }

    fn decodable(&self) -> Vec<Rank> {
        self.running
            .iter()
            .filter(|(_, sequence)| sequence.prefill_left <= 0.0)
            .map(|(rank, _)| *rank)
            .collect()
    }

    fn prefill(&mut self, mut budget_tokens: f64) {
        for sequence in self.running.values_mut() {
            if sequence.prefill_left <= 0.0 {
                continue;
            }
            let done = sequence.prefill_left.min(budget_tokens);
            sequence.prefill_left -= done;
            budget_tokens -= done;
            if sequence.prefill_left <= 0.0 {
                self.cache.store(&sequence.job.chunks);
            }
            if budget_tokens <= 0.0 {
                return;
            }
        }
    }

    fn decode(&mut self, decodable: &[Rank], speed: f64, elapsed_s: f64) -> Vec<Progress> {
        let share = self.speeds.decode_tokens_per_s / decodable.len().max(1) as f64;
        let rate = share.min(self.speeds.request_tokens_per_s) * speed;
        let advance = |rank| self.running.get_mut(rank)?.advance(rate * elapsed_s);
        decodable.iter().filter_map(advance).collect()
    }
}

impl Sequence {
    fn advance(&mut self, tokens: f64) -> Option<Progress> {
        self.credit += tokens;
        let left = self.job.answer_tokens.saturating_sub(self.done_tokens);
        let new = (self.credit as u32).min(left);
        self.credit -= f64::from(new);
        let from = self.done_tokens;
        self.done_tokens += new;
        let finished = self.done_tokens >= self.job.answer_tokens;
        (new > 0 || finished).then(|| Progress {
            id: self.job.id.clone(),
            from,
            to: self.done_tokens,
            finished,
            cached_tokens: self.cached_tokens,
        })
    }
}
