//! How long an instance may rely on the document that it holds, so that an API key that has been taken away stops
//! working in time also where the document that says so does not arrive.
//!
//! Each instance keeps the latest time at which its document is known to have been the newest acknowledged one. The
//! leader of the log takes the time at which it sent the latest heartbeats that a majority has answered. A replica or
//! an entry takes the time at which it sent a message, less the age that the reply states: it never takes the time at
//! which the reply arrived, since a reply or a frozen process may be late. A reply can confirm only what its sender
//! knows, so that instances without a way to the leader cannot confirm each other anew.

use std::collections::VecDeque;

/// Sent messages whose replies can confirm the document. Replies to earlier ones confirm too little to be of use.
const MAX_SENT: usize = 64;
/// Divisor of the time within which a key must stop working, which gives the part that is kept in reserve. The clocks of
/// two instances run apart by far less.
const RESERVE_DIVISOR: u64 = 10;
/// Divisor of the time within which a key must stop working, which gives the age of the document above which an entry is
/// not ready, so that the load balancer has found other entries when the entry begins to refuse.
const READY_DIVISOR: u64 = 2;

/// When the document of an instance is known to have been the newest acknowledged one.
#[derive(Clone, Debug, Default)]
pub struct Confirmation {
    /// Numbers of the latest messages to replicas, and when each was sent, in milliseconds.
    sent: VecDeque<(u64, u64)>,
    confirmed_ms: Option<u64>,
}

impl Confirmation {
    /// Records that the message with a number is sent. Numbers rise.
    pub fn on_sent(&mut self, now_ms: u64, sequence: u64) {
        self.sent.push_back((sequence, now_ms));
        if self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Records a reply to the message with a number, whose sender states the age of its document of some version. The
    /// reply confirms nothing while this instance holds an older version.
    pub fn on_reply(
        &mut self,
        sequence: u64,
        version: u64,
        document_age_ms: Option<u64>,
        held_version: u64,
    ) {
        let Some(age_ms) = document_age_ms.filter(|_| held_version >= version) else {
            return;
        };
        let sent = self.sent.iter().find(|(number, _)| *number == sequence);
        if let Some((_, sent_ms)) = sent {
            let confirmed_ms = sent_ms.checked_sub(age_ms);
            self.confirmed_ms = self.confirmed_ms.max(confirmed_ms);
        }
    }

    /// Returns the time since the document was known to be the newest, in milliseconds; none if it never was.
    /// `leader_confirmed_ms` is the time that the log states on its leader.
    pub fn age_ms(&self, now_ms: u64, leader_confirmed_ms: Option<u64>) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms.max(leader_confirmed_ms)?;
        Some(now_ms.saturating_sub(confirmed_ms))
    }
}

/// What an entry may do with a document of some age.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeyPolicy {
    /// Time after an acknowledgement from which a key that it takes away must not work at any instance, in milliseconds;
    /// none if instances that are cut off go on.
    pub revoke_ms: Option<u64>,
}

impl KeyPolicy {
    /// Returns whether requests with keys are taken.
    pub fn takes_keys(&self, document_age_ms: Option<u64>) -> bool {
        self.is_within(document_age_ms, |revoke_ms| {
            revoke_ms - revoke_ms / RESERVE_DIVISOR
        })
    }

    /// Returns whether the entry is to be used by new callers with keys.
    pub fn is_ready(&self, document_age_ms: Option<u64>) -> bool {
        self.is_within(document_age_ms, |revoke_ms| revoke_ms / READY_DIVISOR)
    }

    fn is_within(&self, age_ms: Option<u64>, max_age_ms: impl Fn(u64) -> u64) -> bool {
        match (self.revoke_ms, age_ms) {
            (None, _) => true,
            (Some(_), None) => false,
            (Some(revoke_ms), Some(age_ms)) => age_ms <= max_age_ms(revoke_ms),
        }
    }
}
