//! Encoding of messages between instances.

use bytes::Bytes;
use fleet::PeerMessage;

use crate::command::{read_proposal, read_proposal_id, write_proposal, write_proposal_id};
use crate::config::{read_config_revision, write_config_revision};
use crate::encoding;
use crate::error::{DecodeError, EncodeError};
use crate::membership::{
    read_instance_info, read_instance_report, read_leader_reply, read_load_digests,
    write_instance_info, write_instance_report, write_leader_reply, write_load_digests,
};
use crate::peer_capnp as schema;
use crate::quorum::{read_quorum_message, read_replica_id, write_quorum_message, write_replica_id};
use crate::reply::{read_propose_reply, write_propose_reply};
use crate::watch::{read_watch, read_watch_reply, write_watch, write_watch_reply};

/// Encodes a message for another instance.
///
/// # Errors
/// Fails if the encoding exceeds [`crate::MAX_ENCODED_BYTES`] or a part of it cannot be compressed.
pub fn encode_message(message: &PeerMessage) -> Result<Bytes, EncodeError> {
    let mut builder = capnp::message::Builder::new_default();
    write_peer_message(message, builder.init_root())?;
    encoding::to_bytes(&builder, encoding::MAX_ENCODED_BYTES)
}

/// Decodes a message from another instance.
///
/// # Errors
/// Fails if `data` is too large, malformed, or has a variant that this version does not know.
pub fn decode_message(data: &[u8]) -> Result<PeerMessage, DecodeError> {
    read_peer_message(encoding::from_bytes(data, encoding::MAX_ENCODED_BYTES)?.get_root()?)
}

fn write_peer_message(
    message: &PeerMessage,
    root: schema::peer_message::Builder<'_>,
) -> Result<(), EncodeError> {
    match message {
        PeerMessage::Quorum { from, to, message } => {
            let mut builder = root.init_quorum();
            write_replica_id(from, builder.reborrow().init_from());
            write_replica_id(to, builder.reborrow().init_to());
            write_quorum_message(message, builder.init_message());
        }
        PeerMessage::Propose(proposal) => write_proposal(proposal, root.init_propose()),
        PeerMessage::ProposeReply { id, reply } => {
            let mut builder = root.init_propose_reply();
            write_proposal_id(id, builder.reborrow().init_id());
            write_propose_reply(reply, builder.init_reply());
        }
        PeerMessage::Report(report) => write_instance_report(report, root.init_report()),
        PeerMessage::ReportReply(reply) => write_leader_reply(reply, root.init_report_reply()),
        PeerMessage::Digest(digests) => {
            write_load_digests(digests, root.init_digest(digests.len() as u32));
        }
        PeerMessage::AskConfig { token, info } => {
            let mut builder = root.init_ask_config();
            builder.set_token(*token);
            write_instance_info(info, builder.init_info());
        }
        PeerMessage::Config {
            token,
            config,
            instances,
        } => {
            let mut builder = root.init_config();
            builder.set_token(*token);
            let mut list = builder.reborrow().init_instances(instances.len() as u32);
            for (index, info) in (0..).zip(instances) {
                write_instance_info(info, list.reborrow().get(index));
            }
            if let Some(config) = config {
                write_config_revision(config, builder.init_config());
            }
        }
        PeerMessage::Watch(watch) => write_watch(watch, root.init_watch()),
        PeerMessage::WatchReply(reply) => write_watch_reply(reply, root.init_watch_reply())?,
    }
    Ok(())
}

fn read_peer_message(reader: schema::peer_message::Reader<'_>) -> Result<PeerMessage, DecodeError> {
    use schema::peer_message as p;
    Ok(match reader.which()? {
        p::Quorum(quorum) => PeerMessage::Quorum {
            from: read_replica_id(quorum.get_from()?)?,
            to: read_replica_id(quorum.get_to()?)?,
            message: read_quorum_message(quorum.get_message()?)?,
        },
        p::Propose(proposal) => PeerMessage::Propose(read_proposal(proposal?)?),
        p::ProposeReply(reply) => PeerMessage::ProposeReply {
            id: read_proposal_id(reply.get_id()?)?,
            reply: read_propose_reply(reply.get_reply()?)?,
        },
        p::Report(report) => PeerMessage::Report(read_instance_report(report?)?),
        p::ReportReply(reply) => PeerMessage::ReportReply(read_leader_reply(reply?)?),
        p::Digest(digests) => PeerMessage::Digest(read_load_digests(digests?)?),
        p::AskConfig(request) => PeerMessage::AskConfig {
            token: request.get_token(),
            info: read_instance_info(request.get_info()?)?,
        },
        p::Config(config) => PeerMessage::Config {
            token: config.get_token(),
            config: config
                .has_config()
                .then(|| read_config_revision(config.get_config()?))
                .transpose()?,
            instances: config
                .get_instances()?
                .iter()
                .map(read_instance_info)
                .collect::<Result<_, _>>()?,
        },
        p::Watch(watch) => PeerMessage::Watch(read_watch(watch?)?),
        p::WatchReply(reply) => PeerMessage::WatchReply(read_watch_reply(reply?)?),
    })
}
