//! Worst-case load patterns, simulated against the reducer of an entry.
//!
//! The simulated engines compute admitted prompts in the order of their arrival.

mod entry_support;

use std::collections::VecDeque;

use conf::{Map, Name, Role};
use entry_support::{Driver, OTHER_ZONE, ZONE, engine, expect_call, expect_refusal, others_load};
use fleet::PrefixUse;
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::exchange::Task;
use gateway::listing::upstream_key;
use gateway::{Directive, RefusalReason};

const TOKENS_PER_MS: u32 = 50;
const STEP_MS: u64 = 5;
/// Time after which an idle engine has computed a prompt, in milliseconds.
const COMPUTED_MS: u64 = 1_000;

fn zone_engines() -> Vec<fleet::UpstreamRecord> {
    vec![
        engine("read-1", ZONE, Role::Prefill),
        engine("read-2", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
    ]
}

/// Outcomes of the requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct RankOutcomes {
    arrived: u32,
    in_time: u32,
    refused: u32,
    /// Requests that were refused later than an eighth of their objective after their arrival.
    refused_late: u32,
}

impl RankOutcomes {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

struct Arrival {
    at_ms: u64,
    rank: u8,
    own_tokens: u32,
    objective_ms: u64,
    begin_timeout_ms: u64,
}

struct PromptWork {
    exchange: u64,
    remaining_tokens: u32,
    /// Whether the engine only computes the prompt, from which another engine generates.
    is_prefill: bool,
}

/// Simulates arrivals at one entry with two prefill engines and one decode engine.
fn simulate(arrivals: Vec<Arrival>) -> [RankOutcomes; 3] {
    simulate_with(zone_engines(), arrivals)
}

/// Simulates arrivals at one entry.
fn simulate_with(
    upstreams: Vec<fleet::UpstreamRecord>,
    arrivals: Vec<Arrival>,
) -> [RankOutcomes; 3] {
    let mut driver = Driver::new(upstreams);
    let start_ms = driver.now_ms;
    let mut outcomes = [RankOutcomes::default(); 3];
    let mut open_exchanges: Map<u64, (u8, u64, u64)> = Map::default();
    let mut engines: Map<Name, VecDeque<PromptWork>> = Map::default();
    let mut arrivals: VecDeque<Arrival> = arrivals.into();
    let end_ms = arrivals.back().map_or(0, |last| last.at_ms) + 5_000;
    while driver.now_ms - start_ms < end_ms {
        driver.now_ms += STEP_MS;
        let mut effects = driver.step(EntryEvent::Tick);
        while arrivals
            .front()
            .is_some_and(|next| next.at_ms <= driver.now_ms - start_ms)
        {
            let arrival = arrivals.pop_front().expect("the queue is not empty");
            let mut request = driver.prompt(arrival.rank, (1, 0), arrival.own_tokens);
            request.objective_ms = driver.now_ms + arrival.objective_ms;
            request.begin_deadline_ms = driver.now_ms + arrival.begin_timeout_ms;
            request.deadline_ms = request.begin_deadline_ms + 3_000;
            let (arrived_ms, objective_ms) = (driver.now_ms, request.objective_ms);
            outcomes[usize::from(arrival.rank)].arrived += 1;
            let (exchange, directive) = driver.arrive(request);
            open_exchanges.insert(exchange, (arrival.rank, arrived_ms, objective_ms));
            effects.extend(directive.map(|directive| EntryEffect::Directive {
                exchange,
                directive,
            }));
        }
        let mut started = Vec::new();
        for work in engines.values_mut() {
            let mut step_tokens = TOKENS_PER_MS * STEP_MS as u32;
            while let Some(first) = work.front_mut() {
                let done = first.remaining_tokens.min(step_tokens);
                first.remaining_tokens -= done;
                step_tokens -= done;
                if first.remaining_tokens > 0 {
                    break;
                }
                let (exchange, is_prefill) = (first.exchange, first.is_prefill);
                work.pop_front();
                if is_prefill {
                    let handle = "handle".into();
                    effects.extend(driver.step(EntryEvent::Prefilled { exchange, handle }));
                } else {
                    started.push(exchange);
                }
            }
        }
        let mut effects: VecDeque<EntryEffect> = effects.into();
        for exchange in started {
            let (rank, _, objective_ms) = open_exchanges[&exchange];
            let in_time = driver.now_ms <= objective_ms;
            outcomes[usize::from(rank)].in_time += u32::from(in_time);
            effects.extend(finish(&mut driver, exchange));
        }
        while let Some(effect) = effects.pop_front() {
            let EntryEffect::Directive {
                exchange,
                directive,
            } = effect
            else {
                continue;
            };
            let (rank, arrived_ms, objective_ms) = open_exchanges[&exchange];
            let rank_outcomes = &mut outcomes[usize::from(rank)];
            match directive {
                Directive::Call(call) if matches!(call.task, Task::Generate { .. }) => {
                    rank_outcomes.in_time += u32::from(driver.now_ms <= objective_ms);
                    effects.extend(finish(&mut driver, exchange));
                }
                Directive::Call(call) => {
                    let is_prefill = call.task == Task::Prefill;
                    // A decode engine computes prompts at half the speed.
                    let factor = if is_prefill { 1 } else { 2 };
                    engines
                        .entry(call.upstream)
                        .or_default()
                        .push_back(PromptWork {
                            exchange,
                            remaining_tokens: prompt_tokens(exchange, &driver) * factor,
                            is_prefill,
                        });
                }
                Directive::Refuse(_) => {
                    rank_outcomes.refused += 1;
                    let waited_ms = driver.now_ms - arrived_ms;
                    let is_late = waited_ms > (objective_ms - arrived_ms) / 8;
                    rank_outcomes.refused_late += u32::from(is_late);
                }
                Directive::ForwardFailure => {}
            }
        }
    }
    outcomes
}

/// Forwards the answer in full.
fn finish(driver: &mut Driver, exchange: u64) -> Vec<EntryEffect> {
    let mut effects = driver.step(EntryEvent::Started { exchange });
    let is_complete = true;
    effects.extend(driver.step(EntryEvent::Closed {
        exchange,
        is_complete,
    }));
    effects
}

fn prompt_tokens(exchange: u64, driver: &Driver) -> u32 {
    driver.entry.prompt_tokens(exchange).unwrap_or(0)
}

/// Returns long prompts of the least urgent rank beside short urgent ones: 130 tokens per millisecond, while the
/// prefill engines compute 100.
fn long_prompts_of_the_least_urgent_rank() -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for tick in 0..400_u64 {
        let at_ms = tick * 50;
        arrivals.push(Arrival {
            at_ms,
            rank: 0,
            own_tokens: 1_200,
            objective_ms: 400,
            begin_timeout_ms: 2_000,
        });
        if tick % 3 == 0 {
            arrivals.push(Arrival {
                at_ms,
                rank: 2,
                own_tokens: 16_000,
                objective_ms: 1_200,
                begin_timeout_ms: 4_800,
            });
        }
    }
    arrivals
}

/// Guards against urgent prompts that wait for long ones in the backlog of an engine. The share of requests in time
/// must not be smaller for a rank than for a less urgent one.
#[test]
fn urgent_prompts_are_in_time_beside_many_long_ones() {
    let outcomes = simulate(long_prompts_of_the_least_urgent_rank());
    let (urgent, least_urgent) = (outcomes[0], outcomes[2]);
    assert!(urgent.share_in_time() >= 0.9, "{outcomes:?}");
    assert!(
        urgent.share_in_time() >= least_urgent.share_in_time(),
        "{outcomes:?}"
    );
    assert_eq!(urgent.refused, 0, "{outcomes:?}");
}

/// Returns many short prompts with a tight objective beside long ones with a loose one: 62 tokens per millisecond, while
/// the only prefill engine computes 50 and the engine that generates 25.
fn short_prompts_beside_long_ones() -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for tick in 0..1_000_u64 {
        let at_ms = tick * 20;
        arrivals.push(Arrival {
            at_ms,
            rank: 2,
            own_tokens: 380,
            objective_ms: 250,
            begin_timeout_ms: 2_000,
        });
        if tick % 20 == 0 {
            arrivals.push(Arrival {
                at_ms,
                rank: 2,
                own_tokens: 17_000,
                objective_ms: 1_000,
                begin_timeout_ms: 4_000,
            });
        }
    }
    arrivals
}

/// Guards against short prompts that wait behind long ones at the only prefill engine of a small zone, although the
/// engine that generates computes them without a noticeable pause of its streams.
#[test]
fn short_prompts_are_in_time_beside_long_ones_in_a_zone_of_two() {
    let upstreams = vec![
        engine("read", ZONE, Role::Prefill),
        engine("write", ZONE, Role::Decode),
    ];
    let outcomes = simulate_with(upstreams, short_prompts_beside_long_ones());
    assert!(outcomes[2].share_in_time() >= 0.9, "{outcomes:?}");
}

/// Guards against a burst of long prompts that occupies all engines of a large zone, so that urgent prompts which
/// arrive shortly afterwards wait until a long prompt has been computed.
#[test]
fn a_large_zone_reserves_engines_for_the_most_urgent_rank() {
    let mut upstreams: Vec<_> = (1..=12)
        .map(|index| fleet::UpstreamRecord {
            id: Name::from(format!("read-{index}")),
            ..engine("read", ZONE, Role::Prefill)
        })
        .collect();
    upstreams.push(engine("write", ZONE, Role::Decode));
    let mut driver = Driver::new(upstreams);
    let mut busy: Vec<Name> = Vec::new();
    for key in 0..24 {
        let (_, directive) = driver.arrive(driver.prompt(2, (key, 13_000), 4_000));
        if let Some(Directive::Call(call)) = directive {
            busy.push(call.upstream);
        }
    }
    assert_eq!(busy.len(), 9, "{busy:?}");
    // Short prompts of the second rank use the reserved engines as well; long ones do not.
    let (_, directive) = driver.arrive(driver.prompt(1, (100, 13_000), 4_000));
    assert_eq!(directive, None);
    let (_, directive) = driver.arrive(driver.prompt(1, (101, 1_000), 1_000));
    busy.push(expect_call(directive).upstream);
    for _ in 0..2 {
        let (_, directive) = driver.arrive(driver.prompt(0, (102, 350), 1_100));
        let call = expect_call(directive);
        assert!(!busy.contains(&call.upstream), "{busy:?}");
        busy.push(call.upstream);
    }
}

/// Guards against requests that wait until their callers disconnect although the backlog at their arrival already
/// showed that their answers could not begin in time.
#[test]
fn a_request_that_cannot_begin_in_time_is_refused_at_once() {
    let mut driver = Driver::new(zone_engines());
    let busy = |id| others_load(id, 400_000);
    driver.receive_others_load(
        vec![busy("read-1"), busy("read-2"), busy("write-1")],
        Vec::new(),
    );
    let request = driver.prompt(0, (1, 0), 1_200);
    let refusal = expect_refusal(driver.arrive(request).1);
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.reason.is_not_run());
    assert!(refusal.retry_after_ms <= 5_000 / 3);
    // The engines need eight seconds for what they have, so that a caller that returns sooner is refused again.
    assert!(refusal.retry_after_ms >= 1_600, "{refusal:?}");
}

/// Guards against a zone that computes a prefix again which an engine of another zone has cached.
#[test]
fn a_shared_prefix_is_fetched_from_an_engine_that_has_it_cached() {
    let mut upstreams = zone_engines();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let prefix_use = PrefixUse {
        key: 1,
        upstream_key: upstream_key(&"read-far".into()),
    };
    driver.receive_others_load(Vec::new(), vec![prefix_use]);
    driver.now_ms += COMPUTED_MS;
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let call = expect_call(driver.arrive(request).1);
    assert!(call.upstream.starts_with("read-"));
    assert_ne!(call.upstream, "read-far");
    assert_eq!(call.fetch_from.as_deref(), Some("read-far:80"));
}

/// Guards against transfers from an engine that has not yet computed the prefix, which would then be computed twice.
#[test]
fn a_prefix_that_is_still_being_computed_is_not_fetched() {
    let mut upstreams = zone_engines();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let prefix_use = PrefixUse {
        key: 1,
        upstream_key: upstream_key(&"read-far".into()),
    };
    driver.receive_others_load(Vec::new(), vec![prefix_use]);
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let call = expect_call(driver.arrive(request).1);
    assert_eq!(call.fetch_from, None);
}

/// Guards against transfers from decode engines. They receive the KV cache of prompts from several prefill engines, so
/// that a prefix is evicted after a few seconds and the whole prompt is computed again.
#[test]
fn a_prefix_is_not_fetched_from_a_decode_engine() {
    let mut upstreams = zone_engines();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let (exchange, directive) = driver.arrive(request);
    let prefill_engine = expect_call(directive).upstream;
    let handle = "handle".into();
    let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
    let decode_engine = expect_call(entry_support::directive(&effects, exchange)).upstream;
    assert!(decode_engine.starts_with("write-"));
    let prefix_uses = driver.reported_prefix_uses();
    assert!(
        prefix_uses
            .iter()
            .all(|prefix_use| prefix_use.upstream_key == upstream_key(&prefill_engine)),
        "{prefix_uses:?}"
    );
    finish(&mut driver, exchange);
    driver.now_ms += COMPUTED_MS;
    // The backlog of the engine that has the prefix cached is so long that another engine is chosen.
    let busy = fleet::UpstreamLoad {
        upstream_key: upstream_key(&prefill_engine),
        ..others_load("", 400_000)
    };
    driver.receive_others_load(vec![busy], Vec::new());
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let call = expect_call(driver.arrive(request).1);
    assert_ne!(call.upstream, prefill_engine);
    let prefill_address = format!("{prefill_engine}:80");
    assert_eq!(call.fetch_from.as_deref(), Some(prefill_address.as_str()));
}

/// Guards against transfers of a prefix that the chosen engine has cached itself, and against a prefix that the entry
/// does not report.
#[test]
fn an_engine_that_has_the_shared_prefix_cached_is_preferred() {
    let mut driver = Driver::new(zone_engines());
    let request = driver.prompt(1, (1, 13_000), 500);
    let (exchange, directive) = driver.arrive(request);
    let first = expect_call(directive);
    let prefix_uses = driver.reported_prefix_uses();
    assert!(prefix_uses.iter().any(|prefix_use| prefix_use.key == 1
        && prefix_use.upstream_key == upstream_key(&first.upstream)));
    let handle = "handle".into();
    driver.step(EntryEvent::Prefilled { exchange, handle });
    let request = driver.prompt(1, (1, 13_000), 500);
    let second = expect_call(driver.arrive(request).1);
    assert_eq!(second.upstream, first.upstream);
    assert_eq!(second.fetch_from, None);
}

/// Guards against entries that know of the same load and all choose the same engine.
#[test]
fn requests_are_spread_over_engines_of_equal_load() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut chosen: Map<Name, u32> = Map::default();
    for _ in 0..60 {
        let mut upstreams: Vec<_> = ids.map(|id| engine(id, ZONE, Role::Decode)).into();
        upstreams.push(engine("read", ZONE, Role::Prefill));
        // Each request arrives at a new entry, which has no load information yet.
        let mut driver = Driver::new(upstreams);
        let mut request = driver.prompt(0, (1, 0), 500);
        request.id = Name::from(format!("request-{}", chosen.values().sum::<u32>()));
        let (exchange, _) = driver.arrive(request);
        let handle = "handle".into();
        let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
        let call = expect_call(entry_support::directive(&effects, exchange));
        *chosen.entry(call.upstream).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 60 / 2, "{chosen:?}");
}
