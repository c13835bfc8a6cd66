//! Outcomes of attempts in the ledger, and the completion of exchanges: delivery and samples for the metrics.

use fleet::Command;
use ledger::{Answer, Finish, Outcome};

use crate::arrival::RETRY_AFTER_MS;
use crate::attempt::{end_refused, find_by_attempt, requeue};
use crate::dispatch::attempt_id;
use crate::effect::{Effect, Refusal, Sample};
use crate::event::ExchangeId;
use crate::exchange::{Phase, ResolvedRequest};
use crate::proposer::Purpose;
use crate::state::State;

/// Time after which an unconfirmed proposal of an attempt's outcome is dropped, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 30_000;

/// Longest time for which an answer is held back until the ledger has recorded it, in milliseconds.
const RECORD_WAIT_MS: u64 = 2_000;

/// Continues an exchange after the outcome of its attempt was recorded, or after the proposal was dropped.
pub(crate) fn on_finish_recorded(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    is_recorded: bool,
    effects: &mut Vec<Effect>,
) {
    let Some(open_exchange) = find_by_attempt(state, exchange, attempt) else {
        return;
    };
    match open_exchange.phase {
        Phase::Recording => deliver(state, exchange, effects),
        Phase::Closing if is_recorded => requeue(state, exchange, effects),
        Phase::Closing => {
            let retry_after_ms = RETRY_AFTER_MS;
            let refusal = Refusal::LedgerUnavailable { retry_after_ms };
            end_refused(state, exchange, attempt, refusal, effects);
        }
        Phase::Queued | Phase::Beginning | Phase::Running => {}
    }
}

/// Completes an exchange whose whole answer was read.
///
/// The answer to a non-idempotent request is recorded before it is delivered. If the delivery fails and the process
/// then crashes, a repeated request is answered from the record instead of being refused because it may have run.
pub(crate) fn complete(
    state: &mut State,
    exchange: ExchangeId,
    answer: Option<Answer>,
    effects: &mut Vec<Effect>,
) {
    let outcome = Outcome::Answered(answer.unwrap_or_default());
    record_outcome(state, exchange, outcome);
    let now_ms = state.now_ms;
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open_exchange.at_most_once().is_some() {
        open_exchange.phase = Phase::Recording;
        open_exchange.last_progress_ms = now_ms;
        return;
    }
    finish(state, exchange, effects);
}

/// Delivers the answers that the ledger has not recorded within [`RECORD_WAIT_MS`]. An answer is not held back for
/// longer than a leader election takes.
pub(crate) fn deliver_unrecorded(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let unrecorded: Vec<ExchangeId> = state
        .exchanges
        .values()
        .filter(|exchange| exchange.phase == Phase::Recording)
        .filter(|exchange| now_ms >= exchange.last_progress_ms + RECORD_WAIT_MS)
        .map(|exchange| exchange.id)
        .collect();
    for exchange in unrecorded {
        deliver(state, exchange, effects);
    }
}

fn deliver(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    effects.push(Effect::Deliver { exchange });
    finish(state, exchange, effects);
}

fn finish(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(open_exchange) = state.exchanges.remove(&exchange) else {
        return;
    };
    let (client_account, rank) = (
        open_exchange.client_account.clone(),
        open_exchange.rank_name.clone(),
    );
    if let Some(elapsed_ms) = open_exchange.between_tokens_ms(now_ms) {
        effects.push(Effect::Record(Sample::BetweenTokens {
            client_account: client_account.clone(),
            rank: rank.clone(),
            elapsed_ms,
        }));
    }
    effects.push(Effect::Record(Sample::Total {
        client_account: client_account.clone(),
        rank: rank.clone(),
        elapsed_ms: now_ms - open_exchange.arrived_ms,
        in_target: open_exchange.is_in_target(now_ms),
    }));
    if let ResolvedRequest::Chat { prompt_tokens, .. } = open_exchange.request {
        effects.push(Effect::Record(Sample::Tokens {
            client_account,
            rank,
            prompt_tokens,
            output_tokens: open_exchange.output_tokens,
        }));
    }
}

/// Proposes the outcome of the current attempt to the ledger if the request is non-idempotent.
pub(crate) fn record_outcome(state: &mut State, exchange: ExchangeId, outcome: Outcome) {
    let Some(open_exchange) = state.exchanges.get(&exchange) else {
        return;
    };
    let Some(at_most_once) = open_exchange.at_most_once() else {
        return;
    };
    let finish = Finish {
        key: at_most_once.key.clone(),
        attempt: attempt_id(state, open_exchange.ledger_sequence),
        outcome,
    };
    let purpose = Purpose::Finish {
        exchange,
        attempt: open_exchange.attempt,
    };
    let now_ms = state.now_ms;
    state
        .proposer
        .propose(now_ms, Command::Finish(finish), purpose, FINISH_TIMEOUT_MS);
}
