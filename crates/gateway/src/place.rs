//! The choice of an upstream for a request.

use std::hash::BuildHasher;

use conf::{Name, Role};

use crate::exchange::Prompt;
use crate::upstream::Upstream;

/// Prompt tokens that an engine computes in a millisecond before it has been observed; large engines reach 50 to 60.
pub const PREFILL_TOKENS_PER_MS: f64 = 50.0;
/// Speed of a decode engine's own prefill, as a share of a prefill engine's.
const DECODE_PREFILL_SHARE: f64 = 0.5;
/// Cost of handing KV cache to another engine, in milliseconds: a second call and the transfer.
const HANDOFF_MS: f64 = 25.0;
/// Cost of leaving the availability zone, in milliseconds. Bytes between zones are dear.
const ZONE_MS: f64 = 400.0;
/// Cost of a decode engine's own prefill, in milliseconds: it delays the events of all streams that run there.
const INTERFERENCE_MS: f64 = 400.0;
/// Shared tokens from which a transfer from another engine pays: below, reading them takes less than 40 ms.
pub const FETCH_MIN_TOKENS: u32 = 2_000;
/// Cost of a transfer besides its time, in milliseconds: the copy displaces other parts from the cache.
const FETCH_MS: f64 = 160.0;
/// Tokens whose KV cache a link carries in a millisecond: 160 KB each at 1.6 Tbit/s.
const TRANSFER_TOKENS_PER_MS: f64 = 1_200.0;
/// Factor on the time of transfers between availability zones.
const ZONE_TRANSFER_FACTOR: f64 = 2.0;
/// Share of a prompt's shared tokens that its home engine is expected to hold although no entry has reported it: the
/// report may be under way.
const HOME_CACHED_SHARE: f64 = 0.2;
/// Cost of the failures of an upstream, in milliseconds at a failure rate of 1.
const FAILURE_MS: f64 = 2_000.0;
/// Share of a zone's prefill engines that is kept for the most urgent rank.
const RESERVED_SHARE: f64 = 0.25;
/// Prefill engines of a zone from which on some are reserved.
const RESERVED_MIN_ENGINES: usize = 8;
/// Longest work of another rank that such an engine takes while it is idle, in milliseconds.
const RESERVED_WORK_MS: f64 = 70.0;
/// Share of an engine's slots above which it gets no further requests.
const SLOT_SHARE: f64 = 0.95;
/// Time that a plain request is taken to need, in milliseconds, to weigh queues against distance.
const PLAIN_MS: f64 = 40.0;

/// Span of the random part of an engine's cost, in milliseconds. Entries that know of the same load would otherwise all
/// choose the same engine until their reports have crossed.
const SPREAD_MS: f64 = 30.0;
/// Span of the random part of a decode engine's load, in requests, for the same reason.
const SPREAD_REQUESTS: f64 = 3.0;

/// An upstream chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Instance id of the upstream.
    pub upstream: Name,
    /// Whether it only computes the prompt.
    pub is_prefill: bool,
    /// Prompt tokens that it has to compute.
    pub tokens: u32,
    /// Address of an engine from which it first fetches the shared parts.
    pub fetch_from: Option<Name>,
    /// Time since the shared parts were last used where they are believed to be, in milliseconds.
    pub shared_age_ms: Option<u64>,
    /// Expected wait until the prompt is begun, in milliseconds.
    pub wait_ms: f64,
    /// Expected time for the prompt, in milliseconds.
    pub work_ms: f64,
}

impl Choice {
    /// Returns the expected time to the first token, in milliseconds.
    pub fn first_token_ms(&self) -> f64 {
        self.wait_ms + self.work_ms
    }
}

/// What a choice is made from.
#[derive(Clone, Copy, Debug)]
pub struct Situation<'a> {
    /// Present time.
    pub now_ms: u64,
    /// Availability zone of this entry.
    pub zone: &'a str,
    /// Upstreams that failed this request.
    pub tried: &'a [Name],
    /// Draw that differs between requests and entries.
    pub draw: u64,
}

impl Situation<'_> {
    fn is_candidate(&self, upstream: &Upstream) -> bool {
        upstream.is_usable(self.now_ms) && !self.tried.contains(&upstream.record.id)
    }

    /// Returns a number from 0 to 1 that is random over requests and upstreams.
    fn jitter(&self, upstream: &Upstream) -> f64 {
        let hasher = foldhash::fast::FixedState::default();
        let draw = hasher.hash_one((self.draw, &upstream.record.id));
        draw as f64 / u64::MAX as f64
    }

    fn distance_ms(&self, upstream: &Upstream) -> f64 {
        match upstream.record.availability_zone.as_str() == self.zone {
            true => 0.0,
            false => ZONE_MS,
        }
    }
}

/// Chooses an upstream of a plain service: the own zone first, then the shortest queue.
pub fn plain<'a>(
    situation: &Situation<'_>,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let cost = |upstream: &Upstream| {
        let slots = f64::from(upstream.record.slots.max(1));
        let queue_ms = f64::from(upstream.total_running() + 1) / slots * PLAIN_MS;
        let queue_ms = match f64::from(upstream.total_running()) >= slots {
            // A full upstream rejects; any other place is better.
            true => queue_ms + 10.0 * ZONE_MS,
            false => queue_ms,
        };
        queue_ms
            + situation.distance_ms(upstream) / 4.0
            + upstream.failure_rate(situation.now_ms) * FAILURE_MS
    };
    upstreams
        .filter(|upstream| situation.is_candidate(upstream))
        .min_by(|a, b| cost(a).total_cmp(&cost(b)))
}

/// Chooses the engine that computes the prompt, and possibly runs the request.
pub fn engine<'a>(
    situation: &Situation<'_>,
    prompt: &Prompt,
    rank: u8,
    upstreams: impl Iterator<Item = &'a Upstream> + Clone,
) -> Option<Choice> {
    let candidates = upstreams.filter(|upstream| situation.is_candidate(upstream));
    let reserved = match rank {
        0 => Vec::new(),
        _ => reserved(situation, candidates.clone()),
    };
    let generating = generating_zones(candidates.clone());
    let home = home(situation, prompt, candidates.clone());
    let holder = holder(situation, prompt, candidates.clone());
    let mut best: Option<(f64, Choice)> = None;
    for upstream in candidates.clone() {
        if is_full(upstream) {
            continue;
        }
        let is_prefill = upstream.is_prefill();
        if is_prefill && !generating.contains(&&upstream.record.availability_zone) {
            continue;
        }
        let cached = is_cached(situation, prompt, upstream);
        let source = holder.filter(|_| !cached);
        let tokens = match (cached || source.is_some(), prompt.shared()) {
            (true, Some((_, shared))) => prompt.tokens - shared,
            _ => uncached(prompt, upstream, home),
        };
        let speed = speed_tokens_per_ms(upstream);
        let wait_ms = f64::from(upstream.tokens_ahead()) / speed;
        let fetch_ms = source.map_or(0.0, |source| fetch_ms(prompt, upstream, source));
        let work_ms = f64::from(tokens) / speed + fetch_ms;
        let is_kept_free = reserved.contains(&&upstream.record.id);
        if is_kept_free && (rank > 1 || work_ms > RESERVED_WORK_MS) {
            continue;
        }
        let extra_ms = match upstream.record.role {
            Some(Role::Prefill) => HANDOFF_MS,
            Some(Role::Decode) => INTERFERENCE_MS,
            _ => 0.0,
        };
        let cost_ms = wait_ms
            + work_ms
            + extra_ms
            + source.map_or(0.0, |_| FETCH_MS)
            + situation.distance_ms(upstream)
            + situation.jitter(upstream) * SPREAD_MS
            + upstream.failure_rate(situation.now_ms) * FAILURE_MS;
        if best.as_ref().is_none_or(|(least, _)| cost_ms < *least) {
            let choice = Choice {
                upstream: upstream.record.id.clone(),
                is_prefill,
                tokens,
                fetch_from: source.map(|source| source.record.address.clone()),
                shared_age_ms: cached
                    .then_some(upstream)
                    .or(source)
                    .zip(prompt.shared())
                    .map(|(holder, (key, _))| situation.now_ms - holder.shared_used_ms(key)),
                wait_ms,
                work_ms,
            };
            best = Some((cost_ms, choice));
        }
    }
    best.map(|(_, choice)| choice)
}

/// Returns the prefill engines of the own zone that are kept for the most urgent rank, the same for all entries.
fn reserved<'a>(
    situation: &Situation<'_>,
    candidates: impl Iterator<Item = &'a Upstream>,
) -> Vec<&'a Name> {
    let hasher = foldhash::fast::FixedState::default();
    let mut engines: Vec<&Name> = candidates
        .filter(|upstream| upstream.is_prefill() && situation.distance_ms(upstream) == 0.0)
        .map(|upstream| &upstream.record.id)
        .collect();
    let count = match engines.len() {
        0..RESERVED_MIN_ENGINES => 0,
        engines => (engines as f64 * RESERVED_SHARE) as usize,
    };
    engines.sort_by_cached_key(|id| hasher.hash_one(id));
    engines.truncate(count);
    engines
}

/// Chooses the engine that generates from a computed prompt: the one in the prefill engine's zone that runs the least.
pub fn decoder<'a>(
    situation: &Situation<'_>,
    source: &Upstream,
    upstreams: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let zone = &source.record.availability_zone;
    let load = |upstream: &Upstream| {
        f64::from(upstream.total_running())
            + upstream.failure_rate(situation.now_ms) * f64::from(upstream.record.slots)
            + situation.jitter(upstream) * SPREAD_REQUESTS
    };
    upstreams
        .filter(|upstream| situation.is_candidate(upstream) && can_generate(upstream))
        .filter(|upstream| upstream.record.availability_zone == *zone)
        .min_by(|a, b| load(a).total_cmp(&load(b)))
}

/// Returns the zones in which an engine can generate.
fn generating_zones<'a>(candidates: impl Iterator<Item = &'a Upstream>) -> Vec<&'a Name> {
    let mut zones = Vec::new();
    for upstream in candidates.filter(|upstream| can_generate(upstream)) {
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
    f64::from(upstream.total_running()) >= f64::from(upstream.record.slots) * SLOT_SHARE
}

/// Returns the prompt tokens that an engine computes in a millisecond.
pub fn speed_tokens_per_ms(upstream: &Upstream) -> f64 {
    match upstream.record.role {
        Some(Role::Decode) => PREFILL_TOKENS_PER_MS * DECODE_PREFILL_SHARE,
        _ => PREFILL_TOKENS_PER_MS,
    }
}

fn is_cached(situation: &Situation<'_>, prompt: &Prompt, upstream: &Upstream) -> bool {
    let shared = prompt.shared();
    shared.is_some_and(|(key, _)| upstream.has_shared(key, situation.now_ms))
}

/// Returns an engine that is believed to hold the prompt's shared parts, if they are worth a transfer. The own zone
/// comes first, then the engine that used them last.
fn holder<'a>(
    situation: &Situation<'_>,
    prompt: &Prompt,
    candidates: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let (key, tokens) = prompt.shared()?;
    if tokens < FETCH_MIN_TOKENS {
        return None;
    }
    candidates
        .filter(|upstream| upstream.can_export(key, situation.now_ms))
        .max_by_key(|upstream| {
            let is_near = situation.distance_ms(upstream) == 0.0;
            (is_near, upstream.shared_used_ms(key))
        })
}

fn fetch_ms(prompt: &Prompt, upstream: &Upstream, source: &Upstream) -> f64 {
    let tokens = prompt.shared().map_or(0, |(_, tokens)| tokens);
    let is_near = upstream.record.availability_zone == source.record.availability_zone;
    let factor = if is_near { 1.0 } else { ZONE_TRANSFER_FACTOR };
    f64::from(tokens) / TRANSFER_TOKENS_PER_MS * factor
}

fn uncached(prompt: &Prompt, upstream: &Upstream, home: Option<&Upstream>) -> u32 {
    let shared = prompt.shared().map_or(0, |(_, tokens)| tokens);
    let is_home = home.is_some_and(|home| home.record.id == upstream.record.id);
    let cached = match is_home {
        true => f64::from(shared) * HOME_CACHED_SHARE,
        false => 0.0,
    };
    prompt.tokens - cached as u32
}

/// Returns the engine of the own zone that all entries prefer for the prompt's shared part, by rendezvous hashing.
/// Prefill engines come first, as their caches hold no memory of running requests.
fn home<'a>(
    situation: &Situation<'_>,
    prompt: &Prompt,
    candidates: impl Iterator<Item = &'a Upstream>,
) -> Option<&'a Upstream> {
    let (key, _) = prompt.shared()?;
    let hasher = foldhash::fast::FixedState::default();
    candidates
        .filter(|upstream| situation.distance_ms(upstream) == 0.0)
        .max_by_key(|upstream| {
            let draw = hasher.hash_one((key, &upstream.record.id));
            (upstream.is_prefill(), draw)
        })
}
