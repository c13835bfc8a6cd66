//! Progress, ends and retries of attempts.

use fleet::CommandReply;
use ledger::{BeginReply, Outcome};

use crate::arrival::{RETRY_AFTER_MS, from_admission, record_refusal, refuse, waiting};
use crate::dispatch::{dispatch, end_prefill, release_place, route_id};
use crate::effect::{Effect, Refusal, Sample};
use crate::event::{End, ExchangeId};
use crate::exchange::{Exchange, Kind, MAX_ATTEMPTS, Phase};
use crate::outcome::{complete, record_outcome};
use crate::state::State;

/// Time without progress after which an answer from an engine that reports no load is resumed
/// elsewhere, in milliseconds. A live engine reports its load even while it generates nothing.
const STALL_MS: u64 = 3_000;

/// Returns an exchange whose current attempt is `attempt`.
pub(crate) fn current(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
) -> Option<&mut Exchange> {
    state
        .exchanges
        .get_mut(&exchange)
        .filter(|open| open.attempt == attempt)
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

/// Puts an exchange back into its queue for another attempt.
pub(crate) fn requeue(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
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

/// Ends an exchange that leaves the queue without having been dispatched again.
pub(crate) fn end_queued(
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

/// Ends an exchange with a refusal and gives its place up.
pub(crate) fn end_attempt(
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

// A frozen or cut-off engine keeps its connections open. It is recognised by its load reports.
pub(crate) fn resume_stalled(state: &mut State, effects: &mut Vec<Effect>) {
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
