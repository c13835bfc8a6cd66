//! The right of the leader to act outside the log, and the entries of the log.

use bytes::Bytes;
use gateway::command::{Command, decode_snapshot, encode_snapshot};
use gateway::lease::{LeaderLease, Subject};

const LEASE_MS: u64 = 3_000;

/// Guards against two holders: what a leader may still send must end long before its successor, however early that is
/// elected, may send anything.
#[test]
fn a_successor_acts_only_after_everything_of_its_predecessor() {
    let (mut old, mut new) = (LeaderLease::new(LEASE_MS), LeaderLease::new(LEASE_MS));
    assert!(old.observe(0, Some(7)));
    assert_eq!(old.permit(LEASE_MS, Subject::Usage), None);
    let last = old
        .permit(60_000, Subject::Usage)
        .expect("the hold-off is over");
    assert_eq!(last.term, 7);
    // The successor is elected at the moment of the last decision.
    new.observe(60_000, Some(8));
    let first_ms = (60_000..).find(|now_ms| new.permit(*now_ms, Subject::Usage).is_some());
    let first_ms = first_ms.expect("the hold-off ends");
    assert!(first_ms >= last.valid_until_ms + LEASE_MS / 2, "{first_ms}");
    // The predecessor returns in a later term and waits again, so that no two terms alternate within the lease.
    old.observe(60_100, None);
    assert_eq!(old.permit(70_000, Subject::Usage), None);
    assert!(old.observe(70_000, Some(9)));
    assert_eq!(old.permit(70_000 + LEASE_MS, Subject::Usage), None);
}

/// Guards against a leader that goes on after another one has acted, and against one matter that stops the others.
#[test]
fn a_fenced_subject_rests_until_the_next_term() {
    let mut lease = LeaderLease::new(LEASE_MS);
    lease.observe(0, Some(7));
    lease.on_fenced(Subject::Usage, 7);
    lease.on_fenced(Subject::Usage, 6);
    assert_eq!(lease.permit(10_000, Subject::Usage), None);
    assert!(lease.permit(10_000, Subject::EngineRoles).is_some());
    lease.observe(10_000, Some(8));
    assert!(lease.permit(20_000, Subject::Usage).is_some());
}

/// Guards against snapshots that lose a part of the state, against entries of earlier versions that become unreadable, and
/// against malformed ones that are read as something else.
#[test]
fn entries_and_snapshots_are_read_as_written() {
    let document = Command::Document {
        version: 4,
        document: Bytes::from_static(b"text"),
    };
    let largest = Command::Document {
        version: u64::MAX,
        document: Bytes::from_static(b"text"),
    };
    let commit = Command::CommitUsage {
        window: 9,
        counts: [("a".into(), 3), ("b".into(), u64::MAX)].into(),
        accepted: vec![7, 8],
    };
    let usage = Command::UsageState {
        next_window: 10,
        pending: vec![(9, [("a".into(), 3)].into()), (8, [].into())],
    };
    for command in [&document, &commit, &usage] {
        let encoded = command.encode();
        assert_eq!(Command::decode(encoded.clone()).as_ref(), Some(command));
        for length in 0..encoded.len() {
            let cut = Command::decode(encoded.slice(..length));
            assert!(cut.is_none() || matches!(cut, Some(Command::Document { version: 4, .. })));
        }
    }
    for state in [
        vec![document.clone(), usage.clone()],
        vec![largest.clone(), usage],
        vec![largest],
    ] {
        assert_eq!(decode_snapshot(encode_snapshot(&state)), Some(state));
    }
    let earlier = Bytes::from_static(b"\x04\0\0\0\0\0\0\0text");
    assert_eq!(document.encode(), earlier);
    assert_eq!(decode_snapshot(earlier), Some(vec![document]));
    assert_eq!(decode_snapshot(Bytes::new()), Some(Vec::new()));
}
