//! Admission and early refusal of callers' requests.

use admit::WaitingRequest;
use conf::{Map, Name, ServiceConfig};
use fleet::ServiceDemand;

use crate::crash;
use crate::effect::{Component, Effect, Level, Refusal, Sample};
use crate::event::{Arrival, ExchangeId};
use crate::exchange::{DEFAULT_OUTPUT_TOKENS, Exchange, ResolvedRequest};
use crate::state::{State, log};

/// Retry-after time sent to callers when there is no better estimate, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Estimated time in which a plain service answers, in milliseconds.
const PLAIN_ANSWER_MS: u64 = 20;

/// Speed of a service's fastest engine for one request in a full batch.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Speed {
    prefill_tokens_per_s: f64,
    decode_tokens_per_s: f64,
}

/// Computes the speed of each service from its upstreams.
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

/// Returns the position of each client account in the configuration.
pub(crate) fn account_positions(config: &ServiceConfig) -> Map<Name, usize> {
    let client_accounts = config.client_accounts.iter().enumerate();
    client_accounts
        .map(|(position, client_account)| (client_account.name.clone(), position))
        .collect()
}

/// Returns the tokens requested from each service since the process started, for the report to the leader.
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

/// Admits or refuses a caller's request.
pub(crate) fn on_arrival(state: &mut State, arrival: Arrival, effects: &mut Vec<Effect>) {
    let exchange_id = arrival.exchange;
    if let Some(refusal) = instance_refusal(state) {
        log_refusal(state, exchange_id, None, &refusal, effects);
        return effects.push(refuse(exchange_id, refusal));
    }
    let fallback_key = format!("entry:{}:{}:{exchange_id}", state.id(), state.incarnation);
    let config = state.config.clone();
    let position = state.account_positions.get(&arrival.client_account);
    let client_account = position.map(|position| &config.client_accounts[*position]);
    let fallback_key = || fallback_key.into();
    let resolved = Exchange::resolve(state.now_ms, &config, client_account, arrival, fallback_key);
    let mut exchange = match resolved {
        Ok(exchange) => exchange,
        Err(refusal) => {
            log_refusal(state, exchange_id, None, &refusal, effects);
            return effects.push(refuse(exchange_id, refusal));
        }
    };
    if let Some(refusal) = crash::admit(state, &mut exchange) {
        record_refusal(state, &exchange, &refusal, effects);
        return effects.push(refuse(exchange_id, refusal));
    }
    let waiting = waiting_request(state, &exchange, false);
    match state.queues.offer(state.now_ms, waiting) {
        Ok(()) => {
            state.exchanges.insert(exchange_id, exchange);
        }
        Err(refusal) => {
            let refusal = caller_refusal(refusal);
            add_refused_demand(state, &exchange);
            record_refusal(state, &exchange, &refusal, effects);
            effects.push(refuse(exchange_id, refusal));
        }
    }
}

fn instance_refusal(state: &State) -> Option<Refusal> {
    if state.stopping_since_ms.is_some() {
        return Some(Refusal::Stopping);
    }
    (!state.leader_client.is_ready()).then_some(Refusal::NotReady)
}

/// Returns an exchange's request as an element of the rank queues.
pub(crate) fn waiting_request(
    state: &State,
    exchange: &Exchange,
    readmitted: bool,
) -> WaitingRequest {
    let expected_tokens = expected_output(&state.routing_table, exchange);
    let output_tokens = exchange.remaining_output_tokens(expected_tokens);
    WaitingRequest {
        id: exchange.id,
        client_account: exchange.client_account.clone(),
        service: exchange.service.clone(),
        model: exchange.model(),
        rank: exchange.rank,
        tokens: exchange.prompt_tokens().saturating_add(output_tokens),
        service_ms: estimated_answer_ms(state, exchange, output_tokens),
        deadline_ms: exchange.deadline_ms,
        first_token_ms: estimated_answer_ms(state, exchange, 0),
        first_token_deadline_ms: exchange.first_token_deadline_ms(),
        readmitted,
    }
}

/// Returns the estimated time to compute an answer of `output_tokens`, in milliseconds.
fn estimated_answer_ms(state: &State, exchange: &Exchange, output_tokens: u32) -> u64 {
    if matches!(exchange.request, ResolvedRequest::Plain { .. }) {
        return PLAIN_ANSWER_MS;
    }
    let Some(speed) = state.speeds.get(&exchange.service) else {
        return 0;
    };
    let prefill_s = f64::from(exchange.prompt_tokens()) / speed.prefill_tokens_per_s.max(1.0);
    let decode_s = f64::from(output_tokens) / speed.decode_tokens_per_s.max(1.0);
    ((prefill_s + decode_s) * 1_000.0) as u64
}

/// Returns the expected length of the whole answer, in tokens.
pub(crate) fn expected_output(routing_table: &route::UpstreamTable, exchange: &Exchange) -> u32 {
    let model = exchange.model();
    let expected =
        routing_table.expected_output(&exchange.client_account, &model, exchange.output_tokens);
    match expected {
        0 => DEFAULT_OUTPUT_TOKENS,
        expected => expected,
    }
}

/// Adds a refused request to the demand, because a role change might have provided the capacity for it.
fn add_refused_demand(state: &mut State, exchange: &Exchange) {
    if let ResolvedRequest::Chat { prompt_tokens, .. } = exchange.request {
        let output_tokens =
            exchange.remaining_output_tokens(expected_output(&state.routing_table, exchange));
        let demand = state.demand.entry(exchange.service.clone()).or_default();
        demand.0 += u64::from(prompt_tokens);
        demand.1 += u64::from(output_tokens);
    }
}

/// Records a refusal in the metrics and the log.
pub(crate) fn record_refusal(
    state: &State,
    exchange: &Exchange,
    refusal: &Refusal,
    effects: &mut Vec<Effect>,
) {
    log_refusal(state, exchange.id, Some(exchange), refusal, effects);
    effects.push(Effect::Record(Sample::Refused {
        client_account: exchange.client_account.clone(),
        rank: exchange.rank_name.clone(),
        reason: refusal.reason(),
    }));
}

/// Writes a log line with the reason of a refusal and what this instance knew.
fn log_refusal(
    state: &State,
    id: ExchangeId,
    exchange: Option<&Exchange>,
    refusal: &Refusal,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let request = exchange.map_or(String::new(), |exchange| {
        format!(
            " service={} rank={} attempt={} elapsed_ms={} left_ms={}",
            exchange.service,
            exchange.rank_name,
            exchange.attempt,
            now_ms - exchange.arrived_ms,
            exchange.deadline_ms.saturating_sub(now_ms)
        )
    });
    let text = format!(
        "exchange={id} outcome=refused reason={}{request} revision={} loads={} has_current_config={}",
        refusal.reason(),
        state.leader_client.revision(),
        state.loads.len(),
        state.leader_client.is_config_current(now_ms)
    );
    log(effects, Level::Info, Component::Admit, text);
}

/// Returns the effect that refuses a request.
pub(crate) fn refuse(exchange: ExchangeId, refusal: Refusal) -> Effect {
    Effect::Refuse { exchange, refusal }
}

/// Converts a refusal by the rank queues to the refusal that the caller gets.
pub(crate) fn caller_refusal(refusal: admit::Refusal) -> Refusal {
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
