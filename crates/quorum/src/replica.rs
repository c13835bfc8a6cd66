//! The replica's state machine: its state, the dispatch of inputs, terms and roles.

use faststr::FastStr;

use crate::join::JoinState;
use crate::leave::LeaveState;
use crate::log::Log;
use crate::members::MemberHistory;
use crate::message::{
    EntryBody, Input, JoinRequest, MemberSet, Message, Output, RecoveredState, ReplicaId, Snapshot,
    Status, Write,
};
use crate::peer::LeaderState;
use crate::random::Random;
use crate::snapshot::IncomingSnapshot;
use crate::writes::{DeferredAction, PendingWrites};

/// Settings of a replica.
#[derive(Clone, Debug)]
pub struct ReplicaSettings {
    /// Identity of this replica.
    pub id: ReplicaId,
    /// Instance ids of the initial voters.
    pub initial_voters: Vec<FastStr>,
    /// Identities with which the initial voters start for the first time, if they are known beforehand; otherwise empty. A
    /// majority of them may bootstrap the log without the others. A replica must not have such an identity again once its
    /// disk is lost.
    pub initial_ids: Vec<ReplicaId>,
    /// Interval of heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// Shortest election timeout, in milliseconds.
    pub election_timeout_min_ms: u64,
    /// Longest election timeout, in milliseconds.
    pub election_timeout_max_ms: u64,
    /// Number of applied entries after which a snapshot is taken.
    pub snapshot_entries: u64,
    /// Seed of the random number generator for election timeouts.
    pub seed: u64,
}

/// Role of a replica in its current term.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    Follower,
    /// The replica has requested pre-votes; holds the ids of the replicas that granted a pre-vote.
    PreCandidate(Vec<ReplicaId>),
    /// The replica has requested votes; holds the ids of the replicas that granted a vote.
    Candidate(Vec<ReplicaId>),
    Leader(Box<LeaderState>),
}

/// A replica of the replicated log.
///
/// ```
/// use quorum::{Input, Output, RecoveredState, Replica, ReplicaId, ReplicaSettings};
///
/// let settings = ReplicaSettings {
///     id: ReplicaId { instance: "a".into(), storage_id: 7 },
///     initial_ids: Vec::new(),
///     initial_voters: vec!["a".into()],
///     heartbeat_interval_ms: 100,
///     election_timeout_min_ms: 600,
///     election_timeout_max_ms: 1200,
///     snapshot_entries: 1000,
///     seed: 1,
/// };
/// let mut replica = Replica::new(settings, RecoveredState::default(), 0);
/// let mut out = Vec::new();
/// replica.step(0, Input::Tick, &mut out);
/// // The only voter bootstraps the log and becomes the leader once its vote is synced.
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
    /// Time of the last message from the known leader, in milliseconds.
    pub(crate) last_leader_message_ms: u64,
    pub(crate) election_deadline_ms: u64,
    pub(crate) log: Log,
    pub(crate) members: MemberHistory,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) commit_index: u64,
    pub(crate) applied_index: u64,
    pub(crate) writes: PendingWrites,
    pub(crate) incoming_snapshot: Option<IncomingSnapshot>,
    /// Index of the snapshot requested with `Output::TakeSnapshot`.
    pub(crate) requested_snapshot_index: Option<u64>,
    pub(crate) join: JoinState,
    pub(crate) leave: LeaveState,
    restore_pending: bool,
    reported_leader: (u64, Option<FastStr>),
}

impl Replica {
    /// Creates a replica from the state recovered from its disk.
    pub fn new(settings: ReplicaSettings, recovered: RecoveredState, now_ms: u64) -> Self {
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
            last_leader_message_ms: 0,
            election_deadline_ms: 0,
            log,
            members,
            restore_pending: recovered.snapshot.is_some(),
            snapshot: recovered.snapshot,
            commit_index: base.index,
            applied_index: base.index,
            writes: PendingWrites::default(),
            incoming_snapshot: None,
            requested_snapshot_index: None,
            join: JoinState::new(now_ms),
            leave: LeaveState::default(),
            reported_leader: (0, None),
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
        self.emit_pending_restore(out);
        // A leader that was paused must check its quorum before it handles any input.
        self.check_quorum(out);
        match input {
            Input::Tick => self.on_tick(out),
            Input::Receive { from, message } => self.on_message(from, message, out),
            Input::Persisted { ticket } => self.on_persisted(ticket, out),
            Input::Propose { token, command } => self.on_propose(token, command, out),
            Input::ReplaceVoter {
                token,
                old,
                new,
                superseded,
            } => self.on_replace(token, &old, &new, &superseded, out),
            Input::AddVoter {
                token,
                new,
                superseded,
            } => self.on_add_voter(token, &new, &superseded, out),
            Input::RemoveVoter { token, old } => self.on_remove_voter(token, &old, out),
            Input::Leave => self.start_leaving(out),
            Input::Read { token } => self.on_read(token, out),
            Input::SnapshotState { index, state } => self.on_snapshot_state(index, state, out),
        }
        self.apply_committed(out);
        self.request_snapshot(out);
        self.report_leader_change(out);
    }

    /// Sets the instances that may hold the log and that receive join requests in addition to the initial voters and
    /// the instances of the member sets.
    pub fn set_join_targets(&mut self, targets: Vec<FastStr>) {
        self.join.extra_join_targets = targets;
    }

    /// Returns the time since the last message from the known leader, in milliseconds. Returns 0 on the leader and
    /// `None` if no leader is known.
    pub fn leader_message_age_ms(&self) -> Option<u64> {
        self.leader.as_ref()?;
        match self.role {
            Role::Leader(_) => Some(0),
            _ => Some(self.now_ms - self.last_leader_message_ms),
        }
    }

    /// Returns the join requests of the last `max_age_ms` from instances that the member set does not list. The result is
    /// empty unless this replica is the leader.
    pub fn join_requests(&self, max_age_ms: u64) -> Vec<JoinRequest> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let instances = &self.members.current().instances;
        leader
            .joiners
            .iter()
            .filter(|joiner| self.now_ms - joiner.requested_ms <= max_age_ms)
            .filter(|joiner| !instances.contains(&joiner.id.instance))
            .map(|joiner| JoinRequest {
                instance: joiner.id.instance.clone(),
                holds_log: joiner.holds_log,
                is_initial: joiner.is_initial,
            })
            .collect()
    }

    /// Returns, for each instance of the member set, the milliseconds since its latest join request arrived or the
    /// latest heartbeat round to which the instance replied was sent; `u64::MAX` if there was neither. The result is
    /// empty unless this replica is the leader.
    pub fn member_activity_ages_ms(&self) -> Vec<(FastStr, u64)> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let age_ms = |instance: &FastStr| {
            if *instance == self.settings.id.instance {
                return 0;
            }
            let replied = leader
                .peers
                .iter()
                .filter(|peer| peer.id.instance == *instance)
                .map(|peer| peer.replied_round_sent_ms);
            let requested = leader
                .joiners
                .iter()
                .filter(|joiner| joiner.id.instance == *instance)
                .map(|joiner| joiner.requested_ms);
            replied
                .chain(requested)
                .max()
                .map_or(u64::MAX, |latest_ms| self.now_ms - latest_ms)
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
        self.tick_leave(out);
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
            message @ Message::SnapshotChunk { .. } => self.on_snapshot_chunk(from, message, out),
            Message::SnapshotReply {
                term,
                index,
                received_bytes,
            } => self.on_snapshot_reply(&from, term, index, received_bytes, out),
            Message::Join {
                formed,
                members_index,
                initial,
            } => self.on_join(from, formed, initial, members_index, out),
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
            Message::Leave => self.on_leave(from, out),
            Message::LeaveReply { storage_id } => {
                if storage_id == self.settings.id.storage_id {
                    self.on_leave_reply();
                }
            }
        }
    }

    fn on_persisted(&mut self, ticket: u64, out: &mut Vec<Output>) {
        self.writes.mark_synced(ticket);
        while let Some(action) = self.writes.pop_synced_action() {
            match action {
                DeferredAction::Send { to, message } => out.push(Output::Send { to, message }),
                DeferredAction::MarkSynced { last_index } => self.log.set_synced(last_index),
                DeferredAction::CountOwnVote { term } => self.on_own_vote(term, out),
            }
        }
        self.advance_commit(out);
    }

    pub(crate) fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether this replica holds a log.
    pub(crate) fn holds_log(&self) -> bool {
        self.log.last_index() > 0
    }

    pub(crate) fn is_self(&self, id: &ReplicaId) -> bool {
        *id == self.settings.id
    }

    pub(crate) fn leader_instance(&self) -> Option<FastStr> {
        self.leader.as_ref().map(|id| id.instance.clone())
    }

    /// Sends a message once all writes issued so far are synced.
    pub(crate) fn send_after_sync(
        &mut self,
        to: ReplicaId,
        message: Message,
        out: &mut Vec<Output>,
    ) {
        if self.writes.is_idle() {
            out.push(Output::Send { to, message });
        } else {
            self.writes.after_sync(DeferredAction::Send { to, message });
        }
    }

    pub(crate) fn persist_term(&mut self, out: &mut Vec<Output>) {
        let write = Write::Term {
            term: self.term,
            voted_for: self.voted_for.clone(),
        };
        self.writes.persist(write, out);
    }

    /// Enters a higher term without persisting it yet.
    pub(crate) fn enter_term(&mut self, term: u64, out: &mut Vec<Output>) {
        self.step_down(out);
        self.term = term;
        self.voted_for = None;
    }

    /// Becomes a follower in `term`, which is at least the current term.
    pub(crate) fn become_follower(&mut self, term: u64, out: &mut Vec<Output>) {
        if term > self.term {
            self.enter_term(term, out);
            self.persist_term(out);
        } else {
            self.step_down(out);
        }
    }

    /// Follows `leader`, from which a message of `term` has just arrived.
    pub(crate) fn follow_leader(&mut self, leader: ReplicaId, term: u64, out: &mut Vec<Output>) {
        if term > self.term || !matches!(self.role, Role::Follower) {
            self.become_follower(term, out);
        }
        self.leader = Some(leader);
        self.last_leader_message_ms = self.now_ms;
        self.reset_election_timer();
    }

    /// Becomes a follower in the current term and refuses the pending reads.
    pub(crate) fn step_down(&mut self, out: &mut Vec<Output>) {
        let role = std::mem::replace(&mut self.role, Role::Follower);
        self.leader = None;
        self.join.bootstrap_members = None;
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

    /// Returns the member set whose voters elect this replica.
    pub(crate) fn election_members(&self) -> &MemberSet {
        let bootstrap_members = self.join.bootstrap_members.as_ref();
        bootstrap_members.unwrap_or_else(|| self.members.current())
    }

    fn emit_pending_restore(&mut self, out: &mut Vec<Output>) {
        if std::mem::take(&mut self.restore_pending) {
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

    fn report_leader_change(&mut self, out: &mut Vec<Output>) {
        let current = (self.term, self.leader_instance());
        if current == self.reported_leader {
            return;
        }
        self.reported_leader = current;
        out.push(Output::LeaderChanged {
            term: self.term,
            leader: self.leader_instance(),
        });
    }
}
