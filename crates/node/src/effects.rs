//! Carrying out the reducer's effects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::mpsc;

use conf::Name;
use reducer::{Effect, Event, ExchangeId};
use tokio::runtime::Handle;
use tokio::sync::{oneshot, watch};

use crate::admin::AdminReplies;
use crate::caller::Readiness;
use crate::engine::EngineClient;
use crate::exchange::{Control, Dispatch, Exchanges, late_control};
use crate::peer::outgoing::Peers;
use crate::persist::Ticketed;
use crate::upstream::Target;
use crate::view::CallerView;
use crate::{logs, telemetry};

/// The parts of an instance that effects act on. No effect waits: what takes time is a task or a
/// thread of its own that reports events.
#[derive(Debug)]
pub struct Effects {
    /// Open exchanges.
    pub exchanges: Exchanges,
    /// Client for reports and orders.
    pub engines: EngineClient,
    /// Runtime of the listeners and clients.
    pub runtime: Handle,
    /// URL of the platform's list, empty if there is none.
    pub platform_list_url: Name,
    /// Writes to the replica's files, on a voter.
    pub writes: Option<mpsc::Sender<Ticketed>>,
    /// Requests of the administration interface that wait.
    pub admin_replies: AdminReplies,
    /// Configuration in force, for the callers' listener.
    pub view: watch::Sender<Arc<CallerView>>,
    /// Readiness, for the callers' listener.
    pub readiness: watch::Sender<Readiness>,
    /// Told once the process may exit.
    pub exit: Option<oneshot::Sender<()>>,
    /// Events that follow at once from effects.
    pub follow_ups: VecDeque<Event>,
}

impl Effects {
    /// Carries out one effect.
    pub fn perform(&mut self, effect: Effect, peers: &mut Peers) {
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
                self.control(exchange, Control::Dispatch(dispatch));
            }
            Effect::Cancel { exchange, attempt } => {
                self.control(exchange, Control::Cancel { attempt });
            }
            Effect::Refuse { exchange, refusal } => {
                self.control(exchange, Control::Refuse(refusal));
            }
            Effect::Deliver { exchange } => self.control(exchange, Control::Deliver),
            Effect::Replay { exchange, answer } => self.control(exchange, Control::Replay(answer)),
            Effect::Send {
                to,
                address,
                message,
            } => peers.send(to, address, &message),
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
            Effect::ReadPlatformList => self.read_platform_list(),
            Effect::AdminReply { token, reply } => self.admin_replies.complete(token, reply),
            Effect::InForce { revision, config } => {
                metrics::gauge!("mustardstack_revision").set(revision as f64);
                self.view.send_replace(Arc::new(CallerView::new(&config)));
            }
            Effect::Readiness { ready, draining } => {
                self.readiness.send_replace(Readiness { ready, draining });
            }
            Effect::Exit => {
                if let Some(exit) = self.exit.take() {
                    // Nobody waits if the process is ending for another reason.
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

    fn control(&mut self, exchange: ExchangeId, control: Control) {
        if let Some(late) = self.exchanges.control(exchange, control) {
            self.follow_ups.extend(late_control(exchange, &late));
        }
    }

    fn persist(&self, ticket: u64, write: quorum::Write) {
        let sent = self
            .writes
            .as_ref()
            .is_some_and(|writes| writes.send((ticket, write)).is_ok());
        // Without a report the replica acknowledges nothing more.
        if !sent {
            spdlog::error!("disk: write {ticket} is not carried out");
        }
    }

    fn read_platform_list(&self) {
        let url = self.platform_list_url.clone();
        if !url.is_empty() {
            self.spawn(async move |engines| engines.read_platform_list(&url).await);
        }
    }

    fn spawn<F>(&self, call: impl FnOnce(EngineClient) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.runtime.spawn(call(self.engines.clone()));
    }
}
