//! States of an instance that serves callers and of a leader, for a fleet of a given size.
#![allow(dead_code)]

use std::collections::VecDeque;

use conf::admin::ApplyRequest;
use conf::settings::{Instance, Voter};
use conf::{
    ClientAccount, Fencing, Idempotency, Model, Name, RankPolicy, Route, Service, ServiceConfig,
    ServiceKind, Settings, Upstream,
};
use fleet::{
    ClusterView, ConfigRevision, Gate, GateHolder, InstanceInfo, InstanceReport, InstanceView,
    LeaderReply, PeerMessage,
};
use reducer::{AdminRequest, Effect, Event, InitialState, LoadReport, State, step};

pub const ZONES: usize = 7;
pub const MODELS: usize = 17;
pub const CHUNKS_PER_ENGINE: u64 = 64;
pub const EPOCH_MS: u64 = 1_700_000_000_000;
const VOTERS: usize = 3;

/// Numbers of upstreams, instances and client accounts.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub upstreams: usize,
    pub instances: usize,
    pub client_accounts: usize,
}

/// Returns a configuration in which the first 3 upstreams belong to a plain service and all others are engines.
pub fn config(size: Size) -> ServiceConfig {
    let rank = |name: &str, floor| RankPolicy {
        name: Name::new(name),
        floor,
        ..RankPolicy::default()
    };
    ServiceConfig {
        ranks: vec![rank("urgent", 0.3), rank("normal", 0.2), rank("late", 0.1)],
        client_accounts: (0..size.client_accounts).map(client_account).collect(),
        models: (0..MODELS)
            .map(|n| Model {
                name: model_name(n),
                version: "1".into(),
                weights_bytes: 140_000_000_000,
                ..Model::default()
            })
            .collect(),
        services: vec![
            Service {
                name: "assistant".into(),
                kind: ServiceKind::Model,
                models: (0..MODELS).map(model_name).collect(),
            },
            Service {
                name: "orders".into(),
                kind: ServiceKind::Plain,
                ..Service::default()
            },
        ],
        routes: vec![Route {
            name: "pay".into(),
            path_prefix: "/pay".into(),
            service: "orders".into(),
            idempotency: Idempotency::NonIdempotent,
            ..Route::default()
        }],
        upstreams: (0..size.upstreams).map(upstream).collect(),
    }
}

pub fn account_name(n: usize) -> Name {
    format!("tenant-{n:05}").into()
}

pub fn model_name(n: usize) -> Name {
    format!("model-{n:02}").into()
}

pub fn zone(n: usize) -> Name {
    format!("region-{}-zone-{}", n % 3, n % ZONES).into()
}

pub fn instance_info(n: usize) -> InstanceInfo {
    InstanceInfo {
        id: format!("instance-{n:03}").into(),
        incarnation: 1_700_000_000_000,
        availability_zone: zone(n),
        peer_address: format!("10.0.{}.{}:7000", n / 250, n % 250).into(),
    }
}

pub fn is_engine(n: usize) -> bool {
    n >= 3
}

fn client_account(n: usize) -> ClientAccount {
    ClientAccount {
        name: account_name(n),
        key_sha256: conf::content_id(&format!("key-{n}")),
        ranks: vec!["normal".into(), "urgent".into(), "late".into()],
        ..ClientAccount::default()
    }
}

fn upstream(n: usize) -> Upstream {
    Upstream {
        name: format!("upstream-{n:04}").into(),
        service: if is_engine(n) { "assistant" } else { "orders" }.into(),
        address: format!("10.1.{}.{}:8000", n / 250, n % 250).into(),
        availability_zone: zone(n),
        fencing: Fencing::Enforced,
        max_running: 128,
        ..Upstream::default()
    }
}

/// Returns the model of engine `n`. The models are assigned in turn, so that each requested model has an engine.
fn loaded_model(n: usize) -> Name {
    format!("model-{:02}@1", n.saturating_sub(3) % MODELS).into()
}

pub fn load_report(n: usize) -> LoadReport {
    LoadReport {
        running: (n % 20) as u32,
        prompt_tokens_waiting: 1_000,
        kv_chunks_used: 20,
        kv_chunks_total: CHUNKS_PER_ENGINE as u32,
        role: is_engine(n).then_some(conf::Role::Mixed),
        models: vec![loaded_model(n)],
        ..LoadReport::default()
    }
}

pub fn revision(config: &ServiceConfig, revision: u64) -> ConfigRevision {
    let canonical = config.canonical_text();
    ConfigRevision {
        revision,
        base_revision: revision - 1,
        content_id: conf::content_id(&canonical),
        canonical: canonical.into(),
        files: Vec::new(),
        author: "operator".into(),
        at_ms: EPOCH_MS,
    }
}

/// Returns the view that a leader sends when every engine has a gate holder.
pub fn view(size: Size, version: u64) -> ClusterView {
    ClusterView {
        version,
        instances: (0..size.instances)
            .map(|n| InstanceView {
                info: instance_info(n),
                draining: false,
                revision: 1,
            })
            .collect(),
        draining_upstreams: Vec::new(),
        gates: (0..size.upstreams)
            .filter(|n| is_engine(*n))
            .map(|n| Gate {
                upstream: upstream(n).name,
                holder: Some(GateHolder {
                    instance: instance_info(n % size.instances).id,
                    incarnation: 1_700_000_000_000,
                }),
                epoch: 1,
                order: None,
            })
            .collect(),
    }
}

fn voters(count: usize) -> Vec<Voter> {
    (0..count)
        .map(|n| Voter {
            id: instance_info(n).id,
            availability_zone: zone(n),
            peer_address: instance_info(n).peer_address,
        })
        .collect()
}

fn settings(n: usize, voter_count: usize) -> Settings {
    let info = instance_info(n);
    Settings {
        instance: Instance {
            id: info.id,
            availability_zone: info.availability_zone,
            peer_address: info.peer_address,
            ..Instance::default()
        },
        voters: voters(voter_count),
        ..Settings::default()
    }
}

/// An instance that is no voter, has the configuration in force and has received one load report of each upstream.
pub struct ServingInstance {
    pub state: State,
    pub now_ms: u64,
    pub effects: Vec<Effect>,
    sequence: u64,
}

impl ServingInstance {
    pub fn new(size: Size) -> Self {
        let start = InitialState {
            settings: settings(VOTERS, VOTERS),
            incarnation: 1,
            replica: None,
            seed: 1,
        };
        let mut instance = Self {
            state: State::new(start, 1_000),
            now_ms: 1_000,
            effects: Vec::new(),
            sequence: 0,
        };
        instance.tick();
        let reply = LeaderReply {
            config: Some(revision(&config(size), 1)),
            view: Some(view(size, 1)),
            ..instance.reply()
        };
        instance.step(instance.leader_event(reply));
        assert_eq!(
            instance.state.revision(),
            1,
            "the configuration is in force"
        );
        instance.report_loads(size);
        instance
    }

    pub fn step(&mut self, event: Event) {
        self.effects.clear();
        step(&mut self.state, self.now_ms, event, &mut self.effects);
    }

    /// Applies a tick event and records the sequence number of a report that was sent.
    pub fn tick(&mut self) {
        let unix_ms = EPOCH_MS + self.now_ms;
        self.step(Event::Tick { unix_ms });
        self.record_report_sequence();
    }

    pub fn record_report_sequence(&mut self) {
        for effect in &self.effects {
            if let Effect::Send {
                message: PeerMessage::Report(report),
                ..
            } = effect
            {
                self.sequence = report.sequence;
            }
        }
    }

    /// Returns the leader's reply to the last report, without configuration and view.
    pub fn reply(&self) -> LeaderReply {
        LeaderReply {
            sequence: self.sequence,
            is_leader: true,
            leader: Some(instance_info(0).id),
            term: 1,
            revision: 1,
            ..LeaderReply::default()
        }
    }

    pub fn leader_event(&self, reply: LeaderReply) -> Event {
        Event::Peer {
            from: instance_info(0).id,
            message: PeerMessage::ReportReply(reply),
        }
    }

    pub fn report_loads(&mut self, size: Size) {
        for n in 0..size.upstreams {
            self.step(load_event(n));
        }
    }
}

pub fn load_event(n: usize) -> Event {
    Event::Load {
        upstream: upstream(n).name,
        report: Some(load_report(n)),
    }
}

/// The only voter of a cluster. [`Leader::run`] reports its writes as synced immediately.
pub struct Leader {
    pub state: State,
    pub now_ms: u64,
    pub effects: Vec<Effect>,
    pub sequence: u64,
    queue: VecDeque<Event>,
}

impl Leader {
    /// Creates a leader with one accepted configuration.
    pub fn new(size: Size) -> Self {
        let mut leader = Self::empty();
        leader.apply(&config(size), 0);
        leader
    }

    /// Creates a leader without a configuration.
    pub fn empty() -> Self {
        let start = InitialState {
            settings: settings(0, 1),
            incarnation: 1,
            replica: Some((1, quorum::RecoveredState::default())),
            seed: 1,
        };
        let mut leader = Self {
            state: State::new(start, 1_000),
            now_ms: 1_000,
            effects: Vec::new(),
            sequence: 0,
            queue: VecDeque::new(),
        };
        while !leader.state.leads() {
            leader.tick();
            assert!(leader.now_ms < 60_000, "the only voter becomes the leader");
        }
        leader
    }

    pub fn apply(&mut self, config: &ServiceConfig, base_revision: u64) {
        let canonical = config.canonical_text();
        let request = ApplyRequest {
            base_revision,
            content_id: conf::content_id(&canonical),
            canonical: canonical.into(),
            files: Vec::new(),
            author: "operator".into(),
        };
        self.run(Event::Admin {
            token: 1,
            request: AdminRequest::Apply(request),
        });
    }

    /// Handles one event. Its writes stay in `effects` and are not synced.
    pub fn step(&mut self, event: Event) {
        self.effects.clear();
        step(&mut self.state, self.now_ms, event, &mut self.effects);
    }

    /// Returns the event that reports the writes in `effects` as synced, if there are any.
    pub fn persisted(&self) -> Option<Event> {
        self.effects
            .iter()
            .filter_map(|effect| match effect {
                Effect::Persist { ticket, .. } => Some(Event::Persisted { ticket: *ticket }),
                _ => None,
            })
            .next_back()
    }

    /// Handles an event and reports its writes as synced.
    pub fn run(&mut self, event: Event) {
        self.queue.push_back(event);
        while let Some(event) = self.queue.pop_front() {
            self.step(event);
            if let Some(event) = self.persisted() {
                self.queue.push_back(event);
            }
        }
    }

    pub fn tick(&mut self) {
        self.now_ms += 20;
        let unix_ms = EPOCH_MS + self.now_ms;
        self.run(Event::Tick { unix_ms });
    }

    pub fn report(&mut self, n: usize, revision: u64, view_version: u64) -> Event {
        self.sequence += 1;
        let info = instance_info(n);
        Event::Peer {
            from: info.id.clone(),
            message: PeerMessage::Report(InstanceReport {
                info,
                sequence: self.sequence,
                revision,
                stopping: false,
                view_version,
                demand: Vec::new(),
                quarantine: quarantine::Report::default(),
            }),
        }
    }

    /// Returns the reply to the last report.
    pub fn last_reply(&self) -> Option<&LeaderReply> {
        self.effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: PeerMessage::ReportReply(reply),
                ..
            } => Some(reply),
            _ => None,
        })
    }
}
