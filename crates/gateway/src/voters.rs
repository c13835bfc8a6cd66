//! The choice of the instances that run voters, which the leader makes without an operator.

use conf::{Map, Name};

/// Time without a message after which a voter is replaced if another instance can replace it, in milliseconds. The time
/// is above the longest election timeout, so that a change of leader does not cause the replacement of a running voter.
pub const REPLACE_AFTER_MS: u64 = 2_500;

/// The member set and the instances that can join it, as the leader knows them.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Instances of the member set, each with the time since its last message, in milliseconds.
    pub member_ages_ms: Vec<(Name, u64)>,
    /// Instances that ask to join the member set.
    pub joiners: Vec<Name>,
    /// Instances of the member set whose processes are to stop.
    pub leavers: Vec<Name>,
    /// Known availability zones, by instance.
    pub zones: Map<Name, Name>,
    /// Target number of voters.
    pub target: usize,
}

/// A change of the member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Adds a voter on an instance.
    Add(Name),
    /// Replaces the voter on `old` by one on `new`.
    Replace { old: Name, new: Name },
}

/// Returns the next change that is due.
pub fn next_change(candidates: &Candidates) -> Option<VoterChange> {
    let new = candidates.best_joiner()?;
    // A voter that is about to stop still runs, and its vote moves before it is missing.
    if let Some(old) = candidates.leavers.first() {
        let old = old.clone();
        return Some(VoterChange::Replace { old, new });
    }
    let unreachable = candidates
        .member_ages_ms
        .iter()
        .filter(|(_, age_ms)| *age_ms > REPLACE_AFTER_MS)
        .max_by_key(|(_, age_ms)| *age_ms);
    if let Some((old, _)) = unreachable {
        return Some(VoterChange::Replace {
            old: old.clone(),
            new,
        });
    }
    // An even number of voters tolerates no more failures than the odd number below it.
    let has_vacancy = candidates.member_ages_ms.len() < candidates.target;
    has_vacancy.then_some(VoterChange::Add(new))
}

impl Candidates {
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
            .min_by_key(|joiner| (live_voters_in_zone(joiner), (*joiner).clone()))
            .cloned()
    }
}
