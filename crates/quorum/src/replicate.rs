//! Replication on the leader: heartbeats, batches of entries and the replies to them.

use crate::log::Log;
use crate::message::{Entry, Message, Output, ReplicaId, Snapshot};
use crate::peer::{Peer, ReplicationMode};
use crate::replica::{Replica, Role};
use crate::snapshot::send_chunk;

/// Maximum number of entries in one append.
const MAX_APPEND_ENTRIES: usize = 256;

/// Maximum size of the entries in one append, in bytes. A single entry may be larger.
const MAX_APPEND_BYTES: usize = 256 * 1024;

/// Maximum number of appends with entries in flight per replica. Further entries wait and are sent in larger batches.
const MAX_IN_FLIGHT_APPENDS: usize = 16;

/// The fields that every append of the leader has in common.
#[derive(Clone, Copy)]
pub(crate) struct AppendContext {
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
        self.start_next_membership_change(out);
        if let Role::Leader(leader) = &mut self.role {
            leader.catch_up_index = self.log.last_index();
        }
        self.start_heartbeat_round(out);
        // If there are no other voters, the round is already confirmed.
        self.answer_confirmed_reads(out);
    }

    /// Sends a heartbeat with the number of a new round to every other replica.
    pub(crate) fn start_heartbeat_round(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let oldest_ms = self
            .now_ms
            .saturating_sub(self.settings.election_timeout_min_ms);
        leader.heartbeat_rounds.start(self.now_ms, oldest_ms);
        let context = AppendContext {
            term: self.term,
            commit: self.commit_index,
            read_sequence: leader.heartbeat_rounds.last_sequence(),
        };
        for peer in &mut leader.peers {
            if matches!(peer.mode, ReplicationMode::Replicate)
                && peer.replied_round_sent_ms < oldest_ms
            {
                peer.start_probing(peer.match_index + 1);
            }
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), context, out);
        }
    }

    /// Sends new entries to every replica that is in replicate mode and has room for further appends in flight.
    pub(crate) fn send_entries(&mut self, out: &mut Vec<Output>) {
        let context = self.append_context();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        for peer in &mut leader.peers {
            send_batches(peer, &self.log, context, out);
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
        let context = self.append_context();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let Some(position) = leader.peer_position(from) else {
            return;
        };
        if term < self.term || match_index > self.log.last_index() && success {
            return;
        }
        let sent_ms = leader.heartbeat_rounds.sent_ms(read_sequence).unwrap_or(0);
        let peer = &mut leader.peers[position];
        peer.replied_round_sent_ms = peer.replied_round_sent_ms.max(sent_ms);
        peer.replied_sequence = peer.replied_sequence.max(read_sequence);
        if success {
            record_success(peer, match_index);
            send_batches(peer, &self.log, context, out);
        } else if !matches!(peer.mode, ReplicationMode::Snapshot { .. }) {
            peer.start_probing(self.log.last_index_up_to_term(match_index, match_term) + 1);
            send_heartbeat(peer, &self.log, self.snapshot.as_ref(), context, out);
        }
        self.advance_commit(out);
        self.answer_confirmed_reads(out);
    }

    /// Adds and removes peers so that they match the member set in force.
    pub(crate) fn update_peers(&mut self) {
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let set = self.members.current();
        leader.peers.retain(|peer| set.contains(&peer.id));
        for id in set.replicas().filter(|id| **id != self.settings.id) {
            if leader.peer_position(id).is_none() {
                let next_index = leader.term_start_index;
                leader
                    .peers
                    .push(Peer::new(id.clone(), next_index, self.now_ms));
            }
        }
    }

    pub(crate) fn append_context(&self) -> AppendContext {
        let read_sequence = match &self.role {
            Role::Leader(leader) => leader.heartbeat_rounds.last_sequence(),
            _ => 0,
        };
        AppendContext {
            term: self.term,
            commit: self.commit_index,
            read_sequence,
        }
    }
}

/// Records a successful append and updates the replication mode.
fn record_success(peer: &mut Peer, match_index: u64) {
    peer.record_match(match_index);
    match &peer.mode {
        ReplicationMode::Probe => peer.mode = ReplicationMode::Replicate,
        ReplicationMode::Snapshot { snapshot, .. } if match_index >= snapshot.index => {
            peer.start_probing(match_index + 1);
            peer.mode = ReplicationMode::Replicate;
        }
        ReplicationMode::Replicate | ReplicationMode::Snapshot { .. } => {}
    }
}

/// Sends an append without entries. If the log no longer holds the entries that the replica needs, also sends the next
/// chunk of a snapshot.
pub(crate) fn send_heartbeat(
    peer: &mut Peer,
    log: &Log,
    snapshot: Option<&Snapshot>,
    context: AppendContext,
    out: &mut Vec<Output>,
) {
    let is_behind = log.term_at(peer.next_index - 1).is_none();
    if let (ReplicationMode::Probe | ReplicationMode::Replicate, true, Some(snapshot)) =
        (&peer.mode, is_behind, snapshot)
    {
        peer.mode = ReplicationMode::Snapshot {
            snapshot: snapshot.clone(),
            received_bytes: 0,
        };
    }
    let prev_index = match &peer.mode {
        ReplicationMode::Snapshot { .. } => {
            send_chunk(peer, context.term, out);
            log.last_index()
        }
        ReplicationMode::Probe | ReplicationMode::Replicate => peer.next_index - 1,
    };
    send_append(peer, log, prev_index, Vec::new(), context, out);
}

fn send_batches(peer: &mut Peer, log: &Log, context: AppendContext, out: &mut Vec<Output>) {
    while matches!(peer.mode, ReplicationMode::Replicate)
        && peer.in_flight < MAX_IN_FLIGHT_APPENDS
        && peer.next_index <= log.last_index()
    {
        let entries = log.batch(peer.next_index, MAX_APPEND_ENTRIES, MAX_APPEND_BYTES);
        if entries.is_empty() {
            // The log no longer holds the entries that the replica needs; the next heartbeat starts a snapshot
            // transfer.
            return;
        }
        let prev_index = peer.next_index - 1;
        peer.next_index += entries.len() as u64;
        peer.in_flight += 1;
        send_append(peer, log, prev_index, entries, context, out);
    }
}

fn send_append(
    peer: &Peer,
    log: &Log,
    prev_index: u64,
    entries: Vec<Entry>,
    context: AppendContext,
    out: &mut Vec<Output>,
) {
    let message = Message::Append {
        term: context.term,
        prev_index,
        prev_term: log.term_at(prev_index).unwrap_or(0),
        commit: context.commit,
        read_sequence: context.read_sequence,
        entries,
    };
    out.push(Output::Send {
        to: peer.id.clone(),
        message,
    });
}
