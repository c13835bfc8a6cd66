//! Durable operations on whole files.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::error::Error;
use crate::faults::{Faults, Step};

const TEMPORARY_SUFFIX: &str = ".tmp";

/// Number of syncs that [`Folder::replace`] makes: one of the file and one of its folder.
pub(crate) const REPLACE_SYNCS: u64 = 2;

/// A folder whose files are changed.
#[derive(Clone, Debug)]
pub(crate) struct Folder {
    pub(crate) path: PathBuf,
    faults: Faults,
}

impl Folder {
    pub(crate) fn new(path: &Path, faults: &Faults) -> Self {
        Self {
            path: path.to_path_buf(),
            faults: faults.clone(),
        }
    }

    fn run<T>(
        &self,
        step: Step,
        path: &Path,
        operation: impl FnOnce() -> io::Result<T>,
    ) -> Result<T, Error> {
        let result = self.faults.check(step).and_then(|()| operation());
        result.map_err(Error::io(path))
    }

    /// Creates a file, or opens and empties it.
    pub(crate) fn create(&self, path: &Path) -> Result<File, Error> {
        self.run(Step::Create, path, || File::create(path))
    }

    pub(crate) fn open_for_append(&self, path: &Path) -> Result<File, Error> {
        let mut options = OpenOptions::new();
        let options = options.create(true).append(true);
        self.run(Step::Create, path, || options.open(path))
    }

    pub(crate) fn write(&self, file: &mut File, path: &Path, bytes: &[u8]) -> Result<(), Error> {
        if let Err(error) = self.faults.check(Step::Write) {
            // A disk that becomes full takes the first part.
            file.write_all(&bytes[..bytes.len() / 2])
                .map_err(Error::io(path))?;
            return Err(Error::io(path)(error));
        }
        file.write_all(bytes).map_err(Error::io(path))
    }

    pub(crate) fn set_length(&self, file: &File, path: &Path, bytes: u64) -> Result<(), Error> {
        self.run(Step::SetLength, path, || file.set_len(bytes))
    }

    pub(crate) fn sync_data(&self, file: &File, path: &Path) -> Result<(), Error> {
        self.run(Step::Sync, path, || file.sync_data())
    }

    /// Makes the entries of the folder durable.
    pub(crate) fn sync(&self) -> Result<(), Error> {
        self.run(Step::Sync, &self.path, || {
            File::open(&self.path)?.sync_all()
        })
    }

    /// Replaces the file `name` atomically: after a crash, the folder holds either the old file or the complete new one.
    pub(crate) fn replace(&self, name: &str, content: &[u8]) -> Result<(), Error> {
        let temporary = self.path.join(format!("{name}{TEMPORARY_SUFFIX}"));
        let path = self.path.join(name);
        let mut file = self.create(&temporary)?;
        self.write(&mut file, &temporary, content)?;
        self.run(Step::Sync, &temporary, || file.sync_all())?;
        self.run(Step::Rename, &path, || fs::rename(&temporary, &path))?;
        self.sync()
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), Error> {
        self.run(Step::Remove, path, || fs::remove_file(path))
    }

    /// Removes the temporary files that an interrupted [`Self::replace`] has left behind.
    pub(crate) fn remove_temporary(&self) -> Result<(), Error> {
        for name in list_file_names(&self.path)? {
            if name.ends_with(TEMPORARY_SUFFIX) {
                self.remove(&self.path.join(name))?;
            }
        }
        Ok(())
    }
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
