//! Upstreams that announce their end or a pause in their answers.

mod entry_support;
mod support;

use conf::Role;
use entry_support::{Driver, ZONE, engine, expect_call, expect_refusal, plain};
use fleet::{LeavingUpstream, ListingUpdate, PeerMessage, UpstreamRecord, Watch};
use gateway::config::RequestKind;
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::notices::{self, LeavingUpstreams, Notice, StatedPause};
use gateway::{Directive, Outcome, RefusalReason};
use support::Cluster;

const LEAVING: Notice = Notice {
    is_leaving: true,
    pause: StatedPause::Absent,
};

fn pause_until(until_ms: u64) -> Notice {
    Notice {
        is_leaving: false,
        pause: StatedPause::Until(until_ms),
    }
}

fn state(driver: &mut Driver, upstream: &'static str, notice: Notice) {
    let upstream = upstream.into();
    driver.step(EntryEvent::NoticeStated { upstream, notice });
}

/// Sends a plain request, and closes its exchange at once. Returns the first directive.
fn send(driver: &mut Driver) -> Option<Directive> {
    let request = driver.request(RequestKind::Idempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    driver.step(EntryEvent::Closed {
        exchange,
        is_complete: true,
    });
    directive
}

/// Returns the upstreams that requests are sent to.
fn used(driver: &mut Driver) -> Vec<String> {
    let mut used: Vec<String> = (0..20)
        .filter_map(|_| match send(driver) {
            Some(Directive::Call(call)) => Some(call.upstream.to_string()),
            _ => None,
        })
        .collect();
    used.sort();
    used.dedup();
    used
}

fn born(id: &'static str, born_ms: u64) -> UpstreamRecord {
    UpstreamRecord {
        born_ms,
        ..plain(id, ZONE)
    }
}

fn reported(driver: &mut Driver) -> Vec<LeavingUpstream> {
    driver.now_ms += 400;
    let effects = driver.step(EntryEvent::Tick);
    let watches = effects.into_iter().filter_map(|effect| match effect {
        EntryEffect::Send { message, .. } => match *message {
            PeerMessage::Watch(watch) if !watch.is_probe => Some(watch.leaving),
            _ => None,
        },
        _ => None,
    });
    watches.flatten().collect()
}

/// Guards against requests to an upstream that has announced its end, while the list shows it as ready.
#[test]
fn an_upstream_that_leaves_gets_no_requests_until_it_starts_again() {
    let mut driver = Driver::new(vec![born("u-1", 1), born("u-2", 1)]);
    state(&mut driver, "u-1", LEAVING);
    assert_eq!(used(&mut driver), ["u-2"]);
    // The list still shows it as ready, also after it was missing.
    driver.list(vec![born("u-1", 1), born("u-2", 1)]);
    assert_eq!(used(&mut driver), ["u-2"]);
    driver.list(vec![born("u-2", 1)]);
    driver.list(vec![born("u-1", 1), born("u-2", 1)]);
    assert_eq!(used(&mut driver), ["u-2"]);
    driver.list(vec![born("u-1", 2), born("u-2", 1)]);
    state(&mut driver, "u-2", LEAVING);
    assert_eq!(used(&mut driver), ["u-1"]);
}

/// Guards against a repeat or a hand-off that goes to an upstream that has announced its end meanwhile.
#[test]
fn repeats_and_hand_offs_avoid_an_upstream_that_leaves() {
    let mut driver = Driver::new(vec![plain("u-1", ZONE), plain("u-2", ZONE)]);
    let request = driver.request(RequestKind::Idempotent, 0);
    let (exchange, directive) = driver.arrive(request);
    let first = expect_call(directive).upstream;
    let other = if first == "u-1" { "u-2" } else { "u-1" };
    state(&mut driver, other, LEAVING);
    let directive = driver.fail_call(exchange, Outcome::Rejected);
    assert!(
        matches!(directive, Some(Directive::Refuse(_))),
        "{directive:?}"
    );

    let engines = vec![
        engine("p", ZONE, Role::Prefill),
        engine("d-1", ZONE, Role::Decode),
        engine("d-2", ZONE, Role::Decode),
    ];
    let mut driver = Driver::new(engines);
    let request = driver.prompt(0, (7, 4_000), 3_000);
    let (exchange, directive) = driver.arrive(request);
    assert_eq!(expect_call(directive).upstream, "p");
    state(&mut driver, "d-1", LEAVING);
    let effects = driver.step(EntryEvent::Prefilled {
        exchange,
        handle: "h".into(),
    });
    let call = expect_call(entry_support::directive(&effects, exchange));
    assert_eq!(call.upstream, "d-2");
}

/// Guards against an announcement that other instances never get, and against one that is sent for ever.
#[test]
fn an_announcement_is_reported_until_the_list_shows_it() {
    let mut driver = Driver::new(vec![born("u-1", 5), born("u-2", 1)]);
    assert_eq!(reported(&mut driver), []);
    state(&mut driver, "u-1", LEAVING);
    let expected = [notices::key(&"u-1".into(), 5)];
    assert_eq!(reported(&mut driver), expected);
    assert_eq!(reported(&mut driver), expected);
    let draining = UpstreamRecord {
        draining: true,
        ..born("u-1", 5)
    };
    driver.list(vec![draining, born("u-2", 1)]);
    assert_eq!(reported(&mut driver), []);
}

/// Guards against requests to an upstream that has asked for a pause, and against a pause that does not end.
#[test]
fn an_upstream_gets_no_requests_during_its_pause() {
    let mut driver = Driver::new(vec![plain("u-1", ZONE), plain("u-2", ZONE)]);
    let until_ms = driver.now_ms + 3_000;
    state(&mut driver, "u-1", pause_until(until_ms));
    // A shorter pause that is stated later does not end the longer one.
    let earlier_ms = driver.now_ms + 100;
    state(&mut driver, "u-1", pause_until(earlier_ms));
    driver.now_ms = until_ms - 1;
    assert_eq!(used(&mut driver), ["u-2"]);
    driver.now_ms = until_ms;
    assert!(used(&mut driver).contains(&"u-1".to_owned()));
}

/// The load: every upstream of a service asks for a pause at once. Guards against requests that wait for nothing, and
/// against callers that all return at one moment.
#[test]
fn callers_are_told_when_the_first_pause_ends() {
    let mut driver = Driver::new(vec![plain("u-1", ZONE), plain("u-2", ZONE)]);
    let now_ms = driver.now_ms;
    state(&mut driver, "u-1", pause_until(now_ms + 4_000));
    state(&mut driver, "u-2", pause_until(now_ms + 1_200));
    let mut waits_ms: Vec<u64> = (0..20)
        .map(|_| {
            let refusal = expect_refusal(send(&mut driver));
            assert_eq!(refusal.reason, RefusalReason::NoUpstream);
            refusal.retry_after_ms
        })
        .collect();
    waits_ms.sort_unstable();
    assert!(
        waits_ms[0] >= 1_200 && waits_ms[19] <= 1_500,
        "{waits_ms:?}"
    );
    waits_ms.dedup();
    assert!(waits_ms.len() > 10, "{waits_ms:?}");
}

/// Guards against a faulty statement that takes an upstream out of service for good, and one that is taken as a pause.
#[test]
fn stated_pauses_are_bounded() {
    let from_seconds = |seconds| StatedPause::from_seconds(1_000, seconds);
    assert_eq!(from_seconds(0.25), StatedPause::Until(1_250));
    assert_eq!(from_seconds(1e300), StatedPause::Until(61_000));
    assert_eq!(from_seconds(0.0), StatedPause::Absent);
    assert_eq!(from_seconds(-3.0), StatedPause::Absent);
    assert_eq!(from_seconds(f64::NAN), StatedPause::Invalid);
    assert_eq!(from_seconds(f64::INFINITY), StatedPause::Invalid);
}

/// Guards against marks that pile up.
#[test]
fn marks_of_upstreams_that_are_gone_are_forgotten() {
    let mut leaving = LeavingUpstreams::default();
    leaving.insert(0, notices::key(&"u-1".into(), 1));
    leaving.on_listed(50_000, &[born("u-1", 1)]);
    leaving.on_listed(100_000, &[born("u-2", 1)]);
    assert!(leaving.contains(&born("u-1", 1)));
    leaving.on_listed(120_000, &[born("u-2", 1)]);
    assert!(!leaving.contains(&born("u-1", 1)));
    for key in 0..10_000 {
        leaving.insert(key, notices::key(&"u-3".into(), key));
    }
    assert!(leaving.unlisted().len() <= 4_096);
}

/// Returns the upstreams that a replica's list shows as draining.
fn draining(cluster: &mut Cluster, index: usize) -> Vec<String> {
    let reply = cluster.subscribed_reply(index);
    let Some(ListingUpdate::Complete(list)) = reply.listing_update else {
        panic!("a subscriber without a list gets all of it");
    };
    let draining = list.records.iter().filter(|record| record.draining);
    draining.map(|record| record.id.to_string()).collect()
}

/// Guards against an announcement that reaches only the instances that have seen it: an entry tells its replica, and the
/// leader marks the upstream for all, also when the list is read again, and after another replica has become the leader.
#[test]
fn the_list_of_all_instances_shows_an_announced_end() {
    let mut cluster = Cluster::new(3, 3);
    cluster.upstreams = vec![born("u-1", 5), born("u-2", 1)];
    cluster.run(3_000);
    let leader = cluster.leader().expect("a leader is elected");
    let follower = (leader + 1) % 3;
    let leaving = vec![notices::key(&"u-1".into(), 5)];
    cluster.deliver_watch(
        follower,
        Watch {
            leaving,
            ..Watch::default()
        },
    );
    cluster.run(2_500);
    for index in 0..3 {
        assert_eq!(draining(&mut cluster, index), ["u-1"], "replica {index}");
    }
    cluster.partition(leader);
    cluster.run(6_000);
    assert_eq!(draining(&mut cluster, follower), ["u-1"]);
}
