//! An entry's subscription to a replica: the choice of the replica, the probes of other replicas, and the age of the last
//! reply.

use std::hash::BuildHasher;

use conf::{Map, Name, Set};
use fleet::{InstanceInfo, PrefixUse, UpstreamLoad, Watch, WatchReply};
use quarantine::Suspects;

use crate::listing::{LISTING_NOT_NEEDED, NO_LISTING};

/// Interval of the subscription's messages until the replica has stated one, in milliseconds.
const INITIAL_INTERVAL_MS: u64 = 100;
/// Longest interval that an entry accepts, in milliseconds. Replicas remove subscribers after a few seconds.
const MAX_INTERVAL_MS: u64 = 1_000;
/// Time after which a message without a reply counts as lost, in milliseconds. Until then no further message is sent, so
/// that a replica or a link that is slow does not get more of them.
const UNANSWERED_MS: u64 = 300;
/// Time without a current reply after which the entry switches to a replica that has answered a probe, in milliseconds:
/// two messages and the time for their replies.
const REPLY_TIMEOUT_MS: u64 = 900;
/// Shortest pause before a replica that has not answered a probe gets the next one, in milliseconds. The pause doubles with
/// each unanswered probe.
const PROBE_PAUSE_MIN_MS: u64 = 500;
/// Longest such pause, in milliseconds.
const PROBE_PAUSE_MAX_MS: u64 = 8_000;
/// Pause before a replica that the entry has left as unresponsive or outdated gets a probe, in milliseconds.
const LEFT_PAUSE_MS: u64 = 3_000;
/// Largest number of replicas that are probed at once.
const MAX_PROBES_AT_ONCE: usize = 3;

/// A known replica.
#[derive(Clone, Debug)]
struct KnownReplica {
    info: InstanceInfo,
    /// Whether the settings name the replica. Such a replica is never forgotten.
    is_contact: bool,
    /// Whether a current replica has named it since.
    is_listed: bool,
    /// When the replica last stated that its state is current, in milliseconds.
    answered_ms: Option<u64>,
    next_probe_ms: u64,
    probe_pause_ms: u64,
}

impl KnownReplica {
    fn new(info: InstanceInfo, is_contact: bool) -> Self {
        Self {
            info,
            is_contact,
            is_listed: false,
            answered_ms: None,
            next_probe_ms: 0,
            probe_pause_ms: PROBE_PAUSE_MIN_MS,
        }
    }

    /// Returns whether the replica has recently stated that its state is current.
    fn is_answering(&self, now_ms: u64) -> bool {
        self.answered_ms
            .is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= REPLY_TIMEOUT_MS)
    }
}

/// A message that is due, and its receiver.
pub type DueWatch = (InstanceInfo, Watch);

/// State of the subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    info: InstanceInfo,
    replicas: Map<Name, KnownReplica>,
    current: Option<Name>,
    /// When the current replica was chosen, or last confirmed that its state is current.
    confirmed_ms: u64,
    next_watch_ms: u64,
    /// Interval that the replica has stated, in milliseconds.
    interval_ms: u64,
    /// Until when the next message waits for the reply to the last one.
    awaits_reply_until_ms: u64,
    /// Whether a replica has sent the known replicas with their availability zones. Until then, the entry asks for no
    /// document or list, which a replica of its own zone sends.
    knows_zones: bool,
    sequence: u64,
}

impl Subscription {
    /// Creates a subscription that knows the replicas named in the settings.
    pub fn new(info: InstanceInfo, contacts: Vec<InstanceInfo>) -> Self {
        let mut subscription = Self {
            info,
            replicas: Map::default(),
            current: None,
            confirmed_ms: 0,
            next_watch_ms: 0,
            interval_ms: INITIAL_INTERVAL_MS,
            awaits_reply_until_ms: 0,
            knows_zones: false,
            sequence: 0,
        };
        subscription.set_contacts(contacts);
        subscription
    }

    /// Returns the replica to which the entry subscribes.
    pub fn current(&self) -> Option<&Name> {
        self.current.as_ref()
    }

    /// Returns the time since the replica last confirmed that its state is current, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Replaces the replicas that the settings name.
    pub fn set_contacts(&mut self, contacts: Vec<InstanceInfo>) {
        for replica in self.replicas.values_mut() {
            replica.is_contact = false;
        }
        for contact in contacts {
            self.replicas
                .entry(contact.id.clone())
                .and_modify(|known| known.is_contact = true)
                .or_insert_with(|| KnownReplica::new(contact, true));
        }
    }

    /// Returns whether a message to the current replica is due. Leaves a replica that is unresponsive or outdated once
    /// another one has answered a probe.
    pub fn is_due(&mut self, now_ms: u64) -> bool {
        if self.current.is_none() {
            self.switch_to(self.preferred_replica(|_| true), now_ms);
        }
        self.replace_outdated(now_ms);
        self.current.is_some() && now_ms >= self.next_watch_ms.max(self.awaits_reply_until_ms)
    }

    /// Returns the message that is due and its receiver.
    pub fn watch(
        &mut self,
        now_ms: u64,
        version: u64,
        listing: u64,
        loads: Vec<UpstreamLoad>,
        prefix_uses: Vec<PrefixUse>,
        suspects: &mut Suspects,
    ) -> Option<DueWatch> {
        let to = self.replicas.get(self.current.as_ref()?)?.info.clone();
        self.next_watch_ms = now_ms + self.interval_ms;
        self.awaits_reply_until_ms = now_ms + UNANSWERED_MS;
        self.sequence += 1;
        let (version, listing) = match self.knows_zones {
            true => (version, listing),
            false => (u64::MAX, LISTING_NOT_NEEDED),
        };
        let watch = Watch {
            info: self.info.clone(),
            sequence: self.sequence,
            accepts_callers: true,
            version,
            listing,
            loads,
            prefix_uses,
            quarantine: suspects.report(now_ms),
            ..Watch::default()
        };
        Some((to, watch))
    }

    /// Returns the probes that are due: to several other replicas while the current one is late, and otherwise to a
    /// replica that the entry prefers to the current one. A replica that answers a probe sends what the entry lacks of
    /// the document and the list, but doesn't count it as a subscriber.
    pub fn probes(&mut self, now_ms: u64, version: u64, listing: u64) -> Vec<DueWatch> {
        let Some(current) = self.current.clone() else {
            return Vec::new();
        };
        let is_late = self.age_ms(now_ms) > self.interval_ms + UNANSWERED_MS;
        let mut candidates: Vec<Name> = match is_late {
            true => self.replicas.keys().cloned().collect(),
            false => self.preferred_replica(|_| true).into_iter().collect(),
        };
        candidates.retain(|id| *id != current);
        if is_late
            && candidates
                .iter()
                .any(|id| self.replicas[id].is_answering(now_ms))
        {
            return Vec::new();
        }
        candidates.retain(|id| now_ms >= self.replicas[id].next_probe_ms);
        candidates.sort_by_key(|id| self.preference(&self.replicas[id]));
        candidates.truncate(MAX_PROBES_AT_ONCE);
        // An entry without a document or a list gets them from the replica to which it subscribes.
        let watch = Watch {
            info: self.info.clone(),
            sequence: self.sequence,
            accepts_callers: true,
            is_probe: true,
            version: if version == 0 { u64::MAX } else { version },
            listing: if listing == NO_LISTING {
                LISTING_NOT_NEEDED
            } else {
                listing
            },
            ..Watch::default()
        };
        let mut due = Vec::new();
        for id in candidates {
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.next_probe_ms = now_ms + replica.probe_pause_ms;
                replica.probe_pause_ms = (replica.probe_pause_ms * 2).min(PROBE_PAUSE_MAX_MS);
                due.push((replica.info.clone(), watch.clone()));
            }
        }
        due
    }

    /// Records a reply. Returns whether the reply comes from the current replica.
    pub fn on_reply(&mut self, now_ms: u64, from: &Name, reply: &WatchReply) -> bool {
        let is_from_current = self.current.as_ref() == Some(from);
        self.learn_replicas(reply, is_from_current);
        if reply.is_current
            && let Some(replica) = self.replicas.get_mut(from)
        {
            replica.answered_ms = Some(now_ms);
            replica.probe_pause_ms = PROBE_PAUSE_MIN_MS;
        }
        if !is_from_current {
            self.replace_outdated(now_ms);
            return false;
        }
        if !self.knows_zones && !reply.replicas.is_empty() {
            self.knows_zones = true;
            self.next_watch_ms = now_ms;
            // The replica of the own zone is chosen before anything is fetched from another zone.
            self.switch_to(self.preferred_replica(|_| true), now_ms);
        }
        if reply.sequence == self.sequence {
            self.awaits_reply_until_ms = 0;
        }
        if reply.watch_interval_ms > 0 {
            self.interval_ms = reply.watch_interval_ms.min(MAX_INTERVAL_MS);
        }
        if reply.is_current {
            self.confirmed_ms = now_ms;
        }
        true
    }

    /// Switches to the preferred replica if it has answered a probe.
    pub fn switch_to_preferred(&mut self, now_ms: u64) {
        let preferred = self.preferred_replica(|_| true);
        let is_answering = preferred
            .as_ref()
            .is_some_and(|id| self.replicas[id].is_answering(now_ms));
        if is_answering {
            self.switch_to(preferred, now_ms);
        }
    }

    /// Adds the replicas that a reply names. If the reply is current, forgets the others, except those that the settings
    /// name.
    fn learn_replicas(&mut self, reply: &WatchReply, is_from_current: bool) {
        for info in &reply.replicas {
            let known = self
                .replicas
                .entry(info.id.clone())
                .or_insert_with(|| KnownReplica::new(info.clone(), false));
            // A replica known only from the settings has no availability zone yet.
            known.info.clone_from(info);
            known.is_listed = true;
        }
        if reply.replicas.is_empty() || !reply.is_current || !is_from_current {
            return;
        }
        let named: Set<&Name> = reply.replicas.iter().map(|info| &info.id).collect();
        self.replicas.retain(|id, replica| {
            replica.is_listed = named.contains(id);
            replica.is_listed || replica.is_contact || self.current.as_ref() == Some(id)
        });
    }

    /// Leaves the current replica if it has not stated for too long that its state is current and another one has.
    fn replace_outdated(&mut self, now_ms: u64) {
        if self.age_ms(now_ms) > REPLY_TIMEOUT_MS {
            let answering = self.preferred_replica(|replica| replica.is_answering(now_ms));
            self.switch_to(answering, now_ms);
        }
    }

    fn switch_to(&mut self, replica: Option<Name>, now_ms: u64) {
        if replica.is_none() || replica == self.current {
            return;
        }
        if let Some(left) = self.current.take()
            && let Some(left) = self.replicas.get_mut(&left)
        {
            // A replica that is left for a preferred one still answers.
            if !left.is_answering(now_ms) {
                left.next_probe_ms = now_ms + LEFT_PAUSE_MS;
            }
        }
        self.current = replica;
        self.confirmed_ms = now_ms;
        self.next_watch_ms = now_ms;
        self.awaits_reply_until_ms = 0;
    }

    /// Returns the preferred one of some replicas.
    fn preferred_replica(&self, is_candidate: impl Fn(&KnownReplica) -> bool) -> Option<Name> {
        let candidates = self
            .replicas
            .values()
            .filter(|replica| is_candidate(replica));
        let preferred = candidates.min_by_key(|replica| self.preference(replica));
        preferred.map(|replica| replica.info.id.clone())
    }

    /// Returns a key that is lowest for the preferred replica: one that other replicas name, in the entry's availability
    /// zone. The entries of a zone prefer the same one, so that they share their load through it. Entries of different
    /// zones, and those that do not know the zones yet, prefer different ones.
    fn preference(&self, replica: &KnownReplica) -> (bool, bool, u64) {
        let hasher = foldhash::fast::FixedState::default();
        let zone = &self.info.availability_zone;
        let spread_by = if self.knows_zones {
            zone
        } else {
            &self.info.id
        };
        (
            self.knows_zones && !replica.is_listed,
            replica.info.availability_zone != *zone,
            hasher.hash_one((spread_by, &replica.info.id)),
        )
    }
}
