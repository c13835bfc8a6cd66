//! The leader's decisions on which process may send orders to which engine.

use conf::{Fencing, Name, Upstream};

use crate::command::{Command, GateHolder, GrantEvidence};
use crate::control::ControlState;
use crate::message::InstanceReport;
use crate::platform::PlatformList;
use crate::roster::Roster;

/// Durations that determine when a gate may be granted to another holder.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// Time for which a holder keeps its gates after its last report, in milliseconds.
    pub gate_lease_ms: u64,
    /// Time for which the platform must have listed a holder as gone before its gates may be granted to another holder,
    /// in milliseconds.
    pub gate_quarantine_ms: u64,
}

/// Returns a `GrantGate` command for every engine whose gate needs a new holder.
pub fn due_grants(
    now_ms: u64,
    settings: GrantSettings,
    control: &ControlState,
    roster: &Roster,
    platform: &PlatformList,
) -> Vec<Command> {
    control
        .engines()
        .filter_map(|engine| due_grant(now_ms, settings, control, roster, platform, engine))
        .collect()
}

fn due_grant(
    now_ms: u64,
    settings: GrantSettings,
    control: &ControlState,
    roster: &Roster,
    platform: &PlatformList,
    engine: &Upstream,
) -> Option<Command> {
    let gate = control.gates.get(&engine.name).cloned().unwrap_or_default();
    let (holder, evidence) = match &gate.holder {
        None => {
            let holder = choose_holder(now_ms, control, roster, platform, engine)?;
            (holder, GrantEvidence::Vacant)
        }
        Some(holder) => match restarted_holder(now_ms, roster, holder) {
            Some(successor) => (successor, GrantEvidence::Restarted),
            None => {
                let evidence =
                    loss_evidence(now_ms, settings, control, roster, platform, engine, holder)?;
                let successor = choose_holder(now_ms, control, roster, platform, engine)?;
                (successor, evidence)
            }
        },
    };
    Some(Command::GrantGate {
        upstream: engine.name.clone(),
        holder,
        from_epoch: gate.epoch,
        evidence,
    })
}

// A later process of the same instance listens on the same address, so the earlier process has ended.
fn restarted_holder(now_ms: u64, roster: &Roster, holder: &GateHolder) -> Option<GateHolder> {
    let report = roster.live_instance(now_ms, &holder.instance)?;
    (report.info.incarnation > holder.incarnation).then(|| gate_holder(report))
}

fn loss_evidence(
    now_ms: u64,
    settings: GrantSettings,
    control: &ControlState,
    roster: &Roster,
    platform: &PlatformList,
    engine: &Upstream,
    holder: &GateHolder,
) -> Option<GrantEvidence> {
    let dead_incarnation = control.dead.get(&holder.instance).copied();
    if dead_incarnation.is_some_and(|incarnation| incarnation >= holder.incarnation) {
        return Some(GrantEvidence::ConfirmedDead);
    }
    if !roster.is_gate_lease_expired(now_ms, &holder.instance, settings.gate_lease_ms) {
        return None;
    }
    if engine.fencing == Fencing::Enforced {
        return Some(GrantEvidence::LeaseExpired);
    }
    let gone_for_ms = platform.gone_for_ms(now_ms, &holder.instance)?;
    (gone_for_ms >= settings.gate_quarantine_ms).then_some(GrantEvidence::ReportedGone)
}

/// Chooses the engine's configured `order_gate` instance if it is live, otherwise an instance in the engine's
/// availability zone. Only an engine that enforces fencing may get a holder in another zone: during a network partition
/// between the zones, the gate of an unfenced engine could not be taken away from that holder.
fn choose_holder(
    now_ms: u64,
    control: &ControlState,
    roster: &Roster,
    platform: &PlatformList,
    engine: &Upstream,
) -> Option<GateHolder> {
    let eligible: Vec<&InstanceReport> = roster
        .live(now_ms)
        .filter(|report| !roster.is_draining(report, control, platform))
        .collect();
    if let Some(report) = eligible.iter().find(|r| r.info.id == engine.order_gate) {
        return Some(gate_holder(report));
    }
    let in_zone: Vec<&InstanceReport> = eligible
        .iter()
        .copied()
        .filter(|report| report.info.availability_zone == engine.availability_zone)
        .collect();
    match engine.fencing {
        _ if !in_zone.is_empty() => Some(pick_by_name(&in_zone, &engine.name)),
        Fencing::Enforced if !eligible.is_empty() => Some(pick_by_name(&eligible, &engine.name)),
        _ => None,
    }
}

fn pick_by_name(reports: &[&InstanceReport], upstream: &Name) -> GateHolder {
    let sum: usize = upstream.bytes().map(usize::from).sum();
    gate_holder(reports[sum % reports.len()])
}

fn gate_holder(report: &InstanceReport) -> GateHolder {
    GateHolder {
        instance: report.info.id.clone(),
        incarnation: report.info.incarnation,
    }
}
