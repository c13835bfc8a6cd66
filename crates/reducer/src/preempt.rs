//! Preemption of less urgent requests, which are cancelled and resumed later.

use admit::RunningRequest;
use conf::Name;

use crate::attempt::requeue;
use crate::dispatch::release_slot;
use crate::effect::{Component, Effect, Level};
use crate::event::{End, ExchangeId};
use crate::exchange::{Phase, ResolvedRequest};
use crate::state::{State, log};

/// Interval of the checks whether a running request should be preempted, in milliseconds.
const PREEMPT_INTERVAL_MS: u64 = 50;

/// Preempts running requests whose slots let more urgent requests meet their deadlines.
pub(crate) fn preempt(state: &mut State, effects: &mut Vec<Effect>) {
    if state.now_ms < state.next_preempt_ms || state.queues.is_empty() {
        return;
    }
    state.next_preempt_ms = state.now_ms + PREEMPT_INTERVAL_MS;
    let services: Vec<Name> = state.speeds.keys().cloned().collect();
    for service in services {
        let running: Vec<RunningRequest> = state
            .exchanges
            .values()
            .filter(|exchange| exchange.service == service && exchange.phase == Phase::Running)
            .map(|exchange| RunningRequest {
                id: exchange.id,
                rank: exchange.rank,
                preemptible: matches!(exchange.request, ResolvedRequest::Chat { .. }),
                lost_tokens: exchange.prompt_tokens(),
                preemptions: exchange.preemptions,
            })
            .collect();
        if let Some(preemption) = state.queues.preempt(state.now_ms, &service, &running) {
            preempt_exchange(state, preemption.victim_id, effects);
        }
    }
}

fn preempt_exchange(state: &mut State, exchange: ExchangeId, effects: &mut Vec<Effect>) {
    let Some(open_exchange) = state.exchanges.get_mut(&exchange) else {
        return;
    };
    let attempt = open_exchange.attempt;
    open_exchange.preemptions += 1;
    // The deadline is extended, so that an admitted request is not refused when its target passes while it waits again.
    open_exchange.deadline_ms = open_exchange.answer_deadline_ms(state.now_ms);
    effects.push(Effect::Cancel { exchange, attempt });
    log(
        effects,
        Level::Debug,
        Component::Admit,
        format!("request {exchange} is preempted"),
    );
    release_slot(state, exchange, attempt, &End::Cancelled);
    requeue(state, exchange, effects);
}
