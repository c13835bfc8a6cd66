//! The reducer of a replica: the published document, the list of upstreams, and the subscribers to both.

use std::collections::VecDeque;

use bytes::Bytes;
use conf::{Map, Name};
use fleet::{InstanceInfo, PeerMessage, UpstreamRecord, Watch, WatchReply};
use quarantine::{Collector, Verdict};
use quorum::{
    EntryBody, Input, Output, RecoveredState, Replica, ReplicaId, ReplicaSettings, Write,
};

use crate::command::{self, Command};
use crate::config::Service;
use crate::duties::{Duties, DutyAction, DutySettings};
use crate::duty::{DutyCall, DutyOutcome};
use crate::incarnations::Incarnations;
use crate::lease::{LeaderLease, Subject};
use crate::listing::{LISTING_NOT_NEEDED, Listing};
use crate::notices::LeavingUpstreams;
use crate::replicas::KnownReplicas;
use crate::revocation::Confirmation;
use crate::scaling::UpstreamCount;
use crate::stages::{RoleOrder, RolePlanner};
use crate::subscribers::{Published, Subscribers};
use crate::voters::{self, Candidates, VoterChange};

/// Interval of the leader's heartbeats, in milliseconds. Several heartbeats fit into an election timeout, since a link
/// may lose some.
const HEARTBEAT_INTERVAL_MS: u64 = 120;
/// Shortest election timeout, in milliseconds: four heartbeats. After a restart of all replicas, entries wait for the
/// election.
const ELECTION_TIMEOUT_MIN_MS: u64 = 480;
/// Longest election timeout, in milliseconds.
const ELECTION_TIMEOUT_MAX_MS: u64 = 960;
/// Log entries after which a snapshot is taken. Each entry may hold a document of 100 KB.
const SNAPSHOT_ENTRIES: u64 = 64;
/// Age of the leader's last message above which the document may be outdated, in milliseconds.
const CURRENT_MAX_AGE_MS: u64 = 800;
/// Age of the last complete listing above which subscribers prefer another replica, in milliseconds.
const LISTING_MAX_AGE_MS: u64 = 2_500;
/// Interval at which the platform's list is read, in milliseconds. The tightest bound on draining upstreams is 3 s.
const LISTING_INTERVAL_MS: u64 = 1_000;
/// Age of the list above which a replica that is not the leader reads the list itself, in milliseconds: two intervals of
/// the leader's reads.
const LISTING_FALLBACK_AGE_MS: u64 = 2_000;
/// Interval of the subscription messages between replicas, in milliseconds.
const REPLICA_WATCH_INTERVAL_MS: u64 = 500;
/// Interval of these messages while entries report crashes of engines, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 150;
/// Time after which an operator's call without a result is answered with `Unavailable`, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 2_500;
/// Interval between decisions on the member set, in milliseconds.
const VOTER_DECISION_INTERVAL_MS: u64 = 100;
/// Time between two changes of the member set, in milliseconds.
const VOTER_CHANGE_INTERVAL_MS: u64 = 500;

/// Interval between decisions on the roles of engines, in milliseconds.
const ROLE_INTERVAL_MS: u64 = 500;

/// Settings of a replica.
#[derive(Clone, Debug, Default)]
pub struct ControlSettings {
    /// Identity of the instance.
    pub info: InstanceInfo,
    /// Identity of the replica's storage.
    pub storage_id: u64,
    /// Initial voters of the log; empty unless the whole system starts for the first time.
    pub founders: Vec<Name>,
    /// Instances that may be replicas of the log.
    pub contacts: Vec<InstanceInfo>,
    /// Other replicas that an earlier replica of the same process knew.
    pub known_replicas: Vec<InstanceInfo>,
    /// Target number of voters.
    pub target_voters: usize,
    /// Lease of the right to give orders to engines, in milliseconds.
    pub order_lease_ms: u64,
    /// Calls to the platform that only the leader makes.
    pub duties: DutySettings,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// An input of the replica's reducer.
#[derive(Clone, Debug)]
pub enum ControlEvent {
    /// Time has passed.
    Tick,
    /// Another instance has sent a message.
    Peer { from: Name, message: PeerMessage },
    /// All writes up to a ticket are synced to disk.
    Persisted { ticket: u64 },
    /// An operator publishes a valid document.
    Publish {
        call: u64,
        version: u64,
        document: Bytes,
    },
    /// An operator reads the newest document.
    Describe { call: u64 },
    /// The process is to stop.
    Leave,
    /// The settings have been read again and may name other instances that run replicas.
    Contacts(Vec<InstanceInfo>),
    /// An operator lifts the block of a part of prompts.
    LiftBlock { part: u64 },
    /// The platform's list has been read in full.
    Listed { upstreams: Vec<UpstreamRecord> },
    /// The platform's list could not be read.
    ListingFailed { reason: String },
    /// The services of the document in force have been decoded.
    Services(Vec<Service>),
    /// The time of day, in milliseconds since the Unix epoch.
    TimeOfDay { unix_ms: u64 },
    /// A call to the platform that only the leader makes has ended.
    DutyEnded {
        call: DutyCall,
        term: u64,
        outcome: DutyOutcome,
    },
    /// A call with an order to an engine has ended.
    OrderEnded {
        upstream: Name,
        term: u64,
        outcome: OrderOutcome,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine carries out the order, or already has the ordered role.
    Accepted,
    /// The engine currently refuses the order.
    Refused,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// The engine did not answer; it may still carry out the order.
    Unknown,
}

/// Answer to an operator's call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The published version, or a higher one, is in force.
    Acknowledged { version: u64 },
    /// The newest document; version 0 means that none has been published.
    Document { version: u64, document: Bytes },
    /// The call must be sent to the leader.
    Redirect { leader: Name },
    /// The result of the call is unknown.
    Unavailable { reason: &'static str },
}

/// An output of the replica's reducer, to be carried out in order.
#[derive(Clone, Debug)]
pub enum ControlEffect {
    /// Makes a write durable. The ticket is then to be reported with `ControlEvent::Persisted`.
    Persist { ticket: u64, write: Write },
    /// Sends a message, which may be lost.
    Send {
        to: Name,
        address: Name,
        message: Box<PeerMessage>,
    },
    /// Answers an operator's call.
    Answer { call: u64, answer: Answer },
    /// Reads the platform's list.
    ReadList,
    /// Orders an engine to change its role, with the term as fencing token. Nothing is to be sent after `valid_until_ms`,
    /// since another leader may give orders by then.
    Order {
        term: u64,
        order: RoleOrder,
        valid_until_ms: u64,
    },
    /// Calls the platform, with the term as fencing token. Nothing is to be sent after `valid_until_ms`.
    Duty {
        term: u64,
        call: DutyCall,
        valid_until_ms: u64,
    },
    /// Decodes the services of a document, which are then to be reported with `ControlEvent::Services`.
    DecodeServices { document: Bytes },
    /// Writes a log line.
    Log { text: String },
}

#[derive(Clone, Debug)]
enum PendingCall {
    /// The call waits until the log entry at `index` of `term` is applied.
    Publish { index: u64, term: u64, version: u64 },
    /// The call waits until a quorum confirms the read.
    ConfirmRead(Read),
    /// The call waits until the log entry at `index` is applied.
    ApplyRead { index: u64, read: Read },
}

#[derive(Clone, Debug)]
enum Read {
    Describe,
    Publish { version: u64, document: Bytes },
}

/// A replica's state.
#[derive(Debug)]
pub struct Control {
    settings: ControlSettings,
    replica: Replica,
    applied_index: u64,
    version: u64,
    document: Bytes,
    listing: Listing,
    /// When the platform's list was last read in full, by this replica or by the leader.
    listed_ms: Option<u64>,
    next_listing_ms: u64,
    subscribers: Subscribers,
    /// Replica whose document and list this one takes over while it knows no leader, as it is not a member of the log, and
    /// when that replica last stated that they are current.
    followed: Option<(Name, u64)>,
    /// Whether subscribers lack the newest document or listing.
    has_unsent_changes: bool,
    replicas: KnownReplicas,
    next_watch_ms: u64,
    /// When the document is known to have been the newest.
    confirmation: Confirmation,
    next_voter_change_ms: u64,
    role_planner: RolePlanner,
    /// Upstreams that have announced their end.
    leaving: LeavingUpstreams,
    /// Incarnations of upstreams whose start the list does not state.
    incarnations: Incarnations,
    /// Whether engines have accepted orders, or upstreams have announced their end, since the list was last marked.
    has_unmarked_upstreams: bool,
    next_role_orders_ms: u64,
    /// The right to give orders to engines and to call the platform as the leader.
    lease: LeaderLease,
    /// Calls to the platform that only the leader makes.
    duties: Duties,
    /// Parts of prompts under which engines crash.
    quarantine: Collector,
    /// Sequence number of the last subscription message to the other replicas.
    sequence: u64,
    /// Operators' calls in progress by id, each with its deadline, in milliseconds.
    calls: Map<u64, (u64, PendingCall)>,
    outputs: Vec<Output>,
    inputs: VecDeque<Input>,
    next_token: u64,
}

impl Control {
    /// Creates a replica from its recovered state.
    pub fn new(settings: ControlSettings, recovered: RecoveredState, now_ms: u64) -> Self {
        let replica_settings = ReplicaSettings {
            id: ReplicaId {
                instance: settings.info.id.clone(),
                storage_id: settings.storage_id,
            },
            initial_ids: settings.founders.iter().map(initial_id).collect(),
            initial_voters: settings.founders.clone(),
            heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
            election_timeout_min_ms: ELECTION_TIMEOUT_MIN_MS,
            election_timeout_max_ms: ELECTION_TIMEOUT_MAX_MS,
            snapshot_entries: SNAPSHOT_ENTRIES,
            seed: settings.seed,
        };
        let mut replica = Replica::new(replica_settings, recovered, now_ms);
        let own_id = settings.info.id.clone();
        let mut replicas = KnownReplicas::new(own_id, settings.contacts.clone(), now_ms);
        for info in &settings.known_replicas {
            replicas.on_named(info.clone(), now_ms);
        }
        let ids = replicas.infos().map(|info| info.id.clone());
        replica.set_join_targets(ids.collect());
        replica.set_target_voters(settings.target_voters);
        let lease = LeaderLease::new(settings.order_lease_ms);
        let duties = Duties::new(&settings.duties);
        Self {
            replicas,
            settings,
            replica,
            applied_index: 0,
            version: 0,
            document: Bytes::new(),
            listing: Listing::default(),
            listed_ms: None,
            next_listing_ms: now_ms,
            subscribers: Subscribers::default(),
            followed: None,
            has_unsent_changes: false,
            next_watch_ms: now_ms,
            confirmation: Confirmation::default(),
            next_voter_change_ms: now_ms,
            role_planner: RolePlanner::default(),
            leaving: LeavingUpstreams::default(),
            incarnations: Incarnations::default(),
            has_unmarked_upstreams: false,
            next_role_orders_ms: now_ms,
            lease,
            duties,
            quarantine: Collector::default(),
            sequence: 0,
            calls: Map::default(),
            outputs: Vec::new(),
            inputs: VecDeque::new(),
            // Tokens of voter changes must differ from the ids of operators' calls, which also serve as tokens.
            next_token: 1 << 62,
        }
    }

    /// Handles one event and appends the effects.
    pub fn step(&mut self, now_ms: u64, event: ControlEvent, effects: &mut Vec<ControlEffect>) {
        match event {
            ControlEvent::Tick => self.on_tick(now_ms, effects),
            ControlEvent::Peer { from, message } => self.on_peer(now_ms, from, message, effects),
            ControlEvent::Persisted { ticket } => self.queue_input(Input::Persisted { ticket }),
            ControlEvent::Publish {
                call,
                version,
                document,
            } => self.on_publish(now_ms, call, version, document),
            ControlEvent::Describe { call } => {
                self.confirm_read(now_ms, call, Read::Describe);
            }
            ControlEvent::Leave => self.queue_input(Input::Leave),
            ControlEvent::Contacts(contacts) => {
                self.replicas.set_contacts(contacts, now_ms);
                self.update_join_targets();
            }
            ControlEvent::LiftBlock { part } => {
                let lifted = self.quarantine.lift(now_ms, part);
                let operator = Name::from("operator");
                self.log_verdicts(lifted.as_slice(), &operator, effects);
            }
            ControlEvent::Listed { upstreams } => self.on_listed(now_ms, upstreams, effects),
            ControlEvent::OrderEnded {
                upstream,
                term,
                outcome,
            } => {
                if outcome == OrderOutcome::Fenced {
                    self.lease.on_fenced(Subject::EngineRoles, term);
                }
                if outcome == OrderOutcome::Accepted {
                    self.role_planner.on_accepted(&upstream);
                    self.has_unmarked_upstreams = true;
                }
                log(
                    effects,
                    format!("upstream={upstream} term={term} order={outcome:?}"),
                );
            }
            ControlEvent::Services(services) => self.duties.set_services(services),
            ControlEvent::TimeOfDay { unix_ms } => self.duties.observe_time(now_ms, unix_ms),
            ControlEvent::DutyEnded {
                call,
                term,
                outcome,
            } => {
                let mut actions = Vec::new();
                let lease = &mut self.lease;
                self.duties
                    .on_ended(now_ms, term, &call, outcome, lease, &mut actions);
                self.perform(actions, effects);
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
        // After a restart many versions are applied at once, and subscribers need only the last one.
        if std::mem::take(&mut self.has_unsent_changes) {
            self.notify_outdated_subscribers(now_ms, effects);
        }
    }

    /// Returns the replica's state, for status and metrics.
    pub fn status(&self) -> quorum::Status {
        self.replica.status()
    }

    /// Returns the other replicas that this one knows.
    pub fn known_replicas(&self) -> Vec<InstanceInfo> {
        self.replicas.infos().cloned().collect()
    }

    /// Returns whether the process may stop after `ControlEvent::Leave` without the loss of a vote that another replica
    /// could take over.
    pub fn has_left(&self) -> bool {
        self.replica.has_left()
    }

    /// Returns the numbers of upstreams that this replica plans and sees as the leader.
    pub fn upstream_counts(&self) -> Vec<UpstreamCount> {
        self.duties.upstream_counts()
    }

    /// Returns the version of the list of upstreams on this replica.
    pub fn listing(&self) -> u64 {
        self.listing.version()
    }

    /// Returns the verdicts on parts of prompts under which engines crash.
    pub fn verdicts(&self, now_ms: u64) -> Vec<Verdict> {
        self.quarantine.verdicts().export(now_ms)
    }

    /// Returns the version of the document in force on this replica.
    pub fn version(&self) -> u64 {
        self.version
    }

    fn queue_input(&mut self, input: Input) {
        self.inputs.push_back(input);
    }

    fn run_replica(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        while let Some(input) = self.inputs.pop_front() {
            let mut outputs = std::mem::take(&mut self.outputs);
            self.replica.step(now_ms, input, &mut outputs);
            for output in outputs.drain(..) {
                self.on_output(now_ms, output, effects);
            }
            self.outputs = outputs;
        }
    }

    fn on_tick(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.queue_input(Input::Tick);
        // A leader that was suspended steps down before it decides anything.
        self.run_replica(now_ms, effects);
        // Many engines may accept their first orders between two ticks.
        if std::mem::take(&mut self.has_unmarked_upstreams) {
            self.mark_upstreams(now_ms, effects);
        }
        self.subscribers.expire(now_ms);
        self.block_parts(now_ms, effects);
        self.expire_calls(now_ms, effects);
        if now_ms >= self.next_listing_ms && self.must_read_list(now_ms) {
            self.next_listing_ms = now_ms + LISTING_INTERVAL_MS;
            effects.push(ControlEffect::ReadList);
        }
        if now_ms >= self.next_watch_ms {
            self.next_watch_ms = now_ms
                + match self.quarantine.has_report() {
                    true => REPORT_INTERVAL_MS,
                    false => REPLICA_WATCH_INTERVAL_MS,
                };
            self.forget_replicas(now_ms, effects);
            self.subscribe_to_replicas(now_ms, effects);
        }
        if now_ms >= self.next_voter_change_ms {
            self.next_voter_change_ms = now_ms + VOTER_DECISION_INTERVAL_MS;
            self.change_voters(now_ms, effects);
        }
        self.observe_leadership(now_ms);
        if now_ms >= self.next_role_orders_ms {
            self.next_role_orders_ms = now_ms + ROLE_INTERVAL_MS;
            self.order_roles(now_ms, effects);
        }
        let mut actions = Vec::new();
        let has_document = self.version > 0;
        self.duties
            .on_tick(now_ms, &self.lease, has_document, &mut actions);
        if self.has_current_listing(now_ms) {
            let upstreams = self.listing.records();
            self.duties
                .plan_upstreams(now_ms, &self.lease, upstreams, &mut actions);
        }
        self.perform(actions, effects);
    }

    fn perform(&mut self, actions: Vec<DutyAction>, effects: &mut Vec<ControlEffect>) {
        for action in actions {
            match action {
                DutyAction::Call {
                    term,
                    call,
                    valid_until_ms,
                } => effects.push(ControlEffect::Duty {
                    term,
                    call,
                    valid_until_ms,
                }),
                DutyAction::Propose(command) => {
                    let token = self.take_token();
                    let command = command.encode();
                    self.queue_input(Input::Propose { token, command });
                }
                DutyAction::Log(text) => log(effects, text),
            }
        }
    }

    /// Returns whether this replica reads the platform's list: the leader reads it for all replicas, which read it
    /// themselves if the leader's list does not arrive.
    fn must_read_list(&self, now_ms: u64) -> bool {
        if self.listed_ms.is_none() {
            return true;
        }
        match self.replica.status().is_leader {
            true => self.subscribers.entries() + self.replicas.entries(now_ms) > 0,
            false => {
                let is_outdated = self.listing_age_ms(now_ms) > LISTING_FALLBACK_AGE_MS;
                is_outdated && self.subscribers.entries() > 0
            }
        }
    }

    fn observe_leadership(&mut self, now_ms: u64) {
        let status = self.replica.status();
        let leader_term = status.is_leader.then_some(status.term);
        if self.lease.observe(now_ms, leader_term) {
            self.role_planner = RolePlanner::default();
            self.duties.on_leading();
        }
    }

    /// Orders engines to change their roles, once no order of an earlier leader can still be in transit.
    fn order_roles(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let is_listing_current = self.listing_age_ms(now_ms) <= LISTING_MAX_AGE_MS;
        let permit = self.lease.permit(now_ms, Subject::EngineRoles);
        let Some(permit) = permit.filter(|_| is_listing_current) else {
            return;
        };
        self.role_planner.set_scaled(self.duties.is_scaling());
        for order in self
            .role_planner
            .next_orders(now_ms, self.listing.records())
        {
            log(
                effects,
                format!(
                    "upstream={} role={:?} term={} decision=order listing_age_ms={}",
                    order.upstream,
                    order.role,
                    permit.term,
                    self.listing_age_ms(now_ms)
                ),
            );
            effects.push(ControlEffect::Order {
                term: permit.term,
                order,
                valid_until_ms: permit.valid_until_ms,
            });
        }
    }

    fn change_voters(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        if !self.replica.status().is_leader {
            return;
        }
        let mut zones: Map<Name, Name> = self
            .replicas
            .infos()
            .map(|info| (info.id.clone(), info.availability_zone.clone()))
            .collect();
        let own = &self.settings.info;
        zones.insert(own.id.clone(), own.availability_zone.clone());
        let members = self.replica.status().members;
        let has_vote = |instance: &Name| members.voters.iter().any(|id| id.instance == *instance);
        let instances = members.instances.iter();
        let candidates = Candidates {
            leader: own.id.clone(),
            member_ages_ms: self.replica.member_activity_ages_ms(),
            joiners: self.replica.join_requests(voters::REPLACE_AFTER_MS),
            leavers: self.replica.leavers(),
            pending: instances.filter(|id| !has_vote(id)).cloned().collect(),
            superseded: members.superseded,
            zones,
            target: self.settings.target_voters,
            is_settled: self.replica.has_settled_members(),
        };
        let Some(change) = voters::next_change(&candidates) else {
            return;
        };
        self.next_voter_change_ms = now_ms + VOTER_CHANGE_INTERVAL_MS;
        log(effects, format!("voters=changing change={change:?}"));
        let token = self.take_token();
        self.queue_input(match change {
            VoterChange::Add { new, superseded } => Input::AddVoter {
                token,
                new,
                superseded,
            },
            VoterChange::Replace {
                old,
                new,
                superseded,
            } => Input::ReplaceVoter {
                token,
                old,
                new,
                superseded,
            },
            VoterChange::Remove(old) => Input::RemoveVoter { token, old },
        });
    }

    fn take_token(&mut self) -> u64 {
        self.next_token += 1;
        self.next_token
    }

    fn subscribe_to_replicas(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        self.sequence += 1;
        self.confirmation.on_sent(now_ms, self.sequence);
        let watch = Watch {
            info: self.settings.info.clone(),
            sequence: self.sequence,
            prefix_uses: self.subscribers.take_unsent_prefix_uses(),
            quarantine: self.quarantine.report(now_ms),
            leaving: self.leaving.unlisted(),
            ..Watch::default()
        };
        let status = self.replica.status();
        let (leader, term) = (status.leader, status.term);
        let members = status.members.instances;
        // A replica that is not a member of the log knows no leader.
        let usage_receiver = match (&leader, &self.followed) {
            (None, Some((followed, _))) if self.is_following(now_ms) => Some(followed.clone()),
            (leader, _) => leader.clone(),
        };
        for info in self.replicas.due(&members, now_ms) {
            let (version, listing) = match &leader {
                // A member takes the document from the log.
                Some(leader) if *leader == info.id => (u64::MAX, self.listing.version()),
                None if self.may_follow(now_ms, &info.id) => (self.version, self.listing.version()),
                _ => (u64::MAX, LISTING_NOT_NEEDED),
            };
            let usage = match &usage_receiver {
                Some(receiver) if *receiver == info.id => {
                    let sequence = self.sequence;
                    self.duties
                        .unacknowledged_usage(now_ms, receiver, term, sequence)
                }
                _ => Vec::new(),
            };
            // A replica that is not a member of the log does not know which one leads.
            let may_lead = leader.as_ref().is_none_or(|leader| *leader == info.id);
            let demand = match may_lead {
                true => self.duties.own_demand(now_ms),
                false => Vec::new(),
            };
            let watch = Watch {
                demand,
                version,
                listing,
                usage,
                ..watch.clone()
            };
            effects.push(send(&info, PeerMessage::Watch(watch)));
        }
    }

    /// Returns whether a replica is the one that this replica follows, or there is none.
    fn may_follow(&self, now_ms: u64, id: &Name) -> bool {
        match &self.followed {
            Some((followed, _)) if self.is_following(now_ms) => followed == id,
            _ => true,
        }
    }

    /// Returns whether another replica has recently stated that what this replica has taken over is current.
    fn is_following(&self, now_ms: u64) -> bool {
        let followed = self.followed.as_ref();
        followed.is_some_and(|(_, at_ms)| now_ms - at_ms <= CURRENT_MAX_AGE_MS)
    }

    fn update_join_targets(&mut self) {
        let ids = self.replicas.infos().map(|info| info.id.clone());
        self.replica.set_join_targets(ids.collect());
    }

    fn forget_replicas(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let members = self.replica.status().members.instances;
        let forgotten = self.replicas.forget(&members, now_ms);
        if forgotten.is_empty() {
            return;
        }
        self.update_join_targets();
        for id in forgotten {
            log(effects, format!("replica={id} outcome=forgotten"));
        }
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
                // Storage id 0 addresses the instance's replica, whatever its storage.
                if to.storage_id == 0 || to.storage_id == own {
                    self.queue_input(Input::Receive { from, message });
                }
            }
            PeerMessage::Watch(watch) => self.on_watch(now_ms, watch, effects),
            PeerMessage::WatchReply(reply) => self.on_watch_reply(now_ms, &from, reply, effects),
            _ => log(
                effects,
                format!("peer={from} message=unexpected outcome=dropped"),
            ),
        }
    }

    fn on_watch(&mut self, now_ms: u64, mut watch: Watch, effects: &mut Vec<ControlEffect>) {
        let id = watch.info.id.clone();
        if watch.is_probe {
            let next_reply =
                |subscribers: &mut Subscribers, _: &Name, published: &Published<'_>| {
                    subscribers.probe_reply(watch, published)
                };
            return self.send_update(now_ms, &id, next_reply, effects);
        }
        if !watch.accepts_callers && self.replicas.on_message(&watch.info, now_ms) {
            log(effects, format!("replica={id} outcome=discovered"));
            self.update_join_targets();
        }
        self.duties.merge_usage(&watch.usage);
        let demand = std::mem::take(&mut watch.demand);
        self.duties
            .on_demand(now_ms, &id, watch.accepts_callers, demand);
        self.note_leaving(now_ms, &watch, effects);
        let accepts_callers = watch.accepts_callers;
        let report = &watch.quarantine;
        let changed = self.quarantine.on_report(now_ms, report, accepts_callers);
        self.log_verdicts(&changed, &id, effects);
        if accepts_callers && self.quarantine.has_report() {
            self.next_watch_ms = self.next_watch_ms.min(now_ms + REPORT_INTERVAL_MS);
        }
        let trials = match self.replica.status().is_leader && accepts_callers {
            true => self.quarantine.take_trials(now_ms, &report.refused),
            false => Vec::new(),
        };
        let is_new = self.subscribers.on_watch(now_ms, watch);
        if is_new && accepts_callers {
            log(effects, format!("entry={id} outcome=subscribed"));
        }
        for part in &trials {
            log(
                effects,
                format!("parts={part:016x} decision=grant_trial entry={id}"),
            );
        }
        let next_reply = |subscribers: &mut Subscribers, id: &Name, published: &Published<'_>| {
            let (info, mut reply) = subscribers.reply(id, published)?;
            reply.quarantine.trials = trials;
            Some((info, reply))
        };
        self.send_update(now_ms, &id, next_reply, effects);
    }

    /// Records the upstreams that have announced their end to a subscriber. The leader marks them in the list of all
    /// instances; other replicas pass them on to it.
    fn note_leaving(&mut self, now_ms: u64, watch: &Watch, effects: &mut Vec<ControlEffect>) {
        for upstream in &watch.leaving {
            if self.leaving.insert(now_ms, *upstream) {
                self.has_unmarked_upstreams |= self.replica.status().is_leader;
                log(
                    effects,
                    format!(
                        "upstream_key={:016x} draining=true source={}",
                        upstream.upstream_key, watch.info.id
                    ),
                );
            }
        }
    }

    /// Blocks the parts of prompts against which there is enough evidence.
    fn block_parts(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        for condemned in self.quarantine.decide(now_ms) {
            log(
                effects,
                format!(
                    "parts={:016x} decision=block crashes={}",
                    condemned.part, condemned.crashes
                ),
            );
            self.has_unsent_changes = true;
        }
    }

    fn log_verdicts(&mut self, changed: &[Verdict], from: &Name, effects: &mut Vec<ControlEffect>) {
        for verdict in changed {
            log(effects, format!("{verdict} source={from}"));
            self.has_unsent_changes = true;
        }
    }

    fn on_watch_reply(
        &mut self,
        now_ms: u64,
        from: &Name,
        reply: WatchReply,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.replicas.set_entries(from, reply.entries);
        self.duties.on_reply(from, reply.sequence);
        let changed = self.quarantine.merge(now_ms, &reply.quarantine.verdicts);
        self.log_verdicts(&changed, from, effects);
        match self.replica.status().leader {
            Some(leader) if leader == *from => self.take_over_listing(now_ms, &reply, effects),
            None if reply.is_current => self.follow(now_ms, from, &reply, effects),
            _ => {}
        }
        let age_ms = reply.document_age_ms;
        self.confirmation
            .on_reply(reply.sequence, reply.version, age_ms, self.version);
        let mut has_new = false;
        for info in reply.replicas {
            has_new |= self.replicas.on_named(info, now_ms);
        }
        // The leader may be among them, and only it can let this replica join the log.
        if has_new {
            self.update_join_targets();
        }
    }

    /// Takes over the document and the list of a replica that is current.
    fn follow(
        &mut self,
        now_ms: u64,
        from: &Name,
        reply: &WatchReply,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.followed = Some((from.clone(), now_ms));
        if let Some(document) = &reply.document {
            self.set_document(reply.version, document.clone(), effects);
        }
        self.take_over_listing(now_ms, reply, effects);
    }

    /// Takes over the list of another replica, unless this replica has read a newer one itself.
    fn take_over_listing(
        &mut self,
        now_ms: u64,
        reply: &WatchReply,
        effects: &mut Vec<ControlEffect>,
    ) {
        if reply.listing_age_ms >= self.listing_age_ms(now_ms) {
            return;
        }
        let previous = self.listing.version();
        let has_version = match &reply.listing_update {
            Some(update) => self.listing.apply(reply.listing, update),
            None => reply.listing == previous,
        };
        if has_version {
            self.listed_ms = Some(now_ms.saturating_sub(reply.listing_age_ms));
        }
        if self.listing.version() != previous {
            let records = self.listing.records();
            self.leaving.on_listed(now_ms, records);
            self.incarnations.on_received(now_ms, records);
            self.on_listing_changed(effects);
        }
    }

    /// Sends a subscriber what it lacks.
    fn send_update(
        &mut self,
        now_ms: u64,
        id: &Name,
        next_reply: impl FnOnce(
            &mut Subscribers,
            &Name,
            &Published<'_>,
        ) -> Option<(InstanceInfo, WatchReply)>,
        effects: &mut Vec<ControlEffect>,
    ) {
        let members = self.replica.status().members.instances;
        let mut replicas = self.replicas.named(&members, now_ms);
        replicas.push(self.settings.info.clone());
        let published = Published {
            now_ms,
            is_current: self.is_current(now_ms),
            is_confirmed_by_log: self.hears_leader() && self.has_current_listing(now_ms),
            version: self.version,
            document_age_ms: self
                .confirmation
                .age_ms(now_ms, self.replica.confirmed_ms()),
            document: &self.document,
            listing: &self.listing,
            listing_age_ms: self.listing_age_ms(now_ms),
            replicas: &replicas,
            other_entries: self.replicas.entries(now_ms),
            quarantine: &self.quarantine,
        };
        if let Some((info, reply)) = next_reply(&mut self.subscribers, id, &published) {
            effects.push(send(&info, PeerMessage::WatchReply(reply)));
        }
    }

    fn is_current(&self, now_ms: u64) -> bool {
        let is_confirmed = self.hears_leader() || self.is_following(now_ms);
        is_confirmed && self.has_current_listing(now_ms)
    }

    /// Returns whether the leader of the log has recently sent a message, or is this replica.
    fn hears_leader(&self) -> bool {
        let leader_age_ms = self.replica.leader_message_age_ms();
        leader_age_ms.is_some_and(|age_ms| age_ms <= CURRENT_MAX_AGE_MS)
    }

    fn has_current_listing(&self, now_ms: u64) -> bool {
        self.listing_age_ms(now_ms) <= LISTING_MAX_AGE_MS
    }

    fn listing_age_ms(&self, now_ms: u64) -> u64 {
        self.listed_ms.map_or(u64::MAX, |at_ms| now_ms - at_ms)
    }

    fn on_listed(
        &mut self,
        now_ms: u64,
        mut upstreams: Vec<UpstreamRecord>,
        effects: &mut Vec<ControlEffect>,
    ) {
        self.listed_ms = Some(now_ms);
        self.incarnations.resolve(now_ms, &mut upstreams);
        self.set_listing(now_ms, upstreams, effects);
    }

    /// Marks the engines that are changing their roles by an order of this leader, and the upstreams that have announced
    /// their end, so that entries send them nothing.
    fn mark_upstreams(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let records = self.listing.records().to_vec();
        self.set_listing(now_ms, records, effects);
    }

    fn set_listing(
        &mut self,
        now_ms: u64,
        mut upstreams: Vec<UpstreamRecord>,
        effects: &mut Vec<ControlEffect>,
    ) {
        for upstream in &mut upstreams {
            upstream.is_changing = self.role_planner.is_changing(upstream);
            upstream.draining |= self.leaving.contains(upstream);
        }
        self.leaving.on_listed(now_ms, &upstreams);
        if self.listing.replace(upstreams) {
            self.on_listing_changed(effects);
        }
    }

    fn on_listing_changed(&mut self, effects: &mut Vec<ControlEffect>) {
        let upstreams = self.listing.records();
        let draining = upstreams
            .iter()
            .filter(|upstream| upstream.draining)
            .count();
        log(
            effects,
            format!(
                "list=changed listing={:x} upstreams={} draining={draining}",
                self.listing.version(),
                upstreams.len()
            ),
        );
        self.has_unsent_changes = true;
    }

    fn notify_outdated_subscribers(&mut self, now_ms: u64, effects: &mut Vec<ControlEffect>) {
        let outdated = self.subscribers.outdated(
            self.version,
            self.listing.version(),
            self.quarantine.verdicts().version(),
        );
        for id in outdated {
            self.send_update(now_ms, &id, Subscribers::notification, effects);
        }
    }

    fn on_publish(&mut self, now_ms: u64, call: u64, version: u64, document: Bytes) {
        if version <= self.version {
            let read = Read::Publish { version, document };
            return self.confirm_read(now_ms, call, read);
        }
        self.propose(now_ms, call, version, document);
    }

    fn propose(&mut self, now_ms: u64, call: u64, version: u64, document: Bytes) {
        let pending = PendingCall::Publish {
            index: u64::MAX,
            term: 0,
            version,
        };
        self.calls.insert(call, (now_ms + CALL_TIMEOUT_MS, pending));
        self.queue_input(Input::Propose {
            token: call,
            command: Command::Document { version, document }.encode(),
        });
    }

    fn confirm_read(&mut self, now_ms: u64, call: u64, read: Read) {
        let deadline_ms = now_ms + CALL_TIMEOUT_MS;
        self.calls
            .insert(call, (deadline_ms, PendingCall::ConfirmRead(read)));
        self.queue_input(Input::Read { token: call });
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
                    PendingCall::Publish {
                        index: call_index,
                        term: call_term,
                        ..
                    },
                )) = self.calls.get_mut(&token)
                {
                    (*call_index, *call_term) = (index, term);
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
                if let Some((deadline_ms, PendingCall::ConfirmRead(read))) =
                    self.calls.remove(&token)
                {
                    let call = PendingCall::ApplyRead { index, read };
                    self.calls.insert(token, (deadline_ms, call));
                }
                self.answer_reads(now_ms, effects);
            }
            Output::Apply(entry) => {
                self.applied_index = entry.index;
                match entry.body {
                    EntryBody::Command(command) => match Command::decode(command) {
                        Some(command) => self.apply(command, effects),
                        None => log(effects, "command=unreadable outcome=skipped".to_owned()),
                    },
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
                match command::decode_snapshot(snapshot.state) {
                    Some(commands) => {
                        for command in commands {
                            self.apply(command, effects);
                        }
                    }
                    None => log(effects, "snapshot=unreadable outcome=skipped".to_owned()),
                }
                self.answer_reads(now_ms, effects);
            }
            Output::TakeSnapshot { index } => {
                let state = command::encode_snapshot(&self.snapshot());
                self.queue_input(Input::SnapshotState { index, state });
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
        let Some(info) = self.replicas.get(&to.instance) else {
            log(
                effects,
                format!("replica={} outcome=unknown_address", to.instance),
            );
            return;
        };
        effects.push(send(info, PeerMessage::Quorum { from, to, message }));
    }

    /// Applies a committed command. The document with the highest version stays in force; a lower or equal one changes
    /// nothing.
    fn apply(&mut self, command: Command, effects: &mut Vec<ControlEffect>) {
        match command {
            Command::Document { version, document } => {
                self.set_document(version, document, effects);
            }
            command => {
                let mut actions = Vec::new();
                self.duties.apply(command, &mut actions);
                self.perform(actions, effects);
            }
        }
    }

    /// Returns the commands that lead to the present state.
    fn snapshot(&self) -> Vec<Command> {
        let document = (self.version > 0).then(|| Command::Document {
            version: self.version,
            document: self.document.clone(),
        });
        document.into_iter().chain(self.duties.snapshot()).collect()
    }

    /// Puts a committed document in force, unless the same or a higher version is.
    fn set_document(&mut self, version: u64, document: Bytes, effects: &mut Vec<ControlEffect>) {
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
        if self.duties.needs_services() {
            let document = document.clone();
            effects.push(ControlEffect::DecodeServices { document });
        }
        self.version = version;
        self.document = document;
        self.has_unsent_changes = true;
    }

    fn answer_publishes(&mut self, applied: u64, in_term: u64, effects: &mut Vec<ControlEffect>) {
        let mut due: Vec<(u64, Answer)> = Vec::new();
        for (call, (_, pending)) in &self.calls {
            if let PendingCall::Publish {
                index,
                term,
                version,
            } = pending
                && *index == applied
            {
                let answer = match (*term == in_term, *version <= self.version) {
                    (true, true) => Answer::Acknowledged { version: *version },
                    (true, false) => Answer::Unavailable {
                        reason: "the committed entry could not be applied",
                    },
                    (false, _) => Answer::Unavailable {
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
                PendingCall::ApplyRead { index, read } if *index <= self.applied_index => {
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
                        self.propose(now_ms, call, version, document);
                    }
                }
            }
        }
    }
}

fn initial_id(instance: &Name) -> ReplicaId {
    ReplicaId {
        instance: instance.clone(),
        storage_id: quorum::initial_storage_id(instance),
    }
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
