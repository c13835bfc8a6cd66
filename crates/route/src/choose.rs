//! The choice of an upstream.

use conf::{Map, Name, Role, ServiceKind};
use smallvec::SmallVec;

use crate::pool::{Group, Pool, mix};
use crate::prefix::Holders;
use crate::table::{Slot, Table};
use crate::view::{Expected, View, trust};
use crate::work::{CHUNK_TOKENS, Choice, Policy, Work};

/// Upstreams of the own zone that are sampled while reports are fresh.
const SAMPLE_FRESH: usize = 8;
/// Upstreams of the own zone that are sampled while reports are old. Few keep the entries apart.
const SAMPLE_STALE: usize = 3;
/// Age up to which reports are fresh, in milliseconds.
const FRESH_MS: u64 = 100;
/// Age from which reports are old, in milliseconds.
const STALE_MS: u64 = 500;
/// Upstreams of each other zone that are sampled.
const SAMPLE_OTHER_ZONE: usize = 2;
/// Holders of the prompt's prefix that are considered.
const SAMPLE_HOLDERS: usize = 4;
/// Members that are looked at one after the other when random draws have found too few.
const SCAN_MAX: usize = 64;
/// Time by which another zone must be better than the own one, in milliseconds. It keeps traffic and caches at home.
const OTHER_ZONE_MARGIN_MS: f64 = 20.0;
/// Weight of the engine time that computing a prompt takes from other requests.
const PROMPT_WEIGHT: f64 = 4.0;
/// The same weight at the upstream that the prompt's first chunk hashes to. Entries that do not know of each other's
/// dispatches then agree on one upstream, and the chunks are cached once.
const HOME_PROMPT_WEIGHT: f64 = 0.0;
/// Relative cost of an upstream whose load is not known.
const UNKNOWN_LOAD_WEIGHT: f64 = 0.2;
/// Share of the batch limit that the most urgent rank may add on top, so that it does not wait for a place.
const URGENT_EXTRA_SHARE: f64 = 0.25;
/// Prompt backlog of an upstream above which requests wait at the entry, in milliseconds, unless it holds their prefix. In the engine's own queue ranks
/// would count for less, and a cancelled request would leave its place late.
const BACKLOG_MAX_MS: f64 = 1_000.0;
/// Factor by which the expected times must stay within the deadlines. Requests that join after the choice delay an answer:
/// with 1.0 a tenth of the answers were late above capacity, with 2.0 more are refused below capacity than are late.
const DEADLINE_MARGIN: f64 = 1.5;
/// Time to move one KV chunk from a prefill engine to a decode engine, in milliseconds.
const KV_TRANSFER_MS: f64 = 5.0;

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

#[derive(Clone, Copy, Debug)]
struct Candidate {
    slot: u32,
    score: f64,
    expected: Expected,
    cached_tokens: u32,
}

impl Table {
    /// Chooses an upstream, or `None` if none may get the request now.
    ///
    /// The cost-based policy does not choose an upstream whose estimated running and waiting requests have reached its
    /// batch limit, so that the queue stays at the entry. The baselines know no such limit.
    pub fn choose(&mut self, now_ms: u64, work: &Work, policy: Policy) -> Option<Choice> {
        let model = match work.model.as_str() {
            "" => None,
            model => Some(self.models.get(model).copied().unwrap_or(u32::MAX)),
        };
        let group = self.groups.get_mut(&work.service)?;
        group.ensure_pool(model, &self.slots);
        let mut chooser = Chooser {
            now_ms,
            work,
            policy,
            slots: &self.slots,
            holders: &self.holders,
            distances_ms: &self.distances_ms,
            kind: group.kind,
            plain_ms: group.plain_ms,
            next: &mut group.next,
            pool: &group.pools[&model],
            rng: &mut self.rng,
        };
        chooser.choose()
    }

    /// Expected time of a request on an upstream without a queue but with a full batch, in milliseconds.
    ///
    /// It serves to refuse early while `choose` finds no place. `None` if the service has no upstream.
    pub fn service_ms(&self, work: &Work) -> Option<u64> {
        let group = self.groups.get(&work.service)?;
        if group.kind == ServiceKind::Plain {
            return Some(group.plain_ms as u64);
        }
        let view = self.any_view(work)?;
        let between_ms = view.between_tokens_ms(f64::from(view.max_running));
        Some(self.prompt_ms(work)? + (f64::from(work.output_tokens) * between_ms) as u64)
    }

    /// Expected time to compute a request's prompt on an upstream without a queue, in milliseconds.
    ///
    /// Chunks that any upstream holds count as cached.
    pub fn prompt_ms(&self, work: &Work) -> Option<u64> {
        let view = self.any_view(work)?;
        let held = |chunk: &&u64| !self.holders.of(**chunk).is_empty();
        let cached_tokens = work.chunks.iter().take_while(held).count() as u32 * CHUNK_TOKENS;
        let uncached_tokens = work.prompt_tokens.saturating_sub(cached_tokens);
        Some((f64::from(uncached_tokens) / view.prefill_tokens_per_ms) as u64)
    }

    fn any_view(&self, work: &Work) -> Option<&View> {
        let group = self.groups.get(&work.service)?;
        let mut views = group
            .members
            .iter()
            .filter_map(|slot| self.slot_view(*slot));
        views.next()
    }
}

struct Chooser<'a> {
    now_ms: u64,
    work: &'a Work,
    policy: Policy,
    slots: &'a [Slot],
    holders: &'a Holders,
    distances_ms: &'a Map<Name, f64>,
    kind: ServiceKind,
    plain_ms: f64,
    next: &'a mut usize,
    pool: &'a Pool,
    rng: &'a mut fastrand::Rng,
}

impl Chooser<'_> {
    fn choose(&mut self) -> Option<Choice> {
        let whole = self.pick(Stage::Whole);
        let split = self.pick_split();
        match (whole, split) {
            (Some(whole), Some((_, decode))) if whole.score <= decode.score => {
                Some(self.choice(&whole, None))
            }
            (_, Some((prefill, decode))) => Some(self.choice(&decode, Some(prefill.slot))),
            (Some(whole), None) => Some(self.choice(&whole, None)),
            (None, None) => None,
        }
    }

    /// Picks a prefill engine and a decode engine. The second one carries the times of both.
    fn pick_split(&mut self) -> Option<(Candidate, Candidate)> {
        if !self.pool.has_split_roles() {
            return None;
        }
        let prefill = self.pick(Stage::Prefill)?;
        let mut decode = self.pick(Stage::Decode)?;
        let kv_chunks = self.work.prompt_tokens.div_ceil(CHUNK_TOKENS);
        let transfer_ms = f64::from(kv_chunks) * KV_TRANSFER_MS;
        decode.expected.first_token_ms += prefill.expected.total_ms + transfer_ms;
        decode.expected.total_ms += prefill.expected.total_ms + transfer_ms;
        decode.score += prefill.score + transfer_ms;
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
        let home = self.home(stage);
        sample.extend(home.filter(|home| !sample.contains(home)));
        let pool = self.pool;
        for (zone, members) in pool.zones(stage.role()) {
            let home = *zone == self.work.availability_zone;
            let wanted = match home {
                true => self.sample_size(members),
                false => SAMPLE_OTHER_ZONE,
            };
            self.sample_members(members, wanted, &mut sample);
        }
        let assessed = sample.iter().map(|slot| self.assess(stage, *slot, home));
        let best = assessed.min_by(|a, b| a.score.total_cmp(&b.score));
        best.filter(|best| self.is_in_time(best) && self.has_place(best.slot))
    }

    fn pick_round_robin(&mut self, stage: Stage) -> Option<u32> {
        let members = self.pool.all(stage.role());
        for _ in 0..members.len() {
            let slot = members[*self.next % members.len()];
            *self.next = self.next.wrapping_add(1);
            if self.may_get(slot) {
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
            .filter(|slot| self.may_get(*slot))
            .min_by_key(|slot| self.view(*slot).map_or(0, |view| view.outstanding))
    }

    fn pick_by_hash(&mut self, stage: Stage) -> Option<u32> {
        let key = match self.work.chunks.first() {
            Some(chunk) => *chunk,
            None => self.rng.u64(..),
        };
        let members = self.pool.all(stage.role()).iter().copied();
        members
            .filter(|slot| self.may_get(*slot))
            .max_by_key(|slot| mix(key, u64::from(*slot)))
    }

    /// Adds holders of the longest known part of the prompt's prefix.
    fn sample_holders(&mut self, stage: Stage, sample: &mut Sample) {
        if stage == Stage::Decode {
            return;
        }
        for chunk in self.work.chunks.iter().rev() {
            let holders = self.holders.of(*chunk);
            if holders.is_empty() {
                continue;
            }
            let first = self.rng.usize(..holders.len());
            let rotated = holders[first..].iter().chain(&holders[..first]);
            for slot in rotated.take(SCAN_MAX) {
                if sample.len() >= SAMPLE_HOLDERS {
                    return;
                }
                if self.is_member(stage, *slot) && self.may_get(*slot) && !sample.contains(slot) {
                    sample.push(*slot);
                }
            }
        }
    }

    /// The first upstream in the ring order of the prompt's first chunk that may get requests.
    fn home(&self, stage: Stage) -> Option<u32> {
        if stage == Stage::Decode {
            return None;
        }
        let first = *self.work.chunks.first()?;
        let mut homes = self.pool.homes(stage.role(), first).take(SCAN_MAX);
        homes.find(|slot| self.may_get(*slot))
    }

    /// Adds up to `wanted` random members that may get the request.
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
                self.sample_one(slot, sample);
            }
        }
        let first = self.rng.usize(..members.len());
        for offset in 0..members.len().min(SCAN_MAX) {
            if sample.len() >= wanted {
                return;
            }
            let slot = members[(first + offset) % members.len()];
            self.sample_one(slot, sample);
        }
    }

    fn sample_one(&self, slot: u32, sample: &mut Sample) {
        if !sample.contains(&slot) && self.has_place(slot) && !self.is_backlogged(slot) {
            sample.push(slot);
        }
    }

    /// Number of members to sample: fewer when reports are older, because then the entries see the same old best one.
    fn sample_size(&mut self, members: &[u32]) -> usize {
        let Some(slot) = self.rng.choice(members) else {
            return 0;
        };
        let age_ms = self
            .view(*slot)
            .map_or(u64::MAX, |view| view.report_age_ms(self.now_ms));
        let stale = age_ms.clamp(FRESH_MS, STALE_MS) - FRESH_MS;
        let fewer = (SAMPLE_FRESH - SAMPLE_STALE) as u64 * stale / (STALE_MS - FRESH_MS);
        // Half of a small zone at most: with all of it in the sample, all entries would pick the same member.
        (SAMPLE_FRESH - fewer as usize).min(members.len().div_ceil(2))
    }

    /// Whether the answer is expected within its deadlines. Work that misses them would only take time from other requests.
    fn is_in_time(&self, candidate: &Candidate) -> bool {
        let meets = |expected_ms: f64, deadline_ms: u64| {
            let at_worst_ms = self.now_ms as f64 + expected_ms * DEADLINE_MARGIN;
            deadline_ms == 0 || at_worst_ms <= deadline_ms as f64
        };
        meets(candidate.expected.total_ms, self.work.deadline_ms)
            && meets(
                candidate.expected.first_token_ms,
                self.work.first_token_deadline_ms,
            )
    }

    fn is_member(&self, stage: Stage, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.role == stage.role()
                && view.service == self.work.service
                && view.serves(self.pool.model)
        })
    }

    /// Whether the upstream may get the request and has a place in its batch.
    fn has_place(&self, slot: u32) -> bool {
        let Some(view) = self.view(slot) else {
            return false;
        };
        let limit = f64::from(view.max_running);
        let extra = match self.work.rank {
            0 => (limit * URGENT_EXTRA_SHARE).ceil(),
            _ => 0.0,
        };
        view.in_flight(self.now_ms) + 1.0 <= limit + extra && self.may_get(slot)
    }

    fn is_backlogged(&self, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.backlog_tokens(self.now_ms) > BACKLOG_MAX_MS * view.prefill_tokens_per_ms
        })
    }

    fn may_get(&self, slot: u32) -> bool {
        self.view(slot).is_some_and(|view| {
            view.accepts(self.now_ms) && !self.work.exclude.contains(&view.name)
        })
    }

    fn assess(&self, stage: Stage, slot: u32, home: Option<u32>) -> Candidate {
        let mut candidate = Candidate {
            slot,
            score: f64::INFINITY,
            expected: Expected::default(),
            cached_tokens: 0,
        };
        if let Some(view) = self.view(slot) {
            match self.kind {
                ServiceKind::Plain => {
                    candidate.expected = view.expect_plain(self.now_ms, self.plain_ms)
                }
                ServiceKind::Model => self.assess_tokens(stage, view, home, &mut candidate),
            }
            self.add_distance(view, &mut candidate);
        }
        candidate
    }

    fn assess_tokens(
        &self,
        stage: Stage,
        view: &View,
        home: Option<u32>,
        candidate: &mut Candidate,
    ) {
        let prompt_tokens = f64::from(self.work.prompt_tokens);
        let output_tokens = f64::from(self.work.output_tokens);
        let leading = view.cache.leading(&self.work.chunks) as f64;
        let cached = leading * f64::from(CHUNK_TOKENS) * view.cache.confidence();
        let cached = cached.min(prompt_tokens - 1.0).max(0.0);
        let uncached = prompt_tokens - cached;
        let (prompt, output) = match stage {
            Stage::Whole => (uncached, output_tokens),
            Stage::Prefill => (uncached, 0.0),
            Stage::Decode => (0.0, output_tokens),
        };
        candidate.expected = view.expect_tokens(self.now_ms, prompt, output);
        candidate.cached_tokens = cached as u32;
        let needed = (uncached + output) / f64::from(CHUNK_TOKENS);
        let short_tokens = view.kv_chunks_short(needed.ceil() as u32) * CHUNK_TOKENS;
        let prompt_weight = match home == Some(candidate.slot) {
            true => HOME_PROMPT_WEIGHT,
            false => PROMPT_WEIGHT,
        };
        let displaced = prompt * prompt_weight + f64::from(short_tokens);
        candidate.score = displaced / view.prefill_tokens_per_ms;
    }

    /// Adds the times, the distance and the uncertainty to the score, which holds the engine time displaced so far.
    fn add_distance(&self, view: &View, candidate: &mut Candidate) {
        let mut displaced_ms = candidate.score;
        if displaced_ms.is_infinite() {
            displaced_ms = 0.0;
        }
        let home = view.zone == self.work.availability_zone;
        if !home {
            let measured = self.distances_ms.get(&view.zone).copied();
            let distance_ms = measured.unwrap_or(crate::table::ZONE_DISTANCE_MS);
            candidate.expected.first_token_ms += distance_ms;
            candidate.expected.total_ms += distance_ms;
            displaced_ms += OTHER_ZONE_MARGIN_MS;
        }
        let unknown = 1.0 - trust(view.report_age_ms(self.now_ms));
        let weight = 1.0 + UNKNOWN_LOAD_WEIGHT * unknown;
        candidate.score = (candidate.expected.total_ms + displaced_ms) * weight * view.slowdown;
    }

    fn view(&self, slot: u32) -> Option<&View> {
        self.slots.get(slot as usize)?.view.as_ref()
    }
}

impl Group {
    fn ensure_pool(&mut self, model: Option<u32>, slots: &[Slot]) {
        if !self.pools.contains_key(&model) {
            let pool = Pool::build(model, &self.members, slots);
            self.pools.insert(model, pool);
        }
    }
}
