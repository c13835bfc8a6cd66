//! A simulated cluster of reducers with a virtual clock, a lossy network, disks that keep only synced writes, and fakes
//! of upstreams.
#![allow(dead_code)]

pub mod config;
pub mod disk;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet};

use conf::admin::{ApplyReply, ApplyRequest, ChangeReply, OrderRequest};
use conf::settings::{Instance, Timing, Voter};
use conf::{Fencing, Name, Role, ServiceConfig, Settings};
use reducer::{
    AdminReply, AdminRequest, Arrival, Effect, End, Event, InitialState, OrderAnswer, Refusal,
    RequestKind, State, step,
};

use disk::Disk;
use upstream::{Engine, PlainService};

/// Wall-clock time at virtual time 0, in milliseconds.
const EPOCH_MS: u64 = 1_700_000_000_000;

pub const TICK_MS: u64 = 20;

/// A random generator of the xorshift family.
#[derive(Clone, Debug)]
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % limit.max(1)
    }
}

/// How a caller's request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Answered,
    Replayed,
    Refused(Refusal),
}

impl Outcome {
    /// Returns whether the caller was told that the request has not run.
    pub fn says_not_run(&self) -> bool {
        match self {
            Outcome::Answered | Outcome::Replayed => false,
            Outcome::Refused(refusal) => !matches!(
                refusal,
                Refusal::Running
                    | Refusal::MayHaveRun
                    | Refusal::UpstreamFailed
                    | Refusal::TimedOutRunning
            ),
        }
    }
}

/// What happens to a process at a scheduled time.
#[derive(Clone, Debug)]
enum Action {
    Event(Event),
    Sync { up_to_ticket: u64 },
    WriteRequest { effect: Effect },
    WriteOrder { effect: Effect },
}

#[derive(Clone, Debug)]
struct Scheduled {
    instance: Name,
    /// Incarnation of the process that the action belongs to; `None` for a message, which any incarnation receives.
    incarnation: Option<u64>,
    action: Action,
}

/// An instance whose process may be down; its settings and its disk outlive the process.
pub struct SimulatedInstance {
    pub state: Option<State>,
    pub settings: Settings,
    pub disk: Disk,
    pub incarnation: u64,
    pub suspended_until_ms: u64,
    /// Revisions that the process has brought into force, in order.
    pub in_force: Vec<u64>,
    pub exited: bool,
    last_exchange: u64,
}

pub struct Cluster {
    pub now_ms: u64,
    pub instances: BTreeMap<Name, SimulatedInstance>,
    pub random: Random,
    pub blocked_links: BTreeSet<(Name, Name)>,
    pub loss_percent: u64,
    /// Instance that is suspended between its next decision to send an order and the write of the order, and the
    /// duration in milliseconds.
    pub suspend_before_order: Option<(Name, u64)>,
    pub services: BTreeMap<Name, PlainService>,
    pub engines: BTreeMap<Name, Engine>,
    /// Parts of prompts, by instance and exchange.
    prompts: BTreeMap<(Name, u64), Vec<u64>>,
    /// Part of a prompt under which engines crash.
    pub deadly_part: Option<u64>,
    /// Keys of non-idempotent requests, by instance and exchange.
    pub requests: BTreeMap<(Name, u64), Name>,
    pub outcomes: BTreeMap<(Name, u64), Outcome>,
    /// Exchanges that models have answered completely, by instance.
    pub answered: BTreeSet<(Name, u64)>,
    pub admin_replies: BTreeMap<u64, AdminReply>,
    /// Content ids of accepted configurations, by revision.
    pub accepted: BTreeMap<u64, Name>,
    /// Descriptions of violated invariants.
    pub violations: Vec<String>,
    pub logs: Vec<String>,
    schedule: BTreeMap<(u64, u64), Scheduled>,
    sequence: u64,
    last_token: u64,
}

impl Cluster {
    /// Creates `voters` voters and `others` instances that are no voters, distributed over three availability zones in
    /// turn.
    pub fn new(seed: u64, voters: usize, others: usize) -> Self {
        let mut cluster = Self {
            now_ms: 0,
            instances: BTreeMap::new(),
            random: Random::new(seed),
            blocked_links: BTreeSet::new(),
            loss_percent: 0,
            suspend_before_order: None,
            services: BTreeMap::new(),
            engines: BTreeMap::new(),
            prompts: BTreeMap::new(),
            deadly_part: None,
            requests: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            answered: BTreeSet::new(),
            admin_replies: BTreeMap::new(),
            accepted: BTreeMap::new(),
            violations: Vec::new(),
            logs: Vec::new(),
            schedule: BTreeMap::new(),
            sequence: 0,
            last_token: 0,
        };
        let voter_list: Vec<Voter> = (0..voters)
            .map(|n| Voter {
                id: format!("v{n}").into(),
                availability_zone: zone(n),
                peer_address: format!("127.0.0.1:{}", 7_000 + n).into(),
            })
            .collect();
        for n in 0..voters + others {
            let id: Name = match n < voters {
                true => format!("v{n}").into(),
                false => format!("e{}", n - voters).into(),
            };
            let settings = Settings {
                instance: Instance {
                    id: id.clone(),
                    availability_zone: zone(n),
                    peer_address: format!("127.0.0.1:{}", 7_000 + n).into(),
                    ..Instance::default()
                },
                voters: voter_list.clone(),
                timing: Timing {
                    tick_interval_ms: TICK_MS,
                    ..Timing::default()
                },
                ..Settings::default()
            };
            let disk = Disk::new(cluster.random.below(u64::MAX - 1) + 1);
            cluster
                .instances
                .insert(id.clone(), SimulatedInstance::new(settings, disk));
            cluster.start(&id);
        }
        cluster
    }

    /// Creates three voters, `others` instances that are no voters, and the upstreams of [`config::config`].
    pub fn with_upstreams(seed: u64, others: usize) -> Self {
        let mut cluster = Self::new(seed, 3, others);
        cluster
            .services
            .insert("rota-1".into(), PlainService::default());
        let engines = [("lax", Fencing::Ignored), ("strict", Fencing::Enforced)];
        for (name, fencing) in engines {
            cluster.engines.insert(name.into(), Engine::new(fencing));
        }
        cluster
    }

    pub fn is_voter(&self, id: &Name) -> bool {
        self.instances[id]
            .settings
            .voters
            .iter()
            .any(|v| v.id == *id)
    }

    /// Starts a process of an instance with the state on its disk.
    pub fn start(&mut self, id: &Name) {
        let is_voter = self.is_voter(id);
        let seed = self.random.below(1 << 40);
        let now_ms = self.now_ms;
        let instance = self.instances.get_mut(id).expect("the instance exists");
        instance.incarnation += 1;
        instance.suspended_until_ms = 0;
        instance.in_force.clear();
        instance.exited = false;
        let start = InitialState {
            settings: instance.settings.clone(),
            incarnation: instance.incarnation,
            replica: is_voter.then(|| (instance.disk.storage_id, instance.disk.recovered.clone())),
            seed,
        };
        instance.state = Some(State::new(start, now_ms));
        let tick = Event::Tick {
            unix_ms: EPOCH_MS + now_ms,
        };
        self.schedule_for_process(id, 1, Action::Event(tick));
    }

    /// Crashes a process. Its disk keeps the synced writes and possibly some unsynced writes.
    pub fn crash(&mut self, id: &Name) {
        let keep = self.random.below(4);
        let instance = self.instances.get_mut(id).expect("the instance exists");
        if instance.state.take().is_some() {
            instance.disk.crash(keep);
        }
    }

    /// Crashes a process and replaces its disk by an empty one.
    pub fn wipe(&mut self, id: &Name) {
        self.crash(id);
        let storage_id = self.random.below(u64::MAX - 1) + 1;
        self.instances
            .get_mut(id)
            .expect("the instance exists")
            .disk = Disk::new(storage_id);
    }

    pub fn suspend(&mut self, id: &Name, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        let instance = self.instances.get_mut(id).expect("the instance exists");
        instance.suspended_until_ms = instance.suspended_until_ms.max(until_ms);
    }

    pub fn isolate(&mut self, id: &Name) {
        let others: Vec<Name> = self
            .instances
            .keys()
            .filter(|n| *n != id)
            .cloned()
            .collect();
        for other in others {
            self.blocked_links.insert((id.clone(), other.clone()));
            self.blocked_links.insert((other, id.clone()));
        }
    }

    pub fn partition_zone(&mut self, zone: &str) {
        let (inside, outside): (Vec<Name>, Vec<Name>) = self
            .instances
            .keys()
            .cloned()
            .partition(|id| self.instances[id].settings.instance.availability_zone == zone);
        for a in &inside {
            for b in &outside {
                self.blocked_links.insert((a.clone(), b.clone()));
                self.blocked_links.insert((b.clone(), a.clone()));
            }
        }
    }

    pub fn restore_links(&mut self) {
        self.blocked_links.clear();
    }

    /// Runs until `duration_ms` have passed.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while let Some((&(at_ms, sequence), _)) = self.schedule.first_key_value() {
            if at_ms > end_ms {
                break;
            }
            self.now_ms = self.now_ms.max(at_ms);
            let scheduled = self
                .schedule
                .remove(&(at_ms, sequence))
                .expect("the action is scheduled");
            self.handle_scheduled(scheduled);
        }
        self.now_ms = end_ms;
    }

    /// Runs until `condition` holds, for at most `limit_ms`. Returns whether it holds.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms {
            if condition(self) {
                return true;
            }
            self.run(TICK_MS);
        }
        condition(self)
    }

    /// Returns the instance that considers itself the leader, among those that are not suspended.
    pub fn leader(&self) -> Option<Name> {
        self.instances
            .iter()
            .filter(|(_, instance)| instance.suspended_until_ms <= self.now_ms)
            .find(|(_, instance)| instance.state.as_ref().is_some_and(State::leads))
            .map(|(id, _)| id.clone())
    }

    pub fn revision_of(&self, id: &str) -> u64 {
        let instance = &self.instances[id];
        instance.state.as_ref().map_or(0, State::revision)
    }

    /// Returns whether every running instance has `revision` in force.
    pub fn all_in_force(&self, revision: u64) -> bool {
        self.instances
            .values()
            .filter_map(|instance| instance.state.as_ref())
            .all(|state| state.revision() == revision)
    }

    /// Applies a configuration through an instance. Returns the token of the reply.
    pub fn apply(&mut self, id: &Name, base_revision: u64, config: &ServiceConfig) -> u64 {
        let canonical = config.canonical_text();
        let request = ApplyRequest {
            base_revision,
            content_id: conf::content_id(&canonical),
            canonical: canonical.into(),
            files: Vec::new(),
            author: id.clone(),
        };
        self.admin(id, AdminRequest::Apply(request))
    }

    /// Sends an administration request. Returns the token of the reply.
    pub fn admin(&mut self, id: &Name, request: AdminRequest) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.schedule_for_process(id, 0, Action::Event(Event::Admin { token, request }));
        token
    }

    pub fn order_role(&mut self, id: &Name, upstream: &str, role: Role) -> u64 {
        let request = OrderRequest {
            upstream: Name::new(upstream),
            role: Some(role),
            ..OrderRequest::default()
        };
        self.admin(id, AdminRequest::Order(request))
    }

    /// Sends a payment, a non-idempotent request, through an instance. Returns the instance and its exchange id.
    pub fn pay(&mut self, id: &Name, key: &str) -> (Name, u64) {
        let instance = self.instances.get_mut(id).expect("the instance exists");
        instance.last_exchange += 1;
        let exchange = instance.last_exchange;
        self.requests.insert((id.clone(), exchange), Name::new(key));
        let arrival = Arrival {
            exchange,
            client_account: "parish".into(),
            rank: None,
            kind: RequestKind::Plain {
                route: "pay".into(),
                idempotency_key: Some(Name::new(key)),
                body_sha256: [1; 32],
            },
        };
        self.schedule_for_process(id, 0, Action::Event(Event::Arrived(Box::new(arrival))));
        (id.clone(), exchange)
    }

    /// Sends a chat completion, an idempotent request, through an instance. Returns the instance and its exchange id.
    pub fn chat(&mut self, id: &Name) -> (Name, u64) {
        self.chat_with(id, Vec::new())
    }

    /// Sends a chat completion with some chunks of the prompt.
    pub fn chat_with(&mut self, id: &Name, chunk_hashes: Vec<u64>) -> (Name, u64) {
        let instance = self.instances.get_mut(id).expect("the instance exists");
        instance.last_exchange += 1;
        let exchange = instance.last_exchange;
        self.prompts
            .insert((id.clone(), exchange), chunk_hashes.clone());
        let arrival = Arrival {
            exchange,
            client_account: "parish".into(),
            rank: None,
            kind: RequestKind::Chat {
                model: "lang".into(),
                prompt_tokens: 100,
                chunk_hashes,
                max_tokens: Some(20),
            },
        };
        self.schedule_for_process(id, 0, Action::Event(Event::Arrived(Box::new(arrival))));
        (id.clone(), exchange)
    }

    /// Closes the caller's connection.
    pub fn disconnect_caller(&mut self, exchange: &(Name, u64)) {
        let event = Event::CallerGone {
            exchange: exchange.1,
        };
        self.schedule_for_process(&exchange.0, 0, Action::Event(event));
    }

    pub fn stop(&mut self, id: &Name) {
        self.schedule_for_process(id, 0, Action::Event(Event::Stop));
    }

    /// Returns how often the request `key` ran, on all plain services.
    pub fn runs(&self, key: &str) -> usize {
        self.services
            .values()
            .map(|service| service.runs(key))
            .sum()
    }

    pub fn change_reply(&self, token: u64) -> Option<&ChangeReply> {
        match self.admin_replies.get(&token) {
            Some(AdminReply::Change(reply)) => Some(reply),
            _ => None,
        }
    }

    pub fn apply_reply(&self, token: u64) -> Option<&ApplyReply> {
        match self.admin_replies.get(&token) {
            Some(AdminReply::Apply(reply)) => Some(reply),
            _ => None,
        }
    }

    fn schedule_for_process(&mut self, id: &Name, delay_ms: u64, action: Action) {
        let incarnation = Some(self.instances[id].incarnation);
        self.schedule(id, incarnation, delay_ms, action);
    }

    fn schedule(&mut self, id: &Name, incarnation: Option<u64>, delay_ms: u64, action: Action) {
        self.sequence += 1;
        let scheduled = Scheduled {
            instance: id.clone(),
            incarnation,
            action,
        };
        self.schedule
            .insert((self.now_ms + delay_ms, self.sequence), scheduled);
    }

    fn handle_scheduled(&mut self, scheduled: Scheduled) {
        let Scheduled {
            instance: id,
            incarnation,
            action,
        } = scheduled;
        let instance = self.instances.get_mut(&id).expect("the instance exists");
        if instance.state.is_none() || incarnation.is_some_and(|i| i != instance.incarnation) {
            return;
        }
        if instance.suspended_until_ms > self.now_ms {
            // A suspended process handles all actions in their order after it resumes.
            let delay_ms = instance.suspended_until_ms - self.now_ms;
            return self.schedule(&id, incarnation, delay_ms, action);
        }
        match action {
            Action::Event(event) => self.step(&id, event),
            Action::Sync { up_to_ticket } => {
                instance.disk.sync(up_to_ticket);
                self.step(
                    &id,
                    Event::Persisted {
                        ticket: up_to_ticket,
                    },
                );
            }
            Action::WriteRequest { effect } => self.write_request(&id, &effect),
            Action::WriteOrder { effect } => self.write_order(&id, &effect),
        }
    }

    fn step(&mut self, id: &Name, event: Event) {
        let is_tick = matches!(event, Event::Tick { .. });
        let now_ms = self.now_ms;
        let instance = self.instances.get_mut(id).expect("the instance exists");
        let Some(state) = &mut instance.state else {
            return;
        };
        let mut effects = Vec::new();
        step(state, now_ms, event, &mut effects);
        for effect in effects {
            self.execute(id, effect);
        }
        if is_tick {
            let tick = Event::Tick {
                unix_ms: EPOCH_MS + now_ms + TICK_MS,
            };
            self.schedule_for_process(id, TICK_MS, Action::Event(tick));
        }
    }

    fn execute(&mut self, id: &Name, effect: Effect) {
        match effect {
            Effect::Send { to, message, .. } => self.send(id, to, message),
            Effect::Persist { ticket, write } => {
                let delay_ms = 1 + self.random.below(5);
                let instance = self.instances.get_mut(id).expect("the instance exists");
                instance.disk.write(ticket, write);
                self.schedule_for_process(
                    id,
                    delay_ms,
                    Action::Sync {
                        up_to_ticket: ticket,
                    },
                );
            }
            Effect::Dispatch { .. } => {
                self.schedule_for_process(id, 0, Action::WriteRequest { effect });
            }
            Effect::SendOrder { .. } => {
                if let Some((suspended, duration_ms)) =
                    self.suspend_before_order.take_if(|f| f.0 == *id)
                {
                    self.suspend(&suspended, duration_ms);
                }
                self.schedule_for_process(id, 0, Action::WriteOrder { effect });
            }
            Effect::ReadEngine { upstream, .. } => {
                let state = self.engines.get(&upstream).and_then(Engine::read);
                let event = Event::EngineRead { upstream, state };
                self.schedule_for_process(id, 2, Action::Event(event));
            }
            Effect::ReadLoad { upstream, .. } => {
                let report = self.report_of(&upstream);
                let event = Event::Load { upstream, report };
                self.schedule_for_process(id, 2, Action::Event(event));
            }
            Effect::Refuse { exchange, refusal } => {
                self.record_outcome(id, exchange, Outcome::Refused(refusal));
            }
            Effect::Deliver { exchange } => self.record_outcome(id, exchange, Outcome::Answered),
            Effect::Replay { exchange, .. } => self.record_outcome(id, exchange, Outcome::Replayed),
            Effect::AdminReply { token, reply } => self.record_admin_reply(token, reply),
            Effect::InForce { revision, .. } => self.record_in_force(id, revision),
            Effect::Exit => {
                let instance = self.instances.get_mut(id).expect("the instance exists");
                instance.exited = true;
                instance.state = None;
            }
            Effect::Log { text, .. } => {
                self.logs.push(format!("{} {id}: {text}", self.now_ms));
            }
            Effect::CheckUpstream { upstream, .. } => {
                let has_crashed = self
                    .engines
                    .get(&upstream)
                    .is_some_and(|engine| engine.is_down);
                let event = Event::UpstreamChecked {
                    upstream,
                    has_crashed,
                };
                self.schedule_for_process(id, 2, Action::Event(event));
            }
            Effect::Cancel { .. }
            | Effect::ReadCacheEvents { .. }
            | Effect::ReadPlatformList
            | Effect::Readiness { .. }
            | Effect::Record(_) => {}
        }
    }

    fn send(&mut self, from: &Name, to: Name, message: fleet::PeerMessage) {
        if self.blocked_links.contains(&(from.clone(), to.clone()))
            || !self.instances.contains_key(&to)
        {
            return;
        }
        if self.random.below(100) < self.loss_percent {
            return;
        }
        let copies = 1 + u64::from(self.random.below(100) < self.loss_percent);
        for _ in 0..copies {
            let delay_ms = 1 + self.random.below(4);
            let event = Event::Peer {
                from: from.clone(),
                message: message.clone(),
            };
            self.schedule(&to, None, delay_ms, Action::Event(event));
        }
    }

    /// Writes a request to its upstream, after the check of the send deadline that the process makes at this time.
    fn write_request(&mut self, id: &Name, effect: &Effect) {
        let Effect::Dispatch {
            exchange,
            attempt,
            upstream,
            send_deadline_ms,
            ..
        } = effect
        else {
            return;
        };
        let (exchange, attempt) = (*exchange, *attempt);
        if self
            .engines
            .get(upstream)
            .is_some_and(|engine| engine.is_suspended)
        {
            return;
        }
        let prompt = self.prompts.get(&(id.clone(), exchange));
        let is_deadly = self
            .deadly_part
            .is_some_and(|part| prompt.is_some_and(|prompt| prompt.contains(&part)));
        if let Some(engine) = self.engines.get_mut(upstream) {
            engine.received += 1;
            if is_deadly && !engine.is_down {
                engine.crashes += 1;
                engine.is_down = true;
                let event = Event::Ended {
                    exchange,
                    attempt,
                    end: End::Broken,
                };
                return self.schedule_for_process(id, 5, Action::Event(event));
            }
        }
        let end = if self.now_ms > *send_deadline_ms {
            End::NotSent
        } else if let Some(service) = self.services.get_mut(upstream) {
            let key = self.requests.get(&(id.clone(), exchange)).cloned();
            service.run(&key.unwrap_or_default(), (id.clone(), exchange))
        } else if self
            .engines
            .get(upstream)
            .is_some_and(|engine| !engine.is_down)
        {
            let progress = Event::Progress {
                exchange,
                attempt,
                output_tokens: 20,
            };
            self.schedule_for_process(id, 10, Action::Event(progress));
            self.answered.insert((id.clone(), exchange));
            End::Complete { answer: None }
        } else {
            End::NotSent
        };
        let delay_ms = 20 + self.random.below(40);
        let event = Event::Ended {
            exchange,
            attempt,
            end,
        };
        self.schedule_for_process(id, delay_ms, Action::Event(event));
    }

    fn write_order(&mut self, id: &Name, effect: &Effect) {
        let Effect::SendOrder {
            upstream,
            epoch,
            order,
            ..
        } = effect
        else {
            return;
        };
        let answer = match self.engines.get_mut(upstream) {
            Some(engine) => engine.handle_order(id, *epoch, order),
            None => OrderAnswer::Lost,
        };
        let event = Event::OrderAnswered {
            upstream: upstream.clone(),
            epoch: *epoch,
            sequence: order.sequence,
            answer,
        };
        self.schedule_for_process(id, 2, Action::Event(event));
    }

    fn report_of(&self, upstream: &Name) -> Option<reducer::LoadReport> {
        if let Some(engine) = self.engines.get(upstream) {
            return engine.load();
        }
        let service = self.services.get(upstream)?;
        (!service.is_down).then(reducer::LoadReport::default)
    }

    fn record_outcome(&mut self, id: &Name, exchange: u64, outcome: Outcome) {
        self.outcomes.insert((id.clone(), exchange), outcome);
    }

    fn record_admin_reply(&mut self, token: u64, reply: AdminReply) {
        self.admin_replies.insert(token, reply);
    }

    fn record_in_force(&mut self, id: &Name, revision: u64) {
        let instance = self.instances.get_mut(id).expect("the instance exists");
        if instance
            .in_force
            .last()
            .is_some_and(|last| *last >= revision)
        {
            self.violations.push(format!(
                "{id} changed from revision {:?} to {revision}",
                instance.in_force.last()
            ));
        }
        instance.in_force.push(revision);
        let state = instance.state.as_ref().expect("the process runs");
        let content_id = state
            .control()
            .and_then(|control| control.current_config())
            .filter(|current| current.revision == revision)
            .map(|current| current.content_id.clone());
        if let Some(content_id) = content_id {
            let known = self.accepted.entry(revision).or_insert(content_id.clone());
            if *known != content_id {
                self.violations
                    .push(format!("revision {revision} has two contents"));
            }
        }
    }
}

impl SimulatedInstance {
    fn new(settings: Settings, disk: Disk) -> Self {
        Self {
            state: None,
            settings,
            disk,
            incarnation: 0,
            suspended_until_ms: 0,
            in_force: Vec::new(),
            exited: false,
            last_exchange: 0,
        }
    }
}

fn zone(n: usize) -> Name {
    format!("az{}", n % 3).into()
}
