//! Scripted failures of a cluster.

mod support;

use quorum::{Input, ReplicaId};
use support::{
    Cluster, ELECTION_MAX_MS, ELECTION_MIN_MS, HEARTBEAT_MS, SETTLE_MS, TICK_MS, instance_name,
    seeds,
};

const SEEDS: u64 = 20;

/// Longest virtual time until a replica with an empty disk has become a voter again, in milliseconds.
const REPAIR_MS: u64 = 10_000;

fn followers(cluster: &Cluster, leader: usize) -> Vec<usize> {
    (0..cluster.nodes.len())
        .filter(|node| *node != leader)
        .collect()
}

fn commit_entries(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        cluster.propose_on_leaders();
        cluster.run(TICK_MS);
    }
}

/// Guards against a member set that still counts a lost disk. After the repair of one voter, the cluster must tolerate
/// the immediate loss of any other voter, even before the followers know that the promotion is committed.
#[test]
fn second_voter_is_lost_right_after_a_repair() {
    seeds::check(
        "second_voter_is_lost_right_after_a_repair",
        SEEDS,
        0,
        |seed| {
            for lost_role in 0..2 {
                let mut cluster = Cluster::with_leader(seed, 3);
                commit_entries(&mut cluster, 60);
                let leader = cluster.leader().expect("the cluster has a leader");
                let wiped = followers(&cluster, leader)[0];
                cluster.wipe(wiped);
                cluster.run(2000);
                cluster.start(wiped);
                let id = cluster.nodes[wiped].id.clone();
                let is_promoted = |cluster: &Cluster| {
                    let status = cluster
                        .leader()
                        .map(|leader| cluster.nodes[leader].status());
                    status.is_some_and(|status| {
                        status.members.is_voter(&id) && status.members.index <= status.commit_index
                    })
                };
                assert!(
                    cluster.run_until(REPAIR_MS, is_promoted),
                    "seed {seed}: {}",
                    cluster.describe()
                );
                let leader = cluster
                    .leader()
                    .expect("a leader has just promoted the voter");
                // The leader is lost in the first run, the other follower in the second.
                let other = followers(&cluster, leader)
                    .into_iter()
                    .find(|node| *node != wiped);
                let lost = if lost_role == 0 {
                    leader
                } else {
                    other.expect("the cluster has three nodes")
                };
                cluster.crash(lost);
                assert!(
                    cluster.commits_within(SETTLE_MS),
                    "seed {seed}: {}",
                    cluster.describe()
                );
                // The lost voter restarts with an empty disk and is repaired too.
                cluster.wipe(lost);
                cluster.start(lost);
                assert!(
                    cluster.run_until(REPAIR_MS, Cluster::has_expected_members),
                    "seed {seed}: {}",
                    cluster.describe()
                );
            }
        },
    );
}

/// Guards against a leader that keeps its role after a network partition that raises no errors, and against a partition
/// that also stops the other replicas.
#[test]
fn isolated_leader_steps_down() {
    seeds::check("isolated_leader_steps_down", SEEDS, 0, |seed| {
        let mut cluster = Cluster::with_leader(seed, 3);
        commit_entries(&mut cluster, 10);
        let leader = cluster.leader().expect("the cluster has a leader");
        cluster.network.isolate(leader, 3);
        let cut_ms = cluster.now_ms;
        cluster.read(leader);
        cluster.propose(leader);
        cluster.run_until(SETTLE_MS, |cluster| !cluster.nodes[leader].is_leader());
        let took_ms = cluster.now_ms - cut_ms;
        let limit_ms = ELECTION_MIN_MS + HEARTBEAT_MS + 2 * TICK_MS;
        assert!(
            took_ms <= limit_ms,
            "seed {seed}: the leader stepped down only after {took_ms} ms"
        );
        assert_eq!(
            cluster.nodes[leader].reads_refused, 1,
            "seed {seed}: the read was not refused"
        );
        assert_eq!(cluster.nodes[leader].reads_ready, 0, "seed {seed}");
        assert!(
            cluster.commits_within(SETTLE_MS),
            "seed {seed}: {}",
            cluster.describe()
        );
        cluster.clear_faults();
        let target = cluster.checks.last_applied();
        let caught_up = |cluster: &Cluster| cluster.applied_index(leader) >= target;
        assert!(
            cluster.run_until(SETTLE_MS, caught_up),
            "seed {seed}: {}",
            cluster.describe()
        );
    });
}

/// Guards against a voter that raises its term while it is isolated and deposes a healthy leader once it is
/// reconnected.
#[test]
fn returning_replica_does_not_disturb_the_leader() {
    seeds::check(
        "returning_replica_does_not_disturb_the_leader",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::with_leader(seed, 3);
            commit_entries(&mut cluster, 10);
            let leader = cluster.leader().expect("the cluster has a leader");
            let term = cluster.nodes[leader].status().term;
            let returning = followers(&cluster, leader)[1];
            cluster.network.isolate(returning, 3);
            cluster.run(10 * ELECTION_MAX_MS);
            commit_entries(&mut cluster, 5);
            cluster.clear_faults();
            let is_deposed = |cluster: &Cluster| cluster.nodes[leader].status().term != term;
            assert!(
                !cluster.run_until(SETTLE_MS, is_deposed),
                "seed {seed}: {}",
                cluster.describe()
            );
            assert!(cluster.nodes[leader].is_leader(), "seed {seed}");
        },
    );
}

/// Guards against a voter that is disconnected only from the leader and that causes another election by repeated vote
/// requests.
#[test]
fn replica_cut_from_the_leader_only_does_not_depose_it() {
    seeds::check(
        "replica_cut_from_the_leader_only_does_not_depose_it",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::with_leader(seed, 3);
            let leader = cluster.leader().expect("the cluster has a leader");
            let cut = followers(&cluster, leader)[0];
            cluster.network.cut_links.insert((leader, cut));
            cluster.network.cut_links.insert((cut, leader));
            let term = cluster.nodes[leader].status().term;
            cluster.run(10 * ELECTION_MAX_MS);
            assert!(
                cluster.nodes[leader].is_leader(),
                "seed {seed}: {}",
                cluster.describe()
            );
            assert_eq!(cluster.nodes[leader].status().term, term, "seed {seed}");
        },
    );
}

/// Guards against replicas whose states differ after all of them have restarted from snapshots and logs.
#[test]
fn all_restart_after_hundreds_of_entries() {
    seeds::check("all_restart_after_hundreds_of_entries", 4, 0, |seed| {
        let mut cluster = Cluster::with_leader(seed, 3);
        cluster.padding_bytes = 200_000;
        commit_entries(&mut cluster, 400);
        let acknowledged = cluster.checks.acknowledged_index;
        assert!(
            acknowledged >= 300,
            "seed {seed}: only the entries up to index {acknowledged} were acknowledged"
        );
        for node in 0..3 {
            cluster.crash(node);
        }
        cluster.start_all();
        for node in &cluster.nodes {
            assert_eq!(
                node.restores, 1,
                "seed {seed}: a replica restored no snapshot"
            );
        }
        assert!(
            cluster.commits_within(SETTLE_MS),
            "seed {seed}: {}",
            cluster.describe()
        );
        cluster.run(SETTLE_MS);
        for node in 0..3 {
            assert!(cluster.applied_index(node) > acknowledged, "seed {seed}");
        }
    });
}

/// Guards against a snapshot transfer in several chunks that does not complete over a lossy network.
#[test]
fn lagging_replica_receives_a_snapshot_in_chunks() {
    seeds::check(
        "lagging_replica_receives_a_snapshot_in_chunks",
        4,
        0,
        |seed| {
            let mut cluster = Cluster::with_leader(seed, 3);
            cluster.padding_bytes = 500_000;
            let leader = cluster.leader().expect("the cluster has a leader");
            let lagging = followers(&cluster, leader)[0];
            cluster.crash(lagging);
            commit_entries(&mut cluster, 300);
            cluster.network.loss_percent = 10;
            cluster.start(lagging);
            let target = cluster.checks.last_applied();
            let caught_up = |cluster: &Cluster| cluster.applied_index(lagging) >= target;
            assert!(
                cluster.run_until(SETTLE_MS, caught_up),
                "seed {seed}: {}",
                cluster.describe()
            );
            assert!(
                cluster.nodes[lagging].restores > 0,
                "seed {seed}: the lagging replica restored no snapshot"
            );
        },
    );
}

/// Guards against a log that is bootstrapped before every initial voter has replied.
#[test]
fn bootstrap_waits_for_every_initial_voter() {
    seeds::check(
        "bootstrap_waits_for_every_initial_voter",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::new(seed, 3, 0);
            cluster.start(0);
            cluster.start(2);
            cluster.run(SETTLE_MS);
            for node in &cluster.nodes {
                assert_eq!(
                    node.status().last_index,
                    0,
                    "seed {seed}: the log was bootstrapped without all voters"
                );
            }
            cluster.start(1);
            let has_expected_members = cluster.run_until(SETTLE_MS, Cluster::has_expected_members);
            assert!(has_expected_members, "seed {seed}: {}", cluster.describe());
        },
    );
}

/// Guards against the bootstrap of a second log. The voter that bootstraps the log loses its disk at an arbitrary point
/// during or shortly after the bootstrap.
#[test]
fn bootstrapping_voter_is_wiped() {
    seeds::check("bootstrapping_voter_is_wiped", 100, 0, |seed| {
        let mut cluster = Cluster::new(seed, 3, 0);
        cluster.network.max_delay_ms = 200;
        cluster.network.duplicate_percent = 30;
        cluster.start_all();
        cluster.run(20 * (seed % 100));
        cluster.wipe(0);
        cluster.run(20 * (seed % 7));
        cluster.start(0);
        let has_expected_members = cluster.run_until(60_000, Cluster::has_expected_members);
        assert!(has_expected_members, "seed {seed}: {}", cluster.describe());
        assert!(
            cluster.commits_within(SETTLE_MS),
            "seed {seed}: {}",
            cluster.describe()
        );
    });
}

/// Guards against a replica that counts as a voter before its log has caught up.
#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    seeds::check(
        "learner_is_promoted_only_after_it_has_caught_up",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::with_leader(seed, 3);
            commit_entries(&mut cluster, 100);
            let leader = cluster.leader().expect("the cluster has a leader");
            let wiped = followers(&cluster, leader)[0];
            cluster.wipe(wiped);
            cluster.start(wiped);
            let id = cluster.nodes[wiped].id.clone();
            let is_learner = |cluster: &Cluster| cluster.members(leader).learners.contains(&id);
            assert!(
                cluster.run_until(REPAIR_MS, is_learner),
                "seed {seed}: {}",
                cluster.describe()
            );
            // The wiped replica's replies are lost, so that the leader does not know the state of that replica's log.
            for node in followers(&cluster, wiped) {
                cluster.network.cut_links.insert((wiped, node));
            }
            cluster.run(SETTLE_MS);
            assert!(
                is_learner(&cluster),
                "seed {seed}: the learner was promoted without replies"
            );
            assert!(
                cluster.commits_within(SETTLE_MS),
                "seed {seed}: no proposal was committed without the learner"
            );
            cluster.clear_faults();
            let has_expected_members = cluster.run_until(REPAIR_MS, Cluster::has_expected_members);
            assert!(has_expected_members, "seed {seed}: {}", cluster.describe());
        },
    );
}

/// Guards against a delayed join request of a former identity that removes the identity which has replaced it.
#[test]
fn delayed_join_of_a_former_identity_has_no_effect() {
    seeds::check(
        "delayed_join_of_a_former_identity_has_no_effect",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::with_leader(seed, 3);
            commit_entries(&mut cluster, 10);
            let leader = cluster.leader().expect("the cluster has a leader");
            let wiped = followers(&cluster, leader)[0];
            let former = cluster.nodes[wiped].id.clone();
            cluster.wipe(wiped);
            cluster.start(wiped);
            assert!(
                cluster.run_until(REPAIR_MS, Cluster::has_expected_members),
                "seed {seed}"
            );
            let expected_members = cluster.members(leader);
            for members_index in 0..expected_members.index {
                let message = quorum::Message::Join {
                    formed: true,
                    members_index,
                    initial: false,
                };
                let from = former.clone();
                cluster.input(leader, Input::Receive { from, message });
                cluster.run(TICK_MS);
            }
            assert_eq!(cluster.members(leader), expected_members, "seed {seed}");
        },
    );
}

/// Guards against an instance that joins without an operator's request, and against a replacement that temporarily
/// lowers the number of voters.
#[test]
fn only_an_operator_adds_an_instance() {
    seeds::check("only_an_operator_adds_an_instance", SEEDS, 0, |seed| {
        let mut cluster = Cluster::new(seed, 3, 1);
        cluster.start_all();
        cluster.run(SETTLE_MS);
        assert!(
            cluster.has_expected_members(),
            "seed {seed}: {}",
            cluster.describe()
        );
        let leader = cluster.leader().expect("the cluster has a leader");
        let old = (seed % 3) as usize;
        let token = cluster.token();
        let (old_name, new_name) = (instance_name(old), instance_name(3));
        let replacement_request = Input::ReplaceVoter {
            token,
            old: old_name,
            new: new_name,
            superseded: Vec::new(),
        };
        cluster.input(leader, replacement_request);
        let replacement = cluster.nodes[3].id.clone();
        let former = cluster.nodes[old].id.clone();
        let is_replaced = |cluster: &Cluster| {
            let sets = followers(cluster, old);
            let mut sets = sets.into_iter().map(|node| cluster.members(node));
            sets.all(|set| {
                assert!(
                    set.voters.len() >= 3,
                    "the member set has fewer than three voters"
                );
                set.is_voter(&replacement) && !set.contains(&former)
            })
        };
        assert!(
            cluster.run_until(SETTLE_MS, is_replaced),
            "seed {seed}: {}",
            cluster.describe()
        );
        cluster.crash(old);
        assert!(
            cluster.commits_within(SETTLE_MS),
            "seed {seed}: {}",
            cluster.describe()
        );
    });
}

/// Guards against a vote under an identity whose disk is lost.
#[test]
fn wiped_voter_does_not_answer_for_its_former_identity() {
    let mut cluster = Cluster::with_leader(1, 3);
    let leader = cluster.leader().expect("the cluster has a leader");
    let wiped = followers(&cluster, leader)[0];
    let former: ReplicaId = cluster.nodes[wiped].id.clone();
    cluster.wipe(wiped);
    cluster.start(wiped);
    let candidate = cluster.nodes[leader].id.clone();
    let before = cluster.nodes[wiped].status();
    for voter_storage_id in [former.storage_id, 0] {
        let message = quorum::Message::Vote {
            term: 50,
            last_index: 1000,
            last_term: 49,
            voter_storage_id,
        };
        let from = candidate.clone();
        cluster.input(wiped, Input::Receive { from, message });
    }
    assert_eq!(
        cluster.nodes[wiped].status(),
        before,
        "the vote request changed the replica's status"
    );
}
