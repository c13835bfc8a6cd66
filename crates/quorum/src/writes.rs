//! Durable writes that are not synced yet and the actions that wait for them.

use std::collections::VecDeque;

use crate::message::{Message, Output, ReplicaId, Write};

/// An action that a replica carries out once a write is synced.
#[derive(Clone, Debug)]
pub(crate) enum DeferredAction {
    /// Sends a message that depends on the write.
    Send { to: ReplicaId, message: Message },
    /// Marks the entries up to `last_index` as synced.
    MarkSynced { last_index: u64 },
    /// Counts the replica's own vote in `term`.
    CountOwnVote { term: u64 },
}

/// Tickets of the writes issued so far, and the actions deferred until those writes are synced, in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingWrites {
    last_ticket: u64,
    synced_ticket: u64,
    term_ticket: u64,
    deferred_actions: VecDeque<(u64, DeferredAction)>,
}

impl PendingWrites {
    pub(crate) fn persist(&mut self, write: Write, out: &mut Vec<Output>) {
        self.last_ticket += 1;
        if matches!(write, Write::Term { .. }) {
            self.term_ticket = self.last_ticket;
        }
        out.push(Output::Persist {
            ticket: self.last_ticket,
            write,
        });
    }

    /// Defers `action` until all writes issued so far are synced.
    pub(crate) fn after_sync(&mut self, action: DeferredAction) {
        self.deferred_actions.push_back((self.last_ticket, action));
    }

    /// Returns whether all writes issued so far are synced.
    pub(crate) fn is_idle(&self) -> bool {
        self.synced_ticket == self.last_ticket
    }

    /// Returns whether the current term and vote are synced.
    pub(crate) fn is_term_synced(&self) -> bool {
        self.synced_ticket >= self.term_ticket
    }

    /// Records that all writes up to `ticket` are synced.
    pub(crate) fn mark_synced(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.last_ticket));
    }

    /// Removes and returns the next deferred action if its writes are synced.
    pub(crate) fn pop_synced_action(&mut self) -> Option<DeferredAction> {
        let (ticket, _) = self.deferred_actions.front()?;
        if *ticket > self.synced_ticket {
            return None;
        }
        self.deferred_actions.pop_front().map(|(_, action)| action)
    }

    /// Limits the deferred actions to entries before `index`, since the entries from `index` on have been removed.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let highest = index.saturating_sub(1);
        for (_, action) in &mut self.deferred_actions {
            match action {
                DeferredAction::MarkSynced { last_index } => *last_index = highest.min(*last_index),
                DeferredAction::Send {
                    message:
                        Message::AppendReply {
                            success: true,
                            match_index,
                            ..
                        },
                    ..
                } => *match_index = highest.min(*match_index),
                DeferredAction::Send { .. } | DeferredAction::CountOwnVote { .. } => {}
            }
        }
    }
}
