//! The safety properties that are checked at every step.

use std::collections::{BTreeMap, BTreeSet};

use quorum::{Entry, MemberSet, Message, ReplicaId};

/// Applies an entry to the tests' state machine, whose state is a hash of the entries applied so far.
pub fn extend_hash(hash: u64, entry: &Entry) -> u64 {
    let text = format!("{entry:?}");
    text.bytes().fold(hash ^ entry.index, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// What all replicas have done so far, against which each step is checked.
#[derive(Debug, Default)]
pub struct Checks {
    leaders: BTreeMap<u64, ReplicaId>,
    /// Applied entry and the state's hash after it, by index.
    applied: BTreeMap<u64, (Entry, u64)>,
    /// Replicas that have ever stored an entry durably, by the entry's index and term.
    durable: BTreeMap<(u64, u64), BTreeSet<ReplicaId>>,
    votes: BTreeMap<(ReplicaId, u64), ReplicaId>,
    /// Vote requests sent, as (candidate, term, voter).
    vote_requests: BTreeSet<(ReplicaId, u64, ReplicaId)>,
    pub acknowledged_index: u64,
}

impl Checks {
    pub fn last_applied(&self) -> u64 {
        self.applied.keys().last().copied().unwrap_or(0)
    }

    pub fn check_leader(&mut self, term: u64, id: &ReplicaId) {
        let known = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(known, id, "term {term} has two leaders");
    }

    /// Checks that all replicas apply the same entry with the same resulting state and returns the state's hash after
    /// the entry.
    pub fn check_applied(&mut self, hash: u64, entry: &Entry) -> u64 {
        let hash = extend_hash(hash, entry);
        let known = self.applied.entry(entry.index);
        let (known, known_hash) = known.or_insert_with(|| (entry.clone(), hash));
        assert_eq!(known, entry, "different entries were applied at one index");
        assert_eq!(
            *known_hash, hash,
            "the states after index {} differ",
            entry.index
        );
        hash
    }

    pub fn check_restored(&self, index: u64, hash: u64) {
        let known = self.applied.get(&index).map(|(_, hash)| *hash);
        assert_eq!(
            known,
            Some(hash),
            "the snapshot at index {index} differs from the applied state"
        );
    }

    pub fn record_synced(&mut self, id: &ReplicaId, entries: &[Entry]) {
        for entry in entries {
            let replicas = self.durable.entry((entry.index, entry.term)).or_default();
            replicas.insert(id.clone());
        }
    }

    /// Checks that an entry that a leader treats as committed has been durable on a majority of the voters.
    pub fn check_committed(&self, entry: &Entry, members: &MemberSet) {
        let replicas = self.durable.get(&(entry.index, entry.term));
        let has_stored = |id: &&ReplicaId| replicas.is_some_and(|ids| ids.contains(*id));
        let count = members.voters.iter().filter(has_stored).count();
        assert!(
            count >= members.majority(),
            "entry {} was committed with only {count} synced copies",
            entry.index
        );
    }

    pub fn record_vote_request(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) {
        if let Message::Vote { term, .. } = message {
            self.vote_requests.insert((from.clone(), *term, to.clone()));
        }
    }

    /// Checks that a replica votes for one candidate in a term and only if the candidate requested the vote from the
    /// replica's identity.
    pub fn check_granted_vote(&mut self, from: &ReplicaId, to: &ReplicaId, term: u64) {
        let vote = self.votes.entry((from.clone(), term));
        let vote = vote.or_insert_with(|| to.clone());
        assert_eq!(vote, to, "{from:?} voted twice in term {term}");
        let request = (to.clone(), term, from.clone());
        assert!(
            self.vote_requests.contains(&request),
            "{from:?} voted without a vote request to its identity"
        );
    }
}
