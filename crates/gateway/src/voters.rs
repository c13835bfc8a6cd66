//! The choice of the instances that run voters, which the leader makes without an operator.

use std::cmp::Reverse;

use conf::{Map, Name};
use quorum::JoinRequest;

/// Time without a message after which a voter is replaced if another instance can replace it, in milliseconds. The time
/// is above the longest election timeout, so that a change of leader does not cause the replacement of a running voter.
pub const REPLACE_AFTER_MS: u64 = 2_500;
/// Time without a message after which a voter is replaced by a superseded instance, if no other one runs, in milliseconds.
/// The time is above that of a restart, since a superseded instance may vanish with the vote.
const REPLACE_BY_SUPERSEDED_AFTER_MS: u64 = 30_000;
/// Number of voters above the target, if as many other instances run. The log then goes on after the loss of a voter that
/// another instance already stands in for, although a further one is lost at the same time.
const SPARE_VOTERS: usize = 2;

/// The member set and the instances that can join it, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Instance of the leader.
    pub leader: Name,
    /// Instances of the member set, each with the time since its last message, in milliseconds.
    pub member_ages_ms: Vec<(Name, u64)>,
    /// Instances of the member set that have no vote yet.
    pub pending: Vec<Name>,
    /// Instances that ask to join the member set.
    pub joiners: Vec<JoinRequest>,
    /// Instances of the member set whose processes are to stop.
    pub leavers: Vec<Name>,
    /// Instances that the member set records as superseded.
    pub superseded: Vec<Name>,
    /// Known availability zones, by instance.
    pub zones: Map<Name, Name>,
    /// Target number of voters.
    pub target: usize,
    /// Whether the member set has been stable for long enough that all joiners are known.
    pub is_settled: bool,
}

/// A change of the member set. `superseded` are instances to record in it, as `new` is newer and runs in their
/// availability zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds a voter on an instance.
    Add { new: Name, superseded: Vec<Name> },
    /// Replaces the voter on `old` by one on `new`.
    Replace {
        old: Name,
        new: Name,
        superseded: Vec<Name>,
    },
    /// Removes the voter on an instance.
    Remove(Name),
}

/// Returns the next change that is due.
pub fn next_change(candidates: &Candidates) -> Option<VoterChange> {
    // A voter that is about to stop still runs, and its vote moves before it is missing.
    let gone = candidates.leavers.first().or(candidates.silent_voter());
    if let Some(change) = gone.and_then(|old| candidates.removal(old)) {
        return Some(change);
    }
    if candidates.member_ages_ms.len() < candidates.target {
        let joiner = candidates.best_joiner(|_| true)?;
        return Some(candidates.addition(joiner));
    }
    if !candidates.is_settled || !candidates.knows_zones_of_members() {
        return None;
    }
    candidates
        .handover()
        .or_else(|| candidates.rebalance())
        .or_else(|| candidates.resize())
}

impl Candidates {
    /// Returns the voter that has been silent for longest, if it is to be replaced.
    fn silent_voter(&self) -> Option<&Name> {
        let ages = self.member_ages_ms.iter();
        ages.filter(|(_, age_ms)| *age_ms > REPLACE_AFTER_MS)
            .max_by_key(|(_, age_ms)| *age_ms)
            .map(|(voter, _)| voter)
    }

    /// Returns the change that removes a voter which has gone or is about to. Below the target, it stays until another
    /// instance can replace it. A voter that is silent for a short time keeps its vote rather than pass it to a superseded
    /// instance.
    fn removal(&self, old: &Name) -> Option<VoterChange> {
        let mut ages = self.member_ages_ms.iter();
        let is_lost =
            ages.any(|(id, age_ms)| id == old && *age_ms > REPLACE_BY_SUPERSEDED_AFTER_MS);
        let has_no_vote = self.pending.contains(old);
        let accepts_superseded = is_lost || has_no_vote || self.leavers.contains(old);
        match self.best_joiner(|id| accepts_superseded || !self.is_superseded(id)) {
            Some(new) => Some(self.replacement(old, new)),
            None if self.member_ages_ms.len() > self.target => {
                Some(VoterChange::Remove(old.clone()))
            }
            None => None,
        }
    }

    /// Returns the change that moves the vote of a superseded instance to one that is not superseded, or for longer: in the
    /// same availability zone, or in one with fewer voters. The leader's vote moves last, as the move costs an election.
    fn handover(&self) -> Option<VoterChange> {
        let joiners = self.joiners.iter().map(|joiner| &joiner.instance);
        let moves = joiners.flat_map(|new| {
            let rank = self.rank(new);
            let voters = self.voters().filter(move |old| rank < self.rank(old));
            voters.filter_map(move |old| {
                let (from, to) = (self.zone(old)?, self.zone(new)?);
                let is_other_zone = from != to;
                let is_possible = !is_other_zone || self.voters_in(to) < self.voters_in(from);
                is_possible.then_some((rank, is_other_zone, *old == self.leader, new, old))
            })
        });
        let (.., new, old) = moves.min()?;
        Some(self.replacement(old, new))
    }

    /// Returns the change that moves a vote to an availability zone with at least two voters less, as one that was without
    /// voters for the time of an outage.
    fn rebalance(&self) -> Option<VoterChange> {
        let joiners = self.joiners.iter().map(|joiner| &joiner.instance);
        let joiners = joiners.filter(|joiner| !self.is_superseded(joiner));
        let moves = joiners.flat_map(|new| {
            self.voters().filter_map(move |old| {
                let from = self.voters_in(self.zone(old)?);
                let to = self.voters_in(self.zone(new)?);
                let is_leader = *old == self.leader;
                (from >= to + 2).then_some((to, is_leader, Reverse(from), new, old))
            })
        });
        let (.., new, old) = moves.min()?;
        Some(self.replacement(old, new))
    }

    /// Returns the change towards the number of voters that the running instances allow. Superseded instances are no voters
    /// above the target.
    fn resize(&self) -> Option<VoterChange> {
        let joiners = self.joiners.iter().map(|joiner| &joiner.instance);
        let instances = self.voters().chain(joiners);
        let available = instances.filter(|id| !self.is_superseded(id)).count();
        let wanted = match available >= self.target + SPARE_VOTERS {
            true => self.target + SPARE_VOTERS,
            false => self.target,
        };
        let voters = self.member_ages_ms.len();
        if voters < wanted {
            let joiner = self.best_joiner(|id| !self.is_superseded(id))?;
            return Some(self.addition(joiner));
        }
        if voters == wanted {
            return None;
        }
        let surplus = self.voters().max_by_key(|voter| {
            let in_zone = self.zone(voter).map_or(0, |zone| self.voters_in(zone));
            let is_leader = **voter == self.leader;
            (self.rank(voter), !is_leader, in_zone, Reverse(*voter))
        })?;
        Some(VoterChange::Remove(surplus.clone()))
    }

    /// Returns the joiner whose availability zone has the fewest live voters, among those that `is_eligible` accepts.
    /// Superseded ones come last.
    fn best_joiner(&self, is_eligible: impl Fn(&Name) -> bool) -> Option<&Name> {
        let live_voters_in_zone = |joiner: &Name| {
            let zone = self.zones.get(joiner);
            self.member_ages_ms
                .iter()
                .filter(|(_, age_ms)| *age_ms <= REPLACE_AFTER_MS)
                .filter(|(member, _)| !self.leavers.contains(member))
                .filter(|(member, _)| self.zones.get(member) == zone)
                .count()
        };
        self.joiners
            .iter()
            .map(|joiner| &joiner.instance)
            .filter(|joiner| is_eligible(joiner))
            .min_by_key(|joiner| (self.rank(joiner), live_voters_in_zone(joiner), *joiner))
    }

    fn addition(&self, new: &Name) -> VoterChange {
        VoterChange::Add {
            new: new.clone(),
            superseded: self.superseded_by(new),
        }
    }

    fn replacement(&self, old: &Name, new: &Name) -> VoterChange {
        VoterChange::Replace {
            old: old.clone(),
            new: new.clone(),
            superseded: self.superseded_by(new),
        }
    }

    /// Returns whether an instance may be the predecessor of a newer one, so that it may vanish at any time without
    /// counting as a loss.
    fn is_superseded(&self, id: &Name) -> bool {
        self.rank(id).is_some()
    }

    /// Returns `None` for an instance that is not superseded, otherwise its place among the superseded ones: first those in
    /// the availability zones with the fewest instances, as each predecessor that still runs is one more there, and of
    /// these the one that has been superseded for longest.
    fn rank(&self, id: &Name) -> Option<(usize, usize)> {
        let mut joiners = self.joiners.iter();
        let position = match self.superseded.iter().position(|other| other == id) {
            Some(position) => position,
            None if joiners.any(|new| self.supersedes(new, id)) => usize::MAX,
            None => return None,
        };
        let joiners = self.joiners.iter().map(|joiner| &joiner.instance);
        let instances = self.voters().chain(joiners);
        let in_zone = instances.filter(|other| self.zone(other) == self.zone(id));
        Some((in_zone.count(), position))
    }

    /// Returns the instances that are superseded by `new` and not recorded yet.
    fn superseded_by(&self, new: &Name) -> Vec<Name> {
        let Some(new) = self.joiners.iter().find(|joiner| joiner.instance == *new) else {
            return Vec::new();
        };
        let joiners = self.joiners.iter().map(|joiner| &joiner.instance);
        self.voters()
            .chain(joiners)
            .filter(|id| self.supersedes(new, id) && !self.superseded.contains(id))
            .cloned()
            .collect()
    }

    /// Returns whether `new` has started after `id` in the same availability zone.
    fn supersedes(&self, new: &JoinRequest, id: &Name) -> bool {
        let is_joiner = |joiner: &JoinRequest| joiner.instance == *id;
        let is_older = match self.joiners.iter().find(|joiner| is_joiner(joiner)) {
            Some(joiner) => !self.is_new(joiner),
            None => true,
        };
        let zone = self.zone(&new.instance);
        is_older && self.is_new(new) && zone.is_some() && zone == self.zone(id)
    }

    /// Returns whether a joiner has not been a member before and was added to a system that ran already.
    fn is_new(&self, joiner: &JoinRequest) -> bool {
        let is_recorded = self.superseded.contains(&joiner.instance);
        !joiner.holds_log && !joiner.is_initial && !is_recorded
    }

    fn knows_zones_of_members(&self) -> bool {
        self.voters().all(|voter| self.zone(voter).is_some())
    }

    /// Returns the instances of the member set.
    fn voters(&self) -> impl Iterator<Item = &Name> {
        self.member_ages_ms.iter().map(|(voter, _)| voter)
    }

    fn zone(&self, id: &Name) -> Option<&Name> {
        self.zones.get(id)
    }

    /// Returns the number of voters in an availability zone.
    fn voters_in(&self, zone: &Name) -> usize {
        let voters = self.voters();
        voters
            .filter(|voter| self.zone(voter) == Some(zone))
            .count()
    }
}
