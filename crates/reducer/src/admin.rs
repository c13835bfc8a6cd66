//! Handling of administration requests.

use conf::admin::{
    ApplyReply, ApplyRequest, ChangeReply, InstanceStatus, RevisionInfo, StatusReply,
    UpstreamStatus,
};
use conf::{Name, Role, ServiceConfig, Upstream};
use fleet::{Command, CommandReply, ConfigRevision, Configure, ConfigureReply, OrderChange};

use crate::effect::Effect;
use crate::event::{AdminReply, AdminRequest};
use crate::proposer::Purpose;
use crate::state::State;

/// Time after which a change that was not applied gets the reply `Unavailable`, in milliseconds.
const CHANGE_TIMEOUT_MS: u64 = 5_000;

/// Maximum number of revisions returned by `history`.
const HISTORY_LENGTH: usize = 100;

/// Handles an administration request.
pub(crate) fn on_request(
    state: &mut State,
    token: u64,
    request: AdminRequest,
    effects: &mut Vec<Effect>,
) {
    let reply = match request {
        AdminRequest::Apply(request) => return propose_config(state, token, request, effects),
        AdminRequest::Drain { target, draining } => {
            return propose_change(state, token, Command::Drain { target, draining });
        }
        AdminRequest::Order(request) => {
            let order_change = OrderChange {
                role: request.role,
                load: request.load,
                unload: request.unload,
            };
            let upstream = request.upstream;
            let command = Command::Order {
                upstream,
                change: order_change,
            };
            return propose_change(state, token, command);
        }
        AdminRequest::ReplaceVoter(request) => {
            let command = Command::ReplaceVoter {
                old: request.old,
                new: request.new,
            };
            return propose_change(state, token, command);
        }
        AdminRequest::ConfirmDead(request) => {
            return confirm_dead(state, token, request.instance, effects);
        }
        AdminRequest::Config => AdminReply::Revision(Some(Box::new(current_info(state)))),
        AdminRequest::Revision(revision) => {
            AdminReply::Revision(revision_info(state, revision).map(Box::new))
        }
        AdminRequest::History => AdminReply::History(history(state)),
        AdminRequest::Status => AdminReply::Status(Box::new(status(state))),
    };
    effects.push(Effect::AdminReply { token, reply });
}

/// Replies to an apply request after its command was applied or has timed out.
pub(crate) fn on_apply_settled(token: u64, reply: Option<CommandReply>, effects: &mut Vec<Effect>) {
    let reply = match reply {
        Some(CommandReply::Configure(ConfigureReply::Accepted { revision })) => {
            ApplyReply::Accepted { revision }
        }
        Some(CommandReply::Configure(ConfigureReply::Conflict {
            current_revision,
            current_content_id,
            author,
        })) => ApplyReply::Conflict {
            current_revision,
            current_content_id,
            author,
        },
        Some(CommandReply::Refused(message)) => ApplyReply::Unavailable { message },
        _ => ApplyReply::Unavailable {
            message: unavailable_message(),
        },
    };
    let reply = AdminReply::Apply(reply);
    effects.push(Effect::AdminReply { token, reply });
}

/// Replies to any other change request after its command was applied or has timed out.
pub(crate) fn on_change_settled(
    token: u64,
    reply: Option<CommandReply>,
    effects: &mut Vec<Effect>,
) {
    let reply = match reply {
        Some(CommandReply::Refused(message)) => ChangeReply::Refused { message },
        Some(_) => ChangeReply::Accepted,
        None => ChangeReply::Unavailable {
            message: unavailable_message(),
        },
    };
    let reply = AdminReply::Change(reply);
    effects.push(Effect::AdminReply { token, reply });
}

fn propose_config(state: &mut State, token: u64, request: ApplyRequest, effects: &mut Vec<Effect>) {
    let errors = validation_errors(&request);
    if !errors.is_empty() {
        let reply = AdminReply::Apply(ApplyReply::Invalid { errors });
        return effects.push(Effect::AdminReply { token, reply });
    }
    let configure = Configure {
        base_revision: request.base_revision,
        content_id: request.content_id,
        canonical: request.canonical,
        files: request.files,
        author: request.author,
    };
    let purpose = Purpose::Apply { token };
    let now_ms = state.now_ms;
    state.proposer.propose(
        now_ms,
        Command::Configure(configure),
        purpose,
        CHANGE_TIMEOUT_MS,
    );
}

fn validation_errors(request: &ApplyRequest) -> Vec<Name> {
    if conf::content_id(&request.canonical) != request.content_id {
        return vec!["the content id does not match the canonical text".into()];
    }
    match ServiceConfig::from_canonical_text(&request.canonical) {
        Ok(config) => conf::check::service(&config)
            .into_iter()
            .filter(|problem| problem.severity == conf::Severity::Error)
            .map(|problem| problem.to_string().into())
            .collect(),
        Err(error) => vec![error.to_string().into()],
    }
}

fn propose_change(state: &mut State, token: u64, command: Command) {
    let purpose = Purpose::Change { token };
    let now_ms = state.now_ms;
    state
        .proposer
        .propose(now_ms, command, purpose, CHANGE_TIMEOUT_MS);
}

/// Proposes to record an instance as dead, up to the highest of its incarnations that hold a gate. The request is
/// refused if the instance is live or holds no gate.
fn confirm_dead(state: &mut State, token: u64, instance: Name, effects: &mut Vec<Effect>) {
    let view = state.leader_client.view();
    let holder_incarnations = view
        .gates
        .iter()
        .filter_map(|gate| gate.holder.as_ref())
        .filter(|holder| holder.instance == instance)
        .map(|holder| holder.incarnation);
    let is_live = view.instances.iter().any(|known| known.info.id == instance);
    let incarnation = holder_incarnations.max();
    match incarnation {
        _ if is_live => {
            let message = "the instance has reported within its lease".into();
            let reply = AdminReply::Change(ChangeReply::Refused { message });
            effects.push(Effect::AdminReply { token, reply });
        }
        Some(incarnation) => propose_change(
            state,
            token,
            Command::ConfirmDead {
                instance,
                incarnation,
            },
        ),
        None => {
            let message = "the instance holds no gate".into();
            let reply = AdminReply::Change(ChangeReply::Refused { message });
            effects.push(Effect::AdminReply { token, reply });
        }
    }
}

fn unavailable_message() -> Name {
    Name::from_static_str("no majority of voters could be reached; resending is safe")
}

fn history(state: &State) -> Vec<RevisionInfo> {
    let Some(control) = state.control() else {
        return state.leader_client.config().map(info).into_iter().collect();
    };
    let revisions = &control.revisions;
    let first = revisions.len().saturating_sub(HISTORY_LENGTH);
    revisions[first..].iter().map(info).collect()
}

/// Returns the revision in force, or the empty revision 0, which is the base of the first change.
fn current_info(state: &State) -> RevisionInfo {
    state
        .leader_client
        .config()
        .map(full_info)
        .unwrap_or_default()
}

fn revision_info(state: &State, revision: u64) -> Option<RevisionInfo> {
    let known = state.control().and_then(|control| {
        control
            .revisions
            .iter()
            .find(|known| known.revision == revision)
    });
    known
        .or_else(|| {
            state
                .leader_client
                .config()
                .filter(|c| c.revision == revision)
        })
        .map(full_info)
}

fn info(revision: &ConfigRevision) -> RevisionInfo {
    RevisionInfo {
        revision: revision.revision,
        content_id: revision.content_id.clone(),
        author: revision.author.clone(),
        at_ms: revision.at_ms,
        ..RevisionInfo::default()
    }
}

fn full_info(revision: &ConfigRevision) -> RevisionInfo {
    RevisionInfo {
        files: revision.files.clone(),
        canonical: revision.canonical.clone(),
        ..info(revision)
    }
}

fn status(state: &State) -> StatusReply {
    let replica = state.replication.as_ref().map(|r| r.status());
    let members = replica
        .as_ref()
        .map(|r| r.members.clone())
        .unwrap_or_default();
    let (live_instances, instances_in_force) = state.leader_client.in_force_counts();
    StatusReply {
        instance: state.id().clone(),
        availability_zone: state.settings.instance.availability_zone.clone(),
        ready: state.readiness.is_some_and(|(ready, _)| ready),
        draining: state.is_draining(),
        revision: state.leader_client.revision(),
        config_current: state.leader_client.is_config_current(state.now_ms),
        leader: state.leader_client.leader().cloned(),
        term: replica.as_ref().map(|r| r.term),
        commit_index: replica.as_ref().map(|r| r.commit_index),
        voters: members.voters.iter().map(replica_name).collect(),
        learners: members.learners.iter().map(replica_name).collect(),
        instances: instances(state),
        live_instances,
        instances_in_force,
        upstreams: state
            .config
            .upstreams
            .iter()
            .map(|upstream| upstream_status(state, upstream))
            .collect(),
        queued_by_rank: (0..conf::service::RANK_COUNT)
            .map(|rank| state.queues.len(rank) as u64)
            .collect(),
        open_exchanges: state.exchanges.len() as u64,
        degraded: degraded(state),
    }
}

fn replica_name(id: &quorum::ReplicaId) -> Name {
    format!("{}/{:016x}", id.instance, id.storage_id).into()
}

fn instances(state: &State) -> Vec<InstanceStatus> {
    state
        .leader_client
        .view()
        .instances
        .iter()
        .map(|instance| InstanceStatus {
            id: instance.info.id.clone(),
            availability_zone: instance.info.availability_zone.clone(),
            live: true,
            draining: instance.draining,
            revision: instance.revision,
        })
        .collect()
}

fn upstream_status(state: &State, upstream: &Upstream) -> UpstreamStatus {
    let view = state.leader_client.view();
    let gate = view
        .gates
        .iter()
        .find(|gate| gate.upstream == upstream.name);
    let holder = gate.and_then(|gate| gate.holder.as_ref());
    let load = state.loads.get(&upstream.name);
    UpstreamStatus {
        name: upstream.name.clone(),
        service: upstream.service.clone(),
        availability_zone: upstream.availability_zone.clone(),
        role: role_name(load.and_then(|load| load.role)),
        gate: holder.map(|holder| holder.instance.clone()),
        epoch: gate.map_or(0, |gate| gate.epoch),
        draining: view.draining_upstreams.contains(&upstream.name),
        reachable: load.is_some(),
        running: load.map_or(0, |load| load.running),
        waiting: load.map_or(0, |load| load.waiting),
    }
}

fn role_name(role: Option<Role>) -> Name {
    Name::from_static_str(match role {
        Some(Role::Prefill) => "prefill",
        Some(Role::Decode) => "decode",
        Some(Role::Mixed) => "mixed",
        None => "",
    })
}

fn degraded(state: &State) -> Vec<Name> {
    let mut degraded: Vec<Name> = Vec::new();
    if state.leader_client.config().is_none() {
        degraded.push("no configuration is in force".into());
    } else if !state.leader_client.is_config_current(state.now_ms) {
        degraded.push("the configuration lease has run out; a newer revision may exist".into());
    }
    if state.leader_client.leader().is_none() {
        degraded.push("no leader is known; changes and non-idempotent requests are refused".into());
    }
    for upstream in &state.config.upstreams {
        if !state.loads.contains_key(&upstream.name) {
            degraded.push(format!("upstream {} does not report its load", upstream.name).into());
        }
    }
    degraded
}
