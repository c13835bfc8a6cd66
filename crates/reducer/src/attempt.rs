//! Start, progress, end and retry of attempts.

use fleet::CommandReply;
use ledger::{BeginReply, Outcome};

use crate::arrival::{RETRY_AFTER_MS, caller_refusal, record_refusal, refuse, waiting_request};
use crate::crash;
use crate::dispatch::{dispatch, release_prefill_slot, release_slot, slot_id};
use crate::effect::{Effect, Refusal, Sample};
use crate::event::{End, ExchangeId};
use crate::exchange::{Exchange, MAX_ATTEMPTS, Phase, ResolvedRequest};
use crate::outcome::{complete, record_outcome};
use crate::state::State;

/// Time without progress after which an answer is resumed at another engine if its engine does not report its load, in
/// milliseconds. A live engine reports its load even while it generates no tokens.
const STALL_TIMEOUT_MS: u64 = 3_000;

/// Returns the exchange if its current attempt is `attempt`.
pub(crate) fn find_by_attempt(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
) -> Option<&mut Exchange> {
    state
        .exchanges
        .get_mut(&exchange)
        .filter(|open_exchange| open_exchange.attempt == attempt)
}

/// Handles the start of an upstream's answer.
pub(crate) fn on_started(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(open_exchange) = find_by_attempt(state, exchange, attempt) else {
        return;
    };
    open_exchange.was_sent = true;
    if matches!(open_exchange.request, ResolvedRequest::Plain { .. }) {
        record_first_token(open_exchange, now_ms, effects);
    }
}

/// Records the output that the caller has received so far.
pub(crate) fn on_progress(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    output_tokens: u32,
    effects: &mut Vec<Effect>,
) {
    let now_ms = state.now_ms;
    let Some(open_exchange) = find_by_attempt(state, exchange, attempt) else {
        return;
    };
    open_exchange.was_sent = true;
    open_exchange.output_tokens = open_exchange.output_tokens.max(output_tokens);
    open_exchange.last_progress_ms = now_ms;
    open_exchange.generating_since_ms.get_or_insert(now_ms);
    record_first_token(open_exchange, now_ms, effects);
    crash::on_generating(state, exchange, false);
    release_prefill_slot(state, exchange, attempt);
    state
        .routing_table
        .on_progress(slot_id(exchange, attempt), output_tokens);
}

/// Handles the end of an attempt.
pub(crate) fn on_ended(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    end: End,
    effects: &mut Vec<Effect>,
) {
    let is_current = find_by_attempt(state, exchange, attempt).is_some();
    release_slot(state, exchange, attempt, &end);
    if !is_current {
        return;
    }
    match end {
        End::Complete { answer } => {
            crash::on_generating(state, exchange, true);
            complete(state, exchange, answer, effects);
        }
        End::NotSent | End::Rejected => retry_not_run(state, exchange, effects),
        End::Broken => {
            crash::on_broken(state, exchange, effects);
            resume(state, exchange, effects);
        }
        End::Cancelled => {}
    }
}

/// Cancels a request whose caller has disconnected. A non-idempotent request that has left the queue runs to its end,
/// so that its answer is recorded.
pub(crate) fn on_caller_gone(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open_exchange.is_caller_gone = true;
    if open_exchange.at_most_once().is_some() && open_exchange.phase != Phase::Queued {
        return;
    }
    let attempt = open_exchange.attempt;
    if open_exchange.phase == Phase::Running {
        effects.push(Effect::Cancel { exchange, attempt });
    }
    state.queues.cancel(exchange);
    release_slot(state, exchange, attempt, &End::Cancelled);
    state.exchanges.remove(&exchange);
}

/// Handles the ledger's reply to the `Begin` of an attempt; `reply` is `None` if the ledger was unreachable.
pub(crate) fn on_begin(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    reply: Option<CommandReply>,
    effects: &mut Vec<Effect>,
) {
    let Some(open_exchange) = find_by_attempt(state, exchange, attempt) else {
        return;
    };
    if open_exchange.phase != Phase::Beginning {
        return;
    }
    let reply = match reply {
        Some(CommandReply::Begin(reply)) => reply,
        _ => return on_ledger_unreachable(state, exchange, attempt, effects),
    };
    match reply {
        BeginReply::Granted if open_exchange.is_caller_gone => abandon(state, exchange, attempt),
        BeginReply::Granted => dispatch(state, exchange, effects),
        BeginReply::Answered(answer) => {
            release_slot(state, exchange, attempt, &End::Cancelled);
            state.exchanges.remove(&exchange);
            effects.push(Effect::Replay { exchange, answer });
        }
        BeginReply::Running => end_refused(state, exchange, attempt, Refusal::Running, effects),
        BeginReply::Unknown => end_refused(state, exchange, attempt, Refusal::MayHaveRun, effects),
        BeginReply::BodyMismatch => {
            end_refused(state, exchange, attempt, Refusal::KeyReused, effects);
        }
    }
}

/// Retries a request at another upstream after an attempt that provably did not run it.
fn retry_not_run(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open_exchange.is_caller_gone {
        let attempt = open_exchange.attempt;
        return abandon(state, exchange, attempt);
    }
    open_exchange.exclude_current();
    if open_exchange.at_most_once().is_some() {
        open_exchange.phase = Phase::Closing;
        record_outcome(state, exchange, Outcome::NotRun);
        return;
    }
    requeue(state, exchange, effects);
}

/// Gives up the right to run a request that did not run and whose caller has disconnected, and closes the exchange.
fn abandon(state: &mut State, exchange: ExchangeId, attempt: u32) {
    record_outcome(state, exchange, Outcome::NotRun);
    release_slot(state, exchange, attempt, &End::Cancelled);
    state.exchanges.remove(&exchange);
}

/// Resumes an idempotent request at another upstream after its attempt broke off or stalled. A non-idempotent request
/// is refused instead, because bytes of the request were sent.
fn resume(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    open_exchange.was_sent = true;
    let (upstream, client_account) = (
        open_exchange.upstream.clone(),
        open_exchange.client_account.clone(),
    );
    open_exchange.exclude_current();
    if open_exchange.at_most_once().is_some() {
        record_outcome(state, exchange, Outcome::Unknown);
        return refuse_exchange(state, exchange, Refusal::UpstreamFailed, effects);
    }
    // The start of a plain answer that has reached the caller cannot be continued with the answer of another attempt.
    let is_answer_started = matches!(open_exchange.request, ResolvedRequest::Plain { .. })
        && open_exchange.first_token_ms.is_some();
    let is_blocked = crash::is_blocked(state, &state.exchanges[&exchange]);
    if is_answer_started
        || is_blocked
        || !state.routing_table.take_retry(&upstream, &client_account)
    {
        return refuse_exchange(state, exchange, Refusal::UpstreamFailed, effects);
    }
    requeue(state, exchange, effects);
}

/// Queues an exchange again for another attempt, or refuses the request if it has no attempts left.
pub(crate) fn requeue(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    if open_exchange
        .attempt
        .saturating_sub(open_exchange.preemptions)
        >= MAX_ATTEMPTS
    {
        let refusal = open_exchange.attempts_exhausted_refusal();
        return refuse_exchange(state, exchange, refusal, effects);
    }
    open_exchange.phase = Phase::Queued;
    // The deadline is extended, so that a caller that has received part of an answer is not refused when the target
    // passes.
    if open_exchange.output_tokens > 0 {
        open_exchange.deadline_ms = open_exchange.answer_deadline_ms(state.now_ms);
    }
    let open_exchange = &state.exchanges[&exchange];
    let was_sent = open_exchange.was_sent;
    let waiting = waiting_request(state, open_exchange, true);
    if let Err(refusal) = state.queues.offer(state.now_ms, waiting) {
        let refusal = match was_sent {
            true => Refusal::TimedOutRunning,
            false => caller_refusal(refusal),
        };
        refuse_exchange(state, exchange, refusal, effects);
    }
}

/// Refuses the request of an exchange that leaves the queue without being dispatched.
pub(crate) fn refuse_queued(
    state: &mut State,
    exchange: ExchangeId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    let was_sent = state
        .exchanges
        .get(&exchange)
        .is_some_and(|open_exchange| open_exchange.was_sent);
    let refusal = match was_sent {
        true => Refusal::TimedOutRunning,
        false => refusal,
    };
    refuse_exchange(state, exchange, refusal, effects);
}

/// Releases the slot of an exchange and refuses its request.
pub(crate) fn end_refused(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    release_slot(state, exchange, attempt, &End::Cancelled);
    refuse_exchange(state, exchange, refusal, effects);
}

fn refuse_exchange(
    state: &mut State,
    exchange: ExchangeId,
    refusal: Refusal,
    effects: &mut Vec<Effect>,
) {
    if let Some(open_exchange) = state.exchanges.remove(&exchange) {
        record_refusal(state, &open_exchange, &refusal, effects);
        effects.push(refuse(exchange, refusal));
    }
}

/// Refuses a request as not run because the ledger is unreachable.
///
/// The attempt's `Begin` may still be committed after the refusal. The attempt therefore proposes the outcome `NotRun`,
/// so that a repeated request is not refused because it may have run.
fn on_ledger_unreachable(
    state: &mut State,
    exchange: ExchangeId,
    attempt: u32,
    effects: &mut Vec<Effect>,
) {
    record_outcome(state, exchange, Outcome::NotRun);
    let retry_after_ms = RETRY_AFTER_MS;
    let refusal = Refusal::LedgerUnavailable { retry_after_ms };
    end_refused(state, exchange, attempt, refusal, effects);
}

/// Resumes answers without progress at another engine.
///
/// A suspended or unreachable engine keeps its connections open, so it is detected by its missing load reports.
pub(crate) fn resume_stalled(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let loads = &state.loads;
    let stalled: Vec<(ExchangeId, u32)> = state
        .exchanges
        .values()
        .filter(|exchange| exchange.phase == Phase::Running && exchange.model() != "")
        .filter(|exchange| now_ms >= exchange.last_progress_ms + STALL_TIMEOUT_MS)
        .filter(|exchange| !loads.contains_key(&exchange.upstream))
        .map(|exchange| (exchange.id, exchange.attempt))
        .collect();
    for (exchange, attempt) in stalled {
        effects.push(Effect::Cancel { exchange, attempt });
        release_slot(state, exchange, attempt, &End::Broken);
        resume(state, exchange, effects);
    }
}

/// Records the first token of a chat completion, or the start of a plain service's answer, unless one was recorded.
fn record_first_token(exchange: &mut Exchange, now_ms: u64, effects: &mut Vec<Effect>) {
    if exchange.first_token_ms.is_some() {
        return;
    }
    exchange.first_token_ms = Some(now_ms);
    effects.push(Effect::Record(Sample::FirstToken {
        client_account: exchange.client_account.clone(),
        rank: exchange.rank_name.clone(),
        elapsed_ms: now_ms - exchange.arrived_ms,
    }));
}
