//! Errors of the store.

use std::io;
use std::path::{Path, PathBuf};

/// An error of opening, reading or writing a replica's files.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// File or folder that could not be read or written.
        path: PathBuf,
        /// Error that the operating system reported.
        source: io::Error,
    },
    /// Data that had been synced is damaged or missing. The folder must be moved elsewhere; the replica then joins
    /// again under a new storage id.
    #[error("{}: synced data is damaged or missing at byte {offset_bytes}", path.display())]
    Damaged {
        /// Damaged or missing file, or the folder if its storage id is missing.
        path: PathBuf,
        /// Offset at which the damage begins, in bytes; 0 if the offset is unknown or the file is missing.
        offset_bytes: u64,
    },
    /// Another process has opened the folder.
    #[error("{}: the folder is in use by another process", path.display())]
    InUse {
        /// Folder that is in use.
        path: PathBuf,
    },
    /// An earlier write or sync failed, so that the content of the disk is unknown. The folder must be opened again.
    #[error("the store must be opened again because an earlier write or sync failed")]
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
