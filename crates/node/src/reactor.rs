//! The reducer's thread: takes events from one queue, handles them with the reducer and executes the effects, in order.

use std::net;
use std::thread::JoinHandle;
use std::time::Duration;

use conf::Name;
use reducer::{Effect, Event};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

use crate::clock::{Clock, unix_ms};
use crate::counters::Counters;
use crate::effects::EffectExecutor;
use crate::error::Error;
use crate::peer::incoming;
use crate::peer::outgoing::PeerConnections;
use crate::peer::proof::Secret;
use crate::queue::EventQueue;

/// Step function: handles one event at a time of the instance's clock, in milliseconds, and appends effects.
pub type Step = Box<dyn FnMut(u64, Event, &mut Vec<Effect>)>;

/// Creates the step function on the reducer's thread. The argument is the current time, in milliseconds.
pub type MakeStep = Box<dyn FnOnce(u64) -> Step + Send>;

/// The parts from which the reducer's thread is started.
pub struct Reactor {
    /// Id of the instance.
    pub id: Name,
    /// Secret shared by all instances.
    pub secret: Secret,
    /// Socket of the peer listener.
    pub peer_socket: net::TcpListener,
    /// Clock of the instance.
    pub clock: Clock,
    /// Interval of `Event::Tick`.
    pub tick_interval: Duration,
    /// Sending side of the event queue, for messages of peers.
    pub events: EventQueue,
    /// Receiving side of the event queue.
    pub queue: mpsc::Receiver<Event>,
    /// Executes the effects.
    pub executor: EffectExecutor,
    /// Signal on which the thread ends.
    pub stop: watch::Receiver<bool>,
}

/// Starts the reducer's thread.
///
/// # Errors
/// Fails if the thread cannot be started.
pub fn start(
    reactor: Reactor,
    make_step: MakeStep,
) -> Result<JoinHandle<Result<(), Error>>, Error> {
    std::thread::Builder::new()
        .name("reducer".to_owned())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .map_err(os_error("cannot start the reducer's runtime"))?;
            LocalSet::new().block_on(&runtime, run(reactor, make_step))
        })
        .map_err(os_error("cannot start the reducer's thread"))
}

fn os_error(what: &'static str) -> impl FnOnce(std::io::Error) -> Error {
    move |source| Error::Os { what, source }
}

async fn run(mut reactor: Reactor, make_step: MakeStep) -> Result<(), Error> {
    let socket = TcpListener::from_std(reactor.peer_socket)
        .map_err(os_error("cannot use the peer socket"))?;
    let listener = tokio::task::spawn_local(incoming::serve(
        socket,
        reactor.id.clone(),
        reactor.secret.clone(),
        reactor.events,
    ));
    let mut event_loop = EventLoop {
        step: make_step(reactor.clock.now_ms()),
        clock: reactor.clock,
        executor: reactor.executor,
        peers: PeerConnections::new(reactor.id, reactor.secret),
        counters: Counters::default(),
        effects: Vec::new(),
    };
    let mut ticks = interval(reactor.tick_interval);
    // After a pause of the process, the reducer gets one tick with the current time instead of every missed tick.
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let event = tokio::select! {
            _ = reactor.stop.wait_for(|stop| *stop) => break,
            event = reactor.queue.recv() => event,
            _ = ticks.tick() => Some(Event::Tick { unix_ms: unix_ms() }),
        };
        match event {
            Some(event) => event_loop.handle(event),
            None => break,
        }
    }
    listener.abort();
    Ok(())
}

struct EventLoop {
    step: Step,
    clock: Clock,
    executor: EffectExecutor,
    peers: PeerConnections,
    counters: Counters,
    effects: Vec<Effect>,
}

impl EventLoop {
    fn handle(&mut self, event: Event) {
        self.handle_one(event);
        while let Some(event) = self.executor.follow_ups.pop_front() {
            self.handle_one(event);
        }
    }

    fn handle_one(&mut self, event: Event) {
        self.counters.count_event(&event);
        (self.step)(self.clock.now_ms(), event, &mut self.effects);
        for effect in self.effects.drain(..) {
            self.counters.count_effect(&effect);
            self.executor.execute(effect, &mut self.peers);
        }
    }
}
