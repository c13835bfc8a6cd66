//! Choice of an upstream for what waits, and the place that an attempt holds there.

use conf::Name;
use conf::settings::Queueing;
use fleet::Command;
use ledger::AttemptId;
use route::{ExchangeEstimate, ExchangeFailure, RoutingRequest as RouteWork};

use crate::arrival::{expected_output, from_admission};
use crate::attempt::end_queued;
use crate::effect::{Effect, Prefill, Sample};
use crate::event::{End, ExchangeId};
use crate::exchange::{Exchange, Kind, Phase};
use crate::proposer::Purpose;
use crate::state::State;

/// Bit of an attempt's number that marks its prompt stage on another engine.
const PREFILL_STAGE: u32 = 1 << 31;

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
    let whole = ExchangeEstimate {
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

/// Returns the routing table's id of an attempt.
pub(crate) fn route_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    route::ExchangeId {
        request: exchange,
        attempt,
    }
}

// The prompt stage of an attempt is accounted for at its engine under an id of its own.
fn prefill_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    route_id(exchange, attempt | PREFILL_STAGE)
}

fn split(whole: ExchangeEstimate) -> (ExchangeEstimate, ExchangeEstimate) {
    let prefill = ExchangeEstimate {
        output_tokens: 0,
        ..whole.clone()
    };
    let decode = ExchangeEstimate {
        prompt_tokens: 0,
        ..whole
    };
    (prefill, decode)
}

/// Notes that the prompt stage of an attempt has ended.
pub(crate) fn end_prefill(state: &mut State, exchange: ExchangeId, attempt: u32) {
    let id = prefill_id(exchange, attempt);
    state
        .table
        .on_finish(state.now_ms, id, route::ExchangeEnd::Cancelled);
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

/// Returns the ledger's id of an attempt of this process.
pub(crate) fn attempt_id(state: &State, sequence: u64) -> AttemptId {
    AttemptId {
        instance: state.id().clone(),
        incarnation: state.incarnation,
        sequence,
    }
}

/// Sends the current attempt to its upstream.
pub(crate) fn dispatch(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
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
pub(crate) fn release_place(state: &mut State, exchange: ExchangeId, attempt: u32, end: &End) {
    let now_ms = state.now_ms;
    let id = route_id(exchange, attempt);
    end_prefill(state, exchange, attempt);
    let open = state.exchanges.get(&exchange);
    let output_tokens = open.map_or(0, |open| open.output_tokens);
    match end {
        End::Complete { .. } => {
            let end = route::ExchangeEnd::Complete { output_tokens };
            state.table.on_finish(now_ms, id, end);
        }
        End::Rejected | End::Cancelled => {
            state
                .table
                .on_finish(now_ms, id, route::ExchangeEnd::Cancelled);
        }
        End::NotSent => state.table.on_failure(now_ms, id, ExchangeFailure::Connect),
        End::Broken => state.table.on_failure(now_ms, id, ExchangeFailure::Broken),
    }
    // The queues know a request by its id alone. The late end of an earlier attempt, for example of a
    // preempted one, must not settle what its rank is charged for the present attempt.
    let Some(open) = open.filter(|open| open.attempt == attempt) else {
        return;
    };
    let tokens = match &open.kind {
        Kind::Chat { prompt_tokens, .. } => prompt_tokens.saturating_add(output_tokens),
        Kind::Plain { .. } => 1,
    };
    state.queues.on_finish(now_ms, exchange, tokens);
}
