//! Elections: timeouts, pre-votes, votes and the leader's quorum check.

use crate::message::{EntryBody, Message, Output, ReplicaId};
use crate::peer::{HeartbeatRounds, LeaderState};
use crate::replica::{Replica, Role};
use crate::writes::DeferredAction;

/// Term and index of a log's last entry. The log with the greater value is the more up to date.
type LastEntry = (u64, u64);

impl Replica {
    pub(crate) fn reset_election_timer(&mut self) {
        let timeout_ms = self.random.between(
            self.settings.election_timeout_min_ms,
            self.settings.election_timeout_max_ms,
        );
        self.election_deadline_ms = self.now_ms + timeout_ms;
    }

    pub(crate) fn tick_election(&mut self, out: &mut Vec<Output>) {
        if self.is_leader() || self.now_ms < self.election_deadline_ms {
            return;
        }
        self.reset_election_timer();
        self.step_down(out);
        if self.may_campaign() {
            self.start_pre_vote(out);
        }
    }

    /// Returns whether this replica may ask for votes. A voter whose removal is not known to be committed may be the only
    /// one whose log is recent enough. After a restart, nothing after the snapshot is known to be committed.
    fn may_campaign(&self) -> bool {
        let (id, current) = (&self.settings.id, self.members.current());
        let mut sets = self.members.since(self.commit_index);
        current.is_voter(id) || (!current.contains(id) && sets.any(|set| set.is_voter(id)))
    }

    fn start_pre_vote(&mut self, out: &mut Vec<Output>) {
        self.role = Role::PreCandidate(vec![self.settings.id.clone()]);
        if self.has_vote_majority() {
            return self.start_election(out);
        }
        let (last_term, last_index) = self.last_entry();
        for id in self.other_voters() {
            let message = Message::PreVote {
                term: self.term + 1,
                last_index,
                last_term,
                voter_storage_id: id.storage_id,
            };
            out.push(Output::Send { to: id, message });
        }
    }

    /// Starts an election in the next term: the replica votes for itself and requests the other votes once its own vote
    /// is synced.
    pub(crate) fn start_election(&mut self, out: &mut Vec<Output>) {
        self.term += 1;
        self.voted_for = Some(self.settings.id.clone());
        self.leader = None;
        self.role = Role::Candidate(Vec::new());
        self.reset_election_timer();
        self.persist_term(out);
        self.writes
            .after_sync(DeferredAction::CountOwnVote { term: self.term });
        let (last_term, last_index) = self.last_entry();
        for id in self.other_voters() {
            let message = Message::Vote {
                term: self.term,
                last_index,
                last_term,
                voter_storage_id: id.storage_id,
            };
            self.send_after_sync(id, message, out);
        }
    }

    pub(crate) fn on_own_vote(&mut self, term: u64, out: &mut Vec<Output>) {
        if term == self.term {
            self.count_vote(self.settings.id.clone(), out);
        }
    }

    pub(crate) fn on_pre_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LastEntry,
        out: &mut Vec<Output>,
    ) {
        let granted = term > self.term && !self.has_active_leader() && last >= self.last_entry();
        let term = if granted { term } else { self.term };
        let message = Message::PreVoteReply { term, granted };
        self.send_after_sync(from, message, out);
    }

    pub(crate) fn on_pre_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if !granted {
            if term > self.term {
                self.become_follower(term, out);
            }
            return;
        }
        if term != self.term + 1 {
            return;
        }
        let Role::PreCandidate(votes) = &mut self.role else {
            return;
        };
        if !votes.contains(&from) {
            votes.push(from);
        }
        if self.has_vote_majority() {
            self.start_election(out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LastEntry,
        out: &mut Vec<Output>,
    ) {
        // A candidate cannot depose a leader from which this replica still receives messages.
        if term > self.term && self.has_active_leader() {
            return;
        }
        let previous = (self.term, self.voted_for.clone());
        if term > self.term {
            self.enter_term(term, out);
        }
        let can_vote = self.voted_for.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.term && can_vote && last >= self.last_entry();
        if granted {
            self.voted_for = Some(from.clone());
            self.reset_election_timer();
        }
        if previous != (self.term, self.voted_for.clone()) {
            self.persist_term(out);
        }
        let message = Message::VoteReply {
            term: self.term,
            granted,
        };
        self.send_after_sync(from, message, out);
    }

    pub(crate) fn on_vote_reply(
        &mut self,
        from: ReplicaId,
        term: u64,
        granted: bool,
        out: &mut Vec<Output>,
    ) {
        if term > self.term {
            self.become_follower(term, out);
        } else if granted && term == self.term {
            self.count_vote(from, out);
        }
    }

    /// Steps down if no majority has replied to a heartbeat round sent within the minimum election timeout.
    pub(crate) fn check_quorum(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let majority_sent_ms = self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return self.now_ms;
            }
            leader.peer(id).map_or(0, |peer| peer.replied_round_sent_ms)
        });
        if self.now_ms - majority_sent_ms > self.settings.election_timeout_min_ms {
            self.step_down(out);
        }
    }

    fn count_vote(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        if !votes.contains(&from) {
            votes.push(from);
        }
        if self.has_vote_majority() {
            self.become_leader(out);
        }
    }

    fn become_leader(&mut self, out: &mut Vec<Output>) {
        let bootstrap_members = self.join.bootstrap_members.take();
        self.role = Role::Leader(Box::new(LeaderState {
            peers: Vec::new(),
            term_start_index: self.log.last_index() + 1,
            heartbeat_rounds: HeartbeatRounds::default(),
            reads: Default::default(),
            next_heartbeat_ms: self.now_ms,
            catch_up_index: self.log.last_index() + 1,
            joiners: Vec::new(),
            leavers: Vec::new(),
            settled_since_ms: None,
        }));
        self.leader = Some(self.settings.id.clone());
        self.update_peers();
        let body = bootstrap_members.map_or(EntryBody::Empty, EntryBody::Members);
        self.append_as_leader(body, out);
        self.tick_leader(out);
    }

    /// Returns whether the granted votes or pre-votes form a majority.
    fn has_vote_majority(&self) -> bool {
        let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &self.role else {
            return false;
        };
        let set = self.election_members();
        let count = votes.iter().filter(|id| set.is_voter(id)).count();
        count >= set.majority()
    }

    /// Returns whether this replica is the leader or has received a message from the leader within the minimum election
    /// timeout.
    fn has_active_leader(&self) -> bool {
        let age_ms = self.now_ms - self.last_leader_message_ms;
        match &self.role {
            Role::Leader(_) => true,
            _ => self.leader.is_some() && age_ms < self.settings.election_timeout_min_ms,
        }
    }

    fn last_entry(&self) -> LastEntry {
        (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.election_members().voters.iter();
        voters.filter(|id| !self.is_self(id)).cloned().collect()
    }
}
