//! The choice of the instances that run voters, which the leader makes without an operator.

use conf::{Map, Name};
use quorum::JoinRequest;

/// Time without a message after which a voter is replaced if another instance can replace it, in milliseconds. The time
/// is above the longest election timeout, so that a change of leader does not cause the replacement of a running voter.
pub const REPLACE_AFTER_MS: u64 = 2_500;
/// Number of voters above the target, if as many other instances run. The log then goes on after the loss of a voter that
/// another instance already stands in for, although a further one is lost at the same time.
const SPARE_VOTERS: usize = 2;

/// The member set and the instances that can join it, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Instances of the member set, each with the time since its last message, in milliseconds.
    pub member_ages_ms: Vec<(Name, u64)>,
    /// Instances that ask to join the member set.
    pub joiners: Vec<JoinRequest>,
    /// Instances of the member set whose processes are to stop.
    pub leavers: Vec<Name>,
    /// Known availability zones, by instance.
    pub zones: Map<Name, Name>,
    /// Target number of voters.
    pub target: usize,
    /// Whether the member set has been stable for long enough that all joiners are known.
    pub is_settled: bool,
}

/// A change of the member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds a voter on an instance.
    Add(Name),
    /// Replaces the voter on `old` by one on `new`.
    Replace { old: Name, new: Name },
    /// Removes the voter on an instance.
    Remove(Name),
}

/// Returns the next change that is due.
pub fn next_change(candidates: &Candidates) -> Option<VoterChange> {
    // A voter that is about to stop still runs, and its vote moves before it is missing.
    let gone = candidates.leavers.first().or(candidates.silent_voter());
    if let Some(old) = gone {
        return candidates.removal(old);
    }
    let joiner = candidates.best_joiner()?;
    let voters = candidates.member_ages_ms.len();
    // An even number of voters tolerates no more failures than the odd number below it.
    if voters < candidates.target {
        return Some(VoterChange::Add(joiner));
    }
    if !candidates.is_settled {
        return None;
    }
    let most_voters = candidates.target + SPARE_VOTERS;
    if voters < most_voters && voters + candidates.joiners.len() >= most_voters {
        return Some(VoterChange::Add(joiner));
    }
    match voters == candidates.target {
        true => candidates.handover(),
        false => None,
    }
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
    /// instance can replace it.
    fn removal(&self, old: &Name) -> Option<VoterChange> {
        let old = old.clone();
        match self.best_joiner() {
            Some(new) => Some(VoterChange::Replace { old, new }),
            None if self.member_ages_ms.len() > self.target => Some(VoterChange::Remove(old)),
            None => None,
        }
    }

    /// Returns the change that moves the vote of an availability zone to a new instance there. Where each zone has one
    /// voter, a new instance is the successor of that voter, which may vanish without a signal from now on.
    fn handover(&self) -> Option<VoterChange> {
        let successors = self.joiners.iter().filter(|joiner| !joiner.holds_log);
        successors
            .filter_map(|joiner| {
                let zone = self.zones.get(&joiner.instance)?;
                let members = self.member_ages_ms.iter().map(|(member, _)| member);
                let mut of_zone = members.filter(|member| self.zones.get(*member) == Some(zone));
                match (of_zone.next(), of_zone.next()) {
                    (Some(old), None) => Some((old, &joiner.instance)),
                    _ => None,
                }
            })
            .min_by_key(|(_, new)| *new)
            .map(|(old, new)| VoterChange::Replace {
                old: old.clone(),
                new: new.clone(),
            })
    }

    /// Returns the joiner whose availability zone has the fewest live voters.
    fn best_joiner(&self) -> Option<Name> {
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
            .min_by_key(|joiner| (live_voters_in_zone(joiner), *joiner))
            .cloned()
    }
}
