//! Callers' requests: admission, dispatch, progress, retries and outcomes.

use admit::{Running, Waiting};
use conf::settings::Queueing;
use conf::{Map, Name, ServiceConfig};
use fleet::{Command, CommandReply, LoadDigest, ServiceDemand};
use ledger::{Answer, AttemptId, BeginReply, Finish, Outcome};
use route::{Cost, Failure, Presence, Work as RouteWork};

use crate::effect::{Effect, Level, Part, Prefill, Refusal, Sample};
use crate::event::{Arrival, CacheEvent, End, ExchangeId, LoadReport};
use crate::exchange::{DEFAULT_OUTPUT_TOKENS, Exchange, Kind, MAX_ATTEMPTS, Phase};
use crate::proposer::Purpose;
use crate::state::{State, log};
use crate::watch::Read;

/// Time for which the outcome of an attempt is proposed, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 30_000;

/// Time after which a caller may try again when nothing better is known, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Time for which an answer is held back until the ledger has recorded it, in milliseconds.
const RECORD_WAIT_MS: u64 = 2_000;

/// Time without progress after which an answer from an engine that reports no load is resumed
/// elsewhere, in milliseconds. A live engine reports its load even while it generates nothing.
const STALL_MS: u64 = 3_000;

/// Interval at which running requests are considered for preemption, in milliseconds.
const PREEMPT_INTERVAL_MS: u64 = 50;

/// Time taken by an answer of a plain service when nothing better is known, in milliseconds.
const PLAIN_ANSWER_MS: u64 = 20;

/// Bit of an attempt's number that marks its prompt stage on another engine.
const PREFILL_STAGE: u32 = 1 << 31;

/// Speed of a service's fastest engine with a full batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    prefill_tokens_per_s: f64,
    decode_tokens_per_s: f64,
}

/// Collects the speeds of all services.
pub(crate) fn speeds(config: &ServiceConfig) -> Map<Name, Speed> {
    let mut speeds: Map<Name, Speed> = Map::default();
    for upstream in &config.upstreams {
        let speed = speeds.entry(upstream.service.clone()).or_default();
        let decode_tokens_per_s =
            upstream.decode_tokens_per_s / f64::from(upstream.max_running.max(1));
        speed.prefill_tokens_per_s = speed
            .prefill_tokens_per_s
            .max(upstream.prefill_tokens_per_s);
        speed.decode_tokens_per_s = speed.decode_tokens_per_s.max(decode_tokens_per_s);
    }
    speeds
}

/// Returns the tokens asked of each service, for the report to the leader.
pub(crate) fn reported_demand(demand: &Map<Name, (u64, u64)>) -> Vec<ServiceDemand> {
    demand
        .iter()
        .map(|(service, (prompt_tokens, output_tokens))| ServiceDemand {
            service: service.clone(),
            prompt_tokens: *prompt_tokens,
            output_tokens: *output_tokens,
        })
        .collect()
}

/// Returns the position of each tenant in the configuration.
pub(crate) fn tenant_positions(config: &ServiceConfig) -> Map<Name, usize> {
    let tenants = config.tenants.iter().enumerate();
    tenants
        .map(|(position, tenant)| (tenant.name.clone(), position))
        .collect()
}

/// Admits or refuses a caller's request.
pub(crate) fn on_arrival(state: &mut State, arrival: Arrival, effects: &mut Vec<Effect>) {
    let exchange_id = arrival.exchange;
    if let Some(refusal) = unable(state) {
        return effects.push(refuse(exchange_id, refusal));
    }
    let fallback_key = format!("entry:{}:{}:{exchange_id}", state.id(), state.incarnation);
    let services = state.services.clone();
    let position = state.tenants.get(&arrival.tenant);
    let tenant = position.map(|position| &services.tenants[*position]);
    let fallback_key = || fallback_key.into();
    let resolved = Exchange::resolve(state.now_ms, &services, tenant, arrival, fallback_key);
    let exchange = match resolved {
        Ok(exchange) => exchange,
        Err(refusal) => return effects.push(refuse(exchange_id, refusal)),
    };
    let waiting = waiting(state, &exchange, false);
    match state.queues.offer(state.now_ms, waiting) {
        Ok(()) => {
            state.exchanges.insert(exchange_id, exchange);
        }
        Err(refusal) => {
            let refusal = from_admission(refusal);
            note_refused_demand(state, &exchange);
            record_refusal(&exchange, &refusal, effects);
            effects.push(refuse(exchange_id, refusal));
        }
    }
}

/// Dispatches what waits as far as upstreams have places.
pub(crate) fn pump(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    for refused in state.queues.expire(now_ms) {
        end_queued(
            state,
            refused.waiting.id,
            from_admission(refused.refusal),
            effects,
        );
    }
    loop {
        let mut choice = None;
        let (exchanges, table) = (&state.exchanges, &mut state.table);
        let zone = &state.settings.instance.availability_zone;
        let policy = state.policy;
        let next = state.queues.next(now_ms, |waiting| {
            let Some(exchange) = exchanges.get(&waiting.id) else {
                return false;
            };
            let expected = expected_output(table, exchange);
            let work = route_work(exchange, expected, zone);
            choice = table.choose(now_ms, &work, policy);
            choice.is_some()
        });
        let (Some(waiting), Some(choice)) = (next, choice) else {
            break;
        };
        take_place(state, waiting.id, &choice, effects);
    }
}

/// Does the work of serving that is due by time.
pub(crate) fn tick(state: &mut State, effects: &mut Vec<Effect>) {
    for read in state.watch.due(state.now_ms) {
        effects.push(match read {
            Read::Load { upstream, address } => Effect::ReadLoad { upstream, address },
            Read::CacheEvents { upstream, address } => {
                let after = state.table.cache_events_seen(&upstream);
                Effect::ReadCacheEvents {
                    upstream,
                    address,
                    after,
                }
            }
            Read::PlatformList => Effect::ReadPlatformList,
        });
    }
    deliver_unrecorded(state, effects);
    resume_stalled(state, effects);
    preempt(state, effects);
}

/// Notes that an upstream has begun to answer.
pub(crate) fn on_started(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(exchange) = current(state, exchange, attempt) else {
        return;
    };
    exchange.was_sent = true;
    if matches!(exchange.kind, Kind::Plain { .. }) {
        note_first(exchange, now_ms, effects);
    }
}

/// Notes the output that the caller has received so far.
pub(crate) fn on_progress(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    output_tokens: u32,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(open) = current(state, exchange, attempt) else {
        return;
    };
    open.was_sent = true;
    open.output_tokens = open.output_tokens.max(output_tokens);
    open.last_progress_ms = now_ms;
    note_first(open, now_ms, effects);
    end_prefill(state, exchange, attempt);
    state
        .table
        .on_progress(route_id(exchange, attempt), output_tokens);
}

/// Takes the end of an attempt.
pub(crate) fn on_ended(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    end: End,
    effects: &mut Vec<Effect>,
) {
    let is_current = current(state, exchange, attempt).is_some();
    release_place(state, exchange, attempt, &end);
    if !is_current {
        return;
    }
    match end {
        End::Complete { answer } => complete(state, exchange, answer, effects),
        End::NotSent | End::Rejected => retry_unsent(state, exchange, effects),
        End::Broken => resume(state, exchange, effects),
        End::Cancelled => {}
    }
}

/// Gives up a request whose caller has left. A non-idempotent one that was sent runs to its end,
/// so that its answer is recorded.
pub(crate) fn on_caller_gone(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open.is_caller_gone = true;
    if open.once().is_some() && open.phase != Phase::Queued {
        return;
    }
    let attempt = open.attempt;
    if open.phase == Phase::Running {
        effects.push(Effect::Cancel { exchange, attempt });
    }
    state.queues.cancel(exchange);
    release_place(state, exchange, attempt, &End::Cancelled);
    state.exchanges.remove(&exchange);
}

/// Takes an upstream's load report.
pub(crate) fn on_load(
    state: &mut State,
    upstream: &Name,
    report: Option<LoadReport>,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    state.watch.on_load(now_ms, upstream);
    let Some(report) = report else {
        state.loads.remove(upstream);
        return state.table.on_unreachable(now_ms, upstream);
    };
    let presence = match report.leaving {
        true => Presence::Leaving,
        false => Presence::Live,
    };
    if report.leaving && state.table.accepts(now_ms, upstream) {
        log(
            effects,
            Level::Info,
            Part::Route,
            format!("{upstream} reports that it is leaving"),
        );
    }
    state.table.set_observed(upstream, presence);
    state.loads.insert(upstream.clone(), report.clone());
    state
        .table
        .on_report(now_ms, upstream, &route_report(report));
}

/// Takes what a peer has seen of upstreams.
pub(crate) fn on_digest(state: &mut State, digests: &[LoadDigest]) {
    for digest in digests {
        let seen = route::LoadDigest {
            age_ms: digest.age_ms,
            running: digest.running,
            waiting: digest.waiting,
            prompt_tokens_waiting: digest.prompt_tokens_waiting,
            kv_chunks_used: digest.kv_chunks_used,
        };
        state.table.on_digest(state.now_ms, &digest.upstream, &seen);
    }
}

/// Takes changes of an engine's prefix cache.
pub(crate) fn on_cache_events(
    state: &mut State,
    upstream: &Name,
    first: u64,
    events: &[CacheEvent],
) {
    state.watch.on_cache_events(state.now_ms, upstream);
    let events: Vec<route::CacheEvent> = events
        .iter()
        .map(|event| match event {
            CacheEvent::Stored { chunk_hash } => route::CacheEvent::Stored(*chunk_hash),
            CacheEvent::Evicted { chunk_hash } => route::CacheEvent::Evicted(*chunk_hash),
        })
        .collect();
    state.table.on_cache_events(upstream, first, &events);
}

/// Takes the ledger's decision on an attempt; `None` if the ledger was out of reach.
pub(crate) fn on_begin(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    reply: Option<CommandReply>,
    effects: &mut Vec<Effect>,
) {
    let Some(open) = current(state, exchange, attempt) else {
        return;
    };
    if open.phase != Phase::Beginning {
        return;
    }
    let reply = match reply {
        Some(CommandReply::Begin(reply)) => reply,
        _ => return on_ledger_lost(state, exchange, attempt, effects),
    };
    match reply {
        BeginReply::Granted if open.is_caller_gone => give_up(state, exchange, attempt),
        BeginReply::Granted => dispatch(state, exchange, effects),
        BeginReply::Answered(answer) => {
            release_place(state, exchange, attempt, &End::Cancelled);
            state.exchanges.remove(&exchange);
            effects.push(Effect::Replay { exchange, answer });
        }
        BeginReply::Running => end_attempt(state, exchange, attempt, Refusal::Running, effects),
        BeginReply::Unknown => end_attempt(state, exchange, attempt, Refusal::MayHaveRun, effects),
        BeginReply::BodyMismatch => {
            end_attempt(state, exchange, attempt, Refusal::KeyReused, effects);
        }
    }
}

/// Goes on after the outcome of an attempt was recorded, or could not be.
pub(crate) fn on_finish_recorded(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    is_recorded: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(open) = current(state, exchange, attempt) else {
        return;
    };
    match open.phase {
        Phase::Recording => deliver(state, exchange, effects),
        Phase::Closing if is_recorded => requeue(state, exchange, effects),
        Phase::Closing => {
            let retry_after_ms = RETRY_AFTER_MS;
            let refusal = Refusal::LedgerUnavailable { retry_after_ms };
            end_attempt(state, exchange, attempt, refusal, effects);
        }
        Phase::Queued | Phase::Beginning | Phase::Running => {}
    }
}

fn unable(state: &State) -> Option<Refusal> {
    if state.stopping_since_ms.is_some() {
        return Some(Refusal::Stopping);
    }
    let is_ready = state.follower.is_settled() && state.follower.config().is_some();
    (!is_ready).then_some(Refusal::NotReady)
}

fn current(state: &mut State, exchange: ExchangeId, attempt: u32) -> Option<&mut Exchange> {
    state
        .exchanges
        .get_mut(&exchange)
        .filter(|open| open.attempt == attempt)
}

fn route_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    route::ExchangeId {
        request: exchange,
        attempt,
    }
}

// The prompt stage of an attempt is accounted for at its engine under an id of its own.
fn prefill_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    route_id(exchange, attempt | PREFILL_STAGE)
}

fn split(whole: Cost) -> (Cost, Cost) {
    let prefill = Cost {
        output_tokens: 0,
        ..whole.clone()
    };
    let decode = Cost {
        prompt_tokens: 0,
        ..whole
    };
    (prefill, decode)
}

fn end_prefill(state: &mut State, exchange: ExchangeId, attempt: u32) {
    let id = prefill_id(exchange, attempt);
    state
        .table
        .on_finish(state.now_ms, id, route::End::Cancelled);
}

fn expected_output(table: &route::Table, exchange: &Exchange) -> u32 {
    let model = exchange.model();
    let expected = table.expected_output(&exchange.tenant, &model, exchange.output_tokens);
    match expected {
        0 => DEFAULT_OUTPUT_TOKENS,
        expected => expected,
    }
}

fn route_work(exchange: &Exchange, expected_tokens: u32, zone: &Name) -> RouteWork {
    RouteWork {
        service: exchange.service.clone(),
        model: exchange.model(),
        prompt_tokens: exchange.prompt_tokens(),
        chunks: exchange.chunks(),
        output_tokens: exchange.output_to_come(expected_tokens),
        rank: exchange.rank,
        deadline_ms: exchange.deadline_ms,
        first_token_deadline_ms: exchange.first_token_deadline_ms(),
        exclude: exchange.excluded.clone(),
        availability_zone: zone.clone(),
    }
}

fn waiting(state: &State, exchange: &Exchange, readmitted: bool) -> Waiting {
    let expected_tokens = expected_output(&state.table, exchange);
    let output_tokens = exchange.output_to_come(expected_tokens);
    Waiting {
        id: exchange.id,
        tenant: exchange.tenant.clone(),
        service: exchange.service.clone(),
        model: exchange.model(),
        rank: exchange.rank,
        tokens: exchange.prompt_tokens().saturating_add(output_tokens),
        service_ms: service_ms(state, exchange, output_tokens),
        deadline_ms: exchange.deadline_ms,
        first_token_ms: service_ms(state, exchange, 0),
        first_token_deadline_ms: exchange.first_token_deadline_ms(),
        readmitted,
    }
}

fn service_ms(state: &State, exchange: &Exchange, output_tokens: u32) -> u64 {
    if matches!(exchange.kind, Kind::Plain { .. }) {
        return PLAIN_ANSWER_MS;
    }
    let Some(speed) = state.speeds.get(&exchange.service) else {
        return 0;
    };
    let prefill_s = f64::from(exchange.prompt_tokens()) / speed.prefill_tokens_per_s.max(1.0);
    let decode_s = f64::from(output_tokens) / speed.decode_tokens_per_s.max(1.0);
    ((prefill_s + decode_s) * 1_000.0) as u64
}

// The place at the upstream is taken before the ledger is asked, so that two requests do not both
// wait for the same one.
fn take_place(
    state: &mut State,
    exchange: ExchangeId,
    choice: &route::Choice,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    let expected_tokens = expected_output(&state.table, open);
    open.attempt += 1;
    open.upstream = choice.upstream.clone();
    open.send_deadline_ms = match open.once() {
        Some(_) => now_ms + state.settings.timing.begin_timeout_ms,
        None => open.answer_deadline_ms(now_ms),
    };
    // Only whole chunks are handed over, so a shorter prompt is computed where it is answered.
    open.prefill_upstream = choice
        .prefill_upstream
        .clone()
        .filter(|_| !open.chunks().is_empty());
    let whole = Cost {
        tenant: open.tenant.clone(),
        model: open.model(),
        prompt_tokens: open.prompt_tokens().saturating_sub(choice.cached_tokens),
        output_tokens: open.output_to_come(expected_tokens),
        chunks: open.chunks(),
        total_ms: choice.total_ms,
    };
    let attempt = open.attempt;
    if attempt == 1 && !whole.model.is_empty() {
        let demand = state.demand.entry(open.service.clone()).or_default();
        demand.0 += u64::from(whole.prompt_tokens);
        demand.1 += u64::from(whole.output_tokens);
    }
    let id = route_id(exchange, attempt);
    match &open.prefill_upstream {
        None => state
            .table
            .on_dispatch(now_ms, id, &choice.upstream, &whole),
        Some(prefill_upstream) => {
            let (prefill, decode) = split(whole);
            let prefill_id = prefill_id(exchange, attempt);
            state
                .table
                .on_dispatch(now_ms, prefill_id, prefill_upstream, &prefill);
            state
                .table
                .on_dispatch(now_ms, id, &choice.upstream, &decode);
        }
    }
    if attempt == 1 {
        let elapsed_ms = now_ms - open.arrived_ms;
        let (tenant, rank) = (open.tenant.clone(), open.rank_name.clone());
        effects.push(Effect::Record(Sample::Queued {
            tenant,
            rank,
            elapsed_ms,
        }));
    } else {
        let upstream = choice.upstream.clone();
        effects.push(Effect::Record(Sample::Retried { upstream }));
    }
    match open.once() {
        None => dispatch(state, exchange, effects),
        Some(_) => ask_ledger(state, exchange),
    }
}

fn ask_ledger(state: &mut State, exchange: ExchangeId) {
    let begin_timeout_ms = state.settings.timing.begin_timeout_ms;
    state.next_attempt += 1;
    let attempt_id = attempt_id(state, state.next_attempt);
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open.phase = Phase::Beginning;
    open.ledger_attempt = attempt_id.sequence;
    let attempt = open.attempt;
    if let Some(begin) = open.begin(attempt_id, begin_timeout_ms) {
        let purpose = Purpose::Begin { exchange, attempt };
        let now_ms = state.now_ms;
        state
            .proposer
            .propose(now_ms, Command::Begin(begin), purpose, begin_timeout_ms);
    }
}

fn attempt_id(state: &State, sequence: u64) -> AttemptId {
    AttemptId {
        instance: state.id().clone(),
        incarnation: state.incarnation,
        sequence,
    }
}

fn dispatch(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open.phase = Phase::Running;
    open.last_progress_ms = now_ms;
    // Engines honour priorities, so a baseline without ranks must not pass them on.
    let priority = match state.settings.decisions.queueing {
        Queueing::Ranked => open.rank,
        Queueing::SingleQueue => 0,
    };
    let address = state.watch.address_of(&open.upstream).cloned();
    let prefill = open.prefill_upstream.clone().and_then(|upstream| {
        let address = state.watch.address_of(&upstream).cloned()?;
        Some(Prefill { upstream, address })
    });
    effects.push(Effect::Dispatch {
        exchange,
        attempt: open.attempt,
        upstream: open.upstream.clone(),
        address: address.unwrap_or_default(),
        prefill,
        priority,
        send_deadline_ms: open.send_deadline_ms,
        answer_deadline_ms: open.answer_deadline_ms(now_ms),
    });
}

// Tells the routing table and the queues that an attempt holds its place no longer.
fn release_place(state: &mut State, exchange: ExchangeId, attempt: u32, end: &End) {
    let now_ms = state.now_ms;
    let id = route_id(exchange, attempt);
    end_prefill(state, exchange, attempt);
    let open = state.exchanges.get(&exchange);
    let output_tokens = open.map_or(0, |open| open.output_tokens);
    match end {
        End::Complete { .. } => {
            let end = route::End::Complete { output_tokens };
            state.table.on_finish(now_ms, id, end);
        }
        End::Rejected | End::Cancelled => {
            state.table.on_finish(now_ms, id, route::End::Cancelled);
        }
        End::NotSent => state.table.on_failure(now_ms, id, Failure::Connect),
        End::Broken => state.table.on_failure(now_ms, id, Failure::Broken),
    }
    let tokens = match open.map(|open| &open.kind) {
        Some(Kind::Chat { prompt_tokens, .. }) => prompt_tokens.saturating_add(output_tokens),
        Some(Kind::Plain { .. }) => 1,
        None => return,
    };
    state.queues.on_finish(now_ms, exchange, tokens);
}

// A non-idempotent answer is recorded before it is delivered: if this process dies right after the
// delivery fails, a repeat is answered from the record and not told that the request may have run.
fn complete(
    state: &mut State,
    exchange: ExchangeId,
    answer: Option<Answer>,
    effects: &mut Vec<Effect>,
) {
    let outcome = Outcome::Answered(answer.unwrap_or_default());
    record_outcome(state, exchange, outcome);
    let now_ms = state.now_ms;
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open.once().is_some() {
        open.phase = Phase::Recording;
        open.last_progress_ms = now_ms;
        return;
    }
    finish(state, exchange, effects);
}

// An answer is not held back for longer than a leader's election takes.
fn deliver_unrecorded(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let held: Vec<ExchangeId> = state
        .exchanges
        .values()
        .filter(|open| open.phase == Phase::Recording)
        .filter(|open| now_ms >= open.last_progress_ms + RECORD_WAIT_MS)
        .map(|open| open.id)
        .collect();
    for exchange in held {
        deliver(state, exchange, effects);
    }
}

fn deliver(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    effects.push(Effect::Deliver { exchange });
    finish(state, exchange, effects);
}

fn finish(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(open) = state.exchanges.remove(&exchange) else {
        return;
    };
    let (tenant, rank) = (open.tenant.clone(), open.rank_name.clone());
    if let Some(elapsed_ms) = open.between_tokens_ms(now_ms) {
        effects.push(Effect::Record(Sample::BetweenTokens {
            tenant: tenant.clone(),
            rank: rank.clone(),
            elapsed_ms,
        }));
    }
    effects.push(Effect::Record(Sample::Total {
        tenant: tenant.clone(),
        rank: rank.clone(),
        elapsed_ms: now_ms - open.arrived_ms,
        in_target: open.is_in_target(now_ms),
    }));
    if let Kind::Chat { prompt_tokens, .. } = open.kind {
        effects.push(Effect::Record(Sample::Tokens {
            tenant,
            rank,
            prompt_tokens,
            output_tokens: open.output_tokens,
        }));
    }
}

// The attempt provably did not run, so another one may, elsewhere.
fn retry_unsent(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open.is_caller_gone {
        let attempt = open.attempt;
        return give_up(state, exchange, attempt);
    }
    open.exclude_current();
    if open.once().is_some() {
        open.phase = Phase::Closing;
        record_outcome(state, exchange, Outcome::NotRun);
        return;
    }
    requeue(state, exchange, effects);
}

// Nobody waits for an answer and nothing was sent, so the right to run is given back.
fn give_up(state: &mut State, exchange: ExchangeId, attempt: u32) {
    record_outcome(state, exchange, Outcome::NotRun);
    release_place(state, exchange, attempt, &End::Cancelled);
    state.exchanges.remove(&exchange);
}

// The connection broke after bytes were sent: an idempotent request goes on elsewhere.
fn resume(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open.was_sent = true;
    let (upstream, tenant) = (open.upstream.clone(), open.tenant.clone());
    open.exclude_current();
    if open.once().is_some() {
        record_outcome(state, exchange, Outcome::Unknown);
        return end(state, exchange, Refusal::UpstreamFailed, effects);
    }
    // A plain answer that has begun to reach the caller cannot be joined with another one.
    let is_begun = matches!(open.kind, Kind::Plain { .. }) && open.first_token_ms.is_some();
    if is_begun || !state.table.take_retry(&upstream, &tenant) {
        return end(state, exchange, Refusal::UpstreamFailed, effects);
    }
    requeue(state, exchange, effects);
}

fn requeue(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open.attempt.saturating_sub(open.preemptions) >= MAX_ATTEMPTS {
        let refusal = open.broken_refusal();
        return end(state, exchange, refusal, effects);
    }
    open.phase = Phase::Queued;
    // A caller that holds part of an answer is not refused because its target has passed.
    if open.output_tokens > 0 {
        open.deadline_ms = open.answer_deadline_ms(state.now_ms);
    }
    let open = &state.exchanges[&exchange];
    let was_sent = open.was_sent;
    let waiting = waiting(state, open, true);
    if let Err(refusal) = state.queues.offer(state.now_ms, waiting) {
        let refusal = match was_sent {
            true => Refusal::TimedOutRunning,
            false => from_admission(refusal),
        };
        end(state, exchange, refusal, effects);
    }
}

fn end_queued(
    state: &mut State,
    exchange: ExchangeId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let was_sent = state
        .exchanges
        .get(&exchange)
        .is_some_and(|open| open.was_sent);
    let refusal = match was_sent {
        true => Refusal::TimedOutRunning,
        false => refusal,
    };
    end(state, exchange, refusal, effects);
}

fn end_attempt(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    release_place(state, exchange, attempt, &End::Cancelled);
    end(state, exchange, refusal, effects);
}

fn end(state: &mut State, exchange: ExchangeId, refusal: Refusal, effects: &mut Vec<Effect>) {
    if let Some(open) = state.exchanges.remove(&exchange) {
        record_refusal(&open, &refusal, effects);
        effects.push(refuse(exchange, refusal));
    }
}

// The begin record may still be committed after the request was refused as not run. Its attempt
// closes it as not run, so that a repeat is not told that it may have run.
fn on_ledger_lost(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    effects: &mut Vec<Effect>,
) {
    record_outcome(state, exchange, Outcome::NotRun);
    let retry_after_ms = RETRY_AFTER_MS;
    let refusal = Refusal::LedgerUnavailable { retry_after_ms };
    end_attempt(state, exchange, attempt, refusal, effects);
}

fn record_outcome(state: &mut State, exchange: ExchangeId, outcome: Outcome) {
    let Some(open) = state.exchanges.get(&exchange) else {
        return;
    };
    let Some(once) = open.once() else {
        return;
    };
    let finish = Finish {
        key: once.key.clone(),
        attempt: attempt_id(state, open.ledger_attempt),
        outcome,
    };
    let purpose = Purpose::Finish {
        exchange,
        attempt: open.attempt,
    };
    let now_ms = state.now_ms;
    state
        .proposer
        .propose(now_ms, Command::Finish(finish), purpose, FINISH_TIMEOUT_MS);
}

// A frozen or cut-off engine keeps its connections open. It is recognised by its load reports.
fn resume_stalled(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let loads = &state.loads;
    let stalled: Vec<(ExchangeId, u32)> = state
        .exchanges
        .values()
        .filter(|open| open.phase == Phase::Running && open.model() != "")
        .filter(|open| now_ms >= open.last_progress_ms + STALL_MS)
        .filter(|open| !loads.contains_key(&open.upstream))
        .map(|open| (open.id, open.attempt))
        .collect();
    for (exchange, attempt) in stalled {
        effects.push(Effect::Cancel { exchange, attempt });
        release_place(state, exchange, attempt, &End::Broken);
        resume(state, exchange, effects);
    }
}

fn preempt(state: &mut State, effects: &mut Vec<Effect>) {
    if state.now_ms < state.next_preempt_ms || state.queues.is_empty() {
        return;
    }
    state.next_preempt_ms = state.now_ms + PREEMPT_INTERVAL_MS;
    let services: Vec<Name> = state.speeds.keys().cloned().collect();
    for service in services {
        let running: Vec<Running> = state
            .exchanges
            .values()
            .filter(|open| open.service == service && open.phase == Phase::Running)
            .map(|open| Running {
                id: open.id,
                rank: open.rank,
                preemptible: matches!(open.kind, Kind::Chat { .. }),
                lost_tokens: open.prompt_tokens(),
                preemptions: open.preemptions,
            })
            .collect();
        if let Some(preemption) = state.queues.preempt(state.now_ms, &service, &running) {
            give_up_place(state, preemption.victim, effects);
        }
    }
}

fn give_up_place(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    let attempt = open.attempt;
    open.preemptions += 1;
    // A preemption is not a failure and leaves the number of attempts for failures.
    open.deadline_ms = open.answer_deadline_ms(state.now_ms);
    effects.push(Effect::Cancel { exchange, attempt });
    log(
        effects,
        Level::Debug,
        Part::Admit,
        format!("request {exchange} gives up its place"),
    );
    release_place(state, exchange, attempt, &End::Cancelled);
    requeue(state, exchange, effects);
}

fn note_first(exchange: &mut Exchange, now_ms: u64, effects: &mut Vec<Effect>) {
    if exchange.first_token_ms.is_some() {
        return;
    }
    exchange.first_token_ms = Some(now_ms);
    effects.push(Effect::Record(Sample::FirstToken {
        tenant: exchange.tenant.clone(),
        rank: exchange.rank_name.clone(),
        elapsed_ms: now_ms - exchange.arrived_ms,
    }));
}

// What was refused was asked for all the same, and a change of roles might have served it.
fn note_refused_demand(state: &mut State, exchange: &Exchange) {
    if let Kind::Chat { prompt_tokens, .. } = exchange.kind {
        let output_tokens = exchange.output_to_come(expected_output(&state.table, exchange));
        let demand = state.demand.entry(exchange.service.clone()).or_default();
        demand.0 += u64::from(prompt_tokens);
        demand.1 += u64::from(output_tokens);
    }
}

fn record_refusal(exchange: &Exchange, refusal: &Refusal, effects: &mut Vec<Effect>) {
    effects.push(Effect::Record(Sample::Refused {
        tenant: exchange.tenant.clone(),
        rank: exchange.rank_name.clone(),
        reason: refusal.reason(),
    }));
}

fn refuse(exchange: ExchangeId, refusal: Refusal) -> Effect {
    Effect::Refuse { exchange, refusal }
}

fn from_admission(refusal: admit::Refusal) -> Refusal {
    match refusal {
        admit::Refusal::RateLimited { retry_after_ms }
        | admit::Refusal::Displaced { retry_after_ms } => Refusal::OverLimit { retry_after_ms },
        admit::Refusal::QueueFull { retry_after_ms } => Refusal::NoCapacity { retry_after_ms },
        admit::Refusal::TooLate { .. } => Refusal::TooLate {
            retry_after_ms: RETRY_AFTER_MS,
        },
        admit::Refusal::Expired => Refusal::TimedOutWaiting,
    }
}

fn route_report(report: LoadReport) -> route::LoadReport {
    route::LoadReport {
        age_ms: report.age_ms,
        running: report.running,
        waiting: report.waiting,
        prompt_tokens_waiting: report.prompt_tokens_waiting,
        output_tokens_running: report.output_tokens_running,
        kv_chunks_used: report.kv_chunks_used,
        kv_chunks_total: report.kv_chunks_total,
        role: report.role.unwrap_or_default(),
        models: report.models,
    }
}
