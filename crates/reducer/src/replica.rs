//! The replicated log: the own replica, what it applies, and proposals to the leader.

use conf::Name;
use fleet::{CommandReply, ConfigureReply, PeerMessage, Proposal, ProposalId, ProposeReply};
use quorum::Input;

use crate::effect::{Effect, Level, Part, Sample};
use crate::leader::Leadership;
use crate::membership::bring_into_force;
use crate::proposer::{Purpose, Settled};
use crate::replication::Request;
use crate::state::{State, log};
use crate::{admin, attempt, outcome};

/// Lets the replica notice the time, so that a leader that was cut off or frozen steps down first.
pub(crate) fn tick_replica(state: &mut State, effects: &mut Vec<Effect>) {
    if state.replication.is_some() {
        input(state, Input::Tick, effects);
    }
}

/// Passes an input to the own replica.
pub(crate) fn input(state: &mut State, input: Input, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let Some(replication) = &mut state.replication else {
        return;
    };
    let requests = replication.input(now_ms, input);
    carry_out(state, requests, effects);
}

/// Passes a message of the replicated log on if it is meant for the own replica.
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
    // Storage id 0 stands for whichever replica runs on the instance.
    let is_addressed =
        to == replication.id() || (to.instance == replication.id().instance && to.storage_id == 0);
    if is_addressed {
        input(state, Input::Receive { from, message }, effects);
    }
}

fn carry_out(state: &mut State, requests: Vec<Request>, effects: &mut Vec<Effect>) {
    for request in requests {
        match request {
            Request::Persist { ticket, write } => effects.push(Effect::Persist { ticket, write }),
            Request::Send { to, message } => send_quorum(state, to, message, effects),
            Request::Applied {
                proposal,
                reply,
                origin,
            } => on_applied(state, &proposal, &reply, origin, effects),
            Request::Refused { id, origin, leader } => {
                let reply = ProposeReply::NotLeader { leader };
                if let Some(origin) = origin {
                    state.send(origin, PeerMessage::ProposeReply { id, reply }, effects);
                }
            }
            Request::Restored => adopt_own_config(state, effects),
            Request::LeaderChanged { term, leader } => {
                on_leader_changed(state, term, leader, effects);
            }
            Request::Undecodable { index } => {
                let text = format!("entry {index} cannot be encoded or decoded by this version");
                log(effects, Level::Error, Part::Quorum, text);
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
        adopt_own_config(state, effects);
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

// An entry that was applied is committed, so a voter may bring its configuration into force.
fn adopt_own_config(state: &mut State, effects: &mut Vec<Effect>) {
    let Some(replication) = &state.replication else {
        return;
    };
    let Some(config) = replication.control().current_config().cloned() else {
        return;
    };
    if state.follower.on_revision(state.now_ms, &config) {
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
        Some(leader) => format!("{leader} leads in term {term}"),
        None => format!("no leader is known in term {term}"),
    };
    log(effects, Level::Info, Part::Quorum, text);
    if leader.as_ref() != Some(state.id()) {
        state.leadership = None;
    } else if state.leadership.as_ref().is_none_or(|l| l.term() != term) {
        let lease_ms = state.settings.timing.config_lease_ms;
        let planning = state.settings.decisions.planning;
        state.leadership = Some(Leadership::new(state.now_ms, term, lease_ms, planning));
    }
    state.follower.set_leader(leader);
    state.follower.report_at_next_tick(state.now_ms);
    state.proposer.hurry(state.now_ms);
}

/// Sends a proposal to the leader, or to all voters if none is known.
pub(crate) fn submit(state: &mut State, proposal: Proposal, effects: &mut Vec<Effect>) {
    match state.follower.leader().cloned() {
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

/// Appends another instance's proposal.
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
    let requests = replication.propose(now_ms, unix_ms, origin, proposal);
    carry_out(state, requests, effects);
}

/// Takes the answer to a proposal.
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
            if leader.is_some() && leader.as_ref() != state.follower.leader() {
                state.follower.set_leader(leader);
                state.proposer.hurry(state.now_ms);
            }
        }
    }
}

/// Goes on with what a proposal was made for.
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
        Purpose::Duty => {}
    }
}
