//! Changes of the member set by the leader, one at a time.

use faststr::FastStr;

use crate::message::{EntryBody, MemberSet, Output, ReplicaId};
use crate::peer::Leader;
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn on_replace(
        &mut self,
        token: u64,
        old: &FastStr,
        new: &FastStr,
        out: &mut Vec<Output>,
    ) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let set = self.members.current();
        let fits = set.instances.contains(old) && !set.instances.contains(new);
        if self.settled_members_index() == 0 || !fits {
            return out.push(Output::ChangeRefused { token });
        }
        let set = set.with_instance(old, new);
        self.append_members(token, set, out);
    }

    pub(crate) fn on_add_voter(&mut self, token: u64, new: &FastStr, out: &mut Vec<Output>) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let set = self.members.current();
        if self.settled_members_index() == 0 || set.instances.contains(new) {
            return out.push(Output::ChangeRefused { token });
        }
        let set = set.with_additional_instance(new);
        self.append_members(token, set, out);
    }

    fn append_members(&mut self, token: u64, set: MemberSet, out: &mut Vec<Output>) {
        let index = self.append_own(EntryBody::Members(set), out);
        out.push(Output::Appended {
            token,
            index,
            term: self.term,
        });
        self.send_entries(out);
    }

    /// Returns the index of the member set if this replica leads and may change it, otherwise 0.
    ///
    /// The set must have committed, and so must an entry of the leader's own term: otherwise, two leaders could each
    /// change the set of the same base, and their majorities need not overlap.
    pub(crate) fn settled_members_index(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        let index = self.members.current().index;
        let is_settled = index <= self.commit_index && leader.first_index <= self.commit_index;
        if is_settled { index } else { 0 }
    }

    /// Starts the next change that is due, unless one is in progress.
    pub(crate) fn maintain_members(&mut self, out: &mut Vec<Output>) {
        let settled_index = self.settled_members_index();
        if settled_index == 0 {
            return;
        }
        if let Some(set) = self.next_members(settled_index) {
            self.append_own(EntryBody::Members(set), out);
            self.send_entries(out);
        }
    }

    /// Steps down after a change that removed this leader has committed.
    pub(crate) fn after_commit(&mut self, out: &mut Vec<Output>) {
        let is_settled = self.settled_members_index() != 0;
        if is_settled && !self.members.current().is_voter(&self.settings.id) {
            // The others learn of the commit now; otherwise they would have to elect under the set before.
            self.start_round(out);
            self.step_down(out);
        }
    }

    fn next_members(&self, settled_index: u64) -> Option<MemberSet> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let set = self.members.current();
        self.admission(leader, set, settled_index)
            .or_else(|| self.promotion(leader, set))
            .or_else(|| self.retirement(set))
    }

    /// Lets a new replica in. An older identity of its instance goes first: its disk is gone.
    fn admission(&self, leader: &Leader, set: &MemberSet, index: u64) -> Option<MemberSet> {
        let joiner = leader.joiners.iter().find(|joiner| {
            joiner.members_index == index
                && set.instances.contains(&joiner.id.instance)
                && !set.contains(&joiner.id)
        })?;
        match set.other_identity(&joiner.id) {
            Some(old) => Some(set.without(old)),
            None => Some(set.with_learner(&joiner.id)),
        }
    }

    /// Promotes a learner whose synced log has caught up and that is alive.
    fn promotion(&self, leader: &Leader, set: &MemberSet) -> Option<MemberSet> {
        let learner = set
            .learners
            .iter()
            .find(|id| self.has_caught_up(leader, id))?;
        Some(set.with_voter(learner))
    }

    fn has_caught_up(&self, leader: &Leader, id: &ReplicaId) -> bool {
        let Some(peer) = leader.peer(id) else {
            return false;
        };
        let age_ms = self.now_ms - peer.heard_ms;
        peer.match_index >= leader.catch_up_index && age_ms <= self.settings.election_timeout_min_ms
    }

    /// Removes a voter whose instance has been replaced, once every instance of the set has a voter.
    fn retirement(&self, set: &MemberSet) -> Option<MemberSet> {
        let has_voter = |instance: &FastStr| set.voters.iter().any(|id| id.instance == *instance);
        if !set.instances.iter().all(has_voter) {
            return None;
        }
        let is_retired = |id: &&ReplicaId| !set.instances.contains(&id.instance);
        set.replicas().find(is_retired).map(|id| set.without(id))
    }
}
