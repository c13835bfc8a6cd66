//! Planned stops beside other faults: votes move to other replicas, and no second majority forms.

mod support;

use quorum::Input;
use support::random::Random;
use support::{Cluster, SETTLE_MS, instance_name, seeds};

const VOTERS: usize = 3;
const OTHERS: usize = 2;
/// Time without a message after which a voter is replaced, in milliseconds.
const REPLACE_AFTER_MS: u64 = 2_500;
/// Longest time from the stop signal to the end of a process, in milliseconds.
const GRACE_MS: u64 = 8_000;
const STEP_MS: u64 = 100;
const STEPS: u64 = 400;

/// A replica whose process was told to stop, and when the process is killed.
type Stopping = (usize, u64);

fn stop(cluster: &mut Cluster, stopping: &mut Vec<Stopping>, node: usize) {
    if cluster.nodes[node].replica.is_some() && stopping.iter().all(|(other, _)| *other != node) {
        cluster.input(node, Input::Leave);
        stopping.push((node, cluster.now_ms + GRACE_MS));
    }
}

/// Ends the processes that may stop, and those whose grace period is over.
fn end_stopped(cluster: &mut Cluster, stopping: &mut Vec<Stopping>) {
    stopping.retain(|(node, kill_ms)| {
        let replica = cluster.nodes[*node].replica.as_ref();
        let is_over = replica.is_none_or(quorum::Replica::has_left) || cluster.now_ms >= *kill_ms;
        if is_over {
            cluster.crash(*node);
        }
        !is_over
    });
}

/// Names all instances to each replica, and replaces leaving and silent voters, as the processes do. Voters above the target
/// are added up to `most_voters`, and removed without a replacement.
fn change_voters(cluster: &mut Cluster, most_voters: usize) {
    let instances: Vec<_> = (0..cluster.nodes.len()).map(instance_name).collect();
    for node in 0..cluster.nodes.len() {
        let Some(replica) = cluster.nodes[node].replica.as_mut() else {
            continue;
        };
        replica.set_join_targets(instances.clone());
        replica.set_target_voters(VOTERS);
        let voters = replica.status().members.instances.len();
        let is_settled = replica.has_settled_members();
        let ages = replica.member_activity_ages_ms();
        let silent = ages
            .into_iter()
            .filter(|(_, age_ms)| *age_ms > REPLACE_AFTER_MS);
        let mut gone = replica
            .leavers()
            .into_iter()
            .chain(silent.map(|(instance, _)| instance));
        let mut joiners = replica.join_requests(REPLACE_AFTER_MS).into_iter();
        let change = (gone.next(), joiners.next());
        let token = cluster.token();
        match change {
            (Some(old), Some(request)) => {
                let new = request.instance;
                cluster.input(
                    node,
                    Input::ReplaceVoter {
                        token,
                        old,
                        new,
                        superseded: Vec::new(),
                    },
                );
            }
            (Some(old), None) if voters > VOTERS => {
                cluster.input(node, Input::RemoveVoter { token, old });
            }
            (None, Some(request)) if is_settled && voters < most_voters => {
                let new = request.instance;
                cluster.input(
                    node,
                    Input::AddVoter {
                        token,
                        new,
                        superseded: Vec::new(),
                    },
                );
            }
            _ => {}
        }
    }
}

/// Returns whether a disk can be lost without an acknowledged entry: the committed member set consists of the present
/// identities of running replicas, which have all caught up.
fn is_safe_to_wipe(cluster: &Cluster) -> bool {
    let Some(leader) = cluster.leader() else {
        return false;
    };
    let status = cluster.nodes[leader].status();
    let is_present = |id: &quorum::ReplicaId| {
        let mut nodes = cluster.nodes.iter();
        nodes.any(|node| node.id == *id && node.status().commit_index == status.commit_index)
    };
    let set = &status.members;
    set.index <= status.commit_index
        && set.voters.len() >= VOTERS
        && set.voters.iter().all(is_present)
}

fn check_stops(seed: u64, most_voters: usize) {
    let mut random = Random(seed ^ 0x57_0b);
    let mut cluster = Cluster::new(seed, VOTERS, OTHERS);
    cluster.start_all();
    cluster.run_until(SETTLE_MS, |cluster| cluster.leader().is_some());
    // Replicas that start again know nothing of the initial voters and never form a log.
    cluster.initial_voters = 0;
    let mut stopping = Vec::new();
    for _ in 0..STEPS {
        let node = random.below(cluster.nodes.len() as u64) as usize;
        match random.below(40) {
            0 | 1 => stop(&mut cluster, &mut stopping, node),
            2 => {
                // A second replica stops while the first one still leaves.
                stop(&mut cluster, &mut stopping, node);
                let other = (node + 1) % cluster.nodes.len();
                stop(&mut cluster, &mut stopping, other);
            }
            3 => cluster.pause(node, random.below(4_000)),
            4 => cluster.crash(node),
            5 if is_safe_to_wipe(&cluster) => cluster.wipe(node),
            6 => {
                let nodes = cluster.nodes.len();
                cluster.network.isolate(node, nodes);
            }
            7 | 8 => cluster.network = Default::default(),
            9 | 10 => {
                for node in 0..cluster.nodes.len() {
                    cluster.start(node);
                }
            }
            _ => cluster.propose_on_leaders(),
        }
        cluster.read_on_leaders();
        cluster.run(STEP_MS);
        end_stopped(&mut cluster, &mut stopping);
        change_voters(&mut cluster, most_voters);
    }
    for (node, _) in stopping {
        cluster.crash(node);
    }
    cluster.clear_faults();
    let before = cluster.checks.last_applied();
    let end_ms = cluster.now_ms + 6 * SETTLE_MS;
    let has_all_voters = |cluster: &Cluster| {
        let leader = cluster.leader();
        is_safe_to_wipe(cluster)
            && leader.is_some_and(|leader| cluster.members(leader).voters.len() == most_voters)
    };
    while cluster.now_ms < end_ms && !has_all_voters(&cluster) {
        cluster.run(STEP_MS);
        change_voters(&mut cluster, most_voters);
    }
    assert!(
        has_all_voters(&cluster) && cluster.commits_within(SETTLE_MS),
        "the voters do not commit: {}",
        cluster.describe()
    );
    assert!(
        cluster.checks.last_applied() > before,
        "committed entries were lost"
    );
}

/// Guards against planned stops beside other stops, freezes, crashes, cuts and lost disks that lose committed entries, form
/// a second majority or leave the replicas without one.
#[test]
fn planned_stops_beside_other_faults_lose_nothing() {
    seeds::check(
        "planned_stops_beside_other_faults_lose_nothing",
        30,
        15,
        |seed| check_stops(seed, VOTERS),
    );
}

/// Guards against voters above the target whose removal or return beside stops, freezes, crashes, cuts and lost disks loses
/// committed entries, forms a second majority or leaves the replicas without one.
#[test]
fn voters_above_the_target_come_and_go_beside_faults() {
    seeds::check(
        "voters_above_the_target_come_and_go_beside_faults",
        30,
        15,
        |seed| check_stops(seed, VOTERS + OTHERS),
    );
}

/// Guards against two replicas that stop at the same time and both wait for the same successor, or end with it.
#[test]
fn two_voters_that_stop_at_once_hand_on_both_votes() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, VOTERS, OTHERS);
        cluster.start_all();
        cluster.run_until(SETTLE_MS, |cluster| cluster.leader().is_some());
        cluster.run(1_000);
        let mut stopping = Vec::new();
        stop(&mut cluster, &mut stopping, 0);
        stop(&mut cluster, &mut stopping, 1);
        for _ in 0..GRACE_MS / STEP_MS {
            cluster.run(STEP_MS);
            end_stopped(&mut cluster, &mut stopping);
            change_voters(&mut cluster, VOTERS);
        }
        assert!(stopping.is_empty(), "{}", cluster.describe());
        assert!(cluster.commits_within(SETTLE_MS), "{}", cluster.describe());
        let leader = cluster.leader().expect("a leader is elected");
        assert_eq!(cluster.members(leader).voters.len(), VOTERS);
    }
}

/// Guards against replicas that never elect a leader because the only one with a recent log is a former leader whose own
/// removal is not committed.
#[test]
fn a_leader_whose_removal_is_not_committed_may_lead_again() {
    check_stops(1367, VOTERS);
}
