//! Rebuilds the recovered state from the records of the log segments.

use quorum::{Entry, RecoveredState, Snapshot};

use crate::codec::Record;

/// Error of replaying a record if entries between it and the preceding records or the snapshot are missing.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MissingEntries;

/// The state recovered from the snapshot and the records that have been applied so far.
#[derive(Debug)]
pub(crate) struct Replay {
    recovered: RecoveredState,
    snapshot_index: u64,
}

impl Replay {
    pub(crate) fn new(snapshot: Option<Snapshot>) -> Self {
        Self {
            snapshot_index: snapshot.as_ref().map_or(0, |snapshot| snapshot.index),
            recovered: RecoveredState {
                snapshot,
                ..RecoveredState::default()
            },
        }
    }

    pub(crate) fn apply(&mut self, record: Record) -> Result<(), MissingEntries> {
        match record {
            Record::Term { term, voted_for } => {
                self.recovered.term = term;
                self.recovered.voted_for = voted_for;
                Ok(())
            }
            Record::Append {
                from_index,
                entries,
            } => self.append(from_index, entries),
        }
    }

    pub(crate) fn finish(mut self) -> RecoveredState {
        let snapshot_index = self.snapshot_index;
        self.recovered
            .entries
            .retain(|entry| entry.index > snapshot_index);
        self.recovered
    }

    fn append(&mut self, from_index: u64, appended: Vec<Entry>) -> Result<(), MissingEntries> {
        let entries = &mut self.recovered.entries;
        entries.truncate(entries.partition_point(|entry| entry.index < from_index));
        let next_index = entries.last().map(|entry| entry.index + 1);
        if next_index != Some(from_index) {
            // Missing entries are an error unless the snapshot covers them.
            if from_index > self.snapshot_index + 1 {
                return Err(MissingEntries);
            }
            entries.clear();
        }
        entries.extend(appended);
        Ok(())
    }
}
