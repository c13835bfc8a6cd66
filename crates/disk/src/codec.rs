//! Little-endian encoding of log records and snapshots.

use bytes::{Buf, BufMut, Bytes, TryGetError};
use faststr::FastStr;
use quorum::{Entry, EntryBody, MemberSet, ReplicaId, Snapshot};

const TAG_TERM: u8 = 1;
const TAG_APPEND: u8 = 2;

const BODY_EMPTY: u8 = 0;
const BODY_COMMAND: u8 = 1;
const BODY_MEMBERS: u8 = 2;

/// Set in the number of a member set's instances if the list of superseded instances follows. Earlier versions wrote no
/// such list.
const HAS_SUPERSEDED: u32 = 1 << 31;

/// A record of a log segment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Record {
    Term {
        term: u64,
        voted_for: Option<ReplicaId>,
    },
    Append {
        from_index: u64,
        entries: Vec<Entry>,
    },
}

/// Error of decoding bytes that are not a valid record or snapshot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Malformed;

impl From<TryGetError> for Malformed {
    fn from(_: TryGetError) -> Self {
        Self
    }
}

pub(crate) fn put_term(out: &mut Vec<u8>, term: u64, voted_for: Option<&ReplicaId>) {
    out.put_u8(TAG_TERM);
    out.put_u64_le(term);
    out.put_u8(voted_for.is_some().into());
    if let Some(id) = voted_for {
        put_id(out, id);
    }
}

pub(crate) fn put_append(out: &mut Vec<u8>, from_index: u64, entries: &[Entry]) {
    out.put_u8(TAG_APPEND);
    out.put_u64_le(from_index);
    out.put_u32_le(entries.len() as u32);
    for entry in entries {
        out.put_u64_le(entry.term);
        put_body(out, &entry.body);
    }
}

pub(crate) fn get_record(mut from: Bytes) -> Result<Record, Malformed> {
    match from.try_get_u8()? {
        TAG_TERM => get_term(&mut from),
        TAG_APPEND => get_append(&mut from),
        _ => Err(Malformed),
    }
}

pub(crate) fn put_snapshot(out: &mut Vec<u8>, snapshot: &Snapshot) {
    out.put_u64_le(snapshot.index);
    out.put_u64_le(snapshot.term);
    put_members(out, &snapshot.members);
    out.put_slice(&snapshot.state);
}

pub(crate) fn get_snapshot(mut from: Bytes) -> Result<Snapshot, Malformed> {
    Ok(Snapshot {
        index: from.try_get_u64_le()?,
        term: from.try_get_u64_le()?,
        members: get_members(&mut from)?,
        state: from,
    })
}

fn get_term(from: &mut Bytes) -> Result<Record, Malformed> {
    let term = from.try_get_u64_le()?;
    let voted_for = match from.try_get_u8()? {
        0 => None,
        _ => Some(get_id(from)?),
    };
    Ok(Record::Term { term, voted_for })
}

fn get_append(from: &mut Bytes) -> Result<Record, Malformed> {
    let from_index = from.try_get_u64_le()?;
    let count = from.try_get_u32_le()?;
    let mut entries = Vec::new();
    for index in (from_index..).take(count as usize) {
        entries.push(Entry {
            index,
            term: from.try_get_u64_le()?,
            body: get_body(from)?,
        });
    }
    Ok(Record::Append {
        from_index,
        entries,
    })
}

fn put_body(out: &mut Vec<u8>, body: &EntryBody) {
    match body {
        EntryBody::Empty => out.put_u8(BODY_EMPTY),
        EntryBody::Command(command) => {
            out.put_u8(BODY_COMMAND);
            put_bytes(out, command);
        }
        EntryBody::Members(members) => {
            out.put_u8(BODY_MEMBERS);
            put_members(out, members);
        }
    }
}

fn get_body(from: &mut Bytes) -> Result<EntryBody, Malformed> {
    match from.try_get_u8()? {
        BODY_EMPTY => Ok(EntryBody::Empty),
        BODY_COMMAND => Ok(EntryBody::Command(get_bytes(from)?)),
        BODY_MEMBERS => Ok(EntryBody::Members(get_members(from)?)),
        _ => Err(Malformed),
    }
}

fn put_members(out: &mut Vec<u8>, members: &MemberSet) {
    out.put_u64_le(members.index);
    put_list(out, &members.voters, put_id);
    put_list(out, &members.learners, put_id);
    if members.superseded.is_empty() {
        return put_list(out, &members.instances, put_name);
    }
    out.put_u32_le(members.instances.len() as u32 | HAS_SUPERSEDED);
    members
        .instances
        .iter()
        .for_each(|name| put_name(out, name));
    put_list(out, &members.superseded, put_name);
}

fn get_members(from: &mut Bytes) -> Result<MemberSet, Malformed> {
    let index = from.try_get_u64_le()?;
    let voters = get_list(from, get_id)?;
    let learners = get_list(from, get_id)?;
    let count = from.try_get_u32_le()?;
    let instances = (0..count & !HAS_SUPERSEDED).map(|_| get_name(from));
    let instances = instances.collect::<Result<_, _>>()?;
    let superseded = match count & HAS_SUPERSEDED {
        0 => Vec::new(),
        _ => get_list(from, get_name)?,
    };
    Ok(MemberSet {
        index,
        voters,
        learners,
        instances,
        superseded,
    })
}

fn put_list<T>(out: &mut Vec<u8>, items: &[T], put: fn(&mut Vec<u8>, &T)) {
    out.put_u32_le(items.len() as u32);
    for item in items {
        put(out, item);
    }
}

fn get_list<T>(
    from: &mut Bytes,
    get: fn(&mut Bytes) -> Result<T, Malformed>,
) -> Result<Vec<T>, Malformed> {
    let count = from.try_get_u32_le()?;
    (0..count).map(|_| get(from)).collect()
}

fn put_id(out: &mut Vec<u8>, id: &ReplicaId) {
    put_name(out, &id.instance);
    out.put_u64_le(id.storage_id);
}

fn get_id(from: &mut Bytes) -> Result<ReplicaId, Malformed> {
    Ok(ReplicaId {
        instance: get_name(from)?,
        storage_id: from.try_get_u64_le()?,
    })
}

fn put_name(out: &mut Vec<u8>, name: &FastStr) {
    put_bytes(out, name.as_bytes());
}

fn get_name(from: &mut Bytes) -> Result<FastStr, Malformed> {
    let bytes = get_bytes(from)?;
    FastStr::from_bytes(bytes).map_err(|_| Malformed)
}

fn put_bytes(out: &mut Vec<u8>, bytes: &[u8]) {
    out.put_u32_le(bytes.len() as u32);
    out.put_slice(bytes);
}

fn get_bytes(from: &mut Bytes) -> Result<Bytes, Malformed> {
    let length = from.try_get_u32_le()? as usize;
    if length > from.len() {
        return Err(Malformed);
    }
    Ok(from.split_to(length))
}
