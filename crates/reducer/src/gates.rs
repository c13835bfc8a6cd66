//! Gates: the leader's duties, and the orders that this process writes to engines.

use fleet::grant::GrantSettings;
use fleet::{Command, GateAction};

use crate::effect::{Effect, Level, Part, Sample};
use crate::state::{State, log};

/// Time after which a duty that was proposed is given up and judged anew, in milliseconds.
const DUTY_TIMEOUT_MS: u64 = 2_000;

/// Does the duties of the leader.
pub(crate) fn lead(state: &mut State, effects: &mut Vec<Effect>) {
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

/// Writes orders to the engines whose gates this process holds.
pub(crate) fn work_gates(state: &mut State, effects: &mut Vec<Effect>) {
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
