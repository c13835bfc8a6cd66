//! Elections: timeouts, pre-votes, votes and check-quorum.

use crate::message::{EntryBody, Message, Output, ReplicaId};
use crate::peer::{Leader, Rounds};
use crate::replica::{Replica, Role};
use crate::writes::Followup;

/// Term and index of a log's last entry. The greater log is the more up to date.
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
        if self.members.current().is_voter(&self.settings.id) {
            self.start_pre_vote(out);
        }
    }

    fn start_pre_vote(&mut self, out: &mut Vec<Output>) {
        self.role = Role::PreCandidate(vec![self.settings.id.clone()]);
        if self.has_majority() {
            return self.start_vote(out);
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

    /// Votes for itself in the next term; asks the others once that vote is synced.
    pub(crate) fn start_vote(&mut self, out: &mut Vec<Output>) {
        self.term += 1;
        self.voted_for = Some(self.settings.id.clone());
        self.leader = None;
        self.role = Role::Candidate(Vec::new());
        self.reset_election_timer();
        self.persist_term(out);
        self.writes.after(Followup::OwnVote { term: self.term });
        let (last_term, last_index) = self.last_entry();
        for id in self.other_voters() {
            let message = Message::Vote {
                term: self.term,
                last_index,
                last_term,
                voter_storage_id: id.storage_id,
            };
            self.send_synced(id, message, out);
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
        let granted = term > self.term && !self.hears_leader() && last >= self.last_entry();
        let term = if granted { term } else { self.term };
        let message = Message::PreVoteReply { term, granted };
        self.send_synced(from, message, out);
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
        if self.has_majority() {
            self.start_vote(out);
        }
    }

    pub(crate) fn on_vote(
        &mut self,
        from: ReplicaId,
        term: u64,
        last: LastEntry,
        out: &mut Vec<Output>,
    ) {
        // A candidate cannot disturb a leader that is still heard.
        if term > self.term && self.hears_leader() {
            return;
        }
        let before = (self.term, self.voted_for.clone());
        if term > self.term {
            self.enter_term(term, out);
        }
        let is_free = self.voted_for.as_ref().is_none_or(|vote| *vote == from);
        let granted = term == self.term && is_free && last >= self.last_entry();
        if granted {
            self.voted_for = Some(from.clone());
            self.reset_election_timer();
        }
        if before != (self.term, self.voted_for.clone()) {
            self.persist_term(out);
        }
        let message = Message::VoteReply {
            term: self.term,
            granted,
        };
        self.send_synced(from, message, out);
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

    /// Steps down if no majority has answered a round sent within the minimum election timeout.
    pub(crate) fn check_quorum(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let heard_ms = self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return self.now_ms;
            }
            leader.peer(id).map_or(0, |peer| peer.heard_ms)
        });
        if self.now_ms - heard_ms > self.settings.election_timeout_min_ms {
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
        if self.has_majority() {
            self.become_leader(out);
        }
    }

    fn become_leader(&mut self, out: &mut Vec<Output>) {
        let founding = self.join.founding.take();
        self.role = Role::Leader(Box::new(Leader {
            peers: Vec::new(),
            first_index: self.log.last_index() + 1,
            rounds: Rounds::default(),
            reads: Default::default(),
            next_heartbeat_ms: self.now_ms,
            catch_up_index: self.log.last_index() + 1,
            joiners: Vec::new(),
        }));
        self.leader = Some(self.settings.id.clone());
        self.update_peers();
        let body = founding.map_or(EntryBody::Empty, EntryBody::Members);
        self.append_own(body, out);
        self.tick_leader(out);
    }

    /// Returns whether the votes of the present round make a majority.
    fn has_majority(&self) -> bool {
        let (Role::PreCandidate(votes) | Role::Candidate(votes)) = &self.role else {
            return false;
        };
        let set = self.electorate();
        let count = votes.iter().filter(|id| set.is_voter(id)).count();
        count >= set.majority()
    }

    /// Returns whether a leader was heard from within the minimum election timeout.
    fn hears_leader(&self) -> bool {
        let age_ms = self.now_ms - self.heard_leader_ms;
        match &self.role {
            Role::Leader(_) => true,
            _ => self.leader.is_some() && age_ms < self.settings.election_timeout_min_ms,
        }
    }

    fn last_entry(&self) -> LastEntry {
        (self.log.last_term(), self.log.last_index())
    }

    fn other_voters(&self) -> Vec<ReplicaId> {
        let voters = self.electorate().voters.iter();
        voters.filter(|id| !self.is_self(id)).cloned().collect()
    }
}
