//! An instance that runs a replica and answers operators.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use conf::Map;
use disk::OpenedStore;
use gateway::control::{
    Answer, Control, ControlEffect, ControlEvent, ControlSettings, OrderOutcome,
};
use gateway::stages::RoleOrder;
use http::header::LOCATION;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use node::persist::{self, Ticketed};
use reducer::Event;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::answer::{self, AnswerBody};
use crate::clock::Clock;
use crate::dialect::Dialect;
use crate::error::Error;
use crate::http::{Bounds, listen, serve};
use crate::listing;
use crate::logs::{self, Importance};
use crate::orders;
use crate::pack::{self, DOCUMENT_BYTES};
use crate::peers::PeerLinks;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::shutdown::{Asked, Signals};
use crate::{Reload, telemetry};

/// Interval of the reducer's time events. Heartbeats and elections need several of them.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of looking after the disk thread.
const DISK_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Time in which an operator's body must have arrived.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// The reducer with what its effects act on. Used on one thread.
struct Shell {
    /// The replica; none while its disk fails.
    control: RefCell<Option<Control>>,
    effects: RefCell<Vec<ControlEffect>>,
    clock: Clock,
    dialect: Rc<dyn Dialect>,
    pool: Pool,
    settings: Settings,
    peers: PeerLinks,
    writes: RefCell<Option<Sender<Ticketed>>>,
    calls: RefCell<Map<u64, oneshot::Sender<Answer>>>,
    next_call: Cell<u64>,
    is_reading: Cell<bool>,
    this: RefCell<std::rc::Weak<Shell>>,
}

impl Shell {
    fn step(&self, event: ControlEvent) {
        let now_ms = self.clock.now_ms();
        let mut effects = self.effects.take();
        match self.control.borrow_mut().as_mut() {
            Some(control) => control.step(now_ms, event, &mut effects),
            None => refuse(event, &mut effects),
        }
        for effect in effects.drain(..) {
            self.perform(effect);
        }
        self.effects.replace(effects);
    }

    fn perform(&self, effect: ControlEffect) {
        match effect {
            ControlEffect::Persist { ticket, write } => {
                if let Some(writes) = self.writes.borrow().as_ref() {
                    // The main task notices a disk thread that has ended.
                    let _ = writes.send((ticket, write));
                }
            }
            ControlEffect::Send {
                to,
                address,
                message,
            } => self.peers.send(to, address, &message),
            ControlEffect::Answer { call, answer } => {
                if let Some(sender) = self.calls.borrow_mut().remove(&call) {
                    // An operator that has left needs no answer.
                    let _ = sender.send(answer);
                }
            }
            ControlEffect::ReadList => self.read_list(),
            ControlEffect::Order { term, order } => self.order(term, order),
            ControlEffect::Log { text } => logs::line(Importance::StateChange, "control", &text),
        }
    }

    fn read_list(&self) {
        let Some(shell) = self.this.borrow().upgrade() else {
            return;
        };
        // A list that is slow to come is not asked for twice.
        if self.is_reading.replace(true) {
            return;
        }
        tokio::task::spawn_local(async move {
            let address = &shell.settings.list_address;
            let read = listing::read(&shell.pool, address, &shell.dialect).await;
            shell.is_reading.set(false);
            shell.step(match read {
                Ok(upstreams) => ControlEvent::Listed { upstreams },
                Err(reason) => ControlEvent::ListingFailed { reason },
            });
        });
    }

    fn order(&self, term: u64, order: RoleOrder) {
        let Some(shell) = self.this.borrow().upgrade() else {
            return;
        };
        tokio::task::spawn_local(async move {
            let holder = &shell.settings.info.id;
            let given = orders::give(&shell.pool, &shell.dialect, holder, term, &order).await;
            let outcome = given.unwrap_or_else(|reason| {
                let text = format!(
                    "upstream={} order=unanswered reason={reason:?}",
                    order.upstream
                );
                logs::line(Importance::StateChange, "control", &text);
                OrderOutcome::Unknown
            });
            shell.step(ControlEvent::OrderEnded {
                upstream: order.upstream,
                term,
                outcome,
            });
        });
    }

    /// Starts the replica on what its disk holds.
    fn open_replica(&self) -> Result<JoinHandle<Result<(), node::Error>>, Error> {
        let OpenedStore {
            store,
            storage_id,
            recovered,
        } = persist::open(&self.settings.data_folder)?;
        let text = format!(
            "store=opened storage_id={storage_id:x} term={} entries={} founders={}",
            recovered.term,
            recovered.entries.len(),
            self.settings.founders.len()
        );
        logs::line(Importance::StateChange, "control", &text);
        let disk = persist::start(store, self.peers.events.clone())?;
        let settings = ControlSettings {
            info: self.settings.info.clone(),
            storage_id,
            founders: self.settings.founders.clone(),
            contacts: self.settings.contacts.clone(),
            target_voters: self.settings.target_voters,
            order_lease_ms: self.settings.order_lease_ms,
            seed: storage_id,
        };
        let control = Control::new(settings, recovered, self.clock.now_ms());
        self.control.replace(Some(control));
        self.writes.replace(Some(disk.writes));
        Ok(disk.thread)
    }

    /// Stops the replica when its disk has failed, and starts it again from the disk at the next check. What was not
    /// synced is unknown, so the replica goes on from what the disk holds.
    fn check_disk(&self, disk: &mut JoinHandle<Result<(), node::Error>>) {
        if !disk.is_finished() {
            return;
        }
        if self.control.take().is_some() {
            self.writes.take();
            logs::line(
                Importance::Failure,
                "control",
                "replica=stopped reason=\"the disk has failed\"",
            );
            // Reports of the old thread that still wait in the queue find no replica until the next check.
            return;
        }
        match self.open_replica() {
            Ok(opened) => *disk = opened,
            Err(error) => {
                let text = format!("replica=not_started reason={:?}", error.to_string());
                logs::line(Importance::Failure, "control", &text);
            }
        }
    }

    async fn call(&self, event: impl FnOnce(u64) -> ControlEvent) -> Answer {
        let call = self.next_call.get() + 1;
        self.next_call.set(call);
        let (sender, receiver) = oneshot::channel();
        self.calls.borrow_mut().insert(call, sender);
        self.step(event(call));
        let answer = receiver.await;
        answer.unwrap_or(Answer::Unavailable {
            reason: "the replica is stopping",
        })
    }
}

/// Runs a replica until it is told to stop.
///
/// # Errors
/// Fails if the disk, a listener or a signal handler cannot be set up, or if the disk fails later.
pub async fn run(
    settings: Settings,
    dialect: Rc<dyn Dialect>,
    reload: Reload,
) -> Result<(), Error> {
    let mut signals = Signals::listen()?;
    let (peers, queue) = PeerLinks::open(&settings).await?;
    let operators = listen("operators", &settings.operator_address).await?;
    telemetry::start(&settings.metrics_address).await;
    let clock = Clock::start();
    let shell = Rc::new(Shell {
        control: RefCell::default(),
        effects: RefCell::default(),
        clock,
        dialect,
        pool: Pool::default(),
        settings,
        peers,
        writes: RefCell::default(),
        calls: RefCell::default(),
        next_call: Cell::new(0),
        is_reading: Cell::new(false),
        this: RefCell::default(),
    });
    shell.this.replace(Rc::downgrade(&shell));
    let (stop, stopped) = watch::channel(false);
    let serving = shell.clone();
    tokio::task::spawn_local(async move {
        let handle = move |request| handle(serving.clone(), request);
        serve(operators, Bounds::default, handle, stopped).await;
    });
    tokio::task::spawn_local(take_events(shell.clone(), queue));
    let mut disk = shell.open_replica()?;
    let mut checks = interval(DISK_CHECK_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            asked = signals.next() => match asked {
                Asked::Stop => break,
                Asked::Reload => {
                    let outcome = match reload() {
                        Ok(_) => "outcome=reloaded".to_owned(),
                        Err(reason) => format!("outcome=not_reloaded reason={reason:?}"),
                    };
                    logs::line(Importance::StateChange, "process", &outcome);
                }
            },
            _ = checks.tick() => shell.check_disk(&mut disk),
        }
    }
    let _ = stop.send(true);
    Ok(())
}

/// Answers an operator's call while there is no replica. Everything else may be lost.
fn refuse(event: ControlEvent, effects: &mut Vec<ControlEffect>) {
    if let ControlEvent::Publish { call, .. } | ControlEvent::Describe { call } = event {
        let answer = Answer::Unavailable {
            reason: "the disk has failed",
        };
        effects.push(ControlEffect::Answer { call, answer });
    }
}

async fn take_events(shell: Rc<Shell>, mut queue: mpsc::Receiver<Event>) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            event = queue.recv() => match event {
                Some(Event::Peer { from, message }) => shell.step(ControlEvent::Peer { from, message }),
                Some(Event::Persisted { ticket }) => shell.step(ControlEvent::Persisted { ticket }),
                Some(_) => logs::line(Importance::StateChange, "control", "event=unexpected outcome=dropped"),
                None => return,
            },
            _ = ticks.tick() => shell.step(ControlEvent::Tick),
        }
    }
}

async fn handle(shell: Rc<Shell>, request: Request<Incoming>) -> Response<AnswerBody> {
    let paths = shell.dialect.paths();
    let path = request.uri().path().to_owned();
    if request.method() == Method::POST && path == paths.publish {
        return publish(&shell, request).await;
    }
    if request.method() == Method::GET && path == paths.describe {
        let answer = shell.call(|call| ControlEvent::Describe { call }).await;
        return respond(&shell, answer, &path);
    }
    answer::error(StatusCode::NOT_FOUND, "unknown_path", "no such call")
}

async fn publish(shell: &Shell, request: Request<Incoming>) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    let body = Limited::new(request.into_body(), DOCUMENT_BYTES).collect();
    let document = match tokio::time::timeout(BODY_TIMEOUT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
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
    let config = match shell.dialect.config(&document) {
        Ok(config) => config,
        Err(error) => {
            let reason = error.to_string();
            logs::line(
                Importance::Failure,
                "control",
                &format!("publish=refused reason={reason:?}"),
            );
            return answer::error(StatusCode::BAD_REQUEST, "invalid_configuration", &reason);
        }
    };
    let version = config.version();
    let document = match pack::pack(&document) {
        Ok(packed) => packed,
        Err(error) => return unpackable(&error),
    };
    let publish = |call| ControlEvent::Publish {
        call,
        version,
        document,
    };
    let answer = shell.call(publish).await;
    respond(shell, answer, &path)
}

fn respond(shell: &Shell, answer: Answer, path: &str) -> Response<AnswerBody> {
    match answer {
        Answer::Acknowledged { .. } => answer::json(StatusCode::OK, "{}".to_owned()),
        Answer::Document {
            version: 0,
            document: _,
        } => whole(Bytes::from_static(shell.dialect.empty_document())),
        Answer::Document { document, .. } => match pack::unpack(&document) {
            Ok(document) => whole(document),
            Err(error) => unpackable(&error),
        },
        Answer::Redirect { leader } => redirect(shell, &leader, path),
        Answer::Unavailable { reason } => {
            answer::error(StatusCode::SERVICE_UNAVAILABLE, "unavailable", reason)
        }
    }
}

fn unpackable(error: &std::io::Error) -> Response<AnswerBody> {
    let reason = error.to_string();
    let text = format!("document=unpackable reason={reason:?}");
    logs::line(Importance::Failure, "control", &text);
    answer::error(
        StatusCode::INTERNAL_SERVER_ERROR,
        "document_unpackable",
        &reason,
    )
}

fn whole(document: Bytes) -> Response<AnswerBody> {
    let mut response = answer::json(StatusCode::OK, String::new());
    *response.body_mut() = AnswerBody::from(document);
    response
}

/// Names the leader's listener: ports are the same on all instances, and an instance's id is its IP address.
fn redirect(shell: &Shell, leader: &str, path: &str) -> Response<AnswerBody> {
    let port = shell
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
