//! Encoding of instance reports, of the leader's replies and of load digests.

use fleet::{
    ClusterView, Gate, InstanceInfo, InstanceReport, InstanceView, LeaderReply, LoadDigest,
    ServiceDemand,
};

use crate::command::{read_gate_holder, write_gate_holder};
use crate::config::{
    read_config_revision, read_name, read_names, read_optional_name, read_order,
    write_config_revision, write_names, write_order,
};
use crate::error::DecodeError;
use crate::peer_capnp as schema;
use crate::quarantine;

pub fn write_instance_info(info: &InstanceInfo, mut builder: schema::instance_info::Builder<'_>) {
    builder.set_id(info.id.as_str());
    builder.set_incarnation(info.incarnation);
    builder.set_availability_zone(info.availability_zone.as_str());
    builder.set_peer_address(info.peer_address.as_str());
}

pub fn read_instance_info(
    reader: schema::instance_info::Reader<'_>,
) -> Result<InstanceInfo, DecodeError> {
    Ok(InstanceInfo {
        id: read_name(reader.get_id())?,
        incarnation: reader.get_incarnation(),
        availability_zone: read_name(reader.get_availability_zone())?,
        peer_address: read_name(reader.get_peer_address())?,
    })
}

pub fn write_instance_report(
    report: &InstanceReport,
    mut builder: schema::instance_report::Builder<'_>,
) {
    write_instance_info(&report.info, builder.reborrow().init_info());
    builder.set_sequence(report.sequence);
    builder.set_revision(report.revision);
    builder.set_stopping(report.stopping);
    builder.set_view_version(report.view_version);
    quarantine::write_report(&report.quarantine, builder.reborrow().init_quarantine());
    let mut demand = builder.init_demand(report.demand.len() as u32);
    for (index, service) in (0..).zip(&report.demand) {
        write_service_demand(service, demand.reborrow().get(index));
    }
}

fn write_service_demand(demand: &ServiceDemand, mut builder: schema::service_demand::Builder<'_>) {
    builder.set_service(demand.service.as_str());
    builder.set_prompt_tokens(demand.prompt_tokens);
    builder.set_output_tokens(demand.output_tokens);
}

fn read_service_demand(
    reader: schema::service_demand::Reader<'_>,
) -> Result<ServiceDemand, DecodeError> {
    Ok(ServiceDemand {
        service: read_name(reader.get_service())?,
        prompt_tokens: reader.get_prompt_tokens(),
        output_tokens: reader.get_output_tokens(),
    })
}

pub fn read_instance_report(
    reader: schema::instance_report::Reader<'_>,
) -> Result<InstanceReport, DecodeError> {
    Ok(InstanceReport {
        info: read_instance_info(reader.get_info()?)?,
        sequence: reader.get_sequence(),
        revision: reader.get_revision(),
        stopping: reader.get_stopping(),
        view_version: reader.get_view_version(),
        demand: reader
            .get_demand()?
            .iter()
            .map(read_service_demand)
            .collect::<Result<_, _>>()?,
        quarantine: quarantine::read_report(reader.get_quarantine()?)?,
    })
}

fn write_gate(gate: &Gate, mut builder: schema::gate::Builder<'_>) {
    builder.set_upstream(gate.upstream.as_str());
    if let Some(holder) = &gate.holder {
        write_gate_holder(holder, builder.reborrow().init_holder());
    }
    builder.set_epoch(gate.epoch);
    if let Some(order) = &gate.order {
        write_order(order, builder.init_order());
    }
}

fn read_gate(reader: schema::gate::Reader<'_>) -> Result<Gate, DecodeError> {
    Ok(Gate {
        upstream: read_name(reader.get_upstream())?,
        holder: reader
            .has_holder()
            .then(|| read_gate_holder(reader.get_holder()?))
            .transpose()?,
        epoch: reader.get_epoch(),
        order: reader
            .has_order()
            .then(|| read_order(reader.get_order()?))
            .transpose()?,
    })
}

fn write_instance_view(instance: &InstanceView, mut builder: schema::instance_view::Builder<'_>) {
    write_instance_info(&instance.info, builder.reborrow().init_info());
    builder.set_draining(instance.draining);
    builder.set_revision(instance.revision);
}

fn read_instance_view(
    reader: schema::instance_view::Reader<'_>,
) -> Result<InstanceView, DecodeError> {
    Ok(InstanceView {
        info: read_instance_info(reader.get_info()?)?,
        draining: reader.get_draining(),
        revision: reader.get_revision(),
    })
}

fn write_cluster_view(view: &ClusterView, mut builder: schema::cluster_view::Builder<'_>) {
    builder.set_version(view.version);
    let mut instances = builder
        .reborrow()
        .init_instances(view.instances.len() as u32);
    for (index, instance) in (0..).zip(&view.instances) {
        write_instance_view(instance, instances.reborrow().get(index));
    }
    let draining = &view.draining_upstreams;
    write_names(
        draining,
        builder
            .reborrow()
            .init_draining_upstreams(draining.len() as u32),
    );
    let mut gates = builder.init_gates(view.gates.len() as u32);
    for (index, gate) in (0..).zip(&view.gates) {
        write_gate(gate, gates.reborrow().get(index));
    }
}

fn read_cluster_view(reader: schema::cluster_view::Reader<'_>) -> Result<ClusterView, DecodeError> {
    Ok(ClusterView {
        version: reader.get_version(),
        instances: reader
            .get_instances()?
            .iter()
            .map(read_instance_view)
            .collect::<Result<_, _>>()?,
        draining_upstreams: read_names(reader.get_draining_upstreams()?)?,
        gates: reader
            .get_gates()?
            .iter()
            .map(read_gate)
            .collect::<Result<_, _>>()?,
    })
}

pub fn write_leader_reply(reply: &LeaderReply, mut builder: schema::leader_reply::Builder<'_>) {
    builder.set_sequence(reply.sequence);
    builder.set_is_leader(reply.is_leader);
    if let Some(leader) = &reply.leader {
        builder.set_leader(leader.as_str());
    }
    builder.set_term(reply.term);
    builder.set_revision(reply.revision);
    if let Some(config) = &reply.config {
        write_config_revision(config, builder.reborrow().init_config());
    }
    if let Some(view) = &reply.view {
        write_cluster_view(view, builder.reborrow().init_view());
    }
    builder.set_live_instances(reply.live_instances);
    builder.set_instances_in_force(reply.instances_in_force);
    quarantine::write_update(&reply.quarantine, builder.init_quarantine());
}

pub fn read_leader_reply(
    reader: schema::leader_reply::Reader<'_>,
) -> Result<LeaderReply, DecodeError> {
    Ok(LeaderReply {
        sequence: reader.get_sequence(),
        is_leader: reader.get_is_leader(),
        leader: read_optional_name(reader.has_leader(), reader.get_leader())?,
        term: reader.get_term(),
        revision: reader.get_revision(),
        config: reader
            .has_config()
            .then(|| read_config_revision(reader.get_config()?))
            .transpose()?,
        view: reader
            .has_view()
            .then(|| read_cluster_view(reader.get_view()?))
            .transpose()?,
        live_instances: reader.get_live_instances(),
        instances_in_force: reader.get_instances_in_force(),
        quarantine: quarantine::read_update(reader.get_quarantine()?)?,
    })
}

fn write_load_digest(digest: &LoadDigest, mut builder: schema::load_digest::Builder<'_>) {
    builder.set_upstream(digest.upstream.as_str());
    builder.set_age_ms(digest.age_ms);
    builder.set_running(digest.running);
    builder.set_waiting(digest.waiting);
    builder.set_prompt_tokens_waiting(digest.prompt_tokens_waiting);
    builder.set_kv_chunks_used(digest.kv_chunks_used);
}

fn read_load_digest(reader: schema::load_digest::Reader<'_>) -> Result<LoadDigest, DecodeError> {
    Ok(LoadDigest {
        upstream: read_name(reader.get_upstream())?,
        age_ms: reader.get_age_ms(),
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        prompt_tokens_waiting: reader.get_prompt_tokens_waiting(),
        kv_chunks_used: reader.get_kv_chunks_used(),
    })
}

pub fn write_load_digests(
    digests: &[LoadDigest],
    mut builder: capnp::struct_list::Builder<'_, schema::load_digest::Owned>,
) {
    for (index, digest) in (0..).zip(digests) {
        write_load_digest(digest, builder.reborrow().get(index));
    }
}

pub fn read_load_digests(
    reader: capnp::struct_list::Reader<'_, schema::load_digest::Owned>,
) -> Result<Vec<LoadDigest>, DecodeError> {
    reader.iter().map(read_load_digest).collect()
}
