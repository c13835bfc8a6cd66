//! The leader's decisions on who may write orders to which engine.

use conf::{Fencing, Name, Upstream};

use crate::command::{Command, GateHolder, GrantEvidence};
use crate::control::ControlState;
use crate::message::InstanceReport;
use crate::platform::PlatformList;
use crate::roster::Roster;

/// Times that decide when a gate may move.
#[derive(Clone, Copy, Debug)]
pub struct GrantSettings {
    /// Time for which a holder keeps its gates after its last report, in milliseconds.
    pub gate_lease_ms: u64,
    /// Time for which the platform must report a holder gone, in milliseconds.
    pub gate_quarantine_ms: u64,
}

/// Returns the grants that are due.
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
            let holder = candidate(now_ms, control, roster, platform, engine)?;
            (holder, GrantEvidence::Vacant)
        }
        Some(holder) => match restarted(now_ms, roster, holder) {
            Some(successor) => (successor, GrantEvidence::Restarted),
            None => {
                let evidence =
                    loss_evidence(now_ms, settings, control, roster, platform, engine, holder)?;
                let successor = candidate(now_ms, control, roster, platform, engine)?;
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

// A later process of an instance listens on the same address, so the earlier one has ended.
fn restarted(now_ms: u64, roster: &Roster, holder: &GateHolder) -> Option<GateHolder> {
    let report = roster.live_instance(now_ms, &holder.instance)?;
    (report.info.incarnation > holder.incarnation).then(|| holder_of(report))
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
    if dead_incarnation.is_some_and(|dead| dead >= holder.incarnation) {
        return Some(GrantEvidence::ConfirmedDead);
    }
    if !roster.is_silent(now_ms, &holder.instance, settings.gate_lease_ms) {
        return None;
    }
    if engine.fencing == Fencing::Enforced {
        return Some(GrantEvidence::LeaseExpired);
    }
    let gone_ms = platform.gone_for_ms(now_ms, &holder.instance)?;
    (gone_ms >= settings.gate_quarantine_ms).then_some(GrantEvidence::ReportedGone)
}

/// Chooses the configured gate if it is live, else an instance of the engine's availability zone.
/// Only an engine that checks epochs may get a gate in another zone: a cut between the zones would
/// leave an unfenced engine with a holder that nobody can take over from.
fn candidate(
    now_ms: u64,
    control: &ControlState,
    roster: &Roster,
    platform: &PlatformList,
    engine: &Upstream,
) -> Option<GateHolder> {
    let usable: Vec<&InstanceReport> = roster
        .live(now_ms)
        .filter(|report| !roster.is_draining(report, control, platform))
        .collect();
    if let Some(report) = usable.iter().find(|r| r.info.id == engine.order_gate) {
        return Some(holder_of(report));
    }
    let in_zone: Vec<&InstanceReport> = usable
        .iter()
        .copied()
        .filter(|report| report.info.availability_zone == engine.availability_zone)
        .collect();
    match engine.fencing {
        _ if !in_zone.is_empty() => Some(spread(&in_zone, &engine.name)),
        Fencing::Enforced if !usable.is_empty() => Some(spread(&usable, &engine.name)),
        _ => None,
    }
}

fn spread(reports: &[&InstanceReport], upstream: &Name) -> GateHolder {
    let sum: usize = upstream.bytes().map(usize::from).sum();
    holder_of(reports[sum % reports.len()])
}

fn holder_of(report: &InstanceReport) -> GateHolder {
    GateHolder {
        instance: report.info.id.clone(),
        incarnation: report.info.incarnation,
    }
}
