//! The planned stop of a replica, whose vote first moves to another replica.

use faststr::FastStr;

use crate::message::{MemberSet, Message, Output, ReplicaId};
use crate::peer::{LeaderState, Leaver};
use crate::replica::{Replica, Role};

/// Interval between two rounds of `Leave` messages, in heartbeat intervals.
const LEAVE_INTERVAL_HEARTBEATS: u64 = 2;
/// Time for which the member set must not have changed before the leader concludes that no replica asks to join, in
/// heartbeat intervals. Replicas that do ask have then sent at least two join requests.
const SETTLED_HEARTBEATS: u64 = 5;

/// What a replica that is to stop knows of its release.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeaveState {
    is_leaving: bool,
    is_released: bool,
    next_request_ms: u64,
    /// Number of voters above which a leaving voter is removed before its process stops; none if voters are not removed.
    target_voters: Option<usize>,
}

impl Replica {
    /// Returns whether the process may stop after `Input::Leave`: this replica is no longer a member, or the leader has
    /// stated that no other replica can take over its vote and that the remaining voters form a majority.
    pub fn has_left(&self) -> bool {
        self.leave.is_released
    }

    /// Returns the instances of the member set that have asked to leave and still run. The result is empty unless this
    /// replica is the leader.
    pub fn leavers(&self) -> Vec<FastStr> {
        let Role::Leader(leader) = &self.role else {
            return Vec::new();
        };
        let instances = &self.members.current().instances;
        leader
            .leavers
            .iter()
            .filter(|leaver| self.is_recent(leaver))
            .map(|leaver| leaver.id.instance.clone())
            .filter(|instance| instances.contains(instance))
            .collect()
    }

    /// Sets the number of voters above which the caller removes a leaving voter without a replacement. The leader then
    /// does not let the voter's process stop before.
    pub fn set_target_voters(&mut self, target_voters: usize) {
        self.leave.target_voters = Some(target_voters);
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leave.is_leaving
    }

    pub(crate) fn start_leaving(&mut self, out: &mut Vec<Output>) {
        self.leave.is_leaving = true;
        self.leave.next_request_ms = self.now_ms;
        self.tick_leave(out);
    }

    pub(crate) fn tick_leave(&mut self, out: &mut Vec<Output>) {
        self.observe_settled_members();
        if !self.leave.is_leaving
            || self.leave.is_released
            || self.now_ms < self.leave.next_request_ms
        {
            return;
        }
        let interval_ms = self.settings.heartbeat_interval_ms * LEAVE_INTERVAL_HEARTBEATS;
        self.leave.next_request_ms = self.now_ms + interval_ms;
        let set = self.members.current();
        if set.index <= self.commit_index && !set.contains(&self.settings.id) {
            self.leave.is_released = true;
            return;
        }
        if self.is_leader() {
            let id = self.settings.id.clone();
            self.leave.is_released = self.release(&id);
            return;
        }
        for instance in self.join_targets() {
            let to = ReplicaId {
                instance,
                storage_id: 0,
            };
            let message = Message::Leave;
            out.push(Output::Send { to, message });
        }
    }

    pub(crate) fn on_leave(&mut self, from: ReplicaId, out: &mut Vec<Output>) {
        if self.is_leader() && self.release(&from) {
            let message = Message::LeaveReply {
                storage_id: from.storage_id,
            };
            self.send_after_sync(from, message, out);
        }
    }

    pub(crate) fn on_leave_reply(&mut self) {
        self.leave.is_released |= self.leave.is_leaving;
    }

    /// Records on the leader that a replica is to stop, and returns whether its process may do so now.
    fn release(&mut self, id: &ReplicaId) -> bool {
        let can_change = self.changeable_members_index() != 0;
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let set = self.members.current();
        let is_removed = !set.contains(id) && !set.instances.contains(&id.instance);
        let is_released =
            can_change && (is_removed || self.keeps_majority_without(leader, set, id));
        let now_ms = self.now_ms;
        let max_age_ms = self.settings.election_timeout_max_ms;
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        leader
            .leavers
            .retain(|leaver| leaver.id != *id && now_ms - leaver.requested_ms <= max_age_ms);
        leader.leavers.push(Leaver {
            id: id.clone(),
            requested_ms: now_ms,
            is_released,
        });
        is_released
    }

    /// Returns whether no replica can take over the vote of `id`, and the other running voters form a majority.
    fn keeps_majority_without(
        &self,
        leader: &LeaderState,
        set: &MemberSet,
        id: &ReplicaId,
    ) -> bool {
        let target_voters = self.leave.target_voters.unwrap_or(usize::MAX);
        if set.voters.len() > target_voters
            || !self.has_settled_members()
            || !self
                .join_requests(self.settings.election_timeout_max_ms)
                .is_empty()
        {
            return false;
        }
        let has_released = |voter: &ReplicaId| {
            let mut leavers = leader.leavers.iter();
            leavers
                .any(|leaver| leaver.id == *voter && leaver.is_released && self.is_recent(leaver))
        };
        let is_running = |voter: &ReplicaId| {
            self.is_self(voter)
                || leader.peer(voter).is_some_and(|peer| {
                    let age_ms = self.now_ms - peer.replied_round_sent_ms;
                    peer.replied_sequence > 0 && age_ms <= self.settings.election_timeout_max_ms
                })
        };
        let remaining = set
            .voters
            .iter()
            .filter(|voter| *voter != id && is_running(voter) && !has_released(voter));
        remaining.count() >= set.majority()
    }

    /// Returns whether this replica is the leader and each instance of the committed member set has had a voter for long
    /// enough that all replicas that ask to join are known.
    pub fn has_settled_members(&self) -> bool {
        let Role::Leader(leader) = &self.role else {
            return false;
        };
        let settled_ms = self.settings.heartbeat_interval_ms * SETTLED_HEARTBEATS;
        let since_ms = leader.settled_since_ms;
        since_ms.is_some_and(|since_ms| self.now_ms - since_ms >= settled_ms)
    }

    /// Records since when every instance of the committed member set has had a voter.
    fn observe_settled_members(&mut self) {
        let set = self.members.current();
        let is_settled = self.changeable_members_index() != 0
            && set.voters.len() == set.instances.len()
            && set.has_voter_on_each_instance();
        let now_ms = self.now_ms;
        if let Role::Leader(leader) = &mut self.role {
            leader.settled_since_ms = match is_settled {
                true => leader.settled_since_ms.or(Some(now_ms)),
                false => None,
            };
        }
    }

    fn is_recent(&self, leaver: &Leaver) -> bool {
        self.now_ms - leaver.requested_ms <= self.settings.election_timeout_max_ms
    }
}
