//! Safety and recovery under random faults.

mod support;

use support::random::Random;
use support::{Cluster, HEALTHY_MAX_SYNC_DELAY_MS, SETTLE_MS, seeds};

/// Longest virtual time from the last fault until all replicas are voters again and agree on the member set, in
/// milliseconds. In this time, the lost identity is removed and the new one is admitted, catches up and is promoted,
/// each after at most a few elections.
const REPAIR_MS: u64 = 60_000;

/// Number of faults in one run. Faults that are injected together with another fault are not counted.
const FAULT_COUNT: u64 = 12;

/// Longest time between two faults and longest pause of a node, in milliseconds.
const MAX_FAULT_MS: u64 = 3000;

/// A fault, or the end of earlier faults.
#[derive(Clone, Copy, PartialEq)]
enum Fault {
    Loss,
    Reorder,
    Isolate,
    OneWayCut,
    Split,
    Pause,
    Crash,
    Restart,
    SlowDisk,
    Wipe,
    RestoreNetworkAndDisk,
}

const ALL_FAULTS: [Fault; 11] = [
    Fault::Loss,
    Fault::Reorder,
    Fault::Isolate,
    Fault::OneWayCut,
    Fault::Split,
    Fault::Pause,
    Fault::Crash,
    Fault::Restart,
    Fault::SlowDisk,
    Fault::Wipe,
    Fault::RestoreNetworkAndDisk,
];

/// Runs a cluster with random faults, proposals and reads, then ends the faults and checks that the cluster recovers.
/// `support::checks` checks the safety properties throughout.
fn check_recovery(seed: u64, voters: usize, faults: &[Fault]) {
    let mut random = Random(seed ^ 0x5eed);
    let mut cluster = Cluster::new(seed, voters, 0);
    cluster.padding_bytes = if seed.is_multiple_of(4) { 100_000 } else { 0 };
    cluster.start_all();
    if random.percent(80) {
        cluster.run_until(SETTLE_MS, |cluster| cluster.leader().is_some());
    }
    for _ in 0..FAULT_COUNT {
        let fault = faults[random.below(faults.len() as u64) as usize];
        inject(&mut cluster, &mut random, fault);
        // About every third fault is combined with another fault.
        if random.percent(33) {
            let fault = faults[random.below(faults.len() as u64) as usize];
            inject(&mut cluster, &mut random, fault);
        }
        let for_ms = 100 + random.below(MAX_FAULT_MS);
        apply_load(&mut cluster, &mut random, for_ms);
        start_random_nodes(&mut cluster, &mut random);
    }
    cluster.clear_faults();
    let before = cluster.checks.last_applied();
    let has_expected_members = cluster.run_until(REPAIR_MS, Cluster::has_expected_members);
    assert!(
        has_expected_members,
        "the member set does not consist of the current identities after the repair: {}",
        cluster.describe()
    );
    assert!(
        cluster.commits_within(SETTLE_MS),
        "no proposal was committed after the repair"
    );
    let target = cluster.checks.last_applied();
    assert!(target > before, "committed entries were lost");
    let caught_up =
        |cluster: &Cluster| (0..voters).all(|position| cluster.applied_index(position) >= target);
    assert!(
        cluster.run_until(SETTLE_MS, caught_up),
        "a replica has not caught up: {}",
        cluster.describe()
    );
}

fn inject(cluster: &mut Cluster, random: &mut Random, fault: Fault) {
    let nodes = cluster.nodes.len();
    let node = random.below(nodes as u64) as usize;
    match fault {
        Fault::Loss => cluster.network.loss_percent = 5 + random.below(30),
        Fault::Reorder => {
            cluster.network.duplicate_percent = 20;
            cluster.network.max_delay_ms = 50 + random.below(300);
        }
        Fault::Isolate => {
            // In half of the cases, the leader is isolated.
            let leader = cluster.leader().filter(|_| random.percent(50));
            cluster.network.isolate(leader.unwrap_or(node), nodes);
        }
        Fault::OneWayCut => {
            let other = random.below(nodes as u64) as usize;
            cluster.network.cut_links.insert((node, other));
        }
        Fault::Split => {
            let other = random.below(nodes as u64) as usize;
            cluster.network.split(&[node, other], nodes);
        }
        Fault::Pause => cluster.pause(node, random.below(MAX_FAULT_MS)),
        Fault::Crash => cluster.crash(node),
        Fault::Restart => {
            cluster.crash(node);
            cluster.start(node);
        }
        Fault::SlowDisk => cluster.max_sync_delay_ms = 300,
        Fault::Wipe => {
            if is_safe_to_wipe(cluster, node) {
                cluster.wipe(node);
            }
        }
        Fault::RestoreNetworkAndDisk => {
            cluster.network = Default::default();
            cluster.max_sync_delay_ms = HEALTHY_MAX_SYNC_DELAY_MS;
        }
    }
}

/// Returns whether the node's disk can be wiped without losing a committed entry: all other replicas must list exactly
/// the current identities as voters, so that no other lost disk is still to be replaced; a second lost disk might
/// exceed a minority.
fn is_safe_to_wipe(cluster: &Cluster, node: usize) -> bool {
    let is_current = |position: usize| {
        let set = cluster.members(position);
        let voters = cluster.nodes.iter().map(|node| node.id.clone());
        position == node || set.voters == voters.collect::<Vec<_>>()
    };
    (0..cluster.nodes.len()).all(is_current)
}

fn apply_load(cluster: &mut Cluster, random: &mut Random, for_ms: u64) {
    let end_ms = cluster.now_ms + for_ms;
    while cluster.now_ms < end_ms {
        for _ in 0..random.below(4) {
            cluster.propose_on_leaders();
        }
        if random.percent(50) {
            cluster.read_on_leaders();
        }
        cluster.run(20 + random.below(60));
    }
}

fn start_random_nodes(cluster: &mut Cluster, random: &mut Random) {
    for node in 0..cluster.nodes.len() {
        if random.percent(60) {
            cluster.start(node);
        }
    }
}

/// Guards against two leaders in a term, lost or changed entries, differing states, stale reads, votes under a former
/// identity and a cluster that does not recover. The cluster has three voters.
#[test]
fn three_voters_survive_faults() {
    seeds::check("three_voters_survive_faults", 40, 20, |seed| {
        check_recovery(seed, 3, &ALL_FAULTS);
    });
}

/// Guards against the same failures as `three_voters_survive_faults` in a cluster of five voters.
#[test]
fn five_voters_survive_faults() {
    seeds::check("five_voters_survive_faults", 15, 8, |seed| {
        check_recovery(seed, 5, &ALL_FAULTS);
    });
}

/// Guards against the loss of acknowledged entries that were not synced, and against a second vote in a term after a
/// crash. The faults are crashes, restarts, slow disks and message loss.
#[test]
fn crashes_lose_nothing() {
    const CRASHES: [Fault; 6] = [
        Fault::Crash,
        Fault::Crash,
        Fault::Restart,
        Fault::SlowDisk,
        Fault::Loss,
        Fault::RestoreNetworkAndDisk,
    ];
    seeds::check("crashes_lose_nothing", 40, 20, |seed| {
        check_recovery(seed, 3, &CRASHES);
    });
}

/// Guards against a replica with an empty disk that participates under its former identity, and against a repair that
/// loses entries or does not end. The faults are wiped disks, isolated nodes and reordered messages.
#[test]
fn wiped_disks_are_replaced() {
    const WIPES: [Fault; 5] = [
        Fault::Wipe,
        Fault::Wipe,
        Fault::Isolate,
        Fault::Reorder,
        Fault::RestoreNetworkAndDisk,
    ];
    seeds::check("wiped_disks_are_replaced", 20, 10, |seed| {
        check_recovery(seed, 3, &WIPES);
    });
}
