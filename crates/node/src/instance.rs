//! Starts, runs and stops an instance.

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

use crate::admin::{self, AdminContext, PendingAdminRequests};
use crate::caller::{self, CallerContext};
use crate::clock::{Clock, unix_ms};
use crate::effects::EffectExecutor;
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

/// Time limit for open administration connections to close after the instance has stopped.
const ADMIN_CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs an instance until SIGTERM or SIGINT, and then through its planned stop. Sets up the process's logger and signal
/// handlers.
///
/// # Errors
/// Fails if the instance cannot start, or if the disk or the reducer's thread fails while it runs.
pub async fn serve(settings: Settings) -> Result<(), Error> {
    logs::install(&settings.log)?;
    let (trigger, stop) = shutdown();
    let mut terminate = signal(SignalKind::terminate()).map_err(signal_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(signal_error)?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => spdlog::info!("fleet: stopping on SIGTERM"),
            _ = interrupt.recv() => spdlog::info!("fleet: stopping on SIGINT"),
        }
        trigger.stop();
        // The trigger must not be dropped, because the signal can be received only while its trigger exists.
        std::future::pending::<()>().await;
    });
    run(settings, stop).await
}

/// Runs an instance inside this process until `stop`, and then through its planned stop. Installs no signal handlers
/// and does not change the process's logger.
///
/// # Errors
/// Fails if the instance cannot start, or if the disk or the reducer's thread fails while it runs.
pub async fn run(settings: Settings, stop: ShutdownSignal) -> Result<(), Error> {
    Instance::bind(settings).await?.run(stop).await
}

fn signal_error(source: std::io::Error) -> Error {
    Error::Os {
        what: "cannot listen for signals",
        source,
    }
}

/// An instance whose listeners are open but which is not running yet.
#[derive(Debug)]
pub struct Instance {
    initial_state: InitialState,
    caller_socket: TcpListener,
    admin_socket: TcpListener,
    peer_socket: TcpListener,
    peer_secret: Secret,
    admin_token_sha256: [u8; 32],
    serves_metrics_to_callers: bool,
}

impl Instance {
    /// Opens the listeners and reads the secrets. Replaces port 0 in the settings with the port that was opened.
    ///
    /// # Errors
    /// Fails if an address or file in the settings cannot be used.
    pub async fn bind(mut settings: Settings) -> Result<Self, Error> {
        let instance = &mut settings.instance;
        let caller_socket = bind("caller_address", &mut instance.caller_address).await?;
        let admin_socket = bind("admin_address", &mut instance.admin_address).await?;
        let peer_socket = bind("peer_address", &mut instance.peer_address).await?;
        let admin_token = read_secret("admin_token_file", &instance.admin_token_file)?;
        let peer_secret = read_secret("peer_secret_file", &instance.peer_secret_file)?;
        let mut seed = [0; 8];
        getrandom::fill(&mut seed).map_err(Error::Random)?;
        Ok(Self {
            initial_state: InitialState {
                settings,
                incarnation: unix_ms(),
                seed: u64::from_ne_bytes(seed),
                ..InitialState::default()
            },
            caller_socket,
            admin_socket,
            peer_socket,
            peer_secret: Secret::new(peer_secret.as_bytes()),
            admin_token_sha256: admin::token_digest(&admin_token),
            serves_metrics_to_callers: false,
        })
    }

    /// Returns the settings, with the addresses that were opened.
    pub fn settings(&self) -> &Settings {
        &self.initial_state.settings
    }

    /// Returns the reducer's initial state, for example to choose another routing policy.
    pub fn initial_state_mut(&mut self) -> &mut InitialState {
        &mut self.initial_state
    }

    /// Serves `GET /metrics` on the callers' listener as well.
    pub fn serve_metrics_to_callers(&mut self) {
        self.serves_metrics_to_callers = true;
    }

    /// Runs the instance until `stop`, and then through its planned stop.
    ///
    /// # Errors
    /// Fails if the instance cannot start, or if the disk or the reducer's thread fails while it runs.
    pub async fn run(mut self, stop: ShutdownSignal) -> Result<(), Error> {
        let store = self.open_store()?;
        // The recovered state may be large, so it is moved into the reducer instead of copied.
        let retained = InitialState {
            settings: self.initial_state.settings.clone(),
            incarnation: self.initial_state.incarnation,
            ..InitialState::default()
        };
        let initial_state = std::mem::replace(&mut self.initial_state, retained);
        let make_step: MakeStep = Box::new(move |now_ms| {
            let mut state = State::new(initial_state, now_ms);
            Box::new(move |now_ms, event, effects| {
                reducer::step(&mut state, now_ms, event, effects);
            })
        });
        self.run_with(make_step, store, stop).await
    }

    /// Runs the instance with another step function instead of the reducer's, to test the runtime on its own.
    ///
    /// # Errors
    /// Fails if the instance cannot start, or if the disk or the reducer's thread fails while it runs.
    pub async fn run_step(self, make_step: MakeStep, stop: ShutdownSignal) -> Result<(), Error> {
        self.run_with(make_step, None, stop).await
    }

    /// Opens the replica's files if this instance is a voter with a data folder.
    fn open_store(&mut self) -> Result<Option<disk::Store>, Error> {
        let settings = &self.initial_state.settings;
        let instance = &settings.instance;
        let is_voter = settings.voters.iter().any(|voter| voter.id == instance.id);
        if !is_voter || instance.data_folder.is_empty() {
            return Ok(None);
        }
        let opened = persist::open(Path::new(instance.data_folder.as_str()), None)?;
        self.initial_state.replica = Some((opened.storage_id, opened.recovered));
        Ok(Some(opened.store))
    }

    async fn run_with(
        self,
        make_step: MakeStep,
        store: Option<disk::Store>,
        mut stop: ShutdownSignal,
    ) -> Result<(), Error> {
        let settings = self.initial_state.settings.clone();
        let telemetry = Telemetry::install()?;
        let clock = Clock::start();
        let (events, queue) = EventQueue::new();
        let disk = store
            .map(|store| persist::start(store, events.clone()))
            .transpose()?;
        let engines = EngineClient::new(events.clone())?;
        let request_id_prefix = format!(
            "{}-{}",
            settings.instance.id, self.initial_state.incarnation
        );
        let exchanges = Exchanges::new(clock, events.clone(), engines.clone(), request_id_prefix);
        let (caller_config, config_receiver) = watch::channel(Arc::default());
        let (readiness, readiness_receiver) = watch::channel(caller::Readiness::default());
        let (exit, mut exited) = oneshot::channel();
        let (close_listeners, listeners_closing) = watch::channel(false);
        let (stop_reducer, reducer_stopping) = watch::channel(false);
        let admin_requests = PendingAdminRequests::default();

        let executor = EffectExecutor {
            exchanges: exchanges.clone(),
            engines,
            runtime: Handle::current(),
            platform_list_url: settings.platform.list_url.clone(),
            disk_writes: disk.as_ref().map(|disk| disk.writes.clone()),
            admin_requests: admin_requests.clone(),
            caller_config,
            readiness,
            exit: Some(exit),
            follow_ups: Default::default(),
        };
        let reactor = Reactor {
            id: settings.instance.id.clone(),
            secret: self.peer_secret,
            peer_socket: self.peer_socket.into_std().map_err(peer_socket_error)?,
            clock,
            tick_interval: Duration::from_millis(settings.timing.tick_interval_ms.max(1)),
            events: events.clone(),
            queue,
            executor,
            stop: reducer_stopping,
        };
        let reactor = reactor::start(reactor, make_step)?;
        let mut reactor = spawn_blocking(move || join(reactor));

        let caller_context = Arc::new(CallerContext {
            limits: settings.limits.clone(),
            config: config_receiver,
            readiness: readiness_receiver,
            exchanges,
            events: events.clone(),
            next_exchange: AtomicU64::new(1),
            metrics: self.serves_metrics_to_callers.then(|| telemetry.clone()),
        });
        let admin_context = Arc::new(AdminContext {
            token_sha256: self.admin_token_sha256,
            events: events.clone(),
            pending: admin_requests,
            telemetry,
            next_request_token: AtomicU64::new(1),
        });
        let serve_callers = Listener::new(self.caller_socket, settings.limits.clone())
            .serve(caller::router(caller_context), listeners_closing.clone());
        let serve_admin = Listener::new(self.admin_socket, settings.limits)
            .serve(admin::router(admin_context), listeners_closing);
        let caller_task = AbortOnDrop(tokio::spawn(serve_callers));
        let admin_task = AbortOnDrop(tokio::spawn(serve_admin));
        let (disk_guard, mut disk) = watch_disk(disk);
        spdlog::info!(
            "http: instance {} serves callers on {}",
            settings.instance.id,
            settings.instance.caller_address
        );

        tokio::select! {
            () = stop.stopped() => events.send(Event::Stop).await,
            result = &mut reactor => return Err(unexpected_end(result)),
            result = &mut disk => return Err(unexpected_end(result)),
        }
        tokio::select! {
            _ = &mut exited => {}
            result = &mut reactor => return Err(unexpected_end(result)),
            result = &mut disk => return Err(unexpected_end(result)),
        }
        // The reducer keeps running until the last connection is closed, because a request may have arrived after the
        // effect `Exit` and waits for its refusal.
        close_listeners.send_replace(true);
        wait_closed(caller_task, settings.timing.drain_timeout_ms).await;
        let _ = tokio::time::timeout(ADMIN_CLOSE_TIMEOUT, admin_task.finished()).await;
        stop_reducer.send_replace(true);
        flatten_result(reactor.await)?;
        drop(disk_guard);
        flatten_result(disk.await)
    }
}

type ThreadResult = Result<Result<(), Error>, tokio::task::JoinError>;

fn join(thread: std::thread::JoinHandle<Result<(), Error>>) -> Result<(), Error> {
    thread.join().unwrap_or(Err(Error::ReducerStopped))
}

/// Returns a guard that keeps the disk thread running until it is dropped, and a task that ends with the thread.
/// Without a disk thread, the task ends when the guard is dropped.
fn watch_disk(
    disk: Option<DiskThread>,
) -> (DiskThreadGuard, tokio::task::JoinHandle<Result<(), Error>>) {
    match disk {
        Some(disk) => {
            let end = spawn_blocking(move || join(disk.thread));
            (DiskThreadGuard::Writes(disk.writes), end)
        }
        None => {
            let (sender, dropped) = oneshot::channel::<()>();
            let end = tokio::spawn(async move {
                let _ = dropped.await;
                Ok(())
            });
            (DiskThreadGuard::None(sender), end)
        }
    }
}

/// Keeps the disk thread running, or the task that replaces it on an instance without one.
#[expect(dead_code, reason = "held for its drop")]
enum DiskThreadGuard {
    Writes(std::sync::mpsc::Sender<persist::TicketedWrite>),
    None(oneshot::Sender<()>),
}

fn unexpected_end(result: ThreadResult) -> Error {
    match flatten_result(result) {
        Err(error) => error,
        Ok(()) => Error::ReducerStopped,
    }
}

fn flatten_result(result: ThreadResult) -> Result<(), Error> {
    result.unwrap_or(Err(Error::ReducerStopped))
}

fn peer_socket_error(source: std::io::Error) -> Error {
    Error::Os {
        what: "cannot use the peer socket",
        source,
    }
}

/// A task that is aborted when this value is dropped.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl AbortOnDrop {
    async fn finished(mut self) {
        // An error means that the task has panicked. The panic hook has printed the panic, and the listener has ended.
        let _ = (&mut self.0).await;
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn wait_closed(listener_task: AbortOnDrop, drain_timeout_ms: u64) {
    if drain_timeout_ms == 0 {
        return listener_task.finished().await;
    }
    let limit = Duration::from_millis(drain_timeout_ms);
    if tokio::time::timeout(limit, listener_task.finished())
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
