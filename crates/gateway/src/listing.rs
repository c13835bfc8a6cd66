//! The platform's list of upstreams, with the changes that led to it.
//!
//! A subscriber that holds a recent version receives only the records that have changed since.

use std::collections::VecDeque;
use std::hash::BuildHasher;
use std::sync::Arc;

use conf::{Map, Name, Set};
use fleet::{ListingUpdate, UpstreamList, UpstreamRecord};

/// Version of a subscriber that has no list.
pub const NO_LISTING: u64 = 0;
/// Version that a subscriber sends if it needs no list.
pub const LISTING_NOT_NEEDED: u64 = u64::MAX;
/// Changes that are kept. The list is read once a second, so that a subscriber may miss it for a minute and still
/// receives only what has changed.
const MAX_CHANGES: usize = 64;

/// A change of the list.
#[derive(Clone, Debug)]
struct Change {
    /// Version before the change.
    base: u64,
    /// Upstreams that were added, changed or removed.
    upstreams: Vec<Name>,
}

/// The records of the upstreams, with their version. The version is a hash of all records, so that it is equal on all
/// replicas that have read the same list.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    version: u64,
    records: Map<Name, UpstreamRecord>,
    complete: Arc<UpstreamList>,
    /// Availability zones of the upstreams by the keys that stand for them in messages.
    zones: Map<u64, Name>,
    /// Latest changes, oldest first.
    changes: VecDeque<Change>,
}

impl Listing {
    /// Returns the version, or [`NO_LISTING`] if no list has been set.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns all records.
    pub fn records(&self) -> &[UpstreamRecord] {
        &self.complete.records
    }

    /// Returns the availability zone of an upstream by the key that stands for it in messages.
    pub fn zone_of(&self, key: u64) -> Option<&Name> {
        self.zones.get(&key)
    }

    /// Replaces all records. Returns whether this changes the list.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>) -> bool {
        let mut replaced: Map<Name, UpstreamRecord> = Map::default();
        for record in records {
            replaced.insert(record.id.clone(), record);
        }
        let removed = self.records.keys().filter(|id| !replaced.contains_key(*id));
        let mut touched: Vec<Name> = removed.cloned().collect();
        let changed = replaced
            .values()
            .filter(|record| self.records.get(&record.id) != Some(record));
        touched.extend(changed.map(|record| record.id.clone()));
        self.records = replaced;
        self.finish_change(touched)
    }

    /// Applies an update that leads to `version`. Returns whether the list then has this version; otherwise the list is
    /// unchanged or the update was inconsistent, and a complete copy is needed.
    pub fn apply(&mut self, version: u64, update: &ListingUpdate) -> bool {
        match update {
            ListingUpdate::Complete(list) => {
                self.replace(list.records.clone());
            }
            ListingUpdate::Changes {
                base,
                changed,
                removed,
            } => {
                if *base != self.version {
                    return false;
                }
                for id in removed {
                    self.records.remove(id);
                }
                for record in changed {
                    self.records.insert(record.id.clone(), record.clone());
                }
                let ids = changed.iter().map(|record| record.id.clone());
                self.finish_change(ids.chain(removed.iter().cloned()).collect());
            }
        }
        self.version == version
    }

    /// Returns what a subscriber lacks that holds version `base`.
    pub fn update_since(&self, base: u64) -> ListingUpdate {
        let Some(first) = self.changes.iter().rposition(|change| change.base == base) else {
            return ListingUpdate::Complete(self.complete.clone());
        };
        let touched: Set<&Name> = self
            .changes
            .range(first..)
            .flat_map(|change| &change.upstreams)
            .collect();
        if touched.len() * 2 > self.records.len() {
            return ListingUpdate::Complete(self.complete.clone());
        }
        let (present, absent): (Vec<&Name>, Vec<&Name>) = touched
            .into_iter()
            .partition(|id| self.records.contains_key(*id));
        ListingUpdate::Changes {
            base,
            changed: present.iter().map(|id| self.records[*id].clone()).collect(),
            removed: absent.into_iter().cloned().collect(),
        }
    }

    /// Computes the version after a change and keeps the change. Returns whether the version has changed.
    fn finish_change(&mut self, upstreams: Vec<Name>) -> bool {
        let base = self.version;
        self.version = version(self.records.values().map(record_hash));
        if self.version == base {
            return false;
        }
        let zone = |record: &UpstreamRecord| {
            let key = upstream_key(&record.id);
            (key, record.availability_zone.clone())
        };
        self.zones = self.records.values().map(zone).collect();
        let records = self.records.values().cloned().collect();
        self.complete = Arc::new(UpstreamList::new(records));
        self.changes.push_back(Change { base, upstreams });
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
        true
    }
}

/// Returns the version of a list from the hashes of its records, in any order.
pub fn version(record_hashes: impl Iterator<Item = u64>) -> u64 {
    let sum = record_hashes.fold(1_u64, u64::wrapping_add);
    sum.clamp(NO_LISTING + 1, LISTING_NOT_NEEDED - 1)
}

/// Returns the hash of a record.
pub fn record_hash(record: &UpstreamRecord) -> u64 {
    let role = record.role.map(|role| role as u8);
    foldhash::fast::FixedState::default().hash_one((
        (&record.id, &record.service, &record.address),
        &record.availability_zone,
        (record.slots, record.draining, record.born_ms, role),
        record.is_changing,
    ))
}

/// Returns the key that stands for an upstream in load messages.
pub fn upstream_key(id: &Name) -> u64 {
    quarantine::engine_key(id)
}
