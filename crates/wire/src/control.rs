//! Encoding of the control state, which is the content of a snapshot.

use bytes::Bytes;
use conf::Name;
use fleet::{ControlParts, GateHolder, GateState};

use crate::command::{
    read_gate_holder, read_order_outcome, read_proposal_id, write_gate_holder, write_order_outcome,
    write_proposal_id,
};
use crate::config::{
    read_config_revision, read_drain_target, read_name, read_order, write_config_revision,
    write_drain_target, write_order,
};
use crate::encoding;
use crate::error::{DecodeError, EncodeError};
use crate::ledger::{read_ledger_record, write_ledger_record};
use crate::peer_capnp as schema;

/// Encodes the control state as the content of a snapshot.
///
/// # Errors
/// Fails if the encoding exceeds [`crate::MAX_CONTROL_BYTES`].
pub fn encode_control(parts: &ControlParts) -> Result<Bytes, EncodeError> {
    let mut builder = capnp::message::Builder::new_default();
    write_control_parts(parts, builder.init_root());
    encoding::to_bytes(&builder, encoding::MAX_CONTROL_BYTES)
}

/// Decodes the content of a snapshot.
///
/// # Errors
/// Fails if `data` is too large, malformed, or has a variant that this version does not know.
pub fn decode_control(data: &[u8]) -> Result<ControlParts, DecodeError> {
    read_control_parts(encoding::from_bytes(data, encoding::MAX_CONTROL_BYTES)?.get_root()?)
}

fn write_gate_state(
    upstream: &Name,
    gate: &GateState,
    mut builder: schema::gate_state::Builder<'_>,
) {
    builder.set_upstream(upstream.as_str());
    if let Some(holder) = &gate.holder {
        write_gate_holder(holder, builder.reborrow().init_holder());
    }
    builder.set_epoch(gate.epoch);
    if let Some(order) = &gate.order {
        write_order(order, builder.reborrow().init_order());
    }
    let mut outcome = builder.init_outcome();
    match gate.outcome {
        None => outcome.set_outstanding(()),
        Some(ended) => outcome.set_ended(write_order_outcome(ended)),
    }
}

fn read_gate_state(
    reader: schema::gate_state::Reader<'_>,
) -> Result<(Name, GateState), DecodeError> {
    use schema::gate_state::outcome;
    let gate = GateState {
        holder: reader
            .has_holder()
            .then(|| read_gate_holder(reader.get_holder()?))
            .transpose()?,
        epoch: reader.get_epoch(),
        order: reader
            .has_order()
            .then(|| read_order(reader.get_order()?))
            .transpose()?,
        outcome: match reader.get_outcome().which()? {
            outcome::Outstanding(()) => None,
            outcome::Ended(ended) => Some(read_order_outcome(ended?)),
        },
    };
    Ok((read_name(reader.get_upstream())?, gate))
}

fn read_dead_instance(reader: schema::gate_holder::Reader<'_>) -> Result<(Name, u64), DecodeError> {
    let holder = read_gate_holder(reader)?;
    Ok((holder.instance, holder.incarnation))
}

fn write_control_parts(parts: &ControlParts, mut builder: schema::control_state::Builder<'_>) {
    builder.set_time_ms(parts.time_ms);
    let mut revisions = builder
        .reborrow()
        .init_revisions(parts.revisions.len() as u32);
    for (index, revision) in (0..).zip(&parts.revisions) {
        write_config_revision(revision, revisions.reborrow().get(index));
    }
    let mut gates = builder.reborrow().init_gates(parts.gates.len() as u32);
    for (index, (upstream, gate)) in (0..).zip(&parts.gates) {
        write_gate_state(upstream, gate, gates.reborrow().get(index));
    }
    let mut drains = builder.reborrow().init_drains(parts.drains.len() as u32);
    for (index, target) in (0..).zip(&parts.drains) {
        write_drain_target(target, drains.reborrow().get(index));
    }
    let mut dead_list = builder.reborrow().init_dead(parts.dead.len() as u32);
    for (index, (instance, incarnation)) in (0..).zip(&parts.dead) {
        let holder = GateHolder {
            instance: instance.clone(),
            incarnation: *incarnation,
        };
        write_gate_holder(&holder, dead_list.reborrow().get(index));
    }
    let applied = &parts.applied_orders;
    let mut orders = builder.reborrow().init_applied_orders(applied.len() as u32);
    for (index, id) in (0..).zip(applied) {
        write_proposal_id(id, orders.reborrow().get(index));
    }
    let mut records = builder.init_records(parts.records.len() as u32);
    for (index, (key, record)) in (0..).zip(&parts.records) {
        write_ledger_record(key, record, records.reborrow().get(index));
    }
}

fn read_control_parts(
    reader: schema::control_state::Reader<'_>,
) -> Result<ControlParts, DecodeError> {
    Ok(ControlParts {
        time_ms: reader.get_time_ms(),
        revisions: reader
            .get_revisions()?
            .iter()
            .map(read_config_revision)
            .collect::<Result<_, _>>()?,
        gates: reader
            .get_gates()?
            .iter()
            .map(read_gate_state)
            .collect::<Result<_, _>>()?,
        drains: reader
            .get_drains()?
            .iter()
            .map(read_drain_target)
            .collect::<Result<_, _>>()?,
        dead: reader
            .get_dead()?
            .iter()
            .map(read_dead_instance)
            .collect::<Result<_, _>>()?,
        applied_orders: reader
            .get_applied_orders()?
            .iter()
            .map(read_proposal_id)
            .collect::<Result<_, _>>()?,
        records: reader
            .get_records()?
            .iter()
            .map(read_ledger_record)
            .collect::<Result<_, _>>()?,
    })
}
