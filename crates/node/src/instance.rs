//! Starting, running and stopping an instance.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use conf::{Name, Settings};
use reducer::{Event, InitialState, State};
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{oneshot, watch};
use tokio::task::spawn_blocking;

use crate::admin::{self, Admin, AdminReplies};
use crate::caller::{self, Callers};
use crate::clock::{Clock, unix_ms};
use crate::effects::Effects;
use crate::engine::EngineClient;
use crate::error::Error;
use crate::exchange::Exchanges;
use crate::listener::Listener;
use crate::logs;
use crate::peer::proof::Secret;
use crate::persist::{self, DiskThread};
use crate::queue::EventQueue;
use crate::reactor::{self, MakeStep, Reactor};
use crate::shutdown::{ShutdownSignal, shutdown};
use crate::telemetry::Telemetry;

/// Time for which an administration connection may stay open after the instance has stopped.
const ADMIN_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an instance until SIGTERM or SIGINT and the planned stop that follows.
///
/// # Errors
/// Fails if the instance cannot start, or cannot go on.
pub async fn serve(settings: Settings) -> Result<(), Error> {
    logs::install(&settings.log)?;
    let (trigger, stop) = shutdown();
    let mut terminate = signal(SignalKind::terminate()).map_err(signals)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signals)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => spdlog::info!("fleet: stopping on SIGTERM"),
            _ = interrupt.recv() => spdlog::info!("fleet: stopping on SIGINT"),
        }
        trigger.stop();
        // The signal stays readable as long as its trigger lives.
        std::future::pending::<()>().await;
    });
    run(settings, stop).await
}

/// Runs an instance inside this process until `stop`. Installs no signal handlers and leaves the
/// process's logger as it is.
///
/// # Errors
/// Fails if the instance cannot start, or cannot go on.
pub async fn run(settings: Settings, stop: ShutdownSignal) -> Result<(), Error> {
    Instance::bind(settings).await?.run(stop).await
}

fn signals(source: std::io::Error) -> Error {
    Error::Os {
        what: "cannot listen for signals",
        source,
    }
}

/// An instance with open listeners that is not yet running.
#[derive(Debug)]
pub struct Instance {
    start: InitialState,
    callers: TcpListener,
    admin: TcpListener,
    peers: TcpListener,
    secret: Secret,
    admin_token_sha256: [u8; 32],
    serves_metrics_to_callers: bool,
}

impl Instance {
    /// Opens the listeners and reads the secrets. A port 0 is replaced by the one that was opened.
    ///
    /// # Errors
    /// Fails if an address or file in the settings cannot be used.
    pub async fn bind(mut settings: Settings) -> Result<Self, Error> {
        let instance = &mut settings.instance;
        let callers = bind("caller_address", &mut instance.caller_address).await?;
        let admin = bind("admin_address", &mut instance.admin_address).await?;
        let peers = bind("peer_address", &mut instance.peer_address).await?;
        let token = read_secret("admin_token_file", &instance.admin_token_file)?;
        let secret = read_secret("peer_secret_file", &instance.peer_secret_file)?;
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).map_err(Error::Random)?;
        Ok(Self {
            start: InitialState {
                settings,
                incarnation: unix_ms(),
                seed: u64::from_ne_bytes(seed),
                ..InitialState::default()
            },
            callers,
            admin,
            peers,
            secret: Secret::new(secret.as_bytes()),
            admin_token_sha256: admin::token_digest(&token),
            serves_metrics_to_callers: false,
        })
    }

    /// Returns the settings with the addresses in use.
    pub fn settings(&self) -> &Settings {
        &self.start.settings
    }

    /// Returns what the reducer starts from, for instance to choose another routing policy.
    pub fn start_mut(&mut self) -> &mut InitialState {
        &mut self.start
    }

    /// Offers `GET /metrics` on the callers' listener too.
    pub fn serve_metrics_to_callers(&mut self) {
        self.serves_metrics_to_callers = true;
    }

    /// Runs the instance until `stop` and the planned stop that follows.
    ///
    /// # Errors
    /// Fails if the instance cannot start, or cannot go on.
    pub async fn run(mut self, stop: ShutdownSignal) -> Result<(), Error> {
        let store = self.open_store()?;
        // The recovered state may be large and is not kept twice.
        let kept = InitialState {
            settings: self.start.settings.clone(),
            incarnation: self.start.incarnation,
            ..InitialState::default()
        };
        let start = std::mem::replace(&mut self.start, kept);
        let make_step: MakeStep = Box::new(move |now_ms| {
            let mut state = State::new(start, now_ms);
            Box::new(move |now_ms, event, effects| {
                reducer::step(&mut state, now_ms, event, effects);
            })
        });
        self.run_with(make_step, store, stop).await
    }

    /// Runs the instance around another step function, for tests of the runtime alone.
    ///
    /// # Errors
    /// Fails if the instance cannot start, or cannot go on.
    pub async fn run_step(self, make_step: MakeStep, stop: ShutdownSignal) -> Result<(), Error> {
        self.run_with(make_step, None, stop).await
    }

    /// Opens the replica's files if this instance is a voter with a data folder.
    fn open_store(&mut self) -> Result<Option<disk::Store>, Error> {
        let settings = &self.start.settings;
        let instance = &settings.instance;
        let is_voter = settings.voters.iter().any(|voter| voter.id == instance.id);
        if !is_voter || instance.data_folder.is_empty() {
            return Ok(None);
        }
        let opened = persist::open(Path::new(instance.data_folder.as_str()))?;
        self.start.replica = Some((opened.storage_id, opened.recovered));
        Ok(Some(opened.store))
    }

    async fn run_with(
        self,
        make_step: MakeStep,
        store: Option<disk::Store>,
        mut stop: ShutdownSignal,
    ) -> Result<(), Error> {
        let settings = self.start.settings.clone();
        let telemetry = Telemetry::install()?;
        let clock = Clock::start();
        let (events, queue) = EventQueue::new();
        let disk = store
            .map(|store| persist::start(store, events.clone()))
            .transpose()?;
        let engines = EngineClient::new(events.clone())?;
        let id_prefix = format!("{}-{}", settings.instance.id, self.start.incarnation);
        let exchanges = Exchanges::new(clock, events.clone(), engines.clone(), id_prefix);
        let (view, view_receiver) = watch::channel(Arc::default());
        let (readiness, readiness_receiver) = watch::channel(caller::Readiness::default());
        let (exit, mut exited) = oneshot::channel();
        let (close, closed) = watch::channel(false);
        let (end, ended) = watch::channel(false);
        let admin_replies = AdminReplies::default();

        let effects = Effects {
            exchanges: exchanges.clone(),
            engines,
            runtime: Handle::current(),
            platform_list_url: settings.platform.list_url.clone(),
            writes: disk.as_ref().map(|disk| disk.writes.clone()),
            admin_replies: admin_replies.clone(),
            view,
            readiness,
            exit: Some(exit),
            follow_ups: Default::default(),
        };
        let reactor = Reactor {
            id: settings.instance.id.clone(),
            secret: self.secret,
            peer_socket: self.peers.into_std().map_err(socket)?,
            clock,
            tick_interval: Duration::from_millis(settings.timing.tick_interval_ms.max(1)),
            events: events.clone(),
            queue,
            effects,
            stop: ended,
        };
        let reactor = reactor::start(reactor, make_step)?;
        let mut reactor = spawn_blocking(move || join(reactor));

        let callers = Arc::new(Callers {
            limits: settings.limits.clone(),
            view: view_receiver,
            readiness: readiness_receiver,
            exchanges,
            events: events.clone(),
            next_exchange: AtomicU64::new(1),
            metrics: self.serves_metrics_to_callers.then(|| telemetry.clone()),
        });
        let admin = Arc::new(Admin {
            token_sha256: self.admin_token_sha256,
            events: events.clone(),
            replies: admin_replies,
            telemetry,
            next_token: AtomicU64::new(1),
        });
        let callers = Listener::new(self.callers, settings.limits.clone())
            .serve(caller::router(callers), closed.clone());
        let admin = Listener::new(self.admin, settings.limits).serve(admin::router(admin), closed);
        let callers = AbortOnDrop(tokio::spawn(callers));
        let admin = AbortOnDrop(tokio::spawn(admin));
        let (disk_writes, mut disk) = watch_disk(disk);
        spdlog::info!(
            "http: instance {} serves callers on {}",
            settings.instance.id,
            settings.instance.caller_address
        );

        tokio::select! {
            () = stop.stopped() => events.send(Event::Stop).await,
            result = &mut reactor => return Err(unexpected(result)),
            result = &mut disk => return Err(unexpected(result)),
        }
        tokio::select! {
            _ = &mut exited => {}
            result = &mut reactor => return Err(unexpected(result)),
            result = &mut disk => return Err(unexpected(result)),
        }
        // The reducer goes on until the last answer is written, because a request may have come
        // in between and waits for its refusal.
        close.send_replace(true);
        wait_closed(callers, settings.timing.drain_timeout_ms).await;
        let _ = tokio::time::timeout(ADMIN_CLOSE_TIMEOUT, admin.finished()).await;
        end.send_replace(true);
        flatten(reactor.await)?;
        drop(disk_writes);
        flatten(disk.await)
    }
}

type ThreadResult = Result<Result<(), Error>, tokio::task::JoinError>;

fn join(thread: std::thread::JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    thread.join().unwrap_or(Err(Error::ReducerStopped))
}

/// Returns the sender that keeps the disk thread alive, and the thread's end. Without a disk it
/// ends when the sender is dropped, too.
fn watch_disk(disk: Option<DiskThread>) -> (DiskGuard, tokio::task::JoinHandle<Result<(), Error>>) {
    match disk {
        Some(disk) => {
            let end = spawn_blocking(move || join(disk.thread));
            (DiskGuard::Writes(disk.writes), end)
        }
        None => {
            let (keep, dropped) = oneshot::channel::<()>();
            let end = tokio::spawn(async move {
                let _ = dropped.await;
                Ok(())
            });
            (DiskGuard::None(keep), end)
        }
    }
}

/// Keeps the disk thread, or what stands for it, running.
#[expect(dead_code, reason = "held for its drop")]
enum DiskGuard {
    Writes(std::sync::mpsc::Sender<persist::Ticketed>),
    None(oneshot::Sender<()>),
}

fn unexpected(result: ThreadResult) -> Error {
    match flatten(result) {
        Err(error) => error,
        Ok(()) => Error::ReducerStopped,
    }
}

fn flatten(result: ThreadResult) -> Result<(), Error> {
    result.unwrap_or(Err(Error::ReducerStopped))
}

fn socket(source: std::io::Error) -> Error {
    Error::Os {
        what: "cannot use the peer socket",
        source,
    }
}

/// A task that ends with the instance.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    async fn finished(mut self) {
        // A panic was printed by its hook, and the listener has ended either way.
        let _ = (&mut self.0).await;
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn wait_closed(listener: AbortOnDrop, drain_timeout_ms: u64) {
    if drain_timeout_ms == 0 {
        return listener.finished().await;
    }
    let limit = Duration::from_millis(drain_timeout_ms);
    if tokio::time::timeout(limit, listener.finished())
        .await
        .is_err()
    {
        spdlog::warn!("http: connections are still open after {drain_timeout_ms} ms");
    }
}

async fn bind(setting: &'static str, address: &mut Name) -> Result<TcpListener, Error> {
    let parsed: SocketAddr = address.parse().map_err(|_| Error::Address {
        setting,
        value: address.clone(),
    })?;
    let opened = async {
        let socket = TcpListener::bind(parsed).await?;
        let address = socket.local_addr()?;
        Ok((socket, address))
    };
    let (socket, opened) = opened.await.map_err(|source| Error::Bind {
        setting,
        address: address.clone(),
        source,
    })?;
    *address = Name::from(opened.to_string());
    Ok(socket)
}

fn read_secret(setting: &'static str, path: &Name) -> Result<String, Error> {
    let error = |source| Error::Secret {
        setting,
        path: path.clone(),
        source,
    };
    let text = std::fs::read_to_string(path.as_str()).map_err(error)?;
    match text.trim() {
        "" => Err(error(std::io::Error::other("the file is empty"))),
        secret => Ok(secret.to_owned()),
    }
}
