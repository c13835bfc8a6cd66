//! What an entry believes of the prompt parts whose KV cache engines hold.
//!
//! Engines evict the parts that were used least recently once their memory is full. An entry learns of the uses of parts
//! from its own requests and, later, from the reports of other entries. It estimates the remaining traffic from its
//! own, and compares the durations of prefills with what it expected.

use conf::{Map, Name};

use crate::exchange::Prompt;
use crate::place;

/// Age of a use when the report of another entry arrives, in milliseconds: two intervals between messages.
const REPORT_DELAY_MS: u64 = 300;
/// Time after which a part that was sent to an engine is expected to be computed, in milliseconds: the time for a usual
/// backlog and a long prompt.
const COMPUTED_AFTER_MS: u64 = 400;
/// Exponent of the probability curve: a part at four fifths of an engine's memory is probably held, one at five fourths
/// probably evicted.
const EVICTION_SHARPNESS: i32 = 6;
/// Probability below which a part counts as evicted.
const EVICTED_PROBABILITY: f64 = 0.01;
/// Most parts recorded for an engine; its memory holds fewer long ones.
const MAX_PARTS_PER_ENGINE: usize = 256;
/// Most parts of a prompt that the report of its last shared part covers.
const MAX_PARTS_PER_PROMPT: usize = 16;
/// Most parts whose size and traffic are recorded.
const MAX_KNOWN_PARTS: usize = 4_096;
/// Time after its last use at which a part's size and traffic may be dropped, in milliseconds.
const KNOWN_PART_TTL_MS: u64 = 30_000;
/// Half-life of the traffic estimates, in milliseconds: shorter than the usual waves of traffic.
const RATE_HALF_LIFE_MS: f64 = 4_000.0;
/// Tokens of a part of which neither this entry nor the prompts that it has seen know the size.
const UNKNOWN_PART_TOKENS: u32 = 4_000;
/// Shared tokens of a prompt from which the uses of its prefix are reported: a transfer of fewer is hardly worth a call.
pub const REPORTED_MIN_TOKENS: u32 = place::FETCH_MIN_TOKENS;
/// Weight of the latest request in averages.
const AVERAGE_WEIGHT: f64 = 0.1;
/// Weight of an observation in the share of the memory that holds parts. An entry makes few observations.
const ROOM_WEIGHT: f64 = 0.25;
/// Bounds of the share of an engine's free memory that is believed to hold parts. Traffic of which this entry does not
/// know takes the rest.
const ROOM_RANGE: (f64, f64) = (0.1, 4.0);
/// Probability that a prefill whose prefix was held takes as long as one that was not, because the engine had work of
/// which the entry did not know.
const SLOW_ANYWAY_PROBABILITY: f64 = 0.25;
/// Shortest prefill time that a held prefix must save for an answer to show whether it was held, in milliseconds.
const MIN_SHOWN_MS: f64 = 40.0;
/// Share of the saved time from which a prefill counts as that of a prefix that was not held.
const MISS_SHARE: f64 = 0.6;
/// Multiple of the saved time above which a prefill was delayed by more than a prefix that was not held.
const MAX_MISS_SHARE: f64 = 1.5;
/// Weight of a slow transfer in the expected duration of transfers. Its engine may have had other work.
const SLOW_TRANSFER_WEIGHT: f64 = 0.1;
/// Weight of a fast transfer, which the link alone explains.
const FAST_TRANSFER_WEIGHT: f64 = 0.8;
/// Largest factor on the stated duration of a transfer.
const MAX_TRANSFER_FACTOR: f64 = 50.0;
/// Half-life of the factor on the duration of transfers without any transfer, in milliseconds: links recover, which only
/// another transfer shows.
const TRANSFER_HALF_LIFE_MS: f64 = 2_000.0;

/// How the choice of an engine takes cached prefixes into account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PrefixPlacement {
    /// A prefix counts as held for a fixed time after its use.
    #[default]
    ByAge,
    /// The time that a prefix saves is weighed against the wait, for services whose document states the memory of their
    /// engines and the links between them.
    Weighed,
}

/// A decaying sum of events, from which their rate follows.
#[derive(Clone, Copy, Debug, Default)]
struct RateMeter {
    sum: f64,
    updated_ms: u64,
}

impl RateMeter {
    fn add(&mut self, now_ms: u64, amount: f64) {
        self.sum = self.decayed(now_ms) + amount;
        self.updated_ms = now_ms;
    }

    fn decayed(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.sum * 0.5_f64.powf(age_ms / RATE_HALF_LIFE_MS)
    }

    /// Returns the rate per millisecond.
    fn per_ms(&self, now_ms: u64) -> f64 {
        self.decayed(now_ms) * std::f64::consts::LN_2 / RATE_HALF_LIFE_MS
    }
}

/// Use of a part at an engine.
#[derive(Clone, Copy, Debug)]
struct PartUse {
    /// When the part was computed, or is expected to be.
    computed_ms: u64,
    last_used_ms: u64,
    tokens: u32,
    /// Value of [`CachedParts::own_tokens`] at the last use.
    own_tokens: f64,
}

/// The parts that were sent to one engine since it started.
#[derive(Clone, Debug, Default)]
pub struct CachedParts {
    uses: Map<u64, PartUse>,
    /// Sum of the tokens of all recorded parts.
    recorded_tokens: f64,
    first_used_ms: Option<u64>,
    /// Tokens that belong to single requests and were sent with the recorded parts.
    own_tokens: f64,
}

impl CachedParts {
    fn record(&mut self, key: u64, tokens: u32, used_ms: u64, computed_ms: u64) {
        self.first_used_ms.get_or_insert(used_ms);
        let part = self.uses.entry(key).or_insert(PartUse {
            computed_ms,
            last_used_ms: used_ms,
            tokens: 0,
            own_tokens: 0.0,
        });
        self.recorded_tokens += f64::from(tokens) - f64::from(part.tokens);
        part.last_used_ms = part.last_used_ms.max(used_ms);
        part.computed_ms = part.computed_ms.min(computed_ms);
        part.tokens = tokens;
        part.own_tokens = self.own_tokens;
        if self.uses.len() > MAX_PARTS_PER_ENGINE
            && let Some(oldest) = self.uses.iter().min_by_key(|(_, part)| part.last_used_ms)
        {
            let oldest = *oldest.0;
            if let Some(part) = self.uses.remove(&oldest) {
                self.recorded_tokens -= f64::from(part.tokens);
            }
        }
    }

    /// Returns how many of some further tokens evict others.
    pub fn evicted_tokens(&self, tokens: f64, memory: &Memory, now_ms: u64) -> f64 {
        let age_ms = self
            .first_used_ms
            .map_or(0, |first_used_ms| now_ms.saturating_sub(first_used_ms));
        let used_tokens =
            self.recorded_tokens + self.own_tokens + memory.flow_tokens_per_ms * age_ms as f64;
        (used_tokens + tokens - memory.free_tokens).clamp(0.0, tokens)
    }

    /// Returns the tokens that were used at the engine after the last use of a part.
    fn tokens_since(&self, part: &PartUse, memory: &Memory, now_ms: u64) -> f64 {
        let later = self.uses.values();
        let later = later.filter(|other| other.last_used_ms > part.last_used_ms);
        let later_tokens: f64 = later.map(|other| f64::from(other.tokens)).sum();
        let age_ms = now_ms.saturating_sub(part.last_used_ms) as f64;
        let own_tokens = self.own_tokens - part.own_tokens;
        later_tokens + own_tokens + memory.flow_tokens_per_ms * age_ms
    }

    /// Returns the tokens used after a part, as a multiple of the memory for parts; none for a part that was never used.
    fn depth(&self, key: u64, memory: &Memory, now_ms: u64) -> Option<f64> {
        let part = self.uses.get(&key)?;
        // The part itself has to fit as well.
        let tokens = self.tokens_since(part, memory, now_ms) + f64::from(part.tokens);
        Some(tokens / memory.free_tokens.max(1.0))
    }

    /// Records that the engine has computed or received a prompt.
    pub fn on_computed(&mut self, now_ms: u64, prompt: &Prompt) {
        for key in prompt.shared_keys() {
            if let Some(part) = self.uses.get_mut(&key) {
                part.computed_ms = part.computed_ms.min(now_ms);
            }
        }
    }

    /// Forgets the parts that only a call that has failed would have brought to the engine.
    pub fn on_failed(&mut self, sent_ms: u64, prompt: &Prompt) {
        for (key, tokens) in prompt.shared_parts() {
            let part = self.uses.get(key);
            if part.is_some_and(|part| part.last_used_ms == sent_ms && part.computed_ms > sent_ms) {
                self.uses.remove(key);
                self.recorded_tokens -= f64::from(*tokens);
            }
        }
    }

    /// Returns whether other engines can fetch a shared prefix from this engine: whether it is computed and not only
    /// queued.
    pub fn can_export(&self, prompt: &Prompt, now_ms: u64) -> bool {
        let part = prompt
            .shared_prefix()
            .and_then(|(key, _)| self.uses.get(&key));
        part.is_some_and(|part| now_ms >= part.computed_ms)
    }

    /// Returns when a part was last used at the engine.
    pub fn last_used_ms(&self, key: u64) -> Option<u64> {
        self.uses.get(&key).map(|part| part.last_used_ms)
    }
}

/// The memory of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// Tokens that cached parts may take: the rest belongs to running requests.
    pub free_tokens: f64,
    /// Tokens that the engine's memory takes in from parts that nobody reports, per millisecond.
    pub flow_tokens_per_ms: f64,
}

/// What the memory of a service's engines depends on.
#[derive(Clone, Copy, Debug)]
pub struct MemoryModel {
    kv_tokens: f64,
    room: f64,
    /// Average tokens of a request.
    pub request_tokens: f64,
    computed_per_ms: f64,
    handed_off_per_ms: f64,
    /// Tokens of later requests that are computed again for each token that a full memory takes in.
    pub eviction_share: f64,
    /// Factor by which transfers take longer than the stated bandwidth gives.
    pub transfer_factor: f64,
}

impl MemoryModel {
    /// Returns the memory for parts of an engine at which `running` requests run or wait.
    pub fn memory(&self, is_decoder: bool, running: u32) -> Memory {
        let running_tokens = f64::from(running) * self.request_tokens;
        Memory {
            free_tokens: (self.kv_tokens - running_tokens).max(0.0) * self.room,
            flow_tokens_per_ms: match is_decoder {
                true => self.handed_off_per_ms,
                false => self.computed_per_ms,
            },
        }
    }
}

/// How much of a prompt an engine is believed to hold.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeldPrefix {
    /// Expected number of tokens.
    pub tokens: f64,
    /// Probability that the whole shared prefix is held.
    pub probability: f64,
    /// Tokens used at the engine after the shared prefix, as a multiple of its memory; 0 if the prefix was not used.
    pub depth: f64,
}

/// What a prefill shows of a shared prefix that was believed held or fetched.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expectation {
    /// The belief at the time of the choice.
    pub held: HeldPrefix,
    /// Expected duration of the call if the prefix is held, in milliseconds.
    pub held_ms: f64,
    /// Time that the held prefix saves, in milliseconds.
    pub saved_ms: f64,
    /// Stated duration of the transfer of the prefix, in milliseconds; 0 without one.
    pub fetch_ms: f64,
}

/// The result of the comparison of a prefill with its expectation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// The prefix was held.
    Held,
    /// The prefix was computed again, or the engine had work of which the entry did not know.
    Computed,
    /// The duration does not show it.
    Unclear,
}

impl Observation {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Computed => "computed",
            Self::Unclear => "unclear",
        }
    }
}

/// Size and traffic of a part.
#[derive(Clone, Copy, Debug, Default)]
struct KnownPart {
    tokens: u32,
    /// The part before this one in prompts; none for the first part.
    parent: Option<u64>,
    /// Uses by this entry's requests.
    own_uses: RateMeter,
    /// Uses that this entry or others have reported.
    known_uses: RateMeter,
    last_used_ms: u64,
}

/// Traffic and observations of the engines of one service.
#[derive(Clone, Copy, Debug)]
struct ServiceTraffic {
    /// Tokens that this entry's requests without a reported prefix write to the memory of the engines that compute their
    /// prompts.
    computed: RateMeter,
    /// The same for the engines that generate from a handle.
    handed_off: RateMeter,
    /// Average tokens of a request.
    request_tokens: f64,
    /// Average tokens of a request after a reported prefix.
    own_tokens: f64,
    /// Share of the free memory that is believed to hold parts.
    room: f64,
    /// Tokens of requests that were believed held, and those that were computed.
    held_tokens: RateMeter,
    written_tokens: RateMeter,
    transfer_factor: f64,
    transfer_updated_ms: u64,
}

impl Default for ServiceTraffic {
    fn default() -> Self {
        Self {
            computed: RateMeter::default(),
            handed_off: RateMeter::default(),
            request_tokens: 0.0,
            own_tokens: 0.0,
            room: 1.0,
            held_tokens: RateMeter::default(),
            written_tokens: RateMeter::default(),
            transfer_factor: 1.0,
            transfer_updated_ms: 0,
        }
    }
}

impl ServiceTraffic {
    /// Returns the tokens of later requests that are computed again for each token that a full memory takes in.
    fn eviction_share(&self, now_ms: u64) -> f64 {
        let written_tokens = self.written_tokens.decayed(now_ms).max(1.0);
        let uses_per_token = self.held_tokens.decayed(now_ms) / written_tokens;
        // The parts that are evicted are those that were used least recently.
        (uses_per_token / 2.0).min(1.0)
    }

    fn transfer_factor(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.transfer_updated_ms) as f64;
        let share = 0.5_f64.powf(age_ms / TRANSFER_HALF_LIFE_MS);
        1.0 + (self.transfer_factor - 1.0) * share
    }
}

/// The engines of a service as this entry knows them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceSize {
    /// Number of tokens whose KV cache fits into an engine's memory.
    pub kv_tokens: u64,
    /// Number of entries in this entry's availability zone.
    pub zone_entries: f64,
    /// Number of engines in the zone that compute prompts for themselves or others.
    pub zone_engines: f64,
    /// Number of engines in the zone that generate from handles.
    pub zone_decoders: f64,
}

/// The sizes and traffic of parts and services, as one entry knows them.
#[derive(Clone, Debug, Default)]
pub struct Prefixes {
    known_parts: Map<u64, KnownPart>,
    services: Map<Name, ServiceTraffic>,
}

impl Prefixes {
    /// Records that a request of this entry was sent to an engine that computes its prompt, of which `held_tokens` are
    /// believed held.
    pub fn on_computed(
        &mut self,
        now_ms: u64,
        service: &Name,
        prompt: &Prompt,
        held_tokens: f64,
        parts: &mut CachedParts,
    ) {
        self.record_shared(now_ms, prompt, parts);
        let shared_tokens = prompt.shared_tokens();
        let own_tokens = f64::from(prompt.tokens - shared_tokens);
        let traffic = self.services.entry(service.clone()).or_default();
        match is_reported(prompt) {
            true => {
                parts.own_tokens += own_tokens;
                average(&mut traffic.own_tokens, own_tokens);
            }
            false => traffic.computed.add(now_ms, own_tokens),
        }
        traffic.held_tokens.add(now_ms, held_tokens);
        let written_tokens = f64::from(prompt.tokens) - held_tokens;
        traffic.written_tokens.add(now_ms, written_tokens.max(0.0));
        let request_tokens = f64::from(prompt.tokens + prompt.max_output_tokens);
        average(&mut traffic.request_tokens, request_tokens);
    }

    /// Records that a request of this entry was sent to an engine that generates from a handle. The engine keeps what it
    /// receives.
    pub fn on_handed_off(
        &mut self,
        now_ms: u64,
        service: &Name,
        prompt: &Prompt,
        parts: &mut CachedParts,
    ) {
        for (key, tokens) in prompt.shared_parts() {
            parts.record(*key, *tokens, now_ms, now_ms + COMPUTED_AFTER_MS);
        }
        let traffic = self.services.entry(service.clone()).or_default();
        let own_tokens = f64::from(prompt.tokens - prompt.shared_tokens());
        match is_reported(prompt) {
            true => parts.own_tokens += own_tokens,
            false => traffic.handed_off.add(now_ms, own_tokens),
        }
    }

    fn record_shared(&mut self, now_ms: u64, prompt: &Prompt, parts: &mut CachedParts) {
        let mut parent = None;
        for (key, tokens) in prompt.shared_parts() {
            parts.record(*key, *tokens, now_ms, now_ms + COMPUTED_AFTER_MS);
            let known = self.known_parts.entry(*key).or_default();
            (known.tokens, known.parent, known.last_used_ms) = (*tokens, parent, now_ms);
            known.own_uses.add(now_ms, 1.0);
            known.known_uses.add(now_ms, 1.0);
            parent = Some(*key);
        }
        self.drop_unused(now_ms);
    }

    /// Records a use of a shared prefix at an engine that another entry has reported.
    pub fn on_reported(&mut self, now_ms: u64, service: &Name, key: u64, parts: &mut CachedParts) {
        let traffic = self.services.get(service);
        parts.own_tokens += traffic.map_or(0.0, |traffic| traffic.own_tokens);
        let used_ms = now_ms.saturating_sub(REPORT_DELAY_MS);
        let mut next = Some(key);
        // The parts before the reported one were used as well.
        for _ in 0..MAX_PARTS_PER_PROMPT {
            let Some(key) = next else {
                break;
            };
            let known = self.known_parts.entry(key).or_default();
            if known.tokens == 0 {
                known.tokens = UNKNOWN_PART_TOKENS;
            }
            known.known_uses.add(now_ms, 1.0);
            known.last_used_ms = now_ms;
            parts.record(key, known.tokens, used_ms, used_ms + COMPUTED_AFTER_MS);
            next = known.parent;
        }
        self.drop_unused(now_ms);
    }

    fn drop_unused(&mut self, now_ms: u64) {
        if self.known_parts.len() <= MAX_KNOWN_PARTS {
            return;
        }
        self.known_parts
            .retain(|_, part| now_ms.saturating_sub(part.last_used_ms) < KNOWN_PART_TTL_MS);
        if self.known_parts.len() > MAX_KNOWN_PARTS {
            self.known_parts.clear();
        }
    }

    /// Returns what the memory of a service's engines depends on.
    pub fn memory_model(&self, now_ms: u64, service: &Name, size: &ServiceSize) -> MemoryModel {
        let traffic = self.services.get(service).copied().unwrap_or_default();
        let flow = |meter: RateMeter, engines: f64| {
            meter.per_ms(now_ms) * size.zone_entries / engines.max(1.0)
        };
        MemoryModel {
            kv_tokens: size.kv_tokens as f64,
            room: traffic.room,
            request_tokens: traffic.request_tokens,
            computed_per_ms: flow(traffic.computed, size.zone_engines),
            handed_off_per_ms: flow(traffic.handed_off, size.zone_decoders),
            eviction_share: traffic.eviction_share(now_ms),
            transfer_factor: traffic.transfer_factor(now_ms),
        }
    }

    /// Returns how much of a prompt an engine is believed to hold.
    pub fn held(
        &self,
        now_ms: u64,
        prompt: &Prompt,
        parts: &CachedParts,
        memory: &Memory,
    ) -> HeldPrefix {
        let mut held = HeldPrefix::default();
        let mut probability: f64 = 0.0;
        // A part counts only if all parts before it are held. They were used whenever it was used.
        for (index, (key, tokens)) in prompt.shared_parts().iter().enumerate().rev() {
            let depth = parts.depth(*key, memory, now_ms);
            probability = probability.max(depth.map_or(0.0, held_probability));
            held.tokens += probability * f64::from(*tokens);
            if index + 1 == prompt.shared_parts().len() {
                held.probability = probability;
                held.depth = depth.unwrap_or(0.0);
            }
        }
        held.tokens = held.tokens.min(f64::from(prompt.shared_tokens()));
        held
    }

    /// Returns the probability that another entry has sent a shared prefix to its preferred engine without a report so
    /// far. Short prefixes are not reported at all.
    pub fn unreported_probability(&self, now_ms: u64, prompt: &Prompt, zone_entries: f64) -> f64 {
        let Some((key, _)) = prompt.shared_prefix() else {
            return 0.0;
        };
        let window_ms = match is_reported(prompt) {
            true => REPORT_DELAY_MS as f64,
            false => RATE_HALF_LIFE_MS,
        };
        let others = 1.0 - 1.0 / zone_entries.max(1.0);
        1.0 - (-self.uses_per_ms(now_ms, key, zone_entries) * others * window_ms).exp()
    }

    /// Returns the rate at which the requests of a zone use a part, per millisecond.
    pub fn uses_per_ms(&self, now_ms: u64, key: u64, zone_entries: f64) -> f64 {
        let part = self.known_parts.get(&key);
        part.map_or(0.0, |part| {
            let own = part.own_uses.per_ms(now_ms) * zone_entries;
            // A single use says little about the rate of the zone.
            match part.own_uses.decayed(now_ms) > 1.5 {
                true => own.max(part.known_uses.per_ms(now_ms)),
                false => part.known_uses.per_ms(now_ms),
            }
        })
    }

    /// Compares the duration of a prefill with what was expected and corrects the beliefs.
    pub fn observe(
        &mut self,
        now_ms: u64,
        service: &Name,
        expectation: &Expectation,
        elapsed_ms: f64,
    ) -> Observation {
        let Expectation {
            held,
            held_ms,
            saved_ms,
            fetch_ms,
        } = *expectation;
        let traffic = self.services.entry(service.clone()).or_default();
        if fetch_ms > 0.0 {
            let factor = (elapsed_ms - held_ms + fetch_ms) / fetch_ms;
            let factor = factor.clamp(1.0, MAX_TRANSFER_FACTOR);
            let previous = traffic.transfer_factor(now_ms);
            let weight = match factor > previous {
                true => SLOW_TRANSFER_WEIGHT,
                false => FAST_TRANSFER_WEIGHT,
            };
            traffic.transfer_factor = previous + (factor - previous) * weight;
            traffic.transfer_updated_ms = now_ms;
            return Observation::Unclear;
        }
        if held.depth == 0.0 || saved_ms < MIN_SHOWN_MS {
            return Observation::Unclear;
        }
        let excess = (elapsed_ms - held_ms) / saved_ms;
        let is_held = excess < MISS_SHARE;
        if excess > MAX_MISS_SHARE {
            return Observation::Unclear;
        }
        // The depth is in multiples of the room that is believed now.
        let shown_room = traffic.room * held.depth;
        if is_held != (held.depth <= 1.0) {
            let computed = 1.0 - held.probability;
            let certainty = match is_held {
                true => 1.0,
                false => computed / (computed + held.probability * SLOW_ANYWAY_PROBABILITY),
            };
            traffic.room += (shown_room - traffic.room) * ROOM_WEIGHT * certainty;
            traffic.room = traffic.room.clamp(ROOM_RANGE.0, ROOM_RANGE.1);
        }
        match is_held {
            true => Observation::Held,
            false => Observation::Computed,
        }
    }
}

/// Returns whether the uses of a prompt's shared prefix are reported to the other entries.
pub fn is_reported(prompt: &Prompt) -> bool {
    prompt.shared_tokens() >= REPORTED_MIN_TOKENS
}

fn average(average: &mut f64, value: f64) {
    *average += match *average > 0.0 {
        true => (value - *average) * AVERAGE_WEIGHT,
        false => value,
    };
}

/// Returns the probability that a part is held after a number of tokens was used, as a multiple of the memory for parts.
fn held_probability(depth: f64) -> f64 {
    let probability = 1.0 / (1.0 + depth.powi(EVICTION_SHARPNESS));
    match probability < EVICTED_PROBABILITY {
        true => 0.0,
        false => probability,
    }
}
