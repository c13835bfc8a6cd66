//! Counts of requests by account and window, from the entry to a replica.

mod entry_support;

use conf::Role;
use entry_support::{Driver, REPLICA, ZONE, engine, plain};
use fleet::{PeerMessage, UsageCount};
use gateway::entry::{EntryEffect, EntryEvent};
use gateway::usage::{UsageCounter, UsageSettings, UsageTable};
use gateway::wall_clock::WallClock;
use gateway::{Outcome, RequestKind};

const UNIX_MS: u64 = 1_700_000_000_000;
const SETTINGS: UsageSettings = UsageSettings {
    window_ms: 5_000,
    due_ms: 10_000,
};

fn total(counts: &[UsageCount]) -> u32 {
    counts.iter().map(|usage| usage.count).sum()
}

fn sent_usage(effects: &[EntryEffect]) -> Option<Vec<UsageCount>> {
    effects.iter().find_map(|effect| match effect {
        EntryEffect::Send { message, .. } => match &**message {
            PeerMessage::Watch(watch) => Some(watch.usage.clone()),
            _ => None,
        },
        _ => None,
    })
}

/// Guards against requests that are counted twice, for example a stream that goes on at another engine, and against some
/// that are left out: plain answers, failed answers of upstreams, and streams whose caller leaves.
#[test]
fn a_request_counts_once_when_an_upstream_has_begun_to_run_it() {
    let mut driver = Driver::with_usage(
        vec![
            engine("read", ZONE, Role::Prefill),
            engine("write", ZONE, Role::Decode),
            plain("plain-1", ZONE),
            plain("plain-2", ZONE),
        ],
        SETTINGS,
    );
    driver.step(EntryEvent::TimeOfDay { unix_ms: UNIX_MS });
    let close = |driver: &mut Driver, exchange, is_complete| {
        driver.step(EntryEvent::Closed {
            exchange,
            is_complete,
        });
    };
    let mut prompt = driver.prompt(0, (1, 0), 100);
    prompt.account = Some("a".into());
    let mut request = driver.request(RequestKind::Idempotent, 0);
    request.account = Some("a".into());
    // Two events begin at two engines.
    let (stream, _) = driver.arrive(prompt.clone());
    driver.step(EntryEvent::Started { exchange: stream });
    driver.step(EntryEvent::Started { exchange: stream });
    close(&mut driver, stream, false);
    let (answered, _) = driver.arrive(request.clone());
    close(&mut driver, answered, true);
    let (failed, _) = driver.arrive(request.clone());
    driver.fail_call(failed, Outcome::FailedAnswer);
    driver.fail_call(failed, Outcome::FailedAnswer);
    close(&mut driver, failed, true);
    // These have not begun to run.
    let (rejected, _) = driver.arrive(request.clone());
    driver.fail_call(rejected, Outcome::Rejected);
    close(&mut driver, rejected, false);
    let (left, _) = driver.arrive(prompt);
    close(&mut driver, left, false);
    let (anonymous, _) = driver.arrive(driver.request(RequestKind::Idempotent, 0));
    close(&mut driver, anonymous, true);
    driver.now_ms += 200;
    let usage = sent_usage(&driver.step(EntryEvent::Tick)).expect("a message is due");
    assert_eq!((usage.len(), total(&usage)), (1, 3));
    assert_eq!(usage[0].window, UNIX_MS / SETTINGS.window_ms);
    assert!(!driver.entry.has_sent_usage());
    driver.receive_from(REPLICA);
    assert!(driver.entry.has_sent_usage());
}

/// Guards against counts that are lost with a message or its reply, or with the replica that has received them, and against
/// ones that are sent again and again.
#[test]
fn only_what_the_replica_lacks_is_sent() {
    let (a, b) = ("a".into(), "b".into());
    let mut counter = UsageCounter::new(SETTINGS, 7);
    counter.observe_time(0, UNIX_MS);
    counter.on_tick(0);
    (0..3).for_each(|_| counter.add(10, &"x".into()));
    assert_eq!(total(&counter.take_unacknowledged(&a, 1)), 3);
    // The message is lost.
    assert_eq!(total(&counter.take_unacknowledged(&a, 2)), 3);
    // The reply to the lost one is late and counts for nothing.
    counter.on_reply(&a, 1);
    assert!(!counter.is_acknowledged());
    counter.add(20, &"x".into());
    counter.on_reply(&a, 2);
    assert_eq!(
        total(&counter.take_unacknowledged(&a, 3)),
        4,
        "the new count"
    );
    counter.on_reply(&a, 3);
    assert!(counter.take_unacknowledged(&a, 4).is_empty());
    // Another replica has nothing, and a reply of the earlier one does not count.
    assert_eq!(total(&counter.take_unacknowledged(&b, 5)), 4);
    counter.on_reply(&a, 5);
    assert!(!counter.is_acknowledged());
    counter.on_reply(&b, 5);
    assert!(counter.is_acknowledged());
    // The replica may have restarted with its id.
    counter.on_tick(SETTINGS.window_ms);
    assert_eq!(total(&counter.take_unacknowledged(&b, 6)), 4);
}

/// Guards against memory that grows while no replica takes the counts, and against a loss that is not told.
#[test]
fn counts_that_nobody_takes_are_given_up_and_told() {
    let mut counter = UsageCounter::new(SETTINGS, 7);
    counter.observe_time(0, UNIX_MS);
    let mut lost = 0;
    for window in 0..40 {
        let now_ms = window * SETTINGS.window_ms;
        lost += counter.on_tick(now_ms);
        counter.add(now_ms, &"x".into());
    }
    let kept = u64::from(total(&counter.take_unacknowledged(&"a".into(), 1)));
    assert_eq!(kept + lost, 40);
    assert!(kept <= 13, "{kept} windows are kept");
}

/// Guards against one source that is counted twice since its messages arrive twice, late or by several ways, and against a
/// table that grows without limit.
#[test]
fn the_highest_count_of_each_source_holds() {
    let mut table = UsageTable::default();
    let usage = |source, window, count| UsageCount {
        source,
        window,
        account: "x".into(),
        count,
    };
    for (source, count) in [(1, 5), (2, 1), (1, 3), (1, 5), (2, 2)] {
        table.merge(&usage(source, 9, count));
    }
    assert_eq!(table.totals(9), [("x".into(), 7)]);
    // The window has not ended.
    let leader = "l".into();
    assert!(table.take_unacknowledged(&leader, 3, 1, 9).is_empty());
    assert_eq!(total(&table.take_unacknowledged(&leader, 3, 2, 10)), 7);
    table.on_reply(&leader, 2);
    assert!(table.take_unacknowledged(&leader, 3, 3, 10).is_empty());
    // The leader of another term may have restarted.
    assert_eq!(total(&table.take_unacknowledged(&leader, 4, 4, 10)), 7);
    for source in 0..500_000 {
        table.merge(&usage(source, 10 + source / 100_000, 1));
    }
    table.expire(15);
    assert!(table.totals(9).is_empty() && table.totals(10).is_empty());
    assert_eq!(table.totals(14), [("x".into(), 100_000)]);
}

/// Guards against windows that are shifted by a jump of the time of day that is taken back, and against a clock that never
/// follows a lasting correction.
#[test]
fn a_jump_of_the_time_of_day_is_followed_only_once_it_lasts() {
    let mut clock = WallClock::default();
    assert_eq!(clock.unix_ms(0), None);
    let mut observe = |from_ms: u64, until_ms: u64, shift_ms: i64| {
        for now_ms in (from_ms..until_ms).step_by(1_000) {
            let unix_ms = (UNIX_MS + now_ms).saturating_add_signed(shift_ms);
            clock.observe(now_ms, unix_ms);
        }
        let unix_ms = clock.unix_ms(until_ms).expect("the clock is set");
        unix_ms as i64 - (UNIX_MS + until_ms) as i64
    };
    assert_eq!(observe(0, 10_000, 0), 0);
    assert_eq!(observe(10_000, 40_000, 7_000), 0);
    assert_eq!(observe(40_000, 50_000, 0), 0);
    assert_eq!(observe(50_000, 80_000, -7_000), 0);
    assert_eq!(observe(80_000, 110_000, 20), 20);
    assert_eq!(observe(110_000, 180_000, 7_000), 7_000);
}

/// Guards against an entry whose replica takes its counts by the name of another one.
#[test]
fn a_reply_of_another_replica_acknowledges_nothing() {
    let mut driver = Driver::with_usage(vec![plain("plain", ZONE)], SETTINGS);
    driver.step(EntryEvent::TimeOfDay { unix_ms: UNIX_MS });
    let mut request = driver.request(RequestKind::Idempotent, 0);
    request.account = Some("a".into());
    let (exchange, _) = driver.arrive(request);
    driver.step(EntryEvent::Closed {
        exchange,
        is_complete: true,
    });
    driver.now_ms += 200;
    driver.step(EntryEvent::Tick);
    driver.receive_from("10.0.0.77");
    assert!(!driver.entry.has_sent_usage());
    driver.receive_from(REPLICA);
    assert!(driver.entry.has_sent_usage());
}
