//! Appending entries on the leader and on followers, and advancing the commit index on the leader.

use bytes::Bytes;

use crate::message::{Entry, EntryBody, MemberSet, Message, Output, ReplicaId, Write};
use crate::replica::{Replica, Role};
use crate::writes::DeferredAction;

/// The fields of a received `Append` message without its commit index and entries.
struct AppendHeader {
    term: u64,
    prev_index: u64,
    prev_term: u64,
    read_sequence: u64,
}

impl Replica {
    pub(crate) fn on_propose(&mut self, token: u64, command: Bytes, out: &mut Vec<Output>) {
        if !self.is_leader() {
            let leader = self.leader_instance();
            return out.push(Output::NotLeader { token, leader });
        }
        let index = self.append_as_leader(EntryBody::Command(command), out);
        out.push(Output::Appended {
            token,
            index,
            term: self.term,
        });
        self.send_entries(out);
    }

    /// Appends an entry in the current term on the leader and returns the entry's index.
    pub(crate) fn append_as_leader(&mut self, body: EntryBody, out: &mut Vec<Output>) -> u64 {
        let index = self.log.last_index() + 1;
        let entry = Entry {
            index,
            term: self.term,
            body: with_entry_index(body, index),
        };
        self.append_entries(vec![entry], out);
        self.update_peers();
        index
    }

    /// Advances the commit index to the highest entry that a majority holds, if that entry is of the leader's own term.
    pub(crate) fn advance_commit(&mut self, out: &mut Vec<Output>) {
        let Role::Leader(leader) = &self.role else {
            return;
        };
        let index = self.members.current().majority_value(|id| {
            if *id == self.settings.id {
                return self.log.synced_index();
            }
            leader.peer(id).map_or(0, |peer| peer.match_index)
        });
        // A later leader may replace an entry of an earlier term although a majority holds that entry.
        if index <= self.commit_index || self.log.term_at(index) != Some(self.term) {
            return;
        }
        self.commit_index = index;
        self.answer_confirmed_reads(out);
        self.step_down_if_removed(out);
    }

    pub(crate) fn on_append(&mut self, from: ReplicaId, message: Message, out: &mut Vec<Output>) {
        let Message::Append {
            term,
            prev_index,
            prev_term,
            commit,
            read_sequence,
            entries,
        } = message
        else {
            return;
        };
        let header = AppendHeader {
            term,
            prev_index,
            prev_term,
            read_sequence,
        };
        if !is_contiguous(prev_index, &entries) || (term == self.term && self.is_leader()) {
            return;
        }
        if term < self.term {
            return self.reject_append(from, &header, out);
        }
        self.follow_leader(from.clone(), term, out);
        if !self.log_matches(&header) {
            return self.reject_append(from, &header, out);
        }
        let match_index = prev_index + entries.len() as u64;
        let has_new_entries = self.append_missing_entries(entries, out);
        self.commit_index = self.commit_index.max(commit.min(match_index));
        self.acknowledge_append(from, &header, match_index, has_new_entries, out);
    }

    /// Returns whether this log matches the leader's log up to the header's previous entry.
    fn log_matches(&self, header: &AppendHeader) -> bool {
        header.prev_index <= self.commit_index
            || self.log.term_at(header.prev_index) == Some(header.prev_term)
    }

    /// Appends the entries that the log does not hold yet and returns whether it appended any.
    fn append_missing_entries(&mut self, mut entries: Vec<Entry>, out: &mut Vec<Output>) -> bool {
        let known = entries.iter().take_while(|entry| {
            entry.index <= self.commit_index || self.log.term_at(entry.index) == Some(entry.term)
        });
        entries.drain(..known.count());
        if entries.is_empty() {
            return false;
        }
        self.append_entries(entries, out);
        true
    }

    /// Replaces the log from the first entry's index on and persists the replacement.
    fn append_entries(&mut self, entries: Vec<Entry>, out: &mut Vec<Output>) {
        let from_index = entries[0].index;
        self.truncate_from(from_index);
        for entry in &entries {
            if let EntryBody::Members(set) = &entry.body {
                self.members.push(set.clone());
            }
            self.log.push(entry.clone());
        }
        let last_index = self.log.last_index();
        let write = Write::Append {
            from_index,
            entries,
        };
        self.writes.persist(write, out);
        self.writes
            .after_sync(DeferredAction::MarkSynced { last_index });
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        if index > self.log.last_index() {
            return;
        }
        self.log.truncate_from(index);
        self.members.truncate_from(index);
        self.writes.truncate_from(index);
    }

    /// Acknowledges a successful append. The reply waits until new entries are synced; without new entries the reply is
    /// sent at once and covers the entries that are already synced, so that a slow disk does not delay heartbeats.
    fn acknowledge_append(
        &mut self,
        to: ReplicaId,
        header: &AppendHeader,
        match_index: u64,
        has_new_entries: bool,
        out: &mut Vec<Output>,
    ) {
        let synced_index = self.log.synced_index();
        let is_immediate = !has_new_entries && self.writes.is_term_synced();
        let match_index = match is_immediate {
            true => match_index.min(synced_index),
            false => match_index,
        };
        let message = Message::AppendReply {
            term: self.term,
            success: true,
            match_index,
            match_term: 0,
            read_sequence: header.read_sequence,
        };
        if is_immediate {
            out.push(Output::Send { to, message });
        } else {
            self.send_after_sync(to, message, out);
        }
    }

    /// Rejects an append of an earlier term or one whose previous entry does not match; the reply names the latest
    /// position at which the logs may still match.
    fn reject_append(&mut self, to: ReplicaId, header: &AppendHeader, out: &mut Vec<Output>) {
        let highest_index = header.prev_index.saturating_sub(1);
        let highest_index = highest_index.min(self.log.last_index());
        let index = self
            .log
            .last_index_up_to_term(highest_index, header.prev_term);
        let index = index.max(self.commit_index);
        let message = Message::AppendReply {
            term: self.term,
            success: false,
            match_index: index,
            match_term: self.log.term_at(index).unwrap_or(0),
            read_sequence: match header.term == self.term {
                true => header.read_sequence,
                false => 0,
            },
        };
        self.send_after_sync(to, message, out);
    }
}

/// Sets the index of a member set to the index of the entry that carries it.
fn with_entry_index(body: EntryBody, index: u64) -> EntryBody {
    match body {
        EntryBody::Members(set) => EntryBody::Members(MemberSet { index, ..set }),
        EntryBody::Empty | EntryBody::Command(_) => body,
    }
}

fn is_contiguous(prev_index: u64, entries: &[Entry]) -> bool {
    let indexes = prev_index + 1..;
    entries
        .iter()
        .zip(indexes)
        .all(|(e, index)| e.index == index)
}
