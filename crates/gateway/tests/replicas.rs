//! What a replica remembers of the others.

use conf::Name;
use fleet::InstanceInfo;
use gateway::replicas::KnownReplicas;

fn info(index: u64) -> InstanceInfo {
    InstanceInfo {
        id: Name::from(format!("r-{index}")),
        ..InstanceInfo::default()
    }
}

/// Guards against a memory of replaced replicas that grows without a bound, and against one that loses the members of the log
/// or the replicas of the settings.
#[test]
fn the_memory_of_replaced_replicas_is_bounded() {
    let members = [info(1).id, info(2).id];
    let mut replicas = KnownReplicas::new(info(9_999).id, vec![info(0)], 0);
    for index in 1..=1_000 {
        let now_ms = index * 9_000;
        replicas.on_message(&info(index), now_ms);
        replicas.forget(&members, now_ms);
        assert!(
            replicas.infos().count() <= 24,
            "{}",
            replicas.infos().count()
        );
    }
    for id in [0, 1, 2, 1_000] {
        assert!(replicas.get(&info(id).id).is_some(), "{id}");
    }
    assert_eq!(replicas.named(&members, 1_000 * 9_000).len(), 3);
}

/// Guards against entries that are counted at a replica that is gone and at its successor.
#[test]
fn the_entries_of_a_silent_replica_are_not_counted() {
    let mut replicas = KnownReplicas::new(info(9).id, Vec::new(), 0);
    replicas.on_message(&info(1), 0);
    replicas.set_entries(&info(1).id, 4);
    assert_eq!(replicas.entries(1_000), 4);
    assert_eq!(replicas.entries(10_000), 0);
}
