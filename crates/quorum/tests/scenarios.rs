//! Scripted failures of a cluster.

mod support;

use quorum::{Input, ReplicaId};
use support::{
    Cluster, ELECTION_MAX_MS, ELECTION_MIN_MS, HEARTBEAT_MS, SETTLE_MS, TICK_MS, name, seeds,
};

const SEEDS: u64 = 20;

/// Longest virtual time until a replica with an empty disk is a voter again.
const REPAIR_MS: u64 = 10_000;

fn followers(cluster: &Cluster, leader: usize) -> Vec<usize> {
    (0..cluster.nodes.len())
        .filter(|node| *node != leader)
        .collect()
}

fn commit_entries(cluster: &mut Cluster, count: u64) {
    for _ in 0..count {
        cluster.propose_everywhere();
        cluster.run(TICK_MS);
    }
}

/// Guards against a set that counts a lost disk: after the repair of one voter, the cluster bears the loss of any other
/// one at once, also before the followers know that the promotion has committed.
#[test]
fn second_voter_is_lost_right_after_a_repair() {
    seeds::check(
        "second_voter_is_lost_right_after_a_repair",
        SEEDS,
        0,
        |seed| {
            for second in 0..2 {
                let mut cluster = Cluster::formed(seed, 3);
                commit_entries(&mut cluster, 60);
                let leader = cluster.leader().expect("formed");
                let wiped = followers(&cluster, leader)[0];
                cluster.wipe(wiped);
                cluster.run(2000);
                cluster.start(wiped);
                let id = cluster.nodes[wiped].id.clone();
                let promoted = |cluster: &Cluster| {
                    let status = cluster
                        .leader()
                        .map(|leader| cluster.nodes[leader].status());
                    status.is_some_and(|status| {
                        status.members.is_voter(&id) && status.members.index <= status.commit_index
                    })
                };
                assert!(
                    cluster.run_until(REPAIR_MS, promoted),
                    "seed {seed}: {}",
                    cluster.describe()
                );
                let leader = cluster.leader().expect("just promoted a voter");
                // Either the leader or the other follower is lost.
                let other = followers(&cluster, leader)
                    .into_iter()
                    .find(|node| *node != wiped);
                let lost = if second == 0 {
                    leader
                } else {
                    other.expect("three nodes")
                };
                cluster.crash(lost);
                assert!(
                    cluster.commits_within(SETTLE_MS),
                    "seed {seed}: {}",
                    cluster.describe()
                );
                // The lost one comes back without its disk and is repaired too.
                cluster.wipe(lost);
                cluster.start(lost);
                assert!(
                    cluster.run_until(REPAIR_MS, Cluster::is_whole),
                    "seed {seed}: {}",
                    cluster.describe()
                );
            }
        },
    );
}

/// Guards against a leader that goes on after a silent cut, and against a cut that stops the others.
#[test]
fn silent_cut_of_the_leader_deposes_it() {
    seeds::check("silent_cut_of_the_leader_deposes_it", SEEDS, 0, |seed| {
        let mut cluster = Cluster::formed(seed, 3);
        commit_entries(&mut cluster, 10);
        let leader = cluster.leader().expect("formed");
        cluster.network.isolate(leader, 3);
        let cut_ms = cluster.now_ms;
        cluster.read(leader);
        cluster.propose(leader);
        cluster.run_until(SETTLE_MS, |cluster| !cluster.nodes[leader].is_leader());
        let took_ms = cluster.now_ms - cut_ms;
        let limit_ms = ELECTION_MIN_MS + HEARTBEAT_MS + 2 * TICK_MS;
        assert!(
            took_ms <= limit_ms,
            "seed {seed}: stepped down after {took_ms} ms"
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
        cluster.heal();
        let target = cluster.checks.last_applied();
        let caught_up = |cluster: &Cluster| cluster.applied_index(leader) >= target;
        assert!(
            cluster.run_until(SETTLE_MS, caught_up),
            "seed {seed}: {}",
            cluster.describe()
        );
    });
}

/// Guards against a voter that raises its term while it is cut off and deposes a healthy leader when it returns.
#[test]
fn returning_replica_does_not_disturb_the_leader() {
    seeds::check(
        "returning_replica_does_not_disturb_the_leader",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::formed(seed, 3);
            commit_entries(&mut cluster, 10);
            let leader = cluster.leader().expect("formed");
            let term = cluster.nodes[leader].status().term;
            let returning = followers(&cluster, leader)[1];
            cluster.network.isolate(returning, 3);
            cluster.run(10 * ELECTION_MAX_MS);
            commit_entries(&mut cluster, 5);
            cluster.heal();
            let deposed = |cluster: &Cluster| cluster.nodes[leader].status().term != term;
            assert!(
                !cluster.run_until(SETTLE_MS, deposed),
                "seed {seed}: {}",
                cluster.describe()
            );
            assert!(cluster.nodes[leader].is_leader(), "seed {seed}");
        },
    );
}

/// Guards against a voter that is cut off from the leader only and gets another one elected by asking again and again.
#[test]
fn replica_cut_from_the_leader_only_does_not_depose_it() {
    seeds::check(
        "replica_cut_from_the_leader_only_does_not_depose_it",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::formed(seed, 3);
            let leader = cluster.leader().expect("formed");
            let cut = followers(&cluster, leader)[0];
            cluster.network.cut.insert((leader, cut));
            cluster.network.cut.insert((cut, leader));
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

/// Guards against a state that differs after a restart of all replicas from snapshots and logs.
#[test]
fn all_restart_after_hundreds_of_entries() {
    seeds::check("all_restart_after_hundreds_of_entries", 4, 0, |seed| {
        let mut cluster = Cluster::formed(seed, 3);
        cluster.padding_bytes = 200_000;
        commit_entries(&mut cluster, 400);
        let acknowledged = cluster.checks.acknowledged_index;
        assert!(
            acknowledged >= 300,
            "seed {seed}: only {acknowledged} entries"
        );
        for node in 0..3 {
            cluster.crash(node);
        }
        cluster.start_all();
        for node in &cluster.nodes {
            assert_eq!(node.restores, 1, "seed {seed}: no snapshot was restored");
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

/// Guards against a snapshot that does not arrive in several chunks over a lossy network.
#[test]
fn lagging_replica_receives_a_snapshot_in_chunks() {
    seeds::check(
        "lagging_replica_receives_a_snapshot_in_chunks",
        4,
        0,
        |seed| {
            let mut cluster = Cluster::formed(seed, 3);
            cluster.padding_bytes = 500_000;
            let leader = cluster.leader().expect("formed");
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
                "seed {seed}: no snapshot was sent"
            );
        },
    );
}

/// Guards against a log that is founded before every initial voter has answered.
#[test]
fn formation_waits_for_every_initial_voter() {
    seeds::check(
        "formation_waits_for_every_initial_voter",
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
                    "seed {seed}: founded without all voters"
                );
            }
            cluster.start(1);
            let is_whole = cluster.run_until(SETTLE_MS, Cluster::is_whole);
            assert!(is_whole, "seed {seed}: {}", cluster.describe());
        },
    );
}

/// Guards against a second log: the founder loses its disk right after founding, at any point of the exchange.
#[test]
fn founder_is_wiped_while_it_founds() {
    seeds::check("founder_is_wiped_while_it_founds", 100, 0, |seed| {
        let mut cluster = Cluster::new(seed, 3, 0);
        cluster.network.max_delay_ms = 200;
        cluster.network.duplicate_percent = 30;
        cluster.start_all();
        cluster.run(20 * (seed % 100));
        cluster.wipe(0);
        cluster.run(20 * (seed % 7));
        cluster.start(0);
        let is_whole = cluster.run_until(60_000, Cluster::is_whole);
        assert!(is_whole, "seed {seed}: {}", cluster.describe());
        assert!(
            cluster.commits_within(SETTLE_MS),
            "seed {seed}: {}",
            cluster.describe()
        );
    });
}

/// Guards against a replica that votes or counts before its log has caught up.
#[test]
fn learner_is_promoted_only_after_it_has_caught_up() {
    seeds::check(
        "learner_is_promoted_only_after_it_has_caught_up",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::formed(seed, 3);
            commit_entries(&mut cluster, 100);
            let leader = cluster.leader().expect("formed");
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
            // Its answers are lost, so that the leader knows nothing of its log.
            for node in followers(&cluster, wiped) {
                cluster.network.cut.insert((wiped, node));
            }
            cluster.run(SETTLE_MS);
            assert!(
                is_learner(&cluster),
                "seed {seed}: promoted without answers"
            );
            assert!(
                cluster.commits_within(SETTLE_MS),
                "seed {seed}: a learner counts"
            );
            cluster.heal();
            let is_whole = cluster.run_until(REPAIR_MS, Cluster::is_whole);
            assert!(is_whole, "seed {seed}: {}", cluster.describe());
        },
    );
}

/// Guards against a delayed request of an identity that is gone: it must not remove the one that took its place.
#[test]
fn delayed_join_of_a_former_identity_has_no_effect() {
    seeds::check(
        "delayed_join_of_a_former_identity_has_no_effect",
        SEEDS,
        0,
        |seed| {
            let mut cluster = Cluster::formed(seed, 3);
            commit_entries(&mut cluster, 10);
            let leader = cluster.leader().expect("formed");
            let wiped = followers(&cluster, leader)[0];
            let former = cluster.nodes[wiped].id.clone();
            cluster.wipe(wiped);
            cluster.start(wiped);
            assert!(
                cluster.run_until(REPAIR_MS, Cluster::is_whole),
                "seed {seed}"
            );
            let whole = cluster.members(leader);
            for members_index in 0..whole.index {
                let message = quorum::Message::Join {
                    formed: true,
                    members_index,
                };
                let from = former.clone();
                cluster.input(leader, Input::Receive { from, message });
                cluster.run(TICK_MS);
            }
            assert_eq!(cluster.members(leader), whole, "seed {seed}");
        },
    );
}

/// Guards against an instance that lets itself in, and against a replacement that lowers the number of voters on its way.
#[test]
fn only_an_operator_adds_an_instance() {
    seeds::check("only_an_operator_adds_an_instance", SEEDS, 0, |seed| {
        let mut cluster = Cluster::new(seed, 3, 1);
        cluster.start_all();
        cluster.run(SETTLE_MS);
        assert!(cluster.is_whole(), "seed {seed}: {}", cluster.describe());
        let leader = cluster.leader().expect("formed");
        let old = (seed % 3) as usize;
        let token = cluster.token();
        let (old_name, new_name) = (name(old), name(3));
        let replace = Input::ReplaceVoter {
            token,
            old: old_name,
            new: new_name,
        };
        cluster.input(leader, replace);
        let replacement = cluster.nodes[3].id.clone();
        let former = cluster.nodes[old].id.clone();
        let is_replaced = |cluster: &Cluster| {
            let sets = followers(cluster, old);
            let mut sets = sets.into_iter().map(|node| cluster.members(node));
            sets.all(|set| {
                assert!(set.voters.len() >= 3, "too few voters");
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

/// Guards against a vote, a pre-vote or a promise under an identity whose disk is gone.
#[test]
fn wiped_voter_does_not_answer_for_its_former_identity() {
    let mut cluster = Cluster::formed(1, 3);
    let leader = cluster.leader().expect("formed");
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
        "the request changed the replica"
    );
}
