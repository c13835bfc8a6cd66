//! The order in which a replica handles what it has received.

use fleet::{PeerMessage, PrefixUse, Watch};
use quorum::ReplicaId;
use reducer::Event;
use relay::inbox::Inbox;

fn watch(from: &'static str, sequence: u64) -> Event {
    let watch = Watch {
        sequence,
        prefix_uses: vec![PrefixUse {
            key: sequence,
            upstream_key: 0,
        }],
        ..Watch::default()
    };
    Event::Peer {
        from: from.into(),
        message: PeerMessage::Watch(watch),
    }
}

fn vote() -> Event {
    let replica = ReplicaId {
        instance: "replica".into(),
        storage_id: 1,
    };
    Event::Peer {
        from: "replica".into(),
        message: PeerMessage::Quorum {
            from: replica.clone(),
            to: replica,
            message: quorum::Message::VoteReply {
                term: 2,
                granted: true,
            },
        },
    }
}

/// Guards against votes and acknowledgements that wait behind the messages of hundreds of subscribers.
#[test]
fn messages_of_the_log_come_before_those_of_subscribers() {
    let mut inbox = Inbox::default();
    for sequence in 0..300 {
        inbox.push(watch("entry", sequence));
    }
    inbox.push(vote());
    let first = inbox.pop();
    assert!(
        matches!(
            first,
            Some(Event::Peer {
                message: PeerMessage::Quorum { .. },
                ..
            })
        ),
        "{first:?}"
    );
}

/// Guards against a replica that answers outdated messages of a subscriber one after the other, and against uses of
/// prefixes that are lost with an outdated message.
#[test]
fn of_each_subscriber_only_the_newest_message_is_handled() {
    let mut inbox = Inbox::default();
    for sequence in 1..=3 {
        inbox.push(watch("entry-1", sequence));
        inbox.push(watch("entry-2", sequence));
    }
    let mut handled = Vec::new();
    while let Some(event) = inbox.pop() {
        let Event::Peer {
            from,
            message: PeerMessage::Watch(watch),
        } = event
        else {
            panic!("unexpected {event:?}");
        };
        let keys: Vec<u64> = watch.prefix_uses.iter().map(|used| used.key).collect();
        handled.push((from.to_string(), watch.sequence, keys));
    }
    let expected = |from: &str| (from.to_owned(), 3, vec![1, 2, 3]);
    assert_eq!(handled, [expected("entry-1"), expected("entry-2")]);
    assert!(inbox.is_empty());
}
