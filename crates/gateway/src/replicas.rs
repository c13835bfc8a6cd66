//! The other replicas that a replica knows, and when it last heard from them.

use conf::{Map, Name};
use fleet::InstanceInfo;

/// Time without a message after which a replica is no longer named to others, in milliseconds: several intervals of the
/// messages between replicas.
const SILENT_AFTER_MS: u64 = 3_000;
/// Interval of the messages to a silent replica, in milliseconds.
const SILENT_WATCH_INTERVAL_MS: u64 = 5_000;
/// Silent replicas that are kept, the latest ones first. A replica that was cut off finds the others through them.
const MAX_SILENT: usize = 16;

/// Another replica.
#[derive(Clone, Debug)]
struct KnownReplica {
    info: InstanceInfo,
    /// Number of entries that subscribe to the replica.
    entries: u32,
    /// When the replica last sent a message, in milliseconds.
    heard_ms: Option<u64>,
    /// When the replica last sent a message or became known, in milliseconds.
    known_ms: u64,
    next_watch_ms: u64,
    /// Whether the settings name the replica.
    is_contact: bool,
}

impl KnownReplica {
    fn is_silent(&self, now_ms: u64) -> bool {
        self.heard_ms
            .is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > SILENT_AFTER_MS)
    }
}

/// The other replicas, by instance id.
#[derive(Clone, Debug, Default)]
pub struct KnownReplicas {
    own_id: Name,
    by_id: Map<Name, KnownReplica>,
}

impl KnownReplicas {
    /// Creates the replicas that the settings of the instance `own_id` name.
    pub fn new(own_id: Name, contacts: Vec<InstanceInfo>, now_ms: u64) -> Self {
        let mut replicas = Self {
            own_id,
            by_id: Map::default(),
        };
        replicas.set_contacts(contacts, now_ms);
        replicas
    }

    /// Replaces the replicas that the settings name.
    pub fn set_contacts(&mut self, contacts: Vec<InstanceInfo>, now_ms: u64) {
        for replica in self.by_id.values_mut() {
            replica.is_contact = false;
        }
        for contact in contacts {
            let id = contact.id.clone();
            self.on_named(contact, now_ms);
            if let Some(replica) = self.by_id.get_mut(&id) {
                replica.is_contact = true;
            }
        }
    }

    /// Adds a replica that another one or the settings name, unless it is known. Returns whether it was unknown.
    pub fn on_named(&mut self, info: InstanceInfo, now_ms: u64) -> bool {
        if info.id == self.own_id || self.by_id.contains_key(&info.id) {
            return false;
        }
        let replica = KnownReplica {
            info,
            entries: 0,
            heard_ms: None,
            known_ms: now_ms,
            next_watch_ms: now_ms,
            is_contact: false,
        };
        self.by_id.insert(replica.info.id.clone(), replica);
        true
    }

    /// Records a message from a replica. Returns whether the replica was unknown.
    pub fn on_message(&mut self, info: &InstanceInfo, now_ms: u64) -> bool {
        let is_new = self.on_named(info.clone(), now_ms);
        if let Some(replica) = self.by_id.get_mut(&info.id) {
            replica.info.clone_from(info);
            replica.heard_ms = Some(now_ms);
            replica.known_ms = now_ms;
        }
        is_new
    }

    /// Records how many entries subscribe to a replica.
    pub fn set_entries(&mut self, id: &Name, entries: u32) {
        if let Some(replica) = self.by_id.get_mut(id) {
            replica.entries = entries;
        }
    }

    /// Returns the number of entries that subscribe to the replicas that are not silent.
    pub fn entries(&self, now_ms: u64) -> u32 {
        let heard = self.by_id.values().filter(|other| !other.is_silent(now_ms));
        heard.map(|replica| replica.entries).sum()
    }

    /// Returns a replica.
    pub fn get(&self, id: &Name) -> Option<&InstanceInfo> {
        self.by_id.get(id).map(|replica| &replica.info)
    }

    /// Returns all known replicas.
    pub fn infos(&self) -> impl Iterator<Item = &InstanceInfo> {
        self.by_id.values().map(|replica| &replica.info)
    }

    /// Returns the replicas to name to others: those that are not silent, and the members of the log.
    pub fn named(&self, members: &[Name], now_ms: u64) -> Vec<InstanceInfo> {
        self.by_id
            .values()
            .filter(|other| !other.is_silent(now_ms) || members.contains(&other.info.id))
            .map(|other| other.info.clone())
            .collect()
    }

    /// Forgets the silent replicas that have been known for longest, beyond the members of the log and those that the
    /// settings name. Returns the ids of those that it forgets.
    pub fn forget(&mut self, members: &[Name], now_ms: u64) -> Vec<Name> {
        let mut silent: Vec<(u64, Name)> = self
            .by_id
            .iter()
            .filter(|(id, other)| {
                !other.is_contact && other.is_silent(now_ms) && !members.contains(id)
            })
            .map(|(id, other)| (other.known_ms, id.clone()))
            .collect();
        silent.sort_unstable();
        silent.truncate(silent.len().saturating_sub(MAX_SILENT));
        let forgotten: Vec<Name> = silent.into_iter().map(|(_, id)| id).collect();
        for id in &forgotten {
            self.by_id.remove(id);
        }
        forgotten
    }

    /// Returns the replicas that get a message now. Silent ones that are no members of the log get one less often.
    pub fn due(&mut self, members: &[Name], now_ms: u64) -> Vec<InstanceInfo> {
        let mut due = Vec::new();
        for (id, replica) in &mut self.by_id {
            let is_rare = replica.is_silent(now_ms) && !members.contains(id);
            if is_rare && now_ms < replica.next_watch_ms {
                continue;
            }
            // A replica that has just become known gets several messages at the usual interval.
            if is_rare && now_ms.saturating_sub(replica.known_ms) > SILENT_AFTER_MS {
                replica.next_watch_ms = now_ms + SILENT_WATCH_INTERVAL_MS;
            }
            due.push(replica.info.clone());
        }
        due
    }
}
