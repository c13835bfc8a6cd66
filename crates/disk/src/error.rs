//! Errors of the store.

use std::io;
use std::path::{Path, PathBuf};

/// An error of the replica's files.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// File or folder concerned.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// Data that had been synced is damaged or missing. The folder must be set aside; the replica re-joins as a new one.
    #[error("{}: damaged at byte {offset_bytes}", path.display())]
    Damaged {
        /// Damaged file.
        path: PathBuf,
        /// Where the damage begins.
        offset_bytes: u64,
    },
    /// Another process has the folder open.
    #[error("{}: in use by another process", path.display())]
    InUse {
        /// Folder concerned.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so that it is unknown what the disk holds. The folder must be opened again.
    #[error("an earlier write or sync failed")]
    Failed,
}

impl Error {
    pub(crate) fn io(path: &Path) -> impl FnOnce(io::Error) -> Self {
        let path = path.to_path_buf();
        move |source| Self::Io { path, source }
    }

    pub(crate) fn damaged(path: &Path, offset_bytes: u64) -> Self {
        Self::Damaged {
            path: path.to_path_buf(),
            offset_bytes,
        }
    }
}
