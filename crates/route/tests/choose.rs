//! The choice of an upstream.

mod common;

use common::{config, estimate, exchange, name, report, request, table};
use conf::{Name, Role};
use route::{
    CHUNK_TOKENS, CacheEvent, ExchangeEnd, ExchangeFailure, LoadReport, Policy, Presence,
    RoutingRequest, UpstreamTable,
};

const POLICIES: [Policy; 4] = [
    Policy::CostBased,
    Policy::RoundRobin,
    Policy::LeastOutstanding,
    Policy::PrefixHash,
];

fn chosen(
    table: &mut UpstreamTable,
    now_ms: u64,
    request: &RoutingRequest,
    policy: Policy,
) -> Option<Name> {
    table
        .choose(now_ms, request, policy)
        .map(|choice| choice.upstream)
}

/// Guards against requests to an upstream that drains, leaves, has stopped or is excluded, under every policy.
#[test]
fn draining_and_leaving_upstreams_get_no_requests() {
    fn property(seed: u64, marks: Vec<u8>, chunk_hashes: Vec<u64>) -> bool {
        let mut table = table(seed, &config(9, 0, 3));
        let mut ineligible: Vec<Name> = Vec::new();
        let mut request = RoutingRequest {
            prompt_tokens: 100_000,
            chunk_hashes,
            ..request()
        };
        for (index, mark) in marks.iter().take(9).enumerate() {
            let upstream = name(format!("e{index}"));
            match mark % 6 {
                0 => table.set_draining(&upstream, true),
                1 => table.set_platform_presence(&upstream, Presence::Leaving),
                2 => table.set_platform_presence(&upstream, Presence::Gone),
                3 => table.set_observed_presence(&upstream, Presence::Leaving),
                4 => request.exclude.push(upstream.clone()),
                _ => continue,
            }
            ineligible.push(upstream);
        }
        // The cached chunks of ineligible upstreams must not attract requests.
        for upstream in &ineligible {
            let events: Vec<CacheEvent> = request
                .chunk_hashes
                .iter()
                .copied()
                .map(CacheEvent::Stored)
                .collect();
            table.on_cache_events(upstream, 1, &events);
        }
        POLICIES.into_iter().all(|policy| {
            (0..20).all(
                |now_ms| match chosen(&mut table, now_ms, &request, policy) {
                    Some(upstream) => !ineligible.contains(&upstream),
                    None => ineligible.len() == 9,
                },
            )
        })
    }
    common::check(property as fn(_, _, _) -> bool);
}

/// Guards against a drain mark that is cleared by a configuration change or by a stale "live" state in the platform's
/// list.
#[test]
fn drain_marks_survive_configuration_changes_and_stale_lists() {
    let config = config(1, 0, 1);
    let e0 = name("e0");
    let mut table = UpstreamTable::new(1);
    table.set_draining(&e0, true);
    table.apply_config(&config);
    table.apply_config(&config);
    assert!(!table.accepts(0, &e0));
    table.set_draining(&e0, false);
    assert!(table.accepts(0, &e0));
    table.set_observed_presence(&e0, Presence::Leaving);
    table.set_platform_presence(&e0, Presence::Live);
    assert!(!table.accepts(0, &e0));
}

/// Returns the independent choices of 8 instances from the same reports of engines, one of which has the least load.
fn choices(engines: usize, age_ms: u64, seed: u64) -> Vec<Name> {
    let config = config(engines, 0, 1);
    let choose_one = |instance| {
        let mut table = table(seed * 8 + instance, &config);
        for index in 0..engines {
            let running = if index == 0 { 0 } else { 20 };
            let stale = LoadReport {
                age_ms,
                ..report(running, 0)
            };
            table.on_report(1_000, &name(format!("e{index}")), &stale);
        }
        chosen(&mut table, 1_000, &request(), Policy::CostBased)
            .expect("all engines have free batch slots")
    };
    (0..8).map(choose_one).collect()
}

fn all_equal(choices: &[Name]) -> bool {
    choices.iter().all(|choice| *choice == choices[0])
}

/// Guards against herding: instances that decide independently from the same stale reports and all choose the engine
/// with the least load.
#[test]
fn instances_with_the_same_stale_reports_do_not_all_choose_one_engine() {
    for engines in [5, 13, 20] {
        for seed in 0..100 {
            let choices = choices(engines, 600, seed);
            assert!(
                !all_equal(&choices),
                "engines {engines}, seed {seed}: {choices:?}"
            );
        }
    }
}

/// Guards against herding in a zone that is smaller than the sample. Two of three engines are sampled, so that all 8
/// instances sample the engine with the least load with a probability of 4 %.
#[test]
fn instances_in_a_small_zone_rarely_all_choose_one_engine() {
    for age_ms in [50, 600] {
        let herds = (0..100)
            .filter(|seed| all_equal(&choices(3, age_ms, *seed)))
            .count();
        assert!(herds <= 10, "age {age_ms} ms: {herds} of 100 seeds");
    }
}

/// Guards against requests that queue in the engine, where ranks do not count, instead of at the instance.
#[test]
fn no_upstream_is_filled_beyond_its_batch_limit() {
    let mut table = table(1, &config(3, 0, 1));
    let mut sent = 0;
    while let Some(upstream) = chosen(&mut table, 0, &request(), Policy::CostBased) {
        let small = route::ExchangeEstimate {
            prompt_tokens: 1,
            ..estimate()
        };
        table.on_dispatch(0, exchange(sent, 0), &upstream, &small);
        sent += 1;
        assert!(sent < 1_000);
    }
    for index in 0..3 {
        assert!(table.outstanding(&name(format!("e{index}"))) <= 32);
    }
    let urgent = RoutingRequest {
        rank: 0,
        ..request()
    };
    assert!(chosen(&mut table, 0, &urgent, Policy::CostBased).is_some());
}

/// Guards against a prompt backlog that grows in an engine that has free batch slots.
#[test]
fn no_upstream_with_a_long_prompt_backlog_is_chosen() {
    let mut table = table(1, &config(2, 0, 1));
    table.on_report(0, &name("e0"), &report(2, 200_000));
    for now_ms in 0..20 {
        assert_eq!(
            chosen(&mut table, now_ms, &request(), Policy::CostBased),
            Some(name("e1"))
        );
    }
}

fn document_request(chunks: u64) -> RoutingRequest {
    RoutingRequest {
        prompt_tokens: chunks as u32 * CHUNK_TOKENS + 50,
        chunk_hashes: (1..=chunks).collect(),
        ..request()
    }
}

fn store(table: &mut UpstreamTable, upstream: &'static str, chunks: u64) {
    let events: Vec<CacheEvent> = (1..=chunks).map(CacheEvent::Stored).collect();
    table.on_cache_events(&upstream.into(), 1, &events);
}

/// Guards against a cache index that is not used, and against a holder of the prefix that is chosen in spite of a long
/// queue.
#[test]
fn the_holder_is_chosen_only_while_its_queue_takes_less_time_than_the_prefill() {
    let mut table = table(3, &config(60, 0, 1));
    for index in 0..60 {
        table.on_report(0, &name(format!("e{index}")), &report(1, 0));
    }
    store(&mut table, "e7", 5);
    for _ in 0..20 {
        let choice = table
            .choose(0, &document_request(5), Policy::CostBased)
            .unwrap();
        assert_eq!(choice.upstream, "e7");
        assert_eq!(choice.cached_tokens, 5 * CHUNK_TOKENS);
    }
    // The cache saves 20,000 tokens at 20,000 tokens/s, which is 1 s. A queue of 10 s outweighs that second at any
    // prompt weight.
    table.on_report(10, &name("e7"), &report(20, 200_000));
    let choice = table
        .choose(10, &document_request(5), Policy::CostBased)
        .unwrap();
    assert_ne!(choice.upstream, "e7");
}

/// Guards against instances that each have a new prompt computed and cached on a different engine.
#[test]
fn instances_agree_on_the_ring_owner_of_a_new_prompt() {
    let config = config(60, 0, 3);
    let choose_one = |instance| {
        let mut table = table(instance, &config);
        chosen(&mut table, 0, &document_request(5), Policy::CostBased)
    };
    let choices: Vec<Option<Name>> = (0..8).map(choose_one).collect();
    assert!(choices[0].is_some());
    assert!(
        choices.iter().all(|choice| *choice == choices[0]),
        "{choices:?}"
    );
}

/// Guards against requests that are sent to an upstream although their answers are expected after the deadline.
#[test]
fn no_upstream_is_chosen_that_misses_the_deadline() {
    let mut table = table(3, &config(4, 0, 1));
    let with_deadlines = |deadline_ms, first_token_deadline_ms| RoutingRequest {
        deadline_ms,
        first_token_deadline_ms,
        ..request()
    };
    let choice = table
        .choose(1_000, &with_deadlines(60_000, 0), Policy::CostBased)
        .unwrap();
    let (first_ms, total_ms) = (choice.first_token_ms, choice.total_ms);
    let choose =
        |table: &mut UpstreamTable, request| table.choose(1_000, &request, Policy::CostBased);
    assert!(
        choose(
            &mut table,
            with_deadlines(1_000 + 2 * total_ms, 1_000 + 2 * first_ms)
        )
        .is_some()
    );
    assert!(
        choose(&mut table, with_deadlines(1_000 + total_ms, 0)).is_none(),
        "without a margin"
    );
    assert!(
        choose(&mut table, with_deadlines(60_000, 1_000 + first_ms)).is_none(),
        "without a margin"
    );
    assert!(choose(&mut table, with_deadlines(1_000 + total_ms / 2, 0)).is_none());
    assert!(choose(&mut table, with_deadlines(60_000, 1_000 + first_ms / 2)).is_none());
}

/// Guards against requests that leave the instance's zone without need, and against requests that wait in a loaded zone
/// while other zones have free batch slots.
#[test]
fn the_zone_of_the_instance_is_preferred_until_it_is_loaded() {
    let mut table = table(5, &config(9, 0, 3));
    let zone_of = |upstream: Name| upstream[1..].parse::<usize>().unwrap() % 3;
    let request = RoutingRequest {
        availability_zone: "z1".into(),
        ..request()
    };
    // 300 waiting tokens delay a request by 15 ms, which is less than the margin for another zone.
    for index in 0..9 {
        let waiting = if index % 3 == 1 { 300 } else { 0 };
        table.on_report(0, &name(format!("e{index}")), &report(3, waiting));
    }
    for _ in 0..50 {
        let upstream = chosen(&mut table, 0, &request, Policy::CostBased).unwrap();
        assert_eq!(zone_of(upstream), 1);
    }
    for index in [1, 4, 7] {
        table.on_report(60, &name(format!("e{index}")), &report(32, 0));
    }
    let upstream = chosen(&mut table, 60, &request, Policy::CostBased).unwrap();
    assert_ne!(zone_of(upstream), 1);
}

/// Guards against requests for models that an engine does not have loaded.
#[test]
fn only_engines_with_the_model_are_chosen() {
    let mut table = table(5, &config(6, 0, 1));
    for index in 0..6 {
        let models = match index {
            4 => vec!["m@2".into(), "m:lace".into()],
            _ => vec!["other".into()],
        };
        let report = LoadReport {
            models,
            ..report(0, 0)
        };
        table.on_report(0, &name(format!("e{index}")), &report);
    }
    for model in ["m", "m:lace"] {
        let request = RoutingRequest {
            model: model.into(),
            ..request()
        };
        for policy in POLICIES {
            assert_eq!(
                chosen(&mut table, 0, &request, policy),
                Some(name("e4")),
                "{policy:?}"
            );
        }
    }
    let unknown = RoutingRequest {
        model: "m:felt".into(),
        ..request()
    };
    assert!(chosen(&mut table, 0, &unknown, Policy::CostBased).is_none());
}

/// Guards against complete requests on engines that serve one stage only, and against a role change that is ignored.
#[test]
fn a_request_gets_a_prefill_engine_and_a_decode_engine() {
    let mut table = table(5, &config(2, 0, 1));
    let with_role = |role| LoadReport {
        role,
        ..report(0, 0)
    };
    table.on_report(0, &name("e0"), &with_role(Role::Prefill));
    table.on_report(0, &name("e1"), &with_role(Role::Decode));
    let choice = table.choose(0, &request(), Policy::CostBased).unwrap();
    assert_eq!(choice.upstream, "e1");
    assert_eq!(choice.prefill_upstream, Some(name("e0")));
    table.on_report(10, &name("e1"), &with_role(Role::Mixed));
    let choice = table.choose(10, &request(), Policy::CostBased).unwrap();
    assert_eq!(
        (choice.upstream, choice.prefill_upstream),
        (name("e1"), None)
    );
    table.on_report(20, &name("e1"), &with_role(Role::Prefill));
    assert!(table.choose(20, &request(), Policy::CostBased).is_none());
}

/// Guards against upstreams of plain services that are not chosen without tokens or load reports.
#[test]
fn upstreams_of_plain_services_are_chosen_by_their_running_requests() {
    let mut table = table(5, &config(0, 3, 1));
    let request = RoutingRequest {
        service: "rota".into(),
        model: Name::default(),
        prompt_tokens: 0,
        output_tokens: 0,
        ..request()
    };
    let busy = LoadReport {
        models: Vec::new(),
        ..report(32, 0)
    };
    table.on_report(0, &name("p0"), &busy);
    for now_ms in 0..20 {
        let upstream = chosen(&mut table, now_ms, &request, Policy::CostBased).unwrap();
        let free = table.choose(now_ms, &request, Policy::LeastOutstanding);
        assert!(free.is_some());
        assert_ne!(upstream, "p0", "the batch of p0 is full");
    }
}

/// Guards against an open circuit that allows requests other than the probe, and against a circuit that never closes
/// again.
#[test]
fn a_circuit_opens_allows_one_probe_and_closes() {
    let mut table = table(5, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_dispatch(0, exchange(1, 0), &e0, &estimate());
    table.on_failure(0, exchange(1, 0), ExchangeFailure::Connect);
    assert!(chosen(&mut table, 100, &request(), Policy::CostBased).is_none());
    let probe_ms = 2_000;
    assert!(chosen(&mut table, probe_ms, &request(), Policy::CostBased).is_some());
    table.on_dispatch(probe_ms, exchange(2, 0), &e0, &estimate());
    assert!(chosen(&mut table, probe_ms, &request(), Policy::CostBased).is_none());
    table.on_finish(probe_ms + 50, exchange(2, 0), ExchangeEnd::Cancelled);
    assert!(
        table.accepts(probe_ms + 50, &e0),
        "a cancelled probe must not block the next one"
    );
    table.on_dispatch(probe_ms + 60, exchange(3, 0), &e0, &estimate());
    table.on_finish(
        probe_ms + 90,
        exchange(3, 0),
        ExchangeEnd::Complete { output_tokens: 3 },
    );
    table.on_dispatch(probe_ms + 100, exchange(4, 0), &e0, &estimate());
    assert!(table.accepts(probe_ms + 100, &e0));
}

/// Guards against retries that multiply the load of a failing upstream, and against a client account that uses up the
/// upstream's retry budget for all other client accounts.
#[test]
fn retries_stay_a_small_share_of_the_requests() {
    let mut table = table(5, &config(2, 0, 1));
    let (e0, e1) = (name("e0"), name("e1"));
    let mut retries = 0;
    for request in 0..1_000 {
        table.on_dispatch(0, exchange(request, 0), &e0, &estimate());
        retries += u32::from(table.take_retry(&e0, &name("t")));
    }
    assert!((100..=115).contains(&retries), "{retries}");
    assert!(
        !table.take_retry(&e1, &name("t")),
        "the client account's budget is used up"
    );
    assert!(table.take_retry(&e1, &name("other")));
}

/// Guards against choices that are not reproducible: the same seed and events must give the same choices.
#[test]
fn the_same_seed_gives_the_same_choices() {
    let run = || {
        let mut table = table(9, &config(40, 0, 2));
        let choose_one = |now_ms| chosen(&mut table, now_ms, &request(), Policy::CostBased);
        (0..100).map(choose_one).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
}
