//! Prompts under which engines crash, at instances that report to a leader.

mod support;

use conf::Name;
use reducer::Refusal;
use support::config::config;
use support::{Cluster, Outcome};

const FIRST_PART: u64 = 1;
const DEADLY_PART: u64 = 7;

/// Returns a cluster with a configuration in force, whose engines crash under a part of a prompt.
fn start(seed: u64) -> Cluster {
    let mut cluster = Cluster::with_upstreams(seed, 2);
    cluster.deadly_part = Some(DEADLY_PART);
    assert!(cluster.run_until(10_000, |c| c.leader().is_some()));
    cluster.apply(&"v0".into(), 0, &config(1));
    assert!(cluster.run_until(10_000, |c| c.all_in_force(1)));
    cluster.run(3_000);
    cluster
}

fn restart_engines(cluster: &mut Cluster) {
    for engine in cluster.engines.values_mut() {
        engine.is_down = false;
    }
}

fn crashes(cluster: &Cluster) -> usize {
    let engines = cluster.engines.values();
    engines.map(|engine| engine.crashes).sum()
}

/// Sends requests with the deadly part and sound ones with the same first part through all instances in turn. Crashed
/// engines are back after a second.
fn send_requests(cluster: &mut Cluster, rounds: u64) -> Vec<(Name, u64)> {
    let mut sound = Vec::new();
    for round in 0..rounds {
        let id = Name::new(["v0", "v1", "v2", "e0", "e1"][round as usize % 5]);
        cluster.chat_with(&id, vec![FIRST_PART, DEADLY_PART, 1_000 + round]);
        cluster.run(1_000);
        restart_engines(cluster);
        cluster.run(1_000);
        sound.push(cluster.chat_with(&id, vec![FIRST_PART, 2_000 + round]));
        cluster.run(500);
    }
    sound
}

/// Guards against requests of one kind that crash one engine after the other, through whichever instance they come.
#[test]
fn a_part_that_crashes_engines_is_sent_to_no_more_of_them() {
    let mut cluster = start(1);
    send_requests(&mut cluster, 6);
    let crashed = crashes(&cluster);
    assert!((3..=7).contains(&crashed), "{crashed} engines crashed");
    let exchange = cluster.chat_with(&"e1".into(), vec![FIRST_PART, DEADLY_PART, 5]);
    cluster.run(500);
    assert!(matches!(
        cluster.outcomes.get(&exchange),
        Some(Outcome::Refused(Refusal::Quarantined { .. }))
    ));
    let sound = send_requests(&mut cluster, 10);
    assert_eq!(crashes(&cluster), crashed);
    let answered = sound.iter().filter(|sent| cluster.answered.contains(sent));
    assert_eq!(answered.count(), sound.len(), "sound requests are answered");
}

/// Guards against verdicts that are lost with the leader.
#[test]
fn a_new_leader_knows_what_is_blocked() {
    let mut cluster = start(2);
    send_requests(&mut cluster, 6);
    let crashed = crashes(&cluster);
    let leader = cluster.leader().expect("a leader is elected");
    cluster.crash(&leader);
    cluster.run(8_000);
    cluster.start(&leader);
    cluster.run(8_000);
    send_requests(&mut cluster, 5);
    assert_eq!(crashes(&cluster), crashed);
}
