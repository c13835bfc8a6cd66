//! Maintenance commands of the leader, and the orders that this process sends to engines.
//!
//! A gate is the exclusive right of one instance to send orders to an engine.

use fleet::grant::GrantSettings;
use fleet::{Command, GateAction};

use crate::effect::{Component, Effect, Level, Sample};
use crate::state::{State, log};

/// Time after which a proposed maintenance command is dropped, so that the leader or the gate holder decides again, in
/// milliseconds.
const MAINTENANCE_TIMEOUT_MS: u64 = 2_000;

/// Proposes the maintenance commands and role changes that are due, if this instance is the leader.
pub(crate) fn tick_leader(state: &mut State, effects: &mut Vec<Effect>) {
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
    let maintenance_commands =
        leadership.maintenance_commands(now_ms, unix_ms, settings, control, &state.platform);
    let changes = leadership.role_changes(now_ms, control, &state.loads);
    for command in maintenance_commands {
        state
            .proposer
            .propose_maintenance(now_ms, command, MAINTENANCE_TIMEOUT_MS);
    }
    for (service, command) in changes {
        log(
            effects,
            Level::Info,
            Component::Plan,
            format!("role change for service {service}: {command:?}"),
        );
        effects.push(Effect::Record(Sample::RoleChanged { service }));
        state
            .proposer
            .propose_maintenance(now_ms, command, MAINTENANCE_TIMEOUT_MS);
    }
}

/// Sends orders to the engines whose gates this process holds.
pub(crate) fn tick_order_sender(state: &mut State, effects: &mut Vec<Effect>) {
    let now_ms = state.now_ms;
    let holds_lease = state.leader_client.holds_gate_lease(now_ms);
    let is_draining = state.is_draining();
    for action in state.order_sender.tick(now_ms, holds_lease, is_draining) {
        match action {
            GateAction::Read { upstream } => {
                if let Some(address) = state.read_timers.address_of(&upstream).cloned() {
                    effects.push(Effect::ReadEngine { upstream, address });
                }
            }
            GateAction::Send {
                upstream,
                epoch,
                order,
            } => {
                if let Some(address) = state.read_timers.address_of(&upstream).cloned() {
                    let text = format!(
                        "order {} with epoch {epoch} is sent to upstream {upstream}",
                        order.sequence
                    );
                    log(effects, Level::Info, Component::Fleet, text);
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
                        Component::Fleet,
                        format!("an order ended with outcome {outcome:?}"),
                    );
                }
                state
                    .proposer
                    .propose_maintenance(now_ms, command, MAINTENANCE_TIMEOUT_MS);
            }
        }
    }
}
