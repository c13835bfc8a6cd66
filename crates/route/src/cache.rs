//! Index of the upstreams that hold chunks of prompts in their caches.

use std::collections::VecDeque;

use conf::Map;
use smallvec::SmallVec;

use crate::types::CacheEvent;

/// Share of the missed events that are assumed to be evictions. An engine with a full cache evicts one chunk for each
/// stored chunk.
const EVICTION_SHARE: f64 = 0.5;

/// The table slots of the upstreams whose caches are expected to hold a chunk, by chunk.
#[derive(Clone, Debug, Default)]
pub(crate) struct CacheIndex {
    holders: Map<u64, SmallVec<[u32; 4]>>,
}

impl CacheIndex {
    pub(crate) fn holders(&self, chunk: u64) -> &[u32] {
        self.holders
            .get(&chunk)
            .map_or(&[], |slots| slots.as_slice())
    }

    pub(crate) fn len(&self) -> usize {
        self.holders.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        let entry_bytes = size_of::<(u64, SmallVec<[u32; 4]>)>() + 1;
        let spilled = self.holders.values().filter(|slots| slots.spilled());
        self.holders.capacity() * 8 / 7 * entry_bytes
            + spilled.map(|slots| slots.capacity() * 4).sum::<usize>()
    }

    fn insert(&mut self, chunk: u64, slot: u32) {
        let slots = self.holders.entry(chunk).or_default();
        if !slots.contains(&slot) {
            slots.push(slot);
        }
    }

    fn remove(&mut self, chunk: u64, slot: u32) {
        let Some(slots) = self.holders.get_mut(&chunk) else {
            return;
        };
        slots.retain(|holder| *holder != slot);
        if slots.is_empty() {
            self.holders.remove(&chunk);
        }
    }
}

/// The chunks that the cache of one upstream is expected to hold, least recently used first.
#[derive(Clone, Debug)]
pub(crate) struct CacheView {
    slot: u32,
    capacity: usize,
    /// Number of the last use of each chunk.
    last_use: Map<u64, u32>,
    /// Chunks with the numbers of their uses, in the order of the uses.
    use_order: VecDeque<(u64, u32)>,
    use_count: u32,
    /// Number of the next cache event. `None` while no event is known.
    next_event: Option<u64>,
    /// Estimated share of the expected chunks that the cache actually holds, from 0 to 1.
    confidence: f64,
}

impl CacheView {
    pub(crate) fn new(slot: u32, capacity: usize) -> Self {
        Self {
            slot,
            capacity,
            last_use: Map::default(),
            use_order: VecDeque::new(),
            use_count: 0,
            next_event: None,
            confidence: 1.0,
        }
    }

    pub(crate) fn set_capacity(&mut self, capacity: usize, cache_index: &mut CacheIndex) {
        self.capacity = capacity;
        self.shrink(cache_index);
    }

    pub(crate) fn len(&self) -> usize {
        self.last_use.len()
    }

    pub(crate) fn confidence(&self) -> f64 {
        self.confidence
    }

    /// Returns the number of the last applied event, or 0 if there was none.
    pub(crate) fn events_seen(&self) -> u64 {
        self.next_event.map_or(0, |next| next - 1)
    }

    pub(crate) fn bytes(&self) -> usize {
        let table = self.last_use.capacity() * 8 / 7 * (size_of::<(u64, u32)>() + 1);
        table + self.use_order.capacity() * size_of::<(u64, u32)>()
    }

    /// Returns the number of leading chunks of the prompt that the upstream is expected to hold.
    pub(crate) fn cached_prefix_len(&self, chunk_hashes: &[u64]) -> usize {
        let held = |chunk: &&u64| self.last_use.contains_key(chunk);
        chunk_hashes.iter().take_while(held).count()
    }

    /// Records that the upstream stores or uses a chunk.
    pub(crate) fn touch(&mut self, chunk: u64, cache_index: &mut CacheIndex) {
        if self.capacity == 0 {
            return;
        }
        self.use_count = self.use_count.wrapping_add(1);
        if self.last_use.insert(chunk, self.use_count).is_none() {
            cache_index.insert(chunk, self.slot);
        }
        self.use_order.push_back((chunk, self.use_count));
        self.shrink(cache_index);
    }

    /// Applies events numbered from `first`. Events whose numbers were seen before are skipped, and missing numbers
    /// lower the confidence.
    pub(crate) fn on_events(
        &mut self,
        first: u64,
        events: &[CacheEvent],
        cache_index: &mut CacheIndex,
    ) {
        let next = self.next_event.unwrap_or(first);
        if first > next {
            self.on_gap(first - next, cache_index);
        }
        let seen_events = next.saturating_sub(first).min(events.len() as u64) as usize;
        for event in &events[seen_events..] {
            match event {
                CacheEvent::Stored(chunk) => self.touch(*chunk, cache_index),
                CacheEvent::Evicted(chunk) => self.remove(*chunk, cache_index),
            }
        }
        self.next_event = Some(next.max(first + events.len() as u64));
        let new_share = (events.len() - seen_events) as f64 / self.capacity.max(1) as f64;
        self.confidence += (1.0 - self.confidence) * new_share.min(1.0);
    }

    fn on_gap(&mut self, missed: u64, cache_index: &mut CacheIndex) {
        let evicted = missed as f64 * EVICTION_SHARE;
        let remaining_share = 1.0 - evicted / self.len().max(1) as f64;
        if remaining_share <= 0.0 {
            self.clear(cache_index);
        } else {
            self.confidence *= remaining_share;
        }
    }

    /// Removes all chunks and the event number, because the upstream's process has ended.
    pub(crate) fn reset(&mut self, cache_index: &mut CacheIndex) {
        self.clear(cache_index);
        self.next_event = None;
        self.confidence = 1.0;
    }

    fn clear(&mut self, cache_index: &mut CacheIndex) {
        for chunk in self.last_use.keys() {
            cache_index.remove(*chunk, self.slot);
        }
        self.last_use.clear();
        self.use_order.clear();
    }

    fn remove(&mut self, chunk: u64, cache_index: &mut CacheIndex) {
        if self.last_use.remove(&chunk).is_some() {
            cache_index.remove(chunk, self.slot);
        }
    }

    fn shrink(&mut self, cache_index: &mut CacheIndex) {
        while self.last_use.len() > self.capacity || self.use_order.len() > 2 * self.capacity + 16 {
            let Some((chunk, use_number)) = self.use_order.pop_front() else {
                return;
            };
            if self.last_use.get(&chunk) != Some(&use_number) {
                continue;
            }
            if self.last_use.len() > self.capacity {
                self.remove(chunk, cache_index);
            } else {
                self.use_order.push_front((chunk, use_number));
                self.compact();
            }
        }
    }

    /// Removes entries of the use order that a later use of the same chunk has replaced.
    fn compact(&mut self) {
        let last_use = &self.last_use;
        self.use_order
            .retain(|(chunk, use_number)| last_use.get(chunk) == Some(use_number));
    }
}
