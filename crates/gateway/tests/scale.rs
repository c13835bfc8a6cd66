//! Three hundred entries and three thousand upstreams: bytes and times of the control plane.

mod scale_support;
mod support;

use scale_support::{Fleet, FleetSize};

/// The size to which the users' fleets have grown.
const THREE_HUNDRED: FleetSize = FleetSize {
    zones: 5,
    entries: 300,
    upstreams: 3_000,
    requests_per_s: 2,
    changes_per_s: 6,
};
/// Bytes for control that an entry may send and receive in a second, beside those of callers.
const MAX_ENTRY_BYTES_PER_S: u64 = 30_000;
/// Bytes that a replica may send and receive in a second.
const MAX_REPLICA_BYTES_PER_S: u64 = 1_500_000;
/// Time until all entries serve again after all processes were killed, in milliseconds.
const MAX_RESTART_MS: u64 = 2_000;

/// Returns a fleet whose entries serve.
fn serving_fleet(size: FleetSize) -> Fleet {
    let mut fleet = Fleet::new(size);
    fleet.run(2_000);
    fleet.publish(1);
    fleet.run(1_500);
    assert_eq!(fleet.ready_entries(), size.entries);
    fleet
}

/// Guards against bytes for control that grow with the product of entries and upstreams.
#[test]
fn bytes_for_control_stay_within_their_budgets() {
    let mut fleet = serving_fleet(THREE_HUNDRED);
    fleet.bytes.clear();
    let duration_ms = 3_000;
    fleet.run(duration_ms);
    let entry = fleet.busiest(false, duration_ms);
    let replica = fleet.busiest(true, duration_ms);
    println!("entry: {entry:?}\nreplica: {replica:?}");
    assert!(entry.0 <= MAX_ENTRY_BYTES_PER_S, "{entry:?}");
    assert!(replica.0 <= MAX_REPLICA_BYTES_PER_S, "{replica:?}");
}

/// A large fleet without requests, whose list changes.
const WITHOUT_REQUESTS: FleetSize = FleetSize {
    requests_per_s: 0,
    ..THREE_HUNDRED
};
/// Time within which a mark in the list binds every entry, in milliseconds.
const MAX_OUTDATED_MS: u64 = 3_000;

/// Checks that all entries have the leader's list, once it has not changed for some time.
fn assert_all_have_the_list(mut fleet: Fleet) {
    fleet.stop_changes();
    fleet.run(MAX_OUTDATED_MS);
    assert_eq!(fleet.entries_with_listing(), THREE_HUNDRED.entries);
}

/// Guards against replicas that each read the platform's list, whose rate of calls is limited for all together.
#[test]
fn one_replica_reads_the_list_for_all() {
    let mut fleet = serving_fleet(WITHOUT_REQUESTS);
    fleet.list_reads = 0;
    fleet.run(3_000);
    assert!((2..=4).contains(&fleet.list_reads), "{}", fleet.list_reads);
    assert_all_have_the_list(fleet);
}

/// Guards against entries that keep an outdated list after their replica has failed.
#[test]
fn entries_of_a_killed_replica_get_the_list_from_another_one() {
    for replica in 0..2 {
        let mut fleet = serving_fleet(WITHOUT_REQUESTS);
        fleet.kill_replica(replica);
        fleet.run(1_500);
        assert_all_have_the_list(fleet);
    }
}

/// Guards against a list that differs from the leader's after messages were lost.
#[test]
fn lost_messages_leave_no_entry_with_another_list() {
    let mut fleet = serving_fleet(WITHOUT_REQUESTS);
    fleet.lost_one_in = 7;
    fleet.run(3_000);
    assert_all_have_the_list(fleet);
}

/// Guards against a restart of many entries that delays the list to the others.
#[test]
fn a_third_of_the_entries_restarts_within_the_budget() {
    let mut fleet = serving_fleet(WITHOUT_REQUESTS);
    fleet.bytes.clear();
    fleet.restart_entries(3);
    let duration_ms = 1_000;
    fleet.run(duration_ms);
    assert_eq!(fleet.ready_entries(), THREE_HUNDRED.entries);
    let replica = fleet.busiest(true, duration_ms);
    assert!(replica.0 <= 2 * MAX_REPLICA_BYTES_PER_S, "{replica:?}");
    assert_all_have_the_list(fleet);
}

/// Guards against a restart of all processes after which the entries wait for copies of the list that replicas have
/// sent more than once.
#[test]
fn all_entries_serve_soon_after_all_processes_were_killed() {
    let mut fleet = serving_fleet(THREE_HUNDRED);
    fleet.restart_all();
    fleet.bytes.clear();
    let restarted_ms = fleet.now_ms;
    while fleet.ready_entries() < THREE_HUNDRED.entries {
        let elapsed_ms = fleet.now_ms - restarted_ms;
        assert!(
            elapsed_ms <= MAX_RESTART_MS,
            "{} entries are ready, replica: {:?}",
            fleet.ready_entries(),
            fleet.busiest(true, elapsed_ms.max(1)),
        );
        fleet.run(25);
    }
}
