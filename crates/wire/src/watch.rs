//! Encoding of subscriptions to a replica and of the replica's replies.

use std::sync::Arc;

use bytes::Bytes;
use fleet::{
    LeavingUpstream, LimitReport, LimitShare, ListingUpdate, PrefixUse, ServiceRate, SpeedReport,
    UpstreamList, UpstreamLoad, UpstreamRecord, UsageCount, Watch, WatchReply,
};

use crate::compression;
use crate::config::{read_name, read_role, write_role};
use crate::encoding::{self, MAX_ENCODED_BYTES};
use crate::error::{DecodeError, EncodeError};
use crate::membership::{read_instance_info, write_instance_info};
use crate::peer_capnp as schema;
use crate::peer_capnp::watch_reply::listing_update::Which;
use crate::quarantine;

/// Age that stands for an unknown one.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

pub fn write_watch(watch: &Watch, mut builder: schema::watch::Builder<'_>) {
    write_instance_info(&watch.info, builder.reborrow().init_info());
    builder.set_sequence(watch.sequence);
    builder.set_accepts_callers(watch.accepts_callers);
    builder.set_is_probe(watch.is_probe);
    builder.set_version(watch.version);
    builder.set_listing(watch.listing);
    write_loads(
        &watch.loads,
        builder.reborrow().init_loads(watch.loads.len() as u32),
    );
    write_prefix_uses(
        &watch.prefix_uses,
        builder
            .reborrow()
            .init_prefix_uses(watch.prefix_uses.len() as u32),
    );
    quarantine::write_report(&watch.quarantine, builder.reborrow().init_quarantine());
    if !watch.limits.is_empty() {
        let mut list = builder.reborrow().init_limits(watch.limits.len() as u32);
        for (index, limit) in (0..).zip(&watch.limits) {
            let mut builder = list.reborrow().get(index);
            builder.set_upstream_key(limit.upstream_key);
            builder.set_per_s(limit.per_s.unwrap_or_default());
            builder.set_has_ended(limit.per_s.is_none());
            builder.set_age_ms(limit.age_ms);
        }
    }
    if !watch.usage.is_empty() {
        let mut list = builder.reborrow().init_usage(watch.usage.len() as u32);
        for (index, usage) in (0..).zip(&watch.usage) {
            let mut builder = list.reborrow().get(index);
            builder.set_source(usage.source);
            builder.set_window(usage.window);
            builder.set_account(usage.account.as_str());
            builder.set_count(usage.count);
        }
    }
    if !watch.demand.is_empty() {
        let mut list = builder.reborrow().init_demand(watch.demand.len() as u32);
        for (index, rate) in (0..).zip(&watch.demand) {
            write_rate(rate, list.reborrow().get(index));
        }
    }
    if !watch.speeds.is_empty() {
        write_speeds(
            &watch.speeds,
            builder.reborrow().init_speeds(watch.speeds.len() as u32),
        );
    }
    if !watch.leaving.is_empty() {
        let mut list = builder.init_leaving(watch.leaving.len() as u32);
        for (index, leaving) in (0..).zip(&watch.leaving) {
            let mut builder = list.reborrow().get(index);
            builder.set_upstream_key(leaving.upstream_key);
            builder.set_born_ms(leaving.born_ms);
        }
    }
}

fn write_speeds(
    speeds: &[SpeedReport],
    mut list: capnp::struct_list::Builder<'_, schema::speed_report::Owned>,
) {
    for (index, report) in (0..).zip(speeds) {
        let mut builder = list.reborrow().get(index);
        builder.set_upstream_key(report.upstream_key);
        builder.set_stated_percent(report.stated_percent);
        builder.set_age_ms(report.age_ms);
        builder.set_prompt_percent(report.prompt_percent);
        builder.set_output_percent(report.output_percent);
    }
}

fn read_speed(reader: schema::speed_report::Reader<'_>) -> SpeedReport {
    SpeedReport {
        upstream_key: reader.get_upstream_key(),
        stated_percent: reader.get_stated_percent(),
        age_ms: reader.get_age_ms(),
        prompt_percent: reader.get_prompt_percent(),
        output_percent: reader.get_output_percent(),
    }
}

fn write_rate(rate: &ServiceRate, mut builder: schema::service_rate::Builder<'_>) {
    builder.set_service(rate.service.as_str());
    builder.set_availability_zone(rate.availability_zone.as_str());
    builder.set_requests_per_s(rate.requests_per_s);
    builder.set_prompt_tokens_per_s(rate.prompt_tokens_per_s);
    builder.set_output_tokens_per_s(rate.output_tokens_per_s);
    builder.set_late_requests_per_s(rate.late_requests_per_s);
}

fn read_rate(reader: schema::service_rate::Reader<'_>) -> Result<ServiceRate, DecodeError> {
    Ok(ServiceRate {
        service: read_name(reader.get_service())?,
        availability_zone: read_name(reader.get_availability_zone())?,
        requests_per_s: reader.get_requests_per_s(),
        prompt_tokens_per_s: reader.get_prompt_tokens_per_s(),
        output_tokens_per_s: reader.get_output_tokens_per_s(),
        late_requests_per_s: reader.get_late_requests_per_s(),
    })
}

fn read_usage(reader: schema::usage_count::Reader<'_>) -> Result<UsageCount, DecodeError> {
    Ok(UsageCount {
        source: reader.get_source(),
        window: reader.get_window(),
        account: read_name(reader.get_account())?,
        count: reader.get_count(),
    })
}

pub fn read_watch(reader: schema::watch::Reader<'_>) -> Result<Watch, DecodeError> {
    Ok(Watch {
        info: read_instance_info(reader.get_info()?)?,
        sequence: reader.get_sequence(),
        accepts_callers: reader.get_accepts_callers(),
        is_probe: reader.get_is_probe(),
        version: reader.get_version(),
        listing: reader.get_listing(),
        loads: reader.get_loads()?.iter().map(read_load).collect(),
        prefix_uses: reader
            .get_prefix_uses()?
            .iter()
            .map(read_prefix_use)
            .collect(),
        quarantine: quarantine::read_report(reader.get_quarantine()?)?,
        limits: reader
            .get_limits()?
            .iter()
            .map(|limit| LimitReport {
                upstream_key: limit.get_upstream_key(),
                per_s: (!limit.get_has_ended()).then(|| limit.get_per_s()),
                age_ms: limit.get_age_ms(),
            })
            .collect(),
        usage: reader
            .get_usage()?
            .iter()
            .map(read_usage)
            .collect::<Result<_, _>>()?,
        demand: reader
            .get_demand()?
            .iter()
            .map(read_rate)
            .collect::<Result<_, _>>()?,
        speeds: reader.get_speeds()?.iter().map(read_speed).collect(),
        leaving: reader
            .get_leaving()?
            .iter()
            .map(|leaving| LeavingUpstream {
                upstream_key: leaving.get_upstream_key(),
                born_ms: leaving.get_born_ms(),
            })
            .collect(),
    })
}

pub fn write_watch_reply(
    reply: &WatchReply,
    mut builder: schema::watch_reply::Builder<'_>,
) -> Result<(), EncodeError> {
    builder.set_sequence(reply.sequence);
    builder.set_is_current(reply.is_current);
    builder.set_version(reply.version);
    builder.set_document_age_ms(reply.document_age_ms.unwrap_or(UNKNOWN_AGE_MS));
    builder.set_listing(reply.listing);
    builder.set_listing_age_ms(reply.listing_age_ms);
    builder.set_entries(reply.entries);
    builder.set_watch_interval_ms(reply.watch_interval_ms);
    if let Some(document) = &reply.document {
        builder.set_document(document);
    }
    write_listing_update(
        reply.listing_update.as_ref(),
        builder.reborrow().init_listing_update(),
    )?;
    let mut list = builder
        .reborrow()
        .init_replicas(reply.replicas.len() as u32);
    for (index, info) in (0..).zip(&reply.replicas) {
        write_instance_info(info, list.reborrow().get(index));
    }
    if let Some(loads) = &reply.loads {
        write_loads(loads, builder.reborrow().init_loads(loads.len() as u32));
    }
    write_prefix_uses(
        &reply.prefix_uses,
        builder
            .reborrow()
            .init_prefix_uses(reply.prefix_uses.len() as u32),
    );
    quarantine::write_update(&reply.quarantine, builder.reborrow().init_quarantine());
    if !reply.limit_shares.is_empty() {
        let mut list = builder
            .reborrow()
            .init_limit_shares(reply.limit_shares.len() as u32);
        for (index, share) in (0..).zip(&reply.limit_shares) {
            let mut builder = list.reborrow().get(index);
            builder.set_upstream_key(share.upstream_key);
            builder.set_per_s(share.per_s.unwrap_or_default());
            builder.set_has_ended(share.per_s.is_none());
            builder.set_share_per_s(share.share_per_s);
        }
    }
    if !reply.speeds.is_empty() {
        write_speeds(
            &reply.speeds,
            builder.init_speeds(reply.speeds.len() as u32),
        );
    }
    Ok(())
}

pub fn read_watch_reply(
    reader: schema::watch_reply::Reader<'_>,
) -> Result<WatchReply, DecodeError> {
    let document = match reader.has_document() {
        true => Some(Bytes::copy_from_slice(reader.get_document()?)),
        false => None,
    };
    let loads = match reader.has_loads() {
        true => Some(reader.get_loads()?.iter().map(read_load).collect()),
        false => None,
    };
    Ok(WatchReply {
        sequence: reader.get_sequence(),
        is_current: reader.get_is_current(),
        version: reader.get_version(),
        document_age_ms: Some(reader.get_document_age_ms())
            .filter(|age_ms| *age_ms != UNKNOWN_AGE_MS),
        document,
        listing: reader.get_listing(),
        listing_age_ms: reader.get_listing_age_ms(),
        listing_update: read_listing_update(reader.get_listing_update())?,
        replicas: reader
            .get_replicas()?
            .iter()
            .map(read_instance_info)
            .collect::<Result<_, _>>()?,
        entries: reader.get_entries(),
        watch_interval_ms: reader.get_watch_interval_ms(),
        loads,
        prefix_uses: reader
            .get_prefix_uses()?
            .iter()
            .map(read_prefix_use)
            .collect(),
        quarantine: quarantine::read_update(reader.get_quarantine()?)?,
        limit_shares: reader
            .get_limit_shares()?
            .iter()
            .map(|share| LimitShare {
                upstream_key: share.get_upstream_key(),
                per_s: (!share.get_has_ended()).then(|| share.get_per_s()),
                share_per_s: share.get_share_per_s(),
            })
            .collect(),
        speeds: reader.get_speeds()?.iter().map(read_speed).collect(),
    })
}

fn write_listing_update(
    update: Option<&ListingUpdate>,
    mut builder: schema::watch_reply::listing_update::Builder<'_>,
) -> Result<(), EncodeError> {
    match update {
        None => builder.set_none(()),
        Some(ListingUpdate::Complete(list)) => builder.set_complete(&encode_list(list)?),
        Some(ListingUpdate::Changes {
            base,
            changed,
            removed,
        }) => {
            let mut builder = builder.init_changes();
            builder.set_base(*base);
            write_upstream_records(
                changed,
                builder.reborrow().init_changed(changed.len() as u32),
            );
            let mut list = builder.init_removed(removed.len() as u32);
            for (index, id) in (0..).zip(removed) {
                list.set(index, id.as_str());
            }
        }
    }
    Ok(())
}

fn read_listing_update(
    reader: schema::watch_reply::listing_update::Reader<'_>,
) -> Result<Option<ListingUpdate>, DecodeError> {
    Ok(match reader.which()? {
        Which::None(()) => None,
        Which::Complete(data) => Some(ListingUpdate::Complete(Arc::new(decode_list(data?)?))),
        Which::Changes(changes) => Some(ListingUpdate::Changes {
            base: changes.get_base(),
            changed: changes
                .get_changed()?
                .iter()
                .map(read_upstream_record)
                .collect::<Result<_, _>>()?,
            removed: changes
                .get_removed()?
                .iter()
                .map(read_name)
                .collect::<Result<_, _>>()?,
        }),
    })
}

/// Returns the encoded and compressed list, which is computed by the first message that carries the list.
fn encode_list(list: &UpstreamList) -> Result<Bytes, EncodeError> {
    if let Some(encoded) = list.encoded.get() {
        return Ok(encoded.clone());
    }
    let mut builder = capnp::message::Builder::new_default();
    let root: schema::upstream_list::Builder<'_> = builder.init_root();
    write_upstream_records(
        &list.records,
        root.init_upstreams(list.records.len() as u32),
    );
    let bytes = encoding::to_bytes(&builder, MAX_ENCODED_BYTES)?;
    let compressed = compression::compress(&bytes)?;
    Ok(list.encoded.get_or_init(|| compressed).clone())
}

fn decode_list(data: &[u8]) -> Result<UpstreamList, DecodeError> {
    let bytes = compression::decompress(data, MAX_ENCODED_BYTES)?;
    let message = encoding::from_bytes(&bytes, MAX_ENCODED_BYTES)?;
    let root: schema::upstream_list::Reader<'_> = message.get_root()?;
    let records = root.get_upstreams()?.iter().map(read_upstream_record);
    Ok(UpstreamList::new(records.collect::<Result<_, _>>()?))
}

fn write_loads(
    loads: &[UpstreamLoad],
    mut list: capnp::struct_list::Builder<'_, schema::upstream_load::Owned>,
) {
    for (index, load) in (0..).zip(loads) {
        let mut builder = list.reborrow().get(index);
        builder.set_upstream_key(load.upstream_key);
        builder.set_running(load.running);
        builder.set_prompt_tokens(load.prompt_tokens);
    }
}

fn read_load(reader: schema::upstream_load::Reader<'_>) -> UpstreamLoad {
    UpstreamLoad {
        upstream_key: reader.get_upstream_key(),
        running: reader.get_running(),
        prompt_tokens: reader.get_prompt_tokens(),
    }
}

fn write_prefix_uses(
    prefix_uses: &[PrefixUse],
    mut list: capnp::struct_list::Builder<'_, schema::prefix_use::Owned>,
) {
    for (index, prefix_use) in (0..).zip(prefix_uses) {
        let mut builder = list.reborrow().get(index);
        builder.set_key(prefix_use.key);
        builder.set_upstream_key(prefix_use.upstream_key);
    }
}

fn read_prefix_use(reader: schema::prefix_use::Reader<'_>) -> PrefixUse {
    PrefixUse {
        key: reader.get_key(),
        upstream_key: reader.get_upstream_key(),
    }
}

fn write_upstream_records(
    records: &[UpstreamRecord],
    mut list: capnp::struct_list::Builder<'_, schema::upstream_record::Owned>,
) {
    for (index, record) in (0..).zip(records) {
        write_upstream_record(record, list.reborrow().get(index));
    }
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
    builder.set_is_changing(upstream.is_changing);
    builder.set_is_reclaimable(upstream.is_reclaimable);
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
        is_changing: reader.get_is_changing(),
        is_reclaimable: reader.get_is_reclaimable(),
    })
}
