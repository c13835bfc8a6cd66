//! Simulated disks and a simulated network around replicas, with a virtual clock.

// Each test file uses only some of the functions.
#![allow(dead_code)]

use std::collections::VecDeque;

use bytes::Bytes;
use conf::Name;
use fleet::{InstanceInfo, PeerMessage, UpstreamRecord, UsageCount, Watch, WatchReply};
use gateway::control::{Answer, Control, ControlEffect, ControlEvent, ControlSettings};
use gateway::duties::DutySettings;
use gateway::{DutyCall, DutyOutcome};
use quorum::{RecoveredState, Write};

const STEP_MS: u64 = 5;
const CALL_TIMEOUT_MS: u64 = 3_000;
/// Time from the stop signal to the end of a process, in milliseconds.
const GRACE_MS: u64 = 7_600;
/// Time after which a call to the platform without an answer ends, in milliseconds.
const DUTY_TIMEOUT_MS: u64 = 1_000;
/// Time of day at the start of the clock, in milliseconds since the Unix epoch.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;
const ENTRY: &str = "entry";

/// A simulated disk, on which every write is synced at once.
#[derive(Default)]
pub struct Disk {
    /// Identity of the storage.
    pub storage_id: u64,
    /// State that a replica finds when it starts.
    pub recovered: RecoveredState,
    /// Founders that were recorded at the first start.
    pub founders: Vec<Name>,
}

impl Disk {
    /// Carries out a write.
    pub fn write(&mut self, write: Write) {
        let recovered = &mut self.recovered;
        match write {
            Write::Term { term, voted_for } => {
                recovered.term = term;
                recovered.voted_for = voted_for;
            }
            Write::Append {
                from_index,
                entries,
            } => {
                recovered.entries.retain(|entry| entry.index < from_index);
                recovered.entries.extend(entries);
            }
            Write::Snapshot(snapshot) => {
                recovered
                    .entries
                    .retain(|entry| entry.index > snapshot.index);
                recovered.snapshot = Some(snapshot);
            }
        }
    }
}

struct TestReplica {
    info: InstanceInfo,
    disk: Disk,
    control: Control,
    is_partitioned: bool,
    /// Messages that wait until the process runs again; none if it runs.
    held: Option<Vec<(Name, PeerMessage)>>,
    is_suspended: bool,
}

/// A call that the platform has received.
#[derive(Clone, Debug)]
pub struct ReceivedCall {
    pub at_ms: u64,
    pub replica: usize,
    pub term: u64,
    pub call: DutyCall,
}

/// A simulated platform, which answers every call in the same way.
pub struct Platform {
    /// How calls end; `Unknown` after a time-out.
    pub outcome: DutyOutcome,
    pub calls: Vec<ReceivedCall>,
    /// Calls that have not ended, each with the time of its end and its replica.
    open: Vec<(u64, usize, u64, DutyCall)>,
}

/// Replicas that can reach each other unless they are partitioned.
pub struct Cluster {
    now_ms: u64,
    target_voters: usize,
    founders: Vec<InstanceInfo>,
    replicas: Vec<TestReplica>,
    messages: VecDeque<(Name, Name, PeerMessage)>,
    answers: Vec<(u64, Answer)>,
    next_call: u64,
    next_storage_id: u64,
    duties: DutySettings,
    pub platform: Platform,
    /// Upstreams on the platform's list.
    pub upstreams: Vec<UpstreamRecord>,
    /// Messages to the subscribed entry.
    pub sent_to_entry: Vec<PeerMessage>,
}

impl Cluster {
    /// Starts replicas, of which the first three are the founders.
    pub fn new(count: usize, target_voters: usize) -> Self {
        Self::with_duties(count, target_voters, DutySettings::default())
    }

    /// Starts replicas that call the platform.
    pub fn with_duties(count: usize, target_voters: usize, duties: DutySettings) -> Self {
        let mut cluster = Self {
            now_ms: 1,
            target_voters,
            founders: (0..3).map(info).collect(),
            replicas: Vec::new(),
            messages: VecDeque::new(),
            answers: Vec::new(),
            next_call: 0,
            next_storage_id: 0,
            duties,
            platform: Platform {
                outcome: DutyOutcome::Accepted,
                calls: Vec::new(),
                open: Vec::new(),
            },
            upstreams: Vec::new(),
            sent_to_entry: Vec::new(),
        };
        for index in 0..count {
            let replica = cluster.start_replica(index, Disk::default(), true);
            cluster.replicas.push(replica);
        }
        cluster
    }

    fn start_replica(&mut self, index: usize, disk: Disk, is_first_start: bool) -> TestReplica {
        self.start_replica_knowing(index, disk, is_first_start, Vec::new())
    }

    fn start_replica_knowing(
        &mut self,
        index: usize,
        mut disk: Disk,
        is_first_start: bool,
        known_replicas: Vec<InstanceInfo>,
    ) -> TestReplica {
        if disk.storage_id == 0 {
            self.next_storage_id += 1;
            disk.storage_id = match is_first_start {
                true => quorum::initial_storage_id(&info(index).id),
                false => self.next_storage_id,
            };
        }
        if is_first_start {
            let ids = self.founders.iter().map(|founder| founder.id.clone());
            disk.founders = ids.collect();
        }
        let settings = ControlSettings {
            info: info(index),
            storage_id: disk.storage_id,
            founders: disk.founders.clone(),
            contacts: self.founders.clone(),
            known_replicas,
            target_voters: self.target_voters,
            order_lease_ms: 3_000,
            seed: disk.storage_id,
            duties: self.duties.clone(),
        };
        TestReplica {
            info: info(index),
            control: Control::new(settings, disk.recovered.clone(), self.now_ms),
            disk,
            is_partitioned: false,
            held: None,
            is_suspended: false,
        }
    }

    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of replicas that were started.
    pub fn replicas(&self) -> usize {
        self.replicas.len()
    }

    /// Advances the clock and runs the replicas.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            for index in 0..self.replicas.len() {
                if self.replicas[index].held.is_none() {
                    let unix_ms = START_UNIX_MS + self.now_ms;
                    self.step(index, ControlEvent::TimeOfDay { unix_ms });
                    self.step(index, ControlEvent::Tick);
                }
            }
            self.end_calls();
            self.deliver();
        }
    }

    fn end_calls(&mut self) {
        let now_ms = self.now_ms;
        let is_over = |open: &mut (u64, usize, u64, DutyCall)| open.0 <= now_ms;
        let ended: Vec<_> = self.platform.open.extract_if(.., is_over).collect();
        for (_, replica, term, call) in ended {
            let outcome = self.platform.outcome;
            let event = ControlEvent::DutyEnded {
                call,
                term,
                outcome,
            };
            self.step(replica, event);
        }
    }

    fn step(&mut self, index: usize, event: ControlEvent) {
        if self.replicas[index].is_suspended {
            return;
        }
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut effects = Vec::new();
            let replica = &mut self.replicas[index];
            replica.control.step(self.now_ms, event, &mut effects);
            for effect in effects {
                match effect {
                    ControlEffect::Persist { ticket, write } => {
                        replica.disk.write(write);
                        events.push_back(ControlEvent::Persisted { ticket });
                    }
                    ControlEffect::Send { to, message, .. } => {
                        let from = replica.info.id.clone();
                        self.messages.push_back((from, to, *message));
                    }
                    ControlEffect::Answer { call, answer } => self.answers.push((call, answer)),
                    ControlEffect::ReadList => events.push_back(ControlEvent::Listed {
                        upstreams: self.upstreams.clone(),
                    }),
                    ControlEffect::Duty {
                        term,
                        call,
                        valid_until_ms,
                    } => {
                        assert!(valid_until_ms > self.now_ms);
                        self.platform.calls.push(ReceivedCall {
                            at_ms: self.now_ms,
                            replica: index,
                            term,
                            call: call.clone(),
                        });
                        let ends_ms = match self.platform.outcome {
                            DutyOutcome::Unknown => self.now_ms + DUTY_TIMEOUT_MS,
                            _ => self.now_ms,
                        };
                        self.platform.open.push((ends_ms, index, term, call));
                    }
                    ControlEffect::Order { .. }
                    | ControlEffect::DecodeServices { .. }
                    | ControlEffect::Log { .. } => {}
                }
            }
        }
    }

    fn deliver(&mut self) {
        for (from, to, message) in std::mem::take(&mut self.messages) {
            if to == ENTRY {
                self.sent_to_entry.push(message);
                continue;
            }
            let is_partitioned = |id: &Name| {
                let replica = self.replicas.iter().find(|replica| replica.info.id == *id);
                replica.is_none_or(|replica| replica.is_partitioned || replica.is_suspended)
            };
            if is_partitioned(&from) || is_partitioned(&to) {
                continue;
            }
            let index = self
                .replicas
                .iter()
                .position(|replica| replica.info.id == to);
            let Some(index) = index else {
                continue;
            };
            match &mut self.replicas[index].held {
                Some(held) => held.push((from, message)),
                None => self.step(index, ControlEvent::Peer { from, message }),
            }
        }
    }

    /// Publishes a document at the leader, as an operator that follows redirects does.
    pub fn publish(&mut self, version: u64, text: &'static str) -> Option<Answer> {
        let leader = self.leader()?;
        let document = Bytes::from_static(text.as_bytes());
        self.call(leader, |call| ControlEvent::Publish {
            call,
            version,
            document,
        })
    }

    /// Publishes versions at the leader, all of which are sent before the first is committed.
    pub fn publish_concurrently(&mut self, versions: &[u64]) {
        let leader = self.leader().expect("a leader is elected");
        for version in versions {
            self.next_call += 1;
            let event = ControlEvent::Publish {
                call: self.next_call,
                version: *version,
                document: Bytes::from_static(b"document"),
            };
            self.step(leader, event);
        }
    }

    /// Reads the document at the leader.
    pub fn describe(&mut self) -> Option<Answer> {
        let leader = self.leader()?;
        self.describe_at(leader)
    }

    /// Reads the document at one replica.
    pub fn describe_at(&mut self, index: usize) -> Option<Answer> {
        self.call(index, |call| ControlEvent::Describe { call })
    }

    fn call(&mut self, index: usize, event: impl FnOnce(u64) -> ControlEvent) -> Option<Answer> {
        self.next_call += 1;
        let call = self.next_call;
        self.step(index, event(call));
        let end_ms = self.now_ms + CALL_TIMEOUT_MS;
        while self.now_ms < end_ms {
            if let Some((_, answer)) = self.answers.iter().find(|(of, _)| *of == call) {
                return Some(answer.clone());
            }
            self.run(STEP_MS);
        }
        None
    }

    /// Returns the leader among the replicas that are not partitioned.
    pub fn leader(&self) -> Option<usize> {
        let is_leader = |replica: &TestReplica| {
            let is_running = !replica.is_suspended && replica.held.is_none();
            !replica.is_partitioned && is_running && replica.control.status().is_leader
        };
        self.replicas.iter().position(is_leader)
    }

    /// Returns the version in force on each replica.
    pub fn versions(&self) -> Vec<u64> {
        self.replicas
            .iter()
            .map(|replica| replica.control.version())
            .collect()
    }

    /// Freezes the process of a replica, so that messages to it wait.
    pub fn pause(&mut self, index: usize) {
        self.replicas[index].held.get_or_insert_default();
    }

    /// Lets the process of a replica run again, which handles the waiting messages first.
    pub fn resume(&mut self, index: usize) {
        for (from, message) in self.replicas[index].held.take().unwrap_or_default() {
            self.step(index, ControlEvent::Peer { from, message });
        }
    }

    /// Returns whether a replica is partitioned.
    pub fn is_partitioned(&self, index: usize) -> bool {
        self.replicas[index].is_partitioned
    }

    /// Returns whether the process of a replica runs.
    pub fn is_running(&self, index: usize) -> bool {
        self.replicas[index].held.is_none()
    }

    /// Partitions a replica until it is healed.
    pub fn partition(&mut self, index: usize) {
        self.replicas[index].is_partitioned = true;
    }

    /// Lets a partitioned replica reach the others again.
    pub fn heal(&mut self, index: usize) {
        self.replicas[index].is_partitioned = false;
    }

    /// Suspends a replica, or lets it go on.
    pub fn suspend(&mut self, index: usize, is_suspended: bool) {
        self.replicas[index].is_suspended = is_suspended;
    }

    /// Delivers counts of usage of an entry to a replica.
    pub fn deliver_usage(&mut self, index: usize, usage: Vec<UsageCount>) {
        self.deliver_watch(
            index,
            Watch {
                usage,
                ..Watch::default()
            },
        );
    }

    /// Delivers a message of an entry to a replica.
    pub fn deliver_watch(&mut self, index: usize, watch: Watch) {
        let watch = Watch {
            info: InstanceInfo {
                id: ENTRY.into(),
                ..InstanceInfo::default()
            },
            accepts_callers: true,
            ..watch
        };
        let message = PeerMessage::Watch(watch);
        let from = Name::from(ENTRY);
        self.step(index, ControlEvent::Peer { from, message });
    }

    /// Stops the process of a replica as planned, which ends within the grace period. Returns whether the replica was let
    /// go before.
    pub fn stop(&mut self, index: usize) -> bool {
        self.step(index, ControlEvent::Leave);
        let end_ms = self.now_ms + GRACE_MS;
        while self.now_ms < end_ms && !self.replicas[index].control.has_left() {
            self.run(STEP_MS);
        }
        self.partition(index);
        self.replicas[index].control.has_left()
    }

    /// Kills a replica and restarts it with its disk.
    pub fn restart(&mut self, index: usize) {
        let disk = std::mem::take(&mut self.replicas[index].disk);
        self.replicas[index] = self.start_replica(index, disk, false);
    }

    /// Starts a replica anew in the same process, as after a failure of its disk.
    pub fn reopen(&mut self, index: usize) {
        let disk = std::mem::take(&mut self.replicas[index].disk);
        let known = self.replicas[index].control.known_replicas();
        self.replicas[index] = self.start_replica_knowing(index, disk, false, known);
    }

    /// Restarts a replica with an empty disk.
    pub fn wipe(&mut self, index: usize) {
        self.replicas[index] = self.start_replica(index, Disk::default(), false);
    }

    /// Adds an instance with an empty disk and returns its index.
    pub fn add(&mut self) -> usize {
        let index = self.replicas.len();
        let replica = self.start_replica(index, Disk::default(), false);
        self.replicas.push(replica);
        index
    }

    /// Adds an instance with an empty disk whose settings name no other instances, and returns its index.
    pub fn add_without_contacts(&mut self) -> usize {
        self.add_with_contacts(0..0)
    }

    /// Adds an instance with an empty disk whose settings name some instances, and returns its index.
    pub fn add_with_contacts(&mut self, contacts: std::ops::Range<usize>) -> usize {
        let contacts = contacts.map(info).collect();
        let founders = std::mem::replace(&mut self.founders, contacts);
        let index = self.add();
        self.founders = founders;
        index
    }

    /// Gives a replica the contacts of its reloaded settings.
    pub fn reload_contacts(&mut self, index: usize) {
        let contacts = self.founders.clone();
        self.step(index, ControlEvent::Contacts(contacts));
    }

    /// Subscribes an entry to a replica and returns the reply.
    pub fn subscribed_reply(&mut self, index: usize) -> WatchReply {
        self.sent_to_entry.clear();
        self.subscribe(index);
        // The entry is not one of the replicas that a partition separates.
        for (_, to, message) in std::mem::take(&mut self.messages) {
            if to == ENTRY {
                self.sent_to_entry.push(message);
            }
        }
        let replies = self.sent_to_entry.iter();
        let reply = replies.rev().find_map(|message| match message {
            PeerMessage::WatchReply(reply) => Some(reply.clone()),
            _ => None,
        });
        reply.expect("the replica replies at once")
    }

    /// Subscribes an entry to a replica.
    pub fn subscribe(&mut self, index: usize) {
        self.deliver_watch(index, Watch::default());
    }
}

fn info(index: usize) -> InstanceInfo {
    InstanceInfo {
        id: Name::from(format!("10.0.0.{index}")),
        availability_zone: Name::from(format!("zone-{}", index % 3)),
        peer_address: Name::from(format!("10.0.0.{index}:7000")),
        ..InstanceInfo::default()
    }
}
