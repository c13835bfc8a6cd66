//! Snapshot files.

use std::path::{Path, PathBuf};

use bytes::{Buf, BufMut, Bytes};
use quorum::Snapshot;

use crate::codec;
use crate::error::Error;
use crate::files::{self, Folder};

/// Header of every snapshot file. The last byte is the version of the format.
const SNAPSHOT_HEADER: &[u8; 8] = b"mssnap\0\x02";
/// Header of the version that does not state the first segment.
const HEADER_WITHOUT_SEGMENT: &[u8; 8] = b"mssnap\0\x01";

/// Length of the header and the checksum, in bytes.
const PREFIX_BYTES: usize = SNAPSHOT_HEADER.len() + 4;

const FILE_PREFIX: &str = "snapshot-";
const FILE_SUFFIX: &str = ".snap";

/// A snapshot as its file holds it.
#[derive(Debug)]
pub(crate) struct SavedSnapshot {
    pub(crate) snapshot: Snapshot,
    /// Number of the first segment that is needed besides the snapshot; none if the file does not state it.
    pub(crate) first_segment: Option<u64>,
}

/// Writes the snapshot to a file and makes the file durable. The segments before `first_segment` are then not needed.
pub(crate) fn save(folder: &Folder, snapshot: &Snapshot, first_segment: u64) -> Result<(), Error> {
    let mut payload = Vec::new();
    payload.put_u64_le(first_segment);
    codec::put_snapshot(&mut payload, snapshot);
    let mut content = Vec::with_capacity(PREFIX_BYTES + payload.len());
    content.put_slice(SNAPSHOT_HEADER);
    content.put_u32_le(crc32fast::hash(&payload));
    content.put_slice(&payload);
    let path = snapshot_path(&folder.path, snapshot.index);
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    folder.replace(&name, &content)
}

/// Loads the latest snapshot, or returns `None` if the folder holds none.
pub(crate) fn load_latest(folder: &Path) -> Result<Option<SavedSnapshot>, Error> {
    match list_indexes(folder)?.last() {
        Some(index) => load(&snapshot_path(folder, *index)).map(Some),
        None => Ok(None),
    }
}

/// Returns whether the folder holds a snapshot.
pub(crate) fn exists(folder: &Path) -> Result<bool, Error> {
    Ok(!list_indexes(folder)?.is_empty())
}

/// Removes the snapshots whose index is below `index`.
pub(crate) fn remove_before(folder: &Folder, index: u64) -> Result<(), Error> {
    for old in list_indexes(&folder.path)? {
        if old < index {
            folder.remove(&snapshot_path(&folder.path, old))?;
        }
    }
    Ok(())
}

fn load(path: &Path) -> Result<SavedSnapshot, Error> {
    let content = Bytes::from(files::read(path)?.unwrap_or_default());
    decode(content).ok_or_else(|| Error::damaged(path, 0))
}

fn decode(mut content: Bytes) -> Option<SavedSnapshot> {
    let has_segment = content.starts_with(SNAPSHOT_HEADER);
    if content.len() < PREFIX_BYTES || !(has_segment || content.starts_with(HEADER_WITHOUT_SEGMENT))
    {
        return None;
    }
    content.advance(SNAPSHOT_HEADER.len());
    if content.get_u32_le() != crc32fast::hash(&content) {
        return None;
    }
    let first_segment = match has_segment {
        true => Some(content.try_get_u64_le().ok()?),
        false => None,
    };
    let snapshot = codec::get_snapshot(content).ok()?;
    Some(SavedSnapshot {
        snapshot,
        first_segment,
    })
}

fn list_indexes(folder: &Path) -> Result<Vec<u64>, Error> {
    files::list_numbers(folder, FILE_PREFIX, FILE_SUFFIX)
}

fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    files::numbered_path(folder, FILE_PREFIX, index, FILE_SUFFIX)
}
