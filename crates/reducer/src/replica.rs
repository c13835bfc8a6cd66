//! The instance's own replica of the log, the entries that it applies, and proposals to the leader.

use conf::Name;
use fleet::{CommandReply, ConfigureReply, PeerMessage, Proposal, ProposalId, ProposeReply};
use quorum::Input;

use crate::effect::{Component, Effect, Level, Sample};
use crate::leader::Leadership;
use crate::membership::bring_into_force;
use crate::proposer::{Purpose, Settled};
use crate::replication::Action;
use crate::state::{State, log};
use crate::{admin, attempt, outcome};

/// Tells the replica the time, so that a leader that was partitioned or suspended steps down before it decides
/// anything.
pub(crate) fn tick_replica(state: &mut State, effects: &mut Vec<Effect>) {
    if state.replication.is_some() {
        step_replica(state, Input::Tick, effects);
    }
}

/// Passes an input to the instance's own replica and handles the resulting actions.
pub(crate) fn step_replica(state: &mut State, input: Input, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(replication) = &mut state.replication else {
        return;
    };
    let actions = replication.step(now_ms, input);
    handle_actions(state, actions, effects);
}

/// Passes a message of the replicated log to the instance's own replica if the message is addressed to it.
pub(crate) fn on_quorum(
    state: &mut State,
    from: quorum::ReplicaId,
    to: &quorum::ReplicaId,
    message: quorum::Message,
    effects: &mut Vec<Effect>,
) {
    let Some(replication) = &state.replication else {
        return;
    };
    // Storage id 0 addresses whichever replica runs on the instance.
    let is_addressed =
        to == replication.id() || (to.instance == replication.id().instance && to.storage_id == 0);
    if is_addressed {
        step_replica(state, Input::Receive { from, message }, effects);
    }
}

fn handle_actions(state: &mut State, actions: Vec<Action>, effects: &mut Vec<Effect>) {
    for action in actions {
        match action {
            Action::Persist { ticket, write } => effects.push(Effect::Persist { ticket, write }),
            Action::Send { to, message } => send_quorum(state, to, message, effects),
            Action::Applied {
                proposal,
                reply,
                origin,
            } => on_applied(state, &proposal, &reply, origin, effects),
            Action::Refused { id, origin, leader } => {
                let reply = ProposeReply::NotLeader { leader };
                if let Some(origin) = origin {
                    state.send(origin, PeerMessage::ProposeReply { id, reply }, effects);
                }
            }
            Action::Restored => adopt_committed_config(state, effects),
            Action::LeaderChanged { term, leader } => {
                on_leader_changed(state, term, leader, effects);
            }
            Action::Undecodable { index } => {
                let text = format!("this version cannot encode or decode log entry {index}");
                log(effects, Level::Error, Component::Quorum, text);
            }
        }
    }
}

fn send_quorum(
    state: &mut State,
    to: quorum::ReplicaId,
    message: quorum::Message,
    effects: &mut Vec<Effect>,
) {
    let Some(replication) = &state.replication else {
        return;
    };
    let from = replication.id().clone();
    let instance = to.instance.clone();
    let message = PeerMessage::Quorum { from, to, message };
    state.send(instance, message, effects);
}

fn on_applied(
    state: &mut State,
    proposal: &Proposal,
    reply: &CommandReply,
    origin: Option<Name>,
    effects: &mut Vec<Effect>,
) {
    if let CommandReply::Configure(ConfigureReply::Accepted { .. }) = reply {
        adopt_committed_config(state, effects);
    }
    if let Some(settled) = state.proposer.on_reply(&proposal.id, reply) {
        on_settled(state, settled, effects);
    }
    if let Some(origin) = origin
        && origin != *state.id()
    {
        let message = PeerMessage::ProposeReply {
            id: proposal.id.clone(),
            reply: ProposeReply::Applied(reply.clone()),
        };
        state.send(origin, message, effects);
    }
}

/// Brings the configuration in the replica's control state into force. It is committed, because only committed entries
/// are applied.
fn adopt_committed_config(state: &mut State, effects: &mut Vec<Effect>) {
    let Some(replication) = &state.replication else {
        return;
    };
    let Some(config) = replication.control().current_config().cloned() else {
        return;
    };
    if state.leader_client.on_revision(state.now_ms, &config) {
        bring_into_force(state, effects);
    }
}

fn on_leader_changed(
    state: &mut State,
    term: u64,
    leader: Option<Name>,
    effects: &mut Vec<Effect>,
) {
    let text = match &leader {
        Some(leader) => format!("instance {leader} leads in term {term}"),
        None => format!("no leader is known in term {term}"),
    };
    log(effects, Level::Info, Component::Quorum, text);
    if leader.as_ref() != Some(state.id()) {
        state.leadership = None;
    } else if state.leadership.as_ref().is_none_or(|l| l.term() != term) {
        let lease_ms = state.settings.timing.config_lease_ms;
        let planning = state.settings.decisions.planning;
        state.leadership = Some(Leadership::new(state.now_ms, term, lease_ms, planning));
    }
    state.leader_client.set_leader(leader);
    state.leader_client.report_at_next_tick(state.now_ms);
    state.proposer.make_all_due(state.now_ms);
}

/// Sends a proposal to the leader, or to all voters if none is known.
pub(crate) fn submit(state: &mut State, proposal: Proposal, effects: &mut Vec<Effect>) {
    match state.leader_client.leader().cloned() {
        Some(leader) if leader == *state.id() => {
            let id = state.id().clone();
            append(state, id, &proposal, effects);
        }
        Some(leader) => state.send(leader, PeerMessage::Propose(proposal), effects),
        None => {
            for voter in state.settings.voters.clone() {
                state.send(voter.id, PeerMessage::Propose(proposal.clone()), effects);
            }
        }
    }
}

/// Appends a proposal of instance `from` to the log.
pub(crate) fn on_propose(
    state: &mut State,
    from: Name,
    proposal: Proposal,
    effects: &mut Vec<Effect>,
) {
    append(state, from, &proposal, effects);
}

fn append(state: &mut State, origin: Name, proposal: &Proposal, effects: &mut Vec<Effect>) {
    let (now_ms, unix_ms) = (state.now_ms, state.unix_ms);
    let Some(replication) = &mut state.replication else {
        return;
    };
    let actions = replication.propose(now_ms, unix_ms, origin, proposal);
    handle_actions(state, actions, effects);
}

/// Handles the reply to a proposal.
pub(crate) fn on_propose_reply(
    state: &mut State,
    id: &ProposalId,
    reply: ProposeReply,
    effects: &mut Vec<Effect>,
) {
    match reply {
        ProposeReply::Applied(reply) => {
            if let Some(settled) = state.proposer.on_reply(id, &reply) {
                on_settled(state, settled, effects);
            }
        }
        ProposeReply::NotLeader { leader } => {
            if leader.is_some() && leader.as_ref() != state.leader_client.leader() {
                state.leader_client.set_leader(leader);
                state.proposer.make_all_due(state.now_ms);
            }
        }
    }
}

/// Continues the operation that a settled proposal was made for.
pub(crate) fn on_settled(state: &mut State, settled: Settled, effects: &mut Vec<Effect>) {
    if settled.reply.is_some() {
        let elapsed_ms = state.now_ms - settled.proposed_at_ms;
        effects.push(Effect::Record(Sample::Committed { elapsed_ms }));
    }
    match settled.purpose {
        Purpose::Apply { token } => admin::on_apply_settled(token, settled.reply, effects),
        Purpose::Change { token } => admin::on_change_settled(token, settled.reply, effects),
        Purpose::Begin { exchange, attempt } => {
            attempt::on_begin(state, exchange, attempt, settled.reply, effects);
        }
        Purpose::Finish { exchange, attempt } => {
            outcome::on_finish_recorded(state, exchange, attempt, settled.reply.is_some(), effects);
        }
        Purpose::Maintenance => {}
    }
}
