//! Snapshot files.

use std::path::{Path, PathBuf};

use bytes::{Buf, BufMut, Bytes};
use quorum::Snapshot;

use crate::codec;
use crate::error::Error;
use crate::files;

/// Start of every snapshot; the last byte is the version of the format.
const HEADER: &[u8; 8] = b"mssnap\0\x01";

/// Header and checksum.
const PREFIX_BYTES: usize = HEADER.len() + 4;

const NAME_PREFIX: &str = "snapshot-";
const NAME_SUFFIX: &str = ".snap";

/// Writes the snapshot durably.
pub(crate) fn save(folder: &Path, snapshot: &Snapshot) -> Result<(), Error> {
    let mut payload = Vec::new();
    codec::put_snapshot(&mut payload, snapshot);
    let mut content = Vec::with_capacity(PREFIX_BYTES + payload.len());
    content.put_slice(HEADER);
    content.put_u32_le(crc32fast::hash(&payload));
    content.put_slice(&payload);
    let path = path(folder, snapshot.index);
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    files::replace(folder, &name, &content)
}

/// Loads the latest snapshot.
pub(crate) fn load_latest(folder: &Path) -> Result<Option<Snapshot>, Error> {
    match indexes(folder)?.last() {
        Some(index) => load(&path(folder, *index)).map(Some),
        None => Ok(None),
    }
}

/// Returns whether there is a snapshot.
pub(crate) fn exists(folder: &Path) -> Result<bool, Error> {
    Ok(!indexes(folder)?.is_empty())
}

/// Removes the snapshots before `index`.
pub(crate) fn remove_before(folder: &Path, index: u64) -> Result<(), Error> {
    for old in indexes(folder)? {
        if old < index {
            files::remove(&path(folder, old))?;
        }
    }
    Ok(())
}

fn load(path: &Path) -> Result<Snapshot, Error> {
    let mut content = Bytes::from(files::read(path)?.unwrap_or_default());
    let damaged = || Error::damaged(path, 0);
    if content.len() < PREFIX_BYTES || !content.starts_with(HEADER) {
        return Err(damaged());
    }
    content.advance(HEADER.len());
    if content.get_u32_le() != crc32fast::hash(&content) {
        return Err(damaged());
    }
    codec::get_snapshot(content).map_err(|_| damaged())
}

fn indexes(folder: &Path) -> Result<Vec<u64>, Error> {
    files::numbered(folder, NAME_PREFIX, NAME_SUFFIX)
}

fn path(folder: &Path, index: u64) -> PathBuf {
    files::numbered_path(folder, NAME_PREFIX, index, NAME_SUFFIX)
}
