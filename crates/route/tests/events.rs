//! The accounting of the table for events that are late, duplicated or unknown.

mod common;

use common::{config, estimate, exchange, name, report, request, table};
use quickcheck::{Arbitrary, Gen};
use route::{ExchangeEnd, ExchangeFailure, LoadDigest, Policy, Presence, UpstreamTable};

#[derive(Clone, Debug)]
enum Event {
    Dispatch(u8, u8, u8),
    Progress(u8, u8, u16),
    Finish(u8, u8, bool),
    Fail(u8, u8, bool),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let (request, attempt) = (u8::arbitrary(g) % 12, u8::arbitrary(g) % 3);
        match u8::arbitrary(g) % 5 {
            0 | 1 => Self::Dispatch(request, attempt, u8::arbitrary(g) % 4),
            2 => Self::Progress(request, attempt, u16::arbitrary(g)),
            3 => Self::Finish(request, attempt, bool::arbitrary(g)),
            _ => Self::Fail(request, attempt, bool::arbitrary(g)),
        }
    }
}

/// Guards against an exchange that is counted twice or never released, for any order of events.
#[test]
fn outstanding_equals_the_open_exchanges() {
    fn property(events: Vec<Event>) -> bool {
        let mut table = table(1, &config(4, 0, 1));
        let mut open = std::collections::BTreeMap::new();
        for (now_ms, event) in (0..).step_by(7).zip(events) {
            match event {
                Event::Dispatch(request, attempt, upstream) => {
                    let id = exchange(request.into(), attempt.into());
                    table.on_dispatch(now_ms, id, &name(format!("e{upstream}")), &estimate());
                    open.entry(id).or_insert(upstream);
                }
                Event::Progress(request, attempt, tokens) => {
                    table.on_progress(exchange(request.into(), attempt.into()), tokens.into());
                }
                Event::Finish(request, attempt, complete) => {
                    let id = exchange(request.into(), attempt.into());
                    let end = if complete {
                        ExchangeEnd::Complete { output_tokens: 10 }
                    } else {
                        ExchangeEnd::Cancelled
                    };
                    table.on_finish(now_ms, id, end);
                    open.remove(&id);
                }
                Event::Fail(request, attempt, connect) => {
                    let id = exchange(request.into(), attempt.into());
                    let failure = if connect {
                        ExchangeFailure::Connect
                    } else {
                        ExchangeFailure::Broken
                    };
                    table.on_failure(now_ms, id, failure);
                    open.remove(&id);
                }
            }
        }
        (0..4u8).all(|upstream| {
            let expected = open.values().filter(|other| **other == upstream).count() as u32;
            let upstream = name(format!("e{upstream}"));
            let none_left = expected > 0 || table.output_tokens_expected(&upstream) == 0;
            table.outstanding(&upstream) == expected && none_left
        })
    }
    common::check(property as fn(_) -> bool);
}

fn load_snapshot(table: &UpstreamTable) -> Vec<(u32, u64, u64)> {
    let load_of = |index| {
        let upstream = name(format!("e{index}"));
        let in_flight = table.in_flight(500, &upstream) * 1_000.0;
        (
            table.outstanding(&upstream),
            table.output_tokens_expected(&upstream),
            in_flight as u64,
        )
    };
    (0..3).map(load_of).collect()
}

/// Guards against a late end of a first attempt that is counted as the end of the second attempt.
#[test]
fn a_late_event_of_an_earlier_attempt_changes_nothing() {
    let mut table = table(1, &config(3, 0, 1));
    table.on_dispatch(0, exchange(1, 0), &name("e0"), &estimate());
    table.on_failure(10, exchange(1, 0), ExchangeFailure::Broken);
    table.on_dispatch(20, exchange(1, 1), &name("e1"), &estimate());
    table.on_dispatch(20, exchange(2, 0), &name("e1"), &estimate());
    let before = load_snapshot(&table);
    table.on_finish(
        30,
        exchange(1, 0),
        ExchangeEnd::Complete { output_tokens: 5 },
    );
    table.on_failure(30, exchange(1, 0), ExchangeFailure::Connect);
    table.on_progress(exchange(1, 0), 9_000);
    table.on_dispatch(30, exchange(1, 1), &name("e2"), &estimate());
    assert_eq!(load_snapshot(&table), before);
}

/// Guards against events of unknown upstreams and exchanges that change the table or cause a panic.
#[test]
fn unknown_names_change_nothing() {
    let mut table = table(1, &config(3, 0, 1));
    table.on_dispatch(0, exchange(1, 0), &name("e0"), &estimate());
    let before = load_snapshot(&table);
    let other = name("unknown");
    table.on_report(5, &other, &report(9, 9));
    table.on_digest(5, &other, &LoadDigest::default());
    table.on_dispatch(5, exchange(2, 0), &other, &estimate());
    table.on_finish(5, exchange(7, 0), ExchangeEnd::Cancelled);
    table.on_cache_events(&other, 1, &[]);
    table.set_platform_presence(&other, Presence::Gone);
    table.on_unreachable(5, &other);
    assert_eq!(load_snapshot(&table), before);
}

/// Guards against an exchange of a removed upstream that is released on the upstream that reuses the slot in the table.
#[test]
fn exchanges_of_a_removed_upstream_do_not_change_the_upstream_that_reuses_its_slot() {
    let mut table = table(1, &config(1, 0, 1));
    table.on_dispatch(0, exchange(1, 0), &name("e0"), &estimate());
    let mut other = config(1, 0, 1);
    other.upstreams[0].name = "new".into();
    table.apply_config(&other);
    table.on_dispatch(5, exchange(2, 0), &name("new"), &estimate());
    table.on_finish(
        10,
        exchange(1, 0),
        ExchangeEnd::Complete { output_tokens: 5 },
    );
    table.on_failure(10, exchange(1, 0), ExchangeFailure::Connect);
    assert_eq!(table.outstanding(&name("new")), 1);
    assert!(table.accepts(10, &name("new")));
}

/// Guards against a configuration change that discards the load of upstreams that stay configured.
#[test]
fn a_configuration_change_keeps_the_known_load() {
    let mut table = table(1, &config(2, 0, 1));
    table.on_report(0, &name("e1"), &report(7, 0));
    table.on_dispatch(5, exchange(1, 0), &name("e1"), &estimate());
    table.apply_config(&config(4, 0, 1));
    assert_eq!(table.outstanding(&name("e1")), 1);
    assert_eq!(table.in_flight(6, &name("e1")), 8.0);
}

/// Guards against dispatches of the instance that are counted twice, in the report and in the instance's own count.
#[test]
fn a_report_replaces_the_dispatches_that_it_covers() {
    let mut table = table(1, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_dispatch(100, exchange(1, 0), &e0, &estimate());
    table.on_dispatch(400, exchange(2, 0), &e0, &estimate());
    let covering_the_first = route::LoadReport {
        age_ms: 200,
        ..report(1, 0)
    };
    table.on_report(500, &e0, &covering_the_first);
    assert_eq!(table.in_flight(500, &e0), 2.0);
    table.on_finish(600, exchange(1, 0), ExchangeEnd::Cancelled);
    assert_eq!(table.in_flight(600, &e0), 1.0);
}

/// Guards against an old report or digest that arrives late and replaces a newer one.
#[test]
fn an_older_report_does_not_replace_a_newer_one() {
    let mut table = table(1, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_report(1_000, &e0, &report(3, 0));
    let late = route::LoadReport {
        age_ms: 500,
        role: conf::Role::Prefill,
        ..report(30, 0)
    };
    table.on_report(1_100, &e0, &late);
    let digest = LoadDigest {
        age_ms: 600,
        running: 40,
        ..LoadDigest::default()
    };
    table.on_digest(1_100, &e0, &digest);
    assert_eq!(table.in_flight(1_100, &e0), 3.0);
    assert_eq!(table.role(&e0), Some(conf::Role::Mixed));
}

/// Guards against a report that keeps its weight forever after reports have stopped.
#[test]
fn without_reports_the_estimate_falls_to_the_own_dispatches() {
    let mut table = table(1, &config(1, 0, 1));
    let e0 = name("e0");
    table.on_report(0, &e0, &report(20, 0));
    table.on_dispatch(1, exchange(1, 0), &e0, &estimate());
    assert_eq!(table.in_flight(500, &e0), 21.0);
    let later = table.in_flight(5_000, &e0);
    assert!((1.0..21.0).contains(&later), "{later}");
    assert_eq!(table.in_flight(20_000, &e0), 1.0);
}

/// Guards against expected lengths that mix the answers of client accounts, and against an expected length below the
/// delivered tokens.
#[test]
fn expected_output_depends_on_client_account_and_progress() {
    let mut table = table(1, &config(1, 0, 1));
    let answer = |table: &mut UpstreamTable, request, account: &'static str, output_tokens| {
        let estimate = route::ExchangeEstimate {
            client_account: account.into(),
            ..estimate()
        };
        table.on_dispatch(0, exchange(request, 0), &name("e0"), &estimate);
        table.on_finish(
            1,
            exchange(request, 0),
            ExchangeEnd::Complete { output_tokens },
        );
    };
    for request in 0..100 {
        answer(&mut table, request, "short", 40 + request as u32 % 10);
        answer(&mut table, 1_000 + request, "long", 900 + request as u32);
    }
    let expected =
        |account: &'static str, tokens| table.expected_output(&account.into(), &"m".into(), tokens);
    assert!(
        (30..80).contains(&expected("short", 0)),
        "{}",
        expected("short", 0)
    );
    assert!(
        (700..1_400).contains(&expected("long", 0)),
        "{}",
        expected("long", 0)
    );
    assert!(expected("short", 5_000) > 5_000);
}

/// Guards against an expected length that is not greater than the number of delivered tokens.
#[test]
fn expected_output_is_above_the_delivered_tokens() {
    fn property(lengths: Vec<u32>, delivered: u32) -> bool {
        let mut known = route::OutputLengths::default();
        let (client_account, model) = (name("t"), name("m"));
        lengths
            .iter()
            .for_each(|length| known.observe(&client_account, &model, *length));
        delivered == u32::MAX || known.expected(&client_account, &model, delivered) > delivered
    }
    common::check(property as fn(_, _) -> bool);
}

/// Guards against a choice for a service that a configuration change has removed.
#[test]
fn a_removed_service_gets_no_choice() {
    let mut table = table(1, &config(2, 0, 1));
    table.apply_config(&conf::ServiceConfig::default());
    assert!(table.choose(0, &request(), Policy::CostBased).is_none());
}
