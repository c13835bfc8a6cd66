//! The choice of an upstream.

use conf::{Map, Name, Role, ServiceKind};
use smallvec::SmallVec;

use crate::cache::CacheIndex;
use crate::pool::{Pool, ServiceState, keyed_hash};
use crate::table::{TableSlot, UpstreamTable};
use crate::types::{CHUNK_TOKENS, Choice, Policy, RoutingRequest};
use crate::view::{ExpectedTimes, UpstreamView, report_weight};

/// Number of upstreams of the instance's zone that are sampled while reports are fresh.
const SAMPLE_FRESH: usize = 8;
/// Number of upstreams of the instance's zone that are sampled while reports are stale. A small sample makes it
/// unlikely that all instances choose the same upstream.
const SAMPLE_STALE: usize = 3;
/// Age up to which reports are fresh, in milliseconds.
const FRESH_MS: u64 = 100;
/// Age from which reports are stale, in milliseconds.
const STALE_MS: u64 = 500;
/// Number of upstreams that are sampled in each other zone.
const SAMPLE_OTHER_ZONE: usize = 2;
/// Number of upstreams that are sampled because they hold the prompt's prefix in their caches.
const SAMPLE_HOLDERS: usize = 4;
/// Number of members that are scanned in order when random draws have found too few.
const SCAN_MAX: usize = 64;
/// Time by which the cost of an upstream in another zone must be lower than that of one in the instance's zone, in
/// milliseconds. The margin keeps traffic and cached prefixes in their zones.
const OTHER_ZONE_MARGIN_MS: f64 = 20.0;
/// Weight in the cost of the engine time that the computation of a prompt takes from other requests.
const PROMPT_WEIGHT: f64 = 4.0;
/// The prompt weight at the ring owner, the upstream that the prompt's first chunk hashes to. With a low weight,
/// instances that do not know each other's dispatches choose the same upstream, and the chunks are cached once.
const RING_OWNER_PROMPT_WEIGHT: f64 = 0.0;
/// Relative increase of the cost of an upstream whose load is unknown.
const UNKNOWN_LOAD_WEIGHT: f64 = 0.2;
/// Share of the batch limit by which the most urgent rank may exceed it, so that this rank does not wait for a batch
/// slot.
const URGENT_EXTRA_SHARE: f64 = 0.25;
/// Prompt backlog of an upstream above which requests wait at the instance, in milliseconds, unless the upstream holds
/// their prefix. In the engine's own queue ranks would count for less, and the batch slot of a cancelled request would
/// be freed late.
const BACKLOG_MAX_MS: f64 = 1_000.0;
/// Safety factor on the expected times when they are compared with the deadlines. Requests that join after the choice
/// delay an answer: with 1.0 a tenth of the answers were late above capacity, with 2.0 more requests are refused below
/// capacity than are late.
const DEADLINE_MARGIN: f64 = 1.5;
/// Time to transfer one KV chunk from a prefill engine to a decode engine, in milliseconds.
const KV_TRANSFER_MS: f64 = 5.0;

/// Table slots of the upstreams that are compared.
type Sample = SmallVec<[u32; 24]>;

/// The part of a request that an upstream is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Whole,
    Prefill,
    Decode,
}

impl Stage {
    fn role(self) -> Role {
        match self {
            Self::Whole => Role::Mixed,
            Self::Prefill => Role::Prefill,
            Self::Decode => Role::Decode,
        }
    }
}

/// An upstream with the expected times and the cost of the request there. The candidate with the lowest cost is chosen.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    slot: u32,
    cost_ms: f64,
    expected: ExpectedTimes,
    cached_tokens: u32,
}

impl UpstreamTable {
    /// Returns the chosen upstream, or `None` if no upstream can take the request now.
    ///
    /// The cost-based policy does not choose an upstream whose estimated running and waiting requests have reached its
    /// batch limit, so that requests queue at the instance. The baseline policies have no such limit.
    pub fn choose(
        &mut self,
        now_ms: u64,
        request: &RoutingRequest,
        policy: Policy,
    ) -> Option<Choice> {
        let model = match request.model.as_str() {
            "" => None,
            model => Some(self.models.get(model).copied().unwrap_or(u32::MAX)),
        };
        let state = self.services.get_mut(&request.service)?;
        state.ensure_pool(model, &self.slots);
        let mut chooser = Chooser {
            now_ms,
            request,
            policy,
            slots: &self.slots,
            cache_index: &self.cache_index,
            extra_rtts_ms: &self.extra_rtts_ms,
            kind: state.kind,
            plain_request_ms: state.plain_request_ms,
            next_member: &mut state.next_member,
            pool: &state.pools[&model],
            rng: &mut self.rng,
        };
        chooser.choose()
    }

    /// Returns the expected time of a request on an upstream with a full batch and without a queue, in milliseconds.
    ///
    /// Admission uses the estimate to refuse requests early while `choose` returns `None`. The result is `None` if the
    /// service has no upstream.
    pub fn service_ms(&self, request: &RoutingRequest) -> Option<u64> {
        let state = self.services.get(&request.service)?;
        if state.kind == ServiceKind::Plain {
            return Some(state.plain_request_ms as u64);
        }
        let view = self.first_member_view(request)?;
        let between_tokens_ms = view.between_tokens_ms(f64::from(view.max_running));
        Some(
            self.prompt_ms(request)?
                + (f64::from(request.output_tokens) * between_tokens_ms) as u64,
        )
    }

    /// Returns the expected time to compute a request's prompt on an upstream without a queue, in milliseconds.
    ///
    /// Chunks that any upstream holds count as cached.
    pub fn prompt_ms(&self, request: &RoutingRequest) -> Option<u64> {
        let view = self.first_member_view(request)?;
        let held = |chunk: &&u64| !self.cache_index.holders(**chunk).is_empty();
        let cached_tokens =
            request.chunk_hashes.iter().take_while(held).count() as u32 * CHUNK_TOKENS;
        let uncached_tokens = request.prompt_tokens.saturating_sub(cached_tokens);
        Some((f64::from(uncached_tokens) / view.prefill_tokens_per_ms) as u64)
    }

    fn first_member_view(&self, request: &RoutingRequest) -> Option<&UpstreamView> {
        let state = self.services.get(&request.service)?;
        let mut views = state
            .members
            .iter()
            .filter_map(|slot| self.slot_view(*slot));
        views.next()
    }
}

/// One decision: the request and the parts of the table that the decision uses.
struct Chooser<'a> {
    now_ms: u64,
    request: &'a RoutingRequest,
    policy: Policy,
    slots: &'a [TableSlot],
    cache_index: &'a CacheIndex,
    extra_rtts_ms: &'a Map<Name, f64>,
    kind: ServiceKind,
    plain_request_ms: f64,
    next_member: &'a mut usize,
    pool: &'a Pool,
    rng: &'a mut fastrand::Rng,
}

impl Chooser<'_> {
    fn choose(&mut self) -> Option<Choice> {
        let whole = self.pick(Stage::Whole);
        let disaggregated = self.pick_disaggregated();
        match (whole, disaggregated) {
            (Some(whole), Some((_, decode))) if whole.cost_ms <= decode.cost_ms => {
                Some(self.choice(&whole, None))
            }
            (_, Some((prefill, decode))) => Some(self.choice(&decode, Some(prefill.slot))),
            (Some(whole), None) => Some(self.choice(&whole, None)),
            (None, None) => None,
        }
    }

    /// Returns a prefill engine and a decode engine. The expected times of the decode engine include those of the
    /// prefill engine and the transfer.
    fn pick_disaggregated(&mut self) -> Option<(Candidate, Candidate)> {
        if !self.pool.has_disaggregated_roles() {
            return None;
        }
        let prefill = self.pick(Stage::Prefill)?;
        let mut decode = self.pick(Stage::Decode)?;
        let kv_chunks = self.request.prompt_tokens.div_ceil(CHUNK_TOKENS);
        let transfer_ms = f64::from(kv_chunks) * KV_TRANSFER_MS;
        decode.expected.first_token_ms += prefill.expected.total_ms + transfer_ms;
        decode.expected.total_ms += prefill.expected.total_ms + transfer_ms;
        decode.cost_ms += prefill.cost_ms + transfer_ms;
        decode.cached_tokens = prefill.cached_tokens;
        Some((prefill, decode))
    }

    fn choice(&self, best: &Candidate, prefill: Option<u32>) -> Choice {
        let name = |slot: u32| self.view(slot).map(|view| view.name.clone());
        Choice {
            upstream: name(best.slot).unwrap_or_default(),
            prefill_upstream: prefill.and_then(name),
            first_token_ms: best.expected.first_token_ms.ceil() as u64,
            total_ms: best.expected.total_ms.ceil() as u64,
            cached_tokens: best.cached_tokens,
        }
    }

    fn pick(&mut self, stage: Stage) -> Option<Candidate> {
        let slot = match self.policy {
            Policy::CostBased => return self.pick_by_cost(stage),
            Policy::RoundRobin => self.pick_round_robin(stage),
            Policy::LeastOutstanding => self.pick_least_outstanding(stage),
            Policy::PrefixHash => self.pick_by_hash(stage),
        }?;
        Some(self.assess(stage, slot, None))
    }

    fn pick_by_cost(&mut self, stage: Stage) -> Option<Candidate> {
        let mut sample = Sample::new();
        self.sample_holders(stage, &mut sample);
        let ring_owner = self.ring_owner(stage);
        sample.extend(ring_owner.filter(|owner| !sample.contains(owner)));
        let pool = self.pool;
        for (zone, members) in pool.zones(stage.role()) {
            let is_own_zone = *zone == self.request.availability_zone;
            let wanted = match is_own_zone {
                true => self.sample_size(members),
                false => SAMPLE_OTHER_ZONE,
            };
            self.sample_members(members, wanted, &mut sample);
        }
        let assessed = sample
            .iter()
            .map(|slot| self.assess(stage, *slot, ring_owner));
        let best = assessed.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms));
        best.filter(|best| self.is_in_time(best) && self.has_batch_slot(best.slot))
    }

    fn pick_round_robin(&mut self, stage: Stage) -> Option<u32> {
        let members = self.pool.all(stage.role());
        for _ in 0..members.len() {
            let slot = members[*self.next_member % members.len()];
            *self.next_member = self.next_member.wrapping_add(1);
            if self.is_eligible(slot) {
                return Some(slot);
            }
        }
        None
    }

    fn pick_least_outstanding(&mut self, stage: Stage) -> Option<u32> {
        let members = self.pool.all(stage.role());
        let first = self.rng.usize(..members.len().max(1));
        let rotated = members[first.min(members.len())..].iter();
        let rotated = rotated.chain(&members[..first.min(members.len())]);
        rotated
            .copied()
            .filter(|slot| self.is_eligible(*slot))
            .min_by_key(|slot| self.view(*slot).map_or(0, |view| view.outstanding))
    }

    fn pick_by_hash(&mut self, stage: Stage) -> Option<u32> {
        let key = match self.request.chunk_hashes.first() {
            Some(chunk) => *chunk,
            None => self.rng.u64(..),
        };
        let members = self.pool.all(stage.role()).iter().copied();
        members
            .filter(|slot| self.is_eligible(*slot))
            .max_by_key(|slot| keyed_hash(key, u64::from(*slot)))
    }

    /// Adds upstreams that hold the prompt's prefix, the longest cached part first.
    fn sample_holders(&mut self, stage: Stage, sample: &mut Sample) {
        if stage == Stage::Decode {
            return;
        }
        for chunk in self.request.chunk_hashes.iter().rev() {
            let holders = self.cache_index.holders(*chunk);
            if holders.is_empty() {
                continue;
            }
            let first = self.rng.usize(..holders.len());
            let rotated = holders[first..].iter().chain(&holders[..first]);
            for slot in rotated.take(SCAN_MAX) {
                if sample.len() >= SAMPLE_HOLDERS {
                    return;
                }
                if self.is_member(stage, *slot) && self.is_eligible(*slot) && !sample.contains(slot)
                {
                    sample.push(*slot);
                }
            }
        }
    }

    /// Returns the first eligible upstream in the ring order of the prompt's first chunk.
    fn ring_owner(&self, stage: Stage) -> Option<u32> {
        if stage == Stage::Decode {
            return None;
        }
        let first = *self.request.chunk_hashes.first()?;
        let mut ring_order = self.pool.ring_order(stage.role(), first).take(SCAN_MAX);
        ring_order.find(|slot| self.is_eligible(*slot))
    }

    /// Adds up to `wanted` random members that are eligible for the request.
    fn sample_members(&mut self, members: &[u32], wanted: usize, sample: &mut Sample) {
        if members.is_empty() {
            return;
        }
        let wanted = sample.len() + wanted;
        if members.len() > SCAN_MAX {
            for _ in 0..wanted * 2 {
                if sample.len() >= wanted {
                    return;
                }
                let slot = members[self.rng.usize(..members.len())];
                self.add_to_sample(slot, sample);
            }
        }
        let first = self.rng.usize(..members.len());
        for offset in 0..members.len().min(SCAN_MAX) {
            if sample.len() >= wanted {
                return;
            }
            let slot = members[(first + offset) % members.len()];
            self.add_to_sample(slot, sample);
        }
    }

    fn add_to_sample(&self, slot: u32, sample: &mut Sample) {
        if !sample.contains(&slot) && self.has_batch_slot(slot) && !self.is_backlogged(slot) {
            sample.push(slot);
        }
    }

    /// Returns the number of members to sample. The number falls with the age of the reports, because all instances see
    /// the same upstream as the best one in stale reports.
    fn sample_size(&mut self, members: &[u32]) -> usize {
        let Some(slot) = self.rng.choice(members) else {
            return 0;
        };
        let age_ms = self
            .view(*slot)
            .map_or(u64::MAX, |view| view.report_age_ms(self.now_ms));
        let stale = age_ms.clamp(FRESH_MS, STALE_MS) - FRESH_MS;
        let fewer = (SAMPLE_FRESH - SAMPLE_STALE) as u64 * stale / (STALE_MS - FRESH_MS);
        // At most half of a small zone is sampled. If all of its members were in the sample, all instances would choose
        // the same one.
        (SAMPLE_FRESH - fewer as usize).min(members.len().div_ceil(2))
    }

    /// Returns whether the answer is expected within its deadlines. A request that misses its deadlines would only take
    /// time from other requests.
    fn is_in_time(&self, candidate: &Candidate) -> bool {
        let meets = |expected_ms: f64, deadline_ms: u64| {
            let end_with_margin_ms = self.now_ms as f64 + expected_ms * DEADLINE_MARGIN;
            deadline_ms == 0 || end_with_margin_ms <= deadline_ms as f64
        };
        meets(candidate.expected.total_ms, self.request.deadline_ms)
            && meets(
                candidate.expected.first_token_ms,
                self.request.first_token_deadline_ms,
            )
    }

    fn is_member(&self, stage: Stage, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.role == stage.role()
                && view.service == self.request.service
                && view.serves(self.pool.model)
        })
    }

    /// Returns whether the upstream is eligible for the request and has a free batch slot.
    fn has_batch_slot(&self, slot: u32) -> bool {
        let Some(view) = self.view(slot) else {
            return false;
        };
        let limit = f64::from(view.max_running);
        let extra = match self.request.rank {
            0 => (limit * URGENT_EXTRA_SHARE).ceil(),
            _ => 0.0,
        };
        view.in_flight(self.now_ms) + 1.0 <= limit + extra && self.is_eligible(slot)
    }

    fn is_backlogged(&self, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.backlog_tokens_at(self.now_ms) > BACKLOG_MAX_MS * view.prefill_tokens_per_ms
        })
    }

    fn is_eligible(&self, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.accepts(self.now_ms) && !self.request.exclude.contains(&view.name)
        })
    }

    fn assess(&self, stage: Stage, slot: u32, ring_owner: Option<u32>) -> Candidate {
        let mut candidate = Candidate {
            slot,
            cost_ms: f64::INFINITY,
            expected: ExpectedTimes::default(),
            cached_tokens: 0,
        };
        if let Some(view) = self.view(slot) {
            match self.kind {
                ServiceKind::Plain => {
                    candidate.expected =
                        view.expected_plain_times(self.now_ms, self.plain_request_ms)
                }
                ServiceKind::Model => self.assess_model(stage, view, ring_owner, &mut candidate),
            }
            self.complete_cost(view, &mut candidate);
        }
        candidate
    }

    fn assess_model(
        &self,
        stage: Stage,
        view: &UpstreamView,
        ring_owner: Option<u32>,
        candidate: &mut Candidate,
    ) {
        let prompt_tokens = f64::from(self.request.prompt_tokens);
        let output_tokens = f64::from(self.request.output_tokens);
        let leading_chunks = view.cache.cached_prefix_len(&self.request.chunk_hashes) as f64;
        let cached = leading_chunks * f64::from(CHUNK_TOKENS) * view.cache.confidence();
        let cached = cached.min(prompt_tokens - 1.0).max(0.0);
        let uncached = prompt_tokens - cached;
        let (prompt, output) = match stage {
            Stage::Whole => (uncached, output_tokens),
            Stage::Prefill => (uncached, 0.0),
            Stage::Decode => (0.0, output_tokens),
        };
        candidate.expected = view.expected_model_times(self.now_ms, prompt, output);
        candidate.cached_tokens = cached as u32;
        let needed = (uncached + output) / f64::from(CHUNK_TOKENS);
        let deficit_tokens = view.kv_chunk_deficit(needed.ceil() as u32) * CHUNK_TOKENS;
        let prompt_weight = match ring_owner == Some(candidate.slot) {
            true => RING_OWNER_PROMPT_WEIGHT,
            false => PROMPT_WEIGHT,
        };
        let interference_tokens = prompt * prompt_weight + f64::from(deficit_tokens);
        candidate.cost_ms = interference_tokens / view.prefill_tokens_per_ms;
    }

    /// Completes the cost, which so far holds the engine time taken from other requests, with the expected times, the
    /// round trip to another zone and the uncertainty of the load.
    fn complete_cost(&self, view: &UpstreamView, candidate: &mut Candidate) {
        let mut interference_ms = candidate.cost_ms;
        if interference_ms.is_infinite() {
            interference_ms = 0.0;
        }
        let is_own_zone = view.zone == self.request.availability_zone;
        if !is_own_zone {
            let measured = self.extra_rtts_ms.get(&view.zone).copied();
            let extra_rtt_ms = measured.unwrap_or(crate::table::DEFAULT_EXTRA_RTT_MS);
            candidate.expected.first_token_ms += extra_rtt_ms;
            candidate.expected.total_ms += extra_rtt_ms;
            interference_ms += OTHER_ZONE_MARGIN_MS;
        }
        let unknown = 1.0 - report_weight(view.report_age_ms(self.now_ms));
        let weight = 1.0 + UNKNOWN_LOAD_WEIGHT * unknown;
        candidate.cost_ms =
            (candidate.expected.total_ms + interference_ms) * weight * view.slowdown;
    }

    fn view(&self, slot: u32) -> Option<&UpstreamView> {
        self.slots.get(slot as usize)?.view.as_ref()
    }
}

impl ServiceState {
    fn ensure_pool(&mut self, model: Option<u32>, slots: &[TableSlot]) {
        if !self.pools.contains_key(&model) {
            let pool = Pool::build(model, &self.members, slots);
            self.pools.insert(model, pool);
        }
    }
}
