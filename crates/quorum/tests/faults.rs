//! Properties under random faults.

mod support;

use support::random::Random;
use support::{Cluster, DISK_DELAY_MS, SETTLE_MS, seeds};

/// Longest virtual time until all replicas are voters again and agree after the last fault: the lost identity is removed,
/// the new one catches up and is promoted, each after at most a few elections.
const REPAIR_MS: u64 = 60_000;

/// Faults in one run.
const FAULTS: u64 = 12;

/// Longest time between two faults, and longest fault.
const FAULT_MS: u64 = 3000;

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Loss,
    Reorder,
    Isolate,
    OneWay,
    Split,
    Freeze,
    Crash,
    Restart,
    SlowDisk,
    Wipe,
    Heal,
}

const KINDS: [Kind; 11] = [
    Kind::Loss,
    Kind::Reorder,
    Kind::Isolate,
    Kind::OneWay,
    Kind::Split,
    Kind::Freeze,
    Kind::Crash,
    Kind::Restart,
    Kind::SlowDisk,
    Kind::Wipe,
    Kind::Heal,
];

/// Runs a cluster through random faults with proposals and reads, ends the faults and checks that it is whole again.
/// `support::checks` holds the safety properties.
fn survive(seed: u64, voters: usize, kinds: &[Kind]) {
    let mut random = Random(seed ^ 0x5eed);
    let mut cluster = Cluster::new(seed, voters, 0);
    cluster.padding_bytes = if seed.is_multiple_of(4) { 100_000 } else { 0 };
    cluster.start_all();
    if random.percent(80) {
        cluster.run_until(SETTLE_MS, |cluster| cluster.leader().is_some());
    }
    for _ in 0..FAULTS {
        let kind = kinds[random.below(kinds.len() as u64) as usize];
        inject(&mut cluster, &mut random, kind);
        // Every third fault comes together with another one.
        if random.percent(33) {
            let kind = kinds[random.below(kinds.len() as u64) as usize];
            inject(&mut cluster, &mut random, kind);
        }
        let for_ms = 100 + random.below(FAULT_MS);
        load(&mut cluster, &mut random, for_ms);
        restart_some(&mut cluster, &mut random);
    }
    cluster.heal();
    let before = cluster.checks.last_applied();
    let is_whole = cluster.run_until(REPAIR_MS, Cluster::is_whole);
    assert!(is_whole, "not whole again: {}", cluster.describe());
    assert!(cluster.commits_within(SETTLE_MS), "no commits after repair");
    let target = cluster.checks.last_applied();
    assert!(target > before, "committed entries were lost");
    let caught_up =
        |cluster: &Cluster| (0..voters).all(|position| cluster.applied_index(position) >= target);
    assert!(
        cluster.run_until(SETTLE_MS, caught_up),
        "a replica lags: {}",
        cluster.describe()
    );
}

fn inject(cluster: &mut Cluster, random: &mut Random, kind: Kind) {
    let nodes = cluster.nodes.len();
    let node = random.below(nodes as u64) as usize;
    match kind {
        Kind::Loss => cluster.network.loss_percent = 5 + random.below(30),
        Kind::Reorder => {
            cluster.network.duplicate_percent = 20;
            cluster.network.max_delay_ms = 50 + random.below(300);
        }
        Kind::Isolate => {
            // Half of the time the leader is hit.
            let leader = cluster.leader().filter(|_| random.percent(50));
            cluster.network.isolate(leader.unwrap_or(node), nodes);
        }
        Kind::OneWay => {
            let other = random.below(nodes as u64) as usize;
            cluster.network.cut.insert((node, other));
        }
        Kind::Split => {
            let other = random.below(nodes as u64) as usize;
            cluster.network.split(&[node, other], nodes);
        }
        Kind::Freeze => cluster.freeze(node, random.below(FAULT_MS)),
        Kind::Crash => cluster.crash(node),
        Kind::Restart => {
            cluster.crash(node);
            cluster.start(node);
        }
        Kind::SlowDisk => cluster.disk_delay_ms = 300,
        Kind::Wipe => {
            if may_wipe(cluster, node) {
                cluster.wipe(node);
            }
        }
        Kind::Heal => {
            cluster.network = Default::default();
            cluster.disk_delay_ms = DISK_DELAY_MS;
        }
    }
}

/// Returns whether no committed entry can be lost with the node's disk. That is so while all replicas agree on the member
/// set and the identities of all its voters still have their disks; more than one lost disk may exceed the minority.
fn may_wipe(cluster: &Cluster, node: usize) -> bool {
    let is_current = |position: usize| {
        let set = cluster.members(position);
        let voters = cluster.nodes.iter().map(|node| node.id.clone());
        position == node || set.voters == voters.collect::<Vec<_>>()
    };
    (0..cluster.nodes.len()).all(is_current)
}

fn load(cluster: &mut Cluster, random: &mut Random, for_ms: u64) {
    let end_ms = cluster.now_ms + for_ms;
    while cluster.now_ms < end_ms {
        for _ in 0..random.below(4) {
            cluster.propose_everywhere();
        }
        if random.percent(50) {
            cluster.read_everywhere();
        }
        cluster.run(20 + random.below(60));
    }
}

fn restart_some(cluster: &mut Cluster, random: &mut Random) {
    for node in 0..cluster.nodes.len() {
        if random.percent(60) {
            cluster.start(node);
        }
    }
}

/// Guards against two leaders in a term, lost or changed entries, differing states, stale reads, votes under a former
/// identity and a cluster that does not recover, with three voters.
#[test]
fn three_voters_survive_faults() {
    seeds::check("three_voters_survive_faults", 40, 20, |seed| {
        survive(seed, 3, &KINDS);
    });
}

/// The same with five voters.
#[test]
fn five_voters_survive_faults() {
    seeds::check("five_voters_survive_faults", 15, 8, |seed| {
        survive(seed, 5, &KINDS);
    });
}

/// Guards against acknowledged entries that only unsynced writes held, and against a second vote in a term after a crash:
/// crashes, slow disks and losses only.
#[test]
fn crashes_lose_nothing() {
    const CRASHES: [Kind; 6] = [
        Kind::Crash,
        Kind::Crash,
        Kind::Restart,
        Kind::SlowDisk,
        Kind::Loss,
        Kind::Heal,
    ];
    seeds::check("crashes_lose_nothing", 40, 20, |seed| {
        survive(seed, 3, &CRASHES);
    });
}

/// Guards against a replica with an empty disk that takes part under its former identity, and against a repair that
/// loses entries or does not end: wiped disks together with cuts.
#[test]
fn wiped_disks_are_replaced() {
    const WIPES: [Kind; 5] = [
        Kind::Wipe,
        Kind::Wipe,
        Kind::Isolate,
        Kind::Reorder,
        Kind::Heal,
    ];
    seeds::check("wiped_disks_are_replaced", 20, 10, |seed| {
        survive(seed, 3, &WIPES);
    });
}
