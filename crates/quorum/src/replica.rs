//! The replica's state machine.

use faststr::FastStr;

use crate::message::{Input, Output, Recovered, ReplicaId, Status};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Instance ids of the initial voters.
    pub initial_voters: Vec<FastStr>,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Shortest election timeout, in milliseconds.
    pub election_timeout_min_ms: u64,
    /// Longest election timeout, in milliseconds.
    pub election_timeout_max_ms: u64,
    /// Log entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Seed of the generator for election timeouts.
    pub seed: u64,
}

/// A replica of the log.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
}

impl Replica {
    /// Creates a replica from what its disk holds.
    pub fn new(settings: ReplicaSettings, _recovered: Recovered, _now_ms: u64) -> Self {
        Self { settings }
    }

    /// Handles one input and appends the outputs to `out`.
    pub fn step(&mut self, _now_ms: u64, _input: Input, _out: &mut Vec<Output>) {}

    /// Returns the replica's state for `status` and metrics.
    pub fn status(&self) -> Status {
        Status {
            leader: Some(self.settings.id.instance.clone()),
            ..Status::default()
        }
    }
}
