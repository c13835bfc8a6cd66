//! Tests that decoding inverts encoding, and tests of decoding invalid input.

mod generate;

use bytes::Bytes;
use fleet::PeerMessage;
use generate::{AnyControl, AnyMessage, AnyProposal};
use quorum::ReplicaId;
use wire::{DecodeError, EncodeError, MAX_ENCODED_BYTES};

/// Guards against a field that is written but not read, or read from another field.
#[test]
fn messages_survive_a_round_trip() {
    fn check(message: AnyMessage) -> bool {
        let data = wire::encode_message(&message.0).unwrap();
        wire::decode_message(&data).unwrap() == message.0
    }
    seeded::tester()
        .tests(2_000)
        .quickcheck(check as fn(AnyMessage) -> bool);
}

/// Guards against a field of a log entry's payload that is written but not read, or read from another field.
#[test]
fn proposals_survive_a_round_trip() {
    fn check(proposal: AnyProposal) -> bool {
        let data = wire::encode_proposal(&proposal.0).unwrap();
        wire::decode_proposal(&data).unwrap() == proposal.0
    }
    seeded::tester()
        .tests(2_000)
        .quickcheck(check as fn(AnyProposal) -> bool);
}

/// Guards against a restored control state that differs from the one in the snapshot.
#[test]
fn control_states_survive_a_round_trip() {
    fn check(control: AnyControl) -> bool {
        let data = wire::encode_control(&control.0).unwrap();
        wire::decode_control(&data).unwrap() == control.0
    }
    seeded::tester()
        .tests(500)
        .quickcheck(check as fn(AnyControl) -> bool);
}

/// Guards against a panic on corrupted input, and against a truncated message that is accepted.
///
/// A message that is both corrupted and truncated may be valid, because the corrupted header can announce a shorter
/// message. Decoding it must not panic.
#[test]
fn decoding_corrupted_messages_does_not_panic() {
    fn check(message: AnyMessage, corruption: Vec<(usize, u8)>, truncated_len: usize) -> bool {
        let encoded = wire::encode_message(&message.0).unwrap();
        let truncated_len = truncated_len % encoded.len();
        let mut corrupted = encoded.to_vec();
        for (position, value) in corruption {
            let position = position % corrupted.len();
            corrupted[position] ^= value;
        }
        let _ = wire::decode_message(&corrupted);
        let _ = wire::decode_message(&corrupted[..truncated_len]);
        wire::decode_message(&encoded[..truncated_len]).is_err()
    }
    seeded::tester()
        .tests(5_000)
        .quickcheck(check as fn(AnyMessage, Vec<(usize, u8)>, usize) -> bool);
}

seeded::quickcheck! {
    /// Guards against a panic on input that is not a message.
    fn decoding_random_bytes_does_not_panic(data: Vec<u8>) -> bool {
        let _ = wire::decode_message(&data);
        let _ = wire::decode_proposal(&data);
        let _ = wire::decode_control(&data);
        true
    }
}

/// Guards against memory exhaustion by input whose header announces more data than the input contains.
#[test]
fn an_announced_size_beyond_the_input_is_refused() {
    let mut data = vec![0, 0, 0, 0];
    data.extend_from_slice(&0x0fff_ffff_u32.to_le_bytes());
    data.extend_from_slice(&[0; 64]);
    assert!(matches!(
        wire::decode_message(&data),
        Err(DecodeError::Malformed(_))
    ));
}

/// Guards against sending values that receivers refuse, and against decoding input above the size limit.
#[test]
fn oversize_values_are_neither_encoded_nor_decoded() {
    let replica = ReplicaId {
        instance: "a".into(),
        storage_id: 1,
    };
    let message = PeerMessage::Quorum {
        from: replica.clone(),
        to: replica,
        message: quorum::Message::SnapshotChunk {
            term: 1,
            index: 1,
            snapshot_term: 1,
            members: Default::default(),
            offset_bytes: 0,
            total_bytes: 1,
            data: Bytes::from(vec![0; MAX_ENCODED_BYTES]),
        },
    };
    assert!(matches!(
        wire::encode_message(&message),
        Err(EncodeError::TooLarge { .. })
    ));
    assert!(matches!(
        wire::decode_message(&vec![0; MAX_ENCODED_BYTES + 1]),
        Err(DecodeError::TooLarge { .. })
    ));
}

/// Guards against a begin command with a truncated body digest, which could match the digest of another body.
#[test]
fn a_truncated_body_digest_is_refused() {
    let proposal = fleet::Proposal {
        id: Default::default(),
        at_ms: 0,
        command: fleet::Command::Begin(ledger::Begin {
            body_sha256: [0xab; 32],
            ..Default::default()
        }),
    };
    let mut data = wire::encode_proposal(&proposal).unwrap().to_vec();
    let digest = data.windows(32).position(|w| w == [0xab; 32]).unwrap();
    let pointer = data
        .windows(4)
        .position(|w| w == (32_u32 << 3 | 2).to_le_bytes())
        .unwrap();
    assert!(pointer < digest);
    data[pointer..pointer + 4].copy_from_slice(&(31_u32 << 3 | 2).to_le_bytes());
    assert!(matches!(
        wire::decode_proposal(&data),
        Err(DecodeError::DigestLength { bytes: 31 })
    ));
}

/// Guards against a traversal limit that refuses large messages that the encoder accepts.
#[test]
fn a_large_message_survives_a_round_trip() {
    let gates: Vec<_> = (0..50_000)
        .map(|index| fleet::Gate {
            upstream: format!("engine-{index}").into(),
            holder: Some(fleet::GateHolder::default()),
            epoch: index,
            order: Some(fleet::Order::default()),
        })
        .collect();
    let message = PeerMessage::ReportReply(fleet::LeaderReply {
        view: Some(fleet::ClusterView {
            draining_upstreams: gates.iter().map(|gate| gate.upstream.clone()).collect(),
            gates,
            ..Default::default()
        }),
        ..Default::default()
    });
    let data = wire::encode_message(&message).unwrap();
    assert!(data.len() > MAX_ENCODED_BYTES / 4);
    assert_eq!(wire::decode_message(&data).unwrap(), message);
}
