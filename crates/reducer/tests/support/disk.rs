//! A simulated disk that keeps only synced writes after a crash.

use std::collections::VecDeque;

use quorum::{EntryBody, MemberSet, RecoveredState, Write};

pub struct Disk {
    pub storage_id: u64,
    pub recovered: RecoveredState,
    unsynced: VecDeque<(u64, Write)>,
}

impl Disk {
    pub fn new(storage_id: u64) -> Self {
        Self {
            storage_id,
            recovered: RecoveredState::default(),
            unsynced: VecDeque::new(),
        }
    }

    pub fn write(&mut self, ticket: u64, write: Write) {
        self.unsynced.push_back((ticket, write));
    }

    /// Makes all writes up to and including `ticket` durable.
    pub fn sync(&mut self, ticket: u64) {
        while self
            .unsynced
            .front()
            .is_some_and(|(next, _)| *next <= ticket)
        {
            let (_, write) = self.unsynced.pop_front().expect("a write is left");
            self.apply(write);
        }
    }

    /// Drops the unsynced writes except for the first `keep` of them, which reached the disk before the crash.
    pub fn crash(&mut self, keep: u64) {
        for _ in 0..keep {
            if let Some((_, write)) = self.unsynced.pop_front() {
                self.apply(write);
            }
        }
        self.unsynced.clear();
    }

    /// Returns the member set in force according to the synced log.
    pub fn members(&self) -> Option<&MemberSet> {
        let logged = self
            .recovered
            .entries
            .iter()
            .rev()
            .find_map(|entry| match &entry.body {
                EntryBody::Members(members) => Some(members),
                _ => None,
            });
        logged.or(self.recovered.snapshot.as_ref().map(|s| &s.members))
    }

    fn apply(&mut self, write: Write) {
        let disk = &mut self.recovered;
        match write {
            Write::Term { term, voted_for } => {
                disk.term = term;
                disk.voted_for = voted_for;
            }
            Write::Append {
                from_index,
                entries,
            } => {
                disk.entries.retain(|entry| entry.index < from_index);
                disk.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                disk.entries.retain(|entry| entry.index > snapshot.index);
                disk.snapshot = Some(snapshot);
            }
        }
    }
}
