//! Whole answers: their record in the ledger, their delivery and their samples.

use fleet::Command;
use ledger::{Answer, Finish, Outcome};

use crate::arrival::RETRY_AFTER_MS;
use crate::attempt::{current, end_attempt, requeue};
use crate::dispatch::attempt_id;
use crate::effect::{Effect, Refusal, Sample};
use crate::event::ExchangeId;
use crate::exchange::{Kind, Phase};
use crate::proposer::Purpose;
use crate::state::State;

/// Time for which the outcome of an attempt is proposed, in milliseconds.
const FINISH_TIMEOUT_MS: u64 = 30_000;

/// Time for which an answer is held back until the ledger has recorded it, in milliseconds.
const RECORD_WAIT_MS: u64 = 2_000;

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

// A non-idempotent answer is recorded before it is delivered: if this process dies right after the
// delivery fails, a repeat is answered from the record and not told that the request may have run.
pub(crate) fn complete(
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
pub(crate) fn deliver_unrecorded(state: &mut State, effects: &mut Vec<Effect>) {
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

/// Proposes the outcome of a non-idempotent attempt to the ledger.
pub(crate) fn record_outcome(state: &mut State, exchange: ExchangeId, outcome: Outcome) {
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
