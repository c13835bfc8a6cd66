//! Durable operations on whole files.

use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::Error;

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Number of syncs that [`replace`] makes: one of the file and one of its folder.
pub(crate) const REPLACE_SYNCS: u64 = 2;

/// Makes the directory entries of `folder` durable.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), Error> {
    let handle = File::open(folder).map_err(Error::io(folder))?;
    handle.sync_all().map_err(Error::io(folder))
}

/// Replaces the file `folder/name` atomically: after a crash, the folder holds either the old file or
/// the complete new file.
pub(crate) fn replace(folder: &Path, name: &str, content: &[u8]) -> Result<(), Error> {
    let temporary = folder.join(format!("{name}{TEMPORARY_SUFFIX}"));
    let path = folder.join(name);
    let mut file = File::create(&temporary).map_err(Error::io(&temporary))?;
    file.write_all(content).map_err(Error::io(&temporary))?;
    file.sync_all().map_err(Error::io(&temporary))?;
    fs::rename(&temporary, &path).map_err(Error::io(&path))?;
    sync_folder(folder)
}

pub(crate) fn remove(path: &Path) -> Result<(), Error> {
    fs::remove_file(path).map_err(Error::io(path))
}

/// Returns the file's content, or `None` if the file does not exist.
pub(crate) fn read(path: &Path) -> Result<Option<Vec<u8>>, Error> {
    match fs::read(path) {
        Ok(content) => Ok(Some(content)),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
        Err(error) => Err(Error::io(path)(error)),
    }
}

/// Returns the numbers of the files whose names consist of `prefix`, a number and `suffix`, in ascending order.
pub(crate) fn list_numbers(folder: &Path, prefix: &str, suffix: &str) -> Result<Vec<u64>, Error> {
    let mut numbers = Vec::new();
    for name in list_file_names(folder)? {
        let number: Option<u64> = name
            .strip_prefix(prefix)
            .and_then(|rest| rest.strip_suffix(suffix))
            .and_then(|digits| digits.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

/// Removes the temporary files that an interrupted [`replace`] has left behind.
pub(crate) fn remove_temporary(folder: &Path) -> Result<(), Error> {
    for name in list_file_names(folder)? {
        if name.ends_with(TEMPORARY_SUFFIX) {
            remove(&folder.join(name))?;
        }
    }
    Ok(())
}

fn list_file_names(folder: &Path) -> Result<Vec<String>, Error> {
    let entries = fs::read_dir(folder).map_err(Error::io(folder))?;
    let mut names = Vec::new();
    for entry in entries {
        let entry = entry.map_err(Error::io(folder))?;
        names.extend(entry.file_name().into_string());
    }
    Ok(names)
}

pub(crate) fn numbered_path(folder: &Path, prefix: &str, number: u64, suffix: &str) -> PathBuf {
    folder.join(format!("{prefix}{number:020}{suffix}"))
}
