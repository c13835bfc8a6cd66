//! Snapshots: requesting them from the state machine, sending them in chunks and installing them.

use bytes::{Bytes, BytesMut};

use crate::members::MemberHistory;
use crate::message::{EntryBody, MemberSet, Message, Output, ReplicaId, Snapshot, Write};
use crate::peer::{Peer, ReplicationMode};
use crate::replica::{Replica, Role};
use crate::replicate::send_heartbeat;
use crate::writes::DeferredAction;

/// Maximum number of snapshot bytes in one message.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// Divisor of `snapshot_entries` that yields the number of entries kept in memory after a snapshot covers them, so that
/// a replica that lags slightly needs entries only.
const TRAILING_ENTRIES_DIVISOR: u64 = 2;

/// A snapshot that is being received in chunks.
#[derive(Clone, Debug)]
pub(crate) struct IncomingSnapshot {
    from: ReplicaId,
    index: u64,
    term: u64,
    members: MemberSet,
    total_bytes: u64,
    data: BytesMut,
}

impl IncomingSnapshot {
    /// Returns whether both are the same snapshot from the same replica.
    fn is_same(&self, other: &Self) -> bool {
        let identity = |incoming: &Self| (incoming.index, incoming.term, incoming.total_bytes);
        self.from == other.from && identity(self) == identity(other)
    }
}

impl Replica {
    pub(crate) fn request_snapshot(&mut self, out: &mut Vec<Output>) {
        let snapshot_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let entries_since_snapshot = self.applied_index - snapshot_index;
        if self.requested_snapshot_index.is_some()
            || entries_since_snapshot < self.settings.snapshot_entries.max(1)
        {
            return;
        }
        self.requested_snapshot_index = Some(self.applied_index);
        out.push(Output::TakeSnapshot {
            index: self.applied_index,
        });
    }

    pub(crate) fn on_snapshot_state(&mut self, index: u64, state: Bytes, out: &mut Vec<Output>) {
        if self.requested_snapshot_index != Some(index) {
            return;
        }
        self.requested_snapshot_index = None;
        let Some(term) = self.log.term_at(index) else {
            return;
        };
        let snapshot = Snapshot {
            index,
            term,
            members: self.members.at(index).clone(),
            state,
        };
        self.snapshot = Some(snapshot.clone());
        self.members.compact_to(index);
        let trailing_entries = self.settings.snapshot_entries / TRAILING_ENTRIES_DIVISOR;
        self.log.compact_to(index.saturating_sub(trailing_entries));
        self.writes.persist(Write::Snapshot(snapshot), out);
    }

    pub(crate) fn on_snapshot_chunk(
        &mut self,
        from: ReplicaId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let Message::SnapshotChunk {
            term,
            index,
            snapshot_term,
            members,
            offset_bytes,
            total_bytes,
            data,
        } = message
        else {
            return;
        };
        if term < self.term || (term == self.term && self.is_leader()) {
            return;
        }
        self.follow_leader(from.clone(), term, out);
        let chunk_snapshot = IncomingSnapshot {
            from: from.clone(),
            index,
            term: snapshot_term,
            members,
            total_bytes,
            data: BytesMut::new(),
        };
        let received_bytes = self.receive_chunk(chunk_snapshot, offset_bytes, &data, out);
        let message = Message::SnapshotReply {
            term: self.term,
            index,
            received_bytes,
        };
        self.send_after_sync(from, message, out);
    }

    /// Adds a chunk to its snapshot, installs the snapshot once it is complete and returns the number of bytes
    /// received.
    fn receive_chunk(
        &mut self,
        chunk_snapshot: IncomingSnapshot,
        offset_bytes: u64,
        data: &[u8],
        out: &mut Vec<Output>,
    ) -> u64 {
        if chunk_snapshot.index <= self.commit_index {
            return chunk_snapshot.total_bytes;
        }
        let matching = self
            .incoming_snapshot
            .take()
            .filter(|partial| partial.is_same(&chunk_snapshot));
        let mut partial = matching.unwrap_or(chunk_snapshot);
        if offset_bytes == partial.data.len() as u64 {
            partial.data.extend_from_slice(data);
        }
        let received_bytes = partial.data.len() as u64;
        if received_bytes >= partial.total_bytes {
            self.install_snapshot(partial, out);
        } else {
            self.incoming_snapshot = Some(partial);
        }
        received_bytes
    }

    fn install_snapshot(&mut self, complete: IncomingSnapshot, out: &mut Vec<Output>) {
        let snapshot = Snapshot {
            index: complete.index,
            term: complete.term,
            members: complete.members,
            state: complete.data.freeze(),
        };
        self.replace_log(&snapshot, out);
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.requested_snapshot_index = None;
        self.snapshot = Some(snapshot.clone());
        self.writes.persist(Write::Snapshot(snapshot.clone()), out);
        self.writes.after_sync(DeferredAction::MarkSynced {
            last_index: snapshot.index,
        });
        out.push(Output::Restore(snapshot));
    }

    /// Drops the entries that the snapshot covers, and also the later entries unless the log holds the snapshot's last
    /// entry.
    fn replace_log(&mut self, snapshot: &Snapshot, out: &mut Vec<Output>) {
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            self.log.compact_to(index);
        } else {
            self.remove_conflicting_entries(index, out);
            self.log.reset(index, snapshot.term, self.commit_index);
        }
        self.members = MemberHistory::new(snapshot.members.clone());
        for entry in self.log.batch(index + 1, usize::MAX, usize::MAX) {
            if let EntryBody::Members(set) = entry.body {
                self.members.push(set);
            }
        }
    }

    /// Removes the entries from `index` on from the disk before the snapshot is written, so that a crash between the
    /// two writes cannot leave these entries after the snapshot. No entry is needed, since the entry at `index` differs
    /// from the committed entry.
    fn remove_conflicting_entries(&mut self, index: u64, out: &mut Vec<Output>) {
        if index > self.log.last_index() {
            return;
        }
        self.truncate_from(index);
        let write = Write::Append {
            from_index: index,
            entries: Vec::new(),
        };
        self.writes.persist(write, out);
    }

    pub(crate) fn on_snapshot_reply(
        &mut self,
        from: &ReplicaId,
        term: u64,
        index: u64,
        reported_bytes: u64,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            return self.become_follower(term, out);
        }
        let context = self.append_context();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(position) = leader.peer_position(from) else {
            return;
        };
        let peer = &mut leader.peers[position];
        let ReplicationMode::Snapshot {
            snapshot,
            received_bytes,
        } = &mut peer.mode
        else {
            return;
        };
        if term < self.term || snapshot.index != index {
            return;
        }
        if reported_bytes >= snapshot.state.len() as u64 {
            peer.record_match(index);
            peer.start_probing(index + 1);
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), context, out);
            self.advance_commit(out);
        } else if reported_bytes != *received_bytes {
            *received_bytes = reported_bytes;
            send_chunk(peer, context.term, out);
        }
    }
}

/// Sends the chunk that follows the bytes that the replica already holds.
pub(crate) fn send_chunk(peer: &Peer, term: u64, out: &mut Vec<Output>) {
    let ReplicationMode::Snapshot {
        snapshot,
        received_bytes,
    } = &peer.mode
    else {
        return;
    };
    let total = snapshot.state.len();
    let start = (*received_bytes as usize).min(total);
    let end = (start + MAX_CHUNK_BYTES).min(total);
    let message = Message::SnapshotChunk {
        term,
        index: snapshot.index,
        snapshot_term: snapshot.term,
        members: snapshot.members.clone(),
        offset_bytes: start as u64,
        total_bytes: total as u64,
        data: snapshot.state.slice(start..end),
    };
    out.push(Output::Send {
        to: peer.id.clone(),
        message,
    });
}
