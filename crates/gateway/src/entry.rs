//! The reducer of an entry: requests in, directives out.

use std::hash::BuildHasher;
use std::sync::Arc;

use conf::{Map, Name};
use fleet::{InstanceInfo, PartUse, PeerMessage, UpstreamRecord, WatchReply};

use crate::budget::{Budget, BudgetSettings};
use crate::config::Config;
use crate::exchange::{Attempt, Directive, Outcome, Prompt, Refusal, RefusalReason, Request, Task};
use crate::place::{self, Choice, Situation};
use crate::subscription::Subscription;
use crate::upstream::{Charge, Upstream};

/// Work before an engine up to which it gets more of the most urgent rank, in milliseconds. What waits beyond that stays
/// with the entry, where newer facts decide its place.
const URGENT_SHALLOW_MS: f64 = 400.0;
/// The same for all other ranks. An engine computes prompts in the order of their arrival, so that what it holds delays
/// more urgent prompts that come later.
const SHALLOW_MS: f64 = 20.0;
/// Time that a caller needs at least to make use of an answer, in milliseconds.
const MARGIN_MS: u64 = 30;
/// Time from the end of the prompt to the first event, in milliseconds.
const FIRST_EVENT_MS: f64 = 40.0;
/// Added to the priority of requests that will miss their objective, so that they delay no others.
const LATE_PRIORITY: u8 = 5;
/// Least urgent priority of an engine.
const LOWEST_PRIORITY: u8 = 9;
/// Objectives after which a repeatable request without an answer is tried elsewhere.
const HEAD_OBJECTIVES: u64 = 2;
/// Expected times of a prefill call after which it is tried elsewhere.
const PREFILL_PATIENCE: f64 = 3.0;
/// Time allowed for a prefill call besides the expected one, in milliseconds: other entries' work may go first.
const PREFILL_SLACK_MS: f64 = 2_000.0;
/// Share of the time left within which a caller is told to come back.
const RETRY_AFTER_SHARE: u64 = 3;
/// Shortest wait that a caller is told, in milliseconds.
const RETRY_AFTER_MIN_MS: u64 = 100;
/// Calls to upstreams for one request, whatever they answer.
const MAX_SENDS: u32 = 5;
/// Interval between two looks at waiting requests without other events, in milliseconds.
const PUMP_INTERVAL_MS: u64 = 20;

/// What an entry is told at its start.
#[derive(Clone, Debug, Default)]
pub struct EntrySettings {
    /// Identity of the instance.
    pub info: InstanceInfo,
    /// Replicas of the settings.
    pub contacts: Vec<InstanceInfo>,
    /// Bounds on retries of all entries together.
    pub budget: BudgetSettings,
}

/// An input of the entry's reducer.
#[derive(Clone, Debug)]
pub enum EntryEvent {
    /// Time has passed.
    Tick,
    /// A replica's answer, with its document decoded.
    Watched {
        from: Name,
        reply: Box<WatchReply>,
        config: Option<Arc<Config>>,
    },
    /// The settings name other replicas.
    Contacts(Vec<InstanceInfo>),
    /// A request has been read in full.
    Arrived { exchange: u64, request: Request },
    /// A prompt has been computed and is kept under a handle.
    Prefilled { exchange: u64, handle: Name },
    /// An upstream has begun to answer.
    Started { exchange: u64 },
    /// A call to an upstream has ended without an answer to pass on.
    Ended { exchange: u64, outcome: Outcome },
    /// The answer has been passed on in full, or the caller has left.
    Closed { exchange: u64, is_whole: bool },
}

/// An output of the entry's reducer, to be carried out in order.
#[derive(Clone, Debug)]
pub enum EntryEffect {
    /// Tell an exchange what to do next.
    Direct { exchange: u64, directive: Directive },
    /// Send a message, which may be lost.
    Send {
        to: Name,
        address: Name,
        message: Box<PeerMessage>,
    },
    /// A handle will not be used: free the memory.
    Free { address: Name, handle: Name },
    /// Write a log line.
    Log {
        importance: Importance,
        text: String,
    },
}

/// Which log lines go first when the output cannot take all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Importance {
    /// A step of a request that goes well.
    Step,
    /// A change of what the process believes.
    Belief,
    /// The end of a request that failed or was refused.
    Failure,
}

#[derive(Clone, Debug)]
struct Exchange {
    request: Request,
    arrived_ms: u64,
    charge: Option<Charge>,
    tried: Vec<Name>,
    /// Draw that spreads requests over equally loaded upstreams.
    draw: u64,
    /// Upstreams that may have run it.
    runs: u32,
    /// Whether an upstream has answered with a failure, which may be passed on.
    has_failed_answer: bool,
    /// Calls made, also those that reached no upstream.
    sends: u32,
    /// Calls to compute the prompt that may have reached an upstream.
    prefills: u32,
    /// Calls to run the request that may have reached an upstream.
    run_calls: u32,
    /// Whether the budget has no place for another prefill call.
    runs_where_computed: bool,
    /// When the first event or the whole answer came.
    begun_ms: Option<u64>,
    task: Option<Task>,
}

/// An entry's state.
#[derive(Debug)]
pub struct Entry {
    settings: EntrySettings,
    subscription: Subscription,
    config: Option<Arc<Config>>,
    listing: u64,
    is_listed: bool,
    entries: u32,
    upstreams: Map<Name, Upstream>,
    services: Map<Name, Vec<Name>>,
    exchanges: Map<u64, Exchange>,
    /// Requests that wait for an engine, by service.
    waiting: Map<Name, Vec<u64>>,
    budgets: Map<Name, Budget>,
    /// Prompt parts that engines have got through this entry since the last message to the replica.
    parts: Vec<PartUse>,
    next_pump_ms: u64,
}

impl Entry {
    /// Creates an entry that knows nothing.
    pub fn new(settings: EntrySettings) -> Self {
        let contacts = settings.contacts.clone();
        Self {
            subscription: Subscription::new(settings.info.clone(), contacts),
            settings,
            config: None,
            listing: 0,
            is_listed: false,
            entries: 0,
            upstreams: Map::default(),
            services: Map::default(),
            exchanges: Map::default(),
            waiting: Map::default(),
            budgets: Map::default(),
            parts: Vec::new(),
            next_pump_ms: 0,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns whether the entry knows enough to take callers.
    pub fn is_ready(&self) -> bool {
        self.config.is_some() && self.is_listed
    }

    /// Returns the number of open exchanges.
    pub fn open_exchanges(&self) -> usize {
        self.exchanges.len()
    }

    /// Returns the prompt tokens that an upstream is to compute for an open exchange.
    pub fn prompt_tokens(&self, exchange: u64) -> Option<u32> {
        let charge = self.exchanges.get(&exchange)?.charge.as_ref()?;
        Some(charge.tokens)
    }

    /// Handles one event and appends the effects.
    pub fn step(&mut self, now_ms: u64, event: EntryEvent, effects: &mut Vec<EntryEffect>) {
        match event {
            EntryEvent::Tick => self.on_tick(now_ms, effects),
            EntryEvent::Watched {
                from,
                reply,
                config,
            } => self.on_watched(now_ms, &from, *reply, config, effects),
            EntryEvent::Contacts(contacts) => self.subscription.add_contacts(contacts),
            EntryEvent::Arrived { exchange, request } => {
                self.on_arrived(now_ms, exchange, request, effects);
            }
            EntryEvent::Prefilled { exchange, handle } => {
                self.on_prefilled(now_ms, exchange, handle, effects);
            }
            EntryEvent::Started { exchange } => self.on_started(now_ms, exchange, effects),
            EntryEvent::Ended { exchange, outcome } => {
                self.on_ended(now_ms, exchange, outcome, effects);
            }
            EntryEvent::Closed { exchange, is_whole } => {
                self.on_closed(now_ms, exchange, is_whole, effects);
            }
        }
    }

    fn on_tick(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        if self.subscription.is_due(now_ms) {
            let version = self.config.as_ref().map_or(0, |config| config.version());
            let backlog = self
                .upstreams
                .values()
                .filter_map(Upstream::backlog)
                .collect();
            let due = self.subscription.watch(
                now_ms,
                version,
                self.listing,
                backlog,
                std::mem::take(&mut self.parts),
            );
            if let Some((to, watch)) = due {
                effects.push(EntryEffect::Send {
                    to: to.id,
                    address: to.peer_address,
                    message: Box::new(PeerMessage::Watch(watch)),
                });
            }
        }
        if now_ms >= self.next_pump_ms {
            self.pump_all(now_ms, effects);
        }
    }

    fn on_watched(
        &mut self,
        now_ms: u64,
        from: &Name,
        reply: WatchReply,
        config: Option<Arc<Config>>,
        effects: &mut Vec<EntryEffect>,
    ) {
        let is_current = self.subscription.on_reply(now_ms, from, &reply);
        if let Some(config) = config {
            self.configure(config, from, effects);
        }
        if !is_current {
            return;
        }
        self.entries = reply.entries;
        if let Some(upstreams) = reply.upstreams {
            self.list(reply.listing, upstreams, from, effects);
        }
        let backlog: Map<&Name, _> = reply
            .backlog
            .iter()
            .map(|one| (&one.upstream, one))
            .collect();
        for (id, upstream) in &mut self.upstreams {
            upstream.set_others(backlog.get(id).copied());
        }
        for part in reply.parts {
            if let Some(upstream) = self.upstreams.get_mut(&part.upstream) {
                upstream.add_shared(part.key, now_ms);
            }
        }
        self.subscription.prefer_near(now_ms);
        self.pump_all(now_ms, effects);
    }

    /// Takes a configuration over unless a newer one is in force: an entry never goes back.
    fn configure(&mut self, config: Arc<Config>, from: &Name, effects: &mut Vec<EntryEffect>) {
        let held = self.config.as_ref().map_or(0, |config| config.version());
        if config.version() <= held {
            return;
        }
        let version = config.version();
        self.config = Some(config);
        let text = format!("config=changed version={version} before={held} source={from}");
        log(effects, Importance::Belief, text);
    }

    fn list(
        &mut self,
        listing: u64,
        records: Vec<UpstreamRecord>,
        from: &Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        self.listing = listing;
        self.is_listed = true;
        let mut held = std::mem::take(&mut self.upstreams);
        self.services.clear();
        for record in records {
            let id = record.id.clone();
            let same = held
                .remove(&id)
                .filter(|known| known.record.born_ms == record.born_ms);
            let mut upstream = same.unwrap_or_else(|| Upstream::new(record.clone()));
            // An upstream that leaves does not come back under the same id and start.
            let draining = upstream.record.draining || record.draining;
            if draining != upstream.record.draining || record.role != upstream.record.role {
                let role = record.role;
                let text = format!("upstream={id} draining={draining} role={role:?} source={from}");
                log(effects, Importance::Belief, text);
            }
            upstream.record = UpstreamRecord { draining, ..record };
            let service = upstream.record.service.clone();
            self.services.entry(service).or_default().push(id.clone());
            self.upstreams.insert(id, upstream);
        }
        let count = self.upstreams.len();
        let text = format!("listing=changed listing={listing:x} upstreams={count} source={from}");
        log(effects, Importance::Belief, text);
    }

    fn on_arrived(
        &mut self,
        now_ms: u64,
        exchange: u64,
        request: Request,
        effects: &mut Vec<EntryEffect>,
    ) {
        let budget = self.budgets.entry(request.service.clone()).or_default();
        budget.count_request(now_ms);
        let draw = foldhash::fast::FixedState::default().hash_one(&request.id);
        let open = Exchange {
            draw,
            request,
            arrived_ms: now_ms,
            charge: None,
            tried: Vec::new(),
            runs: 0,
            has_failed_answer: false,
            sends: 0,
            prefills: 0,
            run_calls: 0,
            runs_where_computed: false,
            begun_ms: None,
            task: None,
        };
        self.exchanges.insert(exchange, open);
        self.place(now_ms, exchange, effects);
    }

    /// Sends a request on, lets it wait, or refuses it.
    fn place(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let Some(open) = self.exchanges.get(&exchange) else {
            return;
        };
        match open.request.prompt {
            Some(_) => self.place_prompt(now_ms, exchange, effects),
            None => self.place_plain(now_ms, exchange, effects),
        }
    }

    fn place_plain(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let open = &self.exchanges[&exchange];
        let situation = self.situation(now_ms, open);
        let upstreams = self.of_service(&open.request.service);
        let Some(upstream) = place::plain(&situation, upstreams) else {
            return self.refuse(now_ms, exchange, RefusalReason::NoUpstream, 0, effects);
        };
        let upstream = upstream.record.id.clone();
        let plan = Plan {
            task: Task::Run,
            tokens: 0,
            expected_ms: None,
            fetch_from: None,
            shared_age_ms: None,
        };
        self.send(now_ms, exchange, &upstream, plan, effects);
    }

    fn place_prompt(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let Some(choice) = self.choose(now_ms, exchange) else {
            return self.refuse(now_ms, exchange, RefusalReason::NoUpstream, 0, effects);
        };
        let request = &self.exchanges[&exchange].request;
        let (service, rank) = (request.service.clone(), request.rank);
        if self.has_waiting_before(&service, exchange) || choice.wait_ms > shallow_ms(rank) {
            return self.wait(now_ms, exchange, &choice, effects);
        }
        self.send_choice(now_ms, exchange, choice, effects);
    }

    fn choose(&self, now_ms: u64, exchange: u64) -> Option<Choice> {
        let open = &self.exchanges[&exchange];
        let prompt = open.request.prompt.as_ref()?;
        let situation = self.situation(now_ms, open);
        let upstreams = self
            .of_service(&open.request.service)
            .filter(|upstream| !open.runs_where_computed || !upstream.is_prefill());
        place::engine(&situation, prompt, open.request.rank, upstreams)
    }

    fn send_choice(
        &mut self,
        now_ms: u64,
        exchange: u64,
        choice: Choice,
        effects: &mut Vec<EntryEffect>,
    ) {
        let task = match choice.is_prefill {
            true => Task::Prefill,
            false => Task::Run,
        };
        let plan = Plan {
            task,
            tokens: choice.tokens,
            expected_ms: Some(choice.first_token_ms()),
            fetch_from: choice.fetch_from,
            shared_age_ms: choice.shared_age_ms,
        };
        self.send(now_ms, exchange, &choice.upstream, plan, effects);
    }

    /// Returns whether a request that goes first waits for the same service.
    fn has_waiting_before(&self, service: &Name, exchange: u64) -> bool {
        let Some(waiting) = self.waiting.get(service) else {
            return false;
        };
        let request = &self.exchanges[&exchange].request;
        waiting.iter().any(|other| {
            let other = &self.exchanges[other].request;
            (other.rank, other.deadline_ms) < (request.rank, request.deadline_ms)
        })
    }

    /// Queues a request, or refuses it if it cannot be answered in time.
    fn wait(
        &mut self,
        now_ms: u64,
        exchange: u64,
        choice: &Choice,
        effects: &mut Vec<EntryEffect>,
    ) {
        let request = &self.exchanges[&exchange].request;
        let service = request.service.clone();
        let queue_ms = self.queue_ms(&service, request.rank);
        let expected_ms = (choice.first_token_ms() + queue_ms + FIRST_EVENT_MS) as u64;
        if now_ms + expected_ms + MARGIN_MS > request.begin_deadline_ms {
            let reason = RefusalReason::TooLate;
            return self.refuse(now_ms, exchange, reason, queue_ms as u64, effects);
        }
        let id = request.id.clone();
        let text = format!(
            "request={id} decision=wait wait_ms={:.0} queue_ms={queue_ms:.0} best={}",
            choice.wait_ms, choice.upstream
        );
        log(effects, Importance::Step, text);
        self.waiting.entry(service).or_default().push(exchange);
    }

    /// Returns the time for the requests of this and more urgent ranks that wait in the entries of this zone, if all
    /// entries hold as many as this one.
    fn queue_ms(&self, service: &Name, rank: u8) -> f64 {
        let Some(waiting) = self.waiting.get(service) else {
            return 0.0;
        };
        let tokens: u32 = waiting
            .iter()
            .map(|exchange| &self.exchanges[exchange].request)
            .filter(|request| request.rank <= rank)
            .filter_map(|request| request.prompt.as_ref())
            .map(|prompt| prompt.tokens - prompt.shared().map_or(0, |(_, tokens)| tokens))
            .sum();
        let zone = &self.settings.info.availability_zone;
        let mut zones: Vec<&Name> = Vec::new();
        let mut speed = 0.0;
        for upstream in self.of_service(service) {
            let upstream_zone = &upstream.record.availability_zone;
            if !zones.contains(&upstream_zone) {
                zones.push(upstream_zone);
            }
            if upstream_zone == zone {
                speed += place::speed_tokens_per_ms(upstream);
            }
        }
        let entries = f64::from(self.entries.max(1)) / zones.len().max(1) as f64;
        f64::from(tokens) * entries.max(1.0) / speed.max(place::PREFILL_TOKENS_PER_MS)
    }

    fn pump_all(&mut self, now_ms: u64, effects: &mut Vec<EntryEffect>) {
        self.next_pump_ms = now_ms + PUMP_INTERVAL_MS;
        let services: Vec<Name> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| !waiting.is_empty())
            .map(|(service, _)| service.clone())
            .collect();
        for service in services {
            self.pump(now_ms, &service, effects);
        }
    }

    /// Sends waiting requests on, the most urgent first, and refuses those that have become too late.
    fn pump(&mut self, now_ms: u64, service: &Name, effects: &mut Vec<EntryEffect>) {
        let Some(mut waiting) = self.waiting.remove(service) else {
            return;
        };
        waiting.retain(|exchange| self.exchanges.contains_key(exchange));
        waiting.sort_by_key(|exchange| {
            let request = &self.exchanges[exchange].request;
            let is_late = now_ms > request.objective_ms;
            (is_late, request.rank, request.deadline_ms)
        });
        let mut left = Vec::new();
        for exchange in waiting {
            let request = &self.exchanges[&exchange].request;
            let (deadline_ms, rank) = (request.begin_deadline_ms, request.rank);
            match self.choose(now_ms, exchange) {
                None => self.refuse(now_ms, exchange, RefusalReason::NoUpstream, 0, effects),
                Some(choice) => {
                    let expected_ms = (choice.first_token_ms() + FIRST_EVENT_MS) as u64;
                    if now_ms + expected_ms + MARGIN_MS > deadline_ms {
                        let wait_ms = choice.wait_ms as u64;
                        let reason = RefusalReason::TooLate;
                        self.refuse(now_ms, exchange, reason, wait_ms, effects);
                    } else if choice.wait_ms > shallow_ms(rank) {
                        left.push(exchange);
                    } else {
                        self.send_choice(now_ms, exchange, choice, effects);
                    }
                }
            }
        }
        if !left.is_empty() {
            self.waiting.insert(service.clone(), left);
        }
    }

    fn send(
        &mut self,
        now_ms: u64,
        exchange: u64,
        upstream: &Name,
        plan: Plan,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Plan {
            task,
            tokens,
            expected_ms,
            fetch_from,
            shared_age_ms,
        } = plan;
        let Some(open) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let Some(target) = self.upstreams.get_mut(upstream) else {
            return;
        };
        let request = &open.request;
        target.add(tokens, request.rank);
        open.charge = Some(Charge {
            upstream: upstream.clone(),
            tokens,
            rank: request.rank,
        });
        open.sends += 1;
        match task {
            Task::Prefill => open.prefills += 1,
            Task::Run | Task::Generate { .. } => open.run_calls += 1,
        }
        // What an engine receives to generate from soon leaves its cache again: it gets the prompts of many others.
        let computes = !matches!(task, Task::Generate { .. });
        let shared = request.prompt.as_ref().and_then(Prompt::shared);
        if let Some((key, tokens)) = shared.filter(|_| computes) {
            target.add_shared(key, now_ms);
            if tokens >= place::FETCH_MIN_TOKENS {
                let upstream = upstream.clone();
                self.parts.push(PartUse { key, upstream });
            }
        }
        let first_ms = now_ms + expected_ms.map_or(0, |ms| (ms + FIRST_EVENT_MS) as u64);
        let priority = expected_ms.map(|_| match first_ms > request.objective_ms {
            true => (request.rank + LATE_PRIORITY).min(LOWEST_PRIORITY),
            false => request.rank.min(LATE_PRIORITY - 1),
        });
        let attempt = Attempt {
            upstream: upstream.clone(),
            address: target.record.address.clone(),
            fetch_from: fetch_from.clone(),
            deadline_ms: request.deadline_ms,
            head_deadline_ms: head_deadline_ms(now_ms, open, &task, expected_ms),
            priority,
            task: task.clone(),
        };
        let text = format!(
            "request={} decision=send upstream={upstream} task={} rank={} tokens={tokens} shared={} shared_age_ms={} running={} \
             expected_ms={:.0} fetch_from={} left_ms={} send={}",
            request.id,
            task_name(&task),
            request.rank,
            shared.map_or(0, |(_, tokens)| tokens),
            shared_age_ms.map_or_else(|| "none".to_owned(), |age_ms| age_ms.to_string()),
            target.total_running(),
            expected_ms.unwrap_or(0.0),
            fetch_from.as_deref().unwrap_or("none"),
            request.deadline_ms.saturating_sub(now_ms),
            open.sends,
        );
        open.task = Some(task);
        log(effects, Importance::Step, text);
        direct(effects, exchange, Directive::Send(attempt));
    }

    fn on_prefilled(
        &mut self,
        now_ms: u64,
        exchange: u64,
        handle: Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(open) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let Some(charge) = open.charge.take() else {
            return;
        };
        let source = charge.upstream.clone();
        let service = open.request.service.clone();
        if let Some(upstream) = self.upstreams.get_mut(&source) {
            upstream.remove(charge);
            upstream.succeeded(now_ms);
        }
        self.hand_over(now_ms, exchange, &source, handle, effects);
        self.pump(now_ms, &service, effects);
    }

    /// Lets an engine near `source` generate with the KV cache that `source` keeps under a handle.
    fn hand_over(
        &mut self,
        now_ms: u64,
        exchange: u64,
        source: &Name,
        handle: Name,
        effects: &mut Vec<EntryEffect>,
    ) {
        let open = &self.exchanges[&exchange];
        let situation = self.situation(now_ms, open);
        let Some(source) = self.upstreams.get(source) else {
            return self.place(now_ms, exchange, effects);
        };
        let address = source.record.address.clone();
        let decoder = place::decoder(&situation, source, self.of_service(&open.request.service));
        if let Some(decoder) = decoder {
            let decoder = decoder.record.id.clone();
            let plan = Plan {
                task: Task::Generate { address, handle },
                tokens: 0,
                expected_ms: Some(0.0),
                fetch_from: None,
                shared_age_ms: None,
            };
            return self.send(now_ms, exchange, &decoder, plan, effects);
        }
        let text = format!(
            "request={} decision=free_handle reason=no_decoder source={address}",
            open.request.id
        );
        log(effects, Importance::Belief, text);
        effects.push(EntryEffect::Free { address, handle });
        if let Some(open) = self.exchanges.get_mut(&exchange) {
            open.runs_where_computed = true;
        }
        self.place(now_ms, exchange, effects);
    }

    fn on_started(&mut self, now_ms: u64, exchange: u64, effects: &mut Vec<EntryEffect>) {
        let Some(open) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        open.begun_ms.get_or_insert(now_ms);
        let service = open.request.service.clone();
        if let Some(charge) = &mut open.charge
            && let Some(upstream) = self.upstreams.get_mut(&charge.upstream)
        {
            upstream.computed(charge);
        }
        self.pump(now_ms, &service, effects);
    }

    fn on_ended(
        &mut self,
        now_ms: u64,
        exchange: u64,
        outcome: Outcome,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(open) = self.exchanges.get_mut(&exchange) else {
            return;
        };
        let service = open.request.service.clone();
        let task = open.task.take();
        let charge = open.charge.take();
        let mut is_open = false;
        let mut upstream_id = Name::default();
        if let Some(charge) = charge {
            upstream_id = charge.upstream.clone();
            open.tried.push(charge.upstream.clone());
            if let Some(upstream) = self.upstreams.get_mut(&charge.upstream) {
                upstream.remove(charge);
                let is_engine = upstream.record.role.is_some();
                is_open = match outcome {
                    // A full upstream is not a broken one, but an engine with free slots rejects while it changes.
                    Outcome::Rejected if is_engine && !upstream.is_half_full() => {
                        upstream.failed(now_ms, true)
                    }
                    Outcome::Rejected => false,
                    Outcome::Unreachable | Outcome::Misdirected => upstream.failed(now_ms, true),
                    _ => upstream.failed(now_ms, false),
                };
            }
        }
        let may_have_run = !outcome.is_not_run() && task != Some(Task::Prefill);
        open.runs += u32::from(may_have_run);
        open.has_failed_answer |= outcome == Outcome::FailedAnswer;
        let text = format!(
            "request={} upstream={upstream_id} task={} outcome={} elapsed_ms={} runs={} circuit_open={is_open}",
            open.request.id,
            task.as_ref().map_or("none", task_name),
            outcome.name(),
            now_ms - open.arrived_ms,
            open.runs,
        );
        log(effects, Importance::Belief, text);
        if outcome == Outcome::Unreachable {
            match &task {
                Some(Task::Prefill) => open.prefills -= 1,
                Some(Task::Run | Task::Generate { .. }) => open.run_calls -= 1,
                None => {}
            }
        }
        let kept = task.and_then(|task| self.kept_handle(task, outcome));
        let decision = self.after_failure(now_ms, exchange, outcome, kept.is_some());
        match (&decision, kept) {
            (AfterFailure::Again, Some(kept)) => {
                self.hand_over(now_ms, exchange, &kept.source, kept.handle, effects);
                return self.pump(now_ms, &service, effects);
            }
            (
                _,
                Some(Kept {
                    address, handle, ..
                }),
            ) => effects.push(EntryEffect::Free { address, handle }),
            (_, None) => {}
        }
        match decision {
            AfterFailure::Again => self.place(now_ms, exchange, effects),
            AfterFailure::PassOn => direct(effects, exchange, Directive::PassOn),
            AfterFailure::Refuse(reason) => self.refuse(now_ms, exchange, reason, 0, effects),
        }
        self.pump(now_ms, &service, effects);
    }

    /// Returns what an engine still keeps of a computed prompt although the call that was to take it failed.
    fn kept_handle(&self, task: Task, outcome: Outcome) -> Option<Kept> {
        let (Outcome::Unreachable | Outcome::Misdirected, Task::Generate { address, handle }) =
            (outcome, task)
        else {
            return None;
        };
        let mut upstreams = self.upstreams.values();
        let source = upstreams.find(|upstream| upstream.record.address == address)?;
        Some(Kept {
            source: source.record.id.clone(),
            address,
            handle,
        })
    }

    fn after_failure(
        &mut self,
        now_ms: u64,
        exchange: u64,
        outcome: Outcome,
        has_handle: bool,
    ) -> AfterFailure {
        let open = &self.exchanges[&exchange];
        let request = &open.request;
        let end = match outcome {
            _ if open.has_failed_answer => AfterFailure::PassOn,
            Outcome::TimedOut if open.runs > 0 => AfterFailure::Refuse(RefusalReason::TimedOut),
            _ if open.runs > 0 => AfterFailure::Refuse(RefusalReason::Failed),
            _ => AfterFailure::Refuse(RefusalReason::NotRun),
        };
        let is_allowed =
            open.runs == 0 || (request.kind.is_repeatable() && open.runs < request.max_attempts);
        let has_time = now_ms + MARGIN_MS < request.deadline_ms;
        if !is_allowed || !has_time || open.sends >= MAX_SENDS {
            return end;
        }
        // A call that reached no upstream is replaced, not repeated.
        if outcome == Outcome::Unreachable {
            return AfterFailure::Again;
        }
        // The first prefill call and the first call that runs the request are not retries. A request that has had
        // both needs two more calls to be computed apart again, or one to be computed where it runs.
        let has_had_both = open.prefills > 0 && open.run_calls > 0 && !has_handle;
        let budget = self.budgets.entry(request.service.clone()).or_default();
        let mut take =
            |count| budget.take_retries(count, &self.settings.budget, now_ms, self.entries);
        if has_had_both && take(2) {
            return AfterFailure::Again;
        }
        if !take(1) {
            return end;
        }
        if has_had_both && let Some(open) = self.exchanges.get_mut(&exchange) {
            open.runs_where_computed = true;
        }
        AfterFailure::Again
    }

    fn on_closed(
        &mut self,
        now_ms: u64,
        exchange: u64,
        is_whole: bool,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(open) = self.exchanges.remove(&exchange) else {
            return;
        };
        if let Some(waiting) = self.waiting.get_mut(&open.request.service) {
            waiting.retain(|other| *other != exchange);
        }
        if let Some(charge) = open.charge
            && let Some(upstream) = self.upstreams.get_mut(&charge.upstream)
        {
            upstream.remove(charge);
            if is_whole {
                upstream.succeeded(now_ms);
            }
        }
        let begun_ms = open.begun_ms.unwrap_or(now_ms);
        let in_objective = begun_ms <= open.request.objective_ms;
        let (importance, outcome) = match is_whole {
            true => (Importance::Step, "answered"),
            false => (Importance::Failure, "caller_left"),
        };
        let text = format!(
            "request={} route={} outcome={outcome} elapsed_ms={} first_ms={} in_objective={in_objective} sends={} \
             rank={}",
            open.request.id,
            open.request.route,
            now_ms - open.arrived_ms,
            begun_ms - open.arrived_ms,
            open.sends,
            open.request.rank,
        );
        log(effects, importance, text);
        self.pump(now_ms, &open.request.service, effects);
    }

    fn refuse(
        &mut self,
        now_ms: u64,
        exchange: u64,
        reason: RefusalReason,
        wait_ms: u64,
        effects: &mut Vec<EntryEffect>,
    ) {
        let Some(open) = self.exchanges.remove(&exchange) else {
            return;
        };
        let request = &open.request;
        let left_ms = request.deadline_ms.saturating_sub(now_ms);
        let retry_after_ms = wait_ms
            .min(left_ms / RETRY_AFTER_SHARE)
            .max(RETRY_AFTER_MIN_MS);
        let version = self.config.as_ref().map_or(0, |config| config.version());
        let text = format!(
            "request={} route={} service={} outcome=refused reason={} not_run={} wait_ms={wait_ms} \
             retry_after_ms={retry_after_ms} left_ms={left_ms} elapsed_ms={} sends={} runs={} config={version} \
             config_age_ms={}",
            request.id,
            request.route,
            request.service,
            reason.name(),
            reason.is_not_run(),
            now_ms - open.arrived_ms,
            open.sends,
            open.runs,
            self.subscription.age_ms(now_ms),
        );
        log(effects, Importance::Failure, text);
        let refusal = Refusal {
            reason,
            retry_after_ms,
        };
        direct(effects, exchange, Directive::Refuse(refusal));
    }

    fn situation<'a>(&'a self, now_ms: u64, open: &'a Exchange) -> Situation<'a> {
        Situation {
            now_ms,
            zone: &self.settings.info.availability_zone,
            tried: &open.tried,
            draw: open.draw,
        }
    }

    fn of_service(&self, service: &Name) -> impl Iterator<Item = &Upstream> + Clone {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        ids.iter().filter_map(|id| self.upstreams.get(id))
    }
}

/// What a chosen upstream is to do.
struct Plan {
    task: Task,
    /// Prompt tokens that it has to compute.
    tokens: u32,
    /// Expected time to the first token, in milliseconds; none for plain requests.
    expected_ms: Option<f64>,
    /// Address of the engine from which it first fetches shared parts.
    fetch_from: Option<Name>,
    /// Time since the shared parts were last used where they are believed to be, in milliseconds.
    shared_age_ms: Option<u64>,
}

/// KV cache of a computed prompt that no engine has taken.
struct Kept {
    /// Engine that keeps it.
    source: Name,
    /// Address of that engine.
    address: Name,
    handle: Name,
}

enum AfterFailure {
    Again,
    PassOn,
    Refuse(RefusalReason),
}

/// Returns the work before an engine up to which it gets more of a rank, in milliseconds.
fn shallow_ms(rank: u8) -> f64 {
    match rank {
        0 => URGENT_SHALLOW_MS,
        _ => SHALLOW_MS,
    }
}

/// Returns when an upstream that has not begun to answer is given up.
fn head_deadline_ms(
    now_ms: u64,
    open: &Exchange,
    task: &Task,
    expected_ms: Option<f64>,
) -> Option<u64> {
    if *task == Task::Prefill {
        let patience_ms = expected_ms.unwrap_or(0.0) * PREFILL_PATIENCE;
        let prefill_deadline_ms = now_ms + (patience_ms + PREFILL_SLACK_MS) as u64;
        return Some(prefill_deadline_ms.min(open.request.begin_deadline_ms));
    }
    let request = &open.request;
    let can_repeat = request.kind.is_repeatable() && open.runs + 1 < request.max_attempts;
    if !can_repeat {
        return None;
    }
    let objective_ms = request.objective_ms.saturating_sub(open.arrived_ms);
    Some(now_ms + objective_ms * HEAD_OBJECTIVES)
}

fn task_name(task: &Task) -> &'static str {
    match task {
        Task::Run => "run",
        Task::Prefill => "prefill",
        Task::Generate { .. } => "generate",
    }
}

fn direct(effects: &mut Vec<EntryEffect>, exchange: u64, directive: Directive) {
    effects.push(EntryEffect::Direct {
        exchange,
        directive,
    });
}

fn log(effects: &mut Vec<EntryEffect>, importance: Importance, text: String) {
    effects.push(EntryEffect::Log { importance, text });
}
