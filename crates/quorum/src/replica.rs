//! The replica's state machine: state, dispatch of inputs, terms and roles.

use faststr::FastStr;

use crate::join::JoinState;
use crate::log::Log;
use crate::members::MemberHistory;
use crate::message::{
    EntryBody, Input, MemberSet, Message, Output, Recovered, ReplicaId, Snapshot, Status, Write,
};
use crate::peer::Leader;
use crate::random::Random;
use crate::snapshot::Incoming;
use crate::writes::{Followup, Writes};

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

/// What a replica does in its term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// Has asked whether it would be elected; holds the replicas that agreed.
    PreCandidate(Vec<ReplicaId>),
    /// Holds the replicas that granted their vote.
    Candidate(Vec<ReplicaId>),
    Leader(Box<Leader>),
}

/// A replica of the log.
///
/// ```
/// use quorum::{Input, Output, Recovered, Replica, ReplicaId, ReplicaSettings};
///
/// let settings = ReplicaSettings {
///     id: ReplicaId { instance: "a".into(), storage_id: 7 },
///     initial_voters: vec!["a".into()],
///     heartbeat_interval_ms: 100,
///     election_timeout_min_ms: 600,
///     election_timeout_max_ms: 1200,
///     snapshot_entries: 1000,
///     seed: 1,
/// };
/// let mut replica = Replica::new(settings, Recovered::default(), 0);
/// let mut out = Vec::new();
/// replica.step(0, Input::Tick, &mut out);
/// // The only voter founds the log, and leads once its vote is synced.
/// let Output::Persist { ticket, .. } = &out[0] else { panic!() };
/// let ticket = *ticket;
/// replica.step(5, Input::Persisted { ticket }, &mut out);
/// assert!(replica.status().is_leader);
/// ```
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: ReplicaSettings,
    pub(crate) now_ms: u64,
    pub(crate) random: Random,
    pub(crate) term: u64,
    pub(crate) voted_for: Option<ReplicaId>,
    pub(crate) role: Role,
    pub(crate) leader: Option<ReplicaId>,
    /// When the known leader was last heard from.
    pub(crate) heard_leader_ms: u64,
    pub(crate) election_deadline_ms: u64,
    pub(crate) log: Log,
    pub(crate) members: MemberHistory,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) writes: Writes,
    pub(crate) incoming: Option<Incoming>,
    /// Index of the snapshot asked for with `Output::TakeSnapshot`.
    pub(crate) taking_index: Option<u64>,
    pub(crate) join: JoinState,
    restore: bool,
    announced: (u64, Option<FastStr>),
}

impl Replica {
    /// Creates a replica from what its disk holds.
    pub fn new(settings: ReplicaSettings, recovered: Recovered, now_ms: u64) -> Self {
        let base = recovered.snapshot.clone().unwrap_or_default();
        let mut members = MemberHistory::new(base.members);
        for entry in &recovered.entries {
            if let EntryBody::Members(set) = &entry.body {
                members.push(set.clone());
            }
        }
        let log = Log::new(base.index, base.term, recovered.entries);
        let mut replica = Self {
            now_ms,
            random: Random::new(settings.seed),
            term: recovered.term.max(log.last_term()),
            voted_for: recovered.voted_for,
            role: Role::Follower,
            leader: None,
            heard_leader_ms: 0,
            election_deadline_ms: 0,
            log,
            members,
            restore: recovered.snapshot.is_some(),
            snapshot: recovered.snapshot,
            commit_index: base.index,
            applied_index: base.index,
            writes: Writes::default(),
            incoming: None,
            taking_index: None,
            join: JoinState::new(now_ms),
            announced: (0, None),
            settings,
        };
        if replica.term > recovered.term {
            replica.voted_for = None;
        }
        replica.reset_election_timer();
        replica
    }

    /// Handles one input and appends the outputs to `out`.
    pub fn step(&mut self, now_ms: u64, input: Input, out: &mut Vec<Output>) {
        self.now_ms = self.now_ms.max(now_ms);
        self.restore_once(out);
        // A leader that was frozen must notice it before it acts on anything.
        self.check_quorum(out);
        match input {
            Input::Tick => self.on_tick(out),
            Input::Receive { from, message } => self.on_message(from, message, out),
            Input::Persisted { ticket } => self.on_persisted(ticket, out),
            Input::Propose { token, command } => self.on_propose(token, command, out),
            Input::ReplaceVoter { token, old, new } => self.on_replace(token, &old, &new, out),
            Input::AddVoter { token, new } => self.on_add_voter(token, &new, out),
            Input::Read { token } => self.on_read(token, out),
            Input::StateAt { index, state } => self.on_state(index, state, out),
        }
        self.apply_committed(out);
        self.request_snapshot(out);
        self.announce_leader(out);
    }

    /// Names instances that may know of the log, for a replica that is in no member set yet.
    pub fn set_contacts(&mut self, contacts: Vec<FastStr>) {
        self.join.contacts = contacts;
    }

    /// Returns how long ago the known leader was heard from, in milliseconds; 0 on the leader.
    pub fn leader_age_ms(&self) -> Option<u64> {
        self.leader.as_ref()?;
        match self.role {
            Role::Leader(_) => Some(0),
            _ => Some(self.now_ms - self.heard_leader_ms),
        }
    }

    /// Returns, on the leader, the instances that asked to be let in within `max_age_ms` and are in no member set.
    pub fn joiners(&self, max_age_ms: u64) -> Vec<FastStr> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let instances = &self.members.current().instances;
        leader
            .joiners
            .iter()
            .filter(|joiner| self.now_ms - joiner.heard_ms <= max_age_ms)
            .map(|joiner| joiner.id.instance.clone())
            .filter(|instance| !instances.contains(instance))
            .collect()
    }

    /// Returns, on the leader, how long ago each instance of the member set was heard from, in milliseconds.
    pub fn member_ages_ms(&self) -> Vec<(FastStr, u64)> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let age_ms = |instance: &FastStr| {
            if *instance == self.settings.id.instance {
                return 0;
            }
            let heard = leader
                .peers
                .iter()
                .filter(|peer| peer.id.instance == *instance)
                .map(|peer| peer.heard_ms);
            let asked = leader
                .joiners
                .iter()
                .filter(|joiner| joiner.id.instance == *instance)
                .map(|joiner| joiner.heard_ms);
            heard
                .chain(asked)
                .max()
                .map_or(u64::MAX, |heard_ms| self.now_ms - heard_ms)
        };
        let instances = &self.members.current().instances;
        instances
            .iter()
            .map(|instance| (instance.clone(), age_ms(instance)))
            .collect()
    }

    /// Returns the replica's state for `status` and metrics.
    pub fn status(&self) -> Status {
        Status {
            term: self.term,
            leader: self.leader_instance(),
            is_leader: self.is_leader(),
            last_index: self.log.last_index(),
            commit_index: self.commit_index,
            members: self.members.current().clone(),
        }
    }

    fn on_tick(&mut self, out: &mut Vec<Output>) {
        self.tick_leader(out);
        self.tick_election(out);
        self.tick_join(out);
    }

    fn on_message(&mut self, from: ReplicaId, message: Message, out: &mut Vec<Output>) {
        match message {
            Message::PreVote {
                term,
                last_index,
                last_term,
                voter_storage_id,
            } => {
                if voter_storage_id == self.settings.id.storage_id {
                    self.on_pre_vote(from, term, (last_term, last_index), out);
                }
            }
            Message::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, term, granted, out);
            }
            Message::Vote {
                term,
                last_index,
                last_term,
                voter_storage_id,
            } => {
                if voter_storage_id == self.settings.id.storage_id {
                    self.on_vote(from, term, (last_term, last_index), out);
                }
            }
            Message::VoteReply { term, granted } => self.on_vote_reply(from, term, granted, out),
            message @ Message::Append { .. } => self.on_append(from, message, out),
            message @ Message::AppendReply { .. } => self.on_append_reply(&from, message, out),
            message @ Message::SnapshotChunk { .. } => self.on_chunk(from, message, out),
            Message::SnapshotReply {
                term,
                index,
                received_bytes,
            } => self.on_chunk_reply(&from, term, index, received_bytes, out),
            Message::Join {
                formed: _,
                members_index,
            } => self.on_join(from, members_index, out),
            Message::JoinReply {
                storage_id,
                formed,
                members_index,
                members,
            } => {
                if storage_id == self.settings.id.storage_id {
                    self.on_join_reply(from, formed, members_index, members, out);
                }
            }
        }
    }

    fn on_persisted(&mut self, ticket: u64, out: &mut Vec<Output>) {
        self.writes.synced(ticket);
        while let Some(followup) = self.writes.pop() {
            match followup {
                Followup::Send { to, message } => out.push(Output::Send { to, message }),
                Followup::Synced { last_index } => self.log.set_synced(last_index),
                Followup::OwnVote { term } => self.on_own_vote(term, out),
            }
        }
        self.advance_commit(out);
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this replica holds a log.
    pub(crate) fn is_formed(&self) -> bool {
        self.log.last_index() > 0
    }

    pub(crate) fn is_self(&self, id: &ReplicaId) -> bool {
        *id == self.settings.id
    }

    pub(crate) fn leader_instance(&self) -> Option<FastStr> {
        self.leader.as_ref().map(|id| id.instance.clone())
    }

    /// Sends a message once all writes handed out so far are synced.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, message: Message, out: &mut Vec<Output>) {
        if self.writes.is_idle() {
            out.push(Output::Send { to, message });
        } else {
            self.writes.after(Followup::Send { to, message });
        }
    }

    pub(crate) fn persist_term(&mut self, out: &mut Vec<Output>) {
        let write = Write::Term {
            term: self.term,
            voted_for: self.voted_for.clone(),
        };
        self.writes.persist(write, out);
    }

    /// Moves to a higher term without persisting it yet.
    pub(crate) fn enter_term(&mut self, term: u64, out: &mut Vec<Output>) {
        self.step_down(out);
        self.term = term;
        self.voted_for = None;
    }

    /// Follows in `term`, which is at least the current one.
    pub(crate) fn become_follower(&mut self, term: u64, out: &mut Vec<Output>) {
        if term > self.term {
            self.enter_term(term, out);
            self.persist_term(out);
        } else {
            self.step_down(out);
        }
    }

    /// Follows `leader`, which has just been heard from in `term`.
    pub(crate) fn follow(&mut self, leader: ReplicaId, term: u64, out: &mut Vec<Output>) {
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.become_follower(term, out);
        }
        self.leader = Some(leader);
        self.heard_leader_ms = self.now_ms;
        self.reset_election_timer();
    }

    /// Gives up any other role and refuses the reads that wait.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.leader = None;
        self.join.founding = None;
        let Role::Leader(leader) = role else {
            return;
        };
        self.reset_election_timer();
        for read in leader.reads {
            out.push(Output::NotLeader {
                token: read.token,
                leader: None,
            });
        }
    }

    /// Returns the member set whose votes elect this replica.
    pub(crate) fn electorate(&self) -> &MemberSet {
        let founding = self.join.founding.as_ref();
        founding.unwrap_or_else(|| self.members.current())
    }

    fn restore_once(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.restore) {
            out.extend(self.snapshot.clone().map(Output::Restore));
        }
    }

    fn apply_committed(&mut self, out: &mut Vec<Output>) {
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else {
                return;
            };
            out.push(Output::Apply(entry.clone()));
            self.applied_index += 1;
        }
    }

    fn announce_leader(&mut self, out: &mut Vec<Output>) {
        let current = (self.term, self.leader_instance());
        if current == self.announced {
            return;
        }
        self.announced = current;
        out.push(Output::LeaderChanged {
            term: self.term,
            leader: self.leader_instance(),
        });
    }
}
