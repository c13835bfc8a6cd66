//! Prompts under which engines crash: what this instance observes, and what it refuses.

use conf::Name;
use fleet::PeerMessage;
use quarantine::{Admission, Update, engine_key};

use crate::attempt::refuse_queued;
use crate::effect::{Component, Effect, Level, Refusal};
use crate::event::ExchangeId;
use crate::exchange::Exchange;
use crate::state::{State, log};

/// Adds what this instance has observed to its report to the leader.
pub(crate) fn add_to_report(state: &mut State, message: &mut PeerMessage) {
    if let PeerMessage::Report(report) = message {
        report.quarantine = state.suspects.report(state.now_ms);
    }
}

/// Applies the leader's verdicts.
pub(crate) fn on_update(state: &mut State, update: &Update, effects: &mut Vec<Effect>) {
    for verdict in state.suspects.on_update(state.now_ms, update) {
        let action = match verdict.is_blocked {
            true => "blocked",
            false => "no longer blocked",
        };
        let text = format!(
            "prompts with part {:016x} are {action}: {} engines crashed, {} trials, next one in {} ms",
            verdict.part, verdict.crashes, verdict.trials, verdict.retry_in_ms
        );
        log(effects, Level::Warn, Component::Route, text);
    }
}

/// Decides whether a request may be sent to an engine, and returns the refusal if it may not.
pub(crate) fn admit(state: &mut State, exchange: &mut Exchange) -> Option<Refusal> {
    if exchange.is_trial {
        return None;
    }
    match state.suspects.admit(state.now_ms, exchange.chunk_hashes()) {
        Admission::Free => None,
        Admission::Trial { .. } => {
            exchange.is_trial = true;
            None
        }
        Admission::Blocked { retry_in_ms, .. } => Some(Refusal::Quarantined {
            retry_after_ms: retry_in_ms,
        }),
    }
}

/// Refuses a queued request if a part of its prompt has been blocked since it arrived. Returns whether it was refused.
pub(crate) fn refuse_if_blocked(
    state: &mut State,
    exchange: ExchangeId,
    effects: &mut Vec<Effect>,
) -> bool {
    let Some(mut open_exchange) = state.exchanges.remove(&exchange) else {
        return false;
    };
    let refusal = admit(state, &mut open_exchange);
    state.exchanges.insert(exchange, open_exchange);
    let Some(refusal) = refusal else {
        return false;
    };
    state.queues.on_finish(state.now_ms, exchange, 0);
    refuse_queued(state, exchange, refusal, effects);
    true
}

/// Returns whether a part of an open request's prompt is blocked, so that the request is not sent again.
pub(crate) fn is_blocked(state: &State, exchange: &Exchange) -> bool {
    let verdicts = state.suspects.verdicts();
    verdicts.blocked_part(exchange.chunk_hashes()).is_some()
}

/// Records a broken attempt as a possible crash of its engine under the request.
pub(crate) fn on_broken(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get(&exchange) else {
        return;
    };
    let upstream = open_exchange.upstream.clone();
    let address = state.read_timers.address_of(&upstream).cloned();
    let (Some(address), false) = (address, open_exchange.chunk_hashes().is_empty()) else {
        return;
    };
    let must_check = state.suspects.on_broken(
        state.now_ms,
        engine_key(&upstream),
        open_exchange.chunk_hashes(),
        open_exchange.generating_since_ms,
    );
    if must_check {
        effects.push(Effect::CheckUpstream { upstream, address });
    }
}

/// Handles the result of a check.
pub(crate) fn on_checked(
    state: &mut State,
    upstream: &Name,
    has_crashed: bool,
    effects: &mut Vec<Effect>,
) {
    let key = engine_key(upstream);
    if let Some(suspects) = state.suspects.on_checked(state.now_ms, key, has_crashed) {
        let text =
            format!("engine {upstream} has crashed under one of {suspects} parts of prompts");
        log(effects, Level::Warn, Component::Route, text);
    }
}

/// Records that an engine generates from the prompt of a request.
pub(crate) fn on_generating(state: &mut State, exchange: ExchangeId, is_complete: bool) {
    if !state.suspects.needs_sound_reports() {
        return;
    }
    let Some(open_exchange) = state.exchanges.get(&exchange) else {
        return;
    };
    if let Some(began_ms) = open_exchange.generating_since_ms {
        let parts = open_exchange.chunk_hashes();
        state
            .suspects
            .on_generating(state.now_ms, parts, began_ms, is_complete);
    }
}
