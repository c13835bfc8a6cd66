//! An entry: an instance that receives the requests of callers.

use std::cell::{Cell, RefCell};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use conf::Map;
use fleet::{PeerMessage, WatchReply};
use gateway::entry::{EntryEffect, EntryEvent, EntrySettings};
use gateway::{Config, Directive, Entry};
use http::header::CONNECTION;
use http::{HeaderValue, Response, StatusCode};
use node::probe;
use reducer::Event;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::{MissedTickBehavior, interval, timeout_at};

use crate::answer;
use crate::call::Client;
use crate::caller;
use crate::clock::{Clock, TIME_OF_DAY_INTERVAL};
use crate::compression;
use crate::dialect::Dialect;
use crate::error::Error;
use crate::http::{ConnectionLimits, listen, serve};
use crate::logs::{self, Importance};
use crate::memory::BodyMemory;
use crate::peers::PeerLinks;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::signals::{SignalAction, Signals};
use crate::{Reload, telemetry};

/// Interval of the reducer's tick events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval at which the settings are read again, since they may change without a signal, and at which expired idle
/// connections are closed.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a stopping instance still accepts new connections, since the load balancer stops using the instance
/// only after two failed readiness checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(3_000);
/// Time before the end of a stopping process by which its answers are to begin being written, in milliseconds.
const LAST_ANSWER_MS: u64 = 300;

/// The reducer of an entry, and everything that carries out its effects. The runtime is used on one thread.
pub struct EntryRuntime {
    /// Calls to upstreams.
    pub client: Client,
    entry: RefCell<Entry>,
    effects: RefCell<Vec<EntryEffect>>,
    directives: RefCell<Map<u64, mpsc::UnboundedSender<Directive>>>,
    last_exchange_id: Cell<u64>,
    peers: PeerLinks,
    weak_self: RefCell<std::rc::Weak<EntryRuntime>>,
}

impl EntryRuntime {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.entry.borrow().config().cloned()
    }

    /// Returns whether requests with keys may be taken.
    pub fn takes_keys(&self) -> bool {
        let now_ms = self.client.clock.now_ms();
        self.entry.borrow().takes_keys(now_ms)
    }

    /// Opens an exchange and returns its id and the receiver of its directives.
    pub fn open_exchange(&self) -> (u64, mpsc::UnboundedReceiver<Directive>) {
        let id = self.last_exchange_id.get() + 1;
        self.last_exchange_id.set(id);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.directives.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Removes an exchange, which then receives no more directives.
    pub fn close_exchange(&self, id: u64) {
        self.directives.borrow_mut().remove(&id);
    }

    /// Handles one event and carries out its effects.
    pub fn step(&self, event: EntryEvent) {
        let now_ms = self.client.clock.now_ms();
        let mut effects = self.effects.take();
        self.entry.borrow_mut().step(now_ms, event, &mut effects);
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects.replace(effects);
    }

    fn perform(&self, effect: EntryEffect) {
        match effect {
            EntryEffect::Directive {
                exchange,
                directive,
            } => {
                if let Some(sender) = self.directives.borrow().get(&exchange) {
                    // The send fails if the caller has disconnected, and then the exchange needs no directive.
                    let _ = sender.send(directive);
                }
            }
            EntryEffect::Send {
                to,
                address,
                message,
            } => self.peers.send(to, address, *message),
            EntryEffect::FreeHandle { address, handle } => {
                let Some(runtime) = self.weak_self.borrow().upgrade() else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    if let Err(reason) = runtime.client.free_handle(&address, &handle).await {
                        let text = format!(
                            "handle={handle} address={address} outcome=not_freed reason={reason:?}"
                        );
                        logs::write(Importance::StateChange, "entry", &text);
                    }
                });
            }
            EntryEffect::CheckUpstream { upstream, address } => {
                let Some(runtime) = self.weak_self.borrow().upgrade() else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    let has_crashed = probe::is_refusing(&address).await;
                    runtime.step(EntryEvent::UpstreamChecked {
                        upstream,
                        has_crashed,
                    });
                });
            }
            EntryEffect::PrefixObserved {
                expected,
                is_held,
                tokens,
            } => telemetry::count_prefix(expected, is_held, tokens),
            EntryEffect::Log { importance, text } => logs::write(importance, "entry", &text),
        }
    }

    fn on_watch_reply(&self, from: conf::Name, reply: WatchReply) {
        let config = reply.document.as_ref().and_then(|compressed| {
            let document = compression::decompress(compressed).map_err(|error| error.to_string());
            let config = document.and_then(|document| {
                let config = self.client.dialect.config(&document);
                config.map_err(|error| error.to_string())
            });
            match config {
                Ok(config) => Some(Arc::new(config)),
                Err(reason) => {
                    let text = format!(
                        "config=unreadable version={} source={from} reason={reason:?}",
                        reply.version,
                    );
                    logs::write(Importance::Failure, "entry", &text);
                    None
                }
            }
        });
        self.step(EntryEvent::WatchReply {
            from,
            reply: Box::new(reply),
            config,
        });
    }
}

/// Runs an entry until a signal stops it and its exchanges have ended.
///
/// # Errors
/// Fails if a listener or a signal handler cannot be set up.
pub async fn run(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    reload: Reload,
) -> Result<(), Error> {
    let mut signals = Signals::install()?;
    let (peers, queue) = PeerLinks::open(&settings).await?;
    let callers = listen("callers", &settings.caller_address).await?;
    let readiness = listen("readiness", &settings.ready_address).await?;
    telemetry::start(&settings.metrics_address).await;
    let runtime = Rc::new(EntryRuntime {
        client: Client {
            pool: Pool::new(BodyMemory::new(settings.body_memory_bytes)),
            dialect,
            clock: Clock::start(),
        },
        entry: RefCell::new(Entry::new(EntrySettings {
            info: settings.info.clone(),
            contacts: settings.contacts.clone(),
            retry_budget: settings.retry_budget.clone(),
            prefix_placement: settings.prefix_placement,
            key_policy: settings.key_policy,
            usage: settings.duties.usage.clone(),
            // The keys of the hasher come from the operating system's random number generator.
            process_number: RandomState::new().hash_one(()),
        })),
        effects: RefCell::default(),
        directives: RefCell::default(),
        last_exchange_id: Cell::new(0),
        peers,
        weak_self: RefCell::default(),
    });
    runtime.weak_self.replace(Rc::downgrade(&runtime));
    let (shutdown_sender, shutdown) = watch::channel(false);
    let (stopping_sender, stopping) = watch::channel(false);
    let serving = tokio::task::spawn_local(serve_callers(
        runtime.clone(),
        callers,
        stopping.clone(),
        shutdown.clone(),
    ));
    tokio::task::spawn_local(serve_readiness(
        runtime.clone(),
        readiness,
        stopping,
        shutdown,
    ));
    tokio::task::spawn_local(process_events(runtime.clone(), queue));
    let mut contacts = settings.contacts.clone();
    let mut housekeeping = interval(HOUSEKEEPING_INTERVAL);
    housekeeping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let action = tokio::select! {
            action = signals.next() => action,
            _ = housekeeping.tick() => {
                runtime.client.pool.close_expired();
                reload_contacts(&runtime, &reload, &mut contacts, false);
                continue;
            }
        };
        match action {
            SignalAction::Reload => reload_contacts(&runtime, &reload, &mut contacts, true),
            SignalAction::Stop => break,
        }
    }
    finish_exchanges(
        &runtime,
        &settings,
        &stopping_sender,
        &shutdown_sender,
        serving,
    )
    .await;
    Ok(())
}

/// Makes the readiness checks fail and lets answers close their connections, waits until the load balancer reacts, then
/// accepts no further connections, closes idle ones and waits until the answers to the open exchanges are written, or until
/// shortly before the end of the grace period.
async fn finish_exchanges(
    runtime: &EntryRuntime,
    settings: &Settings,
    stopping_sender: &watch::Sender<bool>,
    shutdown_sender: &watch::Sender<bool>,
    serving: JoinHandle<()>,
) {
    let clock = runtime.client.clock;
    let stop_ms = clock.now_ms() + settings.stop_wait_ms();
    let open_exchanges = || runtime.entry.borrow().open_exchanges();
    logs::write(
        Importance::StateChange,
        "process",
        &format!("outcome=stopping open_exchanges={}", open_exchanges()),
    );
    let _ = stopping_sender.send(true);
    runtime.step(EntryEvent::Stopping {
        ends_ms: stop_ms.saturating_sub(LAST_ANSWER_MS),
    });
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    let _ = shutdown_sender.send(true);
    let (importance, text) = match timeout_at(clock.instant(stop_ms), serving).await {
        Ok(_) => (Importance::StateChange, "outcome=stopped".to_owned()),
        Err(_) => (
            Importance::Failure,
            format!("outcome=cut open_exchanges={}", open_exchanges()),
        ),
    };
    logs::write(importance, "process", &text);
    while !runtime.entry.borrow().has_sent_usage() && clock.now_ms() < stop_ms {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    if !runtime.entry.borrow().has_sent_usage() {
        logs::write(
            Importance::Failure,
            "process",
            "usage=lost reason=\"no replica has taken it before the stop\"",
        );
    }
}

async fn serve_callers(
    runtime: Rc<EntryRuntime>,
    socket: tokio::net::TcpListener,
    stopping: watch::Receiver<bool>,
    shutdown: watch::Receiver<bool>,
) {
    let limits_runtime = runtime.clone();
    let limits = move || {
        let default = ConnectionLimits::default();
        let Some(config) = limits_runtime.config() else {
            return default;
        };
        let longest_exchange = Duration::from_millis(config.longest_timeout_ms());
        ConnectionLimits {
            head_bytes: config.limits().head_bytes,
            head_timeout: Duration::from_millis(config.limits().idle_timeout_ms),
            write_timeout: default.write_timeout.max(longest_exchange),
        }
    };
    let handle = move |request| {
        let (runtime, stopping) = (runtime.clone(), stopping.clone());
        async move {
            let mut response = caller::handle(runtime, request).await;
            if *stopping.borrow() {
                // The caller's next request goes to another instance.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response
        }
    };
    serve(socket, limits, handle, shutdown).await;
}

async fn serve_readiness(
    runtime: Rc<EntryRuntime>,
    socket: tokio::net::TcpListener,
    stopping: watch::Receiver<bool>,
    shutdown: watch::Receiver<bool>,
) {
    let handle = move |request: http::Request<hyper::body::Incoming>| {
        let is_ready = {
            let entry = runtime.entry.borrow();
            let is_confirmed = entry.is_confirmed(runtime.client.clock.now_ms());
            entry.is_ready() && is_confirmed && !*stopping.borrow()
        };
        let path = runtime.client.dialect.paths().ready;
        let response = match (request.uri().path() == path, is_ready) {
            (false, _) => answer::error(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "only readiness is served",
            ),
            (true, true) => Response::new(answer::AnswerBody::Full(None)),
            (true, false) => {
                answer::error(StatusCode::SERVICE_UNAVAILABLE, "not_ready", "not ready")
            }
        };
        async move { response }
    };
    serve(socket, ConnectionLimits::default, handle, shutdown).await;
}

async fn process_events(runtime: Rc<EntryRuntime>, mut queue: mpsc::Receiver<Event>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut times = interval(TIME_OF_DAY_INTERVAL);
    times.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = queue.recv() => match event {
                Some(Event::Peer { from, message: PeerMessage::WatchReply(reply) }) => {
                    runtime.on_watch_reply(from, reply);
                }
                Some(_) => logs::write(Importance::StateChange, "peer", "message=unexpected outcome=dropped"),
                None => return,
            },
            _ = ticks.tick() => runtime.step(EntryEvent::Tick),
            _ = times.tick() => if let Some(unix_ms) = runtime.client.clock.time_of_day_ms() {
                runtime.step(EntryEvent::TimeOfDay { unix_ms });
            },
        }
    }
}

/// Reads the settings again and applies their contacts if the contacts have changed or a signal asked for the reload.
fn reload_contacts(
    runtime: &EntryRuntime,
    reload: &Reload,
    contacts: &mut Vec<fleet::InstanceInfo>,
    is_signalled: bool,
) {
    match reload() {
        Ok(settings) if settings.contacts != *contacts || is_signalled => {
            let text = format!("outcome=reloaded contacts={}", settings.contacts.len());
            logs::write(Importance::StateChange, "process", &text);
            contacts.clone_from(&settings.contacts);
            runtime.step(EntryEvent::Contacts(settings.contacts));
        }
        Ok(_) => {}
        Err(reason) => {
            let text = format!("outcome=not_reloaded reason={reason:?}");
            logs::write(Importance::Failure, "process", &text);
        }
    }
}
