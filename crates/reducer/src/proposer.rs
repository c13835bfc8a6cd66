//! Proposals of this process to the replicated log, resent until they are applied or their timeout passes.

use std::collections::BTreeMap;

use conf::Name;
use fleet::{Command, CommandReply, Proposal, ProposalId};

use crate::event::ExchangeId;

/// Interval at which a proposal without a reply is resent, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 300;

/// Operation that a proposal is part of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Purpose {
    /// A configuration change; its result answers the administration request `token`.
    Apply { token: u64 },
    /// Any other change by an operator; its result answers the administration request `token`.
    Change { token: u64 },
    /// A request for the right to run an exchange's attempt.
    Begin { exchange: ExchangeId, attempt: u32 },
    /// The outcome of an exchange's attempt.
    Finish { exchange: ExchangeId, attempt: u32 },
    /// A maintenance command of the leader or of a gate holder, which proposes it again if it is still needed.
    Maintenance,
}

/// A proposal that was applied or has timed out.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Settled {
    pub purpose: Purpose,
    pub command: Command,
    /// Reply to the applied command; `None` if the proposal timed out. A command that timed out may still be applied
    /// later.
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

/// Proposals of this process that have not got a reply yet.
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

    /// Adds a proposal. The next call of `due` returns it, and it is dropped after `timeout_ms`.
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

    /// Adds a maintenance command unless an equal command is pending.
    pub fn propose_maintenance(&mut self, now_ms: u64, command: Command, timeout_ms: u64) {
        let is_pending = self.pending.values().any(|p| p.proposal.command == command);
        if !is_pending {
            self.propose(now_ms, command, Purpose::Maintenance, timeout_ms);
        }
    }

    /// Returns the proposals that are due to be sent.
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

    /// Removes and returns the proposals whose timeout has passed.
    pub fn expire(&mut self, now_ms: u64) -> Vec<Settled> {
        self.pending
            .extract_if(.., |_, pending| now_ms >= pending.deadline_ms)
            .map(|(_, pending)| settled(pending, None))
            .collect()
    }

    /// Handles the reply to a proposal. Returns `None` if the reply is repeated or belongs to another process.
    pub fn on_reply(&mut self, id: &ProposalId, reply: &CommandReply) -> Option<Settled> {
        if id.instance != self.instance || id.incarnation != self.incarnation {
            return None;
        }
        let pending = self.pending.remove(&id.sequence)?;
        Some(settled(pending, Some(reply.clone())))
    }

    /// Makes every pending proposal due, because the leader has changed.
    pub fn make_all_due(&mut self, now_ms: u64) {
        for pending in self.pending.values_mut() {
            pending.next_send_ms = pending.next_send_ms.min(now_ms);
        }
    }

    /// Returns whether the outcome of any exchange is still to be recorded.
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
