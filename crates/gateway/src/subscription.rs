//! An entry's subscription to a replica: the choice of the replica, and the age of its last reply.

use std::hash::BuildHasher;

use conf::{Map, Name};
use fleet::{InstanceInfo, PrefixUse, UpstreamLoad, Watch, WatchReply};
use quarantine::Suspects;

use crate::listing::LISTING_NOT_NEEDED;

/// Interval of the subscription's messages until the replica has stated one, in milliseconds.
const INITIAL_INTERVAL_MS: u64 = 100;
/// Longest interval that an entry accepts, in milliseconds. Replicas remove subscribers after a few seconds.
const MAX_INTERVAL_MS: u64 = 1_000;
/// Time after which a message without a reply counts as lost, in milliseconds. Until then no further message is sent, so
/// that a replica or a link that is slow does not get more of them.
const UNANSWERED_MS: u64 = 300;
/// Time without a current reply after which the entry switches to another replica, in milliseconds: two messages and
/// the time for their replies.
const REPLY_TIMEOUT_MS: u64 = 900;
/// Time for which a failed replica comes last in the choice, in milliseconds.
const AVOIDANCE_MS: u64 = 3_000;

/// State of the subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    info: InstanceInfo,
    /// Known replicas by instance id, each with the time until which it comes last in the choice.
    replicas: Map<Name, (InstanceInfo, u64)>,
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
        Self {
            info,
            replicas: contacts
                .into_iter()
                .map(|contact| (contact.id.clone(), (contact, 0)))
                .collect(),
            current: None,
            confirmed_ms: 0,
            next_watch_ms: 0,
            interval_ms: INITIAL_INTERVAL_MS,
            awaits_reply_until_ms: 0,
            knows_zones: false,
            sequence: 0,
        }
    }

    /// Returns the replica to which the entry subscribes.
    pub fn current(&self) -> Option<&Name> {
        self.current.as_ref()
    }

    /// Returns the time since the replica last confirmed that its state is current, in milliseconds.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.confirmed_ms)
    }

    /// Adds replicas from the settings.
    pub fn add_contacts(&mut self, contacts: Vec<InstanceInfo>) {
        for contact in contacts {
            let id = contact.id.clone();
            self.replicas.entry(id).or_insert((contact, 0));
        }
    }

    /// Returns whether a message is due. Switches to another replica if the current one is unresponsive or outdated.
    pub fn is_due(&mut self, now_ms: u64) -> bool {
        if self.current.is_none() || self.age_ms(now_ms) > REPLY_TIMEOUT_MS {
            self.switch_replica(now_ms);
        }
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
    ) -> Option<(InstanceInfo, Watch)> {
        let (to, _) = self.replicas.get(self.current.as_ref()?)?;
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
            limits: Vec::new(),
        };
        Some((to.clone(), watch))
    }

    /// Records a reply. Returns whether the reply comes from the current replica.
    pub fn on_reply(&mut self, now_ms: u64, from: &Name, reply: &WatchReply) -> bool {
        for info in &reply.replicas {
            let replica = self.replicas.entry(info.id.clone());
            // A replica known only from the settings has no availability zone yet.
            replica
                .and_modify(|(known_info, _)| known_info.clone_from(info))
                .or_insert_with(|| (info.clone(), 0));
        }
        if self.current.as_ref() != Some(from) {
            return false;
        }
        if !self.knows_zones && !reply.replicas.is_empty() {
            self.knows_zones = true;
            self.next_watch_ms = now_ms;
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

    /// Switches to the preferred replica if another replica is the current one.
    pub fn switch_to_preferred(&mut self, now_ms: u64) {
        let preferred = self.preferred_replica(now_ms);
        if preferred.is_some() && preferred != self.current {
            self.current = preferred;
            self.subscribe_again(now_ms);
        }
    }

    fn switch_replica(&mut self, now_ms: u64) {
        if let Some(current) = &self.current
            && let Some((_, avoid_until_ms)) = self.replicas.get_mut(current)
        {
            *avoid_until_ms = now_ms + AVOIDANCE_MS;
        }
        self.current = self.preferred_replica(now_ms);
        self.subscribe_again(now_ms);
    }

    fn subscribe_again(&mut self, now_ms: u64) {
        self.confirmed_ms = now_ms;
        self.next_watch_ms = now_ms;
        self.awaits_reply_until_ms = 0;
    }

    /// Returns the preferred replica: one that has not failed recently, in the entry's availability zone. The entries of
    /// a zone prefer the same one, so that they share their load through it. Entries of different zones, and those that
    /// do not know the zones yet, prefer different ones.
    fn preferred_replica(&self, now_ms: u64) -> Option<Name> {
        let hasher = foldhash::fast::FixedState::default();
        let zone = &self.info.availability_zone;
        let spread_by = if self.knows_zones {
            zone
        } else {
            &self.info.id
        };
        let sort_key = |(info, avoid_until_ms): &(InstanceInfo, u64)| {
            let avoided_ms = match *avoid_until_ms > now_ms {
                true => *avoid_until_ms,
                false => 0,
            };
            let is_other_zone = info.availability_zone != *zone;
            (
                avoided_ms,
                is_other_zone,
                hasher.hash_one((spread_by, &info.id)),
            )
        };
        let preferred = self
            .replicas
            .values()
            .min_by_key(|replica| sort_key(replica));
        preferred.map(|(info, _)| info.id.clone())
    }
}
