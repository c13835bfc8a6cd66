//! The right of the leader of the log to act outside the log, which at most one replica uses at a time.
//!
//! The fencing token is the term. A new leader does nothing until everything that its predecessor may still send has
//! ended, and every action carries the time after which it is not sent.

use conf::Map;

/// Time for which a new leader does nothing, in addition to the lease of the previous leader, in milliseconds.
const HOLD_OFF_MARGIN_MS: u64 = 1_000;
/// Divisor of the lease, which gives the time after a decision until which an action is sent. A leader that has lost its
/// majority steps down within the rest of the lease, and its successor waits for the whole lease.
const VALIDITY_DIVISOR: u64 = 3;

/// A subject on which only one replica acts at a time. Receivers check the fencing tokens of each subject separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject {
    /// Roles of engines.
    EngineRoles,
    /// Usage of client accounts.
    Usage,
    /// Number of upstreams.
    UpstreamCount,
}

/// Permission to act now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Term, which serves as fencing token.
    pub term: u64,
    /// Time after which nothing is sent on the basis of this permit, in milliseconds.
    pub valid_until_ms: u64,
}

/// The lease of one replica.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// Length of the lease, in milliseconds.
    lease_ms: u64,
    /// Term in which this replica is the leader, and since when, in milliseconds.
    leader_since: Option<(u64, u64)>,
    /// Latest term in which a receiver has seen a higher fencing token, by subject.
    fenced_terms: Map<Subject, u64>,
}

impl LeaderLease {
    /// Creates the lease of a replica that is not the leader.
    pub fn new(lease_ms: u64) -> Self {
        Self {
            lease_ms,
            ..Self::default()
        }
    }

    /// Records the term in which this replica is the leader at present, if it is. Returns whether the replica has become
    /// the leader in that term.
    pub fn observe(&mut self, now_ms: u64, leader_term: Option<u64>) -> bool {
        let known_term = self.leader_since.map(|(term, _)| term);
        if known_term == leader_term {
            return false;
        }
        self.leader_since = leader_term.map(|term| (term, now_ms));
        leader_term.is_some()
    }

    /// Returns for how long this replica has been the leader in the present term, in milliseconds.
    pub fn leader_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.leader_since
            .map(|(_, since_ms)| now_ms.saturating_sub(since_ms))
    }

    /// Records that a receiver has seen a higher fencing token. The replica does not act on the subject again in that
    /// term.
    pub fn on_fenced(&mut self, subject: Subject, term: u64) {
        let fenced_term = self.fenced_terms.entry(subject).or_default();
        *fenced_term = term.max(*fenced_term);
    }

    /// Returns the permission to act on a subject now, unless an earlier leader may still act or a receiver has seen a
    /// higher fencing token.
    pub fn permit(&self, now_ms: u64, subject: Subject) -> Option<Permit> {
        let (term, since_ms) = self.leader_since?;
        let is_held_off = now_ms.saturating_sub(since_ms) < self.lease_ms + HOLD_OFF_MARGIN_MS;
        if is_held_off || self.fenced_terms.get(&subject) == Some(&term) {
            return None;
        }
        Some(Permit {
            term,
            valid_until_ms: now_ms + self.lease_ms / VALIDITY_DIVISOR,
        })
    }
}
