//! The expected cost of a prompt at an engine, for its caller and for those whose requests wait behind it.

use std::hash::BuildHasher;

use conf::{Name, Role};

use crate::exchange::Prompt;
use crate::place::{self, PlacementContext};
use crate::prefix::{Expectation, HeldPrefix, Memory, MemoryModel, Prefixes, ServiceSize};
use crate::upstream::Upstream;

/// Time to set up a transfer between engines, in milliseconds.
const TRANSFER_SETUP_MS: f64 = 3.0;
/// Share of an engine's time that a part's requests may take before the part gets another engine. The rest is for other
/// requests and for bursts.
const MAX_PART_LOAD: f64 = 0.5;
/// Largest number of requests that are expected to wait behind a prompt. A longer queue tells more about the past than
/// about the time that the prompt takes.
const MAX_BEHIND: f64 = 2.0;

/// What the costs of an entry's choices depend on besides the engines and the request.
#[derive(Clone, Copy, Debug)]
pub struct PrefixCosts<'a> {
    /// Sizes and traffic of parts.
    pub prefixes: &'a Prefixes,
    /// Service of the engines.
    pub service: &'a Name,
    /// Number of tokens whose KV cache fits into an engine's memory.
    pub kv_tokens: u64,
    /// Tokens whose KV cache a link between engines transfers in a millisecond.
    pub transfer_tokens_per_ms: f64,
    /// Number of entries in this entry's availability zone.
    pub zone_entries: f64,
    /// Number of requests queued in this entry for the service.
    pub queued: usize,
}

/// How an engine would get the prompt, and what that costs.
#[derive(Clone, Copy, Debug)]
pub struct PromptPlan<'a> {
    /// Prompt tokens that the engine is expected to compute.
    pub tokens: f64,
    /// Engine from which the shared prefix is fetched first.
    pub source: Option<&'a Upstream>,
    /// Expected duration of the transfer, in milliseconds.
    pub fetch_ms: f64,
    /// Expected delay of other callers, in milliseconds: those that wait behind this prompt, and those whose cached parts
    /// it evicts.
    pub others_ms: f64,
    /// How much of the prompt the engine is believed to hold.
    pub held: HeldPrefix,
}

/// Weighs what engines hold of a prompt against their queues.
pub struct PrefixWeigher<'a> {
    context: &'a PlacementContext<'a>,
    costs: PrefixCosts<'a>,
    prompt: &'a Prompt,
    zone_engines: f64,
    memory_model: MemoryModel,
    /// Average number of prompts that wait for an engine of the zone, those queued in the entries included.
    waiting: f64,
    /// Engine that is most likely to be able to export the shared prefix.
    source: Option<(&'a Upstream, HeldPrefix)>,
    /// Engine of the zone that gets the prefix if it is held nowhere, and the probability that other entries have sent it
    /// there.
    preferred: Option<(&'a Name, f64)>,
    /// Number that stands for the shared prefix among engines of equal cost.
    spread: Option<(u64, u64)>,
}

impl<'a> PrefixWeigher<'a> {
    /// Creates the weigher for one choice. `own_zone` are the candidates in this entry's availability zone.
    pub fn new(
        context: &'a PlacementContext<'a>,
        costs: PrefixCosts<'a>,
        prompt: &'a Prompt,
        own_zone: &[&'a Upstream],
        other_zones: impl Iterator<Item = &'a Upstream>,
    ) -> Self {
        let prefill_engines = own_zone.iter().filter(|engine| engine.is_prefill()).count();
        let computing = |engine: &&&Upstream| prefill_engines == 0 || engine.is_prefill();
        let zone_engines = own_zone.iter().filter(computing).count().max(1) as f64;
        let ahead = own_zone.iter().filter(computing);
        let ahead: f64 = ahead.map(|engine| f64::from(engine.tokens_ahead())).sum();
        let prefixes = costs.prefixes;
        let size = ServiceSize {
            kv_tokens: costs.kv_tokens,
            zone_entries: costs.zone_entries,
            zone_engines,
            zone_decoders: (own_zone.len() - prefill_engines) as f64,
        };
        let memory_model = prefixes.memory_model(context.now_ms, costs.service, &size);
        let request_tokens = memory_model.request_tokens.max(1.0);
        let queued = costs.queued as f64 * costs.zone_entries;
        let mut weigher = Self {
            context,
            costs,
            prompt,
            zone_engines,
            memory_model,
            waiting: (ahead / request_tokens + queued) / zone_engines,
            source: None,
            preferred: None,
            spread: None,
        };
        if let Some((key, shared_tokens)) = prompt.shared_prefix() {
            weigher.spread = Some((key, weigher.slot(key, shared_tokens)));
            let others =
                prefixes.unreported_probability(context.now_ms, prompt, costs.zone_entries);
            let preferred = own_zone.iter().filter(computing);
            let preferred =
                preferred.min_by(|a, b| weigher.spread(a).total_cmp(&weigher.spread(b)));
            weigher.preferred = preferred.map(|engine| (&engine.record.id, others));
            weigher.source = weigher.find_source(own_zone.iter().copied().chain(other_zones));
        }
        weigher
    }

    /// Returns which of the engines that the shared prefix needs gets this request.
    fn slot(&self, key: u64, shared_tokens: u32) -> u64 {
        let own_tokens = f64::from(self.prompt.tokens - shared_tokens);
        let work_ms = own_tokens / place::PREFILL_TOKENS_PER_MS;
        let prefixes = self.costs.prefixes;
        let uses_per_ms = prefixes.uses_per_ms(self.context.now_ms, key, self.costs.zone_entries);
        let engines = (uses_per_ms * work_ms / MAX_PART_LOAD).ceil();
        self.context.request_hash % engines.clamp(1.0, self.zone_engines) as u64
    }

    /// Returns a pseudorandom number from 0 to 1 that orders engines of equal cost. All entries have the same order for a
    /// shared prefix, and so agree on its next engine after that of the previous one has crashed.
    pub fn spread(&self, upstream: &Upstream) -> f64 {
        let Some((key, slot)) = self.spread else {
            return self.context.jitter(upstream);
        };
        let hasher = foldhash::fast::FixedState::default();
        hasher.hash_one((key, slot, upstream.key)) as f64 / u64::MAX as f64
    }

    fn find_source(
        &self,
        engines: impl Iterator<Item = &'a Upstream>,
    ) -> Option<(&'a Upstream, HeldPrefix)> {
        let value = |upstream: &Upstream, held: &HeldPrefix| {
            held.tokens / place::PREFILL_TOKENS_PER_MS
                - self.transfer_ms(held.tokens, self.context.zone, upstream)
        };
        engines
            .filter(|engine| {
                engine
                    .cached_parts
                    .can_export(self.prompt, self.context.now_ms)
            })
            .map(|engine| (engine, self.believed(engine)))
            .max_by(|(a, held_a), (b, held_b)| value(a, held_a).total_cmp(&value(b, held_b)))
    }

    fn memory(&self, upstream: &Upstream) -> Memory {
        let is_decoder = upstream.record.role == Some(Role::Decode);
        self.memory_model
            .memory(is_decoder, upstream.total_running())
    }

    fn believed(&self, upstream: &Upstream) -> HeldPrefix {
        let parts = &upstream.cached_parts;
        let memory = self.memory(upstream);
        let prefixes = self.costs.prefixes;
        prefixes.held(self.context.now_ms, self.prompt, parts, &memory)
    }

    fn held(&self, upstream: &Upstream) -> HeldPrefix {
        let held = self.believed(upstream);
        match self.preferred {
            Some((id, others)) if *id == upstream.record.id && others > held.probability => {
                HeldPrefix {
                    tokens: held
                        .tokens
                        .max(others * f64::from(self.prompt.shared_tokens())),
                    probability: others,
                    ..held
                }
            }
            _ => held,
        }
    }

    fn transfer_ms(&self, tokens: f64, zone: &str, source: &Upstream) -> f64 {
        let factor = match source.record.availability_zone == *zone {
            true => 1.0,
            false => place::CROSS_ZONE_TRANSFER_FACTOR,
        };
        let duration_ms = tokens / self.costs.transfer_tokens_per_ms * factor;
        (TRANSFER_SETUP_MS + duration_ms) * self.memory_model.transfer_factor
    }

    /// Returns the cheaper of computing the prompt at an engine and fetching its prefix first.
    pub fn plan(&self, upstream: &Upstream, tokens_per_ms: f64) -> PromptPlan<'a> {
        let held = self.held(upstream);
        let request_tokens = self.memory_model.request_tokens.max(1.0);
        let ahead = f64::from(upstream.tokens_ahead()) / request_tokens;
        let behind = ((ahead + self.waiting) / 2.0).min(MAX_BEHIND);
        let prompt_tokens = f64::from(self.prompt.tokens);
        let written_tokens = prompt_tokens - held.tokens;
        let parts = &upstream.cached_parts;
        let memory = self.memory(upstream);
        let evicted_tokens = parts.evicted_tokens(written_tokens, &memory, self.context.now_ms);
        let evicted_ms =
            evicted_tokens * self.memory_model.eviction_share / tokens_per_ms * (1.0 + behind);
        let plan = |tokens: f64, source, fetch_ms| PromptPlan {
            tokens,
            source,
            fetch_ms,
            others_ms: tokens / tokens_per_ms * behind + evicted_ms,
            held,
        };
        let cost_ms =
            |plan: &PromptPlan<'_>| plan.fetch_ms + plan.tokens / tokens_per_ms + plan.others_ms;
        let computed = plan(written_tokens, None, 0.0);
        let Some((source, exported)) = self.source else {
            return computed;
        };
        let fetched_tokens = exported.tokens - held.tokens;
        if source.key == upstream.key || fetched_tokens <= 0.0 {
            return computed;
        }
        let fetch_ms = self.transfer_ms(fetched_tokens, &upstream.record.availability_zone, source);
        let fetched = plan(prompt_tokens - exported.tokens, Some(source), fetch_ms);
        match cost_ms(&fetched) < cost_ms(&computed) {
            true => fetched,
            false => computed,
        }
    }

    /// Returns what the duration of the call will show.
    pub fn expectation(
        &self,
        plan: &PromptPlan<'_>,
        wait_ms: f64,
        tokens_per_ms: f64,
    ) -> Expectation {
        let shared_ms = f64::from(self.prompt.shared_tokens()) / tokens_per_ms;
        let own_ms = f64::from(self.prompt.tokens) / tokens_per_ms - shared_ms;
        Expectation {
            held: plan.held,
            held_ms: wait_ms + own_ms + plan.fetch_ms,
            saved_ms: shared_ms,
            fetch_ms: plan.fetch_ms,
        }
    }
}
