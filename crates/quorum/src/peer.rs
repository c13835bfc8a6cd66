//! The leader's view of the other replicas.

use std::collections::VecDeque;

use crate::message::{ReplicaId, Snapshot};

/// How the leader sends the log to a replica.
#[derive(Clone, Debug)]
pub(crate) enum Mode {
    /// Sends empty appends until one succeeds.
    Probe,
    /// Sends entries without waiting for each reply.
    Replicate,
    /// Sends a snapshot, of which the replica holds `received_bytes`.
    Snapshot {
        snapshot: Snapshot,
        received_bytes: u64,
    },
}

/// Progress of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    pub(crate) mode: Mode,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Last index known to be synced and to agree.
    pub(crate) match_index: u64,
    /// Appends with entries that have not been answered.
    pub(crate) in_flight: usize,
    /// Highest read sequence answered.
    pub(crate) sequence: u64,
    /// When the latest answered round was sent.
    pub(crate) heard_ms: u64,
}

impl Peer {
    pub(crate) fn new(id: ReplicaId, next_index: u64, now_ms: u64) -> Self {
        Self {
            id,
            mode: Mode::Probe,
            next_index,
            match_index: 0,
            in_flight: 0,
            sequence: 0,
            heard_ms: now_ms,
        }
    }

    /// Falls back to probing from `next_index`.
    pub(crate) fn probe(&mut self, next_index: u64) {
        self.mode = Mode::Probe;
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight = 0;
    }

    /// Records that the replica's synced log agrees up to `match_index`.
    pub(crate) fn matched(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.next_index == self.match_index + 1 {
            self.in_flight = 0;
        }
    }
}

/// Send times of the rounds that may still be answered.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rounds {
    sequence: u64,
    sent: VecDeque<(u64, u64)>,
}

impl Rounds {
    pub(crate) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Starts a round and forgets those sent before `oldest_ms`.
    pub(crate) fn start(&mut self, now_ms: u64, oldest_ms: u64) {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now_ms));
        while self
            .sent
            .front()
            .is_some_and(|(_, at_ms)| *at_ms < oldest_ms)
        {
            self.sent.pop_front();
        }
    }

    /// Returns when the round `sequence` was sent, unless that is too long ago.
    pub(crate) fn sent_ms(&self, sequence: u64) -> Option<u64> {
        let (first, _) = self.sent.front()?;
        let offset = sequence.checked_sub(*first)?;
        self.sent.get(offset as usize).map(|(_, at_ms)| *at_ms)
    }
}

/// A current read that waits for a majority.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// Commit index when the read arrived.
    pub(crate) index: u64,
    /// Round that must be answered by a majority.
    pub(crate) sequence: u64,
}

/// A replica that has asked the leader to be let in.
#[derive(Clone, Debug)]
pub(crate) struct Joiner {
    pub(crate) id: ReplicaId,
    /// Index of the member set that the replica has seen.
    pub(crate) members_index: u64,
    /// When the replica asked.
    pub(crate) heard_ms: u64,
}

/// State that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct Leader {
    pub(crate) peers: Vec<Peer>,
    /// Index of the first entry of the leader's own term.
    pub(crate) first_index: u64,
    pub(crate) rounds: Rounds,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) next_heartbeat_ms: u64,
    /// Last index when the previous heartbeat was sent; a learner that holds it now has caught up.
    pub(crate) catch_up_index: u64,
    pub(crate) joiners: Vec<Joiner>,
}

impl Leader {
    pub(crate) fn peer(&self, id: &ReplicaId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == *id)
    }

    pub(crate) fn position(&self, id: &ReplicaId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.id == *id)
    }
}
