//! The leader client of an instance with late, lost and repeated messages.

use conf::settings::{Instance, Settings, Voter};
use fleet::leader_client::OutgoingMessage;
use fleet::{ConfigRevision, LeaderClient, LeaderReply, PeerMessage};

fn settings() -> Settings {
    Settings {
        instance: Instance {
            id: "entry-1".into(),
            availability_zone: "az-a".into(),
            peer_address: "127.0.0.1:7000".into(),
            ..Instance::default()
        },
        voters: vec![Voter {
            id: "voter-1".into(),
            availability_zone: "az-a".into(),
            peer_address: "127.0.0.1:7001".into(),
        }],
        ..Settings::default()
    }
}

fn config(revision: u64) -> Option<ConfigRevision> {
    Some(ConfigRevision {
        revision,
        ..ConfigRevision::default()
    })
}

fn reply(sequence: u64, term: u64, revision: u64) -> LeaderReply {
    LeaderReply {
        sequence,
        is_leader: true,
        term,
        revision,
        config: config(revision),
        ..LeaderReply::default()
    }
}

/// Runs a tick in which a report is due and returns the report's sequence.
fn report(client: &mut LeaderClient, now_ms: u64) -> u64 {
    let out = client.tick(now_ms, false, Vec::new);
    let sequence = |outgoing: &OutgoingMessage| match &outgoing.message {
        PeerMessage::Report(report) => Some(report.sequence),
        _ => None,
    };
    out.iter().find_map(sequence).expect("a report is due")
}

/// Guards against a return to an older revision when an older reply or message arrives late.
#[test]
fn an_older_revision_changes_nothing() {
    let mut client = LeaderClient::new(&settings(), 1, 0);
    let first = report(&mut client, 0);
    assert!(
        client
            .on_reply(10, &"voter-1".into(), &reply(first, 1, 5))
            .config
    );
    let second = report(&mut client, 600);
    assert!(
        !client
            .on_reply(610, &"voter-1".into(), &reply(second, 1, 4))
            .config
    );
    assert!(!client.on_revision(620, &config(3).expect("a revision")));
    assert_eq!(client.revision(), 5);
}

/// Guards against a deposed leader that renews leases with a late reply.
#[test]
fn a_reply_of_an_older_term_renews_no_lease() {
    let mut client = LeaderClient::new(&settings(), 1, 0);
    let first = report(&mut client, 0);
    client.on_reply(10, &"voter-1".into(), &reply(first, 2, 1));
    let second = report(&mut client, 2_900);
    client.on_reply(2_910, &"voter-1".into(), &reply(second, 1, 1));
    assert!(!client.holds_gate_lease(3_100));
    assert!(!client.is_config_current(3_100));
}

/// Guards against a lease that starts when a late reply arrives and so ends after the leader considers it expired.
#[test]
fn leases_start_when_the_report_is_sent() {
    let mut client = LeaderClient::new(&settings(), 1, 0);
    let sequence = report(&mut client, 0);
    client.on_reply(2_000, &"voter-1".into(), &reply(sequence, 1, 1));
    assert!(client.holds_gate_lease(2_999));
    assert!(!client.holds_gate_lease(3_000));
}

/// Guards against a duplicated reply that is processed twice.
#[test]
fn a_duplicated_reply_changes_nothing() {
    let mut client = LeaderClient::new(&settings(), 1, 0);
    let sequence = report(&mut client, 0);
    client.on_reply(10, &"voter-1".into(), &reply(sequence, 1, 1));
    let repeated = client.on_reply(20, &"voter-1".into(), &reply(sequence, 1, 2));
    assert!(!repeated.config);
    assert_eq!(client.revision(), 1);
}

/// Guards against an instance that claims a current configuration although it lacks the leader's revision.
#[test]
fn an_instance_that_lacks_the_revision_is_not_current() {
    let mut client = LeaderClient::new(&settings(), 1, 0);
    let sequence = report(&mut client, 0);
    let without = LeaderReply {
        config: None,
        ..reply(sequence, 1, 3)
    };
    client.on_reply(10, &"voter-1".into(), &without);
    assert!(!client.is_config_current(20));
    assert!(!client.is_config_confirmed());
}
