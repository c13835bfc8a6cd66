//! Snapshots: taking them, sending them in chunks and installing them.

use bytes::{Bytes, BytesMut};

use crate::members::MemberHistory;
use crate::message::{EntryBody, MemberSet, Message, Output, ReplicaId, Snapshot, Write};
use crate::peer::{Mode, Peer};
use crate::replica::{Replica, Role};
use crate::replicate::send_heartbeat;
use crate::writes::Followup;

/// Bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 64 * 1024;

/// Share of `snapshot_entries` kept in memory behind a snapshot, so that a replica that is slightly behind needs only
/// entries.
const TRAILING_DIVISOR: u64 = 2;

/// A snapshot that is being received.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    from: ReplicaId,
    index: u64,
    term: u64,
    members: MemberSet,
    total_bytes: u64,
    data: BytesMut,
}

impl Incoming {
    /// Returns whether both are the same snapshot from the same leader.
    fn is_same(&self, other: &Self) -> bool {
        let key = |one: &Self| (one.index, one.term, one.total_bytes);
        self.from == other.from && key(self) == key(other)
    }
}

impl Replica {
    pub(crate) fn request_snapshot(&mut self, out: &mut Vec<Output>) {
        let covered_index = self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let grown = self.applied_index - covered_index;
        if self.taking_index.is_some() || grown < self.settings.snapshot_entries.max(1) {
            return;
        }
        self.taking_index = Some(self.applied_index);
        out.push(Output::TakeSnapshot {
            index: self.applied_index,
        });
    }

    pub(crate) fn on_state(&mut self, index: u64, state: Bytes, out: &mut Vec<Output>) {
        if self.taking_index != Some(index) {
            return;
        }
        self.taking_index = None;
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
        let trailing = self.settings.snapshot_entries / TRAILING_DIVISOR;
        self.log.compact_to(index.saturating_sub(trailing));
        self.writes.persist(Write::Snapshot(snapshot), out);
    }

    pub(crate) fn on_chunk(&mut self, from: ReplicaId, message: Message, out: &mut Vec<Output>) {
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
        self.follow(from.clone(), term, out);
        let begun = Incoming {
            from: from.clone(),
            index,
            term: snapshot_term,
            members,
            total_bytes,
            data: BytesMut::new(),
        };
        let received_bytes = self.receive_chunk(begun, offset_bytes, &data, out);
        let message = Message::SnapshotReply {
            term: self.term,
            index,
            received_bytes,
        };
        self.send_synced(from, message, out);
    }

    /// Adds a chunk to the snapshot that it belongs to, installs that when it is whole and returns the bytes held.
    fn receive_chunk(
        &mut self,
        begun: Incoming,
        offset_bytes: u64,
        data: &[u8],
        out: &mut Vec<Output>,
    ) -> u64 {
        if begun.index <= self.commit_index {
            return begun.total_bytes;
        }
        let kept = self.incoming.take().filter(|held| held.is_same(&begun));
        let mut held = kept.unwrap_or(begun);
        if offset_bytes == held.data.len() as u64 {
            held.data.extend_from_slice(data);
        }
        let received_bytes = held.data.len() as u64;
        if received_bytes >= held.total_bytes {
            self.install(held, out);
        } else {
            self.incoming = Some(held);
        }
        received_bytes
    }

    fn install(&mut self, held: Incoming, out: &mut Vec<Output>) {
        let snapshot = Snapshot {
            index: held.index,
            term: held.term,
            members: held.members,
            state: held.data.freeze(),
        };
        self.replace_log(&snapshot, out);
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.taking_index = None;
        self.snapshot = Some(snapshot.clone());
        self.writes.persist(Write::Snapshot(snapshot.clone()), out);
        self.writes.after(Followup::Synced {
            last_index: snapshot.index,
        });
        out.push(Output::Restore(snapshot));
    }

    /// Drops the log that the snapshot covers, and what follows if it is not known to continue the snapshot.
    fn replace_log(&mut self, snapshot: &Snapshot, out: &mut Vec<Output>) {
        let index = snapshot.index;
        if self.log.term_at(index) == Some(snapshot.term) {
            self.log.compact_to(index);
        } else {
            self.remove_conflict(index, out);
            self.log.reset(index, snapshot.term, self.commit_index);
        }
        self.members = MemberHistory::new(snapshot.members.clone());
        for entry in self.log.batch(index + 1, usize::MAX, usize::MAX) {
            if let EntryBody::Members(set) = entry.body {
                self.members.push(set);
            }
        }
    }

    /// Removes entries from `index` on from the disk before the snapshot is written, so that a crash between the two
    /// cannot leave them behind the snapshot. The entry at `index` differs from the committed one, so none is needed.
    fn remove_conflict(&mut self, index: u64, out: &mut Vec<Output>) {
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

    pub(crate) fn on_chunk_reply(
        &mut self,
        from: &ReplicaId,
        term: u64,
        index: u64,
        received: u64,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            return self.become_follower(term, out);
        }
        let stamp = self.stamp();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(position) = leader.position(from) else {
            return;
        };
        let peer = &mut leader.peers[position];
        let Mode::Snapshot {
            snapshot,
            received_bytes,
        } = &mut peer.mode
        else {
            return;
        };
        if term < self.term || snapshot.index != index {
            return;
        }
        if received >= snapshot.state.len() as u64 {
            peer.matched(index);
            peer.probe(index + 1);
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), stamp, out);
            self.advance_commit(out);
        } else if received != *received_bytes {
            *received_bytes = received;
            send_chunk(peer, stamp.term, out);
        }
    }
}

/// Sends the chunk after the bytes that the replica holds.
pub(crate) fn send_chunk(peer: &Peer, term: u64, out: &mut Vec<Output>) {
    let Mode::Snapshot {
        snapshot,
        received_bytes,
    } = &peer.mode
    else {
        return;
    };
    let total = snapshot.state.len();
    let start = (*received_bytes as usize).min(total);
    let end = (start + CHUNK_BYTES).min(total);
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
