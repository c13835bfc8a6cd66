//! Replicas that publish one document, through a small fake of disks and network.

mod support;

use bytes::Bytes;
use fleet::PeerMessage;
use gateway::control::Answer;
use support::Fleet;

/// Guards against a system that waits for an operator to name its voters.
#[test]
fn seeds_form_the_log_and_a_publish_is_acknowledged() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    assert_eq!(
        fleet.publish(5, "five"),
        Some(Answer::Acknowledged { version: 5 })
    );
    fleet.run(1_000);
    assert!(fleet.versions().iter().all(|version| *version == 5));
}

/// Guards against an older or equal version that changes what is in force, or that is refused.
#[test]
fn an_older_or_equal_version_is_acknowledged_and_changes_nothing() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.publish(5, "five");
    assert_eq!(
        fleet.publish(5, "other"),
        Some(Answer::Acknowledged { version: 5 })
    );
    assert_eq!(
        fleet.publish(4, "four"),
        Some(Answer::Acknowledged { version: 4 })
    );
    let expected = Answer::Document {
        version: 5,
        document: Bytes::from("five"),
    };
    assert_eq!(fleet.describe(), Some(expected));
}

/// Guards against the lower of two versions that are proposed at the same time overwriting the higher one.
#[test]
fn of_two_racing_versions_the_higher_one_is_in_force() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.race(&[9, 8]);
    fleet.run(1_000);
    assert_eq!(fleet.versions(), [9, 9, 9]);
}

/// Guards against a read that a cut-off leader answers with an old version.
#[test]
fn a_leader_without_a_majority_answers_no_read() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.publish(5, "five");
    let leader = fleet.leader().expect("three replicas elect a leader");
    fleet.cut(leader);
    let answer = fleet.describe_at(leader);
    assert!(
        !matches!(answer, Some(Answer::Document { .. })),
        "{answer:?}"
    );
}

/// Guards against a loss of what was acknowledged when all replicas are killed at once.
#[test]
fn all_replicas_killed_at_once_lose_nothing() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.publish(7, "seven");
    for index in 0..3 {
        fleet.restart(index);
    }
    fleet.run(3_000);
    let answer = fleet.describe();
    assert!(
        matches!(answer, Some(Answer::Document { version: 7, .. })),
        "{answer:?}"
    );
}

/// Guards against a replica that comes back with an empty disk and founds a second log.
#[test]
fn an_emptied_replica_joins_and_votes_again() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.publish(7, "seven");
    fleet.wipe(0);
    fleet.run(4_000);
    assert_eq!(fleet.versions()[0], 7);
    // The emptied replica counts again: another one may be lost now.
    fleet.cut(1);
    fleet.run(3_000);
    assert_eq!(
        fleet.publish(8, "eight"),
        Some(Answer::Acknowledged { version: 8 })
    );
}

/// Guards against a system of six that survives the loss of only one: voters are added up to the target.
#[test]
fn voters_are_added_until_two_losses_are_survived() {
    let mut fleet = Fleet::new(6, 5);
    fleet.run(8_000);
    fleet.publish(3, "three");
    fleet.cut(0);
    fleet.cut(1);
    fleet.run(4_000);
    assert_eq!(
        fleet.publish(4, "four"),
        Some(Answer::Acknowledged { version: 4 })
    );
}

/// Guards against a voter that is gone for good and keeps its place while another instance could take it.
#[test]
fn a_lost_voter_is_replaced_by_a_new_instance() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    fleet.publish(3, "three");
    fleet.cut(2);
    let new = fleet.add();
    fleet.run(6_000);
    assert_eq!(fleet.versions()[new], 3);
    fleet.cut(0);
    fleet.run(3_000);
    assert_eq!(
        fleet.publish(4, "four"),
        Some(Answer::Acknowledged { version: 4 })
    );
}

/// Guards against a subscriber that gets every version a restarted replica applies, one after the other.
#[test]
fn a_subscriber_gets_the_last_version_once_after_a_restart() {
    let mut fleet = Fleet::new(3, 3);
    fleet.run(3_000);
    for version in 1..=10 {
        fleet.publish(version, "document");
    }
    for index in 0..3 {
        fleet.restart(index);
    }
    fleet.subscribe(0);
    fleet.sent_to_entry.clear();
    fleet.run(2_000);
    let versions: Vec<u64> = fleet
        .sent_to_entry
        .iter()
        .filter_map(|message| match message {
            PeerMessage::WatchReply(reply) => reply.document.as_ref().map(|_| reply.version),
            _ => None,
        })
        .collect();
    assert_eq!(versions, [10]);
}
