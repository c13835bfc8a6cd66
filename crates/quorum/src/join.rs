//! Bootstrap of the log by the initial voters, and join requests of replicas that possibly no leader knows.

use std::collections::BTreeMap;

use faststr::FastStr;

use crate::message::{MemberSet, Message, Output, ReplicaId};
use crate::peer::Joiner;
use crate::replica::{Replica, Role};

/// Interval between two rounds of `Join` messages, in heartbeat intervals.
const JOIN_INTERVAL_HEARTBEATS: u64 = 2;

/// Time after which the initial voter with the next higher id may bootstrap the log, in longest election timeouts.
const BOOTSTRAP_TURN_ELECTIONS: u64 = 2;

/// What a replica knows of the other replicas for bootstrapping the log and for joining a member set.
#[derive(Clone, Debug)]
pub(crate) struct JoinState {
    started_ms: u64,
    next_join_ms: u64,
    /// Instances whose latest `JoinReply` says that they hold no log, with their storage id and the arrival time of the
    /// reply in milliseconds.
    instances_without_log: BTreeMap<FastStr, (u64, u64)>,
    /// Index of the latest member set received from a leader.
    members_index: u64,
    /// Latest member set received from a leader.
    members: MemberSet,
    /// Instances that receive join requests in addition to the initial voters and the instances of the member sets.
    pub(crate) extra_join_targets: Vec<FastStr>,
    /// Member set with which this replica is bootstrapping the log.
    pub(crate) bootstrap_members: Option<MemberSet>,
}

impl JoinState {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            started_ms: now_ms,
            next_join_ms: now_ms,
            instances_without_log: BTreeMap::new(),
            members_index: 0,
            members: MemberSet::default(),
            extra_join_targets: Vec::new(),
            bootstrap_members: None,
        }
    }
}

impl Replica {
    pub(crate) fn tick_join(&mut self, out: &mut Vec<Output>) {
        if !self.must_request_join() || self.now_ms < self.join.next_join_ms {
            return;
        }
        let interval_ms = self.settings.heartbeat_interval_ms * JOIN_INTERVAL_HEARTBEATS;
        self.join.next_join_ms = self.now_ms + interval_ms;
        self.expire_join_replies();
        for instance in self.join_targets() {
            let to = ReplicaId {
                instance,
                storage_id: 0,
            };
            self.send_join(to, out);
        }
        self.bootstrap_if_ready(out);
    }

    pub(crate) fn on_join(
        &mut self,
        from: ReplicaId,
        holds_log: bool,
        is_initial: bool,
        members_index: u64,
        out: &mut Vec<Output>,
    ) {
        let current_index = self.changeable_members_index();
        let message = Message::JoinReply {
            storage_id: from.storage_id,
            formed: self.holds_log(),
            members_index: current_index,
            members: self.members.current().clone(),
        };
        self.send_after_sync(from.clone(), message, out);
        if current_index == 0 || members_index != current_index {
            return;
        }
        let instances = &self.members.current().instances;
        if let Role::Leader(leader) = &mut self.role {
            // An instance that was just added counts as active since its last request.
            leader.joiners.retain(|joiner| {
                let is_added = instances.contains(&joiner.id.instance);
                joiner.id != from && (is_added || joiner.members_index == current_index)
            });
            leader.joiners.push(Joiner {
                id: from,
                holds_log,
                is_initial,
                members_index,
                requested_ms: self.now_ms,
            });
        }
        self.start_next_membership_change(out);
    }

    pub(crate) fn on_join_reply(
        &mut self,
        from: ReplicaId,
        formed: bool,
        members_index: u64,
        members: MemberSet,
        out: &mut Vec<Output>,
    ) {
        if !formed {
            let reply = (from.storage_id, self.now_ms);
            self.join.instances_without_log.insert(from.instance, reply);
            return self.bootstrap_if_ready(out);
        }
        self.join.instances_without_log.remove(&from.instance);
        if members_index <= self.join.members_index {
            return;
        }
        self.join.members_index = members_index;
        self.join.members = members;
        if self.must_request_join() {
            self.send_join(from, out);
        }
    }

    /// Starts the bootstrap of the log if no initial voter holds a log and it is this one's turn.
    fn bootstrap_if_ready(&mut self, out: &mut Vec<Output>) {
        let is_idle_follower = matches!(self.role, Role::Follower) && self.leader.is_none();
        if self.holds_log() || !self.has_bootstrap_turn() || !is_idle_follower {
            return;
        }
        let Some(set) = self.initial_members() else {
            return;
        };
        // The other voters vote as in any election, so that two bootstrap attempts cannot both succeed in one term.
        self.join.bootstrap_members = Some(set);
        self.start_election(out);
    }

    /// Returns whether this is the initial voter with the lowest id, or has run for long enough that those with lower ids
    /// would have bootstrapped the log. One that was restarted may no longer know that it is an initial voter.
    fn has_bootstrap_turn(&self) -> bool {
        let is_initial_voter = self
            .settings
            .initial_voters
            .contains(&self.settings.id.instance);
        is_initial_voter && self.now_ms >= self.bootstrap_turn_ms()
    }

    fn bootstrap_turn_ms(&self) -> u64 {
        let initial_voters = self.settings.initial_voters.iter();
        let lower_ids = initial_voters.filter(|voter| **voter < self.settings.id.instance);
        let turns = BOOTSTRAP_TURN_ELECTIONS * lower_ids.count() as u64;
        self.join.started_ms + self.settings.election_timeout_max_ms * turns
    }

    /// Returns the first member set: all initial voters, once each of them or, after some time, a majority of their initial
    /// identities has reported that it holds no log.
    fn initial_members(&self) -> Option<MemberSet> {
        self.complete_initial_members()
            .or_else(|| self.majority_of_initial_members())
    }

    /// Returns the member set of the initial identities if a majority of them has reported that it holds no log. Any two
    /// majorities share one of them, which has given its vote or holds the log.
    fn majority_of_initial_members(&self) -> Option<MemberSet> {
        let initial_ids = &self.settings.initial_ids;
        let wait_ms = self.settings.election_timeout_max_ms;
        if !initial_ids.contains(&self.settings.id)
            || self.now_ms < self.bootstrap_turn_ms() + wait_ms
        {
            return None;
        }
        let has_replied = |id: &&ReplicaId| {
            let reply = self.join.instances_without_log.get(&id.instance);
            self.is_self(id) || reply.is_some_and(|(storage_id, _)| *storage_id == id.storage_id)
        };
        let mut voters = initial_ids.clone();
        voters.sort_unstable();
        voters.dedup();
        let instances = voters.iter().map(|id| id.instance.clone()).collect();
        let set = MemberSet {
            voters,
            instances,
            ..MemberSet::default()
        };
        let replied = set.voters.iter().filter(has_replied).count();
        (replied >= set.majority()).then_some(set)
    }

    /// Returns the member set of all initial voters, once each of them has reported that it holds no log.
    fn complete_initial_members(&self) -> Option<MemberSet> {
        let mut instances = self.settings.initial_voters.clone();
        instances.sort_unstable();
        instances.dedup();
        let replica_id = |instance: &FastStr| {
            if *instance == self.settings.id.instance {
                return Some(self.settings.id.clone());
            }
            let (storage_id, _) = self.join.instances_without_log.get(instance)?;
            Some(ReplicaId {
                instance: instance.clone(),
                storage_id: *storage_id,
            })
        };
        let voters = instances
            .iter()
            .map(replica_id)
            .collect::<Option<Vec<_>>>()?;
        Some(MemberSet {
            voters,
            instances,
            ..MemberSet::default()
        })
    }

    /// Returns whether this replica must request to join because possibly no leader knows it: either its own member set
    /// does not contain it, or it has received no message from a leader for longer than the longest election timeout.
    /// In the second case, another leader may have replaced the replica's member set before the set was committed.
    fn must_request_join(&self) -> bool {
        if !self.members.current().contains(&self.settings.id) {
            return !self.is_leaving();
        }
        let leader_message_age_ms = self.now_ms - self.last_leader_message_ms;
        !self.is_leader() && leader_message_age_ms > self.settings.election_timeout_max_ms
    }

    fn expire_join_replies(&mut self) {
        let now_ms = self.now_ms;
        let max_age_ms = self.settings.election_timeout_max_ms;
        self.join
            .instances_without_log
            .retain(|_, (_, at_ms)| now_ms - *at_ms <= max_age_ms);
    }

    /// Returns the instances that receive this replica's requests to join or leave: those that may hold the log.
    pub(crate) fn join_targets(&self) -> Vec<FastStr> {
        let known = self.join.members.instances.iter();
        let own = self.members.current().instances.iter();
        let mut targets: Vec<FastStr> = self.settings.initial_voters.clone();
        targets.extend(
            known
                .chain(own)
                .chain(&self.join.extra_join_targets)
                .cloned(),
        );
        targets.sort_unstable();
        targets.dedup();
        targets.retain(|instance| *instance != self.settings.id.instance);
        targets
    }

    fn send_join(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let message = Message::Join {
            formed: self.holds_log(),
            members_index: self.join.members_index,
            initial: !self.settings.initial_voters.is_empty(),
        };
        out.push(Output::Send { to, message });
    }
}
