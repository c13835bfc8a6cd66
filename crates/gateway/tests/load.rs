//! Load patterns at their worst, replayed against the decisions alone.
//!
//! Engines are emulated as far as it matters here: they compute admitted prompts in the order of their arrival.

mod entry_support;

use std::collections::VecDeque;

use conf::{Map, Name, Role};
use entry_support::{Driver, OTHER_ZONE, ZONE, engine, refused, sent};
use fleet::{Backlog, PartUse};
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::exchange::Task;
use gateway::{Directive, RefusalReason};

const TOKENS_PER_MS: u32 = 50;
const STEP_MS: u64 = 5;
/// Time after which a prompt that was sent to an idle engine has been computed.
const COMPUTED_MS: u64 = 1_000;

fn zone() -> Vec<fleet::UpstreamRecord> {
    vec![
        engine("read-1", ZONE, Role::Prefill),
        engine("read-2", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
    ]
}

/// What became of requests of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    in_time: u32,
    refused: u32,
    /// Requests that were refused later than an eighth of their objective after their arrival.
    refused_late: u32,
}

impl Tally {
    fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked.max(1))
    }
}

struct Arrival {
    at_ms: u64,
    rank: u8,
    own_tokens: u32,
    objective_ms: u64,
    patience_ms: u64,
}

struct Work {
    exchange: u64,
    left_tokens: u32,
    /// Whether the engine computes the prompt for another one, which then generates.
    is_prefill: bool,
}

/// Plays arrivals against one entry and two engines that compute prompts.
fn play(arrivals: Vec<Arrival>) -> [Tally; 3] {
    let mut driver = Driver::new(zone());
    let start_ms = driver.now_ms;
    let mut tallies = [Tally::default(); 3];
    let mut open: Map<u64, (u8, u64, u64)> = Map::default();
    let mut engines: Map<Name, VecDeque<Work>> = Map::default();
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
            request.begin_deadline_ms = driver.now_ms + arrival.patience_ms;
            request.deadline_ms = request.begin_deadline_ms + 3_000;
            let (arrived_ms, objective_ms) = (driver.now_ms, request.objective_ms);
            tallies[usize::from(arrival.rank)].asked += 1;
            let (exchange, directive) = driver.arrive(request);
            open.insert(exchange, (arrival.rank, arrived_ms, objective_ms));
            effects.extend(directive.map(|directive| EntryEffect::Direct {
                exchange,
                directive,
            }));
        }
        let mut begun = Vec::new();
        for work in engines.values_mut() {
            let mut budget = TOKENS_PER_MS * STEP_MS as u32;
            while let Some(first) = work.front_mut() {
                let done = first.left_tokens.min(budget);
                first.left_tokens -= done;
                budget -= done;
                if first.left_tokens > 0 {
                    break;
                }
                let (exchange, is_prefill) = (first.exchange, first.is_prefill);
                work.pop_front();
                if is_prefill {
                    let handle = "handle".into();
                    effects.extend(driver.step(EntryEvent::Prefilled { exchange, handle }));
                } else {
                    begun.push(exchange);
                }
            }
        }
        let mut effects: VecDeque<EntryEffect> = effects.into();
        for exchange in begun {
            let (rank, _, objective_ms) = open[&exchange];
            let in_time = driver.now_ms <= objective_ms;
            tallies[usize::from(rank)].in_time += u32::from(in_time);
            effects.extend(finish(&mut driver, exchange));
        }
        while let Some(effect) = effects.pop_front() {
            let EntryEffect::Direct {
                exchange,
                directive,
            } = effect
            else {
                continue;
            };
            let (rank, arrived_ms, objective_ms) = open[&exchange];
            let tally = &mut tallies[usize::from(rank)];
            match directive {
                Directive::Send(attempt) if matches!(attempt.task, Task::Generate { .. }) => {
                    tally.in_time += u32::from(driver.now_ms <= objective_ms);
                    effects.extend(finish(&mut driver, exchange));
                }
                Directive::Send(attempt) => {
                    let is_prefill = attempt.task == Task::Prefill;
                    // An engine that generates computes prompts at half the speed.
                    let factor = if is_prefill { 1 } else { 2 };
                    engines
                        .entry(attempt.upstream)
                        .or_default()
                        .push_back(Work {
                            exchange,
                            left_tokens: tokens_of(exchange, &driver) * factor,
                            is_prefill,
                        });
                }
                Directive::Refuse(_) => {
                    tally.refused += 1;
                    let held_ms = driver.now_ms - arrived_ms;
                    let is_late = held_ms > (objective_ms - arrived_ms) / 8;
                    tally.refused_late += u32::from(is_late);
                }
                Directive::PassOn => {}
            }
        }
    }
    tallies
}

/// Passes the answer on to its end.
fn finish(driver: &mut Driver, exchange: u64) -> Vec<EntryEffect> {
    let mut effects = driver.step(EntryEvent::Started { exchange });
    let is_whole = true;
    effects.extend(driver.step(EntryEvent::Closed { exchange, is_whole }));
    effects
}

fn tokens_of(exchange: u64, driver: &Driver) -> u32 {
    driver.entry.prompt_tokens(exchange).unwrap_or(0)
}

/// Half a second of long prompts each second beside short urgent ones: 130 tokens a millisecond against 100.
fn flood_of_the_least_urgent() -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for tick in 0..400_u64 {
        let at_ms = tick * 50;
        arrivals.push(Arrival {
            at_ms,
            rank: 0,
            own_tokens: 1_200,
            objective_ms: 400,
            patience_ms: 2_000,
        });
        if tick % 3 == 0 {
            arrivals.push(Arrival {
                at_ms,
                rank: 2,
                own_tokens: 16_000,
                objective_ms: 1_200,
                patience_ms: 4_800,
            });
        }
    }
    arrivals
}

/// Guards against urgent prompts that wait behind the long ones that an engine already holds. A kind may not earn a
/// smaller share of its credit than a less urgent one.
#[test]
fn urgent_prompts_are_in_time_beside_a_flood_of_long_ones() {
    let tallies = play(flood_of_the_least_urgent());
    let (urgent, flood) = (tallies[0], tallies[2]);
    assert!(urgent.share_in_time() >= 0.9, "{tallies:?}");
    assert!(
        urgent.share_in_time() >= flood.share_in_time(),
        "{tallies:?}"
    );
    assert_eq!(urgent.refused, 0, "{tallies:?}");
}

/// Guards against a burst of long prompts that occupies all engines of a large zone, so that urgent prompts which come a
/// moment later wait until one of them has been computed.
#[test]
fn a_large_zone_keeps_engines_for_the_most_urgent_rank() {
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
        if let Some(Directive::Send(attempt)) = directive {
            busy.push(attempt.upstream);
        }
    }
    assert_eq!(busy.len(), 9, "{busy:?}");
    // Short prompts of the rank between use them as well; long ones do not.
    let (_, directive) = driver.arrive(driver.prompt(1, (100, 13_000), 4_000));
    assert_eq!(directive, None);
    let (_, directive) = driver.arrive(driver.prompt(1, (101, 1_000), 1_000));
    busy.push(sent(directive).upstream);
    for _ in 0..2 {
        let (_, directive) = driver.arrive(driver.prompt(0, (102, 350), 1_100));
        let attempt = sent(directive);
        assert!(!busy.contains(&attempt.upstream), "{busy:?}");
        busy.push(attempt.upstream);
    }
}

/// Guards against requests that are held until their callers give up although it was known at their arrival that they
/// could not begin in time.
#[test]
fn what_cannot_begin_in_time_is_refused_at_once() {
    let mut driver = Driver::new(zone());
    let busy = |id: &'static str| Backlog {
        upstream: id.into(),
        running: 10,
        prompt_tokens: vec![0, 0, 400_000],
    };
    driver.others(
        vec![busy("read-1"), busy("read-2"), busy("write-1")],
        Vec::new(),
    );
    let request = driver.prompt(0, (1, 0), 1_200);
    let refusal = refused(driver.arrive(request).1);
    assert_eq!(refusal.reason, RefusalReason::TooLate);
    assert!(refusal.reason.is_not_run());
    assert!(refusal.retry_after_ms <= 5_000 / 3);
}

/// Guards against a zone that computes again what an engine of another zone holds.
#[test]
fn shared_parts_are_fetched_from_an_engine_that_holds_them() {
    let mut upstreams = zone();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let part = PartUse {
        key: 1,
        upstream: "read-far".into(),
    };
    driver.others(Vec::new(), vec![part]);
    driver.now_ms += COMPUTED_MS;
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let attempt = sent(driver.arrive(request).1);
    assert!(attempt.upstream.starts_with("read-"));
    assert_ne!(attempt.upstream, "read-far");
    assert_eq!(attempt.fetch_from.as_deref(), Some("read-far:80"));
}

/// Guards against transfers from an engine that has not yet computed the part: it would be computed twice.
#[test]
fn a_part_that_is_still_being_computed_is_not_fetched() {
    let mut upstreams = zone();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let part = PartUse {
        key: 1,
        upstream: "read-far".into(),
    };
    driver.others(Vec::new(), vec![part]);
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let attempt = sent(driver.arrive(request).1);
    assert_eq!(attempt.fetch_from, None);
}

/// Guards against transfers from engines that generate. They get the KV cache of the prompts of several other engines,
/// so that a part is gone after a few seconds and the prompt is computed as if nothing were shared.
#[test]
fn parts_are_not_fetched_from_an_engine_that_generates() {
    let mut upstreams = zone();
    upstreams.push(engine("read-far", OTHER_ZONE, Role::Prefill));
    let mut driver = Driver::new(upstreams);
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let (exchange, directive) = driver.arrive(request);
    let reader = sent(directive).upstream;
    let handle = "handle".into();
    let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
    let writer = sent(entry_support::directive(&effects, exchange)).upstream;
    assert!(writer.starts_with("write-"));
    let parts = driver.reported_parts();
    assert!(
        parts.iter().all(|part| part.upstream == reader),
        "{parts:?}"
    );
    finish(&mut driver, exchange);
    driver.now_ms += COMPUTED_MS;
    // The engine that holds the part is so busy that another one is chosen.
    let busy = Backlog {
        upstream: reader.clone(),
        running: 10,
        prompt_tokens: vec![0, 0, 400_000],
    };
    driver.others(vec![busy], Vec::new());
    let request = driver.prompt(1, (1, 13_000), 3_700);
    let attempt = sent(driver.arrive(request).1);
    assert_ne!(attempt.upstream, reader);
    let reader_address = format!("{reader}:80");
    assert_eq!(attempt.fetch_from.as_deref(), Some(reader_address.as_str()));
}

/// Guards against transfers of parts that the chosen engine holds itself, and against parts that no entry reports.
#[test]
fn an_engine_that_holds_the_shared_parts_is_preferred() {
    let mut driver = Driver::new(zone());
    let request = driver.prompt(1, (1, 13_000), 500);
    let (exchange, directive) = driver.arrive(request);
    let first = sent(directive);
    let parts = driver.reported_parts();
    assert!(
        parts
            .iter()
            .any(|part| part.key == 1 && part.upstream == first.upstream)
    );
    let handle = "handle".into();
    driver.step(EntryEvent::Prefilled { exchange, handle });
    let request = driver.prompt(1, (1, 13_000), 500);
    let second = sent(driver.arrive(request).1);
    assert_eq!(second.upstream, first.upstream);
    assert_eq!(second.fetch_from, None);
}

/// Guards against entries that know of the same load and all choose the same engine.
#[test]
fn requests_are_spread_over_engines_that_seem_equally_loaded() {
    let ids = ["w1", "w2", "w3", "w4", "w5", "w6"];
    let mut chosen: Map<Name, u32> = Map::default();
    for _ in 0..60 {
        let mut upstreams: Vec<_> = ids.map(|id| engine(id, ZONE, Role::Decode)).into();
        upstreams.push(engine("read", ZONE, Role::Prefill));
        // Each entry is a new one that knows of no load yet.
        let mut driver = Driver::new(upstreams);
        let mut request = driver.prompt(0, (1, 0), 500);
        request.id = Name::from(format!("request-{}", chosen.values().sum::<u32>()));
        let (exchange, _) = driver.arrive(request);
        let handle = "handle".into();
        let effects = driver.step(EntryEvent::Prefilled { exchange, handle });
        let attempt = sent(entry_support::directive(&effects, exchange));
        *chosen.entry(attempt.upstream).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(most <= 60 / 2, "{chosen:?}");
}
