//! Encoding of the messages and entries of the replicated log.

use bytes::Bytes;
use quorum::{Entry, EntryBody, MemberSet, Message, ReplicaId};

use crate::config::{read_name, read_names, write_names};
use crate::error::DecodeError;
use crate::peer_capnp as schema;

type ReplicaIdListBuilder<'a> = capnp::struct_list::Builder<'a, schema::replica_id::Owned>;

pub fn write_replica_id(replica: &ReplicaId, mut builder: schema::replica_id::Builder<'_>) {
    builder.set_instance(replica.instance.as_str());
    builder.set_storage_id(replica.storage_id);
}

pub fn read_replica_id(reader: schema::replica_id::Reader<'_>) -> Result<ReplicaId, DecodeError> {
    Ok(ReplicaId {
        instance: read_name(reader.get_instance())?,
        storage_id: reader.get_storage_id(),
    })
}

fn write_replica_ids(replicas: &[ReplicaId], mut builder: ReplicaIdListBuilder<'_>) {
    for (index, replica) in (0..).zip(replicas) {
        write_replica_id(replica, builder.reborrow().get(index));
    }
}

fn read_replica_ids(
    reader: capnp::struct_list::Reader<'_, schema::replica_id::Owned>,
) -> Result<Vec<ReplicaId>, DecodeError> {
    reader.iter().map(read_replica_id).collect()
}

fn write_member_set(members: &MemberSet, mut builder: schema::member_set::Builder<'_>) {
    builder.set_index(members.index);
    write_replica_ids(
        &members.voters,
        builder.reborrow().init_voters(members.voters.len() as u32),
    );
    write_replica_ids(
        &members.learners,
        builder
            .reborrow()
            .init_learners(members.learners.len() as u32),
    );
    write_names(
        &members.instances,
        builder
            .reborrow()
            .init_instances(members.instances.len() as u32),
    );
    write_names(
        &members.superseded,
        builder.init_superseded(members.superseded.len() as u32),
    );
}

fn read_member_set(reader: schema::member_set::Reader<'_>) -> Result<MemberSet, DecodeError> {
    Ok(MemberSet {
        index: reader.get_index(),
        voters: read_replica_ids(reader.get_voters()?)?,
        learners: read_replica_ids(reader.get_learners()?)?,
        instances: read_names(reader.get_instances()?)?,
        superseded: read_names(reader.get_superseded()?)?,
    })
}

fn write_entry(entry: &Entry, mut builder: schema::entry::Builder<'_>) {
    builder.set_index(entry.index);
    builder.set_term(entry.term);
    let mut body = builder.init_body();
    match &entry.body {
        EntryBody::Empty => body.set_empty(()),
        EntryBody::Command(command) => body.set_command(command),
        EntryBody::Members(members) => write_member_set(members, body.init_members()),
    }
}

fn read_entry(reader: schema::entry::Reader<'_>) -> Result<Entry, DecodeError> {
    use schema::entry::body;
    let body = match reader.get_body().which()? {
        body::Empty(()) => EntryBody::Empty,
        body::Command(command) => EntryBody::Command(Bytes::copy_from_slice(command?)),
        body::Members(members) => EntryBody::Members(read_member_set(members?)?),
    };
    Ok(Entry {
        index: reader.get_index(),
        term: reader.get_term(),
        body,
    })
}

fn write_entries(
    entries: &[Entry],
    mut builder: capnp::struct_list::Builder<'_, schema::entry::Owned>,
) {
    for (index, entry) in (0..).zip(entries) {
        write_entry(entry, builder.reborrow().get(index));
    }
}

fn read_entries(
    reader: capnp::struct_list::Reader<'_, schema::entry::Owned>,
) -> Result<Vec<Entry>, DecodeError> {
    reader.iter().map(read_entry).collect()
}

pub fn write_quorum_message(message: &Message, mut root: schema::quorum_message::Builder<'_>) {
    match message {
        Message::PreVote {
            term,
            last_index,
            last_term,
            voter_storage_id,
        } => {
            root.set_term(*term);
            let mut builder = root.init_pre_vote();
            builder.set_last_index(*last_index);
            builder.set_last_term(*last_term);
            builder.set_voter_storage_id(*voter_storage_id);
        }
        Message::PreVoteReply { term, granted } => {
            root.set_term(*term);
            root.init_pre_vote_reply().set_granted(*granted);
        }
        Message::Vote {
            term,
            last_index,
            last_term,
            voter_storage_id,
        } => {
            root.set_term(*term);
            let mut builder = root.init_vote();
            builder.set_last_index(*last_index);
            builder.set_last_term(*last_term);
            builder.set_voter_storage_id(*voter_storage_id);
        }
        Message::VoteReply { term, granted } => {
            root.set_term(*term);
            root.init_vote_reply().set_granted(*granted);
        }
        Message::Append {
            term,
            prev_index,
            prev_term,
            commit,
            read_sequence,
            entries,
        } => {
            root.set_term(*term);
            let mut builder = root.init_append();
            builder.set_prev_index(*prev_index);
            builder.set_prev_term(*prev_term);
            builder.set_commit(*commit);
            builder.set_read_sequence(*read_sequence);
            write_entries(entries, builder.init_entries(entries.len() as u32));
        }
        Message::AppendReply {
            term,
            success,
            match_index,
            match_term,
            read_sequence,
        } => {
            root.set_term(*term);
            let mut builder = root.init_append_reply();
            builder.set_success(*success);
            builder.set_match_index(*match_index);
            builder.set_match_term(*match_term);
            builder.set_read_sequence(*read_sequence);
        }
        Message::SnapshotChunk {
            term,
            index,
            snapshot_term,
            members,
            offset_bytes,
            total_bytes,
            data,
        } => {
            root.set_term(*term);
            let mut builder = root.init_snapshot_chunk();
            builder.set_index(*index);
            builder.set_snapshot_term(*snapshot_term);
            write_member_set(members, builder.reborrow().init_members());
            builder.set_offset_bytes(*offset_bytes);
            builder.set_total_bytes(*total_bytes);
            builder.set_data(data);
        }
        Message::SnapshotReply {
            term,
            index,
            received_bytes,
        } => {
            root.set_term(*term);
            let mut builder = root.init_snapshot_reply();
            builder.set_index(*index);
            builder.set_received_bytes(*received_bytes);
        }
        Message::Join {
            formed,
            members_index,
            initial,
        } => {
            let mut builder = root.init_join();
            builder.set_formed(*formed);
            builder.set_members_index(*members_index);
            builder.set_initial(*initial);
        }
        Message::JoinReply {
            storage_id,
            formed,
            members_index,
            members,
        } => {
            let mut builder = root.init_join_reply();
            builder.set_storage_id(*storage_id);
            builder.set_formed(*formed);
            builder.set_members_index(*members_index);
            write_member_set(members, builder.init_members());
        }
        Message::Leave => root.set_leave(()),
        Message::LeaveReply { storage_id } => {
            root.init_leave_reply().set_storage_id(*storage_id);
        }
    }
}

pub fn read_quorum_message(
    reader: schema::quorum_message::Reader<'_>,
) -> Result<Message, DecodeError> {
    use schema::quorum_message as q;
    let term = reader.get_term();
    Ok(match reader.which()? {
        q::PreVote(vote) => Message::PreVote {
            term,
            last_index: vote.get_last_index(),
            last_term: vote.get_last_term(),
            voter_storage_id: vote.get_voter_storage_id(),
        },
        q::PreVoteReply(reply) => Message::PreVoteReply {
            term,
            granted: reply.get_granted(),
        },
        q::Vote(vote) => Message::Vote {
            term,
            last_index: vote.get_last_index(),
            last_term: vote.get_last_term(),
            voter_storage_id: vote.get_voter_storage_id(),
        },
        q::VoteReply(reply) => Message::VoteReply {
            term,
            granted: reply.get_granted(),
        },
        q::Append(append) => Message::Append {
            term,
            prev_index: append.get_prev_index(),
            prev_term: append.get_prev_term(),
            commit: append.get_commit(),
            read_sequence: append.get_read_sequence(),
            entries: read_entries(append.get_entries()?)?,
        },
        q::AppendReply(reply) => Message::AppendReply {
            term,
            success: reply.get_success(),
            match_index: reply.get_match_index(),
            match_term: reply.get_match_term(),
            read_sequence: reply.get_read_sequence(),
        },
        q::SnapshotChunk(chunk) => Message::SnapshotChunk {
            term,
            index: chunk.get_index(),
            snapshot_term: chunk.get_snapshot_term(),
            members: read_member_set(chunk.get_members()?)?,
            offset_bytes: chunk.get_offset_bytes(),
            total_bytes: chunk.get_total_bytes(),
            data: Bytes::copy_from_slice(chunk.get_data()?),
        },
        q::SnapshotReply(reply) => Message::SnapshotReply {
            term,
            index: reply.get_index(),
            received_bytes: reply.get_received_bytes(),
        },
        q::Join(join) => Message::Join {
            formed: join.get_formed(),
            members_index: join.get_members_index(),
            initial: join.get_initial(),
        },
        q::JoinReply(reply) => Message::JoinReply {
            storage_id: reply.get_storage_id(),
            formed: reply.get_formed(),
            members_index: reply.get_members_index(),
            members: read_member_set(reply.get_members()?)?,
        },
        q::Leave(()) => Message::Leave,
        q::LeaveReply(reply) => Message::LeaveReply {
            storage_id: reply.get_storage_id(),
        },
    })
}
