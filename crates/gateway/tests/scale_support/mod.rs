//! Entries and replicas of a large fleet in one process, with a virtual clock and links of limited bandwidth.
//!
//! Messages are encoded as between processes, so that their bytes can be counted.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use conf::{Map, Name, Role};
use fleet::{InstanceInfo, PeerMessage, UpstreamRecord};
use gateway::config::{Config, EngineTraits, Limits, RequestKind, Route, Service};
use gateway::control::{Control, ControlEffect, ControlEvent, ControlSettings};
use gateway::entry::{Entry, EntryEffect, EntryEvent, EntrySettings};
use gateway::exchange::{Task, UpstreamCall};
use gateway::{Directive, Outcome, Prompt, Request, StatedLimit};

use crate::support::Disk;

const STEP_MS: u64 = 25;
/// One-way delay between instances, in milliseconds.
const DELAY_MS: u64 = 2;
/// Bytes that the link of an entry carries in a millisecond: 10 Mbit/s.
const ENTRY_BYTES_PER_MS: u64 = 1_250;
/// Bytes that the link of a replica carries in a millisecond: 1 Gbit/s.
const REPLICA_BYTES_PER_MS: u64 = 125_000;
/// Time until an engine computes a prompt, in milliseconds.
const PREFILL_MS: u64 = 100;
/// Time from a call until the first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 50;
/// Time for which a request occupies its engine, in milliseconds.
const ANSWER_MS: u64 = 600;
/// Time after which an entry that was told a limit must keep to it, in milliseconds.
const TOLD_MS: u64 = 500;
/// Time for which an engine that has crashed is away, in milliseconds.
const ENGINE_RESTART_MS: u64 = 3_000;

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub zones: usize,
    pub entries: usize,
    pub upstreams: usize,
    /// Requests that arrive at each entry in a second.
    pub requests_per_s: u64,
    /// Upstreams whose record changes in a second.
    pub changes_per_s: usize,
}

/// The size of a small deployment.
pub const SMALL: FleetSize = FleetSize {
    zones: 3,
    entries: 6,
    upstreams: 18,
    requests_per_s: 14,
    changes_per_s: 0,
};
/// The size of a large deployment, at which no entry sees much of the load.
pub const HUNDRED_ENTRIES: FleetSize = FleetSize {
    zones: 5,
    entries: 100,
    upstreams: 110,
    requests_per_s: 3,
    changes_per_s: 2,
};

/// Bytes that one instance has sent and received, by kind of message.
pub type ByteCounts = BTreeMap<&'static str, u64>;

struct TestReplica {
    info: InstanceInfo,
    disk: Disk,
    control: Control,
    is_running: bool,
}

struct TestEntry {
    info: InstanceInfo,
    entry: Entry,
    next_arrival_ms: u64,
}

struct InTransit {
    arrives_ms: u64,
    from: Name,
    to: Name,
    data: Bytes,
}

/// A fleet under test.
pub struct Fleet {
    pub now_ms: u64,
    size: FleetSize,
    replicas: Vec<TestReplica>,
    entries: Vec<TestEntry>,
    upstreams: Vec<UpstreamRecord>,
    in_transit: VecDeque<InTransit>,
    /// When the link of each instance has sent or received what is queued for it.
    link_free_ms: Map<Name, u64>,
    scheduled: Vec<ScheduledProgress>,
    /// Returns the prompt of an exchange.
    pub prompt_of: fn(u64) -> Prompt,
    /// Parts of prompts under which engines crash when they begin to generate.
    pub deadly_parts: Vec<u64>,
    /// Until when engines that have crashed are away.
    down_until_ms: Map<Name, u64>,
    /// When engines crashed under a request.
    pub crashes_ms: Vec<u64>,
    /// When requests with a deadly part were sent to an engine.
    pub deadly_sends_ms: Vec<u64>,
    /// Requests per second that upstreams state in their answers.
    pub limits: Map<Name, f64>,
    /// When each upstream first stated its limit, and when each entry first got such an answer.
    pub stated_ms: Map<Name, u64>,
    told_ms: Map<(usize, Name), u64>,
    /// When limited upstreams got requests from entries that they had told half a second before.
    pub limited_sends_ms: Map<Name, Vec<u64>>,
    /// Requests without a deadly part, each with its arrival and whether its first attempt began.
    pub sound_requests: Map<u64, SoundRequest>,
    next_exchange: u64,
    next_change: usize,
    /// Of how many messages one is lost; 0 if none is.
    pub lost_one_in: u64,
    sent_messages: u64,
    /// Reads of the platform's list.
    pub list_reads: u64,
    /// Bytes sent and received by each instance, by kind of message.
    pub bytes: Map<Name, ByteCounts>,
    document: Bytes,
}

/// A request without a deadly part.
#[derive(Clone, Copy, Debug)]
pub struct SoundRequest {
    pub arrived_ms: u64,
    pub has_begun: bool,
}

/// Progress of a call that is due at a time.
#[derive(Clone, Debug)]
struct ScheduledProgress {
    at_ms: u64,
    entry: usize,
    exchange: u64,
    upstream: Name,
    progress: Progress,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Prefilled,
    Started,
    Answered,
    Failed(Outcome),
}

impl Fleet {
    /// Starts a fleet with one replica in each availability zone.
    pub fn new(size: FleetSize) -> Self {
        let upstreams = (0..size.upstreams)
            .map(|index| upstream(index, size.zones))
            .collect();
        let mut fleet = Self {
            now_ms: 1,
            size,
            replicas: Vec::new(),
            entries: Vec::new(),
            upstreams,
            in_transit: VecDeque::new(),
            link_free_ms: Map::default(),
            scheduled: Vec::new(),
            prompt_of: prompt,
            deadly_parts: Vec::new(),
            down_until_ms: Map::default(),
            crashes_ms: Vec::new(),
            deadly_sends_ms: Vec::new(),
            limits: Map::default(),
            stated_ms: Map::default(),
            told_ms: Map::default(),
            limited_sends_ms: Map::default(),
            sound_requests: Map::default(),
            next_exchange: 0,
            next_change: 0,
            lost_one_in: 0,
            sent_messages: 0,
            list_reads: 0,
            bytes: Map::default(),
            document: Bytes::from(vec![7; 20_000]),
        };
        for index in 0..size.zones {
            let disk = Disk {
                storage_id: index as u64 + 1,
                ..Disk::default()
            };
            let replica = fleet.start_replica(index, disk, true);
            fleet.replicas.push(replica);
        }
        for index in 0..size.entries {
            let entry = fleet.start_entry(index);
            fleet.entries.push(entry);
        }
        fleet
    }

    /// Starts a fleet, publishes a configuration and runs the fleet until its entries serve requests.
    pub fn serving(size: FleetSize, prompt_of: fn(u64) -> Prompt) -> Self {
        let mut fleet = Self::new(size);
        fleet.prompt_of = prompt_of;
        fleet.run(2_000);
        fleet.publish(1);
        fleet.run(3_000);
        assert_eq!(fleet.ready_entries(), size.entries);
        fleet
    }

    fn contacts(&self) -> Vec<InstanceInfo> {
        (0..self.size.zones.min(3))
            .map(|index| InstanceInfo {
                availability_zone: Name::default(),
                ..replica_info(index)
            })
            .collect()
    }

    fn start_replica(&self, index: usize, disk: Disk, is_first_start: bool) -> TestReplica {
        let contacts = self.contacts();
        let founders = match is_first_start {
            true => contacts.iter().map(|contact| contact.id.clone()).collect(),
            false => Vec::new(),
        };
        let settings = ControlSettings {
            info: replica_info(index),
            storage_id: disk.storage_id,
            founders,
            contacts,
            target_voters: 5,
            order_lease_ms: 3_000,
            seed: disk.storage_id,
            ..ControlSettings::default()
        };
        TestReplica {
            info: replica_info(index),
            control: Control::new(settings, disk.recovered.clone(), self.now_ms),
            disk,
            is_running: true,
        }
    }

    fn start_entry(&self, index: usize) -> TestEntry {
        let info = InstanceInfo {
            id: Name::from(format!("10.{}.1.{index}", index % self.size.zones)),
            availability_zone: zone(index % self.size.zones),
            peer_address: Name::from(format!("10.{}.1.{index}:7000", index % self.size.zones)),
            ..InstanceInfo::default()
        };
        TestEntry {
            entry: Entry::new(EntrySettings {
                info: info.clone(),
                contacts: self.contacts(),
                ..EntrySettings::default()
            }),
            info,
            next_arrival_ms: self.now_ms + (index as u64 * 37) % 1_000,
        }
    }

    /// Advances the clock and runs all instances.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            let previous_ms = self.now_ms;
            self.now_ms += STEP_MS;
            if self.now_ms / 1_000 != previous_ms / 1_000 {
                self.change_upstreams();
            }
            self.deliver();
            for index in 0..self.replicas.len() {
                self.step_replica(index, ControlEvent::Tick);
            }
            self.end_calls();
            for index in 0..self.entries.len() {
                self.step_entry(index, EntryEvent::Tick);
                self.arrive(index);
            }
        }
    }

    /// Restarts the processes behind some records of the list.
    fn change_upstreams(&mut self) {
        for _ in 0..self.size.changes_per_s {
            let index = self.next_change % self.upstreams.len();
            self.upstreams[index].born_ms += 1;
            self.next_change += 7;
        }
    }

    /// Publishes the configuration.
    pub fn publish(&mut self, version: u64) {
        let leader = self.leader().expect("a leader is elected");
        let document = self.document.clone();
        let event = ControlEvent::Publish {
            call: version,
            version,
            document,
        };
        self.step_replica(leader, event);
    }

    /// Returns the leader among the running replicas.
    pub fn leader(&self) -> Option<usize> {
        let is_leader =
            |replica: &TestReplica| replica.is_running && replica.control.status().is_leader;
        self.replicas.iter().position(is_leader)
    }

    /// Kills a replica.
    pub fn kill_replica(&mut self, index: usize) {
        self.replicas[index].is_running = false;
    }

    /// Kills all processes and starts them again. The disks of the replicas are kept.
    pub fn restart_all(&mut self) {
        self.in_transit.clear();
        self.link_free_ms.clear();
        self.scheduled.clear();
        for index in 0..self.replicas.len() {
            let disk = std::mem::take(&mut self.replicas[index].disk);
            self.replicas[index] = self.start_replica(index, disk, false);
        }
        for index in 0..self.entries.len() {
            self.entries[index] = self.start_entry(index);
        }
    }

    /// Returns the number of entries that accept callers.
    pub fn ready_entries(&self) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.entry.is_ready()).count()
    }

    /// Kills the processes of a share of the entries and starts them again.
    pub fn restart_entries(&mut self, one_in: usize) {
        for index in (0..self.entries.len()).step_by(one_in) {
            self.entries[index] = self.start_entry(index);
        }
    }

    /// Changes records of the list no more.
    pub fn stop_changes(&mut self) {
        self.size.changes_per_s = 0;
    }

    /// Returns how many entries have the leader's list of upstreams.
    pub fn entries_with_listing(&self) -> usize {
        let Some(leader) = self.leader() else {
            return 0;
        };
        let listing = self.replicas[leader].control.listing();
        let entries = self.entries.iter();
        entries
            .filter(|entry| entry.entry.listing() == listing)
            .count()
    }

    /// Returns the largest number of bytes that an entry, or a replica, has sent and received in a second.
    pub fn busiest(&self, of_replicas: bool, duration_ms: u64) -> (u64, ByteCounts) {
        let is_replica = |id: &Name| self.replicas.iter().any(|replica| replica.info.id == *id);
        let total = |counts: &ByteCounts| counts.values().sum::<u64>() * 1_000 / duration_ms;
        let busiest = self
            .bytes
            .iter()
            .filter(|(id, _)| is_replica(id) == of_replicas)
            .max_by_key(|(_, counts)| total(counts));
        busiest.map_or((0, ByteCounts::new()), |(_, counts)| {
            (total(counts), counts.clone())
        })
    }

    fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let (due, later): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|message| message.arrives_ms <= now_ms);
        self.in_transit = later;
        for message in due {
            let decoded = wire::decode_message(&message.data).expect("messages can be decoded");
            let replica = self
                .replicas
                .iter()
                .position(|replica| replica.info.id == message.to);
            if let Some(index) = replica {
                let from = message.from;
                self.step_replica(
                    index,
                    ControlEvent::Peer {
                        from,
                        message: decoded,
                    },
                );
                continue;
            }
            let entry = self
                .entries
                .iter()
                .position(|entry| entry.info.id == message.to);
            if let (Some(index), PeerMessage::WatchReply(reply)) = (entry, decoded) {
                let config = reply
                    .document
                    .as_ref()
                    .map(|_| Arc::new(config(reply.version)));
                let event = EntryEvent::WatchReply {
                    from: message.from,
                    reply: Box::new(reply),
                    config,
                };
                self.step_entry(index, event);
            }
        }
    }

    fn step_replica(&mut self, index: usize, event: ControlEvent) {
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let replica = &mut self.replicas[index];
            if !replica.is_running {
                return;
            }
            let mut effects = Vec::new();
            replica.control.step(self.now_ms, event, &mut effects);
            for effect in effects {
                match effect {
                    ControlEffect::Persist { ticket, write } => {
                        self.replicas[index].disk.write(write);
                        events.push_back(ControlEvent::Persisted { ticket });
                    }
                    ControlEffect::Send { to, message, .. } => {
                        let from = self.replicas[index].info.id.clone();
                        self.send(from, to, &message);
                    }
                    ControlEffect::ReadList => {
                        self.list_reads += 1;
                        events.push_back(ControlEvent::Listed {
                            upstreams: self.upstreams.clone(),
                        });
                    }
                    ControlEffect::Answer { .. }
                    | ControlEffect::Order { .. }
                    | ControlEffect::Duty { .. }
                    | ControlEffect::DecodeServices { .. }
                    | ControlEffect::Log { .. } => {}
                }
            }
        }
    }

    fn step_entry(&mut self, index: usize, event: EntryEvent) {
        let mut effects = Vec::new();
        self.entries[index]
            .entry
            .step(self.now_ms, event, &mut effects);
        for effect in effects {
            match effect {
                EntryEffect::Send { to, message, .. } => {
                    let from = self.entries[index].info.id.clone();
                    self.send(from, to, &message);
                }
                EntryEffect::Directive {
                    exchange,
                    directive: Directive::Call(call),
                } => self.begin_call(index, exchange, call),
                EntryEffect::Directive {
                    exchange,
                    directive: Directive::ForwardFailure,
                } => {
                    let is_complete = true;
                    let event = EntryEvent::Closed {
                        exchange,
                        is_complete,
                    };
                    self.step_entry(index, event);
                }
                EntryEffect::CheckUpstream { upstream, .. } => {
                    let has_crashed = self.is_down(&upstream);
                    let event = EntryEvent::UpstreamChecked {
                        upstream,
                        has_crashed,
                    };
                    self.step_entry(index, event);
                }
                EntryEffect::Directive { .. }
                | EntryEffect::FreeHandle { .. }
                | EntryEffect::PrefixObserved { .. }
                | EntryEffect::Log { .. } => {}
            }
        }
    }

    fn begin_call(&mut self, entry: usize, exchange: u64, call: UpstreamCall) {
        let told_ms = self.told_ms.get(&(entry, call.upstream.clone()));
        if told_ms.is_some_and(|told_ms| self.now_ms >= told_ms + TOLD_MS) {
            let sends = self
                .limited_sends_ms
                .entry(call.upstream.clone())
                .or_default();
            sends.push(self.now_ms);
        }
        let progress = match (self.is_down(&call.upstream), &call.task) {
            (true, _) => vec![(0, Progress::Failed(Outcome::Unreachable))],
            (false, Task::Prefill) => vec![(PREFILL_MS, Progress::Prefilled)],
            (false, Task::Run | Task::Generate { .. }) => vec![
                (FIRST_EVENT_MS, Progress::Started),
                (ANSWER_MS, Progress::Answered),
            ],
        };
        if self.is_deadly(exchange) && !self.is_down(&call.upstream) {
            self.deadly_sends_ms.push(self.now_ms);
        }
        for (delay_ms, progress) in progress {
            self.scheduled.push(ScheduledProgress {
                at_ms: self.now_ms + delay_ms,
                entry,
                exchange,
                upstream: call.upstream.clone(),
                progress,
            });
        }
    }

    /// Tells an entry the limit in the head of an answer.
    fn state_limit(&mut self, entry: usize, upstream: &Name) {
        let stated = match self.limits.get(upstream) {
            Some(per_s) => StatedLimit::PerSecond(*per_s),
            None => StatedLimit::Absent,
        };
        if stated != StatedLimit::Absent {
            let now_ms = self.now_ms;
            self.stated_ms.entry(upstream.clone()).or_insert(now_ms);
            let key = (entry, upstream.clone());
            self.told_ms.entry(key).or_insert(now_ms);
        }
        let upstream = upstream.clone();
        self.step_entry(entry, EntryEvent::LimitStated { upstream, stated });
    }

    /// Returns whether an engine generates.
    pub fn is_decoder(&self, upstream: &Name) -> bool {
        let mut upstreams = self.upstreams.iter();
        let record = upstreams.find(|record| record.id == *upstream);
        record.is_some_and(|record| record.role == Some(Role::Decode))
    }

    /// Sets the limits of all engines, in turn.
    pub fn limit_engines(&mut self, limits_per_s: &[f64]) {
        let ids = self.upstreams.iter().map(|upstream| upstream.id.clone());
        let limits = limits_per_s.iter().cycle();
        self.limits = ids.zip(limits.copied()).collect();
    }

    fn is_down(&self, upstream: &Name) -> bool {
        let until_ms = self.down_until_ms.get(upstream);
        until_ms.is_some_and(|until_ms| self.now_ms < *until_ms)
    }

    fn is_deadly(&self, exchange: u64) -> bool {
        let parts = (self.prompt_of)(exchange).parts;
        let mut keys = parts.iter().map(|(key, _)| key);
        keys.any(|key| self.deadly_parts.contains(key))
    }

    /// Ends the engine at a place in the list.
    pub fn crash_engine(&mut self, index: usize) {
        let upstream = self.upstreams[index % self.upstreams.len()].id.clone();
        self.crash(&upstream);
    }

    /// Ends an engine with all calls that are in progress there.
    fn crash(&mut self, upstream: &Name) {
        let now_ms = self.now_ms;
        self.crashes_ms.push(now_ms);
        self.down_until_ms
            .insert(upstream.clone(), now_ms + ENGINE_RESTART_MS);
        let (at_engine, elsewhere) = std::mem::take(&mut self.scheduled)
            .into_iter()
            .partition(|scheduled| scheduled.upstream == *upstream);
        self.scheduled = elsewhere;
        let at_engine: Vec<ScheduledProgress> = at_engine;
        for scheduled in at_engine {
            if scheduled.progress != Progress::Started {
                self.scheduled.push(ScheduledProgress {
                    at_ms: now_ms,
                    progress: Progress::Failed(Outcome::Broken),
                    ..scheduled
                });
            }
        }
    }

    fn end_calls(&mut self) {
        let now_ms = self.now_ms;
        loop {
            let due = |scheduled: &ScheduledProgress| scheduled.at_ms <= now_ms;
            let Some(index) = self.scheduled.iter().position(due) else {
                return;
            };
            let scheduled = self.scheduled.swap_remove(index);
            self.progress(scheduled);
        }
    }

    fn progress(&mut self, scheduled: ScheduledProgress) {
        let ScheduledProgress {
            entry,
            exchange,
            upstream,
            progress,
            ..
        } = scheduled;
        if matches!(progress, Progress::Prefilled | Progress::Started) {
            self.state_limit(entry, &upstream);
        }
        match progress {
            Progress::Prefilled => {
                let handle = "handle".into();
                self.step_entry(entry, EntryEvent::Prefilled { exchange, handle });
            }
            Progress::Started if self.is_deadly(exchange) => self.crash(&upstream),
            Progress::Started => {
                if let Some(request) = self.sound_requests.get_mut(&exchange) {
                    request.has_begun = true;
                }
                self.step_entry(entry, EntryEvent::Started { exchange });
            }
            Progress::Answered => {
                let is_complete = true;
                let event = EntryEvent::Closed {
                    exchange,
                    is_complete,
                };
                self.step_entry(entry, event);
            }
            Progress::Failed(outcome) => {
                self.step_entry(entry, EntryEvent::CallFailed { exchange, outcome });
            }
        }
    }

    fn arrive(&mut self, index: usize) {
        let rate = self.size.requests_per_s;
        if rate == 0 || !self.entries[index].entry.is_ready() {
            return;
        }
        while self.entries[index].next_arrival_ms <= self.now_ms {
            self.entries[index].next_arrival_ms += 1_000 / rate;
            self.next_exchange += 1;
            let exchange = self.next_exchange;
            let request = request(exchange, self.now_ms, (self.prompt_of)(exchange));
            if !self.is_deadly(exchange) {
                let request = SoundRequest {
                    arrived_ms: self.now_ms,
                    has_begun: false,
                };
                self.sound_requests.insert(exchange, request);
            }
            self.step_entry(index, EntryEvent::Arrived { exchange, request });
        }
    }

    fn send(&mut self, from: Name, to: Name, message: &PeerMessage) {
        let data = wire::encode_message(message).expect("messages can be encoded");
        let bytes = data.len() as u64;
        let kind = kind(message);
        let mut arrives_ms = self.now_ms + DELAY_MS;
        for id in [&from, &to] {
            let counts = self.bytes.entry(id.clone()).or_default();
            *counts.entry(kind).or_default() += bytes;
            let is_replica = self.replicas.iter().any(|replica| replica.info.id == *id);
            let bytes_per_ms = match is_replica {
                true => REPLICA_BYTES_PER_MS,
                false => ENTRY_BYTES_PER_MS,
            };
            let free_ms = self.link_free_ms.entry(id.clone()).or_default();
            *free_ms = (*free_ms).max(self.now_ms) + bytes / bytes_per_ms;
            arrives_ms = arrives_ms.max(*free_ms + DELAY_MS);
        }
        self.sent_messages += 1;
        if self.lost_one_in > 0 && self.sent_messages.is_multiple_of(self.lost_one_in) {
            return;
        }
        self.in_transit.push_back(InTransit {
            arrives_ms,
            from,
            to,
            data,
        });
    }
}

fn kind(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Quorum { .. } => "quorum",
        PeerMessage::Watch(_) => "watch",
        PeerMessage::WatchReply(reply) if reply.listing_update.is_some() => "reply_with_listing",
        PeerMessage::WatchReply(reply) if reply.document.is_some() => "reply_with_document",
        PeerMessage::WatchReply(_) => "reply",
        _ => "other",
    }
}

fn zone(index: usize) -> Name {
    Name::from(format!("zone-{index}"))
}

fn replica_info(index: usize) -> InstanceInfo {
    InstanceInfo {
        id: Name::from(format!("10.{index}.0.9")),
        availability_zone: zone(index),
        peer_address: Name::from(format!("10.{index}.0.9:7000")),
        ..InstanceInfo::default()
    }
}

fn upstream(index: usize, zones: usize) -> UpstreamRecord {
    // A quarter of the engines of each zone generate.
    let role = match (index / zones).is_multiple_of(4) {
        true => Role::Decode,
        false => Role::Prefill,
    };
    UpstreamRecord {
        id: Name::from(format!("i-{:08x}", index * 2_654_435_761 % 0xffff_ffff)),
        service: "model".into(),
        address: Name::from(format!(
            "10.{}.{}.{}:8080",
            128 + index % zones,
            index / 250,
            index % 250
        )),
        availability_zone: zone(index % zones),
        slots: 32,
        draining: false,
        born_ms: 1_780_000_000_000,
        role: Some(role),
        is_changing: false,
        is_reclaimable: false,
    }
}

/// Returns a prompt with one of two thousand shared parts.
pub fn prompt(exchange: u64) -> Prompt {
    let shared = (exchange % 2_000, 13_000);
    Prompt {
        parts: vec![shared, (exchange + 1_000_000, 3_700)],
        tokens: 16_700,
        max_output_tokens: 50,
    }
}

fn request(exchange: u64, now_ms: u64, prompt: Prompt) -> Request {
    Request {
        id: Name::from(format!("{exchange:016x}")),
        route: "route".into(),
        service: "model".into(),
        account: None,
        kind: RequestKind::Stream { resumable: false },
        rank: (exchange % 3) as u8,
        deadline_ms: now_ms + 6_000,
        begin_deadline_ms: now_ms + 6_000,
        objective_ms: now_ms + 1_200,
        gap_ms: 150,
        max_runs: 1,
        prompt: Some(prompt),
    }
}

fn config(version: u64) -> Config {
    let route = Route {
        name: "route".into(),
        host: "host".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout_ms: 5_000,
        objective_ms: 400,
        gap_ms: 200,
        rank: 0,
        targets: vec![("model".into(), 1)],
        max_runs: 2,
        is_public: false,
    };
    let service = Service {
        name: "model".into(),
        max_connections: 100,
        engine: Some(EngineTraits::default()),
        scaling: None,
    };
    Config::new(version, vec![route], vec![service], Limits::default())
        .expect("the configuration is valid")
}
