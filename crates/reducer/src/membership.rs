//! Membership: reports of instances, the configuration in force, draining upstreams and the platform's list.

use std::sync::Arc;

use conf::{Name, ServiceConfig};
use fleet::{ConfigRevision, InstanceInfo, InstanceReport, LeaderReply, ListedState, PeerMessage};
use route::Presence;

use crate::effect::{Component, Effect, Level};
use crate::event::PlatformListEntry;
use crate::state::{State, log};
use crate::{arrival, crash};

/// Applies the platform's list to the routing table and the membership.
pub(crate) fn on_platform_list(state: &mut State, list: Vec<PlatformListEntry>) {
    for listed in &list {
        let presence = match listed.state {
            ListedState::Live => Presence::Live,
            ListedState::Leaving => Presence::Leaving,
            ListedState::Gone => Presence::Gone,
        };
        state
            .routing_table
            .set_platform_presence(&listed.id, presence);
    }
    let entries = list.into_iter().map(|listed| (listed.id, listed.state));
    state.platform.update(state.now_ms, entries);
    if let Some(leadership) = &mut state.leadership {
        leadership.on_platform_list();
    }
}

/// Handles an instance's report and replies to it.
pub(crate) fn on_report(
    state: &mut State,
    from: Name,
    report: &InstanceReport,
    effects: &mut Vec<Effect>,
) {
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
    // The address is taken from the report, because a leader may not know the address of the sender yet.
    effects.push(Effect::Send {
        to: from,
        address: report.info.peer_address.clone(),
        message: PeerMessage::ReportReply(reply),
    });
}

/// Handles the leader's reply to this instance's report.
pub(crate) fn on_report_reply(
    state: &mut State,
    from: &Name,
    reply: &LeaderReply,
    effects: &mut Vec<Effect>,
) {
    let change = state.leader_client.on_reply(state.now_ms, from, reply);
    if change.view {
        state.order_sender.on_view(state.leader_client.view());
        apply_drain_marks(state);
    }
    if change.config {
        bring_into_force(state, effects);
    }
    if reply.is_leader {
        crash::on_update(state, &reply.quarantine, effects);
    }
}

/// Replies to an instance that asks for the configuration.
pub(crate) fn on_ask_config(
    state: &mut State,
    token: u64,
    info: InstanceInfo,
    effects: &mut Vec<Effect>,
) {
    let message = PeerMessage::Config {
        token,
        config: state.leader_client.config().cloned(),
        instances: state.leader_client.known_instances(),
    };
    state.send_to(info.id, info.peer_address, message, effects);
}

/// Brings the leader client's configuration into force.
pub(crate) fn bring_into_force(state: &mut State, effects: &mut Vec<Effect>) {
    let Some(ConfigRevision {
        revision,
        canonical,
        ..
    }) = state.leader_client.config()
    else {
        return;
    };
    let revision = *revision;
    let config = match ServiceConfig::from_canonical_text(canonical) {
        Ok(config) => Arc::new(config),
        Err(error) => {
            let text =
                format!("this version cannot read configuration revision {revision}: {error}");
            return log(effects, Level::Error, Component::Fleet, text);
        }
    };
    state.routing_table.apply_config(&config);
    state.queues.apply_config(&config);
    state.read_timers.apply_config(state.now_ms, &config);
    state.speeds = arrival::speeds(&config);
    state.account_positions = arrival::account_positions(&config);
    state.config = config.clone();
    apply_drain_marks(state);
    log(
        effects,
        Level::Info,
        Component::Fleet,
        format!("configuration revision {revision} is in force"),
    );
    effects.push(Effect::InForce { revision, config });
}

fn apply_drain_marks(state: &mut State) {
    let draining = &state.leader_client.view().draining_upstreams;
    for upstream in &state.config.upstreams {
        let is_draining = draining.contains(&upstream.name);
        state
            .routing_table
            .set_draining(&upstream.name, is_draining);
    }
}
