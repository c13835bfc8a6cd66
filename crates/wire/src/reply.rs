//! Encoding of replies to proposals.

use fleet::{CommandReply, ConfigureReply, ProposeReply};

use crate::config::{read_name, read_optional_name};
use crate::error::DecodeError;
use crate::ledger::{read_begin_reply, write_begin_reply};
use crate::peer_capnp as schema;

fn write_configure_reply(reply: &ConfigureReply, root: schema::configure_reply::Builder<'_>) {
    match reply {
        ConfigureReply::Accepted { revision } => root.init_accepted().set_revision(*revision),
        ConfigureReply::Conflict {
            current_revision,
            current_content_id,
            author,
        } => {
            let mut builder = root.init_conflict();
            builder.set_current_revision(*current_revision);
            builder.set_current_content_id(current_content_id.as_str());
            builder.set_author(author.as_str());
        }
    }
}

fn read_configure_reply(
    reader: schema::configure_reply::Reader<'_>,
) -> Result<ConfigureReply, DecodeError> {
    Ok(match reader.which()? {
        schema::configure_reply::Accepted(accepted) => ConfigureReply::Accepted {
            revision: accepted.get_revision(),
        },
        schema::configure_reply::Conflict(conflict) => ConfigureReply::Conflict {
            current_revision: conflict.get_current_revision(),
            current_content_id: read_name(conflict.get_current_content_id())?,
            author: read_name(conflict.get_author())?,
        },
    })
}

fn write_command_reply(reply: &CommandReply, mut root: schema::command_reply::Builder<'_>) {
    match reply {
        CommandReply::Configure(reply) => write_configure_reply(reply, root.init_configure()),
        CommandReply::Begin(reply) => write_begin_reply(reply, root.init_begin()),
        CommandReply::Applied => root.set_applied(()),
        CommandReply::Refused(reason) => root.set_refused(reason.as_str()),
    }
}

fn read_command_reply(
    reader: schema::command_reply::Reader<'_>,
) -> Result<CommandReply, DecodeError> {
    use schema::command_reply as c;
    Ok(match reader.which()? {
        c::Configure(reply) => CommandReply::Configure(read_configure_reply(reply?)?),
        c::Begin(reply) => CommandReply::Begin(read_begin_reply(reply?)?),
        c::Applied(()) => CommandReply::Applied,
        c::Refused(reason) => CommandReply::Refused(read_name(reason)?),
    })
}

pub fn write_propose_reply(reply: &ProposeReply, root: schema::propose_reply::Builder<'_>) {
    match reply {
        ProposeReply::Applied(reply) => write_command_reply(reply, root.init_applied()),
        ProposeReply::NotLeader { leader } => {
            let mut builder = root.init_not_leader();
            if let Some(leader) = leader {
                builder.set_leader(leader.as_str());
            }
        }
    }
}

pub fn read_propose_reply(
    reader: schema::propose_reply::Reader<'_>,
) -> Result<ProposeReply, DecodeError> {
    Ok(match reader.which()? {
        schema::propose_reply::Applied(reply) => ProposeReply::Applied(read_command_reply(reply?)?),
        schema::propose_reply::NotLeader(not_leader) => ProposeReply::NotLeader {
            leader: read_optional_name(not_leader.has_leader(), not_leader.get_leader())?,
        },
    })
}
