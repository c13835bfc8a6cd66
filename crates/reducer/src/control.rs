//! Control of an instance: messages from other instances, periodic tasks, stopping and readiness.

use conf::Name;
use fleet::PeerMessage;

use crate::effect::{Component, Effect, Level};
use crate::gates::{tick_leader, tick_order_sender};
use crate::membership::{bring_into_force, on_ask_config, on_report, on_report_reply};
use crate::replica::{on_propose, on_propose_reply, on_quorum, on_settled, submit};
use crate::state::{State, log};
use crate::{arrival, crash, dispatch, load};

/// Longest time for which a stopping instance waits for the release of its gates, in milliseconds.
const RELEASE_WAIT_MS: u64 = 3_000;

/// Runs the periodic control tasks: reports, leader maintenance, orders and timeouts of proposals.
pub(crate) fn tick(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let is_stopping = state.stopping_since_ms.is_some();
    let revision = state.leader_client.revision();
    let demand = &state.demand;
    let reported = || arrival::reported_demand(demand);
    for mut outgoing in state.leader_client.tick(now_ms, is_stopping, reported) {
        crash::add_to_report(state, &mut outgoing.message);
        state.send_to(outgoing.to, outgoing.address, outgoing.message, effects);
    }
    // After a restart without contact to a leader, the leader client may have taken its configuration from other
    // instances.
    if state.leader_client.revision() != revision {
        bring_into_force(state, effects);
    }
    tick_leader(state, effects);
    tick_order_sender(state, effects);
    for settled in state.proposer.expire(now_ms) {
        on_settled(state, settled, effects);
    }
}

/// Runs the tasks that follow every event: sends due proposals, dispatches requests and reports readiness and the exit.
pub(crate) fn finish_event(state: &mut State, may_dispatch: bool, effects: &mut Vec<Effect>) {
    for proposal in state.proposer.due(state.now_ms) {
        submit(state, proposal, effects);
    }
    handle_local_messages(state, effects);
    if may_dispatch {
        dispatch::dispatch_waiting(state, effects);
    }
    report_readiness(state, effects);
    exit_if_done(state, effects);
}

/// Handles the messages that this instance sent to itself.
pub(crate) fn handle_local_messages(state: &mut State, effects: &mut Vec<Effect>) {
    while let Some(message) = state.local_messages.pop_front() {
        let id = state.id().clone();
        on_message(state, id, message, effects);
    }
}

/// Handles a message from another instance or from this one.
pub(crate) fn on_message(
    state: &mut State,
    from: Name,
    message: PeerMessage,
    effects: &mut Vec<Effect>,
) {
    match message {
        PeerMessage::Quorum {
            from: sender,
            to,
            message,
        } => on_quorum(state, sender, &to, message, effects),
        PeerMessage::Propose(proposal) => on_propose(state, from, proposal, effects),
        PeerMessage::ProposeReply { id, reply } => on_propose_reply(state, &id, reply, effects),
        PeerMessage::Report(report) => on_report(state, from, &report, effects),
        PeerMessage::ReportReply(reply) => on_report_reply(state, &from, &reply, effects),
        PeerMessage::Digest(digests) => load::on_digest(state, &digests),
        PeerMessage::AskConfig { token, info } => on_ask_config(state, token, info, effects),
        PeerMessage::Config {
            config, instances, ..
        } => state.leader_client.on_config(config.as_ref(), &instances),
        // Only instances that subscribe to a platform's control state use these messages; a self-hosted instance
        // reports to the leader instead.
        PeerMessage::Watch(_) | PeerMessage::WatchReply(_) => {
            let text = format!("dropping a subscription message from instance {from}");
            log(effects, Level::Debug, Component::Fleet, text);
        }
    }
}

/// Starts a graceful stop.
pub(crate) fn on_stop(state: &mut State, effects: &mut Vec<Effect>) {
    if state.stopping_since_ms.is_some() {
        return;
    }
    state.stopping_since_ms = Some(state.now_ms);
    state.leader_client.report_at_next_tick(state.now_ms);
    let text = format!(
        "the instance is stopping with {} open exchanges",
        state.exchanges.len()
    );
    log(effects, Level::Info, Component::Fleet, text);
}

fn report_readiness(state: &mut State, effects: &mut Vec<Effect>) {
    let is_draining = state.is_draining();
    let readiness = (state.leader_client.is_ready() && !is_draining, is_draining);
    if state.readiness != Some(readiness) {
        state.readiness = Some(readiness);
        effects.push(Effect::Readiness {
            ready: readiness.0,
            draining: readiness.1,
        });
    }
}

fn exit_if_done(state: &mut State, effects: &mut Vec<Effect>) {
    let Some(since_ms) = state.stopping_since_ms else {
        return;
    };
    let waited_ms = state.now_ms - since_ms;
    let drain_timeout_ms = state.settings.timing.drain_timeout_ms;
    let is_timed_out = drain_timeout_ms > 0 && waited_ms >= drain_timeout_ms;
    let is_drained = state.exchanges.is_empty() && !state.proposer.has_open_outcomes();
    let is_released = state.order_sender.is_empty() || waited_ms >= RELEASE_WAIT_MS;
    if !state.has_exited && (is_timed_out || (is_drained && is_released)) {
        state.has_exited = true;
        log(
            effects,
            Level::Info,
            Component::Fleet,
            "the instance has stopped",
        );
        effects.push(Effect::Exit);
    }
}
