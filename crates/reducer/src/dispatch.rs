//! Dispatch of waiting requests to upstreams, and the slots that attempts hold there.
//!
//! A slot is the capacity that the routing table reserves at an upstream for one attempt.

use conf::Name;
use conf::settings::Queueing;
use fleet::Command;
use ledger::AttemptId;
use route::{ExchangeEstimate, ExchangeFailure, RoutingRequest};

use crate::arrival::{caller_refusal, expected_output};
use crate::attempt::refuse_queued;
use crate::crash;
use crate::effect::{Effect, Prefill, Sample};
use crate::event::{End, ExchangeId};
use crate::exchange::{Exchange, Phase, ResolvedRequest};
use crate::proposer::Purpose;
use crate::state::State;

/// Bit that is added to an attempt's number in the id of its prefill slot.
const PREFILL_BIT: u32 = 1 << 31;

/// Dispatches waiting requests while upstreams have free slots.
pub(crate) fn dispatch_waiting(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    for refused in state.queues.expire(now_ms) {
        refuse_queued(
            state,
            refused.request.id,
            caller_refusal(refused.refusal),
            effects,
        );
    }
    loop {
        let mut choice = None;
        let (exchanges, routing_table) = (&state.exchanges, &mut state.routing_table);
        let zone = &state.settings.instance.availability_zone;
        let policy = state.policy;
        let next = state.queues.next(now_ms, |waiting| {
            let Some(exchange) = exchanges.get(&waiting.id) else {
                return false;
            };
            let expected = expected_output(routing_table, exchange);
            let request = routing_request(exchange, expected, zone);
            choice = routing_table.choose(now_ms, &request, policy);
            choice.is_some()
        });
        let (Some(waiting), Some(choice)) = (next, choice) else {
            break;
        };
        if !crash::refuse_if_blocked(state, waiting.id, effects) {
            reserve_slot(state, waiting.id, &choice, effects);
        }
    }
}

/// Reserves a slot at the chosen upstream for the next attempt of an exchange.
///
/// The slot is reserved before the ledger is asked for the right to run, so that two requests do not wait for the same
/// slot.
fn reserve_slot(
    state: &mut State,
    exchange: ExchangeId,
    choice: &route::Choice,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    let expected_tokens = expected_output(&state.routing_table, open_exchange);
    open_exchange.attempt += 1;
    open_exchange.upstream = choice.upstream.clone();
    open_exchange.send_deadline_ms = match open_exchange.at_most_once() {
        Some(_) => now_ms + state.settings.timing.begin_timeout_ms,
        None => open_exchange.answer_deadline_ms(now_ms),
    };
    // Engines transfer only whole chunks of KV cache, so a prompt shorter than one chunk is computed by the engine that
    // generates the output.
    open_exchange.prefill_upstream = choice
        .prefill_upstream
        .clone()
        .filter(|_| !open_exchange.chunk_hashes().is_empty());
    let estimate = ExchangeEstimate {
        client_account: open_exchange.client_account.clone(),
        model: open_exchange.model(),
        prompt_tokens: open_exchange
            .prompt_tokens()
            .saturating_sub(choice.cached_tokens),
        output_tokens: open_exchange.remaining_output_tokens(expected_tokens),
        chunk_hashes: open_exchange.chunk_hashes(),
        total_ms: choice.total_ms,
    };
    let attempt = open_exchange.attempt;
    if attempt == 1 && !estimate.model.is_empty() {
        let demand = state
            .demand
            .entry(open_exchange.service.clone())
            .or_default();
        demand.0 += u64::from(estimate.prompt_tokens);
        demand.1 += u64::from(estimate.output_tokens);
    }
    let id = slot_id(exchange, attempt);
    match &open_exchange.prefill_upstream {
        None => state
            .routing_table
            .on_dispatch(now_ms, id, &choice.upstream, &estimate),
        Some(prefill_upstream) => {
            let (prefill, decode) = split_estimate(estimate);
            let prefill_slot_id = prefill_slot_id(exchange, attempt);
            state
                .routing_table
                .on_dispatch(now_ms, prefill_slot_id, prefill_upstream, &prefill);
            state
                .routing_table
                .on_dispatch(now_ms, id, &choice.upstream, &decode);
        }
    }
    if attempt == 1 {
        let elapsed_ms = now_ms - open_exchange.arrived_ms;
        let (client_account, rank) = (
            open_exchange.client_account.clone(),
            open_exchange.rank_name.clone(),
        );
        effects.push(Effect::Record(Sample::Queued {
            client_account,
            rank,
            elapsed_ms,
        }));
    } else {
        let upstream = choice.upstream.clone();
        effects.push(Effect::Record(Sample::Retried { upstream }));
    }
    match open_exchange.at_most_once() {
        None => dispatch(state, exchange, effects),
        Some(_) => propose_begin(state, exchange),
    }
}

/// Returns the id of an attempt's slot in the routing table.
pub(crate) fn slot_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    route::ExchangeId {
        request: exchange,
        attempt,
    }
}

/// Returns the id of the separate slot that an attempt's prefill on another engine holds in the routing table.
fn prefill_slot_id(exchange: ExchangeId, attempt: u32) -> route::ExchangeId {
    slot_id(exchange, attempt | PREFILL_BIT)
}

/// Splits the estimate of an attempt into the parts of the prefill engine and of the decode engine.
fn split_estimate(estimate: ExchangeEstimate) -> (ExchangeEstimate, ExchangeEstimate) {
    let prefill = ExchangeEstimate {
        output_tokens: 0,
        ..estimate.clone()
    };
    let decode = ExchangeEstimate {
        prompt_tokens: 0,
        ..estimate
    };
    (prefill, decode)
}

/// Releases the slot of an attempt's prefill on another engine.
pub(crate) fn release_prefill_slot(state: &mut State, exchange: ExchangeId, attempt: u32) {
    let id = prefill_slot_id(exchange, attempt);
    state
        .routing_table
        .on_finish(state.now_ms, id, route::ExchangeEnd::Cancelled);
}

fn routing_request(exchange: &Exchange, expected_tokens: u32, zone: &Name) -> RoutingRequest {
    RoutingRequest {
        service: exchange.service.clone(),
        model: exchange.model(),
        prompt_tokens: exchange.prompt_tokens(),
        chunk_hashes: exchange.chunk_hashes(),
        output_tokens: exchange.remaining_output_tokens(expected_tokens),
        rank: exchange.rank,
        deadline_ms: exchange.deadline_ms,
        first_token_deadline_ms: exchange.first_token_deadline_ms(),
        exclude: exchange.excluded.clone(),
        availability_zone: zone.clone(),
    }
}

fn propose_begin(state: &mut State, exchange: ExchangeId) {
    let begin_timeout_ms = state.settings.timing.begin_timeout_ms;
    state.last_ledger_sequence += 1;
    let attempt_id = attempt_id(state, state.last_ledger_sequence);
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open_exchange.phase = Phase::Beginning;
    open_exchange.ledger_sequence = attempt_id.sequence;
    let attempt = open_exchange.attempt;
    if let Some(begin) = open_exchange.begin(attempt_id, begin_timeout_ms) {
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

/// Dispatches the current attempt to its upstream.
pub(crate) fn dispatch(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open_exchange.phase = Phase::Running;
    open_exchange.last_progress_ms = now_ms;
    open_exchange.generating_since_ms = None;
    // Engines schedule by priority, so a single queue, which ignores ranks, must send every request with the same
    // priority.
    let priority = match state.settings.decisions.queueing {
        Queueing::Ranked => open_exchange.rank,
        Queueing::SingleQueue => 0,
    };
    let address = state
        .read_timers
        .address_of(&open_exchange.upstream)
        .cloned();
    let prefill = open_exchange.prefill_upstream.clone().and_then(|upstream| {
        let address = state.read_timers.address_of(&upstream).cloned()?;
        Some(Prefill { upstream, address })
    });
    effects.push(Effect::Dispatch {
        exchange,
        attempt: open_exchange.attempt,
        upstream: open_exchange.upstream.clone(),
        address: address.unwrap_or_default(),
        prefill,
        priority,
        send_deadline_ms: open_exchange.send_deadline_ms,
        answer_deadline_ms: open_exchange.answer_deadline_ms(now_ms),
    });
}

/// Releases the slot of an attempt in the routing table and settles the attempt's charge in the rank queues.
pub(crate) fn release_slot(state: &mut State, exchange: ExchangeId, attempt: u32, end: &End) {
    let now_ms = state.now_ms;
    let id = slot_id(exchange, attempt);
    release_prefill_slot(state, exchange, attempt);
    let open_exchange = state.exchanges.get(&exchange);
    let output_tokens = open_exchange.map_or(0, |open_exchange| open_exchange.output_tokens);
    match end {
        End::Complete { .. } => {
            let end = route::ExchangeEnd::Complete { output_tokens };
            state.routing_table.on_finish(now_ms, id, end);
        }
        End::Rejected | End::Cancelled => {
            state
                .routing_table
                .on_finish(now_ms, id, route::ExchangeEnd::Cancelled);
        }
        End::NotSent => state
            .routing_table
            .on_failure(now_ms, id, ExchangeFailure::Connect),
        End::Broken => state
            .routing_table
            .on_failure(now_ms, id, ExchangeFailure::Broken),
    }
    // The rank queues identify a request by its id only. If an earlier attempt, for example a preempted one, ends late,
    // it must not settle the charge for the current attempt.
    let Some(open_exchange) =
        open_exchange.filter(|open_exchange| open_exchange.attempt == attempt)
    else {
        return;
    };
    let tokens = match &open_exchange.request {
        ResolvedRequest::Chat { prompt_tokens, .. } => prompt_tokens.saturating_add(output_tokens),
        ResolvedRequest::Plain { .. } => 1,
    };
    state.queues.on_finish(now_ms, exchange, tokens);
}
