//! Merging of verdicts, and trials of blocked parts.

use quarantine::{Admission, Collector, Report, SoundReport, Suspects, Update, Verdict, Verdicts};

const NONE: [u64; 0] = [];
const PART: u64 = 7;
const MINUTE_MS: u64 = 60_000;

fn blocked(parts: impl IntoIterator<Item = u64>) -> Verdicts {
    let mut verdicts = Verdicts::default();
    for part in parts {
        verdicts.block(1_000, part, 3);
    }
    verdicts
}

fn verdict(part: u64, revision: u64) -> Verdict {
    Verdict {
        part: part % 400,
        revision: revision % 4,
        is_blocked: revision.is_multiple_of(2),
        retry_in_ms: MINUTE_MS,
        ..Verdict::default()
    }
}

seeded::quickcheck! {
    /// Guards against copies that differ for ever and are sent again and again.
    fn copies_merge_to_the_same_verdicts(changes: Vec<(u64, u64)>, split: usize) -> bool {
        let changes: Vec<Verdict> = changes.iter().map(|(part, revision)| verdict(*part, *revision)).collect();
        let (left, right) = changes.split_at(split % (changes.len() + 1));
        let (mut a, mut b) = (Verdicts::default(), Verdicts::default());
        a.merge(1_000, left);
        b.merge(1_000, right);
        let (from_a, from_b) = (a.export(2_000), b.export(2_000));
        a.merge(2_000, &from_b);
        b.merge(2_000, &from_a);
        a.version() == b.version()
    }
}

/// Guards against a lift that an outdated copy undoes.
#[test]
fn a_lifted_block_stays_lifted() {
    let mut verdicts = blocked([PART]);
    let outdated = verdicts.export(1_000);
    assert!(verdicts.lift(2_000, PART));
    verdicts.merge(3_000, &outdated);
    assert!(!verdicts.is_blocked(PART));
}

/// Guards against an instance that starts anew and sends what all others refuse.
#[test]
fn a_new_instance_gets_all_verdicts() {
    let mut collector = Collector::default();
    collector.merge(1_000, &blocked([PART]).export(1_000));
    let mut suspects = Suspects::default();
    let version = suspects.report(1_000).version;
    suspects.on_update(1_000, &collector.update(1_000, version));
    assert!(suspects.verdicts().is_blocked(PART));
    let version = suspects.report(2_000).version;
    assert!(collector.update(2_000, version).verdicts.is_empty());
}

/// Guards against blocks that are lost when all replicas restart.
#[test]
fn a_restarted_replica_gets_the_verdicts_of_the_instances() {
    let mut suspects = Suspects::default();
    let verdicts = blocked([PART]).export(1_000);
    suspects.on_update(
        1_000,
        &Update {
            verdicts,
            ..Update::default()
        },
    );
    let mut restarted = Collector::default();
    restarted.on_report(2_000, &suspects.report(2_000), true);
    assert!(restarted.verdicts().is_blocked(PART));
}

/// Guards against trials of a blocked part by several instances at a time, and by several requests.
#[test]
fn one_request_of_one_instance_tries_a_blocked_part() {
    let mut collector = Collector::default();
    collector.merge(1_000, &blocked([PART]).export(1_000));
    assert_eq!(collector.take_trials(1_000 + MINUTE_MS / 2, &[PART]), NONE);
    let now_ms = 1_000 + MINUTE_MS;
    let mut suspects = Suspects::default();
    suspects.on_update(now_ms, &collector.update(now_ms, 0));
    assert!(matches!(
        suspects.admit(now_ms, [PART]),
        Admission::Blocked { part: PART, .. }
    ));
    let refused = suspects.report(now_ms).refused;
    let trials = collector.take_trials(now_ms, &refused);
    assert_eq!(trials, [PART]);
    assert_eq!(collector.take_trials(now_ms + 100, &refused), NONE);
    let update = Update {
        trials,
        ..collector.update(now_ms, 0)
    };
    suspects.on_update(now_ms, &update);
    assert_eq!(
        suspects.admit(now_ms, [PART]),
        Admission::Trial { part: PART }
    );
    assert!(matches!(
        suspects.admit(now_ms, [PART]),
        Admission::Blocked { .. }
    ));
    // Each pause is longer than the one before.
    assert_eq!(collector.take_trials(now_ms + 2 * MINUTE_MS, &[PART]), NONE);
    assert_eq!(
        collector.take_trials(now_ms + 4 * MINUTE_MS, &[PART]),
        [PART]
    );
}

/// Guards against blocks that no successful trial lifts.
#[test]
fn a_successful_trial_lifts_the_block() {
    let mut collector = Collector::default();
    collector.merge(1_000, &blocked([PART]).export(1_000));
    let sound = |age_ms| Report {
        sound: vec![SoundReport { part: PART, age_ms }],
        ..Report::default()
    };
    collector.on_report(MINUTE_MS, &sound(MINUTE_MS), true);
    assert!(
        collector.verdicts().is_blocked(PART),
        "the answer began before the block"
    );
    collector.on_report(MINUTE_MS, &sound(100), true);
    assert!(!collector.verdicts().is_blocked(PART));
}

/// Guards against callers that crash engines with ever new parts in order to have an old one forgotten.
#[test]
fn parts_whose_trials_have_failed_are_not_pushed_out() {
    let mut verdicts = blocked([PART]);
    assert!(verdicts.take_trial(1_000 + MINUTE_MS, PART));
    for part in 1_000..2_000 {
        verdicts.block(2 * MINUTE_MS, part, 3);
    }
    assert!(verdicts.is_blocked(PART));
    assert!(verdicts.export(2 * MINUTE_MS).len() <= 256);
}
