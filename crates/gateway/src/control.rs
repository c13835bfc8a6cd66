//! The reducer of a replica: the published document, the list of upstreams, and who subscribes to both.

use std::collections::VecDeque;
use std::hash::BuildHasher;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use conf::{Map, Name};
use fleet::{Backlog, InstanceInfo, PartUse, PeerMessage, UpstreamRecord, Watch, WatchReply};
use quorum::{
    EntryBody, Input, Output, RecoveredState, Replica, ReplicaId, ReplicaSettings, Write,
};

use crate::stages::{RoleOrder, Stages};
use crate::voters::{self, Candidates, VoterChange};

/// Interval of the leader's heartbeats, in milliseconds. Several fit into an election timeout on a lossy link.
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Shortest election timeout, in milliseconds: four heartbeats. After a restart of all replicas, entries wait for it.
const ELECTION_TIMEOUT_MIN_MS: u64 = 480;
/// Longest election timeout, in milliseconds.
const ELECTION_TIMEOUT_MAX_MS: u64 = 960;
/// Log entries after which a snapshot is taken. Each may hold a document of 100 KB.
const SNAPSHOT_ENTRIES: u64 = 64;
/// Age of the leader's last message beyond which the document may be outdated, in milliseconds.
const CURRENT_MAX_AGE_MS: u64 = 800;
/// Age of the last complete listing beyond which another replica is preferred, in milliseconds.
const LISTING_MAX_AGE_MS: u64 = 2_500;
/// Interval of reading the platform's list, in milliseconds. The fastest bound on draining upstreams is 3 s.
const LISTING_INTERVAL_MS: u64 = 1_000;
/// Silence after which a subscriber is forgotten, in milliseconds: a few intervals of its messages.
const WATCHER_TIMEOUT_MS: u64 = 3_000;
/// Interval of the subscriptions between replicas, in milliseconds.
const REPLICA_WATCH_INTERVAL_MS: u64 = 500;
/// Time after which an operator's call that has not been decided gets no clear answer, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// Interval between two decisions on the member set, in milliseconds.
const VOTER_CHANGE_INTERVAL_MS: u64 = 500;

/// Time for which a new leader gives no orders, in milliseconds, besides the lease of the holder before it.
const ORDER_QUIET_MARGIN_MS: u64 = 1_000;
/// Interval of decisions on roles, in milliseconds.
const STAGE_INTERVAL_MS: u64 = 500;

/// Prompt parts kept for subscribers that have not got them yet. A subscriber that lags further behind misses some.
const RECENT_PARTS: usize = 1_024;

/// What a replica is told at its start.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Identity of the instance.
    pub info: InstanceInfo,
    /// Identity of its storage.
    pub storage_id: u64,
    /// Instances that form the log; empty unless the whole system starts for the first time.
    pub founders: Vec<Name>,
    /// Instances that may know of the log.
    pub contacts: Vec<InstanceInfo>,
    /// Voters to reach.
    pub target_voters: usize,
    /// Time for which a holder of the right to give orders keeps it, in milliseconds.
    pub order_lease_ms: u64,
    /// Seed of election timeouts.
    pub seed: u64,
}

/// An input of the replica's reducer.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// A message of another instance.
    Peer { from: Name, message: PeerMessage },
    /// All writes up to a ticket are synced.
    Persisted { ticket: u64 },
    /// An operator publishes a valid document.
    Publish {
        call: u64,
        version: u64,
        document: Bytes,
    },
    /// An operator reads the newest document.
    Describe { call: u64 },
    /// The platform's list was read in full.
    Listed { upstreams: Vec<UpstreamRecord> },
    /// The platform's list could not be read.
    ListingFailed { reason: String },
    /// An engine has answered an order, or has not.
    Ordered {
        upstream: Name,
        term: u64,
        outcome: OrderOutcome,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries it out, or it holds already.
    Accepted,
    /// The engine refuses it now.
    Refused,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// There was no answer; the order may still be carried out.
    Unknown,
}

/// Answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The version is in force, or a higher one is.
    Acknowledged { version: u64 },
    /// The newest document; none has been published if the version is 0.
    Document { version: u64, document: Bytes },
    /// The leader may decide it.
    Redirect { leader: Name },
    /// Nothing is known for certain.
    Unavailable { reason: &'static str },
}

/// An output of the replica's reducer, to be carried out in order.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Make a write durable, then report its ticket.
    Persist { ticket: u64, write: Write },
    /// Send a message, which may be lost.
    Send {
        to: Name,
        address: Name,
        message: Box<PeerMessage>,
    },
    /// Answer an operator's call.
    Answer { call: u64, answer: Answer },
    /// Read the platform's list.
    ReadList,
    /// Order an engine to change its role, with the term as fencing token.
    Order { term: u64, order: RoleOrder },
    /// Write a log line.
    Log { text: String },
}

#[derive(Clone, Debug)]
enum Call {
    /// Waits for the entry at `index` in `term`.
    Publish { index: u64, term: u64, version: u64 },
    /// Waits for a confirmed read.
    Confirm(Read),
    /// Waits until `index` is applied.
    Read { index: u64, read: Read },
}

#[derive(Clone, Debug)]
enum Read {
    Describe,
    Publish { version: u64, document: Bytes },
}

#[derive(Clone, Debug)]
struct Watcher {
    info: InstanceInfo,
    accepts_callers: bool,
    heard_ms: u64,
    sequence: u64,
    version: u64,
    listing: u64,
    backlog: Vec<Backlog>,
    /// Number of the first prompt part that the subscriber has not got.
    next_part: u64,
}

/// Prompt parts that engines have got lately, in order of arrival.
#[derive(Debug, Default)]
struct RecentParts {
    /// Each part with the subscriber that reported it.
    parts: VecDeque<(Name, PartUse)>,
    /// Number of the part after the last.
    next: u64,
}

impl RecentParts {
    fn push(&mut self, from: &Name, part: PartUse) {
        self.parts.push_back((from.clone(), part));
        self.next += 1;
        if self.parts.len() > RECENT_PARTS {
            self.parts.pop_front();
        }
    }

    /// Returns the parts from number `first` on, with the subscriber that reported each.
    fn since(&self, first: u64) -> impl Iterator<Item = &(Name, PartUse)> {
        let oldest = self.next - self.parts.len() as u64;
        self.parts
            .iter()
            .skip(first.saturating_sub(oldest) as usize)
    }
}

/// A replica's state.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    replica: Replica,
    applied_index: u64,
    version: u64,
    document: Bytes,
    listing: u64,
    upstreams: Vec<UpstreamRecord>,
    listed_ms: Option<u64>,
    next_listing_ms: u64,
    watchers: Map<Name, Watcher>,
    /// Whether subscribers lack something.
    has_news: bool,
    /// Other replicas, by id, with the number of entries that subscribe to each.
    replicas: Map<Name, (InstanceInfo, u32)>,
    recent_parts: RecentParts,
    /// Number of the first prompt part that the other replicas have not got.
    next_part: u64,
    next_watch_ms: u64,
    next_change_ms: u64,
    stages: Stages,
    next_stages_ms: u64,
    /// Term in which this replica leads, and since when.
    leads_since: Option<(u64, u64)>,
    /// Term in which an engine has seen a higher fencing token: no more orders are given in it.
    fenced_term: u64,
    sequence: u64,
    calls: Map<u64, (u64, Call)>,
    outputs: Vec<Output>,
    pending: VecDeque<Input>,
    next_token: u64,
}

impl Control {
    /// Creates a replica from what its disk holds.
    pub fn new(settings: ControlSettings, recovered: RecoveredState, now_ms: u64) -> Self {
        let replica_settings = ReplicaSettings {
            id: ReplicaId {
                instance: settings.info.id.clone(),
                storage_id: settings.storage_id,
            },
            initial_voters: settings.founders.clone(),
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            election_timeout_min_ms: ELECTION_TIMEOUT_MIN_MS,
            election_timeout_max_ms: ELECTION_TIMEOUT_MAX_MS,
            snapshot_entries: SNAPSHOT_ENTRIES,
            seed: settings.seed,
        };
        let mut replica = Replica::new(replica_settings, recovered, now_ms);
        replica.set_join_targets(contact_ids(&settings));
        Self {
            replicas: settings
                .contacts
                .iter()
                .filter(|contact| contact.id != settings.info.id)
                .map(|contact| (contact.id.clone(), (contact.clone(), 0)))
                .collect(),
            settings,
            replica,
            applied_index: 0,
            version: 0,
            document: Bytes::new(),
            listing: 0,
            upstreams: Vec::new(),
            listed_ms: None,
            next_listing_ms: now_ms,
            watchers: Map::default(),
            has_news: false,
            recent_parts: RecentParts::default(),
            next_part: 0,
            next_watch_ms: now_ms,
            next_change_ms: now_ms,
            stages: Stages::default(),
            next_stages_ms: now_ms,
            leads_since: None,
            fenced_term: 0,
            sequence: 0,
            calls: Map::default(),
            outputs: Vec::new(),
            pending: VecDeque::new(),
            next_token: 1 << 62,
        }
    }

    /// Handles one event and appends the effects.
    pub fn step(&mut self, now_ms: u64, event: ControlEvent, effects: &mut Vec<ControlEffect>) {
        match event {
            ControlEvent::Tick => self.on_tick(now_ms, effects),
            ControlEvent::Peer { from, message } => self.on_peer(now_ms, from, message, effects),
            ControlEvent::Persisted { ticket } => self.input(Input::Persisted { ticket }),
            ControlEvent::Publish {
                call,
                version,
                document,
            } => self.on_publish(now_ms, call, version, document),
            ControlEvent::Describe { call } => {
                self.confirm(now_ms, call, Read::Describe);
            }
            ControlEvent::Listed { upstreams } => self.on_listed(now_ms, upstreams, effects),
            ControlEvent::Ordered {
                upstream,
                term,
                outcome,
            } => {
                if outcome == OrderOutcome::Fenced {
                    self.fenced_term = self.fenced_term.max(term);
                }
                log(
                    effects,
                    format!("upstream={upstream} term={term} order={outcome:?}"),
                );
            }
            ControlEvent::ListingFailed { reason } => log(
                effects,
                format!(
                    "list=unread reason={reason:?} age_ms={}",
                    self.listing_age_ms(now_ms)
                ),
            ),
        }
        self.run_replica(now_ms, effects);
        // After a restart many versions are applied at once, of which subscribers need the last.
        if std::mem::take(&mut self.has_news) {
            self.push_to_entries(now_ms, effects);
        }
    }

    /// Returns the replica's state, for status and metrics.
    pub fn status(&self) -> quorum::Status {
        self.replica.status()
    }

    /// Returns the version in force on this replica.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn input(&mut self, input: Input) {
        self.pending.push_back(input);
    }

    fn run_replica(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        while let Some(input) = self.pending.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.replica.step(now_ms, input, &mut outputs);
            for output in outputs.drain(..) {
                self.on_output(now_ms, output, effects);
            }
            self.outputs = outputs;
        }
    }

    fn on_tick(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.input(Input::Tick);
        self.watchers
            .retain(|_, watcher| now_ms - watcher.heard_ms <= WATCHER_TIMEOUT_MS);
        self.expire_calls(now_ms, effects);
        let has_entries = self.watchers.values().any(|one| one.accepts_callers);
        if now_ms >= self.next_listing_ms && (has_entries || self.listed_ms.is_none()) {
            self.next_listing_ms = now_ms + LISTING_INTERVAL_MS;
            effects.push(ControlEffect::ReadList);
        }
        if now_ms >= self.next_watch_ms {
            self.next_watch_ms = now_ms + REPLICA_WATCH_INTERVAL_MS;
            self.watch_replicas(effects);
        }
        if now_ms >= self.next_change_ms {
            self.next_change_ms = now_ms + VOTER_CHANGE_INTERVAL_MS;
            self.change_voters(effects);
        }
        if now_ms >= self.next_stages_ms {
            self.next_stages_ms = now_ms + STAGE_INTERVAL_MS;
            self.order_stages(now_ms, effects);
        }
    }

    /// Orders roles, once the orders of an earlier leader cannot be under way any more.
    fn order_stages(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let status = self.replica.status();
        if !status.is_leader {
            self.leads_since = None;
            return;
        }
        let since = match self.leads_since {
            Some((term, since_ms)) if term == status.term => since_ms,
            _ => {
                self.leads_since = Some((status.term, now_ms));
                self.stages = Stages::default();
                now_ms
            }
        };
        let quiet_ms = self.settings.order_lease_ms + ORDER_QUIET_MARGIN_MS;
        let is_listed = self.listing_age_ms(now_ms) <= LISTING_MAX_AGE_MS;
        if now_ms - since < quiet_ms || !is_listed || self.fenced_term == status.term {
            return;
        }
        for order in self.stages.next_orders(now_ms, &self.upstreams) {
            log(
                effects,
                format!(
                    "upstream={} role={:?} term={} decision=order listing_age_ms={}",
                    order.upstream,
                    order.role,
                    status.term,
                    self.listing_age_ms(now_ms)
                ),
            );
            effects.push(ControlEffect::Order {
                term: status.term,
                order,
            });
        }
    }

    fn change_voters(&mut self, effects: &mut Vec<ControlEffect>) {
        if !self.replica.status().is_leader {
            return;
        }
        let mut zones: Map<Name, Name> = self
            .replicas
            .values()
            .map(|(info, _)| (info.id.clone(), info.availability_zone.clone()))
            .collect();
        let own = &self.settings.info;
        zones.insert(own.id.clone(), own.availability_zone.clone());
        let candidates = Candidates {
            members_ms: self.replica.member_activity_ages_ms(),
            joiners: self.replica.joiners(voters::REPLACE_AFTER_MS),
            zones,
            target: self.settings.target_voters,
        };
        let Some(change) = voters::next_change(&candidates) else {
            return;
        };
        log(effects, format!("voters=changing change={change:?}"));
        let token = self.token();
        self.input(match change {
            VoterChange::Add(new) => Input::AddVoter { token, new },
            VoterChange::Replace { old, new } => Input::ReplaceVoter { token, old, new },
        });
    }

    fn token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn watch_replicas(&mut self, effects: &mut Vec<ControlEffect>) {
        self.sequence += 1;
        let watch = Watch {
            info: self.settings.info.clone(),
            sequence: self.sequence,
            // A replica takes the document from the log and reads the list itself.
            version: u64::MAX,
            listing: u64::MAX,
            parts: self.parts_of_entries(),
            ..Watch::default()
        };
        self.next_part = self.recent_parts.next;
        for (info, _) in self.replicas.values() {
            effects.push(send(info, PeerMessage::Watch(watch.clone())));
        }
    }

    /// Returns the prompt parts that entries have reported here since the last message to the other replicas.
    fn parts_of_entries(&self) -> Vec<PartUse> {
        self.recent_parts
            .since(self.next_part)
            .filter(|(from, _)| !self.replicas.contains_key(from))
            .map(|(_, part)| part.clone())
            .collect()
    }

    fn on_peer(
        &mut self,
        now_ms: u64,
        from: Name,
        message: PeerMessage,
        effects: &mut Vec<ControlEffect>,
    ) {
        match message {
            PeerMessage::Quorum { from, to, message } => {
                let own = self.settings.storage_id;
                // Storage id 0 stands for whichever replica runs on the instance.
                if to.storage_id == 0 || to.storage_id == own {
                    self.input(Input::Receive { from, message });
                }
            }
            PeerMessage::Watch(watch) => self.on_watch(now_ms, watch, effects),
            PeerMessage::WatchReply(reply) => self.on_watch_reply(&from, reply),
            _ => log(
                effects,
                format!("peer={from} message=unexpected outcome=dropped"),
            ),
        }
    }

    fn on_watch(&mut self, now_ms: u64, watch: Watch, effects: &mut Vec<ControlEffect>) {
        let id = watch.info.id.clone();
        if !watch.accepts_callers {
            let known = self.replicas.contains_key(&id);
            let entries = self.replicas.get(&id).map_or(0, |(_, entries)| *entries);
            self.replicas
                .insert(id.clone(), (watch.info.clone(), entries));
            if !known {
                log(effects, format!("replica={id} outcome=discovered"));
                self.replica
                    .set_join_targets(self.replicas.keys().cloned().collect());
            }
        }
        for part in watch.parts {
            self.recent_parts.push(&id, part);
        }
        let next_part = self
            .watchers
            .get(&id)
            .map_or(self.recent_parts.next, |known| known.next_part);
        let known = self.watchers.insert(
            id.clone(),
            Watcher {
                info: watch.info,
                accepts_callers: watch.accepts_callers,
                heard_ms: now_ms,
                sequence: watch.sequence,
                version: watch.version,
                listing: watch.listing,
                backlog: watch.backlog,
                next_part,
            },
        );
        if known.is_none() && watch.accepts_callers {
            log(effects, format!("entry={id} outcome=subscribed"));
        }
        self.reply(now_ms, &id, effects);
    }

    fn on_watch_reply(&mut self, from: &Name, reply: WatchReply) {
        if let Some((_, entries)) = self.replicas.get_mut(from) {
            *entries = reply.entries;
        }
        for info in reply.replicas {
            if info.id != self.settings.info.id {
                self.replicas.entry(info.id.clone()).or_insert((info, 0));
            }
        }
    }

    /// Tells a subscriber what it lacks, and marks that as sent.
    fn reply(&mut self, now_ms: u64, id: &Name, effects: &mut Vec<ControlEffect>) {
        let is_current = self.is_current(now_ms);
        let own_entries = self
            .watchers
            .values()
            .filter(|one| one.accepts_callers)
            .count() as u32;
        let other_entries: u32 = self.replicas.values().map(|(_, entries)| entries).sum();
        let backlog = self.backlog_beside(id);
        let mut replicas: Vec<InstanceInfo> = self
            .replicas
            .values()
            .map(|(info, _)| info.clone())
            .collect();
        replicas.push(self.settings.info.clone());
        let Some(watcher) = self.watchers.get_mut(id) else {
            return;
        };
        let lacks_document = watcher.version < self.version;
        let lacks_listing = watcher.listing != self.listing
            && watcher.listing != u64::MAX
            && self.listed_ms.is_some();
        let reply = WatchReply {
            sequence: watcher.sequence,
            is_current,
            version: self.version,
            document: lacks_document.then(|| self.document.clone()),
            listing: self.listing,
            upstreams: lacks_listing.then(|| self.upstreams.clone()),
            replicas,
            entries: match watcher.accepts_callers {
                true => own_entries + other_entries,
                false => own_entries,
            },
            backlog,
            parts: match watcher.accepts_callers {
                true => self
                    .recent_parts
                    .since(watcher.next_part)
                    .filter(|(from, _)| from != id)
                    .map(|(_, part)| part.clone())
                    .collect(),
                false => Vec::new(),
            },
        };
        watcher.next_part = self.recent_parts.next;
        watcher.version = watcher.version.max(self.version);
        if lacks_listing {
            watcher.listing = self.listing;
        }
        let info = watcher.info.clone();
        effects.push(send(&info, PeerMessage::WatchReply(reply)));
    }

    /// Returns the sum of what the other entries of the subscriber's availability zone have sent.
    fn backlog_beside(&self, id: &Name) -> Vec<Backlog> {
        let Some(watcher) = self.watchers.get(id) else {
            return Vec::new();
        };
        if !watcher.accepts_callers {
            return Vec::new();
        }
        let zone = &watcher.info.availability_zone;
        let mut sums: Map<Name, Backlog> = Map::default();
        let others = self
            .watchers
            .values()
            .filter(|one| one.accepts_callers && one.info.id != *id)
            .filter(|one| one.info.availability_zone == *zone);
        for backlog in others.flat_map(|one| &one.backlog) {
            let sum = sums
                .entry(backlog.upstream.clone())
                .or_insert_with(|| Backlog {
                    upstream: backlog.upstream.clone(),
                    ..Backlog::default()
                });
            sum.running += backlog.running;
            if sum.prompt_tokens.len() < backlog.prompt_tokens.len() {
                sum.prompt_tokens.resize(backlog.prompt_tokens.len(), 0);
            }
            for (total, tokens) in sum.prompt_tokens.iter_mut().zip(&backlog.prompt_tokens) {
                *total += tokens;
            }
        }
        sums.into_values().collect()
    }

    fn is_current(&self, now_ms: u64) -> bool {
        let heard = self.replica.leader_message_age_ms();
        let is_led = heard.is_some_and(|age_ms| age_ms <= CURRENT_MAX_AGE_MS);
        is_led && self.listing_age_ms(now_ms) <= LISTING_MAX_AGE_MS
    }

    fn listing_age_ms(&self, now_ms: u64) -> u64 {
        self.listed_ms.map_or(u64::MAX, |at_ms| now_ms - at_ms)
    }

    fn on_listed(
        &mut self,
        now_ms: u64,
        upstreams: Vec<UpstreamRecord>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.listed_ms = Some(now_ms);
        let listing = listing_stamp(&upstreams);
        if listing == self.listing {
            return;
        }
        let draining = upstreams.iter().filter(|one| one.draining).count();
        log(
            effects,
            format!(
                "list=changed listing={listing:x} upstreams={} draining={draining}",
                upstreams.len()
            ),
        );
        self.listing = listing;
        self.upstreams = upstreams;
        self.has_news = true;
    }

    fn push_to_entries(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let (version, listing) = (self.version, self.listing);
        let stale: Vec<Name> = self
            .watchers
            .values()
            .filter(|one| one.accepts_callers)
            .filter(|one| one.version < version || one.listing != listing)
            .map(|one| one.info.id.clone())
            .collect();
        for id in stale {
            self.reply(now_ms, &id, effects);
        }
    }

    fn on_publish(&mut self, now_ms: u64, call: u64, version: u64, document: Bytes) {
        if version <= self.version {
            let read = Read::Publish { version, document };
            return self.confirm(now_ms, call, read);
        }
        self.propose(now_ms, call, version, &document);
    }

    fn propose(&mut self, now_ms: u64, call: u64, version: u64, document: &Bytes) {
        let pending = Call::Publish {
            index: u64::MAX,
            term: 0,
            version,
        };
        self.calls.insert(call, (now_ms + CALL_TIMEOUT_MS, pending));
        self.input(Input::Propose {
            token: call,
            command: encode(version, document),
        });
    }

    fn confirm(&mut self, now_ms: u64, call: u64, read: Read) {
        let deadline_ms = now_ms + CALL_TIMEOUT_MS;
        self.calls.insert(call, (deadline_ms, Call::Confirm(read)));
        self.input(Input::Read { token: call });
    }

    fn expire_calls(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let expired: Vec<u64> = self
            .calls
            .iter()
            .filter(|(_, (deadline_ms, _))| *deadline_ms <= now_ms)
            .map(|(call, _)| *call)
            .collect();
        for call in expired {
            let reason = "no majority has confirmed the call in time";
            self.answer(call, Answer::Unavailable { reason }, effects);
        }
    }

    fn answer(&mut self, call: u64, answer: Answer, effects: &mut Vec<ControlEffect>) {
        if self.calls.remove(&call).is_some() {
            let outcome = match &answer {
                Answer::Acknowledged { version } => format!("acknowledged version={version}"),
                Answer::Document { version, .. } => format!("read version={version}"),
                Answer::Redirect { leader } => format!("redirected leader={leader}"),
                Answer::Unavailable { reason } => format!("unavailable reason={reason:?}"),
            };
            log(effects, format!("call={call} outcome={outcome}"));
            effects.push(ControlEffect::Answer { call, answer });
        }
    }

    fn on_output(&mut self, now_ms: u64, output: Output, effects: &mut Vec<ControlEffect>) {
        match output {
            Output::Persist { ticket, write } => {
                effects.push(ControlEffect::Persist { ticket, write });
            }
            Output::Send { to, message } => self.send_quorum(to, message, effects),
            Output::Appended { token, index, term } => {
                if let Some((
                    _,
                    Call::Publish {
                        index: at,
                        term: in_term,
                        ..
                    },
                )) = self.calls.get_mut(&token)
                {
                    (*at, *in_term) = (index, term);
                }
            }
            Output::NotLeader { token, leader } => {
                let own = &self.settings.info.id;
                let answer = match leader.filter(|leader| leader != own) {
                    Some(leader) => Answer::Redirect { leader },
                    None => Answer::Unavailable {
                        reason: "no leader is known",
                    },
                };
                self.answer(token, answer, effects);
            }
            Output::ChangeRefused { .. } => log(effects, "voters=unchanged reason=busy".to_owned()),
            Output::ReadReady { token, index } => {
                if let Some((deadline_ms, Call::Confirm(read))) = self.calls.remove(&token) {
                    let call = Call::Read { index, read };
                    self.calls.insert(token, (deadline_ms, call));
                }
                self.answer_reads(now_ms, effects);
            }
            Output::Apply(entry) => {
                self.applied_index = entry.index;
                match entry.body {
                    EntryBody::Command(command) => self.apply(command, effects),
                    EntryBody::Members(set) => log(
                        effects,
                        format!("voters=changed index={} set={:?}", set.index, set.voters),
                    ),
                    EntryBody::Empty => {}
                }
                self.answer_publishes(entry.index, entry.term, effects);
                self.answer_reads(now_ms, effects);
            }
            Output::Restore(snapshot) => {
                self.applied_index = snapshot.index;
                if !snapshot.state.is_empty() {
                    self.apply(snapshot.state, effects);
                }
                self.answer_reads(now_ms, effects);
            }
            Output::TakeSnapshot { index } => {
                let state = match self.version {
                    0 => Bytes::new(),
                    version => encode(version, &self.document),
                };
                self.input(Input::SnapshotState { index, state });
            }
            Output::LeaderChanged { term, leader } => {
                let leader = leader.unwrap_or_default();
                log(effects, format!("leader={leader:?} term={term}"));
            }
        }
    }

    fn send_quorum(
        &mut self,
        to: ReplicaId,
        message: quorum::Message,
        effects: &mut Vec<ControlEffect>,
    ) {
        let from = ReplicaId {
            instance: self.settings.info.id.clone(),
            storage_id: self.settings.storage_id,
        };
        let Some((info, _)) = self.replicas.get(&to.instance) else {
            log(
                effects,
                format!("replica={} outcome=unknown_address", to.instance),
            );
            return;
        };
        effects.push(send(info, PeerMessage::Quorum { from, to, message }));
    }

    /// Applies a committed document. The highest version wins; what it overtakes changes nothing.
    fn apply(&mut self, command: Bytes, effects: &mut Vec<ControlEffect>) {
        let Some((version, document)) = decode(command) else {
            return log(effects, "document=unreadable outcome=skipped".to_owned());
        };
        if version <= self.version {
            return;
        }
        log(
            effects,
            format!(
                "document=applied version={version} before={} bytes={}",
                self.version,
                document.len()
            ),
        );
        self.version = version;
        self.document = document;
        self.has_news = true;
    }

    fn answer_publishes(&mut self, applied: u64, in_term: u64, effects: &mut Vec<ControlEffect>) {
        let mut due: Vec<(u64, Answer)> = Vec::new();
        for (call, (_, pending)) in &self.calls {
            if let Call::Publish {
                index,
                term,
                version,
            } = pending
                && *index == applied
            {
                let answer = match *term == in_term {
                    true => Answer::Acknowledged { version: *version },
                    false => Answer::Unavailable {
                        reason: "another leader's entry took the place",
                    },
                };
                due.push((*call, answer));
            }
        }
        for (call, answer) in due {
            self.answer(call, answer, effects);
        }
    }

    fn answer_reads(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let due: Vec<(u64, Read)> = self
            .calls
            .iter()
            .filter_map(|(call, (_, pending))| match pending {
                Call::Read { index, read } if *index <= self.applied_index => {
                    Some((*call, read.clone()))
                }
                _ => None,
            })
            .collect();
        for (call, read) in due {
            match read {
                Read::Describe => {
                    let answer = Answer::Document {
                        version: self.version,
                        document: self.document.clone(),
                    };
                    self.answer(call, answer, effects);
                }
                Read::Publish { version, document } => {
                    if version <= self.version {
                        self.answer(call, Answer::Acknowledged { version }, effects);
                    } else {
                        self.propose(now_ms, call, version, &document);
                    }
                }
            }
        }
    }
}

fn contact_ids(settings: &ControlSettings) -> Vec<Name> {
    settings
        .contacts
        .iter()
        .map(|info| info.id.clone())
        .collect()
}

fn send(to: &InstanceInfo, message: PeerMessage) -> ControlEffect {
    ControlEffect::Send {
        to: to.id.clone(),
        address: to.peer_address.clone(),
        message: Box::new(message),
    }
}

fn log(effects: &mut Vec<ControlEffect>, text: String) {
    effects.push(ControlEffect::Log { text });
}

/// Returns a hash of a listing, equal on every replica that has read the same.
fn listing_stamp(upstreams: &[UpstreamRecord]) -> u64 {
    let mut sorted: Vec<&UpstreamRecord> = upstreams.iter().collect();
    sorted.sort_by(|a, b| a.id.cmp(&b.id).then(a.address.cmp(&b.address)));
    let facts: Vec<_> = sorted
        .iter()
        .map(|one| {
            let role = one.role.map(|role| role as u8);
            (
                &one.id,
                &one.service,
                &one.address,
                one.draining,
                one.born_ms,
                role,
            )
        })
        .collect();
    // 0 and the highest value mean that a subscriber holds none or wants none.
    foldhash::fast::FixedState::default()
        .hash_one(facts)
        .clamp(1, u64::MAX - 1)
}

/// Encodes a document with its version, as a log entry and as the state in a snapshot.
fn encode(version: u64, document: &Bytes) -> Bytes {
    let mut bytes = BytesMut::with_capacity(8 + document.len());
    bytes.put_u64_le(version);
    bytes.put_slice(document);
    bytes.freeze()
}

fn decode(mut bytes: Bytes) -> Option<(u64, Bytes)> {
    let version = bytes.try_get_u64_le().ok()?;
    Some((version, bytes))
}
