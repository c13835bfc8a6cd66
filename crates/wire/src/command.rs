//! Encoding of proposals and their commands, which are the payload of log entries.

use bytes::Bytes;
use fleet::{Command, GateHolder, GrantEvidence, OrderOutcome, Proposal, ProposalId};

use crate::config::{
    read_configure, read_drain_target, read_name, read_order_change, write_configure,
    write_drain_target, write_order_change,
};
use crate::encoding;
use crate::error::{DecodeError, EncodeError};
use crate::ledger::{read_begin, read_finish, write_begin, write_finish};
use crate::peer_capnp as schema;

/// Encodes a proposal as the payload of a log entry.
///
/// # Errors
/// Fails if the encoding exceeds [`crate::MAX_ENCODED_BYTES`].
pub fn encode_proposal(proposal: &Proposal) -> Result<Bytes, EncodeError> {
    let mut builder = capnp::message::Builder::new_default();
    write_proposal(proposal, builder.init_root());
    encoding::to_bytes(&builder, encoding::MAX_ENCODED_BYTES)
}

/// Decodes the payload of a log entry.
///
/// # Errors
/// Fails if `data` is too large, malformed, or has a command that this version does not know.
pub fn decode_proposal(data: &[u8]) -> Result<Proposal, DecodeError> {
    read_proposal(encoding::from_bytes(data, encoding::MAX_ENCODED_BYTES)?.get_root()?)
}

pub fn write_proposal_id(id: &ProposalId, mut builder: schema::proposal_id::Builder<'_>) {
    builder.set_instance(id.instance.as_str());
    builder.set_incarnation(id.incarnation);
    builder.set_sequence(id.sequence);
}

pub fn read_proposal_id(
    reader: schema::proposal_id::Reader<'_>,
) -> Result<ProposalId, DecodeError> {
    Ok(ProposalId {
        instance: read_name(reader.get_instance())?,
        incarnation: reader.get_incarnation(),
        sequence: reader.get_sequence(),
    })
}

pub fn write_proposal(proposal: &Proposal, mut builder: schema::proposal::Builder<'_>) {
    write_proposal_id(&proposal.id, builder.reborrow().init_id());
    builder.set_at_ms(proposal.at_ms);
    write_command(&proposal.command, builder.init_command());
}

pub fn read_proposal(reader: schema::proposal::Reader<'_>) -> Result<Proposal, DecodeError> {
    Ok(Proposal {
        id: read_proposal_id(reader.get_id()?)?,
        at_ms: reader.get_at_ms(),
        command: read_command(reader.get_command()?)?,
    })
}

pub fn write_order_outcome(outcome: OrderOutcome) -> schema::OrderOutcome {
    match outcome {
        OrderOutcome::Done => schema::OrderOutcome::Done,
        OrderOutcome::Refused => schema::OrderOutcome::Refused,
    }
}

pub fn read_order_outcome(outcome: schema::OrderOutcome) -> OrderOutcome {
    match outcome {
        schema::OrderOutcome::Done => OrderOutcome::Done,
        schema::OrderOutcome::Refused => OrderOutcome::Refused,
    }
}

pub fn write_gate_holder(holder: &GateHolder, mut builder: schema::gate_holder::Builder<'_>) {
    builder.set_instance(holder.instance.as_str());
    builder.set_incarnation(holder.incarnation);
}

pub fn read_gate_holder(
    reader: schema::gate_holder::Reader<'_>,
) -> Result<GateHolder, DecodeError> {
    Ok(GateHolder {
        instance: read_name(reader.get_instance())?,
        incarnation: reader.get_incarnation(),
    })
}

fn write_grant_evidence(evidence: GrantEvidence) -> schema::GrantEvidence {
    match evidence {
        GrantEvidence::Vacant => schema::GrantEvidence::Vacant,
        GrantEvidence::LeaseExpired => schema::GrantEvidence::LeaseExpired,
        GrantEvidence::Restarted => schema::GrantEvidence::Restarted,
        GrantEvidence::ReportedGone => schema::GrantEvidence::ReportedGone,
        GrantEvidence::ConfirmedDead => schema::GrantEvidence::ConfirmedDead,
    }
}

fn read_grant_evidence(evidence: schema::GrantEvidence) -> GrantEvidence {
    match evidence {
        schema::GrantEvidence::Vacant => GrantEvidence::Vacant,
        schema::GrantEvidence::LeaseExpired => GrantEvidence::LeaseExpired,
        schema::GrantEvidence::Restarted => GrantEvidence::Restarted,
        schema::GrantEvidence::ReportedGone => GrantEvidence::ReportedGone,
        schema::GrantEvidence::ConfirmedDead => GrantEvidence::ConfirmedDead,
    }
}

fn write_command(command: &Command, mut root: schema::command::Builder<'_>) {
    match command {
        Command::Configure(configure) => write_configure(configure, root.init_configure()),
        Command::Begin(begin) => write_begin(begin, root.init_begin()),
        Command::Finish(finish) => write_finish(finish, root.init_finish()),
        Command::GrantGate {
            upstream,
            holder,
            from_epoch,
            evidence,
        } => {
            let mut builder = root.init_grant_gate();
            builder.set_upstream(upstream.as_str());
            write_gate_holder(holder, builder.reborrow().init_holder());
            builder.set_from_epoch(*from_epoch);
            builder.set_evidence(write_grant_evidence(*evidence));
        }
        Command::ReleaseGate {
            upstream,
            holder,
            epoch,
        } => {
            let mut builder = root.init_release_gate();
            builder.set_upstream(upstream.as_str());
            write_gate_holder(holder, builder.reborrow().init_holder());
            builder.set_epoch(*epoch);
        }
        Command::Order { upstream, change } => {
            let mut builder = root.init_order();
            builder.set_upstream(upstream.as_str());
            write_order_change(change, builder.init_change());
        }
        Command::OrderDone {
            upstream,
            epoch,
            sequence,
            outcome,
        } => {
            let mut builder = root.init_order_done();
            builder.set_upstream(upstream.as_str());
            builder.set_epoch(*epoch);
            builder.set_sequence(*sequence);
            builder.set_outcome(write_order_outcome(*outcome));
        }
        Command::Drain { target, draining } => {
            let mut builder = root.init_drain();
            write_drain_target(target, builder.reborrow().init_target());
            builder.set_draining(*draining);
        }
        Command::ConfirmDead {
            instance,
            incarnation,
        } => {
            let mut builder = root.init_confirm_dead();
            builder.set_instance(instance.as_str());
            builder.set_incarnation(*incarnation);
        }
        Command::ReplaceVoter { old, new } => {
            let mut builder = root.init_replace_voter();
            builder.set_old(old.as_str());
            builder.set_new(new.as_str());
        }
        Command::Advance => root.set_advance(()),
    }
}

fn read_command(reader: schema::command::Reader<'_>) -> Result<Command, DecodeError> {
    use schema::command as c;
    Ok(match reader.which()? {
        c::Configure(configure) => Command::Configure(read_configure(configure?)?),
        c::Begin(begin) => Command::Begin(read_begin(begin?)?),
        c::Finish(finish) => Command::Finish(read_finish(finish?)?),
        c::GrantGate(grant) => Command::GrantGate {
            upstream: read_name(grant.get_upstream())?,
            holder: read_gate_holder(grant.get_holder()?)?,
            from_epoch: grant.get_from_epoch(),
            evidence: read_grant_evidence(grant.get_evidence()?),
        },
        c::ReleaseGate(release) => Command::ReleaseGate {
            upstream: read_name(release.get_upstream())?,
            holder: read_gate_holder(release.get_holder()?)?,
            epoch: release.get_epoch(),
        },
        c::Order(order) => Command::Order {
            upstream: read_name(order.get_upstream())?,
            change: read_order_change(order.get_change()?)?,
        },
        c::OrderDone(done) => Command::OrderDone {
            upstream: read_name(done.get_upstream())?,
            epoch: done.get_epoch(),
            sequence: done.get_sequence(),
            outcome: read_order_outcome(done.get_outcome()?),
        },
        c::Drain(drain) => Command::Drain {
            target: read_drain_target(drain.get_target()?)?,
            draining: drain.get_draining(),
        },
        c::ConfirmDead(dead) => Command::ConfirmDead {
            instance: read_name(dead.get_instance())?,
            incarnation: dead.get_incarnation(),
        },
        c::ReplaceVoter(change) => Command::ReplaceVoter {
            old: read_name(change.get_old())?,
            new: read_name(change.get_new())?,
        },
        c::Advance(()) => Command::Advance,
    })
}
