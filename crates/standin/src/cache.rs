//! The engine's limited prefix cache and the events that it publishes.

use std::collections::{BTreeMap, VecDeque};

use conf::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::prompt::chunk_name;

/// Events that are kept for readers.
const EVENT_LIMIT: usize = 10_000;

/// What happened to a chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheChange {
    /// The chunk was stored.
    Stored,
    /// The chunk was evicted.
    Evicted,
}

/// One entry of `GET /cache/events`. A missing number is a lost event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, rising by one.
    pub number: u64,
    /// What happened.
    pub kind: CacheChange,
    /// Hash of the chunk, in hexadecimal.
    pub chunk: Name,
}

/// Prefix cache with eviction of the least recently used chunk.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    clock: u64,
    used_at: Map<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    changes: Vec<(CacheChange, u64)>,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity` chunks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            clock: 0,
            used_at: Map::default(),
            by_use: BTreeMap::new(),
            changes: Vec::new(),
        }
    }

    /// Number of chunks stored.
    pub fn len(&self) -> usize {
        self.used_at.len()
    }

    /// Whether no chunk is stored.
    pub fn is_empty(&self) -> bool {
        self.used_at.is_empty()
    }

    /// Whether the chunk is stored.
    pub fn contains(&self, chunk: u64) -> bool {
        self.used_at.contains_key(&chunk)
    }

    /// Marks the leading stored chunks as used and returns their number.
    pub fn touch_prefix(&mut self, chunks: &[u64]) -> usize {
        let stored = chunks
            .iter()
            .take_while(|chunk| self.contains(**chunk))
            .count();
        for chunk in &chunks[..stored] {
            self.touch(*chunk);
        }
        stored
    }

    /// Stores chunks and evicts the least recently used ones above the capacity.
    pub fn store(&mut self, chunks: &[u64]) {
        for chunk in chunks.iter().take(self.capacity) {
            if !self.contains(*chunk) {
                self.changes.push((CacheChange::Stored, *chunk));
            }
            self.touch(*chunk);
        }
        while self.len() > self.capacity {
            self.evict_oldest();
        }
    }

    /// Removes everything, as a change of models does.
    pub fn clear(&mut self) {
        while !self.is_empty() {
            self.evict_oldest();
        }
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<(CacheChange, u64)> {
        std::mem::take(&mut self.changes)
    }

    fn touch(&mut self, chunk: u64) {
        self.clock += 1;
        if let Some(before) = self.used_at.insert(chunk, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, chunk);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, chunk)) = self.by_use.pop_first() {
            self.used_at.remove(&chunk);
            self.changes.push((CacheChange::Evicted, chunk));
        }
    }
}

/// The published events, each visible after a delay.
#[derive(Debug, Default)]
pub struct EventLog {
    next: u64,
    events: VecDeque<(f64, CacheEvent)>,
}

impl EventLog {
    /// Publishes a change that readers see from `visible_at_ms` on. A lost one only uses its
    /// number.
    pub fn publish(&mut self, change: CacheChange, chunk: u64, visible_at_ms: f64, lost: bool) {
        self.next += 1;
        if lost {
            return;
        }
        let event = CacheEvent {
            number: self.next,
            kind: change,
            chunk: chunk_name(chunk),
        };
        self.events.push_back((visible_at_ms, event));
        if self.events.len() > EVENT_LIMIT {
            self.events.pop_front();
        }
    }

    /// Events after number `after` that are visible at `now_ms`.
    pub fn after(&self, after: u64, now_ms: f64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(visible_at_ms, event)| *visible_at_ms <= now_ms && event.number > after)
            .map(|(_, event)| event.clone())
            .collect()
    }
}
