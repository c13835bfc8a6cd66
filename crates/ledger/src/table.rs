//! The table of records and its transitions.

use std::collections::{BTreeMap, BTreeSet};

use crate::record::{Begin, BeginReply, Finish, Key, Outcome, Record, RecordState};

/// Number of ended attempts that a record keeps. A repeated `Begin` of an attempt that was dropped from the list can be
/// granted again, but only to a proposer that no longer waits for the reply.
const ENDED_ATTEMPTS_LIMIT: usize = 16;

/// Records of non-idempotent requests by client account and key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ledger {
    records: BTreeMap<Key, Record>,
    /// Records in state `Begun`, by answer deadline.
    answer_deadlines: BTreeSet<(u64, Key)>,
    /// All records, by expiry deadline.
    expiry_deadlines: BTreeSet<(u64, Key)>,
}

impl Ledger {
    /// Rebuilds a ledger from its records.
    pub fn from_records(records: impl IntoIterator<Item = (Key, Record)>) -> Self {
        let mut ledger = Self::default();
        for (key, record) in records {
            ledger.insert(key, record);
        }
        ledger
    }

    /// Returns all records in the order of their keys.
    pub fn records(&self) -> impl Iterator<Item = (&Key, &Record)> {
        self.records.iter()
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record of a key.
    pub fn get(&self, key: &Key) -> Option<&Record> {
        self.records.get(key)
    }

    /// Decides whether an attempt may run a request.
    pub fn begin(&mut self, at_ms: u64, begin: &Begin) -> BeginReply {
        self.advance(at_ms);
        let Some(record) = self.records.get(&begin.key) else {
            self.insert(begin.key.clone(), begun_record(at_ms, begin, Vec::new()));
            return BeginReply::Granted;
        };
        if record.body_sha256 != begin.body_sha256 {
            return BeginReply::BodyMismatch;
        }
        match &record.state {
            RecordState::Answered(answer) => BeginReply::Answered(answer.clone()),
            RecordState::Unknown => BeginReply::Unknown,
            RecordState::Begun if record.attempt == begin.attempt => BeginReply::Granted,
            RecordState::Begun => BeginReply::Running,
            RecordState::NotRun if record.ended_attempts.contains(&begin.attempt) => {
                BeginReply::Running
            }
            RecordState::NotRun => {
                let ended_attempts = record.ended_attempts.clone();
                self.insert(
                    begin.key.clone(),
                    begun_record(at_ms, begin, ended_attempts),
                );
                BeginReply::Granted
            }
        }
    }

    /// Records the outcome of an attempt. Returns whether the record belongs to this attempt.
    ///
    /// A record in state `Unknown` still accepts the outcome from its own attempt, because no other attempt can have
    /// run the request.
    pub fn finish(&mut self, at_ms: u64, finish: &Finish) -> bool {
        self.advance(at_ms);
        let Some(record) = self.records.get(&finish.key) else {
            return false;
        };
        if record.attempt != finish.attempt {
            return false;
        }
        if !matches!(record.state, RecordState::Begun | RecordState::Unknown) {
            return true;
        }
        let mut record = record.clone();
        record.state = match &finish.outcome {
            Outcome::Answered(answer) => RecordState::Answered(answer.clone()),
            Outcome::Unknown => RecordState::Unknown,
            Outcome::NotRun => {
                record.add_ended_attempt();
                RecordState::NotRun
            }
        };
        self.insert(finish.key.clone(), record);
        true
    }

    /// Changes records whose answer deadline has passed to `Unknown` and removes expired records.
    pub fn advance(&mut self, at_ms: u64) {
        while let Some((_, key)) = pop_due(&mut self.answer_deadlines, at_ms) {
            if let Some(record) = self.records.get_mut(&key) {
                record.state = RecordState::Unknown;
            }
        }
        while let Some((_, key)) = pop_due(&mut self.expiry_deadlines, at_ms) {
            self.records.remove(&key);
        }
    }

    /// Returns the earliest cluster time at which `advance` changes a record, in milliseconds.
    pub fn next_deadline_ms(&self) -> Option<u64> {
        let answer_deadline = self
            .answer_deadlines
            .first()
            .map(|(deadline_ms, _)| *deadline_ms);
        let expiry_deadline = self
            .expiry_deadlines
            .first()
            .map(|(deadline_ms, _)| *deadline_ms);
        answer_deadline.into_iter().chain(expiry_deadline).min()
    }

    fn insert(&mut self, key: Key, record: Record) {
        if let Some(old) = self.records.get(&key) {
            self.answer_deadlines
                .remove(&(old.answer_deadline_ms, key.clone()));
            self.expiry_deadlines
                .remove(&(old.expiry_deadline_ms, key.clone()));
        }
        if record.state == RecordState::Begun {
            self.answer_deadlines
                .insert((record.answer_deadline_ms, key.clone()));
        }
        self.expiry_deadlines
            .insert((record.expiry_deadline_ms, key.clone()));
        self.records.insert(key, record);
    }
}

impl Record {
    fn add_ended_attempt(&mut self) {
        if self.ended_attempts.len() == ENDED_ATTEMPTS_LIMIT {
            self.ended_attempts.remove(0);
        }
        self.ended_attempts.push(self.attempt.clone());
    }
}

fn begun_record(
    at_ms: u64,
    begin: &Begin,
    ended_attempts: Vec<crate::record::AttemptId>,
) -> Record {
    let answer_deadline_ms = at_ms.saturating_add(begin.answer_timeout_ms);
    let retention_deadline_ms = at_ms.saturating_add(begin.retention_ms);
    Record {
        body_sha256: begin.body_sha256,
        attempt: begin.attempt.clone(),
        answer_deadline_ms,
        // A record is kept longer than its attempt may run. If the record were removed earlier, a repeated request
        // could run concurrently with the attempt.
        expiry_deadline_ms: retention_deadline_ms.max(answer_deadline_ms.saturating_add(1)),
        ended_attempts,
        state: RecordState::Begun,
    }
}

fn pop_due(deadlines: &mut BTreeSet<(u64, Key)>, at_ms: u64) -> Option<(u64, Key)> {
    let (deadline_ms, _) = deadlines.first()?;
    if *deadline_ms > at_ms {
        return None;
    }
    deadlines.pop_first()
}
