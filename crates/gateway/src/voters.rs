//! Which instances run voters, decided by the leader without an operator.

use conf::{Map, Name};

/// Silence after which a voter is replaced if another instance can take its place, in milliseconds. It is above the
/// longest election timeout, so that a change of the leader does not replace a voter that is up.
pub const REPLACE_AFTER_MS: u64 = 2_500;

/// What the leader knows.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    /// Instances of the member set with the time since each was heard from, in milliseconds.
    pub members_ms: Vec<(Name, u64)>,
    /// Instances that ask to be let in.
    pub joiners: Vec<Name>,
    /// Availability zones, as far as they are known.
    pub zones: Map<Name, Name>,
    /// Number of voters to reach.
    pub target: usize,
}

/// A change of the member set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum VoterChange {
    /// Lets an instance run a voter.
    Add(Name),
    /// Lets `new` run a voter in place of `old`.
    Replace { old: Name, new: Name },
}

/// Returns the next change that is due.
pub fn next_change(candidates: &Candidates) -> Option<VoterChange> {
    let new = candidates.best_joiner()?;
    let silent = candidates
        .members_ms
        .iter()
        .filter(|(_, age_ms)| *age_ms > REPLACE_AFTER_MS)
        .max_by_key(|(_, age_ms)| *age_ms);
    if let Some((old, _)) = silent {
        return Some(VoterChange::Replace {
            old: old.clone(),
            new,
        });
    }
    // An even number of voters survives no more losses than one voter less.
    let is_room = candidates.members_ms.len() < candidates.target;
    is_room.then_some(VoterChange::Add(new))
}

impl Candidates {
    /// Returns the joiner whose availability zone has the fewest live voters.
    fn best_joiner(&self) -> Option<Name> {
        let crowd = |joiner: &Name| {
            let zone = self.zones.get(joiner);
            self.members_ms
                .iter()
                .filter(|(_, age_ms)| *age_ms <= REPLACE_AFTER_MS)
                .filter(|(member, _)| self.zones.get(member) == zone)
                .count()
        };
        self.joiners
            .iter()
            .min_by_key(|joiner| (crowd(joiner), (*joiner).clone()))
            .cloned()
    }
}
