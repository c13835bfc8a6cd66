//! The storage id: the random id of a data folder.

use std::hash::{BuildHasher, Hasher, RandomState};
use std::path::Path;

use crate::error::Error;
use crate::files::{self, Folder};

const FILE_NAME: &str = "storage-id";

/// Returns the folder's storage id, or `None` if the folder has none.
pub(crate) fn load(folder: &Path) -> Result<Option<u64>, Error> {
    let path = folder.join(FILE_NAME);
    let Some(content) = files::read(&path)? else {
        return Ok(None);
    };
    decode(&content)
        .ok_or_else(|| Error::damaged(&path, 0))
        .map(Some)
}

/// Records a storage id, by default a random one, and makes it durable.
pub(crate) fn create(folder: &Folder, new_id: Option<u64>) -> Result<u64, Error> {
    // The keys of the hasher come from the operating system's random number generator. Zero is reserved.
    let random = || RandomState::new().build_hasher().finish();
    let id = new_id.unwrap_or_else(random).max(1);
    folder.replace(FILE_NAME, encode(id).as_bytes())?;
    Ok(id)
}

fn encode(id: u64) -> String {
    let checksum = crc32fast::hash(&id.to_le_bytes());
    format!("{id:016x} {checksum:08x}\n")
}

fn decode(content: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(content).ok()?;
    let (id, _) = text.split_once(' ')?;
    let id = u64::from_str_radix(id, 16).ok()?;
    (encode(id) == text).then_some(id)
}
