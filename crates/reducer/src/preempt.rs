//! Preemption of less urgent work by cancelling it and resuming it later.

use admit::RunningRequest;
use conf::Name;

use crate::attempt::requeue;
use crate::dispatch::release_place;
use crate::effect::{Effect, Level, Part};
use crate::event::{End, ExchangeId};
use crate::exchange::{Kind, Phase};
use crate::state::{State, log};

/// Interval at which running requests are considered for preemption, in milliseconds.
const PREEMPT_INTERVAL_MS: u64 = 50;

/// Gives the place of a running request to a more urgent one whose deadline that saves.
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
            .filter(|open| open.service == service && open.phase == Phase::Running)
            .map(|open| RunningRequest {
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
    // An admitted request is not refused because its target passes while it waits again.
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
