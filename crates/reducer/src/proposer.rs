//! Commands on their way to the log, sent again until they are applied or given up.

use std::collections::BTreeMap;

use conf::Name;
use fleet::{Command, CommandReply, Proposal, ProposalId};

use crate::event::ExchangeId;

/// Interval at which an unanswered proposal is sent again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 300;

/// What a proposal was made for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A configuration change, answered to this administration request.
    Apply { token: u64 },
    /// Another change, answered to this administration request.
    Change { token: u64 },
    /// The right to run an exchange's request.
    Begin { exchange: ExchangeId, attempt: u32 },
    /// The outcome of an exchange's attempt.
    Finish { exchange: ExchangeId, attempt: u32 },
    /// A duty of the leader or of an order gate, proposed again by its owner if need be.
    Duty,
}

/// How a proposal ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settled {
    pub purpose: Purpose,
    pub command: Command,
    /// The reply after the command was applied; `None` if it was given up. The command may still
    /// be applied later.
    pub reply: Option<CommandReply>,
    pub proposed_at_ms: u64,
}

#[derive(Clone, Debug)]
struct Pending {
    proposal: Proposal,
    purpose: Purpose,
    proposed_at_ms: u64,
    deadline_ms: u64,
    next_send_ms: u64,
}

/// Proposals of this process that have no reply yet.
#[derive(Clone, Debug)]
pub(crate) struct Proposer {
    instance: Name,
    incarnation: u64,
    sequence: u64,
    pending: BTreeMap<u64, Pending>,
}

impl Proposer {
    pub fn new(instance: Name, incarnation: u64) -> Self {
        Self {
            instance,
            incarnation,
            sequence: 0,
            pending: BTreeMap::new(),
        }
    }

    /// Adds a proposal that is sent with the next `due` and given up after `timeout_ms`.
    pub fn propose(&mut self, now_ms: u64, command: Command, purpose: Purpose, timeout_ms: u64) {
        self.sequence += 1;
        let id = ProposalId {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let pending = Pending {
            proposal: Proposal {
                id,
                at_ms: 0,
                command,
            },
            purpose,
            proposed_at_ms: now_ms,
            deadline_ms: now_ms + timeout_ms,
            next_send_ms: now_ms,
        };
        self.pending.insert(self.sequence, pending);
    }

    /// Adds a duty unless the same command is pending.
    pub fn propose_duty(&mut self, now_ms: u64, command: Command, timeout_ms: u64) {
        let is_pending = self.pending.values().any(|p| p.proposal.command == command);
        if !is_pending {
            self.propose(now_ms, command, Purpose::Duty, timeout_ms);
        }
    }

    /// Returns the proposals that are to be sent now.
    pub fn due(&mut self, now_ms: u64) -> Vec<Proposal> {
        let mut due = Vec::new();
        for pending in self.pending.values_mut() {
            if now_ms >= pending.next_send_ms {
                pending.next_send_ms = now_ms + RESEND_INTERVAL_MS;
                due.push(pending.proposal.clone());
            }
        }
        due
    }

    /// Returns the proposals that are given up.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Settled> {
        self.pending
            .extract_if(.., |_, pending| now_ms >= pending.deadline_ms)
            .map(|(_, pending)| settled(pending, None))
            .collect()
    }

    /// Takes the reply to a proposal. A reply to another process or a repeated one is `None`.
    pub fn on_reply(&mut self, id: &ProposalId, reply: &CommandReply) -> Option<Settled> {
        if id.instance != self.instance || id.incarnation != self.incarnation {
            return None;
        }
        let pending = self.pending.remove(&id.sequence)?;
        Some(settled(pending, Some(reply.clone())))
    }

    /// Sends every pending proposal with the next `due`, because another leader is known.
    pub fn hurry(&mut self, now_ms: u64) {
        for pending in self.pending.values_mut() {
            pending.next_send_ms = pending.next_send_ms.min(now_ms);
        }
    }

    /// Returns whether outcomes of exchanges have yet to be recorded.
    pub fn has_open_outcomes(&self) -> bool {
        self.pending
            .values()
            .any(|pending| matches!(pending.purpose, Purpose::Finish { .. }))
    }
}

fn settled(pending: Pending, reply: Option<CommandReply>) -> Settled {
    Settled {
        purpose: pending.purpose,
        command: pending.proposal.command,
        reply,
        proposed_at_ms: pending.proposed_at_ms,
    }
}
