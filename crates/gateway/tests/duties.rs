//! Reports of usage by the leader, around failures of replicas and of the platform.

mod support;

use std::collections::BTreeMap;

use fleet::UsageCount;
use gateway::command::Command;
use gateway::duties::{DutyAction, DutySettings};
use gateway::usage::UsageSettings;
use gateway::usage_reports::UsageReports;
use gateway::{DutyCall, DutyOutcome};
use support::{Cluster, START_UNIX_MS};

const LEASE_MS: u64 = 3_000;
const WINDOW_MS: u64 = 2_000;
const DUE_MS: u64 = 6_000;

fn settings() -> DutySettings {
    DutySettings {
        usage: Some(UsageSettings {
            window_ms: WINDOW_MS,
            due_ms: DUE_MS,
        }),
        calls_per_s: 2.0,
        ..DutySettings::default()
    }
}

fn cluster(count: usize) -> Cluster {
    Cluster::with_duties(count, count, settings())
}

fn window(cluster: &Cluster) -> u64 {
    (START_UNIX_MS + cluster.now_ms()) / WINDOW_MS
}

fn usage(source: u64, window: u64, count: u32) -> UsageCount {
    UsageCount {
        source,
        window,
        account: "a".into(),
        count,
    }
}

/// Returns the total of each window that the platform has received, and checks all calls against each other.
fn check_calls(cluster: &Cluster) -> BTreeMap<u64, u64> {
    let mut totals = BTreeMap::new();
    let mut last: Option<(usize, u64, u64)> = None;
    for call in &cluster.platform.calls {
        if let Some((replica, term, at_ms)) = last {
            assert!(call.term >= term, "a lower token after a higher one");
            assert!(
                call.term > term || call.replica == replica,
                "two holders of a token"
            );
            let gap_ms = call.at_ms - at_ms;
            assert!(call.term == term || gap_ms >= LEASE_MS, "{gap_ms} ms");
        }
        last = Some((call.replica, call.term, call.at_ms));
        let DutyCall::ReportUsage { window, counts } = &call.call else {
            panic!("only usage is reported");
        };
        let total = counts.iter().map(|(_, count)| count).sum();
        let reported = *totals.entry(*window).or_insert(total);
        assert_eq!(
            reported, total,
            "window {window} is reported with other counts"
        );
    }
    totals
}

/// Guards against lost or doubled requests on the way from entries through replicas to the report, and against windows that
/// are left out since nothing ran in them.
#[test]
fn each_window_is_reported_once_and_in_time() {
    let mut cluster = cluster(3);
    cluster.run(2_000);
    let leader = cluster.leader().expect("a leader is elected");
    let other = (leader + 1) % 3;
    let first = window(&cluster);
    cluster.deliver_usage(leader, vec![usage(1, first, 3)]);
    // The counts of an entry that has turned to another replica arrive twice.
    cluster.deliver_usage(other, vec![usage(1, first, 2), usage(2, first, 5)]);
    cluster.run(20_000);
    let totals = check_calls(&cluster);
    assert_eq!(totals[&first], 8);
    assert_eq!(totals[&(first + 1)], 0);
    assert_eq!(
        cluster.platform.calls.len(),
        totals.len(),
        "nothing is repeated"
    );
    let windows: Vec<u64> = totals.keys().copied().collect();
    assert!(windows.windows(2).all(|pair| pair[1] == pair[0] + 1));
    let last_end_ms = (windows[windows.len() - 1] + 1) * WINDOW_MS - START_UNIX_MS;
    assert!(
        cluster.now_ms() - last_end_ms < DUE_MS,
        "the last report is in time"
    );
}

/// Guards against a report with other counts: after its counts were committed, the leader is lost before it has sent them,
/// and late counts reach its successor.
#[test]
fn a_successor_reports_what_its_predecessor_has_committed() {
    let mut cluster = cluster(5);
    cluster.run(1_500);
    let leader = cluster.leader().expect("a leader is elected");
    let first = window(&cluster);
    cluster.deliver_usage(leader, vec![usage(1, first, 3)]);
    // Within the hold-off, counts are committed but not sent.
    cluster.platform.outcome = DutyOutcome::Unknown;
    while !cluster
        .platform
        .calls
        .iter()
        .any(|call| is_report(&call.call, first))
    {
        cluster.run(50);
        assert!(cluster.now_ms() < 30_000);
    }
    cluster.partition(leader);
    let other = (leader + 1) % 5;
    cluster.deliver_usage(other, vec![usage(1, first, 4), usage(2, first, 9)]);
    cluster.run(10_000);
    cluster.platform.outcome = DutyOutcome::Accepted;
    cluster.run(10_000);
    let totals = check_calls(&cluster);
    assert_eq!(totals[&first], 3);
    let by_successor = |call: &&support::ReceivedCall| call.replica != leader;
    let reports = cluster.platform.calls.iter().filter(by_successor);
    assert!(reports.into_iter().any(|call| is_report(&call.call, first)));
}

fn is_report(call: &DutyCall, of: u64) -> bool {
    matches!(call, DutyCall::ReportUsage { window, .. } if *window == of)
}

/// Guards against counts that are lost with the leader, which alone has received those of the other replicas.
#[test]
fn counts_survive_the_leader_that_gathers_them() {
    let mut cluster = cluster(5);
    cluster.run(8_000);
    let leader = cluster.leader().expect("a leader is elected");
    let other = (leader + 1) % 5;
    let present = window(&cluster);
    cluster.deliver_usage(other, vec![usage(1, present, 7)]);
    // The leader has them, and is lost before it commits them.
    cluster.run(WINDOW_MS + 1_000);
    cluster.partition(leader);
    cluster.run(15_000);
    assert_eq!(check_calls(&cluster)[&present], 7);
}

fn commits(actions: &[DutyAction]) -> Vec<(u64, u64)> {
    let commit = |action: &DutyAction| match action {
        DutyAction::Propose(Command::CommitUsage { window, counts, .. }) => {
            Some((*window, counts.iter().map(|(_, count)| count).sum()))
        }
        _ => None,
    };
    actions.iter().filter_map(commit).collect()
}

/// Guards against counts that are fixed while entries are cut off which have counted in the window before, and against a
/// window that waits for them until its report is late.
#[test]
fn missing_entries_are_waited_for_but_not_for_long() {
    let mut reports = UsageReports::new(settings().usage);
    let proposed = |reports: &mut UsageReports, age_ms: u64, window: u64| {
        let mut actions = Vec::new();
        let unix_ms = (window + 1) * WINDOW_MS + age_ms;
        reports.propose_due(unix_ms, 60_000, &mut actions);
        commits(&actions)
    };
    reports.restore(100, Vec::new());
    let counts = |window, sources: std::ops::Range<u64>| -> Vec<UsageCount> {
        sources.map(|source| usage(source, window, 1)).collect()
    };
    reports.merge(&counts(100, 0..10));
    reports.merge(&counts(101, 0..5));
    assert_eq!(proposed(&mut reports, 2_900, 100), []);
    assert_eq!(proposed(&mut reports, 3_000, 100), [(100, 10)]);
    reports.apply(100, [].into(), &[], &mut Vec::new());
    assert_eq!(
        proposed(&mut reports, 4_400, 101),
        [],
        "half of the entries are missing"
    );
    let mut later = reports.clone();
    assert_eq!(proposed(&mut later, 4_500, 101), [(101, 5)]);
    reports.merge(&counts(101, 5..9));
    assert_eq!(proposed(&mut reports, 4_400, 101), [(101, 9)]);
}

/// Guards against a new leader that fixes counts before the other replicas have sent theirs, that waits for ever for what it
/// proposed in an earlier term, and against a window that is fixed twice.
#[test]
fn a_new_leader_gathers_anew_and_keeps_what_is_committed() {
    let mut reports = UsageReports::new(settings().usage);
    reports.restore(100, Vec::new());
    reports.merge(&[usage(1, 100, 3)]);
    let unix_ms = 101 * WINDOW_MS + DUE_MS;
    let propose = |reports: &mut UsageReports, leader_age_ms| {
        let mut actions = Vec::new();
        reports.propose_due(unix_ms, leader_age_ms, &mut actions);
        commits(&actions)
    };
    reports.on_leading();
    assert_eq!(propose(&mut reports, 1_000), []);
    assert_eq!(propose(&mut reports, 2_000), [(100, 3)]);
    assert_eq!(propose(&mut reports, 2_100), [], "it is under way");
    reports.on_leading();
    assert_eq!(propose(&mut reports, 2_000), [(100, 3)]);
    let first: [(conf::Name, u64); 1] = [("a".into(), 3)];
    reports.apply(100, first.clone().into(), &[], &mut Vec::new());
    reports.apply(100, [("a".into(), 4)].into(), &[], &mut Vec::new());
    let report = DutyCall::ReportUsage {
        window: 100,
        counts: first.into(),
    };
    assert_eq!(reports.next_report(unix_ms), Some(report));
}

/// Guards against windows that are left out after a restart from snapshots, since the platform was down for long before.
#[test]
fn snapshots_hold_what_is_not_reported() {
    let mut cluster = cluster(3);
    cluster.run(10_000);
    cluster.platform.outcome = DutyOutcome::Unknown;
    let present = window(&cluster);
    cluster.deliver_usage(0, vec![usage(1, present, 5)]);
    cluster.run(140_000);
    (0..3).for_each(|replica| cluster.restart(replica));
    cluster.platform.outcome = DutyOutcome::Accepted;
    cluster.run(60_000);
    let totals = check_calls(&cluster);
    assert_eq!(totals.get(&present), Some(&5));
    let windows: Vec<u64> = totals.keys().copied().collect();
    assert!(windows.windows(2).all(|pair| pair[1] == pair[0] + 1));
}

/// Guards against counts that stay at a replica which is not a member of the log and knows no leader.
#[test]
fn counts_of_a_replica_that_is_no_member_reach_the_leader() {
    let mut cluster = Cluster::with_duties(4, 3, settings());
    cluster.run(8_000);
    let outsider = 3;
    let present = window(&cluster);
    cluster.deliver_usage(outsider, vec![usage(1, present, 7)]);
    cluster.run(15_000);
    assert_eq!(check_calls(&cluster)[&present], 7);
}

/// Guards against a leader that acts on its earlier state when its machine goes on, while another one acts.
#[test]
fn a_suspended_leader_sends_nothing_when_it_goes_on() {
    let mut cluster = cluster(3);
    cluster.run(12_000);
    let leader = cluster.leader().expect("a leader is elected");
    cluster.suspend(leader, true);
    cluster.run(12_000);
    let calls = cluster.platform.calls.len();
    cluster.suspend(leader, false);
    cluster.run(10_000);
    let later = &cluster.platform.calls[calls..];
    assert!(!later.is_empty() && later.iter().all(|call| call.replica != leader));
    check_calls(&cluster);
}

/// Guards against calls without end to a platform that is down or limits them, and against windows that stay missing after
/// it has recovered.
#[test]
fn missed_windows_follow_at_the_rate_that_the_platform_accepts() {
    for outcome in [DutyOutcome::Unknown, DutyOutcome::Limited] {
        let mut cluster = cluster(3);
        cluster.run(10_000);
        let before = cluster.platform.calls.len();
        cluster.platform.outcome = outcome;
        cluster.run(30_000);
        let tries = cluster.platform.calls.len() - before;
        assert!((3..=15).contains(&tries), "{tries} calls");
        cluster.platform.outcome = DutyOutcome::Accepted;
        let recovered = cluster.platform.calls.len();
        cluster.run(20_000);
        let calls = &cluster.platform.calls[recovered..];
        for pair in calls.windows(2) {
            assert!(pair[1].at_ms - pair[0].at_ms >= 500);
        }
        let totals = check_calls(&cluster);
        let windows: Vec<u64> = totals.keys().copied().collect();
        assert!(windows.windows(2).all(|pair| pair[1] == pair[0] + 1));
        assert!(calls.len() <= 15 + 10 + 1, "{} calls", calls.len());
    }
}

/// Guards against a leader that goes on after the platform has seen a higher token.
#[test]
fn a_fenced_leader_makes_no_further_calls() {
    let mut cluster = cluster(3);
    cluster.platform.outcome = DutyOutcome::Fenced;
    cluster.run(40_000);
    assert_eq!(cluster.platform.calls.len(), 1);
}

/// Guards against reports that depend on the order of failures: replicas are cut off, suspended and restarted, and the
/// platform falls silent, at random moments.
#[test]
fn no_sequence_of_failures_lets_two_holders_act_or_changes_a_report() {
    fn property(steps: Vec<(u8, u8, u16)>) -> bool {
        let mut cluster = cluster(3);
        cluster.run(2_000);
        for (what, who, pause_ms) in steps.into_iter().take(12) {
            let replica = usize::from(who) % 3;
            match what % 7 {
                0 => cluster.partition(replica),
                1 => cluster.suspend(replica, true),
                2 => cluster.restart(replica),
                3 => cluster.platform.outcome = DutyOutcome::Unknown,
                4 => cluster.platform.outcome = DutyOutcome::Accepted,
                _ => (0..3).for_each(|replica| {
                    cluster.heal(replica);
                    cluster.suspend(replica, false);
                }),
            }
            let present = window(&cluster);
            for past in 0..3 {
                let count = u32::from(what) + u32::from(pause_ms);
                let counts = vec![usage(u64::from(who), present - past, count)];
                cluster.deliver_usage(replica, counts);
            }
            cluster.run(u64::from(pause_ms) % 5_000);
        }
        check_calls(&cluster);
        true
    }
    let mut tester = seeded::tester().tests(40);
    tester.quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}
