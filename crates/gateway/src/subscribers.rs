//! The subscribers of a replica: what each of them holds, and the replies that bring them up to date.

use std::collections::VecDeque;

use bytes::Bytes;
use conf::{Map, Name};
use fleet::{InstanceInfo, LimitShare, PrefixUse, UpstreamLoad, Watch, WatchReply};
use quarantine::Collector;

use crate::limits::ReportedLimits;
use crate::listing::{LISTING_NOT_NEEDED, Listing, NO_LISTING};
use crate::loads::ZoneLoads;
use crate::speed_reports::RecentSpeeds;

/// Time without a message after which a subscriber is removed, in milliseconds: a few intervals of its messages.
const SUBSCRIBER_TIMEOUT_MS: u64 = 3_000;
/// Messages of entries that a replica handles in a second. Each of them costs about a millisecond of a small core.
const MAX_WATCHES_PER_S: u64 = 250;
/// Shortest interval of an entry's messages, in milliseconds. The messages also carry the load to the other entries,
/// which changes quickly: a prompt is computed within 20 to 300 ms.
const MIN_WATCH_INTERVAL_MS: u64 = 100;
/// Interval at which an entry gets its shares of limits, in milliseconds.
const SHARES_INTERVAL_MS: u64 = 400;
/// Replies to a subscriber from one with the known replicas to the next. The replicas change rarely.
const REPLIES_PER_REPLICA_LIST: u64 = 16;
/// Uses of shared prefixes in a reply that entries of the replica have reported. Older ones are left out.
const MAX_OWN_PREFIX_USES: usize = 96;
/// Uses of shared prefixes in a reply that other replicas have reported. They only show from where a prefix can be
/// fetched that no engine of the subscriber's zone has cached.
const MAX_OTHER_PREFIX_USES: usize = 32;
/// Uses of shared prefixes kept for subscribers that have not received them yet. A subscriber that lags further behind
/// misses some.
const MAX_RECENT_PREFIX_USES: usize = 1_024;

/// The state of a replica that it publishes to its subscribers.
#[derive(Clone, Copy, Debug)]
pub struct Published<'a> {
    /// Present time, in milliseconds.
    pub now_ms: u64,
    /// Whether document and list are current, as the log or a followed replica has recently confirmed.
    pub is_current: bool,
    /// Whether the log itself has recently confirmed that. Replicas rely on this only: two of them that follow each other
    /// without a leader would otherwise confirm each other for ever.
    pub is_confirmed_by_log: bool,
    /// Version of the document in force.
    pub version: u64,
    /// Time since the document is known to have been the newest, in milliseconds; none if it is not known.
    pub document_age_ms: Option<u64>,
    /// The document in force.
    pub document: &'a Bytes,
    /// The list of upstreams.
    pub listing: &'a Listing,
    /// Time since the platform confirmed the list, in milliseconds.
    pub listing_age_ms: u64,
    /// This replica and the other replicas that it knows.
    pub replicas: &'a [InstanceInfo],
    /// Number of entries that subscribe to other replicas.
    pub other_entries: u32,
    /// Parts of prompts under which engines crash.
    pub quarantine: &'a Collector,
}

#[derive(Clone, Debug)]
struct Subscriber {
    info: InstanceInfo,
    accepts_callers: bool,
    last_message_ms: u64,
    /// Number of the subscriber's last message.
    sequence: u64,
    /// Version of the document that the subscriber has, or that was sent to it.
    version: u64,
    /// Version of the list that the subscriber has, or that was sent to it.
    listing: u64,
    /// Version of the verdicts that the subscriber has, or that was sent to it.
    verdicts: u64,
    /// Number of the first message that was sent after the last document or list had arrived. The versions in earlier
    /// messages are outdated.
    trusted_sequence: u64,
    loads: Vec<UpstreamLoad>,
    /// Number of the first prefix use that the subscriber has not received.
    next_prefix_use: u64,
    /// Number of the first speed report that the subscriber has not received.
    next_speed: u64,
    /// Number of replies to the subscriber.
    replies: u64,
    /// When the subscriber next gets its shares of limits.
    next_shares_ms: u64,
}

#[derive(Clone, Debug)]
struct ReportedPrefixUse {
    /// Subscriber that reported the use.
    from: Name,
    /// Whether that subscriber is an entry.
    is_from_entry: bool,
    prefix_use: PrefixUse,
}

/// Recent uses of shared prefixes at engines, in the order of their reports.
#[derive(Clone, Debug, Default)]
struct RecentPrefixUses {
    uses: VecDeque<ReportedPrefixUse>,
    /// Number of the next prefix use.
    next: u64,
}

impl RecentPrefixUses {
    fn push(&mut self, reported: ReportedPrefixUse) {
        self.uses.push_back(reported);
        self.next += 1;
        if self.uses.len() > MAX_RECENT_PREFIX_USES {
            self.uses.pop_front();
        }
    }

    /// Returns the prefix uses from number `first` on.
    fn since(&self, first: u64) -> impl DoubleEndedIterator<Item = &ReportedPrefixUse> {
        let oldest = self.next - self.uses.len() as u64;
        let skipped = first.saturating_sub(oldest).min(self.uses.len() as u64);
        self.uses.range(skipped as usize..)
    }

    /// Returns the prefix uses from number `first` on that a subscriber has not reported itself, as many of the latest as
    /// fit into a reply.
    fn unknown_to(&self, subscriber: &Name, first: u64) -> Vec<PrefixUse> {
        let latest = |is_from_entry: bool, count| {
            self.since(first)
                .rev()
                .filter(move |reported| reported.is_from_entry == is_from_entry)
                .filter(|reported| reported.from != *subscriber)
                .take(count)
        };
        latest(true, MAX_OWN_PREFIX_USES)
            .chain(latest(false, MAX_OTHER_PREFIX_USES))
            .map(|reported| reported.prefix_use)
            .collect()
    }
}

/// The subscribers of a replica.
#[derive(Clone, Debug, Default)]
pub struct Subscribers {
    by_id: Map<Name, Subscriber>,
    loads: ZoneLoads,
    limits: ReportedLimits,
    prefix_uses: RecentPrefixUses,
    speeds: RecentSpeeds,
    /// Number of the first prefix use that has not been sent to the other replicas.
    next_unsent_prefix_use: u64,
}

impl Subscribers {
    /// Records a message. Returns whether the subscriber is new.
    pub fn on_watch(&mut self, now_ms: u64, watch: Watch) -> bool {
        let id = watch.info.id.clone();
        for prefix_use in watch.prefix_uses {
            self.prefix_uses.push(ReportedPrefixUse {
                from: id.clone(),
                is_from_entry: watch.accepts_callers,
                prefix_use,
            });
        }
        self.speeds.push(now_ms, &id, watch.speeds);
        for report in &watch.limits {
            self.limits.on_report(now_ms, report);
        }
        let previous = self.remove(&id);
        let is_new = previous.is_none();
        let mut subscriber = Subscriber {
            accepts_callers: watch.accepts_callers,
            last_message_ms: now_ms,
            sequence: watch.sequence,
            version: watch.version,
            listing: watch.listing,
            verdicts: watch.quarantine.version,
            trusted_sequence: 0,
            loads: watch.loads,
            next_prefix_use: self.prefix_uses.next,
            next_speed: self.speeds.next(),
            replies: 0,
            next_shares_ms: 0,
            info: watch.info,
        };
        // Numbers start anew with each process of the subscriber.
        let same_process = previous.filter(|previous| previous.sequence < subscriber.sequence);
        if let Some(previous) = same_process {
            subscriber.next_prefix_use = previous.next_prefix_use;
            subscriber.next_speed = previous.next_speed;
            subscriber.replies = previous.replies;
            subscriber.next_shares_ms = previous.next_shares_ms;
            if subscriber.sequence < previous.trusted_sequence {
                subscriber.version = previous.version;
                subscriber.listing = previous.listing;
                subscriber.trusted_sequence = previous.trusted_sequence;
            }
        }
        self.loads
            .add(&subscriber.info.availability_zone, &subscriber.loads);
        self.by_id.insert(id, subscriber);
        is_new
    }

    /// Removes subscribers that send no messages any more.
    pub fn expire(&mut self, now_ms: u64) {
        let expired: Vec<Name> = self
            .by_id
            .iter()
            .filter(|(_, subscriber)| now_ms - subscriber.last_message_ms > SUBSCRIBER_TIMEOUT_MS)
            .map(|(id, _)| id.clone())
            .collect();
        for id in expired {
            self.remove(&id);
        }
    }

    fn remove(&mut self, id: &Name) -> Option<Subscriber> {
        let subscriber = self.by_id.remove(id)?;
        self.loads
            .remove(&subscriber.info.availability_zone, &subscriber.loads);
        Some(subscriber)
    }

    /// Returns the number of entries that subscribe to this replica.
    pub fn entries(&self) -> u32 {
        let entries = self.by_id.values().filter(|other| other.accepts_callers);
        entries.count() as u32
    }

    /// Returns the subscribers that lack the document, the list or the verdicts.
    pub fn outdated(&self, version: u64, listing: u64, verdicts: u64) -> Vec<Name> {
        self.by_id
            .values()
            .filter(|subscriber| {
                let needs_listing = subscriber.listing != LISTING_NOT_NEEDED;
                let lacks_listing = needs_listing && subscriber.listing != listing;
                subscriber.version < version || lacks_listing || subscriber.verdicts != verdicts
            })
            .map(|subscriber| subscriber.info.id.clone())
            .collect()
    }

    /// Returns the uses of shared prefixes that entries have reported to this replica since the last call.
    pub fn take_unsent_prefix_uses(&mut self) -> Vec<PrefixUse> {
        let first = std::mem::replace(&mut self.next_unsent_prefix_use, self.prefix_uses.next);
        self.prefix_uses
            .since(first)
            .filter(|reported| reported.is_from_entry)
            .map(|reported| reported.prefix_use)
            .collect()
    }

    /// Returns the reply to the subscriber's last message, with everything that the subscriber lacks.
    pub fn reply(
        &mut self,
        id: &Name,
        published: &Published<'_>,
    ) -> Option<(InstanceInfo, WatchReply)> {
        let subscriber = self.by_id.get(id)?;
        let zone = &subscriber.info.availability_zone;
        let loads = subscriber
            .accepts_callers
            .then(|| self.loads.others(zone, &subscriber.loads));
        let limit_shares = self.limit_shares(id, published);
        let reply = WatchReply {
            loads,
            limit_shares,
            ..self.next_reply(id, published, 1)?
        };
        Some((self.by_id[id].info.clone(), reply))
    }

    /// Returns the reply to a probe, whose sender is subscribed as before.
    pub fn probe_reply(
        &mut self,
        watch: Watch,
        published: &Published<'_>,
    ) -> Option<(InstanceInfo, WatchReply)> {
        let id = watch.info.id.clone();
        let subscribed = self.remove(&id);
        self.on_watch(published.now_ms, watch);
        let reply = self.next_reply(&id, published, 1);
        let probing = self.remove(&id)?;
        if let Some(subscriber) = subscribed {
            self.loads
                .add(&subscriber.info.availability_zone, &subscriber.loads);
            self.by_id.insert(id, subscriber);
        }
        Some((probing.info, reply?))
    }

    /// Returns an entry's shares of the limits on requests, if they are due.
    fn limit_shares(&mut self, id: &Name, published: &Published<'_>) -> Vec<LimitShare> {
        let now_ms = published.now_ms;
        self.limits.expire(now_ms);
        let Some(subscriber) = self.by_id.get(id) else {
            return Vec::new();
        };
        if self.limits.is_empty()
            || !subscriber.accepts_callers
            || now_ms < subscriber.next_shares_ms
        {
            return Vec::new();
        }
        let zone = subscriber.info.availability_zone.clone();
        let in_zone = self
            .by_id
            .values()
            .filter(|other| other.accepts_callers && other.info.availability_zone == zone);
        let entries: Vec<&Name> = in_zone.map(|other| &other.info.id).collect();
        let shares = self.limits.shares(now_ms, id, &zone, &entries, |key| {
            published.listing.zone_of(key)
        });
        if let Some(subscriber) = self.by_id.get_mut(id) {
            subscriber.next_shares_ms = now_ms + SHARES_INTERVAL_MS;
        }
        shares
    }

    /// Returns a message to a subscriber that has not asked for it, with everything that the subscriber lacks.
    pub fn notification(
        &mut self,
        id: &Name,
        published: &Published<'_>,
    ) -> Option<(InstanceInfo, WatchReply)> {
        // The subscriber may send its next message before the notification arrives.
        let reply = self.next_reply(id, published, 2)?;
        Some((self.by_id[id].info.clone(), reply))
    }

    fn next_reply(
        &mut self,
        id: &Name,
        published: &Published<'_>,
        outdated_messages: u64,
    ) -> Option<WatchReply> {
        let own_entries = self.entries();
        let subscriber = self.by_id.get_mut(id)?;
        let lacks_document = subscriber.version < published.version;
        let lacks_listing = subscriber.listing != published.listing.version()
            && subscriber.listing != LISTING_NOT_NEEDED
            && published.listing.version() != NO_LISTING;
        let accepts_callers = subscriber.accepts_callers;
        let has_replicas = subscriber.replies.is_multiple_of(REPLIES_PER_REPLICA_LIST);
        let first_prefix_use = subscriber.next_prefix_use;
        let prefix_uses = match accepts_callers {
            true => self.prefix_uses.unknown_to(id, first_prefix_use),
            false => Vec::new(),
        };
        let speeds = match accepts_callers {
            true => self
                .speeds
                .unknown_to(published.now_ms, id, subscriber.next_speed),
            false => Vec::new(),
        };
        let reply = WatchReply {
            sequence: subscriber.sequence,
            is_current: match accepts_callers {
                true => published.is_current,
                false => published.is_confirmed_by_log,
            },
            version: published.version,
            document_age_ms: published.document_age_ms,
            document: lacks_document.then(|| published.document.clone()),
            listing: published.listing.version(),
            listing_age_ms: published.listing_age_ms,
            listing_update: lacks_listing
                .then(|| published.listing.update_since(subscriber.listing)),
            replicas: match has_replicas {
                true => published.replicas.to_vec(),
                false => Vec::new(),
            },
            entries: match accepts_callers {
                true => own_entries + published.other_entries,
                false => own_entries,
            },
            watch_interval_ms: watch_interval_ms(own_entries),
            loads: None,
            prefix_uses,
            limit_shares: Vec::new(),
            speeds,
            quarantine: published
                .quarantine
                .update(published.now_ms, subscriber.verdicts),
        };
        subscriber.replies += 1;
        subscriber.next_prefix_use = self.prefix_uses.next;
        subscriber.next_speed = self.speeds.next();
        if lacks_document {
            subscriber.version = published.version;
        }
        if lacks_listing {
            subscriber.listing = published.listing.version();
        }
        subscriber.verdicts = reply.quarantine.version;
        if lacks_document || lacks_listing {
            subscriber.trusted_sequence = subscriber.sequence + outdated_messages;
        }
        Some(reply)
    }
}

/// Returns the interval at which each of a replica's entries is to send its messages, in milliseconds.
fn watch_interval_ms(entries: u32) -> u64 {
    (u64::from(entries) * 1_000 / MAX_WATCHES_PER_S).max(MIN_WATCH_INTERVAL_MS)
}
