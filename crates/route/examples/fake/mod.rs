//! Fakes for comparing policies: a queueing model of an engine, and instances that decide from delayed reports.
#![allow(dead_code, reason = "each example and test uses a part")]

use admit::{Discipline, Queues, WaitingRequest};
use conf::{ClientAccount, Name, RankPolicy, Role, Service, ServiceConfig, Upstream};
use route::{
    CHUNK_TOKENS, CacheEvent, Choice, ExchangeEnd, ExchangeEstimate, ExchangeId, LoadReport,
    Policy, RoutingRequest, UpstreamTable,
};

/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 5;
/// Interval of the load reports, in milliseconds.
const REPORT_MS: u64 = 250;
/// Share of the batches of cache events that are lost.
const EVENT_LOSS_SHARE: f64 = 0.02;
/// Safety factor on the oracle's times when they are compared with the deadlines, equal to that of the cost-based
/// policy.
const ORACLE_MARGIN: f64 = 1.5;
/// Share of an engine's time that prompts take while both prompts and answers run.
const PROMPT_SHARE: f64 = 0.6;

/// A request of a trace.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub instance: usize,
    pub client_account: Name,
    pub rank: u8,
    pub prompt_tokens: u32,
    pub chunk_hashes: Vec<u64>,
    pub output_tokens: u32,
    pub first_token_ms: u64,
    pub total_ms: u64,
}

/// A request in an engine.
#[derive(Clone, Debug)]
struct Job {
    id: usize,
    priority: u8,
    chunk_hashes: Vec<u64>,
    prompt_tokens: u32,
    prompt_left: f64,
    output_left: f64,
    started: bool,
}

/// A queueing model of an engine: prompt speed, output speed, batch limit and prefix cache.
#[derive(Clone, Debug)]
pub struct Engine {
    prefill: f64,
    decode: f64,
    max_running: usize,
    cache_chunks: usize,
    cache: Vec<u64>,
    events: Vec<CacheEvent>,
    events_sent: u64,
    waiting: Vec<Job>,
    running: Vec<Job>,
    pub prompt_tokens_computed: f64,
    pub output_tokens_generated: f64,
}

pub enum EngineEvent {
    FirstToken(usize),
    Done(usize),
}

impl Engine {
    pub fn new(upstream: &Upstream) -> Self {
        Self {
            prefill: upstream.prefill_tokens_per_s / 1_000.0,
            decode: upstream.decode_tokens_per_s / 1_000.0,
            max_running: upstream.max_running as usize,
            cache_chunks: upstream.cache_chunks as usize,
            cache: Vec::new(),
            events: Vec::new(),
            events_sent: 0,
            waiting: Vec::new(),
            running: Vec::new(),
            prompt_tokens_computed: 0.0,
            output_tokens_generated: 0.0,
        }
    }

    fn submit(&mut self, id: usize, arrival: &Arrival) {
        let job = Job {
            id,
            priority: arrival.rank,
            chunk_hashes: arrival.chunk_hashes.clone(),
            prompt_tokens: arrival.prompt_tokens,
            prompt_left: 0.0,
            output_left: f64::from(arrival.output_tokens),
            started: false,
        };
        let after = |other: &Job| other.priority > job.priority;
        let position = self.waiting.iter().position(after);
        self.waiting
            .insert(position.unwrap_or(self.waiting.len()), job);
    }

    fn cancel(&mut self, id: usize) {
        self.waiting.retain(|job| job.id != id);
        self.running.retain(|job| job.id != id);
    }

    fn cached_tokens(&self, chunk_hashes: &[u64]) -> f64 {
        let held = chunk_hashes
            .iter()
            .take_while(|chunk| self.cache.contains(chunk));
        held.count() as f64 * f64::from(CHUNK_TOKENS)
    }

    fn store(&mut self, chunk_hashes: &[u64]) {
        let new = chunk_hashes
            .iter()
            .filter(|chunk| !self.cache.contains(chunk));
        self.events
            .extend(new.map(|chunk| CacheEvent::Stored(*chunk)));
        self.cache.retain(|held| !chunk_hashes.contains(held));
        self.cache.extend(chunk_hashes);
        let excess = self.cache.len().saturating_sub(self.cache_chunks);
        let evicted = self.cache.drain(..excess);
        self.events.extend(evicted.map(CacheEvent::Evicted));
    }

    /// Returns the events since the last call and the number of the first one.
    fn take_events(&mut self) -> (u64, Vec<CacheEvent>) {
        let first = self.events_sent + 1;
        self.events_sent += self.events.len() as u64;
        (first, std::mem::take(&mut self.events))
    }

    fn step(&mut self, events: &mut Vec<EngineEvent>) {
        while self.running.len() < self.max_running && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let cached = self.cached_tokens(&job.chunk_hashes);
            job.prompt_left = (f64::from(job.prompt_tokens) - cached).max(1.0);
            self.running.push(job);
        }
        let decoding = self
            .running
            .iter()
            .filter(|job| job.prompt_left <= 0.0)
            .count();
        let prefilling = self.running.len() - decoding;
        let prompt_share = match (prefilling, decoding) {
            (0, _) => 0.0,
            (_, 0) => 1.0,
            _ => PROMPT_SHARE,
        };
        let mut prompt_tokens = prompt_share * self.prefill * STEP_MS as f64;
        let batch = (decoding as f64).max(self.max_running as f64 / 4.0);
        let output_tokens = (1.0 - prompt_share) * self.decode * STEP_MS as f64 / batch;
        let mut stored = Vec::new();
        for job in &mut self.running {
            if job.prompt_left > 0.0 {
                let used = prompt_tokens.min(job.prompt_left);
                prompt_tokens -= used;
                job.prompt_left -= used;
                self.prompt_tokens_computed += used;
                if job.prompt_left <= 0.0 {
                    stored.push(job.chunk_hashes.clone());
                }
                continue;
            }
            if !job.started {
                job.started = true;
                events.push(EngineEvent::FirstToken(job.id));
            }
            job.output_left -= output_tokens;
            self.output_tokens_generated += output_tokens;
            if job.output_left <= 0.0 {
                events.push(EngineEvent::Done(job.id));
            }
        }
        self.running.retain(|job| job.output_left > 0.0);
        stored
            .iter()
            .for_each(|chunk_hashes| self.store(chunk_hashes));
    }

    fn prompt_backlog(&self) -> f64 {
        let waiting = self.waiting.iter();
        let waiting =
            waiting.map(|job| f64::from(job.prompt_tokens) - self.cached_tokens(&job.chunk_hashes));
        let running = self.running.iter().map(|job| job.prompt_left.max(0.0));
        waiting.sum::<f64>() + running.sum::<f64>()
    }

    fn report(&self, age_ms: u64) -> LoadReport {
        LoadReport {
            age_ms,
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            prompt_tokens_waiting: self.prompt_backlog() as u32,
            role: Role::Mixed,
            models: vec!["m".into()],
            ..LoadReport::default()
        }
    }

    /// Returns the expected times to the first token and to the end of the answer, in milliseconds, and the cost, all
    /// computed from the actual state of the engine and the actual length of the answer, for the oracle.
    fn actual_times_ms(&self, arrival: &Arrival) -> (f64, f64, f64) {
        let in_flight = (self.running.len() + self.waiting.len() + 1) as f64;
        let limit = self.max_running as f64;
        let between_tokens_ms = in_flight.clamp(limit / 4.0, limit) / self.decode;
        let answer_ms = f64::from(arrival.output_tokens) * between_tokens_ms;
        let uncached = f64::from(arrival.prompt_tokens) - self.cached_tokens(&arrival.chunk_hashes);
        let prompt_ms = uncached / self.prefill;
        let batch_wait_ms = answer_ms * (in_flight - limit).max(0.0) / limit;
        let first_ms =
            batch_wait_ms + between_tokens_ms + self.prompt_backlog() / self.prefill + prompt_ms;
        let total_ms = first_ms + answer_ms;
        (first_ms, total_ms, total_ms + 4.0 * prompt_ms)
    }
}

/// The method by which upstreams are chosen in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Chooser {
    /// Each instance chooses from its own table by this policy.
    Instance(Policy),
    /// The choice is made with the actual state of all engines and the actual lengths of answers.
    Oracle,
}

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub chooser: Chooser,
    pub discipline: Discipline,
    pub instances: usize,
    pub seed: u64,
}

/// Counts of one run, by rank.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub offered: [u32; 3],
    pub in_target: [u32; 3],
    pub late: [u32; 3],
    pub refused: [u32; 3],
    /// Prompt and output tokens of the complete answers.
    pub tokens: [f64; 3],
    pub prompt_tokens_computed: f64,
}

impl Outcome {
    pub fn good(&self) -> u32 {
        self.in_target.iter().sum()
    }
}

/// The state of one request of the trace.
struct Progress {
    engine: Option<usize>,
    in_target: bool,
}

/// Runs a trace. Each instance has its own table and queues and gets the load report of each engine every 250 ms, with
/// a delay of 20 to 120 ms.
pub fn run(config: &ServiceConfig, arrivals: &[Arrival], setup: Setup) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(setup.seed);
    let mut engines: Vec<Engine> = config.upstreams.iter().map(Engine::new).collect();
    let new_table = |instance: usize| {
        let mut table = UpstreamTable::new(setup.seed * 1_000 + instance as u64);
        table.apply_config(config);
        table
    };
    let new_queues = |_| {
        let mut queues = Queues::new(setup.discipline);
        queues.apply_config(config);
        queues
    };
    let mut tables: Vec<UpstreamTable> = (0..setup.instances).map(new_table).collect();
    let mut queues: Vec<Queues> = (0..setup.instances).map(new_queues).collect();
    let mut outcome = Outcome::default();
    let mut progress: Vec<Progress> = Vec::new();
    let mut open: Vec<usize> = Vec::new();
    let mut delayed_reports: Vec<(u64, usize, LoadReport)> = Vec::new();
    let mut delayed_events: Vec<(u64, usize, u64, Vec<CacheEvent>)> = Vec::new();
    let end_ms = arrivals.last().map_or(0, |arrival| arrival.at_ms) + 60_000;
    let mut now_ms = 0;
    let mut events = Vec::new();
    while now_ms < end_ms && (progress.len() < arrivals.len() || !open.is_empty()) {
        for (index, engine) in engines.iter_mut().enumerate() {
            if (now_ms + index as u64 * 35) % REPORT_MS < STEP_MS {
                let age_ms = rng.u64(20..120);
                delayed_reports.push((now_ms + age_ms, index, engine.report(age_ms)));
                let (first, events) = engine.take_events();
                if rng.f64() >= EVENT_LOSS_SHARE {
                    delayed_events.push((now_ms + 2 * age_ms, index, first, events));
                }
            }
        }
        for (_, index, report) in delayed_reports.extract_if(.., |report| report.0 <= now_ms) {
            let name = &config.upstreams[index].name;
            tables
                .iter_mut()
                .for_each(|table| table.on_report(now_ms, name, &report));
        }
        for (_, index, first, events) in
            delayed_events.extract_if(.., |delayed| delayed.0 <= now_ms)
        {
            let name = &config.upstreams[index].name;
            for table in &mut tables {
                table.on_cache_events(name, first, &events);
            }
        }
        while progress.len() < arrivals.len() && arrivals[progress.len()].at_ms <= now_ms {
            let id = progress.len();
            let arrival = &arrivals[id];
            outcome.offered[arrival.rank as usize] += 1;
            progress.push(Progress {
                engine: None,
                in_target: true,
            });
            let table = &mut tables[arrival.instance];
            let output_tokens = table.expected_output(&arrival.client_account, &"m".into(), 0);
            let request = request(config, arrival, output_tokens);
            let waiting = WaitingRequest {
                id: id as u64,
                client_account: arrival.client_account.clone(),
                service: "chat".into(),
                model: "m".into(),
                rank: arrival.rank,
                tokens: arrival.prompt_tokens + output_tokens,
                service_ms: table.service_ms(&request).unwrap_or(0),
                deadline_ms: arrival.at_ms + arrival.total_ms,
                first_token_ms: table.prompt_ms(&request).unwrap_or(0),
                first_token_deadline_ms: arrival.at_ms + arrival.first_token_ms,
                readmitted: false,
            };
            match queues[arrival.instance].offer(now_ms, waiting) {
                Ok(()) => open.push(id),
                Err(_) => outcome.refused[arrival.rank as usize] += 1,
            }
        }
        for instance in 0..setup.instances {
            for refused in queues[instance].expire(now_ms) {
                outcome.refused[refused.request.rank as usize] += 1;
                open.retain(|id| *id as u64 != refused.request.id);
            }
            loop {
                let mut chosen = None;
                let next = queues[instance].next(now_ms, |waiting| {
                    let arrival = &arrivals[waiting.id as usize];
                    chosen = choose(
                        config,
                        &engines,
                        &mut tables[instance],
                        now_ms,
                        arrival,
                        setup.chooser,
                    );
                    chosen.is_some()
                });
                let (Some(waiting), Some((index, choice))) = (next, chosen) else {
                    break;
                };
                let id = waiting.id as usize;
                let arrival = &arrivals[id];
                progress[id].engine = Some(index);
                let estimate = ExchangeEstimate {
                    client_account: arrival.client_account.clone(),
                    model: "m".into(),
                    prompt_tokens: arrival.prompt_tokens - choice.cached_tokens,
                    output_tokens: 1,
                    chunk_hashes: arrival.chunk_hashes.clone(),
                    total_ms: choice.total_ms,
                };
                let exchange = ExchangeId {
                    request: waiting.id,
                    attempt: 0,
                };
                tables[instance].on_dispatch(now_ms, exchange, &choice.upstream, &estimate);
                engines[index].submit(id, arrival);
            }
        }
        for engine in &mut engines {
            engine.step(&mut events);
        }
        now_ms += STEP_MS;
        for event in events.drain(..) {
            match event {
                EngineEvent::FirstToken(id) => {
                    let arrival = &arrivals[id];
                    progress[id].in_target &= now_ms <= arrival.at_ms + arrival.first_token_ms;
                }
                EngineEvent::Done(id) => {
                    let arrival = &arrivals[id];
                    let rank = arrival.rank as usize;
                    let in_time = now_ms <= arrival.at_ms + arrival.total_ms;
                    match progress[id].in_target && in_time {
                        true => outcome.in_target[rank] += 1,
                        false => outcome.late[rank] += 1,
                    }
                    let tokens = arrival.prompt_tokens + arrival.output_tokens;
                    outcome.tokens[rank] += f64::from(tokens);
                    finish(&mut tables, &mut queues, now_ms, id, arrival, true);
                    open.retain(|other| *other != id);
                }
            }
        }
        // The instance cancels requests that run past their deadlines, under every policy.
        for id in open.extract_if(.., |id| {
            now_ms > arrivals[*id].at_ms + arrivals[*id].total_ms
        }) {
            let Some(engine) = progress[id].engine else {
                continue;
            };
            engines[engine].cancel(id);
            outcome.late[arrivals[id].rank as usize] += 1;
            finish(&mut tables, &mut queues, now_ms, id, &arrivals[id], false);
        }
    }
    outcome.prompt_tokens_computed = engines
        .iter()
        .map(|engine| engine.prompt_tokens_computed)
        .sum();
    outcome
}

fn finish(
    tables: &mut [UpstreamTable],
    queues: &mut [Queues],
    now_ms: u64,
    id: usize,
    arrival: &Arrival,
    complete: bool,
) {
    let exchange = ExchangeId {
        request: id as u64,
        attempt: 0,
    };
    let end = match complete {
        true => ExchangeEnd::Complete {
            output_tokens: arrival.output_tokens,
        },
        false => ExchangeEnd::Cancelled,
    };
    tables[arrival.instance].on_finish(now_ms, exchange, end);
    let tokens = arrival.prompt_tokens + arrival.output_tokens;
    queues[arrival.instance].on_finish(now_ms, id as u64, tokens);
}

fn request(config: &ServiceConfig, arrival: &Arrival, output_tokens: u32) -> RoutingRequest {
    RoutingRequest {
        service: "chat".into(),
        model: "m".into(),
        prompt_tokens: arrival.prompt_tokens,
        chunk_hashes: arrival.chunk_hashes.clone(),
        output_tokens,
        rank: arrival.rank,
        deadline_ms: arrival.at_ms + arrival.total_ms,
        first_token_deadline_ms: arrival.at_ms + arrival.first_token_ms,
        exclude: Vec::new(),
        availability_zone: config.upstreams[arrival.instance % 3]
            .availability_zone
            .clone(),
    }
}

fn choose(
    config: &ServiceConfig,
    engines: &[Engine],
    table: &mut UpstreamTable,
    now_ms: u64,
    arrival: &Arrival,
    chooser: Chooser,
) -> Option<(usize, Choice)> {
    let policy = match chooser {
        Chooser::Instance(policy) => policy,
        Chooser::Oracle => return choose_by_oracle(config, engines, now_ms, arrival),
    };
    let output_tokens = table.expected_output(&arrival.client_account, &"m".into(), 0);
    let choice = table.choose(now_ms, &request(config, arrival, output_tokens), policy)?;
    let index = config
        .upstreams
        .iter()
        .position(|upstream| upstream.name == choice.upstream)?;
    Some((index, choice))
}

fn choose_by_oracle(
    config: &ServiceConfig,
    engines: &[Engine],
    now_ms: u64,
    arrival: &Arrival,
) -> Option<(usize, Choice)> {
    let cost_ms = |engine: &Engine| engine.actual_times_ms(arrival).2;
    let (index, engine) = engines
        .iter()
        .enumerate()
        .min_by(|a, b| cost_ms(a.1).total_cmp(&cost_ms(b.1)))?;
    let (first_ms, total_ms, _) = engine.actual_times_ms(arrival);
    let left_ms = |allowed_ms: u64| (arrival.at_ms + allowed_ms) as f64 - now_ms as f64;
    let full = engine.running.len() + engine.waiting.len() >= engine.max_running;
    let late = first_ms * ORACLE_MARGIN > left_ms(arrival.first_token_ms)
        || total_ms * ORACLE_MARGIN > left_ms(arrival.total_ms);
    if full || late {
        return None;
    }
    let choice = Choice {
        upstream: config.upstreams[index].name.clone(),
        prefill_upstream: None,
        first_token_ms: first_ms as u64,
        total_ms: total_ms as u64,
        cached_tokens: engine.cached_tokens(&arrival.chunk_hashes) as u32,
    };
    Some((index, choice))
}

/// Returns a configuration with one service of `engines` engines in three zones, and with three ranks.
pub fn fleet(engines: usize, floors: [f64; 3]) -> ServiceConfig {
    let rank = |(index, floor): (usize, f64)| RankPolicy {
        name: format!("r{index}").into(),
        floor,
        ..RankPolicy::default()
    };
    let upstream = |index: usize| Upstream {
        name: format!("e{index}").into(),
        service: "chat".into(),
        availability_zone: format!("z{}", index % 3).into(),
        ..Upstream::default()
    };
    ServiceConfig {
        ranks: floors.into_iter().enumerate().map(rank).collect(),
        client_accounts: vec![ClientAccount {
            name: "t".into(),
            requests_per_s: 100_000.0,
            burst: 100_000.0,
            ..ClientAccount::default()
        }],
        services: vec![Service {
            name: "chat".into(),
            models: vec!["m".into()],
            ..Service::default()
        }],
        upstreams: (0..engines).map(upstream).collect(),
        ..ServiceConfig::default()
    }
}

/// Returns random arrivals at a mean of `rate` requests per second for an interval. `make` creates each request.
pub fn arrivals(
    rng: &mut fastrand::Rng,
    from_ms: u64,
    to_ms: u64,
    rate: f64,
    mut make: impl FnMut(&mut fastrand::Rng) -> Arrival,
) -> Vec<Arrival> {
    let mut at_ms = from_ms as f64;
    let mut arrivals = Vec::new();
    loop {
        at_ms += -(1.0 - rng.f64()).ln() * 1_000.0 / rate;
        if at_ms >= to_ms as f64 {
            return arrivals;
        }
        let arrival = make(rng);
        arrivals.push(Arrival {
            at_ms: at_ms as u64,
            ..arrival
        });
    }
}

/// Returns a short question over one of `documents` long documents, with a short answer.
pub fn document_question(rng: &mut fastrand::Rng, instances: usize, documents: u64) -> Arrival {
    let document = rng.u64(..documents);
    let chunks = 2 + document % 8;
    Arrival {
        at_ms: 0,
        instance: rng.usize(..instances),
        client_account: "t".into(),
        rank: 1,
        prompt_tokens: chunks as u32 * CHUNK_TOKENS + rng.u32(20..400),
        chunk_hashes: (0..chunks)
            .map(|chunk| document * 1_000 + chunk + 1)
            .collect(),
        output_tokens: rng.u32(20..120),
        first_token_ms: 3_000,
        total_ms: 10_000,
    }
}

/// Returns a short prompt with a long answer.
pub fn long_answer(rng: &mut fastrand::Rng, instances: usize) -> Arrival {
    Arrival {
        at_ms: 0,
        instance: rng.usize(..instances),
        client_account: "u".into(),
        rank: 1,
        prompt_tokens: rng.u32(100..1_500),
        chunk_hashes: Vec::new(),
        output_tokens: rng.u32(150..600),
        first_token_ms: 3_000,
        total_ms: 25_000,
    }
}
