//! The choice of an upstream for a request.

use std::hash::BuildHasher;

use conf::{Name, Role};

use crate::cost::{PrefixCosts, PrefixWeigher};
use crate::exchange::Prompt;
use crate::prefix::Expectation;
use crate::upstream::Upstream;

/// Prompt tokens that an engine is assumed to compute in a millisecond; large engines reach 50 to 60.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Speed of a decode engine's own prefill, as a share of the speed of a prefill engine.
const DECODE_PREFILL_SPEED_SHARE: f64 = 0.5;
/// Time from the end of the prompt to the first event at the usual speed, in milliseconds.
pub const FIRST_EVENT_MS: f64 = 40.0;
/// Cost of handing off the KV cache to another engine, in milliseconds: a second call and the transfer.
const HANDOFF_COST_MS: f64 = 25.0;
/// Cost of handing off the KV cache to an engine in another availability zone, in milliseconds.
const REMOTE_HANDOFF_COST_MS: f64 = 60.0;
/// Cost of an upstream in another availability zone, in milliseconds. Traffic between zones is expensive.
const CROSS_ZONE_COST_MS: f64 = 400.0;
/// Largest cost of a decode engine's own prefill, in milliseconds, which delays the events of all streams that run there.
const MAX_INTERFERENCE_COST_MS: f64 = 400.0;
/// Weight of the time for which streams pause against the time that a request waits. A stream that pauses too long loses
/// most of its worth, as one that begins too late does, and its remaining events come later.
const PAUSE_WEIGHT: f64 = 2.0;
/// Tokens of a shared prefix from which a transfer from another engine is worth its cost: fewer tokens are computed in
/// less than 40 ms.
pub const FETCH_MIN_TOKENS: u32 = 2_000;
/// Cost of a transfer besides its duration, in milliseconds: the copy evicts other prefixes from the cache.
const FETCH_COST_MS: f64 = 160.0;
/// Tokens whose KV cache a link transfers in a millisecond: 160 KB each at 1.6 Tbit/s.
const TRANSFER_TOKENS_PER_MS: f64 = 1_200.0;
/// Factor on the duration of transfers between availability zones.
pub(crate) const CROSS_ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Share of the tokens of a shared prefix that the prefix's affinity engine is expected to have cached although no
/// entry has reported that: the report may be in transit.
const AFFINITY_CACHED_SHARE: f64 = 0.2;
/// Cost of an upstream whose failure rate is 1, in milliseconds; lower rates cost proportionally less.
const FAILURE_COST_MS: f64 = 2_000.0;
/// Share of a zone's prefill engines that is reserved for the most urgent rank.
const RESERVED_SHARE: f64 = 0.25;
/// Number of prefill engines in a zone from which some of them are reserved.
const RESERVED_MIN_ENGINES: usize = 8;
/// Longest prompt of the second rank that a reserved engine accepts, in milliseconds.
const RESERVED_MAX_WORK_MS: f64 = 70.0;
/// Share of taken slots from which an engine gets no further requests.
const MAX_SLOT_SHARE: f64 = 0.95;
/// Duration of a plain request at the usual speed, in milliseconds, by which queues are weighed against the cost of other
/// zones.
pub const PLAIN_REQUEST_MS: f64 = 40.0;

/// Range of the random part of an engine's cost, in milliseconds. Entries that know of the same load would otherwise
/// all choose the same engine until each has received the reports of the others.
const JITTER_MS: f64 = 30.0;
/// Range of the random part of a decode engine's load, in requests. This part spreads the choices of entries that know
/// of the same load.
const JITTER_REQUESTS: f64 = 3.0;

/// An upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// Whether the upstream only computes the prompt.
    pub is_prefill: bool,
    /// Prompt tokens that the upstream has to compute.
    pub tokens: u32,
    /// Address of an engine from which the upstream first fetches the shared prefix.
    pub fetch_from: Option<Name>,
    /// Time since the shared prefix was last used at the engine that is expected to have it cached, in milliseconds.
    pub shared_age_ms: Option<u64>,
    /// Expected wait until the upstream starts to compute the prompt, in milliseconds.
    pub wait_ms: f64,
    /// Expected time to fetch and compute the prompt, in milliseconds.
    pub work_ms: f64,
    /// What the duration of the call shows about the upstream's cache; none if cached prefixes are not weighed.
    pub expectation: Option<Expectation>,
    /// Whether the limit of the upstream allows the request now.
    pub is_within_limit: bool,
}

impl Choice {
    /// Returns whether the request is to be sent now. Otherwise it is placed again later, with newer load information.
    pub fn is_due(&self, max_backlog_ms: f64) -> bool {
        self.is_within_limit && self.wait_ms <= max_backlog_ms
    }

    /// Returns the expected time to the first token, in milliseconds.
    pub fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.work_ms
    }
}

/// The request and the entry for which an upstream is chosen.
#[derive(Clone, Copy, Debug)]
pub struct PlacementContext<'a> {
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Upstreams at which this request has failed.
    pub failed_upstreams: &'a [Name],
    /// Hash of the request id, which spreads requests over upstreams of equal cost.
    pub request_hash: u64,
    /// Objective for the gap between two events of a stream, in milliseconds; 0 if there is none.
    pub gap_ms: u64,
    /// Number of entries in the whole system.
    pub entries: u32,
    /// Number of requests in this entry that are sent before this one.
    pub queued_ahead: usize,
    /// What cached prefixes are weighed by; none if they count as held for a fixed time.
    pub prefix_costs: Option<PrefixCosts<'a>>,
}

impl PlacementContext<'_> {
    /// Returns whether an upstream can take the request.
    pub fn is_candidate(&self, upstream: &Upstream) -> bool {
        upstream.is_usable(self.now_ms) && !self.failed_upstreams.contains(&upstream.record.id)
    }

    /// Returns whether the limit of an upstream allows a request now.
    fn is_within_limit(&self, upstream: &Upstream) -> bool {
        upstream.limit_wait_ms(self.now_ms, self.entries) <= 0.0
    }

    /// Returns a pseudorandom number from 0 to 1, derived from the request and the upstream.
    pub(crate) fn jitter(&self, upstream: &Upstream) -> f64 {
        let hasher = foldhash::fast::FixedState::default();
        let hash = hasher.hash_one((self.request_hash, upstream.key));
        hash as f64 / u64::MAX as f64
    }

    fn zone_cost_ms(&self, upstream: &Upstream) -> f64 {
        match upstream.record.availability_zone.as_str() == self.zone {
            true => 0.0,
            false => CROSS_ZONE_COST_MS,
        }
    }
}

/// Chooses an upstream of a plain service by the shortest queue; upstreams in other zones and failures cost extra.
pub fn choose_plain<'a>(
    context: &PlacementContext<'_>,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let cost = |upstream: &Upstream| {
        let slots = f64::from(upstream.record.slots.max(1));
        let queue_ms = f64::from(upstream.total_running() + 1) / slots
            * plain_request_ms(upstream, context.now_ms);
        let queue_ms = match f64::from(upstream.total_running()) >= slots {
            // A full upstream rejects requests; any other upstream is better.
            true => queue_ms + 10.0 * CROSS_ZONE_COST_MS,
            false => queue_ms,
        };
        queue_ms
            + context.zone_cost_ms(upstream) / 4.0
            + upstream.failure_rate(context.now_ms) * FAILURE_COST_MS
    };
    upstreams
        .filter(|upstream| context.is_candidate(upstream) && context.is_within_limit(upstream))
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Returns the time until the limit of an upstream allows a request, in milliseconds, or none if no upstream can take it.
pub fn limit_wait_ms<'a>(
    context: &PlacementContext<'_>,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<f64> {
    upstreams
        .filter(|upstream| context.is_candidate(upstream))
        .map(|upstream| upstream.limit_wait_ms(context.now_ms, context.entries))
        .min_by(f64::total_cmp)
}

/// Returns the time until the first of the pauses ends that upstreams have asked for, in milliseconds; 0 if there is none.
pub fn pause_wait_ms<'a>(now_ms: u64, upstreams: impl Iterator<Item = &'a Upstream>) -> u64 {
    upstreams
        .filter(|upstream| !upstream.record.draining)
        .map(|upstream| upstream.paused_until_ms.saturating_sub(now_ms))
        .filter(|wait_ms| *wait_ms > 0)
        .min()
        .unwrap_or_default()
}

/// Chooses the engine that computes the prompt, and possibly runs the request.
///
/// Engines in other zones are considered only if every engine in this entry's zone costs more than the difference
/// between zones, so that the time for a choice does not grow with the number of zones.
pub fn choose_engine<'a>(
    context: &'a PlacementContext<'a>,
    prompt: &'a Prompt,
    rank: u8,
    own_zone: impl Iterator<Item = &'a Upstream>,
    other_zones: impl Iterator<Item = &'a Upstream> + Clone,
) -> Option<Choice> {
    let own_zone: Vec<&Upstream> = own_zone
        .filter(|upstream| context.is_candidate(upstream))
        .collect();
    let other_zones = other_zones.filter(|upstream| context.is_candidate(upstream));
    let reserved_ids = match rank {
        0 => Vec::new(),
        _ => reserved_engines(&own_zone),
    };
    let weigher = context
        .prefix_costs
        .map(|costs| PrefixWeigher::new(context, costs, prompt, &own_zone, other_zones.clone()));
    let chooser = EngineChooser {
        context,
        limit_queue_ms: limit_queue_ms(context, &own_zone),
        may_hand_off_to_other_zones: are_decoders_limited(&own_zone)
            && has_decoder(context, other_zones.clone()),
        prompt,
        rank,
        reserved_ids,
        affinity: affinity_engine(prompt, &own_zone).filter(|_| weigher.is_none()),
        fetch_source: fetch_source(context, prompt, own_zone.iter().copied())
            .or_else(|| fetch_source(context, prompt, other_zones.clone()))
            .filter(|_| weigher.is_none()),
        weigher,
    };
    let own_zone = chooser.choose(&own_zone);
    if let Some((cost_ms, choice)) = &own_zone
        && *cost_ms <= CROSS_ZONE_COST_MS
    {
        return Some(choice.clone());
    }
    let other_zones: Vec<&Upstream> = other_zones.collect();
    let best = own_zone
        .into_iter()
        .chain(chooser.choose(&other_zones))
        .min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, choice)| choice)
}

/// The properties of a request that the cost of an engine depends on.
struct EngineChooser<'a> {
    context: &'a PlacementContext<'a>,
    prompt: &'a Prompt,
    rank: u8,
    /// Time in which the limits of this entry's zone allow the requests that are sent before this one, in milliseconds.
    limit_queue_ms: f64,
    /// Whether engines of other zones may generate from the prompts that engines of this zone compute.
    may_hand_off_to_other_zones: bool,
    /// Engines that are reserved for more urgent ranks.
    reserved_ids: Vec<&'a Name>,
    /// Engine that all entries of the zone prefer for the shared prefix.
    affinity: Option<&'a Upstream>,
    /// Engine from which the shared prefix can be fetched.
    fetch_source: Option<&'a Upstream>,
    /// Weighs cached prefixes, if that is asked for.
    weigher: Option<PrefixWeigher<'a>>,
}

/// The work of an engine for a prompt.
struct PromptWork<'a> {
    /// Prompt tokens to compute.
    tokens: u32,
    source: Option<&'a Upstream>,
    fetch_ms: f64,
    /// Cost for others, in milliseconds.
    others_ms: f64,
    /// Engine that is expected to have the shared prefix cached.
    holder: Option<&'a Upstream>,
}

impl EngineChooser<'_> {
    /// Returns the cheapest of some engines and its cost, in milliseconds.
    fn choose(&self, candidates: &[&Upstream]) -> Option<(f64, Choice)> {
        let zones_with_decoders = zones_with_decoders(self.context, candidates);
        candidates
            .iter()
            .filter(|upstream| {
                !upstream.is_prefill()
                    || self.may_hand_off_to_other_zones
                    || zones_with_decoders.contains(&&upstream.record.availability_zone)
            })
            .filter_map(|upstream| self.assess(upstream))
            .min_by(|(a, _), (b, _)| a.total_cmp(b))
    }

    /// Returns the cost of an engine, in milliseconds, or none if the engine cannot take the request.
    fn assess(&self, upstream: &Upstream) -> Option<(f64, Choice)> {
        if is_full(upstream) {
            return None;
        }
        let (context, prompt) = (self.context, self.prompt);
        let tokens_per_ms = prefill_tokens_per_ms(upstream, context.now_ms);
        let plan = self
            .weigher
            .as_ref()
            .map(|weigher| (weigher, weigher.plan(upstream, tokens_per_ms)));
        let work = match &plan {
            Some((_, plan)) => PromptWork {
                tokens: plan.tokens as u32,
                source: plan.source,
                fetch_ms: plan.fetch_ms,
                others_ms: plan.others_ms,
                holder: plan
                    .source
                    .or((plan.held.probability > 0.0).then_some(upstream)),
            },
            None => self.work_by_age(upstream),
        };
        let is_own_zone = upstream.record.availability_zone.as_str() == context.zone;
        let may_leave = upstream.is_prefill() && self.may_hand_off_to_other_zones;
        let queue_ms = match is_own_zone && !may_leave {
            true => self.limit_queue_ms,
            false => 0.0,
        };
        let limit_wait_ms = upstream.limit_wait_ms(context.now_ms, context.entries);
        let wait_ms = f64::from(upstream.tokens_ahead()) / tokens_per_ms;
        let wait_ms = wait_ms.max(limit_wait_ms + queue_ms);
        let work_ms = f64::from(work.tokens) / tokens_per_ms + work.fetch_ms;
        let is_reserved = self.reserved_ids.contains(&&upstream.record.id);
        if is_reserved && (self.rank > 1 || work_ms > RESERVED_MAX_WORK_MS) {
            return None;
        }
        let extra_ms = match upstream.record.role {
            Some(Role::Prefill) if self.may_hand_off_to_other_zones => REMOTE_HANDOFF_COST_MS,
            Some(Role::Prefill) => HANDOFF_COST_MS,
            Some(Role::Decode) => {
                interference_cost_ms(context, upstream, work_ms) + slow_output_ms(upstream, context)
            }
            _ => 0.0,
        };
        let cost_ms = wait_ms
            + work_ms
            + extra_ms
            + work.others_ms
            + context.zone_cost_ms(upstream)
            + self.jitter(upstream) * JITTER_MS
            + upstream.failure_rate(context.now_ms) * FAILURE_COST_MS;
        let choice = Choice {
            upstream: upstream.record.id.clone(),
            is_prefill: upstream.is_prefill(),
            tokens: work.tokens,
            fetch_from: work.source.map(|source| source.record.address.clone()),
            shared_age_ms: work
                .holder
                .zip(prompt.shared_prefix())
                .and_then(|(engine, (key, _))| engine.shared_prefix_used_ms(key))
                .map(|used_ms| context.now_ms.saturating_sub(used_ms)),
            wait_ms,
            work_ms,
            expectation: plan
                .as_ref()
                .map(|(weigher, plan)| weigher.expectation(plan, wait_ms, tokens_per_ms)),
            is_within_limit: limit_wait_ms <= 0.0,
        };
        Some((cost_ms, choice))
    }

    /// Returns an engine's work for the prompt if a shared prefix counts as cached for a fixed time after its use.
    fn work_by_age<'a>(&'a self, upstream: &'a Upstream) -> PromptWork<'a> {
        let (context, prompt) = (self.context, self.prompt);
        let is_cached = is_cached(context, prompt, upstream);
        let source = self.fetch_source.filter(|_| !is_cached);
        let tokens = match (is_cached || source.is_some(), prompt.shared_prefix()) {
            (true, Some((_, shared_tokens))) => prompt.tokens - shared_tokens,
            _ => uncached_tokens(prompt, upstream, self.affinity),
        };
        PromptWork {
            tokens,
            source,
            fetch_ms: source.map_or(0.0, |source| fetch_ms(prompt, upstream, source)),
            others_ms: source.map_or(0.0, |_| FETCH_COST_MS),
            holder: is_cached.then_some(upstream).or(source),
        }
    }

    fn jitter(&self, upstream: &Upstream) -> f64 {
        match &self.weigher {
            Some(weigher) => weigher.spread(upstream),
            None => self.context.jitter(upstream),
        }
    }
}

/// Returns whether the requests of all engines that generate are limited.
fn are_decoders_limited(candidates: &[&Upstream]) -> bool {
    let mut decoders = candidates.iter().filter(|upstream| can_generate(upstream));
    let mut has_decoders = false;
    let all_limited = decoders.all(|upstream| {
        has_decoders = true;
        upstream.limit.is_some()
    });
    has_decoders && all_limited
}

fn has_decoder<'a>(
    context: &PlacementContext<'_>,
    mut candidates: impl Iterator<Item = &'a Upstream>,
) -> bool {
    candidates.any(|upstream| can_generate(upstream) && context.is_within_limit(upstream))
}

/// Returns the time in which the engines of a zone may begin to generate for the requests ahead, in milliseconds, if the
/// requests of all of them are limited.
fn limit_queue_ms(context: &PlacementContext<'_>, own_zone: &[&Upstream]) -> f64 {
    let decoders = own_zone.iter().filter(|upstream| can_generate(upstream));
    let mut per_s = 0.0;
    for decoder in decoders {
        match &decoder.limit {
            Some(limit) => per_s += limit.rate_per_s(context.now_ms, context.entries),
            None => return 0.0,
        }
    }
    match per_s > 0.0 {
        true => context.queued_ahead as f64 / per_s * 1_000.0,
        false => 0.0,
    }
}

/// Returns the cost of a prefill at an engine that generates, in milliseconds: the time for which it pauses each of the
/// streams there, weighed by its share of the pause that a stream may make.
fn interference_cost_ms(context: &PlacementContext<'_>, upstream: &Upstream, pause_ms: f64) -> f64 {
    if context.gap_ms == 0 {
        return MAX_INTERFERENCE_COST_MS;
    }
    let paused_ms = f64::from(upstream.total_running()) * pause_ms;
    (PAUSE_WEIGHT * paused_ms * pause_ms / context.gap_ms as f64).min(MAX_INTERFERENCE_COST_MS)
}

/// Returns the prefill engines of this entry's zone that are reserved for the most urgent rank. All entries of the zone
/// reserve the same engines.
fn reserved_engines<'a>(own_zone: &[&'a Upstream]) -> Vec<&'a Name> {
    let mut engines: Vec<&Upstream> = own_zone
        .iter()
        .copied()
        .filter(|upstream| upstream.is_prefill())
        .collect();
    let count = match engines.len() {
        0..RESERVED_MIN_ENGINES => 0,
        engines => (engines as f64 * RESERVED_SHARE) as usize,
    };
    engines.sort_unstable_by_key(|engine| engine.key);
    engines.truncate(count);
    engines.iter().map(|engine| &engine.record.id).collect()
}

/// Chooses the engine that generates from a computed prompt: the least loaded one in the zone of the prefill engine, or
/// in another zone if the limits there allow no further request.
pub fn choose_decoder<'a>(
    context: &PlacementContext<'_>,
    source: &Upstream,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let zone = &source.record.availability_zone;
    let (own_zone, other_zones): (Vec<&Upstream>, Vec<&Upstream>) = upstreams
        .filter(|upstream| context.is_candidate(upstream) && can_generate(upstream))
        .partition(|upstream| upstream.record.availability_zone == *zone);
    let decoder = least_loaded_decoder(context, &own_zone);
    decoder.or_else(|| {
        let other_zones = are_decoders_limited(&own_zone).then_some(other_zones)?;
        least_loaded_decoder(context, &other_zones)
    })
}

fn least_loaded_decoder<'a>(
    context: &PlacementContext<'_>,
    decoders: &[&'a Upstream],
) -> Option<&'a Upstream> {
    let load = |upstream: &Upstream| {
        let slots = f64::from(upstream.record.slots);
        f64::from(upstream.total_running()) * upstream.speed.output_factor(context.now_ms)
            + upstream.failure_rate(context.now_ms) * slots
            + context.jitter(upstream) * JITTER_REQUESTS
    };
    decoders
        .iter()
        .copied()
        .filter(|upstream| context.is_within_limit(upstream))
        .min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// Returns the availability zones in which at least one engine can generate now.
fn zones_with_decoders<'a>(
    context: &PlacementContext<'_>,
    candidates: &[&'a Upstream],
) -> Vec<&'a Name> {
    let mut zones = Vec::new();
    let decoders = candidates.iter().filter(|upstream| can_generate(upstream));
    for upstream in decoders.filter(|upstream| context.is_within_limit(upstream)) {
        let zone = &upstream.record.availability_zone;
        if !zones.contains(&zone) {
            zones.push(zone);
        }
    }
    zones
}

fn can_generate(upstream: &Upstream) -> bool {
    matches!(upstream.record.role, Some(Role::Decode | Role::Mixed)) && !is_full(upstream)
}

fn is_full(upstream: &Upstream) -> bool {
    f64::from(upstream.total_running()) >= f64::from(upstream.record.slots) * MAX_SLOT_SHARE
}

/// Returns the prompt tokens that an engine computes in a millisecond.
pub fn prefill_tokens_per_ms(upstream: &Upstream, now_ms: u64) -> f64 {
    let factor = upstream.speed.prompt_factor(now_ms);
    let factor = match upstream.record.role {
        // The streams there pause for each prompt, also at a fast engine.
        Some(Role::Decode) => factor.max(1.0),
        _ => factor,
    };
    usual_prefill_tokens_per_ms(upstream) / factor
}

/// Returns the prompt tokens that an engine computes in a millisecond at the usual speed.
pub fn usual_prefill_tokens_per_ms(upstream: &Upstream) -> f64 {
    match upstream.record.role {
        Some(Role::Decode) => PREFILL_TOKENS_PER_MS * DECODE_PREFILL_SPEED_SHARE,
        _ => PREFILL_TOKENS_PER_MS,
    }
}

/// Returns the expected duration of a plain request, in milliseconds.
fn plain_request_ms(upstream: &Upstream, now_ms: u64) -> f64 {
    PLAIN_REQUEST_MS * upstream.speed.prompt_factor(now_ms)
}

/// Returns by how much the first event of an engine is later than at the usual speed, in milliseconds.
fn slow_output_ms(upstream: &Upstream, context: &PlacementContext<'_>) -> f64 {
    FIRST_EVENT_MS * (upstream.speed.output_factor(context.now_ms) - 1.0).max(0.0)
}

fn is_cached(context: &PlacementContext<'_>, prompt: &Prompt, upstream: &Upstream) -> bool {
    let shared_prefix = prompt.shared_prefix();
    shared_prefix.is_some_and(|(key, _)| upstream.has_shared_prefix(key, context.now_ms))
}

/// Returns an engine that is expected to have the prompt's shared prefix cached, if the prefix is worth a transfer.
/// The engine that used the prefix last comes first.
fn fetch_source<'a>(
    context: &PlacementContext<'_>,
    prompt: &Prompt,
    candidates: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let (key, tokens) = prompt.shared_prefix()?;
    if tokens < FETCH_MIN_TOKENS {
        return None;
    }
    candidates
        .filter(|upstream| upstream.can_export(key, context.now_ms))
        .max_by_key(|upstream| upstream.shared_prefix_used_ms(key))
}

fn fetch_ms(prompt: &Prompt, upstream: &Upstream, source: &Upstream) -> f64 {
    let tokens = prompt.shared_prefix().map_or(0, |(_, tokens)| tokens);
    let is_same_zone = upstream.record.availability_zone == source.record.availability_zone;
    let factor = if is_same_zone {
        1.0
    } else {
        CROSS_ZONE_TRANSFER_FACTOR
    };
    transfer_ms(tokens) * factor
}

/// Returns the time to transfer the KV cache of some tokens within a zone, in milliseconds.
pub fn transfer_ms(tokens: u32) -> f64 {
    f64::from(tokens) / TRANSFER_TOKENS_PER_MS
}

fn uncached_tokens(prompt: &Prompt, upstream: &Upstream, affinity: Option<&Upstream>) -> u32 {
    let shared_tokens = prompt.shared_prefix().map_or(0, |(_, tokens)| tokens);
    let is_affinity_engine = affinity.is_some_and(|engine| engine.record.id == upstream.record.id);
    let cached_tokens = match is_affinity_engine {
        true => f64::from(shared_tokens) * AFFINITY_CACHED_SHARE,
        false => 0.0,
    };
    prompt.tokens - cached_tokens as u32
}

/// Returns the engine of this entry's zone that all entries of the zone prefer for the prompt's shared prefix, by
/// rendezvous hashing. Prefill engines come first, as their memory holds no KV cache of running requests.
fn affinity_engine<'a>(prompt: &Prompt, own_zone: &[&'a Upstream]) -> Option<&'a Upstream> {
    let (key, _) = prompt.shared_prefix()?;
    let hasher = foldhash::fast::FixedState::default();
    own_zone.iter().copied().max_by_key(|upstream| {
        let hash = hasher.hash_one((key, upstream.key));
        (upstream.is_prefill(), hash)
    })
}
