//! A replica with an empty disk that learns of the leader only from another replica.

use conf::Name;
use fleet::{InstanceInfo, PeerMessage, WatchReply};
use gateway::control::{Control, ControlEffect, ControlEvent, ControlSettings};
use quorum::{Message, RecoveredState};

const CONTACT: &str = "10.0.0.1";
const LEADER: &str = "10.0.0.9";

fn info(id: &'static str) -> InstanceInfo {
    InstanceInfo {
        id: id.into(),
        peer_address: Name::from(format!("{id}:7000")),
        ..InstanceInfo::default()
    }
}

/// Guards against a replica that lost its disk and asks only its contacts to join the log, of which none leads: the log
/// is then without its vote for as long as no other replica happens to send it a message first.
#[test]
fn a_replica_asks_those_that_others_name_to_join_the_log() {
    let settings = ControlSettings {
        info: info("10.0.0.2"),
        storage_id: 1,
        contacts: vec![info(CONTACT)],
        target_voters: 3,
        order_lease_ms: 3_000,
        ..ControlSettings::default()
    };
    let mut control = Control::new(settings, RecoveredState::default(), 1);
    let mut effects = Vec::new();
    let reply = WatchReply {
        replicas: vec![info(LEADER)],
        ..WatchReply::default()
    };
    let named = ControlEvent::Peer {
        from: CONTACT.into(),
        message: PeerMessage::WatchReply(reply),
    };
    control.step(10, named, &mut effects);
    for now_ms in (50..1_000).step_by(50) {
        control.step(now_ms, ControlEvent::Tick, &mut effects);
    }
    let asked = effects.iter().any(|effect| match effect {
        ControlEffect::Send { to, message, .. } => {
            let is_join = matches!(
                &**message,
                PeerMessage::Quorum {
                    message: Message::Join { .. },
                    ..
                }
            );
            is_join && to == LEADER
        }
        _ => false,
    });
    assert!(asked, "no request to join was sent to the leader");
}
