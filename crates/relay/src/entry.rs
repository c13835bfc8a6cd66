//! An instance that takes requests of callers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use conf::Map;
use fleet::{PeerMessage, WatchReply};
use gateway::entry::{EntryEffect, EntryEvent, EntrySettings};
use gateway::{Config, Directive, Entry};
use http::{Response, StatusCode};
use reducer::Event;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::answer;
use crate::call::Client;
use crate::caller;
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::error::Error;
use crate::http::{Bounds, listen, serve};
use crate::logs::{self, Importance};
use crate::pack;
use crate::peers::PeerLinks;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::shutdown::{Asked, Signals};
use crate::{Reload, telemetry};

/// Interval of the reducer's time events.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of looking for changed settings, which may change without a signal, and of closing idle connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_secs(2);
/// Time for which a stopping instance takes new connections, since the balancer needs two failed checks.
const LINGER: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace period at which a stopping instance gives up.
const GRACE_MARGIN_MS: u64 = 400;

/// The reducer with what its effects act on. Used on one thread.
pub struct Shell {
    /// Calls to upstreams.
    pub client: Client,
    entry: RefCell<Entry>,
    effects: RefCell<Vec<EntryEffect>>,
    directives: RefCell<Map<u64, mpsc::UnboundedSender<Directive>>>,
    next_exchange: Cell<u64>,
    peers: PeerLinks,
    this: RefCell<std::rc::Weak<Shell>>,
}

impl Shell {
    /// Returns the configuration in force.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.entry.borrow().config().cloned()
    }

    /// Opens an exchange.
    pub fn open_exchange(&self) -> (u64, mpsc::UnboundedReceiver<Directive>) {
        let id = self.next_exchange.get() + 1;
        self.next_exchange.set(id);
        let (sender, receiver) = mpsc::unbounded_channel();
        self.directives.borrow_mut().insert(id, sender);
        (id, receiver)
    }

    /// Forgets an exchange.
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
                    // An exchange whose caller has left needs no directive.
                    let _ = sender.send(directive);
                }
            }
            EntryEffect::Send {
                to,
                address,
                message,
            } => self.peers.send(to, address, &message),
            EntryEffect::FreeHandle { address, handle } => {
                let Some(shell) = self.this.borrow().upgrade() else {
                    return;
                };
                tokio::task::spawn_local(async move {
                    if let Err(reason) = shell.client.free(&address, &handle).await {
                        let text = format!(
                            "handle={handle} address={address} outcome=not_freed reason={reason:?}"
                        );
                        logs::line(Importance::StateChange, "entry", &text);
                    }
                });
            }
            EntryEffect::Log { importance, text } => logs::line(importance, "entry", &text),
        }
    }

    fn watched(&self, from: conf::Name, reply: WatchReply) {
        let config = reply.document.as_ref().and_then(|packed| {
            let document = pack::unpack(packed).map_err(|error| error.to_string());
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
                    logs::line(Importance::Failure, "entry", &text);
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

/// Runs an entry until it is told to stop.
///
/// # Errors
/// Fails if a listener or signal handler cannot be set up.
pub async fn run(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    reload: Reload,
) -> Result<(), Error> {
    let mut signals = Signals::listen()?;
    let (peers, queue) = PeerLinks::open(&settings).await?;
    let callers = listen("callers", &settings.caller_address).await?;
    let readiness = listen("readiness", &settings.ready_address).await?;
    telemetry::start(&settings.metrics_address).await;
    let shell = Rc::new(Shell {
        client: Client {
            pool: Pool::default(),
            dialect,
            clock: Clock::start(),
        },
        entry: RefCell::new(Entry::new(EntrySettings {
            info: settings.info.clone(),
            contacts: settings.contacts.clone(),
            budget: settings.budget.clone(),
        })),
        effects: RefCell::default(),
        directives: RefCell::default(),
        next_exchange: Cell::new(0),
        peers,
        this: RefCell::default(),
    });
    shell.this.replace(Rc::downgrade(&shell));
    let (stop, stopped) = watch::channel(false);
    let (leave, leaving) = watch::channel(false);
    tokio::task::spawn_local(serve_callers(shell.clone(), callers, stopped.clone()));
    tokio::task::spawn_local(serve_readiness(shell.clone(), readiness, leaving, stopped));
    tokio::task::spawn_local(take_events(shell.clone(), queue));
    let mut contacts = settings.contacts.clone();
    let mut housekeeping = interval(HOUSEKEEPING_INTERVAL);
    housekeeping.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let asked = tokio::select! {
            asked = signals.next() => asked,
            _ = housekeeping.tick() => {
                shell.client.pool.tidy();
                reload_contacts(&shell, &reload, &mut contacts, false);
                continue;
            }
        };
        match asked {
            Asked::Reload => reload_contacts(&shell, &reload, &mut contacts, true),
            Asked::Stop => break,
        }
    }
    leave_callers(&shell, &settings, &leave, &stop).await;
    Ok(())
}

/// Finishes the open exchanges.
async fn leave_callers(
    shell: &Shell,
    settings: &Settings,
    leave: &watch::Sender<bool>,
    stop: &watch::Sender<bool>,
) {
    let clock = shell.client.clock;
    let give_up_ms = clock.now_ms() + settings.grace_ms.saturating_sub(GRACE_MARGIN_MS);
    let open = || shell.entry.borrow().open_exchanges();
    logs::line(
        Importance::StateChange,
        "process",
        &format!("outcome=stopping open_exchanges={}", open()),
    );
    let _ = leave.send(true);
    tokio::time::sleep(LINGER).await;
    let _ = stop.send(true);
    // Answers that were just finished are still being written.
    let mut quiet = 0;
    while quiet < 4 && clock.now_ms() < give_up_ms {
        tokio::time::sleep(TICK_INTERVAL).await;
        quiet = if open() == 0 { quiet + 1 } else { 0 };
    }
    if open() > 0 {
        logs::line(
            Importance::Failure,
            "process",
            &format!("outcome=cut open_exchanges={}", open()),
        );
    }
}

async fn serve_callers(
    shell: Rc<Shell>,
    socket: tokio::net::TcpListener,
    stop: watch::Receiver<bool>,
) {
    let bounding = shell.clone();
    let bounds = move || {
        bounding
            .config()
            .map_or_else(Bounds::default, |config| Bounds {
                header_bytes: config.limits().header_bytes,
                head_timeout: Duration::from_millis(config.limits().idle_timeout_ms),
            })
    };
    let handle = move |request| caller::handle(shell.clone(), request);
    serve(socket, bounds, handle, stop).await;
}

async fn serve_readiness(
    shell: Rc<Shell>,
    socket: tokio::net::TcpListener,
    leaving: watch::Receiver<bool>,
    stop: watch::Receiver<bool>,
) {
    let handle = move |request: http::Request<hyper::body::Incoming>| {
        let is_ready = shell.entry.borrow().is_ready() && !*leaving.borrow();
        let path = shell.client.dialect.paths().ready;
        let response = match (request.uri().path() == path, is_ready) {
            (false, _) => answer::error(
                StatusCode::NOT_FOUND,
                "unknown_path",
                "only readiness is served",
            ),
            (true, true) => Response::new(answer::AnswerBody::Whole(None)),
            (true, false) => {
                answer::error(StatusCode::SERVICE_UNAVAILABLE, "not_ready", "not ready")
            }
        };
        async move { response }
    };
    serve(socket, Bounds::default, handle, stop).await;
}

async fn take_events(shell: Rc<Shell>, mut queue: mpsc::Receiver<Event>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = queue.recv() => match event {
                Some(Event::Peer { from, message: PeerMessage::WatchReply(reply) }) => {
                    shell.watched(from, reply);
                }
                Some(_) => logs::line(Importance::StateChange, "peer", "message=unexpected outcome=dropped"),
                None => return,
            },
            _ = ticks.tick() => shell.step(EntryEvent::Tick),
        }
    }
}

/// Reads the settings again and takes over the replicas that they name.
fn reload_contacts(
    shell: &Shell,
    reload: &Reload,
    contacts: &mut Vec<fleet::InstanceInfo>,
    is_asked: bool,
) {
    match reload() {
        Ok(settings) if settings.contacts != *contacts || is_asked => {
            let text = format!("outcome=reloaded contacts={}", settings.contacts.len());
            logs::line(Importance::StateChange, "process", &text);
            contacts.clone_from(&settings.contacts);
            shell.step(EntryEvent::Contacts(settings.contacts));
        }
        Ok(_) => {}
        Err(reason) => {
            let text = format!("outcome=not_reloaded reason={reason:?}");
            logs::line(Importance::Failure, "process", &text);
        }
    }
}
