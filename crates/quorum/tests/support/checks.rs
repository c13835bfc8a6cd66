//! What must hold at every step.

use std::collections::{BTreeMap, BTreeSet};

use quorum::{Entry, MemberSet, Message, ReplicaId};

/// State machine of the fakes: a hash over the entries applied so far.
pub fn extend_hash(hash: u64, entry: &Entry) -> u64 {
    let text = format!("{entry:?}");
    text.bytes().fold(hash ^ entry.index, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    })
}

/// Observations over all replicas.
#[derive(Debug, Default)]
pub struct Checks {
    leaders: BTreeMap<u64, ReplicaId>,
    /// Entry and state hash by index.
    applied: BTreeMap<u64, (Entry, u64)>,
    /// Replicas that have ever held an entry durably, by index and term.
    durable: BTreeMap<(u64, u64), BTreeSet<ReplicaId>>,
    votes: BTreeMap<(ReplicaId, u64), ReplicaId>,
    /// Vote requests sent, as (candidate, term, voter).
    asked: BTreeSet<(ReplicaId, u64, ReplicaId)>,
    pub acknowledged_index: u64,
}

impl Checks {
    pub fn last_applied(&self) -> u64 {
        self.applied.keys().last().copied().unwrap_or(0)
    }

    pub fn leads(&mut self, term: u64, id: &ReplicaId) {
        let known = self.leaders.entry(term).or_insert_with(|| id.clone());
        assert_eq!(known, id, "two leaders in term {term}");
    }

    /// Records an applied entry and returns the state's hash after it.
    pub fn applies(&mut self, hash: u64, entry: &Entry) -> u64 {
        let hash = extend_hash(hash, entry);
        let known = self.applied.entry(entry.index);
        let (known, known_hash) = known.or_insert_with(|| (entry.clone(), hash));
        assert_eq!(known, entry, "a committed entry was changed");
        assert_eq!(*known_hash, hash, "states differ at {}", entry.index);
        hash
    }

    pub fn restores(&self, index: u64, hash: u64) {
        let known = self.applied.get(&index).map(|(_, hash)| *hash);
        assert_eq!(known, Some(hash), "a snapshot differs at {index}");
    }

    pub fn synced(&mut self, id: &ReplicaId, entries: &[Entry]) {
        for entry in entries {
            let holders = self.durable.entry((entry.index, entry.term)).or_default();
            holders.insert(id.clone());
        }
    }

    /// Checks that an entry that a leader counts as committed has been durable on a majority.
    pub fn commits(&self, entry: &Entry, members: &MemberSet) {
        let holders = self.durable.get(&(entry.index, entry.term));
        let is_holder = |id: &&ReplicaId| holders.is_some_and(|ids| ids.contains(*id));
        let count = members.voters.iter().filter(is_holder).count();
        assert!(
            count >= members.majority(),
            "entry {} committed with {count} synced copies",
            entry.index
        );
    }

    pub fn asks(&mut self, from: &ReplicaId, to: &ReplicaId, message: &Message) {
        if let Message::Vote { term, .. } = message {
            self.asked.insert((from.clone(), *term, to.clone()));
        }
    }

    /// Checks that a vote is given once in a term and only under the identity that the candidate's member set lists.
    pub fn grants(&mut self, from: &ReplicaId, to: &ReplicaId, term: u64) {
        let vote = self.votes.entry((from.clone(), term));
        let vote = vote.or_insert_with(|| to.clone());
        assert_eq!(vote, to, "{from:?} voted twice in term {term}");
        let request = (to.clone(), term, from.clone());
        assert!(
            self.asked.contains(&request),
            "{from:?} voted under an identity that was not asked"
        );
    }
}
