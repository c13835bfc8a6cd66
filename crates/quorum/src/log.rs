//! The in-memory part of the log.

use std::collections::VecDeque;

use crate::message::{Entry, EntryBody};

/// Estimated bytes that an entry needs on the wire in addition to its command.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The entries after a base position and the index up to which they are synced.
#[derive(Clone, Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    synced_index: u64,
}

impl Log {
    /// Creates a log from synced entries that follow the base position.
    pub(crate) fn new(base_index: u64, base_term: u64, entries: Vec<Entry>) -> Self {
        let mut log = Self {
            base_index,
            base_term,
            entries: entries.into(),
            synced_index: base_index,
        };
        log.synced_index = log.last_index();
        log
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    pub(crate) fn synced_index(&self) -> u64 {
        self.synced_index
    }

    pub(crate) fn set_synced(&mut self, index: u64) {
        self.synced_index = self.synced_index.max(index.min(self.last_index()));
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term at `index`, or `None` if the log does not cover `index`.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the highest index up to `index` whose term is at most `term`. An `index` at or below the base is
    /// returned unchanged, since the log holds no entries up to the base.
    pub(crate) fn last_index_up_to_term(&self, index: u64, term: u64) -> u64 {
        let count = self.entries.partition_point(|entry| entry.term <= term);
        index.min(self.base_index + count as u64)
    }

    /// Returns the entries from `from_index` on within both limits, but at least one entry if there is any.
    pub(crate) fn batch(
        &self,
        from_index: u64,
        max_entries: usize,
        max_bytes: usize,
    ) -> Vec<Entry> {
        let Some(skip) = from_index.checked_sub(self.base_index + 1) else {
            return Vec::new();
        };
        let skip = (skip as usize).min(self.entries.len());
        let mut bytes = 0;
        let fits = |entry: &&Entry| {
            let is_first = bytes == 0;
            bytes += size_bytes(entry);
            is_first || bytes <= max_bytes
        };
        self.entries
            .range(skip..)
            .take(max_entries)
            .take_while(fits)
            .cloned()
            .collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last_index() + 1);
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: u64) {
        let keep = index.saturating_sub(self.base_index + 1) as usize;
        self.entries.truncate(keep);
        self.synced_index = self.synced_index.min(self.last_index());
    }

    /// Drops the entries up to and including `index`.
    pub(crate) fn compact_to(&mut self, index: u64) {
        let Some(term) = self.term_at(index) else {
            return;
        };
        self.entries.drain(..(index - self.base_index) as usize);
        self.base_index = index;
        self.base_term = term;
    }

    /// Drops all entries and restarts the log after a snapshot that is not synced yet. The dropped entries up to
    /// `agreed_index` match the snapshot.
    pub(crate) fn reset(&mut self, index: u64, term: u64, agreed_index: u64) {
        let synced_index = self.synced_index.min(agreed_index);
        *self = Self::new(index, term, Vec::new());
        self.synced_index = synced_index;
    }
}

fn size_bytes(entry: &Entry) -> usize {
    match &entry.body {
        EntryBody::Command(command) => ENTRY_OVERHEAD_BYTES + command.len(),
        EntryBody::Empty | EntryBody::Members(_) => ENTRY_OVERHEAD_BYTES,
    }
}
