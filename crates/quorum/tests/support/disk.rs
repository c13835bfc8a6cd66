//! A fake disk, which keeps only synced writes reliably across a crash.

use std::collections::VecDeque;

use quorum::{Entry, RecoveredState, Write};

use super::random::Random;

#[derive(Debug, Default)]
pub struct FakeDisk {
    pub durable: RecoveredState,
    pending: VecDeque<(u64, Write)>,
}

impl FakeDisk {
    pub fn write(&mut self, ticket: u64, write: Write) {
        self.pending.push_back((ticket, write));
    }

    /// Makes the writes up to `ticket` durable and returns the entries that these writes append.
    pub fn sync(&mut self, ticket: u64) -> Vec<Entry> {
        let mut synced = Vec::new();
        while self.pending.front().is_some_and(|(at, _)| *at <= ticket) {
            let (_, write) = self.pending.pop_front().expect("checked above");
            if let Write::Append { entries, .. } = &write {
                synced.extend(entries.iter().cloned());
            }
            self.apply(write);
        }
        synced
    }

    /// Drops the unsynced writes, except for a random number of the oldest ones, which may have reached the disk.
    /// Returns the entries that the kept writes append.
    pub fn crash(&mut self, random: &mut Random) -> Vec<Entry> {
        let kept = random.below(self.pending.len() as u64 + 1) as usize;
        let kept = if random.percent(50) { kept } else { 0 };
        let kept_ticket = kept.checked_sub(1).map(|last| self.pending[last].0);
        let synced = kept_ticket.map(|ticket| self.sync(ticket));
        self.pending.clear();
        synced.unwrap_or_default()
    }

    pub fn last_index(&self) -> u64 {
        let snapshot_index = self.durable.snapshot.as_ref().map_or(0, |s| s.index);
        self.durable
            .entries
            .last()
            .map_or(snapshot_index, |e| e.index)
    }

    fn apply(&mut self, write: Write) {
        let durable = &mut self.durable;
        match write {
            Write::Term { term, voted_for } => {
                assert!(term >= durable.term, "the term on the disk decreased");
                durable.term = term;
                durable.voted_for = voted_for;
            }
            Write::Append {
                from_index,
                entries,
            } => {
                durable.entries.retain(|entry| entry.index < from_index);
                durable.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                durable.entries.retain(|entry| entry.index > snapshot.index);
                durable.snapshot = Some(snapshot);
            }
        }
        self.check_contiguous();
    }

    fn check_contiguous(&self) {
        let snapshot_index = self.durable.snapshot.as_ref().map_or(0, |s| s.index);
        for (entry, index) in self.durable.entries.iter().zip(snapshot_index + 1..) {
            assert_eq!(entry.index, index, "the log on the disk has a gap");
        }
    }
}
