//! The choice of an engine for prompts whose beginning some engine may hold.

mod entry_support;
mod prefix_support;

use std::collections::BTreeSet;

use conf::{Name, Role};
use entry_support::{Driver, ZONE, engine, expect_call};
use gateway::prefix::{
    CachedParts, Expectation, HeldPrefix, Memory, Observation, Prefixes, ServiceSize,
};
use prefix_support::{BASE, Case, Entry, Rule, cases, choose, play, prompt};

const SEEDS: [u64; 3] = [1, 2, 3];

fn case(name: &str) -> Case {
    let case = cases().into_iter().find(|case| case.name == name);
    case.expect("the case exists")
}

fn service() -> Name {
    "model".into()
}

/// Load: a part whose requests need five engines. It has to spread over them instead of waiting for one.
#[test]
fn a_hot_part_spreads_over_the_engines_that_its_rate_needs() {
    let case = case("hot part above one engine's rate");
    for seed in SEEDS {
        let weighed = play(&case, Rule::Weighed, seed);
        let by_age = play(&case, Rule::ByAge, seed);
        let used: BTreeSet<usize> = weighed.engine_of_first_part.iter().copied().collect();
        assert!(used.len() >= 6, "seed {seed}: {used:?}");
        assert!(weighed.in_time() >= by_age.in_time(), "seed {seed}");
        assert!(
            weighed.computed_again < by_age.computed_again,
            "seed {seed}"
        );
    }
}

/// Load: a part that one engine serves with ease. Copies at more engines would evict other parts.
#[test]
fn a_part_below_one_engines_rate_stays_at_few_engines() {
    let case = Case {
        hot_share: 0.2,
        ..BASE
    };
    for seed in SEEDS {
        let report = play(&case, Rule::Weighed, seed);
        let used = &report.engine_of_first_part;
        let most = (0..case.engines)
            .map(|engine| used.iter().filter(|used| **used == engine).count())
            .max();
        let most = most.unwrap_or(0) as f64 / used.len() as f64;
        assert!(most >= 0.5, "seed {seed}: {most}");
    }
}

/// Load: far more parts than the engines have memory for. The placement must not cost more than without any regard to
/// what is held.
#[test]
fn many_cold_parts_cost_less_than_with_the_shortest_queue() {
    let case = case("many cold parts");
    for seed in SEEDS {
        let weighed = play(&case, Rule::Weighed, seed);
        let shortest = play(&case, Rule::ShortestQueue, seed);
        assert!(weighed.in_time() >= shortest.in_time(), "seed {seed}");
        assert!(
            weighed.computed_again * 4 < shortest.computed_again,
            "seed {seed}"
        );
    }
}

/// Failure: the engine that holds a part gets a backlog. Its part has to move before callers wait.
#[test]
fn a_part_moves_away_from_an_engine_with_a_long_queue() {
    let case = case("holder behind a long queue");
    for seed in SEEDS {
        let weighed = play(&case, Rule::Weighed, seed);
        assert!(
            weighed.in_time() >= 0.99,
            "seed {seed}: {}",
            weighed.in_time()
        );
        assert!(weighed.quantile_ms(0.99) < 600.0, "seed {seed}");
    }
}

/// Failure: an engine whose memory is too small for its parts evicts them. What the entries believe must agree with
/// what is held.
#[test]
fn a_part_is_not_believed_held_by_an_engine_with_full_memory() {
    let case = case("holder with full memory");
    for seed in SEEDS {
        let report = play(&case, Rule::Weighed, seed);
        let (expected, held) = report.expected_and_held();
        assert!(
            (expected - held).abs() < 0.15,
            "seed {seed}: {expected} {held}"
        );
        let by_age = play(&case, Rule::ByAge, seed);
        assert!(report.computed_again < by_age.computed_again, "seed {seed}");
    }
}

/// Failure: the holder crashes. Entries that have heard nothing of each other since must choose the same next engine.
#[test]
fn all_entries_choose_the_same_engine_after_the_holder_has_crashed() {
    let case = Case {
        engines: 30,
        entries: 70,
        ..BASE
    };
    for part in 1..=20 {
        let mut chosen: BTreeSet<Name> = BTreeSet::new();
        let mut next: BTreeSet<Name> = BTreeSet::new();
        for index in 0..case.entries as u64 {
            let mut entry = Entry::new(&case);
            let prompt = prompt(&case, part, index);
            let first = choose(&case, Rule::Weighed, &entry, &prompt, 1_000, index).upstream;
            entry.upstreams.retain(|engine| engine.record.id != first);
            next.insert(choose(&case, Rule::Weighed, &entry, &prompt, 1_000, index).upstream);
            chosen.insert(first);
        }
        assert_eq!(chosen.len(), 1, "{chosen:?}");
        assert_eq!(next.len(), 1, "{next:?}");
    }
}

/// Load: 70 entries that each see a small part of the traffic and learn of the rest late.
#[test]
fn half_known_state_at_seventy_entries_serves_more_in_time() {
    let case = case("70 entries");
    for seed in SEEDS {
        let weighed = play(&case, Rule::Weighed, seed);
        let by_age = play(&case, Rule::ByAge, seed);
        assert!(weighed.in_time() >= by_age.in_time(), "seed {seed}");
        assert!(
            weighed.computed_again * 3 < by_age.computed_again * 2,
            "seed {seed}"
        );
    }
}

/// Guards against a long prompt that delays others: an engine without queue gets it instead of a holder with one.
#[test]
fn a_held_prefix_is_weighed_against_the_queue() {
    let case = Case { engines: 2, ..BASE };
    let mut entry = Entry::new(&case);
    let first = prompt(&case, 1, 1);
    let holder = choose(&case, Rule::Weighed, &entry, &first, 1_000, 1).upstream;
    let index = entry
        .upstreams
        .iter()
        .position(|engine| engine.record.id == holder);
    let index = index.expect("a known engine");
    let parts = &mut entry.upstreams[index].cached_parts;
    entry
        .prefixes
        .on_computed(1_000, &service(), &first, 0.0, parts);
    let second = prompt(&case, 1, 2);
    // The part saves 260 ms.
    for (queue_ms, is_held_used) in [(100, true), (1_000, false)] {
        entry.upstreams[index].prompt_tokens = queue_ms * 50;
        let choice = choose(&case, Rule::Weighed, &entry, &second, 1_200, 2);
        assert_eq!(choice.upstream == holder, is_held_used, "{queue_ms}");
    }
}

/// Guards against a part that counts although a part before it is missing, and against prompts that share only their
/// first parts getting nothing.
#[test]
fn prompts_that_share_their_first_part_share_what_is_held_of_it() {
    let mut prefixes = Prefixes::default();
    let mut parts = CachedParts::default();
    let chain = |second: u64| gateway::Prompt {
        parts: vec![(1, 2_000), (second, 3_000), (second + 100, 500)],
        tokens: 5_500,
        max_output_tokens: 10,
    };
    prefixes.on_computed(1_000, &service(), &chain(2), 0.0, &mut parts);
    let memory = Memory {
        free_tokens: 100_000.0,
        flow_tokens_per_ms: 0.0,
    };
    let held = |second| prefixes.held(1_100, &chain(second), &parts, &memory).tokens;
    assert!((held(2) - 5_000.0).abs() < 10.0, "{}", held(2));
    assert!((held(3) - 2_000.0).abs() < 10.0, "{}", held(3));
}

/// Guards against a belief that answers do not correct.
#[test]
fn slow_prefills_lower_the_belief_and_fast_ones_raise_it() {
    let mut prefixes = Prefixes::default();
    let size = ServiceSize {
        kv_tokens: 100_000,
        zone_entries: 1.0,
        zone_engines: 1.0,
        zone_decoders: 0.0,
    };
    let room = |prefixes: &Prefixes| {
        let model = prefixes.memory_model(1_000, &service(), &size);
        model.memory(false, 0).free_tokens
    };
    let expectation = |depth, probability| Expectation {
        held: HeldPrefix {
            tokens: 10_000.0,
            probability,
            depth,
        },
        held_ms: 50.0,
        saved_ms: 200.0,
        fetch_ms: 0.0,
    };
    let before = room(&prefixes);
    let observed = prefixes.observe(1_000, &service(), &expectation(0.7, 0.6), 260.0);
    assert_eq!(observed, Observation::Computed);
    let lowered = room(&prefixes);
    assert!(lowered < before);
    let observed = prefixes.observe(1_000, &service(), &expectation(1.3, 0.2), 55.0);
    assert_eq!(observed, Observation::Held);
    assert!(room(&prefixes) > lowered);
}

/// Failure: links between engines slow down. Transfers over them must give way to computing.
#[test]
fn slow_transfers_are_expected_to_stay_slow_for_a_while() {
    let mut prefixes = Prefixes::default();
    let slow = Expectation {
        held: HeldPrefix::default(),
        held_ms: 30.0,
        saved_ms: 200.0,
        fetch_ms: 10.0,
    };
    for _ in 0..10 {
        prefixes.observe(1_000, &service(), &slow, 430.0);
    }
    let factor = |now_ms| {
        let model = prefixes.memory_model(now_ms, &service(), &ServiceSize::default());
        model.transfer_factor
    };
    assert!(factor(1_000) > 20.0);
    assert!(factor(20_000) < 1.5);
}

/// Guards against a change of deployments whose document states no memory, or whose settings do not ask for it.
#[test]
fn prefixes_are_weighed_only_where_settings_and_document_ask_for_it() {
    let upstreams = vec![
        engine("read-1", ZONE, Role::Prefill),
        engine("write-1", ZONE, Role::Decode),
    ];
    let mut driver = Driver::new(upstreams);
    let request = driver.prompt(1, (1, 13_000), 500);
    let (exchange, directive) = driver.arrive(request);
    expect_call(directive);
    driver.now_ms += 300;
    let handle = "handle".into();
    let effects = driver.step(gateway::entry::EntryEvent::Prefilled { exchange, handle });
    let observed = effects
        .iter()
        .any(|effect| matches!(effect, gateway::entry::EntryEffect::PrefixObserved { .. }));
    assert!(!observed);
}
