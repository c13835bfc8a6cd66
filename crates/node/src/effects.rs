//! Executes the reducer's effects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc;

use conf::Name;
use reducer::{Effect, Event, ExchangeId};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use crate::admin::PendingAdminRequests;
use crate::caller::Readiness;
use crate::engine::EngineClient;
use crate::exchange::{Command, Dispatch, Exchanges, late_command_events};
use crate::peer::outgoing::PeerConnections;
use crate::persist::TicketedWrite;
use crate::upstream::Target;
use crate::view::CallerConfig;
use crate::{logs, telemetry};

/// Executes effects with the parts of an instance that they concern. No effect blocks: an operation that takes time
/// runs in a task or thread that reports events.
#[derive(Debug)]
pub struct EffectExecutor {
    /// Open exchanges.
    pub exchanges: Exchanges,
    /// Client for reports of engines, services and the platform, and for orders to engines.
    pub engines: EngineClient,
    /// Runtime of the listeners and clients.
    pub runtime: Handle,
    /// URL of the platform's list, empty if there is none.
    pub platform_list_url: Name,
    /// Channel to the disk thread. `None` on an instance without a replica's files.
    pub disk_writes: Option<mpsc::Sender<TicketedWrite>>,
    /// Administration requests that wait for the reducer's reply.
    pub admin_requests: PendingAdminRequests,
    /// Configuration in force, for the callers' listener.
    pub caller_config: watch::Sender<Arc<CallerConfig>>,
    /// Readiness, for the callers' listener.
    pub readiness: watch::Sender<Readiness>,
    /// Channel on which the permission to exit is sent, once.
    pub exit: Option<oneshot::Sender<()>>,
    /// Events that executed effects cause immediately. The reducer handles them before the next queued event.
    pub follow_ups: VecDeque<Event>,
}

impl EffectExecutor {
    /// Executes one effect.
    pub fn execute(&mut self, effect: Effect, peers: &mut PeerConnections) {
        match effect {
            Effect::Dispatch {
                exchange,
                attempt,
                upstream: _,
                address,
                prefill,
                priority,
                send_deadline_ms,
                answer_deadline_ms,
            } => {
                let target = Target {
                    address,
                    send_deadline_ms,
                    answer_deadline_ms,
                };
                let dispatch = Dispatch {
                    attempt,
                    priority,
                    prefill_address: prefill.map(|prefill| prefill.address),
                    target,
                };
                self.forward(exchange, Command::Dispatch(dispatch));
            }
            Effect::Cancel { exchange, attempt } => {
                self.forward(exchange, Command::Cancel { attempt });
            }
            Effect::Refuse { exchange, refusal } => {
                self.forward(exchange, Command::Refuse(refusal));
            }
            Effect::Deliver { exchange } => self.forward(exchange, Command::Deliver),
            Effect::Replay { exchange, answer } => self.forward(exchange, Command::Replay(answer)),
            Effect::Send {
                to,
                address,
                message,
            } => peers.send(to, address, message),
            Effect::Persist { ticket, write } => self.persist(ticket, write),
            Effect::SendOrder {
                upstream,
                address,
                epoch,
                order,
            } => self.spawn(async move |engines| {
                engines.send_order(upstream, &address, epoch, &order).await;
            }),
            Effect::ReadEngine { upstream, address } => self.spawn(async move |engines| {
                engines.read_engine(upstream, &address).await;
            }),
            Effect::ReadLoad { upstream, address } => self.spawn(async move |engines| {
                engines.read_load(upstream, &address).await;
            }),
            Effect::ReadCacheEvents {
                upstream,
                address,
                after,
            } => self.spawn(async move |engines| {
                engines.read_cache_events(upstream, &address, after).await;
            }),
            Effect::CheckUpstream { upstream, address } => self.spawn(async move |engines| {
                engines.check(upstream, &address).await;
            }),
            Effect::ReadPlatformList => self.read_platform_list(),
            Effect::AdminReply { token, reply } => self.admin_requests.complete(token, reply),
            Effect::InForce { revision, config } => {
                metrics::gauge!("mustardstack_revision").set(revision as f64);
                self.caller_config
                    .send_replace(Arc::new(CallerConfig::new(&config)));
            }
            Effect::Readiness { ready, draining } => {
                self.readiness.send_replace(Readiness { ready, draining });
            }
            Effect::Exit => {
                if let Some(exit) = self.exit.take() {
                    // The receiver is dropped if the process is ending for another reason.
                    let _ = exit.send(());
                }
            }
            Effect::Log {
                level,
                component,
                text,
            } => logs::write(level, component, &text),
            Effect::Record(sample) => telemetry::record(sample),
        }
    }

    fn forward(&mut self, exchange: ExchangeId, command: Command) {
        if let Some(late) = self.exchanges.send_command(exchange, command) {
            self.follow_ups.extend(late_command_events(exchange, &late));
        }
    }

    fn persist(&self, ticket: u64, write: quorum::Write) {
        let sent = self
            .disk_writes
            .as_ref()
            .is_some_and(|writes| writes.send((ticket, write)).is_ok());
        // Because the write is never reported as persisted, the replica acknowledges no more entries.
        if !sent {
            spdlog::error!(
                "disk: write {ticket} was not executed because the disk thread is not running"
            );
        }
    }

    fn read_platform_list(&self) {
        let url = self.platform_list_url.clone();
        if !url.is_empty() {
            self.spawn(async move |engines| engines.read_platform_list(&url).await);
        }
    }

    fn spawn<F>(&self, operation: impl FnOnce(EngineClient) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.spawn(operation(self.engines.clone()));
    }
}
