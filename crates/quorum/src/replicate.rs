//! The leader's side of replication: heartbeats, batches and their replies.

use crate::log::Log;
use crate::message::{Entry, Message, Output, ReplicaId, Snapshot};
use crate::peer::{Mode, Peer};
use crate::replica::{Replica, Role};
use crate::snapshot::send_chunk;

/// Entries in one append.
const BATCH_ENTRIES: usize = 256;

/// Bytes of commands in one append. One entry may be larger.
const BATCH_BYTES: usize = 256 * 1024;

/// Unanswered appends with entries per replica; more entries wait and go out in larger batches.
const MAX_IN_FLIGHT: usize = 16;

/// What every append of the leader carries.
#[derive(Clone, Copy)]
pub(crate) struct Stamp {
    pub(crate) term: u64,
    commit: u64,
    read_sequence: u64,
}

impl Replica {
    pub(crate) fn tick_leader(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        if self.now_ms < leader.next_heartbeat_ms {
            return;
        }
        leader.next_heartbeat_ms = self.now_ms + self.settings.heartbeat_interval_ms;
        self.maintain_members(out);
        if let Role::Leader(leader) = &mut self.role {
            leader.catch_up_index = self.log.last_index();
        }
        self.start_round(out);
        // Without other voters the round is already confirmed.
        self.release_reads(out);
    }

    /// Sends a heartbeat to every replica under a new read sequence.
    pub(crate) fn start_round(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let oldest_ms = self
            .now_ms
            .saturating_sub(self.settings.election_timeout_min_ms);
        leader.rounds.start(self.now_ms, oldest_ms);
        let stamp = Stamp {
            term: self.term,
            commit: self.commit_index,
            read_sequence: leader.rounds.sequence(),
        };
        for peer in &mut leader.peers {
            if matches!(peer.mode, Mode::Replicate) && peer.heard_ms < oldest_ms {
                peer.probe(peer.match_index + 1);
            }
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), stamp, out);
        }
    }

    /// Sends new entries to every replica that is ready for them.
    pub(crate) fn send_entries(&mut self, out: &mut Vec<Output>) {
        let stamp = self.stamp();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for peer in &mut leader.peers {
            send_batches(peer, &self.log, stamp, out);
        }
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: &ReplicaId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        let Message::AppendReply {
            term,
            success,
            match_index,
            match_term,
            read_sequence,
        } = message
        else {
            return;
        };
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
        if term < self.term || match_index > self.log.last_index() && success {
            return;
        }
        let sent_ms = leader.rounds.sent_ms(read_sequence).unwrap_or(0);
        let peer = &mut leader.peers[position];
        peer.heard_ms = peer.heard_ms.max(sent_ms);
        peer.sequence = peer.sequence.max(read_sequence);
        if success {
            accept(peer, match_index);
            send_batches(peer, &self.log, stamp, out);
        } else if !matches!(peer.mode, Mode::Snapshot { .. }) {
            peer.probe(self.log.last_at_most(match_index, match_term) + 1);
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), stamp, out);
        }
        self.advance_commit(out);
        self.release_reads(out);
    }

    /// Brings the list of peers in line with the member set in force.
    pub(crate) fn update_peers(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let set = self.members.current();
        leader.peers.retain(|peer| set.contains(&peer.id));
        for id in set.replicas().filter(|id| **id != self.settings.id) {
            if leader.position(id).is_none() {
                let next_index = leader.first_index;
                leader
                    .peers
                    .push(Peer::new(id.clone(), next_index, self.now_ms));
            }
        }
    }

    pub(crate) fn stamp(&self) -> Stamp {
        let read_sequence = match &self.role {
            Role::Leader(leader) => leader.rounds.sequence(),
            _ => 0,
        };
        Stamp {
            term: self.term,
            commit: self.commit_index,
            read_sequence,
        }
    }
}

/// Takes in a successful append.
fn accept(peer: &mut Peer, match_index: u64) {
    peer.matched(match_index);
    match &peer.mode {
        Mode::Probe => peer.mode = Mode::Replicate,
        Mode::Snapshot { snapshot, .. } if match_index >= snapshot.index => {
            peer.probe(match_index + 1);
            peer.mode = Mode::Replicate;
        }
        Mode::Replicate | Mode::Snapshot { .. } => {}
    }
}

/// Sends an append without entries, or the next part of a snapshot if the log no longer reaches back far enough.
pub(crate) fn send_heartbeat(
    peer: &mut Peer,
    log: &Log,
    snapshot: Option<&Snapshot>,
    stamp: Stamp,
    out: &mut Vec<Output>,
) {
    let is_behind = log.term_at(peer.next_index - 1).is_none();
    if let (Mode::Probe | Mode::Replicate, true, Some(snapshot)) = (&peer.mode, is_behind, snapshot)
    {
        peer.mode = Mode::Snapshot {
            snapshot: snapshot.clone(),
            received_bytes: 0,
        };
    }
    let prev_index = match &peer.mode {
        Mode::Snapshot { .. } => {
            send_chunk(peer, stamp.term, out);
            log.last_index()
        }
        Mode::Probe | Mode::Replicate => peer.next_index - 1,
    };
    send_append(peer, log, prev_index, Vec::new(), stamp, out);
}

fn send_batches(peer: &mut Peer, log: &Log, stamp: Stamp, out: &mut Vec<Output>) {
    while matches!(peer.mode, Mode::Replicate)
        && peer.in_flight < MAX_IN_FLIGHT
        && peer.next_index <= log.last_index()
    {
        let entries = log.batch(peer.next_index, BATCH_ENTRIES, BATCH_BYTES);
        if entries.is_empty() {
            // The log has been compacted past the replica; the next heartbeat starts a snapshot.
            return;
        }
        let prev_index = peer.next_index - 1;
        peer.next_index += entries.len() as u64;
        peer.in_flight += 1;
        send_append(peer, log, prev_index, entries, stamp, out);
    }
}

fn send_append(
    peer: &Peer,
    log: &Log,
    prev_index: u64,
    entries: Vec<Entry>,
    stamp: Stamp,
    out: &mut Vec<Output>,
) {
    let message = Message::Append {
        term: stamp.term,
        prev_index,
        prev_term: log.term_at(prev_index).unwrap_or(0),
        commit: stamp.commit,
        read_sequence: stamp.read_sequence,
        entries,
    };
    out.push(Output::Send {
        to: peer.id.clone(),
        message,
    });
}
