//! Member sets and the history of the member sets in the log.

use std::collections::VecDeque;

use faststr::FastStr;

use crate::message::{MemberSet, ReplicaId};

/// Number of superseded instances that a member set records, the latest ones. Most of them no longer run.
const MAX_SUPERSEDED: usize = 32;

impl MemberSet {
    /// Returns whether `id` is a voter.
    pub fn is_voter(&self, id: &ReplicaId) -> bool {
        self.voters.contains(id)
    }

    /// Returns whether `id` is a voter or a learner.
    pub fn contains(&self, id: &ReplicaId) -> bool {
        self.is_voter(id) || self.learners.contains(id)
    }

    /// Returns whether each instance of the set runs a voter.
    pub(crate) fn has_voter_on_each_instance(&self) -> bool {
        let has_voter = |instance: &FastStr| self.voters.iter().any(|id| id.instance == *instance);
        self.instances.iter().all(has_voter)
    }

    /// Returns the number of voters that make a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Returns the voters and the learners.
    pub fn replicas(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// Returns the highest value that a majority of the voters has reached, given each voter's value.
    pub(crate) fn majority_value(&self, value: impl Fn(&ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters.iter().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        values.get(self.majority() - 1).copied().unwrap_or(0)
    }

    /// Returns a replica of the set on the same instance as `id` with a different storage id.
    pub(crate) fn other_identity(&self, id: &ReplicaId) -> Option<&ReplicaId> {
        self.replicas()
            .find(|other| other.instance == id.instance && *other != id)
    }

    pub(crate) fn without(&self, id: &ReplicaId) -> Self {
        let mut set = self.clone();
        set.voters.retain(|voter| voter != id);
        set.learners.retain(|learner| learner != id);
        set
    }

    pub(crate) fn with_learner(&self, id: &ReplicaId) -> Self {
        let mut set = self.without(id);
        set.learners.push(id.clone());
        set.learners.sort_unstable();
        set
    }

    pub(crate) fn with_voter(&self, id: &ReplicaId) -> Self {
        let mut set = self.without(id);
        set.voters.push(id.clone());
        set.voters.sort_unstable();
        set
    }

    pub(crate) fn with_additional_instance(&self, new: &FastStr) -> Self {
        let mut set = self.clone();
        set.instances.push(new.clone());
        set.instances.sort_unstable();
        set
    }

    pub(crate) fn without_instance(&self, old: &FastStr) -> Self {
        let mut set = self.clone();
        set.instances.retain(|instance| instance != old);
        set
    }

    pub(crate) fn with_replaced_instance(&self, old: &FastStr, new: &FastStr) -> Self {
        self.without_instance(old).with_additional_instance(new)
    }

    pub(crate) fn with_superseded(mut self, instances: &[FastStr]) -> Self {
        for instance in instances {
            if !self.superseded.contains(instance) {
                self.superseded.push(instance.clone());
            }
        }
        let excess = self.superseded.len().saturating_sub(MAX_SUPERSEDED);
        self.superseded.drain(..excess);
        self
    }
}

/// Returns the storage id of a replica that starts for the first time together with the whole system, so that the initial
/// voters know each other's identities beforehand.
pub fn initial_storage_id(instance: &str) -> u64 {
    // FNV-1a. Zero is reserved.
    let hash = instance
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    hash.max(1)
}

/// The member sets of the log, oldest first. The last set is in force; truncating the log restores an earlier set.
#[derive(Clone, Debug)]
pub(crate) struct MemberHistory {
    sets: VecDeque<MemberSet>,
}

impl MemberHistory {
    pub(crate) fn new(members: MemberSet) -> Self {
        Self {
            sets: VecDeque::from([members]),
        }
    }

    pub(crate) fn current(&self) -> &MemberSet {
        &self.sets[self.sets.len() - 1]
    }

    /// Returns the set in force at `index`.
    pub(crate) fn at(&self, index: u64) -> &MemberSet {
        let position = self.sets.iter().rposition(|set| set.index <= index);
        &self.sets[position.unwrap_or(0)]
    }

    /// Returns the set in force at `index` and all later ones.
    pub(crate) fn since(&self, index: u64) -> impl Iterator<Item = &MemberSet> {
        let position = self.sets.iter().rposition(|set| set.index <= index);
        self.sets.range(position.unwrap_or(0)..)
    }

    pub(crate) fn push(&mut self, members: MemberSet) {
        self.sets.push_back(members);
    }

    /// Removes the sets whose entries are at or after `index`.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        while self.sets.len() > 1 && self.current().index >= index {
            self.sets.pop_back();
        }
    }

    /// Removes the sets that are superseded at `index`.
    pub(crate) fn compact_to(&mut self, index: u64) {
        while self.sets.len() > 1 && self.sets[1].index <= index {
            self.sets.pop_front();
        }
    }
}
