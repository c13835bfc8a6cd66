//! What the leader knows about the other replicas.

use std::collections::VecDeque;

use crate::message::{ReplicaId, Snapshot};

/// How the leader replicates the log to another replica.
#[derive(Clone, Debug)]
pub(crate) enum ReplicationMode {
    /// The leader sends appends without entries until one succeeds.
    Probe,
    /// The leader sends entries without waiting for each reply.
    Replicate,
    /// The leader sends a snapshot, of which the replica holds `received_bytes`.
    Snapshot {
        snapshot: Snapshot,
        received_bytes: u64,
    },
}

/// Replication progress of one replica.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) id: ReplicaId,
    pub(crate) mode: ReplicationMode,
    /// Next index to send.
    pub(crate) next_index: u64,
    /// Highest index up to which the replica's log is known to be synced and to match the leader's log.
    pub(crate) match_index: u64,
    /// Number of appends with entries to which the replica has not replied.
    pub(crate) in_flight: usize,
    /// Number of the latest heartbeat round to which the replica has replied.
    pub(crate) replied_sequence: u64,
    /// Send time of the latest heartbeat round to which the replica has replied, in milliseconds.
    pub(crate) replied_round_sent_ms: u64,
}

impl Peer {
    pub(crate) fn new(id: ReplicaId, next_index: u64, now_ms: u64) -> Self {
        Self {
            id,
            mode: ReplicationMode::Probe,
            next_index,
            match_index: 0,
            in_flight: 0,
            replied_sequence: 0,
            replied_round_sent_ms: now_ms,
        }
    }

    /// Switches to probing from `next_index`.
    pub(crate) fn start_probing(&mut self, next_index: u64) {
        self.mode = ReplicationMode::Probe;
        self.next_index = next_index.max(self.match_index + 1);
        self.in_flight = 0;
    }

    /// Records that the replica's synced log matches the leader's log up to `match_index`.
    pub(crate) fn record_match(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.next_index == self.match_index + 1 {
            self.in_flight = 0;
        }
    }
}

/// Numbers and send times of the heartbeat rounds for which a late reply still counts.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeartbeatRounds {
    last_sequence: u64,
    send_times: VecDeque<(u64, u64)>,
}

impl HeartbeatRounds {
    pub(crate) fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Starts a heartbeat round and removes the rounds sent before `oldest_ms`.
    pub(crate) fn start(&mut self, now_ms: u64, oldest_ms: u64) {
        self.last_sequence += 1;
        self.send_times.push_back((self.last_sequence, now_ms));
        while self
            .send_times
            .front()
            .is_some_and(|(_, at_ms)| *at_ms < oldest_ms)
        {
            self.send_times.pop_front();
        }
    }

    /// Returns the send time of the heartbeat round `sequence` in milliseconds, or `None` if the round has been
    /// removed.
    pub(crate) fn sent_ms(&self, sequence: u64) -> Option<u64> {
        let (first, _) = self.send_times.front()?;
        let offset = sequence.checked_sub(*first)?;
        self.send_times
            .get(offset as usize)
            .map(|(_, at_ms)| *at_ms)
    }
}

/// A linearizable read that waits until a majority has confirmed the leader.
#[derive(Clone, Debug)]
pub(crate) struct PendingRead {
    pub(crate) token: u64,
    /// Commit index at the time the read arrived.
    pub(crate) index: u64,
    /// Number of the heartbeat round to which a majority must have replied before the read is answered.
    pub(crate) required_sequence: u64,
}

/// A replica that has sent the leader a join request.
#[derive(Clone, Debug)]
pub(crate) struct Joiner {
    pub(crate) id: ReplicaId,
    /// Whether the replica holds a log, as a former member does.
    pub(crate) holds_log: bool,
    /// Whether the replica has taken part in the first start of the whole system.
    pub(crate) is_initial: bool,
    /// Index of the latest member set that the replica has received from a leader.
    pub(crate) members_index: u64,
    /// Time at which the join request arrived, in milliseconds.
    pub(crate) requested_ms: u64,
}

/// A replica that has told the leader that its process is to stop.
#[derive(Clone, Debug)]
pub(crate) struct Leaver {
    pub(crate) id: ReplicaId,
    /// Time at which the latest request arrived, in milliseconds.
    pub(crate) requested_ms: u64,
    /// Whether the leader has let the process stop.
    pub(crate) is_released: bool,
}

/// The state that only a leader has.
#[derive(Clone, Debug)]
pub(crate) struct LeaderState {
    pub(crate) peers: Vec<Peer>,
    /// Index of the first entry of the leader's own term.
    pub(crate) term_start_index: u64,
    pub(crate) heartbeat_rounds: HeartbeatRounds,
    pub(crate) reads: VecDeque<PendingRead>,
    pub(crate) next_heartbeat_ms: u64,
    /// Last index of the log at the previous heartbeat; a learner whose log has reached this index has caught up.
    pub(crate) catch_up_index: u64,
    pub(crate) joiners: Vec<Joiner>,
    pub(crate) leavers: Vec<Leaver>,
    /// Time since which each instance of the committed member set has had a voter, in milliseconds.
    pub(crate) settled_since_ms: Option<u64>,
}

impl LeaderState {
    pub(crate) fn peer(&self, id: &ReplicaId) -> Option<&Peer> {
        self.peers.iter().find(|peer| peer.id == *id)
    }

    pub(crate) fn peer_position(&self, id: &ReplicaId) -> Option<usize> {
        self.peers.iter().position(|peer| peer.id == *id)
    }
}
