//! Entries of the log, and the state that a snapshot holds.

use std::sync::Arc;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use conf::Name;

/// Stands in place of a document's version in front of every command that is encoded with a tag: each one that is no
/// document, and the document with this version.
const TAGGED: u64 = u64::MAX;
const SNAPSHOT: u8 = 0;
const COMMIT_USAGE: u8 = 1;
const USAGE_STATE: u8 = 2;
const DOCUMENT: u8 = 3;

/// Requests of one window by client account, sorted by name.
pub type WindowCounts = Arc<[(Name, u64)]>;

/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Publishes a document.
    Document { version: u64, document: Bytes },
    /// Fixes the usage of a window, which is reported only afterwards.
    CommitUsage {
        /// Number of the window.
        window: u64,
        counts: WindowCounts,
        /// Windows whose reports the platform has accepted.
        accepted: Vec<u64>,
    },
    /// The whole state of the usage reports, in snapshots only.
    UsageState {
        /// The first window that is not committed.
        next_window: u64,
        /// Committed windows whose reports the platform has not accepted, as far as known.
        pending: Vec<(u64, WindowCounts)>,
    },
}

impl Command {
    /// Encodes the command as a log entry.
    pub fn encode(&self) -> Bytes {
        let mut bytes = BytesMut::new();
        match self {
            Self::Document { version, document } => {
                bytes.reserve(9 + document.len());
                match *version {
                    TAGGED => put_tag(&mut bytes, DOCUMENT),
                    version => bytes.put_u64_le(version),
                }
                bytes.put_slice(document);
            }
            Self::CommitUsage {
                window,
                counts,
                accepted,
            } => {
                put_tag(&mut bytes, COMMIT_USAGE);
                put_window(&mut bytes, *window, counts);
                bytes.put_u32_le(accepted.len() as u32);
                accepted.iter().for_each(|window| bytes.put_u64_le(*window));
            }
            Self::UsageState {
                next_window,
                pending,
            } => {
                put_tag(&mut bytes, USAGE_STATE);
                bytes.put_u64_le(*next_window);
                bytes.put_u32_le(pending.len() as u32);
                for (window, counts) in pending {
                    put_window(&mut bytes, *window, counts);
                }
            }
        }
        bytes.freeze()
    }

    /// Decodes a log entry; `None` if it is malformed.
    pub fn decode(mut bytes: Bytes) -> Option<Self> {
        let version = bytes.try_get_u64_le().ok()?;
        if version != TAGGED {
            return Some(Self::Document {
                version,
                document: bytes,
            });
        }
        match bytes.try_get_u8().ok()? {
            DOCUMENT => Some(Self::Document {
                version: TAGGED,
                document: bytes,
            }),
            COMMIT_USAGE => {
                let (window, counts) = get_window(&mut bytes)?;
                let accepted = bytes.try_get_u32_le().ok()?;
                let accepted = (0..accepted).map(|_| bytes.try_get_u64_le().ok());
                Some(Self::CommitUsage {
                    window,
                    counts,
                    accepted: accepted.collect::<Option<_>>()?,
                })
            }
            USAGE_STATE => {
                let next_window = bytes.try_get_u64_le().ok()?;
                let windows = bytes.try_get_u32_le().ok()?;
                let pending = (0..windows).map(|_| get_window(&mut bytes));
                Some(Self::UsageState {
                    next_window,
                    pending: pending.collect::<Option<_>>()?,
                })
            }
            _ => None,
        }
    }
}

/// Encodes the state of a snapshot, as the commands that lead to it. A snapshot of a document alone is encoded like the
/// document.
pub fn encode_snapshot(commands: &[Command]) -> Bytes {
    match commands {
        [] => Bytes::new(),
        [document @ Command::Document { .. }] => document.encode(),
        commands => {
            let mut bytes = BytesMut::new();
            put_tag(&mut bytes, SNAPSHOT);
            for command in commands {
                let encoded = command.encode();
                bytes.put_u32_le(encoded.len() as u32);
                bytes.put_slice(&encoded);
            }
            bytes.freeze()
        }
    }
}

/// Decodes the state of a snapshot; `None` if it is malformed.
pub fn decode_snapshot(mut bytes: Bytes) -> Option<Vec<Command>> {
    if bytes.is_empty() {
        return Some(Vec::new());
    }
    let mut head = bytes.clone();
    let is_list = head.try_get_u64_le() == Ok(TAGGED) && head.try_get_u8() == Ok(SNAPSHOT);
    if !is_list {
        return Some(vec![Command::decode(bytes)?]);
    }
    bytes.advance(bytes.len() - head.len());
    let mut commands = Vec::new();
    while !bytes.is_empty() {
        let length = bytes.try_get_u32_le().ok()? as usize;
        if length > bytes.len() {
            return None;
        }
        commands.push(Command::decode(bytes.split_to(length))?);
    }
    Some(commands)
}

fn put_tag(bytes: &mut BytesMut, tag: u8) {
    bytes.put_u64_le(TAGGED);
    bytes.put_u8(tag);
}

fn put_window(bytes: &mut BytesMut, window: u64, counts: &WindowCounts) {
    bytes.put_u64_le(window);
    bytes.put_u32_le(counts.len() as u32);
    for (account, count) in counts.iter() {
        bytes.put_u32_le(account.len() as u32);
        bytes.put_slice(account.as_bytes());
        bytes.put_u64_le(*count);
    }
}

fn get_window(bytes: &mut Bytes) -> Option<(u64, WindowCounts)> {
    let window = bytes.try_get_u64_le().ok()?;
    let accounts = bytes.try_get_u32_le().ok()?;
    let counts = (0..accounts).map(|_| {
        let length = bytes.try_get_u32_le().ok()? as usize;
        if length > bytes.len() {
            return None;
        }
        let account = std::str::from_utf8(&bytes.split_to(length))
            .ok()
            .map(Name::new)?;
        Some((account, bytes.try_get_u64_le().ok()?))
    });
    let counts: Option<Vec<_>> = counts.collect();
    Some((window, counts?.into()))
}
