//! The prefix cache of an engine, which has a limited capacity, and the events that describe its changes.

use std::collections::{BTreeMap, VecDeque};

use conf::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::prompt::format_chunk_hash;

/// Maximum number of events that are kept for readers.
const MAX_EVENTS: usize = 10_000;

/// Kind of a change to the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The chunk was stored.
    Stored,
    /// The chunk was evicted.
    Evicted,
}

/// One event of the response to `GET /cache/events`. A gap in the numbers means that an event was lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; each event's number is one higher than that of the event before.
    pub number: u64,
    /// Kind of the change.
    pub kind: CacheChange,
    /// Hash of the chunk, in hexadecimal.
    pub chunk: Name,
}

/// Prefix cache that evicts the least recently used chunk.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    last_used: Map<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    changes: Vec<(CacheChange, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` chunks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            last_used: Map::default(),
            by_last_use: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Returns the number of stored chunks.
    pub fn len(&self) -> usize {
        self.last_used.len()
    }

    /// Returns whether no chunk is stored.
    pub fn is_empty(&self) -> bool {
        self.last_used.is_empty()
    }

    /// Returns whether `chunk` is stored.
    pub fn contains(&self, chunk: u64) -> bool {
        self.last_used.contains_key(&chunk)
    }

    /// Marks the leading chunks of `chunks` that are stored as used and returns their number.
    pub fn touch_prefix(&mut self, chunks: &[u64]) -> usize {
        let stored_count = chunks
            .iter()
            .take_while(|chunk| self.contains(**chunk))
            .count();
        for chunk in &chunks[..stored_count] {
            self.touch(*chunk);
        }
        stored_count
    }

    /// Stores chunks and evicts the least recently used ones beyond the capacity.
    pub fn store(&mut self, chunks: &[u64]) {
        for chunk in chunks.iter().take(self.capacity) {
            if !self.contains(*chunk) {
                self.changes.push((CacheChange::Stored, *chunk));
            }
            self.touch(*chunk);
        }
        while self.len() > self.capacity {
            self.evict_least_recent();
        }
    }

    /// Evicts all chunks, as a change of the loaded models does.
    pub fn clear(&mut self) {
        while !self.is_empty() {
            self.evict_least_recent();
        }
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(CacheChange, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn touch(&mut self, chunk: u64) {
        self.clock += 1;
        if let Some(previous_use) = self.last_used.insert(chunk, self.clock) {
            self.by_last_use.remove(&previous_use);
        }
        self.by_last_use.insert(self.clock, chunk);
    }

    fn evict_least_recent(&mut self) {
        if let Some((_, chunk)) = self.by_last_use.pop_first() {
            self.last_used.remove(&chunk);
            self.changes.push((CacheChange::Evicted, chunk));
        }
    }
}

/// The published events, each of which becomes visible after a delay.
#[derive(Debug, Default)]
pub struct CacheEventLog {
    last_number: u64,
    events: VecDeque<(f64, CacheEvent)>,
}

impl CacheEventLog {
    /// Publishes a change that readers see from `visible_at_ms` on. A lost event only takes a number.
    pub fn publish(&mut self, change: CacheChange, chunk: u64, visible_at_ms: f64, lost: bool) {
        self.last_number += 1;
        if lost {
            return;
        }
        let event = CacheEvent {
            number: self.last_number,
            kind: change,
            chunk: format_chunk_hash(chunk),
        };
        self.events.push_back((visible_at_ms, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with numbers above `after` that are visible at `now_ms`.
    pub fn after(&self, after: u64, now_ms: f64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(visible_at_ms, event)| *visible_at_ms <= now_ms && event.number > after)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
