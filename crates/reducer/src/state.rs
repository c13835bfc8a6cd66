//! The state of an instance and the function that applies events to it.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use admit::{Discipline, Queues};
use conf::settings::{Queueing, Routing};
use conf::{Map, Name, ServiceConfig, Settings};
use fleet::{GateHolder, LeaderClient, OrderSender, PeerMessage, PlatformList};
use quarantine::Suspects;
use quorum::{RecoveredState, Replica, ReplicaId, ReplicaSettings};
use route::{Policy, UpstreamTable};

use crate::effect::{Component, Effect, Level};
use crate::event::{Event, ExchangeId, LoadReport};
use crate::exchange::Exchange;
use crate::leader::Leadership;
use crate::proposer::Proposer;
use crate::replication::Replication;
use crate::watch::ReadTimers;
use crate::{arrival, attempt, control, crash, load, membership, replica, serve};

/// Number of log entries after which a snapshot is taken.
const SNAPSHOT_ENTRIES: u64 = 2_000;

/// Inputs from which the state of a new process is created.
#[derive(Clone, Debug, Default)]
pub struct InitialState {
    /// Settings of the instance.
    pub settings: Settings,
    /// Number of this process of the instance; it increases with every restart.
    pub incarnation: u64,
    /// Storage id and durable state of the control replica; set on a voter only.
    pub replica: Option<(u64, RecoveredState)>,
    /// Seed of every random generator in the state.
    pub seed: u64,
}

/// The state of an instance.
#[derive(Debug)]
pub struct State {
    pub(crate) settings: Settings,
    pub(crate) incarnation: u64,
    pub(crate) now_ms: u64,
    pub(crate) unix_ms: u64,
    pub(crate) leader_client: LeaderClient,
    pub(crate) replication: Option<Replication>,
    pub(crate) leadership: Option<Leadership>,
    pub(crate) platform: PlatformList,
    pub(crate) order_sender: OrderSender,
    pub(crate) proposer: Proposer,
    pub(crate) config: Arc<ServiceConfig>,
    /// Positions in `config.client_accounts`, by name.
    pub(crate) account_positions: Map<Name, usize>,
    pub(crate) routing_table: UpstreamTable,
    pub(crate) queues: Queues,
    pub(crate) policy: Policy,
    pub(crate) exchanges: BTreeMap<ExchangeId, Exchange>,
    /// Sequence number of the latest attempt that was proposed to the ledger; 0 before the first one.
    pub(crate) last_ledger_sequence: u64,
    pub(crate) read_timers: ReadTimers,
    pub(crate) speeds: Map<Name, arrival::Speed>,
    /// Latest load report of every upstream whose latest read succeeded.
    pub(crate) loads: Map<Name, LoadReport>,
    /// Prompt and output tokens requested from each model service since the process started.
    pub(crate) demand: Map<Name, (u64, u64)>,
    /// Parts of prompts under which engines crash.
    pub(crate) suspects: Suspects,
    pub(crate) next_preempt_ms: u64,
    pub(crate) stopping_since_ms: Option<u64>,
    pub(crate) has_exited: bool,
    /// Readiness and draining state reported last; `None` before the first report.
    pub(crate) readiness: Option<(bool, bool)>,
    /// Messages of the instance to itself that have not been handled yet.
    pub(crate) local_messages: VecDeque<PeerMessage>,
}

impl State {
    /// Creates the state of a newly started process.
    pub fn new(initial: InitialState, now_ms: u64) -> Self {
        let settings = initial.settings;
        let replication = initial.replica.map(|(storage_id, recovered)| {
            new_replication(&settings, storage_id, recovered, initial.seed, now_ms)
        });
        let id = settings.instance.id.clone();
        Self {
            incarnation: initial.incarnation,
            now_ms,
            unix_ms: 0,
            leader_client: LeaderClient::new(&settings, initial.incarnation, now_ms),
            replication,
            leadership: None,
            platform: PlatformList::default(),
            order_sender: OrderSender::new(GateHolder {
                instance: id.clone(),
                incarnation: initial.incarnation,
            }),
            proposer: Proposer::new(id, initial.incarnation),
            config: Arc::default(),
            account_positions: Map::default(),
            routing_table: UpstreamTable::new(initial.seed),
            queues: Queues::new(discipline(settings.decisions.queueing)),
            policy: policy(settings.decisions.routing),
            exchanges: BTreeMap::new(),
            last_ledger_sequence: 0,
            read_timers: ReadTimers::new(&settings),
            speeds: Map::default(),
            loads: Map::default(),
            demand: Map::default(),
            suspects: Suspects::default(),
            next_preempt_ms: 0,
            stopping_since_ms: None,
            has_exited: false,
            readiness: None,
            local_messages: VecDeque::new(),
            settings,
        }
    }

    /// Returns the settings of the instance.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the replicated control state, or `None` if the instance is no voter.
    pub fn control(&self) -> Option<&fleet::ControlState> {
        self.replication.as_ref().map(Replication::control)
    }

    /// Returns the configuration revision in force, or 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.leader_client.revision()
    }

    /// Returns whether this instance leads the replicated log.
    pub fn leads(&self) -> bool {
        self.replication.as_ref().is_some_and(Replication::leads)
    }

    /// Returns the number of open exchanges.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    pub(crate) fn id(&self) -> &Name {
        &self.settings.instance.id
    }

    /// Sends a message to an instance whose address is known.
    pub(crate) fn send(&mut self, to: Name, message: PeerMessage, effects: &mut Vec<Effect>) {
        let address = self.leader_client.address_of(&to).unwrap_or_default();
        self.send_to(to, address, message, effects);
    }

    /// Sends a message. A message to this instance itself is handled after the current event.
    pub(crate) fn send_to(
        &mut self,
        to: Name,
        address: Name,
        message: PeerMessage,
        effects: &mut Vec<Effect>,
    ) {
        if to == *self.id() {
            self.local_messages.push_back(message);
        } else if !address.is_empty() {
            effects.push(Effect::Send {
                to,
                address,
                message,
            });
        }
    }

    /// Returns whether the instance is stopping or an operator has marked it for draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.stopping_since_ms.is_some() || self.leader_client.is_draining()
    }
}

/// Applies one event to the state and appends the resulting effects.
pub fn step(state: &mut State, now_ms: u64, event: Event, effects: &mut Vec<Effect>) {
    state.now_ms = state.now_ms.max(now_ms);
    // The replica checks its leadership against the current time before any decision depends on it, because the process
    // may have been suspended between two events.
    replica::tick_replica(state, effects);
    let may_dispatch = may_allow_dispatch(&event);
    match event {
        Event::Tick { unix_ms } => {
            state.unix_ms = state.unix_ms.max(unix_ms);
            control::tick(state, effects);
            serve::tick(state, effects);
        }
        Event::Arrived(arrival) => arrival::on_arrival(state, *arrival, effects),
        Event::Started { exchange, attempt } => {
            attempt::on_started(state, exchange, attempt, effects)
        }
        Event::Progress {
            exchange,
            attempt,
            output_tokens,
        } => attempt::on_progress(state, exchange, attempt, output_tokens, effects),
        Event::Ended {
            exchange,
            attempt,
            end,
        } => attempt::on_ended(state, exchange, attempt, end, effects),
        Event::CallerGone { exchange } => attempt::on_caller_gone(state, exchange, effects),
        Event::Load { upstream, report } => load::on_load(state, &upstream, report, effects),
        Event::CacheEvents {
            upstream,
            first,
            events,
        } => load::on_cache_events(state, &upstream, first, &events),
        Event::UpstreamChecked {
            upstream,
            has_crashed,
        } => crash::on_checked(state, &upstream, has_crashed, effects),
        Event::PlatformList(list) => membership::on_platform_list(state, list),
        Event::Peer { from, message } => control::on_message(state, from, message, effects),
        Event::Persisted { ticket } => {
            replica::step_replica(state, quorum::Input::Persisted { ticket }, effects);
        }
        Event::OrderAnswered {
            upstream,
            epoch,
            sequence,
            answer,
        } => {
            let now_ms = state.now_ms;
            state
                .order_sender
                .on_answer(now_ms, &upstream, epoch, sequence, &answer);
        }
        Event::EngineRead {
            upstream,
            state: engine,
        } => {
            let now_ms = state.now_ms;
            state
                .order_sender
                .on_read(now_ms, &upstream, engine.as_ref());
        }
        Event::Admin { token, request } => crate::admin::on_request(state, token, request, effects),
        Event::Stop => control::on_stop(state, effects),
    }
    control::handle_local_messages(state, effects);
    control::finish_event(state, may_dispatch, effects);
}

/// Returns whether waiting requests are dispatched after the event. Other events may free a slot too, for example a
/// refusal by the ledger; the next tick uses that slot. Dispatching after every event would cost one choice of upstream
/// per token report while requests wait.
fn may_allow_dispatch(event: &Event) -> bool {
    matches!(
        event,
        Event::Tick { .. }
            | Event::Arrived(_)
            | Event::Ended { .. }
            | Event::CallerGone { .. }
            | Event::Load { .. }
    )
}

pub(crate) fn log(
    effects: &mut Vec<Effect>,
    level: Level,
    component: Component,
    text: impl Into<String>,
) {
    effects.push(Effect::Log {
        level,
        component,
        text: text.into(),
    });
}

fn policy(routing: Routing) -> Policy {
    match routing {
        Routing::CostBased => Policy::CostBased,
        Routing::RoundRobin => Policy::RoundRobin,
        Routing::LeastOutstanding => Policy::LeastOutstanding,
        Routing::PrefixHash => Policy::PrefixHash,
    }
}

fn discipline(queueing: Queueing) -> Discipline {
    match queueing {
        Queueing::Ranked => Discipline::Ranked,
        Queueing::SingleQueue => Discipline::SingleQueue,
    }
}

fn new_replication(
    settings: &Settings,
    storage_id: u64,
    recovered: RecoveredState,
    seed: u64,
    now_ms: u64,
) -> Replication {
    let id = ReplicaId {
        instance: settings.instance.id.clone(),
        storage_id,
    };
    let replica_settings = ReplicaSettings {
        id: id.clone(),
        initial_ids: Vec::new(),
        initial_voters: settings
            .voters
            .iter()
            .map(|voter| voter.id.clone())
            .collect(),
        heartbeat_interval_ms: settings.timing.heartbeat_interval_ms,
        election_timeout_min_ms: settings.timing.election_timeout_min_ms,
        election_timeout_max_ms: settings.timing.election_timeout_max_ms,
        snapshot_entries: SNAPSHOT_ENTRIES,
        seed,
    };
    Replication::new(id, Replica::new(replica_settings, recovered, now_ms))
}
