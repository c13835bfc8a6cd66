//! Control events: the replicated log, membership, configuration, gates and stopping.

use std::sync::Arc;

use conf::{Name, ServiceConfig};
use fleet::grant::GrantSettings;
use fleet::{
    Command, CommandReply, ConfigRevision, ConfigureReply, GateAction, InstanceInfo,
    InstanceReport, LeaderReply, ListedState, PeerMessage, Proposal, ProposalId, ProposeReply,
};
use quorum::Input;
use route::Presence;

use crate::effect::{Effect, Level, Part, Sample};
use crate::event::Listed;
use crate::leader::Leadership;
use crate::proposer::{Purpose, Settled};
use crate::replication::Request;
use crate::state::{State, log};
use crate::{admin, arrival, attempt, dispatch, load, outcome};

/// Time after which a duty that was proposed is given up and judged anew, in milliseconds.
const DUTY_TIMEOUT_MS: u64 = 2_000;

/// Time for which a stopping instance waits for its gates to be released, in milliseconds.
const RELEASE_WAIT_MS: u64 = 3_000;

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

/// Does the work of control that is due by time.
pub(crate) fn tick(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let is_stopping = state.stopping_since_ms.is_some();
    let revision = state.follower.revision();
    let demand = &state.demand;
    let reported = || arrival::reported_demand(demand);
    for outgoing in state.follower.tick(now_ms, is_stopping, reported) {
        state.send_to(outgoing.to, outgoing.address, outgoing.message, effects);
    }
    // A cut-off instance finds its configuration by itself after a restart.
    if state.follower.revision() != revision {
        bring_into_force(state, effects);
    }
    lead(state, effects);
    work_gates(state, effects);
    for settled in state.proposer.expire(now_ms) {
        on_settled(state, settled, effects);
    }
}

/// Sends due proposals, takes over a changed configuration and reports readiness and the exit.
pub(crate) fn settle(state: &mut State, may_dispatch: bool, effects: &mut Vec<Effect>) {
    for proposal in state.proposer.due(state.now_ms) {
        submit(state, proposal, effects);
    }
    while let Some(message) = state.local_messages.pop_front() {
        let id = state.id().clone();
        on_message(state, id, message, effects);
    }
    if may_dispatch {
        dispatch::pump(state, effects);
    }
    report_readiness(state, effects);
    exit_if_done(state, effects);
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
        } => state.follower.on_config(config.as_ref(), &instances),
    }
}

/// Takes over the platform's list.
pub(crate) fn on_platform_list(state: &mut State, list: Vec<Listed>) {
    for listed in &list {
        let presence = match listed.state {
            ListedState::Live => Presence::Live,
            ListedState::Leaving => Presence::Leaving,
            ListedState::Gone => Presence::Gone,
        };
        state.table.set_present(&listed.id, presence);
    }
    let entries = list.into_iter().map(|listed| (listed.id, listed.state));
    state.platform.update(state.now_ms, entries);
    if let Some(leadership) = &mut state.leadership {
        leadership.on_platform_list();
    }
}

/// Begins a planned stop.
pub(crate) fn on_stop(state: &mut State, effects: &mut Vec<Effect>) {
    if state.stopping_since_ms.is_some() {
        return;
    }
    state.stopping_since_ms = Some(state.now_ms);
    state.follower.hurry_report(state.now_ms);
    let text = format!("stopping with {} open exchanges", state.exchanges.len());
    log(effects, Level::Info, Part::Fleet, text);
}

fn on_quorum(
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
    let Some(config) = replication.control().current().cloned() else {
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
    state.follower.hurry_report(state.now_ms);
    state.proposer.hurry(state.now_ms);
}

fn submit(state: &mut State, proposal: Proposal, effects: &mut Vec<Effect>) {
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

fn on_propose(state: &mut State, from: Name, proposal: Proposal, effects: &mut Vec<Effect>) {
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

fn on_propose_reply(
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

fn on_settled(state: &mut State, settled: Settled, effects: &mut Vec<Effect>) {
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

fn on_report(state: &mut State, from: Name, report: &InstanceReport, effects: &mut Vec<Effect>) {
    let leads = state.leads();
    let (now_ms, id) = (state.now_ms, state.id().clone());
    let reply = match (&mut state.leadership, &state.replication) {
        (Some(leadership), Some(replication)) if leads => {
            let changes = replication.control_changes();
            let control = replication.control();
            leadership.on_report(now_ms, &id, report, control, changes, &state.platform)
        }
        (_, Some(replication)) => LeaderReply {
            sequence: report.sequence,
            leader: replication.status().leader.filter(|leader| *leader != id),
            ..LeaderReply::default()
        },
        _ => return,
    };
    if from == id {
        return state
            .local_messages
            .push_back(PeerMessage::ReportReply(reply));
    }
    // The report carries the sender's address, which a leader may not know yet.
    effects.push(Effect::Send {
        to: from,
        address: report.info.peer_address.clone(),
        message: PeerMessage::ReportReply(reply),
    });
}

fn on_report_reply(state: &mut State, from: &Name, reply: &LeaderReply, effects: &mut Vec<Effect>) {
    let change = state.follower.on_reply(state.now_ms, from, reply);
    if change.view {
        state.order_gate.on_view(state.follower.view());
        apply_drain_marks(state);
    }
    if change.config {
        bring_into_force(state, effects);
    }
}

fn on_ask_config(state: &mut State, token: u64, info: InstanceInfo, effects: &mut Vec<Effect>) {
    let message = PeerMessage::Config {
        token,
        config: state.follower.config().cloned(),
        instances: state.follower.known_instances(),
    };
    state.send_to(info.id, info.peer_address, message, effects);
}

fn bring_into_force(state: &mut State, effects: &mut Vec<Effect>) {
    let Some(ConfigRevision {
        revision,
        canonical,
        ..
    }) = state.follower.config()
    else {
        return;
    };
    let revision = *revision;
    let config = match ServiceConfig::from_canonical_text(canonical) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            let text = format!("revision {revision} cannot be read by this version: {error}");
            return log(effects, Level::Error, Part::Fleet, text);
        }
    };
    state.table.apply_config(&config);
    state.queues.apply_config(&config);
    state.watch.apply_config(state.now_ms, &config);
    state.speeds = arrival::speeds(&config);
    state.tenants = arrival::tenant_positions(&config);
    state.services = config.clone();
    apply_drain_marks(state);
    log(
        effects,
        Level::Info,
        Part::Fleet,
        format!("revision {revision} is in force"),
    );
    effects.push(Effect::InForce { revision, config });
}

fn apply_drain_marks(state: &mut State) {
    let draining = &state.follower.view().draining_upstreams;
    for upstream in &state.services.upstreams {
        let is_draining = draining.contains(&upstream.name);
        state.table.set_draining(&upstream.name, is_draining);
    }
}

fn lead(state: &mut State, effects: &mut Vec<Effect>) {
    if !state.leads() {
        return;
    }
    let timing = &state.settings.timing;
    let settings = GrantSettings {
        gate_lease_ms: timing.gate_lease_ms,
        gate_quarantine_ms: timing.gate_quarantine_ms,
    };
    let (now_ms, unix_ms) = (state.now_ms, state.unix_ms);
    let (Some(leadership), Some(replication)) = (&mut state.leadership, &state.replication) else {
        return;
    };
    let control = replication.control();
    let duties = leadership.duties(now_ms, unix_ms, settings, control, &state.platform);
    let changes = leadership.role_changes(now_ms, control, &state.loads);
    for command in duties {
        state
            .proposer
            .propose_duty(now_ms, command, DUTY_TIMEOUT_MS);
    }
    for (service, command) in changes {
        log(
            effects,
            Level::Info,
            Part::Plan,
            format!("{service}: {command:?}"),
        );
        effects.push(Effect::Record(Sample::RoleChanged { service }));
        state
            .proposer
            .propose_duty(now_ms, command, DUTY_TIMEOUT_MS);
    }
}

fn work_gates(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let holds_lease = state.follower.holds_gate_lease(now_ms);
    let is_leaving = state.is_draining();
    for action in state.order_gate.tick(now_ms, holds_lease, is_leaving) {
        match action {
            GateAction::Read { upstream } => {
                if let Some(address) = state.watch.address_of(&upstream).cloned() {
                    effects.push(Effect::ReadEngine { upstream, address });
                }
            }
            GateAction::Send {
                upstream,
                epoch,
                order,
            } => {
                if let Some(address) = state.watch.address_of(&upstream).cloned() {
                    let text = format!(
                        "order {} under epoch {epoch} goes to {upstream}",
                        order.sequence
                    );
                    log(effects, Level::Info, Part::Fleet, text);
                    effects.push(Effect::SendOrder {
                        upstream,
                        address,
                        epoch,
                        order,
                    });
                }
            }
            GateAction::Propose(command) => {
                if let Command::OrderDone { outcome, .. } = &command {
                    log(
                        effects,
                        Level::Info,
                        Part::Fleet,
                        format!("order ended: {outcome:?}"),
                    );
                }
                state
                    .proposer
                    .propose_duty(now_ms, command, DUTY_TIMEOUT_MS);
            }
        }
    }
}

fn report_readiness(state: &mut State, effects: &mut Vec<Effect>) {
    let is_ready = state.follower.is_settled() && state.follower.config().is_some();
    let readiness = (is_ready && !state.is_draining(), state.is_draining());
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
    let is_released = state.order_gate.is_empty() || waited_ms >= RELEASE_WAIT_MS;
    if !state.has_exited && (is_timed_out || (is_drained && is_released)) {
        state.has_exited = true;
        log(
            effects,
            Level::Info,
            Part::Fleet,
            "stopped; nothing is open",
        );
        effects.push(Effect::Exit);
    }
}
