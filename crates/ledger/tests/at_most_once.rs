//! Property tests of the ledger under reordered, repeated and delayed commands.

use std::collections::{BTreeMap, BTreeSet};

use ledger::{Answer, AttemptId, Begin, BeginReply, Finish, Key, Ledger, Outcome, RecordState};
use quickcheck::{Arbitrary, Gen};

const RETENTION_MS: u64 = 100_000;
const ANSWER_TIMEOUT_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Step {
    Begin { key: u8, instance: u8, body: u8 },
    RepeatBegin { earlier: usize },
    Finish { earlier: usize, outcome: u8 },
    Wait { elapsed_ms: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = u8::arbitrary(g);
        match u8::arbitrary(g) % 4 {
            0 => Step::Begin {
                key: byte % 3,
                instance: u8::arbitrary(g) % 3,
                body: u8::from(byte > 240),
            },
            1 => Step::RepeatBegin {
                earlier: usize::arbitrary(g),
            },
            2 => Step::Finish {
                earlier: usize::arbitrary(g),
                outcome: byte % 3,
            },
            _ => Step::Wait { elapsed_ms: byte },
        }
    }
}

fn key(number: u8) -> Key {
    Key {
        client_account: "parish".into(),
        key: format!("swap-{number}").into(),
    }
}

fn begin(number: u8, instance: u8, body: u8, sequence: u64) -> Begin {
    Begin {
        key: key(number),
        body_sha256: [body; 32],
        attempt: AttemptId {
            instance: format!("entry-{instance}").into(),
            incarnation: 1,
            sequence,
        },
        answer_timeout_ms: ANSWER_TIMEOUT_MS,
        retention_ms: RETENTION_MS,
    }
}

fn outcome(kind: u8) -> Outcome {
    match kind {
        0 => Outcome::Answered(Answer {
            status: 200,
            ..Answer::default()
        }),
        1 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}

seeded::quickcheck! {
    /// Guards against running a request twice: no attempt is granted while an earlier granted attempt has not reported
    /// that it did not run the request.
    fn at_most_one_attempt_may_have_run(steps: Vec<Step>) -> bool {
        let mut ledger = Ledger::default();
        let mut at_ms = 0;
        let mut begins: Vec<Begin> = Vec::new();
        let mut may_have_run: BTreeMap<Key, BTreeSet<AttemptId>> = BTreeMap::new();
        let mut reported: BTreeSet<AttemptId> = BTreeSet::new();
        for step in steps {
            let begin = match step {
                Step::Begin { key, instance, body } => {
                    begins.push(begin(key, instance, body, begins.len() as u64));
                    begins.last().cloned()
                }
                Step::RepeatBegin { earlier } if !begins.is_empty() => {
                    Some(begins[earlier % begins.len()].clone())
                }
                Step::Finish { earlier, outcome: kind } if !begins.is_empty() => {
                    let begin = &begins[earlier % begins.len()];
                    // An attempt reports its outcome once.
                    if reported.insert(begin.attempt.clone()) {
                        let outcome = outcome(kind);
                        if outcome == Outcome::NotRun
                            && let Some(attempts) = may_have_run.get_mut(&begin.key)
                        {
                            attempts.remove(&begin.attempt);
                        }
                        let finish = Finish { key: begin.key.clone(), attempt: begin.attempt.clone(), outcome };
                        ledger.finish(at_ms, &finish);
                    }
                    None
                }
                Step::Wait { elapsed_ms } => {
                    at_ms += u64::from(elapsed_ms);
                    ledger.advance(at_ms);
                    None
                }
                _ => None,
            };
            let Some(begin) = begin else { continue };
            // A reply to a repeated `Begin` of an ended attempt reaches no process that would run the request.
            let is_live = !reported.contains(&begin.attempt);
            if ledger.begin(at_ms, &begin) == BeginReply::Granted && is_live {
                let attempts = may_have_run.entry(begin.key.clone()).or_default();
                attempts.insert(begin.attempt.clone());
                if attempts.len() > 1 {
                    return false;
                }
            }
        }
        true
    }

    /// Guards against deadline indexes that differ from the records after a snapshot is restored.
    fn a_rebuilt_ledger_is_equal(steps: Vec<(u8, u8)>) -> bool {
        let mut ledger = Ledger::default();
        for (sequence, (number, elapsed_ms)) in steps.iter().enumerate() {
            let begin = begin(number % 8, 0, 0, sequence as u64);
            ledger.begin(u64::from(*elapsed_ms), &begin);
            if number % 3 == 0 {
                let finish = Finish { key: begin.key, attempt: begin.attempt, outcome: outcome(number % 2) };
                ledger.finish(u64::from(*elapsed_ms), &finish);
            }
        }
        let records: Vec<_> = ledger.records().map(|(k, r)| (k.clone(), r.clone())).collect();
        let rebuilt = Ledger::from_records(records);
        rebuilt.records().eq(ledger.records())
            && rebuilt.next_deadline_ms() == ledger.next_deadline_ms()
    }
}

/// Guards against a retry that runs a request again after its instance crashed without reporting an outcome.
#[test]
fn a_record_without_an_outcome_becomes_unknown() {
    let mut ledger = Ledger::default();
    assert_eq!(ledger.begin(0, &begin(1, 0, 0, 0)), BeginReply::Granted);
    assert_eq!(ledger.begin(49, &begin(1, 1, 0, 1)), BeginReply::Running);
    assert_eq!(ledger.begin(50, &begin(1, 1, 0, 2)), BeginReply::Unknown);
}

/// Guards against one key being used for two different requests.
#[test]
fn another_body_under_the_same_key_is_refused() {
    let mut ledger = Ledger::default();
    ledger.begin(0, &begin(1, 0, 0, 0));
    assert_eq!(
        ledger.begin(1, &begin(1, 0, 9, 1)),
        BeginReply::BodyMismatch
    );
}

/// Guards against losing an answer that the record's own attempt reports after the record has changed to `Unknown`.
#[test]
fn a_late_answer_of_the_same_attempt_is_recorded() {
    let mut ledger = Ledger::default();
    let first = begin(1, 0, 0, 0);
    ledger.begin(0, &first);
    ledger.advance(60);
    let finish = Finish {
        key: first.key.clone(),
        attempt: first.attempt,
        outcome: outcome(0),
    };
    assert!(ledger.finish(70, &finish));
    let state = &ledger.get(&first.key).expect("record exists").state;
    assert!(matches!(state, RecordState::Answered(_)));
}

/// Guards against records that are kept forever or are removed while their attempt may still run.
#[test]
fn records_expire_after_their_retention() {
    let mut ledger = Ledger::default();
    let without_retention = Begin {
        retention_ms: 0,
        ..begin(1, 0, 0, 0)
    };
    ledger.begin(0, &without_retention);
    ledger.advance(ANSWER_TIMEOUT_MS);
    assert_eq!(ledger.len(), 1);
    ledger.advance(ANSWER_TIMEOUT_MS + 1);
    assert!(ledger.is_empty());
}
