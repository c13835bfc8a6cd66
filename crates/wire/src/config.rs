//! Encoding of configuration revisions, orders and drain targets.

use conf::admin::{DrainTarget, FileText};
use conf::{Name, Role};
use fleet::{ConfigRevision, Configure, Order, OrderChange};

use crate::error::DecodeError;
use crate::peer_capnp as schema;

/// Reads a text field.
pub fn read_name(text: capnp::Result<capnp::text::Reader<'_>>) -> Result<Name, DecodeError> {
    Ok(Name::new(text?.to_str()?))
}

/// Reads a text field that may be absent.
pub fn read_optional_name(
    present: bool,
    text: capnp::Result<capnp::text::Reader<'_>>,
) -> Result<Option<Name>, DecodeError> {
    present.then(|| read_name(text)).transpose()
}

pub fn write_names(names: &[Name], mut builder: capnp::text_list::Builder<'_>) {
    for (index, name) in (0..).zip(names) {
        builder.set(index, name.as_str());
    }
}

pub fn read_names(reader: capnp::text_list::Reader<'_>) -> Result<Vec<Name>, DecodeError> {
    reader.iter().map(read_name).collect()
}

fn write_file_text(file: &FileText, mut builder: schema::file_text::Builder<'_>) {
    builder.set_name(file.name.as_str());
    builder.set_text(file.text.as_str());
}

fn read_file_text(reader: schema::file_text::Reader<'_>) -> Result<FileText, DecodeError> {
    Ok(FileText {
        name: read_name(reader.get_name())?,
        text: read_name(reader.get_text())?,
    })
}

fn write_file_texts(
    files: &[FileText],
    mut builder: capnp::struct_list::Builder<'_, schema::file_text::Owned>,
) {
    for (index, file) in (0..).zip(files) {
        write_file_text(file, builder.reborrow().get(index));
    }
}

fn read_file_texts(
    reader: capnp::struct_list::Reader<'_, schema::file_text::Owned>,
) -> Result<Vec<FileText>, DecodeError> {
    reader.iter().map(read_file_text).collect()
}

pub fn write_configure(configure: &Configure, mut builder: schema::configure::Builder<'_>) {
    builder.set_base_revision(configure.base_revision);
    builder.set_content_id(configure.content_id.as_str());
    builder.set_canonical(configure.canonical.as_str());
    write_file_texts(
        &configure.files,
        builder.reborrow().init_files(configure.files.len() as u32),
    );
    builder.set_author(configure.author.as_str());
}

pub fn read_configure(reader: schema::configure::Reader<'_>) -> Result<Configure, DecodeError> {
    Ok(Configure {
        base_revision: reader.get_base_revision(),
        content_id: read_name(reader.get_content_id())?,
        canonical: read_name(reader.get_canonical())?,
        files: read_file_texts(reader.get_files()?)?,
        author: read_name(reader.get_author())?,
    })
}

pub fn write_config_revision(
    revision: &ConfigRevision,
    mut builder: schema::config_revision::Builder<'_>,
) {
    builder.set_revision(revision.revision);
    builder.set_base_revision(revision.base_revision);
    builder.set_content_id(revision.content_id.as_str());
    builder.set_canonical(revision.canonical.as_str());
    write_file_texts(
        &revision.files,
        builder.reborrow().init_files(revision.files.len() as u32),
    );
    builder.set_author(revision.author.as_str());
    builder.set_at_ms(revision.at_ms);
}

pub fn read_config_revision(
    reader: schema::config_revision::Reader<'_>,
) -> Result<ConfigRevision, DecodeError> {
    Ok(ConfigRevision {
        revision: reader.get_revision(),
        base_revision: reader.get_base_revision(),
        content_id: read_name(reader.get_content_id())?,
        canonical: read_name(reader.get_canonical())?,
        files: read_file_texts(reader.get_files()?)?,
        author: read_name(reader.get_author())?,
        at_ms: reader.get_at_ms(),
    })
}

pub fn write_role(role: Option<Role>) -> schema::Role {
    match role {
        None => schema::Role::Unset,
        Some(Role::Prefill) => schema::Role::Prefill,
        Some(Role::Decode) => schema::Role::Decode,
        Some(Role::Mixed) => schema::Role::Mixed,
    }
}

pub fn read_role(role: schema::Role) -> Option<Role> {
    match role {
        schema::Role::Unset => None,
        schema::Role::Prefill => Some(Role::Prefill),
        schema::Role::Decode => Some(Role::Decode),
        schema::Role::Mixed => Some(Role::Mixed),
    }
}

pub fn write_order_change(change: &OrderChange, mut builder: schema::order_change::Builder<'_>) {
    builder.set_role(write_role(change.role));
    if let Some(load) = &change.load {
        builder.set_load(load.as_str());
    }
    if let Some(unload) = &change.unload {
        builder.set_unload(unload.as_str());
    }
}

pub fn read_order_change(
    reader: schema::order_change::Reader<'_>,
) -> Result<OrderChange, DecodeError> {
    Ok(OrderChange {
        role: read_role(reader.get_role()?),
        load: read_optional_name(reader.has_load(), reader.get_load())?,
        unload: read_optional_name(reader.has_unload(), reader.get_unload())?,
    })
}

pub fn write_order(order: &Order, mut builder: schema::order::Builder<'_>) {
    builder.set_upstream(order.upstream.as_str());
    builder.set_sequence(order.sequence);
    write_order_change(&order.change, builder.init_change());
}

pub fn read_order(reader: schema::order::Reader<'_>) -> Result<Order, DecodeError> {
    Ok(Order {
        upstream: read_name(reader.get_upstream())?,
        sequence: reader.get_sequence(),
        change: read_order_change(reader.get_change()?)?,
    })
}

pub fn write_drain_target(target: &DrainTarget, mut builder: schema::drain_target::Builder<'_>) {
    match target {
        DrainTarget::Instance(id) => builder.set_instance(id.as_str()),
        DrainTarget::Upstream(name) => builder.set_upstream(name.as_str()),
    }
}

pub fn read_drain_target(
    reader: schema::drain_target::Reader<'_>,
) -> Result<DrainTarget, DecodeError> {
    Ok(match reader.which()? {
        schema::drain_target::Instance(id) => DrainTarget::Instance(read_name(id)?),
        schema::drain_target::Upstream(name) => DrainTarget::Upstream(read_name(name)?),
    })
}
