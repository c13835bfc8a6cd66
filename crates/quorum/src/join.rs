//! First formation of the log, and the request of a new replica to be let in.

use std::collections::BTreeMap;

use faststr::FastStr;

use crate::message::{MemberSet, Message, Output, ReplicaId};
use crate::peer::Joiner;
use crate::replica::{Replica, Role};

/// Heartbeat intervals between two rounds of `Join`.
const JOIN_HEARTBEATS: u64 = 2;

/// What a replica outside any member set knows of the others.
#[derive(Clone, Debug)]
pub(crate) struct JoinState {
    next_join_ms: u64,
    /// Initial voters that hold no log: their storage id and when they said so.
    empty: BTreeMap<FastStr, (u64, u64)>,
    /// Index of the latest member set received from a leader.
    members_index: u64,
    /// Latest member set received.
    members: MemberSet,
    /// Instances that may know of the log, besides those of the member sets.
    pub(crate) contacts: Vec<FastStr>,
    /// Member set with which this replica is founding the log.
    pub(crate) founding: Option<MemberSet>,
}

impl JoinState {
    pub(crate) fn new(now_ms: u64) -> Self {
        Self {
            next_join_ms: now_ms,
            empty: BTreeMap::new(),
            members_index: 0,
            members: MemberSet::default(),
            contacts: Vec::new(),
            founding: None,
        }
    }
}

impl Replica {
    pub(crate) fn tick_join(&mut self, out: &mut Vec<Output>) {
        if !self.is_left_out() || self.now_ms < self.join.next_join_ms {
            return;
        }
        let interval_ms = self.settings.heartbeat_interval_ms * JOIN_HEARTBEATS;
        self.join.next_join_ms = self.now_ms + interval_ms;
        self.forget_old_answers();
        for instance in self.contacts() {
            let to = ReplicaId {
                instance,
                storage_id: 0,
            };
            self.send_join(to, out);
        }
        self.found(out);
    }

    pub(crate) fn on_join(&mut self, from: ReplicaId, members_index: u64, out: &mut Vec<Output>) {
        let current_index = self.settled_members_index();
        let message = Message::JoinReply {
            storage_id: from.storage_id,
            formed: self.is_formed(),
            members_index: current_index,
            members: self.members.current().clone(),
        };
        self.send_synced(from.clone(), message, out);
        if current_index == 0 || members_index != current_index {
            return;
        }
        if let Role::Leader(leader) = &mut self.role {
            leader
                .joiners
                .retain(|joiner| joiner.id != from && joiner.members_index == current_index);
            leader.joiners.push(Joiner {
                id: from,
                members_index,
                heard_ms: self.now_ms,
            });
        }
        self.maintain_members(out);
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
            let answer = (from.storage_id, self.now_ms);
            self.join.empty.insert(from.instance, answer);
            return self.found(out);
        }
        self.join.empty.remove(&from.instance);
        if members_index <= self.join.members_index {
            return;
        }
        self.join.members_index = members_index;
        self.join.members = members;
        if self.is_left_out() {
            self.send_join(from, out);
        }
    }

    /// Founds the log if this is the initial voter with the lowest id and no initial voter holds a log.
    fn found(&mut self, out: &mut Vec<Output>) {
        let is_lowest =
            self.settings.initial_voters.iter().min() == Some(&self.settings.id.instance);
        let is_waiting = matches!(self.role, Role::Follower) && self.leader.is_none();
        if self.is_formed() || !is_lowest || !is_waiting {
            return;
        }
        let Some(set) = self.founding_set() else {
            return;
        };
        // The others vote as in any election, so that two attempts cannot both succeed in one term.
        self.join.founding = Some(set);
        self.start_vote(out);
    }

    /// Returns the member set of all initial voters, once each of them has said that it holds no log.
    fn founding_set(&self) -> Option<MemberSet> {
        let mut instances = self.settings.initial_voters.clone();
        instances.sort_unstable();
        instances.dedup();
        let identify = |instance: &FastStr| {
            if *instance == self.settings.id.instance {
                return Some(self.settings.id.clone());
            }
            let (storage_id, _) = self.join.empty.get(instance)?;
            Some(ReplicaId {
                instance: instance.clone(),
                storage_id: *storage_id,
            })
        };
        let voters = instances.iter().map(identify).collect::<Option<Vec<_>>>()?;
        Some(MemberSet {
            voters,
            instances,
            ..MemberSet::default()
        })
    }

    /// Returns whether no leader may know of this replica: it is not in its own member set, or that set may have been
    /// replaced by another leader before it committed, since no leader has been heard from for long.
    fn is_left_out(&self) -> bool {
        if !self.members.current().contains(&self.settings.id) {
            return true;
        }
        let silence_ms = self.now_ms - self.heard_leader_ms;
        !self.is_leader() && silence_ms > self.settings.election_timeout_max_ms
    }

    fn forget_old_answers(&mut self) {
        let now_ms = self.now_ms;
        let max_age_ms = self.settings.election_timeout_max_ms;
        self.join
            .empty
            .retain(|_, (_, at_ms)| now_ms - *at_ms <= max_age_ms);
    }

    /// Returns the instances that may know of the log.
    fn contacts(&self) -> Vec<FastStr> {
        let known = self.join.members.instances.iter();
        let own = self.members.current().instances.iter();
        let mut contacts: Vec<FastStr> = self.settings.initial_voters.clone();
        contacts.extend(known.chain(own).chain(&self.join.contacts).cloned());
        contacts.sort_unstable();
        contacts.dedup();
        contacts.retain(|instance| *instance != self.settings.id.instance);
        contacts
    }

    fn send_join(&mut self, to: ReplicaId, out: &mut Vec<Output>) {
        let message = Message::Join {
            formed: self.is_formed(),
            members_index: self.join.members_index,
        };
        out.push(Output::Send { to, message });
    }
}
