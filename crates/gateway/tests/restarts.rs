//! Upstreams that start again under their ids while the platform's list does not state when.

mod support;

use fleet::{ListingUpdate, UpstreamRecord, Watch};
use gateway::notices;
use support::Cluster;

/// What the list shows of an upstream at one read.
#[derive(Clone, Copy, Debug)]
enum Listed {
    Ready,
    Draining,
    Missing,
    /// Ready, with a start that the list states.
    Born(u64),
}

fn records(listed: Listed) -> Vec<UpstreamRecord> {
    let record = |id: &'static str, listed: Listed| UpstreamRecord {
        id: id.into(),
        service: "rota".into(),
        address: "127.0.0.1:9000".into(),
        slots: 6,
        draining: matches!(listed, Listed::Draining),
        born_ms: match listed {
            Listed::Born(born_ms) => born_ms,
            _ => 0,
        },
        ..UpstreamRecord::default()
    };
    // A list without any upstream would not be taken over.
    let mut records = vec![record("other", Listed::Ready)];
    if !matches!(listed, Listed::Missing) {
        records.push(record("u-1", listed));
    }
    records
}

/// Returns the record of the upstream in the list that a replica hands on.
fn handed_on(cluster: &mut Cluster, index: usize) -> Option<UpstreamRecord> {
    let reply = cluster.subscribed_reply(index);
    let Some(ListingUpdate::Complete(list)) = reply.listing_update else {
        panic!("a subscriber without a list gets all of it: {reply:?}");
    };
    let mut records = list.records.iter();
    records.find(|record| record.id == "u-1").cloned()
}

fn show(cluster: &mut Cluster, listed: Listed) {
    cluster.upstreams = records(listed);
    run(cluster, 2_500);
}

/// Runs the replicas while an entry is subscribed to each of them: otherwise none reads the list.
fn run(cluster: &mut Cluster, duration_ms: u64) {
    for _ in 0..duration_ms / 500 {
        for index in 0..cluster.replicas() {
            if !cluster.is_partitioned(index) {
                cluster.subscribe(index);
            }
        }
        cluster.run(500);
    }
}

/// Guards against a restarted upstream that counts as draining for good, and against one that counts as restarted although
/// the list shows no restart.
#[test]
fn a_restart_is_told_by_what_the_list_shows() {
    use Listed::{Born, Draining, Missing, Ready};
    let sequences: [(&[Listed], u64); 9] = [
        (&[Ready, Ready], 0),
        (&[Draining, Draining], 0),
        (&[Ready, Draining, Ready], 1),
        (&[Draining, Ready, Ready], 1),
        (&[Ready, Draining, Ready, Draining, Ready], 2),
        (&[Draining, Missing, Ready], 1),
        (&[Ready, Missing, Ready], 1),
        (&[Born(500), Draining, Born(900)], 900),
        // A record that lacks the start for once is that of the same incarnation.
        (&[Born(500), Ready, Born(500)], 500),
    ];
    for (listed, born_ms) in sequences {
        let mut cluster = Cluster::new(3, 3);
        cluster.run(3_000);
        for state in listed {
            show(&mut cluster, *state);
        }
        for index in 0..3 {
            let record = handed_on(&mut cluster, index).expect("the upstream is listed");
            assert_eq!(record.born_ms, born_ms, "{listed:?} on replica {index}");
        }
    }
}

/// Guards against a restart that is missed, or counted in another way, when another replica begins to read the list.
#[test]
fn a_restart_is_told_by_a_new_leader() {
    let mut cluster = Cluster::new(3, 3);
    cluster.run(3_000);
    for state in [Listed::Draining, Listed::Ready, Listed::Draining] {
        show(&mut cluster, state);
    }
    let leader = cluster.leader().expect("a leader is elected");
    cluster.partition(leader);
    show(&mut cluster, Listed::Ready);
    run(&mut cluster, 15_000);
    let next = cluster.leader().expect("another leader is elected");
    let record = handed_on(&mut cluster, next).expect("the upstream is listed");
    assert_eq!((record.born_ms, record.draining), (2, false));
}

/// Guards against an upstream that has announced its end and counts as restarted, since a late list still shows it as ready.
#[test]
fn an_announced_end_is_no_restart() {
    let mut cluster = Cluster::new(3, 3);
    cluster.run(3_000);
    show(&mut cluster, Listed::Ready);
    let leaving = vec![notices::key(&"u-1".into(), 0)];
    let leader = cluster.leader().expect("a leader is elected");
    let watch = Watch {
        leaving,
        ..Watch::default()
    };
    cluster.deliver_watch(leader, watch);
    show(&mut cluster, Listed::Ready);
    let record = handed_on(&mut cluster, leader).expect("the upstream is listed");
    assert_eq!((record.born_ms, record.draining), (0, true));
    // Entries keep the announced end of an incarnation, whatever the next leader reads.
    cluster.partition(leader);
    run(&mut cluster, 5_000);
    let reader = cluster.leader().expect("another leader is elected");
    let record = handed_on(&mut cluster, reader).expect("the upstream is listed");
    assert_eq!(record.born_ms, 0);
    // Once the list has shown the end itself, a ready upstream is the next incarnation.
    show(&mut cluster, Listed::Draining);
    show(&mut cluster, Listed::Ready);
    let reader = cluster.leader().expect("a leader is elected");
    let record = handed_on(&mut cluster, reader).expect("the upstream is listed");
    assert_eq!((record.born_ms, record.draining), (1, false));
}
