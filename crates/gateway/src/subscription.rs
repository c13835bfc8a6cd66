//! An entry's subscription to a replica: the choice of the replica, and the age of its last reply.

use conf::{Map, Name};
use fleet::{Backlog, InstanceInfo, PartUse, Watch, WatchReply};

/// Interval of the subscription's messages, in milliseconds. The messages also carry the backlog to the other entries,
/// which changes quickly: a prompt is computed within 20 to 300 ms.
const WATCH_INTERVAL_MS: u64 = 100;
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
        self.current.is_some() && now_ms >= self.next_watch_ms
    }

    /// Returns the message that is due and its receiver.
    pub fn watch(
        &mut self,
        now_ms: u64,
        version: u64,
        listing: u64,
        backlog: Vec<Backlog>,
        parts: Vec<PartUse>,
    ) -> Option<(InstanceInfo, Watch)> {
        let (to, _) = self.replicas.get(self.current.as_ref()?)?;
        self.next_watch_ms = now_ms + WATCH_INTERVAL_MS;
        self.sequence += 1;
        let watch = Watch {
            info: self.info.clone(),
            sequence: self.sequence,
            accepts_callers: true,
            version,
            listing,
            backlog,
            parts,
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
            self.confirmed_ms = now_ms;
            self.next_watch_ms = now_ms;
        }
    }

    fn switch_replica(&mut self, now_ms: u64) {
        if let Some(current) = &self.current
            && let Some((_, avoid_until_ms)) = self.replicas.get_mut(current)
        {
            *avoid_until_ms = now_ms + AVOIDANCE_MS;
        }
        self.current = self.preferred_replica(now_ms);
        self.confirmed_ms = now_ms;
        self.next_watch_ms = now_ms;
    }

    /// Returns the preferred replica: one that has not failed recently, in the entry's availability zone, with the
    /// lowest id, so that the entries of a zone share one replica and, through the replica, their backlog.
    fn preferred_replica(&self, now_ms: u64) -> Option<Name> {
        let zone = &self.info.availability_zone;
        let sort_key = |(info, avoid_until_ms): &(InstanceInfo, u64)| {
            let avoided_ms = match *avoid_until_ms > now_ms {
                true => *avoid_until_ms,
                false => 0,
            };
            (avoided_ms, info.availability_zone != *zone, info.id.clone())
        };
        let preferred = self
            .replicas
            .values()
            .min_by_key(|replica| sort_key(replica));
        preferred.map(|(info, _)| info.id.clone())
    }
}
