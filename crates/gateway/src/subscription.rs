//! An entry's subscription to a replica: which one, and what it brought.

use conf::{Map, Name};
use fleet::{Backlog, InstanceInfo, PartUse, Watch, WatchReply};

/// Interval of the subscription's messages, in milliseconds. They also carry the backlog to the other entries, and a
/// prompt is computed within 20 to 300 ms.
const WATCH_INTERVAL_MS: u64 = 100;
/// Silence after which another replica is asked, in milliseconds: two messages and the time for their answers.
const REPLY_TIMEOUT_MS: u64 = 900;
/// Time for which a replica that failed is asked last, in milliseconds.
const AVOID_MS: u64 = 3_000;

/// State of the subscription.
#[derive(Clone, Debug)]
pub struct Subscription {
    info: InstanceInfo,
    /// Known replicas, with the time until which each is asked last.
    replicas: Map<Name, (InstanceInfo, u64)>,
    current: Option<Name>,
    /// When the current replica was first asked, or last answered with a recent version.
    heard_ms: u64,
    next_watch_ms: u64,
    sequence: u64,
}

impl Subscription {
    /// Starts with the replicas of the settings.
    pub fn new(info: InstanceInfo, contacts: Vec<InstanceInfo>) -> Self {
        Self {
            info,
            replicas: contacts
                .into_iter()
                .map(|contact| (contact.id.clone(), (contact, 0)))
                .collect(),
            current: None,
            heard_ms: 0,
            next_watch_ms: 0,
            sequence: 0,
        }
    }

    /// Returns the replica that is asked.
    pub fn current(&self) -> Option<&Name> {
        self.current.as_ref()
    }

    /// Returns how long ago the replica confirmed that what the entry holds is recent.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.heard_ms)
    }

    /// Adds replicas from the settings.
    pub fn add_contacts(&mut self, contacts: Vec<InstanceInfo>) {
        for contact in contacts {
            let id = contact.id.clone();
            self.replicas.entry(id).or_insert((contact, 0));
        }
    }

    /// Returns whether a message is due. Turns to another replica if the current one is silent or outdated.
    pub fn is_due(&mut self, now_ms: u64) -> bool {
        if self.current.is_none() || self.age_ms(now_ms) > REPLY_TIMEOUT_MS {
            self.turn(now_ms);
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

    /// Takes note of an answer. Returns whether it comes from the current replica.
    pub fn on_reply(&mut self, now_ms: u64, from: &Name, reply: &WatchReply) -> bool {
        for info in &reply.replicas {
            let known = self.replicas.entry(info.id.clone());
            // A contact of the settings has no availability zone yet.
            known
                .and_modify(|(held, _)| held.clone_from(info))
                .or_insert_with(|| (info.clone(), 0));
        }
        if self.current.as_ref() != Some(from) {
            return false;
        }
        if reply.is_current {
            self.heard_ms = now_ms;
        }
        true
    }

    /// Moves to the preferred replica once it is known and has not failed lately.
    pub fn prefer_near(&mut self, now_ms: u64) {
        let best = self.best(now_ms);
        if best.is_some() && best != self.current {
            self.current = best;
            self.heard_ms = now_ms;
            self.next_watch_ms = now_ms;
        }
    }

    fn turn(&mut self, now_ms: u64) {
        if let Some(current) = &self.current
            && let Some((_, avoid_until_ms)) = self.replicas.get_mut(current)
        {
            *avoid_until_ms = now_ms + AVOID_MS;
        }
        self.current = self.best(now_ms);
        self.heard_ms = now_ms;
        self.next_watch_ms = now_ms;
    }

    /// Returns the replica to ask: one that has not failed lately, in the own availability zone, lowest id first, so
    /// that the entries of a zone share one replica and through it their backlog.
    fn best(&self, now_ms: u64) -> Option<Name> {
        let zone = &self.info.availability_zone;
        let order = |(info, avoid_until_ms): &(InstanceInfo, u64)| {
            let avoided_ms = match *avoid_until_ms > now_ms {
                true => *avoid_until_ms,
                false => 0,
            };
            (avoided_ms, info.availability_zone != *zone, info.id.clone())
        };
        let best = self.replicas.values().min_by_key(|one| order(one));
        best.map(|(info, _)| info.id.clone())
    }
}
