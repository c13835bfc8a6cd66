//! Encoding of subscriptions to a replica and of the replica's replies.

use bytes::Bytes;
use fleet::{Backlog, PartUse, UpstreamRecord, Watch, WatchReply};

use crate::config::{read_name, read_role, write_role};
use crate::error::DecodeError;
use crate::membership::{read_instance_info, write_instance_info};
use crate::peer_capnp as schema;

pub fn write_watch(watch: &Watch, mut builder: schema::watch::Builder<'_>) {
    write_instance_info(&watch.info, builder.reborrow().init_info());
    builder.set_sequence(watch.sequence);
    builder.set_accepts_callers(watch.accepts_callers);
    builder.set_version(watch.version);
    builder.set_listing(watch.listing);
    let mut list = builder.reborrow().init_backlog(watch.backlog.len() as u32);
    for (index, backlog) in (0..).zip(&watch.backlog) {
        write_backlog(backlog, list.reborrow().get(index));
    }
    let mut list = builder.init_parts(watch.parts.len() as u32);
    for (index, part) in (0..).zip(&watch.parts) {
        write_part_use(part, list.reborrow().get(index));
    }
}

pub fn read_watch(reader: schema::watch::Reader<'_>) -> Result<Watch, DecodeError> {
    Ok(Watch {
        info: read_instance_info(reader.get_info()?)?,
        sequence: reader.get_sequence(),
        accepts_callers: reader.get_accepts_callers(),
        version: reader.get_version(),
        listing: reader.get_listing(),
        backlog: reader
            .get_backlog()?
            .iter()
            .map(read_backlog)
            .collect::<Result<_, _>>()?,
        parts: reader
            .get_parts()?
            .iter()
            .map(read_part_use)
            .collect::<Result<_, _>>()?,
    })
}

pub fn write_watch_reply(reply: &WatchReply, mut builder: schema::watch_reply::Builder<'_>) {
    builder.set_sequence(reply.sequence);
    builder.set_is_current(reply.is_current);
    builder.set_version(reply.version);
    builder.set_listing(reply.listing);
    builder.set_entries(reply.entries);
    if let Some(document) = &reply.document {
        builder.set_document(document);
    }
    if let Some(upstreams) = &reply.upstreams {
        builder.set_has_upstreams(true);
        let mut list = builder.reborrow().init_upstreams(upstreams.len() as u32);
        for (index, upstream) in (0..).zip(upstreams) {
            write_upstream_record(upstream, list.reborrow().get(index));
        }
    }
    let mut list = builder
        .reborrow()
        .init_replicas(reply.replicas.len() as u32);
    for (index, info) in (0..).zip(&reply.replicas) {
        write_instance_info(info, list.reborrow().get(index));
    }
    let mut list = builder.reborrow().init_backlog(reply.backlog.len() as u32);
    for (index, backlog) in (0..).zip(&reply.backlog) {
        write_backlog(backlog, list.reborrow().get(index));
    }
    let mut list = builder.init_parts(reply.parts.len() as u32);
    for (index, part) in (0..).zip(&reply.parts) {
        write_part_use(part, list.reborrow().get(index));
    }
}

pub fn read_watch_reply(
    reader: schema::watch_reply::Reader<'_>,
) -> Result<WatchReply, DecodeError> {
    let document = match reader.has_document() {
        true => Some(Bytes::copy_from_slice(reader.get_document()?)),
        false => None,
    };
    let upstreams = match reader.get_has_upstreams() {
        true => Some(
            reader
                .get_upstreams()?
                .iter()
                .map(read_upstream_record)
                .collect::<Result<_, _>>()?,
        ),
        false => None,
    };
    Ok(WatchReply {
        sequence: reader.get_sequence(),
        is_current: reader.get_is_current(),
        version: reader.get_version(),
        document,
        listing: reader.get_listing(),
        upstreams,
        replicas: reader
            .get_replicas()?
            .iter()
            .map(read_instance_info)
            .collect::<Result<_, _>>()?,
        entries: reader.get_entries(),
        backlog: reader
            .get_backlog()?
            .iter()
            .map(read_backlog)
            .collect::<Result<_, _>>()?,
        parts: reader
            .get_parts()?
            .iter()
            .map(read_part_use)
            .collect::<Result<_, _>>()?,
    })
}

fn write_part_use(part: &PartUse, mut builder: schema::part_use::Builder<'_>) {
    builder.set_key(part.key);
    builder.set_upstream(part.upstream.as_str());
}

fn read_part_use(reader: schema::part_use::Reader<'_>) -> Result<PartUse, DecodeError> {
    Ok(PartUse {
        key: reader.get_key(),
        upstream: read_name(reader.get_upstream())?,
    })
}

fn write_backlog(backlog: &Backlog, mut builder: schema::backlog::Builder<'_>) {
    builder.set_upstream(backlog.upstream.as_str());
    builder.set_running(backlog.running);
    let mut list = builder.init_prompt_tokens(backlog.prompt_tokens.len() as u32);
    for (index, tokens) in (0..).zip(&backlog.prompt_tokens) {
        list.set(index, *tokens);
    }
}

fn read_backlog(reader: schema::backlog::Reader<'_>) -> Result<Backlog, DecodeError> {
    Ok(Backlog {
        upstream: read_name(reader.get_upstream())?,
        running: reader.get_running(),
        prompt_tokens: reader.get_prompt_tokens()?.iter().collect(),
    })
}

fn write_upstream_record(
    upstream: &UpstreamRecord,
    mut builder: schema::upstream_record::Builder<'_>,
) {
    builder.set_id(upstream.id.as_str());
    builder.set_service(upstream.service.as_str());
    builder.set_address(upstream.address.as_str());
    builder.set_availability_zone(upstream.availability_zone.as_str());
    builder.set_slots(upstream.slots);
    builder.set_draining(upstream.draining);
    builder.set_born_ms(upstream.born_ms);
    builder.set_role(write_role(upstream.role));
}

fn read_upstream_record(
    reader: schema::upstream_record::Reader<'_>,
) -> Result<UpstreamRecord, DecodeError> {
    Ok(UpstreamRecord {
        id: read_name(reader.get_id())?,
        service: read_name(reader.get_service())?,
        address: read_name(reader.get_address())?,
        availability_zone: read_name(reader.get_availability_zone())?,
        slots: reader.get_slots(),
        draining: reader.get_draining(),
        born_ms: reader.get_born_ms(),
        role: read_role(reader.get_role()?),
    })
}
