//! Durable writes in flight and what waits for them.

use std::collections::VecDeque;

use crate::message::{Message, Output, ReplicaId, Write};

/// What happens once a write is synced.
#[derive(Clone, Debug)]
pub(crate) enum Followup {
    /// Sends a message that depends on the write.
    Send { to: ReplicaId, message: Message },
    /// Counts the entries up to `last_index` as synced.
    Synced { last_index: u64 },
    /// Counts the replica's own vote in `term`.
    OwnVote { term: u64 },
}

/// Tickets of the writes handed out, and their follow-ups in order.
#[derive(Clone, Debug, Default)]
pub(crate) struct Writes {
    last_ticket: u64,
    synced_ticket: u64,
    term_ticket: u64,
    followups: VecDeque<(u64, Followup)>,
}

impl Writes {
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

    /// Queues a follow-up of all writes handed out so far.
    pub(crate) fn after(&mut self, followup: Followup) {
        self.followups.push_back((self.last_ticket, followup));
    }

    /// Returns whether all writes handed out so far are synced.
    pub(crate) fn is_idle(&self) -> bool {
        self.synced_ticket == self.last_ticket
    }

    /// Returns whether the current term and vote are synced.
    pub(crate) fn is_term_synced(&self) -> bool {
        self.synced_ticket >= self.term_ticket
    }

    /// Records that all writes up to `ticket` are synced.
    pub(crate) fn synced(&mut self, ticket: u64) {
        self.synced_ticket = self.synced_ticket.max(ticket.min(self.last_ticket));
    }

    /// Returns the next follow-up whose writes are synced.
    pub(crate) fn pop(&mut self) -> Option<Followup> {
        let (ticket, _) = self.followups.front()?;
        if *ticket > self.synced_ticket {
            return None;
        }
        self.followups.pop_front().map(|(_, followup)| followup)
    }

    /// Lowers pending counts and acknowledgements: entries from `index` on have been removed again.
    pub(crate) fn truncate_from(&mut self, index: u64) {
        let highest = index.saturating_sub(1);
        for (_, followup) in &mut self.followups {
            match followup {
                Followup::Synced { last_index } => *last_index = highest.min(*last_index),
                Followup::Send {
                    message:
                        Message::AppendReply {
                            success: true,
                            match_index,
                            ..
                        },
                    ..
                } => *match_index = highest.min(*match_index),
                Followup::Send { .. } | Followup::OwnVote { .. } => {}
            }
        }
    }
}
