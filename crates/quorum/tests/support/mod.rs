//! A cluster of replicas with a virtual clock, a fake network and fake disks.
#![allow(dead_code, reason = "each test file uses only a part of this module")]

pub mod checks;
pub mod disk;
pub mod network;
pub mod random;
pub mod seeds;

use std::collections::{BTreeMap, VecDeque};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use quorum::{
    EntryBody, Input, MemberSet, Message, Output, Replica, ReplicaId, ReplicaSettings, Snapshot,
    Status,
};

use checks::Checks;
use disk::FakeDisk;
use network::Network;
use random::Random;

pub const TICK_MS: u64 = 20;
pub const HEARTBEAT_MS: u64 = 100;
pub const ELECTION_MIN_MS: u64 = 600;
pub const ELECTION_MAX_MS: u64 = 1200;

/// Virtual time within which a healthy majority elects a leader with very high probability, in milliseconds.
pub const SETTLE_MS: u64 = 10_000;

/// Longest duration of a sync on a healthy disk, in milliseconds.
pub const HEALTHY_MAX_SYNC_DELAY_MS: u64 = 8;

#[derive(Debug, Clone)]
enum Event {
    Deliver {
        from: ReplicaId,
        message: Message,
    },
    Synced {
        incarnation: u64,
        ticket: u64,
    },
    SnapshotState {
        incarnation: u64,
        index: u64,
        state: Bytes,
    },
}

/// An instance, its disk and the replica that runs on the instance, if any.
pub struct Node {
    pub id: ReplicaId,
    pub disk: FakeDisk,
    pub replica: Option<Replica>,
    pub paused_until_ms: u64,
    incarnation: u64,
    deferred_events: VecDeque<Event>,
    applied_index: u64,
    hash: u64,
    /// Tokens of the proposals of this incarnation, by index and term.
    proposed: BTreeMap<(u64, u64), u64>,
    /// Highest acknowledged index at the time a read was issued, by the read's token.
    reads: BTreeMap<u64, u64>,
    pub reads_ready: usize,
    pub reads_refused: usize,
    pub restores: usize,
    disk_idle_at_ms: u64,
}

impl Node {
    pub fn status(&self) -> Status {
        self.replica
            .as_ref()
            .map(Replica::status)
            .unwrap_or_default()
    }

    pub fn is_leader(&self) -> bool {
        self.status().is_leader
    }
}

pub struct Cluster {
    pub now_ms: u64,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub checks: Checks,
    pub random: Random,
    pub initial_voters: usize,
    pub snapshot_entries: u64,
    /// Number of bytes that pad the state, so that a snapshot needs several chunks.
    pub padding_bytes: usize,
    events: BTreeMap<(u64, u64), (usize, Event)>,
    next_event: u64,
    next_token: u64,
    next_storage_id: u64,
    pub messages: usize,
    pub max_sync_delay_ms: u64,
}

impl Cluster {
    /// Creates a cluster of `voters` initial voters and `others` further nodes, all stopped and with empty disks.
    pub fn new(seed: u64, voters: usize, others: usize) -> Self {
        let mut cluster = Self {
            now_ms: 1000,
            nodes: Vec::new(),
            network: Network::default(),
            checks: Checks::default(),
            random: Random(seed),
            initial_voters: voters,
            snapshot_entries: 40,
            padding_bytes: 0,
            events: BTreeMap::new(),
            next_event: 0,
            next_token: 0,
            next_storage_id: 100,
            messages: 0,
            max_sync_delay_ms: HEALTHY_MAX_SYNC_DELAY_MS,
        };
        for position in 0..voters + others {
            let id = cluster.new_identity(position);
            cluster.nodes.push(Node {
                id,
                disk: FakeDisk::default(),
                replica: None,
                paused_until_ms: 0,
                incarnation: 0,
                deferred_events: VecDeque::new(),
                applied_index: 0,
                hash: 0,
                proposed: BTreeMap::new(),
                reads: BTreeMap::new(),
                reads_ready: 0,
                reads_refused: 0,
                restores: 0,
                disk_idle_at_ms: 0,
            });
        }
        cluster
    }

    /// Creates a cluster of `voters` initial voters, starts all nodes and runs until there is a leader.
    pub fn with_leader(seed: u64, voters: usize) -> Self {
        let mut cluster = Self::new(seed, voters, 0);
        cluster.start_all();
        cluster.run_until(SETTLE_MS, |cluster| cluster.leader().is_some());
        cluster
    }

    pub fn start_all(&mut self) {
        for node in 0..self.nodes.len() {
            self.start(node);
        }
    }

    pub fn start(&mut self, position: usize) {
        if self.nodes[position].replica.is_some() {
            return;
        }
        let settings = ReplicaSettings {
            id: self.nodes[position].id.clone(),
            initial_ids: Vec::new(),
            initial_voters: (0..self.initial_voters).map(instance_name).collect(),
            heartbeat_interval_ms: HEARTBEAT_MS,
            election_timeout_min_ms: ELECTION_MIN_MS,
            election_timeout_max_ms: ELECTION_MAX_MS,
            snapshot_entries: self.snapshot_entries,
            seed: self.random.next(),
        };
        let now_ms = self.now_ms;
        let node = &mut self.nodes[position];
        let recovered = node.disk.durable.clone();
        node.applied_index = 0;
        node.hash = 0;
        node.replica = Some(Replica::new(settings, recovered, now_ms));
        self.step(position, Input::Tick);
    }

    /// Stops the process of a node. Unsynced writes may be lost.
    pub fn crash(&mut self, position: usize) {
        let node = &mut self.nodes[position];
        if node.replica.take().is_none() {
            return;
        }
        node.incarnation += 1;
        node.deferred_events.clear();
        node.proposed.clear();
        node.reads.clear();
        let synced = node.disk.crash(&mut self.random);
        self.checks.record_synced(&node.id, &synced);
    }

    /// Stops a node and empties its disk. The node restarts under a new identity.
    pub fn wipe(&mut self, position: usize) {
        self.crash(position);
        let id = self.new_identity(position);
        let node = &mut self.nodes[position];
        node.id = id;
        node.disk = FakeDisk::default();
    }

    pub fn pause(&mut self, position: usize, for_ms: u64) {
        self.nodes[position].paused_until_ms = self.now_ms + for_ms;
    }

    /// Ends all faults and starts the stopped nodes.
    pub fn clear_faults(&mut self) {
        self.network = Network::default();
        self.max_sync_delay_ms = HEALTHY_MAX_SYNC_DELAY_MS;
        for node in 0..self.nodes.len() {
            self.nodes[node].paused_until_ms = 0;
            self.start(node);
        }
    }

    /// Returns the leader with the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leaders = (0..self.nodes.len()).filter(|n| self.nodes[*n].is_leader());
        leaders.max_by_key(|n| self.nodes[*n].status().term)
    }

    pub fn run(&mut self, for_ms: u64) {
        self.run_until(for_ms, |_| false);
    }

    /// Runs until the condition holds or `limit_ms` has passed and returns whether the condition holds.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms {
            if done(self) {
                return true;
            }
            self.advance();
        }
        done(self)
    }

    /// Proposes on every running replica that acts as the leader.
    pub fn propose_on_leaders(&mut self) {
        for position in self.running_leaders() {
            self.propose(position);
        }
    }

    pub fn propose(&mut self, position: usize) {
        let token = self.token();
        let command = Bytes::from(token.to_le_bytes().to_vec());
        self.step(position, Input::Propose { token, command });
    }

    /// Requests a linearizable read on every running replica that acts as the leader.
    pub fn read_on_leaders(&mut self) {
        for position in self.running_leaders() {
            self.read(position);
        }
    }

    pub fn read(&mut self, position: usize) {
        let token = self.token();
        let acknowledged_index = self.checks.acknowledged_index;
        self.nodes[position].reads.insert(token, acknowledged_index);
        self.step(position, Input::Read { token });
    }

    /// Proposes on the leader and returns whether a new proposal is acknowledged within about `limit_ms`.
    pub fn commits_within(&mut self, limit_ms: u64) -> bool {
        if !self.run_until(limit_ms, |cluster| cluster.leader().is_some()) {
            return false;
        }
        let before = self.checks.acknowledged_index;
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms {
            let Some(leader) = self.leader() else {
                self.advance();
                continue;
            };
            self.propose(leader);
            let done = |cluster: &Self| cluster.checks.acknowledged_index > before;
            if self.run_until(2000, done) {
                return true;
            }
        }
        false
    }

    /// Describes the state of all replicas, one per line.
    pub fn describe(&self) -> String {
        let mut text = format!("at {} ms, {} messages\n", self.now_ms, self.messages);
        for node in &self.nodes {
            let status = node.status();
            let ids = |ids: &[ReplicaId]| ids.iter().map(|id| id.storage_id).collect::<Vec<_>>();
            text += &format!(
                "{} {}: term {} leads {} leader {:?} last {} commit {} applied {} voters {:?} learners {:?}\n",
                node.id.instance,
                node.id.storage_id,
                status.term,
                status.is_leader,
                status.leader,
                status.last_index,
                status.commit_index,
                node.applied_index,
                ids(&status.members.voters),
                ids(&status.members.learners),
            );
        }
        text
    }

    /// Returns whether the member set on every initial voter consists of the current identities of the initial voters
    /// and no learners.
    pub fn has_expected_members(&self) -> bool {
        let ids = self.nodes.iter().take(self.initial_voters);
        let expected: Vec<ReplicaId> = ids.map(|node| node.id.clone()).collect();
        let nodes = self.nodes.iter().take(self.initial_voters);
        let mut sets = nodes.map(|node| node.status().members);
        sets.all(|set| set.voters == expected && set.learners.is_empty())
    }

    pub fn input(&mut self, position: usize, input: Input) {
        self.step(position, input);
    }

    pub fn applied_index(&self, position: usize) -> u64 {
        self.nodes[position].applied_index
    }

    pub fn members(&self, position: usize) -> MemberSet {
        self.nodes[position].status().members
    }

    pub fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn running_leaders(&self) -> Vec<usize> {
        let is_running_leader =
            |node: &Node| node.is_leader() && node.paused_until_ms <= self.now_ms;
        (0..self.nodes.len())
            .filter(|position| is_running_leader(&self.nodes[*position]))
            .collect()
    }

    fn new_identity(&mut self, position: usize) -> ReplicaId {
        self.next_storage_id += 1;
        ReplicaId {
            instance: instance_name(position),
            storage_id: self.next_storage_id,
        }
    }

    /// Advances the clock to the next tick and handles the events before it.
    fn advance(&mut self) {
        let tick_ms = (self.now_ms / TICK_MS + 1) * TICK_MS;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > tick_ms {
                break;
            }
            let ((at_ms, _), (position, event)) = entry.remove_entry();
            self.now_ms = self.now_ms.max(at_ms);
            self.handle(position, event);
        }
        self.now_ms = tick_ms;
        for position in 0..self.nodes.len() {
            if self.nodes[position].paused_until_ms <= self.now_ms {
                self.handle_deferred(position);
                self.step(position, Input::Tick);
            }
        }
    }

    /// Handles the events that arrived while the node was paused.
    fn handle_deferred(&mut self, position: usize) {
        while let Some(event) = self.nodes[position].deferred_events.pop_front() {
            self.handle(position, event);
        }
    }

    fn handle(&mut self, position: usize, event: Event) {
        let node = &mut self.nodes[position];
        if node.replica.is_none() {
            return;
        }
        if node.paused_until_ms > self.now_ms {
            node.deferred_events.push_back(event);
            return;
        }
        match event {
            Event::Deliver { from, message } => {
                self.step(position, Input::Receive { from, message });
            }
            Event::Synced {
                incarnation,
                ticket,
            } => {
                if incarnation == node.incarnation {
                    let entries = node.disk.sync(ticket);
                    self.checks.record_synced(&node.id, &entries);
                    self.step(position, Input::Persisted { ticket });
                }
            }
            Event::SnapshotState {
                incarnation,
                index,
                state,
            } => {
                if incarnation == node.incarnation {
                    self.step(position, Input::SnapshotState { index, state });
                }
            }
        }
    }

    fn step(&mut self, position: usize, input: Input) {
        let mut outputs = Vec::new();
        let now_ms = self.now_ms;
        let Some(replica) = &mut self.nodes[position].replica else {
            return;
        };
        replica.step(now_ms, input, &mut outputs);
        let status = replica.status();
        if status.is_leader {
            self.checks
                .check_leader(status.term, &self.nodes[position].id);
        }
        for output in outputs {
            self.execute(position, &status, output);
        }
    }

    fn execute(&mut self, position: usize, status: &Status, output: Output) {
        match output {
            Output::Persist { ticket, write } => {
                self.nodes[position].disk.write(ticket, write);
                self.schedule_sync(position, ticket);
            }
            Output::Send { to, message } => self.send(position, &to, message),
            Output::Appended { token, index, term } => {
                self.nodes[position].proposed.insert((index, term), token);
            }
            Output::Apply(entry) => self.apply(position, status, &entry),
            Output::Restore(snapshot) => self.restore(position, &snapshot),
            Output::TakeSnapshot { index } => self.take_snapshot(position, index),
            Output::ReadReady { token, index } => {
                let node = &mut self.nodes[position];
                let acknowledged_index = node.reads.remove(&token).expect("the read was requested");
                assert!(
                    index >= acknowledged_index,
                    "a read at index {index} misses the acknowledged write at index {acknowledged_index}"
                );
                node.reads_ready += 1;
            }
            Output::NotLeader { token, .. } => {
                let node = &mut self.nodes[position];
                if node.reads.remove(&token).is_some() {
                    node.reads_refused += 1;
                }
            }
            Output::ChangeRefused { .. } | Output::LeaderChanged { .. } => {}
        }
    }

    fn schedule_sync(&mut self, position: usize, ticket: u64) {
        let delay_ms = 1 + self.random.below(self.max_sync_delay_ms);
        let node = &mut self.nodes[position];
        node.disk_idle_at_ms = node.disk_idle_at_ms.max(self.now_ms + delay_ms);
        let event = Event::Synced {
            incarnation: node.incarnation,
            ticket,
        };
        let at_ms = node.disk_idle_at_ms;
        self.schedule(at_ms, position, event);
    }

    fn send(&mut self, position: usize, to: &ReplicaId, message: Message) {
        let from = self.nodes[position].id.clone();
        self.messages += 1;
        self.checks.record_vote_request(&from, to, &message);
        match &message {
            Message::VoteReply {
                term,
                granted: true,
            } => self.checks.check_granted_vote(&from, to, *term),
            Message::AppendReply {
                success: true,
                match_index,
                ..
            } => {
                let synced = self.nodes[position].disk.last_index();
                assert!(
                    *match_index <= synced,
                    "a replica acknowledged unsynced entries"
                );
            }
            _ => {}
        }
        let target = |node: &Node| node.id.instance == to.instance;
        let Some(target) = self.nodes.iter().position(target) else {
            return;
        };
        for delay_ms in self.network.delays_ms(position, target, &mut self.random) {
            let event = Event::Deliver {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule(self.now_ms + delay_ms, target, event);
        }
    }

    fn schedule(&mut self, at_ms: u64, position: usize, event: Event) {
        self.next_event += 1;
        let key = (at_ms, self.next_event);
        self.events.insert(key, (position, event));
    }

    fn apply(&mut self, position: usize, status: &Status, entry: &quorum::Entry) {
        let node = &mut self.nodes[position];
        assert_eq!(
            entry.index,
            node.applied_index + 1,
            "a replica skipped an entry"
        );
        node.applied_index = entry.index;
        if status.is_leader && entry.term == status.term {
            self.checks.check_committed(entry, &status.members);
        }
        node.hash = self.checks.check_applied(node.hash, entry);
        let key = (entry.index, entry.term);
        if let Some(token) = node.proposed.remove(&key) {
            match &entry.body {
                EntryBody::Command(command) => assert_eq!(command[..], token.to_le_bytes()),
                EntryBody::Members(_) => {}
                EntryBody::Empty => panic!("an empty entry has replaced proposal {token}"),
            }
            let acknowledged = &mut self.checks.acknowledged_index;
            *acknowledged = (*acknowledged).max(entry.index);
        }
    }

    fn restore(&mut self, position: usize, snapshot: &Snapshot) {
        let node = &mut self.nodes[position];
        let mut state = snapshot.state.clone();
        let index = state.get_u64_le();
        let hash = state.get_u64_le();
        assert_eq!(
            index, snapshot.index,
            "the state's index differs from the snapshot's index"
        );
        assert!(
            index >= node.applied_index,
            "a snapshot restored an older state"
        );
        self.checks.check_restored(index, hash);
        node.applied_index = index;
        node.hash = hash;
        node.restores += 1;
    }

    fn take_snapshot(&mut self, position: usize, index: u64) {
        let node = &self.nodes[position];
        assert_eq!(
            index, node.applied_index,
            "the snapshot was requested at an index other than the applied one"
        );
        let mut state = BytesMut::new();
        state.put_u64_le(index);
        state.put_u64_le(node.hash);
        state.put_bytes(0, self.padding_bytes);
        let event = Event::SnapshotState {
            incarnation: node.incarnation,
            index,
            state: state.freeze(),
        };
        let at_ms = self.now_ms + self.random.below(50);
        self.schedule(at_ms, position, event);
    }
}

pub fn instance_name(position: usize) -> faststr::FastStr {
    format!("voter-{}", position + 1).into()
}
