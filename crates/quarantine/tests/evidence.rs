//! Which parts are blocked on which evidence.

use quarantine::evidence::Evidence;
use quarantine::{CrashReport, SoundReport, SuspectPart};

const NONE: [u64; 0] = [];
const FIRST: u64 = 1;
const DEADLY: u64 = 2;

/// Reports the crash of an engine at a time, with the keys of a prompt's parts.
fn crash(evidence: &mut Evidence, at_ms: u64, engine: u64, keys: &[u64]) {
    let report = CrashReport {
        engine,
        parts: SuspectPart::of_prompt(keys.iter().copied()).collect(),
        age_ms: 0,
    };
    evidence.on_crash(at_ms, &report);
}

fn sound(evidence: &mut Evidence, now_ms: u64, part: u64, began_ms: u64) {
    let age_ms = now_ms - began_ms;
    evidence.on_sound(now_ms, &SoundReport { part, age_ms });
}

fn condemned(evidence: &mut Evidence, now_ms: u64) -> Vec<u64> {
    let condemned = evidence.take_condemned(now_ms);
    condemned.into_iter().map(|part| part.part).collect()
}

/// Guards against a part that is blocked together with the one behind it, which crashes the engines.
#[test]
fn the_last_part_of_the_same_crashes_is_blocked() {
    let mut evidence = Evidence::default();
    for (engine, at_ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut evidence, at_ms, engine, &[FIRST, DEADLY]);
    }
    assert_eq!(condemned(&mut evidence, 5_000), [DEADLY]);
    assert_eq!(condemned(&mut evidence, 10_000), NONE);
}

/// Guards against a shared first part that is blocked because it stands in the crashes of two deadly parts.
#[test]
fn a_shared_part_is_not_blocked_for_two_deadly_ones() {
    let mut evidence = Evidence::default();
    for at in 0..4 {
        crash(&mut evidence, 1_000 + at * 700, at, &[FIRST, DEADLY]);
        crash(&mut evidence, 1_300 + at * 700, 10 + at, &[FIRST, 3]);
        sound(&mut evidence, 1_500 + at * 700, FIRST, 1_400 + at * 700);
    }
    let mut blocked = condemned(&mut evidence, 6_000);
    blocked.sort_unstable();
    assert_eq!(blocked, [DEADLY, 3]);
}

/// Guards against parts that are blocked because engines lose power together.
#[test]
fn engines_that_crash_at_the_same_time_are_one_crash() {
    let mut evidence = Evidence::default();
    for engine in 0..6 {
        crash(&mut evidence, 1_000 + engine, engine, &[FIRST]);
    }
    assert_eq!(condemned(&mut evidence, 5_000), NONE);
    assert_eq!(evidence.watched(), NONE);
}

/// Guards against parts that are in use and stand in many crashes by chance.
#[test]
fn a_part_from_which_an_engine_generates_afterwards_is_cleared() {
    let mut evidence = Evidence::default();
    for round in 0..20 {
        let at_ms = 1_000 + round * 1_000;
        crash(&mut evidence, at_ms, round, &[FIRST]);
        sound(&mut evidence, at_ms + 400, FIRST, at_ms + 300);
        // The report of the crash arrives again.
        crash(&mut evidence, at_ms + 250, round, &[FIRST]);
        assert_eq!(condemned(&mut evidence, at_ms + 900), NONE);
    }
}

/// Guards against a report that counts again each time that it is passed on.
#[test]
fn a_report_that_arrives_again_counts_once() {
    let mut evidence = Evidence::default();
    for _ in 0..5 {
        crash(&mut evidence, 1_000, 1, &[DEADLY]);
        crash(&mut evidence, 1_200, 1, &[DEADLY]);
        crash(&mut evidence, 3_000, 2, &[DEADLY]);
    }
    assert_eq!(condemned(&mut evidence, 6_000), NONE);
    assert_eq!(evidence.watched(), [DEADLY]);
}

/// Guards against requests with ever new parts that push out what is known.
#[test]
fn new_parts_do_not_push_out_suspected_ones() {
    let mut evidence = Evidence::default();
    for (engine, at_ms) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        crash(&mut evidence, at_ms, engine, &[DEADLY]);
    }
    for flood in 0..100 {
        let keys: Vec<u64> = (0..100).map(|key| 1_000 + flood * 100 + key).collect();
        crash(&mut evidence, 3_000, 100 + flood, &keys);
    }
    assert_eq!(condemned(&mut evidence, 5_000), [DEADLY]);
}
