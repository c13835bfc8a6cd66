//! Entries and engines with a real LRU memory, on which placement rules are compared.

// Each test file and example uses only some of the functions.
#![allow(dead_code)]

use std::hash::BuildHasher;

use conf::{Name, Role};
use fleet::{UpstreamLoad, UpstreamRecord};
use gateway::Prompt;
use gateway::cost::PrefixCosts;
use gateway::place::{self, PlacementContext};
use gateway::prefix::Prefixes;
use gateway::upstream::{AssignedWork, Upstream};

const TOKENS_PER_MS: f64 = place::PREFILL_TOKENS_PER_MS;
const TRANSFER_TOKENS_PER_MS: f64 = 1_200.0;
const REPORT_DELAY_MS: u64 = 300;
const LOAD_INTERVAL_MS: u64 = 200;
const STEP_MS: u64 = 5;
const OBJECTIVE_MS: f64 = 600.0;
const ZONE: &str = "a";

/// A rule by which an entry chooses an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    Weighed,
    ByAge,
    /// The engine that used the prefix last, whatever its queue.
    Holder,
    /// The shortest queue, whatever the engine holds.
    ShortestQueue,
}

pub const RULES: [Rule; 4] = [
    Rule::Weighed,
    Rule::ByAge,
    Rule::Holder,
    Rule::ShortestQueue,
];

/// A load pattern.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub name: &'static str,
    pub engines: usize,
    pub entries: usize,
    /// Shared parts, each with this number of tokens.
    pub parts: u64,
    pub part_tokens: u32,
    pub own_tokens: u32,
    pub requests_per_s: f64,
    /// Share of the requests that use the first part.
    pub hot_share: f64,
    pub kv_tokens: u64,
    /// When the first engine has a backlog that the entries know, and its length.
    pub backlog_ms: Option<(u64, u64)>,
    /// When the engine that used the first part last crashes.
    pub crash_ms: Option<u64>,
    pub duration_ms: u64,
}

pub const BASE: Case = Case {
    name: "base",
    engines: 8,
    entries: 10,
    parts: 20,
    part_tokens: 13_000,
    own_tokens: 1_000,
    requests_per_s: 40.0,
    hot_share: 0.0,
    kv_tokens: 500_000,
    backlog_ms: None,
    crash_ms: None,
    duration_ms: 20_000,
};

/// The load patterns that are compared.
pub fn cases() -> [Case; 6] {
    [
        Case {
            name: "hot part above one engine's rate",
            requests_per_s: 160.0,
            hot_share: 0.8,
            own_tokens: 2_000,
            ..BASE
        },
        Case {
            name: "many cold parts",
            parts: 1_000,
            requests_per_s: 20.0,
            ..BASE
        },
        Case {
            name: "holder behind a long queue",
            hot_share: 0.5,
            backlog_ms: Some((8_000, 3_000)),
            ..BASE
        },
        Case {
            name: "holder with full memory",
            kv_tokens: 60_000,
            parts: 40,
            requests_per_s: 20.0,
            ..BASE
        },
        Case {
            name: "crash of the holder",
            hot_share: 0.5,
            crash_ms: Some(8_000),
            ..BASE
        },
        Case {
            name: "70 entries",
            engines: 20,
            entries: 70,
            parts: 200,
            requests_per_s: 120.0,
            own_tokens: 2_000,
            ..BASE
        },
    ]
}

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Report {
    pub first_token_ms: Vec<f64>,
    pub engine_of_first_part: Vec<usize>,
    /// Shared tokens that an engine computed although some engine held them.
    pub computed_again: u64,
    pub fetched: u64,
    /// Probability with which the prefix was believed held at the chosen engine, and whether it was.
    pub beliefs: Vec<(f64, bool)>,
}

impl Report {
    /// Returns the time to the first token that a share of the requests did not exceed, in milliseconds.
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let mut sorted = self.first_token_ms.clone();
        sorted.sort_by(f64::total_cmp);
        let index = (sorted.len() as f64 * share) as usize;
        sorted[index.min(sorted.len() - 1)]
    }

    /// Returns the share of prefixes that were expected to be held at the chosen engines, and of those that were.
    pub fn expected_and_held(&self) -> (f64, f64) {
        let count = self.beliefs.len().max(1) as f64;
        let expected: f64 = self.beliefs.iter().map(|(expected, _)| expected).sum();
        let held = self.beliefs.iter().filter(|(_, is_held)| *is_held).count() as f64;
        (expected / count, held / count)
    }

    pub fn in_time(&self) -> f64 {
        let in_time = self.first_token_ms.iter().filter(|ms| **ms <= OBJECTIVE_MS);
        in_time.count() as f64 / self.first_token_ms.len() as f64
    }
}

/// An engine that computes prompts one after another and evicts the least recently used parts.
#[derive(Clone, Debug, Default)]
struct Engine {
    free_at_ms: f64,
    /// Parts and their tokens, the most recently used last.
    memory: Vec<(u64, u32)>,
}

impl Engine {
    fn holds(&self, key: u64) -> bool {
        self.memory.iter().any(|(held, _)| *held == key)
    }

    fn keep(&mut self, key: u64, tokens: u32, kv_tokens: u64) {
        self.memory.retain(|(held, _)| *held != key);
        self.memory.push((key, tokens));
        let mut used: u64 = self
            .memory
            .iter()
            .map(|(_, tokens)| u64::from(*tokens))
            .sum();
        while used > kv_tokens {
            used -= u64::from(self.memory.remove(0).1);
        }
    }
}

pub struct Entry {
    pub upstreams: Vec<Upstream>,
    pub prefixes: Prefixes,
}

impl Entry {
    pub fn new(case: &Case) -> Self {
        let engines = 0..case.engines;
        Self {
            upstreams: engines
                .map(|index| Upstream::new(engine_record(index)))
                .collect(),
            prefixes: Prefixes::default(),
        }
    }
}

/// Returns a prompt that begins with a shared part.
pub fn prompt(case: &Case, part: u64, request: u64) -> Prompt {
    Prompt {
        parts: vec![
            (part, case.part_tokens),
            (1_000_000 + request, case.own_tokens),
        ],
        tokens: case.part_tokens + case.own_tokens,
        max_output_tokens: 10,
    }
}

struct Call {
    entry: usize,
    engine: usize,
    sent_ms: u64,
    ends_ms: f64,
    tokens: u32,
    expectation: Option<gateway::prefix::Expectation>,
    prompt: Prompt,
}

/// A pseudorandom sequence.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 = foldhash::fast::FixedState::default().hash_one(self.0.wrapping_add(1));
        self.0 as f64 / u64::MAX as f64
    }
}

pub fn engine_record(index: usize) -> UpstreamRecord {
    UpstreamRecord {
        id: Name::from(format!("engine-{index}")),
        address: Name::from(format!("engine-{index}")),
        service: "model".into(),
        availability_zone: ZONE.into(),
        slots: 100_000,
        role: Some(Role::Mixed),
        ..UpstreamRecord::default()
    }
}

pub fn choose(
    case: &Case,
    rule: Rule,
    entry: &Entry,
    prompt: &Prompt,
    now_ms: u64,
    hash: u64,
) -> place::Choice {
    let service = Name::from("model");
    let prefix_costs = (rule == Rule::Weighed).then_some(PrefixCosts {
        prefixes: &entry.prefixes,
        service: &service,
        kv_tokens: case.kv_tokens,
        transfer_tokens_per_ms: TRANSFER_TOKENS_PER_MS,
        zone_entries: case.entries as f64,
        queued: 0,
    });
    let context = PlacementContext {
        now_ms,
        zone: ZONE,
        failed_upstreams: &[],
        request_hash: hash,
        gap_ms: 150,
        entries: case.entries as u32,
        queued_ahead: 0,
        prefix_costs,
    };
    let (key, _) = prompt
        .shared_prefix()
        .expect("the prompt has a shared part");
    let only = match rule {
        Rule::Weighed | Rule::ByAge => None,
        Rule::Holder => {
            let holders = entry.upstreams.iter();
            let holders =
                holders.filter_map(|engine| Some((engine.cached_parts.last_used_ms(key)?, engine)));
            holders
                .max_by_key(|(used_ms, _)| *used_ms)
                .map(|(_, engine)| engine)
        }
        Rule::ShortestQueue => entry.upstreams.iter().min_by_key(|engine| {
            let order = foldhash::fast::FixedState::default().hash_one((hash, engine.key));
            (engine.tokens_ahead() / 1_000, order)
        }),
    };
    let all = match only {
        Some(_) => &[][..],
        None => &entry.upstreams[..],
    };
    let candidates = all.iter().chain(only);
    place::choose_engine(&context, prompt, 1, candidates, std::iter::empty()).expect("an engine")
}

/// Plays a load pattern under a rule.
pub fn play(case: &Case, rule: Rule, seed: u64) -> Report {
    let mut random = Random(seed);
    let mut engines = vec![Engine::default(); case.engines];
    let mut entries: Vec<Entry> = (0..case.entries).map(|_| Entry::new(case)).collect();
    let mut calls: Vec<Call> = Vec::new();
    let mut reports: Vec<(u64, usize, usize, u64)> = Vec::new();
    let mut report = Report::default();
    let mut next_ms = 0.0;
    let mut last_holder = 0;
    let mut request = seed;
    for now_ms in (0..case.duration_ms).step_by(STEP_MS as usize) {
        if case
            .crash_ms
            .is_some_and(|crash_ms| crash_ms / STEP_MS == now_ms / STEP_MS)
        {
            // The engine restarts at once, without its memory.
            engines[last_holder] = Engine::default();
            for entry in &mut entries {
                entry.upstreams[last_holder] = Upstream::new(engine_record(last_holder));
            }
            calls.retain(|call| call.engine != last_holder);
        }
        if let Some((at_ms, length_ms)) = case.backlog_ms
            && at_ms / STEP_MS == now_ms / STEP_MS
        {
            engines[last_holder].free_at_ms = (now_ms + length_ms) as f64;
        }
        for call in calls.extract_if(.., |call| call.ends_ms <= now_ms as f64) {
            let entry = &mut entries[call.entry];
            let upstream = &mut entry.upstreams[call.engine];
            upstream.remove_request(AssignedWork {
                upstream: upstream.record.id.clone(),
                tokens: call.tokens,
            });
            upstream.cached_parts.on_computed(now_ms, &call.prompt);
            if let Some(expectation) = &call.expectation {
                let elapsed_ms = (now_ms - call.sent_ms) as f64;
                entry
                    .prefixes
                    .observe(now_ms, &"model".into(), expectation, elapsed_ms);
            }
        }
        for (_, from, engine, key) in reports.extract_if(.., |report| report.0 <= now_ms) {
            for (_, entry) in entries
                .iter_mut()
                .enumerate()
                .filter(|(index, _)| *index != from)
            {
                let upstream = &mut entry.upstreams[engine];
                upstream.on_reported_prefix(key, now_ms);
                entry.prefixes.on_reported(
                    now_ms,
                    &"model".into(),
                    key,
                    &mut upstream.cached_parts,
                );
            }
        }
        if now_ms % LOAD_INTERVAL_MS == 0 {
            for (index, engine) in engines.iter().enumerate() {
                let ahead_ms = (engine.free_at_ms - now_ms as f64).max(0.0);
                let running = calls.iter().filter(|call| call.engine == index).count() as u32;
                for entry in &mut entries {
                    let upstream = &mut entry.upstreams[index];
                    let load = UpstreamLoad {
                        upstream_key: upstream.key,
                        running: running.saturating_sub(upstream.running),
                        prompt_tokens: ((ahead_ms * TOKENS_PER_MS) as u32)
                            .saturating_sub(upstream.prompt_tokens),
                    };
                    upstream.set_others_load(&load);
                }
            }
        }
        while next_ms < now_ms as f64 {
            next_ms += -(1.0 - random.next()).ln() * 1_000.0 / case.requests_per_s;
            request += 1;
            let is_hot = random.next() < case.hot_share;
            let part = match is_hot {
                true => 1,
                false => 1 + (random.next() * case.parts as f64) as u64,
            };
            let index = (random.next() * case.entries as f64) as usize;
            let prompt = prompt(case, part, request);
            let hash = foldhash::fast::FixedState::default().hash_one(request);
            let choice = choose(case, rule, &entries[index], &prompt, now_ms, hash);
            let chosen = entries[index]
                .upstreams
                .iter()
                .position(|engine| engine.record.id == choice.upstream);
            let chosen = chosen.expect("the engine is known");
            let source = choice.fetch_from.as_ref().and_then(|address| {
                let upstreams = &entries[index].upstreams;
                upstreams
                    .iter()
                    .position(|engine| engine.record.address == *address)
            });
            let is_held = engines[chosen].holds(part);
            if let Some(expectation) = choice.expectation.filter(|_| source.is_none()) {
                report.beliefs.push((expectation.held.probability, is_held));
            }
            let is_fetched = !is_held && source.is_some_and(|source| engines[source].holds(part));
            let is_held_somewhere = engines.iter().any(|engine| engine.holds(part));
            let mut tokens = prompt.tokens;
            let mut work_ms = 0.0;
            if is_held || is_fetched {
                tokens = case.own_tokens;
            }
            if is_fetched {
                work_ms = f64::from(case.part_tokens) / TRANSFER_TOKENS_PER_MS;
                report.fetched += u64::from(case.part_tokens);
            } else if !is_held && is_held_somewhere {
                report.computed_again += u64::from(case.part_tokens);
            }
            work_ms += f64::from(tokens) / TOKENS_PER_MS;
            let engine = &mut engines[chosen];
            engine.free_at_ms = engine.free_at_ms.max(now_ms as f64) + work_ms;
            engine.keep(part, case.part_tokens, case.kv_tokens);
            engine.keep(1_000_000 + request, case.own_tokens, case.kv_tokens);
            report
                .first_token_ms
                .push(engine.free_at_ms - now_ms as f64);
            if part == 1 {
                last_holder = chosen;
                report.engine_of_first_part.push(chosen);
            }
            let entry = &mut entries[index];
            let upstream = &mut entry.upstreams[chosen];
            upstream.add_request(choice.tokens);
            if upstream.use_shared_prefix(part, now_ms) {
                reports.push((now_ms + REPORT_DELAY_MS, index, chosen, part));
            }
            let held_tokens = f64::from(prompt.tokens - choice.tokens);
            let parts = &mut upstream.cached_parts;
            entry
                .prefixes
                .on_computed(now_ms, &"model".into(), &prompt, held_tokens, parts);
            calls.push(Call {
                entry: index,
                engine: chosen,
                sent_ms: now_ms,
                ends_ms: engines[chosen].free_at_ms,
                tokens: choice.tokens,
                expectation: choice.expectation,
                prompt,
            });
        }
    }
    report
}
