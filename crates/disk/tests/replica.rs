//! A replica that stores its data in real files.

use std::path::Path;

use bytes::Bytes;
use disk::{OpenedStore, Store};
use quorum::{Entry, EntryBody, Input, Output, Replica, ReplicaId, ReplicaSettings, Snapshot};

const SNAPSHOT_ENTRIES: u64 = 50;
const ELECTION_MAX_MS: u64 = 1200;

/// The only voter of a log with its store and its state machine, which counts commands.
struct Node {
    store: Store,
    replica: Replica,
    now_ms: u64,
    commands: u64,
}

impl Node {
    fn start(folder: &Path) -> Self {
        let OpenedStore {
            store,
            storage_id,
            recovered,
        } = Store::open(folder).expect("the folder is intact");
        let instance = "voter-1".into();
        let settings = ReplicaSettings {
            id: ReplicaId {
                instance,
                storage_id,
            },
            initial_ids: Vec::new(),
            initial_voters: vec!["voter-1".into()],
            heartbeat_interval_ms: 100,
            election_timeout_min_ms: 600,
            election_timeout_max_ms: ELECTION_MAX_MS,
            snapshot_entries: SNAPSHOT_ENTRIES,
            seed: 1,
        };
        let mut node = Self {
            store,
            replica: Replica::new(settings, recovered, 0),
            now_ms: 0,
            commands: 0,
        };
        node.input(Input::Tick);
        node.now_ms = ELECTION_MAX_MS;
        node.input(Input::Tick);
        assert!(node.replica.status().is_leader);
        node
    }

    /// Handles an input and everything that follows from it: executes the writes and reports them as synced.
    fn input(&mut self, input: Input) {
        let mut inputs = vec![input];
        while let Some(input) = inputs.pop() {
            let mut out = Vec::new();
            self.replica.step(self.now_ms, input, &mut out);
            let mut last_ticket = None;
            for output in out {
                match output {
                    Output::Persist { ticket, write } => {
                        self.store.write(&write).expect("the disk accepts writes");
                        last_ticket = Some(ticket);
                    }
                    Output::Apply(entry) => self.apply(&entry),
                    Output::Restore(snapshot) => self.restore(&snapshot),
                    Output::TakeSnapshot { index } => {
                        let state = Bytes::from(self.commands.to_le_bytes().to_vec());
                        inputs.push(Input::SnapshotState { index, state });
                    }
                    _ => {}
                }
            }
            if let Some(ticket) = last_ticket {
                self.store.sync().expect("the disk accepts syncs");
                inputs.push(Input::Persisted { ticket });
            }
        }
    }

    fn apply(&mut self, entry: &Entry) {
        self.commands += u64::from(matches!(entry.body, EntryBody::Command(_)));
    }

    fn restore(&mut self, snapshot: &Snapshot) {
        let bytes = snapshot.state[..]
            .try_into()
            .expect("the snapshot holds a count");
        self.commands = u64::from_le_bytes(bytes);
    }
}

/// Guards against a replica and a store that interpret a write differently. The state machine must have the same state
/// after each of several restarts.
#[test]
fn state_survives_restarts() {
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut expected = 0;
    for count in [30, 0, 120, 7, 200] {
        let mut node = Node::start(folder.path());
        assert_eq!(node.commands, expected);
        for token in 0..count {
            let command = Bytes::from_static(b"command");
            node.input(Input::Propose { token, command });
        }
        expected += count;
        assert_eq!(node.commands, expected);
    }
    assert_eq!(Node::start(folder.path()).commands, expected);
}
