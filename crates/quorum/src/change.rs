//! Membership changes, which the leader makes one at a time.

use faststr::FastStr;

use crate::message::{EntryBody, MemberSet, Output, ReplicaId};
use crate::peer::LeaderState;
use crate::replica::{Replica, Role};

impl Replica {
    pub(crate) fn on_replace(
        &mut self,
        token: u64,
        old: &FastStr,
        new: &FastStr,
        superseded: &[FastStr],
        out: &mut Vec<Output>,
    ) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let set = self.members.current();
        let is_valid = set.instances.contains(old) && !set.instances.contains(new);
        if self.changeable_members_index() == 0 || !is_valid {
            return out.push(Output::ChangeRefused { token });
        }
        let set = set
            .with_replaced_instance(old, new)
            .with_superseded(superseded);
        self.append_members(token, set, out);
    }

    pub(crate) fn on_add_voter(
        &mut self,
        token: u64,
        new: &FastStr,
        superseded: &[FastStr],
        out: &mut Vec<Output>,
    ) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let set = self.members.current();
        if self.changeable_members_index() == 0 || set.instances.contains(new) {
            return out.push(Output::ChangeRefused { token });
        }
        let set = set
            .with_additional_instance(new)
            .with_superseded(superseded);
        self.append_members(token, set, out);
    }

    pub(crate) fn on_remove_voter(&mut self, token: u64, old: &FastStr, out: &mut Vec<Output>) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let set = self.members.current();
        let is_valid = set.instances.contains(old) && set.instances.len() > 1;
        if self.changeable_members_index() == 0 || !is_valid {
            return out.push(Output::ChangeRefused { token });
        }
        let set = set.without_instance(old);
        self.append_members(token, set, out);
    }

    fn append_members(&mut self, token: u64, set: MemberSet, out: &mut Vec<Output>) {
        let index = self.append_as_leader(EntryBody::Members(set), out);
        out.push(Output::Appended {
            token,
            index,
            term: self.term,
        });
        self.send_entries(out);
    }

    /// Returns the index of the current member set if this replica is the leader and may change the set, otherwise 0.
    ///
    /// The member set and an entry of the leader's own term must have been committed: otherwise, two leaders could each
    /// change the same member set, and the majorities of the two resulting sets need not overlap.
    pub(crate) fn changeable_members_index(&self) -> u64 {
        let Role::Leader(leader) = &self.role else {
            return 0;
        };
        let index = self.members.current().index;
        let is_changeable =
            index <= self.commit_index && leader.term_start_index <= self.commit_index;
        if is_changeable { index } else { 0 }
    }

    /// Starts the next membership change that is due, unless another one is in progress.
    pub(crate) fn start_next_membership_change(&mut self, out: &mut Vec<Output>) {
        let changeable_index = self.changeable_members_index();
        if changeable_index == 0 {
            return;
        }
        if let Some(set) = self.next_membership_change(changeable_index) {
            self.append_as_leader(EntryBody::Members(set), out);
            self.send_entries(out);
        }
    }

    /// Steps down once a membership change that removed this leader has been committed.
    pub(crate) fn step_down_if_removed(&mut self, out: &mut Vec<Output>) {
        let is_changeable = self.changeable_members_index() != 0;
        if is_changeable && !self.members.current().is_voter(&self.settings.id) {
            // This heartbeat tells the other replicas that the change is committed; without it, they would have to
            // elect a leader under the previous member set.
            self.start_heartbeat_round(out);
            self.step_down(out);
        }
    }

    fn next_membership_change(&self, changeable_index: u64) -> Option<MemberSet> {
        let Role::Leader(leader) = &self.role else {
            return None;
        };
        let set = self.members.current();
        self.admit_joiner(leader, set, changeable_index)
            .or_else(|| self.promote_learner(leader, set))
            .or_else(|| self.remove_replaced_replica(set))
    }

    /// Returns the member set that admits a joining replica as a learner. If the set still holds an earlier identity of
    /// the same instance, whose disk is lost, the returned set only removes that identity; the next change admits the
    /// replica.
    fn admit_joiner(&self, leader: &LeaderState, set: &MemberSet, index: u64) -> Option<MemberSet> {
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

    /// Returns the member set that promotes a learner whose synced log has caught up and that has replied recently.
    fn promote_learner(&self, leader: &LeaderState, set: &MemberSet) -> Option<MemberSet> {
        let learner = set
            .learners
            .iter()
            .find(|id| self.has_caught_up(leader, id))?;
        Some(set.with_voter(learner))
    }

    fn has_caught_up(&self, leader: &LeaderState, id: &ReplicaId) -> bool {
        let Some(peer) = leader.peer(id) else {
            return false;
        };
        let age_ms = self.now_ms - peer.replied_round_sent_ms;
        peer.match_index >= leader.catch_up_index && age_ms <= self.settings.election_timeout_min_ms
    }

    /// Returns the member set without a replica whose instance has been replaced, once every instance of the set has a
    /// voter.
    fn remove_replaced_replica(&self, set: &MemberSet) -> Option<MemberSet> {
        if !set.has_voter_on_each_instance() {
            return None;
        }
        let is_replaced = |id: &&ReplicaId| !set.instances.contains(&id.instance);
        set.replicas().find(is_replaced).map(|id| set.without(id))
    }
}
