//! Which upstreams hold which chunks of prompts in their caches.

use std::collections::VecDeque;

use conf::Map;
use smallvec::SmallVec;

use crate::work::CacheEvent;

/// Share of missed events taken to be evictions. An engine with a full cache evicts one chunk for each stored.
const EVICTION_SHARE: f64 = 0.5;

/// Upstreams by the chunk that they hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holders {
    slots: Map<u64, SmallVec<[u32; 4]>>,
}

impl Holders {
    pub(crate) fn of(&self, chunk: u64) -> &[u32] {
        self.slots.get(&chunk).map_or(&[], |slots| slots.as_slice())
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        let entry = size_of::<(u64, SmallVec<[u32; 4]>)>() + 1;
        let spilled = self.slots.values().filter(|slots| slots.spilled());
        self.slots.capacity() * 8 / 7 * entry
            + spilled.map(|slots| slots.capacity() * 4).sum::<usize>()
    }

    fn insert(&mut self, chunk: u64, slot: u32) {
        let slots = self.slots.entry(chunk).or_default();
        if !slots.contains(&slot) {
            slots.push(slot);
        }
    }

    fn remove(&mut self, chunk: u64, slot: u32) {
        let Some(slots) = self.slots.get_mut(&chunk) else {
            return;
        };
        slots.retain(|held| *held != slot);
        if slots.is_empty() {
            self.slots.remove(&chunk);
        }
    }
}

/// The chunks that one upstream is believed to hold, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct CacheView {
    slot: u32,
    capacity: usize,
    last_use: Map<u64, u32>,
    order: VecDeque<(u64, u32)>,
    uses: u32,
    next_event: Option<u64>,
    /// Share of the believed chunks that are really there, from 0 to 1.
    confidence: f64,
}

impl CacheView {
    pub(crate) fn new(slot: u32, capacity: usize) -> Self {
        Self {
            slot,
            capacity,
            last_use: Map::default(),
            order: VecDeque::new(),
            uses: 0,
            next_event: None,
            confidence: 1.0,
        }
    }

    pub(crate) fn set_capacity(&mut self, capacity: usize, holders: &mut Holders) {
        self.capacity = capacity;
        self.shrink(holders);
    }

    pub(crate) fn len(&self) -> usize {
        self.last_use.len()
    }

    pub(crate) fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Number of the last event that was taken in, 0 if there was none.
    pub(crate) fn events_seen(&self) -> u64 {
        self.next_event.map_or(0, |next| next - 1)
    }

    pub(crate) fn bytes(&self) -> usize {
        let table = self.last_use.capacity() * 8 / 7 * (size_of::<(u64, u32)>() + 1);
        table + self.order.capacity() * size_of::<(u64, u32)>()
    }

    /// Number of leading chunks of the prompt that the upstream is believed to hold.
    pub(crate) fn leading(&self, chunks: &[u64]) -> usize {
        let held = |chunk: &&u64| self.last_use.contains_key(chunk);
        chunks.iter().take_while(held).count()
    }

    /// Notes that the upstream stores or uses a chunk.
    pub(crate) fn touch(&mut self, chunk: u64, holders: &mut Holders) {
        if self.capacity == 0 {
            return;
        }
        self.uses = self.uses.wrapping_add(1);
        if self.last_use.insert(chunk, self.uses).is_none() {
            holders.insert(chunk, self.slot);
        }
        self.order.push_back((chunk, self.uses));
        self.shrink(holders);
    }

    /// Takes in events numbered from `first`. Numbers seen before are skipped; missed numbers lower the confidence.
    pub(crate) fn on_events(&mut self, first: u64, events: &[CacheEvent], holders: &mut Holders) {
        let next = self.next_event.unwrap_or(first);
        if first > next {
            self.on_gap(first - next, holders);
        }
        let seen = next.saturating_sub(first).min(events.len() as u64) as usize;
        for event in &events[seen..] {
            match event {
                CacheEvent::Stored(chunk) => self.touch(*chunk, holders),
                CacheEvent::Evicted(chunk) => self.remove(*chunk, holders),
            }
        }
        self.next_event = Some(next.max(first + events.len() as u64));
        let fresh = (events.len() - seen) as f64 / self.capacity.max(1) as f64;
        self.confidence += (1.0 - self.confidence) * fresh.min(1.0);
    }

    fn on_gap(&mut self, missed: u64, holders: &mut Holders) {
        let evicted = missed as f64 * EVICTION_SHARE;
        let kept = 1.0 - evicted / self.len().max(1) as f64;
        if kept <= 0.0 {
            self.clear(holders);
        } else {
            self.confidence *= kept;
        }
    }

    /// Forgets all chunks and event numbers, for a process that has ended.
    pub(crate) fn reset(&mut self, holders: &mut Holders) {
        self.clear(holders);
        self.next_event = None;
        self.confidence = 1.0;
    }

    fn clear(&mut self, holders: &mut Holders) {
        for chunk in self.last_use.keys() {
            holders.remove(*chunk, self.slot);
        }
        self.last_use.clear();
        self.order.clear();
    }

    fn remove(&mut self, chunk: u64, holders: &mut Holders) {
        if self.last_use.remove(&chunk).is_some() {
            holders.remove(chunk, self.slot);
        }
    }

    fn shrink(&mut self, holders: &mut Holders) {
        while self.last_use.len() > self.capacity || self.order.len() > 2 * self.capacity + 16 {
            let Some((chunk, used)) = self.order.pop_front() else {
                return;
            };
            if self.last_use.get(&chunk) != Some(&used) {
                continue;
            }
            if self.last_use.len() > self.capacity {
                self.remove(chunk, holders);
            } else {
                self.order.push_front((chunk, used));
                self.compact();
            }
        }
    }

    /// Drops entries of the use order that a later use has replaced.
    fn compact(&mut self) {
        let last_use = &self.last_use;
        self.order
            .retain(|(chunk, used)| last_use.get(chunk) == Some(used));
    }
}
