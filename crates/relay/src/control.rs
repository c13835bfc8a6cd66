//! An instance that runs a replica and answers operators.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use conf::Map;
use disk::OpenedStore;
use fleet::InstanceInfo;
use gateway::control::{
    Answer, Control, ControlEffect, ControlEvent, ControlSettings, OrderOutcome,
};
use gateway::stages::RoleOrder;
use gateway::{DutyCall, DutyOutcome};
use http::header::LOCATION;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use node::persist::{self, TicketedWrite};
use reducer::Event;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval, timeout_at};

use crate::answer::{self, AnswerBody};
use crate::blocked_parts::{self, BLOCKED_PARTS_PATH};
use crate::body;
use crate::clock::{Clock, TIME_OF_DAY_INTERVAL};
use crate::compression::{self, MAX_DOCUMENT_BYTES};
use crate::dialect::Dialect;
use crate::duties::DutySender;
use crate::error::Error;
use crate::http::{ConnectionLimits, listen, serve};
use crate::inbox::Inbox;
use crate::listing;
use crate::logs::{self, Importance};
use crate::memory::BodyMemory;
use crate::orders::OrderSender;
use crate::peers::PeerLinks;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::signals::{SignalAction, Signals};
use crate::{Reload, telemetry};

/// Interval of the reducer's tick events. The heartbeat interval and the election timeouts must span
/// several ticks.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of the checks whether the disk thread has ended.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of receiving the body of an operator's request.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The reducer of a replica, and everything that carries out its effects. The runtime is used on one thread.
struct ControlRuntime {
    /// The replica; none after its disk has failed, until the replica is started again.
    control: RefCell<Option<Control>>,
    effects: RefCell<Vec<ControlEffect>>,
    clock: Clock,
    dialect: Rc<dyn Dialect>,
    pool: Pool,
    settings: Settings,
    peers: PeerLinks,
    writes: RefCell<Option<Sender<TicketedWrite>>>,
    /// Whether a replica has been started in this process.
    has_opened: Cell<bool>,
    /// Tickets of the replicas before the present one, whose writes may still be reported.
    former_tickets: Cell<u64>,
    last_ticket: Cell<u64>,
    /// Other replicas that the replica before the present one knew.
    known_replicas: RefCell<Vec<InstanceInfo>>,
    calls: RefCell<Map<u64, oneshot::Sender<Answer>>>,
    last_call_id: Cell<u64>,
    is_reading_list: Cell<bool>,
    /// What cannot be read of the platform's list, as the fields of a log line.
    unreadable: RefCell<Option<String>>,
    weak_self: RefCell<std::rc::Weak<ControlRuntime>>,
}

impl ControlRuntime {
    fn step(&self, event: ControlEvent) {
        let now_ms = self.clock.now_ms();
        let mut effects = self.effects.take();
        match self.control.borrow_mut().as_mut() {
            Some(control) => control.step(now_ms, event, &mut effects),
            None => refuse_call(event, &mut effects),
        }
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects.replace(effects);
    }

    fn step_received(&self, event: Event) {
        match event {
            Event::Peer { from, message } => self.step(ControlEvent::Peer { from, message }),
            Event::Persisted { ticket } => {
                if let Some(ticket) = ticket
                    .checked_sub(self.former_tickets.get())
                    .filter(|ticket| *ticket > 0)
                {
                    self.step(ControlEvent::Persisted { ticket });
                }
            }
            _ => logs::write(
                Importance::StateChange,
                "control",
                "event=unexpected outcome=dropped",
            ),
        }
    }

    fn perform(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::Persist { ticket, write } => {
                if let Some(writes) = self.writes.borrow().as_ref() {
                    let ticket = self.former_tickets.get() + ticket;
                    self.last_ticket.set(ticket);
                    // The send fails if the disk thread has ended, which `check_disk` detects.
                    let _ = writes.send((ticket, write));
                }
            }
            ControlEffect::Send {
                to,
                address,
                message,
            } => self.peers.send(to, address, *message),
            ControlEffect::Answer { call, answer } => {
                if let Some(sender) = self.calls.borrow_mut().remove(&call) {
                    // The send fails if the operator has disconnected, and then no answer is needed.
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::ReadList => self.read_list(),
            ControlEffect::Order {
                term,
                order,
                valid_until_ms,
            } => self.send_order(term, order, valid_until_ms),
            ControlEffect::Duty {
                term,
                call,
                valid_until_ms,
            } => self.send_duty(term, call, valid_until_ms),
            ControlEffect::DecodeServices { document } => self.decode_services(&document),
            ControlEffect::Log { text } => logs::write(Importance::StateChange, "control", &text),
        }
    }

    fn read_list(&self) {
        let Some(runtime) = self.weak_self.borrow().upgrade() else {
            return;
        };
        // The list is not read again while an earlier read of the list is still in progress.
        if self.is_reading_list.replace(true) {
            return;
        }
        tokio::task::spawn_local(async move {
            let address = &runtime.settings.list_address;
            let read = listing::read(&runtime.pool, address, &runtime.dialect).await;
            runtime.is_reading_list.set(false);
            runtime.step(match read {
                Ok(list) => {
                    runtime.log_unreadable(list.unreadable);
                    ControlEvent::Listed {
                        upstreams: list.upstreams,
                    }
                }
                Err(reason) => ControlEvent::ListingFailed { reason },
            });
        });
    }

    /// Writes a log line if other records of the list than before cannot be read.
    fn log_unreadable(&self, unreadable: Option<String>) {
        let previous = self.unreadable.replace(unreadable.clone());
        if previous != unreadable {
            let text = unreadable.unwrap_or_else(|| "list_entries=readable".to_owned());
            logs::write(Importance::StateChange, "list", &text);
        }
    }

    fn send_order(&self, term: u64, order: RoleOrder, valid_until_ms: u64) {
        let Some(runtime) = self.weak_self.borrow().upgrade() else {
            return;
        };
        tokio::task::spawn_local(async move {
            let holder = &runtime.settings.info.id;
            let sender = OrderSender {
                pool: &runtime.pool,
                dialect: &runtime.dialect,
                clock: runtime.clock,
                holder,
            };
            let result = sender.send(term, &order, valid_until_ms).await;
            let outcome = result.unwrap_or_else(|reason| {
                let text = format!(
                    "upstream={} order=unanswered reason={reason:?}",
                    order.upstream
                );
                logs::write(Importance::StateChange, "control", &text);
                OrderOutcome::Unknown
            });
            runtime.step(ControlEvent::OrderEnded {
                upstream: order.upstream,
                term,
                outcome,
            });
        });
    }

    fn decode_services(&self, document: &[u8]) {
        let Some(runtime) = self.weak_self.borrow().upgrade() else {
            return;
        };
        let document = compression::decompress(document).map_err(|error| error.to_string());
        let config = document.and_then(|document| {
            let config = self.dialect.config(&document);
            config.map_err(|error| error.to_string())
        });
        match config {
            Ok(config) => {
                let services: Vec<_> = config.services().cloned().collect();
                let scaled = services.iter().filter(|service| service.scaling.is_some());
                let names: Vec<&str> = scaled.map(|service| service.name.as_str()).collect();
                let text = format!(
                    "document=decoded version={} services={} scaled={names:?}",
                    config.version(),
                    services.len()
                );
                logs::write(Importance::StateChange, "control", &text);
                tokio::task::spawn_local(async move {
                    runtime.step(ControlEvent::Services(services));
                });
            }
            Err(reason) => {
                let text = format!("document=undecoded reason={reason:?}");
                logs::write(Importance::StateChange, "control", &text);
            }
        }
    }

    fn record_upstream_counts(&self) {
        let control = self.control.borrow();
        for count in control.iter().flat_map(Control::upstream_counts) {
            let kind = match count.is_reclaimable {
                true => "reclaimable",
                false => "permanent",
            };
            let states = [
                ("ordered", count.ordered),
                ("present", count.present),
                ("draining", count.draining),
            ];
            for (state, number) in states {
                metrics::gauge!(
                    "mustardstack_upstreams",
                    "service" => count.service.to_string(),
                    "zone" => count.availability_zone.to_string(),
                    "kind" => kind,
                    "state" => state
                )
                .set(f64::from(number));
            }
        }
    }

    fn send_duty(&self, term: u64, call: DutyCall, valid_until_ms: u64) {
        let Some(runtime) = self.weak_self.borrow().upgrade() else {
            return;
        };
        tokio::task::spawn_local(async move {
            let sender = DutySender {
                pool: &runtime.pool,
                dialect: &runtime.dialect,
                clock: runtime.clock,
                address: &runtime.settings.list_address,
                holder: &runtime.settings.info.id,
            };
            let result = sender.send(term, &call, valid_until_ms).await;
            let outcome = result.unwrap_or_else(|reason| {
                let text = format!("duty=unanswered term={term} reason={reason:?}");
                logs::write(Importance::StateChange, "control", &text);
                DutyOutcome::Unknown
            });
            runtime.step(ControlEvent::DutyEnded {
                call,
                term,
                outcome,
            });
            runtime.record_upstream_counts();
        });
    }

    /// Starts the replica with the state on its disk.
    fn open_replica(&self) -> Result<JoinHandle<Result<(), node::Error>>, Error> {
        // Only the settings of the first start name the founders. A folder that is emptied later belongs to a new replica.
        let is_first_start = !self.settings.founders.is_empty() && !self.has_opened.get();
        let new_storage_id =
            is_first_start.then(|| quorum::initial_storage_id(&self.settings.info.id));
        let OpenedStore {
            mut store,
            storage_id,
            recovered,
        } = persist::open(&self.settings.data_folder, new_storage_id)?;
        let founders = persist::founders(&mut store, &self.settings.founders)?;
        let text = format!(
            "store=opened storage_id={storage_id:x} term={} entries={} founders={}",
            recovered.term,
            recovered.entries.len(),
            founders.len()
        );
        logs::write(Importance::StateChange, "control", &text);
        let disk = persist::start(store, self.peers.events.clone())?;
        let settings = ControlSettings {
            info: self.settings.info.clone(),
            storage_id,
            founders,
            contacts: self.settings.contacts.clone(),
            known_replicas: self.known_replicas.take(),
            target_voters: self.settings.target_voters,
            order_lease_ms: self.settings.order_lease_ms,
            duties: self.settings.duties.clone(),
            seed: storage_id,
        };
        self.has_opened.set(true);
        self.former_tickets.set(self.last_ticket.get());
        let control = Control::new(settings, recovered, self.clock.now_ms());
        self.control.replace(Some(control));
        self.writes.replace(Some(disk.writes));
        Ok(disk.thread)
    }

    /// Stops the replica when its disk has failed, and starts the replica again at the next check. Which unsynced
    /// writes have reached the disk is unknown, so that the replica continues with the state on the disk.
    fn check_disk(&self, disk_thread: &mut Option<JoinHandle<Result<(), node::Error>>>) {
        let is_running = |thread: &JoinHandle<_>| !thread.is_finished();
        if disk_thread.as_ref().is_some_and(is_running) {
            return;
        }
        if let Some(control) = self.control.take() {
            self.writes.take();
            self.known_replicas.replace(control.known_replicas());
            // The calls in progress are answered as unavailable.
            self.calls.take();
            logs::write(
                Importance::Failure,
                "control",
                "replica=stopped reason=\"the disk has failed\"",
            );
            return;
        }
        match self.open_replica() {
            Ok(thread) => *disk_thread = Some(thread),
            Err(error) => {
                let text = format!("replica=not_started reason={:?}", error.to_string());
                logs::write(Importance::Failure, "control", &text);
            }
        }
    }

    async fn call(&self, event: impl FnOnce(u64) -> ControlEvent) -> Answer {
        let call = self.last_call_id.get() + 1;
        self.last_call_id.set(call);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(call, sender);
        self.step(event(call));
        let answer = receiver.await;
        answer.unwrap_or(Answer::Unavailable {
            reason: "the replica is stopping",
        })
    }
}

/// Runs a replica until a signal stops it.
///
/// # Errors
/// Fails if a listener or a signal handler cannot be set up. A disk that cannot be opened is tried again.
pub async fn run(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    reload: Reload,
) -> Result<(), Error> {
    let mut signals = Signals::install()?;
    let (peers, queue) = PeerLinks::open(&settings).await?;
    let operators = listen("operators", &settings.operator_address).await?;
    telemetry::start(&settings.metrics_address).await;
    let clock = Clock::start();
    let runtime = Rc::new(ControlRuntime {
        control: RefCell::default(),
        effects: RefCell::default(),
        clock,
        dialect,
        pool: Pool::new(BodyMemory::new(settings.body_memory_bytes)),
        settings,
        peers,
        writes: RefCell::default(),
        has_opened: Cell::new(false),
        former_tickets: Cell::new(0),
        last_ticket: Cell::new(0),
        known_replicas: RefCell::default(),
        calls: RefCell::default(),
        last_call_id: Cell::new(0),
        is_reading_list: Cell::new(false),
        unreadable: RefCell::default(),
        weak_self: RefCell::default(),
    });
    runtime.weak_self.replace(Rc::downgrade(&runtime));
    let (shutdown_sender, shutdown) = watch::channel(false);
    let handler_runtime = runtime.clone();
    let serving = tokio::task::spawn_local(async move {
        let handle = move |request| handle(handler_runtime.clone(), request);
        serve(operators, ConnectionLimits::default, handle, shutdown).await;
    });
    tokio::task::spawn_local(process_events(runtime.clone(), queue));
    // A process that ended because its disk is full would be started again with settings that do not name the founders.
    let mut disk_thread = None;
    let mut disk_checks = interval(DISK_CHECK_INTERVAL);
    disk_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            action = signals.next() => match action {
                SignalAction::Stop => break,
                SignalAction::Reload => {
                    let outcome = match reload() {
                        Ok(settings) => {
                            let contacts = settings.contacts.len();
                            runtime.step(ControlEvent::Contacts(settings.contacts));
                            format!("outcome=reloaded contacts={contacts}")
                        }
                        Err(reason) => format!("outcome=not_reloaded reason={reason:?}"),
                    };
                    logs::write(Importance::StateChange, "process", &outcome);
                }
            },
            _ = disk_checks.tick() => runtime.check_disk(&mut disk_thread),
        }
    }
    let stop_ms = clock.now_ms() + runtime.settings.stop_wait_ms();
    leave(&runtime, stop_ms).await;
    let _ = shutdown_sender.send(true);
    if timeout_at(clock.instant(stop_ms), serving).await.is_err() {
        logs::write(
            Importance::Failure,
            "process",
            "outcome=cut listener=operators",
        );
    }
    Ok(())
}

/// Waits until the replica has left the member set, or until `stop_ms`.
async fn leave(runtime: &ControlRuntime, stop_ms: u64) {
    let clock = runtime.clock;
    logs::write(Importance::StateChange, "process", "outcome=stopping");
    runtime.step(ControlEvent::Leave);
    // A replica whose disk has failed takes no part in the log.
    let has_left = || {
        runtime
            .control
            .borrow()
            .as_ref()
            .is_none_or(Control::has_left)
    };
    while !has_left() && clock.now_ms() < stop_ms {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    let text = format!("outcome=stopped has_left={}", has_left());
    logs::write(Importance::StateChange, "process", &text);
}

/// Answers an operator's call while there is no replica. All other events may be lost.
fn refuse_call(event: ControlEvent, effects: &mut Vec<ControlEffect>) {
    if let ControlEvent::Publish { call, .. } | ControlEvent::Describe { call } = event {
        let answer = Answer::Unavailable {
            reason: "the disk has failed",
        };
        effects.push(ControlEffect::Answer { call, answer });
    }
}

async fn process_events(runtime: Rc<ControlRuntime>, mut queue: mpsc::Receiver<Event>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut times = interval(TIME_OF_DAY_INTERVAL);
    times.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut inbox = Inbox::default();
    loop {
        tokio::select! {
            biased;
            _ = ticks.tick() => runtime.step(ControlEvent::Tick),
            _ = times.tick() => if let Some(unix_ms) = runtime.clock.time_of_day_ms() {
                runtime.step(ControlEvent::TimeOfDay { unix_ms });
            },
            event = queue.recv() => match event {
                Some(event) => inbox.push(event),
                None => return,
            },
            () = std::future::ready(()), if !inbox.is_empty() => {
                if let Some(event) = inbox.pop() {
                    runtime.step_received(event);
                }
                // Lets the connections receive messages that may be more urgent than the waiting ones.
                tokio::task::yield_now().await;
            }
        }
    }
}

async fn handle(runtime: Rc<ControlRuntime>, request: Request<Incoming>) -> Response<AnswerBody> {
    let paths = runtime.dialect.paths();
    let path = request.uri().path().to_owned();
    if request.method() == Method::POST && path == paths.publish {
        return publish(&runtime, request).await;
    }
    if request.method() == Method::GET && path == paths.describe {
        let answer = runtime.call(|call| ControlEvent::Describe { call }).await;
        return to_response(&runtime, answer, &path);
    }
    if let Some(key) = path.strip_prefix(BLOCKED_PARTS_PATH) {
        return manage_blocked_parts(&runtime, request.method(), key);
    }
    answer::error(StatusCode::NOT_FOUND, "unknown_path", "no such call")
}

/// Lists the blocked parts of prompts, or lifts the block of one.
fn manage_blocked_parts(
    runtime: &ControlRuntime,
    method: &Method,
    key: &str,
) -> Response<AnswerBody> {
    let now_ms = runtime.clock.now_ms();
    let verdicts = match runtime.control.borrow().as_ref() {
        Some(control) => control.verdicts(now_ms),
        None => {
            return answer::error(
                StatusCode::SERVICE_UNAVAILABLE,
                "unavailable",
                "the disk has failed",
            );
        }
    };
    if *method == Method::GET && key.is_empty() {
        return answer::json(StatusCode::OK, blocked_parts::list(&verdicts));
    }
    match blocked_parts::find(&verdicts, key) {
        Some(part) if *method == Method::DELETE => {
            runtime.step(ControlEvent::LiftBlock { part });
            answer::json(StatusCode::OK, "{}".to_owned())
        }
        _ => answer::error(StatusCode::NOT_FOUND, "unknown_part", "no such block"),
    }
}

async fn publish(runtime: &ControlRuntime, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    let body = body::read_whole(
        request.into_body(),
        MAX_DOCUMENT_BYTES,
        &runtime.pool.memory,
    );
    let document = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body,
        Ok(Err(_)) => {
            return answer::error(
                StatusCode::BAD_REQUEST,
                "body_unreadable",
                "the body cannot be read",
            );
        }
        Err(_) => {
            return answer::error(
                StatusCode::REQUEST_TIMEOUT,
                "body_late",
                "the body was not there in time",
            );
        }
    };
    let config = match runtime.dialect.config(&document) {
        Ok(config) => config,
        Err(error) => {
            let reason = error.to_string();
            logs::write(
                Importance::Failure,
                "control",
                &format!("publish=refused reason={reason:?}"),
            );
            return answer::error(StatusCode::BAD_REQUEST, "invalid_configuration", &reason);
        }
    };
    let version = config.version();
    let document = match compression::compress(&document) {
        Ok(compressed) => compressed,
        Err(error) => return compression_failure(&error),
    };
    let publish_event = |call| ControlEvent::Publish {
        call,
        version,
        document,
    };
    let answer = runtime.call(publish_event).await;
    to_response(runtime, answer, &path)
}

fn to_response(runtime: &ControlRuntime, answer: Answer, path: &str) -> Response<AnswerBody> {
    match answer {
        Answer::Acknowledged { .. } => answer::json(StatusCode::OK, "{}".to_owned()),
        Answer::Document {
            version: 0,
            document: _,
        } => document_response(Bytes::from_static(runtime.dialect.empty_document())),
        Answer::Document { document, .. } => match compression::decompress(&document) {
            Ok(document) => document_response(document),
            Err(error) => compression_failure(&error),
        },
        Answer::Redirect { leader } => redirect(runtime, &leader, path),
        Answer::Unavailable { reason } => {
            answer::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", reason)
        }
    }
}

fn compression_failure(error: &std::io::Error) -> Response<AnswerBody> {
    let reason = error.to_string();
    let text = format!("document=unpackable reason={reason:?}");
    logs::write(Importance::Failure, "control", &text);
    answer::error(
        StatusCode::INTERNAL_SERVER_ERROR,
        "document_unpackable",
        &reason,
    )
}

fn document_response(document: Bytes) -> Response<AnswerBody> {
    let mut response = answer::json(StatusCode::OK, String::new());
    *response.body_mut() = AnswerBody::from(document);
    response
}

/// Returns a redirect to the leader's listener for operators. Ports are the same on all instances, and an instance's id
/// is its IP address.
fn redirect(runtime: &ControlRuntime, leader: &str, path: &str) -> Response<AnswerBody> {
    let port = runtime
        .settings
        .operator_address
        .rsplit_once(':')
        .map_or("", |(_, port)| port);
    let mut response = answer::json(StatusCode::TEMPORARY_REDIRECT, "{}".to_owned());
    if let Ok(location) = HeaderValue::from_str(&format!("http://{leader}:{port}{path}")) {
        response.headers_mut().insert(LOCATION, location);
    }
    response
}
